"""Stand-in for a server of the platform, with its registration in the store."""

import itertools
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, ClassVar, NamedTuple

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from plantainstack.settings.options import Address
from standins.base import Endpoint, json_response
from standins.metadata_store import MetadataStoreStandin

ENDPOINT_TABLE = "servers"
NESTING_DEPTH = 30_000
_METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH"]
_LEAVING_HEADERS = [(b"server-leaving", b"1"), (b"connection", b"close")]


class PlatformEndpointOptions(NamedTuple):
    """Identity of an endpoint; with `events`, a POST is answered with so many."""

    id: str
    service: str = "models"
    software: str = "v1"
    data_centre: str = "dc-a"
    slots: int = 16
    events: int = 0


class PlatformEndpointStandin(Endpoint):
    """Answer requests and streams in texts that name the software version.

    PUT /_leaving announces that the endpoint is leaving: from then on all answers have
    the header `Server-Leaving`, and the registration has the state `draining`.
    """

    id_header: ClassVar[bytes] = b"plantainstack-request-id"

    def __init__(self, options: PlatformEndpointOptions, clock=None):
        super().__init__(clock)
        self._options = options
        self._started_ms = 0
        self._writes = itertools.count(1)
        self._registration: tuple[MetadataStoreStandin, Address] | None = None

    def routes(self) -> list[BaseRoute]:
        """Return the routes of a platform server and of an endpoint."""
        return [
            *super().routes(),
            Route("/health", self._health, methods=["GET"]),
            Route("/api/report", self._report, methods=["GET"]),
            Route("/{path:path}", self._call, methods=_METHODS),
        ]

    def app(self) -> ASGIApp:
        """Return the application; refusals by faults have the leaving header too."""
        app = super().app()

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            is_request = scope["type"] == "http"
            await app(scope, receive, _LeavingSend(self, send) if is_request else send)

        return serve

    def state(self) -> dict[str, Any]:
        """Return the request count, the software version and the start time."""
        software = self._options.software
        return {**super().state(), "software": software, "born": self._started_ms}

    def is_leaving(self) -> bool:
        """Return whether the endpoint has announced that it is leaving."""
        return self.leaving_since is not None

    def register(self, store: MetadataStoreStandin, address: Address) -> None:
        """Write the registration, and rewrite it at each later change."""
        self._registration = (store, address)
        self._started_ms = int(self.clock.wall() * 1000)
        self._write_registration()

    def leave(self) -> None:
        """Announce in answers and in the registration that the endpoint is leaving."""
        self.leaving_since = self.clock.now()
        self._write_registration()

    def unregister(self) -> None:
        """Remove the registration, as the platform does with an ended server."""
        store, _ = self._registration
        store.remove(ENDPOINT_TABLE, self._options.id)

    def restart(self, software: str) -> None:
        """Start again under the same id with a software version, knowing nothing."""
        self._options = self._options._replace(software=software)
        self.requests = 0
        self.leaving_since = self.last_after_leaving_s = None
        self._writes = itertools.count(1)
        # A start within the same millisecond would be taken for the same run.
        now_ms = int(self.clock.wall() * 1000)
        self._started_ms = max(self._started_ms + 1, now_ms)
        self._write_registration()

    def _write_registration(self) -> None:
        if self._registration is None:
            return
        store, address = self._registration
        options = self._options
        content = {
            "backend": options.service,
            "address": str(address),
            "zone": options.data_centre,
            "version": options.software,
            "slots": options.slots,
            "state": "draining" if self.is_leaving() else "ready",
            "cold_ms": 0,
            "seq": next(self._writes),
            "born": self._started_ms,
        }
        store.write(ENDPOINT_TABLE, options.id, content)

    async def _put_leaving(self, request: Request) -> Response:
        answer = await super()._put_leaving(request)
        self._write_registration()
        return answer

    async def _health(self, request: Request) -> Response:
        status = HTTPStatus.SERVICE_UNAVAILABLE if self.is_leaving() else HTTPStatus.OK
        return json_response({}, status, Plantainstack_Instance_Id=self._options.id)

    async def _report(self, request: Request) -> Response:
        return json_response({"models": [], "busy": False, "seq": 0})

    async def _call(self, request: Request) -> Response:
        self.count_request()
        options = self._options
        expected = request.headers.get("plantainstack-expect-instance", options.id)
        if expected != options.id:
            return _not_executed(HTTPStatus.MISDIRECTED_REQUEST)
        if not request.headers.get(self.id_header.decode()):
            return _not_executed(HTTPStatus.BAD_REQUEST)
        seal = {"plantainstack-server-seal": f"{options.id}.{self.requests}"}
        if options.events and request.method == "POST":
            first = int(request.headers.get("last-event-id", 0)) + 1
            return StreamingResponse(
                self._events(first), headers=seal, media_type="text/event-stream"
            )
        return Response(event_text(options, 0), headers=seal, media_type="text/plain")

    async def _events(self, first: int) -> AsyncIterator[bytes]:
        options = self._options
        for number in range(first, options.events + 1):
            yield f"id: {number}\ndata: {event_text(options, number)}\n\n".encode()


class _LeavingSend:
    """Add the headers of a leaving endpoint to an answer.

    Faults that disconnect reach the server's transport through `__self__`.
    """

    def __init__(self, endpoint: PlatformEndpointStandin, send: Send):
        self.__self__ = send.__self__
        self._endpoint = endpoint
        self._send = send

    async def __call__(self, message: Message) -> None:
        if message["type"] == "http.response.start" and self._endpoint.is_leaving():
            headers = [*message.get("headers", []), *_LEAVING_HEADERS]
            message = {**message, "headers": headers}
        await self._send(message)


def event_text(options: PlatformEndpointOptions, number: int) -> str:
    """Return the text of an event, which shows who generated it."""
    return f"{options.software} {options.id} {number}"


def text_software(text: str) -> str:
    """Return the software version that generated the text of an event."""
    return text.split()[0]


def odd_registrations(key_prefix: str = "odd") -> dict[str, bytes]:
    """Return entries of another writer, none of which names a server to use, by key."""
    content = {
        "backend": "models",
        "address": "127.0.0.1:1",
        "zone": "dc-a",
        "version": "v1",
        "slots": 16,
        "state": "ready",
        "cold_ms": 0,
        "seq": 1,
        "born": 1,
    }
    nested = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
    huge = b"9" * 5000
    text = msgspec.json.encode
    changes = {
        "nested": text(content)[:-1] + b',"more":' + nested + b"}",
        "huge-slots": text(content).replace(b'"slots":16', b'"slots":' + huge),
        "huge-port": text(content | {"address": "127.0.0.1:" + "9" * 5000}),
        "large-port": text(content | {"address": "127.0.0.1:65536"}),
        "port-zero": text(content | {"address": "127.0.0.1:0"}),
        "port-sign": text(content | {"address": "127.0.0.1:\u00b2"}),
        "no-address": text({k: v for k, v in content.items() if k != "address"}),
        "text-slots": text(content | {"slots": "many"}),
        "no-slots": text(content | {"slots": 0}),
        "other-state": text(content | {"state": "sleeping"}),
        "list": b"[]",
        "empty": b"",
        "binary": b"\xff\xfe\x00",
        "cut": text(content)[:40],
    }
    return {f"{key_prefix}-{name}": value for name, value in changes.items()}


def _not_executed(status: HTTPStatus) -> Response:
    return json_response({}, status, Plantainstack_Not_Executed="1")
