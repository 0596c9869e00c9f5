"""Plug-in `steps`: owns steps under leases and answers trainers."""

import contextlib
import itertools
import random
import statistics
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import anyio
import msgspec
import xxhash
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.platform.base import (
    Check,
    GenerateRequest,
    Mutation,
    MutationOutcome,
    ObjectStore,
    Part,
    Priority,
    Row,
    Scorer,
    TableService,
    Write,
)
from plantainstack.plugins import Plugin
from plantainstack.policy.freshness import FreshnessWait
from plantainstack.policy.leases import rank, restarted
from plantainstack.policy.samples import (
    SHARDS,
    Bound,
    Draft,
    Guard,
    Labels,
    ReportedLabels,
    SampleKey,
    StepKeys,
    StepProgress,
    StepRecord,
    StepState,
    StepWrites,
    lease_prefix,
    oldest,
)
from plantainstack.policy.stragglers import Stragglers
from plantainstack.requests import RequestContext, new_id
from plantainstack.services.leases import LeaseClient
from plantainstack.services.weights import WeightHeads, head_version, live_members
from plantainstack.settings.fleet import FleetOptions, Scope
from plantainstack.trace import TraceRing

SCAN_LIMIT = 1000
SCANNERS = 3
DISCOVERY_INTERVAL_S = 1.0
DISCOVERY_JITTER = 0.2
# Only the first of a shard's scanners looks into it at every interval.
STANDBY_TURNS = 4
PURGE_INTERVAL_S = 3600.0
HEAD_INTERVAL_S = 2.0
SUPERVISE_INTERVAL_S = 0.5
BACKOFF_S = 0.5
RUNNING_MAX = 512
COMMIT_BATCH = 128
# A step at the target scale finishes about 11 samples a second. Lingering packs
# about 20 of them into one object, so that a fetch reads about 200 objects.
COMMIT_LINGER_S = 2.0
FETCH_FAN_OUT = 16
SCORE_TIMEOUT_S = 30.0
# Samples that run at the start of a shutdown have this time to finish, and what
# has finished has the time after it to be committed.
HAND_OVER_GRACE_S = 20.0
HAND_OVER_COMMIT_S = 10.0
TRANSITIONS_MAX = 5
OVERVIEW_MAX = 100

Generate = Callable[
    [RequestContext, GenerateRequest], AsyncIterator[Result[Part, Failure]]
]


class Ports(NamedTuple):
    """Hold what a step's owner uses of the outside."""

    table: TableService
    objects: ObjectStore
    scorer: Scorer
    generate: Generate
    heads: WeightHeads
    leases: LeaseClient
    clock: Clock
    trace: TraceRing
    options: Callable[[StepRecord], FleetOptions]
    may_hedge: Callable[[StepRecord], bool] = lambda record: True


class Guards(NamedTuple):
    """Hold the policies that the guarantees rely on."""

    labels: Labels = ReportedLabels()
    bound: Callable[[StepRecord], Bound] = Bound
    writes: Callable[[StepKeys], StepWrites] = StepWrites
    progress: type[StepProgress] = StepProgress
    stragglers: type[Stragglers] = Stragglers


class OpenRequest(NamedTuple):
    """Hold a trainer's request for a step; the deadline is in Unix seconds."""

    step: str
    model: str
    policy_version: int
    version_bound: int
    prompts: list[list[dict[str, str]]]
    samples_per_group: int
    max_tokens: int
    deadline: float

    def digest(self) -> str:
        """Hash what makes two requests the same; a repeat may move its deadline."""
        content = msgspec.json.encode(self._replace(deadline=0.0))
        return xxhash.xxh3_128_hexdigest(content)


async def scan_all(table: TableService, prefix: str) -> Result[list[Row], Failure]:
    """Return all rows of a prefix, read in pages."""
    rows: list[Row] = []
    while True:
        page = await table.scan(prefix, rows[-1].key if rows else "", SCAN_LIMIT)
        if page.is_err():
            return page
        rows += page.unwrap()
        if len(page.unwrap()) < SCAN_LIMIT:
            return Ok(rows)


class _Attempt(NamedTuple):
    key: SampleKey
    request_id: str
    parts: list[Part]
    hedges: int
    scope: anyio.CancelScope


