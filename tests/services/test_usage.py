"""Tests of usage reports under failures: one set of counts for each window, in time."""

import math
from types import SimpleNamespace

import anyio
import msgspec
import pytest
from result import Err

from plantainstack.errors import ErrorKind, Failure
from plantainstack.services.duties.holder import StoreDutyLease
from plantainstack.services.usage.counts import COUNT_TABLE, REPORT_TABLE
from plantainstack.services.usage.plugin import Usage
from plantainstack.tasks import TaskRunner
from tests.services.duty_fleet import GAP_S, DutyPlatform
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

WINDOW_S = 5.0
DUE_S = 10.0


class Instance:
    """Run the plug-in of one process until it is killed."""

    def __init__(self, platform, name, number=1, enabled=True):
        self.platform = platform
        self.name = name
        kernel = self.kernel = platform.kernel(name, number)
        self.lease = StoreDutyLease(kernel, "usage_report")
        kernel.plugins["duties"] = SimpleNamespace(
            enabled=lambda kind: enabled,
            holder=lambda duty: self.lease,
            client=kernel.client,
        )
        self.plugin = Usage(kernel)
        self.killed = anyio.Event()

    async def run(self):
        async with anyio.create_task_group() as group:
            await self.plugin.start(TaskRunner(group, self.kernel.clock))
            await self.killed.wait()
            group.cancel_scope.cancel()

    def holds(self):
        return not self.killed.is_set() and self.lease.lease.is_own()


class Day:
    """A platform with some instances that are sent requests at a steady rate."""

    def __init__(self, count=3):
        self.platform = DutyPlatform()
        self.clock = LoopClock()
        self.true_counts = {}
        self.instances = [Instance(self.platform, f"i{n}") for n in range(count)]

    def holder(self):
        found = [each for each in self.instances if each.holds()]
        return found[0] if found else None

    async def until_holder(self):
        while self.holder() is None:
            await anyio.sleep(0.05)
        return self.holder()

    def restart(self, tasks, instance):
        """Kill a process and start another one under the same id."""
        instance.killed.set()
        number = int(instance.kernel.incarnation.rsplit("-", 1)[1]) + 1
        place = self.instances.index(instance)
        self.instances[place] = Instance(self.platform, instance.name, number)
        tasks.start_soon(self.instances[place].run)

    def send_request(self, instance, tenant="t", known_after_s=0.0):
        window = math.floor((self.clock.wall() - known_after_s) / WINDOW_S)
        counts = self.true_counts.setdefault(window, {})
        counts[tenant] = counts.get(tenant, 0) + 1
        instance.plugin.record_begin(tenant, self.clock.now() - known_after_s)

    async def send_requests(self):
        while True:
            await anyio.sleep(0.05)
            for instance in self.instances:
                if not instance.killed.is_set():
                    self.send_request(instance)

    async def run(self, scenario, seconds, traffic=True):
        """Run a scenario beside the traffic; then let all due reports arrive."""
        async with anyio.create_task_group() as tasks:
            for instance in self.instances:
                tasks.start_soon(instance.run)
            async with anyio.create_task_group() as clients:
                await anyio.sleep(16)
                if traffic:
                    clients.start_soon(self.send_requests)
                await scenario(tasks)
                await anyio.sleep(max(0.0, seconds - self.clock.now()))
                clients.cancel_scope.cancel()
            await anyio.sleep(2.5 * DUE_S)
            tasks.cancel_scope.cancel()
        assert self.platform.ledger.broken_rules(GAP_S) == []

    def check(self, late=(), off=()):
        """Check that each window came, in time and with the true counts.

        `late` and `off` are ranges of times; windows that touch one may be late or
        have lost counts.
        """
        reported = self.platform.ledger.accepted_counts()
        first = min(reported)
        assert reported.keys() == set(range(first, max(reported) + 1))
        assert first * WINDOW_S - self.clock.wall() + self.clock.now() < WINDOW_S + 1.0
        assert max(reported) >= max(self.true_counts, default=first)
        arrived = {}
        for call in self.platform.ledger.calls:
            arrived.setdefault(call.content["window"], call.at)
        start = self.clock.wall() - self.clock.now()
        for window, counts in reported.items():
            begins = window * WINDOW_S - start
            ends = begins + WINDOW_S
            if not any(low <= ends + DUE_S and ends <= high for low, high in late):
                assert arrived[window] <= ends + DUE_S
            if not any(low <= ends and begins <= high for low, high in off):
                expected = self.true_counts.get(window, {})
                assert counts.keys() == expected.keys()
                for tenant, count in expected.items():
                    assert abs(counts[tenant] - count) <= 0.05 * count


async def no_scenario(tasks):
    pass


async def test_all_windows_are_reported_without_traffic():
    """Guards against a window without requests that is left out."""
    day = Day()
    await day.run(no_scenario, 45, traffic=False)
    day.check()
    counts = day.platform.ledger.accepted_counts()
    assert len(counts) >= 8
    assert set(map(tuple, counts.values())) == {()}


