"""Tests of the placement of items with regard to cached prompts."""

import pytest

from plantainstack.policy.load_balancing import LoadBalancer
from plantainstack.policy.prefix_cache import PrefixCaches
from plantainstack.policy.prefix_placement import AFFINITIES, ItemRequest
from plantainstack.serving import EndpointLoadReport, Prompt
from tests.policy import prefix_fleet
from tests.policy.serving_samples import endpoint, item

ENDS = [endpoint(id, slots=8) for id in "abcd"]
A = ENDS[0]
PROMPT = Prompt("m0", (("sys", 200), ("p", 2000), ("i1", 50)))
NONE = frozenset()


class Setting:
    """Hold an affinity for which endpoint `a` has the prompt cached."""

    def __init__(self, way="weighed"):
        self.balancer = LoadBalancer("dc-a")
        self.caches = PrefixCaches(64_000.0, 500_000.0)
        self.affinity = AFFINITIES[way](self.balancer, self.caches, 500_000.0)
        self.caches.record_sent(A, PROMPT, 0.0)
        self.caches.record_prefilled(A, PROMPT, 0.05)

    def choose(self, ends=ENDS, prompt=PROMPT, is_long=False, exclude=NONE):
        request = ItemRequest(item(), is_long, prompt)
        return self.affinity.choose(request, ends, exclude, 0.1)

    def load(self, end, requests):
        self.balancer.record_load_report(end, EndpointLoadReport(requests, 0, 8), 0.1)


def test_item_goes_where_its_prompt_is_cached():
    """Guards against tokens that are prefilled again although slots are free."""
    for way in ("weighed", "most"):
        assert Setting(way).choose() is A


@pytest.mark.parametrize("way", AFFINITIES)
def test_full_endpoint_is_not_waited_for(way):
    """Guards against an item that queues for a cached prompt beside free slots."""
    setting = Setting(way)
    setting.load(A, 8)
    assert setting.choose() is not A


def test_almost_full_endpoint_gives_way_to_an_idle_one():
    """Guards against a saving of some ms that is paid for by a wait."""
    setting = Setting()
    setting.load(A, 7)
    assert setting.choose() is not A
    most = Setting("most")
    most.load(A, 7)
    assert most.choose() is A


def test_slow_endpoint_gives_way_to_others():
    """Guards against an endpoint that draws items by its cache while it is slow."""
    setting = Setting()
    for end in ENDS:
        setting.balancer.record_latency(end, 0.15 if end is A else 0.05, 0.1)
    assert setting.choose() is not A


def test_long_item_goes_to_the_fastest_endpoint_cached_or_not():
    """Guards against a step that ends later to save some ms of prefill."""
    setting = Setting()
    for end in ENDS:
        setting.balancer.record_latency(end, 0.045 if end.id == "c" else 0.05, 0.1)
    assert setting.choose(is_long=True).id == "c"
    assert setting.choose() is A


@pytest.mark.parametrize("way", AFFINITIES)
def test_endpoint_that_may_not_be_used_is_never_chosen(way):
    """Guards against a cache that outranks leaving, versions, limits and failures.

    Endpoints that leave, hold old weights or have no permit are not among the usable.
    """
    setting = Setting(way)
    assert setting.choose(ends=ENDS[1:]) is not A
    assert setting.choose(exclude=frozenset("a")) is not A
    setting.balancer.record_refusal(A, 0.1)
    assert setting.choose() is not A


def test_state_that_is_gone_costs_only_the_prefill():
    """Guards against items that are lost or wait where a cache is not as expected."""
    setting = Setting()
    setting.caches.record_versions(A, {"m0": 2})
    for _ in range(32):
        setting.balancer.request_started(setting.choose())
    assert setting.choose() is None


@pytest.mark.parametrize("others", [0, 3])
def test_popular_prompt_does_not_crowd_one_endpoint(others):
    """Guards against an endpoint that fills up because it had a prompt once."""
    setting = Setting()
    for end in ENDS:
        setting.load(end, others)
    counts = dict.fromkeys("abcd", others)
    for _ in range(12):
        end = setting.choose()
        setting.balancer.request_started(end)
        counts[end.id] += 1
    assert max(counts.values()) <= 7


def test_instances_place_an_unknown_prompt_alike():
    """Guards against prompts that each instance sends to another endpoint."""
    prompts = [Prompt("m0", ((f"q{n}", 900), ("own", 9))) for n in range(20)]
    first, second = Setting(), Setting()
    chosen = [first.choose(prompt=each).id for each in prompts]
    assert chosen == [second.choose(prompt=each).id for each in prompts]
    assert len(set(chosen)) == 4


@pytest.mark.parametrize("way", AFFINITIES)
def test_item_without_a_prompt_is_placed_below_the_load_limit(way):
    """Guards against an item that fails because its prompt is not described."""
    setting = Setting(way)
    for _ in range(32):
        setting.balancer.request_started(setting.choose(prompt=None))
    assert setting.choose(prompt=None) is None


def test_weighed_placement_prefills_half_as_much_again_at_a_low_load():
    """Guards against an affinity that saves too little for its effort."""
    found = prefix_fleet.compare(4.0, seeds=4)
    weighed = found.pop("weighed")
    assert all(2 * weighed.again < figures.again for figures in found.values())


@pytest.mark.parametrize("gap_s", [4.0, 0.7])
def test_weighed_placement_delays_no_more_than_the_first_items_of_groups(gap_s):
    """Guards against items that wait for a cached prompt beside free slots."""
    found = prefix_fleet.compare(gap_s, seeds=24, ways=("group", "weighed"))
    group, weighed = found["group"], found["weighed"]
    assert weighed.again < 0.7 * group.again
    assert weighed.first_s < group.first_s + 0.03
    assert weighed.first_worst_s < 1.1 * group.first_worst_s
    assert weighed.step_s < 1.05 * group.step_s


def test_bound_group_asks_for_the_load_of_its_endpoint_only(monkeypatch):
    """Guards against a default placement that is slow with 1,100 endpoints."""
    setting = Setting("group")
    chosen = setting.choose(prompt=None)
    asked = []
    load = setting.balancer.load

    def counted(end, now):
        asked.append(end.id)
        return load(end, now)

    monkeypatch.setattr(setting.balancer, "load", counted)
    assert setting.choose(prompt=None) is chosen
    assert set(asked) == {chosen.id}