class StepRunner:
    """Complete one step as its owner, for as long as the lease is held."""

    def __init__(self, ports: Ports, keys: StepKeys, guards: Guards = Guards()):  # noqa: B008
        self.ports = ports
        self.keys = keys
        self.guards = guards
        self.writes = guards.writes(keys)
        self.progress: StepProgress | None = None
        self._guard: Guard | None = None
        self._prompts: list[list[dict[str, str]]] = []
        self._scores: dict[str, float] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._stragglers: Stragglers | None = None
        self._fresh: FreshnessWait | None = None
        self._wake = anyio.Event()
        self._handing_over = False
        self._grace_until = 0.0
        self._ended = False
        self._head_due = 0.0

    async def run(self) -> None:
        """Run until the step is sealed, expired, cleaned up, lost or handed over."""
        row = await self._insist(self._read_step)
        if row is None or row.value is None:
            return
        record = StepRecord(**row.value)
        if record.state in (StepState.ACKED, StepState.EXPIRED):
            await self._clean_up()
            return
        if record.state != StepState.OPEN:
            await self._release(record.state)
            return
        if await self._load(record, row.version):
            await self._work()

    def hand_over(self, grace_until: float) -> None:
        """Start no more samples, commit those that finish, and free the lease."""
        self._handing_over = True
        self._grace_until = grace_until
        self._notify()

    async def _load(self, record: StepRecord, step_version: int) -> bool:
        held = self._held()
        if held is None:
            return False
        self._guard = Guard(held.fence_version, step_version)
        head = await self._insist(lambda: self.ports.heads.read(record.model))
        rows = await self._insist(self._scan_samples)
        content = await self._insist(lambda: self.ports.objects.get(record.prompts))
        if head is None or rows is None or content is None:
            return False
        self._prompts = msgspec.json.decode(content)
        self.progress = self.guards.progress(
            record, self.guards.bound(record), head_version(head)
        )
        self.progress.load(rows)
        self._stragglers = self.guards.stragglers(len(self.progress.keys))
        options = self.ports.options(record)
        self._fresh = FreshnessWait(
            record.groups,
            options.fresh_share,
            record.policy_version,
            record.opened_at + options.fresh_wait,
        )
        log.event(
            "step.owned",
            trainer=record.trainer,
            step=record.step,
            fence=held.fence,
            committed=self.progress.committed_count(),
        )
        return True

    async def _work(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._commit_loop)
            await self._supervise(tasks)
            while not self._ended:
                await self._pause(SUPERVISE_INTERVAL_S)
                await self._supervise(tasks)
            tasks.cancel_scope.cancel()

    async def _supervise(self, tasks) -> None:
        clock = self.ports.clock
        if self._held() is None:
            self._ended = True
            return
        if self._handing_over:
            await self._hand_over()
            return
        await self._refresh_head()
        if clock.wall() >= self.progress.record.deadline:
            await self._finish(StepState.EXPIRED)
        elif self.progress.complete():
            await self._finish(StepState.SEALED)
        else:
            self._start_due(tasks)

    async def _hand_over(self) -> None:
        if self.ports.clock.now() >= self._grace_until:
            for attempt in list(self._attempts.values()):
                attempt.scope.cancel()
        if not self._attempts and not self.progress.drafts(1):
            await self._release(StepState.OPEN)

    async def _refresh_head(self) -> None:
        now = self.ports.clock.now()
        if now < self._head_due:
            return
        self._head_due = now + HEAD_INTERVAL_S
        read = await self.ports.heads.read(self.progress.record.model)
        if read.is_ok():
            self.progress.raise_newest(head_version(read.unwrap()))

    def _start_due(self, tasks) -> None:
        """Start samples that are missing; hedges start only when there are none."""
        now = self.ports.clock.now()
        keys = [
            key
            for key in self.progress.to_generate(now, RUNNING_MAX)
            if not self._waits(key)
        ]
        for key in keys:
            self._start(tasks, key, [])
        if keys or self.progress.running_count() >= RUNNING_MAX:
            return
        for slow_id in self._stragglers.due(now):
            slow = self._attempts.get(slow_id)
            if slow is not None and self.ports.may_hedge(self.progress.record):
                parts = self._resumable(slow.parts)
                hedge_id = self._start(tasks, slow.key, parts, slow.hedges + 1)
                self._trace(slow_id, "hedged", hedge=hedge_id, tokens=_tokens(parts))

    def _waits(self, key: SampleKey) -> bool:
        wall = self.ports.clock.wall()
        return self._fresh.holds(key.group, self.progress.newest, wall)

    def _resumable(self, parts: list[Part]) -> list[Part]:
        """Return the parts from which another engine can go on."""
        usable = all(
            part.version is not None and not self.progress.hopeless(part.version)
            for part in parts
        )
        left = _tokens(parts) < self.progress.record.max_tokens
        return list(parts) if usable and left else []

    def _start(self, tasks, key: SampleKey, parts: list[Part], hedges: int = 0) -> None:
        request_id = new_id()
        now = self.ports.clock.now()
        self.progress.started(key, request_id)
        self._stragglers.started(request_id, now)
        attempt = _Attempt(key, request_id, parts, hedges, anyio.CancelScope())
        self._attempts[request_id] = attempt
        tasks.start_soon(self._run_attempt, attempt)
        return request_id

    async def _run_attempt(self, attempt: "_Attempt") -> None:
        done = False
        with attempt.scope:
            done = await self._collect(attempt)
        del self._attempts[attempt.request_id]
        self._take(attempt, done)
        self._notify()

    async def _collect(self, attempt: "_Attempt") -> bool:
        ctx, req = self._request(attempt)
        async with contextlib.aclosing(self.ports.generate(ctx, req)) as stream:
            async for result in stream:
                if result.is_err():
                    kind = result.unwrap_err().kind
                    self._trace(attempt.request_id, "failed", kind=kind)
                    return False
                part = result.unwrap()
                if self.progress.hopeless(part.version):
                    version = part.version
                    self._trace(attempt.request_id, "over_bound", version=version)
                    return False
                attempt.parts.append(part)
                now = self.ports.clock.now()
                self._stragglers.advanced(attempt.request_id, part.tokens, now)
        return True

    def _request(self, attempt: "_Attempt"):
        record = self.progress.record
        group = attempt.key.group
        # A hedge has a group of its own, because the samples of one group are
        # placed together and the slow engine is the one to be avoided.
        place = f"{group}/{attempt.key.index}/{attempt.hedges}"
        place = place if attempt.hedges else f"{group}"
        ctx = RequestContext(
            request_id=attempt.request_id,
            caller=record.trainer,
            service=record.model,
            priority=Priority.ROLLOUT,
            arrived_at=self.ports.clock.now(),
            deadline=self.ports.clock.deadline_from_wall(record.deadline),
            group=f"{record.trainer}/{record.step}/{place}",
        )
        req = GenerateRequest(
            attempt_id=attempt.request_id,
            model=record.model,
            messages=self._prompts[group],
            max_tokens=record.max_tokens - _tokens(attempt.parts),
            priority=Priority.ROLLOUT,
            seed=xxhash.xxh32_intdigest(self.keys.sample(attempt.key).encode()),
            prefix="".join(part.text for part in attempt.parts),
        )
        return ctx, req

    def _take(self, attempt: "_Attempt", done: bool) -> None:
        now = self.ports.clock.now()
        self._stragglers.ended(attempt.request_id, done, now)
        spans = None
        if done:
            spans = self.guards.labels.spans(attempt.parts, self.progress.newest)
        if spans is None:
            self.progress.failed(attempt.key, attempt.request_id, now)
            if done:
                self._trace(attempt.request_id, "unlabelled")
            return
        text = "".join(part.text for part in attempt.parts)
        draft = Draft(attempt.key, attempt.request_id, text, spans)
        if self.progress.finished(draft, now):
            self._cancel_others(attempt.key)

    def _cancel_others(self, key: SampleKey) -> None:
        for other in list(self._attempts.values()):
            if other.key == key:
                other.scope.cancel()

    async def _commit_loop(self) -> None:
        while True:
            if not self.progress.drafts(1):
                await self._pause(SUPERVISE_INTERVAL_S)
                continue
            await self._linger()
            committed = await self._commit_batch(self.progress.drafts(COMMIT_BATCH))
            self._notify()
            if not committed:
                await self._sleep(BACKOFF_S)

    async def _linger(self) -> None:
        """Let a batch gather, unless nothing more is to be expected soon."""
        until = self.ports.clock.now() + COMMIT_LINGER_S
        while len(self.progress.drafts(COMMIT_BATCH)) < COMMIT_BATCH:
            left = until - self.ports.clock.now()
            if left <= 0 or self._handing_over or not self.progress.running_count():
                return
            await self._pause(left)

    async def _commit_batch(self, drafts: list[Draft]) -> bool:
        if not await self._score(drafts):
            return False
        drafts = [draft for draft in drafts if self.progress.is_draft(draft)]
        if not drafts:
            return True
        name = f"samples/{self.keys.trainer}/{self.keys.step}/{new_id()}"
        content = msgspec.json.encode([draft.text for draft in drafts])
        stored = await self.ports.objects.put(name, content)
        if stored.is_err() or not self._may_act():
            return False
        mutations = [
            self.writes.insert(
                draft.key,
                self._value(draft, name, place),
                self.progress.row_version(draft.key),
                self._guard,
            )
            for place, draft in enumerate(drafts)
        ]
        committed = await self.ports.table.commit(mutations)
        if committed.is_err():
            return False
        for draft, outcome in zip(drafts, committed.unwrap(), strict=True):
            self._note(draft, outcome)
        return True

    def _value(self, draft: Draft, name: str, place: int) -> dict[str, Any]:
        return {
            "object": name,
            "place": place,
            "spans": [list(span) for span in draft.spans],
            "score": self._scores[draft.request_id],
            "request_id": draft.request_id,
        }

    def _note(self, draft: Draft, outcome: MutationOutcome) -> None:
        if outcome.applied:
            version = self.progress.row_version(draft.key) + 1
            self.progress.committed(draft.key, version, oldest(draft.spans))
            self._trace(draft.request_id, "committed", spans=list(draft.spans))
            self._scores.pop(draft.request_id, None)
            return
        rows = {row.key: row for row in outcome.conflicts}
        if self.keys.fence in rows or self.keys.row in rows:
            self._lose()
            return
        # The row is that of an earlier commit whose answer was lost.
        row = rows[self.keys.sample(draft.key)]
        if row.value is not None:
            self.progress.committed(draft.key, row.version, oldest(row.value["spans"]))
            self._cancel_others(draft.key)

    async def _score(self, drafts: list[Draft]) -> bool:
        unscored = [draft for draft in drafts if draft.request_id not in self._scores]
        if not unscored:
            return True
        record = self.progress.record
        samples = [
            {
                "text": draft.text,
                "messages": self._prompts[draft.key.group],
                "trainer": record.trainer,
                "step": record.step,
                "group": draft.key.group,
                "index": draft.key.index,
            }
            for draft in unscored
        ]
        deadline = self.ports.clock.now() + SCORE_TIMEOUT_S
        scored = await self.ports.scorer.score(samples, deadline)
        if scored.is_err() or len(scored.unwrap()) != len(unscored):
            log.event("step.scorer_failed", step=record.step, samples=len(unscored))
            return False
        for draft, score in zip(unscored, scored.unwrap(), strict=True):
            self._scores[draft.request_id] = score
        return True

    async def _finish(self, state: StepState) -> None:
        """Seal or expire the step; after a failure the next round tries again."""
        held = self._held()
        if held is None or not self._may_act():
            return
        release = self.ports.leases.book.release(held, {"phase": state.value})
        record = self.progress.record
        build = self.writes.seal if state is StepState.SEALED else self.writes.expire
        committed = await self.ports.table.commit([build(record, self._guard, release)])
        if committed.is_err():
            await self._check_finished()
            return
        outcome = committed.unwrap()[0]
        if outcome.applied:
            log.event("step.finished", step=record.step, state=state.value)
            self._lose()
            return
        rows = {row.key: row for row in outcome.conflicts}
        lease_row = rows.pop(self.keys.lease, None)
        if lease_row is not None:
            self.ports.leases.book.conflicted(lease_row)
        if rows:
            self._lose()

    async def _check_finished(self) -> None:
        read = await self._read_step()
        if read.is_ok() and read.unwrap().version != self._guard.step_version:
            self._lose()

    async def _clean_up(self) -> None:
        """Delete the rows of a step that has ended, and its lease last."""
        while True:
            page = await self._insist(
                lambda: self.ports.table.scan(self.keys.samples, "", SCAN_LIMIT)
            )
            if page is None:
                return
            if not page:
                break
            deletes = [
                Mutation(
                    row.key, (Check(row.key, row.version),), (Write(row.key, None),)
                )
                for row in page
            ]
            await self._insist(lambda deletes=deletes: self.ports.table.commit(deletes))
        held = self._held()
        if held is not None:
            self._lose()
            writes = (Write(self.keys.lease, None), Write(self.keys.fence, None))
            checks = (Check(self.keys.fence, held.fence_version),)
            await self.ports.table.commit([Mutation(held.key, checks, writes)])

    async def _release(self, phase: str) -> None:
        held = self._held()
        self._ended = True
        if held is not None:
            await self.ports.leases.release(held, {"phase": StepState(phase).value})

    async def _read_step(self) -> Result[Row, Failure]:
        read = await self.ports.table.read([self.keys.row])
        return read.map(lambda rows: rows[self.keys.row])

    async def _scan_samples(self) -> Result[list[Row], Failure]:
        return await scan_all(self.ports.table, self.keys.samples)

    async def _insist(self, call: Callable[[], Awaitable[Result[Any, Failure]]]):
        """Repeat a call until it succeeds; return None once the lease is lost."""
        while self._held() is not None and not self._handing_over:
            result = await call()
            if result.is_ok():
                return result.unwrap()
            await self._sleep(BACKOFF_S)
        if self._handing_over:
            await self._release(StepState.OPEN)
        return None

    def _held(self):
        return self.ports.leases.book.held(self.keys.lease)

    def _may_act(self) -> bool:
        return self.ports.leases.book.holds(self.keys.lease, self.ports.clock.now())

    def _lose(self) -> None:
        self._ended = True
        self.ports.leases.book.drop(self.keys.lease)
        self._notify()

    def _notify(self) -> None:
        self._wake.set()
        self._wake = anyio.Event()

    async def _pause(self, seconds: float) -> None:
        """Wait for a notification, at most for some seconds."""
        wake = self._wake
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sleep_then, seconds, tasks.cancel_scope.cancel)
            await wake.wait()
            tasks.cancel_scope.cancel()

    async def _sleep_then(self, seconds: float, call: Callable[[], None]) -> None:
        await self._sleep(seconds)
        call()

    async def _sleep(self, seconds: float) -> None:
        await self.ports.clock.sleep_until(self.ports.clock.now() + seconds)

    def _trace(self, request_id: str, event: str, **fields: Any) -> None:
        record = self.progress.record
        metrics.SAMPLE_ATTEMPTS.labels(record.trainer, event).inc()
        self.ports.trace.record(
            request_id,
            f"sample.{event}",
            trainer=record.trainer,
            step=record.step,
            **fields,
        )


