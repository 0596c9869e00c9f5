"""Decide when the next call to an interface with a rate limit may be made.

Designed for one caller at a time with up to tens of calls a second. The limit counts
the calls of all instances, so a caller keeps below its share of it.
"""

import random

# Share of the permitted rate that is used, since arrival times vary.
RATE_SHARE = 0.8
BACKOFF_MIN_S = 0.25
# A window of usage has to be reported within 10 s of its end.
BACKOFF_MAX_S = 2.0
DOUBLINGS_MAX = 10


class CallPace:
    """Space the calls of one kind and back off after failures."""

    def __init__(self, calls_per_s: float, rng: random.Random):
        self._interval_s = 1.0 / (calls_per_s * RATE_SHARE)
        self._rng = rng
        self._next_at = 0.0
        self._failures = 0

    def allowed_at(self, now: float) -> float:
        """Return the earliest time of the next call."""
        return max(now, self._next_at)

    def record_start(self, now: float) -> None:
        """Record that a call is made now."""
        self._next_at = max(self._next_at, now + self._interval_s)

    def record_success(self) -> None:
        """Record that a call was answered, whatever it was answered."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Record a call that failed or was rejected for its rate."""
        doublings = min(self._failures, DOUBLINGS_MAX)
        self._failures += 1
        delay = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**doublings)
        delay *= self._rng.uniform(0.5, 1.0)
        self._next_at = max(self._next_at, now + delay)
