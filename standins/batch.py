"""Continuous batching, approximated by a token rate shared among streams."""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import anyio

from standins.completions import completion_words, join_words, prefix_hashes

# Prefill time of an uncached prompt token, relative to that of a generated token.
PREFILL_COST = 0.1
MAX_STEP_S = 0.25
EVENTS_MAX = 10_000


class Chunk(NamedTuple):
    """Consecutive tokens generated with one weight version."""

    text: str
    tokens: int
    version: int


class EngineOptions(NamedTuple):
    """Capacity and behaviour of a stand-in engine; rates are in tokens per second."""

    model: str
    version: int = 1
    token_rate: float = 2000.0
    stream_rate: float = 200.0
    running_max: int = 32
    cache_size: int = 64
    swap_s: float = 1.0
    load_lag_s: float = 0.2
    checks_fence: bool = False


class Stream:
    """A completion that is being generated; `chunks` receives its text."""

    def __init__(
        self,
        attempt_id: str,
        messages: list[dict[str, str]],
        seed: int,
        max_tokens: int,
        rollout: bool,
        prefix: str = "",
    ):
        self.attempt_id = attempt_id
        self.rollout = rollout
        self.hashes = prefix_hashes(messages)
        self.prompt_tokens = [len(each["content"].split()) for each in messages]
        self.position = len(prefix.split())
        self.words = completion_words(messages, seed, self.position + max_tokens)
        self.token_credit = 0.0
        self.prefill = 0.0
        self._send, self.chunks = anyio.create_memory_object_stream[Chunk](100_000)
        self.finished = False
        self.version = 0

    def advance(self, share: float, version: int) -> None:
        """Spend `share` tokens of the batch's rate on prefill, then on generation."""
        spent = min(share, self.prefill)
        self.prefill -= spent
        self.token_credit += share - spent
        count = min(int(self.token_credit), len(self.words) - self.position)
        self.token_credit -= count
        if count > 0:
            words = self.words[self.position : self.position + count]
            text = join_words(words, self.position)
            self._send.send_nowait(Chunk(text, count, version))
            self.version = version
            self.position += count
        if self.position >= len(self.words):
            self.finished = True
            self._send.close()

    def abort(self) -> None:
        """Close the stream before its completion is finished."""
        self._send.close()


class PrefixCache:
    """LRU cache of prompt prefix hashes, with a numbered log of its changes."""

    def __init__(self, size: int):
        self._size = size
        self._stored: OrderedDict[str, None] = OrderedDict()
        self._last_number = 0
        self.events: list[dict] = []

    def store_and_count_uncached(self, hashes: list[str], tokens: list[int]) -> int:
        """Store all prefixes; return the tokens after the longest one cached before."""
        cached = 0
        for index, prefix in enumerate(hashes):
            if prefix not in self._stored:
                break
            cached = index + 1
        for prefix in hashes:
            self._store(prefix)
        return sum(tokens[cached:])

    def clear(self) -> None:
        """Evict all prefixes, each with an event."""
        while self._stored:
            self._evict()

    def _store(self, prefix: str) -> None:
        if prefix in self._stored:
            self._stored.move_to_end(prefix)
            return
        self._stored[prefix] = None
        self._report(prefix, True)
        while len(self._stored) > self._size:
            self._evict()

    def _evict(self) -> None:
        prefix, _ = self._stored.popitem(last=False)
        self._report(prefix, False)

    def _report(self, prefix: str, stored: bool) -> None:
        self._last_number += 1
        event = {"number": self._last_number, "prefix_hash": prefix, "stored": stored}
        self.events.append(event)
        del self.events[:-EVENTS_MAX]


class _Swap(NamedTuple):
    model: str
    version: int
    due: float
    fails: bool


