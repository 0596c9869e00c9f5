"""Random interleavings of readers with feeds, stores and owners that fall behind.

Batches run at three instances, and for a time at a fourth, while feeds lag or fall
silent, the store is away for some, loses answers, or holds up all calls of an owner.
"""

import random

import anyio
import pytest
from result import Ok

from plantainstack.errors import ErrorKind
from plantainstack.services import batch_reads
from tests.policy.serving_samples import batch, item
from tests.services.random_days import RandomDay, play_all
from tests.services.store_fleet import BATCH_ROUTE, FakePlatform, running
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

SEEDS = range(12)
ITEMS = 8


class HeldStore:
    """Hold up the calls of one instance, before they act and before they answer."""

    def __init__(self, store):
        self.thawed = anyio.Event()
        self.thawed.set()
        for name in ("transact", "read", "rows_changed", "table_rows"):
            setattr(store, name, self._held(getattr(store, name)))

    def _held(self, call):
        async def held_call(*arguments):
            await self.thawed.wait()
            found = await call(*arguments)
            await self.thawed.wait()
            return found

        return held_call

    async def hold(self, seconds):
        self.thawed = anyio.Event()
        await anyio.sleep(seconds)
        self.thawed.set()


class Shown:
    """Record what readers of a batch were shown, by when, and what was wrong."""

    def __init__(self):
        self.wrong = []
        self.results = {}
        self.counts = []

    def least(self, now):
        """Return the number of results that had been shown before a time."""
        return max((count for at, count in self.counts if at < now), default=0)

    def record(self, after, results, now):
        for position, result in enumerate(results, after):
            known = self.results.setdefault(position, result)
            if result != known:
                self.wrong.append("another result at a position")
        self.counts.append((now, after + len(results)))


class Day(RandomDay):
    """Play one random day and check what readers were told."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = FakePlatform(LoopClock())
        self.shown = {}

    async def play(self):
        async with running(self.platform, "a", "b", "c") as self.kernels:
            self.held = {
                kernel: HeldStore(kernel.plugin("store").metadata_store)
                for kernel in self.kernels
            }
            async with anyio.create_task_group() as day:
                day.start_soon(self._submit)
                day.start_soon(self._disturb)
                day.start_soon(self.run_another_instance)
                for _ in range(6):
                    day.start_soon(self._read_all_day)
                await anyio.sleep(self.seconds)
                day.cancel_scope.cancel()
            await self._read_everything()
        for shown in self.shown.values():
            ids = [result.item_id for result in shown.results.values()]
            assert len(set(ids)) == len(ids), "an item at two positions"
            assert not shown.wrong, shown.wrong[0]

    async def _submit(self):
        for number in range(100):
            id = f"b{number}"
            items = [item(f"{id}-i{n}", f"g{n // 2}") for n in range(ITEMS)]
            for each in items:
                gate = anyio.Event()
                self.platform.client.blocked_events[each.id, 1] = gate
            batches = self.rng.choice(self.kernels).plugin("batches")
            if (await batches.submit(batch(*items, id=id), BATCH_ROUTE)).is_ok():
                self.shown[id] = Shown()
                await self._end_items(items)
                if self.rng.random() < 0.3:
                    await self.rng.choice(self.kernels).plugin("batches").end(id)
            for each in items:
                self.platform.client.blocked_events[each.id, 1].set()

    async def _end_items(self, items):
        for each in self.rng.sample(items, len(items)):
            await anyio.sleep(self.rng.choice([0.0, 0.05, 0.3, 1.0]))
            self.platform.client.blocked_events[each.id, 1].set()

    async def _disturb(self):
        while True:
            await anyio.sleep(self.rng.uniform(0.1, 1.5))
            kernel = self.rng.choice([k for k in self.kernels if k in self.held])
            store = kernel.plugin("store").metadata_store
            match self.rng.randrange(5):
                case 0:
                    await self.take_store_away()
                case 1:
                    await self.held[kernel].hold(self.rng.uniform(0.3, 4.0))
                case 2:
                    store.faults = ["lost"] * self.rng.randint(1, 20)
                case _:
                    store.feed_fault = self.rng.choice(["silent", "lagging"])
                    await anyio.sleep(self.rng.uniform(0.5, 4.0))
                    store.feed_fault = None

    async def _read_all_day(self):
        while True:
            await anyio.sleep(self.rng.uniform(0.0, 0.3))
            if self.shown:
                id = self.rng.choice(list(self.shown)[-3:])
                await self._read(id, self.rng.choice(self.kernels))

    async def _read(self, id, kernel):
        shown = self.shown[id]
        before = shown.least(self.platform.clock.now())
        after = self.rng.randint(0, before)
        wait_s = self.rng.choice([0.0, 0.3, 1.0])
        found = await kernel.plugin("batches").results(id, after, wait_s)
        if found.is_err():
            if found.unwrap_err().kind is ErrorKind.NOT_FOUND:
                shown.wrong.append("an accepted batch is denied")
            return
        results = found.unwrap().results
        if not results and after < before:
            shown.wrong.append("a result that was shown is denied")
        shown.record(after, results, self.platform.clock.now())

    async def _read_everything(self):
        for kernel in self.kernels:
            store = kernel.plugin("store").metadata_store
            store.unavailable, store.feed_fault, store.faults = False, None, []
            self.held[kernel].thawed.set()
        for id, shown in self.shown.items():
            for kernel in self.kernels:
                await self._read_all(kernel.plugin("batches"), id, shown)

    async def _read_all(self, batches, id, shown):
        after = 0
        while page := (await batches.results(id, after, 0.0)).unwrap().results:
            shown.record(after, page, self.platform.clock.now())
            after += len(page)
        if after < shown.least(self.platform.clock.now()):
            shown.wrong.append("a result that was shown is denied")


@pytest.mark.proof("exactly-once", "killed")
@pytest.mark.proof("exactly-once", "frozen")
@pytest.mark.proof("exactly-once", "store-down")
@pytest.mark.proof("exactly-once", "answer-lost")
async def test_what_one_instance_has_shown_no_other_denies():
    """Guards against results and batches that are missing at some instance."""
    await play_all(Day, SEEDS)


async def test_absences_that_are_answered_from_memory_are_caught(monkeypatch):
    """Checks the check: a wrong version takes its own row for the present state."""
    confirm = batch_reads.BatchReads._confirm

    async def remember(self, batch_id):
        entry = self._cache.entries.get(batch_id)
        return Ok(entry) if entry is not None else await confirm(self, batch_id)

    monkeypatch.setattr(batch_reads.BatchReads, "_confirm", remember)
    with pytest.raises(AssertionError, match="is denied"):
        await play_all(Day, SEEDS)
