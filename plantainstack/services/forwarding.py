"""The plug-in that forwards clients' requests to endpoints."""

import random
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.plugins import Plugin
from plantainstack.policy import forwarding, route_table
from plantainstack.policy.forwarding import AttemptCounts
from plantainstack.serving import (
    Endpoint,
    EndpointAnswer,
    EndpointCall,
    OpenStream,
    Route,
    StreamHead,
)


class ClientCall(NamedTuple):
    """Hold a client's request; the deadline is a time of the clock.

    `headers` are those that concern more than the client's connection.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float


class Forwarding(Plugin):
    """Send each request to an endpoint of its route's service."""

    name = "forwarding"
    requires = ("discovery", "store")

    def __init__(self, kernel):
        super().__init__(kernel)
        self.rng = random.Random()

    async def start(self, tasks) -> None:
        """Find the plug-ins that this one uses."""
        self.discovery = self.kernel.plugin("discovery")
        self.endpoints = self.kernel.plugin("store").endpoint_client

    def route(self, host: str, path: str) -> Result[Route, Failure]:
        """Return the route of a request."""
        cfg = self.discovery.serving
        if cfg is None:
            message = "no configuration is known yet"
            return Err(Failure.of(ErrorKind.NOT_READY, message))
        found = route_table.match(cfg, host, path)
        if found is None:
            message = f"no route for this host and path in version {cfg.version}"
            return Err(Failure.of(ErrorKind.NOT_FOUND, message))
        return Ok(found)

    async def plain(
        self, call: ClientCall, route: Route
    ) -> Result[EndpointAnswer, Failure]:
        """Return an endpoint's whole answer."""
        started = self.kernel.clock.now()
        run = _PlainRun(self, call, route)
        answer = await run.answer()
        self._note(call, route, run, answer, started)
        return answer

    async def stream(
        self, call: ClientCall, route: Route
    ) -> AsyncIterator[Result[StreamHead | bytes, Failure]]:
        """Yield the head of a stream, then whole events; a failure ends it."""
        started = self.kernel.clock.now()
        run = _StreamRun(self, call, route)
        async for part in run.parts():
            yield part
            if part.is_err():
                break
        self._note(call, route, run, part, started)

    def _note(self, call, route, run, answer, started: float) -> None:
        seconds = self.kernel.clock.now() - started
        kind = answer.unwrap_err().kind.value if answer.is_err() else "ok"
        outcome = answer.unwrap_err().outcome.value if answer.is_err() else "ran"
        metrics.REQUESTS.labels(run.service, kind, outcome).inc()
        metrics.REQUEST_SECONDS.labels(run.service).observe(seconds)
        log.event(
            "request.ended",
            call.request_id,
            route=route.name,
            config=self.discovery.serving.version,
            endpoints=run.tried,
            end=kind,
            outcome=outcome,
            seconds=round(seconds, 4),
            reason=answer.unwrap_err().message if answer.is_err() else "",
        )


class _Run:
    """Count what one request has asked of endpoints."""

    def __init__(self, owner: Forwarding, call: ClientCall, route: Route):
        self._owner = owner
        self._clock = owner.kernel.clock
        self._balancer = owner.discovery.balancer
        self._call = call
        self._route = route
        self.service = route_table.pick_service(route, owner.rng)
        self.tried: list[str] = []
        self.failures: list[Failure] = []
        self.ran = 0
        self.running = 0

    def _next(self) -> Endpoint | None:
        tries = AttemptCounts(len(self.tried), self.ran, self.running)
        if not forwarding.may_start_attempt(self._route, tries):
            return None
        placed = self._balancer.choose(
            self._owner.discovery.usable(self.service),
            self._clock.now(),
            frozenset(self.tried),
        )
        if placed is None:
            return None
        self.tried.append(placed.endpoint.id)
        metrics.ATTEMPTS.labels(self.service).inc()
        return placed.endpoint

    def _endpoint_call(self, resume_after: int | None = None) -> EndpointCall:
        call = self._call
        return EndpointCall(
            call.request_id,
            call.method,
            call.target,
            call.host,
            call.headers,
            call.body,
            call.deadline,
            resume_after,
            reuse_connection=self._route.repeatable(),
        )

    def _failed(self, endpoint: Endpoint, failure: Failure) -> None:
        self.failures.append(failure)
        if failure.outcome is Outcome.NOT_RUN:
            self.ran -= 1
        self._balancer.record_failure(endpoint, self._clock.now())
        log.event(
            "attempt.failed",
            self._call.request_id,
            endpoint=endpoint.id,
            kind=failure.kind.value,
            outcome=failure.outcome.value,
            reason=failure.message,
        )

    def _refused(self, endpoint: Endpoint, status: int) -> None:
        self.ran -= 1
        self._balancer.record_refusal(endpoint, self._clock.now())
        message = f"endpoint {endpoint.id} refused it with status {status}"
        self.failures.append(Failure.of(ErrorKind.ENDPOINT_REFUSED, message))


