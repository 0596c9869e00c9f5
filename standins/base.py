"""Base classes of the stand-ins: fault injection, state reports and JSON bodies."""

from abc import ABC, abstractmethod
from collections import deque
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any, ClassVar, TypeVar

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp

from plantainstack.clock import Clock, SystemClock
from standins.faults import ATTEMPT_HEADER, Fault, FaultMiddleware, FaultTable

T = TypeVar("T")

HISTORY_S = 30.0


class _FaultsBody(msgspec.Struct):
    faults: list[Fault]


class _LeavingBody(msgspec.Struct):
    leaving: bool


class Standin(ABC):
    """Serve a fake of one platform service.

    PUT /_faults replaces the injected faults; GET /_state returns the state.
    """

    id_header: ClassVar[bytes] = ATTEMPT_HEADER

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self.faults = FaultTable()

    @abstractmethod
    def routes(self) -> list[BaseRoute]:
        """Return the routes of the service."""

    @abstractmethod
    def state(self) -> dict[str, Any]:
        """Return the answer to GET /_state."""

    async def run(self) -> None:
        """Run background work for as long as the application is up."""

    def app(self) -> ASGIApp:
        """Return the ASGI application, with fault injection around the routes."""
        common = [
            Route("/_faults", self._put_faults, methods=["PUT"]),
            Route("/_state", self._get_state, methods=["GET"]),
        ]
        app = Starlette(
            routes=[*common, *self.routes()],
            lifespan=self._lifespan,
            exception_handlers={msgspec.DecodeError: _bad_request},
        )
        return FaultMiddleware(app, self.faults, self.clock, self.id_header)

    @asynccontextmanager
    async def _lifespan(self, app: Starlette):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run)
            yield
            tasks.cancel_scope.cancel()

    async def _put_faults(self, request: Request) -> Response:
        self.faults.replace((await decode_body(request, _FaultsBody)).faults)
        return json_response({})

    async def _get_state(self, request: Request) -> Response:
        return json_response(self.state())


class Endpoint(Standin):
    """Serve requests routed by the service under test, and count them.

    PUT /_leaving announces that the endpoint is leaving. From then on the state
    contains the time of the last request, in seconds after the announcement.
    """

    kind: ClassVar[str]

    def __init__(self, clock: Clock | None = None):
        super().__init__(clock)
        self.requests = 0
        self.leaving_since: float | None = None
        self.last_after_leaving_s: float | None = None

    def routes(self) -> list[BaseRoute]:
        """Return the route on which the endpoint announces that it is leaving."""
        return [Route("/_leaving", self._put_leaving, methods=["PUT"])]

    def state(self) -> dict[str, Any]:
        """Return the request count and whether the endpoint is leaving."""
        return {
            "requests": self.requests,
            "leaving": self.leaving_since is not None,
            "last_after_leaving_s": self.last_after_leaving_s,
        }

    def count_request(self) -> None:
        """Count a received request, and note its time if the endpoint is leaving."""
        self.requests += 1
        if self.leaving_since is not None:
            self.last_after_leaving_s = self.clock.now() - self.leaving_since

    async def _put_leaving(self, request: Request) -> Response:
        leaving = (await decode_body(request, _LeavingBody)).leaving
        self.leaving_since = self.clock.now() if leaving else None
        return json_response({})


class History:
    """Keep the states of the last 30 s, so that a report can be out of date."""

    def __init__(self, clock: Clock, value: Any):
        self._clock = clock
        self._states: deque[tuple[float, Any]] = deque([(clock.now(), value)])

    def record(self, value: Any) -> None:
        """Record a state at the current time, and drop expired ones."""
        now = self._clock.now()
        self._states.append((now, value))
        while len(self._states) > 1 and self._states[1][0] < now - HISTORY_S:
            self._states.popleft()

    def ago(self, seconds: float) -> Any:
        """Return the state `seconds` ago, or the oldest recorded one."""
        limit = self._clock.now() - seconds
        known = [value for time, value in self._states if time <= limit]
        return known[-1] if known else self._states[0][1]


async def decode_body(request: Request, kind: type[T]) -> T:
    """Decode the JSON body of a request; raise msgspec.DecodeError if invalid."""
    return msgspec.json.decode(await request.body(), type=kind)


def json_response(value: Any, status: int = HTTPStatus.OK, **headers: str) -> Response:
    """Return a JSON response; underscores in header names become hyphens."""
    names = {name.replace("_", "-"): text for name, text in headers.items()}
    return Response(
        msgspec.json.encode(value), status, names, media_type="application/json"
    )


async def _bad_request(request: Request, exc: Exception) -> Response:
    return json_response({"error": str(exc)}, HTTPStatus.BAD_REQUEST)
