"""Simulations of trainer steps on shared endpoints that load weights between steps.

Every 4 s, four trainers each name a version and submit a step; 23 endpoints of 8 slots
serve all four models. The tests count how often an item is refused by a loading
endpoint, and how often it waits for a free slot.
"""

from math import ceil
from typing import NamedTuple

from plantainstack.policy.load_balancing import LoadBalancer
from plantainstack.policy.version_plan import (
    TargetVersion,
    WeightLoad,
    plan_loads,
    select_startable,
)
from tests.policy.serving_samples import endpoint

MODELS = ("m0", "m1", "m2", "m3")
ENDPOINTS = 23
SLOTS = 8
ITEMS = 72
TICK_S = 0.1
LOAD_TICKS = 11
STEP_TICKS = 40
# The mean length of an item is 18 events of 0.05 s; the longest items take 6.6 s.
SHORT_TICKS, LONG_TICKS, LONG_ITEMS = 6, 66, 6


class ItemCounts(NamedTuple):
    """Count the refusals and waits of the items of all steps."""

    refused: int
    waited: int


class StepLoad:
    """Simulate the steps with a function that plans loads."""

    def __init__(self, plan):
        self._plan = plan
        self._ends = {
            f"e{number:02}": endpoint(
                f"e{number:02}", slots=SLOTS, versions=dict.fromkeys(MODELS, 1)
            )
            for number in range(ENDPOINTS)
        }
        self._balancer = LoadBalancer("dc-a")
        self._version = dict.fromkeys(MODELS, 1)
        self._named_at = dict.fromkeys(MODELS, 0)
        self._loading: dict[str, tuple[int, WeightLoad]] = {}
        self._running: list[tuple[int, object]] = []
        self._queue: list[tuple[str, int, int]] = []
        self.refused = 0
        self.waited = 0

    def run(self, seconds: float) -> ItemCounts:
        """Return the counts after a simulated time in seconds."""
        for tick in range(round(seconds / TICK_S)):
            self._end(tick)
            for number, model in enumerate(MODELS):
                # The trainers submit their steps at different times.
                if tick % STEP_TICKS == number * 7:
                    self._version[model] += 1
                    self._named_at[model] = tick
                    self._submit(model)
            self._load(tick)
            self._place(tick)
        return ItemCounts(self.refused, self.waited)

    def _end(self, tick: int) -> None:
        for id, (ends_at, load) in list(self._loading.items()):
            if tick >= ends_at:
                versions = self._ends[id].versions | {load.model: load.version}
                self._ends[id] = self._ends[id]._replace(versions=versions)
                del self._loading[id]
        for ends_at, end in list(self._running):
            if tick >= ends_at:
                self._running.remove((ends_at, end))
                self._balancer.request_ended(end)

    def _submit(self, model: str) -> None:
        allowed = self._version[model] - 1
        lengths = [LONG_TICKS] * LONG_ITEMS + [SHORT_TICKS] * (ITEMS - LONG_ITEMS)
        self._queue += [(model, allowed, length) for length in lengths]

    def _load(self, tick: int) -> None:
        wanted = {
            model: TargetVersion(
                version, *[(tick - self._named_at[model]) * TICK_S] * 2
            )
            for model, version in self._version.items()
        }
        loads = self._plan(list(self._ends.values()), wanted)
        for load in select_startable(loads, self._loading, ENDPOINTS):
            self._loading[load.endpoint.id] = (tick + LOAD_TICKS, load)

    def _place(self, tick: int) -> None:
        now = tick * TICK_S
        still_queued = []
        for model, allowed, length in self._queue:
            recent = [e for e in self._ends.values() if e.versions[model] >= allowed]
            placed = self._balancer.choose(recent, now, load_max=1.0)
            if placed is None:
                self.waited += 1
                still_queued.append((model, allowed, length))
                continue
            end = placed.endpoint
            loading = self._loading.get(end.id)
            if loading is not None and loading[1].model == model:
                self.refused += 1
                self._balancer.record_refusal(end, now)
                still_queued.append((model, allowed, length))
                continue
            self._balancer.request_started(end)
            self._running.append((tick + length, end))
        self._queue = still_queued


def fixed_shares(endpoints, wanted):
    """Plan as a baseline: a fixed share of the endpoints loads every version."""
    loads = []
    share = ceil(len(endpoints) / len(wanted))
    for number, (model, newest) in enumerate(sorted(wanted.items())):
        hosts = [endpoints[(number * share + at) % ENDPOINTS] for at in range(share)]
        loads += [
            WeightLoad(end, model, newest.version)
            for end in hosts
            if end.versions[model] < newest.version
        ]
    return loads


def test_items_are_rarely_refused_where_cohorts_load_in_turn():
    """Guards against items that are refused by one loading endpoint after another."""
    cohorts = StepLoad(plan_loads).run(60.0)
    baseline = StepLoad(fixed_shares).run(60.0)
    items = 60 / 4 * len(MODELS) * ITEMS
    assert cohorts.refused < 0.02 * items
    assert cohorts.refused * 5 < baseline.refused


def test_items_wait_less_where_cohorts_load_in_turn():
    """Guards against steps that can use only a quarter of the endpoints."""
    cohorts = StepLoad(plan_loads).run(60.0)
    baseline = StepLoad(fixed_shares).run(60.0)
    assert cohorts.waited * 2 < baseline.waited
