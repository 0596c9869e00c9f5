"""Test instances on a shared in-memory metadata store, with scripted endpoints."""

import contextlib
import copy
from types import SimpleNamespace

import anyio
from result import Err, Ok

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import PlainAnswer
from plantainstack.kernel import Kernel
from plantainstack.platform.prompts import decode_prompt
from plantainstack.plugins import Plugin
from plantainstack.policy.memory_budget import MemoryBudget
from plantainstack.services.batch_loading import BatchLoader
from plantainstack.services.batches import Batches
from plantainstack.services.discovery import Discovery
from plantainstack.services.duties.plugin import Duties
from plantainstack.services.fair_waits import FairWaits
from plantainstack.services.forwarding import Forwarding
from plantainstack.services.rate_permits import RatePermits
from plantainstack.services.request_losses import RequestLosses
from plantainstack.services.reward_calls import RewardCalls
from plantainstack.services.stream_versions import StreamVersions
from plantainstack.services.tenant_rates import TenantRates
from plantainstack.services.usage.plugin import Usage
from plantainstack.services.version_orders import VersionOrders
from plantainstack.serving import (
    ClientLimits,
    EndpointAnswer,
    EndpointChanges,
    EndpointClient,
    EndpointReport,
    HistoryLost,
    MetadataStore,
    OpenStream,
    OperatorChanges,
    OrderAnswer,
    RequestKind,
    RowName,
    RowsRead,
    ServiceConfig,
    ServingConfig,
    StoredRow,
    StreamHead,
    TransactionResult,
    WeightedService,
)
from standins.metadata_store import Rows
from tests.policy.serving_samples import endpoint, event, route

BATCH_ROUTE = route(RequestKind.BATCH, name="r-batch", endpoints_max=3)
SAFE_ROUTE = route(RequestKind.SAFE, name="r-safe", prefix="/s/")
REWARD_ROUTE = route(
    RequestKind.SAFE,
    name="r-reward",
    prefix="/reward/",
    weighted_services=(WeightedService("app", 1.0),),
    objective_s=0.3,
)
CONFIG = ServingConfig(
    1,
    (BATCH_ROUTE, SAFE_ROUTE, REWARD_ROUTE),
    {
        "models": ServiceConfig("models", 100, ("m0",)),
        "app": ServiceConfig("app", 100, ()),
    },
    ClientLimits(),
)


