"""Choose the endpoint of each attempt by load, affinity, locality and health."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

import xxhash
from result import Err, Ok, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import (
    EngineStatus,
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Priority,
)
from plantainstack.policy.concurrency import AdaptiveLimit
from plantainstack.policy.health import EndpointHealth
from plantainstack.policy.load import EndpointLoad
from plantainstack.policy.subset import Subset
from plantainstack.settings.fleet import FleetConfig, FleetOptions, Scope
from plantainstack.settings.instance import InstanceSettings

BOUND_MIN = 4.0
FULL_FACTOR = 2.0
LOADING_FACTOR = 3.0
HASH_MASK = 2**64 - 1
SLOW_RATIO = 1.5
SLOW_FACTOR_MAX = 4.0
CHOICES = 2
REPORTS_MISSED_MAX = 3.5
LOSS_WEIGHT = 0.05
LOSS_FACTOR = 10.0
ROUND_TRIP_WEIGHT = 0.2


class RouteRequest(NamedTuple):
    """Describe an attempt to the router.

    `affinity` is the hash of a prompt prefix or group whose attempts benefit from
    running at the same endpoint. `exclude` holds the ids of endpoints already tried.
    """

    service: str
    priority: Priority
    tenant: str
    deadline: float
    affinity: int | None = None
    exclude: frozenset[str] = frozenset()


class AttemptEnd(StrEnum):
    """How an attempt ended, in terms of the health of its endpoint."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    SILENT = "silent"
    CANCELLED = "cancelled"


class Router(ABC):
    """Choose endpoints; times are monotonic seconds."""

    @abstractmethod
    def update_endpoints(self, records: Sequence[InstanceRecord], now: float) -> None:
        """Replace the list of endpoints of all services."""

    @abstractmethod
    def update_load(
        self,
        endpoint_id: str,
        status: EngineStatus,
        now: float,
        round_trip: float | None = None,
    ) -> None:
        """Record an endpoint's own load report, which lags behind its load.

        `round_trip` is the time in seconds that reading the report took.
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
        """Apply a new configuration."""

    def in_subset(self, endpoint_id: str) -> bool:
        """Return whether this instance may use the endpoint."""
        return True

    def capacity(self, service: str, now: float) -> float:
        """Return how many attempts this instance may have in flight."""
        return float("inf")

    def ejected_share(self, service: str, now: float) -> float:
        """Return the share of a service's endpoints that is ejected."""
        return 0.0


class RoundRobinRouter(Router):
    """Choose live endpoints in turn; the baseline of the benchmark."""

    def __init__(self):
        self._services: dict[str, list[InstanceRecord]] = {}
        self._turn = 0

    def update_endpoints(self, records: Sequence[InstanceRecord], now: float) -> None:
        """Replace the list of endpoints of all services."""
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
            message = f"unknown service {req.service!r}"
            return Err(Failure.of(ErrorKind.UNKNOWN_SERVICE, message))
        candidates = [
            record
            for record in self._services[req.service]
            if record.state is InstanceState.LIVE and record.id not in req.exclude
        ]
        if not candidates:
            message = f"no endpoint of service {req.service!r} is available"
            return Err(Failure.of(ErrorKind.NO_ENDPOINT, message))
        self._turn += 1
        return Ok(candidates[self._turn % len(candidates)])

    def started(self, endpoint_id: str, req: RouteRequest, now: float) -> None:
        """Ignore the attempt."""

    def finished(
        self, endpoint_id: str, req: RouteRequest, end: AttemptEnd, now: float
    ) -> None:
        """Ignore the attempt."""


class _Endpoint:
    """Hold the load, health and concurrency limit of one endpoint."""

    def __init__(self, record: InstanceRecord, opts: FleetOptions, rng: random.Random):
        self.record = record
        self.load = EndpointLoad()
        self.health = EndpointHealth(rng)
        self.limit = AdaptiveLimit(opts.concurrency_min, opts.concurrency_max)
        self.hash = xxhash.xxh3_64_intdigest(record.id.encode())

    def leaving(self) -> bool:
        """Return whether the endpoint is leaving, by the list or its own report."""
        status = self.load.status
        if self.record.state is not InstanceState.LIVE:
            return True
        return status is not None and status.leaving

    def usable(self, now: float) -> bool:
        """Return whether the endpoint may get an attempt."""
        return not self.leaving() and self.health.usable(self.load.own, now)

    def full(self) -> bool:
        """Return whether this instance has reached its concurrency limit."""
        return self.load.own >= self.limit.value


