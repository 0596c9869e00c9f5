"""Tests of requests under which endpoints were lost."""

import random

import pytest

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy import quarantine
from plantainstack.policy.quarantine import (
    ANSWERED_S,
    CAUTION_S,
    LOSSES_MAX,
    QUARANTINE_MAX_S,
    QUARANTINE_MIN_S,
    LossRecords,
    allowed_endpoints,
    endpoint_key,
    is_loss,
)
from tests.policy.serving_samples import endpoint

ENDPOINTS = [endpoint(id) for id in ("a", "b", "c", "d")]
A, B, C, D = ENDPOINTS


def new_records(seed=1):
    return LossRecords(random.Random(seed))


def record(*lost, at=0.0, seed=1):
    records = new_records(seed)
    for end in lost:
        assert records.add("r", endpoint_key(end), at)
    return records.get("r")


def allowed(usable, lost, now=1.0, tried=(), avoided=()):
    return allowed_endpoints(usable, tried, record(*lost), avoided, now)


@pytest.mark.parametrize(
    ("kind", "outcome", "loss"),
    [
        (ErrorKind.ENDPOINT_FAILED, Outcome.MAY_HAVE_RUN, True),
        (ErrorKind.ANSWER_TRUNCATED, Outcome.RAN, True),
        (ErrorKind.ENDPOINT_REFUSED, Outcome.NOT_RUN, False),
        (ErrorKind.ANSWER_TIMEOUT, Outcome.MAY_HAVE_RUN, False),
        (ErrorKind.ANSWER_CROSSED, Outcome.MAY_HAVE_RUN, False),
    ],
)
def test_only_broken_connections_count_as_lost_endpoints(kind, outcome, loss):
    """Guards against slow requests that are taken for ones that crash endpoints."""
    assert is_loss(Failure(kind, "scripted", outcome)) == loss


def test_request_in_flight_at_one_crash_is_sent_to_another_endpoint():
    """Guards against callers that lose their answer with a crashed endpoint."""
    assert allowed([A, B], [A]) == [B]
    assert allowed([A], [A]) == [A]


def test_last_sound_endpoint_is_kept_from_a_request_with_two_losses():
    """Guards against one request that stops a service for all its callers."""
    assert allowed([A, B, C], [A, B]) == []
    assert allowed([A, B, C, D], [A, B], avoided=[D]) == []
    assert allowed([A, B, C, D], [A, B]) == [C, D]
    assert allowed([A, B, C, D], [A, B], tried=["c"]) == [D]


def test_service_of_one_endpoint_is_not_closed_after_two_crashes():
    restarted = A._replace(started_ms=3)
    lost = [A, A._replace(started_ms=2)]
    assert allowed([restarted], lost) == [restarted]


def test_request_is_refused_after_three_losses():
    """Guards against a request that crashes one endpoint after another."""
    assert allowed([A, B, C, D], [A, B, C]) == []
    failure = quarantine.refusal(record(A, B, C), 10.0)
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.retry_after_s >= QUARANTINE_MIN_S - 10.0


def test_quarantine_ends_and_is_doubled_after_a_failed_trial():
    """Guards against a sound request that is refused for good."""
    assert allowed([A, B, C, D], [A, B, C], now=QUARANTINE_MIN_S - 0.1) == []
    assert allowed([A, B, C, D], [A, B, C], now=2 * QUARANTINE_MIN_S) == [D]
    assert record(A, B, C, D).refused_until >= 2 * QUARANTINE_MIN_S
    assert quarantine.quarantine_s(100) == QUARANTINE_MAX_S


def test_instances_do_not_make_their_trials_at_one_time():
    """Guards against a trial at each of many instances before one has a result."""
    ends = sorted(record(A, B, C, seed=seed).refused_until for seed in range(81))
    for start in ends:
        assert sum(start <= end < start + 0.5 for end in ends) <= 6


def test_old_losses_do_not_close_the_last_endpoint():
    """Guards against a request that is refused since two answers broke off once."""
    assert allowed([A, B], [A, B], now=1.0) == []
    assert allowed([A, B], [A, B], now=CAUTION_S) == [A, B]


def test_losses_at_one_endpoint_count_once():
    """Guards against an endpoint that breaks off answers and blames requests."""
    records = new_records()
    for _ in range(LOSSES_MAX):
        records.add("r", endpoint_key(A), 0.0)
    assert len(records.get("r").lost) == 1
    records.discard("r", [endpoint_key(A)])
    assert records.count() == 0


def test_losses_of_a_frequent_request_prove_nothing():
    """Guards against a sound request that is refused after a whole rack was lost."""
    records = new_records()
    records.record_answer("r", 0.0)
    assert not records.add("r", endpoint_key(A), ANSWERED_S - 0.1)
    assert records.add("r", endpoint_key(A), ANSWERED_S)
    assert records.add("other", endpoint_key(A), 0.0)


def test_memory_for_answered_requests_is_bounded(monkeypatch):
    monkeypatch.setattr(quarantine, "ANSWERS_MAX", 2)
    records = new_records()
    for digest in ("r0", "r1", "r0", "r2"):
        records.record_answer(digest, 0.0)
    assert [records.was_answered(f"r{n}", 1.0) for n in range(3)] == [True, False, True]


def test_records_expire_and_are_bounded(monkeypatch):
    """Guards against memory that grows with the requests of an outage."""
    monkeypatch.setattr(quarantine, "RECORDS_MAX", 2)
    records = new_records()
    for number in range(5):
        records.add(f"r{number}", endpoint_key(A), float(number))
    assert records.count() == 2
    assert records.expired(QUARANTINE_MAX_S + 3.5) == ["r3"]


def test_quarantine_is_bounded_however_many_endpoints_were_lost():
    """Guards against a power that does not fit into a float."""
    assert quarantine.quarantine_s(100_000) == QUARANTINE_MAX_S
