"""Plug-in `weights`: detects new weight versions and orders engines to load them."""

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, TypeVar

import anyio
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import (
    Check,
    Engine,
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Mutation,
    Order,
    Row,
    TableService,
    WeightStore,
    Write,
)
from plantainstack.plugins import Plugin
from plantainstack.policy.leases import rank
from plantainstack.policy.weights import SHARE_MAX, OrderGate, SwapPlan
from plantainstack.services.leases import LeaseClient
from plantainstack.settings.fleet import FleetConfig, FleetOptions, Scope
from plantainstack.tasks import TaskRunner

T = TypeVar("T")

CONFLICTS_MAX = 5
HEAD_INTERVAL_S = 1.0
ROUND_INTERVAL_S = 0.25
STANDBY_INTERVAL_S = 1.0
STANDBY_COUNT = 3
CONCURRENT_CALLS_MAX = 64
CALL_TIMEOUT_S = 5.0
LIVE_STATES = frozenset({"alive"})


def head_key(model: str) -> str:
    """Return the key of the row that holds a model's newest version."""
    return f"weights/{model}"


def head_version(row: Row) -> int:
    """Return the version in a weight head, or 0 if the row does not exist."""
    return row.value["version"] if row.value else 0


class WeightHeads:
    """Read and raise the weight heads: each model's newest published version."""

    def __init__(self, table: TableService, store: WeightStore):
        self._table = table
        self._store = store

    async def read(self, model: str) -> Result[Row, Failure]:
        """Return the weight head as stored in the table."""
        key = head_key(model)
        return (await self._table.read([key])).map(lambda rows: rows[key])

    async def refresh(self, model: str) -> Result[Row, Failure]:
        """Raise the weight head to the weight store's newest version, and return it.

        If the weight store cannot be reached, return the stored head.
        """
        latest = await self._store.latest(model)
        if latest.is_err():
            log.event("weights.store_failed", kind=latest.unwrap_err().kind.value)
            return await self.read(model)
        return await self._raise_head(model, latest.unwrap())

    async def _raise_head(self, model: str, version: int) -> Result[Row, Failure]:
        for _ in range(CONFLICTS_MAX):
            read = await self.read(model)
            if read.is_err() or head_version(read.unwrap()) >= version:
                return read
            row = read.unwrap()
            mutation = Mutation(
                f"{row.key}/{version}",
                (Check(row.key, row.version),),
                (Write(row.key, {"version": version}),),
            )
            committed = await self._table.commit([mutation])
            if committed.is_err():
                return committed
            if committed.unwrap()[0].applied:
                log.event("weights.published", model=model, version=version)
                return Ok(Row(row.key, row.version + 1, {"version": version}))
        return Err(
            Failure.of(ErrorKind.CONFLICT, f"concurrent writes to {head_key(model)}")
        )


class SwapDependencies(NamedTuple):
    """Dependencies of a `SwapCoordinator`."""

    heads: WeightHeads
    store: WeightStore
    leases: LeaseClient
    clock: Clock
    engine: Callable[[InstanceRecord], Engine]
    options: Callable[[InstanceRecord], FleetOptions]


