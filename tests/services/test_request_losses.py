"""Tests of requests that crash endpoints, with several instances on one store."""

import anyio
import pytest
from result import Err

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.services import request_losses
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import RequestKind
from tests.policy.serving_samples import endpoint, route
from tests.services.store_fleet import SAFE_ROUTE, FakePlatform, running, until
from tests.virtual_time import LoopClock, anyio_backend  # noqa: F401

pytestmark = pytest.mark.anyio

CRASHED = Failure.of(ErrorKind.ENDPOINT_FAILED, "scripted")


def new_platform(count=6):
    platform = FakePlatform(LoopClock())
    platform.endpoints = {f"e{n}": endpoint(f"e{n}") for n in range(count)}
    return platform


def call(kernel, id, target="/s/deadly"):
    deadline = kernel.clock.now() + 5.0
    return ClientCall(id, "POST", target, "desk.example", (), b"", deadline)


async def send(kernel, id, target="/s/deadly", found_route=SAFE_ROUTE):
    forwarding = kernel.plugin("forwarding")
    return await forwarding.plain(call(kernel, id, target), found_route)


def crash_under(platform, *request_ids):
    """Let every endpoint fail the requests as a crash does, and start again."""
    client = platform.client
    original = client.call

    async def crashing_call(endpoint, sent):
        if sent.request_id not in request_ids:
            return await original(endpoint, sent)
        client.calls.append((sent.request_id, endpoint.id))
        found = platform.endpoints[endpoint.id]
        restarted = found._replace(started_ms=found.started_ms + 1)
        platform.endpoints[endpoint.id] = restarted
        return Err(CRASHED)

    client.call = crashing_call


def losses_known(kernels, count):
    """Return whether all instances know `count` losses of some request."""
    records = [kernel.plugin("request_losses").records for kernel in kernels]
    return all(
        any(len(record.lost) >= count for record in each._records.values())
        for each in records
    )


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
async def test_request_that_crashes_endpoints_is_refused_at_every_instance(kind):
    """Guards against a repeated request that crashes one endpoint after another."""
    platform = new_platform()
    found_route = route(kind, endpoints_max=3)
    ids = [f"r{n}" for n in range(12)]
    crash_under(platform, *ids)
    async with running(platform, "a", "b", "c") as kernels:
        outcomes = []
        for number, id in enumerate(ids):
            kernel = kernels[number % 3]
            outcomes.append(await send(kernel, id, found_route=found_route))
            losses = min(3, len(platform.client.calls))
            await until(lambda losses=losses: losses_known(kernels, losses))
    assert len(platform.client.calls) == 3
    refused = outcomes[-1].unwrap_err()
    assert refused.kind is ErrorKind.QUARANTINED
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s > 1.0


async def test_other_requests_are_served_beside_a_refused_one():
    """Guards against a class of requests that is refused for one of them."""
    platform = new_platform()
    crash_under(platform, "r1", "r2")
    async with running(platform, "a") as kernels:
        for id in ("r1", "r2"):
            await send(kernels[0], id)
        assert (await send(kernels[0], "r3", "/s/other")).is_ok()


async def test_request_that_is_answered_in_the_end_leaves_no_record():
    """Guards against requests that are refused after crashes of other causes."""
    platform = new_platform()
    platform.client.scripts["r1"] = [CRASHED]
    async with running(platform, "a", "b") as kernels:
        assert (await send(kernels[0], "r1")).is_ok()
        records = [kernel.plugin("request_losses").records for kernel in kernels]
        assert [each.count() for each in records] == [0, 0]
        assert platform.rows.parts("request_losses") == []


async def test_answer_clears_the_losses_at_every_instance():
    """Guards against losses that add up over days although the request is sound."""
    platform = new_platform()
    platform.client.scripts["r1"] = [CRASHED, CRASHED]
    async with running(platform, "a", "b") as kernels:
        assert (await send(kernels[0], "r1")).is_err()
        await until(lambda: losses_known(kernels, 2))
        assert (await send(kernels[1], "r2")).is_ok()
        records = [kernel.plugin("request_losses").records for kernel in kernels]
        await until(lambda: not any(each.count() for each in records))


