"""Tests of the simulation and the command line of the benchmark."""

import subprocess
import sys
from pathlib import Path

from click.testing import CliRunner

from bench.__main__ import main
from bench.scenarios import SCENARIOS
from bench.users import VANNPOST
from bench.variants import FULL, NAIVE
from bench.world import Simulation

ROOT = Path(__file__).resolve().parents[2]
SHORT = SCENARIOS["crash"]._replace(
    duration=60.0, trainers=(0.25,), faults=((20.0, "crash", 1, 10.0),)
)


PROGRAM = """
from tests.bench.test_world import FULL, SHORT, VANNPOST, Simulation
print(Simulation(VANNPOST, SHORT, 3, FULL).run())
"""


def test_same_seed_gives_the_same_measures_in_every_process():
    """Guards against results that depend on the hash seed of the process."""
    outputs = {
        subprocess.run(
            [sys.executable, "-c", PROGRAM],
            cwd=ROOT,
            env={"PYTHONHASHSEED": str(number), "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for number in (1, 2)
    }
    assert len(outputs) == 1


def test_both_policies_get_the_same_load():
    """Guards against comparing policies on different workloads."""
    simulations = [Simulation(VANNPOST, SHORT, 3, variant) for variant in (FULL, NAIVE)]
    for simulation in simulations:
        simulation.run()
    sizes = [
        sum(n for (kind, _), n in simulation.report.ends.items() if kind == "booking")
        for simulation in simulations
    ]
    assert abs(sizes[0] - sizes[1]) <= 0.05 * sizes[0]


def test_unknown_scenario_is_refused():
    answer = CliRunner().invoke(main, ["--scenario", "earthquake"])
    assert answer.exit_code == 2
