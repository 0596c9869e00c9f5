"""Balance requests over endpoints by load, locality, latency and recent failures.

Many entry instances share a few endpoints and do not exchange their request counts.
Each instance therefore adds the load that endpoints report with their answers to its
own count of open requests.
"""

from collections.abc import Sequence
from typing import NamedTuple

from plantainstack.policy.endpoint_speed import EndpointSpeeds, SpeedEstimate
from plantainstack.serving import Endpoint, EndpointLoadReport

# Short requests last about 1 s; an older load report no longer describes the load.
REPORT_AGE_MAX_S = 1.0
# A crashed endpoint leaves the endpoint list after three missed heartbeats of about
# 1.2 s. Until then, this instance avoids an endpoint that failed.
FAILURE_AVOIDANCE_S = 3.6
# An endpoint refuses while it is full or loads weights; both end soon.
REFUSAL_AVOIDANCE_S = 0.5
# Load, as a share of slots, added to endpoints of other data centres, so that
# requests go to another data centre only when the local endpoints fill up.
REMOTE_PENALTY = 0.25
# Upper limit of the factor by which a slow endpoint's load is multiplied.
SLOW_FACTOR_MAX = 8.0
# Power of the factor for endpoints that report their slowness: requests end later at a
# slow one and also keep its slots for longer.
SPEED_EXPONENT = 2.0
# Weight of a new answer in the moving average of an endpoint's latency.
ANSWER_WEIGHT = 0.25
# Weight of a new stream event. An endpoint sends some hundred events a second, and
# several may arrive together, so each one counts for less than an answer.
EVENT_WEIGHT = 0.03
# According to the users' data sheets, a full endpoint takes 4% to 6% longer for
# an event than an idle one.
LOAD_SLOWDOWN = 0.05
# Slow endpoints stay slow for about 5 s; an older latency is discarded.
LATENCY_AGE_MAX_S = 5.0
# Bounds of a latency, by which others are divided.
LATENCY_MIN_S = 0.0001
LATENCY_MAX_S = 600.0


class _EndpointState:
    """Hold the load, latency and avoidance period of one endpoint."""

    def __init__(self):
        self.own_requests = 0
        self.other_requests = 0.0
        self.reported_at = -REPORT_AGE_MAX_S
        self.avoid_until = 0.0
        self.average_latency_s: float | None = None
        self.latency_at = -LATENCY_AGE_MAX_S


class Selection(NamedTuple):
    """Hold the chosen endpoint and its load as a share of its slots."""

    endpoint: Endpoint
    load: float


