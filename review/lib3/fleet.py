"""Start entry instances as the deploy file does, and watch them like the platform."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from lib3.http11 import call

ROOT = Path(__file__).resolve().parents[2]
RESTART_S = 0.5
WATCH_S = 0.02


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Write what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._begun = time.monotonic()

    def add(self, text: str) -> None:
        seconds = time.monotonic() - self._begun
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Instance:
    """One entry instance, its settings and its process."""

    def __init__(
        self, id: str, store: str, memory_mb: int, folder: Path, record, **more
    ):
        self.id = id
        self.memory_mb = memory_mb
        self._folder = folder
        self._record = record
        ports = free_ports(3)
        self.address, self.ready, self.metrics = (f"127.0.0.1:{p}" for p in ports)
        bounds = {"drain_ms": 2000, "grace_s": 8, "lease_ms": 3000} | more
        self._settings = folder / f"{id}.ini"
        # deploy/node.ini, filled in as DEPLOY.md tells.
        self._settings.write_text(
            f"[instance]\nid = {id}\ndata_centre = zone-a\nlisten = {self.address}\n"
            f"probe_listen = {self.ready}\nmetrics_listen = {self.metrics}\n\n"
            f"[store]\naddress = {store}\n\n[bounds]\n"
            f"grace = {bounds['grace_s']} s\n"
            f"endpoint_notice = {bounds['drain_ms']} ms\n"
            f"order_gap = {bounds['lease_ms']} ms\n\n"
            f"[memory]\nlimit = {memory_mb} MB\ndescriptors = 8200\n\n"
            "[tenants]\nquota_excess = 0.1\n\n[duties]\nkinds =\n\n"
            "[placement]\nprefix_cache = group\n"
        )
        self.process: subprocess.Popen | None = None
        self.peak_mb = 0.0
        self.kills: list[tuple[float, float]] = []
        self.ends: list[tuple[float, int]] = []
        self.starts = 0

    def start(self) -> None:
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"]
        words = command.split()
        words[-1] = str(self._settings)
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT / "target/deps")}
        self.starts += 1
        log = (self._folder / f"{self.id}.{self.starts}.log").open("w")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
        )
        log.close()
        self._record.add(f"{self.id} started, pid {self.process.pid}")

    def used_mb(self) -> float:
        """Return the memory of the process in MB, without pages of files."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = {line.split(":")[0]: line for line in text.splitlines()}
        if "RssAnon" not in found:
            return 0.0
        return int(found["RssAnon"].split()[1]) * 1024 / 1e6

    def lives(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        self._record.add(f"{self.id} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.lives():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        answer = await call(self.ready, "GET", "/api/ready", limit_s=1.0)
        return answer is not None and answer.status == 200


class Platform:
    """Kill processes above their memory, restart ended ones, and probe readiness."""

    def __init__(self, instances: list[Instance], record: Record):
        self.instances = instances
        self._record = record
        self.restarts = True
        self.stopping: set[str] = set()

    async def watch(self) -> None:
        await asyncio.gather(*(self._watch(each) for each in self.instances))

    async def _watch(self, instance: Instance) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            if instance.process is None or instance.id in self.stopping:
                continue
            if instance.lives():
                used = instance.used_mb()
                instance.peak_mb = max(instance.peak_mb, used)
                if used <= instance.memory_mb:
                    continue
                instance.process.kill()
                instance.process.wait()
                instance.kills.append((time.monotonic(), used))
                self._record.add(
                    f"{instance.id} uses {used:.0f} MB of {instance.memory_mb} MB "
                    "and is killed by the platform"
                )
            else:
                code = instance.process.returncode
                instance.ends.append((time.monotonic(), code))
                self._record.add(f"{instance.id} ended by itself with {code}")
            if not self.restarts:
                return
            await asyncio.sleep(RESTART_S)
            instance.start()

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        end = time.monotonic() + limit_s
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{instance.id} is not ready")
                await asyncio.sleep(0.1)


def main(case) -> None:
    """Run `case(record, folder, trouble)`, which returns why the rule was broken.

    It returns an empty text if the rule held. Exits with 1, 0, or 2 if it cannot run.
    """
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            found = asyncio.run(case(record, Path(temporary), trouble))
        except Exception as exc:
            record.add(f"the case could not run: {exc!r}")
            print(f"the case could not run: {exc!r}", file=sys.stderr)
            sys.exit(2)
    record.add(f"broken: {found}" if found else "held")
    print(json.dumps({"trouble": trouble, "broken": found}))
    sys.exit(1 if found else 0)