class MemoryStore(MetadataStore):
    """Keep rows in memory; `faults` lists the faults of the next transactions.

    A fault is `down` (refused), `lost` (applied, but the response is lost) or
    `dropped` (not applied, with no response either). `unavailable` refuses all calls.
    `feed_fault` makes feeds `silent` (answers without changes), `lagging` (changes
    come FEED_LAG_S late) or `unanswered`. Plain reads are answered from `answer_from`.
    """

    FEED_LAG_S = 5.0

    def __init__(self, rows: Rows, clock):
        self.rows = rows
        self.answer_from = rows
        self.clock = clock
        self.faults = []
        self.feed_fault = None
        self.unavailable = False
        self.calls = 0
        self.reads = 0
        self.objects = {}

    async def transact(self, transaction):
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        fault = (
            "down"
            if self.unavailable
            else (self.faults.pop(0) if self.faults else None)
        )
        if fault == "down":
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "scripted"))
        applied = False
        if fault != "dropped":
            applied = self.rows.transact(
                {tuple(name): version for name, version in transaction.expected},
                {tuple(name): value for name, value in transaction.puts},
                [tuple(name) for name in transaction.removed],
            )
        if fault is not None:
            return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, "scripted"))
        conflicts = (
            () if applied else tuple(self._row(n) for n, _ in transaction.expected)
        )
        return Ok(
            TransactionResult(applied, self.rows.version, self.clock.now(), conflicts)
        )

    async def read(self, table, part, first="", end=""):
        await anyio.lowlevel.checkpoint()
        if self.unavailable:
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "scripted"))
        self.reads += 1
        found = self.answer_from.range(table, part, first, end)
        rows = tuple(StoredRow(RowName(*n), r.value, r.version) for n, r in found)
        return Ok(RowsRead(rows, self.answer_from.version, self.clock.now()))

    def copied_rows(self):
        """Return a copy of the rows, which later transactions do not change."""
        copied = copy.copy(self.rows)
        copied._rows = dict(self.rows._rows)
        return copied

    def answer_reads_from_now(self):
        """Answer plain reads from the present state, however it changes later."""
        self.answer_from = self.copied_rows()

    async def rows_changed(self, table, cursor, wait_s):
        if self.unavailable:
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "scripted"))
        if self.feed_fault == "unanswered":
            await anyio.sleep_forever()
        if self.feed_fault == "silent":
            await anyio.sleep(wait_s)
            return Ok(RowsRead((), cursor, self.clock.now()))
        if self.feed_fault == "lagging":
            await anyio.sleep(self.FEED_LAG_S)
        with anyio.move_on_after(wait_s):
            while self.rows.changed_since(table, cursor) == []:
                await self.rows.changed.wait()
        found = self.rows.changed_since(table, cursor)
        if found is None:
            return Ok(HistoryLost())
        rows = tuple(StoredRow(RowName(*n), r.value, r.version) for n, r in found)
        return Ok(RowsRead(rows, self.rows.version, self.clock.now()))

    async def table_rows(self, table):
        await anyio.lowlevel.checkpoint()
        if self.unavailable:
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "scripted"))
        rows = []
        for part in self.answer_from.parts(table):
            rows += (await self.read(table, part)).unwrap().rows
        return Ok(RowsRead(tuple(rows), self.answer_from.version, self.clock.now()))

    async def put_object(self, name, data):
        self.objects.setdefault(name, data)
        return Ok(None)

    async def get_object(self, name):
        return Ok(self.objects.get(name))

    async def drop_object(self, name):
        self.objects.pop(name, None)
        return Ok(None)

    def _row(self, name):
        row = self.rows.row(tuple(name))
        return StoredRow(name, row.value, row.version)


class FakePlatform:
    """Simulate what the instances share: store, configuration and endpoints."""

    def __init__(self, clock=None):
        self.clock = clock or SystemClock()
        self.rows = Rows()
        self.config = CONFIG
        self.versions = {}
        self.endpoints = {"e1": endpoint("e1"), "e2": endpoint("e2")}
        self.client = ScriptedEndpoints(self)
        self.endpoints_released = None
        self.prefix_cache = "group"


class FakeRegistry:
    """Return the platform's configuration and endpoints."""

    def __init__(self, platform):
        self._platform = platform

    async def operator_changes(self, cursor, wait_s):
        await anyio.sleep(0.01)
        platform = self._platform
        return Ok(OperatorChanges(platform.config, dict(platform.versions), 1))

    async def endpoint_changes(self, cursor, wait_s):
        await anyio.sleep(0.01)
        if self._platform.endpoints_released is not None:
            await self._platform.endpoints_released.wait()
        return Ok(EndpointChanges(dict(self._platform.endpoints), 1))

    async def endpoint(self, endpoint_id):
        await anyio.lowlevel.checkpoint()
        return Ok(self._platform.endpoints.get(endpoint_id))


class _Stream(OpenStream):
    def __init__(self, platform, request_id, endpoint_id, call):
        limit = platform.client.rate_limits.get(endpoint_id)
        self.head = StreamHead(200, [], platform.client.version, None, limit)
        self._platform = platform
        self._id = request_id
        self._endpoint = endpoint_id
        self._first = (call.resume_after or 0) + 1
        found = platform.endpoints.get(endpoint_id)
        self._software = found.software if found else ""

    async def events(self):
        client = self._platform.client
        for number in range(self._first, client.events_per_stream + 1):
            gate = client.blocked_events.get((self._id, number))
            if gate is not None:
                await gate.wait()
            if (self._id, number) in client.failing_events:
                client.failing_events.remove((self._id, number))
                message = "the connection was reset"
                yield Err(Failure.of(ErrorKind.ANSWER_TRUNCATED, message))
                return
            written_by = f" of {self._software}" if self._software else ""
            yield Ok(event(number, f"text {number}{written_by}"))
            await anyio.lowlevel.checkpoint()


