"""Plug-in `dispatch`: admission, routing, retries and resumption of requests."""

from collections.abc import AsyncIterator
from contextlib import aclosing, contextmanager
from typing import NamedTuple

import anyio
import msgspec
import xxhash
from result import Err, Ok, Result

from plantainstack import metrics
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import (
    CompletionChunk,
    Engine,
    GenerateRequest,
    InstanceRecord,
    PlainAnswer,
    PlainRequest,
)
from plantainstack.plugins import Plugin
from plantainstack.policy.limits import Admission
from plantainstack.policy.retries import RetryPolicy
from plantainstack.policy.routing import AttemptEnd, Router, RouteRequest
from plantainstack.requests import Deadline, RequestContext, new_id

ADMISSION_INTERVAL_S = 0.02
REFUSED_STATUS = 503
_RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.ENDPOINT_REFUSED,
        ErrorKind.ENDPOINT_FAILED,
        ErrorKind.ANSWER_TRUNCATED,
        ErrorKind.ANSWER_CROSSED,
        ErrorKind.ANSWER_TIMEOUT,
    }
)
_CALLER_FAULT_KINDS = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.UNKNOWN_SERVICE, "cancelled"}
)
_ABANDONED_ENDS = frozenset({AttemptEnd.SILENT, AttemptEnd.CANCELLED})
_END_BY_KIND = {
    ErrorKind.ENDPOINT_REFUSED: AttemptEnd.REFUSED,
    ErrorKind.ANSWER_TIMEOUT: AttemptEnd.SILENT,
    ErrorKind.BAD_REQUEST: AttemptEnd.OK,
    ErrorKind.DEADLINE_PASSED: AttemptEnd.CANCELLED,
}


class AttemptLog:
    """Count a request's attempts, and record whether one may have run.

    `dispatched` is set once the dispatcher counts the request in the metrics.
    """

    def __init__(self):
        self.count = 0
        self.may_have_run = False
        self.dispatched = False

    def final_failure(self, failure: Failure) -> Failure:
        """Return the failure with an outcome that takes all attempts into account."""
        if self.may_have_run and failure.outcome is Outcome.NOT_RUN:
            return failure._replace(outcome=Outcome.MAY_HAVE_RUN)
        return failure


class CallResult(NamedTuple):
    """An endpoint's answer and the number of attempts that it took."""

    answer: PlainAnswer
    attempts: int


class _Waiter:
    """The result of admission for a queued request, which can be awaited."""

    def __init__(self):
        self._decided = anyio.Event()
        self.failure: Failure | None = None

    @property
    def resolved(self) -> bool:
        return self._decided.is_set()

    def resolve(self, failure: Failure | None = None) -> None:
        self.failure = failure
        self._decided.set()

    async def wait(self) -> Failure | None:
        await self._decided.wait()
        return self.failure


class _RequestState:
    """State of one request across its attempts."""

    def __init__(self, ctx: RequestContext, route: RouteRequest, log: AttemptLog):
        self.ctx = ctx
        self.original_route = route
        self.route = route
        self.log = log
        self.end = AttemptEnd.CANCELLED
        self.failure: Failure | None = None


