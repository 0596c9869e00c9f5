"""Processes of the demo: stand-ins and three entry instances."""

import secrets
from pathlib import Path
from typing import NamedTuple

import anyio

from plantainstack.settings.options import Address
from tools.demo_api import OperatorHttpClient, call
from tools.processes import Processes, free_addresses

ENTRIES = {"entry-1": "bergen-a", "entry-2": "bergen-b", "entry-3": "forde"}
SERVICES = ("table", "objects", "instances", "weights", "scorer")
TRAINER = "permit-advice"
TRAINER_MODEL = "raadgiver-llm"
FIRST_VERSION = 1
LATEST_VERSION = 2
POLL_INTERVAL_S = 0.1
STANDIN_START_LIMIT_S = 10.0
ENTRY_START_LIMIT_S = 15.0
# Seconds; long enough that some calls are open when an instance is killed.
PLAIN_DELAY_S = "0.2"
ENGINE_RATES = ("--token-rate", "1500", "--stream-rate", "60")


class Endpoint(NamedTuple):
    """One endpoint; `version` is the initial model version of an engine."""

    name: str
    service: str
    kind: str
    data_centre: str
    version: int = 0


ENDPOINTS = (
    Endpoint("advice-1", "raadgiver-llm", "engine", "bergen-a", FIRST_VERSION),
    Endpoint("advice-2", "raadgiver-llm", "engine", "forde", LATEST_VERSION),
    Endpoint("fit-1", "fit-models", "engine", "tunis-a", FIRST_VERSION),
    Endpoint("fit-2", "fit-models", "engine", "tunis-b", LATEST_VERSION),
    Endpoint("permits-1", "tillatelse-app", "plain", "bergen-a"),
    Endpoint("permits-2", "tillatelse-app", "plain", "bergen-b"),
    Endpoint("shops-1", "booking-app", "plain", "tunis-a"),
    Endpoint("shops-2", "booking-app", "plain", "tunis-b"),
)

_INSTANCE_FILE = """\
[instance]
id = {name}
data_centre = {data_centre}
listen = {listen}
operator_listen = {operator}
peer_listen = {peer}

[platform]
{platform}

[credentials]
tokens = {directory}/tokens.ini
peer_key = {directory}/peer.key

[log]
file = {directory}/{name}.log
"""


class DemoError(Exception):
    """Raised when a process of the demo does not start."""


