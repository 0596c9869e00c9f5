"""Check the answers of endpoints, and read them within their memory."""

import contextlib
import io
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Iterator

import anyio
import httpcore

from plantainstack.policy import answer_binding
from plantainstack.policy.answer_binding import AnswerRule
from plantainstack.policy.answer_memory import Reservation

# Statuses that an answer to a request may have.
STATUS_MIN = 200
STATUS_MAX = 599
# A complete answer is held in memory, of which the smallest instances have 128 MB.
ANSWER_BYTES_MAX = 8 * 1024 * 1024
# Memory that a decoded header takes besides its text.
HEADER_OVERHEAD_BYTES = 256


class AnswerCrossed(httpcore.RemoteProtocolError):
    """An answer belongs to another request, or to none."""


class AnswerTooLarge(httpcore.RemoteProtocolError):
    """The head or the body of an answer exceeds its limit."""


class AnswerGivenUp(AnswerTooLarge):
    """An answer is given up, since the answers of a process take too much memory."""


class AnswerCheck(ABC):
    """Checks an answer before anything of it is used."""

    def __init__(self, rule: AnswerRule, id_header: str):
        self.rule = rule
        self._id_header = id_header.lower().encode()

    def mismatch(self, response: httpcore.Response, alone: bool) -> str | None:
        """Return why an answer does not belong to the request, or None if it does.

        `alone` states that the connection has carried no other request.
        """
        if not STATUS_MIN <= response.status <= STATUS_MAX:
            return f"the answer has the status {response.status}"
        return answer_binding.mismatch(
            self.rule, self._ids(response), alone, self.is_refusal(response)
        )

    def may_keep_connection(self, response: httpcore.Response) -> bool:
        """Return whether the connection of an answer may carry another request."""
        return answer_binding.may_keep_connection(self._ids(response))

    def _ids(self, response: httpcore.Response) -> list[str]:
        return [
            value.decode("latin-1")
            for name, value in response.headers
            if name.lower() == self._id_header
        ]

    @abstractmethod
    def is_refusal(self, response: httpcore.Response) -> bool:
        """Return whether the answer declares that the request was not run."""


@contextlib.contextmanager
def giving_up(
    held: Reservation, free: Callable[[], None] | None = None
) -> Iterator[None]:
    """End the block with AnswerGivenUp as soon as its answer is given up.

    `free` frees what the answer takes, now and after the block.
    """
    with anyio.CancelScope() as scope:

        def give_up() -> None:
            scope.cancel()
            if free:
                free()

        if not held.reason:
            held.give_up = give_up
            try:
                yield
            finally:
                held.give_up = free
    if held.reason:
        raise AnswerGivenUp(held.reason)


async def read_chunks(
    response: httpcore.Response, held: Reservation, free: Callable[[], None]
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body until its answer is given up."""
    body = aiter(response.stream)
    chunk: bytes | None = b""
    while chunk is not None:
        yield chunk
        with giving_up(held, free):
            chunk = await anext(body, None)


async def read_body(
    response: httpcore.Response, held: Reservation, limit=ANSWER_BYTES_MAX
) -> bytes:
    """Return the body of an answer; raise AnswerTooLarge above `limit` bytes."""
    # `getvalue` returns the buffer itself and makes no copy.
    buffer = io.BytesIO()
    with giving_up(held, buffer.close):
        async for chunk in response.stream:
            held.grow(len(chunk))
            if held.reason:
                break
            buffer.write(chunk)
            if buffer.tell() > limit:
                raise AnswerTooLarge(f"the body of the answer exceeds {limit} bytes")
    held.give_up = None
    return buffer.getvalue()


def head_bytes(response: httpcore.Response) -> int:
    """Return the memory that the decoded head of an answer takes."""
    return sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in response.headers
    )
