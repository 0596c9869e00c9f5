"""Plug-in `leases`: acquires, renews and releases this instance's leases."""

from result import Err, Ok, Result

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import Mutation, Row, RowValue, TableService
from plantainstack.plugins import Plugin
from plantainstack.policy.leases import HeldLease, LeaseTerms, LeaseTracker, holder_name
from plantainstack.requests import new_id

RENEWAL_INTERVAL_S = 0.5


class LeaseClient:
    """Client of the leases in the table service; renewals share one commit."""

    def __init__(self, table: TableService, clock: Clock, tracker: LeaseTracker):
        self.table = table
        self.clock = clock
        self.tracker = tracker

    async def acquire(
        self,
        key: str,
        fence_key: str | None = None,
        wait: float = 0.0,
        data: RowValue | None = None,
        holder_gone: bool = False,
    ) -> Result[HeldLease, Failure]:
        """Acquire a lease that is free or expired, else fail with `lease_lost`.

        `wait` is the additional time, in seconds, by which it must have expired.
        `holder_gone` skips the wait for expiry, which is safe only if every write
        under the lease is checked against its fencing row.
        """
        read = await self._read(key, fence_key)
        if read.is_err():
            return read
        row, fence_row = read.unwrap()
        if not holder_gone and not self.tracker.may_acquire(
            row, self.clock.now(), wait
        ):
            return Err(
                Failure.of(
                    ErrorKind.LEASE_LOST, f"lease {key} is held by another process"
                )
            )
        nonce = new_id()
        sent_at = self.clock.now()
        mutation = self.tracker.acquire(row, nonce, fence_row, data)
        committed = await self.table.commit([mutation])
        if committed.is_err():
            if committed.unwrap_err().kind is not ErrorKind.TABLE_OUTCOME_UNKNOWN:
                return committed
            return await self._confirm(key, fence_key, nonce, sent_at)
        if not committed.unwrap()[0].applied:
            return Err(
                Failure.of(
                    ErrorKind.LEASE_LOST, f"lease {key} was acquired by another process"
                )
            )
        return Ok(self._record_acquired(mutation, row, fence_row, sent_at))

    async def observe(self, key: str) -> Result[Row, Failure]:
        """Read a lease's row, and record when it was first seen, to detect expiry."""
        read = await self._read(key, None)
        return read.map(lambda rows: rows[0])

    async def renew(self) -> None:
        """Renew all due leases in one commit."""
        due = self.tracker.due(self.clock.now())
        if not due:
            return
        sent_at = self.clock.now()
        committed = await self.table.commit(
            [self.tracker.renewal(held) for held in due]
        )
        if committed.is_err():
            failure = committed.unwrap_err()
            log.event(
                "leases.renewal_failed", kind=failure.kind, message=failure.message
            )
            return
        for held, outcome in zip(due, committed.unwrap(), strict=True):
            current = self.tracker.held(held.key)
            if current is None or current.nonce != held.nonce:
                continue
            if outcome.applied:
                self.tracker.renewed(held, sent_at)
            elif not self.tracker.conflicted(_conflict(outcome, held.key)):
                log.event("leases.lost", key=held.key, fence=held.fence)

    async def release(self, held: HeldLease, data: RowValue | None = None) -> None:
        """Release a lease; if the commit fails, the lease expires."""
        self.tracker.drop(held.key)
        await self.table.commit([self.tracker.release(held, data)])

    async def _read(self, key: str, fence_key: str | None):
        read = await self.table.read([key, fence_key] if fence_key else [key])
        if read.is_err():
            return read
        rows = read.unwrap()
        self.tracker.observe(rows[key], self.clock.now())
        return Ok((rows[key], rows[fence_key] if fence_key else None))

    async def _confirm(
        self, key: str, fence_key: str | None, nonce: str, sent_at: float
    ) -> Result[HeldLease, Failure]:
        read = await self._read(key, fence_key)
        if read.is_err():
            return read
        row, fence_row = read.unwrap()
        if row.value is None or row.value["nonce"] != nonce:
            return Err(
                Failure.of(ErrorKind.LEASE_LOST, f"lease {key} was not acquired")
            )
        return Ok(self.tracker.acquired(row, fence_row, sent_at, self.clock.now()))

    def _record_acquired(
        self, mutation: Mutation, row: Row, fence_row: Row | None, sent_at
    ):
        written = [
            Row(old.key, old.version + 1, write.value)
            for old, write in zip((row, fence_row), mutation.writes, strict=False)
        ]
        fence_written = written[1] if fence_row else None
        return self.tracker.acquired(
            written[0], fence_written, sent_at, self.clock.now()
        )


class Leases(Plugin):
    """Provide the lease client to other plug-ins, and renew the leases held."""

    name = "leases"
    requires = ("platform",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self.client: LeaseClient | None = None

    async def start(self, tasks) -> None:
        """Create the client, and start to renew leases."""
        own = self.kernel.settings.instance
        holder = holder_name(own.id, self.kernel.incarnation)
        tracker = LeaseTracker(holder, self._terms())
        table = self.kernel.plugin("platform").table
        self.client = LeaseClient(table, self.kernel.clock, tracker)
        tasks.start_loop(self._renew)

    def on_config(self, cfg) -> None:
        """Apply the lease durations, which take effect at the next renewal."""
        if self.client is not None:
            self.client.tracker.terms = self._terms()

    def _terms(self) -> LeaseTerms:
        options = self.kernel.config.defaults()
        return LeaseTerms(options.lease_duration, options.lease_margin)

    async def _renew(self) -> None:
        clock = self.kernel.clock
        while True:
            await self.client.renew()
            await clock.sleep_until(clock.now() + RENEWAL_INTERVAL_S)


def _conflict(outcome, key: str) -> Row:
    rows = (row for row in outcome.conflicts if row.key == key)
    return next(rows, Row(key, 0, None))
