"""Tests of dispatch: retries, resumption, admission and draining."""

import anyio
import pytest
from result import Ok

from plantainstack.clock import FakeClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.interfaces import GenerateRequest, PlainRequest, Priority
from plantainstack.policy.limits import OpenAdmission
from plantainstack.requests import RequestContext
from plantainstack.services.dispatch import AttemptLog
from tests.fakes import (
    CROSSED,
    ENDPOINT_FAILED,
    REFUSED,
    TIMED_OUT,
    TRUNCATED,
    serving_kernel,
)

pytestmark = pytest.mark.anyio

CALL = PlainRequest("a1", "POST", "/book", [], b"body")
GENERATE = GenerateRequest("a1", "m", [], 8, Priority.CALLER)


def context(clock, service="booking-app", seconds=5.0):
    now = clock.now()
    return RequestContext("r1", "c", service, Priority.CALLER, now, now + seconds)


def dispatching():
    """Return a dispatch plug-in, its fake links and the fake clock."""
    clock = FakeClock()
    kernel = serving_kernel(clock)
    return kernel.plugin("dispatch"), kernel.plugin("links"), clock


@pytest.mark.parametrize(
    ("script", "repeatable", "kind", "outcome", "attempts"),
    [
        ([], False, None, None, 1),
        ([REFUSED], False, None, None, 2),
        ([TIMED_OUT], False, ErrorKind.ANSWER_TIMEOUT, Outcome.MAY_HAVE_RUN, 1),
        ([ENDPOINT_FAILED], False, ErrorKind.ENDPOINT_FAILED, Outcome.MAY_HAVE_RUN, 1),
        ([CROSSED], False, ErrorKind.ANSWER_CROSSED, Outcome.MAY_HAVE_RUN, 1),
        ([REFUSED, TRUNCATED], False, ErrorKind.ANSWER_TRUNCATED, None, 2),
        ([REFUSED] * 3, False, ErrorKind.ENDPOINT_REFUSED, Outcome.NOT_RUN, 3),
        ([TIMED_OUT, CROSSED], True, None, None, 3),
        # The last attempt did not run, but the first one may have.
        ([TIMED_OUT, REFUSED, REFUSED], True, ErrorKind.ENDPOINT_REFUSED, None, 3),
    ],
)
async def test_calls_are_retried_only_if_that_is_safe(
    script, repeatable, kind, outcome, attempts
):
    """Guards against a second execution, and against a wrong outcome `not_run`."""
    dispatch, links, clock = dispatching()
    links.fake_plain.script = list(script)
    log = AttemptLog()
    result = await dispatch.call_plain(context(clock), CALL, repeatable, log)
    assert log.count == attempts
    if kind is None:
        assert result.ok_value.answer.body == b"body"
    else:
        expected = outcome or Outcome.MAY_HAVE_RUN
        assert (result.err_value.kind, result.err_value.outcome) == (kind, expected)
    assert len({call.attempt_id for call in links.fake_plain.calls}) == attempts
    if not repeatable:
        assert len(links.fake_plain.runs) <= 1


@pytest.mark.proof("whole-answer", "crash")
@pytest.mark.proof("whole-answer", "silent")
@pytest.mark.parametrize("failed", [TIMED_OUT, CROSSED, TRUNCATED, ENDPOINT_FAILED])
async def test_an_interrupted_stream_is_resumed_from_its_text(failed):
    """Guards against a resumed stream that is truncated or starts again."""
    dispatch, links, clock = dispatching()
    links.fake_engine.script = [["one ", failed], ["two"]]
    chunks = dispatch.generate(context(clock, "raadgiver-llm"), GENERATE)
    assert [chunk.ok_value.text async for chunk in chunks] == ["one ", "two"]
    second = links.fake_engine.requests[1]
    assert (second.prefix, second.max_tokens) == ("one ", 7)


async def test_draining_waits_for_a_running_stream():
    """Guards against a shutdown that interrupts a stream."""
    dispatch, links, clock = dispatching()
    links.fake_engine.gate = anyio.Event()
    seen = []

    async def read():
        chunks = dispatch.generate(context(clock, "raadgiver-llm"), GENERATE)
        seen.extend([chunk async for chunk in chunks])

    async def drain():
        await dispatch.drain(clock.now() + 60)
        seen.append("drained")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(drain)
        await anyio.wait_all_tasks_blocked()
        assert seen == []
        links.fake_engine.gate.set()
    assert len(seen) == 3
    assert seen[-1] == "drained"


class QueueingAdmission(OpenAdmission):
    """Admission that queues every request until the test admits or expires it."""

    def __init__(self):
        self.queued = []
        self.admitted = []
        self.late = []
        self.withdrawn = []
        self.finished_count = 0

    def offer(self, request_id, req, now):
        self.queued.append(request_id)
        return Ok(False)

    def next_admitted(self, now):
        return self.admitted

    def expired(self, now):
        return self.late

    def withdraw(self, request_id):
        self.withdrawn.append(request_id)

    def finished(self, req, end, started_at, now):
        self.finished_count += 1


@pytest.mark.parametrize("verdict", ["admitted", "late", "cancelled"])
async def test_queued_requests_are_admitted_refused_or_withdrawn(verdict):
    """Guards against a request that waits indefinitely or leaks capacity."""
    dispatch, _, clock = dispatching()
    admission = QueueingAdmission()
    dispatch.kernel.plugin("endpoints").admission = admission
    results = []

    async def call():
        results.append(await dispatch.call_plain(context(clock), CALL, False))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await anyio.wait_all_tasks_blocked()
        if verdict == "cancelled":
            tasks.cancel_scope.cancel()
        else:
            setattr(admission, verdict, list(admission.queued))
            dispatch._process_queue()
    expected = {
        "admitted": (True, 1, []),
        "late": (False, 0, []),
        "cancelled": (None, 0, admission.queued),
    }
    ok = results[0].is_ok() if results else None
    seen = (ok, admission.finished_count, admission.withdrawn)
    assert seen == expected[verdict]
    assert dispatch.in_flight == 0


async def test_samples_of_a_group_can_be_generated():
    """Guards against a failure to hash the group name for affinity routing."""
    dispatch, _, clock = dispatching()
    ctx = context(clock, "raadgiver-llm")._replace(group="g1")
    chunks = [chunk async for chunk in dispatch.generate(ctx, GENERATE)]
    assert [chunk.ok_value.text for chunk in chunks] == ["one ", "two"]