async def test_counts_are_those_of_all_instances():
    """Guards against counts that are lost, doubled or in another window."""
    day = Day(5)
    await day.run(no_scenario, 50)
    day.check()
    rows = day.platform.rows
    assert len(rows.parts(COUNT_TABLE)) <= 4 * 4
    assert len(rows.range(REPORT_TABLE, "", "", "")) == 1


async def test_requests_that_become_known_late_are_counted():
    """Guards against slow requests that are left out of their window."""
    day = Day()

    async def send_slow(tasks):
        for _ in range(400):
            await anyio.sleep(0.05)
            for instance in day.instances:
                day.send_request(instance, "slow", known_after_s=2.6)

    await day.run(send_slow, 50)
    day.check()


async def test_wall_clocks_that_are_off_change_nothing():
    """Guards against window boundaries by the local wall clock."""
    day = Day(6)
    for instance in day.instances[:2]:
        instance.kernel.clock.skew_s = 2.0

    async def step(tasks):
        day.instances[4].kernel.clock.skew_s = -2.0

    await day.run(step, 45)
    day.check()


@pytest.mark.parametrize("moment", [0.0, 3.0, 3.41, 3.6])
async def test_holder_killed(moment):
    """Guards against a late window, or a second set of counts, after a kill.

    The moments lie around the fixing and sending of the counts of a window.
    """
    day = Day()

    async def kill(tasks):
        await anyio.sleep(4.0 + moment)
        holder = await day.until_holder()
        day.restart(tasks, holder)

    await day.run(kill, 50)
    # The requests of the killed process since the last window are lost.
    day.check(off=[(14, 26)])


@pytest.mark.parametrize("point", ["write", "written", "fix", "send"])
@pytest.mark.parametrize("seconds", [2.0, 4.0, 15.0])
async def test_holder_paused(point, seconds):
    """Guards against a report of a holder that has been replaced."""
    day = Day()

    async def pause(tasks):
        holder = await day.until_holder()

        async def once(reached):
            if reached == point:
                holder.kernel.client.pause = holder.kernel.store.pause = None
                await anyio.sleep(seconds)

        holder.kernel.client.pause = holder.kernel.store.pause = once

    await day.run(pause, 50)
    # A pause that is shorter than a takeover can still delay a report.
    day.check(off=[(10, 45)], late=[(16, 42)] if seconds < 15.0 else [])


@pytest.mark.parametrize("fault", ["lost", "late", "away"])
async def test_reports_without_an_answer_are_repeated_unchanged(fault):
    """Guards against other counts in a repeated report, and against a lost window."""
    day = Day()

    async def fail(tasks):
        for instance in day.instances:
            instance.kernel.client.fault = fault
        await anyio.sleep(12)
        for instance in day.instances:
            instance.kernel.client.fault = None

    await day.run(fail, 50)
    day.check(late=[(16, 30)] if fault == "away" else [])
    if fault != "away":
        calls = [call.content["window"] for call in day.platform.ledger.calls]
        assert len(calls) > len(set(calls))


async def test_oldest_window_is_sent_first_after_an_outage():
    """Guards against windows that are left behind when the platform is back."""
    day = Day()

    async def refuse(tasks):
        day.platform.ledger.busy = True
        await anyio.sleep(20)
        day.platform.ledger.busy = False

    await day.run(refuse, 60)
    day.check(late=[(16, 37)])
    sent = [
        call.content["window"]
        for call in day.platform.ledger.calls
        if call.status == 200
    ]
    assert sent == sorted(sent)


async def test_holder_dies_between_fixing_and_sending():
    """Guards against counts that the next holder adds up anew."""
    day = Day()

    async def die(tasks):
        holder = await day.until_holder()
        died = anyio.Event()

        async def kill(reached):
            if reached == "send":
                died.set()
                await anyio.sleep_forever()

        holder.kernel.client.pause = kill
        await died.wait()
        # Counts that come after the sums were fixed must not change them.
        day.send_request(day.instances[-1], "late")
        day.restart(tasks, holder)

    await day.run(die, 50)
    day.check(off=[(14, 30)])


async def test_all_instances_killed_in_the_middle_of_a_window():
    """Guards against windows that nobody reports after a restart of everything."""
    day = Day()

    async def kill_all(tasks):
        await anyio.sleep(6.5)
        for instance in list(day.instances):
            day.restart(tasks, instance)

    await day.run(kill_all, 50)
    day.check(off=[(17, 23)])


async def test_instances_killed_before_the_offset_is_known():
    """Guards against a service that never agrees on its windows."""
    day = Day()
    async with anyio.create_task_group() as tasks:
        for instance in day.instances:
            tasks.start_soon(instance.run)
        await anyio.sleep(3)
        for instance in list(day.instances):
            day.restart(tasks, instance)
        await anyio.sleep(30)
        tasks.cancel_scope.cancel()
    assert len(day.platform.ledger.accepted_counts()) >= 4
    day.check()


