"""Start the daemon with the command of the deploy file, and stop what was started."""

import os
import random
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = range(20_000, 32_000)
TEMPLATE = """[instance]
id = {node}
data_centre = {zone}
listen = 127.0.0.1:{front}
probe_listen = 127.0.0.1:{ready}
metrics_listen = 127.0.0.1:{metrics}

[store]
address = 127.0.0.1:{store}

[bounds]
grace = 8 s
endpoint_notice = 2000 ms
order_gap = 3000 ms

[memory]
limit = 180 MB
descriptors = 8200

[placement]
prefix_cache = group
"""


def free_ports(count: int) -> list[int]:
    """Return unused loopback ports, below those of outgoing connections."""
    found: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            break
    return found


class Daemons:
    """Run entry instances as processes of their own."""

    def __init__(self, directory: Path):
        self._directory = directory
        self._started: dict[str, subprocess.Popen] = {}
        self.fronts: dict[str, int] = {}
        self.readies: dict[str, int] = {}

    def start(self, node: str, zone: str, store: int) -> None:
        """Start an instance that reaches the store at a loopback port."""
        if node not in self.fronts:
            front, ready, metrics = free_ports(3)
            self.fronts[node], self.readies[node] = front, ready
            text = TEMPLATE.format(
                node=node, zone=zone, front=front, ready=ready, metrics=metrics,
                store=store,
            )  # fmt: skip
            (self._directory / f"{node}.conf").write_text(text)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        words = role["run"].split()
        words[0] = sys.executable
        words[-1] = str(self._directory / f"{node}.conf")
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT / "target/deps")}
        with (self._directory / f"{node}.log").open("ab") as output:
            self._started[node] = subprocess.Popen(
                words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=output,
                stderr=subprocess.STDOUT,
            )  # fmt: skip

    def ended(self) -> list[str]:
        """Return the instances whose processes have ended."""
        return [node for node, each in self._started.items() if each.poll() is not None]

    def stop_all(self) -> None:
        """End all processes that were started."""
        for each in self._started.values():
            if each.poll() is None:
                each.kill()
            each.wait()
