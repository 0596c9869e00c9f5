"""Dispatch requests to endpoints: admission, routing, retries and resumption."""

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

ADMISSION_TICK_S = 0.02
REFUSED_STATUS = 503
_REPEATABLE_KINDS = frozenset(
    {
        ErrorKind.ENDPOINT_REFUSED,
        ErrorKind.ENDPOINT_FAILED,
        ErrorKind.ANSWER_TRUNCATED,
        ErrorKind.ANSWER_CROSSED,
        ErrorKind.ANSWER_TIMEOUT,
    }
)
_CALLER_KINDS = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.UNKNOWN_SERVICE, "cancelled"}
)
_ABANDONED_ENDS = frozenset({AttemptEnd.SILENT, AttemptEnd.CANCELLED})
_ENDS = {
    ErrorKind.ENDPOINT_REFUSED: AttemptEnd.REFUSED,
    ErrorKind.ANSWER_TIMEOUT: AttemptEnd.SILENT,
    ErrorKind.BAD_REQUEST: AttemptEnd.OK,
    ErrorKind.DEADLINE_PASSED: AttemptEnd.CANCELLED,
}


class AttemptLog:
    """Count a request's attempts and keep whether one may have run.

    A request that was dispatched is counted in the metrics by the dispatcher.
    """

    def __init__(self):
        self.count = 0
        self.may_have_run = False
        self.dispatched = False

    def final_failure(self, failure: Failure) -> Failure:
        """Return the failure with an outcome that covers every attempt."""
        if self.may_have_run and failure.outcome is Outcome.NOT_RUN:
            return failure._replace(outcome=Outcome.MAY_HAVE_RUN)
        return failure


class CallResult(NamedTuple):
    """Hold an endpoint's answer and the number of attempts it took."""

    answer: PlainAnswer
    attempts: int


class _Waiter:
    """Wait for the verdict on a queued request."""

    def __init__(self):
        self._decided = anyio.Event()
        self.failure: Failure | None = None

    @property
    def decided(self) -> bool:
        return self._decided.is_set()

    def decide(self, failure: Failure | None = None) -> None:
        self.failure = failure
        self._decided.set()

    async def wait(self) -> Failure | None:
        await self._decided.wait()
        return self.failure


class _Run:
    """Keep the state of one request over its attempts."""

    def __init__(self, ctx: RequestContext, route: RouteRequest, log: AttemptLog):
        self.ctx = ctx
        self.offered = route
        self.route = route
        self.log = log
        self.end = AttemptEnd.CANCELLED
        self.failure: Failure | None = None


