"""Count the requests of tenants, and store the counts of each window."""

import random

import anyio
import msgspec

from plantainstack import log, metrics
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.policy import usage
from plantainstack.policy.order_lease import StoreClock
from plantainstack.policy.usage import ClockMeasurement, UsageProgress, WindowCounts
from plantainstack.serving import RowName, StoredRow, Transaction

COUNT_TABLE = "usage_counts"
CLOCK_TABLE = "usage_clocks"
REPORT_TABLE = "usage_reports"
PROGRESS_KEY = "progress"
# Spread of the first writes of all instances, which go to one partition.
ANNOUNCE_SPREAD_S = 1.5
RETRY_S = 0.3
# Interval of looking for the shared offset, as long as there is none.
OFFSET_INTERVAL_S = 1.0
# Requests that are kept until the shared offset is known.
EARLY_MAX = 100_000
# Time for storing the last counts at a planned stop.
STOP_LIMIT_S = 1.5

_PROGRESS = msgspec.msgpack.Decoder(UsageProgress)


class UsageCounts:
    """Count the requests that this instance began, by the windows of all instances.

    `store_clock` is kept up to date by the reads of the duty's lease.
    """

    def __init__(self, kernel, store_clock: StoreClock):
        self._clock = kernel.clock
        self._options = kernel.settings.duties
        self._store = kernel.plugin("store").metadata_store
        self._id = f"{kernel.settings.instance.id}/{kernel.incarnation}"
        self._store_clock = store_clock
        self._unreadable = UnreadableRows("usage.row_not_readable")
        self._counts = WindowCounts()
        self._early: list[tuple[str, float]] = []
        self._rows_written = 0
        self._shard = random.randrange(usage.COUNT_SHARDS)
        self.offset: float | None = None

    def record(self, tenant: str, began_at: float) -> None:
        """Count one request; `began_at` is a time on the process's clock."""
        true_at = self.true_time(began_at)
        if true_at is not None:
            self._counts.add(usage.window_of(true_at, self._options), tenant)
        elif len(self._early) < EARLY_MAX:
            self._early.append((tenant, began_at))
        else:
            metrics.USAGE_OMITTED.inc()

    def true_time(self, at: float) -> float | None:
        """Convert a time on the process's clock, None while the offset is unknown."""
        if self.offset is None or not self._store_clock.earliest(at):
            return None
        middle = (self._store_clock.earliest(at) + self._store_clock.latest(at)) / 2
        return middle + self.offset

    def decode_progress(self, row: StoredRow) -> UsageProgress | None:
        """Decode the row of the shared progress, or log why this is not possible."""
        found = decode(_PROGRESS, row.value)
        if found.is_err():
            self._unreadable.record(row, found.unwrap_err())
        return found.ok()

    async def run(self) -> None:
        """Learn the shared offset, then store the counts of each window."""
        await self._learn_offset()
        while (true_now := self.true_time(self._clock.now())) is None:
            await self._sleep(RETRY_S)
        window = usage.window_of(true_now, self._options)
        while True:
            for low, high in usage.STORE_SHARES:
                delay = random.uniform(low, high) * self._options.usage_due
                await self._sleep_until_true(
                    usage.end_of(window, self._options) + delay
                )
                await self._store_windows(window)
            now = usage.window_of(self.true_time(self._clock.now()), self._options)
            # After a pause, the windows that have ended since were stored together.
            window = max(window + 1, now - 1)

    async def store_last(self) -> None:
        """Store all counts at a planned stop, those of the running window as well."""
        true_now = self.true_time(self._clock.now())
        if true_now is None:
            return
        with anyio.move_on_after(STOP_LIMIT_S):
            await self._store_windows(usage.window_of(true_now, self._options))

    async def _learn_offset(self) -> None:
        """Read the shared offset; announce this instance's clock if there is none."""
        announced = False
        while self.offset is None:
            sent_at = self._clock.now()
            found = await self._store.read(
                REPORT_TABLE, "", PROGRESS_KEY, f"{PROGRESS_KEY}\0"
            )
            if found.is_err():
                await self._sleep(RETRY_S)
                continue
            rows = found.unwrap()
            progress = [self.decode_progress(row) for row in rows.rows]
            if progress and progress[0] is not None:
                self.offset = progress[0].offset
            elif not progress and not announced:
                middle = (sent_at + self._clock.now()) / 2
                wall = self._clock.wall_from_deadline(middle)
                announced = await self._announce(
                    ClockMeasurement(rows.store_now, wall - rows.store_now)
                )
            else:
                await self._sleep(random.uniform(0.5, 1.5) * OFFSET_INTERVAL_S)
        early, self._early = self._early, []
        while self.true_time(self._clock.now()) is None:
            await self._sleep(RETRY_S)
        for tenant, began_at in early:
            self.record(tenant, began_at)

    async def _announce(self, measured: ClockMeasurement) -> bool:
        await self._sleep(random.uniform(0.0, ANNOUNCE_SPREAD_S))
        name = RowName(CLOCK_TABLE, "", self._id)
        outcome = await self._store.transact(
            Transaction(puts=((name, msgspec.msgpack.encode(measured)),))
        )
        if outcome.is_err():
            await self._sleep(RETRY_S)
        return outcome.is_ok()

    async def _store_windows(self, last: int) -> None:
        for window in self._counts.windows(last):
            counts = self._counts.take(window)
            if not await self._store_counts(window, counts):
                metrics.USAGE_OMITTED.inc(sum(counts.values()))
                log.event("usage.counts_omitted", window=window, counts=counts)

    async def _store_counts(self, window: int, counts: dict[str, int]) -> bool:
        """Store counts until they are read; a repeated write changes nothing."""
        self._rows_written += 1
        key = f"{self._id}/{self._rows_written}"
        name = RowName(COUNT_TABLE, usage.count_parts(window)[self._shard], key)
        transaction = Transaction(puts=((name, msgspec.msgpack.encode(counts)),))
        while True:
            true_now = self.true_time(self._clock.now())
            if true_now >= usage.read_at(window, self._options):
                return False
            if (await self._store.transact(transaction)).is_ok():
                return True
            await self._sleep(RETRY_S)

    async def _sleep(self, seconds: float) -> None:
        await self._clock.sleep_until(self._clock.now() + seconds)

    async def _sleep_until_true(self, true_at: float) -> None:
        now = self._clock.now()
        await self._clock.sleep_until(now + true_at - self.true_time(now))
