"""Measure the cost of a unit of work in each role of an entry instance.

The roles are plain requests, bookings, streams, steps and swaps of weight versions.
The tool starts one entry instance and stand-ins on loopback, fits lines of CPU time,
memory and messages over the amount of work, writes JSON and a plot, and exits. It
uses CPU time instead of elapsed time, which other processes on the machine affect
more.
"""

import itertools
import json
import os
import shutil
import statistics
import subprocess
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import anyio
import click
import msgspec
import psutil

from tools.processes import ROOT
from tools.roles_fit import Coefficient, Fit, fit_coefficients, fit_line, plot
from tools.roles_fleet import (
    ENTRY,
    PLAIN,
    POLL_INTERVAL_S,
    ROLLOUT_MODEL,
    SWAP_SIZES,
    TRAINER,
    Fleet,
    MeasurementError,
)
from tools.roles_load import Client, completion, repeat, timed

OUTPUT = Path("docs/measurements")
TOTAL_LIMIT_S = 200.0
SETTLE_S = 5.0
IDLE_S = 10.0
CONCURRENT_CALLS = 16
LOOKUPS = (300, 600, 900, 1200)
BOOKINGS = (150, 300, 450, 600)
LATENCY_CALLS = 400
CONCURRENT_STREAMS = 32
# Model, max_tokens of a request, number of requests. The digits in the model name
# are the tokens in a chunk.
STREAMS = (
    ("chunks-1", 32, 128),
    ("chunks-1", 128, 64),
    ("chunks-4", 32, 192),
    ("chunks-4", 128, 128),
    ("chunks-4", 512, 64),
    ("chunks-16", 128, 192),
    ("chunks-16", 512, 128),
    ("chunks-16", 2048, 64),
)
OPEN_STREAMS = (0, 16, 32, 48, 64)
STEP_SAMPLES = (64, 128, 192, 256, 320)
GROUP_SAMPLES = 8
STEP_TOKENS = 16
SWAPS = 2
KIB = 1024


class Snapshot(NamedTuple):
    """Counters of the platform services and the instance's CPU time since their start.

    `at` is the monotonic time of the snapshot in seconds.
    """

    at: float
    counts: dict[str, float]


