"""Answer readers of batches."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import anyio
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy.tenant_admission import RefusalReason
from plantainstack.services.batch_cache import BatchCache, BatchEntry
from plantainstack.services.batch_loading import BatchLoader
from plantainstack.services.batch_store import BatchStore, StateRow
from plantainstack.services.feeds import FeedReader
from plantainstack.services.shared_calls import SharedCalls
from plantainstack.serving import Batch, ItemResult
from plantainstack.tasks import TaskRunner

PAGE_RESULTS = 64
# Timeout for confirming a state; after it, the read fails and the reader can try
# another instance. A working store responds within 0.3 s.
STATE_READ_TIMEOUT_S = 0.7
# Two calls of the store, and the wait for another object to be received.
LOAD_TIMEOUT_S = 5.0


class ReadSource(StrEnum):
    """State what an answer to a reader is based on."""

    MEMORY = "memory"
    STORE = "store"


class ResultPage(NamedTuple):
    """Hold some results of a batch and the total number of its items."""

    total: int
    results: list[ItemResult]
    source: ReadSource


def record_other_tenant(batch_id: str, owner: str, tenant: str) -> None:
    """Record that a batch was refused to a tenant that it does not belong to."""
    metrics.KEY_REFUSALS.labels(RefusalReason.OTHER_TENANT.value).inc()
    log.event("batch.of_other_tenant", batch_id, belongs_to=owner, tenant=tenant)


class BatchReads:
    """Answer reads of results and of request bodies at any instance.

    What this instance remembers of a batch may be out of date, also while its feed
    works and while it runs the batch. Memory therefore answers only with what cannot
    change: a listed result, and the state of a batch that is complete or has ended.
    That something does not exist is answered once the store has confirmed it after
    the request came.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: TaskRunner,
        batch_store: BatchStore,
        loader: BatchLoader,
        cache: BatchCache,
        feed: FeedReader,
        apply_row: Callable[[str, StateRow], BatchEntry],
    ):
        self._clock = clock
        self._batch_store = batch_store
        self._loader = loader
        self._cache = cache
        self._feed = feed
        self._apply_row = apply_row
        self._loads = SharedCalls(tasks, self._load, LOAD_TIMEOUT_S)
        self._present = SharedCalls(tasks, self._read_present, STATE_READ_TIMEOUT_S)
        self.waiting = 0

    async def results(
        self, batch_id: str, after: int, wait_s: float, tenant: str | None
    ) -> Result[ResultPage, Failure]:
        """Return results from the position `after` on, if the tenant may read them.

        Waits up to `wait_s` for the first of them.
        """
        started = self._clock.now()
        found = await self._results(batch_id, after, wait_s, tenant)
        page = found.ok()
        entry = self._cache.entries.get(batch_id)
        now = self._clock.now()
        log.event(
            "batch.read",
            batch_id,
            after=after,
            results=len(page.results) if page else None,
            source=page.source.value if page else None,
            listed=entry.row.state.listed if entry else None,
            version=entry.row.version if entry else None,
            row_age_s=round(now - entry.seen_at, 3) if entry else None,
            feed_age_s=self._feed_age_s(now),
            running=entry is not None and entry.is_running(),
            seconds=round(now - started, 3),
            reason=found.unwrap_err().message if found.is_err() else "",
        )
        return found

    async def item_body(
        self, batch_id: str, item_id: str, tenant: str | None
    ) -> Result[bytes, Failure]:
        """Return the request body of an item, unless its batch has ended."""
        entry = self._known(batch_id, tenant)
        if entry is None:
            found = await self._confirm_for(batch_id, tenant)
            if found.is_err():
                return found
            entry = found.unwrap()
        if entry.row.state.ended:
            return Err(Failure.of(ErrorKind.NOT_FOUND, "the batch has ended"))
        loaded = await self.load_batch(entry, batch_id)
        if loaded.is_err():
            return Err(loaded.unwrap_err()._replace(outcome=Outcome.NOT_RUN))
        for item in loaded.unwrap().items:
            if item.id == item_id:
                return Ok(item.body)
        return Err(
            Failure.of(ErrorKind.NOT_FOUND, "the batch has no item with this id")
        )

    async def load_batch(
        self, entry: BatchEntry, batch_id: str
    ) -> Result[Batch, Failure]:
        """Return a batch with its items, from the store if it is not cached."""
        if entry.batch is not None:
            return Ok(entry.batch)
        found = await self._loads.call(batch_id)
        if found is None:
            message = f"batch {batch_id} was not read in time"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        return found

    async def _load(self, batch_id: str) -> Result[Batch, Failure]:
        entry = self._cache.entries.get(batch_id)
        if entry is None:
            return Err(_no_batch())
        if entry.batch is not None:
            return Ok(entry.batch)
        found = await self._loader.load(batch_id, entry.row.state.tenant)
        if found.is_ok() and not entry.row.state.is_final():
            entry.keep_batch(found.unwrap())
        return found

    async def _results(
        self, batch_id: str, after: int, wait_s: float, tenant: str | None
    ) -> Result[ResultPage, Failure]:
        wait_until = self._clock.now() + wait_s
        source = ReadSource.MEMORY
        entry = self._known(batch_id, tenant)
        if entry is None or self._is_wait_useless(entry, after):
            found = await self._confirm_for(batch_id, tenant)
            if found.is_err():
                return found
            entry = found.unwrap()
            source = ReadSource.STORE if wait_s <= 0.0 else ReadSource.MEMORY
        await self._wait_for_results(entry, after, wait_until)
        is_open = not entry.row.state.is_final()
        if after >= entry.row.state.listed and is_open and source is ReadSource.MEMORY:
            found = await self._confirm_for(batch_id, tenant)
            if found.is_err():
                return found
            entry = found.unwrap()
            source = ReadSource.STORE
        if after >= entry.row.state.listed:
            return Ok(ResultPage(entry.row.state.total, [], source))
        return await self._read_page(entry, batch_id, after, tenant)

    def _known(self, batch_id: str, tenant: str | None) -> BatchEntry | None:
        """Return a batch that this instance remembers as one that the tenant may use.

        The batch of another tenant may have been removed, and its id used again.
        """
        entry = self._cache.entries.get(batch_id)
        return entry if entry and entry.row.state.is_open_to(tenant) else None

    def _is_wait_useless(self, entry: BatchEntry, after: int) -> bool:
        """Return whether no notice of a result can come, unless the store is back."""
        is_missing = after >= entry.row.state.listed and not entry.row.state.is_final()
        return is_missing and self._feed.lost_at is not None

    async def _wait_for_results(
        self, entry: BatchEntry, after: int, wait_until: float
    ) -> None:
        self.waiting += 1
        try:
            while (
                after >= entry.row.state.listed
                and not entry.row.state.is_final()
                and (left := wait_until - self._clock.now()) > 0
            ):
                await entry.changed.wait(left)
        finally:
            self.waiting -= 1

    async def _read_page(
        self, entry: BatchEntry, batch_id: str, after: int, tenant: str | None
    ) -> Result[ResultPage, Failure]:
        """Return listed results; at least one, since a listed result must exist."""
        count = min(PAGE_RESULTS, entry.row.state.listed - after)
        source = ReadSource.MEMORY
        failure = None
        page = []
        if any(after + number not in entry.results for number in range(count)):
            found = await self._batch_store.results(
                batch_id, after, count, entry.row.version
            )
            if found.is_ok() and tenant is not None:
                # The id may be that of another tenant's batch by now; its results
                # are stored only after its state.
                confirmed = await self._confirm_for(batch_id, tenant)
                if confirmed.is_err():
                    return confirmed
            if found.is_ok():
                page = found.unwrap()
                self._cache.add_results(entry, after, page)
                source = ReadSource.STORE
            else:
                failure = found.unwrap_err()
        while len(page) < count and (result := entry.result(after + len(page))):
            page.append(result)
        if page:
            return Ok(ResultPage(entry.row.state.total, page, source))
        message = failure.message if failure else "the store lacks a listed result"
        return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))

    async def _confirm_for(
        self, batch_id: str, tenant: str | None
    ) -> Result[BatchEntry, Failure]:
        """Return what `_confirm` does, but NOT_FOUND for a batch of another tenant."""
        found = await self._confirm(batch_id)
        if found.is_err() or found.unwrap().row.state.is_open_to(tenant):
            return found
        record_other_tenant(batch_id, found.unwrap().row.state.tenant, tenant)
        return Err(_no_batch())

    async def _confirm(self, batch_id: str) -> Result[BatchEntry, Failure]:
        """Return a batch in the state that the store had after this call began."""
        found = None
        with anyio.move_on_after(STATE_READ_TIMEOUT_S):
            found = await self._present.call(batch_id)
        if found is None or found.is_err():
            reason = found.unwrap_err().message if found else "no answer in time"
            log.event("batch.not_confirmed", batch_id, reason=reason)
            message = "the store does not answer"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        row = found.unwrap()
        if row is None:
            return Err(_no_batch())
        return Ok(self._apply_row(batch_id, row))

    async def _read_present(self, batch_id: str) -> Result[StateRow | None, Failure]:
        entry = self._cache.entries.get(batch_id)
        version = entry.row.version if entry else 0
        found = await self._batch_store.state(batch_id, version)
        end = found.unwrap_err().kind.value if found.is_err() else "ok"
        metrics.BATCH_CONFIRMATIONS.labels(end).inc()
        return found

    def _feed_age_s(self, now: float) -> float | None:
        answered_at = self._feed.answered_at
        return None if answered_at is None else round(now - answered_at, 3)


def _no_batch() -> Failure:
    return Failure.of(ErrorKind.NOT_FOUND, "the batch does not exist")
