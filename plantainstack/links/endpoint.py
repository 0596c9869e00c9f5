"""HTTP clients for endpoints, and the plug-in that manages their connections."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

import anyio
import httpcore
import msgspec
from result import Err, Ok, Result

from plantainstack.clock import Clock
from plantainstack.decoding import UNDECODABLE
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import (
    CacheEvent,
    CompletionChunk,
    Engine,
    EngineStatus,
    GenerateRequest,
    InstanceRecord,
    Order,
    PlainAnswer,
    PlainRequest,
    PlainService,
)
from plantainstack.links.answers import (
    ANSWER_BYTES_MAX,
    AnswerCheck,
    read_body,
    read_chunks,
)
from plantainstack.links.connections import (
    ATTEMPT_HEADER,
    ConnectionPool,
    DeadlineExceeded,
    Exchange,
    OutgoingRequest,
    Timeouts,
)
from plantainstack.links.events import EventTooLarge, SseDecoder
from plantainstack.plugins import Plugin
from plantainstack.policy.answer_binding import AnswerRule
from plantainstack.policy.answer_memory import AnswerMemory
from plantainstack.requests import new_id
from plantainstack.settings.fleet import FleetOptions, Scope

CONTROL_TIMEOUT_S = 2.0
BODY_DRAIN_TIMEOUT_S = 0.05
# The KV cache of a completion is the largest answer to a control call.
CONTROL_BYTES_MAX = 64 * 1024 * 1024
REFUSED_STATUS = 503
DONE = "[DONE]"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_CONNECTION_ERRORS = (
    DeadlineExceeded,
    TimeoutError,
    OSError,
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    tokens: int = 0
    weight_version: int | None = None
    error: Any = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class _AttemptCheck(AnswerCheck):
    def is_refusal(self, response: httpcore.Response) -> bool:
        return response.status == REFUSED_STATUS


class _Endpoint:
    """Base class of the clients for one endpoint."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        options: FleetOptions,
        memory: AnswerMemory,
        endpoint_id: str,
        fresh: bool = False,
    ):
        self._pool = pool
        self._clock = clock
        self._options = options
        self._memory = memory
        self._endpoint_id = endpoint_id
        self._fresh = fresh

    def _exchange(self, deadline: float) -> Exchange:
        held = self._memory.reserve(self._endpoint_id)
        return Exchange(self._clock, deadline, held)

    def _open(self, request: OutgoingRequest, exchange: Exchange):
        remaining = max(0.0, exchange.remaining())
        timeouts = Timeouts(
            min(self._options.connect_timeout, remaining),
            min(self._options.progress_timeout, remaining),
        )
        return self._pool.exchange(request, exchange, timeouts, self._fresh)

    def _check(self, attempt_id: str) -> AnswerCheck:
        rule = AnswerRule(attempt_id, not self._options.echoes_request_id)
        return _AttemptCheck(rule, ATTEMPT_HEADER)

    async def _read(
        self,
        request: OutgoingRequest,
        exchange: Exchange,
        bytes_max: int = ANSWER_BYTES_MAX,
    ):
        answering = False
        try:
            with anyio.fail_after(max(0.0, exchange.remaining())):
                async with self._open(request, exchange) as response:
                    answering = True
                    body = await read_body(response, exchange.held, bytes_max)
                    return Ok(_answer(response, body, exchange.held))
        except _CONNECTION_ERRORS as exc:
            exchange.held.release()
            failure = exchange.failure_from_exception(exc, answering)
            if exchange.reused or failure.kind is ErrorKind.ANSWER_TIMEOUT:
                await self._pool.close_idle()
            return Err(failure)


