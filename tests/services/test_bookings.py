"""Tests of calls with an idempotency key: claims, stored answers, table outages."""

import anyio
import pytest

from plantainstack.errors import ErrorKind, Outcome
from plantainstack.policy.claims import ClaimState
from plantainstack.services.bookings import (
    INLINE_ANSWER_BYTES,
    STORE_RETRY_S,
    SWEEP_INTERVAL_S,
)
from tests.services.owners import booked, fleet_of, outcome_of, start_call

pytestmark = pytest.mark.anyio

OK = ("ok", Outcome.RAN)
UNKNOWN = (ErrorKind.OUTCOME_UNKNOWN, Outcome.MAY_HAVE_RUN)
TABLE_DOWN = (ErrorKind.TABLE_UNAVAILABLE, Outcome.NOT_RUN)


@pytest.mark.parametrize("size", [10, INLINE_ANSWER_BYTES + 1])
async def test_a_repeated_request_gets_the_stored_answer(size):
    """Guards against a second execution for a repeated request."""
    async with fleet_of(2) as (fleet, first, second):
        fleet.plain.script = [booked(b"x" * size)]
        answers = [await owner.call() for owner in (first, first, second)]
        refused = [await owner.call(b"other") for owner in (first, second)]
    kinds = {result.err_value.kind for result in refused}
    assert kinds == {ErrorKind.KEY_REUSED}
    assert {answer.ok_value.answer.body for answer in answers} == {b"x" * size}
    assert fleet.runs() == [b"book"]
    assert fleet.claim()["state"] == ClaimState.DONE


@pytest.mark.parametrize("joins", ["same instance", "other instance"])
async def test_a_repeated_request_joins_the_running_one(joins):
    async with fleet_of(2) as (fleet, first, second):
        gate = anyio.Event()

        async def answer(req):
            await gate.wait()
            return booked()

        fleet.plain.script = [answer]
        results = []
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, first.call(), results)
            joining = first if joins == "same instance" else second
            await start_call(tasks, joining.call(), results)
            await start_call(tasks, joining.call(b"other"), results)
            gate.set()
            await fleet.clock.advance(1.0)
    refused, *answered = sorted(results, key=lambda result: result.is_ok())
    assert refused.err_value.kind is ErrorKind.KEY_REUSED
    assert [result.ok_value.answer.body for result in answered] == [b"booked"] * 2
    assert fleet.runs() == [b"book"]


@pytest.mark.parametrize(
    ("faults", "expected", "runs"),
    [
        (["down"], TABLE_DOWN, 0),
        pytest.param(
            ["lost"], OK, 1, marks=pytest.mark.proof("at-most-once", "answer-lost")
        ),
        (["dropped"], OK, 1),
        (["lost", "down", "lost"], OK, 1),
        (["dropped", None, "lost"], OK, 1),
        (["dropped", None, "down"], TABLE_DOWN, 0),
        (["lost", "down", "down", "down"], TABLE_DOWN, 0),
        (["dropped", "down", "down", "down"], TABLE_DOWN, 0),
    ],
)
async def test_a_lost_response_to_a_claim_is_resolved_by_reading(
    faults, expected, runs
):
    """Guards against two claims for a key, and against a call without a claim."""
    async with fleet_of(2) as (fleet, first, second):
        fleet.table.faults = list(faults)
        results = []
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, first.call(), results)
            await fleet.clock.advance(1.0)
        assert outcome_of(results[0]) == expected
        assert len(fleet.runs()) == runs
        for owner in (second, first):
            assert outcome_of(await owner.call()) == OK
    assert len(fleet.runs()) == 1


async def test_an_answer_that_cannot_be_stored_reaches_its_caller_and_is_kept():
    """Guards against an answer lost in an outage, and a second execution after it."""
    async with fleet_of(2) as (fleet, first, second):

        async def answer(req):
            fleet.table.default_fault = "down"
            return booked()

        fleet.plain.script = [answer]
        assert outcome_of(await first.call()) == OK
        assert outcome_of(await first.call()) == OK
        assert outcome_of(await second.call()) == TABLE_DOWN
        fleet.table.default_fault = None
        assert outcome_of(await second.call()) == OK
        await fleet.clock.advance(2 * STORE_RETRY_S)
        assert fleet.claim()["state"] == ClaimState.DONE
        assert len(first.bookings.unstored) == 0
    assert len(fleet.runs()) == 1


async def test_a_large_answer_waits_in_memory_while_the_object_store_is_down():
    async with fleet_of(1) as (fleet, owner):
        fleet.objects.down = True
        fleet.plain.script = [booked(b"x" * (INLINE_ANSWER_BYTES + 1))]
        assert outcome_of(await owner.call()) == OK
        assert fleet.claim()["state"] == ClaimState.CLAIMED
        fleet.objects.down = False
        await fleet.clock.advance(2 * STORE_RETRY_S)
        assert fleet.claim()["state"] == ClaimState.DONE
        fleet.objects.down = True
        failure = (await owner.call()).err_value
    stored = (ErrorKind.STORE_UNAVAILABLE, Outcome.RAN)
    assert (failure.kind, failure.outcome) == stored


async def test_an_answer_kept_past_its_retention_does_not_reach_a_later_claim():
    """Guards against an old answer that overwrites a later claim of its key."""
    async with fleet_of(2) as (fleet, first, second):
        fleet.objects.down = True
        gate = anyio.Event()

        async def answer(req):
            await gate.wait()
            return booked(b"new")

        fleet.plain.script = [booked(b"x" * (INLINE_ANSWER_BYTES + 1)), answer]
        await first.call()
        fleet.clock.jump(25 * 3600)
        fleet.table.rows.clear()
        second.kernel.pause.check()
        second.kernel.pause.clear()
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, second.call(), [])
            fleet.objects.down = False
            await fleet.clock.advance(2 * STORE_RETRY_S)
            gate.set()
        assert (await second.call()).ok_value.answer.body == b"new"


async def test_unstored_answers_take_bounded_memory():
    """Guards against a table outage that exhausts the memory of an instance."""
    async with fleet_of(1) as (fleet, owner):
        owner.bookings.unstored._limit = 5000

        async def answer(req):
            fleet.table.default_fault = "down"
            return booked(b"x" * 1000)

        for number in range(10):
            fleet.table.default_fault = None
            fleet.plain.script = [answer]
            assert outcome_of(await owner.call(key=f"k{number}")) == OK
        assert len(owner.bookings.unstored) == 3


async def test_claims_expire_only_after_their_retention():
    """Guards against the deletion of a claim whose call may still be repeated."""
    async with fleet_of(2) as (fleet, first, _):
        await first.call(seconds=5.0)
        fleet.clock.jump(24 * 3600 + 1.0)
        await fleet.clock.advance(SWEEP_INTERVAL_S)
        assert len(fleet.table.rows) == 1
        await fleet.clock.advance(5.0)
        assert fleet.table.rows == {}
