"""Admit requests by priority and deadline, within the capacity of each service."""

import heapq
import itertools
import math
from abc import ABC, abstractmethod
from typing import NamedTuple

from result import Err, Ok, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import Priority
from plantainstack.policy.routing import AttemptEnd, Router, RouteRequest
from plantainstack.settings.fleet import FleetConfig, FleetOptions, Scope

SERVICE_TIME_WEIGHT = 0.05
SERVICE_TIME_MARGIN = 1.0
PEAK_DECAY_S = 30.0


class Admission(ABC):
    """Decide when a request may be dispatched; times are monotonic seconds.

    A request is offered once and is then admitted, refused or queued at once.
    `next_admitted` returns the queued requests that may start now.
    """

    @abstractmethod
    def offer(
        self, request_id: str, req: RouteRequest, now: float
    ) -> Result[bool, Failure]:
        """Return whether the request may start now; False means that it is queued.

        Fails with `overloaded` if the request could not start before its deadline.
        """

    @abstractmethod
    def next_admitted(self, now: float) -> list[str]:
        """Return the ids of queued requests that may start now."""

    @abstractmethod
    def expired(self, now: float) -> list[str]:
        """Remove the queued requests that must be refused, and return their ids."""

    @abstractmethod
    def withdraw(self, request_id: str) -> None:
        """Remove a queued request whose caller has disconnected."""

    @abstractmethod
    def finished(
        self, req: RouteRequest, end: AttemptEnd, started_at: float, now: float
    ) -> None:
        """Release the capacity of an admitted request."""

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""

    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return 0


class OpenAdmission(Admission):
    """Admit all requests at once; the baseline of the benchmark."""

    def offer(
        self, request_id: str, req: RouteRequest, now: float
    ) -> Result[bool, Failure]:
        """Admit the request."""
        return Ok(True)

    def next_admitted(self, now: float) -> list[str]:
        """Return nothing, since nothing is queued."""
        return []

    def expired(self, now: float) -> list[str]:
        """Return nothing, since nothing is queued."""
        return []

    def withdraw(self, request_id: str) -> None:
        """Ignore the request."""

    def finished(
        self, req: RouteRequest, end: AttemptEnd, started_at: float, now: float
    ) -> None:
        """Ignore the request."""


class _Waiting(NamedTuple):
    """Hold a queued request; requests are ordered by deadline, then by arrival."""

    deadline: float
    sequence: int
    request_id: str


class _Peak:
    """Track a maximum that decays linearly over time."""

    def __init__(self):
        self._value = 0.0
        self._at = 0.0

    def get(self, now: float) -> float:
        """Return the decayed peak."""
        return self._value * max(0.0, 1 - (now - self._at) / PEAK_DECAY_S)

    def add(self, value: float, now: float) -> None:
        """Replace the peak if a value is at least as high."""
        if value >= self.get(now):
            self._value, self._at = value, now


class _Service:
    """Hold the counts and queues of one service: callers, and rollouts by trainer."""

    def __init__(self):
        self.in_flight = {Priority.CALLER: 0, Priority.ROLLOUT: 0}
        self.tenants: dict[str, int] = {}
        self.callers: list[_Waiting] = []
        self.rollouts: dict[str, list[_Waiting]] = {}
        self.service_time = {Priority.CALLER: 0.0, Priority.ROLLOUT: 0.0}
        self.peak = _Peak()

    def count(self, req: RouteRequest, change: int, now: float) -> None:
        """Add a started (1) or ended (-1) request to the counts."""
        self.in_flight[req.priority] += change
        if req.priority is Priority.ROLLOUT:
            held = self.tenants.get(req.tenant, 0) + change
            self.tenants[req.tenant] = held
            if not held:
                del self.tenants[req.tenant]
        else:
            self.peak.add(self.in_flight[Priority.CALLER], now)

    def queue(self, req: RouteRequest) -> list[_Waiting]:
        """Return the queue that a request belongs to."""
        if req.priority is Priority.CALLER:
            return self.callers
        return self.rollouts.setdefault(req.tenant, [])


