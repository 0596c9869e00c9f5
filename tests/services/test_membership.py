"""Tests of membership on a fleet of kernels."""

import pytest

from plantainstack.policy.membership import MemberState
from tests.fleet import running_fleet

pytestmark = pytest.mark.anyio

SIZE = 10


def states(node):
    members = node.membership.view().members
    return {member.id: member.state for member in members.values()}


async def test_all_instances_find_all_others():
    async with running_fleet(SIZE, seed=1, loss=0.05) as fleet:
        expected = {node.id: MemberState.ALIVE for node in fleet.nodes}
        assert all(states(node) == expected for node in fleet.nodes)


async def test_a_stopping_instance_is_leaving_until_it_is_gone():
    """Guards against a stopping instance that is still ranked as an owner of steps."""
    async with running_fleet(SIZE, seed=3) as fleet:
        leaver, others = fleet.nodes[2], [n for n in fleet.nodes if n.id != "entry-2"]
        leaver.kernel.request_stop()
        await fleet.advance(2.0)
        assert leaver not in fleet.nodes
        seen = set()
        for _ in range(40):
            seen |= {states(node).get(leaver.id) for node in others}
            await fleet.advance(0.5)
        assert seen == {MemberState.LEAVING, None}


async def test_a_killed_instance_is_suspected_then_removed():
    """Guards against an instance that is removed without being suspected first."""
    async with running_fleet(SIZE, seed=2) as fleet:
        observer, victim = fleet.nodes[0], fleet.nodes[5]
        seen = set()
        victim.stop()
        for _ in range(40):
            await fleet.advance(0.5)
            seen.add(states(observer).get(victim.id))
        assert seen == {MemberState.ALIVE, MemberState.SUSPECT, None}
        assert all(victim.id not in states(node) for node in fleet.nodes)
