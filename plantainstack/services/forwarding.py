"""Plug-in that forwards client requests to endpoints."""

import random
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import xxhash
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import Priority
from plantainstack.plugins import Plugin
from plantainstack.policy import forwarding, quarantine, route_table
from plantainstack.policy.forwarding import AttemptCounts
from plantainstack.policy.quarantine import LossRecord
from plantainstack.policy.stream_versions import Origin
from plantainstack.services.stream_records import RETRY_AFTER_S as TAKE_UP_RETRY_S
from plantainstack.services.stream_records import StreamRecord
from plantainstack.serving import (
    Endpoint,
    EndpointAnswer,
    EndpointCall,
    OpenStream,
    Route,
    StreamHead,
    TakeUp,
    rate_limit_of,
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
        "rate_permits",
        "request_losses",
        "store",
        "stream_versions",
    )

    def __init__(self, kernel):
        super().__init__(kernel)
        self.rng = random.Random()

    async def start(self, tasks) -> None:
        """Look up the plug-ins that this one depends on."""
        self.discovery = self.kernel.plugin("discovery")
        self.permits = self.kernel.plugin("rate_permits")
        self.losses = self.kernel.plugin("request_losses")
        self.versions = self.kernel.plugin("stream_versions")
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
        run = _StreamRun(self, call, route)
        try:
            async for part in run.parts():
                if part.is_err():
                    await run.settle()
                yield part
                if part.is_err():
                    break
        finally:
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
            config=self.discovery.serving.version,
            digest=run.digest,
            endpoints=run.tried,
            end=kind,
            outcome=outcome,
            seconds=round(seconds, 4),
            reason=answer.unwrap_err().message if answer.is_err() else "",
        )


