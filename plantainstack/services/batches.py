"""Plug-in that tracks batches and runs those that this instance owns."""

import random
from collections import Counter

import anyio
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.errors import ErrorKind, Failure
from plantainstack.plugins import Plugin
from plantainstack.policy import batch_owners, batch_scheduling, route_table
from plantainstack.policy.batch_scheduling import BatchSize
from plantainstack.services.batch_cache import BatchCache, BatchEntry
from plantainstack.services.batch_loading import BatchLoader
from plantainstack.services.batch_progress import read_progress
from plantainstack.services.batch_reads import BatchReads, ResultPage
from plantainstack.services.batch_results import append_abandoned
from plantainstack.services.batch_runs import BatchRun
from plantainstack.services.batch_store import STATE_TABLE, BatchStore, StateRow
from plantainstack.services.batch_submissions import BatchSubmissions
from plantainstack.services.feeds import FeedReader, recent_rows
from plantainstack.serving import Batch, ItemResult, Route, RowsRead
from plantainstack.tasks import contained, record_exception

# Pause between reads of the feed, so that one read returns several state changes.
# Readers poll about twice a second.
FEED_PAUSE_S = 0.25
# Shorter pause while a reader of this instance waits for results, which another
# instance may be about to list.
READ_PAUSE_S = 0.02
# Pause of an instance that ran a trainer's step and may be given the next one.
NEXT_STEP_PAUSE_S = 0.05
SUPERVISE_INTERVAL_S = 0.4
CONFIG_CHECK_S = 0.5
# Delay after a failed read of the whole table. The feed still shows the batches that
# are being written, so this delay does little harm.
TABLE_RETRY_S = 1.0
# Maximum random delay before a takeover, so that the instances that detect the same
# ownerless batch do not all write at once.
TAKE_OVER_JITTER_S = 0.3
# Part of the shutdown grace period reserved for the writes that release batches; a
# slow store responds within 0.3 s.
RELEASE_MARGIN_S = 1.5
DRAIN_CHECK_S = 0.05


