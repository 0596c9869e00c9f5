"""ASGI middleware for request ids, authentication, size limits and metrics."""

import hashlib
import re
from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

import anyio
from starlette.requests import ClientDisconnect

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure
from plantainstack.front.answers import ATTEMPTS_HEADER, error_response
from plantainstack.requests import new_id
from plantainstack.settings.instance import Tokens
from plantainstack.tasks import record_exception

HEADERS_MAX_BYTES = 32 * 1024
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class Role(StrEnum):
    """Role that may use a path; each value is a field of `Tokens`."""

    CALLER = "callers"
    TRAINER = "trainers"
    OPERATOR = "operators"


class Principal(NamedTuple):
    """Role and name that a bearer token authenticates."""

    role: Role
    name: str


class TokenRegistry:
    """Map bearer tokens to principals; only digests of the tokens are stored."""

    def __init__(self, tokens: Tokens):
        self._principals = {
            _digest(token): Principal(role, name)
            for role in Role
            for token, name in getattr(tokens, role).items()
        }

    def authenticate(self, authorization: str | None) -> Principal | None:
        """Return the principal for the value of an Authorization header."""
        scheme, _, token = (authorization or "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        return self._principals.get(_digest(token.strip()))


class RequestMiddleware:
    """Check requests before they reach the application, and count running ones."""

    def __init__(
        self, app, kernel, tokens: TokenRegistry, operators_only: bool = False
    ):
        self._app = app
        self._kernel = kernel
        self._tokens = tokens
        self._operators_only = operators_only
        self.in_flight = 0
        self._idle = anyio.Event()

    async def wait_idle(self, deadline: float) -> None:
        """Wait until no request is running or the deadline has passed."""
        with anyio.move_on_after(max(0.0, deadline - self._kernel.clock.now())):
            while self.in_flight:
                self._idle = anyio.Event()
                await self._idle.wait()

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI scope."""
        if scope["type"] != "http":
            return
        headers = Headers(scope["headers"])
        request_id = _request_id(headers)
        sender = _ResponseSender(send, request_id or new_id(), self._kernel)
        scope.setdefault("state", {})["request_id"] = sender.request_id
        self.in_flight += 1
        try:
            failure = self._check_request(scope, headers, request_id)
            if failure:
                metrics.REQUESTS.labels("", failure.kind, failure.outcome).inc()
            app = error_response(failure) if failure else self._app
            with self._kernel.body_memory.reserve() as held:
                scope["state"]["body_memory"] = held
                await self._run_app(app, scope, receive, sender)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()

    async def _run_app(self, app, scope, receive, sender: "_ResponseSender") -> None:
        try:
            await app(scope, receive, sender.send)
        except ClientDisconnect:
            return
        except Exception as exc:
            record_exception("RequestMiddleware._run_app", exc)
            log.event(
                "front.failed", request_id=sender.request_id, error=type(exc).__name__
            )
            if sender.started:
                raise
            failure = Failure.of(ErrorKind.INTERNAL, "an internal error occurred")
            await error_response(failure)(scope, receive, sender.send)

    def _check_request(
        self, scope, headers: "Headers", request_id: str | None
    ) -> Failure | None:
        if headers.size > HEADERS_MAX_BYTES:
            message = f"headers are limited to {HEADERS_MAX_BYTES} bytes"
            return Failure.of(ErrorKind.HEADERS_TOO_LARGE, message)
        if request_id == "":
            message = "X-Request-Id must have 1 to 128 characters of A-Za-z0-9._:-"
            return Failure.of(ErrorKind.BAD_REQUEST, message)
        role = self._required_role(scope["path"])
        if role is None:
            return None
        principal = self._tokens.authenticate(headers.get("authorization"))
        if principal is None:
            message = "the bearer token is missing or unknown"
            return Failure.of(ErrorKind.UNAUTHENTICATED, message)
        if principal.role is not role or not _is_own_path(principal, scope["path"]):
            message = "the token is not valid for this resource"
            return Failure.of(ErrorKind.FORBIDDEN, message)
        scope["state"]["principal"] = principal
        return None

    def _required_role(self, path: str) -> Role | None:
        if self._operators_only:
            return Role.OPERATOR
        if path in ("/healthz", "/readyz", "/metrics"):
            return None
        if path.startswith("/v1/trainers/"):
            return Role.TRAINER
        return Role.CALLER


class Headers:
    """Headers of an ASGI scope; `size` is their length in bytes as sent."""

    def __init__(self, raw: list[tuple[bytes, bytes]]):
        self.size = sum(len(name) + len(value) + 4 for name, value in raw)
        self._raw = raw

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        wanted = name.encode()
        values = (value for key, value in self._raw if key == wanted)
        value = next(values, None)
        return None if value is None else value.decode("latin-1")


class _ResponseSender:
    """Send a response with the headers that every response carries."""

    def __init__(self, send, request_id: str, kernel):
        self._send = send
        self._kernel = kernel
        self.request_id = request_id
        self.started = False

    async def send(self, message) -> None:
        if message["type"] == "http.response.start":
            self.started = True
            message = message | {"headers": self._headers(message["headers"])}
        await self._send(message)

    def _headers(self, headers) -> list[tuple[bytes, bytes]]:
        complete = list(headers)
        complete.append((b"x-request-id", self.request_id.encode()))
        instance_id = self._kernel.settings.instance.id
        complete.append((b"x-instance", instance_id.encode()))
        attempts = ATTEMPTS_HEADER.lower().encode()
        if not any(name == attempts for name, _ in headers):
            complete.append((attempts, b"0"))
        return complete


def _request_id(headers: Headers) -> str | None:
    """Return the caller's request id, None if absent, or "" if invalid."""
    given = headers.get("x-request-id")
    if given is None or _REQUEST_ID.fullmatch(given):
        return given
    return ""


def _is_own_path(principal: Principal, path: str) -> bool:
    """Return False if a trainer's token is used on the path of another trainer."""
    if principal.role is not Role.TRAINER:
        return True
    return path.split("/")[3] == principal.name


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def parse_error_status(exc: BaseException | None) -> HTTPStatus:
    """Return the HTTP status for a request that could not be parsed."""
    hint = getattr(exc, "error_status_hint", HTTPStatus.BAD_REQUEST)
    return HTTPStatus(hint)