class RoleMeasurements:
    """Measure the roles in turn and collect fits and single values."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._idle: dict[str, float] = {}
        self._versions = itertools.count(2)
        self.fits: dict[str, Fit | Coefficient] = {}
        self.values: dict[str, float] = {}

    async def run(self) -> None:
        """Start the processes and measure all roles.

        Raises MeasurementError if a process or a request fails.
        """
        fleet = self._fleet
        await fleet.start()
        change = {"defaults": {"concurrency_min": "64"}, "exceptions": []}
        if not (await fleet.operators.change(ENTRY, "limits", change)).ok:
            raise MeasurementError("the change of concurrency_min was refused")
        await anyio.sleep(SETTLE_S)
        await self._measure_idle()
        for measure in (
            self._latency,
            self._lookups,
            self._bookings,
            self._streams,
            self._open_streams,
            self._steps,
            self._swaps,
        ):
            started = time.monotonic()
            await measure()
            seconds = time.monotonic() - started
            click.echo(f"{measure.__name__[1:]}: {seconds:.0f} s")

    async def _snapshot(self, model: str = "") -> Snapshot:
        """Read the counters, with messages about one model's engines if it is given."""
        fleet = self._fleet
        table, objects = await fleet.state("table"), await fleet.state("objects")
        counts = {
            **{name: table[name] for name in ("commits", "reads", "scans")},
            **{name: table[name] for name in ("rows_written", "rows_read")},
            "puts": objects["puts"],
        }
        for each in fleet.engines:
            if model and each.model == model:
                state = await fleet.state(each.name)
                messages = state["load_reads"] + len(state["orders"])
                counts["messages"] = counts.get("messages", 0) + messages
        if model:
            counts["messages"] += (await fleet.state("weights"))["permits"]
        counts["cpu_ms"] = fleet.usage().cpu_s * 1e3
        return Snapshot(time.monotonic(), counts)

    async def _usage_since(self, before: Snapshot, model: str = "") -> dict[str, float]:
        """Return the increase since a snapshot, minus that of an idle instance."""
        after = await self._snapshot(model)
        elapsed = after.at - before.at
        return {
            name: count - before.counts[name] - self._idle.get(name, 0.0) * elapsed
            for name, count in after.counts.items()
        }

    async def _measure_idle(self) -> None:
        before = await self._snapshot()
        await anyio.sleep(IDLE_S)
        found = await self._usage_since(before)
        self._idle = {name: count / IDLE_S for name, count in found.items()}
        self.values["idle.cpu_ms_per_s"] = self._idle["cpu_ms"]

    async def _latency(self) -> None:
        direct = Client(self._fleet.standins[PLAIN])
        through = Client(self._fleet.entry, self._fleet.token("caller"))
        times: tuple[list[float], list[float]] = ([], [])
        for number in range(LATENCY_CALLS):
            path = f"/records/{number}"
            times[0].append(await timed(direct, "GET", path))
            target = f"/services/{PLAIN}{path}"
            times[1].append(await timed(through, "GET", target))
        await direct.aclose()
        await through.aclose()
        medians = [statistics.median(each) * 1e3 for each in times]
        self.values["latency.direct_p50_ms"] = medians[0]
        self.values["latency.entry_p50_ms"] = medians[1]
        self.values["latency.added_p50_ms"] = medians[1] - medians[0]
        self.values["latency.ratio"] = medians[1] / medians[0]

    async def _lookups(self) -> None:
        fleet = self._fleet
        direct, through, memory = [], [], []
        done = LATENCY_CALLS
        for count in LOOKUPS:
            before = fleet.usage(PLAIN).cpu_s
            await repeat(
                fleet.standins[PLAIN], "", count, CONCURRENT_CALLS, _look_up("")
            )
            used = fleet.usage(PLAIN).cpu_s - before
            direct.append((count, used * 1e3))
            snapshot = await self._snapshot()
            look_up = _look_up(f"/services/{PLAIN}")
            await repeat(
                fleet.entry, fleet.token("caller"), count, CONCURRENT_CALLS, look_up
            )
            through.append((count, (await self._usage_since(snapshot))["cpu_ms"]))
            done += count
            memory.append((done / 1000, fleet.usage().resident_bytes / KIB))
        self.fits["lookup.cpu"] = fit_line("ms a request", through)
        self.fits["lookup.direct_cpu"] = fit_line("ms a request", direct)
        self.fits["lookup.memory"] = fit_line("KiB for 1,000 requests", memory)
        entry_slope, direct_slope = (
            self.fits[f"lookup.{name}"].slope for name in _CPU_NAMES
        )
        self.values["lookup.rate_per_core"] = 1e3 / entry_slope
        self.values["lookup.direct_rate_per_core"] = 1e3 / direct_slope
        self.values["lookup.rate_ratio"] = direct_slope / entry_slope

    async def _bookings(self) -> None:
        fleet = self._fleet
        points: dict[str, list] = {}
        for count in BOOKINGS:

            async def book(client: Client, number: int, batch: int = count) -> None:
                reference = f"{batch}-{number}"
                key = [("idempotency-key", reference)]
                content = {"reference": reference}
                await client.call("POST", f"/services/{PLAIN}/bookings", content, key)

            snapshot = await self._snapshot()
            await repeat(
                fleet.entry, fleet.token("caller"), count, CONCURRENT_CALLS, book
            )
            _add_points(points, count, await self._usage_since(snapshot))
        self._fit("booking", "a booking", points)

    async def _streams(self) -> None:
        fleet = self._fleet
        rows, costs, direct = [], [], []
        for model, tokens, count in STREAMS:

            async def stream(client: Client, number: int, asked=(model, tokens)):
                return await client.stream(completion(asked[0], number, asked[1]))

            snapshot, engine = await self._snapshot(), fleet.usage(model).cpu_s
            found = await repeat(
                fleet.entry, fleet.token("caller"), count, CONCURRENT_STREAMS, stream
            )
            rows.append([sum(column) for column in zip(*found, strict=True)])
            costs.append((await self._usage_since(snapshot))["cpu_ms"])
            direct.append((fleet.usage(model).cpu_s - engine) * 1e3)
        names = ("request", "chunk", "token")
        units = [f"ms a {name}" for name in names]
        for name, coefficient in zip(
            names, fit_coefficients(units, rows, costs), strict=True
        ):
            self.fits[f"stream.{name}_cpu"] = coefficient
        coefficients = fit_coefficients(units, rows, direct)
        self.fits["stream.engine_chunk_cpu"] = coefficients[1]
        self.windows = [
            {"requests": row[0], "chunks": row[1], "tokens": row[2], "cpu_ms": cost}
            for row, cost in zip(rows, costs, strict=True)
        ]

    async def _open_streams(self) -> None:
        fleet = self._fleet
        points = []
        for count in OPEN_STREAMS:
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(self._open_stream, number)
                await anyio.sleep(3.0)
                points.append((count, fleet.usage().resident_bytes / KIB))
                tasks.cancel_scope.cancel()
            await anyio.sleep(0.5)
        self.fits["stream.memory"] = fit_line("KiB an open stream", points)

    async def _open_stream(self, number: int) -> None:
        client = Client(self._fleet.entry, self._fleet.token("caller"))
        try:
            await client.stream(completion("chunks-1", number, 1000))
        finally:
            with anyio.CancelScope(shield=True):
                await client.aclose()

    async def _steps(self) -> None:
        fleet = self._fleet
        points: dict[str, list] = {}
        memory = []
        for number, samples in enumerate(STEP_SAMPLES):
            snapshot = await self._snapshot()
            await self._step(f"step-{number}", samples)
            _add_points(points, samples, await self._usage_since(snapshot))
            memory.append((number + 1, fleet.usage().resident_bytes / KIB))
        self._fit("step", "a sample", points)
        self.fits["step.memory"] = fit_line("KiB a step", memory)

    async def _step(self, step: str, samples: int) -> None:
        client = Client(self._fleet.entry, self._fleet.token("trainer"))
        base = f"/v1/trainers/{TRAINER}/steps"
        groups = samples // GROUP_SAMPLES
        content = {
            "step": step,
            "model": ROLLOUT_MODEL,
            "policy_version": 1,
            "groups": [{"prompt": f"Task {n} of {step}"} for n in range(groups)],
            "samples_per_group": GROUP_SAMPLES,
            "max_tokens": STEP_TOKENS,
        }
        await client.call("POST", base, content)
        path = f"{base}/{step}"
        while msgspec.json.decode(await client.call("GET", path))["state"] == "open":
            await anyio.sleep(POLL_INTERVAL_S)
        got = msgspec.json.decode(await client.call("GET", f"{path}/samples"))
        if len(got["samples"]) != samples:
            raise MeasurementError(
                f"{step} returned a wrong number of samples: {len(got['samples'])}"
            )
        await client.call("POST", f"{path}/ack", {})
        await client.aclose()
        # Wait while the owner deletes the rows of the acknowledged step.
        await anyio.sleep(3.0)

    async def _swaps(self) -> None:
        points: dict[str, list] = {}
        # Engines are polled for load reports also without swaps; subtract these polls.
        reads = await self._load_reads()
        for size in SWAP_SIZES:
            model = f"swap-{size}"
            for _ in range(SWAPS):
                snapshot = await self._snapshot(model)
                started = time.monotonic()
                await self._swap(model, next(self._versions))
                elapsed = time.monotonic() - started
                found = await self._usage_since(snapshot, model)
                found["messages"] -= reads[model] * elapsed
                found["seconds"] = elapsed
                _add_points(points, size, found)
        self._fit("swap", "an engine", points)
        seconds = [value for _, value in points["seconds"]]
        self.values["swap.seconds_max"] = max(seconds)

    async def _load_reads(self) -> dict[str, float]:
        """Return the messages per second to the engines of each idle model."""
        models = [f"swap-{size}" for size in SWAP_SIZES]
        snapshots = {model: await self._snapshot(model) for model in models}
        await anyio.sleep(SETTLE_S)
        found = {}
        for model, snapshot in snapshots.items():
            seconds = time.monotonic() - snapshot.at
            found[model] = (await self._usage_since(snapshot, model))[
                "messages"
            ] / seconds
        return found

    async def _swap(self, model: str, version: int) -> None:
        fleet = self._fleet
        await fleet.publish(model, version)
        names = [each.name for each in fleet.engines if each.model == model]
        with anyio.fail_after(30.0):
            for name in names:
                while (await fleet.state(name))["version"] != version:
                    await anyio.sleep(POLL_INTERVAL_S)

    def _fit(self, role: str, per: str, points: dict[str, list]) -> None:
        for name, found in points.items():
            unit = f"ms {per}" if name == "cpu_ms" else f"{name} {per}"
            key = "cpu" if name == "cpu_ms" else name
            self.fits[f"{role}.{key}"] = fit_line(unit, found)


