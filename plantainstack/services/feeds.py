"""Read feeds of changes from the metadata store."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from result import Err, Result

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.decoding import REASON_CHARACTERS_MAX
from plantainstack.errors import ErrorKind, Failure
from plantainstack.serving import Cursor, HistoryLost, MetadataStore, RowsRead
from plantainstack.tasks import record_exception

# Usual maximum duration of a long poll. It is short so that a dead connection is
# detected within 1.5 s.
POLL_WAIT_S = 0.6
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# 2 to the power of 1024 is too large for a float.
RETRY_DOUBLINGS_MAX = 10

# How many store versions before the newest one a read of recent rows begins. The first
# value covers several seconds at some hundred transactions a second, and the store
# keeps a history of 20 s; the second one is used if the store has just dropped it.
RECENT_VERSIONS = (2000, 100)

Read = Callable[[Cursor | None, float], Awaitable[Result[Any, Failure]]]


async def recent_rows(
    store: MetadataStore, table: str
) -> Result[RowsRead | HistoryLost, Failure]:
    """Return the recently changed rows of a table and a cursor for the feed after them.

    Two or three calls find all rows that are being written, whereas reading the whole
    table needs one call per partition.
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
    """Read a feed by long polling and keep the cursor.

    If the store no longer has the history after the cursor, the feed starts again
    from a snapshot. `apply` is called with the changes and whether they are a
    snapshot; it may return False to say that what is known now is not what the store
    has. `pause_s` returns the pause before the next read, which combines changes
    in quick succession into one response. `wait_s` is the duration of a long poll.
    `on_regained` is called with whether the store itself may have been away: a single
    failure can be that of an open connection, for which a new one is used afterwards.
    Changes have a method `split`, which returns each of them alone; they are applied
    in this way if `apply` fails for all of them together.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        read: Read,
        apply: Callable[[Any, bool], bool | None],
        pause_s: Callable[[], float],
        on_regained: Callable[[bool], None] = lambda store_was_away: None,
        wait_s: float = POLL_WAIT_S,
    ):
        self._name = name
        self._clock = clock
        self._read = read
        self._apply = apply
        self._pause_s = pause_s
        self._on_regained = on_regained
        self._wait_s = wait_s
        self._cursor: Cursor | None = None
        self._failures = 0
        self._due = anyio.Event()
        self.lost_at: float | None = None
        self.answered_at: float | None = None
        # Time at which the last read began whose changes have been applied: what was
        # written before it is known.
        self.current_as_of: float | None = None

    def lost_for(self, now: float) -> float:
        """Return for how many seconds the feed has been failing, or 0."""
        return 0.0 if self.lost_at is None else now - self.lost_at

    async def run(self) -> None:
        """Read the feed until cancelled, with a random back-off after failures."""
        while True:
            started = self._clock.now()
            outcome = await self._read_changes()
            if outcome.is_err():
                self._handle_failure(outcome.unwrap_err())
                await self._back_off()
                continue
            self._handle_success()
            if self._apply_changes(outcome.unwrap()):
                self.current_as_of = started
            await self._pause()

    async def _read_changes(self) -> Result[Any, Failure]:
        try:
            return await self._read(self._cursor, self._wait_s)
        except Exception as exc:
            record_exception("FeedReader._read", exc, feed=self._name)
            return Err(Failure.of(ErrorKind.INTERNAL, _reason(exc)))

    def read_now(self) -> None:
        """End the pause before the next read."""
        self._due.set()

    async def _pause(self) -> None:
        with anyio.move_on_after(self._pause_s()):
            await self._due.wait()
        self._due = anyio.Event()

    def _apply_changes(self, found) -> bool:
        """Apply an answer; return whether the present rows are known after it."""
        if isinstance(found, HistoryLost):
            log.event("feed.history_lost", feed=self._name, cursor=self._cursor)
            self._cursor = None
            return False
        is_snapshot = self._cursor is None
        self._cursor = found.cursor if is_snapshot else max(self._cursor, found.cursor)
        try:
            return self._apply(found, is_snapshot) is not False
        except Exception as exc:
            self._log_not_applied(exc)
            self._apply_singly(found)
            return False

    def _apply_singly(self, found) -> None:
        """Apply each change of an answer alone, so that one costs itself only."""
        for change in found.split():
            try:
                self._apply(change, False)
            except Exception as exc:
                self._log_not_applied(exc)

    def _log_not_applied(self, exc: Exception) -> None:
        record_exception("FeedReader._apply", exc, feed=self._name)
        metrics.FEED_FAILURES.labels(self._name).inc()
        log.event("feed.not_applied", feed=self._name, reason=_reason(exc))

    def _handle_failure(self, failure: Failure) -> None:
        self._failures += 1
        metrics.FEED_FAILURES.labels(self._name).inc()
        if self.lost_at is None:
            self.lost_at = self._clock.now()
            log.event("feed.lost", feed=self._name, reason=failure.message)

    def _handle_success(self) -> None:
        now = self._clock.now()
        if self.lost_at is not None:
            log.event(
                "feed.regained",
                feed=self._name,
                lost_for_s=round(now - self.lost_at, 3),
                failures=self._failures,
            )
            self.lost_at = None
            self._on_regained(self._failures > 1)
        self._failures = 0
        self.answered_at = now

    async def _back_off(self) -> None:
        doublings = min(self._failures, RETRY_DOUBLINGS_MAX)
        longest = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
        wait = random.uniform(RETRY_MIN_S, longest)
        await self._clock.sleep_until(self._clock.now() + wait)


def _reason(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"[:REASON_CHARACTERS_MAX]


class ChangeNotifier:
    """Wake all tasks that wait for a change."""

    def __init__(self):
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the tasks that are waiting now."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, seconds: float) -> bool:
        """Wait for the next change; return False if none came within `seconds`."""
        event = self._event
        with anyio.move_on_after(seconds):
            await event.wait()
        return event.is_set()
