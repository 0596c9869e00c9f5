"""Receive the bodies of requests within their limits."""

import contextlib
import io

import anyio
from result import Err, Ok, Result
from starlette.requests import Request

from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy.answer_memory import BodyReservation

DISCARD_MAX_BYTES = 16 * 1024 * 1024


@contextlib.contextmanager
def receiving(held: BodyReservation):
    """End the block early if the body is given up in favour of others."""
    with anyio.CancelScope() as scope:
        held.give_up = scope.cancel
        try:
            yield
        finally:
            held.give_up = None


async def read_body(request: Request, limit: int) -> Result[bytes, Failure]:
    """Read a request body of at most `limit` bytes.

    The rest of a larger body is read and discarded, up to DISCARD_MAX_BYTES:
    closing a connection with unread bytes resets it, and the caller would not
    receive the error response.
    """
    message = f"the body is limited to {limit} bytes"
    too_large = Err(Failure.of(ErrorKind.BODY_TOO_LARGE, message))
    discard_limit = limit + DISCARD_MAX_BYTES
    declared = int(request.headers.get("content-length", "0"))
    if declared > discard_limit:
        return too_large
    held = request.state.body_memory
    if not held.may_grow_to(min(declared, limit)):
        return Err(held.refusal())
    buffer = io.BytesIO()
    size = 0
    with receiving(held):
        async for chunk in request.stream():
            size += len(chunk)
            if size > discard_limit:
                return too_large
            if size <= limit:
                if not held.grow_to(size):
                    return Err(held.refusal())
                buffer.write(chunk)
    if held.is_given_up:
        return Err(held.refusal())
    return Ok(buffer.getvalue()) if size <= limit else too_large
