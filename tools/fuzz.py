"""Run the property tests with new random seeds until a time limit.

Each test runs in a separate process with more examples than in the test suite.
The exit status is 1 if a test failed; its seed and shrunk example are printed.
This module is also the pytest plug-in that changes the Hypothesis settings there.
"""

import os
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import click
import hypothesis
import pytest

ROOT = Path(__file__).parent.parent
FACTOR_VARIABLE = "PLANTAINSTACK_FUZZ_FACTOR"
SEEDS = 2**32
INTERLEAVINGS = "tests/proofs/test_interleavings.py"
PROPERTY_TESTS = (
    f"{INTERLEAVINGS}::test_guarantees_hold_in_random_interleavings",
    "tests/services/test_step_proofs.py::test_two_owners_under_random_faults",
    "tests/policy/test_membership.py::test_views_agree_once_the_network_is_calm",
    "tests/policy/test_limits.py::test_limit_is_never_exceeded",
    "tests/policy/test_limits.py::test_no_request_is_lost_in_the_queue",
    "tests/policy/test_pacing.py::test_pacing_bounds_what_is_away_and_reaches_all",
    "tests/policy/test_pacing.py::test_share_of_groups_that_wait_follows_the_setting",
    "tests/policy/test_retries.py::test_instance_keeps_to_its_budget_in_every_window",
    "tests/policy/test_retries.py::test_retries_stay_within_deadline_and_attempts",
    "tests/policy/test_routing.py"
    "::test_router_chooses_only_what_the_naive_router_could_choose",
    "tests/policy/test_routing.py::test_ejected_share_is_bounded",
    "tests/policy/test_routing.py::test_incremental_subset_equals_a_fresh_one",
)


class RunResult(NamedTuple):
    """Exit status of pytest and its output; None means that the time limit passed."""

    status: int | None
    output: str


def pytest_collection_modifyitems(items) -> None:
    """Replace the Hypothesis settings of the collected property tests."""
    for item in items:
        given = getattr(item.obj, "_hypothesis_internal_use_settings", None)
        if given is not None:
            # Hypothesis refuses a second `settings` decorator on a test.
            item.obj._hypothesis_internal_use_settings = scaled_settings(parent=given)
        if item.nodeid.startswith(INTERLEAVINGS):
            item.module.settings = scaled_settings


def scaled_settings(parent: hypothesis.settings | None = None, **changes):
    """Return settings with more examples, drawn from the seed of the run."""
    given = hypothesis.settings(parent, **changes)
    factor = int(os.environ[FACTOR_VARIABLE])
    return hypothesis.settings(
        given,
        max_examples=given.max_examples * factor,
        derandomize=False,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def command(test: str, seed: int) -> list[str]:
    """Return the command line that runs one test with a seed."""
    plugins = ("-p", "tools.fuzz", "-p", "no:cacheprovider")
    return [
        *(sys.executable, "-m", "pytest"),
        *(*plugins, f"--hypothesis-seed={seed}", test),
    ]


def run(test: str, seed: int, factor: int, limit_s: float) -> RunResult:
    """Run one test in a new process for at most `limit_s` seconds."""
    environment = {
        **os.environ,
        "PYTHONPATH": str(ROOT),
        FACTOR_VARIABLE: str(factor),
    }
    try:
        process = subprocess.run(
            command(test, seed),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=limit_s,
        )
    except subprocess.TimeoutExpired:
        return RunResult(None, "")
    return RunResult(process.returncode, process.stdout)


@click.command()
@click.option("--seconds", default=300.0, help="Time limit of the whole run.")
@click.option(
    "--factor", default=5, help="Multiple of the test suite's number of examples."
)
@click.option(
    "--seed", type=int, help="Seed for the order of tests and for their seeds."
)
@click.argument("tests", nargs=-1)
def main(seconds: float, factor: int, seed: int | None, tests: tuple) -> None:
    """Run the property tests, or TESTS, until the time limit."""
    seed = random.randrange(SEEDS) if seed is None else seed
    click.echo(f"seed {seed}, {factor} times the examples, {seconds:.0f} s")
    rng = random.Random(seed)
    deadline = time.monotonic() + seconds
    passed = failed = 0
    while True:
        for test in rng.sample(tests or PROPERTY_TESTS, len(tests or PROPERTY_TESTS)):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                click.echo(f"{passed} runs passed, {failed} failed")
                sys.exit(1 if failed else 0)
            test_seed = rng.randrange(SEEDS)
            result = run(test, test_seed, factor, left_s)
            passed += result.status == pytest.ExitCode.OK
            failed += result.status not in (None, pytest.ExitCode.OK)
            click.echo(f"{_status_text(result.status)}: {test} seed {test_seed}")
            if result.status:
                arguments = " ".join(command(test, test_seed)[1:])
                click.echo(
                    f"{result.output}\n{FACTOR_VARIABLE}={factor} python {arguments}"
                )


def _status_text(status: int | None) -> str:
    if status is None:
        return "out of time"
    return "failed" if status else "passed"


if __name__ == "__main__":
    main()
