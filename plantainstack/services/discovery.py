"""Plug-in that tracks the configuration, the endpoints and the announced versions."""

import random
from typing import NamedTuple

import anyio

from plantainstack import log, metrics
from plantainstack.plugins import Plugin
from plantainstack.policy import tenant_admission
from plantainstack.policy.endpoint_view import EndpointView
from plantainstack.policy.load_balancing import LoadBalancer
from plantainstack.policy.prefix_cache import PrefixCaches
from plantainstack.policy.rate_limits import RateLimits
from plantainstack.services.feeds import ChangeNotifier, FeedReader
from plantainstack.services.shared_calls import SharedCalls
from plantainstack.serving import (
    ClientLimits,
    Endpoint,
    EndpointChanges,
    OperatorChanges,
    ServingConfig,
)
from plantainstack.tasks import contained

# Each endpoint writes its registration every 1.2 s. The pause combines the changes of
# all endpoints into a few responses per second.
ENDPOINT_PAUSE_S = 0.3
# Pause of an instance that runs no batch and orders no weights, as a share of the time
# after which an endpoint that leaves may get no more requests, and at most in seconds.
IDLE_PAUSE_SHARE = 0.25
IDLE_PAUSE_MAX_S = 1.0
# The same beside reclaimable endpoints, which are gone 2 s after they say so. At 340
# instances, this makes for fewer than 700 reads a second.
RECLAIMABLE_PAUSE_S = 0.5
# An instance that ran a batch expects the next one within this time.
ACTIVE_FOR_S = 5.0
OPERATOR_PAUSE_S = 0.05
# Timeout for reading one registration; a working store answers within 0.3 s.
REGISTRATION_READ_TIMEOUT_S = 0.5
# An instance that cannot reach the store for this long reports that it is not ready, so
# that new clients go to other instances. If no instance can reach it, the platform uses
# them all anyway. The time tolerates a single failed call.
STORE_OUTAGE_MAX_S = 0.4
# Under strict revocation, the configuration is confirmed by plain reads, since a feed
# may answer without a change that the store has. 340 instances make up to 425 of the
# 6,000 reads a second that the store handles.
CONFIG_READ_MIN_S = 0.8
CONFIG_READ_MAX_S = 1.0
# A working store answers within 0.3 s. The timeout leaves time for four attempts before
# keys are refused, at a revocation time of 5 s.
CONFIG_READ_TIMEOUT_S = 0.8


class AnnouncedVersion(NamedTuple):
    """Hold the newest version of a model and the time this process first saw it."""

    version: int
    seen_at: float