class SwapCoordinator:
    """Order weight swaps of one service's engines, while this instance holds the lease.

    The service and its model have the same name.
    """

    def __init__(
        self,
        deps: SwapDependencies,
        service: str,
        plan: SwapPlan | None = None,
        gate: OrderGate | None = None,
    ):
        self.deps = deps
        self.service = service
        self.plan = plan or SwapPlan()
        self.gate = gate or OrderGate()
        self.lease_key = f"lease/weights/{service}"
        self._records: dict[str, InstanceRecord] = {}
        self._head_due = 0.0
        self._uncertain_until = 0.0
        self._active: set[str] = set()
        self._orders_in_flight = 0
        self._releasing = False
        self._limiter = anyio.CapacityLimiter(CONCURRENT_CALLS_MAX)

    def update_engines(self, records: Iterable[InstanceRecord]) -> None:
        """Set the engines to manage: those of the records that are live."""
        live = (r for r in records if r.state is InstanceState.LIVE)
        self._records = {record.id: record for record in live}
        self.plan.update_engines(self._records)

    async def run_round(self, tasks: TaskRunner, may_acquire: bool) -> None:
        """Acquire the lease if it is free, then start due polls and orders."""
        held = self.deps.leases.tracker.held(self.lease_key)
        if held is None and (not may_acquire or not await self._acquire_lease()):
            return
        await self._refresh_target()
        self.plan.share_max = self._share_max()
        for id in self.plan.due_polls(self.deps.clock.now()):
            self._start(tasks, self._poll, id)
        for id in self.plan.due_orders(self.deps.clock.now()):
            if self._start(tasks, self._order, id):
                self.plan.ordered(id, self.deps.clock.now())

    async def release(self) -> None:
        """Wait for orders in flight; release the lease if none may still arrive."""
        clock = self.deps.clock
        self._releasing = True
        while self._orders_in_flight:
            await clock.sleep_until(clock.now() + ROUND_INTERVAL_S)
        held = self.deps.leases.tracker.held(self.lease_key)
        if held is not None and clock.now() >= self._uncertain_until:
            await self.deps.leases.release(held)

    def _start(
        self, tasks: TaskRunner, call: Callable[[str], Awaitable[None]], id: str
    ) -> bool:
        if id in self._active or self._releasing:
            return False
        self._active.add(id)
        tasks.start_soon(self._run, call, id)
        return True

    async def _run(self, call: Callable[[str], Awaitable[None]], id: str) -> None:
        try:
            async with self._limiter:
                await call(id)
        finally:
            self._active.discard(id)

    async def _acquire_lease(self) -> bool:
        read = await self.deps.leases.observe(self.lease_key)
        if read.is_err():
            return False
        row = read.unwrap()
        released = row.value is None or row.value["released"]
        acquired = await self.deps.leases.acquire(self.lease_key)
        if acquired.is_err():
            return False
        records = self._records.values()
        timeouts = (self.deps.options(record).order_timeout for record in records)
        longest = max(timeouts, default=FleetConfig.builtin().defaults().order_timeout)
        self.gate.taken(released, longest, self.deps.clock.now())
        fence = acquired.unwrap().fence
        log.event("weights.lease_taken", service=self.service, fence=fence)
        return True

    def _share_max(self) -> float:
        shares = (
            self.deps.options(record).away_share_max
            for record in self._records.values()
        )
        return min(shares, default=SHARE_MAX)

    async def _refresh_target(self) -> None:
        now = self.deps.clock.now()
        if now < self._head_due:
            return
        self._head_due = now + HEAD_INTERVAL_S
        head = await self.deps.heads.refresh(self.service)
        if head.is_ok():
            self.plan.set_target(head_version(head.unwrap()), self.deps.clock.now())

    async def _poll(self, id: str) -> None:
        record = self._records.get(id)
        if record is None:
            return
        status = await self._with_timeout(self.deps.engine(record).status())
        known = status is not None and status.is_ok()
        report = status.unwrap() if known else None
        self.plan.reported(id, report, self.deps.clock.now())

    async def _order(self, id: str) -> None:
        record = self._records.get(id)
        if record is None or not self._may_order(record):
            self.plan.deferred(id, self.deps.clock.now())
            return
        version = self.plan.target
        permit = await self._with_timeout(
            self.deps.store.acquire(self.service, version)
        )
        # The lease may have been lost during the wait for the permit.
        held = self.deps.leases.tracker.held(self.lease_key)
        granted = permit is not None and permit.is_ok()
        if not granted or held is None or not self._may_order(record):
            self.plan.deferred(id, self.deps.clock.now())
            return
        self.plan.ordered(id, self.deps.clock.now())
        await self._send(record, Order(self.service, version, held.fence))

    async def _send(self, record: InstanceRecord, order: Order) -> None:
        self._orders_in_flight += 1
        try:
            result = await self._with_timeout(self.deps.engine(record).order(order))
        finally:
            self._orders_in_flight -= 1
        if result is None or result.is_err():
            self._order_failed(record, result)
            return
        log.event(
            "weights.ordered",
            endpoint=record.id,
            version=order.version,
            fence=order.fence,
        )

    def _order_failed(self, record: InstanceRecord, result) -> None:
        now = self.deps.clock.now()
        self.plan.refused(record.id, now)
        if result is not None and result.unwrap_err().kind is ErrorKind.LEASE_LOST:
            self.deps.leases.tracker.drop(self.lease_key)
            return
        timeout = self.deps.options(record).order_timeout
        self._uncertain_until = max(self._uncertain_until, now + timeout)

    def _may_order(self, record: InstanceRecord) -> bool:
        now = self.deps.clock.now()
        checks = self.deps.options(record).checks_fencing
        valid = self.deps.leases.tracker.holds(self.lease_key, now)
        return self.gate.allows(checks, valid, now)

    async def _with_timeout(self, call: Awaitable[T]) -> T | None:
        """Await a call; return None after `CALL_TIMEOUT_S`."""
        clock = self.deps.clock
        answer = None

        async def limit(scope: anyio.CancelScope) -> None:
            await clock.sleep_until(clock.now() + CALL_TIMEOUT_S)
            scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(limit, tasks.cancel_scope)
            answer = await call
            tasks.cancel_scope.cancel()
        return answer