@pytest.mark.parametrize("failing", [0, 1])
async def test_frequent_request_is_served_after_crashes_of_other_causes(failing):
    """Guards against a sound request that is refused after a whole rack was lost."""
    platform = new_platform()
    platform.client.scripts = {id: [CRASHED, CRASHED] for id in ("r2", "r3")}
    async with running(platform, "a", "b") as kernels:
        assert (await send(kernels[0], "r1", "/s/frequent")).is_ok()
        for id in ("r2", "r3"):
            assert (await send(kernels[failing], id, "/s/frequent")).is_err()
        for kernel in kernels:
            await anyio.sleep(request_losses.REMOVAL_SPREAD_S + 0.1)
            assert (await send(kernel, "r4", "/s/frequent")).is_ok()
    assert platform.rows.parts("request_losses") == []


async def test_error_answer_does_not_clear_the_losses():
    """Guards against a faulty endpoint that frees a request which crashes others."""
    platform = new_platform()
    platform.client.scripts["r1"] = [CRASHED, CRASHED]
    platform.client.scripts["r2"] = [500, 500, 500]
    async with running(platform, "a") as kernels:
        assert (await send(kernels[0], "r1")).is_err()
        assert (await send(kernels[0], "r2")).unwrap().answer.status == 500
        assert losses_known(kernels, 2)


async def test_losses_under_streams_are_shared_and_cleared():
    """Guards against streams that crash endpoints and have no record."""
    platform = new_platform()
    stream_route = route(RequestKind.STREAM, endpoints_max=2)
    platform.client.failing_events = [("r1", 1), ("r1", 1)]
    async with running(platform, "a", "b") as kernels:
        records = [kernel.plugin("request_losses").records for kernel in kernels]
        forwarding = kernels[0].plugin("forwarding")
        parts = forwarding.stream(call(kernels[0], "r1"), stream_route)
        assert [part.is_err() async for part in parts][-1]
        await until(lambda: losses_known(kernels, 2))
        parts = forwarding.stream(call(kernels[0], "r2"), stream_route)
        assert [part.is_ok() async for part in parts][-1]
        await until(lambda: not any(each.count() for each in records))


async def test_instance_that_starts_later_knows_the_losses():
    """Guards against a restarted instance that sends the request again."""
    platform = new_platform()
    crash_under(platform, "r1", "r2", "r3")
    async with running(platform, "a") as kernels:
        for id in ("r1", "r2", "r3"):
            await send(kernels[0], id)
    platform.client.calls.clear()
    async with running(platform, "b") as kernels:
        await until(lambda: losses_known(kernels, 3))
        assert (await send(kernels[0], "r3")).is_err()
    assert platform.client.calls == []


async def test_losses_are_shared_after_an_outage_of_the_store(monkeypatch):
    """Guards against losses that only one instance knows since the store was away."""
    platform = new_platform()
    monkeypatch.setattr(request_losses, "SHARE_RETRY_S", 0.02)
    crash_under(platform, "r1", "r2")
    async with running(platform, "a", "b") as kernels:
        store = kernels[0].plugin("store").metadata_store
        store.unavailable = True
        for id in ("r1", "r2"):
            await send(kernels[0], id)
        assert not losses_known(kernels, 3)
        store.unavailable = False
        await until(lambda: losses_known(kernels, 3))


async def test_request_with_a_loss_uses_a_new_connection():
    """Guards against a request that is sent twice where a reused connection breaks."""
    platform = new_platform()
    platform.client.scripts["r1"] = [CRASHED]
    async with running(platform, "a") as kernels:
        assert (await send(kernels[0], "r1")).is_ok()
    reused = [sent.reuse_connection for sent in platform.client.sent_calls]
    assert reused == [True, False]


async def test_request_with_a_loss_is_not_hedged():
    """Guards against a second endpoint that is lost beside the first one."""
    platform = new_platform()
    platform.client.scripts["r1"] = [CRASHED, CRASHED]
    platform.client.scripts["r2"] = [anyio.Event()]
    async with running(platform, "a") as kernels:
        await send(kernels[0], "r1")
        platform.client.calls.clear()
        with anyio.move_on_after(0.5):
            await send(kernels[0], "r2")
    assert len(platform.client.calls) == 1
