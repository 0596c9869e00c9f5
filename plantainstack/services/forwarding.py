"""Plug-in that forwards client requests to endpoints."""

import random
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

import anyio
import xxhash
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure
from plantainstack.plugins import Plugin
from plantainstack.policy import forwarding, route_table
from plantainstack.policy.tenants import Tenant
from plantainstack.services.request_runs import RequestRun
from plantainstack.services.stream_runs import StreamRun
from plantainstack.serving import (
    Endpoint,
    EndpointAnswer,
    Route,
    StreamHead,
    TakeUp,
)


class ClientCall(NamedTuple):
    """Hold a client's request; the deadline is a time on the process's clock.

    `headers` holds the end-to-end headers, without the hop-by-hop ones. A request that
    a client repeats has another `request_id`, but the same `digest`.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    take_up: TakeUp | None = None
    tenant: Tenant | None = None

    def digest(self) -> str:
        """Return a hash of what the client asks for."""
        found = xxhash.xxh3_128(self.body)
        for part in (self.method, self.host, self.target):
            found.update(f"\0{part}".encode())
        return found.hexdigest()


class Forwarding(Plugin):
    """Forward requests, with retries and hedging where the route allows them."""

    name = "forwarding"
    requires = (
        "discovery",
        "fair_waits",
        "rate_permits",
        "request_losses",
        "store",
        "stream_versions",
        "usage",
    )

    def __init__(self, kernel):
        super().__init__(kernel)
        self.rng = random.Random()

    async def start(self, tasks) -> None:
        """Look up the plug-ins that this one depends on."""
        self.discovery = self.kernel.plugin("discovery")
        self.fair_waits = self.kernel.plugin("fair_waits")
        self.permits = self.kernel.plugin("rate_permits")
        self.losses = self.kernel.plugin("request_losses")
        self.versions = self.kernel.plugin("stream_versions")
        self.usage = self.kernel.plugin("usage")
        self.endpoints = self.kernel.plugin("store").endpoint_client

    def route(self, host: str, path: str) -> Result[Route, Failure]:
        """Return the route of a request, or a failure if there is none."""
        cfg = self.discovery.serving
        if cfg is None:
            message = "no configuration has been read yet"
            return Err(Failure.of(ErrorKind.NOT_READY, message))
        found = route_table.match(cfg, host, path)
        if found is None:
            message = f"configuration {cfg.version} has no route for this host and path"
            return Err(Failure.of(ErrorKind.NOT_FOUND, message))
        return Ok(found)

    async def plain(
        self, call: ClientCall, route: Route
    ) -> Result[EndpointAnswer, Failure]:
        """Forward a non-streaming request and return the complete response."""
        started = self.kernel.clock.now()
        run = _PlainRun(self, call, route)
        try:
            answer = await run.answer()
        finally:
            run.count_begin()
            run.free_slot()
            await run.settle()
        self._record_end(call, route, run, answer, started)
        return answer

    async def stream(
        self, call: ClientCall, route: Route
    ) -> AsyncIterator[Result[StreamHead | bytes, Failure]]:
        """Forward a streaming request: yield the response head, then complete events.

        If the request fails, the failure is the last value.
        """
        started = self.kernel.clock.now()
        if call.take_up is not None:
            log.event(
                "stream.take_up",
                call.request_id,
                route=route.name,
                stream=call.take_up.stream_id[:200],
                after=call.take_up.after,
            )
        run = StreamRun(self, call, route)
        try:
            async with aclosing(run.parts()) as parts:
                async for part in parts:
                    if part.is_err():
                        await run.settle()
                    yield part
                    if part.is_err():
                        break
        finally:
            run.free_slot()
            await run.settle()
        self._record_end(call, route, run, part, started)

    def _record_end(self, call, route, run, answer, started: float) -> None:
        seconds = self.kernel.clock.now() - started
        kind = answer.unwrap_err().kind.value if answer.is_err() else "ok"
        outcome = answer.unwrap_err().outcome.value if answer.is_err() else "ran"
        metrics.REQUESTS.labels(run.service, kind, outcome).inc()
        metrics.REQUEST_SECONDS.labels(run.service).observe(seconds)
        log.event(
            "request.ended",
            call.request_id,
            route=route.name,
            tenant=call.tenant.name if call.tenant else "",
            config=self.discovery.serving.version,
            digest=run.digest,
            endpoints=run.tried,
            end=kind,
            outcome=outcome,
            seconds=round(seconds, 4),
            reason=answer.unwrap_err().message if answer.is_err() else "",
        )


class _PlainRun(RequestRun):
    """Run a request on one endpoint after another until a response is acceptable.

    A second attempt may run in parallel as a hedge.
    """

    def __init__(self, plugin: Forwarding, call: ClientCall, route: Route):
        super().__init__(plugin, call, route)
        self._fallback_answer: EndpointAnswer | None = None
        self._answer: EndpointAnswer | None = None
        self._attempt_ended = anyio.Event()

    async def answer(self) -> Result[EndpointAnswer, Failure]:
        """Return the response, or the failure to report."""
        remaining = self._call.deadline - self._clock.now()
        with anyio.move_on_after(max(0.0, remaining)):
            async with anyio.create_task_group() as tasks:
                await self._run_attempts(tasks)
                tasks.cancel_scope.cancel()
            return self._result()
        if self._fallback_answer is not None:
            return Ok(self._fallback_answer)
        return Err(forwarding.timed_out(self.ran))

    async def _run_attempts(self, tasks) -> None:
        while self._answer is None:
            endpoint = await self._next_endpoint()
            if self._answer is not None:
                return
            if endpoint is not None:
                self.ran += 1
                self.running += 1
                if self.ran == 1:
                    self._began_at = self._clock.now()
                tasks.start_soon(self._attempt, endpoint)
            elif self.running == 0:
                return
            hedging = endpoint is not None and not self._losses_of_request().lost
            await self._wait_for_attempt(hedging)

    async def _wait_for_attempt(self, hedging: bool) -> None:
        delay = forwarding.hedge_delay(self._route) if hedging else None
        with anyio.move_on_after(float("inf") if delay is None else delay):
            await self._attempt_ended.wait()
        self._attempt_ended = anyio.Event()

    async def _attempt(self, endpoint: Endpoint) -> None:
        started = self._clock.now()
        self._balancer.request_started(endpoint)
        try:
            call = self._endpoint_call()
            outcome = await self._plugin.endpoints.call(endpoint, call)
        finally:
            self._balancer.request_ended(endpoint)
            self.running -= 1
        self._handle_outcome(endpoint, outcome, started)
        self._attempt_ended.set()

    def _handle_outcome(self, endpoint: Endpoint, outcome, started: float) -> None:
        if outcome.is_err():
            self._handle_failure(endpoint, outcome.unwrap_err())
            return
        answer = outcome.unwrap()
        now = self._clock.now()
        self._balancer.record_load_report(endpoint, answer.load, now)
        self._plugin.permits.record_answer(endpoint, answer.rate_limit, started)
        if answer.not_run:
            self._handle_refusal(endpoint, answer.answer.status)
        elif forwarding.denies_run(answer, self._route):
            self._handle_denied_run(endpoint, answer.answer.status)
        elif forwarding.is_final(answer, self._route):
            self._balancer.record_latency(endpoint, now - started, now)
            self._answer = answer
            self.answered = answer.answer.status < forwarding.ERROR_STATUS
        else:
            self._balancer.record_failure(endpoint, now)
            self._fallback_answer = answer

    def _result(self) -> Result[EndpointAnswer, Failure]:
        answer = self._answer or self._fallback_answer
        if answer is not None:
            return Ok(answer)
        return Err(self._failure())
