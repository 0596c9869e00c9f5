"""Estimate an endpoint's load and speed from local counts and delayed reports."""

from plantainstack.interfaces import EngineStatus

REPORT_WEIGHT = 0.5
REPORT_MAX_AGE_S = 10.0
SPEED_DECAY = 0.9


class EndpointLoad:
    """Count this instance's attempts, and estimate those of other instances."""

    def __init__(self):
        self.own = 0
        self.status: EngineStatus | None = None
        self._others = 0.0
        self._reported_at = 0.0
        self._changed_at = 0.0
        self._in_flight_s = 0.0
        self._in_flight_sum = 0.0
        self._finished_count = 0.0

    def started(self, now: float) -> None:
        """Count an attempt that starts."""
        self._integrate(now)
        self.own += 1

    def finished(self, now: float) -> None:
        """Count an attempt that ended."""
        self._integrate(now)
        self.own = max(0, self.own - 1)
        self._in_flight_sum = self._in_flight_sum * SPEED_DECAY + self._in_flight_s
        self._finished_count = self._finished_count * SPEED_DECAY + 1
        self._in_flight_s = 0.0

    def reported(self, status: EngineStatus, now: float) -> None:
        """Record a report; attempts in it beyond our own belong to other instances."""
        others = max(0, status.running + status.queued - self.own)
        outdated = now - self._reported_at > REPORT_MAX_AGE_S
        weight = 1.0 if outdated else REPORT_WEIGHT
        self._others += weight * (others - self._others)
        self._reported_at = now
        self.status = status

    def report_age(self, now: float) -> float | None:
        """Return the age of the last report in seconds, None without one."""
        return None if self.status is None else now - self._reported_at

    def estimate(self, now: float) -> float:
        """Return the estimated number of attempts at the endpoint."""
        if now - self._reported_at > REPORT_MAX_AGE_S:
            return self.own
        return self.own + self._others

    def duration(self) -> float | None:
        """Return the mean duration of an attempt in seconds, or None without one.

        By Little's law, this is the total in-flight time divided by the number of
        finished attempts, so no start times need to be stored.
        """
        return (
            self._in_flight_sum / self._finished_count
            if self._finished_count >= 1
            else None
        )

    def _integrate(self, now: float) -> None:
        self._in_flight_s += self.own * max(0.0, now - self._changed_at)
        self._changed_at = now
