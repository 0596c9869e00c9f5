"""Stand-in for a model engine."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, Literal

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import BaseRoute, Route

from standins.base import Endpoint, History, decode_body, json_response
from standins.batch import Batch, Chunk, EngineOptions, Stream
from standins.faults import Action

STEP_INTERVAL_S = 0.02
DONE = b"data: [DONE]\n\n"


class _CompletionBody(msgspec.Struct):
    model: str
    messages: list[dict[str, str]]
    max_tokens: int = 64
    priority: Literal["caller", "rollout"] = "caller"
    seed: int = 0
    prefix: str = ""
    stream: bool = False


class _OrderBody(msgspec.Struct):
    model: str
    version: int
    fence: int


class _CancelBody(msgspec.Struct):
    attempt_id: str


class EngineStandin(Endpoint):
    """Stream completions at a limited token rate, and load weights when ordered."""

    def __init__(self, options: EngineOptions, clock=None):
        super().__init__(clock)
        self._options = options
        self._wake = anyio.Event()
        self._history: History | None = None
        self._batch = Batch(options, self.clock.now(), self._record_change)
        self._history = History(self.clock, self._report())
        self._orders: list[dict[str, Any]] = []
        self._load_reads = 0

    def routes(self) -> list[BaseRoute]:
        """Return the routes of an engine and of an endpoint."""
        return [
            *super().routes(),
            Route("/v1/chat/completions", self._complete, methods=["POST"]),
            Route("/load", self._load, methods=["GET"]),
            Route("/orders", self._order, methods=["POST"]),
            Route("/cancel", self._cancel, methods=["POST"]),
            Route("/cache/events", self._cache_events, methods=["GET"]),
            Route("/kv/{attempt_id}", self._export_kv, methods=["GET"]),
            Route("/kv/{attempt_id}", self._import_kv, methods=["PUT"]),
        ]

    def state(self) -> dict[str, Any]:
        """Return the current load report, the counts and the received orders."""
        return {
            **super().state(),
            **self._report(),
            **self._batch.counts,
            "orders": self._orders,
            "load_reads": self._load_reads,
        }

    async def run(self) -> None:
        """Step the batch while it has work; otherwise wait for a change."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._batch.has_work():
                await self.clock.sleep_until(self.clock.now() + STEP_INTERVAL_S)
                self._batch.step(self.clock.now())

    def _record_change(self) -> None:
        self._wake.set()
        if self._history is not None:
            self._history.record(self._report())

    def _report(self) -> dict[str, Any]:
        batch = self._batch
        return {
            "model": batch.model,
            "version": batch.version,
            "loading": batch.loading,
            "running": len(batch.running),
            "queued": len(batch.queued),
            "leaving": self.leaving_since is not None,
            "fence": batch.fence,
        }

    async def _complete(self, request: Request) -> Response:
        self.count_request()
        payload = await decode_body(request, _CompletionBody)
        if not payload.stream or not payload.messages or payload.max_tokens < 1:
            return json_response({"error": "not supported"}, HTTPStatus.BAD_REQUEST)
        if payload.model != self._batch.model:
            return json_response({"error": "unknown model"}, HTTPStatus.NOT_FOUND)
        attempt_id = request.headers.get("x-attempt-id", "")
        stream = Stream(
            attempt_id,
            payload.messages,
            payload.seed,
            payload.max_tokens,
            payload.priority == "rollout",
            payload.prefix,
        )
        self._batch.submit(stream, self.clock.now())
        return StreamingResponse(
            self._events(stream, payload.model), media_type="text/event-stream"
        )

    async def _events(self, stream: Stream, model: str) -> AsyncIterator[bytes]:
        try:
            async for chunk in stream.chunks:
                yield _event(stream.attempt_id, model, chunk, None)
            if stream.finished:
                last = Chunk("", 0, stream.version or self._batch.version)
                yield _event(stream.attempt_id, model, last, "stop")
                yield DONE
        finally:
            self._batch.remove(stream)

    async def _load(self, request: Request) -> Response:
        self._load_reads += 1
        fault = self.faults.take_state_fault(Action.LAG, request.url.path)
        lag = fault.seconds if fault else self._options.load_lag_s
        return json_response(self._history.ago(lag))

    async def _order(self, request: Request) -> Response:
        order = await decode_body(request, _OrderBody)
        ignored = self.faults.take_state_fault(Action.IGNORE_FENCE, request.url.path)
        checked = self._options.checks_fence and not ignored
        old = order.fence < self._batch.fence
        self._orders.append({**msgspec.structs.asdict(order), "old": old})
        if checked and old:
            return json_response(self._report(), HTTPStatus.CONFLICT)
        self._batch.fence = order.fence
        fails = (
            self.faults.take_state_fault(Action.FAIL_SWAP, request.url.path) is not None
        )
        self._batch.start_swap(order.model, order.version, self.clock.now(), fails)
        return json_response(self._report())

    async def _cancel(self, request: Request) -> Response:
        self._batch.cancel((await decode_body(request, _CancelBody)).attempt_id)
        return json_response({})

    async def _cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", 0))
        events = [
            event
            for event in self._batch.cache.events
            if event["number"] > after
            and self.faults.take_state_fault(Action.SKIP, request.url.path) is None
        ]
        return json_response({"events": events})

    async def _export_kv(self, request: Request) -> Response:
        attempt_id = request.path_params["attempt_id"]
        stream = self._batch.find(attempt_id)
        if stream is None:
            return json_response({}, HTTPStatus.NOT_FOUND)
        data = f"{attempt_id} {stream.position}".encode()
        return Response(data, media_type="application/octet-stream")

    async def _import_kv(self, request: Request) -> Response:
        attempt_id = request.path_params["attempt_id"]
        if not await request.body():
            return json_response({"error": "empty"}, HTTPStatus.BAD_REQUEST)
        self._batch.import_kv(attempt_id)
        return json_response({})


def _event(attempt_id: str, model: str, chunk: Chunk, finish: str | None) -> bytes:
    choice = {"index": 0, "delta": {"content": chunk.text}, "finish_reason": finish}
    event = {
        "id": attempt_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [choice],
        "weight_version": chunk.version,
        "tokens": chunk.tokens,
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
