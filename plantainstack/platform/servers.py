"""HTTP client of the platform's servers, which the project calls endpoints."""

import contextlib
import math
from collections.abc import AsyncIterator, Callable, Sequence
from http import HTTPStatus

import anyio
import httpcore
import msgspec
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.decoding import parse_decimal
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import PlainAnswer
from plantainstack.links.answers import AnswerCheck, read_body, read_chunks
from plantainstack.links.connections import (
    ConnectionPool,
    DeadlineExceeded,
    Exchange,
    OutgoingRequest,
    Timeouts,
)
from plantainstack.links.events import EventTooLarge, SseDecoder, SseEvent
from plantainstack.platform import names, records
from plantainstack.platform.prompts import decode_prompt
from plantainstack.policy.answer_binding import AnswerRule
from plantainstack.policy.answer_memory import AnswerMemory, Reservation
from plantainstack.serving import (
    Endpoint,
    EndpointAnswer,
    EndpointCall,
    EndpointClient,
    EndpointLoadReport,
    EndpointReport,
    LoadMode,
    OpenStream,
    OrderAnswer,
    Prompt,
    StreamEvent,
    StreamHead,
    VersionOrder,
)

# Connecting within a region takes about 10 ms. A lost SYN is retransmitted after
# 1 s; by then, another endpoint has been tried.
CONNECT_TIMEOUT_S = 0.6
# Below the servers' idle timeout of 10 s, and above the 4 s between steps, so that
# connections are reused.
IDLE_LIMIT_S = 8.0
# A stream pauses while weights are loaded: 0.9 s, and about twice that when several
# loads run at once. After a longer silence, another endpoint is tried where one can
# go on; the endpoint may still be sound.
SILENCE_TIMEOUT_S = 2.5
CONTROL_TIMEOUT_S = 1.0
# Requests that an endpoint may report as running or waiting.
LOAD_MAX = 1_000_000
EVENT_STREAM = "text/event-stream"

