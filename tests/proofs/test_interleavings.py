"""Random interleavings of claim owners, outages, kills and repeated requests.

Every request to the table or the endpoint waits until a rule decides whether it and
its answer are delivered. After each step, no key may have run twice, and no call
reported as `not_run` may have run.
"""

import asyncio
import heapq

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine
from result import Ok

from plantainstack.clock import FakeClock
from plantainstack.errors import Outcome
from plantainstack.interfaces import PlainAnswer, PlainService
from plantainstack.policy.claims import ClaimRules
from plantainstack.services.bookings import Bookings
from tests.fakes import CROSSED, REFUSED, TIMED_OUT, UNAVAILABLE, UNKNOWN, FakeTable
from tests.proofs.test_guards import naive_claim, naive_decide, naive_stage, naive_write
from tests.services.owners import Fleet, Owner

OWNERS = 3
SETTLING_STEPS = 40
FATES = st.sampled_from(["ok", "ok", "ok", "down", "lost", "dropped", "late"])


async def settle():
    """Run the event loop for enough iterations that all tasks are blocked."""
    for _ in range(SETTLING_STEPS):
        await asyncio.sleep(0)


class QuickClock(FakeClock):
    """Fake clock without `wait_all_tasks_blocked`, which sleeps 0.1 s per call."""

    async def advance(self, seconds):
        end = self._now + seconds
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            event.set()
            await settle()
        self._now = end


class Pending:
    """Request in transit; `effect` runs once, when the request is delivered."""

    def __init__(self, owner, effect):
        self.owner = owner
        self.effect = effect
        self.fate = asyncio.get_running_loop().create_future()


class OwnersTable(FakeTable):
    """Client of the shared table for one owner, over the simulated network."""

    def __init__(self, machine, owner):
        self.machine, self.owner = machine, owner
        self.shared = machine.fleet.table

    async def read(self, keys):
        fate = await self.machine.pend(self.owner, None)
        if fate != "ok":
            return UNAVAILABLE
        return Ok({key: self.shared._row(key) for key in keys})

    async def scan(self, prefix, after="", limit=1000):
        return UNAVAILABLE

    async def commit(self, mutations):
        def effect():
            return [self.shared.apply(mutation) for mutation in mutations]

        fate = await self.machine.pend(self.owner, effect)
        if fate == "down":
            return UNAVAILABLE
        return Ok(fate) if isinstance(fate, list) else UNKNOWN


class OwnersPlain(PlainService):
    """Client of the shared endpoint for one owner, over the simulated network."""

    def __init__(self, machine, owner):
        self.machine, self.owner = machine, owner

    async def call(self, req, deadline):
        call_id = dict(req.headers)["X-Call"]

        def effect():
            self.machine.runs.append((req.body, call_id))
            return [Ok(PlainAnswer(201, [], b"for " + req.body))]

        fate = await self.machine.pend(self.owner, effect)
        if fate == "down":
            return REFUSED
        if fate == "dropped":
            return CROSSED
        return fate[0] if isinstance(fate, list) else TIMED_OUT


