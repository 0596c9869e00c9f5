"""Tests of the fake clock and of deadlines."""

import anyio
import pytest

from plantainstack.clock import FakeClock
from plantainstack.requests import Deadline

pytestmark = pytest.mark.anyio


async def test_sleepers_wake_in_order_of_their_deadlines():
    clock = FakeClock(now=0.0)
    woken = []

    async def sleeper(deadline):
        await clock.sleep_until(deadline)
        woken.append((deadline, clock.now()))

    async with anyio.create_task_group() as tasks:
        for deadline in (3.0, 1.0, 9.0):
            tasks.start_soon(sleeper, deadline)
        await anyio.wait_all_tasks_blocked()
        await clock.advance(5.0)
        assert woken == [(1.0, 1.0), (3.0, 3.0)]
        tasks.cancel_scope.cancel()


def test_wall_clock_correction_does_not_change_a_deadline():
    """Guards against deadlines that depend on corrections of the wall clock."""
    clock = FakeClock(now=0.0)
    deadline = Deadline(clock, 5.0)
    clock.step_wall(60.0)
    assert deadline.remaining() == 5.0
    clock.step_wall(-90.0)
    clock.jump(4.0)
    assert deadline.remaining() == 1.0