class Weights(Plugin):
    """Provide the weight heads, and run a swap coordinator for each service."""

    name = "weights"
    requires = ("platform", "leases", "links", "membership", "endpoints")

    def __init__(self, kernel):
        super().__init__(kernel)
        self.heads: WeightHeads | None = None
        self.coordinators: dict[str, SwapCoordinator] = {}
        self._tasks = None
        self._draining = False

    async def start(self, tasks) -> None:
        """Create the weight heads, and start a swap coordinator for each service."""
        platform = self.kernel.plugin("platform")
        self.heads = WeightHeads(platform.table, platform.weights)
        self._tasks = tasks
        # The endpoints plug-in read its list before this plug-in started.
        self.on_endpoints(self.kernel.plugin("endpoints").records)

    def on_endpoints(self, records) -> None:
        """Update each service's engines, and start coordinators of new services."""
        if self._tasks is None or self._draining:
            return
        services: dict[str, list[InstanceRecord]] = {
            name: [] for name in self.coordinators
        }
        for record in records:
            if record.kind is InstanceKind.ENGINE:
                services.setdefault(record.service, []).append(record)
        for service, engines in services.items():
            if service not in self.coordinators:
                self.coordinators[service] = SwapCoordinator(self._deps(), service)
                self._tasks.start_loop(self._serve, service)
            self.coordinators[service].update_engines(engines)

    async def drain(self, deadline: float) -> None:
        """Release the leases of all services."""
        self._draining = True
        for coordinator in self.coordinators.values():
            await coordinator.release()

    def _deps(self) -> SwapDependencies:
        return SwapDependencies(
            heads=self.heads,
            store=self.kernel.plugin("platform").weights,
            leases=self.kernel.plugin("leases").client,
            clock=self.kernel.clock,
            engine=self.kernel.plugin("links").engine,
            options=self._options,
        )

    def _options(self, record: InstanceRecord) -> FleetOptions:
        scope = Scope(
            service=record.service, data_centre=record.data_centre, endpoint=record.id
        )
        return self.kernel.config.scoped(scope)

    async def _serve(self, service: str) -> None:
        clock = self.kernel.clock
        coordinator = self.coordinators[service]
        while not self._draining:
            position = self._rank_of_self(service)
            held = self.kernel.plugin("leases").client.tracker.held(
                coordinator.lease_key
            )
            if held is not None or position < STANDBY_COUNT:
                await coordinator.run_round(
                    self._tasks, may_acquire=position < STANDBY_COUNT
                )
            interval = ROUND_INTERVAL_S if held else STANDBY_INTERVAL_S * (position + 1)
            await clock.sleep_until(clock.now() + interval)

    def _rank_of_self(self, service: str) -> int:
        me = self.kernel.settings.instance.id
        members = live_members(self.kernel) | {me}
        return rank(f"weights/{service}", members).index(me)


def live_members(kernel) -> set[str]:
    """Return the ids of the entry instances in state alive."""
    members = kernel.plugin("membership").view().members.values()
    return {member.id for member in members if str(member.state) in LIVE_STATES}
