"""Plug-in that knows which software version began a client's stream."""

import random
from collections import OrderedDict
from typing import NamedTuple

import anyio
from result import Ok, Result

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure
from plantainstack.plugins import Plugin
from plantainstack.policy import route_table, stream_versions
from plantainstack.policy.software_versions import software_of
from plantainstack.policy.stream_versions import UNKNOWN_ORIGIN, Origin
from plantainstack.services.stream_bases import StreamBases
from plantainstack.services.stream_records import (
    StreamRecord,
    StreamRecords,
    refused,
    unknown_origin,
)
from plantainstack.serving import (
    Endpoint,
    RequestKind,
    Route,
    TakeUp,
)

# Time after a failed write for which the store counts as lost.
STORE_LOST_S = 1.0
# Maximum time of looking up the origin of a stream.
LOOKUP_WAIT_S = 1.5
# Largest difference that is expected between the clocks of two machines.
CLOCK_SKEW_S = 1.0
TICK_S = 0.5
REFRESH_S = 30.0
# Interval while no stream begins. An instance that loses the store needs a base that
# it may trust for a while.
IDLE_REFRESH_S = stream_versions.BASE_TRUST_S / 3
FORGET_INTERVAL_S = 10.0
# Streams whose origin an instance keeps in memory.
STREAMS_MAX = 20_000


class _Remembered(NamedTuple):
    origin: Origin
    at: float


