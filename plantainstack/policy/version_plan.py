"""Plan which endpoints load a named version, and when.

Answers a change of weights after each trainer step, while the next step's items
arrive. An endpoint that loads weights refuses new items for about a second, so the
endpoints that may serve the next step must not load while it arrives. A step accepts
the version before the newest one: each version is loaded by one share of the
endpoints that are kept for a model, and the other share serves meanwhile. Where
several models share the endpoints, each is kept on two shares of them only. Where a
model has them all, half load at once, for a step that follows soon, and the others
once the step that follows the version has its places.
"""

from collections.abc import Collection, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from plantainstack.serving import Endpoint

# Loads slow each other down when more than 2 of 5, 9 of 23 or 10 of 24 endpoints
# load at once (the users' sheets).
LOADING_SHARE = 0.4
# One endpoint that crashes must not leave a model without any.
KEEPERS_MIN = 2
# One share has the newest version, the other one the version before it.
SHARES = 2
# Most items of a step have a place within this time after its arrival.
PLACED_S = 1.0
# A step follows its version within a step's period of 4 s as a rule; without one,
# nothing is to be spared.
STEP_WAIT_S = 5.0
# A step that arrives with its version may be seen before it.
STEP_LEAD_S = 0.3


class WeightLoad(NamedTuple):
    """Name a version that an endpoint is to load."""

    endpoint: Endpoint
    model: str
    version: int


class TargetVersion(NamedTuple):
    """Hold the newest version of a model, and the seconds since it was named.

    `step_for_s` are those since the newest step of the service arrived.
    """

    version: int
    version_age_s: float = float("inf")
    step_age_s: float = float("inf")

    def step_dispatched(self) -> bool:
        """Return whether the step that follows the version has its places."""
        if self.version_age_s >= STEP_WAIT_S:
            return True
        return PLACED_S <= self.step_age_s <= self.version_age_s + STEP_LEAD_S


class ReplicaSet(NamedTuple):
    """Hold the endpoints of a model and how many of them load each version."""

    endpoints: list[Endpoint]
    share: int


def assign_replicas(
    endpoints: Sequence[Endpoint], wanted: Mapping[str, TargetVersion]
) -> dict[str, ReplicaSet]:
    """Return the endpoints that serve each model, in equal numbers.

    Those that serve it already stay, so that the choice is stable.
    """
    models = sorted({model for end in endpoints for model in end.versions})
    assigned: dict[str, int] = {}
    chosen: dict[str, ReplicaSet] = {}
    for model in models:
        hosts = [end for end in endpoints if model in end.versions]
        share = max(KEEPERS_MIN, ceil(len(hosts) / len(models)))
        newest = wanted[model].version if model in wanted else 0

        def rank(end, model=model, newest=newest):
            serving = end.versions[model] >= newest - SHARES
            return (not serving, assigned.get(end.id, 0), end.id)

        kept = sorted(hosts, key=rank)[: SHARES * share]
        for end in kept:
            assigned[end.id] = assigned.get(end.id, 0) + 1
        chosen[model] = ReplicaSet(kept, share)
    return chosen


def plan_loads(
    endpoints: Sequence[Endpoint], wanted: Mapping[str, TargetVersion]
) -> list[WeightLoad]:
    """Return the loads that are missing, those that steps wait for first.

    A model with few endpoints that the newest step may use comes first.
    """
    staying = [end for end in endpoints if not end.leaving]
    kept = assign_replicas(staying, wanted)
    urgent: list[WeightLoad] = []
    ahead: list[WeightLoad] = []
    for model, (hosts, share) in kept.items():
        if model not in wanted:
            continue
        newest = wanted[model].version
        stale = [end for end in hosts if end.versions[model] < newest - 1]
        urgent += [WeightLoad(end, model, newest) for end in stale]
        fresh = [end for end in hosts if end.versions[model] >= newest]
        at_once = len(kept) > 1 or wanted[model].step_dispatched()
        target = share if at_once else share // SHARES
        missing = max(0, target - len(fresh) - len(stale))
        older = [end for end in hosts if end.versions[model] == newest - 1]
        ahead += [WeightLoad(end, model, newest) for end in older[:missing]]
    usable = {
        model: sum(end.versions.get(model, 0) >= each.version - 1 for end in staying)
        for model, each in wanted.items()
    }
    urgent.sort(key=lambda load: (usable[load.model], -_behind(load)))
    return urgent + ahead


def select_startable(
    loads: Sequence[WeightLoad], loading: Collection[str], endpoints: int
) -> list[WeightLoad]:
    """Return the loads to start now, at most one for each endpoint."""
    free = max(1, round(LOADING_SHARE * endpoints)) - len(loading)
    chosen: list[WeightLoad] = []
    taken = set(loading)
    for load in loads:
        if len(chosen) >= free:
            break
        if load.endpoint.id not in taken:
            taken.add(load.endpoint.id)
            chosen.append(load)
    return chosen


def _behind(load: WeightLoad) -> int:
    return load.version - load.endpoint.versions[load.model]
