"""Tests of routers, endpoint health and subsetting."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainstack.errors import ErrorKind
from plantainstack.interfaces import (
    EngineStatus,
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Priority,
)
from plantainstack.policy.health import EndpointHealth
from plantainstack.policy.routing import (
    AttemptEnd,
    LoadAwareRouter,
    RoundRobinRouter,
    RouteRequest,
)
from plantainstack.policy.subset import Subset
from plantainstack.settings.fleet import FleetConfig
from plantainstack.settings.options import Address

REQ = RouteRequest("llm", Priority.CALLER, "member", deadline=1e9)
STATES = st.sampled_from(list(InstanceState))


def make_record(name, data_centre="a", state=InstanceState.LIVE, service="llm"):
    address = Address("127.0.0.1", 1)
    kind = InstanceKind.ENGINE
    return InstanceRecord(name, service, kind, data_centre, address, state)


def make_router(records, kind=LoadAwareRouter):
    instance = SimpleNamespace(id="entry-1", data_centre="a")
    own = SimpleNamespace(instance=instance)
    router = kind(own, FleetConfig.builtin(), seed=1)
    router.update_endpoints(records, 0.0)
    return router


def make_status(running, queued=0, version=1, loading=None):
    return EngineStatus("llm", version, loading, running, queued, False, 0)


def attempt(router, end, now=0.0, req=REQ):
    """Run one attempt and return its endpoint."""
    name = router.choose(req, now).unwrap().id
    router.started(name, req, now)
    router.finished(name, req, end, now)
    return name


@settings(derandomize=True, max_examples=100)
@given(st.lists(STATES, max_size=6), st.sets(st.integers(0, 5)))
def test_router_chooses_only_what_the_naive_router_could_choose(states, tried):
    """Guards against attempts at leaving endpoints, and against unused capacity."""
    records = [
        make_record(f"e{number}", state=state) for number, state in enumerate(states)
    ]
    req = REQ._replace(exclude=frozenset(f"e{number}" for number in tried))
    answers = []
    for router in (make_router(records), RoundRobinRouter()):
        router.update_endpoints(records, 0.0)
        answers.append(router.choose(req, 0.0))
    ours, naive = answers
    live = {record.id for record in records if record.state is InstanceState.LIVE}
    if naive.is_ok():
        assert ours.unwrap().id in live - req.exclude
    elif live:
        # Every live endpoint was tried; a fresh connection to one may still work.
        assert ours.unwrap().id in live
    else:
        assert ours.unwrap_err().kind is naive.unwrap_err().kind


def test_unknown_service_is_an_error():
    """Guards against a missing service that is reported as temporarily full."""
    answer = make_router([]).choose(REQ, 0.0)
    assert answer.unwrap_err().kind is ErrorKind.UNKNOWN_SERVICE


def affinity_load_is_bounded(router):
    """Return whether one prompt prefix cannot overload its endpoint."""
    req = REQ._replace(affinity=7)
    held = Counter()
    for _ in range(200):
        name = router.choose(req, 0.0).unwrap().id
        router.started(name, req, 0.0)
        held[name] += 1
    mean = 200 / 5
    return max(held.values()) <= 1.25 * mean + 2


class StickyRouter(RoundRobinRouter):
    """Send an affinity to the same endpoint whatever its load."""

    def choose(self, req, now):
        self._turn = req.affinity - 1
        return super().choose(req, now)


def test_affinity_is_bounded_by_load():
    """Guards against a popular prompt prefix that overloads its engine."""
    records = [make_record(f"e{number}") for number in range(5)]
    assert affinity_load_is_bounded(make_router(records))
    sticky = StickyRouter()
    sticky.update_endpoints(records, 0.0)
    assert not affinity_load_is_bounded(sticky)


def test_group_stays_together_while_load_allows():
    """Guards against samples of a group that do not share a cached prefix."""
    router = make_router([make_record(f"e{number}") for number in range(5)])
    req = REQ._replace(affinity=2**64 + 5, priority=Priority.ROLLOUT)
    assert len({attempt(router, AttemptEnd.OK, req=req) for _ in range(20)}) == 1


def test_own_data_centre_is_preferred_until_crossing_pays_off():
    """Guards against needless traffic between data centres and local overload."""
    router = make_router([make_record("near"), make_record("far", "b")])
    assert {attempt(router, AttemptEnd.OK) for _ in range(20)} == {"near"}
    router.update_load("near", make_status(40, queued=20), 1.0)
    router.update_load("far", make_status(2), 1.0)
    assert "far" in {attempt(router, AttemptEnd.OK, 1.0) for _ in range(20)}


def test_rollouts_prefer_the_newest_version_and_avoid_loading_engines():
    """Guards against stale samples although an engine with newer weights is free."""
    router = make_router([make_record("old"), make_record("new")])
    router.update_load("old", make_status(5, version=3), 0.0)
    router.update_load("new", make_status(5, version=4), 0.0)
    req = REQ._replace(priority=Priority.ROLLOUT)
    assert {attempt(router, AttemptEnd.OK, req=req) for _ in range(20)} == {"new"}
    router.update_load("new", make_status(5, version=4, loading=5), 0.0)
    assert {attempt(router, AttemptEnd.OK, req=req) for _ in range(20)} == {"old"}


class CountingHealth(EndpointHealth):
    """Count every missing response as a failure of the endpoint."""

    def timed_out(self, in_flight):
        self._new_timeouts += 1


def missing_responses_are_judged(kind):
    """Return whether only missing responses of new attempts count as unhealthy."""
    health = kind(random.Random(1))
    for left in range(9, -1, -1):
        health.timed_out(left)
    healthy = not health.unhealthy
    for _ in range(2):
        health.timed_out(0)
    return healthy and health.unhealthy


def test_lost_connections_do_not_eject_a_healthy_endpoint():
    """Guards against ejecting an endpoint because connection state was lost."""
    assert missing_responses_are_judged(EndpointHealth)
    assert not missing_responses_are_judged(CountingHealth)


class UnboundedRouter(LoadAwareRouter):
    """Eject every endpoint that seems unhealthy."""

    def _may_eject(self, item, now):
        return True


def ejection_is_bounded(kind, size, ends):
    """Return whether at most half of the endpoints are ejected at any time."""
    router = make_router([make_record(f"e{number}") for number in range(size)], kind)
    for now, end in enumerate(ends):
        attempt(router, end, float(now))
        if router.ejected_share("llm", float(now)) > 0.5:
            return False
    return True


@settings(derandomize=True, max_examples=50)
@given(st.integers(1, 12), st.lists(st.sampled_from(list(AttemptEnd)), max_size=60))
def test_ejected_share_is_bounded(size, ends):
    """Guards against a health check that ejects the whole service."""
    assert ejection_is_bounded(LoadAwareRouter, size, ends)


def test_unbounded_ejection_removes_the_whole_service():
    """Shows that `ejection_is_bounded` detects ejection without a bound."""
    assert not ejection_is_bounded(UnboundedRouter, 2, [AttemptEnd.FAILED] * 12)


def test_ejected_endpoint_returns_after_a_trial():
    """Guards against an endpoint that stays ejected although it has recovered."""
    router = make_router([make_record("e0"), make_record("e1")])
    for _ in range(3):
        router.started("e0", REQ, 0.0)
        router.finished("e0", REQ, AttemptEnd.FAILED, 0.0)
    assert {attempt(router, AttemptEnd.OK, 1.0) for _ in range(20)} == {"e1"}
    assert "e0" in {attempt(router, AttemptEnd.OK, 10.0) for _ in range(20)}


class EveryNth(Subset):
    """Choose endpoints by position in the list of instances."""

    def covers(self, endpoint_id, local, remote):
        ids = sorted([*self._instances, self._own_id])
        position = ids.index(self._own_id)
        return sorted(self._endpoints).index(endpoint_id) % len(ids) == position


def subsets(kind, instances, endpoints):
    """Return the endpoints of each instance."""
    used = {}
    for name, data_centre in instances.items():
        subset = kind(name, data_centre)
        subset.update(instances, endpoints)
        used[name] = {item for item in endpoints if subset.covers(item, 8, 4)}
    return used


def subset_holds(kind):
    """Return whether coverage is sufficient and one departure changes little."""
    instances = {f"i{number}": f"dc{number % 8}" for number in range(80)}
    endpoints = {f"e{number}": f"dc{number % 8}" for number in range(160)}
    before = subsets(kind, instances, endpoints)
    covered = Counter(item for used in before.values() for item in used)
    instances.pop("i3")
    after = subsets(kind, instances, endpoints)
    moved = sum(len(after[name] ^ before[name]) for name in after)
    enough = min(covered[item] for item in endpoints) >= 12
    return enough and moved <= 2 * len(before["i3"])


def test_each_endpoint_is_covered_and_changes_are_small():
    """Guards against endpoints without instances, and against many new links."""
    assert subset_holds(Subset)
    assert not subset_holds(EveryNth)


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.sets(st.integers(0, 8), max_size=9), min_size=1, max_size=6))
def test_incremental_subset_equals_a_fresh_one(views):
    """Guards against incremental counts that drift as the fleet changes."""
    endpoints = {f"e{number}": f"dc{number % 3}" for number in range(9)}
    subset = Subset("i0", "dc0")
    for view in views:
        instances = {f"i{number}": f"dc{number % 3}" for number in view}
        present = {item: endpoints[item] for item in list(endpoints)[: 9 - len(view)]}
        subset.update(instances, present)
        fresh = Subset("i0", "dc0")
        fresh.update(instances, present)
        for item in endpoints:
            assert subset.covers(item, 1, 1) == fresh.covers(item, 1, 1)


@pytest.mark.parametrize("refusals", [1, 4])
def test_refusing_endpoint_is_held_back(refusals):
    """Guards against attempts at an endpoint that is leaving."""
    router = make_router([make_record("e0"), make_record("e1")])
    for _ in range(refusals):
        router.started("e0", REQ, 0.0)
        router.finished("e0", REQ, AttemptEnd.REFUSED, 0.0)
    assert {attempt(router, AttemptEnd.OK, 0.5) for _ in range(20)} == {"e1"}


def test_endpoint_whose_reports_are_missing_gets_no_work():
    """Guards against attempts over a broken network path."""
    router = make_router([make_record(f"e{number}") for number in range(3)])
    for name in ("e0", "e1", "e2"):
        router.update_load(name, make_status(1), 0.0)
    for name in ("e1", "e2"):
        router.update_load(name, make_status(1), 10.0)
    assert "e0" not in {attempt(router, AttemptEnd.OK, 10.0) for _ in range(30)}


def test_missing_reports_of_most_endpoints_are_ignored():
    """Guards against an instance that resumes and then uses a single endpoint."""
    router = make_router([make_record(f"e{number}") for number in range(3)])
    for name in ("e0", "e1", "e2"):
        router.update_load(name, make_status(1), 0.0)
    router.update_load("e0", make_status(1), 60.0)
    used = {attempt(router, AttemptEnd.OK, 60.0) for _ in range(30)}
    assert used >= {"e1", "e2"}


def test_plain_endpoint_in_an_unreachable_data_centre_gets_no_work():
    """Guards against plain requests over a broken network path."""
    app = InstanceKind.PLAIN
    records = [
        make_record("e-a"),
        make_record("e-b", "b"),
        make_record("app-a", service="app")._replace(kind=app),
        make_record("app-b", "b", service="app")._replace(kind=app),
    ]
    router = make_router(records)
    req = REQ._replace(service="app", exclude=frozenset({"app-a"}))
    for name, now in (("e-a", 0.0), ("e-b", 0.0), ("e-a", 10.0)):
        router.update_load(name, make_status(1), now)
    reserve = REQ._replace(service="app")
    assert {attempt(router, AttemptEnd.OK, 10.0, reserve) for _ in range(20)} == {
        "app-a"
    }
    assert attempt(router, AttemptEnd.OK, 10.0, req) == "app-b"