_MODES = {
    LoadMode.FINISH_FIRST: "wait",
    LoadMode.RESET: "truncate",
    LoadMode.CONTINUE: "retain",
}
_ORDER_ANSWERS = {
    202: OrderAnswer.ACCEPTED,
    200: OrderAnswer.HOLDS,
    409: OrderAnswer.CONFLICT,
    421: OrderAnswer.WRONG_ENDPOINT,
}
_TRANSPORT_ERRORS = (
    DeadlineExceeded,
    TimeoutError,
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


class PlatformEndpointClient(EndpointClient):
    """Use the servers' HTTP interface, with one connection pool per server process."""

    def __init__(self, clock: Clock, memory: AnswerMemory | None = None):
        self._clock = clock
        self._memory = memory or AnswerMemory()
        self._backend = httpcore.AnyIOBackend()
        self._pools: dict[tuple, ConnectionPool] = {}
        self._leaving_listeners: list[Callable[[Endpoint], None]] = []

    def notify_leaving(self, listener: Callable[[Endpoint], None]) -> None:
        """Call `listener` for each answer whose endpoint says in it that it leaves."""
        self._leaving_listeners.append(listener)

    def prompt(self, headers: Sequence[tuple[str, str]]) -> Prompt | None:
        """Return the prompt that a request's headers describe, None without one."""
        return decode_prompt(headers)

    async def call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[EndpointAnswer, Failure]:
        """Send a request and return the complete answer."""
        async with self._open(endpoint, call) as opened:
            if opened.is_err():
                return opened
            response, exchange = opened.unwrap()
            try:
                body = await read_body(response, exchange.held)
            except _TRANSPORT_ERRORS as exc:
                exchange.held.release()
                return Err(exchange.failure_from_exception(exc, answering=True))
            return Ok(_answer(response, body, exchange.held))

    @contextlib.asynccontextmanager
    async def stream(self, endpoint: Endpoint, call: EndpointCall):
        """Open a stream; yields `Result[OpenStream | EndpointAnswer, Failure]`."""
        async with self._open(endpoint, call) as opened:
            if opened.is_err():
                yield opened
                return
            response, exchange = opened.unwrap()
            if _is_refusal(response) or not _is_event_stream(response):
                try:
                    body = await read_body(response, exchange.held)
                except _TRANSPORT_ERRORS as exc:
                    exchange.held.release()
                    yield Err(exchange.failure_from_exception(exc, answering=True))
                    return
                yield Ok(_answer(response, body, exchange.held))
                return
            silence_s = math.inf if call.awaits_silent else SILENCE_TIMEOUT_S
            yield Ok(_Stream(response, exchange, self._clock, silence_s))

    async def order(
        self, endpoint: Endpoint, order: VersionOrder, deadline: float
    ) -> Result[OrderAnswer, Failure]:
        """Order an endpoint to load a version of a model."""
        content = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": _MODES[order.mode],
            "owner": order.holder,
            "fence": order.fence,
            "expected": order.orders_seen,
        }
        body = msgspec.json.encode(content)
        call = self._control_call("POST", names.ORDER_PATH, body, deadline)
        answer = await self.call(endpoint, call)
        return answer.map(
            lambda found: _ORDER_ANSWERS.get(found.answer.status, OrderAnswer.REFUSED)
        )

    async def report(
        self, endpoint: Endpoint, deadline: float
    ) -> Result[EndpointReport, Failure]:
        """Request the endpoint's report of its state."""
        call = self._control_call("GET", names.REPORT_PATH, b"", deadline)
        answer = await self.call(endpoint, call)
        if answer.is_err():
            return answer
        found = answer.unwrap().answer
        if found.status != HTTPStatus.OK:
            message = (
                f"the request for the report was answered with status {found.status}"
            )
            return Err(Failure.of(ErrorKind.ENDPOINT_FAILED, message))
        return records.decode_report(found.body).map_err(
            lambda text: Failure.of(ErrorKind.ENDPOINT_FAILED, text)
        )

    def drop_connections(self, endpoints: Sequence[Endpoint]) -> None:
        """Drop the connection pools of endpoints that were removed."""
        for endpoint in endpoints:
            self._pools.pop(_connection_key(endpoint), None)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.close_idle()

    def _control_call(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> EndpointCall:
        limit = min(deadline, self._clock.now() + CONTROL_TIMEOUT_S)
        headers = (("Content-Type", "application/json"),) if body else ()
        return EndpointCall("", method, target, "", headers, body, limit, control=True)

    @contextlib.asynccontextmanager
    async def _open(self, endpoint: Endpoint, call: EndpointCall):
        held = self._memory.reserve(endpoint.id)
        exchange = Exchange(self._clock, call.deadline, held)
        remaining = max(0.0, exchange.remaining())
        silence_s = remaining if call.awaits_silent else SILENCE_TIMEOUT_S
        timeouts = Timeouts(
            min(CONNECT_TIMEOUT_S, remaining), min(silence_s, remaining)
        )
        pool = self._pools.setdefault(
            _connection_key(endpoint),
            ConnectionPool(endpoint.address, self._backend, IDLE_LIMIT_S),
        )
        request = self._outgoing_request(endpoint, call, exchange)
        async with contextlib.AsyncExitStack() as stack:
            try:
                # The body is read by the caller. A cancel scope must not be open
                # then: it would end the caller's block without a result.
                with anyio.fail_after(remaining):
                    response = await stack.enter_async_context(
                        pool.exchange(
                            request, exchange, timeouts, not call.reuse_connection
                        )
                    )
            except _TRANSPORT_ERRORS as exc:
                # Other kept connections may have gone the same way.
                if exchange.reused or isinstance(
                    exc, TimeoutError | httpcore.TimeoutException
                ):
                    await pool.close_idle()
                yield Err(exchange.failure_from_exception(exc, answering=False))
                return
            if _says_leaving(response):
                for listener in self._leaving_listeners:
                    listener(endpoint)
            yield Ok((response, exchange))

    def _outgoing_request(
        self, endpoint: Endpoint, call: EndpointCall, exchange: Exchange
    ) -> OutgoingRequest:
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in names.HOP_BY_HOP_HEADERS | names.OWN_HEADERS
        ]
        if call.tenant is not None:
            headers = list(names.without_tenant_headers(headers))
        if call.tenant:
            headers.append((names.TENANT, call.tenant))
        if call.priority is not None:
            headers.append((names.PRIORITY, str(call.priority)))
        headers.append((names.EXPECT_INSTANCE, endpoint.id))
        if call.request_id:
            left_ms = max(1, int(exchange.remaining() * 1000))
            headers.append((names.DEADLINE_MS, str(left_ms)))
            headers.append((names.REQUEST_ID, call.request_id))
        if call.resume_after is not None:
            headers.append((names.LAST_EVENT_ID, str(call.resume_after)))
        check = _PlatformCheck(AnswerRule(call.request_id), call.control)
        return OutgoingRequest(
            call.method, call.target, headers, call.body, check, call.host
        )


class _PlatformCheck(AnswerCheck):
    def __init__(self, rule: AnswerRule, control: bool):
        super().__init__(rule, names.REQUEST_ID)
        self._control = control

    def mismatch(self, response: httpcore.Response, alone: bool) -> str | None:
        problem = super().mismatch(response, alone)
        if problem or self._control or self.is_refusal(response):
            return problem
        sealed = names.header(response.headers, names.SEAL) is not None
        if 200 <= response.status < 300 and not sealed:
            return "the answer has no Plantainstack-Server-Seal header"
        if names.header(response.headers, "content-encoding") is not None:
            return "the answer has a Content-Encoding header"
        return None

    def is_refusal(self, response: httpcore.Response) -> bool:
        return _is_refusal(response)


