"""HTTP API for callers: chat completions and calls to plain services."""

import time
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any, Literal
from urllib.parse import quote

import anyio
import msgspec
from result import Err, Ok, Result
from sse_starlette.event import ServerSentEvent
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plantainstack import metrics
from plantainstack.decoding import UNDECODABLE
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.front.answers import (
    ATTEMPTS_HEADER,
    error_content,
    error_response,
)
from plantainstack.front.bodies import read_body
from plantainstack.interfaces import (
    CompletionChunk,
    GenerateRequest,
    PlainAnswer,
    PlainRequest,
    Priority,
)
from plantainstack.kernel import State
from plantainstack.links.endpoint import DONE, HOP_BY_HOP_HEADERS
from plantainstack.requests import RequestContext, new_id
from plantainstack.services.dispatch import AttemptLog
from plantainstack.settings.fleet import FleetOptions, Scope

DEFAULT_MAX_TOKENS = 1024
MAX_TOKENS_LIMIT = 131_072
KEY_MAX_CHARACTERS = 255
# Time after the deadline in which a slow reader can receive the rest of a stream.
STALL_LIMIT_S = 30.0
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "date",
    "expect",
    "x-attempt-id",
    "x-attempts",
    "x-deadline-ms",
    "x-instance",
    "x-request-deadline",
    "x-request-id",
}


class TextContent(msgspec.Struct, forbid_unknown_fields=True, tag="text"):
    """A text part of a message whose content is a list of parts."""

    text: str


class Message(msgspec.Struct, forbid_unknown_fields=True):
    """A message of a conversation."""

    role: Literal["system", "developer", "user", "assistant"]
    content: str | list[TextContent]
    name: str | None = None

    def with_plain_text(self) -> dict[str, str]:
        """Return the role and the content, with text parts joined."""
        content = self.content
        if not isinstance(content, str):
            content = "".join(part.text for part in content)
        return {"role": self.role, "content": content}


class StreamOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a streamed completion."""

    include_usage: bool = False


class CompletionRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a chat completion request."""

    model: str
    messages: list[Message]
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    seed: int | None = None
    n: Literal[1] | None = None
    user: str | None = None
    temperature: float | None = None
    top_p: float | None = None
    frequency_penalty: float | None = None
    presence_penalty: float | None = None
    stop: str | list[str] | None = None

    def token_limit(self) -> int:
        """Return the maximum number of tokens to generate."""
        limits = (self.max_completion_tokens, self.max_tokens, DEFAULT_MAX_TOKENS)
        return next(limit for limit in limits if limit is not None)

    def sampling(self) -> dict[str, Any]:
        """Return the sampling parameters that are set, for the engine."""
        names = (
            "temperature",
            "top_p",
            "frequency_penalty",
            "presence_penalty",
            "stop",
        )
        values = {name: getattr(self, name) for name in names}
        return {name: value for name, value in values.items() if value is not None}


_COMPLETION_DECODER = msgspec.json.Decoder(CompletionRequest)


class CompletionBuilder:
    """Build the JSON objects of one chat completion response."""

    def __init__(self, request_id: str, completion: CompletionRequest):
        self._id = f"chatcmpl-{request_id}"
        self._completion = completion
        self._created = int(time.time())
        self._tokens = 0
        self._version: int | None = None

    def add(self, chunk: CompletionChunk) -> None:
        """Record the tokens and the weight version of a chunk."""
        self._tokens += chunk.tokens
        self._version = chunk.version if chunk.version is not None else self._version

    def full_response(self, text: str) -> dict[str, Any]:
        """Return the body of a response that is not streamed."""
        message = {"role": "assistant", "content": text}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": self._finish_reason(),
        }
        return self._object("chat.completion", [choice], usage=self._usage())

    def chunk(self, text: str, first: bool) -> dict[str, Any]:
        """Return one chunk of a streamed response."""
        delta = {"role": "assistant", "content": text} if first else {"content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return self._object("chat.completion.chunk", [choice])

    def final_chunks(self) -> list[dict[str, Any]]:
        """Return the closing chunks of a stream, with the usage if requested."""
        choice = {"index": 0, "delta": {}, "finish_reason": self._finish_reason()}
        chunks = [self._object("chat.completion.chunk", [choice])]
        options = self._completion.stream_options
        if options is not None and options.include_usage:
            usage = self._usage()
            chunks.append(self._object("chat.completion.chunk", [], usage=usage))
        return chunks

    def _finish_reason(self) -> str:
        return "length" if self._tokens >= self._completion.token_limit() else "stop"

    def _usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": 0,
            "completion_tokens": self._tokens,
            "total_tokens": self._tokens,
        }

    def _object(self, kind: str, choices: list, **more: Any) -> dict[str, Any]:
        return {
            "id": self._id,
            "object": kind,
            "created": self._created,
            "model": self._completion.model,
            "system_fingerprint": f"weights-{self._version}",
            "choices": choices,
            **more,
        }


