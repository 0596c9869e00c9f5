"""Tests that the table of proofs matches the tests."""

import subprocess
import sys


def test_the_committed_table_names_only_tests_that_exist():
    """Guards against a table that claims proofs nobody runs."""
    result = subprocess.run(
        [sys.executable, "-m", "tools.proofs", "--check"],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stderr + result.stdout[-2000:]
