"""Send the capacity orders of one service."""

from itertools import groupby

import anyio

from plantainstack import log, metrics
from plantainstack.duties import CapacityOrder, DutyAnswer, DutyLease, ScaleLimits
from plantainstack.errors import Outcome
from plantainstack.policy.scaling import ServiceScaler
from plantainstack.services.scaling.order_row import OrderRow
from plantainstack.tasks import TaskRunner, contained

# A call that takes longer has an unknown outcome and is repeated.
CALL_TIMEOUT_S = 5.0


class ServiceOrders:
    """Store and send the orders of one service while this instance holds the duty."""

    def __init__(self, kernel, tasks: TaskRunner, lease: DutyLease, service: str):
        self.scaler = ServiceScaler(service)
        self._service = service
        self._clock = kernel.clock
        self._tasks = tasks
        self._client = kernel.plugin("duties").client
        self._lease = lease
        self._row = OrderRow(kernel.plugin("store").metadata_store, service)
        self._restored = False
        # Fencing token of the calls since the orders were read, None without any.
        self._fence: int | None = None
        # Data centres with a call in progress.
        self._busy: set[str] = set()

    def forget(self) -> None:
        """Read the orders in force again before the next one, after a loss."""
        self._restored = False

    def is_sending(self) -> bool:
        """Return whether a call is in progress."""
        return bool(self._busy)

    async def send_due(self, limits: ScaleLimits) -> None:
        """Store the due orders, then start to send them.

        They are stored first: if this instance ends in between, the next holder sends
        them, and none is in force that it does not know.
        """
        # Orders decided before a loss may still wait behind a call in progress.
        if not self._restored and (self._busy or not await self._restore()):
            return
        orders = self.scaler.decide(limits, self._clock.now(), self._busy)
        if not orders:
            return
        saved = await self._row.save(self.scaler.state())
        if saved.is_err():
            self._restored = False
            reason = saved.unwrap_err().message
            log.event("scaling.not_stored", service=self._service, reason=reason)
            return
        orders.sort(key=lambda order: order.data_centre)
        for name, group in groupby(orders, lambda order: order.data_centre):
            self._busy.add(name)
            self._tasks.start_soon(self._send_all, name, list(group))

    async def _restore(self) -> bool:
        found = await self._row.load()
        if found.is_err():
            reason = found.unwrap_err().message
            log.event("scaling.not_read", service=self._service, reason=reason)
            return False
        self.scaler.restore(found.unwrap(), self._clock.now())
        self._fence = None
        self._restored = True
        return True

    async def _send_all(self, data_centre: str, orders: list[CapacityOrder]) -> None:
        """Send the orders of one data centre, which are one subject, in sequence."""
        try:
            for order in orders:
                await self._send(order)
        finally:
            self._busy.discard(data_centre)

    async def _send(self, order: CapacityOrder) -> None:
        grant = await self._lease.grant(f"{self._service}/{order.data_centre}")
        if grant is None:
            self.scaler.record_unsent(order, self._clock.now())
            return
        if self._fence not in (None, grant.fence):
            # The duty was lost and acquired again at once, after a pause; another
            # instance may have made orders meanwhile.
            self.forget()
            self.scaler.record_unsent(order, self._clock.now())
            return
        self._fence = grant.fence
        started = self._clock.now()
        outcome = None
        with (
            contained("ServiceOrders._send", service=self._service),
            anyio.move_on_after(CALL_TIMEOUT_S),
        ):
            outcome = await self._client.order_capacity(order, grant)
        now = self._clock.now()
        answer, failure = None, None
        if outcome is not None and outcome.is_ok():
            answer = outcome.unwrap()
        elif outcome is not None:
            failure = outcome.unwrap_err()
            if failure.outcome is Outcome.NOT_RUN:
                answer = DutyAnswer.REFUSED
        self.scaler.record_answer(order, answer, now)
        end = answer.value if answer else "failed"
        metrics.SCALING_ORDERS.labels(self._service, end).inc()
        log.event(
            "scaling.ordered",
            service=self._service,
            data_centre=order.data_centre,
            reclaimable=order.reclaimable,
            count=order.count,
            answer=end,
            reason=failure.message if failure else None,
            fence=grant.fence,
            needed=self.scaler.needed_endpoints(),
            seconds=round(now - started, 3),
        )
