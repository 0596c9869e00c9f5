"""Tests of the plug-in that polls the list and the load of endpoints."""

from types import SimpleNamespace

import anyio
import pytest
from prometheus_client import generate_latest
from result import Err, Ok

from plantainstack.clock import FakeClock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import (
    EngineStatus,
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Priority,
)
from plantainstack.metrics import REGISTRY
from plantainstack.policy.routing import AttemptEnd, RoundRobinRouter, RouteRequest
from plantainstack.services.endpoints import Endpoints
from plantainstack.settings.fleet import FleetConfig
from plantainstack.settings.options import Address
from plantainstack.tasks import TaskRunner

pytestmark = pytest.mark.anyio


def make_record(name, state=InstanceState.LIVE, kind=InstanceKind.ENGINE):
    address = Address("127.0.0.1", 1)
    return InstanceRecord(name, "llm", kind, "bergen-a", address, state)


def make_status(leaving=False):
    return EngineStatus("llm", 1, None, 1, 0, leaving, 0)


class Platform:
    """Instance list with an answer that the test sets."""

    def __init__(self):
        self.answer = Ok([make_record("e1"), make_record("e2")])
        self.instances = self

    async def list(self):
        return self.answer


class Links:
    """Links that serve load reports and count concurrent reads."""

    def __init__(self):
        self.reports = {}
        self.running = self.peak = 0

    def engine(self, record):
        async def status():
            self.running += 1
            self.peak = max(self.peak, self.running)
            await anyio.lowlevel.checkpoint()
            self.running -= 1
            return Ok(self.reports.get(record.id, make_status()))

        return SimpleNamespace(status=status)


class Kernel:
    """Fake kernel with a fake clock."""

    def __init__(self):
        self.clock = FakeClock()
        self.config = FleetConfig.builtin()
        instance = SimpleNamespace(id="entry-1", data_centre="bergen-a")
        self.settings = SimpleNamespace(instance=instance)
        self.plugins = {"platform": Platform(), "links": Links()}
        self.emitted = []

    def plugin(self, name):
        return self.plugins[name]

    def emit(self, event, *args):
        self.emitted.append((event, *args))


@pytest.fixture
def kernel():
    return Kernel()


async def test_last_list_stays_in_use_when_polling_fails(kernel):
    """Guards against an outage of the list that removes all endpoints."""
    plugin = Endpoints(kernel)
    await plugin.poll_list()
    before = plugin.records
    failure = Failure.of(ErrorKind.TABLE_UNAVAILABLE, "down")
    kernel.plugins["platform"].answer = Err(failure)
    await plugin.poll_list()
    assert plugin.records == before != ()


async def test_event_is_emitted_only_for_a_changed_list(kernel):
    """Guards against needless updates of all plug-ins at every poll."""
    plugin = Endpoints(kernel)
    await plugin.poll_list()
    await plugin.poll_list()
    assert len(kernel.emitted) == 1
    leaving = make_record("e2", InstanceState.LEAVING)
    kernel.plugins["platform"].answer = Ok([make_record("e1"), leaving])
    await plugin.poll_list()
    assert kernel.emitted[-1] == ("endpoints", (make_record("e1"), leaving))


async def test_load_polls_are_bounded(kernel):
    """Guards against bursts of load reads that delay requests."""
    records = [make_record(f"e{number:03}") for number in range(100)]
    kernel.plugins["platform"].answer = Ok(records)
    plugin = Endpoints(kernel)
    async with anyio.create_task_group() as tasks:
        await plugin.start(TaskRunner(tasks, kernel.clock))
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert set(plugin.statuses) == {record.id for record in records}
    assert kernel.plugins["links"].peak <= 16


async def test_state_of_the_policies_is_exported(kernel):
    """Guards against queueing whose cause the metrics do not show."""
    plugin = Endpoints(kernel)
    await plugin.poll_list()
    plugin.export_metrics()
    text = generate_latest(REGISTRY).decode()
    assert 'plantainstack_capacity{service="llm"} 16.0' in text
    assert 'plantainstack_ejected_share{service="llm"} 0.0' in text


REQ = RouteRequest("llm", Priority.CALLER, "member", deadline=1e9)


async def work_after_leaving(kernel, plugin, refuses=False):
    """Return the times, in seconds, at which a leaving endpoint still gets work.

    The instance list never shows it as leaving; only its report or a refusal does.
    """
    clock = kernel.clock
    times = []
    async with anyio.create_task_group() as tasks:
        await plugin.start(TaskRunner(tasks, kernel.clock))
        await clock.advance(10)
        if not refuses:
            kernel.plugins["links"].reports["e1"] = make_status(leaving=True)
        left_at = clock.now()
        while clock.now() - left_at < 20:
            await clock.advance(0.1)
            record = plugin.router.choose(REQ, clock.now()).unwrap()
            plugin.router.started(record.id, REQ, clock.now())
            end = AttemptEnd.OK
            if record.id == "e1":
                times.append(clock.now() - left_at)
                end = AttemptEnd.REFUSED if refuses else end
            plugin.router.finished(record.id, REQ, end, clock.now())
        tasks.cancel_scope.cancel()
    return times


async def holds_leaving_bound(kernel, plugin):
    """Return whether a leaving endpoint gets no work after `leaving_bound`."""
    bound = kernel.config.defaults().leaving_bound
    return max(await work_after_leaving(kernel, plugin), default=0.0) <= bound


@pytest.mark.proof("leaving", "list-lag")
async def test_leaving_endpoint_gets_no_work_after_the_bound(kernel):
    """Guards against work for a leaving endpoint that an old list shows as live."""
    assert await holds_leaving_bound(kernel, Endpoints(kernel))


async def test_naive_router_breaks_the_leaving_bound(kernel):
    """Shows that the test above fails with a router that ignores load reports."""
    plugin = Endpoints(kernel)
    plugin.router = RoundRobinRouter()
    assert not await holds_leaving_bound(kernel, plugin)


async def test_refusing_endpoint_is_only_probed(kernel):
    """Guards against attempts on an endpoint that refuses but does not report it."""
    bound = kernel.config.defaults().leaving_bound
    times = await work_after_leaving(kernel, Endpoints(kernel), refuses=True)
    late = [time for time in times if time > bound]
    assert len(late) <= 1 + 15 / (0.75 * bound)
