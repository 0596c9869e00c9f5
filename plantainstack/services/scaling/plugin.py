"""Plug-in that orders endpoints, while this instance holds the duty."""

import random

from plantainstack import log, metrics
from plantainstack.duties import ScaleLimits
from plantainstack.plugins import Plugin
from plantainstack.policy import scaling
from plantainstack.services.scaling.service_orders import ServiceOrders
from plantainstack.serving import RequestKind
from plantainstack.tasks import contained

DECIDE_INTERVAL_S = 0.5
OBSERVE_INTERVAL_S = 0.5
# With 90 instances, some instance tries to acquire a free lease within about 0.1 s.
ACQUIRE_INTERVAL_MIN_S = 2.0
ACQUIRE_INTERVAL_MAX_S = 3.0
# Wait for calls in progress during a planned stop, before the lease is released.
RELEASE_WAIT_S = 1.0
RELEASE_CHECK_S = 0.05


class Scaling(Plugin):
    """Observe the demand, and order endpoints under the lease of the duty."""

    name = "scaling"
    requires = ("duties", "batches", "discovery", "store")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._services: dict[str, ServiceOrders] = {}
        self._lease = None
        self._holding = False
        self._stopping = False

    async def start(self, tasks) -> None:
        """Start to observe and to order, if the deployment has this duty."""
        duties = self.kernel.plugin("duties")
        if not duties.enabled("scaling"):
            return
        self._tasks = tasks
        self._discovery = self.kernel.plugin("discovery")
        self._batches = self.kernel.plugin("batches")
        self._lease = duties.holder("scaling")
        tasks.start_loop(self._observe)
        tasks.start_loop(self._hold)

    def on_drain(self) -> None:
        """Decide on no more orders."""
        self._stopping = True

    async def drain(self, deadline: float) -> None:
        """End the calls in progress and give the duty to another instance."""
        if self._lease is None or not self._holding:
            return
        clock = self.kernel.clock
        until = min(deadline, clock.now() + RELEASE_WAIT_S)
        while clock.now() < until and any(
            orders.is_sending() for orders in self._services.values()
        ):
            await clock.sleep_until(clock.now() + RELEASE_CHECK_S)
        await self._lease.release()

    def _limits(self) -> dict[str, ScaleLimits]:
        """Return the limits of the services whose endpoints can be ordered.

        Limits without a maximum permit none, so nothing is ordered for them.
        """
        cfg = self._discovery.serving
        return {
            each.name: each.scale
            for each in (cfg.services.values() if cfg else ())
            if each.scale is not None and each.scale.count_max > 0
        }

    def _orders(self, service: str) -> ServiceOrders:
        found = self._services.get(service)
        if found is None:
            found = ServiceOrders(self.kernel, self._tasks, self._lease, service)
            self._services[service] = found
        return found

    async def _observe(self) -> None:
        clock = self.kernel.clock
        while True:
            for service in self._limits():
                with contained("Scaling._observe", service=service):
                    self._observe_service(service)
            await clock.sleep_until(clock.now() + OBSERVE_INTERVAL_S)

    def _observe_service(self, service: str) -> None:
        demand = self._demand(service)
        metrics.SCALING_DEMAND.labels(service).set(demand)
        known = self._discovery.view.known.values()
        endpoints = [end for end in known if end.service == service]
        now = self.kernel.clock.now()
        self._orders(service).scaler.observe(demand, endpoints, now)

    def _demand(self, service: str) -> float:
        """Return the items and requests that must have a slot at the same time.

        The load that endpoints reported to this instance stands for services without
        batches.
        """
        open_items = self._batches.open_items()
        items = 0.0
        for route in self._discovery.serving.routes:
            if route.kind is RequestKind.BATCH:
                shares = {each.service: each.weight for each in route.weighted_services}
                share = shares.get(service, 0.0) / sum(shares.values())
                found = share * open_items.get(route.name, 0)
                items += scaling.concurrent_items(found, route.result_target_s)
        now = self.kernel.clock.now()
        balancer = self._discovery.balancer
        usable = self._discovery.usable(service)
        return max(items, sum(balancer.load(end, now) * end.slots for end in usable))

    async def _hold(self) -> None:
        clock = self.kernel.clock
        while not self._stopping:
            limits = self._limits()
            holding = bool(limits) and await self._lease.acquire()
            if holding != self._holding:
                self._record_holding(holding)
            if holding:
                await self._send_due(limits)
                wait_s = DECIDE_INTERVAL_S
            else:
                wait_s = random.uniform(ACQUIRE_INTERVAL_MIN_S, ACQUIRE_INTERVAL_MAX_S)
            await clock.sleep_until(clock.now() + wait_s)

    def _record_holding(self, holding: bool) -> None:
        self._holding = holding
        log.event("scaling.duty_taken" if holding else "scaling.duty_lost")
        for orders in self._services.values():
            orders.forget()

    async def _send_due(self, limits: dict[str, ScaleLimits]) -> None:
        # A registration that comes shows an order at work; one that leaves is urgent.
        self._discovery.need_recent_endpoints()
        for service, each in limits.items():
            if self._stopping:
                return
            with contained("Scaling._send_due", service=service):
                await self._orders(service).send_due(each)
