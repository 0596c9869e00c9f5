"""The plug-in that accepts batches, answers their readers and finds them owners."""

import random
from typing import NamedTuple

import anyio
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.plugins import Plugin
from plantainstack.policy import batch_scheduling
from plantainstack.services.batch_results import APPEND_ITEMS
from plantainstack.services.batch_runs import BatchRun, batch_route
from plantainstack.services.batch_store import (
    STATE_TABLE,
    BatchStore,
    StateRow,
    state_row,
)
from plantainstack.services.discovery import STORE_SILENCE_MAX_S
from plantainstack.services.feeds import ChangeNotifier, FeedReader, recent_rows
from plantainstack.serving import Batch, ItemResult, ItemState, Route, RowsRead

# Joins the listings that follow each other; readers ask about twice a second.
FEED_PAUSE_S = 0.25
# While a reader waits here, for what another instance lists.
READ_PAUSE_S = 0.02
SUPERVISE_S = 0.4
CONFIG_CHECK_S = 0.5
# After a failed read of the whole table; the feed shows what is being written.
TABLE_RETRY_S = 1.0
# Spreads the instances that see the same batch without an owner.
TAKE_OVER_SPREAD_S = 0.3
PAGE_RESULTS = 64
# Kept back from the time until SIGKILL for the writes that release batches; a slow
# store answers in 0.3 s.
RELEASE_MARGIN_S = 1.5
LEAVE_CHECK_S = 0.05
# A reader is sent elsewhere after this time without the store; one that answers at
# all takes 0.3 s at its slowest.
UNSURE_READ_S = 0.7
# Half of what the smallest machine (128 MB) has left beside the process itself.
CACHE_BYTES = 24 * 1024 * 1024


class ResultPage(NamedTuple):
    """Hold the number of items and the results from a position on."""

    total: int
    results: list[ItemResult]


class _Entry:
    """Hold what this process knows of one batch."""

    def __init__(self, row: StateRow, now: float):
        self.row = row
        self.seen_at = now
        self.known_since = now
        self.changed = ChangeNotifier()
        self.results: dict[int, ItemResult] = {}
        self.batch: Batch | None = None
        self.run: BatchRun | None = None
        self.claiming = False


