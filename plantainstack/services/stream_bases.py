"""Keep the base versions, at which streams begin without a record of their own."""

import random
from collections import Counter
from collections.abc import Sequence

import msgspec
from result import Ok, Result

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.errors import Failure
from plantainstack.policy import route_table, stream_versions
from plantainstack.policy.stream_versions import BaseOrigin, KnownBase, Origin
from plantainstack.services.discovery import Discovery
from plantainstack.services.shared_calls import SharedCalls
from plantainstack.services.stream_records import StreamRecords
from plantainstack.serving import MetadataStore, Route, RowName, StoredRow, Transaction
from plantainstack.tasks import TaskRunner, contained

BASE_TABLE = "stream_bases"
# Timeout of one read of the bases, for which others wait. A working store responds
# within 0.3 s.
BASE_READ_TIMEOUT_S = 0.7
# Maximum random delay before a base is closed, so that one instance mostly writes for
# all.
CLOSE_JITTER_S = 5.0

_BASE = msgspec.msgpack.Decoder(BaseOrigin)


class BaseRow:
    """Hold the row of a base, and since when the base has been minor or closed."""

    def __init__(self, known: KnownBase, version: int, now: float):
        self.known = known
        self.version = version
        self.closed_at = now
        self.minor_at: float | None = None