async def test_store_unreachable_from_the_holder_or_all():
    """Guards against a holder that goes on without its lease, and against a gap."""
    day = Day()

    async def cut_off(tasks):
        await anyio.sleep(4)
        holder = await day.until_holder()
        holder.kernel.store.unavailable = True
        await anyio.sleep(15)
        for instance in day.instances:
            instance.kernel.store.unavailable = True
        await anyio.sleep(8)
        for instance in day.instances:
            instance.kernel.store.unavailable = False

    await day.run(cut_off, 70)
    day.check(off=[(15, 55)], late=[(35, 52)])


async def test_store_calls_that_fail_or_lose_their_answers():
    """Guards against a window that is counted twice or never fixed."""
    day = Day()

    async def fail(tasks):
        for _ in range(40):
            await anyio.sleep(0.7)
            for instance in day.instances:
                fault = day.platform.rng.choice(["lost", "dropped", "down"])
                instance.kernel.store.faults = [fault]

    await day.run(fail, 60)
    day.check(late=[(16, 50)])


@pytest.mark.parametrize("fault", ["lost", "dropped", "down"])
async def test_fixing_without_an_answer(fault):
    """Guards against a holder that takes its own write for that of another for ever."""
    day = Day()

    async def fail(tasks):
        holder = await day.until_holder()

        async def once(reached):
            if reached == "fix":
                holder.kernel.client.pause = holder.kernel.store.pause = None
                holder.kernel.store.faults = [fault]

        holder.kernel.store.pause = once

    await day.run(fail, 40)
    day.check()


async def test_paused_holder_does_not_fix_a_window_again():
    """Guards against counts that a former holder stores over those already sent."""
    day = Day()

    async def pause(tasks):
        former = await day.until_holder()
        windows = []

        async def once(reached):
            if reached == "fix":
                former.kernel.store.pause = None
                # Its counts are read; these come before the next holder reads them.
                windows.append(math.floor((day.clock.wall() - 3.4) / WINDOW_S) - 1)
                name = (COUNT_TABLE, f"{windows[0]}/0", "slow")
                counts = msgspec.msgpack.encode({"slow": 1})
                day.platform.rows.transact({}, {name: counts})
                await anyio.sleep(15)

        former.kernel.store.pause = once
        await anyio.sleep(25)
        assert windows[0] in day.platform.ledger.accepted_counts()
        day.restart(tasks, await day.until_holder())

    await day.run(pause, 60)
    day.check(off=[(10, 60)])


async def test_requests_before_the_offset_is_known_are_counted():
    """Guards against requests of the first window that are lost."""
    day = Day()

    async with anyio.create_task_group() as tasks:
        for instance in day.instances:
            tasks.start_soon(instance.run)
        await anyio.sleep(5.2)
        for instance in day.instances:
            day.send_request(instance)
        await anyio.sleep(20)
        tasks.cancel_scope.cancel()
    day.check()
    first = min(day.platform.ledger.accepted_counts().items())
    assert first[1] == {"t": 3}


async def test_planned_stop_loses_nothing():
    """Guards against counts and reports that a release of the software loses."""
    day = Day()

    async def stop(tasks):
        holder = await day.until_holder()
        holder.plugin.on_drain()
        await anyio.sleep(3)
        day.instances.remove(holder)
        await holder.plugin.stop()
        holder.killed.set()

    await day.run(stop, 50)
    day.check()


async def test_nothing_happens_without_the_duty():
    """Guards against store calls of deployments that report no usage."""
    platform = DutyPlatform()
    instance = Instance(platform, "a", enabled=False)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(instance.run)
        await anyio.sleep(10)
        instance.plugin.record_begin("t", 1.0)
        instance.plugin.on_drain()
        await instance.plugin.stop()
        instance.killed.set()
    store = instance.kernel.store
    assert (store.calls, store.reads) == (0, 0)


async def test_count_rows_are_removed_although_the_holder_changes():
    """Guards against rows that remain for ever after a removal that failed."""
    day = Day()

    async def fail(tasks):
        for _ in range(4):
            holder = await day.until_holder()
            store = holder.kernel.store
            transact = store.transact

            async def without_removals(transaction, transact=transact):
                if any(name.table == COUNT_TABLE for name in transaction.removed):
                    message = "scripted"
                    return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, message))
                return await transact(transaction)

            store.transact = without_removals
            await anyio.sleep(7)
            day.restart(tasks, holder)
            await anyio.sleep(8)

    await day.run(fail, 100)
    left = {int(part.split("/")[0]) for part in day.platform.rows.parts(COUNT_TABLE)}
    reported = max(day.platform.ledger.accepted_counts())
    assert [window for window in sorted(left) if window < reported - 4] == []
