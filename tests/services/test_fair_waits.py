"""Tests of requests of several tenants at full endpoints, with several instances."""

import random

import anyio
import pytest
from result import Ok

from plantainstack.errors import ErrorKind, Outcome
from plantainstack.interfaces import PlainAnswer
from plantainstack.policy.tenants import Tenant, TenantDirectory
from plantainstack.services.fair_waits import FairTurn
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import EndpointAnswer, RequestKind
from tests.services.store_fleet import (
    CONFIG,
    SAFE_ROUTE,
    FakePlatform,
    ScriptedEndpoints,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend  # noqa: F401

pytestmark = pytest.mark.anyio

ACME, BOLT = Tenant("acme"), Tenant("bolt")
KEYED = CONFIG._replace(tenants=TenantDirectory([(ACME, ["k-a"]), (BOLT, ["k-b"])]))
ROUTE = SAFE_ROUTE._replace(endpoints_max=1)
SLOTS, SERVICE_S, LIMIT_S = 3, 0.1, 2.0


class FullEndpoints(ScriptedEndpoints):
    """Refuse requests while all slots of an endpoint are taken."""

    def __init__(self, platform):
        super().__init__(platform)
        self.running = {"e1": 0, "e2": 0}

    async def call(self, endpoint, call):
        self.calls.append((call.request_id, endpoint.id))
        await anyio.sleep(0.002)
        if self.running[endpoint.id] >= SLOTS:
            return Ok(EndpointAnswer(PlainAnswer(503, [], b""), True, None))
        self.running[endpoint.id] += 1
        try:
            await anyio.sleep(SERVICE_S)
        finally:
            self.running[endpoint.id] -= 1
        return Ok(EndpointAnswer(PlainAnswer(200, [], b""), False, None))


def full_platform(cfg=KEYED):
    platform = FakePlatform(LoopClock())
    platform.config = cfg
    platform.client = FullEndpoints(platform)
    return platform


def fill(platform):
    platform.client.running.update(e1=SLOTS, e2=SLOTS)


async def send(kernel, tenant, number=0, limit_s=LIMIT_S):
    deadline = kernel.clock.now() + limit_s
    id = f"{tenant.name if tenant else ''}{number}"
    call = ClientCall(id, "GET", f"/s/{id}", "h", (), b"", deadline, None, tenant)
    return await kernel.plugin("forwarding").plain(call, ROUTE)


async def test_request_waits_for_a_slot_of_a_full_service():
    """Guards against a refusal while a slot is about to become free."""
    platform = full_platform()
    async with running(platform, "a") as kernels, anyio.create_task_group() as tasks:
        fill(platform)
        outcomes = []

        async def request():
            outcomes.append(await send(kernels[0], ACME))

        tasks.start_soon(request)
        await anyio.sleep(0.5)
        assert outcomes == []
        platform.client.running["e2"] -= 1
        await until(lambda: outcomes)
        assert outcomes[0].is_ok()
        assert kernels[0].plugin("fair_waits").state("models").turns == {}


async def test_stream_waits_for_a_slot_of_a_full_service():
    """Guards against turns that only plain requests get."""
    platform = full_platform()
    route = ROUTE._replace(kind=RequestKind.STREAM)
    async with running(platform, "a") as kernels, anyio.create_task_group() as tasks:
        platform.client.statuses["s1"] = 503
        deadline = platform.clock.now() + LIMIT_S
        call = ClientCall("s1", "POST", "/s/x", "h", (), b"", deadline, None, ACME)
        parts = []

        async def stream():
            found = kernels[0].plugin("forwarding").stream(call, route)
            parts.extend([part.is_ok() async for part in found])

        tasks.start_soon(stream)
        await anyio.sleep(0.5)
        assert parts == []
        del platform.client.statuses["s1"]
        await until(lambda: len(parts) == 4)
        assert all(parts)


async def test_request_that_gets_no_slot_is_refused_in_time():
    """Guards against a wait that leaves no time for an answer or for a return."""
    platform = full_platform()
    async with running(platform, "a") as kernels:
        fill(platform)
        started = platform.clock.now()
        failure = (await send(kernels[0], ACME)).unwrap_err()
        assert platform.clock.now() - started <= 0.6 * LIMIT_S
        assert (failure.kind, failure.outcome) == (
            ErrorKind.OVERLOADED,
            Outcome.NOT_RUN,
        )
        assert failure.retry_after_s >= 0.25


async def test_deployment_without_tenants_refuses_as_before():
    """Guards against waits where no tenants are configured."""
    platform = full_platform(CONFIG)
    async with running(platform, "a") as kernels:
        fill(platform)
        failure = (await send(kernels[0], None)).unwrap_err()
        assert failure.kind is ErrorKind.NO_ENDPOINT
        assert len(platform.client.calls) == 2


async def test_client_that_disconnects_leaves_the_queue():
    """Guards against turns that are given to requests that are gone."""
    platform = full_platform()
    async with running(platform, "a") as kernels:
        fill(platform)
        with anyio.move_on_after(0.3):
            await send(kernels[0], ACME)
        state = kernels[0].plugin("fair_waits").state("models")
        assert len(state.queue) == 0 and state.turns == {}
        platform.client.running.update(e1=0, e2=0)
        assert (await send(kernels[0], BOLT)).is_ok()


async def test_turn_of_a_client_that_has_gone_is_given_to_the_next_request():
    """Guards against a charge for a request not sent, and a free slot left idle."""
    platform = full_platform()
    async with running(platform, "a") as kernels:
        fair_waits = kernels[0].plugin("fair_waits")
        queue = fair_waits.state("models").queue
        now = kernels[0].clock.now()
        gone, left = (queue.offer(name, 5, now + 2.0, now) for name in ("acme", "bolt"))
        outcomes = []

        async def wait(ticket, scope):
            with scope:
                turn = FairTurn(fair_waits, "models", ticket)
                outcomes.append((ticket, await turn.wait(), kernels[0].clock.now()))

        scope = anyio.CancelScope()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait, gone, scope)
            await anyio.sleep(0)
            tasks.start_soon(wait, left, anyio.CancelScope())
            await anyio.sleep(0.01)
            # The turn is given in the same turn of the event loop.
            fair_waits.slot_freed("models")
            scope.cancel()
        ((ticket, given, at),) = outcomes
        assert (ticket, given) == (left, True)
        assert at - now < 0.05


