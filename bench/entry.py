"""One entry instance: the dispatch of requests, driven by the policies."""

import random

from bench.engine import Attempt
from bench.variants import Variant
from plantainstack.interfaces import InstanceKind, Priority
from plantainstack.policy.limits import OpenAdmission, PriorityAdmission
from plantainstack.policy.retries import BudgetedRetries, FixedRetries
from plantainstack.policy.routing import (
    AttemptEnd,
    LoadAwareRouter,
    RoundRobinRouter,
    RouteRequest,
)

TICK_S = 0.25
POLL_S = 1.0
HEDGE_RATIO = 3.0
DURATION_WEIGHT = 0.1


class Request:
    """Hold one request; `done` is called with its end and the last attempt."""

    def __init__(self, number, kind, service, tenant, arrived, deadline, size, done):
        self.id = str(number)
        self.kind = kind
        self.service = service
        self.tenant = tenant
        self.arrived = arrived
        self.deadline = deadline
        self.tokens, self.prompt_tokens, self.prefix, self.prefix_tokens = size
        self.done = done
        self.priority = Priority.ROLLOUT if kind == "rollout" else Priority.CALLER
        self.attempts = 0
        self.tried: frozenset[str] = frozenset()
        self.live: list[Attempt] = []
        self.ended = False
        self.counted = False
        self.admitted_at: float | None = None
        self.straggler = False

    def route(self) -> RouteRequest:
        """Return what the policies see of the request."""
        affinity = self.prefix if self.prefix_tokens else None
        return RouteRequest(
            self.service,
            self.priority,
            self.tenant,
            self.deadline,
            affinity,
            self.tried,
        )