class PriorityAdmission(Admission):
    """Admit callers before rollouts, and divide the remaining capacity among trainers.

    Callers may use the whole capacity, since engines start them before queued
    rollouts. Rollouts get the capacity that callers have not used recently, and the
    trainer with the fewest requests in flight is served first.
    """

    def __init__(self, cfg: FleetConfig, router: Router):
        self._cfg = cfg
        self._router = router
        self._services: dict[str, _Service] = {}
        self._queued: dict[str, tuple[RouteRequest, int]] = {}
        self._numbers = itertools.count()

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg

    def offer(
        self, request_id: str, req: RouteRequest, now: float
    ) -> Result[bool, Failure]:
        """Admit, queue or refuse a request."""
        service = self._services.setdefault(req.service, _Service())
        if now >= req.deadline:
            message = "the deadline has passed"
            return Err(Failure.of(ErrorKind.DEADLINE_PASSED, message))
        if not self._waiting(service, req) and self._fits(service, req, now):
            service.count(req, 1, now)
            return Ok(True)
        if not self._in_time(service, req, now):
            message = f"service {req.service!r} has no capacity before the deadline"
            return Err(Failure.of(ErrorKind.OVERLOADED, message))
        item = _Waiting(req.deadline, next(self._numbers), request_id)
        heapq.heappush(service.queue(req), item)
        self._queued[request_id] = (req, item.sequence)
        return Ok(False)

    def next_admitted(self, now: float) -> list[str]:
        """Admit queued requests while there is capacity."""
        return [
            request_id
            for service in self._services.values()
            for request_id in self._start_waiting(service, now)
        ]

    def expired(self, now: float) -> list[str]:
        """Remove queued requests that can no longer be answered in time."""
        expired = []
        for service in self._services.values():
            for priority, queue in self._queues(service):
                margin = SERVICE_TIME_MARGIN * service.service_time[priority]
                while (item := self._first(queue)) and item.deadline <= now + margin:
                    heapq.heappop(queue)
                    del self._queued[item.request_id]
                    expired.append(item.request_id)
        return expired

    def withdraw(self, request_id: str) -> None:
        """Remove a queued request; its entry in the queue is skipped later."""
        self._queued.pop(request_id, None)

    def finished(
        self, req: RouteRequest, end: AttemptEnd, started_at: float, now: float
    ) -> None:
        """Release the capacity of an admitted request."""
        service = self._services[req.service]
        service.count(req, -1, now)
        if end is AttemptEnd.OK:
            mean = service.service_time[req.priority]
            weight = SERVICE_TIME_WEIGHT if mean else 1.0
            change = weight * (now - started_at - mean)
            service.service_time[req.priority] += change

    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def _options(self, service: str) -> FleetOptions:
        return self._cfg.scoped(Scope(service=service))

    def _capacity(self, service: str, now: float) -> float:
        minimum = self._options(service).concurrency_min
        return max(minimum, self._router.capacity(service, now))

    def _fits(self, service: _Service, req: RouteRequest, now: float) -> bool:
        capacity = self._capacity(req.service, now)
        callers = service.in_flight[Priority.CALLER]
        if req.priority is Priority.CALLER:
            return callers < capacity
        if math.isinf(capacity):
            return True
        share = self._options(req.service).caller_reserve
        reserve = max(share * capacity, service.peak.get(now))
        used = service.in_flight[Priority.ROLLOUT] + max(callers, reserve)
        # One rollout at a time is always admitted, so that a step makes progress under
        # any number of callers.
        return used < capacity or not service.in_flight[Priority.ROLLOUT]

    def _in_time(self, service: _Service, req: RouteRequest, now: float) -> bool:
        opts = self._options(req.service)
        if len(self._queued) >= opts.queue_max:
            return False
        mean = service.service_time[req.priority]
        ahead = 1 + self._ahead(service, req)
        wait = ahead * mean / self._capacity(req.service, now)
        return now + wait + SERVICE_TIME_MARGIN * mean < req.deadline

    def _ahead(self, service: _Service, req: RouteRequest) -> int:
        """Return how many queued requests start before this one.

        A step offers thousands of rollouts with one deadline, so these are not
        compared one by one.
        """
        queue = service.queue(req)
        if req.priority is Priority.ROLLOUT:
            return len(queue)
        return sum(1 for item in queue if item.deadline < req.deadline)

    def _waiting(self, service: _Service, req: RouteRequest) -> bool:
        if req.priority is Priority.CALLER:
            return self._first(service.callers) is not None
        return any(self._first(queue) for queue in service.rollouts.values())

    def _first(self, queue: list[_Waiting]) -> _Waiting | None:
        """Drop withdrawn entries, and return the first entry that remains."""
        while queue:
            _, sequence = self._queued.get(queue[0].request_id, (None, None))
            if sequence == queue[0].sequence:
                return queue[0]
            heapq.heappop(queue)
        return None

    @staticmethod
    def _queues(service: _Service):
        yield Priority.CALLER, service.callers
        for queue in service.rollouts.values():
            yield Priority.ROLLOUT, queue

    def _start_waiting(self, service: _Service, now: float) -> list[str]:
        started = []
        while queue := self._next_queue(service):
            req, _ = self._queued[queue[0].request_id]
            if not self._fits(service, req, now):
                break
            started.append(heapq.heappop(queue).request_id)
            del self._queued[started[-1]]
            service.count(req, 1, now)
        return started

    def _next_queue(self, service: _Service) -> list[_Waiting] | None:
        if self._first(service.callers):
            return service.callers
        service.rollouts = {
            tenant: queue
            for tenant, queue in service.rollouts.items()
            if self._first(queue)
        }
        return min(
            service.rollouts.values(),
            key=lambda queue: self._share_key(service, queue[0]),
            default=None,
        )

    def _share_key(self, service: _Service, item: _Waiting) -> tuple[int, _Waiting]:
        req, _ = self._queued[item.request_id]
        return service.tenants.get(req.tenant, 0), item
