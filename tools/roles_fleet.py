"""Processes of the role measurements: one entry instance and stand-ins."""

import secrets
from pathlib import Path
from typing import NamedTuple

import anyio
import psutil

from plantainstack.settings.options import Address
from tools.demo_api import OperatorHttpClient, call
from tools.processes import Processes, free_addresses

PLATFORM = ("table", "objects", "instances", "weights", "scorer")
ENTRY = "entry"
PLAIN = "booking-app"
TRAINER = "trainer"
ROLLOUT_MODEL = "rollouts"
# Tokens per second of one stream; the stand-in sends a chunk every 20 ms.
STREAM_RATES = {"chunks-1": 50, "chunks-4": 200, "chunks-16": 800}
SWAP_SIZES = (2, 4, 6, 8)
SWAP_S = "0.3"
START_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.2
DATA_CENTRE = "tunis-a"

_INSTANCE_FILE = """\
[instance]
id = entry
data_centre = tunis-a
listen = {listen}
operator_listen = {operator}
peer_listen = {peer}

[platform]
{platform}

[credentials]
tokens = {directory}/tokens.ini
peer_key = {directory}/peer.key

[log]
file = {directory}/entry.log
"""


class MeasurementError(Exception):
    """Raised when a process or request of a measurement fails."""


class Usage(NamedTuple):
    """CPU time of a process since its start and its resident memory."""

    cpu_s: float
    resident_bytes: int


class _MeasuredProcesses(Processes):
    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._started[name].pid


class Engine(NamedTuple):
    """A stand-in engine; the rate is in tokens per second of one stream."""

    name: str
    model: str
    rate: int


def engines() -> list[Engine]:
    """Return the engines for streams and rollouts, and groups for swaps."""
    streams = [Engine(name, name, rate) for name, rate in STREAM_RATES.items()]
    rollouts = [Engine(f"rollouts-{n}", ROLLOUT_MODEL, 800) for n in range(2)]
    swapped = [
        Engine(f"swap-{size}-{number}", f"swap-{size}", 800)
        for size in SWAP_SIZES
        for number in range(size)
    ]
    return [*streams, *rollouts, *swapped]


class Fleet:
    """Run one entry instance and the stand-ins it depends on."""

    def __init__(self, directory: Path):
        self.processes = _MeasuredProcesses(directory)
        self.engines = engines()
        self._directory = directory
        self._tokens = {
            role: secrets.token_hex(16) for role in ("caller", "trainer", "operator")
        }
        names = [*PLATFORM, PLAIN, *(each.name for each in self.engines)]
        addresses = free_addresses(len(names) + 3)
        self.standins = {name: addresses.pop() for name in names}
        self._entry_addresses = {
            kind: addresses.pop() for kind in ("listen", "operator", "peer")
        }
        self.entry: Address = self._entry_addresses["listen"]
        self.operators = OperatorHttpClient(
            {ENTRY: self._entry_addresses["operator"]}, self._tokens["operator"]
        )

    def token(self, role: str) -> str:
        """Return the token of the role caller, trainer or operator."""
        return self._tokens[role]

    async def start(self) -> None:
        """Start all processes; raises MeasurementError if one does not become ready."""
        for name in (*PLATFORM, PLAIN):
            kind = "plain" if name == PLAIN else name
            options = ("--permits", "1000", "--burst", "100")
            self._start(name, kind, *(options if name == "weights" else ()))
        for each in self.engines:
            options = ("--model", each.model, "--stream-rate", str(each.rate))
            limits = ("--token-rate", "1000000", "--running-max", "128")
            swap = ("--swap-s", SWAP_S)
            self._start(each.name, "engine", *options, *limits, *swap)
        for name, address in self.standins.items():
            await self._wait(name, address, "/_state")
        await self._register()
        self._start_entry()
        await self._wait(ENTRY, self.entry, "/readyz")

    async def state(self, name: str) -> dict:
        """Return the state of a stand-in; raises MeasurementError if the call fails."""
        reply = await call(self.standins[name], "GET", "/_state")
        if not reply.ok:
            raise MeasurementError(f"{name} did not answer GET /_state")
        return reply.content

    async def publish(self, model: str, version: int) -> None:
        """Publish a model version to the weights service."""
        path = f"/models/{model}/versions/{version}"
        await call(self.standins["weights"], "POST", path)

    def usage(self, name: str = ENTRY) -> Usage:
        """Return the CPU time and memory of a process."""
        process = psutil.Process(self.processes.pid(name))
        times = process.cpu_times()
        return Usage(times.user + times.system, process.memory_info().rss)

    def _start(self, name: str, kind: str, *options: str) -> None:
        listen = ("--listen", str(self.standins[name]))
        self.processes.start(name, "standins", kind, *listen, *options)

    async def _wait(self, name: str, address: Address, path: str) -> None:
        with anyio.move_on_after(START_LIMIT_S):
            while not (await call(address, "GET", path)).ok:
                if name in self.processes.ended():
                    break
                await anyio.sleep(POLL_INTERVAL_S)
            else:
                return
        output = self.processes.output(name)
        raise MeasurementError(f"{name} did not become ready\n{output}")

    def _start_entry(self) -> None:
        (self._directory / "peer.key").write_text(secrets.token_hex(32))
        (self._directory / "tokens.ini").write_text(
            f"[callers]\nmeasure = {self._tokens['caller']}\n"
            f"[trainers]\n{TRAINER} = {self._tokens['trainer']}\n"
            f"[operators]\noperator = {self._tokens['operator']}\n"
        )
        platform = [f"{name} = {self.standins[name]}" for name in PLATFORM]
        text = _INSTANCE_FILE.format(
            platform="\n".join(platform),
            directory=self._directory,
            **self._entry_addresses,
        )
        path = self._directory / "entry.ini"
        path.write_text(text)
        self.processes.start(ENTRY, "plantainstack.daemon", str(path))

    async def _register(self) -> None:
        for model in {each.model for each in self.engines}:
            await self.publish(model, 1)
        for each in self.engines:
            address = self.standins[each.name]
            await self._put_instance(each.name, each.model, "engine", address)
        await self._put_instance(PLAIN, PLAIN, "plain", self.standins[PLAIN])
        await self._put_instance(
            ENTRY, "plantainstack", "entry", self._entry_addresses["peer"]
        )

    async def _put_instance(
        self, name: str, service: str, kind: str, address: Address
    ) -> None:
        content = {
            "service": service,
            "kind": kind,
            "data_centre": DATA_CENTRE,
            "host": address.host,
            "port": address.port,
        }
        instances = self.standins["instances"]
        await call(instances, "PUT", f"/instances/{name}", content)
