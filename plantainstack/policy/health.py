"""Detect unhealthy endpoints by the results of their attempts."""

import random

FAILURES_MAX = 3
NEW_TIMEOUTS_MAX = 2
EJECTION_BASE_S = 5.0
EJECTION_MAX_S = 60.0
REFUSAL_PAUSE_S = 1.0


class EndpointHealth:
    """Pause an endpoint that refuses attempts, and eject one that is unhealthy.

    When an attempt gets no response, all attempts in flight at that time may share
    the cause, such as lost connection state between the two ends. Only attempts that
    start later and get no response count against the endpoint.
    """

    def __init__(self, rng: random.Random):
        self._random = rng
        self._failures = 0
        self._refusals = 0
        self._paused_until = float("-inf")
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._on_trial = False
        self._unresponsive = False
        self._in_flight_at_timeout = 0
        self._new_timeouts = 0

    def succeeded(self) -> None:
        """Reset all counters after a successful attempt."""
        self._failures = self._refusals = self._ejections = 0
        self._new_timeouts = 0
        self._unresponsive = self._on_trial = False

    def refused(self, pause_max_s: float, now: float) -> None:
        """Pause the endpoint, for longer with each consecutive refusal.

        `pause_max_s` is the longest pause in seconds, before jitter.
        """
        self._refusals += 1
        pause_s = min(pause_max_s, REFUSAL_PAUSE_S * 2 ** min(self._refusals - 1, 10))
        self._paused_until = now + pause_s * self._random.uniform(0.75, 1.25)

    def failed(self) -> None:
        """Count a failed attempt."""
        self._failures += 1

    def timed_out(self, in_flight: int) -> None:
        """Count an attempt without a response while `in_flight` others are running."""
        if not self._unresponsive:
            self._unresponsive = True
            self._in_flight_at_timeout = in_flight
        elif self._in_flight_at_timeout > 0:
            self._in_flight_at_timeout -= 1
        else:
            self._new_timeouts += 1

    @property
    def unhealthy(self) -> bool:
        """Return whether the endpoint should be ejected."""
        return (
            self._failures >= FAILURES_MAX
            or self._new_timeouts >= NEW_TIMEOUTS_MAX
            or (self._on_trial and self._failures + self._new_timeouts > 0)
        )

    def eject(self, now: float) -> None:
        """Eject the endpoint, for longer each time; a trial attempt follows."""
        length = min(EJECTION_MAX_S, EJECTION_BASE_S * 2 ** min(self._ejections, 10))
        self._ejected_until = now + length * self._random.uniform(0.75, 1.25)
        self._ejections += 1
        self._failures = self._new_timeouts = 0
        self._on_trial = True

    def ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected."""
        return now < self._ejected_until

    def usable(self, in_flight: int, now: float) -> bool:
        """Return whether the endpoint may get an attempt; on trial, one at a time."""
        if now < self._paused_until or self.ejected(now):
            return False
        return not self._on_trial or in_flight == 0
