"""Cache of the batches that an instance knows and of their results."""

from collections import Counter
from collections.abc import Callable

from plantainstack.policy.batch_owners import StepOwner
from plantainstack.policy.batch_scheduling import (
    BatchSize,
    batch_size,
    has_room,
    total_size,
)
from plantainstack.policy.memory_budget import MemoryBudget
from plantainstack.services.batch_encoding import decode_result, encode_result
from plantainstack.services.batch_runs import BatchRun
from plantainstack.services.batch_store import StateRow
from plantainstack.services.feeds import ChangeNotifier
from plantainstack.serving import Batch, ItemResult

# Share of the memory budget that the cache may take; it gets less where other parts
# need the memory.
CACHE_SHARE = 3 / 10
# Memory that a cached result takes besides its encoding.
RESULT_OVERHEAD_BYTES = 400
# Delay after a takeover whose batch could not be read, doubled each time. Once it
# exceeds the timeout of an owner, another instance tries.
RESUME_RETRY_MIN_S = 0.4
RESUME_RETRY_MAX_S = 8.0
RESUME_DOUBLINGS_MAX = 10


class BatchEntry:
    """Cache the state, the results and the run of one batch."""

    def __init__(self, row: StateRow, now: float):
        self.row = row
        self.seen_at = now
        self.known_since = now
        self.changed = ChangeNotifier()
        # Encoded results by position. Decoded, a text takes as many bytes for each
        # character as its widest one: four with an emoji.
        self.results: dict[int, bytes] = {}
        self.batch: Batch | None = None
        # The size of the batch, once its items were known here.
        self.size = BatchSize(row.state.total)
        self.run: BatchRun | None = None
        # Whether a takeover or the removal of the batch is in progress.
        self.pending = False
        # Takeovers in a row after which the batch could not be read, and the time
        # before which there is no other one.
        self.failed_resumes = 0
        self.resume_at = 0.0

    def is_running(self) -> bool:
        """Return whether this instance runs the batch."""
        return self.run is not None and not self.run.stopped

    def keep_batch(self, batch: Batch) -> None:
        """Keep the items of the batch in memory."""
        self.batch = batch
        self.size = batch_size(batch)

    def kept_bytes(self) -> int:
        """Return about how much memory the items of the batch take."""
        return 0 if self.batch is None else self.size.memory_bytes()

    def is_active(self) -> bool:
        """Return whether this instance runs the batch or is about to do so."""
        starts = self.pending and not self.row.state.is_final()
        return starts or self.is_running()

    def is_reused_by(self, row: StateRow) -> bool:
        """Return whether a newer row is that of another tenant's batch of this id."""
        known = self.row
        return row.version > known.version and row.state.tenant != known.state.tenant

    def delay_resume(self, now: float) -> None:
        """Delay the next takeover after one whose batch could not be run."""
        doublings = min(self.failed_resumes, RESUME_DOUBLINGS_MAX)
        delay_s = min(RESUME_RETRY_MAX_S, RESUME_RETRY_MIN_S * 2**doublings)
        self.failed_resumes += 1
        self.resume_at = now + delay_s

    def result(self, position: int) -> ItemResult | None:
        """Return the result at a position, None if it is not cached."""
        encoded = self.results.get(position)
        return None if encoded is None else decode_result(encoded)

    def result_bytes(self) -> int:
        """Return about how much memory the cached results take."""
        return sum(_memory_bytes(each) for each in self.results.values())