class ScriptedEndpoints(EndpointClient):
    """Respond to items with scripted streams; record every request and order.

    A stream has `events_per_stream` events. `blocked_events` maps an item id and
    event number to an event that must be set first; `failing_events` lists those
    before which the connection is reset, once each. The text of an event names the
    software version of the endpoint, if it has one. `statuses` sets other response
    statuses by item or endpoint id. `scripts` lists the outcomes of the next calls with
    a request id: a status, a failure, or an event that must be set before a success.
    `rate_limits` holds the limits that endpoints name in their answers, and `leaving`
    the ids of those whose answers say that they leave.
    """

    def __init__(self, platform):
        self._platform = platform
        self.events_per_stream = 3
        self.version = 1
        self.statuses = {}
        self.scripts = {}
        self.sent_calls = []
        self.load = None
        self.rate_limits = {}
        self.leaving = set()
        self.blocked_events = {}
        self.failing_events = []
        self.opened_streams = []
        self.calls = []
        self.orders = []
        self.order_faults = []
        self.delayed_orders = []

    def prompt(self, headers):
        return decode_prompt(headers)

    async def call(self, endpoint, call):
        self.calls.append((call.request_id, endpoint.id))
        self.sent_calls.append(call)
        scripted = self.statuses.get(endpoint.id, 200)
        if self.scripts.get(call.request_id):
            scripted = self.scripts[call.request_id].pop(0)
        if isinstance(scripted, anyio.Event):
            await scripted.wait()
            scripted = 200
        if callable(scripted):
            scripted = await scripted() or 200
        if isinstance(scripted, Failure):
            return Err(scripted)
        answer = PlainAnswer(scripted, [], endpoint.id.encode())
        receipt = f"receipt of {call.request_id}" if scripted < 300 else None
        limit = self.rate_limits.get(endpoint.id)
        return Ok(EndpointAnswer(answer, scripted == 503, self.load, receipt, limit))

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        await anyio.lowlevel.checkpoint()
        self.sent_calls.append(call)
        self.opened_streams.append((call.request_id, endpoint.id, call.resume_after))
        status = self.statuses.get(call.request_id, 200)
        if status != 200:
            answer = PlainAnswer(status, [], b"")
            yield Ok(EndpointAnswer(answer, status == 503, None))
        else:
            yield Ok(_Stream(self._platform, call.request_id, endpoint.id, call))

    async def order(self, endpoint, order, deadline):
        await anyio.lowlevel.checkpoint()
        self.orders.append((endpoint.id, order, self._platform.clock.now()))
        fault = self.order_faults.pop(0) if self.order_faults else None
        if fault == "late":
            self.delayed_orders.append((endpoint.id, order))
            return Err(Failure.of(ErrorKind.ANSWER_TIMEOUT, "scripted"))
        return Ok(self.execute_order(endpoint.id, order))

    def execute_order(self, endpoint_id, order):
        """Load a version as an endpoint does, unless the order count has changed."""
        state = self.state(endpoint_id)
        if order.orders_seen != state.orders_seen:
            return OrderAnswer.CONFLICT
        state.orders_seen += 1
        found = self._platform.endpoints[endpoint_id]
        versions = found.versions | {order.model: order.version}
        self._platform.endpoints[endpoint_id] = found._replace(versions=versions)
        return OrderAnswer.ACCEPTED

    def state(self, endpoint_id):
        """Return the order count of an endpoint."""
        states = self.__dict__.setdefault("_states", {})
        return states.setdefault(endpoint_id, SimpleNamespace(orders_seen=0))

    async def report(self, endpoint, deadline):
        await anyio.lowlevel.checkpoint()
        found = self._platform.endpoints[endpoint.id]
        seen = self.state(endpoint.id).orders_seen
        return Ok(EndpointReport(dict(found.versions), False, seen))

    def notify_leaving(self, listener):
        pass

    def drop_connections(self, endpoints):
        pass


