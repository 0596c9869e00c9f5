"""Tests that endpoints whose answers say that they leave get nothing new."""

import random

import anyio
import pytest

from plantainstack import metrics
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy.endpoint_view import EndpointView
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import ItemState, RequestKind, StreamHead
from tests.policy.serving_samples import batch, endpoint, item, route, scored_item
from tests.services.random_days import RandomDay, play_all
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    REWARD_ROUTE,
    SAFE_ROUTE,
    FakePlatform,
    ScriptedEndpoints,
    all_results,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

STREAM_ROUTE = route(
    RequestKind.STREAM, name="r-stream", resumable=True, endpoints_max=3
)
SEEDS = range(16)
BROKEN = Failure.of(ErrorKind.ANSWER_TRUNCATED, "scripted")


def call(kernel, id="r1", seconds=5.0):
    deadline = kernel.clock.now() + seconds
    return ClientCall(id, "POST", "/s/x", "desk.example", (), b"", deadline)


def sent_to(platform, id):
    """Return what an endpoint got: requests, and streams of items or callers."""
    calls = [call for call, end in platform.client.calls if end == id]
    opened = platform.client.opened_streams
    return calls + [stream for stream, end, _ in opened if end == id]


async def hear(kernel, platform, *ids):
    """Let an instance get an answer of each endpoint that says that it leaves."""
    platform.client.leaving |= set(ids)
    store = kernel.plugin("store")
    for id in ids:
        target = platform.endpoints[id]
        await store.endpoint_client.report(target, kernel.clock.now() + 1.0)


async def read_stream(kernel):
    forwarding = kernel.plugin("forwarding")
    found = forwarding.stream(call(kernel), STREAM_ROUTE)
    return [part async for part in found]


@pytest.mark.proof("leaving", "list-lag")
async def test_request_after_the_answer_goes_to_another_endpoint():
    """Guards against requests to a leaving endpoint that is registered as ready."""
    platform = FakePlatform(LoopClock())
    platform.client.leaving = {"e1"}
    async with running(platform, "a") as (kernel,):
        forwarding = kernel.plugin("forwarding")
        for number in range(20):
            outcome = await forwarding.plain(call(kernel, f"r{number}"), SAFE_ROUTE)
            assert outcome.is_ok()
    assert len(sent_to(platform, "e1")) <= 1


async def test_retry_does_not_go_to_an_endpoint_that_leaves():
    """Guards against retries at a leaving endpoint."""
    platform = FakePlatform(LoopClock())
    platform.endpoints["e3"] = endpoint("e3")
    platform.client.statuses = {"e2": BROKEN}
    async with running(platform, "a") as (kernel,):
        await hear(kernel, platform, "e1")
        forwarding = kernel.plugin("forwarding")
        for number in range(4):
            await forwarding.plain(call(kernel, f"r{number}"), SAFE_ROUTE)
    assert sent_to(platform, "e1") == []


async def test_hedge_does_not_go_to_an_endpoint_that_leaves():
    """Guards against hedges at a leaving endpoint."""
    platform = FakePlatform(LoopClock())
    async with running(platform, "a") as (kernel,):
        await hear(kernel, platform, "e1")
        platform.client.scripts["r1"] = [anyio.Event()]
        found = await kernel.plugin("forwarding").plain(call(kernel), SAFE_ROUTE)
    assert found.unwrap_err().kind is ErrorKind.ANSWER_TIMEOUT
    assert platform.client.calls == [("r1", "e2")]


async def test_running_answer_of_a_leaving_endpoint_is_not_cut():
    """Guards against cutting what runs at an endpoint when it begins to leave."""
    platform = FakePlatform(LoopClock())
    gate = anyio.Event()
    platform.client.scripts["r1"] = [gate]
    del platform.endpoints["e2"]
    outcomes = []

    async def send(kernel):
        forwarding = kernel.plugin("forwarding")
        outcomes.append(await forwarding.plain(call(kernel), SAFE_ROUTE))

    async with running(platform, "a") as (kernel,):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, kernel)
            await until(lambda: platform.client.calls)
            await hear(kernel, platform, "e1")
            gate.set()
    assert outcomes[0].unwrap().answer.body == b"e1"


async def test_stream_is_not_resumed_at_an_endpoint_that_leaves():
    """Guards against resuming a stream at a leaving endpoint."""
    platform = FakePlatform(LoopClock())
    platform.client.failing_events = [("r1", 2)]
    async with running(platform, "a") as (kernel,):
        await hear(kernel, platform, "e1")
        parts = await read_stream(kernel)
    assert sent_to(platform, "e1") == []
    assert isinstance(parts[0].unwrap(), StreamHead)
    assert parts[-1].is_err()


