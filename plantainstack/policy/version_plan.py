"""Plan which endpoints load a named version next.

Answers the change of weights after each trainer step, while the next step's items
already arrive. Endpoints load a few at a time, so that the others serve. Where
several models share the endpoints, each is kept fresh on its share of them only:
with 3 models, 5 endpoints and a step every 4 s, loads of every version everywhere
take 9 s and the steps wait for them.
"""

from collections.abc import Collection, Sequence
from math import ceil
from typing import NamedTuple

from plantainstack.serving import Endpoint

# Loads slow each other down when more than 2 of 5, 9 of 23 or 10 of 24 endpoints
# load at once (the users' sheets).
LOADING_SHARE = 0.4
# One endpoint that crashes must not leave a model without any.
KEEPERS_MIN = 2


class Load(NamedTuple):
    """Name a version that an endpoint is to load."""

    endpoint: Endpoint
    model: str
    version: int


def keepers(endpoints: Sequence[Endpoint]) -> dict[str, list[Endpoint]]:
    """Return the endpoints that keep each model fresh, in equal shares.

    Those that have the newest weights stay, so that the choice is stable.
    """
    models = sorted({model for end in endpoints for model in end.versions})
    assigned: dict[str, int] = {}
    chosen: dict[str, list[Endpoint]] = {}
    for model in models:
        hosts = [end for end in endpoints if model in end.versions]
        share = max(KEEPERS_MIN, ceil(len(hosts) / len(models)))
        hosts.sort(
            key=lambda end: (-end.versions[model], assigned.get(end.id, 0), end.id)
        )
        chosen[model] = hosts[:share]
        for end in chosen[model]:
            assigned[end.id] = assigned.get(end.id, 0) + 1
    return chosen


def due_loads(endpoints: Sequence[Endpoint], wanted: dict[str, int]) -> list[Load]:
    """Return the loads that are missing, those that steps wait for first.

    A step accepts the version before the newest one, so a model with few endpoints
    at that version or above comes first.
    """
    staying = [end for end in endpoints if not end.leaving]
    loads = [
        Load(end, model, wanted[model])
        for model, hosts in keepers(staying).items()
        for end in hosts
        if end.versions[model] < wanted.get(model, 0)
    ]
    usable = {
        model: sum(end.versions.get(model, 0) >= wanted[model] - 1 for end in staying)
        for model in wanted
    }
    loads.sort(key=lambda load: (usable[load.model], -_behind(load)))
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
