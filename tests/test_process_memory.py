"""Tests of the memory that a process gives back."""

import subprocess
import sys

SCRIPT = """
import sys
from pathlib import Path
from plantainstack.process_memory import return_large_blocks

def used():
    text = Path("/proc/self/status").read_text()
    return int(text.partition("RssAnon:")[2].split()[0]) * 1024

if not return_large_blocks():
    sys.exit("mallopt is missing")
before = used()
first = b"x" * 24_000_000
del first
second = b"x" * 16_000_000
kept = [b"x" * 100_000 for _ in range(4)]
del second
print(used() - before)
"""


def test_freed_buffers_do_not_stay_in_the_process():
    """Guards against a process that is killed for memory which it has freed."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
    )
    assert int(done.stdout) <= 2_000_000
