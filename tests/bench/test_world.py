"""Tests of the benchmark."""

from click.testing import CliRunner

from bench.__main__ import main
from bench.scenarios import SCENARIOS
from bench.users import VANNPOST
from bench.variants import FULL, NAIVE
from bench.world import World

SHORT = SCENARIOS["crash"]._replace(
    duration=60.0, trainers=(0.25,), faults=((20.0, "crash", 1, 10.0),)
)


def test_same_seed_gives_the_same_measures():
    """Guards against figures that cannot be repeated."""
    runs = [World(VANNPOST, SHORT, 3, FULL).run() for _ in range(2)]
    assert runs[0] == runs[1]


def test_both_policies_get_the_same_load():
    """Guards against a comparison of different workloads."""
    worlds = [World(VANNPOST, SHORT, 3, variant) for variant in (FULL, NAIVE)]
    for world in worlds:
        world.run()
    sizes = [
        sum(n for (kind, _), n in world.report.ends.items() if kind == "booking")
        for world in worlds
    ]
    assert abs(sizes[0] - sizes[1]) <= 0.05 * sizes[0]


def test_unknown_scenario_is_refused():
    answer = CliRunner().invoke(main, ["--scenario", "earthquake"])
    assert answer.exit_code == 2
