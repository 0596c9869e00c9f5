"""Accept batches of trainers and end them."""

from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.services.batch_cache import BatchCache, BatchEntry
from plantainstack.services.batch_reads import record_other_tenant
from plantainstack.services.batch_store import BatchStore, StateRow
from plantainstack.services.discovery import STORE_OUTAGE_MAX_S, Discovery
from plantainstack.services.feeds import FeedReader
from plantainstack.serving import Batch, Route

# A working store answers a read within 20 ms, over a new connection too. A refusal that
# comes later is of less use to a trainer, which then tries other instances.
STORE_PROBE_TIMEOUT_S = 0.09


class BatchSubmissions:
    """Store the batches that trainers submit, and end those that they give up.

    `choose_owner` returns the instance that is to run a new batch. `start_accepted`
    is called with that instance for each batch that was stored here.
    """

    def __init__(
        self,
        clock: Clock,
        discovery: Discovery,
        batch_store: BatchStore,
        cache: BatchCache,
        feed: FeedReader,
        choose_owner: Callable[[Route], str],
        apply_row: Callable[[str, StateRow], BatchEntry],
        start_accepted: Callable[[BatchEntry, StateRow, Batch, Route, str], None],
    ):
        self._clock = clock
        self._discovery = discovery
        self._batch_store = batch_store
        self._entries = cache.entries
        self._feed = feed
        self._choose_owner = choose_owner
        self._apply_row = apply_row
        self._start_accepted = start_accepted
        # Ids of batches that are being stored. Their runs start once the store has
        # confirmed them, so until then they do not count as orphaned.
        self.accepting: set[str] = set()

    async def submit(self, batch: Batch, route: Route) -> Result[None, Failure]:
        """Store a batch and have it started.

        Returns Ok once the whole batch is stored, or at once if its id is already
        known as that of a batch that the tenant may use.
        """
        started = self._clock.now()
        entry = self._entries.get(batch.id)
        if entry is not None and self._is_open_to(entry.row, batch.tenant):
            log.event("batch.known", batch.id, version=entry.row.version)
            return Ok(None)
        if not await self._store_answers(batch.id):
            log.event("batch.refused", batch.id, reason="the store does not answer")
            message = "the store does not answer"
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, message))
        owner = self._choose_owner(route)
        self.accepting.add(batch.id)
        try:
            return await self._accept(batch, route, owner, started)
        finally:
            self.accepting.discard(batch.id)

    async def end(self, batch_id: str, tenant: str | None) -> Result[None, Failure]:
        """End a batch; its listed results can still be read."""
        known = self._entries.get(batch_id)
        if known and known.row.state.ended and known.row.state.is_open_to(tenant):
            return Ok(None)
        known_version = known.row.version if known else 0
        outcome = await self._batch_store.end(batch_id, known_version, tenant)
        if outcome.is_err():
            failure = outcome.unwrap_err()
            log.event("batch.end_failed", batch_id, reason=failure.message)
            return Err(failure)
        row = outcome.unwrap()
        if row is None or not row.state.is_open_to(tenant):
            if row is not None:
                record_other_tenant(batch_id, row.state.tenant, tenant)
            return Err(Failure.of(ErrorKind.NOT_FOUND, "the batch does not exist"))
        log.event("batch.ended", batch_id, listed=row.state.listed, version=row.version)
        self._apply_row(batch_id, row)
        return Ok(None)

    async def _store_answers(self, batch_id: str) -> bool:
        """Return whether the store answers; read a row of it if the feed is lost.

        A lost feed notices the return of a silent store up to 1.9 s late. A write could
        be done later although its submission was refused; a read has no effect.
        """
        if self._feed.lost_for(self._clock.now()) <= STORE_OUTAGE_MAX_S:
            return True
        found = None
        with anyio.move_on_after(STORE_PROBE_TIMEOUT_S):
            found = await self._batch_store.state(batch_id)
        return found is not None and found.is_ok()

    async def _accept(
        self, batch: Batch, route: Route, owner: str, started: float
    ) -> Result[None, Failure]:
        outcome = await self._batch_store.accept(batch, route.name, owner)
        seconds = round(self._clock.now() - started, 4)
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
        row, stored_here = outcome.unwrap()
        if not self._is_open_to(row, batch.tenant):
            record_other_tenant(batch.id, row.state.tenant, batch.tenant)
            message = "a batch with this id exists already"
            return Err(Failure.of(ErrorKind.CONFLICT, message))
        log.event(
            "batch.accepted",
            batch.id,
            route=route.name,
            tenant=batch.tenant,
            items=len(batch.items),
            groups_wanted=batch.groups_wanted,
            min_version=batch.min_version,
            stored_here=stored_here,
            owner=row.state.owner,
            seconds=seconds,
        )
        entry = self._apply_row(batch.id, row)
        if row.state.tenant == batch.tenant and not row.state.is_final():
            entry.keep_batch(batch)
        if stored_here:
            self._start_accepted(entry, row, batch, route, owner)
        return Ok(None)

    def _is_open_to(self, row: StateRow, tenant: str) -> bool:
        has_tenants = self._discovery.serving.tenants is not None
        return row.state.is_open_to(tenant if has_tenants else None)
