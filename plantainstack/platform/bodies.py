"""Read the bodies of clients' requests within the limits on them."""

import io

import anyio

from plantainstack.decoding import parse_decimal
from plantainstack.errors import ErrorKind, Failure
from plantainstack.platform import names, records
from plantainstack.policy.answer_memory import BodyReservation
from plantainstack.serving import ClientLimits


async def read_body(
    scope, receive, limits: ClientLimits, held: BodyReservation
) -> bytes | Failure | None:
    """Return the body of a request, its refusal, or None if the client has left."""
    refusal = _refuse_head(scope, limits, held)
    return refusal or await _receive_body(receive, limits, held)


def _refuse_head(scope, limits: ClientLimits, held: BodyReservation) -> Failure | None:
    head = sum(len(name) + len(value) + 4 for name, value in scope["headers"])
    if head > limits.header_bytes:
        text = f"headers are limited to {limits.header_bytes} bytes"
        return Failure.of(ErrorKind.HEADERS_TOO_LARGE, text)
    declared = _declared_size(scope)
    if declared > limits.body_bytes:
        return _body_too_large(limits)
    if not held.may_grow_to(declared):
        return held.refusal()
    return None


async def _receive_body(
    receive, limits: ClientLimits, held: BodyReservation
) -> bytes | Failure | None:
    buffer = io.BytesIO()
    while True:
        message = None
        with anyio.move_on_after(limits.idle_timeout_s) as scope:
            held.give_up = scope.cancel
            message = await receive()
        if held.is_given_up:
            return held.refusal()
        if message is None:
            text = f"no body data was received for {limits.idle_timeout_s} s"
            return Failure.of(ErrorKind.REQUEST_TIMEOUT, text)
        if message["type"] == "http.disconnect":
            return None
        buffer.write(message.get("body", b""))
        if buffer.tell() > limits.body_bytes:
            return _body_too_large(limits)
        if not held.grow_to(buffer.tell()):
            return held.refusal()
        if not message.get("more_body"):
            held.give_up = None
            return buffer.getvalue()


def _body_too_large(limits: ClientLimits) -> Failure:
    text = f"the body is limited to {limits.body_bytes} bytes"
    return Failure.of(ErrorKind.BODY_TOO_LARGE, text)


def _declared_size(scope) -> int:
    """Return the length that the head of a request declares, or 0."""
    text = names.header(scope["headers"], "content-length")
    return parse_decimal(text, records.INTEGER_MAX) or 0
