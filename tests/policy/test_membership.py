"""Tests of the membership policy without I/O.

Each check runs with the real policy, and with a naive one for which it must fail.
"""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from plantainstack.policy.membership import (
    ENTRIES_MAX,
    ROUND_ITEMS,
    URGENT_ITEMS_MAX,
    Membership,
    choose_peers,
)
from tests.policy.policy_fleet import Conditions, PolicyFleet

CALM_S = 90
DATA_CENTRES = ("vest-a", "vest-b", "ost-a", "ost-b")
FLEET_IDS = [f"{name}-{number}" for name in DATA_CENTRES for number in range(85)]


class UnorderedUpdates(Membership):
    """Apply the last update received; replaces the order by heartbeats."""

    @staticmethod
    def _is_newer(update, known):
        return update != known


class NoSuspicion(Membership):
    """Declare an instance dead at once; replaces the suspicion period."""

    def _advance_suspicion(self, record, now):
        if record.suspect_at is not None and record.dead_at is None:
            record.dead_at = now
            self.changes += 1


class UnorderedEntries(Membership):
    """Apply the last entry received; replaces the order of incarnations."""

    @staticmethod
    def _is_later(identity, known):
        return identity != known


class FixedEpoch(Membership):
    """Keep the initial epoch; replaces raising it above an old incarnation."""

    def _apply_own_entry(self, identity, now):
        pass


class NoProbes(Membership):
    """Never try instances that are considered dead; replaces the probes."""

    def _choose_probe(self, now):
        return None


class NeighboursOnly(NoProbes):
    """Link only to peers of the same data centre; replaces rings and probes."""

    def _ring_members(self):
        own = self._own.identity.id
        home = own.rpartition("-")[0]
        return {
            peer_id for peer_id in super()._ring_members() if peer_id.startswith(home)
        }


def reachable(links, start):
    found, frontier = {start}, [start]
    while frontier:
        for peer_id in links[frontier.pop()] - found:
            found.add(peer_id)
            frontier.append(peer_id)
    return found


@pytest.mark.parametrize("size", [1, 2, 3, 5, 64, 340])
def test_links_form_a_connected_graph_of_constant_degree(size):
    """Guards against a disconnected fleet and a peer that all others monitor."""
    ids = [f"entry-{number}" for number in range(size)]
    links = {node_id: set(choose_peers(node_id, ids, 4)) for node_id in ids}
    assert reachable(links, ids[0]) == set(ids)
    assert {len(chosen) for chosen in links.values()} == {min(4, size - 1)}
    incoming = [sum(node_id in links[other] for other in ids) for node_id in ids]
    assert max(incoming) <= 8


def test_losing_one_instance_moves_few_links():
    """Guards against a change of the fleet that replaces all links."""
    ids = [f"entry-{number}" for number in range(340)]
    before = {node_id: set(choose_peers(node_id, ids, 4)) for node_id in ids}
    after = {node_id: set(choose_peers(node_id, ids[1:], 4)) for node_id in ids[1:]}
    moved = [node_id for node_id in ids[1:] if before[node_id] != after[node_id]]
    assert len(moved) <= 12


def instances(size):
    return [f"{DATA_CENTRES[number % 4]}-{number}" for number in range(size)]


