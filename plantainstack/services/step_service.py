"""Operations of trainers on steps, which any instance can serve."""

import statistics
from collections.abc import Sequence
from typing import Any

import anyio
import msgspec
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import Check, Mutation, Row, Write
from plantainstack.policy.samples import StepKeys, StepRecord, StepState, oldest_version
from plantainstack.services.step_dependencies import (
    SCAN_LIMIT,
    OpenRequest,
    StepDependencies,
    StepPolicies,
    scan_all,
)
from plantainstack.services.weights import head_version

CONCURRENT_FETCHES_MAX = 16
TRANSITION_ATTEMPTS_MAX = 5
OVERVIEW_MAX = 100


class StepService:
    """Serve trainers' requests from the table service; no ownership is needed."""

    def __init__(self, deps: StepDependencies, policies: StepPolicies = StepPolicies()):  # noqa: B008
        self.deps = deps
        self.policies = policies

    async def open(self, trainer: str, req: OpenRequest) -> Result[StepRecord, Failure]:
        """Open a step; a repeated request returns the same step."""
        keys = StepKeys(trainer, req.step)
        digest = req.digest()
        prompts = f"prompts/{trainer}/{req.step}/{digest}"
        existing = await self._existing_step(keys, digest)
        if existing is not None:
            return existing
        content = msgspec.json.encode(req.prompts)
        stored = await self.deps.objects.put(prompts, content)
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
            opened_at=self.deps.clock.wall(),
        )
        committed = await self.deps.table.commit([_opening_mutation(keys, record)])
        if committed.is_err():
            if committed.unwrap_err().kind is not ErrorKind.TABLE_OUTCOME_UNKNOWN:
                return committed
            return await self._existing_step(keys, digest) or committed
        if committed.unwrap()[0].applied:
            log.event("step.opened", trainer=trainer, step=req.step)
            return Ok(record)
        return await self._existing_step(keys, digest) or _conflict(keys)

    async def status(self, trainer: str, step: str) -> Result[StepRecord, Failure]:
        """Return the record of a step, or `not_found`."""
        read = await self._read(StepKeys(trainer, step))
        return read.map(lambda found: found[1])

    async def samples(
        self, trainer: str, step: str
    ) -> Result[list[dict[str, Any]], Failure]:
        """Return the samples of a sealed step; the first call makes the list final."""
        keys = StepKeys(trainer, step)
        for _ in range(TRANSITION_ATTEMPTS_MAX):
            read = await self._read(keys)
            if read.is_err():
                return read
            row, record = read.unwrap()
            if record.state == StepState.SEALED:
                failure = await self._deliver_or_reopen(keys, row, record)
                if failure is not None:
                    return Err(failure)
            elif record.state == StepState.DELIVERED:
                return await self._delivered_samples(keys, record)
            else:
                return Err(_not_deliverable(record))
        return _conflict(keys)

    async def overview(self, trainer: str) -> Result[list[dict[str, Any]], Failure]:
        """Describe a trainer's steps for operators, or all if `trainer` is empty."""
        prefix = f"step/{trainer}/" if trainer else "step/"
        rows = await scan_all(self.deps.table, prefix)
        if rows.is_err():
            return rows
        records = [StepRecord(**row.value) for row in rows.unwrap()]
        records.sort(key=lambda record: record.opened_at, reverse=True)
        found = []
        for record in records[:OVERVIEW_MAX]:
            committed = await self._committed_count(record)
            if committed.is_err():
                return committed
            found.append(self._overview_entry(record, committed.unwrap()))
        return Ok(found)

    async def _committed_count(self, record: StepRecord) -> Result[int, Failure]:
        if record.state != StepState.OPEN:
            return Ok(record.groups * record.samples_per_group)
        keys = StepKeys(record.trainer, record.step)
        return (await scan_all(self.deps.table, keys.samples)).map(len)

    def _overview_entry(self, record: StepRecord, committed: int) -> dict[str, Any]:
        waited_until = record.delivered_at or self.deps.clock.wall()
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
        """Delete the rows of ended steps after the retention period of answers."""
        rows = await scan_all(self.deps.table, "step/")
        if rows.is_err():
            return
        now = self.deps.clock.wall()
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
            await self.deps.table.commit(deletes)

    def _retention(self, row: Row) -> float:
        return self.deps.options(StepRecord(**row.value)).answer_retention

    async def ack(self, trainer: str, step: str) -> Result[StepRecord, Failure]:
        """Acknowledge a delivered step, which ends it; the call is idempotent."""
        keys = StepKeys(trainer, step)
        for _ in range(TRANSITION_ATTEMPTS_MAX):
            read = await self._read(keys)
            if read.is_err():
                return read
            row, record = read.unwrap()
            if record.state == StepState.ACKED:
                return Ok(record)
            if record.state != StepState.DELIVERED:
                return Err(_not_deliverable(record))
            failure = await self._commit_ack(keys, row, record)
            if failure is not None:
                return Err(failure)
        return _conflict(keys)

    async def _commit_ack(self, keys, row: Row, record: StepRecord) -> Failure | None:
        lease = await self._read_lease(keys)
        if lease.is_err():
            return lease.unwrap_err()
        writes = self.policies.writes(keys)
        return await self._transition(writes.ack(record, row.version, lease.unwrap()))

    async def _deliver_or_reopen(
        self, keys: StepKeys, row: Row, record: StepRecord
    ) -> Failure | None:
        """Deliver or reopen a sealed step; the caller re-reads its row after None."""
        head = await self.deps.heads.refresh(record.model)
        if head.is_err():
            return head.unwrap_err()
        rows = await scan_all(self.deps.table, keys.samples)
        if rows.is_err():
            return rows.unwrap_err()
        writes = self.policies.writes(keys)
        bound = self.policies.bound(record)
        newest = head_version(head.unwrap())
        stale = [
            sample
            for sample in rows.unwrap()
            if not bound.allows(oldest_version(sample.value["spans"]), newest)
        ]
        missing = len(record.keys()) - len(rows.unwrap())
        if not stale and not missing:
            return await self._deliver(keys, row, record, head.unwrap(), rows.unwrap())
        log.event(
            "step.reopened", step=record.step, over_bound=len(stale), missing=missing
        )
        lease = await self._read_lease(keys)
        if lease.is_err():
            return lease.unwrap_err()
        time_left = self.deps.options(record).step_timeout
        deadline = max(record.deadline, self.deps.clock.wall() + time_left)
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
        bound = self.policies.bound(record)
        newest = head_version(head)
        lags = [
            bound.staleness(oldest_version(sample.value["spans"]), newest)
            for sample in samples
        ]
        now = self.deps.clock.wall()
        record = record._replace(
            delivered_at=now,
            staleness_mean=round(statistics.fmean(lags), 3),
            staleness_max=max(lags),
        )
        writes = self.policies.writes(keys)
        failure = await self._transition(writes.deliver(record, row.version, head))
        if failure is None:
            metrics.STEP_SECONDS.labels(record.trainer).observe(now - record.opened_at)
            for lag in lags:
                metrics.SAMPLE_STALENESS.labels(record.trainer).observe(lag)
        return failure

    async def _transition(self, mutation: Mutation) -> Failure | None:
        """Commit a change of state; after None the caller re-reads the row.

        A conflict or an unknown outcome also returns None.
        """
        committed = await self.deps.table.commit([mutation])
        if committed.is_ok():
            return None
        failure = committed.unwrap_err()
        return None if failure.kind is ErrorKind.TABLE_OUTCOME_UNKNOWN else failure

    async def _delivered_samples(
        self, keys: StepKeys, record: StepRecord
    ) -> Result[list[dict[str, Any]], Failure]:
        rows = await scan_all(self.deps.table, keys.samples)
        if rows.is_err():
            return rows
        if len(rows.unwrap()) != record.groups * record.samples_per_group:
            # Since the row was read, the clean-up after an acknowledgement has begun.
            return Err(Failure.of(ErrorKind.STEP_EXPIRED, "the step was acknowledged"))
        texts_by_object = await self._fetch_texts(
            {row.value["object"] for row in rows.unwrap()}
        )
        return texts_by_object.map(
            lambda texts: [
                _sample(row, texts[row.value["object"]][row.value["place"]])
                for row in rows.unwrap()
            ]
        )

    async def _fetch_texts(
        self, names: set[str]
    ) -> Result[dict[str, list[str]], Failure]:
        texts_by_object: dict[str, list[str]] = {}
        failures: list[Failure] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_FETCHES_MAX)

        async def get(name: str) -> None:
            async with limiter:
                if failures:
                    return
                stored = await self.deps.objects.get(name)
            if stored.is_err():
                failures.append(stored.unwrap_err())
            else:
                texts_by_object[name] = msgspec.json.decode(stored.unwrap())

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(get, name)
        return Err(failures[0]) if failures else Ok(texts_by_object)

    async def _existing_step(self, keys: StepKeys, digest: str):
        """Return the result for an existing step, or None if there is none."""
        read = await self._read(keys)
        if read.is_err():
            missing = read.unwrap_err().kind is ErrorKind.NOT_FOUND
            return None if missing else read
        record = read.unwrap()[1]
        return Ok(record) if record.digest == digest else _conflict(keys)

    async def _read(self, keys: StepKeys) -> Result[tuple[Row, StepRecord], Failure]:
        read = await self.deps.table.read([keys.row])
        if read.is_err():
            return read
        row = read.unwrap()[keys.row]
        if row.value is None:
            return Err(Failure.of(ErrorKind.NOT_FOUND, f"no step {keys.step!r}"))
        return Ok((row, StepRecord(**row.value)))

    async def _read_lease(self, keys: StepKeys) -> Result[Row, Failure]:
        read = await self.deps.table.read([keys.lease])
        return read.map(lambda rows: rows[keys.lease])


def _opening_mutation(keys: StepKeys, record: StepRecord) -> Mutation:
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


def _not_deliverable(record: StepRecord) -> Failure:
    if record.state in (StepState.OPEN, StepState.SEALED):
        return Failure.of(ErrorKind.STEP_NOT_SEALED, "the step is not complete yet")
    return Failure.of(ErrorKind.STEP_EXPIRED, f"the step is {record.state}")


def _conflict(keys: StepKeys) -> Err[Failure]:
    message = (
        f"step {keys.step!r} differs from the request, or is being changed by others"
    )
    return Err(Failure.of(ErrorKind.CONFLICT, message))
