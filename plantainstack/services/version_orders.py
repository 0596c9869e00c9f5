"""Plug-in that orders endpoints to load announced weight versions."""

import random
from typing import NamedTuple

import anyio

from plantainstack import log, metrics
from plantainstack.plugins import Plugin
from plantainstack.policy import order_lease, version_plan
from plantainstack.policy.version_plan import TargetVersion, WeightLoad
from plantainstack.services.store_leases.lease import (
    LEASE_KEY,
    LeaseSpec,
    StoreLease,
)
from plantainstack.serving import (
    Endpoint,
    LoadMode,
    OrderAnswer,
    RequestKind,
    RowName,
    VersionOrder,
)
from plantainstack.tasks import contained, record_exception

LEASE_TABLE = "order_leases"
# Random delay before an instance that does not hold the lease tries to acquire it. The
# former holder tries without it, as it need not wait for another machine's orders.
ACQUIRE_DELAY_MIN_S = 0.2
ACQUIRE_DELAY_MAX_S = 0.7
IDLE_CHECK_S = 0.5
PLAN_INTERVAL_S = 0.1
# Delays until an endpoint's report is read after an order. A load takes 0.9 s on the
# users' endpoints, and their reports are 0.1 s old.
FIRST_REPORT_DELAY_S = 1.03
REPORT_INTERVAL_S = 0.2
# A load that has not been confirmed after this time is ordered again.
LOAD_TIMEOUT_S = 6.0
# How long the loads of other endpoints go before that of one which has failed.
FAILURE_MEMORY_S = 4.0
# Delay before an endpoint whose load raised an exception is ordered again.
FAILED_LOAD_DELAY_S = 1.0
# How long a version confirmed by a report overrides the registration, which lags behind
# a load by up to a heartbeat interval (1.2 s) and its delay (0.8 s).
CONFIRMATION_TTL_S = 4.0


class _ConfirmedVersion(NamedTuple):
    """Hold a version read from an endpoint's report and when it expires."""

    version: int
    until: float


class VersionOrders(Plugin):
    """Order loads of new versions, under one lease for each service."""

    name = "version_orders"
    requires = ("discovery", "store")

    async def start(self, tasks) -> None:
        """Start to watch for endpoints that must load a newer version."""
        self._tasks = tasks
        self._active_services: set[str] = set()
        self._holders: dict[str, _LeaseHolder] = {}
        self._discovery = self.kernel.plugin("discovery")
        self._stopping = False
        tasks.start_loop(self._watch)

    def on_drain(self) -> None:
        """Send no more orders and release the leases to other instances."""
        self._stopping = True
        for holder in self._holders.values():
            self._tasks.start_soon(holder.release)

    async def _watch(self) -> None:
        holders = self._holders
        while not self._stopping:
            await self._discovery.changed.wait(IDLE_CHECK_S)
            cfg = self._discovery.serving
            for name, service in (cfg.services if cfg else {}).items():
                if not service.models or name in self._active_services:
                    continue
                with contained("VersionOrders._watch", service=name):
                    holder = holders.setdefault(name, _LeaseHolder(self, name))
                    if holder.due_loads():
                        self._active_services.add(name)
                        self._tasks.start_soon(self._order_loads, name, holder)

    async def _order_loads(self, name: str, holder: "_LeaseHolder") -> None:
        try:
            await holder.order_due_loads()
        finally:
            self._active_services.discard(name)

    def stopping(self) -> bool:
        """Return whether the plug-in is draining and must not send orders."""
        return self._stopping