class Discovery(Plugin):
    """Keep the configuration, the endpoints and the model versions up to date."""

    name = "discovery"
    requires = ("store",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self.serving: ServingConfig | None = None
        self.versions: dict[str, AnnouncedVersion] = {}
        # Time at which the newest batch of each service was first seen.
        self.last_step_at: dict[str, float] = {}
        self.view = EndpointView()
        self.balancer = LoadBalancer(kernel.settings.instance.data_centre)
        self.prefix_caches = PrefixCaches(
            kernel.settings.placement.cache_tokens,
            kernel.settings.placement.prefill_rate * 1000.0,
        )
        self.rate_limits = RateLimits()
        self.changed = ChangeNotifier()
        self._operator_feed: FeedReader | None = None
        self._endpoint_feed: FeedReader | None = None
        self._active_until = 0.0
        self._endpoints_read = False
        # Whether the newest row of the configuration that was read is in force here.
        self._config_current = False
        # Time at which the last plain read began that found the configuration in force.
        self._config_read_at: float | None = None
        self._reported_versions: dict[tuple, int] = {}

    async def start(self, tasks) -> None:
        """Start to read the feeds of the operator and of the endpoints."""
        store = self.kernel.plugin("store")
        store.endpoint_client.notify_leaving(self.record_leaving)
        registry = store.registry
        self._operator_feed = FeedReader(
            "operator",
            self.kernel.clock,
            registry.operator_changes,
            self._apply_operator_changes,
            lambda: OPERATOR_PAUSE_S,
        )
        self._endpoint_feed = FeedReader(
            "endpoints",
            self.kernel.clock,
            registry.endpoint_changes,
            self._apply_endpoint_changes,
            self._endpoint_pause_s,
            self._handle_feed_regained,
        )
        self._registrations = SharedCalls(
            tasks, registry.endpoint, REGISTRATION_READ_TIMEOUT_S
        )
        tasks.start_loop(self._operator_feed.run)
        tasks.start_loop(self._endpoint_feed.run)
        tasks.start_loop(self._expire)
        tasks.start_loop(self._confirm_config)

    def need_recent_endpoints(self) -> None:
        """Follow the endpoints closely for the next ACTIVE_FOR_S seconds."""
        now = self.kernel.clock.now()
        if now >= self._active_until:
            self._endpoint_feed.read_now()
        self._active_until = now + ACTIVE_FOR_S

    def _endpoint_pause_s(self) -> float:
        if self.kernel.clock.now() < self._active_until:
            return ENDPOINT_PAUSE_S
        notice_s = self.kernel.settings.bounds.endpoint_notice
        idle_s = min(IDLE_PAUSE_MAX_S, IDLE_PAUSE_SHARE * notice_s)
        if self.view.has_reclaimable():
            idle_s = min(idle_s, RECLAIMABLE_PAUSE_S)
        return max(ENDPOINT_PAUSE_S, idle_s)

    def unready_reason(self) -> str | None:
        """Return why the instance cannot serve requests, or None if it can."""
        if self.serving is None:
            return "no configuration has been read yet"
        if not self._endpoints_read:
            return "the endpoints have not been read yet"
        if self.store_is_lost():
            return "the store does not answer"
        if self.serving.tenants is not None and tenant_admission.revocation_unknown(
            self.config_age_s(), self.kernel.settings.tenants
        ):
            return "the configuration is not confirmed"
        return None

    def store_is_lost(self) -> bool:
        """Return whether the store has not answered for longer than a failed call."""
        if self._operator_feed is None:
            return True
        return (
            self._operator_feed.lost_for(self.kernel.clock.now()) > STORE_OUTAGE_MAX_S
        )

    def config_confirmed_at(self) -> float | None:
        """Return when the last read of the operator's rows began that was applied.

        A change that the store acknowledged before this time is in force here.
        """
        if self.kernel.settings.tenants.strict_revocation:
            return self._config_read_at
        return self._operator_feed.current_as_of if self._operator_feed else None

    def config_age_s(self) -> float | None:
        """Return the age in seconds of `config_confirmed_at`, None without one."""
        confirmed_at = self.config_confirmed_at()
        return None if confirmed_at is None else self.kernel.clock.now() - confirmed_at

    async def _confirm_config(self) -> None:
        """Read the configuration periodically under strict revocation."""
        clock = self.kernel.clock
        while True:
            started = clock.now()
            if self.kernel.settings.tenants.strict_revocation:
                with contained("Discovery._confirm_config"):
                    await self.refresh_config()
            wait_s = random.uniform(CONFIG_READ_MIN_S, CONFIG_READ_MAX_S)
            await clock.sleep_until(started + wait_s)

    async def refresh_config(self) -> bool:
        """Return whether the configuration is as stored after this call began.

        It is read by a call of its own: the feed may be silent or behind.
        """
        started = self.kernel.clock.now()
        registry = self.kernel.plugin("store").registry
        outcome = None
        with anyio.move_on_after(CONFIG_READ_TIMEOUT_S):
            outcome = await registry.operator_changes(None, 0.0)
        if outcome is None or outcome.is_err():
            reason = outcome.unwrap_err().message if outcome else "no answer in time"
            log.event("config.not_confirmed", reason=reason)
            return False
        found = outcome.unwrap()
        if self._apply_operator_changes(found, True) and found.config is not None:
            self._config_read_at = started
            return True
        log.event("config.not_confirmed", reason="it is not the one in force")
        return False

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that can be given new requests."""
        return self.view.usable(service)

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint chosen earlier can still be given new requests."""
        return self.view.is_usable(endpoint)

    async def present_registration(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint's registration as of after this call began.

        None stands for no registration, and for a store that does not answer.
        """
        if self.store_is_lost():
            return None
        outcome = await self._registrations.call(endpoint_id)
        if outcome is None or outcome.is_err():
            reason = outcome.unwrap_err().message if outcome else "no answer in time"
            log.event("endpoint.not_confirmed", endpoint=endpoint_id, reason=reason)
            return None
        return outcome.unwrap()

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Record that an answer of an endpoint says that it leaves."""
        if self.view.record_leaving(endpoint, self.kernel.clock.now()):
            self._log_leaving(endpoint, "answer")
            if endpoint.reclaimable and self.view.leaves_at(endpoint) is None:
                # The registration states when it goes; others go with it.
                self._endpoint_feed.read_now()
            self.changed.notify()

    def _log_leaving(self, endpoint: Endpoint, source: str) -> None:
        metrics.ENDPOINTS_LEAVING.labels(endpoint.service, source).inc()
        read_at = self._endpoint_feed.answered_at
        age_s = None if read_at is None else self.kernel.clock.now() - read_at
        log.event(
            "endpoint.leaving",
            endpoint=endpoint.id,
            service=endpoint.service,
            source=source,
            registration_age_s=None if age_s is None else round(age_s, 3),
        )

    def limits(self) -> ClientLimits:
        """Return the limits on client requests, or defaults without a configuration."""
        return self.serving.limits if self.serving else ClientLimits()

    def record_version(self, endpoint: Endpoint, model: str, version: int) -> None:
        """Record the weight version that an endpoint stated in a response."""
        self._reported_versions[endpoint.incarnation(), model] = version
        self.prefix_caches.record_versions(endpoint, {model: version})

    def reported_version(self, endpoint: Endpoint, model: str) -> int:
        """Return the last version that an endpoint stated in a response, or 0."""
        return self._reported_versions.get((endpoint.incarnation(), model), 0)

    def record_step(self, route_name: str) -> None:
        """Record the arrival of a new batch for the services of its route."""
        routes = self.serving.routes if self.serving else ()
        for route in routes:
            if route.name == route_name:
                now = self.kernel.clock.now()
                self.last_step_at.update(
                    (weighted.service, now) for weighted in route.weighted_services
                )

    def record_remote_latencies(self, latencies: dict[str, float]) -> None:
        """Record endpoints' seconds per event as measured by another instance."""
        now = self.kernel.clock.now()
        for id, seconds in latencies.items():
            endpoint = self.view.known.get(id)
            if endpoint is None:
                continue
            if not self.balancer.record_remote_latency(endpoint, seconds, now):
                log.event("endpoint.latency_refused", endpoint=id, seconds=seconds)

    def _apply_operator_changes(
        self, found: OperatorChanges, is_snapshot: bool
    ) -> bool:
        """Apply changes; return whether the stored configuration is in force."""
        before = (self.serving, dict(self.versions))
        self._apply_config(found)
        for model, version in found.versions.items():
            known = self.versions.get(model)
            if known is None or version > known.version:
                now = self.kernel.clock.now()
                self.versions[model] = AnnouncedVersion(version, now)
                log.event("version.named", model=model, version=version)
        if (self.serving, self.versions) != before:
            self.changed.notify()
        return self._config_current

    def _apply_config(self, found: OperatorChanges) -> None:
        cfg = found.config
        if cfg is None:
            # Answers without a change do not confirm a row that was not readable.
            self._config_current &= not found.config_unreadable
            return
        self._config_current = False
        if self.serving is None or cfg.version > self.serving.version:
            self.serving = cfg
            metrics.CONFIG_VERSION.set(cfg.version)
            log.event("config.in_force", version=cfg.version, routes=len(cfg.routes))
        # A row with the same or a lower version may lack keys that are in force here.
        self._config_current = cfg == self.serving and not found.config_unreadable

    def _apply_endpoint_changes(
        self, found: EndpointChanges, is_snapshot: bool
    ) -> None:
        before = dict(self.view.known)
        now = self.kernel.clock.now()
        self._endpoints_read = True
        if is_snapshot:
            self.view.replace(found.changed, now)
        else:
            self.view.update(found.changed, now)
        self._publish_changes(before)

    def _handle_feed_regained(self, store_was_away: bool) -> None:
        if store_was_away:
            self.view.store_recovered(self.kernel.clock.now())

    async def _expire(self) -> None:
        while True:
            await self.kernel.clock.sleep_until(self.kernel.clock.now() + 0.5)
            before = dict(self.view.known)
            self.view.expire(self.kernel.clock.now())
            self._publish_changes(before)

    def _publish_changes(self, before: dict[str, Endpoint]) -> None:
        known = self.view.known
        if known == before:
            return
        gone = []
        for id, endpoint in before.items():
            after = known.get(id)
            if after is None or after.incarnation() != endpoint.incarnation():
                gone.append(endpoint)
                log.event("endpoint.gone", endpoint=id, service=endpoint.service)
            elif after.leaving and not endpoint.leaving:
                self._log_leaving(after, "registration")
        for id, endpoint in known.items():
            old = before.get(id)
            if endpoint != old:
                self.prefix_caches.record_versions(endpoint, endpoint.versions)
            if old is None or old.incarnation() != endpoint.incarnation():
                log.event(
                    "endpoint.known",
                    endpoint=id,
                    service=endpoint.service,
                    address=str(endpoint.address),
                )
        if gone:
            self.kernel.plugin("store").endpoint_client.drop_connections(gone)
            self.balancer.forget(gone)
            self.prefix_caches.forget(gone)
            self.rate_limits.forget(gone)
            metrics.LIMITED_ENDPOINTS.set(self.rate_limits.count())
            ended = {endpoint.incarnation() for endpoint in gone}
            self._reported_versions = {
                key: version
                for key, version in self._reported_versions.items()
                if key[0] not in ended
            }
        self.changed.notify()
