"""Fix the counts of each window in the store and report them, as the duty's holder."""

from typing import NamedTuple

import msgspec

from plantainstack import log, metrics
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.duties import DutyAnswer, DutyClient, UsageReport
from plantainstack.policy import usage
from plantainstack.policy.usage import ClockMeasurement, UsageProgress
from plantainstack.services.duties.holder import StoreDutyLease, check_delay_s
from plantainstack.services.usage.counts import (
    CLOCK_TABLE,
    COUNT_TABLE,
    PROGRESS_KEY,
    REPORT_TABLE,
    UsageCounts,
)
from plantainstack.serving import RowName, StoredRow, Transaction

# All windows are one subject: the rules for holders apply to them together.
SUBJECT = "windows"
REPORT_PREFIX = "report/"
# Interval of trying again while reports are pending.
PENDING_INTERVAL_S = 0.25
# Count rows are removed this many windows later, when no delayed write of one can
# arrive any more.
REMOVAL_LAG = 3
# Rows of one transaction; the store takes up to 100.
REMOVAL_MAX = 80

_CLOCK = msgspec.msgpack.Decoder(ClockMeasurement)
_COUNTS = msgspec.msgpack.Decoder(dict[str, int])
_REPORT = msgspec.msgpack.Decoder(UsageReport)


class _State(NamedTuple):
    """Hold what the store contains: progress, its row's version, unsent reports."""

    fence: int
    progress: UsageProgress | None
    version: int
    pending: dict[int, UsageReport]


