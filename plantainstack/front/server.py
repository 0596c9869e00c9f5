"""A uvicorn server that runs as a task of the kernel."""

import contextlib
import logging
import socket
import struct
import sys
from collections.abc import Callable

import anyio
import h11
import uvicorn
from eliot.stdlib import EliotHandler
from starlette.responses import JSONResponse

from plantainstack.errors import ErrorKind, Failure
from plantainstack.front.answers import error_response
from plantainstack.front.budget_protocol import BudgetProtocol
from plantainstack.front.middleware import parse_error_status
from plantainstack.front.parsing import ParserTurns
from plantainstack.policy.client_budget import (
    READ_BYTES_MIN,
    ClientBudget,
    ClientSizes,
)
from plantainstack.serving import ClientLimits
from plantainstack.settings.options import Address
from plantainstack.tasks import contained

BACKLOG = 1024
# Connections accepted in one turn of the event loop. Those above the budget are closed
# some turns later, and until then take descriptors.
ACCEPTS_AT_ONCE = 16
# Limits of a server that is not for clients, such as that for readiness probes.
UNSHARED_SIZES = ClientSizes(connections=64, read_bytes=READ_BYTES_MIN)
# Longer than the idle timeout of common load balancers, which otherwise may send
# a request on a connection that is being closed.
KEEP_ALIVE_S = 75
# Requests have finished before the server is closed; this limits the wait for
# connections that hang.
SHUTDOWN_TIMEOUT_S = 30
# Above HEADERS_MAX_BYTES, so that the middleware answers most oversized headers.
PARSER_LIMIT_BYTES = 64 * 1024


class FrontProtocol(BudgetProtocol):
    """Send a JSON error response to requests that cannot be parsed.

    A response that breaks off does not look complete, whatever ends it regularly.
    """

    def __init__(self, config, *args, **kwargs):
        super().__init__(config, *args, **kwargs)
        self._inner_app = self.app
        self.app = self._serve

    async def _serve(self, scope, receive, send) -> None:
        try:
            await self._inner_app(scope, receive, send)
        except BaseException:
            if self.conn.our_state is h11.SEND_BODY and scope["http_version"] == "1.0":
                self._reset()
            raise

    def _reset(self) -> None:
        """Reset the connection: in HTTP/1.0, closing it ends a response regularly."""
        if self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        # With a linger time of 0, closing the socket sends RST in place of FIN.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Send the error, or only close the connection if a response has started."""
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.close()
            return
        answer = _parse_error_response(sys.exception())
        event = h11.Response(
            status_code=answer.status_code,
            headers=[*answer.raw_headers, (b"connection", b"close")],
        )
        for part in (event, h11.Data(data=answer.body), h11.EndOfMessage()):
            self.transport.write(self.conn.send(part))
        self.transport.close()


class ClientLimitsProtocol(FrontProtocol):
    """Close connections of clients that are slow or idle for too long, or on request.

    While the instance drains, the application closes connections by its answers.
    """

    def __init__(self, config, *args, **kwargs):
        super().__init__(config, *args, **kwargs)
        self._limits = config.client_limits
        self._header_timer = None

    def connection_made(self, transport) -> None:
        """Start the idle timer for the first request."""
        super().connection_made(transport)
        self.timeout_keep_alive = self._limits().idle_timeout_s
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def parse(self, events: int) -> None:
        """Parse received data; limit the time until a request head is complete."""
        super().parse(events)
        if not self._has_partial_head():
            self._stop_header_timer()
        elif self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self._limits().header_timeout_s, self._reject_slow_request_head
            )

    def connection_lost(self, exc) -> None:
        """Cancel the request head's timer."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def close_when_idle(self) -> None:
        """Close the connection, after the answer if a request is being received."""
        if not self._has_partial_head():
            self.shutdown()

    def _has_partial_head(self) -> bool:
        return self.conn.their_state is h11.IDLE and self.has_undecided_data()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _reject_slow_request_head(self) -> None:
        if self.transport.is_closing() or self.conn.our_state is not h11.IDLE:
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        answer = h11.Response(status_code=408, headers=headers)
        for part in (answer, h11.EndOfMessage()):
            self.transport.write(self.conn.send(part))
        self.transport.close()


class FrontServer(uvicorn.Server):
    """Serve one listening address, without signal handlers.

    `limits` returns the client limits currently in force. Without a budget, only the
    connections of this server are bounded.
    """

    def __init__(
        self,
        app,
        address: Address,
        limits: Callable[[], ClientLimits] | None = None,
        budget: ClientBudget | None = None,
    ):
        config = uvicorn.Config(
            app,
            http=ClientLimitsProtocol if limits else FrontProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            # The date would be that of the start; see `main_loop`.
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
            h11_max_incomplete_event_size=PARSER_LIMIT_BYTES,
            backlog=ACCEPTS_AT_ONCE,
        )
        config.client_limits = limits
        config.client_budget = budget or ClientBudget(UNSHARED_SIZES)
        config.parser_turns = ParserTurns()
        super().__init__(config)
        _redirect_uvicorn_log()
        self._socket = _listen(address)
        self.address = Address(*self._socket.getsockname()[:2])
        self._close_requested = anyio.Event()
        self._ended = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers: the kernel handles signals."""
        yield

    async def startup(self, sockets=None) -> None:
        """Listen; asyncio has set the backlog to the connections accepted at once."""
        await super().startup(sockets=sockets)
        self._socket.listen(BACKLOG)

    async def run_until_closed(self) -> None:
        """Serve until `close` is called."""
        try:
            await self.serve([self._socket])
        finally:
            self._ended.set()

    async def main_loop(self) -> None:
        """Wait for `close`; uvicorn's own loop wakes up ten times a second."""
        await self.on_tick(0)
        await self._close_requested.wait()

    def close_idle_connections(self) -> None:
        """Close connections without a request, and the others after their answers."""
        for conn in list(self.server_state.connections):
            with contained("FrontServer.close_idle_connections"):
                conn.close_when_idle()

    async def close(self) -> None:
        """Stop listening and wait until running requests have finished."""
        self.should_exit = True
        self._close_requested.set()
        await self._ended.wait()


def _redirect_uvicorn_log() -> None:
    """Write uvicorn's warnings and errors to the structured log."""
    logger = logging.getLogger("uvicorn.error")
    if not logger.handlers:
        logger.addHandler(EliotHandler())
        logger.setLevel(logging.WARNING)
        logger.propagate = False


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets created with IPPROTO_TCP.
    # With it, the body of a response waits about 40 ms for the acknowledgement of
    # the headers.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host.strip("[]"), address.port))
    listener.listen(BACKLOG)
    return listener


def _parse_error_response(exc: BaseException | None) -> JSONResponse:
    if parse_error_status(exc) == 431:
        message = f"headers are limited to {PARSER_LIMIT_BYTES} bytes"
        return error_response(Failure.of(ErrorKind.HEADERS_TOO_LARGE, message))
    message = "the request is not valid HTTP"
    return error_response(Failure.of(ErrorKind.BAD_REQUEST, message))
