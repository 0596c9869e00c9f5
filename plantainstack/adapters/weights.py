"""The weight store over HTTP."""

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
    """Call the weight store; each call ends within the request timeout."""

    def __init__(self, store: ServiceClient):
        self._store = store

    async def latest(self, model: str) -> Result[int, Failure]:
        """Return the newest published version of a model, 0 without one."""
        outcome = await self._store.call("GET", f"/models/{segment(model)}/latest")
        found = outcome.and_then(lambda answer: decode(answer, _VersionBody))
        return found.map(lambda body: body["version"])

    async def publish(self, model: str, version: int) -> Result[None, Failure]:
        """Publish a version of a model."""
        outcome = await self._store.call("POST", _path(model, version))
        return outcome.and_then(_accepted)

    async def acquire(self, model: str, version: int) -> Result[None, Failure]:
        """Take a permit for one load, or fail with kind `overloaded`."""
        outcome = await self._store.call("POST", f"{_path(model, version)}/permits")
        return outcome.and_then(_accepted)


def _path(model: str, version: int) -> str:
    return f"/models/{segment(model)}/versions/{version}"


def _accepted(answer: Answer) -> Result[None, Failure]:
    if answer.status in (HTTPStatus.OK, HTTPStatus.CREATED):
        return Ok(None)
    if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
        wait = answer.headers.get("retry-after", "unknown")
        message = f"no permit is free; retry after {wait} s"
        return Err(Failure.of(ErrorKind.OVERLOADED, message))
    if answer.status == HTTPStatus.NOT_FOUND:
        return Err(Failure.of(ErrorKind.NOT_FOUND, "no such version"))
    return unexpected(answer)
