"""The three guarantees about samples under each failure.

Each guarantee must hold with the real policy, and must fail with the naive version
of it. Every scenario also has a weight swap during a sample, a lost answer to a
commit, and weights published twice between the seal and the first delivery.
"""

import anyio
import pytest

from plantainstack.errors import ErrorKind
from tests.services.fleet import TRAINER, Fleet, lost, running
from tests.services.test_step_proofs import (
    DELIVER,
    NAIVE_BOUND,
    NAIVE_LABELS,
    NAIVE_WRITES,
    REAL,
    SAMPLES,
    SEAL,
    exactly_once,
    fetch,
    labels_are_true,
    within_bound,
)

pytestmark = pytest.mark.anyio

CHECKS = {
    "labels": (labels_are_true, NAIVE_LABELS),
    "bound": (within_bound, NAIVE_BOUND),
    "exactly-once": (exactly_once, NAIVE_WRITES),
}


class Scenario:
    """Run one step from opening to delivery, with a failure in between."""

    def __init__(self, policies, failure):
        self.fleet = Fleet(policies=policies)
        self.failure = getattr(self, failure)
        self.owner = self.fleet.instance("a")
        self.tasks = None
        self.delayed_commit = None

    async def crash(self):
        await self.fail_streams(ErrorKind.ENDPOINT_FAILED)

    async def silent(self):
        await self.fail_streams(ErrorKind.ANSWER_TIMEOUT, seconds=10.0)

    async def list_lag(self):
        await self.fail_streams(ErrorKind.NO_ENDPOINT, lasting=10.0)

    async def load_lag(self):
        await self.fail_streams(ErrorKind.OVERLOADED, lasting=10.0)

    async def packet_loss(self):
        async def delay(ctx):
            seconds = self.fleet.random.choice([0.0, 0.2, 3.0])
            await self.fleet.clock.sleep_until(self.fleet.clock.now() + seconds)

        self.fleet.engines.fault_for = delay

    async def killed(self):
        self.owner.scope.cancel()
        await self.fleet.take_over(self.tasks, self.fleet.instance("b"))

    async def frozen(self):
        woken = anyio.Event()

        async def freeze(apply):
            self.owner.frozen = True
            await woken.wait()
            return apply()

        self.fleet.table.faults.plan.insert(0, (SAMPLES, freeze))
        await self.fleet.clock.advance(4)
        assert self.owner.frozen
        await self.fleet.take_over(self.tasks, self.fleet.instance("b"))
        await self.fleet.clock.advance(5)
        woken.set()
        await self.fleet.clock.advance(1)

    async def swap(self):
        await self.fleet.publish(8)
        for version in (7, 8, 7):
            await self.fleet.clock.advance(1)
            self.fleet.engines.version = version

    async def no_fencing(self):
        await self.fleet.publish(9)
        await self.fleet.clock.advance(1)
        # An order of a former lease holder takes the engines back by two versions.
        self.fleet.engines.version = 7
        await self.fleet.clock.advance(10)

    async def store_down(self):
        parts = (self.fleet.table, self.fleet.objects)
        for part in parts:
            part.faults.down = True
        await self.fleet.clock.advance(30)
        for part in parts:
            part.faults.down = False

    async def answer_lost(self):
        async def delay(apply):
            self.delayed_commit = apply
            return lost()

        self.fleet.table.faults.plan += [
            (SAMPLES, delay),
            (SAMPLES, "lose"),
            (SEAL, "lose"),
            (DELIVER, "lose"),
        ]

    async def race(self):
        rival = self.fleet.instance("b")
        assert await self.fleet.own(self.tasks, rival, holder_gone=True)

    async def fail_streams(self, kind, seconds=0.0, lasting=0.5):
        clock = self.fleet.clock
        until = clock.now() + lasting + seconds
        hits = []

        async def fail(ctx):
            if clock.now() >= until:
                return None
            hits.append(ctx.request_id)
            await clock.sleep_until(clock.now() + seconds)
            return kind

        self.fleet.engines.fault_for = fail
        await clock.advance(lasting + seconds)
        assert hits

    async def run(self):
        """Return the samples of the first and of later deliveries."""
        fleet = self.fleet
        fleet.engines.sample_seconds = 4.0
        await fleet.publish(7)
        await self.owner.step_service.open(TRAINER, fleet.request())
        fleet.table.faults.plan = [(SAMPLES, "lose")]
        async with running() as self.tasks:
            await fleet.own(self.tasks, self.owner)
            await fleet.clock.advance(1.6)
            await self.failure()
            await fleet.publish(max(8, fleet.store.version))
            while fleet.state() == "open":
                await fleet.clock.advance(1)
            await fleet.publish(fleet.store.version + 2)
            return await self.deliver()

    async def deliver(self):
        readers = [self.fleet.instance(name) for name in "xyz"]
        first = await fetch(self.fleet, readers[0])
        if first is None:
            await self.fleet.own(self.tasks, readers[0])
            await self.fleet.clock.advance(1.6)
            await self.fleet.publish(self.fleet.store.version + 1)
        for _ in range(30):
            first = first or await fetch(self.fleet, readers[1])
            await self.fleet.clock.advance(1)
        if self.delayed_commit:
            # A commit that arrives after the delivery must have no effect.
            self.delayed_commit()
        return first, [await fetch(self.fleet, reader) for reader in readers]


async def holds(check, policies, failure):
    scenario = Scenario(policies, failure)
    first, later = await scenario.run()
    return check(scenario.fleet, first) and all(again == first for again in later)


def cells():
    for guarantee in CHECKS:
        for failure in (
            "crash",
            "killed",
            "frozen",
            "swap",
            "store-down",
            "answer-lost",
            "race",
            "list-lag",
            "load-lag",
            "silent",
            "packet-loss",
            "no-fencing",
        ):
            mark = pytest.mark.proof(guarantee, failure)
            yield pytest.param(guarantee, failure, marks=mark)


@pytest.mark.parametrize(("guarantee", "failure"), list(cells()))
async def test_a_guarantee_holds_and_depends_on_its_policy(guarantee, failure):
    """Guards against violations under each failure in combination with others."""
    check, naive = CHECKS[guarantee]
    name = failure.replace("-", "_")
    assert await holds(check, REAL, name)
    assert not await holds(check, naive, name)