class TimeLimitedStream(StreamingResponse):
    """Stream a response, with a time limit for callers that do not read it."""

    def __init__(self, content, limit_s: float, headers: dict[str, str]):
        super().__init__(content, headers=headers, media_type="text/event-stream")
        self._limit_s = limit_s

    async def stream_response(self, send) -> None:
        """Send the stream; raise TimeoutError if it is not sent within the limit."""
        with anyio.fail_after(self._limit_s):
            await super().stream_response(send)


class CallerApi:
    """Handlers of the callers' requests."""

    def __init__(self, kernel):
        self._kernel = kernel
        self._dispatch = kernel.plugin("dispatch")
        self._bookings = kernel.plugin("bookings")

    async def create_completion(self, request: Request) -> Response:
        """Handle a chat completion request."""
        checked = await self._read_request(request, self._options(""))
        if checked.is_err():
            return _refuse(checked.err_value)
        body, deadline = checked.ok_value
        parsed = _parse_completion(body)
        if parsed.is_err():
            return _refuse(parsed.err_value)
        completion = parsed.ok_value
        ctx = self._context(request, completion.model, deadline)
        self._trace_event(ctx, "completion.received", stream=completion.stream)
        log = AttemptLog()
        chunks = self._dispatch.generate(ctx, _generate_request(completion), log)
        builder = CompletionBuilder(ctx.request_id, completion)
        if completion.stream:
            return await self._streamed_response(ctx, builder, chunks, log)
        return await self._full_response(request, builder, chunks, log)

    async def call_service(self, request: Request) -> Response:
        """Handle a call to a plain service."""
        service = request.path_params["service"]
        if _raw_path_parts(request)[2] != quote(service, safe="").encode():
            message = "the service name must not need percent-encoding"
            return _refuse(Failure.of(ErrorKind.NOT_FOUND, message))
        options = self._options(service)
        checked = await self._read_request(request, options)
        if checked.is_err():
            return _refuse(checked.err_value)
        body, deadline = checked.ok_value
        key = _idempotency_key(request, options)
        if key.is_err():
            return _refuse(key.err_value)
        ctx = self._context(request, service, deadline, key.ok_value)
        self._trace_event(ctx, "call.received", keyed=ctx.key is not None)
        req = _plain_request(request, body)
        log = AttemptLog()
        if ctx.key is None:
            repeatable = options.repeatable or req.method in SAFE_METHODS
            result = await self._dispatch.call_plain(ctx, req, repeatable, log)
        else:
            result = await self._bookings.call(ctx, req, log)
        if not log.dispatched:
            count_undispatched(service, result)
        if result.is_err():
            return error_response(result.err_value, log.count)
        return _plain_response(result.ok_value.answer, log.count)

    async def _read_request(
        self, request: Request, options: FleetOptions
    ) -> Result[tuple[bytes, float], Failure]:
        unready = self._readiness_failure()
        if unready:
            return Err(unready)
        deadline = self._deadline(request, options)
        if deadline.is_err():
            return deadline
        limit_s = deadline.ok_value - self._kernel.clock.now()
        try:
            with anyio.fail_after(limit_s):
                body = await read_body(request, options.max_body)
        except TimeoutError:
            message = "the deadline passed before the request body was complete"
            return Err(Failure.of(ErrorKind.DEADLINE_PASSED, message))
        return body.map(lambda data: (data, deadline.ok_value))

    def _readiness_failure(self) -> Failure | None:
        if self._kernel.pause.check():
            message = "the instance was paused and is refreshing its state"
            return Failure.of(ErrorKind.NOT_READY, message)
        reason = self._kernel.unready_reason()
        if reason is None:
            return None
        draining = self._kernel.state is State.DRAINING
        kind = ErrorKind.DRAINING if draining else ErrorKind.NOT_READY
        return Failure.of(kind, f"the instance accepts no new requests: {reason}")

    def _options(self, service: str) -> FleetOptions:
        data_centre = self._kernel.settings.instance.data_centre
        return self._kernel.config.scoped(Scope(service, data_centre))

    def _deadline(
        self, request: Request, options: FleetOptions
    ) -> Result[float, Failure]:
        clock = self._kernel.clock
        text = request.headers.get("x-request-deadline")
        if text is None:
            return Ok(clock.now() + options.request_timeout)
        if not text.isascii() or not text.isdigit() or len(text) > 15:
            message = "X-Request-Deadline must be a Unix time in milliseconds"
            return Err(Failure.of(ErrorKind.BAD_REQUEST, message))
        deadline = clock.deadline_from_wall(int(text) / 1000)
        if deadline <= clock.now():
            message = "X-Request-Deadline has passed"
            return Err(Failure.of(ErrorKind.DEADLINE_PASSED, message))
        return Ok(deadline)

    def _context(
        self, request: Request, service: str, deadline: float, key: str | None = None
    ) -> RequestContext:
        return RequestContext(
            request.state.request_id,
            request.state.principal.name,
            service,
            Priority.CALLER,
            self._kernel.clock.now(),
            deadline,
            key,
        )

    def _trace_event(self, ctx: RequestContext, event: str, **fields) -> None:
        self._kernel.trace.record(
            ctx.request_id, event, caller=ctx.caller, service=ctx.service, **fields
        )

    async def _full_response(
        self, request: Request, builder: CompletionBuilder, chunks, log: AttemptLog
    ) -> Response:
        outcome = await _unless_disconnected(
            request, lambda: _collect_text(chunks, builder)
        )
        if outcome is None:
            return Response(status_code=499)
        if outcome.is_err():
            return error_response(outcome.err_value, log.count)
        headers = {ATTEMPTS_HEADER: str(log.count)}
        return JSONResponse(builder.full_response(outcome.ok_value), headers=headers)

    async def _streamed_response(
        self, ctx: RequestContext, builder: CompletionBuilder, chunks, log: AttemptLog
    ) -> Response:
        first = await anext(chunks, None)
        if first is not None and first.is_err():
            await chunks.aclose()
            return error_response(first.err_value, log.count)
        content = _stream_events(first, chunks, builder)
        limit_s = ctx.deadline - self._kernel.clock.now() + STALL_LIMIT_S
        headers = {ATTEMPTS_HEADER: str(log.count), "Cache-Control": "no-cache"}
        return TimeLimitedStream(content, limit_s, headers)


