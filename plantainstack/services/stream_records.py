"""Store which software version began a stream, in groups of records."""

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import anyio
import msgspec
import xxhash
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy.stream_versions import Origin
from plantainstack.requests import new_id
from plantainstack.serving import MetadataStore, RowName, StoredRow, Transaction
from plantainstack.tasks import contained

RECORD_TABLE = "stream_records"
# Partitions of the records, since the store carries out the writes of one in turn.
SHARDS = 4
# Highest number of a record; numbers are compared as text of three digits.
NUMBER_MAX = 999
# Rows of one transaction; the store takes up to 100.
GROUP_MAX = 80
# Pause between two writes of a shard, longer while the store refuses writes.
WRITE_PAUSE_S = 0.05
WRITE_PAUSE_MAX_S = 1.0
# Time within which a record has to be stored, from the choice of the endpoint.
RECORD_WAIT_S = 1.5
# Time after which a client whose stream cannot go on now may come back: an endpoint
# that crashed is back within seconds.
RETRY_AFTER_S = 1.0
EXPIRY_INTERVAL_S = 10.0
# Interval of looking for records of instances that have ended, at least; a record is
# removed when it is found for the second time.
SWEEP_INTERVAL_S = 1800.0
# Records of an instance that it removes by itself.
WRITTEN_MAX = 50_000

_ORIGIN = msgspec.msgpack.Decoder(Origin)


class StreamRecord:
    """Track the record of one stream until it is stored.

    A request that is sent to endpoints of several origins has several, of which the
    one with the highest number counts: a write that takes effect late does no harm.
    `may_exist` tells whether the store may hold any record of the request.
    """

    def __init__(
        self, key: str, origin: Origin, until: float, earlier: "StreamRecord | None"
    ):
        self.key = key
        self.origin = origin
        self.until = until
        self.number = earlier.number + 1 if earlier else 0
        self.may_exist = earlier is not None and earlier.may_exist
        self.stored = False
        self.given_up = False
        self.ended = anyio.Event()

    def row_name(self) -> RowName:
        """Return the name of the record's row."""
        return _record_name(self.key, f"{self.key}.{self.number:03}")


class _Written(NamedTuple):
    name: RowName
    at: float


