"""Calls to platform services whose failures are of kind `store_unavailable`."""

from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from plantainstack.adapters.http import Answer, Headers, HttpClient
from plantainstack.errors import ErrorKind, Failure, Outcome

T = TypeVar("T")


class ServiceClient:
    """Map every failed exchange with one service to a failure."""

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
        """Return the complete answer; status 503 is a failure of outcome not_run."""
        exchange = await self._client.exchange(method, path, body, deadline, headers)
        if exchange.is_err():
            stop = exchange.unwrap_err()
            outcome = Outcome.MAY_HAVE_RUN if stop.sent else Outcome.NOT_RUN
            return Err(unavailable(stop.message, outcome))
        answer = exchange.unwrap()
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return Err(unavailable(f"{method} {path} was refused", Outcome.NOT_RUN))
        return Ok(answer)

    async def aclose(self) -> None:
        """Close the connections that are not in use."""
        await self._client.aclose()


def unavailable(message: str, outcome: Outcome) -> Failure:
    """Build a failure of a store."""
    return Failure.of(ErrorKind.STORE_UNAVAILABLE, message, outcome)


def unexpected(answer: Answer) -> Err[Failure]:
    """Return the failure for a status that the interface does not define."""
    message = f"answer with unexpected status {answer.status}"
    return Err(unavailable(message, Outcome.MAY_HAVE_RUN))


def decode(answer: Answer, kind: type[T]) -> Result[T, Failure]:
    """Decode the JSON body of an answer with status 200."""
    if answer.status != HTTPStatus.OK:
        return unexpected(answer)
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except msgspec.DecodeError as exc:
        message = f"answer does not decode: {exc}"
        return Err(unavailable(message, Outcome.MAY_HAVE_RUN))


def segment(text: str) -> str:
    """Quote text for one segment of a path."""
    return quote(text, safe="")
