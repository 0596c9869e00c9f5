"""Tests of forwarding requests and streams: retries, hedging and resumption."""

import anyio
import pytest

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy.tenants import Tenant
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import RequestKind
from tests.policy.serving_samples import route
from tests.services.store_fleet import SAFE_ROUTE, FakePlatform, running

pytestmark = pytest.mark.anyio

TENANT = Tenant("t1")
STREAM_ROUTE = route(RequestKind.STREAM, name="r-stream")
UNSAFE_ROUTE = route(RequestKind.UNSAFE, name="r-unsafe")
BROKEN = Failure.of(ErrorKind.ANSWER_TRUNCATED, "scripted")
UNREACHED = Failure.of(ErrorKind.ENDPOINT_REFUSED, "scripted")


def call(kernel, seconds=5.0):
    deadline = kernel.clock.now() + seconds
    return ClientCall("r1", "POST", "/s/x", "desk.example", (), b"", deadline)


async def answer(statuses, found_route=SAFE_ROUTE, seconds=5.0):
    platform = FakePlatform()
    platform.client.statuses = statuses
    async with running(platform, "a") as kernels:
        forwarding = kernels[0].plugin("forwarding")
        outcome = await forwarding.plain(call(kernels[0], seconds), found_route)
        return outcome, platform.client.calls


async def test_response_is_returned():
    outcome, calls = await answer({})
    assert outcome.unwrap().answer.status == 200
    assert len(calls) == 1


@pytest.mark.parametrize("fault", [BROKEN, UNREACHED, 500, 503])
async def test_safe_requests_are_retried_on_another_endpoint(fault):
    """Guards against failing a request that another endpoint can serve."""
    outcome, calls = await answer({"e1": fault})
    assert outcome.unwrap().answer.body == b"e2"
    assert {endpoint for _, endpoint in calls} <= {"e1", "e2"}


async def test_unsafe_requests_run_at_most_once():
    """Guards against running a request twice that must not be repeated."""
    outcome, calls = await answer({"e1": BROKEN, "e2": BROKEN}, UNSAFE_ROUTE)
    assert outcome.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
    assert len(calls) == 1


@pytest.mark.parametrize("fault", [UNREACHED, 503])
async def test_unsafe_requests_that_did_not_run_are_retried(fault):
    outcome, _calls = await answer({"e1": fault}, UNSAFE_ROUTE)
    assert outcome.unwrap().answer.body == b"e2"


async def test_requests_that_no_endpoint_ran_fail_as_not_run():
    outcome, _ = await answer({"e1": 503, "e2": 503})
    assert outcome.unwrap_err().outcome is Outcome.NOT_RUN


async def test_error_response_is_returned_if_every_endpoint_fails():
    """Guards against replacing the endpoint's error response by one of our own."""
    outcome, _ = await answer({"e1": 500, "e2": 500})
    assert outcome.unwrap().answer.status == 500


async def test_last_endpoint_is_asked_on_a_new_connection():
    """Guards against a request that is lost since its kept connection was closed."""
    platform = FakePlatform()
    platform.client.statuses = {"e1": 500, "e2": 500}
    async with running(platform, "a") as kernels:
        forwarding = kernels[0].plugin("forwarding")
        await forwarding.plain(call(kernels[0]), SAFE_ROUTE)
    reused = [sent.reuse_connection for sent in platform.client.sent_calls]
    assert reused == [True, False]


async def test_hedged_request_succeeds_while_the_first_endpoint_is_silent():
    """Guards against callers that wait for a silent endpoint until their deadline."""
    outcome, _calls = await answer({"e1": anyio.sleep_forever})
    assert outcome.unwrap().answer.body == b"e2"


async def test_request_past_its_deadline_may_have_run():
    """Guards against reporting `not_run` for a request that an endpoint received."""
    silent = {"e1": anyio.sleep_forever, "e2": anyio.sleep_forever}
    outcome, calls = await answer(silent, seconds=0.3)
    assert outcome.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
    assert len(calls) == 2


