"""Tests of forwarding plain requests and streams."""

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


async def test_an_answer_is_returned():
    outcome, calls = await answer({})
    assert outcome.unwrap().answer.status == 200
    assert len(calls) == 1


@pytest.mark.parametrize("fault", [BROKEN, UNREACHED, 500, 503])
async def test_safe_requests_are_tried_at_another_endpoint(fault):
    """Guards against a failure that another endpoint would not have had."""
    outcome, calls = await answer({"e1": fault})
    assert outcome.unwrap().answer.body == b"e2"
    assert {endpoint for _, endpoint in calls} <= {"e1", "e2"}


async def test_unsafe_requests_run_once():
    """Guards against a booking that is made twice."""
    outcome, calls = await answer({"e1": BROKEN, "e2": BROKEN}, UNSAFE_ROUTE)
    assert outcome.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
    assert len(calls) == 1


@pytest.mark.parametrize("fault", [UNREACHED, 503])
async def test_unsafe_requests_that_did_not_run_are_tried_again(fault):
    outcome, _calls = await answer({"e1": fault}, UNSAFE_ROUTE)
    assert outcome.unwrap().answer.body == b"e2"


async def test_what_no_endpoint_ran_is_refused_as_not_run():
    outcome, _ = await answer({"e1": 503, "e2": 503})
    assert outcome.unwrap_err().outcome is Outcome.NOT_RUN


async def test_an_endpoints_own_failure_is_returned_if_no_other_does_better():
    """Guards against a failure of the system's own in place of the endpoint's."""
    outcome, _ = await answer({"e1": 500, "e2": 500})
    assert outcome.unwrap().answer.status == 500


async def test_a_second_endpoint_is_asked_while_the_first_is_silent():
    """Guards against callers who wait for a silent endpoint until their deadline."""
    outcome, _calls = await answer({"e1": anyio.sleep_forever})
    assert outcome.unwrap().answer.body == b"e2"


async def test_the_deadline_ends_a_request_as_one_that_may_have_run():
    """Guards against `not run` for a request that an endpoint has."""
    silent = {"e1": anyio.sleep_forever, "e2": anyio.sleep_forever}
    outcome, calls = await answer(silent, seconds=0.3)
    assert outcome.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
    assert len(calls) == 2


async def stream(cuts, found_route):
    platform = FakePlatform()
    platform.client.cuts = list(cuts)
    async with running(platform, "a") as kernels:
        forwarding = kernels[0].plugin("forwarding")
        found = forwarding.stream(call(kernels[0]), found_route)
        return [part async for part in found], platform.client.begun


async def test_a_resumable_stream_goes_on_at_another_endpoint():
    """Guards against events that are missing or come twice."""
    resumable = route(RequestKind.STREAM, endpoints_max=3)
    parts, begun = await stream([("r1", 3)], resumable)
    assert all(part.is_ok() for part in parts)
    assert len(parts) == 4
    assert [resume for _, _, resume in begun] == [None, 2]


async def test_another_stream_ends_with_a_failure():
    """Guards against a cut stream that looks complete."""
    once = route(RequestKind.STREAM, resumable=False, endpoints_max=3)
    parts, begun = await stream([("r1", 3)], once)
    assert parts[-1].is_err()
    assert len(begun) == 1