class _DataCentreStats:
    """Track the round trips, contact and loss of one data centre's endpoints."""

    def __init__(self):
        self.round_trip = 0.0
        self.last_report_at = float("inf")
        self.loss = 0.0

    def answered(self, round_trip: float | None, now: float) -> None:
        """Record a load report and its round trip in seconds."""
        self.last_report_at = now
        if round_trip is None:
            return
        if not self.round_trip:
            self.round_trip = round_trip
        self.round_trip += ROUND_TRIP_WEIGHT * (round_trip - self.round_trip)

    def ended(self, lost: bool) -> None:
        """Record an attempt that ended with or without an answer."""
        self.loss += LOSS_WEIGHT * (lost - self.loss)


class _Choice(NamedTuple):
    """Hold the inputs of the cost function for the candidates of one attempt."""

    req: RouteRequest
    opts: FleetOptions
    newest: int
    duration: float | None
    now: float


class LoadAwareRouter(Router):
    """Choose endpoints by load, affinity, data centre, version and health."""

    def __init__(self, settings: InstanceSettings, cfg: FleetConfig, seed: int):
        self._data_centre = settings.instance.data_centre
        self._cfg = cfg
        self._random = random.Random(seed)
        self._subset = Subset(settings.instance.id, self._data_centre)
        self._services: dict[str, list[_Endpoint]] = {}
        self._endpoints: dict[str, _Endpoint] = {}
        self._used: dict[str, list[_Endpoint]] = {}
        self._used_ids: set[str] = set()
        self._stats_by_data_centre: dict[str, _DataCentreStats] = {}

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        for endpoint in self._endpoints.values():
            opts = self._options(endpoint.record.service)
            endpoint.limit.configure(opts.concurrency_min, opts.concurrency_max)
        self._select()

    def update_endpoints(self, records: Sequence[InstanceRecord], now: float) -> None:
        """Replace the list of endpoints, and of entry instances that share them."""
        entries, endpoints = {}, {}
        for record in records:
            if record.kind is not InstanceKind.ENTRY:
                endpoints[record.id] = record
            elif record.state is InstanceState.LIVE:
                entries[record.id] = record.data_centre
        known = self._endpoints
        self._endpoints = {
            name: self._endpoint(known.get(name), record)
            for name, record in endpoints.items()
        }
        self._services = {}
        for endpoint in self._endpoints.values():
            self._services.setdefault(endpoint.record.service, []).append(endpoint)
        centres = {name: record.data_centre for name, record in endpoints.items()}
        self._subset.update(entries, centres)
        self._select()

    def update_load(
        self,
        endpoint_id: str,
        status: EngineStatus,
        now: float,
        round_trip: float | None = None,
    ) -> None:
        """Record an endpoint's own load report, which lags behind its load."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.load.reported(status, now)
        endpoint.limit.reported(status, endpoint.load.own, now)
        self._stats(endpoint).answered(round_trip, now)

    def choose(self, req: RouteRequest, now: float) -> Result[InstanceRecord, Failure]:
        """Choose an endpoint, outside the subset only if it has no candidate."""
        if req.service not in self._services:
            message = f"unknown service {req.service!r}"
            return Err(Failure.of(ErrorKind.UNKNOWN_SERVICE, message))
        candidates = self._candidates(req, now)
        if not candidates:
            message = f"no endpoint of service {req.service!r} is available"
            return Err(Failure.of(ErrorKind.NO_ENDPOINT, message))
        return Ok(self._pick(candidates, self._choice(req, now)).record)

    def started(self, endpoint_id: str, req: RouteRequest, now: float) -> None:
        """Count an attempt that starts."""
        if endpoint := self._endpoints.get(endpoint_id):
            endpoint.load.started(now)

    def finished(
        self, endpoint_id: str, req: RouteRequest, end: AttemptEnd, now: float
    ) -> None:
        """Count an attempt that ended, and update the endpoint's health and limit."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        own = endpoint.load.own
        endpoint.load.finished(now)
        self._update_health(endpoint, end, now)
        if end is AttemptEnd.OK:
            duration = endpoint.load.duration()
            if endpoint.load.status is None and duration is not None:
                endpoint.limit.succeeded(own, duration, now)
        elif end in (AttemptEnd.REFUSED, AttemptEnd.SILENT):
            endpoint.limit.pushed_back(now)

    def in_subset(self, endpoint_id: str) -> bool:
        """Return whether this instance uses the endpoint."""
        return endpoint_id in self._used_ids

    def capacity(self, service: str, now: float) -> float:
        """Return the sum of the limits of the usable endpoints."""
        endpoints = self._used.get(service, [])
        return sum(item.limit.value for item in self._usable(endpoints, now))

    def ejected_share(self, service: str, now: float) -> float:
        """Return the share of a service's endpoints that is ejected."""
        endpoints = self._services.get(service, ())
        ejected = sum(1 for item in endpoints if item.health.ejected(now))
        return ejected / len(endpoints) if endpoints else 0.0

    def _options(self, service: str) -> FleetOptions:
        return self._cfg.scoped(Scope(service=service))

    def _endpoint(self, known: _Endpoint | None, record: InstanceRecord) -> _Endpoint:
        if known is None or known.record.address != record.address:
            return _Endpoint(record, self._options(record.service), self._random)
        known.record = record
        return known

    def _select(self) -> None:
        self._used = {}
        for service, endpoints in self._services.items():
            opts = self._options(service)
            used = [
                item
                for item in endpoints
                if self._subset.covers(
                    item.record.id, opts.subset_local, opts.subset_remote
                )
            ]
            self._used[service] = used or endpoints
        self._used_ids = {
            item.record.id for endpoints in self._used.values() for item in endpoints
        }

    def _candidates(self, req: RouteRequest, now: float) -> list[_Endpoint]:
        used, known = self._used[req.service], self._services[req.service]
        for group in (used, known):
            found = [
                item
                for item in self._usable(group, now)
                if item.record.id not in req.exclude
            ]
            if found:
                return found
        present = [item for item in known if not item.leaving()]
        untried = [item for item in present if item.record.id not in req.exclude]
        return untried or [item for item in present if item.usable(now)]

    def _usable(self, group: list[_Endpoint], now: float) -> list[_Endpoint]:
        """Return the usable endpoints, without those whose reports are missing.

        Plain endpoints send no reports; the last report from any engine of their data
        centre counts instead. Reports are polled, so a missing one reveals a broken
        network path earlier than a stalled stream does. If too many are missing at
        once, the fault is more likely to be on this side, and all endpoints are kept.
        """
        found = [item for item in group if item.usable(now)]
        if not found:
            return found
        opts = self._options(found[0].record.service)
        age_max = REPORTS_MISSED_MAX * opts.load_poll_interval
        reporting = [item for item in found if self._report_age(item, now) <= age_max]
        missing = len(found) - len(reporting)
        return reporting if missing <= opts.ejected_share_max * len(group) else found

    def _report_age(self, item: _Endpoint, now: float) -> float:
        age = item.load.report_age(now)
        return now - self._stats(item).last_report_at if age is None else age

    def _choice(self, req: RouteRequest, now: float) -> _Choice:
        used = self._used[req.service]
        statuses = [item.load.status for item in used]
        newest = max((status.version for status in statuses if status), default=0)
        durations = [item.load.duration() for item in used]
        known = [duration for duration in durations if duration is not None]
        mean = sum(known) / len(known) if len(known) > 1 else None
        return _Choice(req, self._options(req.service), newest, mean, now)

    def _pick(self, candidates: list[_Endpoint], choice: _Choice) -> _Endpoint:
        costs = {item.record.id: _cost(item, choice) for item in candidates}
        candidates = self._near_enough(candidates, costs, choice)
        if choice.req.affinity is not None:
            return _pick_by_affinity(candidates, costs, choice)
        count = min(CHOICES, len(candidates))
        drawn = self._random.sample(candidates, count)
        return min(drawn, key=lambda item: costs[item.record.id])

    def _near_enough(
        self, candidates: list[_Endpoint], costs: dict[str, float], choice: _Choice
    ) -> list[_Endpoint]:
        """Return local candidates, and those remote ones that are cheaper."""
        near, far = [], []
        for item in candidates:
            own = item.record.data_centre == self._data_centre
            (near if own else far).append(item)
        if not near or not far:
            return candidates
        cost = min(costs[item.record.id] for item in near)
        cheaper = [
            item
            for item in far
            if costs[item.record.id] * self._crossing_factor(item, choice) < cost
        ]
        return near + cheaper

    def _stats(self, item: _Endpoint) -> _DataCentreStats:
        return self._stats_by_data_centre.setdefault(
            item.record.data_centre, _DataCentreStats()
        )

    def _crossing_factor(self, item: _Endpoint, choice: _Choice) -> float:
        """Return the factor on the cost of endpoints in another data centre."""
        stats = self._stats(item)
        local = self._stats_by_data_centre.get(self._data_centre, _DataCentreStats())
        delay = max(0.0, stats.round_trip - local.round_trip)
        share = delay / (delay + (choice.duration or 1.0))
        return 1 + choice.opts.crossing_cost + share + LOSS_FACTOR * stats.loss

    def _update_health(self, item: _Endpoint, end: AttemptEnd, now: float) -> None:
        if end is AttemptEnd.CANCELLED:
            return
        lost = end in (AttemptEnd.FAILED, AttemptEnd.SILENT)
        self._stats(item).ended(lost)
        if end is AttemptEnd.OK:
            item.health.succeeded()
        elif end is AttemptEnd.REFUSED:
            bound = self._options(item.record.service).leaving_bound
            item.health.refused(bound, now)
        elif end is AttemptEnd.FAILED:
            item.health.failed()
        else:
            item.health.timed_out(item.load.own)
        if item.health.unhealthy and self._may_eject(item, now):
            item.health.eject(now)

    def _may_eject(self, item: _Endpoint, now: float) -> bool:
        service = item.record.service
        endpoints = self._services[service]
        ejected = sum(1 for other in endpoints if other.health.ejected(now))
        allowed = self._options(service).ejected_share_max * len(endpoints)
        return not item.health.ejected(now) and ejected + 1 <= allowed


