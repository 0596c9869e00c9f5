"""Tests of the configuration plug-in on a fleet of kernels."""

import pytest

from plantainstack.errors import ErrorKind, Outcome
from plantainstack.settings.fleet import FleetContent
from tests.fleet import running_fleet

pytestmark = pytest.mark.anyio


def content(**defaults):
    return FleetContent(defaults=defaults, exceptions=[])


async def run(fleet, call, seconds=8.0):
    """Run a call of a plug-in, advance the time, and return the result."""
    results = []

    async def collect():
        results.append(await call)

    fleet.tasks.start_soon(collect)
    await fleet.advance(seconds)
    return results[0]


async def test_a_change_is_accepted_and_in_force_everywhere():
    async with running_fleet(3) as fleet:
        node = fleet.nodes[0]
        call = node.config.change("c1", 0, content(retry_ratio="0.2"), "nora")
        assert (await run(fleet, call)).unwrap() == 1
        assert fleet.versions() == [1, 1, 1]
        assert set(node.config.fleet_versions().values()) == {1}
        history = (await run(fleet, node.config.history(10))).unwrap()
        assert [(item.version, item.author) for item in history] == [(1, "nora")]
        assert history[0].differences == ["default retry_ratio set to 0.2"]
        assert node.config.in_force().version == 1


async def test_contents_agree_after_deltas_and_gaps():
    """Guards against a delta that is applied to a version other than its base."""
    async with running_fleet(6, seed=5, loss=0.2) as fleet:
        for base in range(6):
            node = fleet.nodes[base % 3]
            defaults = {"max_attempts": str(base + 1)}
            if base % 2:
                defaults["retry_ratio"] = "0.3"
            call = node.config.change(f"c{base}", base, content(**defaults), "nora")
            assert (await run(fleet, call, seconds=0.7)).is_ok()
            if base == 2:
                fleet.nodes[5].clock.freeze()
        await fleet.advance(2.0)
        fleet.nodes[5].clock.thaw()
        await fleet.advance(7.0)
        contents = [node.kernel.config.content for node in fleet.nodes]
        assert contents == [content(max_attempts="6", retry_ratio="0.3")] * 6


async def test_sending_a_change_again_returns_its_version():
    """Guards against two versions for one change that is sent twice."""
    async with running_fleet(2) as fleet:
        first, second = (node.config for node in fleet.nodes)
        change = ("c1", 0, content(retry_ratio="0.2"), "nora")
        assert (await run(fleet, first.change(*change))).unwrap() == 1
        assert (await run(fleet, second.change(*change))).unwrap() == 1
        other = ("c1", 1, content(retry_ratio="0.3"), "nora")
        outcome = await run(fleet, second.change(*other))
        assert outcome.unwrap_err().kind is ErrorKind.KEY_REUSED
        assert fleet.table.commits == 1


async def test_changes_that_cannot_be_made_are_refused_at_once():
    """Guards against a refused change that is applied later or in part."""
    async with running_fleet(2) as fleet:
        node = fleet.nodes[0]
        bad = content(retry_rate="0.2", max_attempts="many")
        failure = await run(fleet, node.config.change("c1", 0, bad, "nora"))
        message = failure.unwrap_err().message
        assert "retry_rate" in message and "max_attempts" in message
        fleet.table.down = True
        call = node.config.change("c2", 0, content(max_attempts="2"), "nora")
        failure = (await run(fleet, call, seconds=0.2)).unwrap_err()
        assert failure.kind is ErrorKind.TABLE_UNAVAILABLE
        assert failure.outcome is Outcome.NOT_RUN
        assert fleet.table.commits == 0