class Entry:
    """Dispatch requests, with the policies or with the naive versions."""

    def __init__(self, world, settings, variant: Variant, seed: int):
        self.world = world
        self.data_centre = settings.instance.data_centre
        self._variant = variant
        self._loop = world.loop
        self._random = random.Random(seed)
        self._waiting: dict[str, Request] = {}
        self._live: dict[Attempt, None] = {}
        self._duration: dict[str, float] = {}
        cfg = world.cfg
        self.router = RoundRobinRouter()
        if variant.router:
            self.router = LoadAwareRouter(settings, cfg, seed)
        self.admission = OpenAdmission()
        if variant.admission:
            self.admission = PriorityAdmission(cfg, self.router)
        self.retries = FixedRetries()
        if variant.retries:
            self.retries = BudgetedRetries(cfg, seed)
        self.records = ()
        self._loop.after(self._random.uniform(0, TICK_S), self._tick)
        self._loop.at(0.0, self._poll)

    def submit(self, request: Request) -> None:
        """Take a request from a caller or a trainer's step."""
        now = self._loop.now
        self._loop.at(request.deadline, self._deadline, request)
        answer = self.admission.offer(request.id, request.route(), now)
        if answer.is_err():
            self._end(request, "refused", None)
        elif answer.unwrap():
            self._admitted(request)
        else:
            self._waiting[request.id] = request

    def answered(self, attempt: Attempt) -> None:
        """Take the answer of an endpoint, unless the network loses it."""
        if not self.world.reachable(self.data_centre, attempt.record.data_centre):
            self.world.report.wasted += attempt.request.tokens
            return
        delay = self.world.delay(self.data_centre, attempt.record.data_centre)
        self._loop.after(delay, self.ended, attempt, AttemptEnd.OK)

    def ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Handle the end of an attempt."""
        request, now = attempt.request, self._loop.now
        if attempt.ended:
            if end is AttemptEnd.OK:
                self.world.report.wasted += request.tokens
            return
        self._close(attempt, end)
        if end is AttemptEnd.OK:
            self._learn(request, now - attempt.started_at)
            if attempt.record.data_centre != self.data_centre:
                self.world.report.crossed(request.tokens)
        if request.ended:
            if end is AttemptEnd.OK:
                self.world.report.wasted += request.tokens
        elif end is AttemptEnd.OK:
            late = now > request.deadline
            self._end(request, "late" if late else "ok", attempt)
        elif not request.live:
            self._retry(request, end)

    def cut(self) -> None:
        """Let attempts whose path was cut go silent."""
        for attempt in list(self._live):
            self._watch_path(attempt)

    def hedge_straggler(self, request: Request) -> None:
        """Allow a hedge for one of the last samples of a step."""
        request.straggler = True

    def _learn(self, request: Request, duration: float) -> None:
        known = self._duration.get(request.kind, duration)
        known += DURATION_WEIGHT * (duration - known)
        self._duration[request.kind] = known

    def _admitted(self, request: Request) -> None:
        request.admitted_at = self._loop.now
        if not request.counted:
            self.retries.request_started(request.service, self._loop.now)
        self._start(request)

    def _start(self, request: Request) -> None:
        now = self._loop.now
        if request.ended:
            return
        answer = self.router.choose(request.route(), now)
        if answer.is_err():
            self._retry(request, AttemptEnd.REFUSED)
            return
        record = answer.unwrap()
        request.attempts += 1
        request.tried |= {record.id}
        attempt = Attempt(request, self, record, now)
        request.live.append(attempt)
        self._live[attempt] = None
        self.world.report.attempt(now, not request.counted)
        request.counted = True
        self.router.started(record.id, request.route(), now)
        if record.data_centre != self.data_centre:
            self.world.report.crossed(request.prompt_tokens)
        if not self._watch_path(attempt):
            delay = self.world.delay(self.data_centre, record.data_centre)
            self._loop.after(delay, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        engine = self.world.endpoints[attempt.record.id]
        rollout = attempt.request.priority is Priority.ROLLOUT
        if not engine.submit(attempt, int(self._variant.priorities and rollout)):
            self.ended(attempt, AttemptEnd.REFUSED)

    def _watch_path(self, attempt: Attempt) -> bool:
        """Return whether the path is cut; the attempt then ends by a timeout."""
        if self.world.reachable(self.data_centre, attempt.record.data_centre):
            return False
        timeout = self.world.cfg.defaults().progress_timeout
        self._loop.after(timeout, self._silent, attempt)
        return True

    def _silent(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.ended(attempt, AttemptEnd.SILENT)

    def _close(self, attempt: Attempt, end: AttemptEnd) -> None:
        attempt.ended = True
        request = attempt.request
        request.live.remove(attempt)
        self._live.pop(attempt, None)
        name = attempt.record.id
        self.router.finished(name, request.route(), end, self._loop.now)

    def _cancel(self, attempt: Attempt) -> None:
        self._close(attempt, AttemptEnd.CANCELLED)
        self.world.endpoints[attempt.record.id].cancel(attempt)

    def _retry(self, request: Request, end: AttemptEnd) -> None:
        now = self._loop.now
        if request.kind == "booking" and end is not AttemptEnd.REFUSED:
            self._end(request, "unknown", None)
            return
        at = self._retry_at(request, request.attempts)
        if at is not None:
            self._loop.at(at, self._start, request)
        elif request.kind == "rollout":
            self._release(request, AttemptEnd.FAILED)
            delay = self._random.uniform(1, 3) if self._variant.retries else 1.0
            self._loop.at(now + delay, self._resubmit, request)
        else:
            self._end(request, "failed", None)

    def _retry_at(self, request: Request, attempts: int, **kwargs) -> float | None:
        now = self._loop.now
        return self.retries.retry_at(
            request.service,
            attempts,
            request.deadline,
            now,
            priority=request.priority,
            **kwargs,
        )

    def _resubmit(self, request: Request) -> None:
        """Offer a sample again; the budget covers this attempt too."""
        if request.ended:
            return
        request.tried = frozenset()
        request.attempts = 0
        free = not self._variant.retries or not request.counted
        if free or self._retry_at(request, 1) is not None:
            self.submit(request)
        else:
            self._loop.after(self._random.uniform(1, 3), self._resubmit, request)

    def _release(self, request: Request, end: AttemptEnd) -> None:
        if request.admitted_at is not None:
            started, request.admitted_at = request.admitted_at, None
            self.admission.finished(request.route(), end, started, self._loop.now)

    def _end(self, request: Request, end: str, attempt: Attempt | None) -> None:
        request.ended = True
        self._waiting.pop(request.id, None)
        self.admission.withdraw(request.id)
        ok = attempt is not None
        self._release(request, AttemptEnd.OK if ok else AttemptEnd.FAILED)
        if self._variant.cancelling:
            for other in list(request.live):
                self._cancel(other)
        latency = self._loop.now - request.arrived
        self.world.report.request_ended(request.kind, end, latency)
        request.done(request, end, attempt)
        self._pump()

    def _deadline(self, request: Request) -> None:
        if not request.ended:
            self._end(request, "late", None)

    def _pump(self) -> None:
        now = self._loop.now
        for name in self.admission.expired(now):
            self._end(self._waiting[name], "refused", None)
        for name in self.admission.next_admitted(now):
            self._admitted(self._waiting.pop(name))

    def _tick(self) -> None:
        self._pump()
        if self._variant.hedging:
            self._hedge()
        self._loop.after(TICK_S, self._tick)

    def _hedge(self) -> None:
        """Start a second attempt beside one that takes unusually long."""
        now = self._loop.now
        for attempt in list(self._live):
            request = attempt.request
            eligible = request.straggler or request.kind == "caller"
            if not eligible or len(request.live) > 1:
                continue
            usual = self._duration.get(request.kind)
            if usual is None or now - attempt.started_at < HEDGE_RATIO * usual:
                continue
            if self._retry_at(request, request.attempts, hedge=True) is not None:
                self._start(request)

    def _poll(self) -> None:
        now = self._loop.now
        records = self.world.listing()
        if records != self.records:
            self.records = records
            self.router.update_endpoints(records, now)
        for record in records:
            if record.kind is InstanceKind.ENGINE and self.router.in_subset(record.id):
                self._poll_load(record, now)
        self._loop.after(POLL_S * self._random.uniform(0.8, 1.2), self._poll)

    def _poll_load(self, record, now: float) -> None:
        if not self.world.reachable(self.data_centre, record.data_centre):
            return
        status = self.world.endpoints[record.id].status()
        if status is not None:
            delay = self.world.delay(self.data_centre, record.data_centre)
            self.router.update_load(record.id, status, now, round_trip=2 * delay)
