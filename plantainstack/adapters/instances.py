"""HTTP client of the instance list."""

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
    """HTTP client of the instance list; each call is limited by the request timeout."""

    def __init__(self, client: ServiceClient):
        self._client = client
        self._etag = ""
        self._records: list[InstanceRecord] = []

    async def list(self) -> Result[list[InstanceRecord], Failure]:
        """Return all instances.

        The list is read every second, so the request is conditional on the last ETag,
        and an unchanged list is not sent again.
        """
        headers = [("If-None-Match", self._etag)] if self._etag else []
        outcome = await self._client.call("GET", "/instances", headers=headers)
        if outcome.is_ok() and outcome.ok_value.status == HTTPStatus.NOT_MODIFIED:
            return Ok(self._records)
        decoded = outcome.and_then(lambda answer: decode(answer, _ListBody))
        if decoded.is_ok():
            self._etag = outcome.ok_value.headers.get("etag", "")
            self._records = [_record(item) for item in decoded.ok_value["instances"]]
        return decoded.map(lambda _: self._records)


def _record(body: _RecordBody) -> InstanceRecord:
    return InstanceRecord(
        id=body["id"],
        service=body["service"],
        kind=body["kind"],
        data_centre=body["data_centre"],
        address=Address(body["host"], body["port"]),
        state=body["state"],
    )