class Dispatch(Plugin):
    """Send requests to endpoints within their deadlines."""

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
        """Return the router that all requests share."""
        return self.kernel.plugin("endpoints").router

    @property
    def admission(self) -> Admission:
        """Return the admission that all requests share."""
        return self.kernel.plugin("endpoints").admission

    @property
    def retries(self) -> RetryPolicy:
        """Return the retry policy that all requests share."""
        return self.kernel.plugin("endpoints").retries

    async def start(self, tasks) -> None:
        """Start the task that decides on queued requests."""
        self._tasks = tasks
        tasks.start_soon(self._decide_queued)

    async def drain(self, deadline: float) -> None:
        """Wait for every running request, streams included."""
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
        """Call a plain service; a call that is not repeatable is sent once at most."""
        run = _Run(ctx, self._route(ctx, None), log or AttemptLog())
        with self._tracked(run):
            admitted = await self._admit(run)
            if admitted.is_err():
                return self._failed(run, admitted.err_value)
            with self._admitted(run):
                return await self._call_until_answered(run, req, repeatable)

    async def generate(
        self, ctx: RequestContext, req: GenerateRequest, log: AttemptLog | None = None
    ) -> AsyncIterator[Result[CompletionChunk, Failure]]:
        """Yield the parts of a completion; a failure ends the stream.

        An interrupted stream is resumed on another engine from its text. The
        stream is complete only if it ends without a failure.
        """
        run = _Run(ctx, self._route(ctx, _affinity(ctx, req)), log or AttemptLog())
        with self._tracked(run):
            admitted = await self._admit(run)
            if admitted.is_err():
                yield self._failed(run, admitted.err_value)
                return
            with self._admitted(run):
                async with aclosing(self._resume_until_done(run, req)) as parts:
                    async for part in parts:
                        yield part

    async def _call_until_answered(
        self, run: _Run, req: PlainRequest, repeatable: bool
    ) -> Result[CallResult, Failure]:
        while True:
            chosen = self._choose(run)
            if chosen.is_err():
                return self._failed(run, chosen.err_value)
            record = chosen.ok_value
            attempt = req._replace(attempt_id=self._attempt_id(run, req.attempt_id))
            result = await self._call_once(run, record, attempt, not repeatable)
            if result.is_ok() and not (repeatable and _is_refusal(result.ok_value)):
                run.failure = None
                return Ok(CallResult(result.ok_value, run.log.count))
            failure = result.err_value if result.is_err() else _REFUSAL
            may_repeat = repeatable or failure.outcome is Outcome.NOT_RUN
            if not may_repeat or not await self._wait_for_retry(run, failure):
                return self._failed(run, failure)

    async def _call_once(
        self, run: _Run, record: InstanceRecord, req: PlainRequest, fresh: bool
    ) -> Result[PlainAnswer, Failure]:
        with self._attempt(run, record, req.attempt_id):
            service = self.kernel.plugin("links").plain(record, fresh=fresh)
            result = await service.call(req, run.ctx.deadline)
            if result.is_err():
                self._note_failure(run, result.err_value)
            elif _is_refusal(result.ok_value):
                run.end = AttemptEnd.REFUSED
            else:
                run.end = AttemptEnd.OK
            return result

    async def _resume_until_done(self, run: _Run, req: GenerateRequest):
        texts = [req.prefix]
        tokens = 0
        while True:
            chosen = self._choose(run)
            if chosen.is_err():
                yield self._failed(run, chosen.err_value)
                return
            attempt = req._replace(
                attempt_id=self._attempt_id(run, req.attempt_id),
                prefix="".join(texts),
                max_tokens=req.max_tokens - tokens,
            )
            run.failure = None
            async with aclosing(
                self._generate_once(run, chosen.ok_value, attempt)
            ) as parts:
                async for part in parts:
                    texts.append(part.text)
                    tokens += part.tokens
                    yield Ok(part)
            # All tokens have arrived, so that a missing end marker loses nothing.
            if run.failure is None or tokens >= req.max_tokens:
                run.failure = None
                return
            failure = run.failure
            if not await self._wait_for_retry(run, failure):
                yield self._failed(run, failure)
                return

    async def _generate_once(
        self, run: _Run, record: InstanceRecord, req: GenerateRequest
    ) -> AsyncIterator[CompletionChunk]:
        engine = self.kernel.plugin("links").engine(record)
        with (
            self._cancelling(run, engine, req.attempt_id),
            self._attempt(run, record, req.attempt_id),
        ):
            async with aclosing(engine.generate(req, run.ctx.deadline)) as parts:
                async for part in parts:
                    if part.is_err():
                        self._note_failure(run, part.err_value)
                        return
                    yield part.ok_value
            run.end = AttemptEnd.OK

    @contextmanager
    def _cancelling(self, run: _Run, engine: Engine, attempt_id: str):
        """Cancel an abandoned completion over another connection.

        The engine does not see that a silent connection was closed.
        """
        try:
            yield
        finally:
            if run.end in _ABANDONED_ENDS and self._tasks is not None:
                self._tasks.start_soon(engine.cancel, attempt_id)

    def _route(self, ctx: RequestContext, affinity: int | None) -> RouteRequest:
        return RouteRequest(
            ctx.service, ctx.priority, ctx.caller, ctx.deadline, affinity
        )

    def _choose(self, run: _Run) -> Result[InstanceRecord, Failure]:
        now = self.kernel.clock.now()
        chosen = self.router.choose(run.route, now)
        if chosen.is_ok() or not run.route.exclude:
            return chosen
        if chosen.err_value.kind is not ErrorKind.NO_ENDPOINT:
            return chosen
        run.route = run.route._replace(exclude=frozenset())
        return self.router.choose(run.route, now)

    def _attempt_id(self, run: _Run, first: str) -> str:
        return first if run.log.count == 0 else new_id()

    @contextmanager
    def _attempt(self, run: _Run, record: InstanceRecord, attempt_id: str):
        run.log.count += 1
        run.end = AttemptEnd.CANCELLED
        route = run.route
        metrics.ATTEMPTS.labels(route.service).inc()
        self.router.started(record.id, route, self.kernel.clock.now())
        trace = self.kernel.trace
        request_id = run.ctx.request_id
        trace.record(
            request_id, "attempt.started", endpoint=record.id, attempt=attempt_id
        )
        try:
            yield
        finally:
            self.router.finished(record.id, route, run.end, self.kernel.clock.now())
            run.route = route._replace(exclude=route.exclude | {record.id})
            kind = run.failure.kind if run.failure else None
            trace.record(
                request_id,
                "attempt.ended",
                endpoint=record.id,
                attempt=attempt_id,
                end=run.end,
                kind=kind,
            )

    def _note_failure(self, run: _Run, failure: Failure) -> None:
        run.failure = failure
        run.end = _ENDS.get(failure.kind, AttemptEnd.FAILED)
        if failure.outcome is not Outcome.NOT_RUN:
            run.log.may_have_run = True

    async def _wait_for_retry(self, run: _Run, failure: Failure) -> bool:
        if failure.kind not in _REPEATABLE_KINDS:
            return False
        ctx = run.ctx
        clock = self.kernel.clock
        at = self.retries.retry_at(
            ctx.service, run.log.count, ctx.deadline, clock.now(), ctx.priority
        )
        if at is None or at >= ctx.deadline:
            return False
        await clock.sleep_until(at)
        return clock.now() < ctx.deadline

    async def _admit(self, run: _Run) -> Result[None, Failure]:
        guard = Deadline(self.kernel.clock, run.ctx.deadline)
        failure = self._refusal(guard)
        if failure:
            return Err(failure)
        ticket = new_id()
        offered = self.admission.offer(ticket, run.offered, self.kernel.clock.now())
        if offered.is_err():
            return offered
        if not offered.ok_value:
            failure = await self._wait_in_queue(run, ticket)
            if failure:
                return Err(failure)
        failure = self._refusal(guard)
        if failure:
            self._release(run, self.kernel.clock.now())
            return Err(failure)
        return Ok(None)

    def _refusal(self, guard: Deadline) -> Failure | None:
        if self.kernel.pause.check():
            message = "the instance was paused and refreshes its state"
            return Failure.of(ErrorKind.NOT_READY, message)
        if guard.expired():
            message = "the deadline has passed"
            return Failure.of(ErrorKind.DEADLINE_PASSED, message)
        return None

    async def _wait_in_queue(self, run: _Run, ticket: str) -> Failure | None:
        waiter = self._waiting[ticket] = _Waiter()
        self._queued.set()
        try:
            return await waiter.wait()
        except BaseException:
            if not waiter.decided:
                self.admission.withdraw(ticket)
            elif waiter.failure is None:
                self._release(run, self.kernel.clock.now())
            raise
        finally:
            self._waiting.pop(ticket, None)

    def _release(self, run: _Run, started_at: float) -> None:
        now = self.kernel.clock.now()
        self.admission.finished(run.offered, run.end, started_at, now)
        self._decide()

    def _decide(self) -> None:
        now = self.kernel.clock.now()
        for ticket in self.admission.expired(now):
            if ticket in self._waiting:
                message = "no capacity before the deadline"
                self._waiting[ticket].decide(Failure.of(ErrorKind.OVERLOADED, message))
        for ticket in self.admission.next_admitted(now):
            if ticket in self._waiting:
                self._waiting[ticket].decide()

    async def _decide_queued(self) -> None:
        while True:
            await self._queued.wait()
            while self._waiting:
                self._decide()
                now = self.kernel.clock.now()
                await self.kernel.clock.sleep_until(now + ADMISSION_TICK_S)
            self._queued = anyio.Event()

    @contextmanager
    def _tracked(self, run: _Run):
        self.in_flight += 1
        run.log.dispatched = True
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()
            self._count(run)

    @contextmanager
    def _admitted(self, run: _Run):
        started_at = self.kernel.clock.now()
        self.retries.request_started(run.ctx.service, started_at)
        try:
            yield
        finally:
            self._release(run, started_at)

    def _failed(self, run: _Run, failure: Failure) -> Err[Failure]:
        run.failure = run.log.final_failure(failure)
        return Err(run.failure)

    def _count(self, run: _Run) -> None:
        kind, outcome = _ending(run)
        service = run.ctx.service
        if kind is ErrorKind.UNKNOWN_SERVICE:
            service = ""
        metrics.REQUESTS.labels(service, kind, outcome).inc()
        elapsed = self.kernel.clock.now() - run.ctx.arrived_at
        metrics.REQUEST_SECONDS.labels(service).observe(elapsed)
        self._count_burn(run, kind)
        self.kernel.trace.record(
            run.ctx.request_id,
            "request.ended",
            service=service,
            kind=kind,
            outcome=outcome,
            attempts=run.log.count,
        )

    def _count_burn(self, run: _Run, kind: str) -> None:
        """Count against the objective, but for what the caller itself caused."""
        if kind in _CALLER_KINDS:
            return
        on_time = self.kernel.clock.now() <= run.ctx.deadline
        good = kind == "ok" and on_time
        self.kernel.burn.count(run.ctx.service, good, self.kernel.clock.wall())


_REFUSAL = Failure.of(ErrorKind.ENDPOINT_REFUSED, "the endpoint refused the call")


def _ending(run: _Run) -> tuple[str, Outcome]:
    if run.failure:
        return run.failure.kind, run.failure.outcome
    if run.end is AttemptEnd.CANCELLED:
        return "cancelled", Outcome.MAY_HAVE_RUN
    return "ok", Outcome.RAN


def _is_refusal(answer: PlainAnswer) -> bool:
    return answer.status == REFUSED_STATUS


def _affinity(ctx: RequestContext, req: GenerateRequest) -> int:
    """Hash the group, or else the first message, which prompts often share."""
    group = ctx.group.encode() if ctx.group else None
    shared = group or msgspec.json.encode(req.messages[:1])
    return xxhash.xxh64_intdigest(shared)
