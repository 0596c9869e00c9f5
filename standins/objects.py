"""Stand-in for the object store, in memory."""

from http import HTTPStatus
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Standin, json_response


class ObjectsStandin(Standin):
    """Store immutable objects; a write of other content to a name is a conflict."""

    def __init__(self, clock=None):
        super().__init__(clock)
        self._objects: dict[str, bytes] = {}
        self._counts = {"puts": 0, "gets": 0}

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the object store."""
        return [
            Route("/objects/{name:path}", self._put, methods=["PUT"]),
            Route("/objects/{name:path}", self._get, methods=["GET"]),
        ]

    def state(self) -> dict[str, Any]:
        """Return the number and total size of the objects, and the call counts."""
        size = sum(len(data) for data in self._objects.values())
        return {"objects": len(self._objects), "bytes": size, **self._counts}

    async def _put(self, request: Request) -> Response:
        name, data = request.path_params["name"], await request.body()
        self._counts["puts"] += 1
        if name not in self._objects:
            self._objects[name] = data
            return json_response({}, HTTPStatus.CREATED)
        same = self._objects[name] == data
        return json_response({}, HTTPStatus.OK if same else HTTPStatus.CONFLICT)

    async def _get(self, request: Request) -> Response:
        self._counts["gets"] += 1
        data = self._objects.get(request.path_params["name"])
        if data is None:
            return json_response({}, HTTPStatus.NOT_FOUND)
        return Response(data, media_type="application/octet-stream")
