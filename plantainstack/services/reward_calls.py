"""Plug-in that sends the reward calls of items whose text is complete."""

import random
from http import HTTPStatus
from typing import NamedTuple

import anyio
from result import Err, Result

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import Priority
from plantainstack.plugins import Plugin
from plantainstack.policy import reward_calls, route_table, tenant_admission
from plantainstack.policy.reward_calls import (
    GroupProgress,
    RewardAttempts,
    RewardRank,
)
from plantainstack.serving import (
    Endpoint,
    EndpointAnswer,
    EndpointCall,
    RequestKind,
    RewardCall,
    Route,
)
from plantainstack.tasks import contained

# Maximum wait for a free slot before the endpoints are checked again. Slots that other
# instances free are not signalled to this one.
SLOT_RETRY_S = 0.05


class RewardRequest(NamedTuple):
    """Hold a reward call and what it is needed for; times are monotonic seconds.

    `deadline` is the time at which the item is abandoned, and `due_at` the time at
    which the trainer wants the results of the batch. `tenant` is that of the batch.
    """

    call: RewardCall
    item_id: str
    batch_id: str
    batch_route: Route
    deadline: float
    due_at: float
    group: GroupProgress
    attempts: RewardAttempts
    tenant: str = ""


class _Slot(NamedTuple):
    """Hold the endpoint that a call may use, and what that was decided by."""

    route: Route
    endpoint: Endpoint
    load: float
    report_age_s: float | None


class _Waiting:
    """Hold a reward call that waits for a slot."""

    def __init__(self, request: RewardRequest, now: float):
        self.request = request
        self.since = now
        self.slot: _Slot | None = None
        self.without_route = False
        self.granted = anyio.Event()

    def rank(self) -> RewardRank:
        request = self.request
        return RewardRank(request.due_at, request.group.unfinished, self.since)


