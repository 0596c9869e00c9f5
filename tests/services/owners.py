"""Instances that share one fake table of claims, for tests of bookings."""

import contextlib
import itertools
from types import SimpleNamespace

import anyio
from result import Ok

from plantainstack.clock import FakeClock
from plantainstack.errors import Outcome
from plantainstack.interfaces import PlainAnswer, PlainRequest, Priority
from plantainstack.requests import RequestContext
from plantainstack.services.bookings import Bookings
from plantainstack.services.dispatch import AttemptLog, Dispatch
from plantainstack.tasks import TaskRunner
from tests.fakes import (
    PLATFORM_FAKES,
    FakeObjects,
    FakePlain,
    FakeTable,
    serving_kernel,
)


class Owner:
    """Run the bookings plug-in of one instance, the owner of the claims it makes."""

    def __init__(self, fleet, name):
        settings = SimpleNamespace(
            instance=SimpleNamespace(id=name, data_centre="dc"),
        )
        plugins = (*PLATFORM_FAKES, Dispatch, Bookings)
        self.fleet = fleet
        self.name = name
        self.kernel = serving_kernel(fleet.clock, settings, plugins)
        platform = self.kernel.plugin("platform")
        platform.table, platform.objects = fleet.table, fleet.objects
        self.kernel.plugin("links").fake_plain = fleet.plain
        self.peers = self.kernel.plugin("peers")
        self.peers.network = fleet.network
        self.kernel.plugin("membership").members = fleet.network
        self.bookings = self.kernel.plugin("bookings")
        self.scope = None

    async def run(self, *, task_status):
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                await self.bookings.start(TaskRunner(tasks, self.fleet.clock))
                self.fleet.network[self.name] = self.peers
                task_status.started()
                await anyio.sleep_forever()

    def kill(self):
        """Cancel the instance at once and remove it from the membership."""
        self.fleet.network.pop(self.name, None)
        self.scope.cancel()

    async def call(self, body=b"book", key="k1", seconds=5.0, call_id=None):
        clock = self.fleet.clock
        now = clock.now()
        call_id = call_id or f"call-{next(self.fleet.numbers)}"
        ctx = RequestContext(
            call_id,
            "member",
            "booking-app",
            Priority.CALLER,
            now,
            now + seconds,
            key,
        )
        req = PlainRequest(
            f"{call_id}-attempt", "POST", "/book", [("X-Call", call_id)], body
        )
        return await self.bookings.call(ctx, req, AttemptLog())


class Fleet:
    """Hold the instances with the clock, table, objects and network they share."""

    def __init__(self):
        self.clock = FakeClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.plain = FakePlain()
        self.network = {}
        self.numbers = itertools.count(1)
        self.owners = []

    def runs(self):
        """Return the bodies of the requests that the service ran, one per run."""
        return [req.body for req in self.plain.runs]

    def claim(self):
        """Return the only stored claim; fail if there is not exactly one."""
        (row,) = self.table.rows.values()
        return row.value


@contextlib.asynccontextmanager
async def fleet_of(count):
    """Run a fleet with `count` instances."""
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            owner = Owner(fleet, f"entry-{number}")
            fleet.owners.append(owner)
            await tasks.start(owner.run)
        try:
            yield fleet, *fleet.owners
        finally:
            tasks.cancel_scope.cancel()


async def start_call(tasks, call, results):
    """Start a call in the background and wait until all tasks are blocked."""

    async def keep():
        results.append(await call)

    tasks.start_soon(keep)
    await anyio.wait_all_tasks_blocked()


def booked(text=b"booked"):
    """Return a scripted response of the booked service."""
    return Ok(PlainAnswer(201, [], text))


def outcome_of(result):
    """Return `ok` and RAN for a success, else the error kind and the outcome."""
    if result.is_ok():
        return "ok", Outcome.RAN
    return result.err_value.kind, result.err_value.outcome
