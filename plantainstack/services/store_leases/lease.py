"""Read, acquire, renew and release a lease row in the metadata store."""

from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

import msgspec

from plantainstack import log
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.policy import order_lease
from plantainstack.policy.order_lease import LeaseTerms, OrderLease, StoreClock
from plantainstack.serving import RowName, Transaction, TransactionResult

LEASE_KEY = "lease"

_LEASE = msgspec.msgpack.Decoder(OrderLease)


class LeaseSpec(NamedTuple):
    """Describe a lease: its row, its holder and the times that apply to it.

    `gap_s` is the time that must pass between the actions of two holders. Log events
    begin with `log_prefix` and carry `log_fields`.
    """

    row: RowName
    holder: str
    gap_s: float
    log_prefix: str
    log_fields: dict[str, Any]
    terms: LeaseTerms = order_lease.DEFAULT_TERMS


class StoreLease:
    """Hold one lease for this instance, by the clock of the store.

    Only a write that the store confirmed changes what this instance may do. After a
    write without an answer the lease counts as lost and has to be read again.
    """

    def __init__(self, kernel, spec: LeaseSpec):
        self._clock = kernel.clock
        self._store = kernel.plugin("store").metadata_store
        self._spec = spec
        self.store_clock = StoreClock()
        self._lease: OrderLease | None = None
        self._version = 0
        self._renewed_at = 0.0
        self._unreadable = UnreadableRows(f"{spec.log_prefix}.lease_not_readable")

    @property
    def fence(self) -> int:
        """Return the fencing token of the lease as last read or written."""
        return self._lease.fence if self._lease else 0

    def is_own(self) -> bool:
        """Return whether this instance was the holder when last known."""
        return self._lease is not None and self._lease.holder == self._spec.holder

    def remaining_s(self) -> float:
        """Return the seconds until the lease has expired for certain, at least 0."""
        if self._lease is None:
            return 0.0
        now = self._clock.now()
        return max(0.0, self._lease.until - self.store_clock.earliest(now))

    async def read(self) -> bool:
        """Read the row; return False if it is unknown who holds the lease."""
        sent_at = self._clock.now()
        found = await self._store.read(self._spec.row.table, self._spec.row.part)
        if found.is_err():
            return False
        rows = found.unwrap()
        self.store_clock.update(sent_at, self._clock.now(), rows.store_now)
        before = None
        self._version = 0
        for row in rows.rows:
            decoded = decode(_LEASE, row.value)
            if decoded.is_err():
                # Without the former fence, a new one could be lower.
                self._unreadable.record(row, decoded.unwrap_err())
                return False
            before = decoded.unwrap()
            self._version = row.version
        self._lease = before
        return True

    def is_free(self) -> bool:
        """Return whether this instance may acquire the lease as last read."""
        return self._acquired() is not None

    async def acquire(self) -> bool:
        """Acquire the lease as last read; return whether this succeeded."""
        lease = self._acquired()
        if lease is None:
            return False
        former = self._lease.holder if self._lease else ""
        store_now = self.store_clock.earliest(self._clock.now())
        if not await self._write(lease):
            return False
        self._log(
            "lease_taken",
            holder_before=former,
            fence=lease.fence,
            barred={id: round(end, 3) for id, end in lease.barred.items()},
            store_now=round(store_now, 3),
        )
        return True

    def renewed_within(self, seconds: float) -> bool:
        """Return whether the last confirmed write was sent within this time."""
        return self._clock.now() - self._renewed_at < seconds

    async def renew(self, subjects: Iterable[str] = ()) -> bool:
        """Renew the lease and open windows; return False if the lease was lost."""
        if self._lease is None:
            return False
        earliest = self.store_clock.earliest(self._clock.now())
        lease = order_lease.renew(
            self._lease, subjects, earliest, self._spec.gap_s, self._spec.terms
        )
        if await self._write(lease):
            return True
        self._log("lease_lost", fence=lease.fence)
        self._lease = None
        return False

    def deadline(self, subject: str) -> float | None:
        """Return the monotonic time until which the holder may act, or None."""
        if self._lease is None:
            return None
        return order_lease.order_deadline(
            self._lease, subject, self.store_clock, self._clock.now()
        )

    def is_barred(self, subject: str) -> bool:
        """Return whether an action of a former holder may still take effect."""
        return self._lease is None or order_lease.is_barred(
            self._lease, subject, self.store_clock, self._clock.now()
        )

    def subjects(self) -> Collection[str]:
        """Return the subjects that have a window."""
        return tuple(self._lease.windows) if self._lease else ()

    def close_window(self, subject: str) -> None:
        """Close the window of a subject, so that the next holder waits less."""
        if self._lease is not None:
            latest = self.store_clock.latest(self._clock.now())
            self._lease = order_lease.close_window(self._lease, subject, latest)

    async def release(self, in_flight: Collection[str]) -> None:
        """Give the lease up, keeping the windows of subjects in flight."""
        lease, self._lease = self._lease, None
        if lease is None or lease.holder != self._spec.holder:
            return
        latest = self.store_clock.latest(self._clock.now())
        if await self._write(order_lease.release(lease, in_flight, latest)):
            self._log("lease_released", fence=lease.fence)
        self._lease = None

    def _acquired(self) -> OrderLease | None:
        return order_lease.acquire(
            self._lease,
            self._spec.holder,
            self.store_clock.earliest(self._clock.now()),
            self._spec.gap_s,
            self._spec.terms,
        )

    async def _write(self, lease: OrderLease) -> bool:
        name = self._spec.row
        transaction = Transaction(
            expected=((name, self._version),),
            puts=((name, msgspec.msgpack.encode(lease)),),
        )
        sent_at = self._clock.now()
        outcome = await self._store.transact(transaction)
        done: TransactionResult | None = outcome.ok()
        if done is None or not done.applied:
            return False
        self.store_clock.update(sent_at, self._clock.now(), done.store_now)
        self._lease = lease
        self._version = done.version
        self._renewed_at = sent_at
        return True

    def _log(self, event: str, **fields) -> None:
        name = f"{self._spec.log_prefix}.{event}"
        log.event(name, **self._spec.log_fields, **fields)