async def test_request_that_waited_for_a_permit_does_not_go_to_a_leaving_endpoint():
    """Guards against requests chosen before the endpoint said that it leaves."""
    platform = FakePlatform(LoopClock())
    async with running(platform, "a") as (kernel,):
        forwarding = kernel.plugin("forwarding")
        permits = kernel.plugin("rate_permits")
        for id in ("e1", "e2"):
            permits.record_answer(platform.endpoints[id], 1.0, kernel.clock.now())
        waited = []

        async def acquire(chosen, priority, deadline):
            if not waited:
                waited.append(chosen.id)
                await hear(kernel, platform, chosen.id)
            return True

        permits.acquire = acquire
        outcome = await forwarding.plain(call(kernel), SAFE_ROUTE)
    [left] = waited
    assert outcome.is_ok()
    assert sent_to(platform, left) == []


async def test_request_is_refused_at_once_when_all_endpoints_leave():
    """Guards against holding a request that no endpoint may get."""
    platform = FakePlatform(LoopClock())
    async with running(platform, "a") as (kernel,):
        await hear(kernel, platform, "e1", "e2")
        started = kernel.clock.now()
        outcome = await kernel.plugin("forwarding").plain(call(kernel), SAFE_ROUTE)
        assert kernel.clock.now() == started
    failure = outcome.unwrap_err()
    assert (failure.kind, failure.outcome) == (ErrorKind.NO_ENDPOINT, Outcome.NOT_RUN)
    assert platform.client.calls == []


async def test_waiting_items_do_not_go_to_an_endpoint_that_leaves():
    """Guards against starting, resuming or moving items at a leaving endpoint."""
    platform = FakePlatform(LoopClock())
    for id in platform.endpoints:
        platform.endpoints[id] = endpoint(id, slots=1)
    items = batch(*(item(f"i{n}", f"g{n // 2}") for n in range(8)))
    gates = {(f"i{n}", 2): anyio.Event() for n in range(8)}
    platform.client.blocked_events = gates
    platform.client.failing_events = [("i0", 3), ("i1", 3)]
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(items, BATCH_ROUTE)).is_ok()
        await until(lambda: len(platform.client.opened_streams) >= 2)
        await hear(kernel, platform, "e1")
        before = len(sent_to(platform, "e1"))
        for gate in gates.values():
            gate.set()
        results = await all_results(batches, "b1", 8)
    assert {result.state for result in results} == {ItemState.COMPLETED}
    assert len(sent_to(platform, "e1")) == before


