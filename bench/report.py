"""Event counts of a run, and the measures computed from them."""

from collections import Counter

import numpy as np
from hdrh.histogram import HdrHistogram

WINDOW_S = 10
BYTES_PER_TOKEN = 4
LATENCY_MAX_MS = 600_000

MEASURES = (
    "trainer_idle_s",
    "steps",
    "staleness_mean",
    "staleness_p99",
    "over_bound_share",
    "over_bound_delivered",
    "callers_on_time",
    "callers_refused",
    "caller_p50_ms",
    "caller_p99_ms",
    "caller_p99_9_ms",
    "bookings_on_time",
    "wasted_tokens",
    "attempts_per_request",
    "prefix_hits",
    "crossing_mb",
)


class Report:
    """Count the events of one run; times are in seconds."""

    def __init__(self):
        self.wasted_tokens = 0.0
        self.idle_s = 0.0
        self.steps = 0
        self.over_bound = 0
        self.delivered_over_bound = 0
        self.cross_traffic_bytes = 0.0
        self.staleness: list[int] = []
        self.ends: Counter[tuple[str, str]] = Counter()
        self._latency = HdrHistogram(1, LATENCY_MAX_MS, 3)
        self._starts: list[float] = []
        self._attempts: list[float] = []
        self._prefixes: Counter[bool] = Counter()

    def record_prefix(self, request, hit: bool) -> None:
        """Count the prefix tokens of a request as cached or uncached."""
        if request.prefix_tokens:
            self._prefixes[hit] += request.prefix_tokens

    def record_attempt(self, now: float, first: bool) -> None:
        """Count an attempt, and its request if it is the first."""
        self._attempts.append(now)
        if first:
            self._starts.append(now)

    def record_cross_traffic(self, tokens: float) -> None:
        """Count tokens sent between data centres."""
        self.cross_traffic_bytes += BYTES_PER_TOKEN * tokens

    def request_ended(self, kind: str, end: str, latency_s: float) -> None:
        """Count the end of a request, and the latency of answered caller requests."""
        self.ends[kind, end] += 1
        if kind == "caller" and end in ("ok", "late"):
            self._latency.record_value(max(1, int(latency_s * 1000)))

    def measures(self) -> dict[str, float]:
        """Return all measures by name."""
        staleness = np.array(self.staleness or [0])
        prompts = self._prefixes[True] + self._prefixes[False]
        values = (
            self.idle_s,
            self.steps,
            float(staleness.mean()),
            float(np.percentile(staleness, 99)),
            self.over_bound / max(1, len(self.staleness) + self.over_bound),
            self.delivered_over_bound,
            self._end_share("caller", "ok"),
            self._end_share("caller", "refused"),
            *(self._latency.get_value_at_percentile(share) for share in (50, 99, 99.9)),
            self._end_share("booking", "ok"),
            self.wasted_tokens,
            self._max_attempts_per_request(),
            self._prefixes[True] / max(1, prompts),
            self.cross_traffic_bytes / 1e6,
        )
        return dict(zip(MEASURES, values, strict=True))

    def _end_share(self, kind: str, end: str) -> float:
        total = sum(n for (other, _), n in self.ends.items() if other == kind)
        return self.ends[kind, end] / max(1, total)

    def _max_attempts_per_request(self) -> float:
        """Return the maximum of attempts per request over windows of WINDOW_S.

        The windows start at whole seconds.
        """
        if not self._attempts:
            return 0.0
        edges = np.arange(0, max(self._attempts) + 2)
        window = np.ones(WINDOW_S)
        attempts, starts = (
            np.convolve(np.histogram(times, edges)[0], window)
            for times in (self._attempts, self._starts)
        )
        return float(np.max(attempts / np.maximum(1, starts)))
