"""Tests of the estimate of what endpoints have cached."""

import pytest

from plantainstack.policy import prefix_cache
from plantainstack.policy.prefix_cache import MissCause, PrefixCaches
from plantainstack.serving import Prompt
from tests.policy.serving_samples import endpoint

A, B = endpoint("a"), endpoint("b")


def prompt(name="p", own="i1", tokens=1000):
    return Prompt("m0", (("sys", 200), (name, tokens), (own, 50)))


def caches_with(*names, confirmed=True):
    caches = PrefixCaches(64_000.0, 500_000.0)
    for name in names:
        caches.record_sent(A, prompt(name), 0.0)
        if confirmed:
            caches.record_prefilled(A, prompt(name), 0.05)
    return caches


def test_prompt_counts_once_its_answer_has_begun():
    """Guards against items that are sent before the endpoint can reuse a prompt."""
    caches = caches_with("p", confirmed=False)
    assert caches.expected(A, prompt(), 0.005, 0.0) == 0.0
    unconfirmed = caches.expected(A, prompt(), 0.1, 0.0)
    caches.record_prefilled(A, prompt(), 0.1)
    assert 0.0 < unconfirmed < caches.expected(A, prompt(), 0.1, 0.0) <= 1200.0
    assert caches.expected(B, prompt(), 0.1, 0.0) == 0.0


def test_refused_request_leaves_nothing_cached():
    """Guards against a prompt that counts as cached where it never ran."""
    caches = caches_with("p", confirmed=False)
    caches.record_unanswered(A, prompt())
    assert caches.expected(A, prompt(), 1.0, 0.0) == 0.0
    assert caches.size() == 0
    answered = caches_with("p")
    answered.record_unanswered(A, prompt())
    assert answered.expected(A, prompt(), 1.0, 0.0) > 1000.0


def test_part_counts_only_after_all_before_it():
    """Guards against tokens counted as saved that are prefilled again."""
    caches = caches_with("p")
    other = Prompt("m0", (("else", 200), ("p", 1000), ("i2", 50)))
    assert caches.expected(A, other, 0.1, 0.0) == 0.0
    assert caches.expected(A, prompt("q"), 0.1, 0.0) == pytest.approx(200.0, rel=0.01)
    assert caches.expected(A, prompt()._replace(model="m1"), 0.1, 0.0) == 0.0


def test_new_weights_clear_the_cache_and_late_news_of_old_ones_do_not():
    """Guards against prompts of other weights, and against a cache lost to old news."""
    caches = caches_with("p")
    caches.record_versions(A, {"m0": 1})
    assert caches.expected(A, prompt(), 0.1, 0.0) > 1000.0
    caches.record_versions(A, {"m0": 2})
    assert caches.expected(A, prompt(), 0.1, 0.0) == 0.0
    assert caches.miss_cause(prompt(), 0.1) is MissCause.WEIGHTS
    caches.record_prefilled(A, prompt(), 0.2)
    caches.record_versions(A, {"m0": 1})
    assert caches.expected(A, prompt(), 0.2, 0.0) > 1000.0


def test_restarted_endpoint_has_nothing_cached():
    """Guards against a new process that is sent the prompts of the previous one."""
    caches = caches_with("p")
    assert caches.expected(A._replace(started_ms=2), prompt(), 0.1, 0.0) == 0.0
    caches.forget([A])
    assert caches.miss_cause(prompt(), 0.1) is MissCause.RESTARTED
    assert caches.size() == 0


def test_doubt_grows_with_age_and_with_other_requests():
    """Guards against reliance on prompts that others may have pushed out."""
    caches = caches_with("p")
    soon, late, shared = (
        caches.expected(A, prompt(), now, others)
        for now, others in ((0.1, 0.0), (20.0, 0.0), (20.0, 2.0))
    )
    assert soon > late > shared > 0.0
    assert caches.expected(A, prompt(), 20.0, 8.0) == 0.0


def test_parts_are_pushed_out_by_later_prompts_unless_they_are_used_again():
    """Guards against a cache that is taken for larger than it is."""
    caches = caches_with("p", *(f"q{n}" for n in range(70)))
    assert caches.expected(A, prompt("p"), 0.1, 0.0) < 210.0
    assert caches.miss_cause(prompt("p"), 0.1) is MissCause.EVICTED
    # The first part belongs to all of them.
    assert caches.expected(A, prompt("other"), 0.1, 0.0) > 190.0
    assert caches.expected(A, prompt("q69"), 0.1, 0.0) > 1100.0


def test_number_of_parts_is_bounded(monkeypatch):
    """Guards against memory that grows with the prompts of a day."""
    monkeypatch.setattr(prefix_cache, "PARTS_MAX", 50)
    monkeypatch.setattr(prefix_cache, "REMOVED_MAX", 10)
    caches = PrefixCaches(64_000.0, 500_000.0)
    for number in range(500):
        sent = prompt(f"p{number}", f"i{number}")
        caches.record_sent((A, B)[number % 2], sent, number * 0.01)
        assert caches.size() <= 50
    assert len(caches._removed) <= 10
    assert caches.expected(B, prompt("p499"), 5.1, 0.0) > 0.0