class _Stream(OpenStream):
    def __init__(
        self,
        response: httpcore.Response,
        exchange: Exchange,
        clock: Clock,
        silence_s: float,
    ):
        self._response = response
        self._exchange = exchange
        self._clock = clock
        self._silence_s = silence_s
        self.head = StreamHead(
            response.status,
            _end_to_end_headers(response.headers),
            _parse_version(names.header(response.headers, names.WEIGHT_VERSIONS)),
            _load_report(response.headers),
            _rate_limit(response.headers),
        )

    async def events(self) -> AsyncIterator[Result[StreamEvent, Failure]]:
        """Yield complete events, and a failure last if the stream ends early."""
        decoder = SseDecoder()
        held = self._exchange.held
        silent_since = self._clock.now()
        try:
            async for chunk in read_chunks(self._response, held, decoder.clear):
                now = self._clock.now()
                for event in decoder.feed(chunk):
                    silent_since = now
                    yield Ok(_stream_event(event))
                held.resize(decoder.held_bytes())
                # The read time-out does not cover a stream that sends bytes without
                # completing an event.
                if now - silent_since > self._silence_s:
                    message = f"no event was completed for {self._silence_s} s"
                    yield Err(self._exchange.failure(ErrorKind.ANSWER_TIMEOUT, message))
                    return
        except EventTooLarge as exc:
            message = str(exc)
            yield Err(self._exchange.failure(ErrorKind.ANSWER_TRUNCATED, message))
            return
        except _TRANSPORT_ERRORS as exc:
            yield Err(self._exchange.failure_from_exception(exc, answering=True))
            return
        if decoder.has_incomplete_event():
            message = "the stream ended in the middle of an event"
            yield Err(Failure(ErrorKind.ANSWER_TRUNCATED, message, Outcome.RAN))


def _connection_key(endpoint: Endpoint) -> tuple:
    return (endpoint.id, endpoint.started_ms, endpoint.address)


def _is_event_stream(response: httpcore.Response) -> bool:
    """Return whether an answer is a stream; one that names no type counts as one."""
    kind = names.header(response.headers, "content-type") or EVENT_STREAM
    media_type = kind.partition(";")[0].strip().lower()
    return response.status == HTTPStatus.OK and media_type == EVENT_STREAM


def _answer(
    response: httpcore.Response, body: bytes, held: Reservation
) -> EndpointAnswer:
    headers = _end_to_end_headers(response.headers)
    return EndpointAnswer(
        PlainAnswer(response.status, headers, body, held),
        _is_refusal(response),
        _load_report(response.headers),
        names.header(response.headers, names.SEAL),
        _rate_limit(response.headers),
    )


def _is_refusal(response: httpcore.Response) -> bool:
    """Return whether an answer declares that the request was not run."""
    return (
        names.header(response.headers, names.NOT_EXECUTED) is not None
        or response.status == HTTPStatus.MISDIRECTED_REQUEST
    )


def _says_leaving(response: httpcore.Response) -> bool:
    """Return whether an answer says that its endpoint leaves.

    Status 421 comes from another endpoint than the one that was asked.
    """
    text = names.header(response.headers, names.LEAVING)
    if text is None or response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return False
    if text.strip() != "1":
        log.event("endpoint.leaving_unreadable", value=text[:40])
        return False
    return True


def _end_to_end_headers(headers) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
        if name.decode("latin-1").lower() not in names.HOP_BY_HOP_HEADERS
    ]


def _load_report(headers) -> EndpointLoadReport | None:
    parts = (names.header(headers, names.LOAD) or "").split(",")
    numbers = [parse_decimal(part.strip(), LOAD_MAX) for part in parts]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    # The fourth figure is the time that work takes, in percent of the usual time.
    slowness = numbers[3] / 100 if len(numbers) == 4 and numbers[3] else None
    return EndpointLoadReport(*numbers[:3], slowness)


def _rate_limit(headers) -> float | None:
    text = names.header(headers, names.RATE_LIMIT)
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if math.isfinite(limit) and limit >= 0.0:
        return limit
    log.event("endpoint.limit_unreadable", value=text[:40])
    return None


def _parse_version(text: str | None) -> int | None:
    return parse_decimal(text.strip(), records.INTEGER_MAX) if text else None


def _stream_event(event: SseEvent) -> StreamEvent:
    number = event.value("id")
    return StreamEvent(
        parse_decimal(number, records.INTEGER_MAX),
        event.data() or "",
        _parse_version(event.value(names.WEIGHT_VERSIONS.lower())),
        event.raw,
    )