class Interleavings(RuleBasedStateMachine):
    """Drive several owners with one event loop that runs only within rules."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.pending, self.late, self.runs, self.told = [], [], [], []
        self.dead, self.tasks = set(), []
        self.fleet = Fleet()
        self.fleet.clock = QuickClock()
        self.run(self.start())

    def run(self, work):
        self.loop.run_until_complete(work)
        self.loop.run_until_complete(settle())

    async def start(self):
        for number in range(OWNERS):
            owner = Owner(self.fleet, f"entry-{number}")
            owner.kernel.plugin("platform").table = OwnersTable(self, owner)
            owner.kernel.plugin("links").fake_plain = OwnersPlain(self, owner)
            self.fleet.owners.append(owner)
            started = self.loop.create_future()
            started.started = lambda fut=started: fut.set_result(None)
            self.tasks.append(self.loop.create_task(owner.run(task_status=started)))
            await started

    async def pend(self, owner, effect):
        pending = Pending(owner, effect)
        if owner not in self.dead:
            self.pending.append(pending)
        return await pending.fate

    @rule(number=st.integers(0, OWNERS - 1), key=st.sampled_from("ab"))
    def call(self, number, key):
        owner = self.fleet.owners[number]
        call_id = f"call-{len(self.tasks)}"

        async def keep():
            result = await owner.call(key.encode(), key, call_id=call_id)
            if owner not in self.dead:
                self.told.append((key.encode(), call_id, result))

        async def send():
            self.tasks.append(self.loop.create_task(keep()))

        if owner not in self.dead:
            self.run(send())

    @rule(index=st.integers(0, 20), fate=FATES)
    def decide(self, index, fate):
        if not self.pending:
            return
        chosen = self.pending.pop(index % len(self.pending))
        effect = chosen.effect or (lambda: "ok")
        if fate == "late":
            self.late.append(effect)
        outcome = effect() if fate in ("ok", "lost") else None
        if chosen.owner not in self.dead:
            chosen.fate.set_result(outcome if fate == "ok" else fate)
        self.run(settle())

    @rule()
    def deliver_late(self):
        if self.late:
            self.late.pop(0)()

    @rule(seconds=st.sampled_from([0.1, 0.6, 6.0]))
    def pass_time(self, seconds):
        self.run(self.fleet.clock.advance(seconds))
        for owner in self.fleet.owners:
            owner.kernel.pause.check()
            owner.kernel.pause.clear()

    @rule(number=st.integers(0, OWNERS - 1), dies=st.booleans())
    def lose_member(self, number, dies):
        """Remove an instance that has died, or that only seems to have."""
        owner = self.fleet.owners[number]
        self.fleet.network.pop(owner.name, None)
        if dies and len(self.dead) < OWNERS - 1:
            self.dead.add(owner)

    @rule(number=st.integers(0, OWNERS - 1))
    def rejoin(self, number):
        owner = self.fleet.owners[number]
        if owner not in self.dead:
            self.fleet.network[owner.name] = owner.peers

    @invariant()
    def guarantees_hold(self):
        bodies = [body for body, _ in self.runs]
        assert len(bodies) == len(set(bodies)), "a key ran twice"
        ran = {call_id for _, call_id in self.runs}
        for body, call_id, result in self.told:
            if result.is_ok():
                assert result.ok_value.answer.body == b"for " + body
            elif result.err_value.outcome is Outcome.NOT_RUN:
                assert call_id not in ran, "a call ran that was told not_run"

    def teardown(self):
        while self.pending or self.late:
            self.decide(0, "ok")
            self.deliver_late()
        self.guarantees_hold()
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(settle())
        self.loop.close()


def check(examples, phases=tuple(Phase)):
    options = settings(
        max_examples=examples,
        stateful_step_count=40,
        derandomize=True,
        database=None,
        deadline=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    run_machine(Interleavings, settings=options)


@pytest.mark.proof("not-run", "killed")
@pytest.mark.proof("not-run", "race")
@pytest.mark.proof("not-run", "answer-lost")
@pytest.mark.proof("not-run", "store-down")
@pytest.mark.proof("at-most-once", "killed")
@pytest.mark.proof("at-most-once", "race")
@pytest.mark.proof("at-most-once", "answer-lost")
@pytest.mark.proof("at-most-once", "store-down")
def test_guarantees_hold_in_random_interleavings():
    check(100)


@pytest.mark.parametrize(
    ("owner", "guard", "naive"),
    [
        (ClaimRules, "decide", naive_decide),
        (ClaimRules, "stage", naive_stage),
        (Bookings, "_write", naive_write),
        (Bookings, "_claim", naive_claim),
    ],
)
def test_random_interleavings_violate_guarantees_without_the_guard(
    owner, guard, naive, monkeypatch
):
    monkeypatch.setattr(owner, guard, naive)
    with pytest.raises(AssertionError, match="ran"):
        check(400, (Phase.generate,))
