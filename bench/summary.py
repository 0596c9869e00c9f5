"""Parallel execution of runs, and their summary over the seeds."""

from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import NamedTuple

from bench.goals import evaluate
from bench.report import MEASURES
from bench.scenarios import SCENARIOS
from bench.users import USERS
from bench.variants import VARIANTS
from bench.world import Simulation

PROCESSES = 4


class Run(NamedTuple):
    """Parameters that identify a run."""

    user: str
    scenario: str
    policy: str
    seed: int


class Summary(NamedTuple):
    """Means over the seeds, their ratios to the naive baseline, and goals.

    Each goal has the value of its worst seed.
    """

    user: str
    scenario: str
    policy: str
    means: dict[str, float]
    ratios: dict[str, float]
    goals: list


def measure(run: Run) -> dict[str, float]:
    """Execute one run and return its measures."""
    user, scenario = USERS[run.user], SCENARIOS[run.scenario]
    return Simulation(user, scenario, run.seed, VARIANTS[run.policy]).run()


def measure_all(runs: list[Run]) -> dict[Run, dict[str, float]]:
    """Execute the runs in PROCESSES worker processes."""
    with ProcessPoolExecutor(PROCESSES, get_context("spawn")) as pool:
        return dict(zip(runs, pool.map(measure, runs), strict=True))


def summarize(results: dict[Run, dict[str, float]]) -> list[Summary]:
    """Return one summary for each user, scenario and policy."""
    keys = dict.fromkeys(run[:3] for run in results)
    return [_summary(key, results) for key in keys]


def _summary(key: tuple[str, str, str], results) -> Summary:
    user, scenario = key[:2]
    ours = _by_seed(results, *key)
    naive = _by_seed(results, user, scenario, "naive")
    means, base = _means(ours.values()), _means(naive.values())
    ratios = {
        name: means[name] / base[name] for name in MEASURES if base and base[name]
    }
    return Summary(*key, means, ratios, _goals(user, scenario, ours, naive))


def _goals(user: str, scenario: str, ours: dict, naive: dict) -> list:
    """Return each goal as evaluated for the seed with the least slack."""
    goals_by_seed = [
        evaluate(user, scenario, found, naive.get(seed)) for seed, found in ours.items()
    ]
    return [
        min(goals, key=lambda goal: goal.slack)
        for goals in zip(*goals_by_seed, strict=True)
    ]


def _by_seed(results, user: str, scenario: str, policy: str) -> dict:
    return {
        run.seed: found
        for run, found in results.items()
        if run[:3] == (user, scenario, policy)
    }


def _means(found: Iterable[dict[str, float]]) -> dict[str, float]:
    found = list(found)
    if not found:
        return {}
    return {name: sum(item[name] for item in found) / len(found) for name in MEASURES}
