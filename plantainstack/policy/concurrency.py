"""Adapt the number of attempts that one instance runs at one endpoint."""

from plantainstack.interfaces import EngineStatus

DECREASE_ON_QUEUE = 0.85
DECREASE_ON_REFUSAL = 0.7
DECREASE_INTERVAL_S = 2.0
FIRST_LIMIT = 8
GROWTH_AT_START = 1.25
QUEUE_SHARE_MAX = 0.1
USED_SHARE_MIN = 0.75
SLOWDOWN_MAX = 2.0
FAST_WEIGHT = 0.2
SLOW_WEIGHT = 0.01


class AdaptiveLimit:
    """Raise the limit additively while it is used; cut it at signs of queueing.

    The queue in the load report is the sign where there is one. Endpoints that
    report no load are judged by the recent duration against the long-run one.
    """

    def __init__(self, minimum: int, maximum: int):
        self.configure(minimum, maximum)
        self.value = float(min(maximum, max(minimum, FIRST_LIMIT)))
        self._decreased_at = float("-inf")
        self._starting = True
        self._fast: float | None = None
        self._slow: float | None = None

    def configure(self, minimum: int, maximum: int) -> None:
        """Take over the bounds of the limit."""
        self._minimum = minimum
        self._maximum = max(minimum, maximum)
        self.value = min(self._maximum, max(minimum, getattr(self, "value", minimum)))

    def reported(self, status: EngineStatus, own: int, now: float) -> None:
        """React to the queue in a load report while `own` are in flight.

        Answers take many seconds, so growth follows the reports, not the ends.
        """
        if status.queued > 1 + QUEUE_SHARE_MAX * status.running:
            self._decrease(DECREASE_ON_QUEUE, now)
        elif own >= USED_SHARE_MIN * self.value:
            growth = self.value * (GROWTH_AT_START - 1) if self._starting else 1.0
            self.value = min(self._maximum, self.value + growth)

    def succeeded(self, own: int, duration: float, now: float) -> None:
        """React to an answer of an endpoint that does not report its load."""
        if self._is_slow(duration):
            self._decrease(DECREASE_ON_QUEUE, now)
        elif own >= USED_SHARE_MIN * self.value:
            self.value = min(self._maximum, self.value + 1 / self.value)

    def pushed_back(self, now: float) -> None:
        """React to a refused or silent attempt."""
        self._decrease(DECREASE_ON_REFUSAL, now)

    def _decrease(self, factor: float, now: float) -> None:
        self._starting = False
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self.value = max(self._minimum, self.value * factor)
            self._decreased_at = now

    def _is_slow(self, duration: float) -> bool:
        if self._fast is None:
            self._fast = self._slow = duration
        self._fast += FAST_WEIGHT * (duration - self._fast)
        self._slow += SLOW_WEIGHT * (duration - self._slow)
        return self._fast > SLOWDOWN_MAX * self._slow
