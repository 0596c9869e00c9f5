"""Plan which endpoints load the newest version of a model, and when.

After each trainer step the weights change while the items of the next step arrive.
An endpoint that loads weights refuses new items for about a second, so the endpoints
that serve the next step must not load while it arrives.

A step accepts the version before the newest one. Each version is therefore loaded by
one cohort of a model's replicas while the other cohort serves. Where several models
share the endpoints, each model has replicas for two cohorts only. Where a model has
all endpoints, half of them load a version at once, in case a step follows soon, and
the others load it when the items of the step that follows the version have been
dispatched.
"""

from collections.abc import Collection, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from plantainstack.serving import Endpoint

# Loads slow each other down if more than 2 of 5, 9 of 23 or 10 of 24 endpoints load at
# the same time, according to the users' data sheets.
LOADING_SHARE = 0.4
# A model must keep an endpoint when one of its replicas crashes.
REPLICAS_MIN = 2
# One cohort has the newest version, the other cohort the version before it.
COHORTS = 2
# Most items of a step are dispatched within this time after its arrival.
DISPATCH_S = 1.0
# A step usually follows its version within the step period of 4 s. If none has arrived
# after this time, loads no longer wait for one.
STEP_WAIT_S = 5.0
# A step that arrives together with its version may be observed before the version.
STEP_LEAD_S = 0.3


class WeightLoad(NamedTuple):
    """Describe a version of a model that an endpoint should load."""

    endpoint: Endpoint
    model: str
    version: int


class TargetVersion(NamedTuple):
    """Hold the newest version of a model and its age in seconds.

    `step_age_s` is the time since the newest step of the service arrived.
    """

    version: int
    version_age_s: float = float("inf")
    step_age_s: float = float("inf")

    def step_dispatched(self) -> bool:
        """Return whether the step after the version is dispatched or overdue."""
        if self.version_age_s >= STEP_WAIT_S:
            return True
        return DISPATCH_S <= self.step_age_s <= self.version_age_s + STEP_LEAD_S


class ReplicaSet(NamedTuple):
    """Hold the replicas of a model and how many of them load each version."""

    endpoints: list[Endpoint]
    cohort_size: int


def assign_replicas(
    endpoints: Sequence[Endpoint], wanted: Mapping[str, TargetVersion]
) -> dict[str, ReplicaSet]:
    """Return the endpoints that serve each model, with about equal numbers per model.

    Endpoints that serve a recent version of the model are preferred, so that the
    assignment is stable.
    """
    models = sorted({model for end in endpoints for model in end.versions})
    assigned: dict[str, int] = {}
    chosen: dict[str, ReplicaSet] = {}
    for model in models:
        hosts = [end for end in endpoints if model in end.versions]
        cohort_size = max(REPLICAS_MIN, ceil(len(hosts) / len(models)))
        newest = wanted[model].version if model in wanted else 0

        def rank(end, model=model, newest=newest):
            serving = end.versions[model] >= newest - COHORTS
            return (not serving, assigned.get(end.id, 0), end.id)

        replicas = sorted(hosts, key=rank)[: COHORTS * cohort_size]
        for end in replicas:
            assigned[end.id] = assigned.get(end.id, 0) + 1
        chosen[model] = ReplicaSet(replicas, cohort_size)
    return chosen


def plan_loads(
    endpoints: Sequence[Endpoint],
    wanted: Mapping[str, TargetVersion],
    failed: Collection[str] = frozenset(),
) -> list[WeightLoad]:
    """Return the outstanding loads, starting with those that steps wait for.

    These are loads at endpoints whose version the newest step does not accept; models
    with the fewest usable endpoints come first. Endpoints whose ids are in `failed`
    come last, since their next load may fail too.
    """
    staying = [end for end in endpoints if not end.leaving]
    replica_sets = assign_replicas(staying, wanted)
    urgent: list[WeightLoad] = []
    ahead: list[WeightLoad] = []
    for model, (hosts, cohort_size) in replica_sets.items():
        if model not in wanted:
            continue
        newest = wanted[model].version
        stale = [end for end in hosts if end.versions[model] < newest - 1]
        urgent += [WeightLoad(end, model, newest) for end in stale]
        current = [end for end in hosts if end.versions[model] >= newest]
        at_once = len(replica_sets) > 1 or wanted[model].step_dispatched()
        target = cohort_size if at_once else cohort_size // COHORTS
        missing = max(0, target - len(current) - len(stale))
        older = [end for end in hosts if end.versions[model] == newest - 1]
        older.sort(key=lambda end: end.id in failed)
        ahead += [WeightLoad(end, model, newest) for end in older[:missing]]
    usable = {
        model: sum(end.versions.get(model, 0) >= each.version - 1 for end in staying)
        for model, each in wanted.items()
    }
    urgent.sort(key=lambda load: (usable[load.model], -_behind(load)))
    return sorted(urgent + ahead, key=lambda load: load.endpoint.id in failed)


def select_startable(
    loads: Sequence[WeightLoad], loading: Collection[str], endpoints: int
) -> list[WeightLoad]:
    """Return the loads to start now, at most one for each endpoint.

    `loading` holds the ids of loading endpoints, and `endpoints` is their total number.
    """
    free = max(1, round(LOADING_SHARE * endpoints)) - len(loading)
    chosen: list[WeightLoad] = []
    busy = set(loading)
    for load in loads:
        if len(chosen) >= free:
            break
        if load.endpoint.id not in busy:
            busy.add(load.endpoint.id)
            chosen.append(load)
    return chosen


def _behind(load: WeightLoad) -> int:
    return load.version - load.endpoint.versions[load.model]
