"""HTTP clients of the demo for callers, operators and stand-ins."""

import time
from http import HTTPStatus
from typing import Any, NamedTuple

import anyio
import httpcore
import msgspec

from plantainstack.adapters.http import Headers
from plantainstack.settings.options import Address

CALL_LIMIT_S = 2.0


class Reply(NamedTuple):
    """HTTP status and decoded body; status 0 means that no full answer arrived."""

    status: int
    content: Any

    @property
    def ok(self) -> bool:
        """Return whether the call succeeded."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    def outcome(self) -> str:
        """Return the outcome in an error body, `may_have_run` if it has none."""
        if not isinstance(self.content, dict):
            return "may_have_run"
        return self.content.get("error", {}).get("outcome", "may_have_run")

    def error_kind(self) -> str:
        """Return the error kind, or the HTTP status if the body names none."""
        if self.status == 0:
            return "no_answer"
        if not isinstance(self.content, dict):
            return str(self.status)
        return self.content.get("error", {}).get("kind", str(self.status))


NO_REPLY = Reply(0, None)


async def call(
    address: Address,
    method: str,
    path: str,
    content: Any = None,
    headers: Headers = (),
    limit_s: float = CALL_LIMIT_S,
) -> Reply:
    """Send one request on a new connection.

    Returns NO_REPLY after `limit_s` seconds or a connection error.
    """
    data = b"" if content is None else msgspec.json.encode(content)
    all_headers = [
        ("host", str(address)),
        ("content-type", "application/json"),
        ("content-length", str(len(data))),
        *headers,
    ]
    origin = httpcore.Origin(b"http", address.host.encode(), address.port)
    with anyio.move_on_after(limit_s):
        try:
            async with httpcore.AsyncHTTPConnection(origin) as conn:
                url = f"http://{address}{path}"
                answer = await conn.request(
                    method, url, headers=all_headers, content=data
                )
                return Reply(answer.status, _decode(answer.content))
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            pass
    return NO_REPLY


def _decode(data: bytes) -> Any:
    try:
        return msgspec.json.decode(data)
    except msgspec.DecodeError:
        return data.decode(errors="replace")


class OperatorHttpClient:
    """Client of the operator API of several instances, addressed by name."""

    def __init__(self, addresses: dict[str, Address], token: str):
        self.addresses = addresses
        self._headers = [("authorization", f"Bearer {token}")]

    async def version(self, name: str) -> int | None:
        """Return the configuration version in force, or None if the call failed."""
        reply = await self._call(name, "GET", "/operator/config")
        return reply.content["version"] if reply.ok else None

    async def change(self, name: str, change_id: str, content: dict) -> Reply:
        """Submit a configuration change based on the version in force."""
        base = await self.version(name)
        request = {"change_id": change_id, "base_version": base, **content}
        return await self._call(name, "PUT", "/operator/config", request)

    async def members(self, name: str) -> int:
        """Return the size of an instance's member list, 0 if the call failed."""
        reply = await self._call(name, "GET", "/operator/status")
        return len(reply.content.get("members", [])) if reply.ok else 0

    async def _call(self, name: str, method: str, path: str, content=None) -> Reply:
        return await call(self.addresses[name], method, path, content, self._headers)


class CallerHttpClient:
    """Client of the caller API; each call names the entry instance to use."""

    def __init__(self, token: str):
        self._token = token

    async def complete(
        self,
        entry: Address,
        model: str,
        messages: list,
        seed: int,
        max_tokens: int,
        limit_s: float,
    ) -> Reply:
        """Request a completion; the content of a successful reply is its text."""
        request = {
            "model": model,
            "messages": messages,
            "seed": seed,
            "max_tokens": max_tokens,
        }
        path = "/v1/chat/completions"
        reply = await self._call(entry, "POST", path, request, limit_s)
        if not reply.ok:
            return reply
        return Reply(reply.status, reply.content["choices"][0]["message"]["content"])

    async def look_up(
        self, entry: Address, service: str, path: str, limit_s: float
    ) -> Reply:
        """Read a path of a plain service."""
        target = f"/services/{service}/{path}"
        return await self._call(entry, "GET", target, None, limit_s)

    async def book(
        self, entry: Address, service: str, reference: str, limit_s: float
    ) -> Reply:
        """Send a booking with its reference as the idempotency key."""
        content = {"reference": reference}
        key = [("idempotency-key", reference)]
        target = f"/services/{service}/bookings"
        return await self._call(entry, "POST", target, content, limit_s, key)

    async def _call(
        self, entry, method, path, content, limit_s, headers: Headers = ()
    ) -> Reply:
        deadline_ms = int((time.time() + limit_s) * 1000)
        all_headers = [
            ("authorization", f"Bearer {self._token}"),
            ("x-request-deadline", str(deadline_ms)),
            *headers,
        ]
        return await call(entry, method, path, content, all_headers, limit_s + 0.5)
