"""HTTP client for one platform service, with a time limit on every request."""

from collections.abc import Sequence
from typing import NamedTuple

import anyio
import httpcore
from result import Err, Ok, Result

from plantainstack.clock import Clock
from plantainstack.links.answers import read_body
from plantainstack.links.connections import Connection
from plantainstack.policy.answer_memory import AnswerMemory
from plantainstack.settings.options import Address

REQUEST_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# Each exchange in flight has its own connection object, because the connection pool
# of httpcore slows down as concurrency grows.
CONNECTIONS_MAX = 4
# Limit on one complete answer, which is held in memory.
ANSWER_BYTES_MAX = 32 * 1024 * 1024

Headers = Sequence[tuple[str, str]]

_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Answer(NamedTuple):
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class IncompleteExchange(NamedTuple):
    """An exchange that ended without a complete answer.

    `sent` states whether a byte of the request may have left this process.
    """

    sent: bool
    message: str


class _SentFlag:
    """Observes httpcore's trace events and is set before the first byte is sent."""

    def __init__(self):
        self.sent = False

    async def trace(self, event: str, info: dict) -> None:
        if event == "http11.send_request_headers.started":
            self.sent = True


class HttpClient:
    """HTTP client that reuses a limited number of connections to one address.

    `timeout_s` limits each request, REQUEST_TIMEOUT_S by default. Without `reuse`, each
    request has a connection of its own.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        connections: int = CONNECTIONS_MAX,
        timeout_s: float | None = None,
        reuse: bool = True,
    ):
        self._address = address
        self._clock = clock
        self._timeout_s = timeout_s
        self._reuse = reuse
        self._origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self._connection_limit = anyio.Semaphore(connections)
        self._backend = httpcore.AnyIOBackend()
        self._idle: list[Connection] = []

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline: float | None = None,
        headers: Headers = (),
    ) -> Result[Answer, IncompleteExchange]:
        """Send one request and return its complete answer.

        The deadline is a monotonic time in seconds and at most the client's timeout
        from now.
        """
        timeout_s = REQUEST_TIMEOUT_S if self._timeout_s is None else self._timeout_s
        limit = self._clock.now() + timeout_s
        deadline = limit if deadline is None else min(deadline, limit)
        flag = _SentFlag()
        message = "no complete answer before the deadline"
        with anyio.move_on_after(deadline - self._clock.now()):
            try:
                async with self._connection_limit:
                    req = self._request(method, path, body, headers, flag)
                    return Ok(await self._exchange(req))
            except _NETWORK_ERRORS as exc:
                message = f"{type(exc).__name__}: {exc}"
        # The fault may be in an intermediary and affect all open connections, so the
        # next request opens a new one.
        await self.aclose()
        target = f"{method} {path} at {self._address}"
        return Err(IncompleteExchange(flag.sent, f"{target}: {message}"))

    async def aclose(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            await _close(conn)

    async def _exchange(self, req: httpcore.Request) -> Answer:
        conn = await self._acquire()
        complete = False
        try:
            response = await conn.http.handle_async_request(req)
            # Room for the head as well; the answers of endpoints do not share it.
            room = 2 * ANSWER_BYTES_MAX
            held = AnswerMemory(room, room).reserve("")
            content = await read_body(response, held, ANSWER_BYTES_MAX)
            await response.aclose()
            complete = True
        finally:
            if complete and self._reuse and conn.is_reusable():
                self._idle.append(conn)
            else:
                await _close(conn)
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        return Answer(response.status, headers, content)

    async def _acquire(self) -> Connection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.http.has_expired():
                return conn
            await _close(conn)
        stream = await self._backend.connect_tcp(self._address.host, self._address.port)
        return Connection.over(stream, self._origin)

    def _request(
        self, method: str, path: str, body: bytes, headers: Headers, flag: _SentFlag
    ) -> httpcore.Request:
        headers = [
            ("host", str(self._address)),
            ("content-length", str(len(body))),
            *headers,
        ]
        url = httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=path.encode("ascii"),
        )
        return httpcore.Request(
            method, url, headers=headers, content=body, extensions={"trace": flag.trace}
        )


async def _close(conn: Connection) -> None:
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await conn.http.aclose()
