"""Leases with fencing tokens, and the ranking that spreads them over instances."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from plantainstack.interfaces import Check, Mutation, Row, RowValue, Write

RENEWAL_SHARE = 1 / 3


def rank(name: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order of rendezvous hashing for a name."""
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh64_intdigest(f"{name}\0{member}".encode()),
            member,
        ),
        reverse=True,
    )


def holder_name(instance_id: str, incarnation: str) -> str:
    """Return the holder name of one run of an instance."""
    return f"{instance_id}/{incarnation}"


def restarted(holder: str, members: dict[str, str]) -> bool:
    """Return whether the holder of a lease was replaced by a later process.

    `members` maps instance ids to incarnations, which begin with the start time in
    hexadecimal milliseconds. A holder that is only unreachable does not count, since
    the two sides of a partition would take leases from each other.
    """
    instance_id, _, incarnation = holder.rpartition("/")
    current = members.get(instance_id)
    if current is None or current == incarnation:
        return False
    return _started_ms(current) > _started_ms(incarnation)


def _started_ms(incarnation: str) -> int:
    return int(incarnation.partition("-")[0], 16)


class LeaseTerms(NamedTuple):
    """Hold the duration of a lease and its holder's safety margin, in seconds."""

    duration: float
    margin: float


class HeldLease(NamedTuple):
    """Describe a lease held by this process; times are monotonic seconds.

    `fence` is the fencing token.
    """

    key: str
    nonce: str
    fence: int
    row_version: int
    fence_key: str | None
    fence_version: int
    valid_until: float
    sent_at: float
    data: RowValue


class _Observation(NamedTuple):
    version: int
    since: float


class LeaseTracker:
    """Decide when this process may acquire, use and renew leases.

    Only the monotonic clock of this process is used. A holder measures the duration
    from the time at which it sent its write, and an observer from the time at which
    it first saw that version of the row. The latter is later, so the holder always
    stops first. The row contains the duration, since holder and observer may have
    different configurations in force.
    """

    def __init__(self, holder: str, terms: LeaseTerms):
        self.holder = holder
        self.terms = terms
        self._held: dict[str, HeldLease] = {}
        self._observations: dict[str, _Observation] = {}

    def observe(self, row: Row, now: float) -> None:
        """Record a row that was read; `now` is the time after the answer."""
        observation = self._observations.get(row.key)
        if observation is None or observation.version != row.version:
            self._observations[row.key] = _Observation(row.version, now)

    def may_acquire(self, row: Row, now: float, wait: float = 0.0) -> bool:
        """Return whether a lease is free, or expired at least `wait` seconds ago."""
        if row.value is None or row.value["released"]:
            return True
        observation = self._observations.get(row.key)
        if observation is None or observation.version != row.version:
            return False
        return now >= observation.since + row.value["duration"] + wait

    def seen_for(self, row: Row, now: float) -> float:
        """Return the seconds since the present version of a row was first seen."""
        observation = self._observations.get(row.key)
        return (
            0.0
            if observation is None or observation.version != row.version
            else now - observation.since
        )

    def acquire(
        self,
        row: Row,
        nonce: str,
        fence_row: Row | None = None,
        data: RowValue | None = None,
    ) -> Mutation:
        """Build the mutation that acquires a lease and raises its fencing token."""
        previous = row.value or {"fence": 0, "data": {}}
        fence = previous["fence"] + 1
        value = self._value(
            nonce, fence, data if data is not None else previous["data"]
        )
        checks = [Check(row.key, row.version)]
        writes = [Write(row.key, value)]
        if fence_row is not None:
            checks.append(Check(fence_row.key, fence_row.version))
            writes.append(Write(fence_row.key, {"fence": fence, "holder": self.holder}))
        return Mutation(f"{row.key}/{nonce}", tuple(checks), tuple(writes))

    def acquired(
        self, row: Row, fence_row: Row | None, sent_at: float, now: float
    ) -> HeldLease:
        """Record an acquired lease; the rows are those written by the mutation."""
        held = HeldLease(
            key=row.key,
            nonce=row.value["nonce"],
            fence=row.value["fence"],
            row_version=row.version,
            fence_key=fence_row.key if fence_row else None,
            fence_version=fence_row.version if fence_row else 0,
            valid_until=self._valid_until(sent_at),
            sent_at=sent_at,
            data=row.value["data"],
        )
        self._held[row.key] = held
        self.observe(row, now)
        return held

    def held(self, key: str) -> HeldLease | None:
        """Return a lease that was acquired and is not known to be lost."""
        return self._held.get(key)

    def holds(self, key: str, now: float) -> bool:
        """Return whether this process may still act on the lease."""
        held = self._held.get(key)
        return held is not None and now < held.valid_until

    def due(self, now: float) -> list[HeldLease]:
        """Return the leases to renew now."""
        interval = self.terms.duration * RENEWAL_SHARE
        return [held for held in self._held.values() if now >= held.sent_at + interval]

    def renewal(self, held: HeldLease) -> Mutation:
        """Build the mutation that renews a lease."""
        return self._update(held, self._value(held.nonce, held.fence, held.data))

    def renewed(self, held: HeldLease, sent_at: float) -> None:
        """Record a renewal that was applied."""
        self._held[held.key] = held._replace(
            row_version=held.row_version + 1,
            sent_at=sent_at,
            valid_until=self._valid_until(sent_at),
        )

    def conflicted(self, row: Row) -> bool:
        """Record the row of a failed renewal; return whether the lease is still held.

        An earlier renewal whose answer was lost leaves a higher row version with the
        same nonce.
        """
        held = self._held.get(row.key)
        if held is None:
            return False
        value = row.value
        if value is None or value["nonce"] != held.nonce or value["released"]:
            self.drop(row.key)
            return False
        self._held[row.key] = held._replace(row_version=row.version)
        return True

    def release(self, held: HeldLease, data: RowValue | None = None) -> Mutation:
        """Build the mutation that releases a lease for any other holder."""
        value = self._value(held.nonce, held.fence, held.data)
        value["released"] = True
        if data is not None:
            value["data"] = data
        return self._update(held, value)

    def drop(self, key: str) -> None:
        """Remove a lease that was released or lost."""
        self._held.pop(key, None)

    def forget(self, keys: Iterable[str]) -> None:
        """Remove the observations of rows that no longer exist."""
        for key in keys:
            self._observations.pop(key, None)

    def all_held(self) -> list[HeldLease]:
        """Return all leases held by this process."""
        return list(self._held.values())

    def _valid_until(self, sent_at: float) -> float:
        return sent_at + self.terms.duration - self.terms.margin

    def _value(self, nonce: str, fence: int, data: RowValue) -> RowValue:
        return {
            "holder": self.holder,
            "nonce": nonce,
            "fence": fence,
            "released": False,
            "duration": self.terms.duration,
            "data": data,
        }

    @staticmethod
    def _update(held: HeldLease, value: RowValue) -> Mutation:
        checks = (Check(held.key, held.row_version),)
        name = f"{held.key}/{held.nonce}/{held.row_version}"
        return Mutation(name, checks, (Write(held.key, value),))


class NaiveLeaseTracker(LeaseTracker):
    """Ignore the expiry of leases; the naive version for tests."""

    def holds(self, key: str, now: float) -> bool:
        """Return whether the lease was acquired, even if it expired since."""
        return key in self._held