class InstanceEndpoints(EndpointClient):
    """Give one instance the shared endpoints; only it is told what they answer it."""

    def __init__(self, shared):
        self.shared = shared
        self._listeners = []

    def notify_leaving(self, listener):
        self._listeners.append(listener)

    def prompt(self, headers):
        return self.shared.prompt(headers)

    def _check_leaving(self, endpoint, outcome):
        if endpoint.id in self.shared.leaving and outcome.is_ok():
            for listener in self._listeners:
                listener(endpoint)
        return outcome

    async def call(self, endpoint, call):
        return self._check_leaving(endpoint, await self.shared.call(endpoint, call))

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        async with self.shared.stream(endpoint, call) as opened:
            yield self._check_leaving(endpoint, opened)

    async def order(self, endpoint, order, deadline):
        answer = await self.shared.order(endpoint, order, deadline)
        return self._check_leaving(endpoint, answer)

    async def report(self, endpoint, deadline):
        answer = await self.shared.report(endpoint, deadline)
        return self._check_leaving(endpoint, answer)

    def drop_connections(self, endpoints):
        self.shared.drop_connections(endpoints)


class StorePlugin(Plugin, register=False):
    """Give one instance access to the shared platform."""

    name = "store"
    platform: FakePlatform

    def __init__(self, kernel):
        super().__init__(kernel)
        self.metadata_store = MemoryStore(self.platform.rows, kernel.clock)
        self.registry = FakeRegistry(self.platform)
        client = self.platform.client
        scripted = isinstance(client, ScriptedEndpoints)
        self.endpoint_client = InstanceEndpoints(client) if scripted else client


def new_kernel(platform, name, more=(), address="127.0.0.1:1"):
    """Build an instance on the platform, with additional plug-ins."""
    plugin = type(
        "FakePlatformStore", (StorePlugin,), {"platform": platform}, register=False
    )
    settings = SimpleNamespace(
        instance=SimpleNamespace(id=name, data_centre="dc-a", listen=address),
        bounds=SimpleNamespace(order_gap=0.3, grace=5.0, endpoint_notice=2.0),
        duties=SimpleNamespace(address=None, kinds=(), calls_per_s=50.0),
        tenants=SimpleNamespace(
            strict_revocation=False, revocation=5.0, quota_excess=0.1
        ),
        placement=SimpleNamespace(
            prefix_cache=platform.prefix_cache, cache_tokens=64_000.0, prefill_rate=500
        ),
    )
    kinds = (
        plugin,
        Duties,
        Usage,
        Discovery,
        RatePermits,
        TenantRates,
        FairWaits,
        RequestLosses,
        StreamVersions,
        Forwarding,
        RewardCalls,
        Batches,
        VersionOrders,
        *more,
    )
    return Kernel(settings, kinds, platform.clock)


@contextlib.asynccontextmanager
async def running(platform, *names, address="127.0.0.1:1", memory=None):
    """Run instances until the block ends; `memory` is the total of their budgets."""
    async with anyio.create_task_group() as tasks:
        kernels = [new_kernel(platform, name, address=address) for name in names]
        for kernel in kernels:
            if memory is not None:
                kernel.memory_budget.total = memory
            tasks.start_soon(kernel.run, False)
        for kernel in kernels:
            await until(lambda kernel=kernel: kernel.unready_reason() is None)
        yield kernels
        tasks.cancel_scope.cancel()


async def until(condition, seconds=20.0):
    """Wait until a condition holds; time out only to end a hanging test."""
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.005)


async def all_results(batches, batch_id, count):
    """Poll the results of a batch as a trainer does, until there are `count`."""
    found = []
    with anyio.fail_after(20.0):
        while len(found) < count:
            page = await batches.results(batch_id, len(found), 0.2)
            found += page.unwrap().results if page.is_ok() else []
    return found


async def load_batch(batch_store, batch_id, tenant=""):
    """Read a stored batch with memory for any."""
    loader = BatchLoader(batch_store, MemoryBudget(10**9))
    return await loader.load(batch_id, tenant)


NOT_RUN = Outcome.NOT_RUN
MAY_HAVE_RUN = Outcome.MAY_HAVE_RUN
