"""Place requests on endpoints by load, locality and recent failures.

Answers the load of many entry instances that share a few endpoints without
telling each other what they send.
"""

from collections.abc import Sequence
from typing import NamedTuple

from plantainstack.serving import Endpoint, EndpointLoadReport

# A report of load is a hint for about as long as the shorter requests last.
REPORT_AGE_MAX_S = 1.0
# An endpoint that failed is avoided for as long as a crashed one takes to lapse
# from the list (three heartbeats of about 1.2 s).
SUSPECT_S = 3.6
# An endpoint that refused is tried again soon: it was full or loads weights.
REFUSED_S = 0.5
# A request to another data centre must find an endpoint with this much less load
# (share of its slots); it is worth a detour only when the near ones fill up.
REMOTE_LOAD = 0.25
# Load that counts against an endpoint whose last answers were slower than usual.
SLOW_FACTOR_MAX = 8.0
# Weight of one more answer in the pace of an endpoint.
ANSWER_WEIGHT = 0.25
# An endpoint sends some hundred events a second; several may arrive together.
EVENT_WEIGHT = 0.03
# Full endpoints take 4% to 6% longer for an event than idle ones (the users' sheets).
LOAD_SLOWDOWN = 0.05
# A pace is forgotten after about the time for which slow endpoints stay slow.
PACE_AGE_MAX_S = 5.0


class _Load:
    def __init__(self):
        self.own = 0
        self.others = 0.0
        self.reported_at = -REPORT_AGE_MAX_S
        self.avoid_until = 0.0
        self.seconds: float | None = None
        self.timed_at = -PACE_AGE_MAX_S


class Selection(NamedTuple):
    """Name the endpoint that was chosen and the load it had, as share of slots."""

    endpoint: Endpoint
    load: float


class LoadBalancer:
    """Keep what this process knows of the load of endpoints."""

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._loads: dict[tuple[str, int], _Load] = {}

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        now: float,
        exclude: frozenset[str] = frozenset(),
        load_max: float = float("inf"),
    ) -> Selection | None:
        """Return the endpoint with the least load, or None if all are over the limit.

        Endpoints that failed lately are used only where no other is left.
        """
        ready = [end for end in endpoints if end.id not in exclude]
        sound = [end for end in ready if self._load(end).avoid_until <= now]
        best: tuple[float, str] | None = None
        chosen = None
        fastest = self.best_latency(ready, now)
        for end in sound or ready:
            load = self.load(end, now)
            if load >= load_max:
                continue
            score = (self._score(end, load, fastest, now), end.id)
            if best is None or score < best:
                best, chosen = score, Selection(end, load)
        return chosen

    def load(self, endpoint: Endpoint, now: float) -> float:
        """Return the requests at an endpoint as a share of its slots."""
        state = self._load(endpoint)
        fresh = now - state.reported_at < REPORT_AGE_MAX_S
        others = state.others if fresh else 0.0
        return (state.own + others) / endpoint.slots

    def is_avoided(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint failed or refused lately."""
        return self._load(endpoint).avoid_until > now

    def request_started(self, endpoint: Endpoint) -> None:
        """Count a request that is sent."""
        self._load(endpoint).own += 1

    def request_ended(self, endpoint: Endpoint) -> None:
        """Count a request that ended."""
        self._load(endpoint).own -= 1

    def record_load_report(
        self, endpoint: Endpoint, report: EndpointLoadReport | None, now: float
    ) -> None:
        """Take over the load that an answer named, less this process's own."""
        if report is None:
            return
        state = self._load(endpoint)
        state.others = max(0.0, report.running + report.waiting - state.own)
        state.reported_at = now

    def record_latency(
        self, endpoint: Endpoint, seconds: float, now: float, weight=ANSWER_WEIGHT
    ) -> None:
        """Take over how long an answer took, or the next event of a stream."""
        state = self._load(endpoint)
        before = self.latency(endpoint, now)
        if before is None:
            before = seconds
        state.seconds = before + weight * (seconds - before)
        state.timed_at = now
        state.avoid_until = 0.0

    def latency(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the seconds that an answer or an event took lately, or None."""
        state = self._load(endpoint)
        return state.seconds if now - state.timed_at < PACE_AGE_MAX_S else None

    def best_latency(self, endpoints: Sequence[Endpoint], now: float) -> float | None:
        """Return the least pace among endpoints, or None if none is known."""
        paces = [self.latency(endpoint, now) for endpoint in endpoints]
        return min((pace for pace in paces if pace is not None), default=None)

    def record_remote_latency(
        self, endpoint: Endpoint, seconds: float, now: float
    ) -> None:
        """Take over a pace that another instance measured, if none is known here."""
        if self.latency(endpoint, now) is None:
            state = self._load(endpoint)
            state.seconds = seconds
            state.timed_at = now

    def choose_fastest(
        self, endpoints: Sequence[Endpoint], now: float, load_max: float
    ) -> Selection | None:
        """Return the endpoint with the least pace under a load, for a long item.

        An endpoint without a known pace counts as one of the usual speed.
        """
        paces = {end.id: self.latency(end, now) for end in endpoints}
        known = sorted(pace for pace in paces.values() if pace is not None)
        usual = known[len(known) // 2] if known else 1.0
        found = []
        for end in endpoints:
            load = self.load(end, now)
            if load >= load_max or self.is_avoided(end, now):
                continue
            slowed = (paces[end.id] or usual) * (1.0 + LOAD_SLOWDOWN * load)
            found.append((slowed, load, end.id, Selection(end, load)))
        return min(found)[3] if found else None

    def fastest_available(
        self, endpoints: Sequence[Endpoint], now: float, load_max: float
    ) -> Endpoint | None:
        """Return the fastest endpoint under a load whose pace is known, or None."""
        found = [
            (pace, end.id, end)
            for end in endpoints
            if (pace := self.latency(end, now)) is not None
            and not self.is_avoided(end, now)
            and self.load(end, now) < load_max
        ]
        return min(found)[2] if found else None

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Avoid an endpoint that broke off or fell silent."""
        self._load(endpoint).avoid_until = now + SUSPECT_S

    def record_refusal(self, endpoint: Endpoint, now: float) -> None:
        """Avoid an endpoint that was full or loads weights."""
        state = self._load(endpoint)
        state.avoid_until = max(state.avoid_until, now + REFUSED_S)

    def forget(self, endpoints: Sequence[Endpoint]) -> None:
        """Drop what is known of endpoints that are gone."""
        for endpoint in endpoints:
            self._loads.pop(endpoint.incarnation(), None)

    def _score(
        self, endpoint: Endpoint, load: float, fastest: float | None, now: float
    ) -> float:
        remote = endpoint.data_centre != self._data_centre
        base = load + 1 / endpoint.slots + (REMOTE_LOAD if remote else 0.0)
        pace = self.latency(endpoint, now)
        if pace is None or not fastest:
            return base
        return base * min(SLOW_FACTOR_MAX, max(1.0, pace / fastest))

    def _load(self, endpoint: Endpoint) -> _Load:
        key = endpoint.incarnation()
        found = self._loads.get(key)
        if found is None:
            found = self._loads[key] = _Load()
        return found
