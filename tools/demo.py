"""Run a small fleet with stand-ins on loopback and check the guarantees.

The demo sends calls and runs a training step while it changes the configuration,
publishes a model version and kills an entry instance. It exits with status 1 if a
guarantee was broken or the demo did not finish.
"""

import shutil
import signal
import sys
import tempfile
import time
import uuid
from collections import Counter
from pathlib import Path

import anyio
import click

from tools.demo_fleet import ENDPOINTS, LATEST_VERSION, TRAINER_MODEL, DemoError, Fleet
from tools.demo_traffic import BOOKED, CALL_KINDS, NOT_RUN, Traffic

TOTAL_LIMIT_S = 52.0
STEP_AT_S = 2.0
CHANGE_AT_S = 3.0
PUBLISH_AT_S = 4.5
KILL_AT_S = 8.0
TRAFFIC_S = 14.0
STEP_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.1
IN_FORCE_BOUND_S = 7.0
CALL_NAMES = tuple(kind.name for kind in CALL_KINDS)
KILLED_ENTRY = "entry-2"
CONFIG_ENTRY = "entry-1"
CONFIG_CHANGE = {
    "defaults": {"progress_timeout": "6 s"},
    "exceptions": [
        {
            "name": "lookups-repeatable",
            "option": "max_attempts",
            "value": "4",
            "scope": {"service": "tillatelse-app"},
            "reason": "Contractors wait at the hydrant, and look-ups are cheap.",
        }
    ],
}


