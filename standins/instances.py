"""Stand-in for the platform's instance list, which is out of date by a set time."""

from typing import Any

import msgspec
import xxhash
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import History, Standin, decode_body, json_response
from standins.faults import Action


class _Instance(msgspec.Struct):
    service: str
    kind: str
    data_centre: str
    host: str
    port: int
    state: str = "live"


class InstancesStandin(Standin):
    """Report the instances as registered `lag` seconds ago."""

    def __init__(self, lag: float = 0.0, clock=None):
        super().__init__(clock)
        self._lag = lag
        self._instances: dict[str, _Instance] = {}
        self._history = History(self.clock, [])

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the instance list."""
        return [
            Route("/instances", self._list, methods=["GET"]),
            Route("/instances/{id}", self._put, methods=["PUT"]),
            Route("/instances/{id}", self._delete, methods=["DELETE"]),
        ]

    def state(self) -> dict[str, Any]:
        """Return the instances registered now."""
        return {"instances": self._history.ago(0.0)}

    async def _list(self, request: Request) -> Response:
        fault = self.faults.take_state_fault(Action.LAG, request.url.path)
        lag = fault.seconds if fault else self._lag
        answer = json_response({"instances": self._history.ago(lag)})
        tag = f'"{xxhash.xxh3_64_hexdigest(answer.body)}"'
        if request.headers.get("if-none-match") == tag:
            return Response(status_code=304, headers={"ETag": tag})
        answer.headers["ETag"] = tag
        return answer

    async def _put(self, request: Request) -> Response:
        self._instances[request.path_params["id"]] = await decode_body(
            request, _Instance
        )
        self._record()
        return json_response({})

    async def _delete(self, request: Request) -> Response:
        self._instances.pop(request.path_params["id"], None)
        self._record()
        return json_response({})

    def _record(self) -> None:
        self._history.record(
            [
                {"id": name, **msgspec.structs.asdict(instance)}
                for name, instance in sorted(self._instances.items())
            ]
        )