class StreamBases:
    """Read and write the bases of the paths of routes whose streams may be resumed.

    A base is kept for the paths below a prefix, and the one with the longest prefix
    counts, whichever routes there are: a stream keeps its base when routes are added,
    removed, split or renamed. A base below another one begins as a copy of that.
    """

    def __init__(
        self,
        store: MetadataStore,
        discovery: Discovery,
        clock: Clock,
        tasks: TaskRunner,
        records: StreamRecords,
        rng: random.Random,
    ):
        self._store = store
        self._discovery = discovery
        self._clock = clock
        self._records = records
        self._rng = rng
        self._rows: dict[str, BaseRow] = {}
        # Keys of rows that cannot be read, at which a search for a base ends.
        self._unreadable: set[str] = set()
        self._reads = SharedCalls(tasks, self._read_rows, BASE_READ_TIMEOUT_S)
        self.read_at = float("-inf")

    def find(self, host: str, path: str) -> BaseRow | None:
        """Return the base of a path, None if it has none or an unreadable one."""
        key = self._find_key(host, path)
        return self._rows.get(key) if key is not None else None

    async def read(self) -> bool:
        """Read all bases; return whether they are as of after this call began."""
        outcome = await self._reads.call("")
        if outcome is None:
            log.event("stream.bases_unknown", reason="no answer in time")
        return outcome is not None and outcome.is_ok()

    async def update(self, routes: Sequence[Route], life_s: float) -> None:
        """Write the bases that are missing or have to change.

        `life_s` is the longest life of a stream.
        """
        # An older build may have kept a base for each of two nested routes.
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            if self._lacks_base(route):
                with contained("StreamBases.create", route=route.name):
                    await self.create(route)
        for key, users in self._users(routes).items():
            with contained("StreamBases._change", base=key):
                await self._change(key, users, life_s)

    async def create(self, route: Route) -> None:
        """Write the base of a route's prefix if it is missing.

        Streams without a record may have begun below a shorter prefix, or at an older
        build, which kept bases by the names of routes. Their base is taken over then.
        """
        keys = stream_versions.base_keys(route.host, route.prefix)
        if not keys or not await self.read() or self._is_unreadable(keys):
            return
        if keys[0] in self._rows:
            return
        before = self.find(route.host, route.prefix) or self._rows.get(route.name)
        if before is not None:
            wanted = before.known.base
        else:
            counts = self._count([route])
            wanted = stream_versions.next_base(None, counts, 0.0, 0.0, 0.0)
        if wanted is not None:
            await self._write(keys[0], wanted, (*keys[1:], route.name))

    def _lacks_base(self, route: Route) -> bool:
        keys = stream_versions.base_keys(route.host, route.prefix)
        if not keys or keys[0] in self._rows or self._is_unreadable(keys):
            return False
        found = self.find(route.host, route.prefix)
        if found is None:
            return True
        return found.known.base.origin.service not in route_table.services(route)

    def _find_key(self, host: str, path: str) -> str | None:
        for key in stream_versions.base_keys(host, path):
            if key in self._rows or key in self._unreadable:
                return None if key in self._unreadable else key
        return None

    def _is_unreadable(self, keys: Sequence[str]) -> bool:
        return not self._unreadable.isdisjoint(keys)

    def _users(self, routes: Sequence[Route]) -> dict[str, list[Route]]:
        """Return the routes whose paths have a base, by its key."""
        cfg = self._discovery.serving
        found: dict[str, list[Route]] = {}
        for route in routes:
            key = self._find_key(route.host, route.prefix)
            if key is not None:
                found.setdefault(key, []).append(route)
        for key in self._rows:
            host, slash, rest = key.partition("/")
            matched = route_table.match(cfg, host, slash + rest) if slash else None
            if matched in routes and matched not in found.get(key, ()):
                found.setdefault(key, []).append(matched)
        return found

    def _count(self, routes: Sequence[Route]) -> Counter[Origin]:
        services = set().union(*(route_table.services(route) for route in routes))
        return Counter(
            Origin(endpoint.service, endpoint.software)
            for service in sorted(services)
            for endpoint in self._discovery.usable(service)
        )

    async def _change(self, key: str, users: Sequence[Route], life_s: float) -> None:
        """Write a base if it has to change."""
        row = self._rows.get(key)
        if row is None:
            return
        counts = self._count(users)
        now = self._clock.now()
        if not stream_versions.is_minor(row.known.base, counts):
            row.minor_at = None
        elif row.minor_at is None:
            row.minor_at = now + self._rng.uniform(0.0, CLOSE_JITTER_S)
        minor_for_s = now - row.minor_at if row.minor_at is not None else 0.0
        wanted = stream_versions.next_base(
            row.known.base, counts, minor_for_s, now - row.closed_at, life_s
        )
        if wanted is not None:
            await self._write(key, wanted)

    async def _write(
        self, key: str, base: BaseOrigin, unchanged: Sequence[str] = ()
    ) -> None:
        """Write a base unless its row, or one of the `unchanged` ones, has changed."""
        name = _row_name(key)
        value = msgspec.msgpack.encode(base)
        expected = tuple(
            (_row_name(each), self._rows[each].version if each in self._rows else 0)
            for each in dict.fromkeys((key, *unchanged))
        )
        outcome = await self._store.transact(
            Transaction(expected=expected, puts=((name, value),))
        )
        if outcome.is_err():
            reason = outcome.unwrap_err().message
            log.event("stream.base_not_stored", base=key, reason=reason)
            return
        done = outcome.unwrap()
        # Only a read of all rows shows whether a longer prefix has a base by now.
        if done.applied:
            self._apply(StoredRow(name, value, done.version), self.read_at)
        for found in done.conflicts:
            self._apply(found, self.read_at)

    async def _read_rows(self, part: str) -> Result[None, Failure]:
        sent_at = self._clock.now()
        outcome = await self._store.read(BASE_TABLE, part)
        if outcome.is_err():
            log.event("stream.bases_unknown", reason=outcome.unwrap_err().message)
            return outcome
        self.read_at = sent_at
        for row in outcome.unwrap().rows:
            self._apply(row, sent_at)
        return Ok(None)

    def _apply(self, row: StoredRow, read_at: float) -> None:
        key = row.name.key
        current = self._rows.get(key)
        if row.value is None or (current and row.version < current.version):
            return
        decoded = self._records.decode_row(_BASE, row)
        if decoded.is_err():
            self._rows.pop(key, None)
            self._unreadable.add(key)
            return
        self._unreadable.discard(key)
        known = KnownBase(decoded.unwrap(), read_at)
        if current is not None and row.version == current.version:
            if read_at > current.known.read_at:
                current.known = known
            return
        self._rows[key] = BaseRow(known, row.version, self._clock.now())
        log.event(
            "stream.base_changed",
            base=key,
            service=known.base.origin.service,
            software=known.base.origin.software,
            closed=known.base.closed,
        )


def _row_name(key: str) -> RowName:
    return RowName(BASE_TABLE, "", key)