def _refuse(failure: Failure) -> Response:
    metrics.REQUESTS.labels("", failure.kind, failure.outcome).inc()
    return error_response(failure)


def count_undispatched(service: str, result: Result[Any, Failure]) -> None:
    """Count a call that was answered without being dispatched to an endpoint."""
    kind, outcome = "ok", Outcome.RAN
    if result.is_err():
        kind, outcome = result.err_value.kind, result.err_value.outcome
    metrics.REQUESTS.labels(service, kind, outcome).inc()


def routes(kernel) -> list[Route]:
    """Return the routes of the callers' API."""
    callers = CallerApi(kernel)
    return [
        Route("/v1/chat/completions", callers.create_completion, methods=["POST"]),
        Route("/services/{service}/{path:path}", callers.call_service, methods=METHODS),
    ]


def _parse_completion(body: bytes) -> Result[CompletionRequest, Failure]:
    try:
        completion = _COMPLETION_DECODER.decode(body)
    except UNDECODABLE as exc:
        return Err(Failure.of(ErrorKind.BAD_REQUEST, str(exc)))
    problem = None
    if not completion.messages:
        problem = "messages must not be empty"
    elif not 1 <= completion.token_limit() <= MAX_TOKENS_LIMIT:
        problem = f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}"
    if problem:
        return Err(Failure.of(ErrorKind.BAD_REQUEST, problem))
    return Ok(completion)


