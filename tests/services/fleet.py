"""In-memory fakes of the platform services, and instances that own steps on them."""

import asyncio
import contextlib
import heapq
import random
from types import SimpleNamespace

import anyio
from result import Err, Ok

from plantainstack.clock import FakeClock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import (
    CompletionChunk,
    MutationOutcome,
    ObjectStore,
    Row,
    Scorer,
    TableService,
    WeightStore,
)
from plantainstack.policy.leases import LeaseTerms, LeaseTracker
from plantainstack.policy.samples import StepKeys
from plantainstack.services.leases import LeaseClient
from plantainstack.services.step_dependencies import (
    OpenRequest,
    StepDependencies,
    StepPolicies,
)
from plantainstack.services.step_runner import StepRunner
from plantainstack.services.step_service import StepService
from plantainstack.services.weights import WeightHeads
from plantainstack.settings.fleet import FleetConfig
from plantainstack.trace import TraceBuffer

MODEL = "raadgiver-llm"
TRAINER = "permit-advice"
TERMS = LeaseTerms(duration=10.0, margin=2.0)


class QuickClock(FakeClock):
    """Fake clock without `wait_all_tasks_blocked`, which sleeps 0.1 s per call."""

    async def advance(self, seconds):
        end = self._now + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            event.set()
            await self.settle()
        self._now = max(end, self._now)

    async def settle(self):
        loop = asyncio.get_running_loop()
        while loop._ready:
            await anyio.lowlevel.checkpoint()


@contextlib.asynccontextmanager
async def running():
    """Open a task group that is cancelled at the end of the block."""
    async with anyio.create_task_group() as tasks:
        yield tasks
        tasks.cancel_scope.cancel()


class Faults:
    """Select a fault for each call: None, `refuse`, `lose`, or a function.

    The function is called with a function that applies the commit, and returns the
    answer to the call.
    """

    def __init__(self):
        self.plan = []
        self.down = False

    def next(self, call):
        if self.down:
            return "refuse"
        for index, (matches, fault) in enumerate(self.plan):
            if matches(call):
                del self.plan[index]
                return fault
        return None


def refused():
    return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "refused"))


def lost():
    return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, "answer lost"))


class FakeTable(TableService):
    """Table service in memory, with faults and a log of applied writes."""

    def __init__(self):
        self.rows = {}
        self.faults = Faults()
        self.applied = []
        self.overwritten = []
        self.calls = 0

    async def read(self, keys):
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        if self.faults.next(("read", keys)):
            return refused()
        return Ok({key: self.rows.get(key, Row(key, 0, None)) for key in keys})

    async def scan(self, prefix, after="", limit=1000):
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        if self.faults.next(("scan", prefix)):
            return refused()
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return Ok([self.rows[key] for key in keys[:limit]])

    async def commit(self, mutations):
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        fault = self.faults.next(("commit", mutations))
        if callable(fault):
            return await fault(lambda: self._apply_all(mutations))
        if fault == "refuse":
            return refused()
        outcomes = self._apply_all(mutations)
        await anyio.lowlevel.checkpoint()
        return lost() if fault == "lose" else outcomes

    def _apply_all(self, mutations):
        return Ok([self._apply(mutation) for mutation in mutations])

    def _apply(self, mutation):
        conflicts = tuple(
            self.rows.get(check.key, Row(check.key, 0, None))
            for check in mutation.checks
            if self.rows.get(check.key, Row(check.key, 0, None)).version
            != check.version
        )
        if conflicts:
            return MutationOutcome(False, conflicts)
        for key, value in mutation.writes:
            version = self.rows[key].version + 1 if key in self.rows else 1
            if key in self.rows and key.startswith("sample/") and value is not None:
                head = self.rows.get(f"weights/{MODEL}")
                newest = head.value["version"] if head else 0
                self.overwritten.append((self.rows[key].value, newest))
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = Row(key, version, value)
            self.applied.append((key, value))
        return MutationOutcome(True)


class FakeObjects(ObjectStore):
    """Object store in memory, with faults."""

    def __init__(self):
        self.data = {}
        self.faults = Faults()

    async def put(self, name, data):
        await anyio.lowlevel.checkpoint()
        if self.faults.next(("put", name)):
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, "down"))
        assert self.data.setdefault(name, data) == data
        return Ok(None)

    async def get(self, name):
        await anyio.lowlevel.checkpoint()
        if self.faults.next(("get", name)):
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, "down"))
        return Ok(self.data[name])


class FakeWeights(WeightStore):
    """Weight store with one model and a limited number of permits."""

    def __init__(self, version):
        self.version = version
        self.down = False
        self.permits = 1_000_000

    async def latest(self, model):
        await anyio.lowlevel.checkpoint()
        if self.down:
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, "down"))
        return Ok(self.version)

    async def publish(self, model, version):
        self.version = version
        return Ok(None)

    async def acquire(self, model, version):
        if self.permits <= 0:
            return Err(Failure.of(ErrorKind.OVERLOADED, "no permit"))
        self.permits -= 1
        return Ok(None)


