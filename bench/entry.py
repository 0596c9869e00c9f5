"""Simulated entry instance, which dispatches requests by the policies."""

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

TICK_INTERVAL_S = 0.25
POLL_INTERVAL_S = 1.0
HEDGE_DELAY_RATIO = 3.0
DURATION_WEIGHT = 0.1


class Request:
    """One request; `on_end` is called with the request, its end and final attempt.

    `size` holds the tokens of the answer and of the prompt, the shared prompt prefix
    and its tokens. `start_counted` is set at the first attempt; from then on neither
    the report nor the retry budget counts the start of the request again.
    """

    def __init__(self, number, kind, service, tenant, arrived, deadline, size, on_end):
        self.id = str(number)
        self.kind = kind
        self.service = service
        self.tenant = tenant
        self.arrived = arrived
        self.deadline = deadline
        self.tokens, self.prompt_tokens, self.prefix, self.prefix_tokens = size
        self.on_end = on_end
        self.priority = Priority.ROLLOUT if kind == "rollout" else Priority.CALLER
        self.attempts = 0
        self.tried: frozenset[str] = frozenset()
        self.live: list[Attempt] = []
        self.ended = False
        self.start_counted = False
        self.admitted_at: float | None = None
        self.straggler = False

    def route(self) -> RouteRequest:
        """Return the request as the policies receive it."""
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
    """Dispatch requests with the policies of a variant, or their naive versions."""

    def __init__(self, simulation, settings, variant: Variant, seed: int):
        self.simulation = simulation
        self.data_centre = settings.instance.data_centre
        self._variant = variant
        self._loop = simulation.loop
        self._random = random.Random(seed)
        self._waiting: dict[str, Request] = {}
        self._live: dict[Attempt, None] = {}
        self._duration: dict[str, float] = {}
        cfg = simulation.cfg
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
        self._loop.call_later(self._random.uniform(0, TICK_INTERVAL_S), self._tick)
        self._loop.call_at(0.0, self._poll)

    def submit(self, request: Request) -> None:
        """Offer a request of a caller or of a trainer's step for admission."""
        now = self._loop.now
        self._loop.call_at(request.deadline, self._expire, request)
        answer = self.admission.offer(request.id, request.route(), now)
        if answer.is_err():
            self._end(request, "refused", None)
        elif answer.unwrap():
            self._start_admitted(request)
        else:
            self._waiting[request.id] = request

    def receive_answer(self, attempt: Attempt) -> None:
        """Receive the answer of an endpoint after the network delay.

        If the data centres are disconnected, the answer is lost and its tokens wasted.
        """
        if not self.simulation.reachable(self.data_centre, attempt.record.data_centre):
            self.simulation.report.wasted_tokens += attempt.request.tokens
            return
        delay = self.simulation.one_way_delay(
            self.data_centre, attempt.record.data_centre
        )
        self._loop.call_later(delay, self.attempt_ended, attempt, AttemptEnd.OK)

    def attempt_ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Record the end of an attempt, then end or retry its request."""
        request, now = attempt.request, self._loop.now
        if attempt.ended:
            if end is AttemptEnd.OK:
                self.simulation.report.wasted_tokens += request.tokens
            return
        self._finish_attempt(attempt, end)
        if end is AttemptEnd.OK:
            self._record_duration(request, now - attempt.started_at)
            if attempt.record.data_centre != self.data_centre:
                self.simulation.report.record_cross_traffic(request.tokens)
        if request.ended:
            if end is AttemptEnd.OK:
                self.simulation.report.wasted_tokens += request.tokens
        elif end is AttemptEnd.OK:
            late = now > request.deadline
            self._end(request, "late" if late else "ok", attempt)
        elif not request.live:
            self._retry(request, end)

    def time_out_unreachable(self) -> None:
        """Schedule time-outs for attempts in data centres that were disconnected."""
        for attempt in list(self._live):
            self._schedule_timeout(attempt)

    def hedge_straggler(self, request: Request) -> None:
        """Mark one of the last samples of a step, so that it may be hedged."""
        request.straggler = True

    def _record_duration(self, request: Request, duration: float) -> None:
        mean = self._duration.get(request.kind, duration)
        mean += DURATION_WEIGHT * (duration - mean)
        self._duration[request.kind] = mean

    def _start_admitted(self, request: Request) -> None:
        request.admitted_at = self._loop.now
        if not request.start_counted:
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
        self.simulation.report.record_attempt(now, not request.start_counted)
        request.start_counted = True
        self.router.started(record.id, request.route(), now)
        if record.data_centre != self.data_centre:
            self.simulation.report.record_cross_traffic(request.prompt_tokens)
        if not self._schedule_timeout(attempt):
            delay = self.simulation.one_way_delay(self.data_centre, record.data_centre)
            self._loop.call_later(delay, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        engine = self.simulation.endpoints[attempt.record.id]
        rollout = attempt.request.priority is Priority.ROLLOUT
        if not engine.submit(attempt, int(self._variant.priorities and rollout)):
            self.attempt_ended(attempt, AttemptEnd.REFUSED)

    def _schedule_timeout(self, attempt: Attempt) -> bool:
        """Return whether the endpoint is unreachable; if so, schedule a time-out."""
        if self.simulation.reachable(self.data_centre, attempt.record.data_centre):
            return False
        timeout = self.simulation.cfg.defaults().progress_timeout
        self._loop.call_later(timeout, self._time_out, attempt)
        return True

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.attempt_ended(attempt, AttemptEnd.SILENT)

    def _finish_attempt(self, attempt: Attempt, end: AttemptEnd) -> None:
        attempt.ended = True
        request = attempt.request
        request.live.remove(attempt)
        self._live.pop(attempt, None)
        name = attempt.record.id
        self.router.finished(name, request.route(), end, self._loop.now)

    def _cancel(self, attempt: Attempt) -> None:
        self._finish_attempt(attempt, AttemptEnd.CANCELLED)
        self.simulation.endpoints[attempt.record.id].cancel(attempt)

    def _retry(self, request: Request, end: AttemptEnd) -> None:
        now = self._loop.now
        if request.kind == "booking" and end is not AttemptEnd.REFUSED:
            self._end(request, "unknown", None)
            return
        at = self._retry_at(request, request.attempts)
        if at is not None:
            self._loop.call_at(at, self._start, request)
        elif request.kind == "rollout":
            self._release_admission(request, AttemptEnd.FAILED)
            delay = self._random.uniform(1, 3) if self._variant.retries else 1.0
            self._loop.call_at(now + delay, self._resubmit, request)
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
        """Submit a failed sample again; this attempt uses the retry budget too."""
        if request.ended:
            return
        request.tried = frozenset()
        request.attempts = 0
        unbudgeted = not self._variant.retries or not request.start_counted
        if unbudgeted or self._retry_at(request, 1) is not None:
            self.submit(request)
        else:
            self._loop.call_later(self._random.uniform(1, 3), self._resubmit, request)

    def _release_admission(self, request: Request, end: AttemptEnd) -> None:
        if request.admitted_at is not None:
            started, request.admitted_at = request.admitted_at, None
            self.admission.finished(request.route(), end, started, self._loop.now)

    def _end(self, request: Request, end: str, attempt: Attempt | None) -> None:
        request.ended = True
        self._waiting.pop(request.id, None)
        self.admission.withdraw(request.id)
        ok = attempt is not None
        self._release_admission(request, AttemptEnd.OK if ok else AttemptEnd.FAILED)
        if self._variant.cancelling:
            for other in list(request.live):
                self._cancel(other)
        latency = self._loop.now - request.arrived
        self.simulation.report.request_ended(request.kind, end, latency)
        request.on_end(request, end, attempt)
        self._process_admissions()

    def _expire(self, request: Request) -> None:
        if not request.ended:
            self._end(request, "late", None)

    def _process_admissions(self) -> None:
        now = self._loop.now
        for name in self.admission.expired(now):
            self._end(self._waiting[name], "refused", None)
        for name in self.admission.next_admitted(now):
            self._start_admitted(self._waiting.pop(name))

    def _tick(self) -> None:
        self._process_admissions()
        if self._variant.hedging:
            self._hedge()
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _hedge(self) -> None:
        """Hedge attempts that exceed HEDGE_DELAY_RATIO times the mean duration."""
        now = self._loop.now
        for attempt in list(self._live):
            request = attempt.request
            eligible = request.straggler or request.kind == "caller"
            if not eligible or len(request.live) > 1:
                continue
            mean_duration = self._duration.get(request.kind)
            if (
                mean_duration is None
                or now - attempt.started_at < HEDGE_DELAY_RATIO * mean_duration
            ):
                continue
            if self._retry_at(request, request.attempts, hedge=True) is not None:
                self._start(request)

    def _poll(self) -> None:
        now = self._loop.now
        records = self.simulation.instance_list()
        if records != self.records:
            self.records = records
            self.router.update_endpoints(records, now)
        for record in records:
            if record.kind is InstanceKind.ENGINE and self.router.in_subset(record.id):
                self._poll_load(record, now)
        self._loop.call_later(
            POLL_INTERVAL_S * self._random.uniform(0.8, 1.2), self._poll
        )

    def _poll_load(self, record, now: float) -> None:
        if not self.simulation.reachable(self.data_centre, record.data_centre):
            return
        status = self.simulation.endpoints[record.id].status()
        if status is not None:
            delay = self.simulation.one_way_delay(self.data_centre, record.data_centre)
            self.router.update_load(record.id, status, now, round_trip=2 * delay)
