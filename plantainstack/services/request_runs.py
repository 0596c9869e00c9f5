"""Attempts of one request at endpoints."""

from typing import TYPE_CHECKING

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import Priority
from plantainstack.policy import (
    forwarding,
    quarantine,
    route_table,
    tenant_admission,
)
from plantainstack.policy.forwarding import AttemptCounts
from plantainstack.policy.quarantine import LossRecord
from plantainstack.serving import Endpoint, EndpointCall, Route

if TYPE_CHECKING:
    from plantainstack.services.fair_waits import FairTurn
    from plantainstack.services.forwarding import ClientCall, Forwarding


class RequestRun:
    """Track the attempts of one request.

    `ran` counts attempts that ran or may have run, including running ones.
    """

    def __init__(self, plugin: "Forwarding", call: "ClientCall", route: Route):
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
        # When the request began to run: a plain one with the sending of the first
        # attempt that may have run, a stream with its first event.
        self._began_at = 0.0
        self._counted = False
        # The place among the requests of all tenants, None without tenants.
        self._turn: FairTurn | None = None

    def count_begin(self) -> None:
        """Count the client's request for its tenant once, if it may have run."""
        tenant = self._call.tenant
        if tenant is not None and self.ran and not self._counted:
            self._counted = True
            self._plugin.usage.record_begin(tenant.name, self._began_at)

    async def settle(self) -> None:
        """Clear or share the losses under this request."""
        lost, self._lost = self._lost, []
        await self._plugin.losses.settle(
            self.digest, self._call.request_id, lost, self.answered
        )

    def free_slot(self) -> None:
        """Let a waiting request have the slot that this one had, if any."""
        if self._turn is not None and self.ran:
            self._plugin.fair_waits.slot_freed(self.service)

    async def _next_endpoint(self) -> Endpoint | None:
        """Return the next endpoint; wait for a turn while all refuse the request."""
        if self._turn is None and not self.tried:
            fair_waits = self._plugin.fair_waits
            self._turn = fair_waits.turn(self.service, self._call, self._route)
            if self._turn is not None and not await self._turn.begin():
                self._refusal = self._turn.refusal
                return None
        endpoint = await self._find_endpoint()
        while endpoint is None and self._is_refused_by_all():
            if not await self._turn.wait():
                self._refusal = self._turn.refusal
                return None
            self.tried.clear()
            self.failures.clear()
            endpoint = await self._find_endpoint()
        return endpoint

    def _is_refused_by_all(self) -> bool:
        """Return whether only full endpoints keep the request from running."""
        if self._turn is None or self.ran or not self.tried or self._refusal:
            return False
        return self.failures[-1].kind is ErrorKind.ENDPOINT_REFUSED

    async def _find_endpoint(self) -> Endpoint | None:
        if self._deadline_passed():
            return None
        counts = AttemptCounts(len(self.tried), self.ran, self.running)
        if not forwarding.may_start_attempt(self._route, counts):
            return None
        endpoint = await self._choose_endpoint()
        while endpoint is not None and not self._plugin.discovery.is_usable(endpoint):
            # It began to leave while the request waited for a permit.
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
        awaits_silent = self._awaits_silent()
        reuse = not awaits_silent and not self._losses_of_request().lost
        identity = tenant_admission.endpoint_identity(
            self._plugin.discovery.serving,
            self._route,
            self.service,
            call.tenant.name if call.tenant else "",
        )
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
            awaits_silent=awaits_silent,
            tenant=identity.tenant,
            priority=identity.priority,
        )

    def _awaits_silent(self) -> bool:
        discovery = self._plugin.discovery
        now = self._clock.now()
        has_alternative = any(
            end.id not in self.tried
            and self._fits(end)
            and discovery.rate_limits.may_send(end, Priority.CALLER, now)
            for end in discovery.usable(self.service)
        )
        counts = AttemptCounts(len(self.tried), self.ran, self.running)
        return forwarding.awaits_silent(self._route, counts, has_alternative)

    def _handle_failure(self, endpoint: Endpoint, failure: Failure) -> None:
        self.failures.append(failure)
        if failure.outcome is Outcome.NOT_RUN:
            self.ran -= 1
        if not self._deadline_passed():
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

    def _handle_denied_run(self, endpoint: Endpoint, status: int) -> None:
        message = f"endpoint {endpoint.id} ran the request and answered with {status}"
        failure = Failure(ErrorKind.ANSWER_UNAVAILABLE, message, Outcome.RAN)
        self._handle_failure(endpoint, failure)

    def _deadline_passed(self) -> bool:
        """Return whether the deadline ended an attempt, which is no one's failure."""
        return self._clock.now() >= self._call.deadline

    def _handle_refusal(self, endpoint: Endpoint, status: int) -> None:
        self.ran -= 1
        self._balancer.record_refusal(endpoint, self._clock.now())
        message = f"endpoint {endpoint.id} refused the request with status {status}"
        self.failures.append(Failure.of(ErrorKind.ENDPOINT_REFUSED, message))
