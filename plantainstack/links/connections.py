"""Pool of HTTP/1.1 connections to one endpoint.

Each connection carries one exchange at a time. The connection pool of httpcore is
not used, because its cost per request grows with the number of requests in flight.
"""

import contextlib
import math
import re
import socket
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import httpcore

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.links.answers import (
    AnswerCheck,
    AnswerCrossed,
    AnswerGivenUp,
    AnswerTooLarge,
    giving_up,
    head_bytes,
)
from plantainstack.policy.answer_memory import AnswerMemory, Reservation
from plantainstack.requests import Deadline
from plantainstack.settings.options import Address

# Below the keep-alive timeout of common servers, so that a request is rarely sent on
# a connection that the endpoint is closing.
IDLE_LIMIT_S = 4.0
IDLE_CONNECTIONS_MAX = 64
# An endpoint that names the time after which it closes an idle connection may get the
# next request this much before.
KEEP_ALIVE_MARGIN_S = 0.5
# Requests on one connection, whose ids are kept as long as it is.
EXCHANGES_MAX = 256
ATTEMPT_HEADER = "X-Attempt-Id"
# Bytes read until the head of an answer is complete, with interim answers. The limit
# includes the part of the body that arrives in the same read.
HEAD_BYTES_MAX = 256 * 1024
# Reads until the head is complete; many small interim answers cost processor time.
HEAD_READS_MAX = 512
# Bytes of a connection that the kernel keeps for a reader. Without this limit it grows
# to megabytes, and the event loop reads 256 KiB of them at once.
RECEIVE_BUFFER_BYTES = 64 * 1024


_KEEP_ALIVE_TIMEOUT = re.compile(
    rb"(?:^|[\s,])timeout\s*=\s*(\d{1,9})\b", re.IGNORECASE
)


class DeadlineExceeded(Exception):
    """The deadline of an exchange passed before its first byte was sent."""


class Exchange:
    """State of one HTTP exchange: its deadline, and whether a byte was sent.

    `held` is the memory that the answer takes.
    """

    def __init__(self, clock: Clock, deadline: float, held: Reservation | None = None):
        self.clock = clock
        self.held = held or AnswerMemory().reserve("")
        self._deadline = Deadline(clock, deadline)
        self.sent = False
        self.reused = False

    def before_first_byte(self) -> None:
        """Record that bytes are sent; raise DeadlineExceeded after the deadline."""
        if self._deadline.expired():
            raise DeadlineExceeded
        self.sent = True
        metrics.ENDPOINT_SENDS.labels(self.connection()).inc()

    def connection(self) -> str:
        """Return whether the connection is a new one or was kept for reuse."""
        return "kept" if self.reused else "new"

    def remaining(self) -> float:
        """Return the seconds until the deadline."""
        return self._deadline.remaining()

    def failure(self, kind: ErrorKind, message: str) -> Failure:
        """Build a failure; its outcome is `not_run` if no byte was sent."""
        outcome = Outcome.MAY_HAVE_RUN if self.sent else Outcome.NOT_RUN
        return Failure(kind, message, outcome)

    def failure_from_exception(self, exc: Exception, answering: bool) -> Failure:
        """Build the failure for an exception raised by the connection.

        `answering` states whether the head of the answer was received.
        """
        if not self.sent and self._deadline.expired():
            message = "the deadline passed before the request was sent"
            return self.failure(ErrorKind.DEADLINE_PASSED, message)
        if not self.sent:
            message = f"no connection to the endpoint: {type(exc).__name__}"
            return self.failure(ErrorKind.ENDPOINT_REFUSED, message)
        if isinstance(exc, httpcore.TimeoutException | TimeoutError):
            return self.failure(
                ErrorKind.ANSWER_TIMEOUT, "the endpoint did not answer in time"
            )
        if isinstance(exc, AnswerCrossed):
            return self.failure(ErrorKind.ANSWER_CROSSED, str(exc))
        if isinstance(exc, AnswerTooLarge):
            return self.failure(ErrorKind.ENDPOINT_FAILED, str(exc))
        if answering:
            message = "the connection ended before the answer was complete"
            return self.failure(ErrorKind.ANSWER_TRUNCATED, message)
        message = f"the endpoint failed before answering: {type(exc).__name__}"
        return self.failure(ErrorKind.ENDPOINT_FAILED, message)