class Fleet:
    """Start the processes of the demo and provide their addresses."""

    def __init__(self, directory: Path, start_limit_s: float = ENTRY_START_LIMIT_S):
        self.processes = Processes(directory)
        self._start_limit_s = start_limit_s
        self._directory = directory
        self._tokens = {
            role: secrets.token_hex(16) for role in ("caller", "trainer", "operator")
        }
        names = [*SERVICES, *(each.name for each in ENDPOINTS), "trainer"]
        kinds = ("listen", "operator", "peer")
        addresses = free_addresses(len(names) + len(ENTRIES) * len(kinds))
        self.standins = {name: addresses.pop() for name in names}
        self._entries = {
            name: {kind: addresses.pop() for kind in kinds} for name in ENTRIES
        }
        self.entries = {name: each["listen"] for name, each in self._entries.items()}
        self.operators = OperatorHttpClient(
            {name: each["operator"] for name, each in self._entries.items()},
            self._tokens["operator"],
        )
        self.killed: set[str] = set()

    @property
    def caller_token(self) -> str:
        """Return the token of the demo's callers."""
        return self._tokens["caller"]

    @property
    def operator_token(self) -> str:
        """Return the token of the demo's operator."""
        return self._tokens["operator"]

    async def start(self) -> None:
        """Start all processes; raises DemoError if one does not become ready."""
        self._write_credentials()
        for name in self.standins:
            self._start(name)
        for name in self.standins:
            await self._wait_until_up(name)
        await self._register()
        for name in ENTRIES:
            self._start(name)
        for name in ENTRIES:
            await self._wait_until_up(name)

    async def restart(self, name: str) -> None:
        """Restart an exited process at the same address.

        Raises DemoError if it does not become ready.
        """
        self.killed.discard(name)
        self._start(name)
        await self._wait_until_up(name)

    async def publish(self, model: str, version: int) -> None:
        """Publish a model version to the weights service, as a trainer does."""
        path = f"/models/{model}/versions/{version}"
        await call(self.standins["weights"], "POST", path)

    async def state(self, name: str) -> dict:
        """Return the state reported by a stand-in, empty if the call failed."""
        reply = await call(self.standins[name], "GET", "/_state")
        return reply.content if reply.ok else {}

    async def set_faults(self, name: str, *faults: dict) -> None:
        """Replace the injected faults of a stand-in."""
        await call(self.standins[name], "PUT", "/_faults", {"faults": faults})

    async def request_steps(self, steps: int) -> None:
        """Request a number of further steps from the trainer."""
        await call(self.standins["trainer"], "POST", "/_steps", {"steps": steps})

    def kill_entry(self, name: str) -> None:
        """Kill an entry instance with SIGKILL."""
        self.killed.add(name)
        self.processes.kill(name)

    def live_entries(self) -> list[str]:
        """Return the names of the entry instances that were not killed."""
        return [name for name in ENTRIES if name not in self.killed]

    def _start(self, name: str) -> None:
        endpoints = {each.name: each for each in ENDPOINTS}
        if name in ENTRIES:
            self._start_entry(name)
        elif name in endpoints:
            self._start_endpoint(endpoints[name])
        elif name == "trainer":
            self._start_trainer()
        elif name == "table":
            journal = str(self._directory / "table.journal")
            self._start_standin(name, name, "--journal", journal)
        else:
            self._start_standin(name, name)

    async def _wait_until_up(self, name: str) -> None:
        if name in ENTRIES:
            address, path = self.entries[name], "/readyz"
            await self._wait_for(name, address, path, self._start_limit_s)
        else:
            address, path = self.standins[name], "/_state"
            limit_s = max(STANDIN_START_LIMIT_S, self._start_limit_s)
            await self._wait_for(name, address, path, limit_s)

    async def _wait_for(
        self, name: str, address: Address, path: str, limit_s: float
    ) -> None:
        with anyio.move_on_after(limit_s):
            while not (await call(address, "GET", path)).ok:
                if name in self.processes.ended():
                    break
                await anyio.sleep(POLL_INTERVAL_S)
            else:
                return
        output = self.processes.output(name)
        raise DemoError(f"{name} did not become ready at {address}\n{output}")

    def _start_standin(self, name: str, kind: str, *args: str) -> None:
        listen = ("--listen", str(self.standins[name]))
        self.processes.start(name, "standins", kind, *listen, *args)

    def _start_endpoint(self, each: Endpoint) -> None:
        if each.kind == "plain":
            options = ("--name", each.name, "--delay", PLAIN_DELAY_S)
            self._start_standin(each.name, "plain", *options)
            return
        model = ("--model", each.service, "--version", str(each.version))
        self._start_standin(each.name, "engine", *model, *ENGINE_RATES)

    def _start_trainer(self) -> None:
        options = [
            *("--name", TRAINER, "--token", self._tokens["trainer"]),
            *("--model", TRAINER_MODEL, "--weights", str(self.standins["weights"])),
            *("--groups", "8", "--samples", "4", "--max-tokens", "240"),
        ]
        for address in self.entries.values():
            options += ["--entry", str(address)]
        self._start_standin("trainer", "trainer", *options)

    def _start_entry(self, name: str) -> None:
        platform = [f"{each} = {self.standins[each]}" for each in SERVICES]
        text = _INSTANCE_FILE.format(
            name=name,
            data_centre=ENTRIES[name],
            platform="\n".join(platform),
            directory=self._directory,
            **self._entries[name],
        )
        path = self._directory / f"{name}.ini"
        path.write_text(text)
        self.processes.start(name, "plantainstack.daemon", str(path))

    def _write_credentials(self) -> None:
        (self._directory / "peer.key").write_text(secrets.token_hex(32))
        (self._directory / "tokens.ini").write_text(
            f"[callers]\ndemo = {self._tokens['caller']}\n"
            f"[trainers]\n{TRAINER} = {self._tokens['trainer']}\n"
            f"[operators]\noperator = {self._tokens['operator']}\n"
        )

    async def _register(self) -> None:
        for model in {each.service for each in ENDPOINTS if each.kind == "engine"}:
            for version in (FIRST_VERSION, LATEST_VERSION):
                await self.publish(model, version)
        for each in ENDPOINTS:
            record = (each.service, each.kind, each.data_centre)
            await self._put_instance(each.name, record, self.standins[each.name])
        for name, data_centre in ENTRIES.items():
            record = ("plantainstack", "entry", data_centre)
            await self._put_instance(name, record, self._entries[name]["peer"])

    async def _put_instance(self, name, record, address: Address) -> None:
        service, kind, data_centre = record
        content = {
            "service": service,
            "kind": kind,
            "data_centre": data_centre,
            "host": address.host,
            "port": address.port,
        }
        instances = self.standins["instances"]
        await call(instances, "PUT", f"/instances/{name}", content)