class UsageReporter:
    """Report the usage of each window while this instance holds the duty."""

    def __init__(
        self, kernel, lease: StoreDutyLease, client: DutyClient, counts: UsageCounts
    ):
        self._clock = kernel.clock
        self._options = kernel.settings.duties
        self._store = kernel.plugin("store").metadata_store
        self._lease = lease
        self._client = client
        self._counts = counts
        self._unreadable = UnreadableRows("usage.row_not_readable")
        self._state: _State | None = None
        self._unremoved: set[int] = set()
        # Whether rows that former holders have not removed are still to be found.
        self._must_find_rows = False
        self._stopping = False

    async def run(self) -> None:
        """Hold the duty and perform it until the process stops."""
        while not self._stopping:
            held = await self._lease.acquire()
            if held:
                await self._perform()
            now = self._clock.now()
            await self._clock.sleep_until(now + self._delay_s(held, now))

    async def release(self) -> None:
        """Give the duty up; no report is sent afterwards."""
        self._stopping = True
        await self._lease.release()

    def _delay_s(self, held: bool, now: float) -> float:
        delay = check_delay_s(held)
        if not held or self._state is None or self._state.progress is None:
            return delay
        if self._state.pending:
            return PENDING_INTERVAL_S
        true_now = self._counts.true_time(now)
        next_at = usage.read_at(self._state.progress.fixed + 1, self._options)
        return min(delay, max(0.01, next_at - true_now))

    async def _perform(self) -> None:
        """Fix the windows that are due, then send the fixed ones, oldest first."""
        if self._state is None or self._state.fence != self._lease.lease.fence:
            await self._load()
        if self._state is None:
            return
        if self._state.progress is None:
            await self._begin()
            return
        true_now = self._counts.true_time(self._clock.now())
        for window in usage.due_windows(self._state.progress, true_now, self._options):
            if not await self._still_holder() or not await self._fix(window):
                return
        for window in sorted(self._state.pending):
            if not await self._still_holder() or not await self._send(window):
                return
        if self._must_find_rows:
            await self._find_rows()

    async def _still_holder(self) -> bool:
        """Renew the lease if due; return False if it was not held all the time."""
        held = await self._lease.acquire()
        return held and self._state.fence == self._lease.lease.fence

    async def _load(self) -> None:
        """Read what former holders have fixed and not sent."""
        self._state = None
        found = await self._store.read(REPORT_TABLE, "")
        if found.is_err():
            return
        progress, version = None, 0
        pending = {}
        for row in found.unwrap().rows:
            if row.name.key == PROGRESS_KEY:
                progress, version = self._counts.decode_progress(row), row.version
                if progress is None:
                    # Without the last fixed window, one could be fixed twice.
                    return
            elif (report := self._decode(_REPORT, row)) is not None:
                pending[report.window] = report
        if progress is not None:
            self._counts.offset = progress.offset
        self._state = _State(self._lease.lease.fence, progress, version, pending)
        self._must_find_rows = True

    async def _begin(self) -> None:
        """Store the shared offset as soon as the instances have announced theirs."""
        found = await self._store.read(CLOCK_TABLE, "")
        if found.is_err():
            return
        rows = found.unwrap()
        decoded = [self._decode(_CLOCK, row) for row in rows.rows]
        measured = [each for each in decoded if each is not None]
        progress = usage.begin(measured, rows.store_now, self._options)
        if progress is None:
            return
        if await self._write(progress, {}):
            log.event(
                "usage.offset_set",
                offset=progress.offset,
                instances=len(measured),
                first=progress.fixed + 1,
            )
            self._counts.offset = progress.offset

    async def _fix(self, window: int) -> bool:
        """Store the sums of a window; return False if they may not be stored."""
        rows = await self._count_rows(window)
        if rows is None:
            return False
        decoded = [self._decode(_COUNTS, row) for row in rows]
        counts = usage.merge_counts(each for each in decoded if each is not None)
        report = UsageReport(window, counts)
        progress = self._state.progress._replace(fixed=window)
        if not await self._write(progress, {window: report}):
            return False
        metrics.USAGE_WINDOWS.labels("fixed").inc()
        log.event("usage.window_fixed", window=window, rows=len(decoded), counts=counts)
        return True

    async def _write(
        self, progress: UsageProgress, reports: dict[int, UsageReport]
    ) -> bool:
        """Store progress and new reports, unless another holder has done so.

        Without an answer they may have been stored, so they are read again.
        """
        state, self._state = self._state, None
        name = RowName(REPORT_TABLE, "", PROGRESS_KEY)
        puts = [(name, msgspec.msgpack.encode(progress))]
        for window, report in reports.items():
            puts.append((_report_row(window), msgspec.msgpack.encode(report)))
        outcome = await self._store.transact(
            Transaction(expected=((name, state.version),), puts=tuple(puts))
        )
        done = outcome.ok()
        if done is None or not done.applied:
            return False
        pending = state.pending | reports
        self._state = state._replace(
            progress=progress, version=done.version, pending=pending
        )
        return True

    async def _send(self, window: int) -> bool:
        """Send a report until it is answered; return whether it was."""
        grant = await self._lease.grant(SUBJECT)
        if grant is None:
            return False
        outcome = await self._client.report_usage(self._state.pending[window], grant)
        if outcome.is_err():
            return False
        true_now = self._counts.true_time(self._clock.now())
        late_s = true_now - usage.end_of(window, self._options)
        step = "late" if late_s > self._options.usage_due else "sent"
        if outcome.unwrap() is not DutyAnswer.ACCEPTED:
            step = "refused"
        metrics.USAGE_WINDOWS.labels(step).inc()
        log.event(
            "usage.window_sent", window=window, step=step, after_s=round(late_s, 2)
        )
        self._unremoved.add(window - REMOVAL_LAG)
        await self._remove_counts()
        removed = await self._store.transact(
            Transaction(removed=(_report_row(window),))
        )
        if removed.is_ok():
            del self._state.pending[window]
        return removed.is_ok()

    async def _find_rows(self) -> None:
        """Find the counts of old windows; they are removed after the next report."""
        found = await self._store.table_rows(COUNT_TABLE)
        if found.is_err():
            return
        self._must_find_rows = False
        last = self._state.progress.fixed - REMOVAL_LAG
        windows = {
            usage.window_of_part(row.name.part)
            for row in found.unwrap().rows
            if row.value is not None
        }
        self._unremoved |= {window for window in windows if window <= last}

    async def _remove_counts(self) -> None:
        for window in sorted(self._unremoved):
            rows = await self._count_rows(window)
            if rows is None:
                return
            for part in usage.count_parts(window):
                names = [row.name for row in rows if row.name.part == part]
                for first in range(0, len(names), REMOVAL_MAX):
                    some = tuple(names[first : first + REMOVAL_MAX])
                    if (await self._store.transact(Transaction(removed=some))).is_err():
                        return
            self._unremoved.discard(window)

    async def _count_rows(self, window: int) -> list[StoredRow] | None:
        """Return the counts of all instances, None if the store did not answer."""
        rows: list[StoredRow] = []
        for part in usage.count_parts(window):
            found = await self._store.read(COUNT_TABLE, part)
            if found.is_err():
                return None
            rows += found.unwrap().rows
        return rows

    def _decode(self, decoder, row: StoredRow):
        """Decode a row, or log why this is not possible and return None."""
        found = decode(decoder, row.value)
        if found.is_err():
            self._unreadable.record(row, found.unwrap_err())
        return found.ok()


def _report_row(window: int) -> RowName:
    return RowName(REPORT_TABLE, "", f"{REPORT_PREFIX}{window:020d}")
