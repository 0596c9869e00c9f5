"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote


class Request(NamedTuple):
    """Hold a request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """Hold a complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader) -> tuple[list[str], dict[str, str]] | None:
    """Return the words of the first line and the headers, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    found = await read_head(reader)
    if found is None:
        return None
    (method, target, _), headers = found
    path, _, query = target.partition("?")
    body = await read_body(reader, headers)
    return Request(method, unquote(path), dict(parse_qsl(query)), headers, body)


def encode_answer(status: int, body: bytes = b"", headers: dict | None = None) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_json(status: int, content, headers: dict | None = None) -> bytes:
    """Return the bytes of an answer in JSON."""
    headers = {"Content-Type": "application/json", **(headers or {})}
    return encode_answer(status, json.dumps(content).encode(), headers)


async def call(
    host: str, port: int, method: str, path: str, headers: dict, body=b"", limit_s=10.0
) -> Answer | None:
    """Make one call on a new connection; return None without a complete answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                headers = {"Host": f"{host}:{port}", **headers}
                lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
                found = await read_head(reader)
                if found is None:
                    return None
                (_, status, *_), answered = found
                return Answer(int(status), answered, await read_body(reader, answered))
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
