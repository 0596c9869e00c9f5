"""Plan which endpoints load a named version next.

Answers the change of weights after each trainer step, while the next step's items
already arrive: endpoints load a few at a time, so that the others serve.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from plantainstack.serving import Endpoint

# Loads slow each other down when more than 2 of 5, 9 of 23 or 10 of 24 endpoints
# load at once (the users' sheets).
LOADING_SHARE = 0.4


class Load(NamedTuple):
    """Name a version that an endpoint is to load."""

    endpoint: Endpoint
    model: str
    version: int


def due_loads(endpoints: Sequence[Endpoint], wanted: dict[str, int]) -> list[Load]:
    """Return the loads that are missing, the endpoints furthest behind first."""
    loads = [
        Load(endpoint, model, wanted[model])
        for endpoint in endpoints
        if not endpoint.leaving
        for model, version in endpoint.versions.items()
        if version < wanted.get(model, 0)
    ]
    loads.sort(key=lambda load: _behind(load), reverse=True)
    return loads


def startable(
    loads: Sequence[Load], loading: Collection[str], endpoints: int
) -> list[Load]:
    """Return the loads to start now, at most one for each endpoint."""
    free = max(1, round(LOADING_SHARE * endpoints)) - len(loading)
    chosen: list[Load] = []
    taken = set(loading)
    for load in loads:
        if len(chosen) >= free:
            break
        if load.endpoint.id not in taken:
            taken.add(load.endpoint.id)
            chosen.append(load)
    return chosen


def _behind(load: Load) -> int:
    return load.version - load.endpoint.versions[load.model]