async def stream(failing_events, found_route):
    platform = FakePlatform()
    platform.client.failing_events = list(failing_events)
    async with running(platform, "a") as kernels:
        forwarding = kernels[0].plugin("forwarding")
        found = forwarding.stream(call(kernels[0]), found_route)
        return [part async for part in found], platform.client.opened_streams


async def test_resumable_stream_resumes_on_another_endpoint():
    """Guards against missing or duplicate events after a resumption."""
    resumable = route(RequestKind.STREAM, endpoints_max=3)
    parts, opened_streams = await stream([("r1", 3)], resumable)
    assert all(part.is_ok() for part in parts)
    assert len(parts) == 4
    assert [resume for _, _, resume in opened_streams] == [None, 2]


async def test_interrupted_stream_that_is_not_resumable_fails():
    """Guards against an interrupted stream that looks complete."""
    once = route(RequestKind.STREAM, resumable=False, endpoints_max=3)
    parts, opened_streams = await stream([("r1", 3)], once)
    assert parts[-1].is_err()
    assert len(opened_streams) == 1


async def begins(
    statuses, found_route=SAFE_ROUTE, seconds=5.0, tenant=TENANT, failing=()
):
    """Return the begins that usage is told of for one request."""
    platform = FakePlatform()
    platform.client.statuses = statuses
    platform.client.failing_events = list(failing)
    async with running(platform, "a") as kernels:
        forwarding = kernels[0].plugin("forwarding")
        found = []
        forwarding.usage.record_begin = lambda *args: found.append(args)
        sent = call(kernels[0], seconds)._replace(tenant=tenant)
        if found_route.kind is RequestKind.STREAM:
            async for _ in forwarding.stream(sent, found_route):
                pass
        else:
            await forwarding.plain(sent, found_route)
        return found


@pytest.mark.parametrize("found_route", [SAFE_ROUTE, UNSAFE_ROUTE, STREAM_ROUTE])
async def test_request_that_an_endpoint_ran_is_counted_for_its_tenant(found_route):
    """Guards against requests that are missing in usage reports."""
    [(tenant, _)] = await begins({}, found_route)
    assert tenant == "t1"
    assert await begins({}, found_route, tenant=None) == []


@pytest.mark.parametrize("fault", [BROKEN, UNREACHED, 500, 503])
async def test_retried_request_is_counted_once(fault):
    """Guards against requests that are charged twice."""
    assert len(await begins({"e1": fault})) == 1


async def test_request_that_may_have_run_is_counted_and_a_refused_one_is_not():
    """Guards against charging for refusals, and against free work at endpoints."""
    assert len(await begins({"e1": BROKEN, "e2": BROKEN}, UNSAFE_ROUTE)) == 1
    assert len(await begins({"e1": anyio.Event(), "e2": anyio.Event()}, seconds=0.2))
    assert await begins({"e1": 503, "e2": UNREACHED}) == []
    assert await begins({"r1": 503}, STREAM_ROUTE) == []


async def test_stream_is_counted_with_its_first_event():
    """Guards against streams that are counted before they begin, or once more later."""
    assert await begins({}, STREAM_ROUTE, failing=[("r1", 1), ("r1", 1)]) == []
    resumable = route(RequestKind.STREAM, endpoints_max=3)
    assert len(await begins({}, resumable, failing=[("r1", 3)])) == 1


async def test_stream_begins_at_the_time_of_its_first_event():
    """Guards against streams that wait at an endpoint and miss their window."""
    platform = FakePlatform()
    first = platform.client.blocked_events[("r1", 1)] = anyio.Event()
    async with running(platform, "a") as kernels:
        forwarding = kernels[0].plugin("forwarding")
        found = []
        forwarding.usage.record_begin = lambda *args: found.append(args)
        sent = call(kernels[0])._replace(tenant=TENANT)

        async def read():
            async for _ in forwarding.stream(sent, STREAM_ROUTE):
                pass

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.sleep(0.3)
            assert found == []
            released_at = kernels[0].clock.now()
            first.set()
        [(_, began_at)] = found
        assert began_at >= released_at
