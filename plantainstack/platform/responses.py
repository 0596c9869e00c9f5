"""Build the responses to the platform's clients and send them."""

import math
from http import HTTPStatus
from typing import Any, NamedTuple

import anyio
import msgspec

from plantainstack.errors import ERROR_TABLE, Failure, Outcome
from plantainstack.platform import names
from plantainstack.policy.forwarding import NOT_RUN_STATUSES, RETRY_AFTER_S

# Part of a body that is sent at once.
PIECE_BYTES = 64 * 1024


class Response(NamedTuple):
    """Hold a complete response to a client."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b""


class StreamAborted(Exception):
    """Raised to close a client's connection in the middle of a response."""


class ResponseSender:
    """Send the response to one request."""

    def __init__(self, kernel, request_id: str, send):
        self._kernel = kernel
        self._request_id = request_id
        self._send = send

    async def respond(self, response: Response) -> None:
        """Send a complete response."""
        length = ("Content-Length", str(len(response.body)))
        headers = [*response.headers, length]
        if names.header(headers, names.REQUEST_ID) is None and self._request_id:
            headers.append((names.REQUEST_ID, self._request_id))
        await self.send_headers(response.status, headers)
        if len(response.body) > PIECE_BYTES:
            await self._send_pieces(response.body)
        else:
            await self.send_body(response.body, more=False)

    async def _send_pieces(self, body: bytes) -> None:
        """Send a body no faster than the client reads it.

        The server would keep a copy of what the client has not read.
        """
        limit_s = self._kernel.plugin("discovery").limits().idle_timeout_s
        # The last part is empty: it waits until the one before it is read.
        for start in range(0, len(body) + PIECE_BYTES, PIECE_BYTES):
            part = body[start : start + PIECE_BYTES]
            with anyio.move_on_after(limit_s) as scope:
                await self.send_body(part, more=start < len(body))
            if scope.cancelled_caught:
                raise StreamAborted(f"the client read nothing for {limit_s} s")

    async def send_headers(self, status: int, headers) -> None:
        """Send the status and the headers of a response."""
        if self._kernel.unready_reason() == "draining":
            headers = [*headers, ("Connection", "close")]
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def send_body(self, body: bytes, more: bool) -> None:
        """Send a part of a body; `more` says whether another part follows."""
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )


def json_response(content: dict[str, Any]) -> Response:
    """Build the response that returns JSON."""
    headers = [("Content-Type", "application/json")]
    return Response(HTTPStatus.OK, headers, msgspec.json.encode(content))


def failure_response(failure: Failure) -> Response:
    """Build the response to a failure.

    A status of NOT_RUN_STATUSES is sent only for the outcome `not_run`.
    """
    status = ERROR_TABLE[failure.kind].status
    if failure.outcome is Outcome.NOT_RUN and status == HTTPStatus.BAD_GATEWAY:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    if failure.outcome is not Outcome.NOT_RUN and status in NOT_RUN_STATUSES:
        status = HTTPStatus.GATEWAY_TIMEOUT
    headers = [("Content-Type", "application/json")]
    if status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
        wait_s = failure.retry_after_s
        wait_s = RETRY_AFTER_S if wait_s is None else wait_s
        headers.append(("Retry-After", f"{math.ceil(wait_s * 100) / 100}"))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    content = {"error": failure.kind.value, "message": failure.message}
    return Response(status, headers, msgspec.json.encode(content))
