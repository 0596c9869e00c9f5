"""Random interleavings of releases, crashes, migrations and changes of owners.

Trainers submit batches and read them at any instance. Endpoints are released, crash,
slow down and break streams off, a route moves to another service whose versions have
the same names, instances end with or without notice, and the store goes away.
"""

import contextlib
import random

import anyio
import pytest
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy import batch_scheduling, software_versions
from plantainstack.policy.item_runs import ItemRun
from plantainstack.policy.software_versions import SoftwareVersion
from plantainstack.services import batch_runs, item_migration, item_placement
from plantainstack.services import batches as batches_module
from plantainstack.serving import ItemState, OpenStream, StreamHead, WeightedService
from tests.policy.serving_samples import batch, endpoint, event, item
from tests.services.random_days import RandomDay
from tests.services.random_days import play_all as play
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    FakePlatform,
    ScriptedEndpoints,
    running,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

SEEDS = range(24)
EVENT_S = 0.04
# An item may be abandoned 40 s after its batch was accepted.
LISTED_S = 60.0

REFUSED = Err(Failure(ErrorKind.ENDPOINT_REFUSED, "scripted", Outcome.NOT_RUN))
BROKEN = Err(Failure.of(ErrorKind.ANSWER_TRUNCATED, "scripted"))


class Process:
    """Run of an endpoint; its speed and its end."""

    def __init__(self, service, software):
        self.service = service
        self.software = software
        self.event_s = EVENT_S
        self.ended = anyio.Event()


class ProcessStream(OpenStream):
    """Events that name the software of the process that wrote them."""

    def __init__(self, process, first, length, breaks_at):
        self.head = StreamHead(200, [], 1, None, None)
        self._process = process
        self._numbers = range(first, length + 1)
        self._breaks_at = breaks_at

    async def events(self):
        process = self._process
        for number in self._numbers:
            with anyio.move_on_after(process.event_s):
                await process.ended.wait()
            if process.ended.is_set() or number == self._breaks_at:
                yield BROKEN
                return
            text = f"{number} {process.service} {process.software}"
            yield Ok(event(number, text))


class ReleasedEndpoints(ScriptedEndpoints):
    """Run the items at processes that are released, crash and restart."""

    def __init__(self, platform, rng):
        super().__init__(platform)
        self.rng = rng
        self.processes = {}
        self.lengths = {}
        self.joined = 0

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        await anyio.sleep(0.005)
        process = self.processes.get(endpoint.id)
        if process is None or process.ended.is_set():
            yield REFUSED
            return
        first = (call.resume_after or 0) + 1
        breaks_at = first + int(self.rng.expovariate(1 / 60))
        length = self.lengths[call.request_id]
        yield Ok(ProcessStream(process, first, length, breaks_at))