class Batches(Plugin):
    """Track the state of all batches and run those that this instance owns."""

    name = "batches"
    requires = ("discovery", "store", "forwarding", "reward_calls")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._cache = BatchCache(kernel.memory_budget)
        self._entries = self._cache.entries
        self._instance_id = kernel.settings.instance.id
        self._draining = False
        self._released = anyio.Event()
        self._full_read_due = anyio.Event()
        self._next_step_until = 0.0

    async def start(self, tasks) -> None:
        """Start to track the states of all batches."""
        self._tasks = tasks
        store = self.kernel.plugin("store").metadata_store
        self._batch_store = BatchStore(store, self.kernel.clock)
        self._discovery = self.kernel.plugin("discovery")
        self._healthy_since = self.kernel.clock.now()

        async def read(cursor, wait_s):
            if cursor is not None:
                return await store.rows_changed(STATE_TABLE, cursor, wait_s)
            self._full_read_due.set()
            return await recent_rows(store, STATE_TABLE)

        self._feed = FeedReader(
            "batches",
            self.kernel.clock,
            read,
            self._apply_rows,
            self._feed_pause_s,
            self._handle_feed_regained,
        )
        self._reads = BatchReads(
            self.kernel.clock,
            tasks,
            self._batch_store,
            BatchLoader(self._batch_store, self.kernel.memory_budget),
            self._cache,
            self._feed,
            self._apply_row,
        )
        self._submissions = BatchSubmissions(
            self.kernel.clock,
            self._discovery,
            self._batch_store,
            self._cache,
            self._feed,
            self._choose_owner,
            self._apply_row,
            self._start_accepted,
        )
        tasks.start_loop(self._read_feed)
        tasks.start_loop(self._read_full_table)
        tasks.start_loop(self._supervise)

    def _feed_pause_s(self) -> float:
        if self._reads.waiting:
            return READ_PAUSE_S
        next_step_expected = self.kernel.clock.now() < self._next_step_until
        return NEXT_STEP_PAUSE_S if next_step_expected else FEED_PAUSE_S

    async def _read_feed(self) -> None:
        """Read the feed of states once a configuration with the routes is known."""
        while self._discovery.serving is None:
            await self._discovery.changed.wait(CONFIG_CHECK_S)
        await self._feed.run()

    async def _read_full_table(self) -> None:
        """Read the whole state table whenever the feed starts from a new snapshot.

        The feed starts with recent changes only and so misses batches that no
        instance writes any more.
        """
        clock = self.kernel.clock
        store = self.kernel.plugin("store").metadata_store
        while True:
            await self._full_read_due.wait()
            self._full_read_due = anyio.Event()
            with contained("Batches._read_full_table"):
                found = await store.table_rows(STATE_TABLE)
                if found.is_ok():
                    self._apply_table(found.unwrap())
                    continue
                reason = found.unwrap_err().message
                log.event("batches.table_not_read", reason=reason)
            self._full_read_due.set()
            await clock.sleep_until(clock.now() + TABLE_RETRY_S)

    def _apply_table(self, found: RowsRead) -> None:
        """Apply each row of the table alone, so that one costs itself only."""
        for row in found.split():
            with contained("Batches._apply_table"):
                self._apply_rows(row, True)

    def on_drain(self) -> None:
        """Stop taking over batches and start to release the owned ones."""
        self._draining = True
        self._tasks.start_soon(self._release_batches)

    async def drain(self, deadline: float) -> None:
        """Wait until all batches of this instance are complete or released."""
        await self._released.wait()

    async def _release_batches(self) -> None:
        """Continue the owned batches during the grace period, then release them.

        Most items end within the grace period. A released item makes no progress
        until another instance has taken over its batch, so the release comes late.
        """
        clock = self.kernel.clock
        grace = self.kernel.settings.bounds.grace
        release_at = clock.now() + grace - RELEASE_MARGIN_S
        while self._running() and clock.now() < release_at:
            await clock.sleep_until(clock.now() + DRAIN_CHECK_S)
        async with anyio.create_task_group() as tasks:
            for run in self._running():
                tasks.start_soon(self._release, run)
        self._released.set()

    @staticmethod
    async def _release(run: BatchRun) -> None:
        with contained("Batches._release", batch=run.batch.id):
            await run.release()

    def may_run(self, size: BatchSize) -> bool:
        """Return whether a batch of this size would fit here if no other one ran."""
        return self._cache.has_room_alone(size)

    def _running(self) -> list[BatchRun]:
        return [entry.run for entry in self._entries.values() if entry.is_running()]

    async def submit(self, batch: Batch, route: Route) -> Result[None, Failure]:
        """Store a batch and start to run it.

        Returns Ok once the whole batch is stored, or at once if its id is already
        known as that of a batch that the tenant may use.
        """
        return await self._submissions.submit(batch, route)

    def _choose_owner(self, route: Route) -> str:
        steps = self._cache.step_owners()
        now = self.kernel.clock.now()
        owner = batch_owners.choose_owner(self._instance_id, route.name, steps, now)
        return "" if self._draining and owner == self._instance_id else owner

    def _start_accepted(
        self, entry: BatchEntry, row: StateRow, batch: Batch, route: Route, owner: str
    ) -> None:
        """Run a batch that was stored here, unless the chosen owner does."""
        if self._draining or entry.run is not None:
            return
        if owner and owner != self._instance_id:
            self._tasks.start_soon(self._ensure_handover, batch.id, entry, row.version)
        elif owner and self._cache.has_room_to_run(entry):
            self._start_run(entry, row, batch, route, set(), {})
        elif owner:
            # It is taken over once there is room, here or at another instance.
            entry.batch = None
            log.event("batch.waits_for_room", batch.id, items=len(batch.items))

    async def _ensure_handover(
        self, batch_id: str, entry: BatchEntry, version: int
    ) -> None:
        """Run a batch here if the owner that it was given does not take it over."""
        clock = self.kernel.clock
        await clock.sleep_until(clock.now() + batch_owners.HANDOVER_TIMEOUT_S)
        if entry.row.version == version and not entry.pending:
            entry.pending = True
            await self._take_over(batch_id, entry, version, jitter_s=0.0)

    async def results(
        self, batch_id: str, after: int, wait_s: float, tenant: str | None = None
    ) -> Result[ResultPage, Failure]:
        """Return results from the position `after` on, if the tenant may read them.

        Waits up to `wait_s` for the first of them. `tenant` is None without tenants.
        """
        return await self._reads.results(batch_id, after, wait_s, tenant)

    async def item_body(
        self, batch_id: str, item_id: str, tenant: str | None = None
    ) -> Result[bytes, Failure]:
        """Return the request body of an item, unless its batch has ended."""
        return await self._reads.item_body(batch_id, item_id, tenant)

    def open_items(self) -> Counter[str]:
        """Return the number of items without a result of all open batches, by route."""
        return self._cache.open_items()

    async def end(
        self, batch_id: str, tenant: str | None = None
    ) -> Result[None, Failure]:
        """End a batch; its listed results can still be read."""
        return await self._submissions.end(batch_id, tenant)

    def running(self, batch_id: str) -> BatchRun | None:
        """Return the run of a batch at this instance, None if it does not run here."""
        entry = self._entries.get(batch_id)
        return entry.run if entry else None

    def _apply_rows(self, found: RowsRead, is_snapshot: bool) -> None:
        changed: dict[str, BatchEntry] = {}
        for row in found.rows:
            found_row = self._batch_store.state_row(row)
            if found_row.is_err():
                continue
            decoded = found_row.unwrap()
            batch_id = row.name.part
            if decoded is None:
                self._cache.remove(batch_id)
                changed.pop(batch_id, None)
            else:
                changed[batch_id] = self._apply_row(batch_id, decoded)
        # A feed can return several versions of a row, of which only the last one tells
        # who owns the batch now.
        for batch_id, entry in changed.items():
            claimable = entry.row.state.owner in ("", self._instance_id)
            if claimable and not self._draining and self._orphaned(batch_id, entry):
                self._start_take_over(batch_id, entry)

    def _apply_row(self, batch_id: str, row: StateRow) -> BatchEntry:
        now = self.kernel.clock.now()
        entry = self._entries.get(batch_id)
        if entry is not None and entry.is_reused_by(row):
            # What is cached belongs to the batch that had this id before.
            if entry.run is not None:
                entry.run.stop()
            self._cache.remove(batch_id)
            entry = None
        if entry is None:
            entry = self._entries[batch_id] = BatchEntry(row, now)
            if not row.state.listed and not row.state.ended:
                self._discovery.record_step(row.state.route)
        elif row.version > entry.row.version:
            entry.row = row
            entry.seen_at = now
            self._discovery.record_remote_latencies(row.state.paces)
        if entry.row.state.ended and entry.run is not None:
            entry.run.stop()
            entry.run = None
        if entry.row.state.is_final():
            # Its items and their bodies may take megabytes, and are in the store.
            entry.batch = None
        entry.changed.notify()
        return entry

    def _handle_feed_regained(self, store_was_away: bool) -> None:
        self._healthy_since = self.kernel.clock.now()

    def _start_run(self, entry, row, batch, route, listed, partials) -> None:
        """Run a batch from the state in which this instance became its owner."""
        if entry.row.version != row.version:
            # It has ended or has another owner, so `listed` may lack results.
            log.event("batch.not_started", batch.id, owner=entry.row.state.owner)
            return

        def on_state(row: StateRow, results: list[ItemResult]) -> None:
            first = row.state.listed - len(results)
            self._cache.add_results(entry, first, results)
            self._apply_row(batch.id, row)

        entry.run = BatchRun(
            self.kernel,
            self._batch_store,
            batch,
            route,
            row,
            listed,
            partials,
            on_state,
        )
        self._tasks.start_soon(self._run, entry.run)

    async def _run(self, run: BatchRun) -> None:
        """Run a batch; the trainer's next one may be given to this instance.

        After an exception, the batch is taken over from its stored state, here or by
        another instance.
        """
        try:
            await run.run()
        except Exception as exc:
            record_exception("Batches._run", exc, batch=run.batch.id)
            run.stop()
            entry = self._entries.get(run.batch.id)
            if entry is not None:
                entry.delay_resume(self.kernel.clock.now())
        entry = self._entries.get(run.batch.id)
        if entry is not None and entry.run is run and entry.row.state.is_final():
            entry.run = None
        now = self.kernel.clock.now()
        self._next_step_until = now + batch_owners.PREVIOUS_STEP_MAX_AGE_S

    async def _supervise(self) -> None:
        """Take over orphaned batches and delete expired ones, periodically."""
        clock = self.kernel.clock
        while True:
            await clock.sleep_until(clock.now() + SUPERVISE_INTERVAL_S)
            if self._draining or self._feed.lost_at is not None:
                continue
            now = clock.now()
            for batch_id, entry in list(self._entries.items()):
                with contained("Batches._supervise", batch=batch_id):
                    self._supervise_batch(batch_id, entry, now)

    def _supervise_batch(self, batch_id: str, entry: BatchEntry, now: float) -> None:
        if self._orphaned(batch_id, entry):
            self._start_take_over(batch_id, entry)
        elif not entry.pending and batch_scheduling.removal_due(
            entry.row.state.owner,
            self._instance_id,
            now - entry.known_since,
            is_final=entry.row.state.is_final(),
        ):
            entry.pending = True
            self._tasks.start_soon(self._remove, batch_id, entry)

    def _start_take_over(self, batch_id: str, entry: BatchEntry) -> None:
        entry.pending = True
        self._tasks.start_soon(self._take_over, batch_id, entry, entry.row.version)

    def _orphaned(self, batch_id: str, entry: BatchEntry) -> bool:
        state = entry.row.state
        if state.ended or state.listed >= state.total:
            return False
        if entry.pending or batch_id in self._submissions.accepting:
            return False
        if self._discovery.serving is None:
            # Without a configuration, no batch has a route.
            return False
        now = self.kernel.clock.now()
        if entry.is_running() or now < entry.resume_at:
            return False
        # An earlier process of this instance may have owned the batch.
        is_lost = state.owner == self._instance_id and entry.run is None
        is_lost = is_lost or batch_scheduling.owner_lost(
            state.owner, entry.seen_at, self._healthy_since, now
        )
        return is_lost and self._cache.has_room_to_start(entry)

    async def _take_over(
        self,
        batch_id: str,
        entry: BatchEntry,
        version: int,
        jitter_s: float = TAKE_OVER_JITTER_S,
    ) -> None:
        """Take a batch over, unless its state has changed since the given version."""
        clock = self.kernel.clock
        try:
            if entry.row.state.owner != self._instance_id:
                delay_s = random.uniform(0.0, jitter_s)
                await clock.sleep_until(clock.now() + delay_s)
            if entry.row.version != version or self._draining:
                return
            outcome = await self._batch_store.take_over(
                batch_id, entry.row, self._instance_id
            )
            if outcome.is_err() or not isinstance(outcome.unwrap(), StateRow):
                return
            row = outcome.unwrap()
            before = entry.row.state.owner
            self._apply_row(batch_id, row)
            log.event(
                "batch.taken_over",
                batch_id,
                owner_before=before,
                term=row.state.term,
                listed=row.state.listed,
            )
            await self._resume(batch_id, entry, row)
        except Exception as exc:
            record_exception("Batches._take_over", exc, batch=batch_id)
            entry.delay_resume(self.kernel.clock.now())
        finally:
            entry.pending = False

    async def _resume(self, batch_id: str, entry: BatchEntry, row: StateRow) -> None:
        """Continue a batch that was taken over, from its stored results and texts.

        `row` is the state that the takeover has written.
        """
        found = await read_progress(
            self._reads,
            self._batch_store,
            entry,
            row,
            batch_id,
            lambda first, results: self._cache.add_results(entry, first, results),
        )
        if found.is_err():
            reason = found.unwrap_err().message
            log.event("batch.not_resumed", batch_id, reason=reason)
            entry.delay_resume(self.kernel.clock.now())
            return
        batch, listed, partials = found.unwrap()
        entry.failed_resumes = 0
        confirmed = await self._confirm_route(batch, row)
        if confirmed.is_err():
            reason = confirmed.unwrap_err().message
            log.event("batch.not_resumed", batch_id, reason=reason)
            entry.delay_resume(self.kernel.clock.now())
            return
        route = confirmed.unwrap()
        if route is None:
            log.event("batch.route_gone", batch_id, route=row.state.route)
            await append_abandoned(
                self._batch_store, row, batch, listed, self._apply_row
            )
            return
        if not self._cache.has_room_to_run(entry):
            entry.batch = None
            # Its size is known only now. Another instance may have room.
            log.event("batch.waits_for_room", batch_id, items=len(batch.items))
            return
        self._start_run(entry, row, batch, route, listed, partials)

    async def _confirm_route(
        self, batch: Batch, row: StateRow
    ) -> Result[Route | None, Failure]:
        """Return the route of a batch that another instance may have accepted.

        That one may have known a newer configuration. If the route here is not the one
        that accepted the batch, the stored configuration decides.
        """
        route = route_table.match_batch(self._discovery.serving, batch)
        if route is not None and route.name == row.state.route:
            return Ok(route)
        if not await self._discovery.refresh_config():
            message = "the configuration cannot be confirmed"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        return Ok(route_table.match_batch(self._discovery.serving, batch))

    async def _remove(self, batch_id: str, entry: BatchEntry) -> None:
        try:
            outcome = await self._batch_store.remove(batch_id, entry.row)
        finally:
            entry.pending = False
        if outcome.is_err():
            reason = outcome.unwrap_err().message
            log.event("batch.not_removed", batch_id, reason=reason)
            return
        self._cache.remove(batch_id)
