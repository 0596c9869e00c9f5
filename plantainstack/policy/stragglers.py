"""Decide which running samples get a second attempt on another engine."""

import math
import statistics
from collections import deque
from typing import NamedTuple

BUDGET_SHARE = 0.15
BUDGET_MIN = 4
SLOW_SHARE = 0.5
# Fewer finished attempts do not tell a slow engine from a short sample.
FINISHED_MIN = 8
FINISHED_KEPT = 256
OBSERVED_MIN_S = 1.0
FIRST_TOKEN_FACTOR = 4.0


class _Attempt(NamedTuple):
    started_at: float
    first_at: float | None = None
    tokens: int = 0

    def rate(self, now: float) -> float:
        return self.tokens / max(now - self.first_at, 1e-9)


class Stragglers:
    """Find attempts on slow engines, within a budget; times are monotonic seconds.

    An attempt counts as slow by its tokens per second, compared with attempts that
    finished, never by its length. Racing long samples against new ones would
    favour short answers, and the trainer would learn from a biased choice.
    """

    def __init__(self, samples: int):
        self.budget = max(BUDGET_MIN, math.ceil(samples * BUDGET_SHARE))
        self._running: dict[str, _Attempt] = {}
        self._hedged: set[str] = set()
        self._rates: deque[float] = deque(maxlen=FINISHED_KEPT)
        self._first_waits: deque[float] = deque(maxlen=FINISHED_KEPT)

    def started(self, request_id: str, now: float) -> None:
        """Count an attempt that starts."""
        self._running[request_id] = _Attempt(now)

    def advanced(self, request_id: str, tokens: int, now: float) -> None:
        """Count tokens of an attempt; those of the first part set its start."""
        attempt = self._running.get(request_id)
        if attempt is None:
            return
        if attempt.first_at is None:
            self._first_waits.append(now - attempt.started_at)
            self._running[request_id] = attempt._replace(first_at=now)
        else:
            total = attempt.tokens + tokens
            self._running[request_id] = attempt._replace(tokens=total)

    def ended(self, request_id: str, finished: bool, now: float) -> None:
        """Forget an attempt; the rate of a finished one is kept."""
        attempt = self._running.pop(request_id, None)
        self._hedged.discard(request_id)
        if finished and attempt and attempt.first_at is not None and attempt.tokens:
            self._rates.append(attempt.rate(now))

    def due(self, now: float) -> list[str]:
        """Return the attempts to be hedged now, those with the fewest tokens first.

        Each of them spends one hedge of the budget.
        """
        if self.budget <= 0 or len(self._rates) < FINISHED_MIN:
            return []
        slow_rate = SLOW_SHARE * statistics.median(self._rates)
        wait = FIRST_TOKEN_FACTOR * statistics.median(self._first_waits)
        slow = [
            request_id
            for request_id, attempt in self._running.items()
            if request_id not in self._hedged
            and self._is_slow(attempt, slow_rate, wait, now)
        ]
        # The sample with the fewest tokens has, on average, the most left to do.
        slow.sort(key=lambda request_id: self._running[request_id].tokens)
        chosen = slow[: self.budget]
        self.budget -= len(chosen)
        self._hedged.update(chosen)
        return chosen

    @staticmethod
    def _is_slow(attempt: _Attempt, slow_rate: float, wait: float, now: float) -> bool:
        if attempt.first_at is None:
            return now - attempt.started_at > wait + OBSERVED_MIN_S
        observed = now - attempt.first_at
        return observed >= OBSERVED_MIN_S and attempt.rate(now) < slow_rate


class NoHedging(Stragglers):
    """Wait for every attempt; the baseline."""

    def due(self, now: float) -> list[str]:
        """Return nothing."""
        return []
