"""Estimate an endpoint's load and speed from own counts and lagging reports."""

from plantainstack.interfaces import EngineStatus

REPORT_WEIGHT = 0.5
REPORT_MAX_AGE_S = 10.0
SPEED_DECAY = 0.9


class EndpointLoad:
    """Count own attempts, and estimate those of other instances."""

    def __init__(self):
        self.own = 0
        self.status: EngineStatus | None = None
        self._others = 0.0
        self._reported_at = 0.0
        self._changed_at = 0.0
        self._area = 0.0
        self._area_sum = 0.0
        self._finishes = 0.0

    def started(self, now: float) -> None:
        """Count an attempt that starts."""
        self._integrate(now)
        self.own += 1

    def finished(self, now: float) -> None:
        """Count an attempt that ended."""
        self._integrate(now)
        self.own = max(0, self.own - 1)
        self._area_sum = self._area_sum * SPEED_DECAY + self._area
        self._finishes = self._finishes * SPEED_DECAY + 1
        self._area = 0.0

    def reported(self, status: EngineStatus, now: float) -> None:
        """Take over a report; what is not our own is the others' load."""
        others = max(0, status.running + status.queued - self.own)
        fresh = now - self._reported_at > REPORT_MAX_AGE_S
        weight = 1.0 if fresh else REPORT_WEIGHT
        self._others += weight * (others - self._others)
        self._reported_at = now
        self.status = status

    def report_age(self, now: float) -> float | None:
        """Return the age of the last report in seconds, None without one."""
        return None if self.status is None else now - self._reported_at

    def estimate(self, now: float) -> float:
        """Return the attempts that the endpoint is likely to hold."""
        if now - self._reported_at > REPORT_MAX_AGE_S:
            return self.own
        return self.own + self._others

    def duration(self) -> float | None:
        """Return the mean time of an attempt in seconds.

        By Little's law this is the sum of in-flight time over the number of
        ends, so no start times are kept.
        """
        return self._area_sum / self._finishes if self._finishes >= 1 else None

    def _integrate(self, now: float) -> None:
        self._area += self.own * max(0.0, now - self._changed_at)
        self._changed_at = now
