"""The instance list over HTTP."""

from __future__ import annotations

from typing import TypedDict

from result import Result

from plantainstack.errors import Failure
from plantainstack.platform.base import (
    InstanceKind,
    InstanceList,
    InstanceRecord,
    InstanceState,
)
from plantainstack.platform.store import StoreClient, decode
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

    def __init__(self, store: StoreClient):
        self._store = store

    async def list(self) -> Result[list[InstanceRecord], Failure]:
        """Return all instances."""
        outcome = await self._store.call("GET", "/instances")
        found = outcome.and_then(lambda answer: decode(answer, _ListBody))
        return found.map(lambda body: [_record(item) for item in body["instances"]])


def _record(body: _RecordBody) -> InstanceRecord:
    return InstanceRecord(
        id=body["id"],
        service=body["service"],
        kind=body["kind"],
        data_centre=body["data_centre"],
        address=Address(body["host"], body["port"]),
        state=body["state"],
    )
