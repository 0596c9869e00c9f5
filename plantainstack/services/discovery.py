"""The plug-in that knows the configuration, the endpoints and the named versions."""

from typing import NamedTuple

from plantainstack import log, metrics
from plantainstack.plugins import Plugin
from plantainstack.policy.endpoint_view import EndpointView
from plantainstack.policy.load_balancing import LoadBalancer
from plantainstack.services.feeds import ChangeNotifier, FeedReader
from plantainstack.serving import (
    ClientLimits,
    Endpoint,
    EndpointChanges,
    OperatorChanges,
    ServingConfig,
)

# Each endpoint writes every 1.2 s; joined, their changes cost a few answers a
# second and stay far below the 2 s within which a leaving endpoint is obeyed.
ENDPOINT_PAUSE_S = 0.3
OPERATOR_PAUSE_S = 0.05
# Without the store, other instances serve new clients better; where all are without
# it, the platform uses them all the same. One failed call is no outage yet.
STORE_SILENCE_MAX_S = 0.4


class NamedVersion(NamedTuple):
    """Hold a model's newest version and when this process learned of it."""

    version: int
    seen_at: float


class Discovery(Plugin):
    """Follow the operator's and the endpoints' records."""

    name = "discovery"
    requires = ("store",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self.serving: ServingConfig | None = None
        self.versions: dict[str, NamedVersion] = {}
        # When the newest batch of each service was first seen here.
        self.step_seen_at: dict[str, float] = {}
        self.view = EndpointView()
        self.balancer = LoadBalancer(kernel.settings.instance.data_centre)
        self.changed = ChangeNotifier()
        self._operator: FeedReader | None = None
        self._listed = False
        self._seen_versions: dict[tuple, int] = {}

    async def start(self, tasks) -> None:
        """Start to follow both feeds."""
        registry = self.kernel.plugin("store").registry
        self._operator = FeedReader(
            "operator",
            self.kernel.clock,
            registry.operator_changes,
            self._take_operator,
            lambda: OPERATOR_PAUSE_S,
        )
        endpoints = FeedReader(
            "endpoints",
            self.kernel.clock,
            registry.endpoint_changes,
            self._take_endpoints,
            lambda: ENDPOINT_PAUSE_S,
            self._store_recovered,
        )
        tasks.start_soon(self._operator.run)
        tasks.start_soon(endpoints.run)
        tasks.start_soon(self._expire)

    def unready_reason(self) -> str | None:
        """Return why the instance may not serve yet, or None."""
        if self.serving is None:
            return "no configuration is known"
        if not self._listed:
            return "the endpoints are not listed yet"
        if self._operator.lost_for(self.kernel.clock.now()) > STORE_SILENCE_MAX_S:
            return "the store does not answer"
        return None

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work."""
        return self.view.usable(service)

    def limits(self) -> ClientLimits:
        """Return the limits on what clients send."""
        return self.serving.limits if self.serving else ClientLimits()

    def note_version(self, endpoint: Endpoint, model: str, version: int) -> None:
        """Keep the version that an endpoint named with an answer."""
        self._seen_versions[endpoint.incarnation(), model] = version

    def seen_version(self, endpoint: Endpoint, model: str) -> int:
        """Return the version that an endpoint named last, 0 without one."""
        return self._seen_versions.get((endpoint.incarnation(), model), 0)

    def note_step(self, route_name: str) -> None:
        """Keep when a new batch came by a route."""
        routes = self.serving.routes if self.serving else ()
        for route in routes:
            if route.name == route_name:
                now = self.kernel.clock.now()
                self.step_seen_at.update(
                    (share.service, now) for share in route.weighted_services
                )

    def record_remote_latencies(self, paces: dict[str, float]) -> None:
        """Take over the paces of endpoints that another instance measured."""
        now = self.kernel.clock.now()
        for id, seconds in paces.items():
            endpoint = self.view.known.get(id)
            if endpoint is not None:
                self.balancer.record_remote_latency(endpoint, seconds, now)

    def _take_operator(self, found: OperatorChanges, whole: bool) -> None:
        cfg = found.config
        if cfg is not None and (
            self.serving is None or cfg.version > self.serving.version
        ):
            self.serving = cfg
            metrics.CONFIG_VERSION.set(cfg.version)
            log.event("config.in_force", version=cfg.version, routes=len(cfg.routes))
        for model, version in found.versions.items():
            known = self.versions.get(model)
            if known is None or version > known.version:
                now = self.kernel.clock.now()
                self.versions[model] = NamedVersion(version, now)
                log.event("version.named", model=model, version=version)
        self.changed.notify()

    def _take_endpoints(self, found: EndpointChanges, whole: bool) -> None:
        before = dict(self.view.known)
        now = self.kernel.clock.now()
        self._listed = True
        if whole:
            self.view.replace(found.changed, now)
        else:
            self.view.update(found.changed, now)
        self._note(before)

    def _store_recovered(self) -> None:
        self.view.store_recovered(self.kernel.clock.now())

    async def _expire(self) -> None:
        while True:
            await self.kernel.clock.sleep_until(self.kernel.clock.now() + 0.5)
            before = dict(self.view.known)
            self.view.expire(self.kernel.clock.now())
            self._note(before)

    def _note(self, before: dict[str, Endpoint]) -> None:
        known = self.view.known
        gone = []
        for id, endpoint in before.items():
            after = known.get(id)
            if after is None or after.incarnation() != endpoint.incarnation():
                gone.append(endpoint)
                log.event("endpoint.gone", endpoint=id, service=endpoint.service)
            elif after.leaving and not endpoint.leaving:
                log.event("endpoint.leaving", endpoint=id, service=endpoint.service)
        for id, endpoint in known.items():
            old = before.get(id)
            if old is None or old.incarnation() != endpoint.incarnation():
                log.event(
                    "endpoint.known",
                    endpoint=id,
                    service=endpoint.service,
                    address=str(endpoint.address),
                )
        if gone:
            self.kernel.plugin("store").endpoint_client.close_idle(gone)
            self.balancer.forget(gone)
            ended = {endpoint.incarnation() for endpoint in gone}
            self._seen_versions = {
                key: version
                for key, version in self._seen_versions.items()
                if key[0] not in ended
            }
        self.changed.notify()
