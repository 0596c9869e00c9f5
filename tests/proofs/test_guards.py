"""Proofs of guarantees 4, 5, 6 and 8, each with its guard and without it.

A check returns whether it saw the guarantee violated. With the guard in place
it must not; with the guard replaced by a naive version it must.
"""

from typing import NamedTuple

import anyio
import httpcore
import pytest
from result import Ok

from plantainstack.errors import Outcome
from plantainstack.interfaces import Mutation, Row, Write
from plantainstack.kernel import Kernel, PauseDetector, State
from plantainstack.links.connections import (
    Connection,
    ConnectionPool,
    Exchange,
    GuardedStream,
)
from plantainstack.links.endpoint import HttpEngine, _Endpoint
from plantainstack.policy.claims import (
    AttemptStage,
    ClaimAction,
    ClaimDecision,
    ClaimRules,
    claim_of,
)
from plantainstack.requests import Deadline
from plantainstack.services.bookings import Bookings, UnstoredOutcomes
from plantainstack.services.dispatch import AttemptLog
from plantainstack.settings.fleet import FleetConfig, FleetContent
from tests.fakes import ENDPOINT_FAILED, REFUSED, TIMED_OUT
from tests.front.harness import running
from tests.front.test_callers import BODY, PATH
from tests.links.test_endpoint import (
    CALL,
    CHUNK,
    answer,
    call,
    chunks_of,
    links,
    stream,
)
from tests.services.owners import booked, fleet_of, outcome_of, start_call
from tests.services.test_dispatch import CALL as DISPATCHED
from tests.services.test_dispatch import context, dispatching

pytestmark = pytest.mark.anyio


class Proof(NamedTuple):
    """Name a check, its guards as owner, attribute and naive version, and its cells.

    A cell is a guarantee and a failure as in `tools/proofs.py`.
    """

    check: object
    guards: tuple
    cells: tuple = ()


# Guarantee 4: complete answers to one's own request.


async def crossed_answer(tmp_path):
    plugin, _, clock = links([answer(b"another's", attempt="b2")])
    return (await call(plugin, clock)).is_ok()


async def crossed_stream(tmp_path):
    plugin, _, clock = links([stream(CHUNK, b"data: [DONE]", attempt="b2")])
    return (await chunks_of(plugin, clock))[0].is_ok()


async def truncated_stream(tmp_path):
    plugin, _, clock = links([stream(CHUNK)])
    return (await chunks_of(plugin, clock))[-1].is_ok()


async def late_answer(tmp_path):
    """The endpoint echoes no id, and its answer comes after the caller gave up."""
    script = [anyio.Event(), answer(b"first"), answer(b"second")]
    plugin, _, clock = links(script, [answer(b"second")])
    content = FleetContent(defaults={"echoes_request_id": "no"}, exceptions=[])
    plugin.kernel.apply_config(FleetConfig(1, content))
    async with anyio.create_task_group() as tasks:
        await start_call(tasks, call(plugin, clock), [])
        tasks.cancel_scope.cancel()
    second = await call(plugin, clock, CALL._replace(attempt_id="a2"))
    return second.ok_value.body != b"second"


async def naive_release(pool, conn):
    stream = GuardedStream(conn.stream._stream)
    http = httpcore.AsyncHTTP11Connection(pool._origin, stream, None)
    pool._idle.append(Connection(http, stream))


async def silent_stream(tmp_path):
    """A read without a time limit waits for ever on a silent connection."""
    limits = []
    plugin, _backend, clock = links([b"x"])
    read = GuardedStream.read

    async def watched(self, max_bytes, timeout=None):
        limits.append(timeout)
        return await read(self, max_bytes, timeout)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(GuardedStream, "read", watched)
        await chunks_of(plugin, clock)
    return None in limits


def naive_request(pool, request, progress):
    return request_with_limits(pool, request, None)


request_with_limits = ConnectionPool._request


async def naive_chunks(engine, response, exchange):
    async for _ in response.stream:
        yield Ok(CHUNK)


# Guarantee 5: `not_run` is true.


async def reset_after_effect(tmp_path):
    """The endpoint runs the call, and the connection fails before the answer."""
    outcomes = []
    for step in (httpcore.ReadError(), httpcore.ReadTimeout(), b""):
        plugin, _, clock = links([step])
        outcomes.append((await call(plugin, clock)).err_value.outcome)
    return Outcome.NOT_RUN in outcomes


async def refusal_after_a_lost_answer(tmp_path):
    dispatch, fakes, clock = dispatching()
    fakes.fake_plain.script = [TIMED_OUT, REFUSED, REFUSED]
    result = await dispatch.call_plain(context(clock), DISPATCHED, True)
    return result.err_value.outcome is Outcome.NOT_RUN


