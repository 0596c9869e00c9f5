"""The plug-in that moves endpoints to the versions that were named."""

import random
from typing import NamedTuple

import anyio
import msgspec

from plantainstack import log, metrics
from plantainstack.plugins import Plugin
from plantainstack.policy import order_lease, version_plan
from plantainstack.policy.order_lease import OrderLease, StoreClock
from plantainstack.policy.version_plan import TargetVersion, WeightLoad
from plantainstack.serving import (
    Endpoint,
    LoadMode,
    OrderAnswer,
    RequestKind,
    RowName,
    Transaction,
    TransactionResult,
    VersionOrder,
)

LEASE_TABLE = "order_leases"
LEASE_KEY = "lease"
# The former holder asks first; it need not wait for orders of another machine.
CLAIM_DELAY_MIN_S = 0.2
CLAIM_DELAY_MAX_S = 0.7
IDLE_CHECK_S = 0.5
STEP_S = 0.1
# A load takes 0.9 s on the users' endpoints, and their reports are 0.1 s old.
FIRST_LOOK_S = 1.03
LOOK_AGAIN_S = 0.2
# A load that is not seen to end by then is ordered again.
LOAD_LIMIT_S = 6.0
# Registrations follow a load by up to a heartbeat and its delay (1.2 s and 0.8 s).
CONFIRMED_S = 4.0

_LEASE = msgspec.msgpack.Decoder(OrderLease)


class _Confirmed(NamedTuple):
    version: int
    until: float


class VersionOrders(Plugin):
    """Give orders, for each service under a lease of its own."""

    name = "version_orders"
    requires = ("discovery", "store")

    async def start(self, tasks) -> None:
        """Watch for endpoints that are behind."""
        self._tasks = tasks
        self._working: set[str] = set()
        self._holders: dict[str, _Holder] = {}
        self._discovery = self.kernel.plugin("discovery")
        self._stopping = False
        tasks.start_soon(self._watch)

    def on_drain(self) -> None:
        """Give no further orders, and leave the leases to other instances."""
        self._stopping = True
        for holder in self._holders.values():
            self._tasks.start_soon(holder.release)

    async def _watch(self) -> None:
        holders = self._holders
        while not self._stopping:
            await self._discovery.changed.wait(IDLE_CHECK_S)
            cfg = self._discovery.serving
            for name, service in (cfg.services if cfg else {}).items():
                if not service.models or name in self._working:
                    continue
                holder = holders.setdefault(name, _Holder(self, name))
                if holder.due():
                    self._working.add(name)
                    self._tasks.start_soon(self._work, name, holder)

    async def _work(self, name: str, holder: "_Holder") -> None:
        try:
            await holder.work()
        finally:
            self._working.discard(name)

    def stopping(self) -> bool:
        """Return whether no further order may be given."""
        return self._stopping