class GuardedStream(httpcore.AsyncNetworkStream):
    """Network stream that checks the deadline and the head's size of an exchange."""

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        # Whether the event loop may have read more than the last read has taken.
        self.may_hold_more = False
        self._exchange: Exchange | None = None
        self._written = False
        self._awaiting_head = False
        self._head_bytes = 0
        self._head_reads = 0

    def arm(self, exchange: Exchange) -> None:
        """Set the exchange whose deadline limits all reads and writes."""
        self._exchange = exchange
        self._written = False
        self._awaiting_head = True
        self._head_bytes = self._head_reads = 0

    def head_received(self) -> None:
        """Stop to limit the bytes that are read."""
        self._awaiting_head = False

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes; check the deadline before the first bytes of an exchange."""
        if buffer and self._exchange is not None and not self._written:
            self._exchange.before_first_byte()
            self._written = True
        await self._stream.write(buffer, self._limited(timeout))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes; raise AnswerTooLarge if the head does not end in time."""
        data = await self._stream.read(max_bytes, self._limited(timeout))
        self.may_hold_more = len(data) >= max_bytes
        if self._awaiting_head:
            self._head_bytes += len(data)
            self._head_reads += 1
            self._exchange.held.grow(len(data))
            if self._exchange.held.reason:
                raise AnswerGivenUp(self._exchange.held.reason)
            if self._head_bytes > HEAD_BYTES_MAX or self._head_reads > HEAD_READS_MAX:
                message = f"the head did not end within {self._head_bytes} bytes"
                raise AnswerTooLarge(message)
        return data

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Return information about the underlying stream."""
        return self._stream.get_extra_info(info)

    def _limited(self, timeout: float | None) -> float | None:
        """Return a time-out that ends no later than the deadline of the exchange."""
        if self._exchange is None:
            return timeout
        remaining = max(0.0, self._exchange.remaining())
        return remaining if timeout is None else min(timeout, remaining)


class Connection:
    """A connection, its network stream, and the requests that it has carried."""

    def __init__(self, http: httpcore.AsyncHTTP11Connection, stream: GuardedStream):
        self.http = http
        self.stream = stream
        self.ids: set[str] = set()
        self.exchanges = 0
        # Time on the process's clock until which the endpoint keeps it open.
        self.kept_until = math.inf

    @classmethod
    def over(
        cls,
        stream: httpcore.AsyncNetworkStream,
        origin: httpcore.Origin,
        idle_limit_s: float | None = None,
    ) -> "Connection":
        """Return a connection over a network stream."""
        guarded = GuardedStream(stream)
        http = httpcore.AsyncHTTP11Connection(origin, guarded, idle_limit_s)
        return cls(http, guarded)

    def is_reusable(self) -> bool:
        """Return whether the last answer is complete and nothing came behind it."""
        if not self.http.is_idle() or self.exchanges >= EXCHANGES_MAX:
            return False
        if self.stream.may_hold_more:
            return False
        surplus = surplus_bytes(self.http)
        if surplus:
            metrics.SURPLUS_ANSWERS.inc()
        return not surplus


class OutgoingRequest(NamedTuple):
    """An HTTP request to send; the target is an absolute path.

    If `host` is empty, the Host header holds the endpoint's address.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    check: AnswerCheck
    host: str = ""


class Timeouts(NamedTuple):
    """Limits, in seconds, on connecting and on the wait for further bytes."""

    connect: float
    progress: float


