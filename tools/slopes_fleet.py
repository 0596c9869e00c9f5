"""Processes whose control plane cost is measured."""

import secrets
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import anyio
import psutil
from anyio.abc import SocketAttribute, TaskGroup
from prometheus_client.parser import text_string_to_metric_families

from plantainstack.settings.options import Address
from tools.demo_api import OperatorHttpClient, call
from tools.processes import Processes, free_addresses

STANDINS = ("table", "objects", "instances", "weights", "scorer")
DATA_CENTRES = ("tunis-a", "tunis-b", "tunis-c", "tunis-d")
REFERENCE_COUNT = 2
CONCURRENT_STARTS = 8
START_LIMIT_S = 90.0
POLL_INTERVAL_S = 0.5
METRICS_LIMIT_S = 5.0

_INSTANCE_FILE = """\
[instance]
id = {name}
data_centre = {data_centre}
listen = {listen}
operator_listen = {operator}
peer_listen = {peer}
control = {control}

[platform]
{platform}

[credentials]
tokens = {directory}/tokens.ini
peer_key = {directory}/peer.key

[log]
file = {directory}/{name}.log
"""


class MeasurementError(Exception):
    """Raised when a fleet does not start or an instance does not answer."""


class Usage(NamedTuple):
    """Resource usage of an instance since its start.

    `peer_bytes` counts the traffic with peers, `members` the known instances.
    """

    pid: int
    cpu_s: float
    resident_bytes: int
    peer_bytes: float
    members: int


class _MeasuredProcesses(Processes):
    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._started[name].pid


class CountingRelay:
    """Forward TCP connections and count the bytes in both directions."""

    def __init__(self, upstream: Address):
        self.bytes = 0
        self._upstream = upstream

    async def start(self, tasks: TaskGroup) -> None:
        """Listen on a free loopback port until the task group is cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = Address("127.0.0.1", listener.extra(SocketAttribute.local_port))
        tasks.start_soon(listener.serve, self._serve)

    async def _serve(self, client) -> None:
        try:
            async with client, await anyio.connect_tcp(*self._upstream) as server:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pump, client, server)
                    tasks.start_soon(self._pump, server, client)
        except OSError:
            return

    async def _pump(self, source, sink) -> None:
        try:
            async for data in source:
                self.bytes += len(data)
                await sink.send(data)
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return


class Fleet:
    """Run stand-ins, instances with a control plane and references without it.

    The first instance and the first reference reach the table service through
    relays, which count its traffic.
    """

    def __init__(self, directory: Path, size: int):
        self.processes = _MeasuredProcesses(directory)
        self.names = [f"entry-{number}" for number in range(size)]
        self.references = [f"reference-{number}" for number in range(REFERENCE_COUNT)]
        self._directory = directory
        self._operator_token = secrets.token_hex(16)
        all_names = self.names + self.references
        kinds = ("listen", "operator", "peer")
        addresses = free_addresses(len(STANDINS) + len(all_names) * len(kinds))
        self._standins = {name: addresses.pop() for name in STANDINS}
        self._instance_addresses = {
            name: {kind: addresses.pop() for kind in kinds} for name in all_names
        }
        self.operators = OperatorHttpClient(
            {name: own["operator"] for name, own in self._instance_addresses.items()},
            self._operator_token,
        )
        self.relays = {
            name: CountingRelay(self._standins["table"])
            for name in (self.names[0], self.references[0])
        }

    async def start(self, tasks: TaskGroup) -> None:
        """Start all processes; raises MeasurementError if one does not become ready."""
        self._write_credentials()
        for relay in self.relays.values():
            await relay.start(tasks)
        await self._start()

    def restart(self, name: str) -> None:
        """Kill an instance and restart it at the same address, without waiting."""
        self.processes.kill(name)
        self._start_instance(name)

    async def usage(self, name: str) -> Usage:
        """Return the usage of an instance; raises MeasurementError if it is down."""
        pid = self.processes.pid(name)
        process = psutil.Process(pid)
        times = process.cpu_times()
        resident = process.memory_info().rss
        address = self._instance_addresses[name]["listen"]
        reply = await call(address, "GET", "/metrics", limit_s=METRICS_LIMIT_S)
        if not reply.ok:
            raise MeasurementError(f"{name} did not answer GET /metrics")
        return Usage(
            pid,
            times.user + times.system,
            resident,
            _metric(reply, "plantainstack_peer_bytes_total"),
            int(_metric(reply, "plantainstack_members")),
        )

    async def _start(self) -> None:
        for name in STANDINS:
            listen = str(self._standins[name])
            self.processes.start(name, "standins", name, "--listen", listen)
        await self._wait("the stand-ins", self._standins.values(), "/_state")
        for name in self.names:
            await self._register(name)
        all_names = self.names + self.references
        for first in range(0, len(all_names), CONCURRENT_STARTS):
            batch = all_names[first : first + CONCURRENT_STARTS]
            for name in batch:
                self._start_instance(name)
            addresses = [self._instance_addresses[name]["listen"] for name in batch]
            await self._wait("the instances", addresses, "/readyz")
        await self._wait_for_members()

    async def _wait(self, what: str, addresses: Iterable[Address], path: str) -> None:
        with anyio.move_on_after(START_LIMIT_S):
            for address in addresses:
                while not (await call(address, "GET", path)).ok:
                    self._check_running()
                    await anyio.sleep(POLL_INTERVAL_S)
            return
        raise MeasurementError(f"{what} did not become ready")

    def _check_running(self) -> None:
        for name in self.processes.ended():
            output = self.processes.output(name)
            raise MeasurementError(f"{name} exited unexpectedly\n{output}")

    async def _wait_for_members(self) -> None:
        with anyio.move_on_after(START_LIMIT_S):
            for name in self.names:
                while (await self.usage(name)).members < len(self.names):
                    await anyio.sleep(POLL_INTERVAL_S)
            return
        raise MeasurementError("the instances did not discover all members")

    def _start_instance(self, name: str) -> None:
        table = self._standins["table"]
        if name in self.relays:
            table = self.relays[name].address
        platform = {**self._standins, "table": table}
        number = len(self._instance_addresses) - list(self._instance_addresses).index(
            name
        )
        text = _INSTANCE_FILE.format(
            name=name,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            control="yes" if name in self.names else "no",
            platform="\n".join(f"{key} = {value}" for key, value in platform.items()),
            directory=self._directory,
            **self._instance_addresses[name],
        )
        path = self._directory / f"{name}.ini"
        path.write_text(text)
        self.processes.start(name, "tools.slopes_instance", str(path))

    async def _register(self, name: str) -> None:
        peer = self._instance_addresses[name]["peer"]
        content = {
            "service": "plantainstack",
            "kind": "entry",
            "data_centre": DATA_CENTRES[0],
            "host": peer.host,
            "port": peer.port,
        }
        path = f"/instances/{name}"
        await call(self._standins["instances"], "PUT", path, content)

    def _write_credentials(self) -> None:
        (self._directory / "peer.key").write_text(secrets.token_hex(32))
        (self._directory / "tokens.ini").write_text(
            f"[callers]\nmeasure = {secrets.token_hex(16)}\n"
            f"[trainers]\nmeasure = {secrets.token_hex(16)}\n"
            f"[operators]\noperator = {self._operator_token}\n"
        )


def _metric(reply, name: str) -> float:
    return sum(
        sample.value
        for family in text_string_to_metric_families(reply.content)
        for sample in family.samples
        if sample.name == name
    )