class StepDesk:
    """Answer trainers' requests from the table service, on any instance."""

    def __init__(self, ports: Ports, guards: Guards = Guards()):  # noqa: B008
        self.ports = ports
        self.guards = guards

    async def open(self, trainer: str, req: OpenRequest) -> Result[StepRecord, Failure]:
        """Open a step; the same request again returns the same step."""
        keys = StepKeys(trainer, req.step)
        digest = req.digest()
        prompts = f"prompts/{trainer}/{req.step}/{digest}"
        existing = await self._existing(keys, digest)
        if existing is not None:
            return existing
        content = msgspec.json.encode(req.prompts)
        stored = await self.ports.objects.put(prompts, content)
        if stored.is_err():
            return stored
        record = StepRecord(
            trainer=trainer,
            step=req.step,
            model=req.model,
            policy_version=req.policy_version,
            version_bound=req.version_bound,
            groups=len(req.prompts),
            samples_per_group=req.samples_per_group,
            max_tokens=req.max_tokens,
            deadline=req.deadline,
            prompts=prompts,
            digest=digest,
            opened_at=self.ports.clock.wall(),
        )
        committed = await self.ports.table.commit([_opening(keys, record)])
        if committed.is_err():
            if committed.unwrap_err().kind is not ErrorKind.TABLE_OUTCOME_UNKNOWN:
                return committed
            return await self._existing(keys, digest) or committed
        if committed.unwrap()[0].applied:
            log.event("step.opened", trainer=trainer, step=req.step)
            return Ok(record)
        return await self._existing(keys, digest) or _conflict(keys)

    async def status(self, trainer: str, step: str) -> Result[StepRecord, Failure]:
        """Return a step's record."""
        read = await self._read(StepKeys(trainer, step))
        return read.map(lambda found: found[1])

    async def samples(
        self, trainer: str, step: str
    ) -> Result[list[dict[str, Any]], Failure]:
        """Return the samples of a sealed step; the first call fixes the list."""
        keys = StepKeys(trainer, step)
        for _ in range(TRANSITIONS_MAX):
            read = await self._read(keys)
            if read.is_err():
                return read
            row, record = read.unwrap()
            if record.state == StepState.SEALED:
                failure = await self._first_delivery(keys, row, record)
                if failure is not None:
                    return Err(failure)
            elif record.state == StepState.DELIVERED:
                return await self._delivered(keys, record)
            else:
                return Err(_undeliverable(record))
        return _conflict(keys)

    async def overview(self, trainer: str) -> Result[list[dict[str, Any]], Failure]:
        """Describe steps for operators, of one trainer or of all without a name."""
        prefix = f"step/{trainer}/" if trainer else "step/"
        rows = await scan_all(self.ports.table, prefix)
        if rows.is_err():
            return rows
        records = [StepRecord(**row.value) for row in rows.unwrap()]
        records.sort(key=lambda record: record.opened_at, reverse=True)
        found = []
        for record in records[:OVERVIEW_MAX]:
            committed = await self._committed(record)
            if committed.is_err():
                return committed
            found.append(self._describe(record, committed.unwrap()))
        return Ok(found)

    async def _committed(self, record: StepRecord) -> Result[int, Failure]:
        if record.state != StepState.OPEN:
            return Ok(record.groups * record.samples_per_group)
        keys = StepKeys(record.trainer, record.step)
        return (await scan_all(self.ports.table, keys.samples)).map(len)

    def _describe(self, record: StepRecord, committed: int) -> dict[str, Any]:
        waited_until = record.delivered_at or self.ports.clock.wall()
        if record.state == StepState.EXPIRED:
            waited_until = record.deadline
        return {
            "trainer": record.trainer,
            "step": record.step,
            "state": record.state,
            "groups": record.groups,
            "samples": record.groups * record.samples_per_group,
            "committed": committed,
            "idle_s": round(waited_until - record.opened_at, 3),
            "staleness_mean": record.staleness_mean,
            "staleness_max": record.staleness_max,
        }

    async def purge(self) -> None:
        """Delete the rows of steps that ended longer ago than answers are kept."""
        rows = await scan_all(self.ports.table, "step/")
        if rows.is_err():
            return
        now = self.ports.clock.wall()
        old = [
            row
            for row in rows.unwrap()
            if row.value["state"] in (StepState.ACKED, StepState.EXPIRED)
            and now > row.value["deadline"] + self._retention(row)
        ]
        for start in range(0, len(old), SCAN_LIMIT):
            deletes = [
                Mutation(
                    row.key, (Check(row.key, row.version),), (Write(row.key, None),)
                )
                for row in old[start : start + SCAN_LIMIT]
            ]
            await self.ports.table.commit(deletes)

    def _retention(self, row: Row) -> float:
        return self.ports.options(StepRecord(**row.value)).answer_retention

    async def ack(self, trainer: str, step: str) -> Result[StepRecord, Failure]:
        """End a delivered step; repeating it is harmless."""
        keys = StepKeys(trainer, step)
        for _ in range(TRANSITIONS_MAX):
            read = await self._read(keys)
            if read.is_err():
                return read
            row, record = read.unwrap()
            if record.state == StepState.ACKED:
                return Ok(record)
            if record.state != StepState.DELIVERED:
                return Err(_undeliverable(record))
            failure = await self._commit_ack(keys, row, record)
            if failure is not None:
                return Err(failure)
        return _conflict(keys)

    async def _commit_ack(self, keys, row: Row, record: StepRecord) -> Failure | None:
        lease = await self._lease(keys)
        if lease.is_err():
            return lease.unwrap_err()
        writes = self.guards.writes(keys)
        return await self._transition(writes.ack(record, row.version, lease.unwrap()))

    async def _first_delivery(
        self, keys: StepKeys, row: Row, record: StepRecord
    ) -> Failure | None:
        """Deliver or reopen a sealed step; None means that its row is to be re-read."""
        head = await self.ports.heads.refresh(record.model)
        if head.is_err():
            return head.unwrap_err()
        rows = await scan_all(self.ports.table, keys.samples)
        if rows.is_err():
            return rows.unwrap_err()
        writes = self.guards.writes(keys)
        bound = self.guards.bound(record)
        newest = head_version(head.unwrap())
        stale = [
            sample
            for sample in rows.unwrap()
            if not bound.allows(oldest(sample.value["spans"]), newest)
        ]
        missing = len(record.keys()) - len(rows.unwrap())
        if not stale and not missing:
            return await self._deliver(keys, row, record, head.unwrap(), rows.unwrap())
        log.event(
            "step.reopened", step=record.step, over_bound=len(stale), missing=missing
        )
        lease = await self._lease(keys)
        if lease.is_err():
            return lease.unwrap_err()
        time_left = self.ports.options(record).step_timeout
        deadline = max(record.deadline, self.ports.clock.wall() + time_left)
        return await self._transition(
            writes.reopen(record, row.version, deadline, lease.unwrap())
        )

    async def _deliver(
        self,
        keys: StepKeys,
        row: Row,
        record: StepRecord,
        head: Row,
        samples: list[Row],
    ) -> Failure | None:
        bound = self.guards.bound(record)
        newest = head_version(head)
        lags = [
            bound.staleness(oldest(sample.value["spans"]), newest) for sample in samples
        ]
        now = self.ports.clock.wall()
        record = record._replace(
            delivered_at=now,
            staleness_mean=round(statistics.fmean(lags), 3),
            staleness_max=max(lags),
        )
        writes = self.guards.writes(keys)
        failure = await self._transition(writes.deliver(record, row.version, head))
        if failure is None:
            metrics.STEP_SECONDS.labels(record.trainer).observe(now - record.opened_at)
            for lag in lags:
                metrics.SAMPLE_STALENESS.labels(record.trainer).observe(lag)
        return failure

    async def _transition(self, mutation: Mutation) -> Failure | None:
        """Commit a change of state; lost answers and conflicts need a new read."""
        committed = await self.ports.table.commit([mutation])
        if committed.is_ok():
            return None
        failure = committed.unwrap_err()
        return None if failure.kind is ErrorKind.TABLE_OUTCOME_UNKNOWN else failure

    async def _delivered(
        self, keys: StepKeys, record: StepRecord
    ) -> Result[list[dict[str, Any]], Failure]:
        rows = await scan_all(self.ports.table, keys.samples)
        if rows.is_err():
            return rows
        if len(rows.unwrap()) != record.groups * record.samples_per_group:
            # The clean-up after an acknowledgement has begun since the row was read.
            return Err(Failure.of(ErrorKind.STEP_EXPIRED, "the step was acknowledged"))
        packs = await self._packs({row.value["object"] for row in rows.unwrap()})
        return packs.map(
            lambda texts: [
                _sample(row, texts[row.value["object"]][row.value["place"]])
                for row in rows.unwrap()
            ]
        )

    async def _packs(self, names: set[str]) -> Result[dict[str, list[str]], Failure]:
        packs: dict[str, list[str]] = {}
        failures: list[Failure] = []
        limiter = anyio.CapacityLimiter(FETCH_FAN_OUT)

        async def get(name: str) -> None:
            async with limiter:
                if failures:
                    return
                stored = await self.ports.objects.get(name)
            if stored.is_err():
                failures.append(stored.unwrap_err())
            else:
                packs[name] = msgspec.json.decode(stored.unwrap())

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(get, name)
        return Err(failures[0]) if failures else Ok(packs)

    async def _existing(self, keys: StepKeys, digest: str):
        """Return the answer for a step that exists, or None if it does not."""
        read = await self._read(keys)
        if read.is_err():
            missing = read.unwrap_err().kind is ErrorKind.NOT_FOUND
            return None if missing else read
        record = read.unwrap()[1]
        return Ok(record) if record.digest == digest else _conflict(keys)

    async def _read(self, keys: StepKeys) -> Result[tuple[Row, StepRecord], Failure]:
        read = await self.ports.table.read([keys.row])
        if read.is_err():
            return read
        row = read.unwrap()[keys.row]
        if row.value is None:
            return Err(Failure.of(ErrorKind.NOT_FOUND, f"no step {keys.step!r}"))
        return Ok((row, StepRecord(**row.value)))

    async def _lease(self, keys: StepKeys) -> Result[Row, Failure]:
        read = await self.ports.table.read([keys.lease])
        return read.map(lambda rows: rows[keys.lease])


