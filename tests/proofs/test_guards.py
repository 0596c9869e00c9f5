"""Proofs of the guarantees whole-answer, not-run, at-most-once and shutdown.

Each check runs with its guards, and again with each guard replaced by a naive
version. It returns whether the guarantee was violated, which must be the case only
without the guards.
"""

from typing import NamedTuple

import anyio
import httpcore
import pytest
from result import Ok

from plantainstack.errors import Outcome
from plantainstack.interfaces import Mutation, Row, Write
from plantainstack.kernel import Kernel, PauseDetector, State
from plantainstack.links.answers import AnswerCheck
from plantainstack.links.connections import (
    Connection,
    ConnectionPool,
    Exchange,
    GuardedStream,
)
from plantainstack.links.endpoint import HttpEngine
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
    """Check with the guards it depends on and its cells in the table of proofs.

    A guard is an owner, an attribute and the naive version that replaces it. A cell
    is a guarantee and a failure as in `tools/proofs.py`.
    """

    check: object
    guards: tuple
    cells: tuple = ()


# Guarantee whole-answer: a caller gets the whole answer to its own request.


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
    """The endpoint echoes no id, and answers after the caller has cancelled."""
    script = [anyio.Event(), answer(b"first"), answer(b"second")]
    plugin, _, clock = links(script, [answer(b"second")])
    content = FleetContent(defaults={"echoes_request_id": "no"}, exceptions=[])
    plugin.kernel.apply_config(FleetConfig(1, content))
    async with anyio.create_task_group() as tasks:
        await start_call(tasks, call(plugin, clock), [])
        tasks.cancel_scope.cancel()
    second = await call(plugin, clock, CALL._replace(attempt_id="a2"))
    return second.ok_value.body != b"second"


async def naive_release(pool, conn, keep):
    """Reuse a connection even if its answer has not been read."""
    stream = GuardedStream(conn.stream._stream)
    http = httpcore.AsyncHTTP11Connection(pool._origin, stream, None)
    pool._idle.append(Connection(http, stream))


async def silent_stream(tmp_path):
    """A read without a timeout never returns on a silent connection."""
    timeouts = []
    plugin, _backend, clock = links([b"x"])
    read = GuardedStream.read

    async def recorded(self, max_bytes, timeout=None):
        timeouts.append(timeout)
        return await read(self, max_bytes, timeout)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(GuardedStream, "read", recorded)
        await chunks_of(plugin, clock)
    return None in timeouts


def naive_request(pool, request, progress):
    """Set no timeout for reads and writes."""
    return request_with_limits(pool, request, None)


request_with_limits = ConnectionPool._request


async def naive_chunks(engine, response, exchange):
    async for _ in response.stream:
        yield Ok(CHUNK)


# Guarantee not-run: a request that is reported as `not_run` did not run.


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
    """The caller gets `not_run` while the claim is still being written."""
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


# Guarantee at-most-once: a booking runs at most once.


def freeze_after_claim(seconds):
    async def check(tmp_path):
        async with fleet_of(1) as (fleet, owner):
            apply = fleet.table.apply

            def freeze_and_apply(mutation):
                fleet.clock.jump(seconds)
                return apply(mutation)

            fleet.table.apply = freeze_and_apply
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
        resumed = anyio.Event()

        async def send_late(req):
            await resumed.wait()
            return booked()

        fleet.plain.script = [send_late]
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, first.call(), [])
            fleet.network.pop(first.name)
            await second.call()
            resumed.set()
        return len(fleet.runs()) > 1


async def owner_killed_after_sending(tmp_path):
    async with fleet_of(2) as (fleet, first, second):
        fleet.plain.script = [ENDPOINT_FAILED]
        await first.call()
        first.kill()
        await second.call()
        return len(fleet.runs()) > 1


async def owner_killed_before_sending(tmp_path):
    """No other instance may run the call or report that it did not run."""
    async with fleet_of(2) as (fleet, first, second):
        finished = anyio.Event()
        commit = fleet.table.commit

        async def commit_and_kill(mutations):
            fleet.table.commit = commit
            outcome = await commit(mutations)
            first.kill()
            await finished.wait()
            return outcome

        fleet.table.commit = commit_and_kill
        async with anyio.create_task_group() as tasks:
            await start_call(tasks, first.call(), [])
            _, outcome = outcome_of(await second.call())
            tasks.cancel_scope.cancel()
            finished.set()
        return outcome is not Outcome.MAY_HAVE_RUN


def naive_decide(rules, row, mine):
    """Replace any claim of another attempt, as if its owner had been killed."""
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
    """Write a row without checking its version."""
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


async def naive_claim(bookings, pending, version):
    """Treat a claim as granted even if its write failed."""
    await bookings._write(pending.key, version, pending.claim.value())
    return Ok(Row(pending.key, 1, pending.claim.value()))


async def unknown_outcome_asked_by_a_peer(tmp_path):
    async with fleet_of(2) as (fleet, first, second):
        fleet.plain.script = [ENDPOINT_FAILED]
        await first.call()
        await second.call()
        return len(fleet.runs()) > 1


def naive_stage(rules, attempt):
    """Treat every attempt as not run, whatever its stage."""
    return AttemptStage.NOT_RUN


async def table_down_after_the_run(tmp_path):
    """A repeated request after the outage must get the first answer."""
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


# Guarantee shutdown: a graceful shutdown interrupts no request.


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
    """Return at once."""


async def naive_shut_down(kernel):
    """Stop without draining requests."""
    kernel.state = State.STOPPED


def do_nothing(*args):
    """Replace a check by one that finds no fault, or a write by none."""


ID_CHECK = (AnswerCheck, "mismatch", do_nothing)
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
