"""Decide which running samples are hedged by a second attempt on another engine."""

import math
import statistics
from collections import deque
from typing import NamedTuple

BUDGET_SHARE = 0.15
BUDGET_MIN = 4
SLOW_SHARE = 0.5
# With fewer finished attempts, a slow engine cannot be told from a short sample.
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

    An attempt is slow if its tokens per second are low compared with those of finished
    attempts. Its length does not count: hedging long samples would favour short
    answers, and the trainer would learn from a biased selection.
    """

    def __init__(self, samples: int):
        self.budget = max(BUDGET_MIN, math.ceil(samples * BUDGET_SHARE))
        self._running: dict[str, _Attempt] = {}
        self._hedged: set[str] = set()
        self._rates: deque[float] = deque(maxlen=FINISHED_KEPT)
        self._first_waits: deque[float] = deque(maxlen=FINISHED_KEPT)

    def started(self, request_id: str, now: float) -> None:
        """Record the start of an attempt."""
        self._running[request_id] = _Attempt(now)

    def advanced(self, request_id: str, tokens: int, now: float) -> None:
        """Count generated tokens; of the first chunk, only the arrival is recorded."""
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
        """Remove an attempt, and keep its rate if it has finished."""
        attempt = self._running.pop(request_id, None)
        self._hedged.discard(request_id)
        if finished and attempt and attempt.first_at is not None and attempt.tokens:
            self._rates.append(attempt.rate(now))

    def due(self, now: float) -> list[str]:
        """Return the attempts to hedge now, fewest tokens first.

        Each of them uses one hedge of the budget.
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
        # On average, the sample with the fewest tokens has the most tokens left.
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
    """Never hedge an attempt; the baseline."""

    def due(self, now: float) -> list[str]:
        """Return no attempts."""
        return []
