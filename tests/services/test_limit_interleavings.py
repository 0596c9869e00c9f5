"""Random interleavings of endpoints that name limits, outages and restarts.

Endpoints name limits for a time, one after another and together, while callers send to
all instances, the store goes away for some of them, and instances start and end.
"""

import random
from typing import NamedTuple

import anyio
import pytest
from result import Ok

from plantainstack.interfaces import PlainAnswer
from plantainstack.policy import rate_limits
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
# Time after which instances keep to a limit, and after which one that was told does.
CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0


class Period(NamedTuple):
    """A time in which an endpoint names a limit in requests a second."""

    start: float
    end: float
    limit: float


class Arrival(NamedTuple):
    at: float
    instance: str


class LimitedEndpoints(ScriptedEndpoints):
    """Name the limits of the day, and record who sends when."""

    def __init__(self, platform, rng, periods):
        super().__init__(platform)
        self.rng = rng
        self.periods = periods
        self.arrivals = {id: [] for id in platform.endpoints}
        self.named_at = {}
        self.told_at = {}

    async def call(self, endpoint, call):
        clock = self._platform.clock
        instance = call.request_id.partition("-")[0]
        self.arrivals[endpoint.id].append(Arrival(clock.now(), instance))
        await anyio.sleep(self.rng.uniform(0.01, 0.06))
        period = self._period(endpoint.id, clock.now())
        if period is not None:
            self.named_at.setdefault((endpoint.id, period), clock.now())
            self.told_at.setdefault((endpoint.id, period, instance), clock.now())
        answer = PlainAnswer(200, [], b"")
        limit = period.limit if period else None
        return Ok(EndpointAnswer(answer, False, None, "receipt", limit))

    def _period(self, id, now):
        found = [each for each in self.periods[id] if each.start <= now < each.end]
        return found[0] if found else None

    def most_in_a_window(self, id, period):
        """Return the most requests in WINDOW_S from instances that were told."""
        first = self.named_at.get((id, period), period.end) + CONTACT_S
        times = [
            each.at
            for each in self.arrivals[id]
            if first <= each.at < period.end
            and self._was_told(id, period, each.instance, each.at)
        ]
        counts = [
            sum(start <= at < start + WINDOW_S for at in times) for start in times
        ]
        return max(counts, default=0)

    def _was_told(self, id, period, instance, at):
        told_at = self.told_at.get((id, period, instance))
        return told_at is not None and told_at + TOLD_S <= at


class Day(RandomDay):
    """Play one random day and check what endpoints and callers saw."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = FakePlatform(LoopClock())
        ids = [f"e{n}" for n in range(self.rng.randint(2, 4))]
        self.platform.endpoints = {id: endpoint(id) for id in ids}
        # Without a spared endpoint, callers may be refused.
        self.is_spared = self.rng.random() < 0.5
        self.limited = ids[1:] if self.is_spared else ids
        self.refused = []

    async def play(self):
        now = self.platform.clock.now()
        periods = {id: [] for id in self.platform.endpoints}
        periods |= {id: self._draw_periods(now) for id in self.limited}
        self.platform.client = LimitedEndpoints(self.platform, self.rng, periods)
        async with running(self.platform, "a", "b", "c") as self.kernels:
            async with anyio.create_task_group() as day:
                day.start_soon(self._send_calls)
                day.start_soon(self._disturb)
                day.start_soon(self.run_another_instance)
                await anyio.sleep(self.seconds)
                day.cancel_scope.cancel()
        self._check()

    def _draw_periods(self, now):
        found = []
        start = now + self.rng.uniform(0.0, 4.0)
        for _ in range(self.rng.randint(1, 2)):
            end = start + self.rng.uniform(5.0, 12.0)
            found.append(Period(start, end, self.rng.choice([0.0, 1.0, 2.5, 6.0])))
            start = end + self.rng.uniform(1.0, 4.0)
        return found

    async def _send_calls(self):
        pause_s = self.rng.choice([0.02, 0.05, 0.15])
        async with anyio.create_task_group() as tasks:
            for number in range(10_000):
                tasks.start_soon(self._send, self.rng.choice(self.kernels), number)
                await anyio.sleep(self.rng.uniform(0.0, 2 * pause_s))

    async def _send(self, kernel, number):
        instance = kernel.settings.instance.id
        id = f"{instance}-{number}"
        deadline = self.platform.clock.now() + SAFE_ROUTE.timeout_s
        target = f"/s/{number}"
        call = ClientCall(id, "POST", target, "desk.example", (), b"", deadline)
        outcome = await kernel.plugin("forwarding").plain(call, SAFE_ROUTE)
        if outcome.is_err():
            self.refused.append(outcome.unwrap_err())

    async def _disturb(self):
        for _ in range(self.rng.randint(0, 3)):
            await anyio.sleep(self.rng.uniform(1.0, 6.0))
            await self.take_store_away()

    def _check(self):
        client = self.platform.client
        for id, periods in client.periods.items():
            for period in periods:
                allowed = 1.5 * period.limit * WINDOW_S + 5
                most = client.most_in_a_window(id, period)
                assert most <= allowed, f"over the limit of {period.limit}/s"
        if self.is_spared:
            assert self.refused == [], "refused beside an endpoint without a limit"


async def test_instances_together_keep_to_limits_whatever_happens_beside():
    """Guards against an endpoint that gets more than it named in some 4 s."""
    await play_all(Day, SEEDS)


async def test_limits_that_are_ignored_are_caught(monkeypatch):
    """Checks the check: a wrong version sends without permits."""
    monkeypatch.setattr(rate_limits.RateLimits, "limit", lambda *args: None)
    with pytest.raises(AssertionError, match="over the limit"):
        await play_all(Day, SEEDS)


async def test_limits_that_each_instance_keeps_to_by_itself_are_caught(monkeypatch):
    """Checks the check: a wrong version does not count the permits of others."""
    monkeypatch.setattr(
        rate_limits,
        "grant_permits",
        lambda bucket, limit, priority, wanted, now: rate_limits.Grant(1, bucket, 0.0),
    )
    with pytest.raises(AssertionError, match="over the limit"):
        await play_all(Day, SEEDS)
