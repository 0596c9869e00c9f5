"""Decide whether and when a failed or slow attempt is retried."""

import math
import random
from abc import ABC, abstractmethod
from bisect import bisect_right, insort
from collections import deque

from plantainstack.interfaces import Priority
from plantainstack.settings.fleet import FleetConfig, FleetOptions, Scope

WINDOW_S = 10.0
RECENT_RATE_S = 4.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 5.0
BURST_WINDOW_S = 1.0
ROLLOUT_SHARE = 0.75


class RetryPolicy(ABC):
    """Decide on retries; times are monotonic seconds."""

    @abstractmethod
    def request_started(self, service: str, now: float) -> None:
        """Count a request, which adds to the retry budget."""

    @abstractmethod
    def retry_at(
        self,
        service: str,
        attempts: int,
        deadline: float,
        now: float,
        priority: Priority = Priority.CALLER,
        hedge: bool = False,
    ) -> float | None:
        """Return when the next attempt may start, or None for no retry.

        `attempts` is the number of attempts so far. A hedge runs beside a slow attempt
        and starts without a delay.
        """

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""

    def used_share(self, service: str, now: float) -> float:
        """Return the retries per request in the last 10 s."""
        return 0.0


class FixedRetries(RetryPolicy):
    """Retry at once, up to a fixed number of attempts; the baseline."""

    def __init__(self, max_attempts: int = 3):
        self._max_attempts = max_attempts

    def request_started(self, service: str, now: float) -> None:
        """Ignore the request."""

    def retry_at(
        self,
        service: str,
        attempts: int,
        deadline: float,
        now: float,
        priority: Priority = Priority.CALLER,
        hedge: bool = False,
    ) -> float | None:
        """Return `now` until the attempts are used up or the deadline has passed."""
        if attempts >= self._max_attempts or now >= deadline:
            return None
        return now


class _Budget:
    """Count the requests and retries of one service in a sliding window."""

    def __init__(self, rng: random.Random):
        self._random = rng
        self._requests: deque[float] = deque()
        self._retries: list[float] = []
        self._failures: deque[float] = deque()
        self._rounding = rng.random()
        self._rounding_until = 0.0

    def request_started(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def record_failure(self, now: float) -> int:
        """Count a failure, and return the number of failures in the last second."""
        self._failures.append(now)
        while self._failures[0] <= now - BURST_WINDOW_S:
            self._failures.popleft()
        return len(self._failures)

    def reserve(self, at: float, ratio: float, now: float) -> bool:
        """Reserve a retry for time `at` if every window that contains it has budget.

        Retries that are reserved for later times count as well, so that their windows
        stay within the budget. If the request rate falls, the lower rate of the last
        seconds is used, since later windows contain the retry but not the earlier
        requests. Requests that may arrive until then are not counted in advance. The
        budget is randomly rounded up or down, so that many instances with a budget of
        less than one retry each keep to the ratio in total.
        """
        self._expire(now)
        latest = max(at, self._retries[-1]) if self._retries else at
        begin = latest - WINDOW_S
        requests = min(
            self._since(begin),
            self._since(now - RECENT_RATE_S) * WINDOW_S / RECENT_RATE_S,
        )
        allowed = math.floor(ratio * requests + self._current_rounding(now))
        later = len(self._retries) - bisect_right(self._retries, at - WINDOW_S)
        if later + 1 > allowed:
            return False
        insort(self._retries, at)
        return True

    def _since(self, begin: float) -> int:
        return len(self._requests) - bisect_right(self._requests, begin)

    def used_share(self, now: float) -> float:
        """Return the retries per request in the window."""
        self._expire(now)
        return len(self._retries) / max(1, len(self._requests))

    def _current_rounding(self, now: float) -> float:
        if now >= self._rounding_until:
            self._rounding = self._random.random()
            self._rounding_until = now + WINDOW_S
        return self._rounding

    def _expire(self, now: float) -> None:
        while self._requests and self._requests[0] <= now - WINDOW_S:
            self._requests.popleft()
        del self._retries[: bisect_right(self._retries, now - WINDOW_S)]


class BudgetedRetries(RetryPolicy):
    """Retry within the deadline and a retry budget, after a random delay.

    The budget of each instance is a share of its own requests, so the ratio holds for
    the whole fleet without any messages. The delay grows with the number of attempts
    and with the failures of the last second, so that the failures of one event are
    not all retried at the same time.
    """

    def __init__(self, cfg: FleetConfig, seed: int):
        self._cfg = cfg
        self._random = random.Random(seed)
        self._budgets: dict[str, _Budget] = {}

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg

    def request_started(self, service: str, now: float) -> None:
        """Count a request, which adds to the retry budget."""
        self._budget(service).request_started(now)

    def retry_at(
        self,
        service: str,
        attempts: int,
        deadline: float,
        now: float,
        priority: Priority = Priority.CALLER,
        hedge: bool = False,
    ) -> float | None:
        """Return when the next attempt may start, or None for no retry."""
        opts = self._options(service)
        if attempts >= opts.max_attempts:
            return None
        budget = self._budget(service)
        at = now if hedge else now + self._delay(budget, attempts, now)
        if at >= deadline:
            return None
        share = ROLLOUT_SHARE if priority is Priority.ROLLOUT else 1.0
        return at if budget.reserve(at, share * opts.retry_ratio, now) else None

    def used_share(self, service: str, now: float) -> float:
        """Return the retries per request in the last 10 s."""
        return self._budget(service).used_share(now)

    def _delay(self, budget: _Budget, attempts: int, now: float) -> float:
        spread = BACKOFF_BASE_S * 2 ** min(attempts - 1, 10)
        spread *= budget.record_failure(now)
        return self._random.uniform(0, min(BACKOFF_MAX_S, spread))

    def _budget(self, service: str) -> _Budget:
        if service not in self._budgets:
            self._budgets[service] = _Budget(self._random)
        return self._budgets[service]

    def _options(self, service: str) -> FleetOptions:
        return self._cfg.scoped(Scope(service=service))
