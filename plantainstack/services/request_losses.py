"""Plug-in that shares which endpoints were lost under which requests."""

import random
from collections.abc import Iterable

import anyio

from plantainstack import log, metrics
from plantainstack.plugins import Plugin
from plantainstack.policy.quarantine import LossRecords, endpoint_key
from plantainstack.services.feeds import FeedReader
from plantainstack.serving import Endpoint, RowName, RowsRead, Transaction

LOSS_TABLE = "request_losses"
# Losses are rare, so that long polls of the feed cost little. They are still shorter
# than the time within which an instance has to act on a loss at another one.
FEED_WAIT_S = 2.0
# Combines the losses of one crash into one response of the feed.
FEED_PAUSE_S = 0.02
# A client waits this long for the loss to be stored before it gets its answer, so
# that the loss is known where it repeats the request.
SHARE_WAIT_S = 0.3
# Delay before a loss that could not be stored is written again, and the bound on those
# that are being written: an outage of a whole service concerns all of its requests.
SHARE_RETRY_S = 0.5
SHARE_TRIES = 120
SHARING_MAX = 32
EXPIRY_INTERVAL_S = 60.0
# All instances that answered a request learn at once of a loss under it. One of them
# removes the loss, and the others see that within this time.
REMOVAL_SPREAD_S = 2.0


class RequestLosses(Plugin):
    """Keep the records of requests under which endpoints were lost."""

    name = "request_losses"
    requires = ("store",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._rng = random.Random()
        self.records = LossRecords(self._rng)
        self._clock = kernel.clock
        self._sharing = 0
        # Losses at other instances under requests that were answered here.
        self._disproved: dict[str, set[str]] = {}
        self._tasks = None

    async def start(self, tasks) -> None:
        """Start to follow the losses at other instances."""
        self._store = self.kernel.plugin("store").metadata_store
        self._tasks = tasks
        feed = FeedReader(
            "losses",
            self._clock,
            self._read,
            self._apply_rows,
            lambda: FEED_PAUSE_S,
            wait_s=FEED_WAIT_S,
        )
        tasks.start_loop(feed.run)
        tasks.start_loop(self._expire)

    async def drain(self, deadline: float) -> None:
        """Wait until all losses are stored, at most until the deadline."""
        while self._sharing and self._clock.now() < deadline:
            await self._clock.sleep_until(self._clock.now() + FEED_PAUSE_S)

    def record(self, digest: str, request_id: str, endpoint: Endpoint) -> None:
        """Record that an endpoint was lost while it had a request."""
        if self._add(digest, endpoint_key(endpoint)):
            log.event(
                "request.endpoint_lost",
                request_id,
                digest=digest,
                endpoint=endpoint.id,
                losses=len(self.records.get(digest).lost),
            )

    async def settle(
        self, digest: str, request_id: str, lost: Iterable[Endpoint], answered: bool
    ) -> None:
        """Clear the losses of an answered request, or share those of a failed one.

        A request that was answered in the end was only in flight at a crash. Nothing
        is written for it unless another instance has shared a loss.
        """
        keys = [endpoint_key(each) for each in lost]
        now = self._clock.now()
        if answered:
            self.records.record_answer(digest, now)
            if self.records.get(digest).lost:
                self._clear(digest, keys)
        elif keys and self.records.was_answered(digest, now):
            log.event("request.losses_ignored", request_id, digest=digest, losses=keys)
        elif keys:
            await self._share(digest, request_id, keys)

    def _clear(self, digest: str, own: list[str]) -> None:
        self.records.discard(digest, own)
        shared = self.records.get(digest).lost
        if shared:
            self.records.discard(digest, shared)
            names = tuple(RowName(LOSS_TABLE, digest, key) for key in shared)
            self._tasks.start_soon(self._write, digest, Transaction(removed=names))
            log.event("request.losses_cleared", digest=digest, losses=len(shared))
        self._update_metrics()

    async def _share(self, digest: str, request_id: str, keys: list[str]) -> None:
        if self._sharing >= SHARING_MAX:
            log.event("request.loss_not_shared", request_id, digest=digest)
            return
        stored = anyio.Event()
        self._sharing += 1
        puts = tuple((RowName(LOSS_TABLE, digest, key), b"1") for key in keys)
        self._tasks.start_soon(self._store_losses, digest, puts, stored)
        with anyio.move_on_after(SHARE_WAIT_S, shield=True):
            await stored.wait()

    async def _store_losses(self, digest: str, puts, stored: anyio.Event) -> None:
        try:
            for _ in range(SHARE_TRIES):
                if await self._write(digest, Transaction(puts=puts)):
                    return
                await self._clock.sleep_until(self._clock.now() + SHARE_RETRY_S)
        finally:
            self._sharing -= 1
            stored.set()

    async def _write(self, digest: str, transaction: Transaction) -> bool:
        outcome = await self._store.transact(transaction)
        if outcome.is_err():
            reason = outcome.unwrap_err().message
            log.event("request.losses_not_stored", digest=digest, reason=reason)
        return outcome.is_ok()

    async def _read(self, cursor, wait_s: float):
        if cursor is None:
            return await self._store.table_rows(LOSS_TABLE)
        return await self._store.rows_changed(LOSS_TABLE, cursor, wait_s)

    def _apply_rows(self, found: RowsRead, is_snapshot: bool) -> None:
        for row in found.rows:
            digest, key = row.name.part, row.name.key
            if row.value is None:
                self.records.discard(digest, [key])
                self._disproved.get(digest, set()).discard(key)
            elif self.records.was_answered(digest, self._clock.now()):
                self._disprove(digest, key)
            else:
                self._add(digest, key)
        self._update_metrics()

    def _disprove(self, digest: str, key: str) -> None:
        """Remove a loss under a request that was answered here."""
        if digest not in self._disproved:
            self._disproved[digest] = set()
            self._tasks.start_soon(self._remove_disproved, digest)
        self._disproved[digest].add(key)

    async def _remove_disproved(self, digest: str) -> None:
        wait_s = self._rng.uniform(0.0, REMOVAL_SPREAD_S)
        await self._clock.sleep_until(self._clock.now() + wait_s)
        keys = self._disproved.pop(digest)
        if keys:
            log.event("request.losses_cleared", digest=digest, losses=len(keys))
            names = tuple(RowName(LOSS_TABLE, digest, key) for key in keys)
            await self._write(digest, Transaction(removed=names))

    def _add(self, digest: str, key: str) -> bool:
        added = self.records.add(digest, key, self._clock.now())
        self._update_metrics()
        return added

    def _update_metrics(self) -> None:
        metrics.REQUESTS_WITH_LOSSES.set(self.records.count())

    async def _expire(self) -> None:
        """Remove old records; at any instance, spread so that one does most of it."""
        while True:
            wait_s = EXPIRY_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now() + wait_s)
            for digest in self.records.expired(self._clock.now()):
                lost = self.records.get(digest).lost
                self.records.discard(digest, lost)
                names = tuple(RowName(LOSS_TABLE, digest, key) for key in lost)
                await self._write(digest, Transaction(removed=names))
            self._update_metrics()
