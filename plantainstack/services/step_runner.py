"""Complete one step as its owner, under a lease with a fencing token.

The owner generates the missing samples, hedges slow ones, scores and commits them,
and seals the step.
"""

import contextlib
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import anyio
import msgspec
import xxhash
from result import Result

from plantainstack import log, metrics
from plantainstack.errors import Failure
from plantainstack.interfaces import (
    Check,
    CompletionChunk,
    GenerateRequest,
    Mutation,
    MutationOutcome,
    Priority,
    Row,
    Write,
)
from plantainstack.policy.freshness import FreshnessWait
from plantainstack.policy.samples import (
    Draft,
    Guard,
    SampleKey,
    StepKeys,
    StepProgress,
    StepRecord,
    StepState,
    oldest_version,
)
from plantainstack.policy.stragglers import Stragglers
from plantainstack.requests import RequestContext, new_id
from plantainstack.services.step_dependencies import (
    SCAN_LIMIT,
    StepDependencies,
    StepPolicies,
    scan_all,
)
from plantainstack.services.weights import head_version

HEAD_INTERVAL_S = 2.0
SUPERVISE_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.5
RUNNING_ATTEMPTS_MAX = 512
COMMIT_BATCH = 128
# At the target scale a step finishes about 11 samples per second. Within this time
# about 20 of them share an object, so a fetch reads about 200 objects.
COMMIT_LINGER_S = 2.0
SCORE_TIMEOUT_S = 30.0


class _Attempt(NamedTuple):
    key: SampleKey
    request_id: str
    chunks: list[CompletionChunk]
    hedges: int
    scope: anyio.CancelScope


