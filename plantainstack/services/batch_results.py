"""Store the results and partial texts of a batch, and renew its ownership."""

from collections.abc import Callable

import anyio

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.policy import batch_scheduling
from plantainstack.policy.item_runs import ItemRun
from plantainstack.services.batch_encoding import (
    decode_result,
    encode_result,
    row_bytes,
)
from plantainstack.services.batch_store import (
    BatchStore,
    ItemPiece,
    StateConflict,
    StateRow,
)
from plantainstack.serving import Batch, ItemResult, ItemState

# Delay before a write, so that items that end together share one transaction.
APPEND_DELAY_S = 0.015
# Limits on the rows of one transaction, before their encoding in base64. Results and
# partial texts together stay within the store's transaction limits.
APPEND_BYTES = 400_000
APPEND_ITEMS = 40
CHECKPOINT_BYTES = 500_000
CHECKPOINT_ITEMS = 50
# Below the store's limit on the size of a row.
PIECE_BYTES = 44_000


class _StoredText:
    """Track how much of a running item is in the store."""

    def __init__(self, run: ItemRun, begun_at: float):
        self.run = run
        self.begun_at = begun_at
        self.stored = run.progress()


class ResultWriter:
    """Append the results of one batch in the order in which its items end.

    `latencies` returns the seconds per event that the owner measured, by endpoint.
    `on_state` is called with each new state and the results appended with it.
    """

    def __init__(
        self,
        clock: Clock,
        batch_store: BatchStore,
        batch_id: str,
        row: StateRow,
        latencies: Callable[[], dict[str, float]],
        on_state: Callable[[StateRow, list[ItemResult]], None],
    ):
        self.row = row
        self._clock = clock
        self._batch_store = batch_store
        self._batch_id = batch_id
        self._latencies = latencies
        self._on_state = on_state
        self._texts: dict[str, _StoredText] = {}
        # Encoded, since a decoded text may take four bytes for each character.
        self._ended: list[bytes] = []
        self._wake = anyio.Event()
        self._writing = anyio.Lock()
        self._next_checkpoint_at = 0.0
        self._next_latencies_at = 0.0

    def begin(self, run: ItemRun) -> None:
        """Store the text of an item while it runs.

        Events that the run already contains were read from the store.
        """
        self._texts[run.item.id] = _StoredText(run, self._clock.now())

    def end(self, result: ItemResult) -> None:
        """Schedule a result for the next write."""
        self._texts.pop(result.item_id, None)
        self._ended.append(encode_result(result))
        self._wake.set()

    def waiting_bytes(self) -> int:
        """Return the size of the results that are not stored yet."""
        return sum(len(encoded) for encoded in self._ended)

    async def run(self) -> None:
        """Write results and renew the ownership.

        Returns once all results are listed or the ownership was lost.
        """
        while self.row.state.listed < self.row.state.total:
            with anyio.move_on_after(batch_scheduling.OWNER_RENEWAL_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._ended:
                await self._clock.sleep_until(self._clock.now() + APPEND_DELAY_S)
            if not await self._append():
                return

    async def release(self, stop: Callable[[], None]) -> None:
        """Stop the run and give up the batch.

        Results of ended items and the text of running ones are stored, so the next
        owner continues from there.
        """
        # Wait for a write in progress: cancelling it would leave the row version
        # unknown.
        async with self._writing:
            stop()
            chunk = self._next_chunk()
            partials = self._unstored_pieces(0.0, chunk)
            outcome = await self._batch_store.release(
                self._batch_id, self.row, chunk, partials
            )
            if outcome.is_ok() and isinstance(outcome.unwrap(), StateRow):
                self._on_state(outcome.unwrap(), chunk)
        log.event(
            "batch.released",
            self._batch_id,
            listed=len(chunk),
            partial_items=len(partials),
            end="ok" if outcome.is_ok() else outcome.unwrap_err().message,
        )

    async def _append(self) -> bool:
        """Write once; return False if another instance has changed the state."""
        chunk = self._next_chunk()
        async with self._writing:
            partials = self._due_pieces(chunk)
            outcome = await self._batch_store.append(
                self._batch_id, self.row, chunk, partials, self._due_latencies()
            )
            if outcome.is_err():
                failure = outcome.unwrap_err()
                log.event("batch.write_failed", self._batch_id, reason=failure.message)
                if self._ended:
                    self._wake.set()
                return True
            found = outcome.unwrap()
            if isinstance(found, StateConflict):
                self._handle_conflict(found)
                return False
            self._handle_written(found, chunk, partials)
            return True

    def _handle_written(
        self, row: StateRow, chunk: list[ItemResult], partials: list[ItemPiece]
    ) -> None:
        self.row = row
        for item_id, piece in partials:
            if item_id in self._texts:
                self._texts[item_id].stored = piece.progress()
        del self._ended[: len(chunk)]
        if self._ended:
            self._wake.set()
        self._on_state(row, chunk)

    def _handle_conflict(self, found: StateConflict) -> None:
        current = found.current
        reason = "ended" if current and current.state.ended else "taken over"
        log.event("batch.lost", self._batch_id, reason=reason)
        if current is not None:
            self._on_state(current, [])

    def _due_latencies(self) -> dict[str, float]:
        """Return the latencies to publish, once per LATENCY_SHARE_INTERVAL_S."""
        now = self._clock.now()
        if now < self._next_latencies_at:
            return {}
        self._next_latencies_at = now + batch_scheduling.LATENCY_SHARE_INTERVAL_S
        return self._latencies()

    def _due_pieces(self, chunk: list[ItemResult]) -> list[ItemPiece]:
        """Return unstored text of long items, once per CHECKPOINT_INTERVAL_S."""
        now = self._clock.now()
        if now < self._next_checkpoint_at:
            return []
        self._next_checkpoint_at = now + batch_scheduling.CHECKPOINT_INTERVAL_S
        return self._unstored_pieces(batch_scheduling.CHECKPOINT_MIN_AGE_S, chunk)

    def _unstored_pieces(
        self, age_s: float, chunk: list[ItemResult]
    ) -> list[ItemPiece]:
        """Return unstored text that fits into one transaction with a chunk of results.

        Text of items that began less than `age_s` ago is left out.
        """
        pieces: list[ItemPiece] = []
        now = self._clock.now()
        size = sum(row_bytes(result) for result in chunk)
        for item_id, text in self._texts.items():
            if now - text.begun_at < age_s:
                continue
            piece = text.run.partial(text.stored)
            if piece is None:
                continue
            length = row_bytes(piece)
            size += length
            if size > CHECKPOINT_BYTES or len(pieces) >= CHECKPOINT_ITEMS:
                break
            if length <= PIECE_BYTES:
                pieces.append((item_id, piece))
        return pieces

    def _next_chunk(self) -> list[ItemResult]:
        chunk: list[ItemResult] = []
        size = 0
        for encoded in self._ended[:APPEND_ITEMS]:
            size += len(encoded)
            if chunk and size > APPEND_BYTES:
                break
            chunk.append(decode_result(encoded))
        return chunk


async def append_abandoned(
    batch_store: BatchStore,
    row: StateRow,
    batch: Batch,
    listed: set[str],
    on_row: Callable[[str, StateRow], object],
) -> None:
    """Append the unfinished items of a batch as abandoned, in chunks.

    `on_row` is called with the id of the batch and each new state.
    """
    rest = [
        ItemResult(item.id, ItemState.ABANDONED, "", ())
        for item in batch.items
        if item.id not in listed
    ]
    while rest:
        chunk, rest = rest[:APPEND_ITEMS], rest[APPEND_ITEMS:]
        outcome = await batch_store.append(batch.id, row, chunk)
        if outcome.is_err() or not isinstance(outcome.unwrap(), StateRow):
            return
        row = outcome.unwrap()
        on_row(batch.id, row)
