"""The instance list over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypedDict

from result import Ok, Result

from plantainstack.adapters.service_client import ServiceClient, decode
from plantainstack.errors import Failure
from plantainstack.interfaces import (
    InstanceKind,
    InstanceList,
    InstanceRecord,
    InstanceState,
)
from plantainstack.settings.options import Address


class _RecordBody(TypedDict):
    id: str
    service: str
    kind: InstanceKind
    data_centre: str
    host: str
    port: int
    state: InstanceState


class _ListBody(TypedDict):
    instances: list[_RecordBody]


class HttpInstances(InstanceList):
    """Call the instance list; each call ends within the request timeout."""

    def __init__(self, store: ServiceClient):
        self._store = store
        self._tag = ""
        self._records: list[InstanceRecord] = []

    async def list(self) -> Result[list[InstanceRecord], Failure]:
        """Return all instances.

        The list is read every second, so an unchanged one is not sent again.
        """
        headers = [("If-None-Match", self._tag)] if self._tag else []
        outcome = await self._store.call("GET", "/instances", headers=headers)
        if outcome.is_ok() and outcome.ok_value.status == HTTPStatus.NOT_MODIFIED:
            return Ok(self._records)
        found = outcome.and_then(lambda answer: decode(answer, _ListBody))
        if found.is_ok():
            self._tag = outcome.ok_value.headers.get("etag", "")
            self._records = [_record(item) for item in found.ok_value["instances"]]
        return found.map(lambda _: self._records)


def _record(body: _RecordBody) -> InstanceRecord:
    return InstanceRecord(
        id=body["id"],
        service=body["service"],
        kind=body["kind"],
        data_centre=body["data_centre"],
        address=Address(body["host"], body["port"]),
        state=body["state"],
    )
