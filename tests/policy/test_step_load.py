"""Plays of trainer steps on shared endpoints, with loads of weights between them.

Four trainers name a version and submit a step each 4 s; 23 endpoints of 8 slots hold
all four models. What counts is what a step's items get when they arrive: a place, a
refusal of an endpoint that loads, or a wait.
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
# The mean length of an item is 18 events of 0.05 s, the longest ones take 6.6 s.
SHORT_TICKS, LONG_TICKS, LONG_ITEMS = 6, 66, 6


class Got(NamedTuple):
    """Count what the items of all steps got."""

    refused: int
    waited: int


class StepLoad:
    """Play the steps with a plan of loads."""

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

    def run(self, seconds: float) -> Got:
        """Return what the items got in a time."""
        for tick in range(round(seconds / TICK_S)):
            self._end(tick)
            for number, model in enumerate(MODELS):
                # The trainers are not in step with each other.
                if tick % STEP_TICKS == number * 7:
                    self._version[model] += 1
                    self._named_at[model] = tick
                    self._submit(model)
            self._load(tick)
            self._place(tick)
        return Got(self.refused, self.waited)

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
        left = []
        for model, allowed, length in self._queue:
            recent = [e for e in self._ends.values() if e.versions[model] >= allowed]
            placed = self._balancer.choose(recent, now, load_max=1.0)
            if placed is None:
                self.waited += 1
                left.append((model, allowed, length))
                continue
            end = placed.endpoint
            loading = self._loading.get(end.id)
            if loading is not None and loading[1].model == model:
                self.refused += 1
                self._balancer.record_refusal(end, now)
                left.append((model, allowed, length))
                continue
            self._balancer.request_started(end)
            self._running.append((tick + length, end))
        self._queue = left


def one_share_at_once(endpoints, wanted):
    """Plan as the baseline does: a share of the endpoints loads every version."""
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


def test_steps_are_seldom_refused_where_shares_load_in_turn():
    """Guards against items that go from one loading endpoint to the next."""
    turns = StepLoad(plan_loads).run(60.0)
    baseline = StepLoad(one_share_at_once).run(60.0)
    items = 60 / 4 * len(MODELS) * ITEMS
    assert turns.refused < 0.02 * items
    assert turns.refused * 5 < baseline.refused


def test_steps_wait_less_where_shares_load_in_turn():
    """Guards against steps that share a quarter of the endpoints."""
    turns = StepLoad(plan_loads).run(60.0)
    baseline = StepLoad(one_share_at_once).run(60.0)
    assert turns.waited * 2 < baseline.waited
