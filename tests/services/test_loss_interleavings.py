"""Random interleavings of a request that crashes endpoints and of sound ones.

A client repeats one request, which crashes each endpoint that runs it, at any instance,
while others send unique requests and a frequent one. Endpoints also crash together by
themselves, the store goes away, and instances start and end.
"""

import random

import anyio
import pytest
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import PlainAnswer
from plantainstack.policy import quarantine
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import EndpointAnswer
from tests.policy.serving_samples import endpoint
from tests.services.random_days import RandomDay, play_all
from tests.services.store_fleet import (
    SAFE_ROUTE,
    FakePlatform,
    ScriptedEndpoints,
    running,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

SEEDS = range(16)
RESTART_S = 3.0
# Time after which an instance is to act on what happened at another one.
CONTACT_S = 3.0
SENDS_MAX = 3
DEADLY = "/s/deadly"
FREQUENT = "/s/frequent"

CRASHED = Err(Failure.of(ErrorKind.ENDPOINT_FAILED, "scripted"))
DOWN = Err(Failure(ErrorKind.ENDPOINT_REFUSED, "scripted", Outcome.NOT_RUN))


class CrashingEndpoints(ScriptedEndpoints):
    """Crash with all their requests when they run the deadly one, and start again."""

    def __init__(self, platform, rng, tasks):
        super().__init__(platform)
        self.rng = rng
        self.tasks = tasks
        self.crashes = {id: anyio.Event() for id in platform.endpoints}
        self.down_until = dict.fromkeys(platform.endpoints, 0.0)
        self.deadly_sends = []
        self.deadly_crashes = []
        self.last_crash = -RESTART_S

    async def call(self, endpoint, call):
        clock = self._platform.clock
        if clock.now() < self.down_until[endpoint.id]:
            await anyio.sleep(0.005)
            return DOWN
        crash = self.crashes[endpoint.id]
        if call.target == DEADLY:
            self.deadly_sends.append(clock.now())
            await anyio.sleep(self.rng.uniform(0.0, 0.15))
            if not crash.is_set():
                self.deadly_crashes.append(clock.now())
                self.crash(endpoint.id)
            return CRASHED
        with anyio.move_on_after(self.rng.uniform(0.05, 0.2)):
            await crash.wait()
            return CRASHED
        return Ok(EndpointAnswer(PlainAnswer(200, [], b""), False, None, "receipt"))

    def crash(self, id):
        """Fail all requests of an endpoint, and start it again later."""
        clock = self._platform.clock
        if clock.now() < self.down_until[id]:
            return
        self.last_crash = clock.now()
        self.down_until[id] = clock.now() + RESTART_S
        self.crashes[id].set()
        self.tasks.start_soon(self._restart, id)

    async def _restart(self, id):
        await anyio.sleep(RESTART_S)
        self.crashes[id] = anyio.Event()
        found = self._platform.endpoints[id]
        restarted = found._replace(started_ms=found.started_ms + 1)
        self._platform.endpoints[id] = restarted


class Day(RandomDay):
    """Play one random day and check what endpoints and callers saw."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = FakePlatform(LoopClock())
        count = self.rng.choice([3, 3, 4, 6])
        self.platform.endpoints = {f"e{n}": endpoint(f"e{n}") for n in range(count)}
        self.kernels = []
        self.last_outage = 0.0
        self.unserved = []

    async def play(self):
        async with anyio.create_task_group() as tasks:
            client = CrashingEndpoints(self.platform, self.rng, tasks)
            self.platform.client = client
            async with running(self.platform, "a", "b", "c") as self.kernels:
                async with anyio.create_task_group() as day:
                    day.start_soon(self._repeat_deadly)
                    day.start_soon(self._send_sound)
                    day.start_soon(self._disturb)
                    day.start_soon(self.run_another_instance)
                    await anyio.sleep(self.seconds)
                    day.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
        self._check()

    async def _repeat_deadly(self):
        await anyio.sleep(self.rng.uniform(1.0, 6.0))
        for number in range(20):
            copies = self.rng.choice([1, 1, 2])
            async with anyio.create_task_group() as tasks:
                for kernel in self.rng.sample(self.kernels, copies):
                    tasks.start_soon(self._send, kernel, f"d{number}", DEADLY)
            await anyio.sleep(self.rng.choice([0.02, 0.1, 1.0, 2.0]))

    async def _send_sound(self):
        async with anyio.create_task_group() as tasks:
            for number in range(10_000):
                target = self.rng.choice([FREQUENT, f"/s/{number}"])
                kernel = self.rng.choice(self.kernels)
                tasks.start_soon(self._send, kernel, f"s{number}", target)
                await anyio.sleep(self.rng.uniform(0.05, 0.2))

    async def _send(self, kernel, id, target):
        sent_at = self.platform.clock.now()
        call = ClientCall(
            id, "POST", target, "desk.example", (), b"", sent_at + SAFE_ROUTE.timeout_s
        )
        outcome = await kernel.plugin("forwarding").plain(call, SAFE_ROUTE)
        # Endpoints that are back are avoided for some seconds more.
        calm = sent_at > self.platform.client.last_crash + 3 * RESTART_S
        if target != DEADLY and calm and outcome.is_err():
            self.unserved.append((sent_at, target, outcome.unwrap_err()))

    async def _disturb(self):
        for _ in range(self.rng.randint(1, 3)):
            await anyio.sleep(self.rng.uniform(1.0, 4.0))
            if self.rng.random() < 0.7:
                await self._lose_rack()
            else:
                await self.take_store_away()
                self.last_outage = self.platform.clock.now()

    async def _lose_rack(self):
        """Crash endpoints together while many frequent requests are in flight."""
        async with anyio.create_task_group() as tasks:
            for number in range(32):
                kernel = self.rng.choice(self.kernels)
                tasks.start_soon(self._send, kernel, f"f{number}", FREQUENT)
            await anyio.sleep(0.03)
            for id in self.rng.sample(sorted(self.platform.endpoints), 3):
                self.platform.client.crash(id)

    def _check(self):
        client = self.platform.client
        if len(client.deadly_crashes) >= 3:
            third = client.deadly_crashes[2]
            bound = max(third, self.last_outage) + CONTACT_S
            late = [at for at in client.deadly_sends if at > bound]
            assert len(late) <= SENDS_MAX, "sent after three crashes"
        assert self.unserved == [], "sound requests unserved"


async def test_request_that_crashes_endpoints_is_stopped_and_others_are_served():
    """Guards against one request that crashes endpoints, or refuses sound ones."""
    await play_all(Day, SEEDS)


async def test_losses_that_nobody_remembers_are_caught(monkeypatch):
    """Checks the check: a wrong version sends the request again without a history."""
    monkeypatch.setattr(quarantine.LossRecords, "add", lambda *args: False)
    with pytest.raises(AssertionError, match="sent after"):
        await play_all(Day, SEEDS)


async def test_frequent_requests_that_are_blamed_are_caught(monkeypatch):
    """Checks the check: a wrong version does not tell frequent requests apart."""
    monkeypatch.setattr(quarantine.LossRecords, "was_answered", lambda *args: False)
    with pytest.raises(AssertionError, match="unserved"):
        await play_all(Day, SEEDS)
