"""Proofs that an accepted configuration comes into force everywhere and stays.

Each check returns the number of violations. It runs with the real implementation,
which must show none, and with a naive one, which must show some.
"""

import pytest

from plantainstack.errors import ErrorKind, Failure
from plantainstack.kernel import Kernel, PauseDetector
from plantainstack.policy.configuration import ConfigPoller, change_key
from plantainstack.services.configuration import Configuration
from plantainstack.settings.fleet import FleetContent
from tests.fleet import running_fleet

pytestmark = pytest.mark.anyio

SIZE = 10
BOUND_S = 7.0
STEP_S = 0.1


def content(number):
    return FleetContent(defaults={"max_attempts": str(number)}, exceptions=[])


def start_change(fleet, node, change_id, base, number=None, author="nora"):
    """Start a change in the background; return the list that receives its result."""
    results = []

    async def collect():
        change = (change_id, base, content(number or base + 1), author)
        results.append(await node.config.change(*change))

    fleet.tasks.start_soon(collect)
    return results


async def make_change(fleet, node, base):
    """Make a change, and wait until it is in force on all instances."""
    results = start_change(fleet, node, f"change-{base}", base)
    await fleet.advance(BOUND_S)
    assert results[0].unwrap() == base + 1
    assert set(fleet.versions()) == {base + 1}


async def until(fleet, condition, limit_s=30.0):
    for _ in range(round(limit_s / STEP_S)):
        if condition():
            return
        await fleet.advance(STEP_S)
    raise TimeoutError("the condition was not met in time")


async def observe(fleet, seconds, violation):
    """Return in how many steps of the time the condition held."""
    count = 0
    for _ in range(round(seconds / STEP_S)):
        count += bool(violation())
        await fleet.advance(STEP_S)
    return count


# Naive versions


class PollOnce(ConfigPoller):
    def schedule_poll(self, now, interval):
        self.poll_at = float("inf")


class NoForwarding(Configuration):
    """Announce only changes made on this instance, and read the table once."""

    def __init__(self, kernel):
        super().__init__(kernel)
        self._poller = PollOnce("", kernel.clock.now())

    def _push(self, version, except_for):
        if except_for is None:
            super()._push(version, except_for)


class NoPush(Configuration):
    def _push(self, version, except_for):
        pass

    async def _poll_peers(self):
        return False


class AnyVersion(ConfigPoller):
    def accepts(self, version, in_force):
        return version != in_force


class LastArrivalWins(Configuration):
    def __init__(self, kernel):
        super().__init__(kernel)
        self._poller = AnyVersion(kernel.settings.instance.id, kernel.clock.now())


class UncheckedKernel(Kernel):
    def apply_config(self, cfg):
        self.config = cfg
        return True


class NoCompareAndSet(Configuration):
    def _mutation(self, change, head):
        return super()._mutation(change, head)._replace(checks=())


class LostMeansRefused(Configuration):
    async def _commit_once(self, mutation):
        outcome = await super()._commit_once(mutation)
        failure = Failure.of(ErrorKind.TABLE_UNAVAILABLE, "no answer")
        return outcome.map_err(lambda _: failure)


class ReadyAtOnce(Configuration):
    def unready_reason(self):
        return None


class NoPauses(PauseDetector):
    def check(self):
        return False


class PauseBlindKernel(Kernel):
    def __init__(self, *args):
        super().__init__(*args)
        self.pause = NoPauses(self.clock)


class NeverIsolated(Configuration):
    def unready_reason(self):
        self._poller.record_contact(self.kernel.clock.now())
        return super().unready_reason()


# Checks


async def check_in_force_in_time(seed, **plugins):
    """Guards against an old version kept in force by delays and packet loss."""
    async with running_fleet(SIZE, seed, loss=0.2, **plugins) as fleet:
        results = start_change(fleet, fleet.nodes[seed % SIZE], "c", 0)
        await until(fleet, lambda: results)
        assert results[0].unwrap() == 1
        await fleet.advance(BOUND_S)
        return fleet.versions().count(0)


async def check_never_reverts(seed, **plugins):
    """Guards against a slow table answer that replaces a newer announced version."""
    async with running_fleet(4, seed, **plugins) as fleet:
        for node in fleet.nodes[1:]:
            node.table_lag = 0.8
        violations, highest = 0, {node.id: 0 for node in fleet.nodes}
        for base in range(12):
            results = start_change(fleet, fleet.nodes[0], f"change-{base}", base)
            for _ in range(10):
                await fleet.advance(STEP_S)
                for node in fleet.nodes:
                    violations += node.version() < highest[node.id]
                    highest[node.id] = max(highest[node.id], node.version())
            assert results[0].unwrap() == base + 1
        return violations