class FakeScorer(Scorer):
    """Scorer whose scores are the lengths of the texts."""

    def __init__(self):
        self.faults = Faults()

    async def score(self, samples, deadline):
        await anyio.lowlevel.checkpoint()
        if self.faults.next(("score", samples)):
            return Err(Failure.of(ErrorKind.ENDPOINT_FAILED, "down"))
        return Ok([float(len(sample["text"])) for sample in samples])


class FakeEngines:
    """Engines that generate streams of chunks, labelled with their current version.

    `truth` holds the version of each generated token by request id.
    """

    def __init__(self, clock, version):
        self.clock = clock
        self.version = version
        self.sample_seconds = 1.0
        self.chunk_count = 4
        self.truth = {}
        self.unreported = 0
        self.starts = 0
        self.running = 0
        self.duration = lambda ctx: self.sample_seconds
        self.fault_for = None

    async def generate(self, ctx, req):
        self.starts += 1
        self.running += 1
        silent = self.unreported > 0
        self.unreported -= silent
        duration = self.duration(ctx)
        truth = self.truth.setdefault(ctx.request_id, [])
        try:
            for number in range(self.chunk_count):
                await self.clock.sleep_until(
                    self.clock.now() + duration / self.chunk_count
                )
                failure = await self.fault_for(ctx) if self.fault_for else None
                if failure:
                    yield Err(Failure.of(failure, "injected"))
                    return
                truth.append(self.version)
                version = None if silent else self.version
                yield Ok(CompletionChunk(f"{number} ", 1, version))
        finally:
            self.running -= 1


class Fleet:
    """A platform in memory, and entry instances that own steps on it."""

    def __init__(self, seed=0, version=7, policies=None, tracker=LeaseTracker):
        self.clock = QuickClock()
        self.random = random.Random(seed)
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.store = FakeWeights(version)
        self.scorer = FakeScorer()
        self.engines = FakeEngines(self.clock, version)
        self.heads = WeightHeads(self.table, self.store)
        self.policies = policies or StepPolicies()
        self.tracker = tracker
        self.keys = StepKeys(TRAINER, "step-1")

    def instance(self, name, clock=None):
        clock = clock or self.clock
        client = LeaseClient(self.table, clock, self.tracker(name, TERMS))
        deps = StepDependencies(
            table=self.table,
            objects=self.objects,
            scorer=self.scorer,
            generate=self.engines.generate,
            heads=WeightHeads(self.table, self.store),
            leases=client,
            clock=clock,
            trace=TraceBuffer(clock),
            options=lambda record: FleetConfig.builtin().defaults(),
        )
        step_service = StepService(deps, self.policies)
        return SimpleNamespace(
            name=name,
            deps=deps,
            step_service=step_service,
            leases=client,
            scope=None,
            runner=None,
            frozen=False,
        )

    def request(self, groups=2, samples=2, bound=1, deadline=600.0):
        prompts = [
            [{"role": "user", "content": f"prompt {number}"}]
            for number in range(groups)
        ]
        return OpenRequest(
            step=self.keys.step,
            model=MODEL,
            policy_version=self.store.version,
            version_bound=bound,
            prompts=prompts,
            samples_per_group=samples,
            max_tokens=16,
            deadline=self.clock.wall() + deadline,
        )

    async def take_over(self, tasks, instance):
        """Let an instance acquire the step once the holder's lease has expired."""
        while not await self.own(tasks, instance):
            await self.clock.advance(1)

    async def publish(self, version):
        """Publish a version of the weights, and switch all engines to it."""
        self.store.version = self.engines.version = version
        await self.heads.refresh(MODEL)

    async def own(self, tasks, instance, holder_gone=False):
        """Let an instance acquire the step's lease, and start to run the step."""
        taken = await instance.leases.acquire(
            self.keys.lease, self.keys.fence, holder_gone=holder_gone
        )
        if taken.is_err():
            return False
        instance.runner = StepRunner(instance.deps, self.keys, self.policies)
        instance.scope = anyio.CancelScope()
        tasks.start_soon(self._run, instance)
        return True

    async def _run(self, instance):
        with instance.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._renew, instance)
                await instance.runner.run()
                tasks.cancel_scope.cancel()

    async def _renew(self, instance):
        clock = instance.deps.clock
        while True:
            if not instance.frozen:
                await instance.leases.renew()
            await clock.sleep_until(clock.now() + 0.5)

    def state(self):
        return self.table.rows[self.keys.row].value["state"]

    def sample_rows(self):
        return {
            key: row
            for key, row in self.table.rows.items()
            if key.startswith(self.keys.samples)
        }
