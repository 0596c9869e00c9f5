"""Choose endpoints for the items of a batch."""

import random
from collections.abc import Callable

import anyio

from plantainstack import log, metrics
from plantainstack.interfaces import Priority
from plantainstack.policy import route_table, software_versions
from plantainstack.policy.item_runs import ItemRun
from plantainstack.policy.prefix_placement import LOAD_MAX as LOAD_MAX
from plantainstack.policy.software_versions import SoftwareVersion, software_of
from plantainstack.services.prompt_placement import PromptPlacement
from plantainstack.serving import (
    Batch,
    Endpoint,
    Item,
    Route,
)

# Maximum wait for a free slot before the endpoints are checked again. Slots that other
# instances free are not signalled to this one.
SLOT_RETRY_S = 0.05
# Interval of trial requests while no endpoint is known to have recent weights. Loading
# weights takes about 1 s, and each request sent too early costs a connection.
PROBE_INTERVAL_S = 0.4


class ItemPlacement:
    """Reserve slots for the items of one batch, under the route in force.

    `on_route_gone` is called when the batch no longer has a route. `deadline` is the
    time after which no item is sent, in monotonic seconds.
    """

    def __init__(
        self, kernel, batch: Batch, route: Route, on_route_gone: Callable[[], None]
    ):
        self.batch = batch
        self.route = route
        self._clock = kernel.clock
        self.deadline = self._clock.now() + route.queue_limit_s
        self._discovery = kernel.plugin("discovery")
        self._permits = kernel.plugin("rate_permits")
        self._on_route_gone = on_route_gone
        self._next_probe_at = 0.0
        self._rng = random.Random(batch.id)
        self._slot_freed = anyio.Event()
        self.prompts = PromptPlacement(kernel, batch)

    async def reserve(
        self, run: ItemRun, exclude: frozenset[str], since: float
    ) -> Endpoint | None:
        """Reserve a slot at the endpoint that suits the item's prompt, if one is free.

        A text that is given up for a slot at another software version is discarded;
        `since` is the time of its last event, or of the start of its wait. `exclude`
        applies to the first choice only. Returns None if no slot was found within the
        route's queue limit.
        """
        while (now := self._clock.now()) <= self.deadline:
            endpoint = self._choose(run, exclude, now - since)
            exclude = frozenset()
            if endpoint is not None:
                self._permits.take(endpoint, Priority.ROLLOUT)
                self._discovery.balancer.request_started(endpoint)
                self.prompts.record_sent(run.item, endpoint)
                return endpoint
            with anyio.move_on_after(SLOT_RETRY_S):
                await self._slot_freed.wait()
        return None

    def release(self, endpoint: Endpoint) -> None:
        """Free a reserved slot."""
        self._discovery.balancer.request_ended(endpoint)
        event, self._slot_freed = self._slot_freed, anyio.Event()
        event.set()

    def recent_endpoints(self) -> list[Endpoint]:
        """Return the endpoints whose weights are recent enough for the batch."""
        return [end for end in self._usable_endpoints() if self.has_recent_weights(end)]

    def apply_current_route(self) -> None:
        """Apply the current route; without one, no more items are sent."""
        found = route_table.match_batch(self._discovery.serving, self.batch)
        if found is not None:
            self.route = found
            return
        log.event("batch.route_gone", self.batch.id, route=self.route.name)
        self.deadline = 0.0
        self._on_route_gone()

    def settle_software(self, run: ItemRun) -> None:
        """Label stored text of unknown software, or discard it.

        The text can go on only if all known endpoints share one version.
        """
        if run.text_complete or run.software is not None or not run.events():
            return
        known = self._discovery.view.known.values()
        services = route_table.services(self.route)
        run.software = software_versions.only_version(
            end for end in known if end.service in services
        )
        if run.software is None:
            self.discard_text(run, "unknown_version")

    def discard_text(self, run: ItemRun, reason: str, waited_s: float = 0.0) -> None:
        """Let an item begin anew, since its text cannot go on."""
        software = run.software
        log.event(
            "item.text_discarded",
            run.item.id,
            batch=self.batch.id,
            service=software.service if software else None,
            software=software.version if software else None,
            events=run.events(),
            waited_s=round(waited_s, 3),
            reason=reason,
        )
        metrics.DISCARDED_TEXTS.labels(reason).inc()
        run.discard_text()

    def discard_attempt(self, run: ItemRun, endpoint: Endpoint) -> None:
        """Remove what an attempt added, since its software version is in doubt."""
        log.event(
            "item.text_discarded",
            run.item.id,
            batch=self.batch.id,
            service=endpoint.service,
            software=endpoint.software,
            events=run.attempt_events(),
            waited_s=0.0,
            reason="endpoint_restarted",
        )
        metrics.DISCARDED_TEXTS.labels("endpoint_restarted").inc()
        run.discard_attempt()

    def software_changed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is now registered with other software."""
        known = self._discovery.view.known.get(endpoint.id)
        return known is not None and software_of(known) != software_of(endpoint)

    def serving_endpoints(self, software: SoftwareVersion) -> list[Endpoint]:
        """Return the endpoints of a software version that the route allows."""
        if software.service not in route_table.services(self.route):
            return []
        usable = self._discovery.usable(software.service)
        return [end for end in usable if software_of(end) == software]

    def _choose(
        self, run: ItemRun, exclude: frozenset[str], waited_s: float
    ) -> Endpoint | None:
        self.apply_current_route()
        if run.software is None:
            return self._choose_from(self._candidates(), run.item, exclude)
        balancer = self._discovery.balancer
        now = self._clock.now()
        serving = self.serving_endpoints(run.software)
        same = self._choose_from(self._with_trials(serving), run.item, exclude)
        stuck = run.attempts_without_event >= software_versions.RESUME_ATTEMPTS_MAX
        if same is not None and not stuck and not balancer.is_avoided(same, now):
            return same
        latency_s = balancer.best_latency(serving, now)
        if not software_versions.begins_anew(
            run.events(), latency_s, waited_s, bool(serving)
        ):
            return same
        others = [end for end in self._candidates() if software_of(end) != run.software]
        other = self._choose_from(others, run.item, exclude)
        if other is None or (same is not None and balancer.is_avoided(other, now)):
            return same
        reason = "version_busy" if serving else "version_gone"
        self.discard_text(run, reason, waited_s)
        return other

    def _choose_from(
        self, endpoints: list[Endpoint], item: Item, exclude: frozenset[str]
    ) -> Endpoint | None:
        usable = self._permits.open_endpoints(endpoints, Priority.ROLLOUT)
        return self.prompts.choose(item, usable, exclude)

    def _candidates(self) -> list[Endpoint]:
        """Return the endpoints that an item without text may be sent to."""
        return self._with_trials(self._usable_endpoints())

    def _with_trials(self, usable: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that have recent weights, or may have them by now.

        Registrations show new weights up to 2 s late. If none is recent enough, one
        item per PROBE_INTERVAL_S is sent anyway: the response states the version that
        the endpoint really has.
        """
        recent = [end for end in usable if self.has_recent_weights(end)]
        now = self._clock.now()
        if recent or not usable or now < self._next_probe_at:
            return recent
        self._next_probe_at = now + PROBE_INTERVAL_S
        return usable

    def _usable_endpoints(self) -> list[Endpoint]:
        service = route_table.pick_service(self.route, self._rng)
        return self._discovery.usable(service)

    def has_recent_weights(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's weights are recent enough for the batch."""
        version = endpoint.versions.get(self.batch.model, 0)
        reported = self._discovery.reported_version(endpoint, self.batch.model)
        return max(version, reported) >= self.batch.min_version
