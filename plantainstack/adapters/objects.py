"""The object store over HTTP."""

from http import HTTPStatus
from urllib.parse import quote

from result import Err, Ok, Result

from plantainstack.adapters.service_client import ServiceClient, unexpected
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import ObjectStore


class HttpObjects(ObjectStore):
    """Call the object store; each call ends within the request timeout."""

    def __init__(self, store: ServiceClient):
        self._store = store

    async def put(self, name: str, data: bytes) -> Result[None, Failure]:
        """Store an object; other content under the same name is a `conflict`."""
        outcome = await self._store.call("PUT", _path(name), data)
        if outcome.is_err():
            return outcome
        answer = outcome.unwrap()
        if answer.status in (HTTPStatus.OK, HTTPStatus.CREATED):
            return Ok(None)
        if answer.status == HTTPStatus.CONFLICT:
            message = f"object {name} has other content"
            return Err(Failure.of(ErrorKind.CONFLICT, message))
        return unexpected(answer)

    async def get(self, name: str) -> Result[bytes, Failure]:
        """Return an object; an unknown name is `not_found`."""
        outcome = await self._store.call("GET", _path(name))
        if outcome.is_err():
            return outcome
        answer = outcome.unwrap()
        if answer.status == HTTPStatus.OK:
            return Ok(answer.body)
        if answer.status == HTTPStatus.NOT_FOUND:
            return Err(Failure.of(ErrorKind.NOT_FOUND, f"no object {name}"))
        return unexpected(answer)


def _path(name: str) -> str:
    return f"/objects/{quote(name)}"