async def test_slots_freed_together_are_all_given():
    """Guards against a free slot left idle until the next regular attempt."""
    platform = full_platform()
    async with running(platform, "a") as kernels:
        fair_waits = kernels[0].plugin("fair_waits")
        queue = fair_waits.state("models").queue
        now = kernels[0].clock.now()
        tickets = [queue.offer("acme", 5, now + 2.0, now) for _ in range(3)]
        given_at = []

        async def wait(ticket):
            assert await FairTurn(fair_waits, "models", ticket).wait()
            given_at.append(kernels[0].clock.now() - now)

        async with anyio.create_task_group() as tasks:
            for ticket in tickets:
                tasks.start_soon(wait, ticket)
            await anyio.sleep(0.01)
            for _ in range(2):
                fair_waits.slot_freed("models")
        assert sum(at < 0.05 for at in given_at) == 2


async def test_tenant_beside_a_burst_is_served():
    """Guards against a tenant that sends ten times as much and takes all slots."""
    platform = full_platform()
    rng = random.Random(1)
    found = {ACME: [], BOLT: []}

    async def request(kernel, tenant, number):
        found[tenant].append((await send(kernel, tenant, number)).is_ok())

    async with running(platform, "a", "b", "c") as kernels:
        started = platform.clock.now()
        async with anyio.create_task_group() as tasks:
            for number in range(1650):
                await anyio.sleep(rng.expovariate(330.0))
                tenant = BOLT if number % 11 == 0 else ACME
                tasks.start_soon(request, rng.choice(kernels), tenant, number)
        seconds = platform.clock.now() - started
    served = sum(map(sum, found.values()))
    overall = served / 1650
    for outcomes in found.values():
        assert sum(outcomes) / len(outcomes) >= 0.25 * overall
    # Of 6 slots for 0.102 s each, few are idle.
    assert served >= 0.8 * seconds * 6 / 0.102
