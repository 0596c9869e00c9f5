"""Select the route and the service of a request."""

import random

from plantainstack.serving import Batch, RequestKind, Route, ServingConfig


def match(cfg: ServingConfig, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix of the path, or None.

    The host may include a port and is compared without regard to case.
    """
    return _longest(_matching(cfg, host, path))


def match_batch(cfg: ServingConfig, batch: Batch) -> Route | None:
    """Return the route of an accepted batch, or None if it no longer has one.

    Only routes for batches count: one of another kind with a longer prefix is for new
    requests, and does not end the route that accepted the batch.
    """
    found = _matching(cfg, batch.host, batch.path)
    return _longest([route for route in found if route.kind is RequestKind.BATCH])


def pick_service(route: Route, rng: random.Random) -> str:
    """Return a random service of the route, in proportion to the weights."""
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    weights = [share.weight for share in route.weighted_services]
    return rng.choices(route.weighted_services, weights)[0].service


def services(route: Route) -> set[str]:
    """Return the services that `pick_service` may return."""
    shares = route.weighted_services
    return {share.service for share in shares if share.weight > 0 or len(shares) == 1}


def _matching(cfg: ServingConfig, host: str, path: str) -> list[Route]:
    hostname = host.rpartition(":")[0] if ":" in host else host
    return [
        route
        for route in cfg.routes
        if route.host == hostname.lower() and path.startswith(route.prefix)
    ]


def _longest(routes: list[Route]) -> Route | None:
    return max(routes, key=lambda route: len(route.prefix), default=None)