class Day(RandomDay):
    """Play one random day and check what trainers were given."""

    seconds = 20.0

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = FakePlatform(LoopClock())
        self.platform.endpoints = {}
        self.client = ReleasedEndpoints(self.platform, self.rng)
        self.platform.client = self.client
        self.version = 1
        self.numbers = iter(range(1000))
        for service, count in (("models", self.rng.randint(2, 5)), ("others", 2)):
            for _ in range(count):
                self._start(service, "1.1")
        self.kernels = []
        self.results = {}

    async def play(self):
        async with anyio.create_task_group() as tasks:
            for name in "abc":
                tasks.start_soon(self._run_instance, name)
            async with anyio.create_task_group() as trainers:
                for number in range(self.rng.randint(2, 4)):
                    trainers.start_soon(self._train, f"b{number}")
                with anyio.move_on_after(self.seconds):
                    async with anyio.create_task_group() as day:
                        for _ in range(2):
                            day.start_soon(self._disturb, tasks)
            tasks.cancel_scope.cancel()
        self._check()

    async def _run_instance(self, name):
        while True:
            async with running(self.platform, name) as (kernel,):
                self.kernels.append(kernel)
                calm = self.platform.clock.now() > self.seconds
                await anyio.sleep(1000.0 if calm else self.rng.uniform(2.0, 9.0))
                self.kernels.remove(kernel)
                if self.rng.random() < 0.5:
                    batches = kernel.plugin("batches")
                    batches.on_drain()
                    await batches.drain(0.0)
            await anyio.sleep(self.rng.uniform(0.1, 0.6))

    async def _train(self, batch_id):
        await anyio.sleep(self.rng.uniform(0.0, 12.0))
        items = [item(f"{batch_id}-{n}", f"g{n // 2}") for n in range(8)]
        for each in items:
            self.client.lengths[each.id] = self.rng.choice([3, 15, 30, 80])
        wanted = batch(*items, id=batch_id)
        while not self.kernels or not await self._submit(wanted):
            await anyio.sleep(0.1)
        found = self.results[batch_id] = []
        with anyio.move_on_after(LISTED_S):
            while len(found) < len(items):
                await anyio.sleep(0.1)
                if self.kernels:
                    batches = self.rng.choice(self.kernels).plugin("batches")
                    page = await batches.results(batch_id, len(found), 0.0)
                    found += page.unwrap().results if page.is_ok() else []

    async def _submit(self, wanted):
        batches = self.rng.choice(self.kernels).plugin("batches")
        return (await batches.submit(wanted, BATCH_ROUTE)).is_ok()

    async def _disturb(self, tasks):
        while True:
            await anyio.sleep(self.rng.uniform(0.3, 2.5))
            kinds = [self._release, self._crash, self._crash, self._slow]
            if self.rng.random() < 0.1 and self.kernels:
                kinds = [self._store_away, self._move_route]
            tasks.start_soon(self.rng.choice(kinds))

    def _start(self, service, software, id=None):
        number = next(self.numbers)
        id = id or f"e{number}"
        self.client.processes[id] = Process(service, software)
        self.platform.endpoints[id] = endpoint(
            id, service=service, software=software, started_ms=number
        )

    def _serving(self):
        return [id for id, end in self.platform.endpoints.items() if end]

    async def _release(self):
        """Replace some or all endpoints by ones of a new version."""
        self.version += 1
        share = self.rng.choice([0.5, 1.0])
        old = [id for id in self._serving() if self.rng.random() < share]
        software = f"1.{self.version}"
        for id in old:
            self._start(self.client.processes[id].service, software)
            await anyio.sleep(0.4)
            found = self.platform.endpoints[id]
            if found is not None:
                self.platform.endpoints[id] = found._replace(leaving=True)
        await anyio.sleep(self.rng.uniform(0.5, 3.0))
        for id in old:
            self.client.processes[id].ended.set()
            self.platform.endpoints[id] = None

    async def _crash(self):
        """Crash endpoints; some start again under their ids, the others under new."""
        count = self.rng.choice([1, 1, 3])
        ids = self._serving()
        for id in self.rng.sample(ids, min(count, len(ids))):
            self.client.processes[id].ended.set()
        await anyio.sleep(self.rng.uniform(0.2, 3.0))
        for id in ids:
            found = self.platform.endpoints[id]
            if found is not None and self.client.processes[id].ended.is_set():
                keeps_id = self.rng.random() < 0.3
                self.platform.endpoints[id] = None
                self._start(found.service, found.software, id if keeps_id else None)

    async def _slow(self):
        ids = self._serving()
        for id in self.rng.sample(ids, len(ids) // 2):
            self.client.processes[id].event_s = EVENT_S * self.rng.choice([3.0, 40.0])
        await anyio.sleep(self.rng.uniform(1.0, 4.0))
        for process in self.client.processes.values():
            process.event_s = EVENT_S

    async def _store_away(self):
        if self.kernels:
            store = self.rng.choice(self.kernels).plugin("store").metadata_store
            store.unavailable = True
            await anyio.sleep(self.rng.uniform(0.5, 3.0))
            store.unavailable = False

    async def _move_route(self):
        """Move the route of the batches to the other service."""
        version = self.platform.config.version + 1
        service = ("models", "others")[version % 2 == 0]
        moved = BATCH_ROUTE._replace(weighted_services=(WeightedService(service, 1.0),))
        self.platform.config = CONFIG._replace(version=version, routes=(moved,))

    def _check(self):
        for batch_id, found in self.results.items():
            assert len(found) == 8, f"{batch_id} not listed"
            assert len({result.item_id for result in found}) == 8
            for result in found:
                lines = [line.split(" ", 1) for line in result.text.splitlines()]
                writers = {writer for _, writer in lines}
                assert len(writers) <= 1, f"{result.item_id} joined from {writers}"
                numbers = [int(number) for number, _ in lines]
                assert numbers == list(range(1, len(numbers) + 1)), "out of order"
                if result.state is ItemState.COMPLETED:
                    assert len(numbers) == self.client.lengths[result.item_id]


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batches_module, "RELEASE_MARGIN_S", 60.0)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_MIN_AGE_S", 0.2)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_INTERVAL_S", 0.2)


@pytest.mark.proof("one-software", "crash")
@pytest.mark.proof("one-software", "killed")
@pytest.mark.proof("one-software", "store-down")
async def test_no_listed_text_is_joined_from_two_software_versions():
    """Guards against samples that two versions or two services wrote."""
    await play(Day, SEEDS)


async def test_versions_that_are_not_told_apart_are_caught(monkeypatch):
    """Checks the check: a wrong version resumes a text at any endpoint."""
    for module in (batch_runs, item_migration, item_placement):
        monkeypatch.setattr(
            module, "software_of", lambda end: SoftwareVersion(end.service, "")
        )
    with pytest.raises(AssertionError, match="joined"):
        await play(Day, SEEDS)


async def test_stored_text_without_its_version_is_caught(monkeypatch):
    """Checks the check: a wrong version takes unlabelled text for the known one."""
    partial = ItemRun.partial

    def unlabelled(self, *args):
        found = partial(self, *args)
        return found and found._replace(software=None)

    def any_version(endpoints):
        found = list(endpoints)
        return software_versions.software_of(found[-1]) if found else None

    monkeypatch.setattr(ItemRun, "partial", unlabelled)
    monkeypatch.setattr(software_versions, "only_version", any_version)
    with pytest.raises(AssertionError, match="joined"):
        await play(Day, SEEDS)
