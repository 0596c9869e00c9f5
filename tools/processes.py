"""Start child processes for the tools and tests, and stop only these."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from plantainstack.settings.options import Address

ROOT = Path(__file__).parent.parent
STOP_LIMIT_S = 4.0
STOP_POLL_S = 0.05
# Below the ephemeral port range, so that no outgoing connection can take a port
# between its selection and its use.
PORTS = range(20_000, 32_000)


class Processes:
    """Child processes by name."""

    def __init__(self, directory: Path):
        self._directory = directory
        self._started: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *args: str) -> None:
        """Run a Python module, with its output in the file `{name}.out`."""
        with (self._directory / f"{name}.out").open("wb") as output:
            self._started[name] = subprocess.Popen(
                [sys.executable, "-m", *args],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def pid(self, name: str) -> int:
        """Return the id of a process, by its name."""
        return self._started[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, by its name."""
        self._started[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        process = self._started[name]
        process.kill()
        process.wait()

    def ended(self) -> list[str]:
        """Return the names of the processes that have exited."""
        return [
            name
            for name, process in self._started.items()
            if process.poll() is not None
        ]

    def output(self, name: str, lines: int = 5) -> str:
        """Return the last lines of a process's output."""
        text = (self._directory / f"{name}.out").read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def stop_all(self) -> list[str]:
        """Send SIGTERM to the running processes and kill those that do not stop.

        Returns the names of the killed processes.
        """
        running = {
            name: process
            for name, process in self._started.items()
            if process.poll() is None
        }
        for process in running.values():
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_LIMIT_S
        while time.monotonic() < deadline:
            if all(process.poll() is not None for process in running.values()):
                break
            time.sleep(STOP_POLL_S)
        killed = [name for name, process in running.items() if process.poll() is None]
        for name in killed:
            self.kill(name)
        return killed


def free_addresses(count: int) -> list[Address]:
    """Return unused loopback addresses; raises OSError if there are too few."""
    found: list[Address] = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(Address("127.0.0.1", port))
        if len(found) == count:
            return found
    raise OSError("too few free ports on loopback")