class Batches(Plugin):
    """Keep every batch and run those that this instance owns."""

    name = "batches"
    requires = ("discovery", "store", "forwarding")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._entries: dict[str, _Entry] = {}
        self._owner = kernel.settings.instance.id
        self._cached = 0
        self._draining = False
        self._left = anyio.Event()
        # Batches whose acceptance is being written; their runs begin with its answer.
        self._accepting: set[str] = set()
        self._whole_table_due = anyio.Event()
        self._waiting = 0

    async def start(self, tasks) -> None:
        """Follow the states of all batches."""
        self._tasks = tasks
        store = self.kernel.plugin("store").metadata_store
        self._batch_store = BatchStore(store, self.kernel.clock)
        self._discovery = self.kernel.plugin("discovery")
        self._healthy_since = self.kernel.clock.now()

        async def read(cursor, wait_s):
            if cursor is not None:
                return await store.rows_changed(STATE_TABLE, cursor, wait_s)
            self._whole_table_due.set()
            return await recent_rows(store, STATE_TABLE)

        self._feed = FeedReader(
            "batches",
            self.kernel.clock,
            read,
            self._take_rows,
            lambda: READ_PAUSE_S if self._waiting else FEED_PAUSE_S,
            self._regained,
        )
        tasks.start_soon(self._follow)
        tasks.start_soon(self._read_whole_table)
        tasks.start_soon(self._supervise)

    async def _follow(self) -> None:
        """Follow the states once the routes of batches are known."""
        while self._discovery.serving is None:
            await self._discovery.changed.wait(CONFIG_CHECK_S)
        await self._feed.run()

    async def _read_whole_table(self) -> None:
        """Find the batches that nobody writes any more, beside the feed."""
        clock = self.kernel.clock
        store = self.kernel.plugin("store").metadata_store
        while True:
            await self._whole_table_due.wait()
            self._whole_table_due = anyio.Event()
            found = await store.table_rows(STATE_TABLE)
            if found.is_ok():
                self._take_rows(found.unwrap(), True)
                continue
            reason = found.unwrap_err().message
            log.event("batches.table_not_read", reason=reason)
            self._whole_table_due.set()
            await clock.sleep_until(clock.now() + TABLE_RETRY_S)

    def on_drain(self) -> None:
        """Take no more batches over, and leave those that this instance owns."""
        self._draining = True
        self._tasks.start_soon(self._leave)

    async def drain(self, deadline: float) -> None:
        """Wait until the batches of this instance are done or handed over."""
        await self._left.wait()

    async def _leave(self) -> None:
        """Go on with the batches while there is time, then hand them over.

        Most items end within the time until SIGKILL; each that is handed over
        stands still until another instance has found it.
        """
        clock = self.kernel.clock
        grace = self.kernel.settings.bounds.grace
        leave_at = clock.now() + grace - RELEASE_MARGIN_S
        while self._running() and clock.now() < leave_at:
            await clock.sleep_until(clock.now() + LEAVE_CHECK_S)
        async with anyio.create_task_group() as tasks:
            for run in self._running():
                tasks.start_soon(run.release)
        self._left.set()

    def _running(self) -> list[BatchRun]:
        runs = [entry.run for entry in self._entries.values()]
        return [run for run in runs if run is not None and not run.stopped]

    async def submit(self, batch: Batch, route: Route) -> Result[None, Failure]:
        """Accept a batch once the store holds all of it."""
        started = self.kernel.clock.now()
        entry = self._entries.get(batch.id)
        if entry is not None:
            log.event("batch.known", batch.id)
            return Ok(None)
        if self._feed.lost_for(self.kernel.clock.now()) > STORE_SILENCE_MAX_S:
            log.event("batch.refused", batch.id, reason="the store does not answer")
            message = "the store does not answer"
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, message))
        owner = "" if self._draining else self._owner
        self._accepting.add(batch.id)
        try:
            return await self._accept(batch, route, owner, started)
        finally:
            self._accepting.discard(batch.id)

    async def _accept(
        self, batch: Batch, route: Route, owner: str, started: float
    ) -> Result[None, Failure]:
        outcome = await self._batch_store.accept(batch, route.name, owner)
        seconds = round(self.kernel.clock.now() - started, 4)
        if outcome.is_err():
            failure = outcome.unwrap_err()
            log.event(
                "batch.refused",
                batch.id,
                seconds=seconds,
                outcome=failure.outcome.value,
                reason=failure.message,
            )
            return Err(failure)
        row, ours = outcome.unwrap()
        log.event(
            "batch.accepted",
            batch.id,
            route=route.name,
            items=len(batch.items),
            groups_wanted=batch.groups_wanted,
            min_version=batch.min_version,
            stored_here=ours,
            seconds=seconds,
        )
        entry = self._take_row(batch.id, row)
        entry.batch = batch
        if ours and owner and not self._draining and entry.run is None:
            self._start_run(entry, batch, route, [], {})
        return Ok(None)

    async def results(
        self, batch_id: str, after: int, wait_s: float
    ) -> Result[ResultPage, Failure]:
        """Return results from a position on, after a wait for the first of them."""
        started = self.kernel.clock.now()
        found = await self._read(batch_id, after, wait_s)
        page = found.ok()
        log.event(
            "batch.read",
            batch_id,
            after=after,
            results=len(page.results) if page else None,
            seconds=round(self.kernel.clock.now() - started, 3),
            reason=found.unwrap_err().message if found.is_err() else "",
        )
        return found

    async def _read(
        self, batch_id: str, after: int, wait_s: float
    ) -> Result[ResultPage, Failure]:
        cached = self._entries.get(batch_id)
        if cached is not None and after in cached.results:
            return await self._page(cached, batch_id, after)
        found = await self._known(batch_id)
        if found.is_err():
            return found
        entry = found.unwrap()
        state = entry.row.state
        wait_until = self.kernel.clock.now() + wait_s
        while (
            after >= entry.row.state.listed < state.total
            and not entry.row.state.ended
            and (left := wait_until - self.kernel.clock.now()) > 0
        ):
            await self._wait(entry, left)
        if after >= entry.row.state.listed:
            return Ok(ResultPage(state.total, []))
        return await self._page(entry, batch_id, after)

    async def _wait(self, entry: _Entry, seconds: float) -> None:
        self._waiting += 1
        try:
            await entry.changed.wait(seconds)
        finally:
            self._waiting -= 1

    async def item_body(self, batch_id: str, item_id: str) -> Result[bytes, Failure]:
        """Return the body of an item of a batch that is not ended."""
        found = await self._known(batch_id)
        if found.is_err():
            return found
        entry = found.unwrap()
        if entry.row.state.ended:
            return Err(Failure.of(ErrorKind.NOT_FOUND, "the batch is ended"))
        loaded = await self._loaded(entry, batch_id)
        if loaded.is_err():
            return Err(loaded.unwrap_err()._replace(outcome=Outcome.NOT_RUN))
        for item in loaded.unwrap().items:
            if item.id == item_id:
                return Ok(item.body)
        return Err(Failure.of(ErrorKind.NOT_FOUND, "the batch has no such item"))

    async def end(self, batch_id: str) -> Result[None, Failure]:
        """End a batch; what is listed stays."""
        known = self._entries.get(batch_id)
        if known is not None and known.row.state.ended:
            return Ok(None)
        outcome = await self._batch_store.end(batch_id)
        if outcome.is_err():
            failure = outcome.unwrap_err()
            log.event("batch.end_failed", batch_id, reason=failure.message)
            return Err(failure)
        row = outcome.unwrap()
        if row is None:
            return Err(Failure.of(ErrorKind.NOT_FOUND, "there is no such batch"))
        log.event("batch.ended", batch_id, listed=row.state.listed)
        self._take_row(batch_id, row)
        return Ok(None)

    async def _known(self, batch_id: str) -> Result[_Entry, Failure]:
        """Return a batch; ask the store for one that is unknown or may be old."""
        entry = self._entries.get(batch_id)
        running = entry is not None and entry.run is not None and not entry.run.stopped
        if entry is not None and (running or self._feed.lost_at is None):
            return Ok(entry)
        found = None
        with anyio.move_on_after(UNSURE_READ_S):
            found = await self._batch_store.state(batch_id)
        if found is None or found.is_err():
            message = "the store does not answer"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        row = found.unwrap()
        if row is None:
            return Err(Failure.of(ErrorKind.NOT_FOUND, "there is no such batch"))
        return Ok(self._take_row(batch_id, row))

    async def _page(
        self, entry: _Entry, batch_id: str, after: int
    ) -> Result[ResultPage, Failure]:
        count = min(PAGE_RESULTS, max(1, entry.row.state.listed - after))
        if any(after + number not in entry.results for number in range(count)):
            found = await self._batch_store.results(batch_id, after, count)
            if found.is_err():
                message = found.unwrap_err().message
                return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
            self._cache(entry, after, found.unwrap())
        page = []
        while len(page) < count and after + len(page) in entry.results:
            page.append(entry.results[after + len(page)])
        return Ok(ResultPage(entry.row.state.total, page))

    async def _loaded(self, entry: _Entry, batch_id: str) -> Result[Batch, Failure]:
        if entry.batch is not None:
            return Ok(entry.batch)
        found = await self._batch_store.batch(batch_id)
        if found.is_ok():
            entry.batch = found.unwrap()
        return found

    def _cache(self, entry: _Entry, first: int, results: list[ItemResult]) -> None:
        for number, result in enumerate(results):
            if first + number not in entry.results:
                entry.results[first + number] = result
                self._cached += len(result.text)
        if self._cached > CACHE_BYTES:
            self._evict(entry)

    def _evict(self, kept: _Entry) -> None:
        """Drop the results of the batches that were known first."""
        for entry in self._entries.values():
            if self._cached <= CACHE_BYTES / 2:
                return
            if entry is not kept:
                self._cached -= sum(len(each.text) for each in entry.results.values())
                entry.results.clear()
                if entry.run is None or entry.run.stopped:
                    entry.batch = None

    def _take_rows(self, found: RowsRead, whole: bool) -> None:
        for row in found.rows:
            decoded = state_row(row)
            batch_id = row.name.part
            if decoded is None:
                self._entries.pop(batch_id, None)
                continue
            entry = self._take_row(batch_id, decoded)
            unowned = entry.row.state.owner in ("", self._owner)
            if unowned and not self._draining and self._orphaned(batch_id, entry):
                self._claim(batch_id, entry)

    def _take_row(self, batch_id: str, row: StateRow) -> _Entry:
        now = self.kernel.clock.now()
        entry = self._entries.get(batch_id)
        if entry is None:
            entry = self._entries[batch_id] = _Entry(row, now)
            if not row.state.listed and not row.state.ended:
                self._discovery.note_step(row.state.route)
        elif row.version > entry.row.version:
            entry.row = row
            entry.seen_at = now
            self._discovery.record_remote_latencies(row.state.paces)
        if entry.row.state.ended and entry.run is not None:
            entry.run.stop()
            entry.run = None
        entry.changed.notify()
        return entry

    def _regained(self) -> None:
        self._healthy_since = self.kernel.clock.now()

    def _start_run(self, entry, batch, route, listed, partials) -> None:
        def on_state(row: StateRow, results: list[ItemResult]) -> None:
            self._cache(entry, row.state.listed - len(results), results)
            self._take_row(batch.id, row)

        entry.run = BatchRun(
            self.kernel,
            self._batch_store,
            batch,
            route,
            entry.row,
            listed,
            partials,
            on_state,
        )
        self._tasks.start_soon(entry.run.run)

    async def _supervise(self) -> None:
        """Take over batches whose owner is gone; remove those that are old."""
        clock = self.kernel.clock
        while True:
            await clock.sleep_until(clock.now() + SUPERVISE_S)
            if self._draining or self._feed.lost_at is not None:
                continue
            now = clock.now()
            for batch_id, entry in list(self._entries.items()):
                if self._orphaned(batch_id, entry):
                    self._claim(batch_id, entry)
                elif not entry.claiming and batch_scheduling.removal_due(
                    entry.row.state.owner, self._owner, now - entry.known_since
                ):
                    entry.claiming = True
                    self._tasks.start_soon(self._remove, batch_id, entry)

    def _claim(self, batch_id: str, entry: _Entry) -> None:
        entry.claiming = True
        self._tasks.start_soon(self._take_over, batch_id, entry)

    def _orphaned(self, batch_id: str, entry: _Entry) -> bool:
        state = entry.row.state
        if state.ended or state.listed >= state.total:
            return False
        if entry.claiming or batch_id in self._accepting:
            return False
        if entry.run is not None and not entry.run.stopped:
            return False
        if state.owner == self._owner and entry.run is None:
            # A former process of this instance owned it.
            return True
        now = self.kernel.clock.now()
        return batch_scheduling.owner_lost(
            state.owner, entry.seen_at, self._healthy_since, now
        )

    async def _take_over(self, batch_id: str, entry: _Entry) -> None:
        clock = self.kernel.clock
        try:
            version = entry.row.version
            if entry.row.state.owner != self._owner:
                spread = random.uniform(0.0, TAKE_OVER_SPREAD_S)
                await clock.sleep_until(clock.now() + spread)
            if entry.row.version != version or self._draining:
                return
            outcome = await self._batch_store.take_over(
                batch_id, entry.row, self._owner
            )
            if outcome.is_err() or not isinstance(outcome.unwrap(), StateRow):
                return
            before = entry.row.state.owner
            self._take_row(batch_id, outcome.unwrap())
            log.event(
                "batch.taken_over",
                batch_id,
                owner_before=before,
                term=entry.row.state.term,
                listed=entry.row.state.listed,
            )
            await self._resume(batch_id, entry)
        finally:
            entry.claiming = False

    async def _resume(self, batch_id: str, entry: _Entry) -> None:
        """Start the run of a batch that was taken over, from what the store holds."""
        loaded = await self._loaded(entry, batch_id)
        listed = await self._batch_store.results(batch_id, 0, entry.row.state.listed)
        partials = await self._batch_store.partials(batch_id)
        for outcome in (loaded, listed, partials):
            if outcome.is_err():
                reason = outcome.unwrap_err().message
                log.event("batch.not_resumed", batch_id, reason=reason)
                return
        self._cache(entry, 0, listed.unwrap())
        route = batch_route(self._discovery.serving, loaded.unwrap())
        if route is None:
            await self._abandon(batch_id, entry, loaded.unwrap(), listed.unwrap())
            return
        self._start_run(
            entry, loaded.unwrap(), route, listed.unwrap(), partials.unwrap()
        )

    async def _abandon(
        self, batch_id: str, entry: _Entry, batch: Batch, listed: list[ItemResult]
    ) -> None:
        """List the items that are left as given up, since their route is gone."""
        log.event("batch.route_gone", batch_id, route=entry.row.state.route)
        done = {result.item_id for result in listed}
        rest = [
            ItemResult(item.id, ItemState.ABANDONED, "", ())
            for item in batch.items
            if item.id not in done
        ]
        while rest:
            chunk, rest = rest[:APPEND_ITEMS], rest[APPEND_ITEMS:]
            outcome = await self._batch_store.append(batch_id, entry.row, chunk)
            if outcome.is_err() or not isinstance(outcome.unwrap(), StateRow):
                return
            self._take_row(batch_id, outcome.unwrap())

    async def _remove(self, batch_id: str, entry: _Entry) -> None:
        await self._batch_store.remove(batch_id, entry.row)
        self._entries.pop(batch_id, None)