class StepRunner:
    """Complete one step as its owner, while the lease is held."""

    def __init__(
        self,
        deps: StepDependencies,
        keys: StepKeys,
        policies: StepPolicies = StepPolicies(),  # noqa: B008
    ):
        self.deps = deps
        self.keys = keys
        self.policies = policies
        self.writes = policies.writes(keys)
        self.progress: StepProgress | None = None
        self._guard: Guard | None = None
        self._prompts: list[list[dict[str, str]]] = []
        self._scores: dict[str, float] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._stragglers: Stragglers | None = None
        self._freshness_wait: FreshnessWait | None = None
        self._wake = anyio.Event()
        self._handing_over = False
        self._grace_until = 0.0
        self._ended = False
        self._head_due = 0.0

    async def run(self) -> None:
        """Run until the step has ended or is handed over, or the lease is lost."""
        row = await self._retry_while_held(self._read_step)
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
            await self._run_owned()

    def hand_over(self, grace_until: float) -> None:
        """Start no more samples, commit those that finish, and release the lease.

        Samples still running at `grace_until`, in monotonic seconds, are cancelled.
        """
        self._handing_over = True
        self._grace_until = grace_until
        self._notify()

    async def _load(self, record: StepRecord, step_version: int) -> bool:
        held = self._held_lease()
        if held is None:
            return False
        self._guard = Guard(held.fence_version, step_version)
        head = await self._retry_while_held(lambda: self.deps.heads.read(record.model))
        rows = await self._retry_while_held(self._scan_samples)
        content = await self._retry_while_held(
            lambda: self.deps.objects.get(record.prompts)
        )
        if head is None or rows is None or content is None:
            return False
        self._prompts = msgspec.json.decode(content)
        self.progress = self.policies.progress(
            record, self.policies.bound(record), head_version(head)
        )
        self.progress.restore(rows)
        self._stragglers = self.policies.stragglers(len(self.progress.keys))
        options = self.deps.options(record)
        self._freshness_wait = FreshnessWait(
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

    async def _run_owned(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._commit_loop)
            await self._supervise(tasks)
            while not self._ended:
                await self._wait_for_change(SUPERVISE_INTERVAL_S)
                await self._supervise(tasks)
            tasks.cancel_scope.cancel()

    async def _supervise(self, tasks) -> None:
        clock = self.deps.clock
        if self._held_lease() is None:
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
            self._start_attempts(tasks)

    async def _hand_over(self) -> None:
        if self.deps.clock.now() >= self._grace_until:
            for attempt in list(self._attempts.values()):
                attempt.scope.cancel()
        if not self._attempts and not self.progress.drafts(1):
            await self._release(StepState.OPEN)

    async def _refresh_head(self) -> None:
        now = self.deps.clock.now()
        if now < self._head_due:
            return
        self._head_due = now + HEAD_INTERVAL_S
        read = await self.deps.heads.read(self.progress.record.model)
        if read.is_ok():
            self.progress.update_newest(head_version(read.unwrap()))

    def _start_attempts(self, tasks) -> None:
        """Start attempts of missing samples; hedge only when none is missing."""
        now = self.deps.clock.now()
        keys = [
            key
            for key in self.progress.to_generate(now, RUNNING_ATTEMPTS_MAX)
            if not self._must_wait(key)
        ]
        for key in keys:
            self._start_attempt(tasks, key, [])
        if keys or self.progress.running_count() >= RUNNING_ATTEMPTS_MAX:
            return
        for slow_id in self._stragglers.due(now):
            slow = self._attempts.get(slow_id)
            if slow is not None and self.deps.may_hedge(self.progress.record):
                chunks = self._resumable(slow.chunks)
                hedge_id = self._start_attempt(tasks, slow.key, chunks, slow.hedges + 1)
                self._trace(
                    slow_id, "hedged", hedge=hedge_id, tokens=_token_count(chunks)
                )

    def _must_wait(self, key: SampleKey) -> bool:
        wall = self.deps.clock.wall()
        return self._freshness_wait.holds(key.group, self.progress.newest, wall)

    def _resumable(self, chunks: list[CompletionChunk]) -> list[CompletionChunk]:
        """Return the chunks from which another engine can resume, if any."""
        usable = all(
            chunk.version is not None and not self.progress.exceeds_bound(chunk.version)
            for chunk in chunks
        )
        unfinished = _token_count(chunks) < self.progress.record.max_tokens
        return list(chunks) if usable and unfinished else []

    def _start_attempt(
        self, tasks, key: SampleKey, chunks: list[CompletionChunk], hedges: int = 0
    ) -> None:
        request_id = new_id()
        now = self.deps.clock.now()
        self.progress.started(key, request_id)
        self._stragglers.started(request_id, now)
        attempt = _Attempt(key, request_id, chunks, hedges, anyio.CancelScope())
        self._attempts[request_id] = attempt
        tasks.start_soon(self._run_attempt, attempt)
        return request_id

    async def _run_attempt(self, attempt: "_Attempt") -> None:
        done = False
        with attempt.scope:
            done = await self._collect(attempt)
        del self._attempts[attempt.request_id]
        self._finish_attempt(attempt, done)
        self._notify()

    async def _collect(self, attempt: "_Attempt") -> bool:
        ctx, req = self._request(attempt)
        async with contextlib.aclosing(self.deps.generate(ctx, req)) as stream:
            async for result in stream:
                if result.is_err():
                    kind = result.unwrap_err().kind
                    self._trace(attempt.request_id, "failed", kind=kind)
                    return False
                chunk = result.unwrap()
                if self.progress.exceeds_bound(chunk.version):
                    version = chunk.version
                    self._trace(attempt.request_id, "over_bound", version=version)
                    return False
                attempt.chunks.append(chunk)
                now = self.deps.clock.now()
                self._stragglers.advanced(attempt.request_id, chunk.tokens, now)
        return True

    def _request(self, attempt: "_Attempt"):
        record = self.progress.record
        group = attempt.key.group
        # Samples of a group are placed together, so a hedge gets a group of its own,
        # to avoid the slow engine.
        suffix = f"{group}/{attempt.key.index}/{attempt.hedges}"
        suffix = suffix if attempt.hedges else f"{group}"
        ctx = RequestContext(
            request_id=attempt.request_id,
            caller=record.trainer,
            service=record.model,
            priority=Priority.ROLLOUT,
            arrived_at=self.deps.clock.now(),
            deadline=self.deps.clock.deadline_from_wall(record.deadline),
            group=f"{record.trainer}/{record.step}/{suffix}",
        )
        req = GenerateRequest(
            attempt_id=attempt.request_id,
            model=record.model,
            messages=self._prompts[group],
            max_tokens=record.max_tokens - _token_count(attempt.chunks),
            priority=Priority.ROLLOUT,
            seed=xxhash.xxh32_intdigest(self.keys.sample(attempt.key).encode()),
            prefix="".join(chunk.text for chunk in attempt.chunks),
        )
        return ctx, req

    def _finish_attempt(self, attempt: "_Attempt", done: bool) -> None:
        now = self.deps.clock.now()
        self._stragglers.ended(attempt.request_id, done, now)
        spans = None
        if done:
            spans = self.policies.labels.spans(attempt.chunks, self.progress.newest)
        if spans is None:
            self.progress.failed(attempt.key, attempt.request_id, now)
            if done:
                self._trace(attempt.request_id, "unlabelled")
            return
        text = "".join(chunk.text for chunk in attempt.chunks)
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
                await self._wait_for_change(SUPERVISE_INTERVAL_S)
                continue
            await self._linger()
            committed = await self._commit_batch(self.progress.drafts(COMMIT_BATCH))
            self._notify()
            if not committed:
                await self._sleep(RETRY_INTERVAL_S)

    async def _linger(self) -> None:
        """Wait for a full batch, at most `COMMIT_LINGER_S`.

        Return at once if no sample is running, or during a handover.
        """
        until = self.deps.clock.now() + COMMIT_LINGER_S
        while len(self.progress.drafts(COMMIT_BATCH)) < COMMIT_BATCH:
            remaining = until - self.deps.clock.now()
            if (
                remaining <= 0
                or self._handing_over
                or not self.progress.running_count()
            ):
                return
            await self._wait_for_change(remaining)

    async def _commit_batch(self, drafts: list[Draft]) -> bool:
        if not await self._score(drafts):
            return False
        drafts = [draft for draft in drafts if self.progress.is_draft(draft)]
        if not drafts:
            return True
        name = f"samples/{self.keys.trainer}/{self.keys.step}/{new_id()}"
        content = msgspec.json.encode([draft.text for draft in drafts])
        stored = await self.deps.objects.put(name, content)
        if stored.is_err() or not self._lease_is_valid():
            return False
        mutations = [
            self.writes.insert(
                draft.key,
                self._row_value(draft, name, position),
                self.progress.row_version(draft.key),
                self._guard,
            )
            for position, draft in enumerate(drafts)
        ]
        committed = await self.deps.table.commit(mutations)
        if committed.is_err():
            return False
        for draft, outcome in zip(drafts, committed.unwrap(), strict=True):
            self._record_outcome(draft, outcome)
        return True

    def _row_value(self, draft: Draft, name: str, position: int) -> dict[str, Any]:
        return {
            "object": name,
            "place": position,
            "spans": [list(span) for span in draft.spans],
            "score": self._scores[draft.request_id],
            "request_id": draft.request_id,
        }

    def _record_outcome(self, draft: Draft, outcome: MutationOutcome) -> None:
        if outcome.applied:
            version = self.progress.row_version(draft.key) + 1
            self.progress.committed(draft.key, version, oldest_version(draft.spans))
            self._trace(draft.request_id, "committed", spans=list(draft.spans))
            self._scores.pop(draft.request_id, None)
            return
        rows = {row.key: row for row in outcome.conflicts}
        if self.keys.fence in rows or self.keys.row in rows:
            self._end_ownership()
            return
        # The row stems from an earlier commit whose answer was lost.
        row = rows[self.keys.sample(draft.key)]
        if row.value is not None:
            self.progress.committed(
                draft.key, row.version, oldest_version(row.value["spans"])
            )
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
        deadline = self.deps.clock.now() + SCORE_TIMEOUT_S
        scored = await self.deps.scorer.score(samples, deadline)
        if scored.is_err() or len(scored.unwrap()) != len(unscored):
            log.event("step.scorer_failed", step=record.step, samples=len(unscored))
            return False
        for draft, score in zip(unscored, scored.unwrap(), strict=True):
            self._scores[draft.request_id] = score
        return True

    async def _finish(self, state: StepState) -> None:
        """Seal or expire the step; after a failure the next supervision retries."""
        held = self._held_lease()
        if held is None or not self._lease_is_valid():
            return
        release = self.deps.leases.tracker.release(held, {"phase": state.value})
        record = self.progress.record
        build = self.writes.seal if state is StepState.SEALED else self.writes.expire
        committed = await self.deps.table.commit([build(record, self._guard, release)])
        if committed.is_err():
            await self._check_finished()
            return
        outcome = committed.unwrap()[0]
        if outcome.applied:
            log.event("step.finished", step=record.step, state=state.value)
            self._end_ownership()
            return
        rows = {row.key: row for row in outcome.conflicts}
        lease_row = rows.pop(self.keys.lease, None)
        if lease_row is not None:
            self.deps.leases.tracker.conflicted(lease_row)
        if rows:
            self._end_ownership()

    async def _check_finished(self) -> None:
        read = await self._read_step()
        if read.is_ok() and read.unwrap().version != self._guard.step_version:
            self._end_ownership()

    async def _clean_up(self) -> None:
        """Delete the sample rows of a step that has ended, and then its lease."""
        while True:
            page = await self._retry_while_held(
                lambda: self.deps.table.scan(self.keys.samples, "", SCAN_LIMIT)
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
            await self._retry_while_held(
                lambda deletes=deletes: self.deps.table.commit(deletes)
            )
        held = self._held_lease()
        if held is not None:
            self._end_ownership()
            writes = (Write(self.keys.lease, None), Write(self.keys.fence, None))
            checks = (Check(self.keys.fence, held.fence_version),)
            await self.deps.table.commit([Mutation(held.key, checks, writes)])

    async def _release(self, phase: str) -> None:
        held = self._held_lease()
        self._ended = True
        if held is not None:
            await self.deps.leases.release(held, {"phase": StepState(phase).value})

    async def _read_step(self) -> Result[Row, Failure]:
        read = await self.deps.table.read([self.keys.row])
        return read.map(lambda rows: rows[self.keys.row])

    async def _scan_samples(self) -> Result[list[Row], Failure]:
        return await scan_all(self.deps.table, self.keys.samples)

    async def _retry_while_held(
        self, call: Callable[[], Awaitable[Result[Any, Failure]]]
    ):
        """Repeat a call until it succeeds; return None on lease loss or handover."""
        while self._held_lease() is not None and not self._handing_over:
            result = await call()
            if result.is_ok():
                return result.unwrap()
            await self._sleep(RETRY_INTERVAL_S)
        if self._handing_over:
            await self._release(StepState.OPEN)
        return None

    def _held_lease(self):
        return self.deps.leases.tracker.held(self.keys.lease)

    def _lease_is_valid(self) -> bool:
        return self.deps.leases.tracker.holds(self.keys.lease, self.deps.clock.now())

    def _end_ownership(self) -> None:
        self._ended = True
        self.deps.leases.tracker.drop(self.keys.lease)
        self._notify()

    def _notify(self) -> None:
        self._wake.set()
        self._wake = anyio.Event()

    async def _wait_for_change(self, seconds: float) -> None:
        """Wait for a notification, at most for `seconds`."""
        wake = self._wake
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._call_after, seconds, tasks.cancel_scope.cancel)
            await wake.wait()
            tasks.cancel_scope.cancel()

    async def _call_after(self, seconds: float, call: Callable[[], None]) -> None:
        await self._sleep(seconds)
        call()

    async def _sleep(self, seconds: float) -> None:
        await self.deps.clock.sleep_until(self.deps.clock.now() + seconds)

    def _trace(self, request_id: str, event: str, **fields: Any) -> None:
        record = self.progress.record
        metrics.SAMPLE_ATTEMPTS.labels(record.trainer, event).inc()
        self.deps.trace.record(
            request_id,
            f"sample.{event}",
            trainer=record.trainer,
            step=record.step,
            **fields,
        )


def _token_count(chunks: Sequence[CompletionChunk]) -> int:
    return sum(chunk.tokens for chunk in chunks)