def _pick_by_affinity(
    candidates: list[_Endpoint], costs: dict[str, float], choice: _Choice
) -> _Endpoint:
    """Return the first candidate by hash whose load is within the bound.

    This is consistent hashing with bounded loads, so that a popular prefix does not
    overload its endpoint.
    """
    mean = sum(costs[item.record.id] for item in candidates) / len(candidates)
    bound = max(BOUND_MIN, choice.opts.affinity_bound * mean)
    affinity = choice.req.affinity or 0
    for item in sorted(candidates, key=lambda item: _rank(affinity, item)):
        if costs[item.record.id] <= bound and not item.full():
            return item
    return min(candidates, key=lambda item: costs[item.record.id])


def _cost(item: _Endpoint, choice: _Choice) -> float:
    """Return the load, weighted by slowness, a full limit, loading and staleness."""
    cost = (1 + item.load.estimate(choice.now)) * _slowness(item, choice)
    if item.full():
        cost *= FULL_FACTOR
    status = item.load.status
    if status is None:
        return cost
    if status.loading is not None:
        cost *= LOADING_FACTOR
    if choice.req.priority is Priority.ROLLOUT:
        behind = choice.newest - status.version
        cost *= 1 + choice.opts.version_weight * max(0, behind)
    return cost


def _slowness(item: _Endpoint, choice: _Choice) -> float:
    """Return the factor by which an endpoint is slower than the service's mean.

    Ratios up to SLOW_RATIO are within the normal variation of answer lengths.
    """
    own = item.load.duration()
    if own is None or not choice.duration:
        return 1.0
    return min(SLOW_FACTOR_MAX, max(1.0, own / choice.duration / SLOW_RATIO))


def _rank(affinity: int, item: _Endpoint) -> int:
    mixed = (affinity ^ item.hash) & HASH_MASK
    return xxhash.xxh3_64_intdigest(mixed.to_bytes(8, "little"))
