"""Attempts of one stream at endpoints."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from plantainstack import log
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy import forwarding
from plantainstack.policy.forwarding import AttemptCounts
from plantainstack.policy.stream_migration import StreamProgress, must_leave
from plantainstack.policy.stream_versions import Origin
from plantainstack.services.request_runs import RequestRun
from plantainstack.services.stream_records import RETRY_AFTER_S as TAKE_UP_RETRY_S
from plantainstack.services.stream_records import StreamRecord
from plantainstack.serving import (
    Endpoint,
    EndpointAnswer,
    OpenStream,
    Route,
    StreamHead,
    rate_limit_of,
)

if TYPE_CHECKING:
    from plantainstack.services.forwarding import ClientCall, Forwarding


# The length of a client's stream is not known.
PACE_UNKNOWN = StreamProgress(0.0, None)


class StreamRun(RequestRun):
    """Read a stream and resume it on another endpoint after a failure if allowed."""

    def __init__(self, plugin: "Forwarding", call: "ClientCall", route: Route):
        super().__init__(plugin, call, route)
        self._last_event: int | None = None
        self._versions = plugin.versions
        self._path = call.target.partition("?")[0]
        # Where the events that the client has received come from.
        self._origin: Origin | None = None
        # The last record of the stream, and that of the running attempt if it has one.
        self._record: StreamRecord | None = None
        self._awaited: StreamRecord | None = None
        # Endpoints that brought the events which the client has received, with the
        # wall-clock time of the first event of each.
        self._sources: list[tuple[Endpoint, float]] = []
        self._in_doubt = False
        self._head_sent = False

    async def parts(self) -> AsyncIterator[Result[StreamHead | bytes, Failure]]:
        """Yield the response head, then complete events."""
        if self._route.resumable:
            refused = await self._find_start()
            if refused is not None:
                yield Err(refused)
                return
        while (endpoint := await self._next_endpoint()) is not None:
            self.ran += 1
            self._began_at = started = self._clock.now()
            self._balancer.request_started(endpoint)
            self._begin(endpoint)
            try:
                call = self._endpoint_call(self._last_event)
                async with self._plugin.endpoints.stream(endpoint, call) as opened:
                    self._record_rate_limit(endpoint, opened, started)
                    async with aclosing(self._attempt_parts(endpoint, opened)) as parts:
                        async for part in parts:
                            if part is None:
                                return
                            yield Ok(part)
            finally:
                self._balancer.request_ended(endpoint)
        if self._origin is not None:
            log.event(
                "stream.not_resumed",
                self._call.request_id,
                service=self._origin.service,
                software=self._origin.software,
                after=self._last_event,
            )
        if self._is_in_doubt():
            await self._versions.disown(self._stream_id(), self._call.deadline)
        yield Err(self._failure())

    def _stream_id(self) -> str:
        take_up = self._call.take_up
        return take_up.stream_id if take_up else self._call.request_id

    def _is_in_doubt(self) -> bool:
        """Return whether events may come from other software than recorded."""
        return self._in_doubt or any(
            self._versions.is_in_doubt(*source) for source in self._sources
        )

    async def _next_endpoint(self) -> Endpoint | None:
        for source in self._sources:
            if await self._versions.store_shows_doubt(*source):
                self._in_doubt = True
        return await super()._next_endpoint()

    async def _find_start(self) -> Failure | None:
        """Find out where to go on, and at which origin; return why not."""
        take_up = self._call.take_up
        if take_up is None:
            only = self._versions.service_without_store(self._route, self._path)
            self.service = only or self.service
            return None
        found = await self._versions.find_origin(
            self._route,
            self._path,
            take_up,
            self._call.request_id,
            self._call.deadline,
        )
        if found.is_err():
            return found.unwrap_err()
        self._origin = found.unwrap()
        self.service = self._origin.service
        self._last_event = take_up.after
        return None

    def _begin(self, endpoint: Endpoint) -> None:
        """Start to store where the stream begins, if it needs a record."""
        self._awaited = None
        if self._origin is None and self._route.resumable:
            self._awaited = self._versions.begin(
                self._route,
                self._path,
                self._call.request_id,
                _origin(endpoint),
                self._record,
            )
            self._record = self._awaited or self._record

    def _fits(self, endpoint: Endpoint) -> bool:
        origin = _origin(endpoint)
        if self._origin is not None:
            fits = self._last_event is not None and origin == self._origin
            return fits and not self._is_in_doubt()
        if not self._route.resumable:
            return True
        return self._versions.may_begin(self._route, self._path, origin, self._record)

    def _failure(self) -> Failure:
        if self.ran or self.failures or self._refusal or self._origin is None:
            return super()._failure()
        software = self._origin.software
        message = f"no endpoint of software version {software!r} is in service"
        return Failure(ErrorKind.NO_ENDPOINT, message, Outcome.NOT_RUN, TAKE_UP_RETRY_S)

    async def _may_pass_on(self, endpoint: Endpoint) -> bool:
        """Return whether the client may get the first event of an attempt."""
        if self._origin is None:
            record = self._awaited
            if record is not None and not await self._versions.records.is_stored(
                record, self._call.deadline
            ):
                message = "the version that began the stream could not be stored"
                self.failures.append(
                    Failure(ErrorKind.STORE_UNAVAILABLE, message, Outcome.MAY_HAVE_RUN)
                )
                log.event("stream.begun_in_vain", self._call.request_id, reason=message)
                return False
            self._origin = _origin(endpoint)
            if self._route.resumable:
                self._versions.remember(self._call.request_id, self._origin)
        elif not await self._versions.is_same_software(endpoint):
            message = f"endpoint {endpoint.id} has restarted with other software"
            self.failures.append(
                Failure(ErrorKind.ANSWER_CROSSED, message, Outcome.MAY_HAVE_RUN)
            )
            log.event(
                "stream.endpoint_restarted",
                self._call.request_id,
                endpoint=endpoint.id,
                software=endpoint.software,
            )
            return False
        if self._route.resumable:
            self._sources.append((endpoint, self._clock.wall()))
        self._log_source(endpoint)
        return True

    def _record_rate_limit(self, endpoint: Endpoint, opened, started: float) -> None:
        if opened.is_ok():
            limit = rate_limit_of(opened.unwrap())
            self._plugin.permits.record_answer(endpoint, limit, started)

    async def _attempt_parts(self, endpoint: Endpoint, opened):
        """Yield the parts of one attempt, then None if the stream is complete."""
        if opened.is_err():
            self._handle_failure(endpoint, opened.unwrap_err())
            return
        stream = opened.unwrap()
        if isinstance(stream, EndpointAnswer):
            if stream.not_run:
                self._handle_refusal(endpoint, stream.answer.status)
                return
            answer = stream.answer
            if forwarding.denies_run(stream, self._route):
                self._handle_denied_run(endpoint, answer.status)
                return
            if self._head_sent:
                message = f"the answer with status {answer.status} is no stream"
                failure = Failure(ErrorKind.ENDPOINT_REFUSED, message, Outcome.RAN)
                self._handle_failure(endpoint, failure)
                return
            self.count_begin()
            self.answered = answer.status < forwarding.ERROR_STATUS
            yield StreamHead(answer.status, answer.headers, None, stream.load)
            yield answer.body
            yield None
            return
        async with aclosing(self._stream_events(endpoint, stream)) as parts:
            async for part in parts:
                yield part

    async def _stream_events(self, endpoint: Endpoint, stream: OpenStream):
        if not self._head_sent:
            self._head_sent = True
            yield stream.head
        first = True
        async with aclosing(stream.events()) as outcomes:
            async for outcome in outcomes:
                if outcome.is_err():
                    self._handle_failure(endpoint, outcome.unwrap_err())
                    return
                event = outcome.unwrap()
                if event.id is None or self._last_event not in (None, event.id - 1):
                    message = (
                        f"received event {event.id} after event {self._last_event}"
                    )
                    self._handle_failure(
                        endpoint, Failure.of(ErrorKind.ANSWER_CROSSED, message)
                    )
                    return
                if first:
                    first = False
                    self._began_at = self._clock.now()
                    if not await self._may_pass_on(endpoint):
                        return
                    self.count_begin()
                self._last_event = event.id
                yield event.raw
                if self._may_move(endpoint):
                    return
        self.answered = True
        yield None

    def _may_move(self, endpoint: Endpoint) -> bool:
        """Return whether the stream goes on elsewhere, as its endpoint is about to go.

        Otherwise it stays until the connection breaks.
        """
        leaves_at = self._plugin.discovery.view.leaves_at(endpoint)
        now = self._clock.now()
        if leaves_at is None or not must_leave(PACE_UNKNOWN, None, leaves_at, now):
            return False
        counts = AttemptCounts(len(self.tried), self.ran, self.running)
        if not self._route.resumable or not forwarding.may_start_attempt(
            self._route, counts
        ):
            return False
        found = self._balancer.choose(self._allowed_endpoints(now), now)
        if found is None or not self._balancer.has_room(found, now):
            return False
        log.event(
            "stream.moved",
            self._call.request_id,
            endpoint=endpoint.id,
            service=endpoint.service,
            after=self._last_event,
        )
        return True

    def _log_source(self, endpoint: Endpoint) -> None:
        log.event(
            "stream.source",
            self._call.request_id,
            endpoint=endpoint.id,
            service=endpoint.service,
            software=endpoint.software,
            recorded=self._awaited is not None,
            after=self._last_event,
        )


def _origin(endpoint: Endpoint) -> Origin:
    return Origin(endpoint.service, endpoint.software)
