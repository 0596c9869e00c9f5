"""Tests of the memory that answers and bodies take in one process."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainstack.policy.answer_memory import (
    AnswerMemory,
    BodyMemory,
    divide,
)


class Answers:
    """Opens answers that may be given up, and notes which were."""

    def __init__(self, total=100, share=60):
        self.reports = []
        self.freed = []
        self.memory = AnswerMemory(total, share, self.reports.append)

    def open(self, endpoint, size, name="", may_be_given_up=True):
        held = self.memory.reserve(endpoint)
        if may_be_given_up:
            held.give_up = lambda: self.freed.append(name)
        held.resize(size)
        return held


def test_largest_answer_of_the_endpoint_that_takes_most_is_given_up():
    answers = Answers()
    kept = [answers.open("a", 20, "a1"), answers.open("a", 30, "a2")]
    kept += [answers.open("b", 40, "b1"), answers.open("c", 15, "c1")]
    assert answers.freed == ["a2"]
    assert [each.reason is None for each in kept] == [True, False, True, True]
    assert answers.memory.held == 75


def test_answer_that_grows_is_given_up_if_it_is_the_largest():
    answers = Answers()
    kept = [answers.open("a", 30, "a1"), answers.open("b", 50, "b1")]
    kept[1].grow(9)
    kept.append(answers.open("c", 11, "c1"))
    kept[1].grow(1)
    assert answers.freed == ["b1"]
    assert answers.reports[0].size == 60
    assert "all endpoints exceed 100 bytes" in kept[1].reason


def test_endpoint_takes_no_more_than_its_share_of_free_memory():
    answers = Answers()
    kept = [answers.open("a", 30, "a1"), answers.open("a", 31, "a2")]
    assert answers.freed == ["a2"]
    assert answers.memory.held_by("a") == 30
    assert answers.reports[0].cause == "share"
    assert kept[0].reason is None


def test_answer_that_cannot_be_given_up_keeps_its_bytes():
    """Guards against bytes that are released while they are still taken."""
    answers = Answers()
    kept = [answers.open("a", 60, "a1", may_be_given_up=False)]
    kept += [answers.open("b", 30, "b1"), answers.open("c", 20, "c1")]
    assert answers.freed == ["b1"]
    assert kept[0].size == 60


def test_answer_that_was_given_up_takes_nothing_more():
    answers = Answers()
    held = answers.open("a", 61, "a1")
    held.grow(5)
    assert (held.size, answers.memory.held, answers.freed) == (0, 0, ["a1"])


def test_answer_that_is_dropped_releases_its_bytes():
    """Guards against bytes that stay reserved after a task was cancelled."""
    answers = Answers()
    held = answers.open("a", 50)
    assert answers.memory.held == 50
    del held
    assert answers.memory.held == 0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "grow", "resize", "release", "drop", "fix"]),
        st.integers(0, 5),
        st.integers(0, 70),
    ),
    max_size=80,
)


@given(STEPS)
def test_bytes_never_exceed_the_limits_and_are_all_released(steps):
    """Guards against reservations that are lost in some order of events."""
    answers = Answers()
    memory = answers.memory
    held = []
    for action, index, size in steps:
        if action == "open" or not held:
            held.append(answers.open(f"e{index % 3}", size))
            continue
        chosen = held[index % len(held)]
        if action == "grow":
            chosen.grow(size)
        elif action == "resize":
            chosen.resize(size)
        elif action == "release":
            chosen.release()
        elif action == "fix":
            chosen.give_up = None
        else:
            held.remove(chosen)
        del chosen
        assert memory.held == sum(each.size for each in held)
        assert memory.held <= 100
        for endpoint in ("e0", "e1", "e2"):
            sizes = [each.size for each in held if each.endpoint == endpoint]
            assert memory.held_by(endpoint) == sum(sizes) <= 60
    held.clear()
    assert memory.held == 0


def test_bodies_are_refused_above_the_limit_and_released():
    memory = BodyMemory(100)
    with memory.reserve() as first:
        assert first.grow_to(60)
        with memory.reserve() as second:
            assert second.grow_to(40)
            assert not second.grow_to(41)
            assert first.grow_to(50)
            assert memory.held == 100
        assert memory.held == 60
    assert memory.held == 0


def test_body_above_the_limit_is_taken_if_it_is_the_only_one():
    """Guards against a request that is told to come back, and never fits."""
    memory = BodyMemory(100)
    with memory.reserve() as first:
        assert first.grow_to(150)
        with memory.reserve() as second:
            assert not second.grow_to(1)
    assert memory.held == 0


@pytest.mark.parametrize("limit_mb", [0, 64, 128, 180, 380, 4000])
def test_sizes_leave_memory_to_the_process(limit_mb):
    sizes = divide(limit_mb * 10**6)
    limit = max(128, limit_mb) * 10**6
    assert sizes.endpoint < sizes.answers
    assert 48 * 10**6 + sizes.answers + sizes.bodies < 0.76 * limit


def test_larger_incomplete_bodies_are_given_up_for_a_smaller_one():
    """Guards against bodies that stop short of their end and keep others out."""
    memory, given_up = BodyMemory(100), []
    with memory.reserve() as complete, memory.reserve() as small:
        large = memory.reserve()
        assert complete.grow_to(40) and large.grow_to(39)
        large.give_up = lambda: given_up.append(large)
        assert not small.grow_to(61)
        assert not small.grow_to(39)
        assert given_up == []
        assert small.grow_to(38)
        assert given_up == [large] and not large.grow_to(1)
        assert memory.held == 78


def test_single_body_is_limited_by_the_memory_that_connections_leave():
    memory = BodyMemory(100)
    memory.single_max = lambda: 120
    with memory.reserve() as body:
        assert body.grow_to(120)
        assert not body.grow_to(121)


def test_single_large_body_is_received_beside_small_ones():
    """Guards against a slow upload that ends since an ordinary request comes."""
    memory = BodyMemory(20 * 10**6)
    memory.single_max = lambda: 40 * 10**6
    with memory.reserve() as large, memory.reserve() as small:
        assert large.grow_to(19 * 10**6)
        assert small.grow_to(100)
        assert large.grow_to(33 * 10**6)
        assert not memory.reserve().grow_to(10**6)
        assert not large.grow_to(40 * 10**6)