class Demo:
    """Run the scenario of the demo and collect its results."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.traffic = Traffic(fleet)
        self._started = time.monotonic()
        self._accepted_at = 0.0
        self._accepted_version: int | None = None
        self.in_force_s: dict[str, float] = {}
        self._last_versions: dict[str, int] = {}
        self.steps: list[dict] = []
        self._idle_s = 0.0
        self.runs: Counter[str] = Counter()
        self.engines: dict[str, dict] = {}
        self.violations: list[str] = []

    async def run(self) -> None:
        """Start all processes, send traffic and run the scenario."""
        self._print_progress("starting 14 stand-ins and 3 entry instances")
        await self.fleet.start()
        self._print_progress("all processes are ready; traffic starts")
        begin = time.monotonic()
        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as watchers:
                watchers.start_soon(self._watch_versions)
                tasks.start_soon(self.traffic.run)
                await self._run_scenario(begin)
                self.traffic.stop()
                self._print_progress(
                    "traffic stopped; waiting for open calls and the training step"
                )
                await self._wait_for_step()
                watchers.cancel_scope.cancel()
        self.runs = await self.traffic.runs()
        for each in ENDPOINTS:
            if each.kind == "engine":
                self.engines[each.name] = await self.fleet.state(each.name)
        state = await self.fleet.state("trainer")
        self.steps = state.get("steps", [])
        self._idle_s = state.get("idle_s", 0.0)

    async def _run_scenario(self, begin: float) -> None:
        await _sleep_until(begin + STEP_AT_S)
        await self.fleet.request_steps(1)
        self._print_progress("the trainer opens a step of 8 groups with 4 samples each")
        await _sleep_until(begin + CHANGE_AT_S)
        await self._change_config()
        await _sleep_until(begin + PUBLISH_AT_S)
        await self.fleet.publish(TRAINER_MODEL, LATEST_VERSION + 1)
        self._print_progress(
            f"version {LATEST_VERSION + 1} of {TRAINER_MODEL} is published"
        )
        await _sleep_until(begin + KILL_AT_S)
        self.fleet.kill_entry(KILLED_ENTRY)
        self._print_progress(f"{KILLED_ENTRY} is killed with SIGKILL")
        await _sleep_until(begin + TRAFFIC_S)

    async def _change_config(self) -> None:
        change_id = uuid.uuid4().hex
        reply = await self.fleet.operators.change(
            CONFIG_ENTRY, change_id, CONFIG_CHANGE
        )
        if not reply.ok:
            self.violations.append(
                f"the configuration change was refused: {reply.content}"
            )
            return
        self._accepted_at = time.monotonic()
        self._accepted_version = reply.content["version"]
        self._print_progress(
            f"{CONFIG_ENTRY} accepted configuration {self._accepted_version}"
        )

    async def _watch_versions(self) -> None:
        while True:
            for name in self.fleet.live_entries():
                version = await self.fleet.operators.version(name)
                if version is not None:
                    self.record_version(name, version)
            await anyio.sleep(POLL_INTERVAL_S)

    def record_version(self, name: str, version: int) -> None:
        """Record the configuration version that an instance reports.

        A version lower than the last one counts as a violation.
        """
        if version < self._last_versions.get(name, 0):
            self.violations.append(f"{name} reverted to configuration {version}")
        self._last_versions[name] = version
        if self._accepted_version is not None and version >= self._accepted_version:
            self.in_force_s.setdefault(name, time.monotonic() - self._accepted_at)

    async def _wait_for_step(self) -> None:
        with anyio.move_on_after(STEP_LIMIT_S):
            while not (await self.fleet.state("trainer")).get("steps"):
                await anyio.sleep(POLL_INTERVAL_S)

    def report(self) -> bool:
        """Print the results and return whether every guarantee was kept."""
        click.echo("")
        self._report_answers()
        self._report_bookings()
        self._report_config()
        self._report_steps()
        self._report_engines()
        self.violations += [
            f"{name} exited unexpectedly"
            for name in self.fleet.processes.ended()
            if name not in self.fleet.killed
        ]
        for problem in self.violations:
            click.echo(f"BROKEN: {problem}")
        if not self.violations:
            click.echo("every guarantee was kept")
        return not self.violations

    def _report_answers(self) -> None:
        traffic = self.traffic
        for name, sent in traffic.sent.items():
            click.echo(f"{name}s: {sent} sent, {traffic.on_time[name]} on time")
            if traffic.on_time[name] == 0:
                self.violations.append(f"no {name} was answered on time")
        for error, count in sorted(traffic.errors.items()):
            click.echo(f"  failed attempts, {error}: {count}")
        self.violations += [
            f"wrong answer to {wrong}" for wrong in traffic.wrong_answers
        ]

    def _report_bookings(self) -> None:
        outcomes = self.traffic.booking_outcomes
        counts = ", ".join(
            f"{n} {outcome}" for outcome, n in Counter(outcomes.values()).items()
        )
        click.echo(
            f"bookings: {len(outcomes)} sent, {self.traffic.booking_retries} repeats "
            f"with the same key, {sum(self.runs.values())} runs; outcomes: {counts}"
        )
        for reference, outcome in outcomes.items():
            runs = self.runs[reference]
            if runs > 1:
                self.violations.append(f"booking {reference} ran {runs} times")
            if outcome == BOOKED and runs == 0:
                self.violations.append(f"booking {reference} was confirmed but lost")
            if outcome == NOT_RUN and runs > 0:
                self.violations.append(
                    f"booking {reference} ran although its outcome was not_run"
                )

    def _report_config(self) -> None:
        for name, seconds in sorted(self.in_force_s.items()):
            click.echo(f"configuration in force on {name} after {seconds:.2f} s")
            if seconds > IN_FORCE_BOUND_S:
                self.violations.append(
                    f"the configuration change took {seconds:.1f} s on {name}"
                )
        for name in self.fleet.live_entries():
            if name not in self.in_force_s:
                self.violations.append(
                    f"the configuration change never came into force on {name}"
                )

    def _report_steps(self) -> None:
        if not self.steps:
            self.violations.append("the trainer completed no step")
        for step in self.steps:
            if "failed" in step:
                self.violations.append(f"{step['step']} failed: {step['failed']}")
            else:
                self._report_step(step)
        click.echo(f"trainer idle for {self._idle_s:.2f} s")

    def _report_step(self, step: dict) -> None:
        samples = step["samples"]
        versions = Counter(tuple(each["versions"]) for each in samples)
        names = [f"{n} of {list(found)}" for found, n in sorted(versions.items())]
        staleness = [each["staleness"] or 0 for each in samples]
        click.echo(
            f"{step['step']}: {len(samples)} of {step['expected']} samples, by "
            f"versions: {', '.join(names)}; newest is {step['newest_version']}; "
            f"staleness mean {sum(staleness) / max(1, len(samples)):.2f}, "
            f"max {max(staleness, default=0)}"
        )
        positions = {(each["group"], each["index"]) for each in samples}
        checks = {
            "a sample was delivered twice": len(positions) == len(samples),
            "samples are missing": len(samples) == step["expected"],
            "a sample names no version": all(each["versions"] for each in samples),
            "a sample exceeds the version bound": max(staleness, default=0) <= 1,
            "a second fetch returned different samples": step[
                "same_when_fetched_again"
            ],
        }
        self.violations += [
            f"{step['step']}: {text}" for text, ok in checks.items() if not ok
        ]

    def _report_engines(self) -> None:
        for name, state in self.engines.items():
            orders = len(state.get("orders", []))
            version = state.get("version")
            click.echo(f"{name} serves version {version} after {orders} version orders")

    def _print_progress(self, text: str) -> None:
        click.echo(f"[{time.monotonic() - self._started:5.1f} s] {text}")


async def _sleep_until(deadline: float) -> None:
    await anyio.sleep(max(0.0, deadline - time.monotonic()))


async def _run_demo(fleet: Fleet) -> bool:
    demo = Demo(fleet)
    try:
        with anyio.fail_after(TOTAL_LIMIT_S):
            await demo.run()
    except DemoError as exc:
        click.echo(exc)
        return False
    except TimeoutError:
        click.echo(f"the demo did not finish within {TOTAL_LIMIT_S:.0f} s")
        return False
    return demo.report()


def _exit_on_signal(number, frame) -> None:
    sys.exit(128 + number)


def main() -> None:
    """Run the demo in a temporary directory, which is kept after a failure."""
    signal.signal(signal.SIGTERM, _exit_on_signal)
    directory = Path(tempfile.mkdtemp(prefix="plantainstack-demo-"))
    fleet = Fleet(directory)
    passed = False
    try:
        passed = anyio.run(_run_demo, fleet)
    finally:
        killed = fleet.processes.stop_all()
        if killed:
            click.echo(f"did not stop on SIGTERM and were killed: {', '.join(killed)}")
        if passed:
            shutil.rmtree(directory)
        else:
            click.echo(f"logs are in {directory}")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