class _LeaseHolder:
    """Hold the lease of one service and send orders to its endpoints under it."""

    def __init__(self, plugin: VersionOrders, service: str):
        self._plugin = plugin
        self._service = service
        self._clock = plugin.kernel.clock
        # A replacement machine may reuse the id of the former one but not its
        # address, so the address makes the holder unique.
        options = plugin.kernel.settings.instance
        self._holder_id = f"{options.id}@{options.listen}"
        self._endpoints = plugin.kernel.plugin("store").endpoint_client
        self._discovery = plugin.kernel.plugin("discovery")
        self._lease = StoreLease(
            plugin.kernel,
            LeaseSpec(
                RowName(LEASE_TABLE, service, LEASE_KEY),
                self._holder_id,
                plugin.kernel.settings.bounds.order_gap,
                "orders",
                {"service": service},
            ),
        )
        self._loading: set[str] = set()
        # Endpoints with an order in flight or about to be sent.
        self._in_flight: set[str] = set()
        self._orders_seen: dict[tuple[str, int], int] = {}
        self._confirmed: dict[tuple, _ConfirmedVersion] = {}
        # Times of the last failures of loads, by endpoint id.
        self._failed_at: dict[str, float] = {}

    def due_loads(self) -> list[WeightLoad]:
        """Return the loads that endpoints still need."""
        endpoints = [
            self._with_confirmed_versions(end) for end in self._usable_endpoints()
        ]
        now = self._clock.now()
        step_age_s = now - self._discovery.last_step_at.get(self._service, 0.0)
        targets = {
            model: TargetVersion(announced.version, now - announced.seen_at, step_age_s)
            for model, announced in self._discovery.versions.items()
        }
        failed = {
            id for id, at in self._failed_at.items() if now - at < FAILURE_MEMORY_S
        }
        return version_plan.plan_loads(endpoints, targets, failed)

    async def order_due_loads(self) -> None:
        """Acquire the lease and order all due loads; return early if it is not free."""
        if not await self._acquire_lease():
            return
        async with anyio.create_task_group() as tasks:
            while (loads := self.due_loads()) and not self._plugin.stopping():
                now = self._clock.now()
                self._discovery.need_recent_endpoints()
                allowed = [
                    load
                    for load in loads
                    if not self._lease.is_barred(load.endpoint.id)
                ]
                chosen = version_plan.select_startable(
                    allowed, self._loading, len(self._usable_endpoints())
                )
                if not await self._keep_lease(chosen):
                    break
                for load in chosen:
                    self._loading.add(load.endpoint.id)
                    self._in_flight.add(load.endpoint.id)
                    tasks.start_soon(self._load, load)
                await self._clock.sleep_until(now + PLAN_INTERVAL_S)

    async def release(self) -> None:
        """Release the lease to another instance; no order is sent afterwards."""
        await self._lease.release(self._in_flight)

    def _usable_endpoints(self) -> list[Endpoint]:
        return self._discovery.usable(self._service)

    def _with_confirmed_versions(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint with its registered versions raised to confirmed ones."""
        now = self._clock.now()
        versions = dict(endpoint.versions)
        for model in versions:
            found = self._confirmed.get((endpoint.incarnation(), model))
            if found is not None and found.until > now:
                versions[model] = max(versions[model], found.version)
        return endpoint._replace(versions=versions)

    async def _acquire_lease(self) -> bool:
        if not self._lease.is_own():
            delay = random.uniform(ACQUIRE_DELAY_MIN_S, ACQUIRE_DELAY_MAX_S)
            await self._clock.sleep_until(self._clock.now() + delay)
            if not self.due_loads():
                return False
        if not await self._lease.read():
            await self._clock.sleep_until(self._clock.now() + IDLE_CHECK_S)
            return False
        if self._plugin.stopping():
            return False
        if not self._lease.is_free():
            delay = self._lease.remaining_s() + ACQUIRE_DELAY_MIN_S
            await self._clock.sleep_until(self._clock.now() + delay)
            return False
        return await self._lease.acquire()

    async def _keep_lease(self, chosen: list[WeightLoad]) -> bool:
        """Renew the lease if it is due or does not yet permit one of the orders.

        Returns False if the lease was lost.
        """
        endpoint_ids = {load.endpoint.id for load in chosen} | self._in_flight
        renewed_recently = self._lease.renewed_within(order_lease.RENEW_AFTER_S)
        is_open = all(self._lease.deadline(id) is not None for id in endpoint_ids)
        if renewed_recently and is_open:
            return True
        return await self._lease.renew(endpoint_ids)

    async def _load(self, load: WeightLoad) -> None:
        """Order one load and wait until it is confirmed or has timed out."""
        endpoint = load.endpoint
        try:
            deadline = self._clock.now() + LOAD_TIMEOUT_S
            if await self._order(load, deadline):
                self._in_flight.discard(endpoint.id)
                await self._wait_for_confirmation(load, deadline)
        except Exception as exc:
            record_exception("_LeaseHolder._load", exc, endpoint=endpoint.id)
            # An order may have been sent, so that the endpoint's count is uncertain.
            self._orders_seen.pop(endpoint.incarnation(), None)
            self._in_flight.discard(endpoint.id)
            self._record_failure(endpoint)
            await self._clock.sleep_until(self._clock.now() + FAILED_LOAD_DELAY_S)
        finally:
            self._in_flight.discard(endpoint.id)
            self._loading.discard(endpoint.id)

    async def _order(self, load: WeightLoad, deadline: float) -> bool:
        """Send an order; return whether the endpoint may have accepted it."""
        endpoint = load.endpoint
        key = endpoint.incarnation()
        if key not in self._orders_seen and not await self._read_report(load, deadline):
            return False
        if self._is_confirmed(load) or not self._discovery.is_usable(endpoint):
            return False
        send_before = self._lease.deadline(endpoint.id)
        if send_before is None:
            return False
        order = VersionOrder(
            load.model,
            load.version,
            self._load_mode(),
            self._holder_id,
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
            self._lease.close_window(endpoint.id)
            return True
        if answer is None:
            self._record_failure(endpoint)
        # The endpoint's order count is uncertain; read it again before the next
        # order.
        self._orders_seen.pop(key, None)
        await self._clock.sleep_until(self._clock.now() + REPORT_INTERVAL_S)
        return answer is None

    def _record_failure(self, endpoint: Endpoint) -> None:
        now = self._clock.now()
        self._failed_at = {
            id: at for id, at in self._failed_at.items() if now - at < FAILURE_MEMORY_S
        }
        self._failed_at[endpoint.id] = now

    async def _wait_for_confirmation(self, load: WeightLoad, deadline: float) -> None:
        wake_at = self._clock.now() + FIRST_REPORT_DELAY_S
        while self._clock.now() < deadline:
            await self._clock.sleep_until(wake_at)
            if not await self._read_report(load, deadline) or self._is_confirmed(load):
                return
            wake_at = self._clock.now() + REPORT_INTERVAL_S

    async def _read_report(self, load: WeightLoad, deadline: float) -> bool:
        """Fetch the endpoint's report; return whether there was one."""
        endpoint = load.endpoint
        outcome = await self._endpoints.report(endpoint, deadline)
        if outcome.is_err():
            reason = outcome.unwrap_err().message
            log.event("orders.no_report", endpoint=endpoint.id, reason=reason)
            self._record_failure(endpoint)
            await self._clock.sleep_until(self._clock.now() + REPORT_INTERVAL_S)
            return False
        report = outcome.unwrap()
        self._orders_seen[endpoint.incarnation()] = report.orders_seen
        version = report.versions.get(load.model, 0)
        if version >= load.version and not report.busy:
            self._confirm_version(load, version)
        return True

    def _confirm_version(self, load: WeightLoad, version: int) -> None:
        key = (load.endpoint.incarnation(), load.model)
        until = self._clock.now() + CONFIRMATION_TTL_S
        self._confirmed[key] = _ConfirmedVersion(version, until)

    def _is_confirmed(self, load: WeightLoad) -> bool:
        found = self._confirmed.get((load.endpoint.incarnation(), load.model))
        return (
            found is not None
            and found.version >= load.version
            and found.until > self._clock.now()
        )

    def _load_mode(self) -> LoadMode:
        """Return how running streams are treated while the endpoint loads weights.

        Streams continue with the new weights unless a batch route of the service
        requires a single version for the whole text.
        """
        cfg = self._discovery.serving
        single = any(
            route.single_version
            for route in cfg.routes
            if route.kind is RequestKind.BATCH
            and any(share.service == self._service for share in route.weighted_services)
        )
        return LoadMode.FINISH_FIRST if single else LoadMode.CONTINUE
