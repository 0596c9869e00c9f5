"""Tests of the choice of the instance that runs a batch."""

from plantainstack.policy.batch_owners import (
    PREVIOUS_STEP_MAX_AGE_S,
    StepOwner,
    choose_owner,
)

NOW = 100.0


def step(route="r1", owner="b", known_since=NOW - 4.0, seen_at=NOW - 1.0):
    return StepOwner(route, owner, known_since, seen_at)


def test_first_step_runs_where_it_was_accepted():
    assert choose_owner("a", "r1", [], NOW) == "a"
    assert choose_owner("a", "r1", [step(route="r2")], NOW) == "a"


def test_next_step_runs_at_the_owner_of_the_latest_step():
    """Guards against a step that goes back to an owner before the last one."""
    steps = [
        step(owner="c", known_since=NOW - 8.0, seen_at=NOW),
        step(owner="b", known_since=NOW - 4.0),
    ]
    assert choose_owner("a", "r1", steps, NOW) == "b"


def test_step_stays_if_the_previous_owner_was_not_heard_of_lately():
    """Guards against steps that wait for an instance whose connections are closed."""
    old = step(seen_at=NOW - PREVIOUS_STEP_MAX_AGE_S - 0.1)
    assert choose_owner("a", "r1", [old], NOW) == "a"


def test_step_stays_if_the_previous_owner_released_its_batch():
    """Guards against steps that are given to an instance that leaves."""
    assert choose_owner("a", "r1", [step(owner="")], NOW) == "a"


def test_steps_of_two_trainers_are_not_gathered_at_one_instance():
    """Guards against one instance that runs the steps of all trainers.

    Takeovers can bring two trainers to the same instance.
    """
    steps = [step(), step(route="r2", owner="b")]
    assert choose_owner("a", "r1", steps, NOW) == "a"
    steps = [step(), step(route="r2", owner="b"), step("r2", "c", NOW - 1.0)]
    assert choose_owner("a", "r1", steps, NOW) == "b"
