"""HTTP client of the platform's interface for duties."""

import contextlib
import random
import socket
import struct
from http import HTTPStatus
from typing import Any

import anyio
import httpcore
import msgspec
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.duties import (
    CALL_TIMEOUT_S,
    CapacityOrder,
    DutyAnswer,
    DutyClient,
    DutyGrant,
    UsageReport,
)
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.platform import names
from plantainstack.policy.call_pace import CallPace
from plantainstack.policy.forwarding import NOT_RUN_STATUSES
from plantainstack.settings.node import SCALING, USAGE_REPORTS, DutyOptions
from plantainstack.settings.options import Address

# Answers have no content that is used.
ANSWER_BYTES_MAX = 64 * 1024
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
_NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


class _WindowClosed(Exception):
    """The time until which a call may be sent has passed."""


class _CallStream(httpcore.AsyncNetworkStream):
    """Connection of one call, which sends nothing after the end of its grant.

    The clock is read directly before each system call that sends, without a switch of
    tasks in between. Closing resets the connection, also when the process is killed:
    bytes held up on the way would otherwise be delivered after the window.
    """

    def __init__(self, clock: Clock, grant: DutyGrant):
        self._clock = clock
        self._send_before = grant.send_before
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
        self.sent = False

    async def connect(self, address: Address) -> None:
        """Open the connection; raise OSError if this fails."""
        # `connect` would look up a name in the event loop's thread.
        found = await anyio.getaddrinfo(
            address.host,
            address.port,
            family=socket.AF_INET,
            type=socket.SOCK_STREAM,
        )
        with contextlib.suppress(BlockingIOError):
            self._sock.connect(found[0][4])
        await anyio.wait_writable(self._sock)
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            # The kernel drops unacknowledged bytes by itself while the process is
            # paused.
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(CALL_TIMEOUT_S * 1000)
            )

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; raise _WindowClosed if it is too late."""
        view = memoryview(buffer)
        while view:
            try:
                if self._clock.now() >= self._send_before:
                    raise _WindowClosed
                count = self._sock.send(view)
            except BlockingIOError:
                await anyio.wait_writable(self._sock)
                continue
            self.sent = True
            view = view[count:]

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, none at the end."""
        while True:
            try:
                return self._sock.recv(max_bytes)
            except BlockingIOError:
                await anyio.wait_readable(self._sock)

    async def aclose(self) -> None:
        """Reset the connection."""
        self._sock.close()