class Steps(Plugin):
    """Find the steps that this instance is to own, and run them."""

    name = "steps"
    requires = ("platform", "leases", "weights", "dispatch", "membership")

    def __init__(self, kernel):
        super().__init__(kernel)
        self.desk: StepDesk | None = None
        self.runners: dict[str, StepRunner] = {}
        self._ports: Ports | None = None
        self._tasks = None
        self._draining = False
        self._random = random.Random(kernel.incarnation)

    async def start(self, tasks) -> None:
        """Start to look for steps."""
        platform = self.kernel.plugin("platform")
        self._tasks = tasks
        self._ports = Ports(
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
        self.desk = StepDesk(self._ports)
        tasks.start_soon(self._discover)
        tasks.start_soon(self._purge)

    async def overview(self, trainer: str) -> Result[list[dict[str, Any]], Failure]:
        """Describe steps for operators, of one trainer or of all without a name."""
        return await self.desk.overview(trainer)

    def leases(self) -> list[dict[str, Any]]:
        """Return the leases that this instance holds."""
        held = self._ports.leases.book.all_held()
        holder = self._ports.leases.book.holder
        return [
            {"name": lease.key, "holder": holder, "fence": lease.fence}
            for lease in held
        ]

    def on_drain(self) -> None:
        """Hand the steps over to other instances."""
        self._draining = True
        for runner in self.runners.values():
            runner.hand_over(self.kernel.clock.now() + HAND_OVER_GRACE_S)

    async def drain(self, deadline: float) -> None:
        """Wait until the steps are handed over."""
        clock = self.kernel.clock
        longest = HAND_OVER_GRACE_S + HAND_OVER_COMMIT_S
        limit = min(deadline, clock.now() + longest)
        while self.runners and clock.now() < limit:
            await clock.sleep_until(clock.now() + 0.05)

    def _options(self, record: StepRecord) -> FleetOptions:
        scope = Scope(service=record.model, trainer=record.trainer)
        return self.kernel.config.scoped(scope)

    def _may_hedge(self, record: StepRecord) -> bool:
        """Draw a hedge from the retry budget that all attempts share."""
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
                await self.desk.purge()

    async def _discover(self) -> None:
        clock = self.kernel.clock
        for turn in itertools.count():
            if self._draining:
                return
            for shard, place in self._shards():
                if place == 0 or turn % STANDBY_TURNS == 0:
                    await self._look(shard, place)
            spread = self._random.uniform(1 - DISCOVERY_JITTER, 1 + DISCOVERY_JITTER)
            await clock.sleep_until(clock.now() + DISCOVERY_INTERVAL_S * spread)

    def _shards(self) -> list[tuple[int, int]]:
        """Return the shards to look into, with this instance's rank for each."""
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

    async def _look(self, shard: int, place: int) -> None:
        rows = await scan_all(self._ports.table, lease_prefix(shard))
        if rows.is_err():
            return
        for row in rows.unwrap():
            await self._consider(row, place)

    async def _consider(self, row: Row, place: int) -> None:
        book = self._ports.leases.book
        now = self.kernel.clock.now()
        book.observe(row, now)
        phase = row.value["data"].get("phase")
        if phase == StepState.SEALED or row.key in self.runners or self._draining:
            return
        gone = restarted(row.value["holder"], self._incarnations())
        wait = place * book.terms.duration
        if book.seen_for(row, now) < wait or not (gone or book.may_take(row, now)):
            return
        keys = StepKeys(*row.key.rsplit("/", 2)[1:])
        taken = await self._ports.leases.take(row.key, keys.fence, holder_gone=gone)
        if taken.is_ok():
            runner = self.runners[row.key] = StepRunner(self._ports, keys)
            if self._draining:
                runner.hand_over(self.kernel.clock.now())
            self._tasks.start_soon(self._run, row.key)

    async def _run(self, key: str) -> None:
        try:
            await self.runners[key].run()
        except Exception as exc:
            # Without this, a fault in one step ends the process, and then that of
            # each later owner. The lease is left to expire, which spaces the tries.
            log.event("step.failed", key=key, error=repr(exc))
            self._ports.leases.book.drop(key)
        finally:
            del self.runners[key]


def _tokens(parts: Sequence[Part]) -> int:
    return sum(part.tokens for part in parts)


def _opening(keys: StepKeys, record: StepRecord) -> Mutation:
    lease = {
        "holder": "",
        "nonce": "",
        "fence": 0,
        "released": True,
        "duration": 0.0,
        "data": {"phase": StepState.OPEN.value},
    }
    checks = (Check(keys.row, 0), Check(keys.lease, 0))
    writes = (Write(keys.row, record._asdict()), Write(keys.lease, lease))
    return Mutation(keys.row, checks, writes)


def _sample(row: Row, text: str) -> dict[str, Any]:
    group, index = row.key.rsplit("/", 2)[-2:]
    return {
        "group": int(group),
        "index": int(index),
        "text": text,
        "spans": _spans(row.value["spans"]),
        "score": row.value["score"],
        "request_id": row.value["request_id"],
    }


def _spans(spans: Sequence[Sequence[int]]) -> list[dict[str, int]]:
    return [{"version": version, "tokens": tokens} for version, tokens in spans]


def _undeliverable(record: StepRecord) -> Failure:
    if record.state in (StepState.OPEN, StepState.SEALED):
        return Failure.of(ErrorKind.STEP_NOT_SEALED, "the step is not complete yet")
    return Failure.of(ErrorKind.STEP_EXPIRED, f"the step is {record.state}")


def _conflict(keys: StepKeys) -> Err[Failure]:
    message = f"step {keys.step!r} differs from the request, or keeps changing"
    return Err(Failure.of(ErrorKind.CONFLICT, message))