class _PlainRun(_Run):
    """Ask endpoints until one gives a whole answer."""

    def __init__(self, owner: Forwarding, call: ClientCall, route: Route):
        super().__init__(owner, call, route)
        self._fallback: EndpointAnswer | None = None
        self._answer: EndpointAnswer | None = None
        self._ended = anyio.Event()

    async def answer(self) -> Result[EndpointAnswer, Failure]:
        """Return the answer, or why there is none."""
        left = self._call.deadline - self._clock.now()
        with anyio.move_on_after(max(0.0, left)):
            async with anyio.create_task_group() as tasks:
                await self._ask(tasks)
                tasks.cancel_scope.cancel()
            return self._result()
        if self._fallback is not None:
            return Ok(self._fallback)
        return Err(forwarding.timed_out(self.ran))

    async def _ask(self, tasks) -> None:
        while self._answer is None:
            endpoint = self._next()
            if endpoint is not None:
                self.ran += 1
                self.running += 1
                tasks.start_soon(self._attempt, endpoint)
            elif self.running == 0:
                return
            await self._wait_for_end(hedging=endpoint is not None)

    async def _wait_for_end(self, hedging: bool) -> None:
        delay = forwarding.hedge_delay(self._route) if hedging else None
        with anyio.move_on_after(float("inf") if delay is None else delay):
            await self._ended.wait()
        self._ended = anyio.Event()

    async def _attempt(self, endpoint: Endpoint) -> None:
        started = self._clock.now()
        self._balancer.request_started(endpoint)
        try:
            call = self._endpoint_call()
            outcome = await self._owner.endpoints.call(endpoint, call)
        finally:
            self._balancer.request_ended(endpoint)
            self.running -= 1
        self._take(endpoint, outcome, self._clock.now() - started)
        self._ended.set()

    def _take(self, endpoint: Endpoint, outcome, seconds: float) -> None:
        if outcome.is_err():
            self._failed(endpoint, outcome.unwrap_err())
            return
        answer = outcome.unwrap()
        now = self._clock.now()
        self._balancer.record_load_report(endpoint, answer.load, now)
        if answer.not_run:
            self._refused(endpoint, answer.answer.status)
        elif forwarding.is_final(answer, self._route):
            self._balancer.record_latency(endpoint, seconds, now)
            self._answer = answer
        else:
            self._balancer.record_failure(endpoint, now)
            self._fallback = answer

    def _result(self) -> Result[EndpointAnswer, Failure]:
        answer = self._answer or self._fallback
        if answer is not None:
            return Ok(answer)
        return Err(forwarding.final_failure(self.failures, self.ran))


class _StreamRun(_Run):
    """Read a stream, and go on at another endpoint where that is allowed."""

    def __init__(self, owner: Forwarding, call: ClientCall, route: Route):
        super().__init__(owner, call, route)
        self._last_event: int | None = None
        self._head_sent = False

    async def parts(self) -> AsyncIterator[Result[StreamHead | bytes, Failure]]:
        """Yield the head, then whole events."""
        while (endpoint := self._next()) is not None:
            self.ran += 1
            self._balancer.request_started(endpoint)
            try:
                call = self._endpoint_call(self._last_event)
                async with self._owner.endpoints.stream(endpoint, call) as opened:
                    async for part in self._parts_of(endpoint, opened):
                        if part is None:
                            return
                        yield Ok(part)
            finally:
                self._balancer.request_ended(endpoint)
        yield Err(forwarding.final_failure(self.failures, self.ran))

    async def _parts_of(self, endpoint: Endpoint, opened):
        """Yield parts, then None where the stream came to its own end."""
        if opened.is_err():
            self._failed(endpoint, opened.unwrap_err())
            return
        stream = opened.unwrap()
        if isinstance(stream, EndpointAnswer):
            if stream.not_run:
                self._refused(endpoint, stream.answer.status)
                return
            if not self._head_sent:
                answer = stream.answer
                yield StreamHead(answer.status, answer.headers, None, stream.load)
                yield answer.body
                yield None
            return
        async for part in self._events_of(endpoint, stream):
            yield part

    async def _events_of(self, endpoint: Endpoint, stream: OpenStream):
        if not self._head_sent:
            self._head_sent = True
            yield stream.head
        async for outcome in stream.events():
            if outcome.is_err():
                self._failed(endpoint, outcome.unwrap_err())
                return
            event = outcome.unwrap()
            if self._last_event is not None and event.id != self._last_event + 1:
                message = f"event {event.id} follows event {self._last_event}"
                self._failed(endpoint, Failure.of(ErrorKind.ANSWER_CROSSED, message))
                return
            self._last_event = event.id
            yield event.raw
        yield None
