"""Connections to endpoints: one httpcore connection object for each slot.

Each connection carries one exchange at a time. httpcore's shared pool is not
used, since its cost for each request grows with the number in flight.
"""

import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import httpcore

from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.requests import Deadline
from plantainstack.settings.options import Address

# Below the keep-alive time of common servers, so that a request seldom meets a
# connection that the endpoint is closing.
IDLE_LIMIT_S = 4.0
IDLE_CONNECTIONS_MAX = 64
ATTEMPT_HEADER = "X-Attempt-Id"


class DeadlineExceeded(Exception):
    """Stop an exchange whose deadline passed before its first byte."""


class Exchange:
    """Track whether an attempt may have reached its endpoint."""

    def __init__(self, clock: Clock, deadline: float):
        self._guard = Deadline(clock, deadline)
        self.sent = False
        self.reused = False

    def before_first_byte(self) -> None:
        """Refuse to send after the deadline; otherwise count the byte as sent."""
        if self._guard.expired():
            raise DeadlineExceeded
        self.sent = True

    def remaining(self) -> float:
        """Return the seconds until the deadline."""
        return self._guard.remaining()

    def failure(self, kind: ErrorKind, message: str) -> Failure:
        """Build a failure; without a first byte the attempt did not run."""
        outcome = Outcome.MAY_HAVE_RUN if self.sent else Outcome.NOT_RUN
        return Failure(kind, message, outcome)

    def failure_from_exception(self, exc: Exception, answering: bool) -> Failure:
        """Build the failure for an exception of the connection."""
        if not self.sent and self._guard.expired():
            message = "the deadline passed before the request was sent"
            return self.failure(ErrorKind.DEADLINE_PASSED, message)
        if not self.sent:
            message = f"no connection to the endpoint: {type(exc).__name__}"
            return self.failure(ErrorKind.ENDPOINT_REFUSED, message)
        if isinstance(exc, httpcore.TimeoutException | TimeoutError):
            return self.failure(ErrorKind.ANSWER_TIMEOUT, "the endpoint fell silent")
        if answering:
            message = "the answer ended before its end"
            return self.failure(ErrorKind.ANSWER_TRUNCATED, message)
        message = f"the endpoint failed before answering: {type(exc).__name__}"
        return self.failure(ErrorKind.ENDPOINT_FAILED, message)


class GuardedStream(httpcore.AsyncNetworkStream):
    """Call the guard of the running exchange right before its first byte."""

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self._exchange: Exchange | None = None

    def arm(self, exchange: Exchange) -> None:
        """Set the exchange whose bytes are written next."""
        self._exchange = exchange

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes, after the guard for the first of them."""
        if buffer and self._exchange is not None:
            self._exchange.before_first_byte()
            self._exchange = None
        await self._stream.write(buffer, timeout)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes."""
        return await self._stream.read(max_bytes, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Return the inner stream's information."""
        return self._stream.get_extra_info(info)


class Connection(NamedTuple):
    """Hold the connection of one slot."""

    http: httpcore.AsyncHTTP11Connection
    stream: GuardedStream


class OutgoingRequest(NamedTuple):
    """Hold what to send; the target is an absolute path.

    Without a host, the endpoint's address is sent as one.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    host: str = ""


class Timeouts(NamedTuple):
    """Hold the longest times for opening and for silence, in seconds."""

    connect: float
    progress: float


class ConnectionPool:
    """Keep the idle connections to one endpoint."""

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
        """Send a request on a connection of its own and yield the response.

        The connection is kept only if the exchange was read to its end.
        """
        conn = None if fresh else await self._acquire_idle()
        exchange.reused = conn is not None
        if conn is None:
            conn = await self._connect(timeouts.connect)
        try:
            conn.stream.arm(exchange)
            prepared = self._request(request, timeouts.progress)
            response = await conn.http.handle_async_request(prepared)
            yield response
            await response.aclose()
        finally:
            await self._release(conn)

    async def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            await _close(conn)

    async def _acquire_idle(self) -> Connection | None:
        while self._idle:
            conn = self._idle.pop()
            if not conn.http.has_expired():
                return conn
            await _close(conn)
        return None

    async def _connect(self, timeout: float) -> Connection:
        inner = await self._backend.connect_tcp(
            self._address.host, self._address.port, timeout
        )
        stream = GuardedStream(inner)
        http = httpcore.AsyncHTTP11Connection(self._origin, stream, self._idle_limit_s)
        return Connection(http, stream)

    async def _release(self, conn: Connection) -> None:
        if conn.http.is_idle() and len(self._idle) < IDLE_CONNECTIONS_MAX:
            self._idle.append(conn)
        else:
            await _close(conn)

    def _request(self, request: OutgoingRequest, progress: float) -> httpcore.Request:
        host = request.host or str(self._address)
        headers = [("Host", host), *request.headers]
        if request.body or request.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(request.body))))
        # Values may hold any byte of Latin-1; httpcore itself takes only ASCII text.
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


async def _close(conn: Connection) -> None:
    with anyio.CancelScope(shield=True), contextlib.suppress(Exception):
        await conn.http.aclose()