class _Holder:
    """Give orders to the endpoints of one service while the lease holds."""

    def __init__(self, owner: VersionOrders, service: str):
        self._owner = owner
        self._service = service
        self._clock = owner.kernel.clock
        # A machine that replaces another one may bear its name, never its address.
        options = owner.kernel.settings.instance
        self._me = f"{options.id}@{options.listen}"
        self._quiet_s = owner.kernel.settings.bounds.order_gap
        self._rows = owner.kernel.plugin("store").metadata_store
        self._endpoints = owner.kernel.plugin("store").endpoint_client
        self._discovery = owner.kernel.plugin("discovery")
        self._store_clock = StoreClock()
        self._lease: OrderLease | None = None
        self._lease_version = 0
        self._renewed_at = 0.0
        self._loading: set[str] = set()
        # Endpoints to which an order is on its way, or about to be sent.
        self._ordering: set[str] = set()
        self._orders_seen: dict[tuple[str, int], int] = {}
        self._confirmed: dict[tuple, _Confirmed] = {}

    def due(self) -> list[WeightLoad]:
        """Return the loads that are missing."""
        endpoints = [self._corrected(end) for end in self._usable()]
        now = self._clock.now()
        step_for_s = now - self._discovery.step_seen_at.get(self._service, 0.0)
        wanted = {
            model: TargetVersion(named.version, now - named.seen_at, step_for_s)
            for model, named in self._discovery.versions.items()
        }
        return version_plan.plan_loads(endpoints, wanted)

    async def work(self) -> None:
        """Take the lease and order what is due, or find another holder at it."""
        if not await self._claim():
            return
        async with anyio.create_task_group() as tasks:
            while (loads := self.due()) and not self._owner.stopping():
                now = self._clock.now()
                allowed = [
                    load
                    for load in loads
                    if not order_lease.is_barred(
                        self._lease, load.endpoint.id, self._store_clock, now
                    )
                ]
                chosen = version_plan.select_startable(
                    allowed, self._loading, len(self._usable())
                )
                if not await self._keep_lease(chosen):
                    break
                for load in chosen:
                    self._loading.add(load.endpoint.id)
                    self._ordering.add(load.endpoint.id)
                    tasks.start_soon(self._load, load)
                await self._clock.sleep_until(now + STEP_S)

    async def release(self) -> None:
        """Leave the lease to another instance; give no order after that."""
        lease, self._lease = self._lease, None
        if lease is None or lease.holder != self._me:
            return
        latest = self._store_clock.latest(self._clock.now())
        if await self._write(order_lease.release(lease, self._ordering, latest)):
            log.event("orders.lease_released", service=self._service, fence=lease.fence)
        self._lease = None

    def _usable(self) -> list[Endpoint]:
        return self._discovery.usable(self._service)

    def _corrected(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint with the versions that it has confirmed lately."""
        now = self._clock.now()
        versions = dict(endpoint.versions)
        for model in versions:
            found = self._confirmed.get((endpoint.incarnation(), model))
            if found is not None and found.until > now:
                versions[model] = max(versions[model], found.version)
        return endpoint._replace(versions=versions)

    async def _claim(self) -> bool:
        if self._lease is None or self._lease.holder != self._me:
            delay = random.uniform(CLAIM_DELAY_MIN_S, CLAIM_DELAY_MAX_S)
            await self._clock.sleep_until(self._clock.now() + delay)
            if not self.due():
                return False
        sent_at = self._clock.now()
        name = self._row_name()
        found = await self._rows.read(name.table, name.part)
        if found.is_err():
            await self._clock.sleep_until(self._clock.now() + IDLE_CHECK_S)
            return False
        rows = found.unwrap()
        now = self._clock.now()
        self._store_clock.update(sent_at, now, rows.store_now)
        before = None
        self._lease_version = 0
        for row in rows.rows:
            before = _LEASE.decode(row.value)
            self._lease_version = row.version
        self._lease = before
        wanted = order_lease.acquire(
            before, self._me, self._store_clock.earliest(now), self._quiet_s
        )
        if self._owner.stopping():
            return False
        if wanted is None:
            left = before.until - self._store_clock.earliest(now)
            await self._clock.sleep_until(now + max(left, 0.0) + CLAIM_DELAY_MIN_S)
            return False
        claimed = await self._write(wanted)
        if claimed:
            log.event(
                "orders.lease_taken",
                service=self._service,
                holder_before=before.holder if before else "",
                fence=wanted.fence,
                barred={id: round(end, 3) for id, end in wanted.barred.items()},
                store_now=round(rows.store_now, 3),
            )
        return claimed

    async def _keep_lease(self, chosen: list[WeightLoad]) -> bool:
        """Renew the lease where it is due, or closed for an order to be given."""
        now = self._clock.now()
        wanted = {load.endpoint.id for load in chosen} | self._ordering
        renewed_lately = now - self._renewed_at < order_lease.RENEW_AFTER_S
        is_open = all(self._order_deadline(id) is not None for id in wanted)
        if renewed_lately and is_open:
            return True
        earliest = self._store_clock.earliest(now)
        lease = order_lease.renew(self._lease, wanted, earliest, self._quiet_s)
        if await self._write(lease):
            return True
        log.event("orders.lease_lost", service=self._service, fence=lease.fence)
        self._lease = None
        return False

    def _order_deadline(self, endpoint_id: str) -> float | None:
        if self._lease is None:
            return None
        return order_lease.order_deadline(
            self._lease, endpoint_id, self._store_clock, self._clock.now()
        )

    async def _write(self, lease: OrderLease) -> bool:
        name = self._row_name()
        transaction = Transaction(
            expected=((name, self._lease_version),),
            puts=((name, msgspec.msgpack.encode(lease)),),
        )
        sent_at = self._clock.now()
        outcome = await self._rows.transact(transaction)
        done: TransactionResult | None = outcome.ok()
        if done is None or not done.applied:
            return False
        self._store_clock.update(sent_at, self._clock.now(), done.store_now)
        self._lease = lease
        self._lease_version = done.version
        self._renewed_at = sent_at
        return True

    def _row_name(self) -> RowName:
        return RowName(LEASE_TABLE, self._service, LEASE_KEY)

    async def _load(self, load: WeightLoad) -> None:
        """Order one load and wait for its end."""
        endpoint = load.endpoint
        try:
            deadline = self._clock.now() + LOAD_LIMIT_S
            if await self._order(load, deadline):
                self._ordering.discard(endpoint.id)
                await self._confirm(load, deadline)
        finally:
            self._ordering.discard(endpoint.id)
            self._loading.discard(endpoint.id)

    async def _order(self, load: WeightLoad, deadline: float) -> bool:
        """Return whether the endpoint has taken the order, or may have."""
        endpoint = load.endpoint
        key = endpoint.incarnation()
        if key not in self._orders_seen and not await self._look(load, deadline):
            return False
        if self._is_confirmed(load):
            return False
        send_before = self._order_deadline(endpoint.id)
        if send_before is None:
            return False
        order = VersionOrder(
            load.model,
            load.version,
            self._mode(),
            self._me,
            self._lease.fence,
            self._orders_seen[key],
        )
        outcome = await self._endpoints.order(
            endpoint, order, min(deadline, send_before)
        )
        answer = outcome.ok()
        metrics.ORDERS.labels(answer.value if answer else "none").inc()
        log.event(
            "orders.sent",
            service=self._service,
            endpoint=endpoint.id,
            model=load.model,
            version=load.version,
            fence=order.fence,
            orders_seen=order.orders_seen,
            answer=answer.value if answer else outcome.unwrap_err().message,
        )
        if answer is OrderAnswer.HOLDS:
            self._confirm_version(load, load.version)
            return False
        if answer is OrderAnswer.ACCEPTED:
            self._orders_seen[key] += 1
            self._note_answer(endpoint)
            return True
        # Its count of orders is read again before the next one.
        self._orders_seen.pop(key, None)
        await self._clock.sleep_until(self._clock.now() + LOOK_AGAIN_S)
        return answer is None

    def _note_answer(self, endpoint: Endpoint) -> None:
        """Tell the next holder that no further order follows this one."""
        if self._lease is not None:
            latest = self._store_clock.latest(self._clock.now())
            self._lease = order_lease.close_window(self._lease, endpoint.id, latest)

    async def _confirm(self, load: WeightLoad, deadline: float) -> None:
        wake_at = self._clock.now() + FIRST_LOOK_S
        while self._clock.now() < deadline:
            await self._clock.sleep_until(wake_at)
            if not await self._look(load, deadline) or self._is_confirmed(load):
                return
            wake_at = self._clock.now() + LOOK_AGAIN_S

    async def _look(self, load: WeightLoad, deadline: float) -> bool:
        """Read the endpoint's own report; return whether it gave one."""
        endpoint = load.endpoint
        outcome = await self._endpoints.report(endpoint, deadline)
        if outcome.is_err():
            reason = outcome.unwrap_err().message
            log.event("orders.no_report", endpoint=endpoint.id, reason=reason)
            await self._clock.sleep_until(self._clock.now() + LOOK_AGAIN_S)
            return False
        report = outcome.unwrap()
        self._orders_seen[endpoint.incarnation()] = report.orders_seen
        version = report.versions.get(load.model, 0)
        if version >= load.version and not report.busy:
            self._confirm_version(load, version)
        return True

    def _confirm_version(self, load: WeightLoad, version: int) -> None:
        key = (load.endpoint.incarnation(), load.model)
        until = self._clock.now() + CONFIRMED_S
        self._confirmed[key] = _Confirmed(version, until)

    def _is_confirmed(self, load: WeightLoad) -> bool:
        found = self._confirmed.get((load.endpoint.incarnation(), load.model))
        return (
            found is not None
            and found.version >= load.version
            and found.until > self._clock.now()
        )

    def _mode(self) -> LoadMode:
        """Let streams go on under the new weights where their labels may mix."""
        cfg = self._discovery.serving
        single = any(
            route.single_version
            for route in cfg.routes
            if route.kind is RequestKind.BATCH
            and any(share.service == self._service for share in route.weighted_services)
        )
        return LoadMode.FINISH_FIRST if single else LoadMode.CONTINUE
