"""Plug-in `steps`: acquires steps, runs them, and hands them over on shutdown."""

import itertools
import random
from typing import Any

from result import Result

from plantainstack import log
from plantainstack.errors import Failure
from plantainstack.interfaces import Priority, Row
from plantainstack.plugins import Plugin
from plantainstack.policy.leases import rank, restarted
from plantainstack.policy.samples import (
    SHARDS,
    StepKeys,
    StepRecord,
    StepState,
    lease_prefix,
)
from plantainstack.services.step_dependencies import StepDependencies, scan_all
from plantainstack.services.step_runner import StepRunner
from plantainstack.services.step_service import StepService
from plantainstack.services.weights import live_members
from plantainstack.settings.fleet import FleetOptions, Scope
from plantainstack.tasks import record_exception

SCANNERS = 3
DISCOVERY_INTERVAL_S = 1.0
DISCOVERY_JITTER = 0.2
# The first-ranked scanner of a shard scans it at every interval, the others at every
# fourth.
STANDBY_ROUNDS = 4
PURGE_INTERVAL_S = 3600.0
# At shutdown, running samples have the grace period to finish. Finished samples then
# have the commit period to be committed.
HAND_OVER_GRACE_S = 20.0
HAND_OVER_COMMIT_S = 10.0


class Steps(Plugin):
    """Acquire the leases of steps, and run the steps as their owner."""

    name = "steps"
    requires = ("platform", "leases", "weights", "dispatch", "membership")

    def __init__(self, kernel):
        super().__init__(kernel)
        self.step_service: StepService | None = None
        self.runners: dict[str, StepRunner] = {}
        self._deps: StepDependencies | None = None
        self._tasks = None
        self._draining = False
        self._random = random.Random(kernel.incarnation)

    async def start(self, tasks) -> None:
        """Create the step service, and start to scan for steps without an owner."""
        platform = self.kernel.plugin("platform")
        self._tasks = tasks
        self._deps = StepDependencies(
            table=platform.table,
            objects=platform.objects,
            scorer=platform.scorer,
            generate=self.kernel.plugin("dispatch").generate,
            heads=self.kernel.plugin("weights").heads,
            leases=self.kernel.plugin("leases").client,
            clock=self.kernel.clock,
            trace=self.kernel.trace,
            options=self._options,
            may_hedge=self._may_hedge,
        )
        self.step_service = StepService(self._deps)
        tasks.start_loop(self._discover)
        tasks.start_loop(self._purge)

    async def overview(self, trainer: str) -> Result[list[dict[str, Any]], Failure]:
        """Describe a trainer's steps for operators, or all if `trainer` is empty."""
        return await self.step_service.overview(trainer)

    def leases(self) -> list[dict[str, Any]]:
        """Return name, holder and fencing token of each lease held by this process."""
        held = self._deps.leases.tracker.all_held()
        holder = self._deps.leases.tracker.holder
        return [
            {"name": lease.key, "holder": holder, "fence": lease.fence}
            for lease in held
        ]

    def on_drain(self) -> None:
        """Stop acquiring steps, and start to hand over those in progress."""
        self._draining = True
        for runner in self.runners.values():
            runner.hand_over(self.kernel.clock.now() + HAND_OVER_GRACE_S)

    async def drain(self, deadline: float) -> None:
        """Wait for the hand-over of all steps, at most 30 s or until the deadline."""
        clock = self.kernel.clock
        longest = HAND_OVER_GRACE_S + HAND_OVER_COMMIT_S
        limit = min(deadline, clock.now() + longest)
        while self.runners and clock.now() < limit:
            await clock.sleep_until(clock.now() + 0.05)

    def _options(self, record: StepRecord) -> FleetOptions:
        scope = Scope(service=record.model, trainer=record.trainer)
        return self.kernel.config.scoped(scope)

    def _may_hedge(self, record: StepRecord) -> bool:
        """Request a hedged attempt from the retry budget shared by all attempts."""
        clock = self.kernel.clock
        deadline = clock.deadline_from_wall(record.deadline)
        retries = self.kernel.plugin("dispatch").retries
        at = retries.retry_at(
            record.model, 1, deadline, clock.now(), Priority.ROLLOUT, hedge=True
        )
        return at is not None

    async def _purge(self) -> None:
        clock = self.kernel.clock
        while True:
            await clock.sleep_until(clock.now() + PURGE_INTERVAL_S)
            members = live_members(self.kernel) | {self.kernel.settings.instance.id}
            if rank("steps/purge", members)[0] == self.kernel.settings.instance.id:
                await self.step_service.purge()

    async def _discover(self) -> None:
        clock = self.kernel.clock
        for round_number in itertools.count():
            if self._draining:
                return
            for shard, position in self._shards():
                if position == 0 or round_number % STANDBY_ROUNDS == 0:
                    await self._scan_shard(shard, position)
            jitter = self._random.uniform(1 - DISCOVERY_JITTER, 1 + DISCOVERY_JITTER)
            await clock.sleep_until(clock.now() + DISCOVERY_INTERVAL_S * jitter)

    def _shards(self) -> list[tuple[int, int]]:
        """Return the shards that this instance scans, with its rank for each."""
        me = self.kernel.settings.instance.id
        members = {me} | live_members(self.kernel)
        ranked = [(shard, rank(f"steps/{shard}", members)) for shard in range(SHARDS)]
        return [
            (shard, order.index(me))
            for shard, order in ranked
            if me in order[:SCANNERS]
        ]

    def _incarnations(self) -> dict[str, str]:
        members = self.kernel.plugin("membership").view().members.values()
        return {member.id: member.incarnation for member in members}

    async def _scan_shard(self, shard: int, position: int) -> None:
        rows = await scan_all(self._deps.table, lease_prefix(shard))
        if rows.is_err():
            return
        for row in rows.unwrap():
            await self._acquire_if_available(row, position)

    async def _acquire_if_available(self, row: Row, position: int) -> None:
        tracker = self._deps.leases.tracker
        now = self.kernel.clock.now()
        tracker.observe(row, now)
        phase = row.value["data"].get("phase")
        if phase == StepState.SEALED or row.key in self.runners or self._draining:
            return
        holder_restarted = restarted(row.value["holder"], self._incarnations())
        takeover_delay = position * tracker.terms.duration
        if tracker.seen_for(row, now) < takeover_delay or not (
            holder_restarted or tracker.may_acquire(row, now)
        ):
            return
        keys = StepKeys(*row.key.rsplit("/", 2)[1:])
        acquired = await self._deps.leases.acquire(
            row.key, keys.fence, holder_gone=holder_restarted
        )
        if acquired.is_ok():
            runner = self.runners[row.key] = StepRunner(self._deps, keys)
            if self._draining:
                runner.hand_over(self.kernel.clock.now())
            self._tasks.start_soon(self._run, row.key)

    async def _run(self, key: str) -> None:
        try:
            await self.runners[key].run()
        except Exception as exc:
            # An uncaught exception would end the process, and then that of each
            # later owner. Without a release, the lease has to expire first, which
            # delays the next attempt.
            record_exception("Steps._run", exc, key=key)
            log.event("step.failed", key=key, error=repr(exc))
            self._deps.leases.tracker.drop(key)
        finally:
            del self.runners[key]