class ConnectionPool:
    """Opens connections to one endpoint and keeps idle ones for reuse."""

    def __init__(
        self,
        address: Address,
        backend: httpcore.AsyncNetworkBackend,
        idle_limit_s: float = IDLE_LIMIT_S,
    ):
        self._backend = backend
        self._idle_limit_s = idle_limit_s
        self._address = address
        self._origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self._idle: list[Connection] = []

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        request: OutgoingRequest,
        exchange: Exchange,
        timeouts: Timeouts,
        fresh: bool = False,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request on an exclusive connection and yield the response.

        With `fresh`, a new connection is opened. The connection is reused later only
        if the response was read completely. Raises AnswerCrossed if the response does
        not belong to the request.
        """
        check = request.check
        fresh = fresh or not check.rule.id
        conn = None if fresh else await self._acquire_idle(check.rule.id, exchange)
        exchange.reused = conn is not None
        if conn is None:
            conn = await self._connect(timeouts.connect)
        response = None
        complete = keep = False
        try:
            conn.ids.add(check.rule.id)
            conn.exchanges += 1
            conn.stream.arm(exchange)
            prepared = self._request(request, timeouts.progress)
            with giving_up(exchange.held):
                response = await conn.http.handle_async_request(prepared)
                conn.stream.head_received()
                exchange.held.resize(head_bytes(response))
            problem = check.mismatch(response, not exchange.reused)
            if problem:
                metrics.CROSSED_ANSWERS.inc()
                raise AnswerCrossed(problem)
            yield response
            await response.aclose()
            complete = True
            keep = check.may_keep_connection(response)
            conn.kept_until = exchange.clock.now() + _idle_limit_s(response)
        finally:
            if not complete:
                exchange.held.release()
            if check.rule.id and exchange.sent:
                self._log_send(request, exchange, conn, response)
            await self._release(conn, keep)

    def _log_send(self, request, exchange, conn, response) -> None:
        log.event(
            "endpoint.exchange",
            request.check.rule.id,
            address=str(self._address),
            connection=exchange.connection(),
            earlier=conn.exchanges - 1,
            status=response.status if response else None,
            surplus=surplus_bytes(conn.http) if conn.http.is_idle() else 0,
        )

    async def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            await _close(conn)

    async def _acquire_idle(self, id: str, exchange: Exchange) -> Connection | None:
        """Return an idle connection that has not carried a request of this id.

        A late copy of the answer to that one would have the same id.
        """
        now = exchange.clock.now()
        for conn in reversed(self._idle.copy()):
            if conn not in self._idle or id in conn.ids:
                continue
            self._idle.remove(conn)
            if now < conn.kept_until and not conn.http.has_expired():
                return conn
            await _close(conn)
        return None

    async def _connect(self, timeout: float) -> Connection:
        inner = await self._backend.connect_tcp(
            self._address.host,
            self._address.port,
            timeout,
            socket_options=[
                (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            ],
        )
        if inner.get_extra_info("is_readable"):
            await inner.aclose()
            raise httpcore.ConnectError("bytes or an end came before the request")
        return Connection.over(inner, self._origin, self._idle_limit_s)

    async def _release(self, conn: Connection, keep: bool) -> None:
        if keep and conn.is_reusable() and len(self._idle) < IDLE_CONNECTIONS_MAX:
            self._idle.append(conn)
        else:
            await _close(conn)

    def _request(self, request: OutgoingRequest, progress: float) -> httpcore.Request:
        host = request.host or str(self._address)
        headers = [("Host", host), *request.headers]
        if request.body or request.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(request.body))))
        # Header values may contain any Latin-1 character, but httpcore encodes text as
        # ASCII only.
        encoded = [(name.encode(), text.encode("latin-1")) for name, text in headers]
        return httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b"http",
                host=self._origin.host,
                port=self._origin.port,
                target=request.target,
            ),
            headers=encoded,
            content=request.body,
            extensions={"timeout": {"read": progress, "write": progress}},
        )


def _idle_limit_s(response: httpcore.Response) -> float:
    """Return the seconds for which a connection may be idle, as an answer states."""
    found = [
        _KEEP_ALIVE_TIMEOUT.search(value)
        for name, value in response.headers
        if name.lower() == b"keep-alive"
    ]
    stated = [int(match[1]) - KEEP_ALIVE_MARGIN_S for match in found if match]
    return min(stated, default=math.inf)


def surplus_bytes(http: httpcore.AsyncHTTP11Connection) -> int:
    """Return the number of bytes that were received behind the last answer."""
    # httpcore keeps them for the next answer and offers no access to them.
    data, _ = http._h11_state.trailing_data
    return len(data)


async def _close(conn: Connection) -> None:
    with anyio.CancelScope(shield=True), contextlib.suppress(Exception):
        await conn.http.aclose()