class LoadBalancer:
    """Choose endpoints and track their load and latency; times are monotonic seconds.

    State belongs to one run of an endpoint; a restarted endpoint starts without it.
    """

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._states: dict[tuple[str, int], _EndpointState] = {}
        self._speeds = EndpointSpeeds()

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        now: float,
        exclude: frozenset[str] = frozenset(),
        load_max: float = float("inf"),
    ) -> Selection | None:
        """Return the endpoint with the best score, or None if all reach `load_max`.

        The score is the load, raised for remote and for slow endpoints. Endpoints
        that failed or refused recently are candidates only if there are no others.
        """
        ready = [end for end in endpoints if end.id not in exclude]
        healthy = [end for end in ready if self._state(end).avoid_until <= now]
        best: tuple[float, str] | None = None
        chosen = None
        latencies = {end.id: self.expected_latency(end, now) for end in ready}
        known = [latency_s for latency_s in latencies.values() if latency_s is not None]
        lowest_s = min(known, default=None)
        for end in healthy or ready:
            load = self.load(end, now)
            if load >= load_max:
                continue
            score = (self._score(end, load, latencies[end.id], lowest_s), end.id)
            if best is None or score < best:
                best, chosen = score, Selection(end, load)
        return chosen

    def load(self, endpoint: Endpoint, now: float) -> float:
        """Return the number of requests at an endpoint as a share of its slots."""
        others = self.other_requests(endpoint, now)
        return (self._state(endpoint).own_requests + others) / endpoint.slots

    def other_requests(self, endpoint: Endpoint, now: float) -> float:
        """Return the requests of other instances that an endpoint last reported."""
        state = self._state(endpoint)
        fresh = now - state.reported_at < REPORT_AGE_MAX_S
        return state.other_requests if fresh else 0.0

    def is_remote(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in another data centre than this process."""
        return endpoint.data_centre != self._data_centre

    def report_age_s(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the age in seconds of the load report in use, or None without one."""
        age_s = now - self._state(endpoint).reported_at
        return age_s if age_s < REPORT_AGE_MAX_S else None

    def reported_since(self, endpoint: Endpoint, since: float) -> bool:
        """Return whether the endpoint has answered with its load since a time."""
        return self._state(endpoint).reported_at > since

    def is_avoided(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint failed or refused a request recently."""
        return self._state(endpoint).avoid_until > now

    def has_room(self, selection: Selection, now: float) -> bool:
        """Return whether a chosen endpoint is sound and has a free slot."""
        return selection.load < 1.0 and not self.is_avoided(selection.endpoint, now)

    def request_started(self, endpoint: Endpoint) -> None:
        """Count a request that this process sends."""
        self._state(endpoint).own_requests += 1

    def request_ended(self, endpoint: Endpoint) -> None:
        """Remove a request of this process from the count, whatever its result."""
        self._state(endpoint).own_requests -= 1

    def record_load_report(
        self, endpoint: Endpoint, report: EndpointLoadReport | None, now: float
    ) -> None:
        """Record the load that an answer reports, without this process's own requests.

        None leaves the state as it is.
        """
        if report is None:
            return
        state = self._state(endpoint)
        state.other_requests = max(
            0.0, report.running + report.waiting - state.own_requests
        )
        state.reported_at = now
        self._speeds.record_report(endpoint, report.slowness, now)

    def record_latency(
        self, endpoint: Endpoint, seconds: float, now: float, weight=ANSWER_WEIGHT
    ) -> None:
        """Add the seconds until an answer or the next stream event to the average.

        This also ends the avoidance of the endpoint.
        """
        seconds = min(LATENCY_MAX_S, max(LATENCY_MIN_S, seconds))
        state = self._state(endpoint)
        before = self.latency(endpoint, now)
        if before is None:
            before = seconds
        state.average_latency_s = before + weight * (seconds - before)
        state.latency_at = now
        state.avoid_until = 0.0
        if weight == ANSWER_WEIGHT:
            self._speeds.record_answer(endpoint, seconds, now)
        else:
            events = weight / EVENT_WEIGHT
            self._speeds.record_events(endpoint, seconds, events, now)

    def latency(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the recent seconds for an answer or a stream event, or None."""
        state = self._state(endpoint)
        return (
            state.average_latency_s
            if now - state.latency_at < LATENCY_AGE_MAX_S
            else None
        )

    def speed(self, endpoint: Endpoint, now: float) -> SpeedEstimate | None:
        """Return the estimate of the speed, None if the service reports no slowness."""
        return self._speeds.estimate(endpoint, now)

    def expected_latency(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the seconds for an answer or a stream event that is sent now, or None.

        Endpoints that report no slowness have their recent latency.
        """
        speed = self._speeds.estimate(endpoint, now)
        return self.latency(endpoint, now) if speed is None else speed.seconds

    def best_latency(self, endpoints: Sequence[Endpoint], now: float) -> float | None:
        """Return the lowest latency among endpoints in seconds, or None without one."""
        latencies = [self.latency(endpoint, now) for endpoint in endpoints]
        return min(
            (latency_s for latency_s in latencies if latency_s is not None),
            default=None,
        )

    def record_remote_latency(
        self, endpoint: Endpoint, seconds: float, now: float
    ) -> bool:
        """Record a latency reported by another instance, unless one is known here.

        Returns False if it is out of bounds, and so not taken.
        """
        if not LATENCY_MIN_S <= seconds <= LATENCY_MAX_S:
            return False
        if self.latency(endpoint, now) is None:
            state = self._state(endpoint)
            state.average_latency_s = seconds
            state.latency_at = now
        self._speeds.record_remote(endpoint, seconds, now)
        return True

    def choose_fastest(
        self, endpoints: Sequence[Endpoint], now: float, load_max: float
    ) -> Selection | None:
        """Return the fastest endpoint below `load_max`, or None; for long items.

        Latency is raised with the load. An endpoint without a recorded latency gets
        the median of the others.
        """
        latencies = {end.id: self.expected_latency(end, now) for end in endpoints}
        known = sorted(
            latency_s for latency_s in latencies.values() if latency_s is not None
        )
        usual = known[len(known) // 2] if known else 1.0
        found = []
        for end in endpoints:
            load = self.load(end, now)
            if load >= load_max or self.is_avoided(end, now):
                continue
            slowed = (latencies[end.id] or usual) * (1.0 + LOAD_SLOWDOWN * load)
            found.append((slowed, load, end.id, Selection(end, load)))
        return min(found)[3] if found else None

    def fastest_available(
        self, endpoints: Sequence[Endpoint], now: float, load_max: float
    ) -> Endpoint | None:
        """Return the fastest endpoint of known latency below `load_max`, or None."""
        found = [
            (latency_s, end.id, end)
            for end in endpoints
            if (latency_s := self.latency(end, now)) is not None
            and not self.is_avoided(end, now)
            and self.load(end, now) < load_max
        ]
        return min(found)[2] if found else None

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Avoid an endpoint whose connection broke or that stopped answering."""
        self._state(endpoint).avoid_until = now + FAILURE_AVOIDANCE_S

    def record_refusal(self, endpoint: Endpoint, now: float) -> None:
        """Avoid an endpoint for a short time, since it is full or loads weights."""
        state = self._state(endpoint)
        state.avoid_until = max(state.avoid_until, now + REFUSAL_AVOIDANCE_S)

    def forget(self, endpoints: Sequence[Endpoint]) -> None:
        """Delete the state of endpoints that have gone."""
        for endpoint in endpoints:
            self._states.pop(endpoint.incarnation(), None)
        self._speeds.forget(endpoints)

    def _score(
        self,
        endpoint: Endpoint,
        load: float,
        latency_s: float | None,
        lowest_s: float | None,
    ) -> float:
        penalty = REMOTE_PENALTY if self.is_remote(endpoint) else 0.0
        base = load + 1 / endpoint.slots + penalty
        if latency_s is None or not lowest_s:
            return base
        slowness = max(1.0, latency_s / lowest_s)
        if self._speeds.is_known(endpoint):
            slowness **= SPEED_EXPONENT
        return base * min(SLOW_FACTOR_MAX, slowness)

    def _state(self, endpoint: Endpoint) -> _EndpointState:
        key = endpoint.incarnation()
        found = self._states.get(key)
        if found is None:
            found = self._states[key] = _EndpointState()
        return found
