"""Tests of starting and stopping child processes."""

import subprocess
import sys
import time

import pytest

from tools import processes
from tools.demo_api import call
from tools.processes import Processes, free_addresses

pytestmark = pytest.mark.anyio


def wait_for_output(started: Processes, name: str, text: str) -> None:
    for _ in range(200):
        if text in started.output(name):
            return
        time.sleep(0.05)
    raise AssertionError(f"{name} printed no {text!r}")


@pytest.fixture
def started(tmp_path):
    found = Processes(tmp_path)
    yield found
    found.stop_all()


async def test_stand_in_serves_requests_until_it_is_stopped(started):
    (address,) = free_addresses(1)
    started.start("table", "standins", "table", "--listen", str(address))
    for _ in range(200):
        if (await call(address, "GET", "/_state")).ok:
            break
        time.sleep(0.05)
    else:
        raise AssertionError(started.output("table"))
    assert started.ended() == []
    assert started.stop_all() == []
    assert started.ended() == ["table"]
    assert (await call(address, "GET", "/_state")).status == 0


def test_process_that_ignores_sigterm_is_killed(started, monkeypatch):
    """Guards against processes that keep running after the demo."""
    monkeypatch.setattr(processes, "STOP_LIMIT_S", 0.3)
    started.start("stubborn", "tests.tools.stubborn")
    wait_for_output(started, "stubborn", "ready")
    assert started.stop_all() == ["stubborn"]
    assert started.ended() == ["stubborn"]


def test_processes_started_elsewhere_keep_running(started):
    """Guards against stopping other processes that run the same module."""
    with subprocess.Popen([sys.executable, "-m", "tests.tools.stubborn"]) as other:
        started.start("stubborn", "tests.tools.stubborn")
        wait_for_output(started, "stubborn", "ready")
        started.kill("stubborn")
        assert started.stop_all() == []
        assert other.poll() is None
        other.kill()