def _generate_request(completion: CompletionRequest) -> GenerateRequest:
    return GenerateRequest(
        attempt_id=new_id(),
        model=completion.model,
        messages=[message.with_plain_text() for message in completion.messages],
        max_tokens=completion.token_limit(),
        priority=Priority.CALLER,
        seed=completion.seed or 0,
        sampling=completion.sampling(),
    )


def _idempotency_key(
    request: Request, options: FleetOptions
) -> Result[str | None, Failure]:
    if request.method in SAFE_METHODS:
        return Ok(None)
    key = request.headers.get("idempotency-key")
    if key is None:
        if options.require_key and not options.repeatable:
            message = "the service requires the header Idempotency-Key"
            return Err(Failure.of(ErrorKind.KEY_REQUIRED, message))
        return Ok(None)
    if not 1 <= len(key) <= KEY_MAX_CHARACTERS or not key.isprintable():
        message = (
            f"Idempotency-Key must have 1 to {KEY_MAX_CHARACTERS} printable characters"
        )
        return Err(Failure.of(ErrorKind.BAD_REQUEST, message))
    return Ok(key)


def _raw_path_parts(request: Request) -> list[bytes]:
    """Split the undecoded path; its last part is the path at the endpoint."""
    return request.scope["raw_path"].split(b"/", 3)


def _plain_request(request: Request, body: bytes) -> PlainRequest:
    target = b"/" + _raw_path_parts(request)[3]
    if request.scope["query_string"]:
        target += b"?" + request.scope["query_string"]
    headers = [
        (name, value)
        for name, value in request.headers.items()
        if name not in _UNFORWARDED_HEADERS
    ]
    return PlainRequest(new_id(), request.method, target.decode("ascii"), headers, body)


def _plain_response(answer: PlainAnswer, attempts: int) -> Response:
    response = Response(answer.body, status_code=answer.status)
    kept = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
        if name.lower() not in _UNFORWARDED_HEADERS
    ]
    kept.append((b"content-length", str(len(answer.body)).encode()))
    kept.append((ATTEMPTS_HEADER.lower().encode(), str(attempts).encode()))
    response.raw_headers = kept
    return response


async def _collect_text(chunks, builder: CompletionBuilder) -> Result[str, Failure]:
    texts = []
    async with aclosing(chunks):
        async for chunk in chunks:
            if chunk.is_err():
                return chunk
            builder.add(chunk.ok_value)
            texts.append(chunk.ok_value.text)
    return Ok("".join(texts))


async def _stream_events(
    first, chunks, builder: CompletionBuilder
) -> AsyncIterator[bytes]:
    async with aclosing(chunks):
        chunk = first
        while chunk is not None:
            if chunk.is_err():
                yield _encode_event(error_content(chunk.err_value))
                return
            builder.add(chunk.ok_value)
            yield _encode_event(builder.chunk(chunk.ok_value.text, chunk is first))
            chunk = await anext(chunks, None)
    for chunk in builder.final_chunks():
        yield _encode_event(chunk)
    yield ServerSentEvent(DONE, sep="\n").encode()


def _encode_event(content: dict[str, Any]) -> bytes:
    data = msgspec.json.encode(content).decode()
    return ServerSentEvent(data, sep="\n").encode()


async def _unless_disconnected(request: Request, work):
    """Run `work` and return its result, or None if the caller disconnects."""
    result = None

    async def watch() -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        result = await work()
        tasks.cancel_scope.cancel()
    return result
