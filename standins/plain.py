"""Stand-in for an endpoint of a plain service, such as a booking application."""

from collections import Counter
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Endpoint, decode_body, json_response

_METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH"]


class _Booking(msgspec.Struct):
    reference: str


class PlainStandin(Endpoint):
    """Execute bookings, counted by reference, and answer look-ups."""

    def __init__(self, name: str = "plain", delay: float = 0.0, clock=None):
        super().__init__(clock)
        self._name = name
        self._delay = delay
        self._runs: Counter[str] = Counter()
        self._lookups = 0

    def routes(self) -> list[BaseRoute]:
        """Return a route for all paths, after those of an endpoint."""
        return [*super().routes(), Route("/{path:path}", self._call, methods=_METHODS)]

    def state(self) -> dict[str, Any]:
        """Return the executions of each booking reference and the look-up count."""
        return {**super().state(), "runs": self._runs, "lookups": self._lookups}

    async def _call(self, request: Request) -> Response:
        self.count_request()
        if request.method == "GET":
            self._lookups += 1
            answer = {"path": request.url.path}
        else:
            reference = (await decode_body(request, _Booking)).reference
            self._runs[reference] += 1
            answer = {"reference": reference, "run": self._runs[reference]}
        await self.clock.sleep_until(self.clock.now() + self._delay)
        return json_response({**answer, "endpoint": self._name})
