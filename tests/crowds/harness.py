"""One daemon of each deployment with low limits, and what it takes of the machine."""

import os
import re
import uuid
from pathlib import Path

import anyio
import msgspec

from tools.demo_api import call
from tools.processes import Processes, free_addresses

START_LIMIT_S = 30.0
POLL_S = 0.05
ANSWER_LIMIT_S = 30.0
MEMORY_LIMIT_MB = 80
CALLER = ("authorization", "Bearer caller-token")
PATHS = {"store": "/lookup/1", "services": "/services/booking-app/records/1"}

_STORE = """\
[instance]
id = entry
data_centre = dc-a
listen = {0}
probe_listen = {1}
metrics_listen = {2}
[store]
address = {store}
[memory]
limit = {limit} MB
"""
_SERVICES = """\
[instance]
id = entry
data_centre = dc-a
listen = {0}
operator_listen = {1}
peer_listen = {2}
[platform]
table = {table}
objects = {objects}
instances = {instances}
weights = {weights}
scorer = {scorer}
[credentials]
tokens = {directory}/tokens.ini
peer_key = {directory}/peer.key
[memory]
limit = {limit} MB
"""


class Platform:
    """The process of the stand-ins, and the addresses by name."""

    def __init__(self, directory: Path):
        self._directory = directory
        self.processes = Processes(directory)

    async def start(self):
        (self._directory / "peer.key").write_text("0" * 64)
        (self._directory / "tokens.ini").write_text(
            "[callers]\ndemo = caller-token\n[trainers]\n[operators]\n"
        )
        self.processes.start("platform", "tests.crowds.platform")
        with anyio.fail_after(START_LIMIT_S):
            while not self.processes.output("platform"):
                await anyio.sleep(POLL_S)
        self.addresses = msgspec.json.decode(self.processes.output("platform", 1))

    def settings(self, deployment, listen):
        text = _STORE if deployment == "store" else _SERVICES
        path = self._directory / f"{deployment}.ini"
        path.write_text(
            text.format(
                *listen,
                **self.addresses,
                directory=self._directory,
                limit=MEMORY_LIMIT_MB,
            )
        )
        return path


class Daemon:
    """One daemon; requests to it, and its memory and descriptors."""

    def __init__(self, platform: Platform, deployment: str, descriptors: int):
        self._processes = platform.processes
        self.deployment = deployment
        listen = free_addresses(3)
        self.address = listen[0]
        # The services' deployment answers readiness probes at the public address.
        self._probe = listen[1] if deployment == "store" else listen[0]
        settings = platform.settings(deployment, listen)
        self._processes.start(
            "entry",
            "tests.crowds.limited_daemon",
            str(descriptors),
            str(settings),
            "--deployment",
            deployment,
        )
        self.pid = self._processes.pid("entry")

    async def wait_until_answering(self):
        """Wait until a readiness probe and an ordinary request succeed."""
        with anyio.fail_after(ANSWER_LIMIT_S):
            while not ((await self.probe()).ok and (await self.request()).ok):
                assert self.lives(), self._processes.output("entry", 40)
                await anyio.sleep(POLL_S)

    def lives(self):
        return "entry" not in self._processes.ended()

    def kill(self):
        self._processes.kill("entry")

    async def probe(self):
        path = "/api/ready" if self.deployment == "store" else "/readyz"
        return await call(self._probe, "GET", path, limit_s=ANSWER_LIMIT_S)

    async def request(self):
        """Send an ordinary request to an endpoint."""
        headers = [CALLER, ("plantainstack-request-id", uuid.uuid4().hex)]
        path = PATHS[self.deployment]
        return await call(self.address, "GET", path, None, headers, ANSWER_LIMIT_S)

    def peak_bytes(self):
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))
