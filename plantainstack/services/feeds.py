"""Follow what changes in the metadata store."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from result import Result

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.errors import Failure
from plantainstack.serving import Cursor, HistoryLost, MetadataStore, RowsRead

# A long poll is answered at least this often, so that a connection that went
# silent is noticed within 1.5 s.
WAIT_S = 0.6
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5

# Transactions of the last seconds, within a history of 20 s at some hundred a second;
# the second distance is for a store that has just dropped its history.
RECENT_VERSIONS = (2000, 100)

Read = Callable[[Cursor | None, float], Awaitable[Result[Any, Failure]]]


async def recent_rows(
    store: MetadataStore, table: str
) -> Result[RowsRead | HistoryLost, Failure]:
    """Return the rows of a table that changed lately, with a cursor to go on from.

    Two or three calls show all that is being written; a whole table takes a call
    for each part.
    """
    found = await store.read(table, "")
    if found.is_err():
        return found
    newest = found.unwrap().cursor
    for distance in RECENT_VERSIONS:
        outcome = await store.rows_changed(table, max(0, newest - distance), 0.0)
        if outcome.is_err() or isinstance(outcome.unwrap(), RowsRead):
            return outcome
    return found


class FeedReader:
    """Read a feed for ever; a cursor that the store forgot leads to a new snapshot.

    `apply` gets the changes and whether they are the whole state. `pause_s` joins
    changes that follow each other closely into one answer.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        read: Read,
        apply: Callable[[Any, bool], None],
        pause_s: Callable[[], float],
        on_regained: Callable[[], None] = lambda: None,
    ):
        self._name = name
        self._clock = clock
        self._read = read
        self._apply = apply
        self._pause_s = pause_s
        self._on_regained = on_regained
        self._cursor: Cursor | None = None
        self._failures = 0
        self.lost_at: float | None = None
        self.answered_at: float | None = None

    def lost_for(self, now: float) -> float:
        """Return the seconds since the feed failed, 0 while it is answered."""
        return 0.0 if self.lost_at is None else now - self.lost_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            outcome = await self._read(self._cursor, WAIT_S)
            if outcome.is_err():
                self._note_failure(outcome.unwrap_err())
                await self._back_off()
                continue
            self._note_answer()
            self._take(outcome.unwrap())
            await self._clock.sleep_until(self._clock.now() + self._pause_s())

    def _take(self, found) -> None:
        if isinstance(found, HistoryLost):
            log.event("feed.history_lost", feed=self._name, cursor=self._cursor)
            self._cursor = None
            return
        whole = self._cursor is None
        self._cursor = found.cursor if whole else max(self._cursor, found.cursor)
        self._apply(found, whole)

    def _note_failure(self, failure: Failure) -> None:
        self._failures += 1
        metrics.FEED_FAILURES.labels(self._name).inc()
        if self.lost_at is None:
            self.lost_at = self._clock.now()
            log.event("feed.lost", feed=self._name, reason=failure.message)

    def _note_answer(self) -> None:
        now = self._clock.now()
        if self.lost_at is not None:
            log.event(
                "feed.regained",
                feed=self._name,
                lost_for_s=round(now - self.lost_at, 3),
            )
            self.lost_at = None
            self._on_regained()
        self._failures = 0
        self.answered_at = now

    async def _back_off(self) -> None:
        longest = min(RETRY_MAX_S, RETRY_MIN_S * 2**self._failures)
        wait = random.uniform(RETRY_MIN_S, longest)
        await self._clock.sleep_until(self._clock.now() + wait)


class ChangeNotifier:
    """Wake everyone who waits for a change."""

    def __init__(self):
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all that wait now."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, seconds: float) -> bool:
        """Wait for the next change; return whether it came in time."""
        event = self._event
        with anyio.move_on_after(seconds):
            await event.wait()
        return event.is_set()