class StreamRecords:
    """Write, read and remove the records of streams."""

    def __init__(self, store: MetadataStore, clock: Clock, tasks, rng: random.Random):
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._rng = rng
        self._unreadable = UnreadableRows("stream.row_not_readable")
        self._queues: dict[str, deque[StreamRecord]] = {}
        self._writing: set[str] = set()
        self._written: deque[_Written] = deque()
        self._failed_at = float("-inf")
        self._write_pause_s = WRITE_PAUSE_S

    def failed_for_s(self) -> float:
        """Return the seconds since a write failed, infinity if one succeeded since."""
        return self._clock.now() - self._failed_at

    def write(
        self, request_id: str, origin: Origin, earlier: StreamRecord | None
    ) -> StreamRecord:
        """Start to store the record of a stream."""
        until = self._clock.now() + RECORD_WAIT_S
        # A client can take a stream without an id up, though it cannot name it.
        key = earlier.key if earlier else _digest(request_id or new_id())
        record = StreamRecord(key, origin, until, earlier)
        part = record.row_name().part
        self._queues.setdefault(part, deque()).append(record)
        if part not in self._writing:
            self._writing.add(part)
            self._tasks.start_soon(self._write_records, part)
        return record

    def write_last(self, request_id: str, origin: Origin) -> StreamRecord:
        """Start to store a record that counts whatever others the stream has."""
        record = self.write(request_id, origin, None)
        record.number = NUMBER_MAX
        return record

    async def is_stored(self, record: StreamRecord, deadline: float) -> bool:
        """Wait for a record; after False, it is not written any more."""
        wait_s = min(record.until, deadline) - self._clock.now()
        with anyio.move_on_after(max(0.0, wait_s)):
            await record.ended.wait()
        if not record.stored:
            record.given_up = True
        return record.stored

    async def read(self, stream_id: str) -> Result[Origin | None, Failure]:
        """Return the origin in the record of a stream, None if it has no record."""
        key = _digest(stream_id)
        name = _record_name(key, f"{key}.")
        outcome = await self._store.read(name.table, name.part, name.key, f"{key}/")
        if outcome.is_err():
            return unknown_origin(outcome.unwrap_err().message)
        rows = [row for row in outcome.unwrap().rows if row.value is not None]
        if not rows:
            return Ok(None)
        last = max(rows, key=lambda row: row.name.key)
        return self.decode_row(_ORIGIN, last)

    def decode_row(self, decoder: msgspec.msgpack.Decoder, row: StoredRow) -> Result:
        """Return the value of a row, or a failure that refuses to take a stream up."""
        decoded = decode(decoder, row.value)
        if decoded.is_ok():
            return decoded
        self._unreadable.record(row, decoded.unwrap_err())
        return unknown_origin("the row of the stream's version is not valid")

    async def read_absence(self) -> Result[None, Failure]:
        """Succeed if no stream has a record, so that all began at their bases."""
        for shard in range(SHARDS):
            outcome = await self._store.read(RECORD_TABLE, str(shard))
            if outcome.is_err():
                return unknown_origin(outcome.unwrap_err().message)
            if any(row.value is not None for row in outcome.unwrap().rows):
                return unknown_origin("the client names no stream, and versions differ")
        return Ok(None)

    async def run_expiry(self, life_s: Callable[[], float]) -> None:
        """Remove the records that this instance wrote once their streams are over."""
        while True:
            wait_s = EXPIRY_INTERVAL_S * self._rng.uniform(0.7, 1.3)
            await self._clock.sleep_until(self._clock.now() + wait_s)
            horizon = self._clock.now() - life_s()
            old = []
            while self._written and self._written[0].at < horizon:
                old.append(self._written.popleft().name)
            await self._remove(old)
            if len(self._written) > WRITTEN_MAX:
                extra = len(self._written) - WRITTEN_MAX
                log.event("stream.records_left", records=extra)
                for _ in range(extra):
                    self._written.popleft()

    async def run_sweep(
        self, is_used: Callable[[], bool], life_s: Callable[[], float]
    ) -> None:
        """Remove the records that instances left behind which have ended."""
        seen: set[RowName] = set()
        while True:
            interval_s = max(SWEEP_INTERVAL_S, 2 * life_s())
            wait_s = interval_s * self._rng.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now() + wait_s)
            if not is_used():
                continue
            outcome = await self._store.table_rows(RECORD_TABLE)
            if outcome.is_err():
                reason = outcome.unwrap_err().message
                log.event("stream.records_not_swept", reason=reason)
                continue
            present = {
                row.name for row in outcome.unwrap().rows if row.value is not None
            }
            left = [name for name in present if name in seen]
            if left:
                log.event("stream.records_swept", records=len(left))
            await self._remove(left)
            seen = present

    async def _write_records(self, part: str) -> None:
        """Store the records of a shard in groups until none is left."""
        queue = self._queues[part]
        while queue:
            group = []
            while queue and len(group) < GROUP_MAX:
                record = queue.popleft()
                if not record.given_up:
                    group.append(record)
            if group:
                with contained("StreamRecords._write_group", part=part):
                    await self._write_group(queue, group)
                pause_s = self._write_pause_s * self._rng.uniform(0.7, 1.3)
                await self._clock.sleep_until(self._clock.now() + pause_s)
        self._writing.discard(part)

    async def _write_group(
        self, queue: deque[StreamRecord], group: list[StreamRecord]
    ) -> None:
        existed = [record.may_exist for record in group]
        for record in group:
            record.may_exist = True
        puts = tuple(
            (record.row_name(), msgspec.msgpack.encode(record.origin))
            for record in group
        )
        outcome = await self._store.transact(Transaction(puts=puts))
        now = self._clock.now()
        self._written.extend(_Written(name, now) for name, _ in puts)
        if outcome.is_ok():
            self._failed_at = float("-inf")
            self._write_pause_s = max(WRITE_PAUSE_S, self._write_pause_s * 0.8)
            metrics.STREAM_RECORDS.inc(len(group))
            for record in group:
                record.stored = not record.given_up
                record.ended.set()
            return
        failure = outcome.unwrap_err()
        self._failed_at = now
        self._write_pause_s = min(WRITE_PAUSE_MAX_S, self._write_pause_s * 2)
        log.event(
            "stream.records_not_stored", records=len(group), reason=failure.message
        )
        for record, before in zip(group, existed, strict=True):
            if failure.outcome is Outcome.NOT_RUN:
                record.may_exist = before
            if now < record.until:
                queue.append(record)
            else:
                record.ended.set()

    async def _remove(self, names: list[RowName]) -> None:
        for part in {name.part for name in names}:
            of_part = tuple(name for name in names if name.part == part)
            for first in range(0, len(of_part), GROUP_MAX):
                group = of_part[first : first + GROUP_MAX]
                outcome = await self._store.transact(Transaction(removed=group))
                if outcome.is_err():
                    # The sweep of some instance finds them.
                    reason = outcome.unwrap_err().message
                    log.event(
                        "stream.records_not_removed",
                        records=len(group),
                        reason=reason,
                    )


def _digest(request_id: str) -> str:
    return xxhash.xxh3_128_hexdigest(request_id.encode())


def _record_name(digest: str, key: str) -> RowName:
    return RowName(RECORD_TABLE, str(int(digest[:4], 16) % SHARDS), key)


def unknown_origin(reason: str) -> Err[Failure]:
    """Return the failure of a stream whose origin cannot be known now."""
    return refused(ErrorKind.STORE_UNAVAILABLE, reason)


def refused(kind: ErrorKind, reason: str) -> Err[Failure]:
    """Return the failure of a stream that cannot be taken up."""
    message = f"the stream cannot be taken up: {reason}"
    return Err(Failure(kind, message, Outcome.NOT_RUN, RETRY_AFTER_S))
