"""Choose an endpoint for each attempt."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.platform.base import (
    EngineStatus,
    InstanceRecord,
    InstanceState,
    Priority,
)
from plantainstack.settings.fleet import FleetConfig


class RouteRequest(NamedTuple):
    """Describe an attempt to the router.

    `affinity` is the hash of the prompt prefix or group whose attempts gain from
    being at one endpoint. `exclude` holds the endpoints already tried.
    """

    service: str
    priority: Priority
    tenant: str
    deadline: float
    affinity: int | None = None
    exclude: frozenset[str] = frozenset()


class AttemptEnd(StrEnum):
    """Name how an attempt ended, as far as the health of its endpoint goes."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    SILENT = "silent"
    CANCELLED = "cancelled"


class Router(ABC):
    """Choose endpoints; times are monotonic seconds."""

    @abstractmethod
    def update_endpoints(self, records: Sequence[InstanceRecord], now: float) -> None:
        """Take over a new list of endpoints of all services."""

    @abstractmethod
    def update_load(
        self,
        endpoint_id: str,
        status: EngineStatus,
        now: float,
        round_trip: float | None = None,
    ) -> None:
        """Take over an endpoint's own report, which lags.

        `round_trip` is the time that reading it took, in seconds.
        """

    @abstractmethod
    def choose(self, req: RouteRequest, now: float) -> Result[InstanceRecord, Failure]:
        """Choose an endpoint, or fail with `unknown_service` or `no_endpoint`."""

    @abstractmethod
    def started(self, endpoint_id: str, req: RouteRequest, now: float) -> None:
        """Count an attempt that starts."""

    @abstractmethod
    def finished(
        self, endpoint_id: str, req: RouteRequest, end: AttemptEnd, now: float
    ) -> None:
        """Count an attempt that ended."""

    def configure(self, cfg: FleetConfig) -> None:
        """Take over a new configuration."""

    def in_subset(self, endpoint_id: str) -> bool:
        """Return whether this instance may use the endpoint."""
        return True


class RoundRobinRouter(Router):
    """Take live endpoints in turn; the baseline of the benchmark."""

    def __init__(self):
        self._services: dict[str, list[InstanceRecord]] = {}
        self._turn = 0

    def update_endpoints(self, records: Sequence[InstanceRecord], now: float) -> None:
        """Take over a new list of endpoints of all services."""
        self._services = {}
        for record in records:
            self._services.setdefault(record.service, []).append(record)

    def update_load(
        self,
        endpoint_id: str,
        status: EngineStatus,
        now: float,
        round_trip: float | None = None,
    ) -> None:
        """Ignore the report."""

    def choose(self, req: RouteRequest, now: float) -> Result[InstanceRecord, Failure]:
        """Choose the next live endpoint that was not tried yet."""
        if req.service not in self._services:
            message = f"no service {req.service!r}"
            return Err(Failure.of(ErrorKind.UNKNOWN_SERVICE, message))
        candidates = [
            record
            for record in self._services[req.service]
            if record.state is InstanceState.LIVE and record.id not in req.exclude
        ]
        if not candidates:
            message = f"no endpoint of {req.service!r} can take the request"
            return Err(Failure.of(ErrorKind.NO_ENDPOINT, message))
        self._turn += 1
        return Ok(candidates[self._turn % len(candidates)])

    def started(self, endpoint_id: str, req: RouteRequest, now: float) -> None:
        """Ignore the attempt."""

    def finished(
        self, endpoint_id: str, req: RouteRequest, end: AttemptEnd, now: float
    ) -> None:
        """Ignore the attempt."""