async def test_reward_calls_do_not_go_to_an_endpoint_that_leaves():
    """Guards against reward calls at a leaving endpoint."""
    platform = FakePlatform(LoopClock())
    for id in ("a1", "a2"):
        platform.endpoints[id] = endpoint(id, service="app", versions={})
    scored = batch(*(scored_item(f"i{n}", f"g{n // 2}") for n in range(4)))
    async with running(platform, "a") as (kernel,):
        await hear(kernel, platform, "a1")
        batches = kernel.plugin("batches")
        assert (await batches.submit(scored, BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 4)
    assert sent_to(platform, "a1") == []
    assert len(sent_to(platform, "a2")) == 4
    assert REWARD_ROUTE in CONFIG.routes


async def test_version_is_not_ordered_at_an_endpoint_that_leaves():
    """Guards against loads of weights at an endpoint that ends."""
    platform = FakePlatform(LoopClock())
    async with running(platform, "a") as (kernel,):
        await hear(kernel, platform, "e1")
        platform.versions = {"m0": 2}
        await until(lambda: platform.endpoints["e2"].versions["m0"] == 2)
        await anyio.sleep(2.0)
    assert {id for id, _, _ in platform.client.orders} == {"e2"}


async def test_leaving_is_logged_and_counted_once():
    """Guards against a line and a count for each answer of a leaving endpoint."""
    labels = {"service": "models", "source": "answer"}
    name = "plantainstack_endpoints_leaving_total"
    before = metrics.REGISTRY.get_sample_value(name, labels) or 0.0
    platform = FakePlatform(LoopClock())
    async with running(platform, "a") as (kernel,):
        await hear(kernel, platform, "e1")
        await hear(kernel, platform, "e1")
    assert metrics.REGISTRY.get_sample_value(name, labels) == before + 1.0


class LeavingEndpoints(ScriptedEndpoints):
    """Record the requests that instances send; each takes some time."""

    def __init__(self, platform, rng):
        super().__init__(platform)
        self.rng = rng
        self.sent = []

    async def call(self, endpoint, call):
        self.sent.append((self._platform.clock.now(), endpoint, call.request_id))
        await anyio.sleep(self.rng.uniform(0.01, 0.3))
        return await super().call(endpoint, call)


class Day(RandomDay):
    """Let endpoints leave and start again while registrations lag behind."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = FakePlatform(LoopClock())
        ids = [f"e{n}" for n in range(self.rng.choice([2, 3, 5]))]
        self.platform.endpoints = {id: endpoint(id) for id in ids}
        self.platform.client = LeavingEndpoints(self.platform, self.rng)
        self.kernels = []
        # Times at which instances were told, by instance and endpoint incarnation.
        self.told = {}
        self.sent = []
        self.refused = []

    async def play(self):
        async with running(self.platform, "a", "b", "c") as self.kernels:
            for kernel in self.kernels:
                self._observe(kernel)
            async with anyio.create_task_group() as day:
                day.start_soon(self._send)
                day.start_soon(self._leave)
                day.start_soon(self._disturb)
                await anyio.sleep(self.seconds)
                day.cancel_scope.cancel()
        self._check()

    def _observe(self, kernel):
        """Record what one instance is told, and what it sends."""
        client = kernel.plugin("store").endpoint_client
        name = kernel.settings.instance.id
        clock = self.platform.clock

        def record_told(endpoint):
            self.told.setdefault((name, endpoint.incarnation()), clock.now())

        client.notify_leaving(record_told)
        plain = client.call

        async def record_sent(endpoint, call):
            self.sent.append((clock.now(), name, endpoint.incarnation()))
            return await plain(endpoint, call)

        client.call = record_sent

    async def _send(self):
        async with anyio.create_task_group() as tasks:
            for number in range(10_000):
                kernel = self.rng.choice(self.kernels)
                tasks.start_soon(self._send_one, kernel, f"s{number}")
                await anyio.sleep(self.rng.uniform(0.02, 0.2))

    async def _send_one(self, kernel, id):
        forwarding = kernel.plugin("forwarding")
        outcome = await forwarding.plain(call(kernel, id), SAFE_ROUTE)
        staying = set(self.platform.endpoints) - self.platform.client.leaving
        if outcome.is_err() and staying:
            self.refused.append(outcome.unwrap_err())

    async def _leave(self):
        """Let endpoints leave; each registration stays as it was for a time."""
        for _ in range(12):
            await anyio.sleep(self.rng.uniform(0.2, 2.0))
            ids = sorted(set(self.platform.endpoints) - self.platform.client.leaving)
            if len(ids) < 2:
                continue
            leaving = self.rng.sample(ids, self.rng.randint(1, len(ids) - 1))
            self.platform.client.leaving |= set(leaving)
            await anyio.sleep(self.rng.uniform(0.5, 4.0))
            for id in leaving:
                await self._end(id)

    async def _end(self, id):
        """End an endpoint, which starts again under its id or as another one."""
        old = self.platform.endpoints.pop(id)
        self.platform.client.leaving.discard(id)
        if self.rng.random() < 0.3:
            # An old list, still with the endpoint that has left.
            await anyio.sleep(self.rng.uniform(0.0, 1.0))
            self.platform.endpoints[id] = old
            await anyio.sleep(self.rng.uniform(0.0, 1.0))
        again = old._replace(started_ms=old.started_ms + 1)
        if self.rng.random() < 0.5:
            self.platform.endpoints.pop(id, None)
            again = again._replace(id=f"{id}x")
        self.platform.endpoints[again.id] = again

    async def _disturb(self):
        for _ in range(self.rng.randint(1, 3)):
            await anyio.sleep(self.rng.uniform(1.0, 4.0))
            await self.take_store_away()

    def _check(self):
        late = [
            (at, name, key)
            for at, name, key in self.sent
            if at > self.told.get((name, key), at)
        ]
        assert self.told
        assert late == [], "sent to a leaving endpoint"
        assert self.refused == [], "refused beside a staying endpoint"


@pytest.mark.proof("leaving", "list-lag")
@pytest.mark.proof("leaving", "store-down")
async def test_no_instance_sends_to_an_endpoint_that_told_it_that_it_leaves():
    """Guards against requests to leaving endpoints when what is known of them lags."""
    await play_all(Day, SEEDS)


async def test_requests_to_leaving_endpoints_are_caught(monkeypatch):
    """Checks the check: a wrong version follows the registrations alone."""
    monkeypatch.setattr(EndpointView, "record_leaving", lambda *args: False)
    with pytest.raises(AssertionError, match="sent to a leaving endpoint"):
        await play_all(Day, SEEDS)
