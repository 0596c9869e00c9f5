"""Fault injection for stand-ins; tests set the faults over HTTP."""

from enum import StrEnum

import anyio
import msgspec
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from plantainstack.clock import Clock

ATTEMPT_HEADER = b"x-attempt-id"
OTHER_ATTEMPT_ID = b"another-request"


class Action(StrEnum):
    """Effect of a fault on a request or on the state of a stand-in."""

    REFUSE = "refuse"  # respond with the status of the fault
    DELAY = "delay"  # wait before the request is handled
    DROP_AFTER_EFFECT = "drop_after_effect"  # handle it, disconnect without response
    CUT = "cut"  # disconnect in the middle of the response body
    SILENT = "silent"  # never respond
    LATE = "late"  # handle the request, wait before the response headers
    CROSSED = "crossed"  # respond with the attempt id of another request
    LAG = "lag"  # report an older state
    SKIP = "skip"  # leave out cache events
    IGNORE_FENCE = "ignore_fence"  # accept orders with an old fencing token
    FAIL_SWAP = "fail_swap"  # let the load of a weight version fail


# These faults change the reports or the behaviour of a stand-in and are applied by
# it; the middleware applies all others to the responses.
_STATE_ACTIONS = (Action.LAG, Action.SKIP, Action.IGNORE_FENCE, Action.FAIL_SWAP)


class Fault(msgspec.Struct):
    """A fault for requests whose path starts with `match`.

    It applies to the next `count` requests, or to every one if `count` is 0.
    `seconds` is the duration of a delay or lag, `status` the HTTP status of a refusal.
    """

    match: str
    action: Action
    count: int = 0
    seconds: float = 0.0
    status: int = 503


class FaultTable:
    """The active faults; one with a count is removed after its last use."""

    def __init__(self):
        self._faults: list[Fault] = []

    def replace(self, faults: list[Fault]) -> None:
        """Replace all active faults."""
        self._faults = list(faults)

    def take_answer_fault(self, path: str) -> Fault | None:
        """Return the first fault for the response to a path, and count its use."""
        return self._take(
            fault
            for fault in self._faults
            if fault.action not in _STATE_ACTIONS and path.startswith(fault.match)
        )

    def take_state_fault(self, action: Action, path: str) -> Fault | None:
        """Return the first fault with an action for a path, and count its use."""
        return self._take(
            fault
            for fault in self._faults
            if fault.action is action and path.startswith(fault.match)
        )

    def _take(self, matching) -> Fault | None:
        fault = next(matching, None)
        if fault is not None and fault.count > 0:
            fault.count -= 1
            if fault.count == 0:
                self._faults = [other for other in self._faults if other is not fault]
        return fault


class FaultMiddleware:
    """ASGI middleware: echo the attempt id and apply faults to responses.

    The id is taken from and returned in `id_header`, whose name is in lower case.
    """

    def __init__(
        self,
        app: ASGIApp,
        faults: FaultTable,
        clock: Clock,
        id_header: bytes = ATTEMPT_HEADER,
    ):
        self._app = app
        self._faults = faults
        self._clock = clock
        self._id_header = id_header

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request; the control paths, which start with /_, have no faults."""
        if scope["type"] != "http" or scope["path"].startswith("/_"):
            await self._app(scope, receive, send)
            return
        exchange = _Exchange(scope, receive, send, self._id_header)
        fault = self._faults.take_answer_fault(scope["path"])
        if fault is None:
            await self._app(scope, receive, exchange.answer)
        else:
            await self._apply(fault, exchange)

    async def _apply(self, fault: Fault, exchange: "_Exchange") -> None:
        scope, receive = exchange.scope, exchange.receive
        match fault.action:
            case Action.REFUSE:
                await exchange.refuse(fault.status)
            case Action.SILENT:
                await exchange.wait_for_disconnect()
            case Action.DELAY:
                # The body is read before the delay, so that the request takes effect
                # even if its client disconnects meanwhile.
                receive = await exchange.read_body()
                await self._wait(fault)
                await self._app(scope, receive, exchange.answer)
            case Action.LATE:
                await self._app(scope, receive, self._delayed_send(fault, exchange))
            case Action.DROP_AFTER_EFFECT:
                await self._app(scope, receive, exchange.discard)
                await exchange.close()
            case Action.CUT:
                await self._app(scope, receive, exchange.truncate)
            case Action.CROSSED:
                exchange.attempt_id = OTHER_ATTEMPT_ID
                await self._app(scope, receive, exchange.answer)

    async def _wait(self, fault: Fault) -> None:
        await self._clock.sleep_until(self._clock.now() + fault.seconds)

    def _delayed_send(self, fault: Fault, exchange: "_Exchange") -> Send:
        async def send(message: Message) -> None:
            if message["type"] == "http.response.start":
                await self._wait(fault)
            await exchange.answer(message)

        return send


class _Exchange:
    """Response to one request, which a fault can alter or suppress."""

    def __init__(self, scope: Scope, receive: Receive, send: Send, id_header: bytes):
        self.scope = scope
        self.receive = receive
        self.attempt_id = dict(scope["headers"]).get(id_header)
        self._id_header = id_header
        self._send = send
        self._truncated = False

    async def answer(self, message: Message) -> None:
        if message["type"] == "http.response.start" and self.attempt_id is not None:
            headers = [*message.get("headers", []), (self._id_header, self.attempt_id)]
            message = {**message, "headers": headers}
        await self._send(message)

    async def read_body(self) -> Receive:
        """Read the complete body, and return a `receive` callable that replays it."""
        message = await self.receive()
        content = message.get("body", b"")
        while message.get("more_body"):
            message = await self.receive()
            content += message.get("body", b"")
        messages = [{"type": "http.request", "body": content}]

        async def receive() -> Message:
            return messages.pop() if messages else await self.receive()

        return receive

    async def discard(self, message: Message) -> None:
        """Drop a message of the response."""

    async def refuse(self, status: int) -> None:
        body = msgspec.json.encode({"error": "refused by a fault"})
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        await self.answer(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await self.answer({"type": "http.response.body", "body": body})

    async def truncate(self, message: Message) -> None:
        """Send the headers and half of the first body message, then disconnect."""
        if self._truncated:
            return
        if message["type"] == "http.response.start":
            await self.answer(message)
            return
        body = message.get("body", b"")
        await self.answer(
            {**message, "body": body[: len(body) // 2], "more_body": True}
        )
        self._truncated = True
        await self.close()

    async def close(self) -> None:
        """Disconnect before the response is complete.

        ASGI has no message for this, so uvicorn's transport is closed directly.
        """
        self._send.__self__.transport.close()
        await self.wait_for_disconnect()

    async def wait_for_disconnect(self) -> None:
        with anyio.move_on_after(3600):
            while (await self.receive())["type"] != "http.disconnect":
                pass