async def claim_slower_than_the_deadline(tmp_path):
    """The caller hears `not_run` while the claim is still being written."""
    async with fleet_of(1) as (fleet, owner):
        gate = anyio.Event()
        commit = fleet.table.commit

        async def slow(mutations):
            await gate.wait()
            return await commit(mutations)

        fleet.table.commit = slow
        results = []
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, owner.call(seconds=1.0), results)
            await fleet.clock.advance(1.5)
            gate.set()
        await anyio.wait_all_tasks_blocked()
        outcome = results[0].err_value.outcome
        return outcome is Outcome.NOT_RUN and fleet.runs() != []


# Guarantee 6: a booking runs at most once.


def freeze_after_claim(seconds):
    async def check(tmp_path):
        async with fleet_of(1) as (fleet, owner):
            apply = fleet.table.apply

            def frozen(mutation):
                fleet.clock.jump(seconds)
                return apply(mutation)

            fleet.table.apply = frozen
            await owner.call(seconds=5.0)
            return fleet.runs() != []

    check.__name__ = f"frozen_for_{seconds}_s_between_claim_and_send"
    return check


async def frozen_before_the_first_byte(tmp_path):
    plugin, backend, clock = links([answer()])
    backend.on_connect = lambda: clock.jump(60.0)
    await call(plugin, clock)
    return backend.streams[0].sent != b""


async def frozen_owner_resumes_late(tmp_path):
    """The owner is frozen between its last check and its first byte."""
    async with fleet_of(2) as (fleet, first, second):
        frozen = anyio.Event()

        async def late(req):
            await frozen.wait()
            return booked()

        fleet.plain.script = [late]
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, first.call(), [])
            fleet.network.pop(first.name)
            await second.call()
            frozen.set()
        return len(fleet.runs()) > 1


async def owner_killed_after_sending(tmp_path):
    async with fleet_of(2) as (fleet, first, second):
        fleet.plain.script = [ENDPOINT_FAILED]
        await first.call()
        first.kill()
        await second.call()
        return len(fleet.runs()) > 1


async def owner_killed_before_sending(tmp_path):
    """Nobody may say that the call did not run, or run it."""
    async with fleet_of(2) as (fleet, first, second):
        gone = anyio.Event()
        commit = fleet.table.commit

        async def commit_and_vanish(mutations):
            fleet.table.commit = commit
            outcome = await commit(mutations)
            first.kill()
            await gone.wait()
            return outcome

        fleet.table.commit = commit_and_vanish
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, first.call(), [])
            outcome = outcome_of(await second.call())
            tasks.cancel_scope.cancel()
            gone.set()
        return outcome[1] is not Outcome.MAY_HAVE_RUN


def naive_decide(rules, row, mine):
    """Take over any claim that is not done, as if its owner were dead."""
    claim = claim_of(row)
    if claim is not None and claim.attempt == mine.attempt:
        return ClaimDecision(ClaimAction.DISPATCH)
    return ClaimDecision(ClaimAction.CLAIM)


async def racing_instances(tmp_path):
    async with fleet_of(2) as (fleet, first, second):
        async with anyio.create_task_group() as tasks:
            for owner in (first, second):
                tasks.start_soon(owner.call)
            await anyio.wait_all_tasks_blocked()
            await fleet.clock.advance(1.0)
        return len(fleet.runs()) > 1


async def naive_write(bookings, key, version, value):
    committed = await bookings._table.commit([Mutation("m", (), (Write(key, value),))])
    return committed.map(lambda outcomes: outcomes[0])


def claim_faults(*faults):
    async def check(tmp_path):
        async with fleet_of(2) as (fleet, first, second):
            fleet.table.faults = list(faults)
            results = []
            async with anyio.create_task_group() as tasks:
                await start_call(tasks, first.call(), results)
                await fleet.clock.advance(1.0)
            await second.call()
            return len(fleet.runs()) > 1

    check.__name__ = "claim_faults_" + "_".join(faults)
    return check


async def naive_claim(bookings, flight, version):
    """Take a claim whose write failed as granted."""
    await bookings._write(flight.key, version, flight.claim.value())
    return Ok(Row(flight.key, 1, flight.claim.value()))


async def unknown_outcome_asked_by_a_peer(tmp_path):
    async with fleet_of(2) as (fleet, first, second):
        fleet.plain.script = [ENDPOINT_FAILED]
        await first.call()
        await second.call()
        return len(fleet.runs()) > 1


def naive_stage(rules, attempt):
    """Take every attempt without an answer as not run."""
    return AttemptStage.NOT_RUN


async def table_down_after_the_run(tmp_path):
    """After the outage, the repeated request must get the first answer."""
    async with fleet_of(2) as (fleet, first, second):

        async def outage(req):
            fleet.table.default_fault = "down"
            return booked(b"first")

        fleet.plain.script = [outage]
        await first.call()
        fleet.table.default_fault = None
        await fleet.clock.advance(3.0)
        repeated = await second.call()
        return repeated.is_err() or repeated.ok_value.answer.body != b"first"