class BatchCache:
    """Hold the known batches in `entries`.

    Results and items of batches that do not run here are kept as far as the memory
    allows. The parts of the budget that concern batches are reported from here.
    """

    def __init__(self, memory: MemoryBudget):
        self.entries: dict[str, BatchEntry] = {}
        self._result_bytes = 0
        self._memory = memory
        memory.add_part("cache", self._held, self._reclaim)
        memory.add_part("batches", self._active_bytes)
        memory.add_part("unwritten", self._unwritten_bytes)

    def add_results(
        self, entry: BatchEntry, first: int, results: list[ItemResult]
    ) -> None:
        """Add the results of a batch from the position `first` on."""
        for position, result in enumerate(results, first):
            if position not in entry.results:
                encoded = entry.results[position] = encode_result(result)
                self._result_bytes += _memory_bytes(encoded)
        limit = self._limit()
        if self._held() > limit:
            self._evict(entry, limit)
        if self._held() > limit:
            self._evict_around(entry, range(first, first + len(results)), limit)

    def remove(self, batch_id: str) -> None:
        """Remove a batch that no longer exists."""
        entry = self.entries.pop(batch_id, None)
        if entry is not None:
            self._result_bytes -= entry.result_bytes()

    def open_items(self) -> Counter[str]:
        """Return the number of items without a result of all open batches, by route."""
        found: Counter[str] = Counter()
        for entry in self.entries.values():
            state = entry.row.state
            if not state.is_final():
                found[state.route] += state.total - state.listed
        return found

    def step_owners(self) -> list[StepOwner]:
        """Return the owners of the known batches."""
        return [
            StepOwner(
                entry.row.state.route,
                entry.row.state.owner,
                entry.known_since,
                entry.seen_at,
            )
            for entry in self.entries.values()
        ]

    def has_room_alone(self, size: BatchSize) -> bool:
        """Return whether a batch of this size would fit here if no other one ran."""
        return has_room(size, BatchSize(), self._memory.total)

    def has_room_to_start(self, entry: BatchEntry) -> bool:
        """Return whether a batch fits beside those that run here or are about to."""
        return self._has_room(entry, BatchEntry.is_active)

    def has_room_to_run(self, entry: BatchEntry) -> bool:
        """Return whether a batch fits beside those that run here."""
        return self._has_room(entry, BatchEntry.is_running)

    def _has_room(
        self, entry: BatchEntry, counts: Callable[[BatchEntry], bool]
    ) -> bool:
        others = total_size(each.size for each in self.entries.values() if counts(each))
        if not others.items:
            # A batch that was accepted for its size alone must not wait for ever.
            return self.has_room_alone(entry.size)
        return has_room(entry.size, others, self._memory.left_for("batches"))

    def _unwritten_bytes(self) -> int:
        return sum(
            entry.run.unwritten_bytes()
            for entry in self.entries.values()
            if entry.is_running()
        )

    def _active_bytes(self) -> int:
        return sum(
            entry.size.memory_bytes()
            for entry in self.entries.values()
            if entry.is_running() or (entry.is_active() and entry.batch is not None)
        )

    def _held(self) -> int:
        """Return the memory of the results and of the items that do not run here."""
        items = sum(
            entry.kept_bytes()
            for entry in self.entries.values()
            if not entry.is_active()
        )
        return self._result_bytes + items

    def _limit(self) -> int:
        share = int(self._memory.total * CACHE_SHARE)
        return min(share, self._memory.left_for("cache"))

    def _reclaim(self) -> None:
        limit = self._limit()
        if self._held() > limit:
            self._evict(None, limit)

    def _evict(self, kept: BatchEntry | None, limit: int) -> None:
        """Evict results and items, those of the earliest known batches first."""
        held = self._held()
        for entry in self.entries.values():
            if held <= limit / 2:
                return
            if entry is not kept:
                size = entry.result_bytes()
                self._result_bytes -= size
                held -= size
                entry.results.clear()
                if not entry.is_active():
                    held -= entry.kept_bytes()
                    entry.batch = None

    def _evict_around(self, entry: BatchEntry, page: range, limit: int) -> None:
        """Evict the results of a batch outside a page, those added first before others.

        One batch alone may have more results than the cache holds.
        """
        held = self._held()
        for position in [each for each in entry.results if each not in page]:
            if held <= limit / 2:
                return
            size = _memory_bytes(entry.results.pop(position))
            self._result_bytes -= size
            held -= size


def _memory_bytes(encoded: bytes) -> int:
    return len(encoded) + RESULT_OVERHEAD_BYTES
