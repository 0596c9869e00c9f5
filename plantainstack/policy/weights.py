"""Decide which engines to swap to a new weight version, and when."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from plantainstack.interfaces import EngineStatus
from plantainstack.policy.pacing import allowed_disruptions

# All engines must be swapped within 16 s of the publication of a version. This leaves
# 2 s for detecting the version and for polling the last engines.
SWAP_LIMIT_S = 14.0
SWAP_SECONDS_DEFAULT = 3.0
SHARE_MIN = 0.1
SHARE_MAX = 0.5
POLL_INTERVAL_S = 0.5
WAIT_INTERVAL_S = 3.0
VERIFY_INTERVAL_S = 60.0
SETTLE_S = 2.0
LOADING_LIMIT_S = 30.0
RETRY_BASE_S = 1.0
RETRY_MAX_S = 8.0
RETRY_DOUBLINGS_MAX = 3
SMOOTHING = 0.3


class _Swap(NamedTuple):
    status: EngineStatus | None = None
    polled_at: float | None = None
    ordered_at: float | None = None
    failures: int = 0
    retry_at: float = 0.0


class SwapPlan:
    """Swap engines in waves, so that capacity for callers remains.

    All times are monotonic seconds. A wave is as small as the time limit and the
    average duration of a swap permit, and at most the share `share_max` of the engines.
    """

    def __init__(self, share_max: float = SHARE_MAX):
        self.share_max = share_max
        self.target = 0
        self._target_since = 0.0
        self._swap_seconds = SWAP_SECONDS_DEFAULT
        self._engines: dict[str, _Swap] = {}

    def update_engines(self, ids: Iterable[str]) -> None:
        """Replace the list of engines that may be ordered."""
        self._engines = {id: self._engines.get(id, _Swap()) for id in ids}

    def set_target(self, version: int, now: float) -> None:
        """Raise the target version; a lower version is ignored."""
        if version <= self.target:
            return
        self.target = version
        self._target_since = now
        for id, swap in self._engines.items():
            self._engines[id] = swap._replace(ordered_at=None, failures=0, retry_at=now)

    def reported(self, id: str, status: EngineStatus | None, now: float) -> None:
        """Record the status of an engine, None if it did not answer."""
        swap = self._engines.get(id)
        if swap is None:
            return
        swap = swap._replace(status=status, polled_at=now)
        if swap.ordered_at is not None:
            swap = self._check_order(swap, now)
        self._engines[id] = swap

    def ordered(self, id: str, now: float) -> None:
        """Record that an order is being sent."""
        if id in self._engines:
            self._engines[id] = self._engines[id]._replace(ordered_at=now)

    def deferred(self, id: str, now: float) -> None:
        """Record that an order was not sent for lack of a permit or a valid lease."""
        if id in self._engines:
            retry_at = now + POLL_INTERVAL_S
            swap = self._engines[id]
            self._engines[id] = swap._replace(ordered_at=None, retry_at=retry_at)

    def refused(self, id: str, now: float) -> None:
        """Record a failed order; the engine is retried with exponential backoff."""
        if id in self._engines:
            self._engines[id] = self._failed(self._engines[id], now)

    def due_polls(self, now: float) -> list[str]:
        """Return the engines whose status is to be read now."""
        return [id for id, swap in self._engines.items() if self._poll_due(swap, now)]

    def due_orders(self, now: float) -> list[str]:
        """Return the engines to order now, in ascending order of their load."""
        loading = self._loading()
        free = max(0, self.wave_size(now) - len(loading))
        candidates = [
            id for id, swap in self._engines.items() if self._needs_order(swap, now)
        ]
        candidates.sort(key=lambda id: (self._busy(id), id))
        return self._allowed_now(candidates, loading)[:free]

    def _allowed_now(self, candidates: list[str], loading: list[str]) -> list[str]:
        return allowed_disruptions(
            candidates, loading, len(self._engines), self.share_max
        )

    def wave_size(self, now: float) -> int:
        """Return how many engines may load at the same time."""
        count = len(self._engines)
        time_left = max(1.0, self._target_since + SWAP_LIMIT_S - now)
        behind = sum(1 for swap in self._engines.values() if not self._at_target(swap))
        rounds = max(1, math.floor(time_left / self._swap_seconds))
        wanted = max(math.ceil(behind / rounds), math.ceil(count * SHARE_MIN))
        return max(1, min(wanted, math.floor(count * self.share_max)))

    def behind(self) -> list[str]:
        """Return the engines that do not report the target version."""
        return [id for id, swap in self._engines.items() if not self._at_target(swap)]

    def _check_order(self, swap: _Swap, now: float) -> _Swap:
        if self._at_target(swap):
            seconds = now - swap.ordered_at
            self._swap_seconds += SMOOTHING * (seconds - self._swap_seconds)
            return swap._replace(ordered_at=None, failures=0)
        loading = swap.status is not None and swap.status.loading == self.target
        elapsed = now - swap.ordered_at
        # Reports lag, so an order that was just accepted may not be visible yet.
        if elapsed > LOADING_LIMIT_S or (not loading and elapsed > SETTLE_S):
            return self._failed(swap, now)
        return swap

    @staticmethod
    def _failed(swap: _Swap, now: float) -> _Swap:
        delay = RETRY_BASE_S * 2 ** min(swap.failures, RETRY_DOUBLINGS_MAX)
        retry_at = now + min(delay, RETRY_MAX_S)
        return swap._replace(
            ordered_at=None, failures=swap.failures + 1, retry_at=retry_at
        )

    def _poll_due(self, swap: _Swap, now: float) -> bool:
        if swap.polled_at is None:
            return True
        if swap.ordered_at is not None:
            interval = POLL_INTERVAL_S
        else:
            interval = VERIFY_INTERVAL_S if self._at_target(swap) else WAIT_INTERVAL_S
        return now >= swap.polled_at + interval

    def _needs_order(self, swap: _Swap, now: float) -> bool:
        status = swap.status
        if status is None or status.leaving or swap.ordered_at is not None:
            return False
        return not self._at_target(swap) and now >= swap.retry_at

    def _at_target(self, swap: _Swap) -> bool:
        return swap.status is not None and swap.status.version >= self.target

    def _loading(self) -> list[str]:
        return [
            id
            for id, swap in self._engines.items()
            if swap.ordered_at is not None or self._is_loading(swap)
        ]

    @staticmethod
    def _is_loading(swap: _Swap) -> bool:
        return swap.status is not None and swap.status.loading is not None

    def _busy(self, id: str) -> int:
        status = self._engines[id].status
        return status.running + status.queued if status else 0


class AllAtOnce(SwapPlan):
    """Swap all engines at the same time; the baseline for tests."""

    def wave_size(self, now: float) -> int:
        """Return the number of all engines."""
        return len(self._engines)

    def _allowed_now(self, candidates: list[str], loading: list[str]) -> list[str]:
        return candidates


class OrderGate:
    """Decide whether the holder of the order lease may send an order to an engine.

    An engine that checks fencing tokens rejects orders of a former holder by itself.
    For any other engine, the lease must be valid by the holder's own clock, and
    enough time must have passed for orders of the former holder to arrive.
    """

    def __init__(self):
        self._blocked_until = math.inf

    def taken(self, previous_released: bool, order_timeout: float, now: float) -> None:
        """Record that the lease was acquired.

        If the previous holder did not release it, its orders may still arrive within
        `order_timeout` seconds.
        """
        self._blocked_until = now if previous_released else now + order_timeout

    def allows(self, checks_fencing: bool, lease_valid: bool, now: float) -> bool:
        """Return whether an order may be sent now."""
        return checks_fencing or (lease_valid and now >= self._blocked_until)


class NaiveOrderGate(OrderGate):
    """Allow all orders; the naive version for tests."""

    def allows(self, checks_fencing: bool, lease_valid: bool, now: float) -> bool:
        """Return True for every order."""
        return True
