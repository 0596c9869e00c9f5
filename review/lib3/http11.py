"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
from typing import NamedTuple

HEAD_LIMIT = 256 * 1024
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 412: "Precondition Failed"}


class Request(NamedTuple):
    """Hold a request whose body has been read; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        return self.target.partition("?")[2]


class Answer(NamedTuple):
    """Hold a complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Broken(Exception):
    """The other side closed the connection before its message was complete."""


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader) -> bytes:
    """Return the next chunk of a chunked body, empty at its end."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise Broken("within a chunked body")
    size = int(line.partition(b";")[0].strip() or b"0", 16)
    try:
        data = await reader.readexactly(size + 2)
    except asyncio.IncompleteReadError:
        raise Broken("within a chunk") from None
    return data[:-2]


async def read_body(reader, headers: dict[str, str], until_close: bool) -> bytes:
    """Return the whole body of a message."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    if "content-length" in headers:
        try:
            return await reader.readexactly(int(headers["content-length"]))
        except asyncio.IncompleteReadError:
            raise Broken("within a body") from None
    return await reader.read(-1) if until_close else b""


def head(first: str, headers) -> bytes:
    """Return the encoded head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """Serve requests, one at a time on each connection.

    `handle` is called with the request and a `Responder`.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=HEAD_LIMIT
        )
        host, number = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{number}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                found = await read_head(reader)
                if found is None:
                    return
                first, headers = found
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers, until_close=False)
                req = Request(method, target, headers, body)
                responder = Responder(reader, writer)
                await self._handle(req, responder)
                if responder.closes:
                    return
        except (Broken, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Responder:
    """Send the answer to one request."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.closes = False

    async def send(self, status: int, body: bytes = b"", headers=()) -> None:
        """Send a complete answer."""
        first = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
        length = ("Content-Length", str(len(body)))
        self.writer.write(head(first, [*headers, length]) + body)
        await self.writer.drain()

    async def begin_sized(self, status: int, size: int, headers=()) -> None:
        """Send the head of an answer of which the body follows."""
        first = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
        length = ("Content-Length", str(size))
        self.writer.write(head(first, [*headers, length]))
        await self.writer.drain()

    async def begin(self, status: int, headers=()) -> None:
        """Send the head of a chunked answer."""
        first = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
        chunked = ("Transfer-Encoding", "chunked")
        self.writer.write(head(first, [*headers, chunked]))
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the answer."""
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()

    def has_left(self) -> bool:
        """Return whether the client has closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


async def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers=(),
    limit_s: float = 10.0,
) -> Answer | None:
    """Send one request on a new connection; return None without a complete answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=HEAD_LIMIT
            )
            length = ("Content-Length", str(len(body)))
            names = {name.lower() for name, _ in headers}
            own = [] if "host" in names else [("Host", address)]
            first = f"{method} {target} HTTP/1.1"
            writer.write(head(first, [*own, *headers, length]) + body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                return None
            status = int(found[0].split(" ")[1])
            content = await read_body(reader, found[1], until_close=True)
            return Answer(status, found[1], content)
    except (OSError, TimeoutError, Broken, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(Exception):
                writer.transport.abort()
