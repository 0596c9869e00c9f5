"""HTTP client of the weight store."""

from http import HTTPStatus
from typing import TypedDict

from result import Err, Ok, Result

from plantainstack.adapters.http import Answer
from plantainstack.adapters.service_client import (
    ServiceClient,
    decode,
    segment,
    unexpected,
)
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import WeightStore


class _VersionBody(TypedDict):
    version: int


class HttpWeights(WeightStore):
    """HTTP client of the weight store; each call is limited by the request timeout."""

    def __init__(self, client: ServiceClient):
        self._client = client

    async def latest(self, model: str) -> Result[int, Failure]:
        """Return the newest published version of a model, or 0 if there is none."""
        outcome = await self._client.call("GET", f"/models/{segment(model)}/latest")
        decoded = outcome.and_then(lambda answer: decode(answer, _VersionBody))
        return decoded.map(lambda body: body["version"])

    async def publish(self, model: str, version: int) -> Result[None, Failure]:
        """Publish a version of a model."""
        outcome = await self._client.call("POST", _path(model, version))
        return outcome.and_then(_accepted)

    async def acquire(self, model: str, version: int) -> Result[None, Failure]:
        """Acquire a permit for one load; fail with `overloaded` if none is free."""
        outcome = await self._client.call("POST", f"{_path(model, version)}/permits")
        return outcome.and_then(_accepted)


def _path(model: str, version: int) -> str:
    return f"/models/{segment(model)}/versions/{version}"


def _accepted(answer: Answer) -> Result[None, Failure]:
    if answer.status in (HTTPStatus.OK, HTTPStatus.CREATED):
        return Ok(None)
    if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
        wait = answer.headers.get("retry-after", "unknown")
        message = f"no load permit is free; retry after {wait} s"
        return Err(Failure.of(ErrorKind.OVERLOADED, message))
    if answer.status == HTTPStatus.NOT_FOUND:
        return Err(
            Failure.of(
                ErrorKind.NOT_FOUND, "this version of the model is not published"
            )
        )
    return unexpected(answer)
