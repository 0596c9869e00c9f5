"""Measure the cost of the control plane per instance at several fleet sizes.

The tool starts entry instances and stand-ins on loopback and measures them idle
("rest") and while the configuration changes and instances restart ("busy"). It fits
lines over the fleet size, writes JSON and a plot, and exits. TARGETS holds the bounds
of the design; a cost above its bound is reported as MISSED.
"""

import itertools
import json
import os
import shutil
import tempfile
import time
from pathlib import Path

import anyio
import click
import psutil

from tools.slopes_fit import (
    SPEED_UP,
    Fit,
    Measurement,
    Point,
    Window,
    describe,
    fit_line,
    plot,
)
from tools.slopes_fleet import Fleet, MeasurementError, Usage

SIZES = "4,8,16,32,64"
TOTAL_LIMIT_S = 20 * 60.0
SETTLE_S = 8.0
DAY_S = 86_400.0
CHANGES_PER_DAY = 4_000
RESTARTS_PER_DAY = 416
EXCEPTIONS = 20
# An instance of a smaller fleet has too few peers to open all its links, so its
# traffic is lower.
ALL_LINKS_FROM = 8
# A line through this many points or fewer has no standard error.
FIT_POINTS = 2
OUTPUT = Path("docs/measurements")

TARGETS = {
    "cpu": 0.022,
    "memory": 32e6,
    "bytes": 3_000.0,
}


@click.command()
@click.option("--sizes", default=SIZES, show_default=True, help="Fleet sizes.")
@click.option("--rest", "rest_s", default=25.0, show_default=True, help="Seconds.")
@click.option("--busy", "busy_s", default=45.0, show_default=True, help="Seconds.")
@click.option("--output", type=click.Path(path_type=Path), default=OUTPUT)
@click.option(
    "--windows",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Fit the windows in the JSON of an earlier run instead of measuring.",
)
def main(
    sizes: str, rest_s: float, busy_s: float, output: Path, windows: Path | None
) -> None:
    """Measure the control plane at several fleet sizes and write the results."""
    numbers = [int(text) for text in sizes.split(",")]
    if windows is not None:
        metadata, found = _load(windows)
    else:
        metadata, found = _run_metadata(), _run(numbers, rest_s, busy_s)
    fits = _fits(found)
    for name, fit in fits.items():
        click.echo(describe(name, fit))
    output.mkdir(parents=True, exist_ok=True)
    _write(metadata, found, fits, output / "slopes.json")
    plot(fits, output / "slopes.png")


def _run(sizes: list[int], rest_s: float, busy_s: float) -> list[Measurement]:
    try:
        return anyio.run(_measure_all, sizes, rest_s, busy_s)
    except* (MeasurementError, TimeoutError) as group:
        raise click.ClickException(_first_message(group)) from group


def _first_message(exc: BaseException) -> str:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return str(exc) or "time limit exceeded"


async def _measure_all(sizes: list[int], rest_s: float, busy_s: float):
    with anyio.fail_after(TOTAL_LIMIT_S):
        return [await _measure(size, rest_s, busy_s) for size in sizes]


async def _measure(size: int, rest_s: float, busy_s: float) -> Measurement:
    directory = Path(tempfile.mkdtemp(prefix="plantainstack-slopes-"))
    started = time.monotonic()
    fleet = Fleet(directory, size)
    try:
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            await _change(fleet, 0)
            await anyio.sleep(SETTLE_S)
            rest = await _window(fleet, rest_s)
            busy = await _busy_window(fleet, busy_s)
            tasks.cancel_scope.cancel()
    finally:
        fleet.processes.stop_all()
        shutil.rmtree(directory, ignore_errors=True)
    click.echo(f"{size} instances measured in {time.monotonic() - started:.0f} s")
    return Measurement(size, rest, busy)


async def _busy_window(fleet: Fleet, seconds: float) -> Window:
    counts: dict[str, int] = {"changes": 0, "restarts": 0}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_change_repeatedly, fleet, counts)
        tasks.start_soon(_restart_repeatedly, fleet, counts)
        window = await _window(fleet, seconds)
        tasks.cancel_scope.cancel()
    return window._replace(**counts)


async def _change_repeatedly(fleet: Fleet, counts: dict[str, int]) -> None:
    for number in itertools.count(1):
        await anyio.sleep(DAY_S / CHANGES_PER_DAY / SPEED_UP)
        counts["changes"] += await _change(fleet, number)