class _Run:
    """Track the attempts of one request.

    `ran` counts attempts that ran or may have run, including running ones.
    """

    def __init__(self, plugin: Forwarding, call: ClientCall, route: Route):
        self._plugin = plugin
        self._clock = plugin.kernel.clock
        self._balancer = plugin.discovery.balancer
        self._call = call
        self.digest = call.digest()
        self._route = route
        self.service = route_table.pick_service(route, plugin.rng)
        self.tried: list[str] = []
        self.failures: list[Failure] = []
        # Endpoints whose connection broke, until the loss is shared.
        self._lost: list[Endpoint] = []
        self._refusal: Failure | None = None
        # Whether an endpoint has run the request to its end without an error.
        self.answered = False
        self.ran = 0
        self.running = 0

    async def settle(self) -> None:
        """Clear or share the losses under this request."""
        lost, self._lost = self._lost, []
        await self._plugin.losses.settle(
            self.digest, self._call.request_id, lost, self.answered
        )

    async def _next_endpoint(self) -> Endpoint | None:
        counts = AttemptCounts(len(self.tried), self.ran, self.running)
        if not forwarding.may_start_attempt(self._route, counts):
            return None
        endpoint = await self._choose_endpoint()
        if endpoint is None:
            return None
        self.tried.append(endpoint.id)
        metrics.ATTEMPTS.labels(self.service).inc()
        self._plugin.permits.record_request(endpoint, self._call.request_id)
        return endpoint

    async def _choose_endpoint(self) -> Endpoint | None:
        """Choose an endpoint, one with a limit only if a permit is to be had."""
        limits = self._plugin.discovery.rate_limits
        now = self._clock.now()
        allowed = self._allowed_endpoints(now)
        unlimited = [end for end in allowed if limits.limit(end) is None]
        limited = [end for end in allowed if limits.limit(end) is not None]
        first = self._balancer.choose(unlimited, now)
        if first is not None and self._balancer.has_room(first, now):
            limited = [end for end in limited if limits.recheck_due(end, now)][:1]
        while (found := self._balancer.choose(limited, now)) is not None:
            if await self._get_permit(found.endpoint):
                return found.endpoint
            limited.remove(found.endpoint)
            self._record_missing_permit(found.endpoint)
        return first.endpoint if first else None

    def _fits(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint can continue what the client has received."""
        return True

    async def _get_permit(self, endpoint: Endpoint) -> bool:
        permits = self._plugin.permits
        if self.running:
            # A hedge must not delay the answer to the first attempt.
            return permits.take(endpoint, Priority.CALLER)
        return await permits.acquire(endpoint, Priority.CALLER, self._call.deadline)

    def _record_missing_permit(self, endpoint: Endpoint) -> None:
        wait_s = self._plugin.permits.wait_s(endpoint, Priority.CALLER)
        if self._refusal is None or wait_s < self._refusal.retry_after_s:
            message = f"no permit for endpoint {endpoint.id}, which names a limit"
            self._refusal = Failure(
                ErrorKind.OVERLOADED, message, Outcome.NOT_RUN, wait_s
            )

    def _allowed_endpoints(self, now: float) -> list[Endpoint]:
        """Return the untried endpoints, fewer if others were lost under the request."""
        usable = self._plugin.discovery.usable(self.service)
        excluded = {end.id for end in usable if not self._fits(end)}.union(self.tried)
        untried = [end for end in usable if end.id not in excluded]
        record = self._losses_of_request()
        if not record.lost:
            return untried
        avoided = [end for end in usable if self._balancer.is_avoided(end, now)]
        allowed = quarantine.allowed_endpoints(usable, excluded, record, avoided, now)
        if untried and not allowed:
            self._refusal = quarantine.refusal(record, now)
        return allowed

    def _losses_of_request(self) -> LossRecord:
        return self._plugin.losses.records.get(self.digest)

    def _failure(self) -> Failure:
        """Return the failure to report when no endpoint gave an answer."""
        if self._refusal is not None and self.ran == 0:
            return self._refusal
        return forwarding.final_failure(self.failures, self.ran)

    def _endpoint_call(self, resume_after: int | None = None) -> EndpointCall:
        call = self._call
        # On a reused connection that breaks, the client sends the request once more.
        reuse = self._route.repeatable() and not self._losses_of_request().lost
        return EndpointCall(
            call.request_id,
            call.method,
            call.target,
            call.host,
            call.headers,
            call.body,
            call.deadline,
            resume_after,
            reuse_connection=reuse,
        )

    def _handle_failure(self, endpoint: Endpoint, failure: Failure) -> None:
        self.failures.append(failure)
        if failure.outcome is Outcome.NOT_RUN:
            self.ran -= 1
        self._balancer.record_failure(endpoint, self._clock.now())
        if quarantine.is_loss(failure):
            self._lost.append(endpoint)
            self._plugin.losses.record(self.digest, self._call.request_id, endpoint)
        log.event(
            "attempt.failed",
            self._call.request_id,
            digest=self.digest,
            endpoint=endpoint.id,
            kind=failure.kind.value,
            outcome=failure.outcome.value,
            reason=failure.message,
        )

    def _handle_refusal(self, endpoint: Endpoint, status: int) -> None:
        self.ran -= 1
        self._balancer.record_refusal(endpoint, self._clock.now())
        message = f"endpoint {endpoint.id} refused the request with status {status}"
        self.failures.append(Failure.of(ErrorKind.ENDPOINT_REFUSED, message))


class _PlainRun(_Run):
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


class _StreamRun(_Run):
    """Read a stream and resume it on another endpoint after a failure if allowed."""

    def __init__(self, plugin: Forwarding, call: ClientCall, route: Route):
        super().__init__(plugin, call, route)
        self._last_event: int | None = None
        self._versions = plugin.versions
        # Where the events that the client has received come from.
        self._origin: Origin | None = None
        # The last record of the stream, and that of the running attempt if it has one.
        self._record: StreamRecord | None = None
        self._awaited: StreamRecord | None = None
        self._head_sent = False

    async def parts(self) -> AsyncIterator[Result[StreamHead | bytes, Failure]]:
        """Yield the response head, then complete events."""
        if self._route.resumable:
            refused = await self._find_start()
            if refused is not None:
                yield Err(refused)
                return
        while (endpoint := await self._next_endpoint()) is not None:
            self.ran += 1
            started = self._clock.now()
            self._balancer.request_started(endpoint)
            self._begin(endpoint)
            try:
                call = self._endpoint_call(self._last_event)
                async with self._plugin.endpoints.stream(endpoint, call) as opened:
                    self._record_rate_limit(endpoint, opened, started)
                    async for part in self._attempt_parts(endpoint, opened):
                        if part is None:
                            return
                        yield Ok(part)
            finally:
                self._balancer.request_ended(endpoint)
        if self._origin is not None:
            log.event(
                "stream.not_resumed",
                self._call.request_id,
                service=self._origin.service,
                software=self._origin.software,
                after=self._last_event,
            )
        yield Err(self._failure())

    async def _find_start(self) -> Failure | None:
        """Find out where to go on, and at which origin; return why not."""
        take_up = self._call.take_up
        if take_up is None:
            self.service = (
                self._versions.service_without_store(self._route) or self.service
            )
            return None
        found = await self._versions.find_origin(
            self._route, take_up, self._call.request_id, self._call.deadline
        )
        if found.is_err():
            return found.unwrap_err()
        self._origin = found.unwrap()
        self.service = self._origin.service
        self._last_event = take_up.after
        return None

    def _begin(self, endpoint: Endpoint) -> None:
        """Start to store where the stream begins, if it needs a record."""
        self._awaited = None
        if self._origin is None and self._route.resumable:
            self._awaited = self._versions.begin(
                self._route, self._call.request_id, _origin(endpoint), self._record
            )
            self._record = self._awaited or self._record

    def _fits(self, endpoint: Endpoint) -> bool:
        origin = _origin(endpoint)
        if self._origin is not None:
            return self._last_event is not None and origin == self._origin
        if not self._route.resumable:
            return True
        return self._versions.may_begin(self._route, origin, self._record)

    def _failure(self) -> Failure:
        if self.ran or self.failures or self._refusal or self._origin is None:
            return super()._failure()
        software = self._origin.software
        message = f"no endpoint of software version {software!r} is in service"
        return Failure(ErrorKind.NO_ENDPOINT, message, Outcome.NOT_RUN, TAKE_UP_RETRY_S)

    async def _may_pass_on(self, endpoint: Endpoint) -> bool:
        """Return whether the client may get the first event of an attempt."""
        if self._origin is None:
            record = self._awaited
            if record is not None and not await self._versions.records.is_stored(
                record, self._call.deadline
            ):
                message = "the version that began the stream could not be stored"
                self.failures.append(
                    Failure(ErrorKind.STORE_UNAVAILABLE, message, Outcome.MAY_HAVE_RUN)
                )
                log.event("stream.begun_in_vain", self._call.request_id, reason=message)
                return False
            self._origin = _origin(endpoint)
            if self._route.resumable:
                self._versions.remember(self._call.request_id, self._origin)
        self._log_source(endpoint)
        return True

    def _record_rate_limit(self, endpoint: Endpoint, opened, started: float) -> None:
        if opened.is_ok():
            limit = rate_limit_of(opened.unwrap())
            self._plugin.permits.record_answer(endpoint, limit, started)

    async def _attempt_parts(self, endpoint: Endpoint, opened):
        """Yield the parts of one attempt, then None if the stream is complete."""
        if opened.is_err():
            self._handle_failure(endpoint, opened.unwrap_err())
            return
        stream = opened.unwrap()
        if isinstance(stream, EndpointAnswer):
            if stream.not_run:
                self._handle_refusal(endpoint, stream.answer.status)
                return
            if not self._head_sent:
                answer = stream.answer
                self.answered = answer.status < forwarding.ERROR_STATUS
                yield StreamHead(answer.status, answer.headers, None, stream.load)
                yield answer.body
                yield None
            return
        async for part in self._stream_events(endpoint, stream):
            yield part

    async def _stream_events(self, endpoint: Endpoint, stream: OpenStream):
        if not self._head_sent:
            self._head_sent = True
            yield stream.head
        first = True
        async for outcome in stream.events():
            if outcome.is_err():
                self._handle_failure(endpoint, outcome.unwrap_err())
                return
            event = outcome.unwrap()
            if self._last_event is not None and event.id != self._last_event + 1:
                message = f"received event {event.id} after event {self._last_event}"
                self._handle_failure(
                    endpoint, Failure.of(ErrorKind.ANSWER_CROSSED, message)
                )
                return
            if first:
                first = False
                if not await self._may_pass_on(endpoint):
                    return
            self._last_event = event.id
            yield event.raw
        self.answered = True
        yield None

    def _log_source(self, endpoint: Endpoint) -> None:
        log.event(
            "stream.source",
            self._call.request_id,
            endpoint=endpoint.id,
            service=endpoint.service,
            software=endpoint.software,
            recorded=self._awaited is not None,
            after=self._last_event,
        )


def _origin(endpoint: Endpoint) -> Origin:
    return Origin(endpoint.service, endpoint.software)
