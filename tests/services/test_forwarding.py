"""Tests of forwarding requests and streams: retries, hedging and resumption."""

import anyio
import pytest

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import RequestKind
from tests.policy.serving_samples import route
from tests.services.store_fleet import SAFE_ROUTE, FakePlatform, running

pytestmark = pytest.mark.anyio

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
