"""HTTP client of the object store."""

from http import HTTPStatus
from urllib.parse import quote

from result import Err, Ok, Result

from plantainstack.adapters.service_client import ServiceClient, unexpected
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import ObjectStore


class HttpObjects(ObjectStore):
    """HTTP client of the object store; each call is limited by the request timeout."""

    def __init__(self, client: ServiceClient):
        self._client = client

    async def put(self, name: str, data: bytes) -> Result[None, Failure]:
        """Store an object; fail with `conflict` if the name has other content."""
        outcome = await self._client.call("PUT", _path(name), data)
        if outcome.is_err():
            return outcome
        answer = outcome.unwrap()
        if answer.status in (HTTPStatus.OK, HTTPStatus.CREATED):
            return Ok(None)
        if answer.status == HTTPStatus.CONFLICT:
            message = f"object {name} already exists with other content"
            return Err(Failure.of(ErrorKind.CONFLICT, message))
        return unexpected(answer)

    async def get(self, name: str) -> Result[bytes, Failure]:
        """Return an object; fail with `not_found` if the name is unknown."""
        outcome = await self._client.call("GET", _path(name))
        if outcome.is_err():
            return outcome
        answer = outcome.unwrap()
        if answer.status == HTTPStatus.OK:
            return Ok(answer.body)
        if answer.status == HTTPStatus.NOT_FOUND:
            return Err(Failure.of(ErrorKind.NOT_FOUND, f"object {name} does not exist"))
        return unexpected(answer)


def _path(name: str) -> str:
    return f"/objects/{quote(name)}"