class RewardCalls(Plugin):
    """Send reward calls to endpoints, in the order in which trainers need them."""

    name = "reward_calls"
    requires = ("discovery", "rate_permits", "store")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._rng = random.Random()
        self._waiting: list[_Waiting] = []
        self._arrived = anyio.Event()

    async def start(self, tasks) -> None:
        """Start to assign slots to waiting calls."""
        self._discovery = self.kernel.plugin("discovery")
        self._permits = self.kernel.plugin("rate_permits")
        self._endpoints = self.kernel.plugin("store").endpoint_client
        tasks.start_loop(self._assign_slots)

    async def score(self, request: RewardRequest) -> str | None:
        """Return the score of an item, or None if the item is to be abandoned."""
        started = self._clock.now()
        try:
            return await self._score(request)
        finally:
            metrics.REWARD_SECONDS.observe(self._clock.now() - started)

    async def _score(self, request: RewardRequest) -> str | None:
        attempts = request.attempts
        while (slot := await self._reserve_slot(request)) is not None:
            outcome = await self._attempt(request, slot)
            answer = outcome.ok()
            scored = answer is not None and _is_score(answer)
            if not scored:
                self._handle_failure(request, slot.endpoint, outcome)
            # Only now, since a failure decides which endpoints others may use.
            self._grant_slots()
            if scored:
                return answer.receipt
            limit = reward_calls.errors_max(request.batch_route, slot.route)
            if attempts.exhausted(limit):
                return None
            await self._clock.sleep_until(self._clock.now() + attempts.retry_delay_s())
        return None

    async def _reserve_slot(self, request: RewardRequest) -> _Slot | None:
        """Wait for a slot; return None if the deadline passes first."""
        if self._clock.now() >= request.deadline:
            return None
        waiting = _Waiting(request, self._clock.now())
        self._waiting.append(waiting)
        metrics.REWARD_CALLS_WAITING.set(len(self._waiting))
        self._grant_slots()
        self._arrived.set()
        try:
            with anyio.move_on_after(max(0.0, request.deadline - waiting.since)):
                await waiting.granted.wait()
        except BaseException:
            if waiting.slot is not None:
                self._discovery.balancer.request_ended(waiting.slot.endpoint)
            raise
        finally:
            if waiting.slot is None:
                self._waiting.remove(waiting)
        metrics.REWARD_WAIT_SECONDS.observe(self._clock.now() - waiting.since)
        return waiting.slot

    async def _assign_slots(self) -> None:
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            while self._waiting:
                await self._clock.sleep_until(self._clock.now() + SLOT_RETRY_S)
                self._grant_slots()

    def _grant_slots(self) -> None:
        full: set[str] = set()
        for waiting in sorted(self._waiting, key=_Waiting.rank):
            with contained("RewardCalls._grant_slot", item=waiting.request.item_id):
                self._grant_slot(waiting, full)
        metrics.REWARD_CALLS_WAITING.set(len(self._waiting))

    def _grant_slot(self, waiting: _Waiting, full: set[str]) -> None:
        route = self._route(waiting)
        slot = self._choose(waiting.request, route, full) if route else None
        if slot is None:
            return
        self._permits.take(slot.endpoint, Priority.ROLLOUT)
        self._discovery.balancer.request_started(slot.endpoint)
        self._waiting.remove(waiting)
        waiting.slot = slot
        waiting.granted.set()

    def _route(self, waiting: _Waiting) -> Route | None:
        """Return the current route of a call, which may have been dropped."""
        call = waiting.request.call
        cfg = self._discovery.serving
        route = route_table.match(cfg, call.host, call.path.partition("?")[0])
        if route is not None and route.kind is not RequestKind.BATCH:
            return route
        if not waiting.without_route:
            waiting.without_route = True
            log.event(
                "reward.no_route",
                call.id,
                item=waiting.request.item_id,
                batch=waiting.request.batch_id,
                config=cfg.version,
            )
        return None

    def _choose(
        self, request: RewardRequest, route: Route, full: set[str]
    ) -> _Slot | None:
        """Choose an endpoint of the route; `full` collects services without room."""
        service = route_table.pick_service(route, self._rng)
        if service in full:
            return None
        now = self._clock.now()
        balancer = self._discovery.balancer
        usable = self._permits.open_endpoints(
            self._discovery.usable(service), Priority.ROLLOUT
        )
        found = reward_calls.choose_endpoint(balancer, usable, request.attempts, now)
        if found is None:
            # A call that failed may only wait for the endpoints that did not fail it.
            if not request.attempts.failed():
                full.add(service)
            return None
        age_s = balancer.report_age_s(found.endpoint, now)
        return _Slot(route, found.endpoint, found.load, age_s)

    async def _attempt(
        self, request: RewardRequest, slot: _Slot
    ) -> Result[EndpointAnswer, Failure]:
        started = self._clock.now()
        answer_by = request.attempts.begin(slot.route, started, request.deadline)
        outcome = Err(_unanswered())
        balancer = self._discovery.balancer
        self._permits.record_request(slot.endpoint, request.call.id)
        try:
            with anyio.move_on_after(answer_by - started):
                call = self._endpoint_call(request, slot)
                outcome = await self._endpoints.call(slot.endpoint, call)
            # Before the request is counted as ended, since the report includes it.
            if outcome.is_ok():
                answer = outcome.unwrap()
                now = self._clock.now()
                balancer.record_load_report(slot.endpoint, answer.load, now)
                self._permits.record_answer(slot.endpoint, answer.rate_limit, started)
        finally:
            balancer.request_ended(slot.endpoint)
        self._record_attempt(request, slot, outcome, started, answer_by)
        return outcome

    def _endpoint_call(self, request: RewardRequest, slot: _Slot) -> EndpointCall:
        call = request.call
        identity = tenant_admission.endpoint_identity(
            self._discovery.serving, slot.route, slot.endpoint.service, request.tenant
        )
        return EndpointCall(
            call.id,
            "POST",
            call.path,
            call.host,
            (),
            call.body,
            request.deadline,
            tenant=identity.tenant,
            priority=identity.priority,
        )

    def _record_attempt(self, request, slot, outcome, started, answer_by) -> None:
        now = self._clock.now()
        failure = outcome.err()
        answer = outcome.ok()
        end = failure.kind.value if failure else str(answer.answer.status)
        service = slot.endpoint.service
        metrics.REWARD_CALLS.labels(service, end).inc()
        log.event(
            "reward.attempt",
            request.call.id,
            item=request.item_id,
            batch=request.batch_id,
            config=self._discovery.serving.version,
            route=slot.route.name,
            endpoint=slot.endpoint.id,
            load=round(slot.load, 2),
            load_age_s=None
            if slot.report_age_s is None
            else round(slot.report_age_s, 3),
            attempt=request.attempts.count,
            wait_limit_s=round(answer_by - started, 3),
            deadline_left_s=round(request.deadline - started, 3),
            end=end,
            not_run=answer.not_run if answer else failure.outcome is Outcome.NOT_RUN,
            seconds=round(now - started, 3),
            reason=failure.message if failure else "",
        )

    def _handle_failure(
        self,
        request: RewardRequest,
        endpoint: Endpoint,
        outcome: Result[EndpointAnswer, Failure],
    ) -> None:
        balancer = self._discovery.balancer
        now = self._clock.now()
        attempts = request.attempts
        if outcome.is_err():
            unanswered = outcome.unwrap_err().kind is ErrorKind.ANSWER_TIMEOUT
            attempts.record_failure(endpoint.id, unanswered)
            # An endpoint that has answered others meanwhile only took long for this.
            if not (
                unanswered and balancer.reported_since(endpoint, attempts.begun_at)
            ):
                balancer.record_failure(endpoint, now)
        elif outcome.unwrap().not_run:
            balancer.record_refusal(endpoint, now)
            attempts.record_refusal()
        elif outcome.unwrap().answer.status == reward_calls.ERROR_STATUS:
            # Some calls fail at every endpoint, so this one is not avoided for others.
            attempts.record_error(endpoint.id)
        else:
            attempts.record_failure(endpoint.id, unanswered=False)


def _is_score(answer: EndpointAnswer) -> bool:
    success = HTTPStatus.OK <= answer.answer.status < HTTPStatus.MULTIPLE_CHOICES
    return success and not answer.not_run and answer.receipt is not None


def _unanswered() -> Failure:
    message = "the endpoint did not answer the reward call in time"
    return Failure.of(ErrorKind.ANSWER_TIMEOUT, message)
