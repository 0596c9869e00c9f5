"""Tests of the fuzzer for property tests."""

import hypothesis
import pytest
from click.testing import CliRunner

from tools import fuzz
from tools.fuzz import FACTOR_VARIABLE, PROPERTY_TESTS, ROOT, RunResult

FAILING = "tests/tools/failing_property.py::test_is_small"


def test_listed_tests_exist():
    """Guards against a renamed property test that the fuzzer no longer runs."""
    for name in PROPERTY_TESTS:
        path, function = name.split("::")
        assert f"def {function}(" in (ROOT / path).read_text()


def test_settings_have_more_examples_and_use_the_seed(monkeypatch):
    """Guards against runs that repeat the examples of the test suite."""
    monkeypatch.setenv(FACTOR_VARIABLE, "5")
    found = fuzz.scaled_settings(hypothesis.settings(max_examples=10, derandomize=True))
    assert (found.max_examples, found.derandomize) == (50, False)


def test_failure_is_reported_with_its_shrunk_example():
    """Guards against failing tests that are counted as passed."""
    result = fuzz.run(FAILING, seed=1, factor=1, limit_s=60.0)
    assert result.status == pytest.ExitCode.TESTS_FAILED
    assert "number=1000" in result.output


@pytest.mark.parametrize(("status", "expected"), [(0, 0), (1, 1), (None, 0)])
def test_exit_status_and_output_show_failures(monkeypatch, status, expected):
    """Guards against a fuzzer that exits with 0 after a failed test."""
    monkeypatch.setattr(fuzz, "run", lambda *args: RunResult(status, "the trace"))
    result = CliRunner().invoke(fuzz.main, ["--seconds", "0.2", "--seed", "1"])
    assert result.exit_code == expected
    assert ("the trace" in result.output) == bool(status)
