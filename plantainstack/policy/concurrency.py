"""Adapt the limit of concurrent attempts of one instance at one endpoint."""

from plantainstack.interfaces import EngineStatus

DECREASE_ON_QUEUE = 0.85
DECREASE_ON_REFUSAL = 0.7
DECREASE_INTERVAL_S = 2.0
INITIAL_LIMIT = 8
GROWTH_AT_START = 1.25
QUEUE_SHARE_MAX = 0.1
USED_SHARE_MIN = 0.75
SLOWDOWN_MAX = 2.0
RECENT_WEIGHT = 0.2
LONG_TERM_WEIGHT = 0.01


class AdaptiveLimit:
    """Additive-increase, multiplicative-decrease limit on concurrent attempts.

    The limit rises while it is used and is cut when requests queue at the endpoint.
    Load reports contain the length of the queue. For endpoints without reports, a
    recent duration far above the long-term one indicates a queue.
    """

    def __init__(self, minimum: int, maximum: int):
        self.configure(minimum, maximum)
        self.value = float(min(maximum, max(minimum, INITIAL_LIMIT)))
        self._decreased_at = float("-inf")
        self._slow_start = True
        self._recent_duration: float | None = None
        self._long_term_duration: float | None = None

    def configure(self, minimum: int, maximum: int) -> None:
        """Apply new bounds of the limit."""
        self._minimum = minimum
        self._maximum = max(minimum, maximum)
        self.value = min(self._maximum, max(minimum, getattr(self, "value", minimum)))

    def reported(self, status: EngineStatus, own: int, now: float) -> None:
        """Adapt to a load report while `own` attempts are in flight.

        Answers take many seconds, so the limit grows with reports, not with answers.
        """
        if status.queued > 1 + QUEUE_SHARE_MAX * status.running:
            self._decrease(DECREASE_ON_QUEUE, now)
        elif own >= USED_SHARE_MIN * self.value:
            growth = self.value * (GROWTH_AT_START - 1) if self._slow_start else 1.0
            self.value = min(self._maximum, self.value + growth)

    def succeeded(self, own: int, duration: float, now: float) -> None:
        """Adapt to an answer of an endpoint that does not report its load."""
        if self._is_slow(duration):
            self._decrease(DECREASE_ON_QUEUE, now)
        elif own >= USED_SHARE_MIN * self.value:
            self.value = min(self._maximum, self.value + 1 / self.value)

    def pushed_back(self, now: float) -> None:
        """Adapt to an attempt that was refused or not answered."""
        self._decrease(DECREASE_ON_REFUSAL, now)

    def _decrease(self, factor: float, now: float) -> None:
        self._slow_start = False
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self.value = max(self._minimum, self.value * factor)
            self._decreased_at = now

    def _is_slow(self, duration: float) -> bool:
        if self._recent_duration is None:
            self._recent_duration = self._long_term_duration = duration
        self._recent_duration += RECENT_WEIGHT * (duration - self._recent_duration)
        self._long_term_duration += LONG_TERM_WEIGHT * (
            duration - self._long_term_duration
        )
        return self._recent_duration > SLOWDOWN_MAX * self._long_term_duration