class Batch:
    """Generate streams at a shared token rate; callers have priority over rollouts."""

    def __init__(self, options: EngineOptions, now: float, on_change: Callable):
        self._options = options
        self._stepped_at = now
        self._on_change = on_change
        self._swap: _Swap | None = None
        self._imported: set[str] = set()
        self.model = options.model
        self.version = options.version
        self.fence = 0
        self.running: list[Stream] = []
        self.queued: list[Stream] = []
        self.cache = PrefixCache(options.cache_size)
        self.counts = {"finished": 0, "cancelled": 0, "swaps": 0, "failed_swaps": 0}

    @property
    def loading(self) -> int | None:
        """Return the weight version being loaded, if any."""
        return self._swap.version if self._swap else None

    def has_work(self) -> bool:
        """Return whether there are streams to generate or weights to load."""
        return bool(self.running or self.queued or self._swap)

    def submit(self, stream: Stream, now: float) -> None:
        """Queue a stream for the next step."""
        if not self.has_work():
            self._stepped_at = now
        self.queued.append(stream)
        self._on_change()

    def remove(self, stream: Stream) -> None:
        """Remove a stream whose response ended; count it as cancelled if unfinished."""
        for streams in (self.running, self.queued):
            if stream in streams:
                streams.remove(stream)
                self.counts["cancelled"] += 1
                self._on_change()

    def cancel(self, attempt_id: str) -> None:
        """Abort the stream of an attempt; its response then has no end marker."""
        stream = self.find(attempt_id)
        if stream is not None:
            stream.abort()
            self.remove(stream)

    def find(self, attempt_id: str) -> Stream | None:
        """Return the running or queued stream of an attempt, if any."""
        streams = (*self.running, *self.queued)
        return next((each for each in streams if each.attempt_id == attempt_id), None)

    def import_kv(self, attempt_id: str) -> None:
        """Skip prefill for an attempt whose KV cache was imported to resume it here."""
        self._imported.add(attempt_id)

    def start_swap(self, model: str, version: int, now: float, fails: bool) -> None:
        """Start loading a weight version; the latest order replaces a pending one."""
        if (model, version) == (self.model, self.version):
            self._swap = None
        elif self._swap is None or (model, version) != self._swap[:2]:
            self._swap = _Swap(model, version, now + self._options.swap_s, fails)
        self._on_change()

    def step(self, now: float) -> None:
        """Generate the tokens for the time since the last step.

        No tokens are generated while weights are being loaded.
        """
        elapsed = min(now - self._stepped_at, MAX_STEP_S)
        self._stepped_at = now
        if self._swap is not None:
            self._finish_swap(now)
            return
        self._admit()
        remaining = self._options.token_rate * elapsed
        for number, stream in enumerate(self.running):
            fair_share = remaining / (len(self.running) - number)
            stream_limit = self._options.stream_rate * elapsed
            share = min(stream_limit, fair_share if stream.rollout else remaining)
            remaining -= share
            stream.advance(share, self.version)
        self._collect_finished()

    def _finish_swap(self, now: float) -> None:
        if now < self._swap.due:
            return
        swap, self._swap = self._swap, None
        if swap.fails:
            self.counts["failed_swaps"] += 1
        else:
            self.model, self.version = swap.model, swap.version
            self.counts["swaps"] += 1
            self.cache.clear()
        self._on_change()

    def _admit(self) -> None:
        # The sort is stable: order of arrival is kept within each priority.
        by_priority = sorted([*self.running, *self.queued], key=lambda s: s.rollout)
        limit = self._options.running_max
        started = [each for each in by_priority[:limit] if each not in self.running]
        for stream in started:
            self._prefill(stream)
        self.running, self.queued = by_priority[:limit], by_priority[limit:]
        if started:
            self._on_change()

    def _prefill(self, stream: Stream) -> None:
        uncached_tokens = self.cache.store_and_count_uncached(
            stream.hashes, stream.prompt_tokens
        )
        if stream.attempt_id in self._imported:
            self._imported.discard(stream.attempt_id)
            uncached_tokens = 0
        stream.prefill = uncached_tokens * PREFILL_COST

    def _collect_finished(self) -> None:
        finished = [stream for stream in self.running if stream.finished]
        if finished:
            self.running = [each for each in self.running if not each.finished]
            self.counts["finished"] += len(finished)
            self._on_change()
