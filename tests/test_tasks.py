"""Tests of exceptions in the tasks of plug-ins."""

import itertools

import anyio
import pytest

from plantainstack import tasks as tasks_module
from plantainstack.clock import FakeClock
from plantainstack.kernel import Kernel
from plantainstack.plugins import Plugin
from plantainstack.tasks import RESTART_MAX_S, TaskRunner, contained, restart_delay_s
from tests.conftest import task_failures

pytestmark = [pytest.mark.anyio, pytest.mark.task_failures]


async def fail():
    raise ValueError("scripted")


class Other:
    """Count how often an undisturbed task has run."""

    def __init__(self, clock):
        self.clock = clock
        self.runs = 0

    async def run(self):
        while True:
            self.runs += 1
            await self.clock.sleep_until(self.clock.now() + 1.0)


async def test_exception_of_one_task_does_not_end_the_others():
    """Guards against a batch whose exception ends the process."""
    clock = FakeClock()
    other = Other(clock)
    before = task_failures()
    async with anyio.create_task_group() as group:
        tasks = TaskRunner(group, clock)
        tasks.start_soon(other.run)
        tasks.start_soon(fail)
        await anyio.wait_all_tasks_blocked()
        await clock.advance(5.0)
        group.cancel_scope.cancel()
    assert other.runs == 6
    assert task_failures() - before == {"fail": 1}


async def test_loop_is_run_again_after_an_exception_with_a_growing_delay():
    """Guards against a loop that stays away, or fails without a pause."""
    clock = FakeClock()
    begun = []

    async def loop():
        begun.append(clock.now())
        if len(begun) < 10:
            raise ValueError("scripted")
        await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        TaskRunner(group, clock).start_loop(loop)
        await anyio.wait_all_tasks_blocked()
        await clock.advance(60.0)
        group.cancel_scope.cancel()
    gaps = [round(later - before, 3) for before, later in itertools.pairwise(begun)]
    assert gaps == [0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0, 5.0]


def test_delay_of_a_loop_is_bounded_however_often_it_fails():
    """Guards against a power that does not fit into a float."""
    assert restart_delay_s(100_000) == RESTART_MAX_S


async def test_loop_that_returns_is_not_run_again():
    """Guards against a loop that goes on after the plug-in has stopped."""
    runs = []

    async def loop():
        runs.append(1)

    async with anyio.create_task_group() as group:
        TaskRunner(group, FakeClock()).start_loop(loop)
    assert runs == [1]


async def test_exception_of_a_required_task_ends_the_process():
    """Guards against an instance that stays up without its listeners."""

    class Listening(Plugin, register=False):
        name = "listening"

        async def start(self, tasks):
            tasks.required.start_soon(fail)

    kernel = Kernel(None, [Listening])
    with pytest.raises(ExceptionGroup), anyio.fail_after(5.0):
        await kernel.run(handle_signals=False)


async def test_exception_is_logged_with_its_traceback(monkeypatch):
    """Guards against a fault that is contained and cannot be found."""
    events = []

    def event(name, request_id=None, **fields):
        events.append((name, fields))

    monkeypatch.setattr(tasks_module.log, "event", event)
    with contained("some.task", batch="b1"):
        await fail()
    [(name, fields)] = events
    assert name == "task.failed"
    assert (fields["task"], fields["batch"]) == ("some.task", "b1")
    assert "in fail" in fields["traceback"]
    assert "ValueError: scripted" in fields["traceback"]


async def test_cancellation_is_not_taken_for_a_failure():
    """Guards against tasks that survive the end of the process."""
    before = task_failures()
    with anyio.move_on_after(0.01) as scope:
        with contained("some.task"):
            await anyio.sleep_forever()
    assert scope.cancelled_caught
    assert task_failures() == before


async def test_exception_in_the_drain_of_a_plugin_does_not_cut_the_others_short():
    """Guards against requests that are cut since another plug-in failed to drain."""
    drained = []

    class Sound(Plugin, register=False):
        name = "a"

        async def drain(self, deadline):
            drained.append(self.name)

    class Failing(Plugin, register=False):
        name = "b"
        requires = ("a",)

        def on_drain(self):
            raise ValueError("scripted")

        async def drain(self, deadline):
            await fail()

    kernel = Kernel(None, [Sound, Failing])
    kernel.request_stop()
    await kernel.run(handle_signals=False)
    assert drained == ["a"]
