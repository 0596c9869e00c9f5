"""Test that the table of proofs matches the tests."""

import subprocess
import sys


def test_committed_proof_table_lists_only_existing_tests():
    """Guards against a table that lists proofs which no test runs."""
    result = subprocess.run(
        [sys.executable, "-m", "tools.proofs", "--check"],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stderr + result.stdout[-2000:]