class PlatformDutyClient(DutyClient):
    """Send the calls of duties, each on a connection of its own.

    The kinds of duties of a deployment share the permitted rate evenly, since each may
    have another holder.
    """

    def __init__(self, options: DutyOptions, clock: Clock):
        self._address = options.address
        self._clock = clock
        rng = random.Random()
        share = options.calls_per_s / max(1, len(options.kinds))
        self._paces = {kind: CallPace(share, rng) for kind in (USAGE_REPORTS, SCALING)}

    async def report_usage(
        self, report: UsageReport, grant: DutyGrant
    ) -> Result[DutyAnswer, Failure]:
        """Report the usage of one window."""
        content = {"window": report.window, "counts": report.counts}
        return await self._call(USAGE_REPORTS, names.USAGE_PATH, content, grant)

    async def order_capacity(
        self, order: CapacityOrder, grant: DutyGrant
    ) -> Result[DutyAnswer, Failure]:
        """Order a number of endpoints; a refusal with 409 means that none are free."""
        content = {
            "backend": order.service,
            "zone": order.data_centre,
            "group_count": order.count,
        }
        if order.reclaimable:
            content["spot"] = True
        return await self._call(SCALING, names.SCALE_PATH, content, grant)

    async def _call(
        self, kind: str, path: str, content: dict[str, Any], grant: DutyGrant
    ) -> Result[DutyAnswer, Failure]:
        pace = self._paces[kind]
        while (start_at := pace.allowed_at(self._clock.now())) > self._clock.now():
            if start_at >= grant.send_before:
                wait_s = start_at - self._clock.now()
                message = f"the next call of {kind} may be made in {wait_s:.2f} s"
                failure = Failure(
                    ErrorKind.OVERLOADED, message, Outcome.NOT_RUN, wait_s
                )
                return self._record(kind, content, grant, Err(failure))
            await self._clock.sleep_until(start_at)
        pace.record_start(self._clock.now())
        outcome = None
        try:
            outcome = (await self._send(path, content, grant)).and_then(
                lambda status: _answer(status, kind)
            )
        finally:
            # A caller that gives up before the time limit has got no answer, too.
            if outcome is not None and outcome.is_ok():
                pace.record_success()
            else:
                pace.record_failure(self._clock.now())
        return self._record(kind, content, grant, outcome)

    async def _send(
        self, path: str, content: dict[str, Any], grant: DutyGrant
    ) -> Result[int, Failure]:
        """Make one call and return the status of its answer."""
        try:
            stream = _CallStream(self._clock, grant)
        except OSError as exc:
            message = f"{type(exc).__name__}: {exc}"
            return Err(Failure(ErrorKind.ENDPOINT_FAILED, message, Outcome.NOT_RUN))
        kind, message = ErrorKind.ANSWER_TIMEOUT, "no answer in time"
        try:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                await stream.connect(self._address)
                return Ok(await self._exchange(stream, path, content, grant))
        except _WindowClosed:
            kind, message = ErrorKind.LEASE_LOST, "the window of the call has ended"
        except _NETWORK_ERRORS as exc:
            kind, message = ErrorKind.ENDPOINT_FAILED, f"{type(exc).__name__}: {exc}"
        finally:
            await stream.aclose()
        outcome = Outcome.MAY_HAVE_RUN if stream.sent else Outcome.NOT_RUN
        return Err(Failure(kind, message, outcome))

    async def _exchange(
        self,
        stream: _CallStream,
        path: str,
        content: dict[str, Any],
        grant: DutyGrant,
    ) -> int:
        body = msgspec.json.encode(content)
        host = self._address.host.encode()
        req = httpcore.Request(
            "POST",
            httpcore.URL(
                scheme=b"http", host=host, port=self._address.port, target=path.encode()
            ),
            headers=[
                ("Host", str(self._address)),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
                (names.DUTY_HOLDER, grant.holder),
                (names.FENCE_TOKEN, str(grant.fence)),
            ],
            content=body,
        )
        origin = httpcore.Origin(b"http", host, self._address.port)
        conn = httpcore.AsyncHTTP11Connection(origin, stream)
        response = await conn.handle_async_request(req)
        size = 0
        async for chunk in response.stream:
            size += len(chunk)
            if size > ANSWER_BYTES_MAX:
                raise httpcore.RemoteProtocolError("the answer is too large")
        return response.status

    def _record(
        self,
        kind: str,
        content: dict[str, Any],
        grant: DutyGrant,
        outcome: Result[DutyAnswer, Failure],
    ) -> Result[DutyAnswer, Failure]:
        if outcome.is_ok():
            answer = outcome.unwrap().value
        else:
            answer = outcome.unwrap_err().kind.value
        metrics.DUTY_CALLS.labels(kind, answer).inc()
        log.event(
            "duty.called",
            kind=kind,
            content=content,
            fence=grant.fence,
            answer=answer,
            reason=outcome.unwrap_err().message if outcome.is_err() else "",
        )
        return outcome


def _answer(status: int, kind: str) -> Result[DutyAnswer, Failure]:
    """Convert the status of an answer; a failure has to be tried again later."""
    if status == HTTPStatus.OK:
        return Ok(DutyAnswer.ACCEPTED)
    if status == HTTPStatus.CONFLICT and kind == SCALING:
        return Ok(DutyAnswer.NONE_AVAILABLE)
    message = f"the platform answered with status {status}"
    if status in NOT_RUN_STATUSES:
        return Err(Failure.of(ErrorKind.OVERLOADED, message))
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Err(Failure.of(ErrorKind.ENDPOINT_FAILED, message))
    return Ok(DutyAnswer.REFUSED)
