"""Queueing model of an engine with a shared batch, also used for plain endpoints."""

import heapq
import itertools
from collections import OrderedDict, deque
from typing import NamedTuple

from bench.loop import EventLoop
from plantainstack.interfaces import EngineStatus, InstanceRecord
from plantainstack.policy.routing import AttemptEnd

REPORT_INTERVAL_S = 0.25
REPORT_LAG_S = 0.75


class PerformanceProfile(NamedTuple):
    """Capacity and speed of an endpoint.

    Each of n attempts in a batch progresses by rate / (1 + n / slots) tokens per
    second. `slots` is also the largest batch, `prefill` the cost of a prompt token in
    generated tokens, `cached_prefixes` the cache capacity and `swap_s` the time to
    load a version in seconds.
    """

    slots: int
    rate: float
    prefill: float
    cached_prefixes: int
    swap_s: float


ENGINE = PerformanceProfile(
    slots=24, rate=60.0, prefill=0.02, cached_prefixes=24, swap_s=4.0
)
PLAIN = PerformanceProfile(
    slots=16, rate=60.0, prefill=0.0, cached_prefixes=1, swap_s=0.0
)


class Attempt:
    """One attempt of a request at an endpoint, ordered by when it will finish.

    `finish_progress` is the progress of the engine at which the attempt is complete.
    """

    def __init__(self, request, entry, record: InstanceRecord, now: float):
        self.request = request
        self.entry = entry
        self.record = record
        self.started_at = now
        self.finish_progress: float | None = None
        self.version = 0
        self.ended = False

    def __lt__(self, other):
        return self.finish_progress < other.finish_progress


class Engine:
    """Run a batch of attempts that all progress at the same rate.

    `_progress` is the work in tokens that an attempt running from the start would
    have done. `_epoch` and `_incarnation` invalidate scheduled calls: of an earlier
    batch, and of the time before a crash.
    """

    def __init__(
        self,
        loop: EventLoop,
        record: InstanceRecord,
        profile: PerformanceProfile,
        report,
    ):
        self.record = record
        self.down = False
        self.leaving = False
        self.slowness = 1.0
        self.versions: dict[str, int] = {}
        self._loop = loop
        self._profile = profile
        self._report = report
        self._running: list[Attempt] = []
        self._queue: list[tuple[int, int, Attempt]] = []
        self._order = itertools.count()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._progress = 0.0
        self._progress_at = 0.0
        self._epoch = 0
        self._incarnation = 0
        self._swaps: deque[tuple[str, int]] = deque()
        self._reports: deque[tuple[float, EngineStatus]] = deque()
        loop.call_at(0.0, self._record_status)

    def submit(self, attempt: Attempt, priority: int) -> bool:
        """Queue an attempt, or return False when the endpoint refuses it."""
        if self.down or self.leaving:
            return False
        heapq.heappush(self._queue, (priority, next(self._order), attempt))
        self._update()
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt, and count its generated tokens as wasted."""
        self._advance()
        if attempt in self._running:
            self._running.remove(attempt)
            heapq.heapify(self._running)
            self._count_wasted_tokens(attempt)
        else:
            self._queue = [item for item in self._queue if item[2] is not attempt]
            heapq.heapify(self._queue)
        self._update()

    def load_version(self, tenant: str, version: int) -> None:
        """Queue the load of a weight version; generation pauses until it is done."""
        if self.down:
            return
        self._advance()
        self._swaps.append((tenant, version))
        if len(self._swaps) == 1:
            self._loop.call_later(
                self._profile.swap_s, self._finish_swap, self._incarnation
            )
        self._update()

    def crash(self) -> None:
        """Stop, fail all attempts and clear the cache."""
        self._advance()
        self.down = True
        self._incarnation += 1
        self._swaps.clear()
        self._cache.clear()
        for attempt in self._running:
            self._count_wasted_tokens(attempt)
        lost = [*self._running, *(item[2] for item in self._queue)]
        self._running, self._queue = [], []
        self._update()
        for attempt in lost:
            attempt.entry.attempt_ended(attempt, AttemptEnd.FAILED)

    def restart(self, versions: dict[str, int]) -> None:
        """Accept attempts again, with the given weight versions loaded."""
        self.down = self.leaving = False
        self.versions = dict(versions)

    def idle(self) -> bool:
        """Return whether there are no running and no queued attempts."""
        return not self._running and not self._queue

    def status(self) -> EngineStatus | None:
        """Return the load report from REPORT_LAG_S ago, or None while down."""
        while len(self._reports) > 1:
            if self._reports[1][0] > self._loop.now - REPORT_LAG_S:
                break
            self._reports.popleft()
        return None if self.down else self._reports[0][1]

    def _record_status(self) -> None:
        status = EngineStatus(
            model=self.record.service,
            version=sum(self.versions.values()),
            loading=1 if self._swaps else None,
            running=len(self._running),
            queued=len(self._queue),
            leaving=self.leaving,
            fence=0,
        )
        self._reports.append((self._loop.now, status))
        self._loop.call_later(REPORT_INTERVAL_S, self._record_status)

    def _finish_swap(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self._advance()
        tenant, version = self._swaps.popleft()
        self.versions[tenant] = max(version, self.versions.get(tenant, 0))
        if self._swaps:
            self._loop.call_later(self._profile.swap_s, self._finish_swap, incarnation)
        self._update()

    def _rate(self) -> float:
        if self._swaps or self.down:
            return 0.0
        batch = len(self._running)
        return self._profile.rate / (1 + batch / self._profile.slots) / self.slowness

    def _advance(self) -> None:
        now = self._loop.now
        self._progress += self._rate() * (now - self._progress_at)
        self._progress_at = now

    def _update(self) -> None:
        """Fill the batch from the queue and schedule the next completion."""
        self._advance()
        while self._queue and len(self._running) < self._profile.slots:
            self._start(heapq.heappop(self._queue)[2])
        self._epoch += 1
        if self._running and (rate := self._rate()):
            left = max(0.0, self._running[0].finish_progress - self._progress)
            self._loop.call_later(left / rate, self._finish, self._epoch)

    def _start(self, attempt: Attempt) -> None:
        request = attempt.request
        hit = request.prefix in self._cache
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        if len(self._cache) > self._profile.cached_prefixes:
            self._cache.popitem(last=False)
        self._report.record_prefix(request, hit)
        prompt = request.prompt_tokens - (request.prefix_tokens if hit else 0)
        work = request.tokens + self._profile.prefill * prompt
        attempt.finish_progress = self._progress + work
        attempt.version = self.versions.get(request.tenant, 0)
        heapq.heappush(self._running, attempt)

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        ended = []
        while (
            self._running and self._running[0].finish_progress <= self._progress + 1e-6
        ):
            ended.append(heapq.heappop(self._running))
        self._update()
        for attempt in ended:
            attempt.entry.receive_answer(attempt)

    def _count_wasted_tokens(self, attempt: Attempt) -> None:
        left = max(0.0, attempt.finish_progress - self._progress)
        self._report.wasted_tokens += max(0.0, attempt.request.tokens - left)
