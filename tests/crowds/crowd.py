"""Clients that send what no honest client sends, and keep their connections open."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import NamedTuple

import anyio

from tests.crowds.harness import CALLER, PATHS

KIB = 1024
# Clients stop sending at the latest after this time, so that a test ends.
SEND_LIMIT_S = 3.0
MISSING_BYTES = 100
# Shared by all clients, so that the test itself takes little memory.
ZEROS = memoryview(bytes(8 * 10**6))
ONE_BYTE_CHUNKS = b"1\r\na\r\n" * (260_000 // 6)
CHUNKED = ("Transfer-Encoding: chunked",)


class Pattern(NamedTuple):
    """What one client sends: headers, and a body of a size in bytes in pieces."""

    headers: tuple[str, ...]
    size: int
    piece: int
    chunked: bool = False

    def body(self) -> Iterator[bytes | memoryview]:
        if self.piece == 1:
            yield ONE_BYTE_CHUNKS
            return
        for start in range(0, self.size, self.piece):
            data = ZEROS[: min(self.piece, self.size - start)]
            yield b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data


def patterns(limit: int) -> dict[str, list[Pattern]]:
    """Return the patterns for bodies of a legal size in bytes, and all mixed."""
    short = limit - MISSING_BYTES
    legal, over = (f"Content-Length: {limit}",), (f"Content-Length: {100 * limit}",)
    single = {
        "whole": Pattern(legal, short, short),
        "pieces": Pattern(legal, short, 8 * KIB),
        "over-announced": Pattern(over, 8 * limit, 64 * KIB),
        "over-chunked": Pattern(CHUNKED, 8 * limit, 64 * KIB, True),
        "large-chunks": Pattern(CHUNKED, short, 64 * KIB, True),
        "one-byte-chunks": Pattern(CHUNKED, 0, 1, True),
    }
    each = {name: [pattern] for name, pattern in single.items()}
    return {**each, "mixed": list(single.values())}


def head(deployment: str, pattern: Pattern) -> bytes:
    """Return the head of a request that an ordinary caller may send."""
    lines = [f"POST {PATHS[deployment]} HTTP/1.1", "Host: 127.0.0.1"]
    lines += [": ".join(CALLER), *pattern.headers]
    lines.append("Plantainstack-Request-Id: crowd")
    return "\r\n".join([*lines, "", ""]).encode()


async def send(daemon, sock, pattern: Pattern) -> None:
    """Connect a socket and send the head and the body of one request."""
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, daemon.address)
    await loop.sock_sendall(sock, head(daemon.deployment, pattern))
    for data in pattern.body():
        await loop.sock_sendall(sock, data)


async def send_crowd(daemon, sent: list[Pattern], clients: int, hold) -> None:
    """Send with many clients at once, then call `hold` while they are connected."""
    with contextlib.ExitStack() as stack:

        async def run(pattern):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            # The daemon may refuse the request or close the connection at any time.
            with contextlib.suppress(OSError):
                await send(daemon, sock, pattern)

        async with anyio.create_task_group() as callers:
            callers.start_soon(call_repeatedly, daemon)
            with anyio.move_on_after(SEND_LIMIT_S):
                async with anyio.create_task_group() as tasks:
                    for number in range(clients):
                        tasks.start_soon(run, sent[number % len(sent)])
            callers.cancel_scope.cancel()
        await hold()


async def call_repeatedly(daemon) -> None:
    """Send ordinary requests one after another, without checking the answers."""
    while True:
        await daemon.request()
        await anyio.sleep(0.1)


async def post_in_chunks(daemon, size: int, piece: int) -> bytes:
    """Send one complete request; return the beginning of the response."""
    with socket.socket() as sock:
        sock.setblocking(False)
        await send(daemon, sock, Pattern(CHUNKED, size, piece, True))
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, b"0\r\n\r\n")
        return await loop.sock_recv(sock, KIB)