def check_partition_heals(policy, size=12, cut_s=650):
    """Return whether both sides rejoin after a partition longer than tombstones."""
    ids = instances(size)
    fleet = PolicyFleet(ids, 3, Conditions(loss=0.02), policy=policy)
    fleet.run(30)
    groups = ([i for i in ids if i[0] == side] for side in "vo")
    fleet.conditions.partition(*groups)
    fleet.run(cut_s)
    assert {len(node.view()) for node in fleet.nodes.values()} == {size // 2}
    fleet.conditions.cut = set()
    fleet.run(30)
    return fleet.agreed()


def check_one_way_loss_removes_nobody(policy):
    """Return whether an instance stays a member if one monitor receives nothing."""
    ids = instances(12)
    fleet = PolicyFleet(ids, 4, Conditions(), policy=policy)
    fleet.run(20)
    victim = ids[0]
    monitor = next(i for i in ids if victim in fleet.nodes[i].targets)
    fleet.conditions.cut = {(victim, monitor)}
    always = True
    for _ in range(120):
        fleet.run(0.5)
        always &= all(victim in node.view() for node in fleet.nodes.values())
    return always


def check_old_updates_change_nothing(policy):
    """Return whether the version of an instance never decreases in any view."""
    ids = instances(10)
    slow = Conditions(duplicates=0.2, delay=(0.01, 3.0))
    fleet = PolicyFleet(ids, 5, slow, policy=policy)
    fleet.run(30)
    seen, reverted = dict.fromkeys(ids, 0), False
    for step in range(120):
        fleet.nodes[ids[0]].config_version = min(step // 4, 20)
        fleet.run(0.25)
        for node_id in ids:
            version = fleet.nodes[node_id].view()[ids[0]].config_version
            reverted |= version < seen[node_id]
            seen[node_id] = max(seen[node_id], version)
    assert set(seen.values()) == {20}
    return not reverted


def check_restart_with_an_earlier_clock_joins(policy):
    """Return whether a restart at the same address replaces the old incarnation."""
    ids = instances(8)
    fleet = PolicyFleet(ids, 6, Conditions(loss=0.05), policy=policy)
    fleet.run(20)
    fleet.start(ids[2], epoch=int(fleet.now) - 500)
    fleet.run(40)
    return fleet.agreed()


def check_an_old_incarnation_does_not_return(policy):
    """Return whether no view goes back from a new incarnation to the old one."""
    ids = instances(10)
    slow = Conditions(duplicates=0.2, delay=(0.01, 3.0))
    fleet = PolicyFleet(ids, 8, slow, policy=policy)
    fleet.run(30)
    old = fleet.nodes[ids[0]].view()[ids[0]].incarnation
    fleet.start(ids[0])
    seen, returned = set(), False
    for _ in range(120):
        fleet.run(0.25)
        views = {i: fleet.nodes[i].view().get(ids[0]) for i in ids}
        returned |= any(views[i] and views[i].incarnation == old for i in seen)
        seen |= {i for i in ids if views[i] and views[i].incarnation != old}
    assert seen == set(ids)
    return not returned


def check_updates_cross_data_centres(policy):
    """Return whether the instances of four data centres all discover each other."""
    fleet = PolicyFleet(instances(16), 7, Conditions(), policy=policy)
    fleet.run(30)
    return fleet.agreed()


PROOFS = [
    (check_partition_heals, NoProbes),
    (check_one_way_loss_removes_nobody, NoSuspicion),
    (check_old_updates_change_nothing, UnorderedUpdates),
    (check_restart_with_an_earlier_clock_joins, FixedEpoch),
    (check_an_old_incarnation_does_not_return, UnorderedEntries),
    (check_updates_cross_data_centres, NeighboursOnly),
]


@pytest.mark.parametrize(("check", "naive"), PROOFS)
def test_proofs_hold_with_the_guard_and_fail_without(check, naive):
    """Guards against checks that a naive policy would also pass."""
    assert check(Membership)
    assert not check(naive)


BYTES_PER_S_MAX = 3000
DAY_S = 86_400
CHANGES_PER_DAY = 4_000


def test_traffic_of_an_instance_does_not_grow_with_the_fleet():
    """Guards against control traffic beyond its bound at the target size."""
    rates = {}
    for ids in (FLEET_IDS[:: len(FLEET_IDS) // 34], FLEET_IDS):
        # Counters, and with them messages, grow with the age of a fleet.
        fleet = PolicyFleet(ids, 9, Conditions(loss=0.02), age=5 * DAY_S)
        for node in fleet.nodes.values():
            node.config_version = 5 * CHANGES_PER_DAY
        fleet.run(25)
        fleet.take_bytes()
        fleet.run(4)
        rates[len(ids)] = max(fleet.take_bytes()) / 4
    assert max(rates.values()) < BYTES_PER_S_MAX
    assert rates[340] < 1.2 * rates[34]
    victim = FLEET_IDS[100]
    fleet.stop(victim)
    fleet.run(20)
    views = [node.view() for node in fleet.nodes.values()]
    assert not any(victim in view for view in views)
    assert min(map(len, views)) > 0.99 * len(views)


ITEM_BYTES = 24
ENTRY_BYTES = 110
MESSAGE_BYTES_MAX = (
    60
    + ITEM_BYTES * (1 + URGENT_ITEMS_MAX + ROUND_ITEMS + ENTRIES_MAX)
    + ENTRY_BYTES * ENTRIES_MAX
)

actions = st.one_of(
    st.tuples(st.just("run"), st.integers(1, 15)),
    st.tuples(st.just("freeze"), st.integers(0, 5)),
    st.tuples(st.just("thaw"), st.integers(0, 5)),
    st.tuples(st.just("stop"), st.integers(0, 5)),
    st.tuples(st.just("restart"), st.integers(0, 5), st.integers(-300, 5)),
    st.tuples(st.just("cut"), st.integers(0, 5), st.integers(0, 5)),
)


def perform(fleet, ids, action, number, *rest):
    node_id = ids[number % len(ids)]
    if action == "run":
        fleet.run(number)
    elif action == "cut":
        fleet.conditions.cut.add((node_id, ids[rest[0]]))
    elif action == "restart":
        fleet.start(node_id, epoch=int(fleet.now) + rest[0])
    elif node_id not in fleet.nodes:
        return
    elif action == "stop" and len(fleet.nodes) > 1:
        fleet.stop(node_id)
    elif action == "freeze":
        fleet.nodes[node_id].frozen = True
    elif action == "thaw":
        fleet.thaw(node_id)


@settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    seed=st.integers(0, 2**16),
    loss=st.floats(0, 0.3),
    duplicates=st.floats(0, 0.3),
    longest_delay=st.floats(0.02, 2.0),
    steps=st.lists(actions, max_size=12),
)
def test_views_agree_once_the_network_is_calm(
    seed, loss, duplicates, longest_delay, steps
):
    """Guards against views that do not converge, and against unbounded messages.

    The network loses, reorders and duplicates messages, instances restart at the same
    address or freeze, and some paths work in one direction only.
    """
    ids = instances(6)
    conditions = Conditions(loss, duplicates, (0.001, longest_delay))
    fleet = PolicyFleet(ids, seed, conditions)
    fleet.run(5)
    for step in steps:
        perform(fleet, ids, *step)
    for node_id in list(fleet.nodes):
        fleet.thaw(node_id)
    fleet.conditions = Conditions()
    fleet.run(CALM_S)
    assert fleet.agreed()
    assert max(node.largest for node in fleet.nodes.values()) <= MESSAGE_BYTES_MAX