async def check_racing_operators(seed, **plugins):
    """Guards against concurrent changes that are both accepted, so that one is lost."""
    async with running_fleet(SIZE, seed, **plugins) as fleet:
        first = start_change(fleet, fleet.nodes[1], "c1", 0, 4, "nora")
        second = start_change(fleet, fleet.nodes[6], "c2", 0, 5, "omar")
        await until(fleet, lambda: first and second)
        outcomes = {"nora": first[0], "omar": second[0]}
        winners = [name for name, outcome in outcomes.items() if outcome.is_ok()]
        if len(winners) != 1:
            return 1
        loser = next(name for name in outcomes if name not in winners)
        failure = outcomes[loser].unwrap_err()
        shown = [winners[0], "version 1", "default max_attempts set to"]
        return not (
            failure.kind is ErrorKind.CONFLICT
            and all(text in failure.message for text in shown)
        )


async def check_lost_response(seed, **plugins):
    """Guards against a wrong outcome reported to an operator.

    The answer to a commit is lost, and another change follows before the retry.
    """
    async with running_fleet(4, seed, **plugins) as fleet:
        fleet.table.lose_answers = 1
        first = start_change(fleet, fleet.nodes[0], "c1", 0)
        await until(fleet, lambda: fleet.table.commits == 1)
        second = start_change(fleet, fleet.nodes[1], "c2", 1)
        await until(fleet, lambda: first and second)
        assert second[0].unwrap() == 2
        assert change_key("c1") in fleet.table.rows
        return first[0].unwrap_or(None) != 1


async def check_push_without_table(seed, **plugins):
    """Guards against a change that is not distributed because the table fails."""
    async with running_fleet(SIZE, seed, loss=0.1, **plugins) as fleet:
        fleet.table.fail_after_commit = True
        results = start_change(fleet, fleet.nodes[0], "c1", 0)
        await until(fleet, lambda: results)
        assert results[0].unwrap() == 1
        await fleet.advance(BOUND_S)
        return fleet.versions().count(0)


async def check_start_during_outage(seed, **plugins):
    """Guards against a new instance that is ready with an old configuration."""
    async with running_fleet(SIZE, seed, **plugins) as fleet:
        await make_change(fleet, fleet.nodes[0], 0)
        fleet.table.down = True
        node = fleet.start(SIZE)
        violations = await observe(
            fleet, 20.0, lambda: node.ready() and node.version() < 1
        )
        return violations + (not node.ready())


async def check_frozen_instance(seed, table_down=False, **plugins):
    """Guards against a thawed instance that is ready with an old version."""
    async with running_fleet(SIZE, seed, **plugins) as fleet:
        node = fleet.nodes[4]
        await fleet.advance(seed * STEP_S)
        node.clock.freeze()
        results = start_change(fleet, fleet.nodes[0], "c1", 0)
        await fleet.advance(5.0)
        assert results[0].unwrap() == 1
        fleet.table.down = table_down
        node.clock.thaw()
        stale = await observe(fleet, 15.0, lambda: node.ready() and not node.version())
        return stale + (not node.ready())


async def check_isolated_instance(seed, **plugins):
    """Guards against an isolated instance that reports ready and gets work."""
    async with running_fleet(SIZE, seed, **plugins) as fleet:
        node, others = fleet.nodes[3], [n for n in fleet.nodes if n.id != "entry-3"]
        node.cut_from_table = True
        fleet.network.partition({node.id}, {other.id for other in others})
        await fleet.advance(BOUND_S + STEP_S)
        violations = await observe(fleet, 10.0, node.ready)
        assert all(other.ready() for other in others)
        node.cut_from_table = False
        fleet.network.blocked_links = set()
        await fleet.advance(10.0)
        return violations + (not node.ready())


NO_RETURN = {"configuration": LastArrivalWins, "kernel": UncheckedKernel}

FAILURES = {
    check_in_force_in_time: "packet-loss",
    check_never_reverts: "store-down",
    check_racing_operators: "race",
    check_lost_response: "answer-lost",
    check_push_without_table: "store-down",
    check_start_during_outage: "store-down",
    check_frozen_instance: "frozen",
}

PROOFS = [
    (check_in_force_in_time, {"configuration": NoForwarding}),
    (check_never_reverts, NO_RETURN),
    (check_racing_operators, {"configuration": NoCompareAndSet}),
    (check_lost_response, {"configuration": LostMeansRefused}),
    (check_push_without_table, {"configuration": NoPush}),
    (check_start_during_outage, {"configuration": ReadyAtOnce}),
    (check_frozen_instance, {"kernel": PauseBlindKernel}),
    (check_isolated_instance, {"configuration": NeverIsolated}),
]


def proof_params():
    for check, naive in PROOFS:
        failure = FAILURES.get(check)
        marks = [pytest.mark.proof("configuration", failure)] if failure else []
        yield pytest.param(check, naive, marks=marks, id=check.__name__)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("check", "naive"), list(proof_params()))
async def test_proofs_hold_and_fail_with_the_naive_version(check, naive, seed):
    assert await check(seed) == 0
    assert await check(seed, **naive) > 0


async def test_a_frozen_instance_refreshes_from_peers_while_the_table_is_down():
    assert await check_frozen_instance(4, table_down=True) == 0
    assert await check_frozen_instance(4, table_down=True, kernel=PauseBlindKernel)
