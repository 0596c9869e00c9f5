"""Client of platform services whose failures are of kind `store_unavailable`."""

from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from plantainstack.adapters.http import Answer, Headers, HttpClient
from plantainstack.decoding import UNDECODABLE
from plantainstack.errors import ErrorKind, Failure, Outcome

T = TypeVar("T")


class ServiceClient:
    """Calls one platform service and maps failed exchanges to failures."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline: float | None = None,
        headers: Headers = (),
    ) -> Result[Answer, Failure]:
        """Return the complete answer.

        Status 503 is a failure with the outcome `not_run`. The deadline is a monotonic
        time in seconds.
        """
        exchange = await self._client.exchange(method, path, body, deadline, headers)
        if exchange.is_err():
            incomplete = exchange.unwrap_err()
            outcome = Outcome.MAY_HAVE_RUN if incomplete.sent else Outcome.NOT_RUN
            return Err(unavailable(incomplete.message, outcome))
        answer = exchange.unwrap()
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return Err(
                unavailable(
                    f"{method} {path} was refused with status 503", Outcome.NOT_RUN
                )
            )
        return Ok(answer)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._client.aclose()


def unavailable(message: str, outcome: Outcome) -> Failure:
    """Build a failure of kind `store_unavailable`."""
    return Failure.of(ErrorKind.STORE_UNAVAILABLE, message, outcome)


def unexpected(answer: Answer) -> Err[Failure]:
    """Return the failure for a status that the interface does not define."""
    message = f"the service answered with unexpected status {answer.status}"
    return Err(unavailable(message, Outcome.MAY_HAVE_RUN))


def decode(answer: Answer, kind: type[T]) -> Result[T, Failure]:
    """Decode the JSON body; an answer with a status other than 200 is a failure."""
    if answer.status != HTTPStatus.OK:
        return unexpected(answer)
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except UNDECODABLE as exc:
        message = f"the answer cannot be decoded: {exc}"
        return Err(unavailable(message, Outcome.MAY_HAVE_RUN))


def segment(text: str) -> str:
    """Percent-encode text for use as one segment of a URL path."""
    return quote(text, safe="")
