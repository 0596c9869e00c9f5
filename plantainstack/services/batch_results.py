"""Write what the owner of a batch has to store: results, text so far, its lease."""

from collections.abc import Callable

import anyio

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.policy import batch_scheduling
from plantainstack.policy.item_runs import ItemRun
from plantainstack.services.batch_store import BatchStore, Lost, Piece, StateRow
from plantainstack.serving import ItemResult

# Results that end together are listed in one transaction.
JOIN_S = 0.015
APPEND_BYTES = 400_000
APPEND_ITEMS = 40
# Together with the results above, within the store's limits on a transaction.
CHECKPOINT_BYTES = 500_000
CHECKPOINT_ITEMS = 50
# Below the store's limit on a row.
PIECE_BYTES = 44_000


class _Text:
    """Hold an item's run and how many of its events the store has."""

    def __init__(self, run: ItemRun, begun_at: float):
        self.run = run
        self.begun_at = begun_at
        self.stored = run.events()


class ResultWriter:
    """List the results of one batch in the order of their ends.

    `paces` returns what the owner measured of its endpoints; `on_state` is told of
    each new state with the results that it lists.
    """

    def __init__(
        self,
        clock: Clock,
        batch_store: BatchStore,
        batch_id: str,
        row: StateRow,
        paces: Callable[[], dict[str, float]],
        on_state: Callable[[StateRow, list[ItemResult]], None],
    ):
        self.row = row
        self._clock = clock
        self._batch_store = batch_store
        self._batch_id = batch_id
        self._paces = paces
        self._on_state = on_state
        self._texts: dict[str, _Text] = {}
        self._ended: list[ItemResult] = []
        self._wake = anyio.Event()
        self._writing = anyio.Lock()
        self._checkpoint_at = 0.0
        self._paces_at = 0.0

    def begin(self, run: ItemRun) -> None:
        """Keep the text of an item while it runs; what it has now is stored."""
        self._texts[run.item.id] = _Text(run, self._clock.now())

    def end(self, result: ItemResult) -> None:
        """List a result soon."""
        self._texts.pop(result.item_id, None)
        self._ended.append(result)
        self._wake.set()

    async def run(self) -> None:
        """Write until all is listed or the batch is lost; renew the lease."""
        while self.row.state.listed < self.row.state.total:
            with anyio.move_on_after(batch_scheduling.OWNER_RENEWAL_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._ended:
                await self._clock.sleep_until(self._clock.now() + JOIN_S)
            if not await self._append():
                return

    async def release(self, stop: Callable[[], None]) -> None:
        """Stop the owner, list what has ended, and leave the text of the others."""
        # A write that is cut off would leave the version of the row unknown.
        async with self._writing:
            stop()
            chunk = self._next_chunk()
            left = CHECKPOINT_BYTES - sum(len(result.text) for result in chunk)
            partials = self._new_text(0.0, left)
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
        """Write once; return whether this process still owns the batch."""
        chunk = self._next_chunk()
        async with self._writing:
            partials = self._due_text(chunk)
            outcome = await self._batch_store.append(
                self._batch_id, self.row, chunk, partials, self._due_paces()
            )
            if outcome.is_err():
                failure = outcome.unwrap_err()
                log.event("batch.write_failed", self._batch_id, reason=failure.message)
                if self._ended:
                    self._wake.set()
                return True
            found = outcome.unwrap()
            if isinstance(found, Lost):
                self._note_loss(found)
                return False
            self._note_written(found, chunk, partials)
            return True

    def _note_written(
        self, row: StateRow, chunk: list[ItemResult], partials: list[Piece]
    ) -> None:
        self.row = row
        for item_id, piece in partials:
            if item_id in self._texts:
                self._texts[item_id].stored = piece.first + len(piece.texts)
        del self._ended[: len(chunk)]
        if self._ended:
            self._wake.set()
        self._on_state(row, chunk)

    def _note_loss(self, found: Lost) -> None:
        current = found.current
        reason = "ended" if current and current.state.ended else "taken over"
        log.event("batch.lost", self._batch_id, reason=reason)
        if current is not None:
            self._on_state(current, [])

    def _due_paces(self) -> dict[str, float]:
        """Return the paces of endpoints for other instances, now and then."""
        now = self._clock.now()
        if now < self._paces_at:
            return {}
        self._paces_at = now + batch_scheduling.LATENCY_SHARE_INTERVAL_S
        return self._paces()

    def _due_text(self, chunk: list[ItemResult]) -> list[Piece]:
        """Return the text of long items that is not stored yet, now and then."""
        now = self._clock.now()
        if now < self._checkpoint_at:
            return []
        self._checkpoint_at = now + batch_scheduling.CHECKPOINT_INTERVAL_S
        left = CHECKPOINT_BYTES - sum(len(result.text) for result in chunk)
        return self._new_text(batch_scheduling.CHECKPOINT_MIN_AGE_S, left)

    def _new_text(self, age_s: float, bytes_max: int) -> list[Piece]:
        pieces: list[Piece] = []
        now = self._clock.now()
        size = 0
        for item_id, text in self._texts.items():
            piece = text.run.partial(text.stored)
            if now - text.begun_at < age_s or piece is None:
                continue
            length = sum(len(each) for each in piece.texts)
            size += length
            if size > bytes_max or len(pieces) >= CHECKPOINT_ITEMS:
                break
            if length <= PIECE_BYTES:
                pieces.append((item_id, piece))
        return pieces

    def _next_chunk(self) -> list[ItemResult]:
        chunk: list[ItemResult] = []
        size = 0
        for result in self._ended[:APPEND_ITEMS]:
            size += len(result.text)
            if chunk and size > APPEND_BYTES:
                break
            chunk.append(result)
        return chunk
