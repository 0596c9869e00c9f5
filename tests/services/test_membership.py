"""Tests of membership on a fleet of kernels."""

import pytest

from plantainstack.policy.membership import MemberState
from tests.fleet import running_fleet

pytestmark = pytest.mark.anyio

SIZE = 10


def states(node):
    members = node.membership.view().members
    return {member.id: member.state for member in members.values()}


async def test_all_instances_learn_of_all_others():
    async with running_fleet(SIZE, seed=1, loss=0.05) as fleet:
        expected = {node.id: MemberState.ALIVE for node in fleet.nodes}
        assert all(states(node) == expected for node in fleet.nodes)


async def test_a_killed_instance_is_suspected_then_removed():
    """Guards against an instance that is declared dead without a suspicion."""
    async with running_fleet(SIZE, seed=2) as fleet:
        observer, victim = fleet.nodes[0], fleet.nodes[5]
        seen = set()
        victim.stop()
        for _ in range(40):
            await fleet.advance(0.5)
            seen.add(states(observer).get(victim.id))
        assert seen == {MemberState.ALIVE, MemberState.SUSPECT, None}
        assert all(victim.id not in states(node) for node in fleet.nodes)
