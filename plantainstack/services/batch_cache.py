"""Cache of the batches that an instance knows and of their results."""

from plantainstack.services.batch_runs import BatchRun
from plantainstack.services.batch_store import StateRow
from plantainstack.services.feeds import ChangeNotifier
from plantainstack.serving import Batch, ItemResult

# Half of the memory that the process leaves free on the smallest machine (128 MB).
CACHE_BYTES = 24 * 1024 * 1024


class BatchEntry:
    """Cache the state, the results and the run of one batch."""

    def __init__(self, row: StateRow, now: float):
        self.row = row
        self.seen_at = now
        self.known_since = now
        self.changed = ChangeNotifier()
        self.results: dict[int, ItemResult] = {}
        self.batch: Batch | None = None
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

    def result_bytes(self) -> int:
        """Return the size of the cached texts."""
        return sum(len(each.text) for each in self.results.values())


class BatchCache:
    """Hold the known batches in `entries`, and their results up to CACHE_BYTES."""

    def __init__(self):
        self.entries: dict[str, BatchEntry] = {}
        self._bytes = 0

    def add_results(
        self, entry: BatchEntry, first: int, results: list[ItemResult]
    ) -> None:
        """Add the results of a batch from the position `first` on."""
        for position, result in enumerate(results, first):
            if position not in entry.results:
                entry.results[position] = result
                self._bytes += len(result.text)
        if self._bytes > CACHE_BYTES:
            self._evict(entry)

    def remove(self, batch_id: str) -> None:
        """Remove a batch that no longer exists."""
        entry = self.entries.pop(batch_id, None)
        if entry is not None:
            self._bytes -= entry.result_bytes()

    def _evict(self, kept: BatchEntry) -> None:
        """Evict cached results, those of the earliest known batches first."""
        for entry in self.entries.values():
            if self._bytes <= CACHE_BYTES / 2:
                return
            if entry is not kept:
                self._bytes -= entry.result_bytes()
                entry.results.clear()
                if not entry.is_running():
                    entry.batch = None
