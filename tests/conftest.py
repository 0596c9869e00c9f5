"""Shared fixtures, and the deselection of known failures.

Tests listed in KNOWN-RED.txt fail because of a known fault. A run deselects exactly
these tests and prints their ids; `make known-red` runs only them.
"""

from collections import Counter
from pathlib import Path

import pytest

from plantainstack import metrics

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY = "test: "


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="run known failures only")
    parser.addoption(
        "--stutter-seeds",
        type=int,
        default=2,
        help="seeds of the tests with servers that stutter",
    )


def pytest_generate_tests(metafunc):
    if "stutter_seed" in metafunc.fixturenames:
        count = metafunc.config.getoption("--stutter-seeds")
        metafunc.parametrize("stutter_seed", range(1, count + 1))


def pytest_collection_modifyitems(config, items):
    listed = known_red()
    run_listed = config.getoption("--known-red")
    selected = [item for item in items if (item.nodeid in listed) == run_listed]
    deselected = [item for item in items if item not in selected]
    config.hook.pytest_deselected(items=deselected)
    items[:] = selected


def pytest_terminal_summary(terminalreporter, config):
    if config.getoption("--known-red"):
        return
    for test in known_red():
        terminalreporter.write_line(f"known failure, not run: {test}")


def known_red() -> list[str]:
    """Return the ids of the tests that fail because of a known fault."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix(ENTRY) for line in lines if line.startswith(ENTRY)]


@pytest.fixture(autouse=True)
def no_task_fails(request):
    """Fail a test during which a task raised an exception that nobody expected."""
    before = task_failures()
    yield
    if request.node.get_closest_marker("task_failures") is None:
        after = task_failures()
        assert after == before, f"tasks failed: {after - before}"


def task_failures() -> Counter:
    """Return the number of unexpected exceptions so far, by task."""
    (metric,) = metrics.TASK_FAILURES.collect()
    return Counter(
        {
            sample.labels["task"]: int(sample.value)
            for sample in metric.samples
            if sample.name.endswith("_total")
        }
    )


@pytest.fixture
def anyio_backend():
    return "asyncio"