class StreamVersions(Plugin):
    """Keep the origin of streams on routes whose streams may be resumed."""

    name = "stream_versions"
    requires = ("discovery", "store")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._rng = random.Random()
        self._used = False
        self._longest_life_s = 0.0
        self._streams: OrderedDict[str, _Remembered] = OrderedDict()

    async def start(self, tasks) -> None:
        """Start to follow the bases and to remove old records."""
        self._discovery = self.kernel.plugin("discovery")
        self._store = self.kernel.plugin("store").metadata_store
        self.records = StreamRecords(self._store, self._clock, tasks, self._rng)
        self._bases = StreamBases(
            self._store, self._discovery, self._clock, tasks, self.records, self._rng
        )
        tasks.start_loop(self._follow_bases)
        tasks.start_loop(self._forget)
        tasks.start_loop(self.records.run_expiry, self._life_s)
        tasks.start_loop(self.records.run_sweep, self._is_used, self._life_s)

    def may_begin(
        self, route: Route, path: str, origin: Origin, earlier: StreamRecord | None
    ) -> bool:
        """Return whether a stream of a path may begin at an origin.

        `earlier` is the last record of the same request, if it has one.
        """
        if not self._needs_record(route, path, origin, earlier):
            return True
        if earlier is not None and earlier.stored and earlier.origin == origin:
            return True
        return not self._store_is_lost()

    def service_without_store(self, route: Route, path: str) -> str | None:
        """Return the only service at which streams may begin while the store is lost.

        None stands for any, and for no such service.
        """
        row = self._bases.find(route.host, path)
        if row is None or not self._store_is_lost():
            return None
        service = row.known.base.origin.service
        # The base outlives a change of the route's services.
        return service if service in route_table.services(route) else None

    def begin(
        self,
        route: Route,
        path: str,
        request_id: str,
        origin: Origin,
        earlier: StreamRecord | None,
    ) -> StreamRecord | None:
        """Start to store the record of a stream; return None if it needs none."""
        self._used = True
        if earlier is not None and earlier.origin != origin:
            # It may still wait to be written, and would then be the only record.
            earlier.given_up = True
        if not self._needs_record(route, path, origin, earlier):
            return None
        if earlier is not None and earlier.origin == origin and not earlier.given_up:
            return earlier
        return self.records.write(request_id, origin, earlier)

    def remember(self, stream_id: str, origin: Origin) -> None:
        """Keep the origin of a stream that this instance passes on."""
        if stream_id:
            self._streams[stream_id] = _Remembered(origin, self._clock.now())
            self._streams.move_to_end(stream_id)
            if len(self._streams) > STREAMS_MAX:
                self._streams.popitem(last=False)

    def is_in_doubt(self, endpoint: Endpoint, first_event_at: float) -> bool:
        """Return whether events may come from other software than an endpoint had.

        A restarted endpoint may keep its id, and its registration is read late.
        `first_event_at` is the wall-clock time of the first of the events.
        """
        known = self._discovery.view.known.get(endpoint.id)
        return _may_have_answered(known, endpoint, first_event_at)

    async def store_shows_doubt(
        self, endpoint: Endpoint, first_event_at: float
    ) -> bool:
        """Return what `is_in_doubt` does, by the present registration."""
        known = await self._discovery.present_registration(endpoint.id)
        return _may_have_answered(known, endpoint, first_event_at)

    async def is_same_software(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that has just answered has the software known.

        Its registration is read, since this instance may not know of a restart yet.
        """
        found = await self._discovery.present_registration(endpoint.id)
        return found is None or software_of(found) == software_of(endpoint)

    async def disown(self, stream_id: str, deadline: float) -> None:
        """Let nobody take up a stream of which the origin is in doubt."""
        self.remember(stream_id, UNKNOWN_ORIGIN)
        record = self.records.write_last(stream_id, UNKNOWN_ORIGIN)
        stored = await self.records.is_stored(record, deadline)
        log.event("stream.disowned", stream=stream_id[:200], stored=stored)

    async def find_origin(
        self,
        route: Route,
        path: str,
        take_up: TakeUp,
        request_id: str,
        deadline: float,
    ) -> Result[Origin, Failure]:
        """Return the origin of a stream that a client takes up."""
        found: Result[tuple[Origin, str], Failure] = unknown_origin(
            "the store did not answer in time"
        )
        if take_up.after is None:
            found = refused(ErrorKind.BAD_REQUEST, "the last event id is unreadable")
        else:
            wait_s = min(LOOKUP_WAIT_S, deadline - self._clock.now())
            with anyio.move_on_after(max(0.0, wait_s)):
                found = await self._look_up(route, path, take_up.stream_id)
        services = route_table.services(route)
        if found.is_ok() and found.unwrap()[0] == UNKNOWN_ORIGIN:
            found = unknown_origin("its endpoint restarted with other software")
        if found.is_ok() and found.unwrap()[0].service not in services:
            origin, _source = found.unwrap()
            found = unknown_origin(
                f"the route no longer leads to service {origin.service}"
            )
        if found.is_err():
            reason = found.unwrap_err().message
            metrics.STREAM_TAKE_UPS.labels(route.name, "refused").inc()
            log.event(
                "stream.take_up_refused", request_id, route=route.name, reason=reason
            )
            return found
        origin, source = found.unwrap()
        metrics.STREAM_TAKE_UPS.labels(route.name, source).inc()
        log.event(
            "stream.origin_found",
            request_id,
            stream=take_up.stream_id[:200],
            service=origin.service,
            software=origin.software,
            source=source,
        )
        self.remember(take_up.stream_id, origin)
        return Ok(origin)

    def _needs_record(
        self, route: Route, path: str, origin: Origin, earlier: StreamRecord | None
    ) -> bool:
        if earlier is not None and earlier.may_exist:
            return True
        row = self._bases.find(route.host, path)
        now = self._clock.now()
        return row is None or not row.known.begins_without_record(origin, now)

    def _store_is_lost(self) -> bool:
        if self.records.failed_for_s() < STORE_LOST_S:
            return True
        return self._discovery.store_is_lost()

    async def _look_up(
        self, route: Route, path: str, stream_id: str
    ) -> Result[tuple[Origin, str], Failure]:
        """Return the origin of a stream, and where it is known from."""
        if stream_id in self._streams:
            return Ok((self._streams[stream_id].origin, "memory"))
        # The record is read before the base: a base that has changed since then has
        # no stream without a record left.
        if stream_id:
            found = await self.records.read(stream_id)
        else:
            found = await self.records.read_absence()
        if found.is_err():
            return found
        if found.unwrap() is not None:
            return Ok((found.unwrap(), "record"))
        if not await self._bases.read():
            return unknown_origin("the store does not answer")
        if self._bases.find(route.host, path) is None:
            await self._bases.create(route)
        row = self._bases.find(route.host, path)
        if row is None:
            return unknown_origin("its path has no base version yet")
        if not stream_id and row.known.base.closed:
            return unknown_origin("the client names no stream, and the version changes")
        return Ok((row.known.base.origin, "base"))

    async def _follow_bases(self) -> None:
        while True:
            routes = self._resumable_routes()
            if routes:
                await self._refresh_bases()
                await self._bases.update(routes, self._life_s())
            wait_s = TICK_S * self._rng.uniform(0.7, 1.3)
            await self._clock.sleep_until(self._clock.now() + wait_s)

    def _resumable_routes(self) -> list[Route]:
        cfg = self._discovery.serving
        return [
            route
            for route in (cfg.routes if cfg else ())
            if route.kind is RequestKind.STREAM and route.resumable
        ]

    def _is_used(self) -> bool:
        return bool(self._resumable_routes())

    def _life_s(self) -> float:
        """Return the longest life of a stream; it does not fall while one may last."""
        timeouts = (route.timeout_s for route in self._resumable_routes())
        self._longest_life_s = max(
            self._longest_life_s, stream_versions.stream_life_s(timeouts)
        )
        return self._longest_life_s

    async def _refresh_bases(self) -> None:
        age_s = self._clock.now() - self._bases.read_at
        if age_s >= (REFRESH_S if self._used else IDLE_REFRESH_S):
            self._used = False
            await self._bases.read()

    async def _forget(self) -> None:
        """Forget streams that are over."""
        while True:
            await self._clock.sleep_until(self._clock.now() + FORGET_INTERVAL_S)
            horizon = self._clock.now() - self._life_s()
            while self._streams and next(iter(self._streams.values())).at < horizon:
                self._streams.popitem(last=False)


def _may_have_answered(
    known: Endpoint | None, endpoint: Endpoint, first_event_at: float
) -> bool:
    """Return whether a process with other software may have sent an event.

    `known` is the newest registration under the id of the endpoint.
    """
    if known is None or known.software == endpoint.software:
        return False
    return known.started_ms / 1000 <= first_event_at + CLOCK_SKEW_S