_CPU_NAMES = ("cpu", "direct_cpu")


def _look_up(prefix: str):
    async def look_up(client: Client, number: int) -> None:
        await client.call("GET", f"{prefix}/records/{number}")

    return look_up


def _add_points(
    points: dict[str, list], amount: float, found: dict[str, float]
) -> None:
    for name, count in found.items():
        points.setdefault(name, []).append((amount, count))


@click.command()
@click.option("--output", type=click.Path(path_type=Path), default=OUTPUT)
def main(output: Path) -> None:
    """Measure each role and write roles.json and roles.png."""
    directory = Path(tempfile.mkdtemp(prefix="plantainstack-roles-"))
    load_before = os.getloadavg()
    roles = RoleMeasurements(Fleet(directory))
    try:
        anyio.run(_measure, roles)
    except* (MeasurementError, TimeoutError) as group:
        raise click.ClickException(_first_message(group)) from group
    finally:
        roles._fleet.processes.stop_all()
        shutil.rmtree(directory, ignore_errors=True)
    output.mkdir(parents=True, exist_ok=True)
    _write(roles, load_before, output / "roles.json")
    lines = {name: fit for name, fit in roles.fits.items() if isinstance(fit, Fit)}
    plot(lines, output / "roles.png")
    for name, fit in roles.fits.items():
        click.echo(f"{name}: {fit.slope:.4g} ± {fit.slope_error:.2g} {fit.unit}")
    for name, value in roles.values.items():
        click.echo(f"{name}: {value:.4g}")


async def _measure(roles: RoleMeasurements) -> None:
    with anyio.fail_after(TOTAL_LIMIT_S):
        await roles.run()


def _first_message(exc: BaseException) -> str:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return str(exc) or "time limit exceeded"


def _write(roles: RoleMeasurements, load_before, path: Path) -> None:
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    content = {
        "measured_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "command": "python -m tools.roles",
        "commit": commit.stdout.strip(),
        "cores": os.cpu_count(),
        "memory_bytes": psutil.virtual_memory().total,
        "load_average_before": load_before,
        "load_average_after": os.getloadavg(),
        "values": roles.values,
        "fits": {name: fit._asdict() for name, fit in roles.fits.items()},
        "stream_windows": roles.windows,
    }
    path.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