class Dispatch(Plugin):
    """Send requests to endpoints, and retry them within their deadlines."""

    name = "dispatch"
    requires = ("links", "endpoints")

    def __init__(self, kernel):
        super().__init__(kernel)
        self.in_flight = 0
        self._idle = anyio.Event()
        self._waiting: dict[str, _Waiter] = {}
        self._queued = anyio.Event()
        self._tasks = None

    @property
    def router(self) -> Router:
        """The router shared by all requests."""
        return self.kernel.plugin("endpoints").router

    @property
    def admission(self) -> Admission:
        """The admission control shared by all requests."""
        return self.kernel.plugin("endpoints").admission

    @property
    def retries(self) -> RetryPolicy:
        """The retry policy shared by all requests."""
        return self.kernel.plugin("endpoints").retries

    async def start(self, tasks) -> None:
        """Start the task that admits or refuses queued requests."""
        self._tasks = tasks
        tasks.start_loop(self._process_queue_periodically)

    async def drain(self, deadline: float) -> None:
        """Wait for the end of all requests and streams, at most until the deadline."""
        with anyio.move_on_after(max(0.0, deadline - self.kernel.clock.now())):
            while self.in_flight:
                self._idle = anyio.Event()
                await self._idle.wait()

    async def call_plain(
        self,
        ctx: RequestContext,
        req: PlainRequest,
        repeatable: bool,
        log: AttemptLog | None = None,
    ) -> Result[CallResult, Failure]:
        """Call a plain service; one that is not repeatable runs at most once."""
        state = _RequestState(ctx, self._route(ctx, None), log or AttemptLog())
        with self._count_in_flight(state):
            admitted = await self._admit(state)
            if admitted.is_err():
                return self._final_error(state, admitted.err_value)
            with self._hold_admission(state):
                return await self._call_with_retries(state, req, repeatable)

    async def generate(
        self, ctx: RequestContext, req: GenerateRequest, log: AttemptLog | None = None
    ) -> AsyncIterator[Result[CompletionChunk, Failure]]:
        """Yield the chunks of a completion; a failure ends the stream.

        An interrupted stream is resumed on another engine, which continues the
        text received so far. A stream is complete only if it ends without failure.
        """
        state = _RequestState(
            ctx, self._route(ctx, _affinity(ctx, req)), log or AttemptLog()
        )
        with self._count_in_flight(state):
            admitted = await self._admit(state)
            if admitted.is_err():
                yield self._final_error(state, admitted.err_value)
                return
            with self._hold_admission(state):
                async with aclosing(
                    self._generate_with_resumption(state, req)
                ) as chunks:
                    async for chunk in chunks:
                        yield chunk

    async def _call_with_retries(
        self, state: _RequestState, req: PlainRequest, repeatable: bool
    ) -> Result[CallResult, Failure]:
        while True:
            chosen = self._choose_endpoint(state)
            if chosen.is_err():
                return self._final_error(state, chosen.err_value)
            record = chosen.ok_value
            attempt = req._replace(attempt_id=self._attempt_id(state, req.attempt_id))
            result = await self._call_once(state, record, attempt, not repeatable)
            if result.is_ok() and not (repeatable and _is_refusal(result.ok_value)):
                state.failure = None
                return Ok(CallResult(result.ok_value, state.log.count))
            failure = result.err_value if result.is_err() else _REFUSAL
            may_repeat = repeatable or failure.outcome is Outcome.NOT_RUN
            if not may_repeat or not await self._wait_for_retry(state, failure):
                return self._final_error(state, failure)

    async def _call_once(
        self,
        state: _RequestState,
        record: InstanceRecord,
        req: PlainRequest,
        fresh: bool,
    ) -> Result[PlainAnswer, Failure]:
        with self._record_attempt(state, record, req.attempt_id):
            service = self.kernel.plugin("links").plain(record, fresh=fresh)
            result = await service.call(req, state.ctx.deadline)
            if result.is_err():
                self._record_failure(state, result.err_value)
            elif _is_refusal(result.ok_value):
                state.end = AttemptEnd.REFUSED
            else:
                state.end = AttemptEnd.OK
            return result

    async def _generate_with_resumption(
        self, state: _RequestState, req: GenerateRequest
    ):
        texts = [req.prefix]
        tokens = 0
        while True:
            chosen = self._choose_endpoint(state)
            if chosen.is_err():
                yield self._final_error(state, chosen.err_value)
                return
            attempt = req._replace(
                attempt_id=self._attempt_id(state, req.attempt_id),
                prefix="".join(texts),
                max_tokens=req.max_tokens - tokens,
            )
            state.failure = None
            async with aclosing(
                self._generate_once(state, chosen.ok_value, attempt)
            ) as chunks:
                async for chunk in chunks:
                    texts.append(chunk.text)
                    tokens += chunk.tokens
                    yield Ok(chunk)
            # All tokens have arrived, so the missing end marker can be ignored.
            if state.failure is None or tokens >= req.max_tokens:
                state.failure = None
                return
            failure = state.failure
            if not await self._wait_for_retry(state, failure):
                yield self._final_error(state, failure)
                return

    async def _generate_once(
        self, state: _RequestState, record: InstanceRecord, req: GenerateRequest
    ) -> AsyncIterator[CompletionChunk]:
        engine = self.kernel.plugin("links").engine(record)
        with (
            self._cancel_if_abandoned(state, engine, req.attempt_id),
            self._record_attempt(state, record, req.attempt_id),
        ):
            async with aclosing(engine.generate(req, state.ctx.deadline)) as chunks:
                async for chunk in chunks:
                    if chunk.is_err():
                        self._record_failure(state, chunk.err_value)
                        return
                    yield chunk.ok_value
            state.end = AttemptEnd.OK

    @contextmanager
    def _cancel_if_abandoned(
        self, state: _RequestState, engine: Engine, attempt_id: str
    ):
        """Cancel an abandoned completion with a request on another connection.

        An engine detects a closed connection only when it sends on it.
        """
        try:
            yield
        finally:
            if state.end in _ABANDONED_ENDS and self._tasks is not None:
                self._tasks.start_soon(engine.cancel, attempt_id)

    def _route(self, ctx: RequestContext, affinity: int | None) -> RouteRequest:
        return RouteRequest(
            ctx.service, ctx.priority, ctx.caller, ctx.deadline, affinity
        )

    def _choose_endpoint(self, state: _RequestState) -> Result[InstanceRecord, Failure]:
        now = self.kernel.clock.now()
        chosen = self.router.choose(state.route, now)
        if chosen.is_ok() or not state.route.exclude:
            return chosen
        if chosen.err_value.kind is not ErrorKind.NO_ENDPOINT:
            return chosen
        state.route = state.route._replace(exclude=frozenset())
        return self.router.choose(state.route, now)

    def _attempt_id(self, state: _RequestState, first: str) -> str:
        return first if state.log.count == 0 else new_id()

    @contextmanager
    def _record_attempt(
        self, state: _RequestState, record: InstanceRecord, attempt_id: str
    ):
        state.log.count += 1
        state.end = AttemptEnd.CANCELLED
        route = state.route
        metrics.ATTEMPTS.labels(route.service).inc()
        self.router.started(record.id, route, self.kernel.clock.now())
        trace = self.kernel.trace
        request_id = state.ctx.request_id
        trace.record(
            request_id, "attempt.started", endpoint=record.id, attempt=attempt_id
        )
        try:
            yield
        finally:
            self.router.finished(record.id, route, state.end, self.kernel.clock.now())
            state.route = route._replace(exclude=route.exclude | {record.id})
            kind = state.failure.kind if state.failure else None
            trace.record(
                request_id,
                "attempt.ended",
                endpoint=record.id,
                attempt=attempt_id,
                end=state.end,
                kind=kind,
            )

    def _record_failure(self, state: _RequestState, failure: Failure) -> None:
        state.failure = failure
        state.end = _END_BY_KIND.get(failure.kind, AttemptEnd.FAILED)
        if failure.outcome is not Outcome.NOT_RUN:
            state.log.may_have_run = True

    async def _wait_for_retry(self, state: _RequestState, failure: Failure) -> bool:
        if failure.kind not in _RETRYABLE_KINDS:
            return False
        ctx = state.ctx
        clock = self.kernel.clock
        retry_time = self.retries.retry_at(
            ctx.service, state.log.count, ctx.deadline, clock.now(), ctx.priority
        )
        if retry_time is None or retry_time >= ctx.deadline:
            return False
        await clock.sleep_until(retry_time)
        return clock.now() < ctx.deadline

    async def _admit(self, state: _RequestState) -> Result[None, Failure]:
        request_deadline = Deadline(self.kernel.clock, state.ctx.deadline)
        failure = self._refusal(request_deadline)
        if failure:
            return Err(failure)
        ticket = new_id()
        offered = self.admission.offer(
            ticket, state.original_route, self.kernel.clock.now()
        )
        if offered.is_err():
            return offered
        if not offered.ok_value:
            failure = await self._wait_in_queue(state, ticket)
            if failure:
                return Err(failure)
        failure = self._refusal(request_deadline)
        if failure:
            self._release(state, self.kernel.clock.now())
            return Err(failure)
        return Ok(None)

    def _refusal(self, request_deadline: Deadline) -> Failure | None:
        if self.kernel.pause.check():
            message = "the instance was paused and is refreshing its state"
            return Failure.of(ErrorKind.NOT_READY, message)
        if request_deadline.expired():
            message = "the deadline passed before the request was admitted"
            return Failure.of(ErrorKind.DEADLINE_PASSED, message)
        return None

    async def _wait_in_queue(self, state: _RequestState, ticket: str) -> Failure | None:
        waiter = self._waiting[ticket] = _Waiter()
        self._queued.set()
        try:
            return await waiter.wait()
        except BaseException:
            if not waiter.resolved:
                self.admission.withdraw(ticket)
            elif waiter.failure is None:
                self._release(state, self.kernel.clock.now())
            raise
        finally:
            self._waiting.pop(ticket, None)

    def _release(self, state: _RequestState, started_at: float) -> None:
        now = self.kernel.clock.now()
        self.admission.finished(state.original_route, state.end, started_at, now)
        self._process_queue()

    def _process_queue(self) -> None:
        now = self.kernel.clock.now()
        for ticket in self.admission.expired(now):
            if ticket in self._waiting:
                message = "no capacity before the deadline"
                self._waiting[ticket].resolve(Failure.of(ErrorKind.OVERLOADED, message))
        for ticket in self.admission.next_admitted(now):
            if ticket in self._waiting:
                self._waiting[ticket].resolve()

    async def _process_queue_periodically(self) -> None:
        while True:
            await self._queued.wait()
            while self._waiting:
                self._process_queue()
                now = self.kernel.clock.now()
                await self.kernel.clock.sleep_until(now + ADMISSION_INTERVAL_S)
            self._queued = anyio.Event()

    @contextmanager
    def _count_in_flight(self, state: _RequestState):
        self.in_flight += 1
        state.log.dispatched = True
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()
            self._record_metrics(state)

    @contextmanager
    def _hold_admission(self, state: _RequestState):
        started_at = self.kernel.clock.now()
        self.retries.request_started(state.ctx.service, started_at)
        try:
            yield
        finally:
            self._release(state, started_at)

    def _final_error(self, state: _RequestState, failure: Failure) -> Err[Failure]:
        state.failure = state.log.final_failure(failure)
        return Err(state.failure)

    def _record_metrics(self, state: _RequestState) -> None:
        kind, outcome = _final_status(state)
        service = state.ctx.service
        if kind is ErrorKind.UNKNOWN_SERVICE:
            service = ""
        metrics.REQUESTS.labels(service, kind, outcome).inc()
        elapsed = self.kernel.clock.now() - state.ctx.arrived_at
        metrics.REQUEST_SECONDS.labels(service).observe(elapsed)
        self._record_slo(state, kind)
        self.kernel.trace.record(
            state.ctx.request_id,
            "request.ended",
            service=service,
            kind=kind,
            outcome=outcome,
            attempts=state.log.count,
        )

    def _record_slo(self, state: _RequestState, kind: str) -> None:
        """Count the request for the service level objective, except caller errors."""
        if kind in _CALLER_FAULT_KINDS:
            return
        on_time = self.kernel.clock.now() <= state.ctx.deadline
        good = kind == "ok" and on_time
        self.kernel.burn.count(state.ctx.service, good, self.kernel.clock.wall())


_REFUSAL = Failure.of(ErrorKind.ENDPOINT_REFUSED, "the endpoint refused the call")


def _final_status(state: _RequestState) -> tuple[str, Outcome]:
    if state.failure:
        return state.failure.kind, state.failure.outcome
    if state.end is AttemptEnd.CANCELLED:
        return "cancelled", Outcome.MAY_HAVE_RUN
    return "ok", Outcome.RAN


def _is_refusal(answer: PlainAnswer) -> bool:
    return answer.status == REFUSED_STATUS


def _affinity(ctx: RequestContext, req: GenerateRequest) -> int:
    """Hash the group, or else the first message, which many prompts have in common."""
    group = ctx.group.encode() if ctx.group else None
    shared = group or msgspec.json.encode(req.messages[:1])
    return xxhash.xxh64_intdigest(shared)