async def _restart_repeatedly(fleet: Fleet, counts: dict[str, int]) -> None:
    for name in itertools.cycle(reversed(fleet.names[1:])):
        await anyio.sleep(DAY_S / RESTARTS_PER_DAY / SPEED_UP / 2)
        fleet.restart(name)
        counts["restarts"] += 1
        await anyio.sleep(DAY_S / RESTARTS_PER_DAY / SPEED_UP / 2)


async def _change(fleet: Fleet, number: int) -> bool:
    exceptions = [
        {
            "name": f"slow-endpoint-{each}",
            "option": "progress_timeout",
            "value": "12 s",
            "scope": {"service": "fit-models", "endpoint": f"fit-{each}"},
            "reason": "Long drafts of saddle and reach suggestions need more time.",
        }
        for each in range(EXCEPTIONS)
    ]
    content = {
        "defaults": {"request_timeout": f"{30 + number % 30} s"},
        "exceptions": exceptions,
    }
    change_id = f"change-{number}"
    reply = await fleet.operators.change(fleet.names[0], change_id, content)
    return reply.ok


async def _window(fleet: Fleet, seconds: float) -> Window:
    bytes_before = {name: relay.bytes for name, relay in fleet.relays.items()}
    before = await _usages(fleet)
    started = time.monotonic()
    await anyio.sleep(seconds)
    after = await _usages(fleet)
    elapsed = time.monotonic() - started
    # A process that restarted during the window has no initial reading.
    unchanged = [name for name in after if before[name].pid == after[name].pid]
    names = [name for name in unchanged if name in fleet.names]
    references = [name for name in unchanged if name in fleet.references]
    rates = {
        name: (relay.bytes - bytes_before[name]) / elapsed
        for name, relay in fleet.relays.items()
    }

    def rate(names: list[str], field: str) -> list[float]:
        return [
            (getattr(after[name], field) - getattr(before[name], field)) / elapsed
            for name in names
        ]

    return Window(
        cpu=rate(names, "cpu_s"),
        cpu_reference=rate(references, "cpu_s"),
        resident=[after[name].resident_bytes for name in names],
        resident_reference=[after[name].resident_bytes for name in references],
        peer_bytes=rate(names, "peer_bytes"),
        table_bytes=rates[fleet.names[0]] - rates[fleet.references[0]],
    )


async def _usages(fleet: Fleet) -> dict[str, Usage]:
    usages = {}
    for name in fleet.names + fleet.references:
        try:
            usages[name] = await fleet.usage(name)
        except MeasurementError:
            # A restarting instance does not answer yet. Its placeholder process id
            # differs from any real one, so its readings are left out.
            usages[name] = Usage(-len(usages), 0.0, 0, 0.0, 0)
    return usages


def _fits(found: list[Measurement]) -> dict[str, Fit]:
    fits = {
        f"{name} ({state})": fit_line(_points(found, name, state), target)
        for name, target in TARGETS.items()
        for state in ("rest", "field")
    }
    larger = [each for each in found if each.instances >= ALL_LINKS_FROM]
    if len(larger) > FIT_POINTS:
        points = _points(larger, "bytes", "field")
        name = f"bytes (field, from {ALL_LINKS_FROM} instances)"
        fits[name] = fit_line(points, TARGETS["bytes"])
    return fits


def _points(found: list[Measurement], name: str, state: str) -> list[Point]:
    costs = [
        each.rest.cost() if state == "rest" else each.production_cost()
        for each in found
    ]
    return [
        Point(each.instances, *cost[name])
        for each, cost in zip(found, costs, strict=True)
    ]


def _run_metadata() -> dict:
    return {
        "measured_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "cores": os.cpu_count(),
        "memory_bytes": psutil.virtual_memory().total,
        "load_average": os.getloadavg(),
        "speed_up": SPEED_UP,
    }


def _load(path: Path) -> tuple[dict, list[Measurement]]:
    content = json.loads(path.read_text())
    found = [
        Measurement(each["instances"], Window(**each["rest"]), Window(**each["busy"]))
        for each in content["windows"]
    ]
    return {name: content[name] for name in _run_metadata()}, found


def _write(
    metadata: dict, found: list[Measurement], fits: dict[str, Fit], path: Path
) -> None:
    content = {
        **metadata,
        "units": {"cpu": "cores", "memory": "bytes", "bytes": "bytes a second"},
        "fits": {
            name: {**fit._asdict(), "points": [p._asdict() for p in fit.points]}
            for name, fit in fits.items()
        },
        "windows": [
            {
                "instances": each.instances,
                "rest": each.rest._asdict(),
                "busy": each.busy._asdict(),
            }
            for each in found
        ],
    }
    path.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