class HttpPlainService(_Endpoint, PlainService):
    """HTTP client for one endpoint of a plain service."""

    async def call(
        self, req: PlainRequest, deadline: float
    ) -> Result[PlainAnswer, Failure]:
        """Return the complete answer; the deadline is a monotonic time in seconds."""
        headers = [
            (name, value)
            for name, value in req.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        headers.append((ATTEMPT_HEADER, req.attempt_id))
        headers.append(("X-Deadline-Ms", _wall_ms(self._clock, deadline)))
        check = self._check(req.attempt_id)
        request = OutgoingRequest(req.method, req.path, headers, req.body, check)
        return await self._read(request, self._exchange(deadline))


class HttpEngine(_Endpoint, Engine):
    """HTTP client for one model engine."""

    async def generate(
        self, req: GenerateRequest, deadline: float
    ) -> AsyncIterator[Result[CompletionChunk, Failure]]:
        """Yield chunks until the end marker; a failure ends the stream."""
        exchange = self._exchange(deadline)
        request = OutgoingRequest(
            "POST",
            "/v1/chat/completions",
            [
                ("Content-Type", "application/json"),
                (ATTEMPT_HEADER, req.attempt_id),
                ("X-Deadline-Ms", _wall_ms(self._clock, deadline)),
            ],
            _completion_body(req),
            self._check(req.attempt_id),
        )
        answering = False
        try:
            async with self._open(request, exchange) as response:
                answering = True
                rejected = self._rejection(response, exchange)
                if rejected:
                    yield Err(rejected)
                    return
                async with aclosing(self._chunks(response, exchange)) as chunks:
                    async for chunk in chunks:
                        yield chunk
        except _CONNECTION_ERRORS as exc:
            failure = exchange.failure_from_exception(exc, answering)
            if exchange.reused or failure.kind is ErrorKind.ANSWER_TIMEOUT:
                await self._pool.close_idle()
            yield Err(failure)

    def _rejection(self, response, exchange: Exchange) -> Failure | None:
        if response.status == 200:
            return None
        if response.status == REFUSED_STATUS:
            message = "the engine refused the request with status 503"
            return Failure.of(ErrorKind.ENDPOINT_REFUSED, message)
        message = f"the engine answered with status {response.status}"
        if 400 <= response.status < 500:
            return Failure.of(ErrorKind.BAD_REQUEST, message)
        return exchange.failure(ErrorKind.ENDPOINT_FAILED, message)

    async def _chunks(self, response, exchange: Exchange):
        decoder = SseDecoder()
        body = read_chunks(response, exchange.held, decoder.clear)
        while True:
            try:
                with anyio.fail_after(max(0.0, exchange.remaining())):
                    data = await anext(body)
            except StopAsyncIteration:
                message = "the stream ended without an end marker"
                yield Err(exchange.failure(ErrorKind.ANSWER_TRUNCATED, message))
                return
            try:
                events = list(decoder.feed(data))
            except EventTooLarge as exc:
                yield Err(exchange.failure(ErrorKind.ENDPOINT_FAILED, str(exc)))
                return
            exchange.held.resize(decoder.held_bytes())
            for event in events:
                text = event.data()
                if text is None:
                    continue
                if text == DONE:
                    await _drain(body)
                    return
                chunk = _completion_chunk(text, exchange)
                yield chunk
                if chunk.is_err():
                    return

    async def status(self) -> Result[EngineStatus, Failure]:
        """Return the engine's report, which may be out of date."""
        answer = await self._control("GET", "/load")
        return answer.and_then(_engine_status)

    async def order(self, order: Order) -> Result[EngineStatus, Failure]:
        """Start loading a version; a stale fencing token fails with `lease_lost`."""
        answer = await self._control("POST", "/orders", order._asdict())
        return answer.and_then(_engine_status)

    async def cancel(self, attempt_id: str) -> Result[None, Failure]:
        """Cancel a running completion."""
        answer = await self._control("POST", "/cancel", {"attempt_id": attempt_id})
        return answer.map(lambda _: None)

    async def cache_events(self, after: int) -> Result[list[CacheEvent], Failure]:
        """Return cache events with numbers above `after`; there may be gaps."""
        answer = await self._control("GET", f"/cache/events?after={after}")
        return answer.and_then(_cache_events)

    async def export_kv(self, attempt_id: str) -> Result[bytes, Failure]:
        """Return the KV cache of a running completion."""
        return await self._control("GET", f"/kv/{attempt_id}")

    async def import_kv(self, attempt_id: str, data: bytes) -> Result[None, Failure]:
        """Import the KV cache of a completion that is to be resumed."""
        answer = await self._control("PUT", f"/kv/{attempt_id}", data)
        return answer.map(lambda _: None)

    async def _control(
        self, method: str, target: str, content: dict | bytes = b""
    ) -> Result[bytes, Failure]:
        body = content if isinstance(content, bytes) else msgspec.json.encode(content)
        kind = "application/octet-stream" if content is body else "application/json"
        call_id = new_id()
        headers = [("Content-Type", kind), (ATTEMPT_HEADER, call_id)]
        request = OutgoingRequest(method, target, headers, body, self._check(call_id))
        exchange = self._exchange(self._clock.now() + CONTROL_TIMEOUT_S)
        answer = await self._read(request, exchange, CONTROL_BYTES_MAX)
        return answer.and_then(_control_answer)


class EndpointLinks(Plugin):
    """Keeps the connection pools of all endpoints and creates clients for them."""

    name = "links"

    def __init__(self, kernel, backend: httpcore.AsyncNetworkBackend | None = None):
        super().__init__(kernel)
        self._backend = backend or httpcore.AnyIOBackend()
        self._pools: dict[tuple, ConnectionPool] = {}
        self._tasks = None

    async def start(self, tasks) -> None:
        """Store the task group in which connections are closed."""
        self._tasks = tasks

    def engine(self, record: InstanceRecord) -> Engine:
        """Return the client for a model engine."""
        return HttpEngine(*self._client_arguments(record))

    def plain(self, record: InstanceRecord, fresh: bool = False) -> PlainService:
        """Return the client for an endpoint of a plain service.

        With `fresh`, each call opens a new connection. That costs one round trip, but
        avoids idle connections whose state an intermediary may have lost.
        """
        return HttpPlainService(*self._client_arguments(record), fresh=fresh)

    def on_endpoints(self, records) -> None:
        """Drop the connection pools of endpoints that are no longer listed."""
        present = {(record.id, record.address) for record in records}
        for key in set(self._pools) - present:
            pool = self._pools.pop(key)
            if self._tasks is not None:
                self._tasks.start_soon(pool.close_idle)

    async def stop(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.close_idle()

    def _client_arguments(self, record: InstanceRecord):
        key = (record.id, record.address)
        if key not in self._pools:
            self._pools[key] = ConnectionPool(record.address, self._backend)
        scope = Scope(record.service, record.data_centre, record.id)
        options = self.kernel.config.scoped(scope)
        memory = self.kernel.answer_memory
        return self._pools[key], self.kernel.clock, options, memory, record.id


def _answer(response, body: bytes, held) -> PlainAnswer:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    ]
    return PlainAnswer(response.status, headers, body, held)


async def _drain(body) -> None:
    """Read the rest of the body, so that the connection can be reused."""
    with anyio.move_on_after(BODY_DRAIN_TIMEOUT_S):
        async for _ in body:
            pass


def _wall_ms(clock: Clock, deadline: float) -> str:
    return str(int(clock.wall_from_deadline(deadline) * 1000))


def _completion_body(req: GenerateRequest) -> bytes:
    content = req._asdict() | (req.sampling or {}) | {"stream": True}
    del content["attempt_id"], content["sampling"]
    return msgspec.json.encode(content)


def _completion_chunk(
    data: str, exchange: Exchange
) -> Result[CompletionChunk, Failure]:
    try:
        chunk = _CHUNK_DECODER.decode(data)
    except UNDECODABLE:
        message = "the engine sent an invalid chunk"
        return Err(exchange.failure(ErrorKind.ENDPOINT_FAILED, message))
    if chunk.error is not None:
        message = "the engine reported an error in the stream"
        return Err(exchange.failure(ErrorKind.ENDPOINT_FAILED, message))
    text = "".join(choice.delta.content or "" for choice in chunk.choices)
    return Ok(CompletionChunk(text, chunk.tokens, chunk.weight_version))


def _control_answer(answer: PlainAnswer) -> Result[bytes, Failure]:
    if 200 <= answer.status < 300:
        return Ok(answer.body)
    message = f"the engine answered with status {answer.status}"
    kinds = {
        503: ErrorKind.ENDPOINT_REFUSED,
        409: ErrorKind.LEASE_LOST,
        404: ErrorKind.NOT_FOUND,
    }
    return Err(Failure.of(kinds.get(answer.status, ErrorKind.ENDPOINT_FAILED), message))


def _decode(body: bytes, kind) -> Result[Any, Failure]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except UNDECODABLE:
        message = "the engine sent an invalid answer"
        return Err(Failure.of(ErrorKind.ENDPOINT_FAILED, message))


class _Status(msgspec.Struct):
    model: str
    version: int
    loading: int | None
    running: int
    queued: int
    leaving: bool
    fence: int


class _Event(msgspec.Struct):
    number: int
    prefix_hash: str
    stored: bool


class _EventList(msgspec.Struct):
    events: list[_Event]


def _engine_status(body: bytes) -> Result[EngineStatus, Failure]:
    decoded = _decode(body, _Status)
    return decoded.map(lambda status: EngineStatus(*msgspec.structs.astuple(status)))


def _cache_events(body: bytes) -> Result[list[CacheEvent], Failure]:
    decoded = _decode(body, _EventList)
    return decoded.map(
        lambda listing: [
            CacheEvent(*msgspec.structs.astuple(event)) for event in listing.events
        ]
    )