# Guarantee 8: a graceful shutdown interrupts no request.


async def shutdown_during_a_stream(tmp_path):
    async with running(tmp_path) as client:
        engine = client.kernel.plugin("links").fake_engine
        engine.gate = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.send, "POST", PATH, BODY | {"stream": True})
            while not engine.requests:
                await anyio.sleep(0)
            client.kernel.request_stop()
            while client.kernel.state is State.SERVING:
                await anyio.sleep(0)
            await anyio.wait_all_tasks_blocked()
            stopped = client.kernel.state is State.STOPPED
            engine.gate.set()
        return stopped


async def shutdown_during_a_booking(tmp_path):
    async with fleet_of(1) as (fleet, owner):
        gate = anyio.Event()

        async def slow(req):
            await gate.wait()
            return booked()

        fleet.plain.script = [slow]
        results = []
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, owner.call(), results)
            drained = []
            await start_call(
                tasks, owner.bookings.drain(fleet.clock.now() + 60), drained
            )
            ended_early = drained != []
            gate.set()
        return ended_early


async def naive_wait(*args):
    """Wait for nothing."""


async def naive_shut_down(kernel):
    kernel.state = State.STOPPED


def do_nothing(*args):
    """Find no fault."""


ID_CHECK = (_Endpoint, "_check_id", do_nothing)
DISPATCH_CHECK = (Bookings, "_dispatch_refusal", do_nothing)
PAUSE_CHECK = (PauseDetector, "check", lambda pause: False)
DEADLINE = (Deadline, "remaining", lambda guard: 9.0)
OWNERSHIP = (ClaimRules, "decide", naive_decide)
CLAIM = (Bookings, "_claim", naive_claim)
SHUT_DOWN = (Kernel, "_shut_down", naive_shut_down)

PROOFS = [
    Proof(crossed_answer, (ID_CHECK,)),
    Proof(crossed_stream, (ID_CHECK,)),
    Proof(
        truncated_stream,
        ((HttpEngine, "_chunks", naive_chunks),),
        (("whole-answer", "crash"),),
    ),
    Proof(late_answer, ((ConnectionPool, "_release", naive_release),)),
    Proof(
        silent_stream,
        ((ConnectionPool, "_request", naive_request),),
        (("whole-answer", "silent"),),
    ),
    Proof(
        reset_after_effect,
        ((Exchange, "before_first_byte", do_nothing),),
        (
            ("not-run", "crash"),
            ("not-run", "silent"),
            ("not-run", "answer-lost"),
        ),
    ),
    Proof(
        refusal_after_a_lost_answer,
        ((AttemptLog, "final_failure", lambda log, failure: failure),),
    ),
    Proof(
        claim_slower_than_the_deadline,
        (DISPATCH_CHECK, DEADLINE),
        (("not-run", "store-down"),),
    ),
    Proof(
        freeze_after_claim(60.0),
        (DISPATCH_CHECK, DEADLINE, PAUSE_CHECK),
        (("at-most-once", "frozen"),),
    ),
    Proof(freeze_after_claim(3.0), (PAUSE_CHECK,), (("at-most-once", "frozen"),)),
    Proof(frozen_before_the_first_byte, (DEADLINE,)),
    Proof(frozen_owner_resumes_late, (OWNERSHIP,), (("at-most-once", "frozen"),)),
    Proof(owner_killed_after_sending, (OWNERSHIP,), (("at-most-once", "killed"),)),
    Proof(owner_killed_before_sending, (OWNERSHIP,), (("not-run", "killed"),)),
    Proof(
        racing_instances,
        ((Bookings, "_write", naive_write),),
        (("at-most-once", "race"),),
    ),
    Proof(claim_faults("down"), (CLAIM,), (("at-most-once", "store-down"),)),
    Proof(claim_faults("dropped"), (CLAIM,)),
    Proof(
        unknown_outcome_asked_by_a_peer,
        ((ClaimRules, "stage", naive_stage),),
        (("at-most-once", "crash"),),
    ),
    Proof(
        table_down_after_the_run,
        ((UnstoredOutcomes, "put", do_nothing),),
        (("at-most-once", "store-down"),),
    ),
    Proof(shutdown_during_a_stream, (SHUT_DOWN,)),
    Proof(shutdown_during_a_booking, ((Bookings, "drain", naive_wait),)),
]


def proof_params():
    for proof in PROOFS:
        marks = [pytest.mark.proof(*cell) for cell in proof.cells]
        yield pytest.param(proof, marks=marks, id=proof.check.__name__)


@pytest.mark.parametrize("naive", [False, True], ids=["guarded", "naive"])
@pytest.mark.parametrize("proof", list(proof_params()))
async def test_guard(proof, naive, monkeypatch, tmp_path):
    if naive:
        for guard in proof.guards:
            monkeypatch.setattr(*guard)
    assert await proof.check(tmp_path) is naive
