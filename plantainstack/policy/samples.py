"""Decide which samples of a step to generate, commit, seal, deliver or regenerate."""

import heapq
import itertools
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import xxhash

from plantainstack.interfaces import Check, CompletionChunk, Mutation, Row, Write

SHARDS = 32
RETRY_BASE_S = 0.2
RETRY_MAX_S = 5.0
RETRY_DOUBLINGS_MAX = 5


class StepState(StrEnum):
    """Name the states of a step."""

    OPEN = "open"
    SEALED = "sealed"
    DELIVERED = "delivered"
    ACKED = "acked"
    EXPIRED = "expired"


class StepRecord(NamedTuple):
    """Hold a step's row; its size does not depend on the number of samples.

    Times are in Unix seconds. `prompts` names the object with the groups, and
    `digest` is the hash of the request that opened the step. Staleness is that at
    the first delivery, in versions.
    """

    trainer: str
    step: str
    model: str
    policy_version: int
    version_bound: int
    groups: int
    samples_per_group: int
    max_tokens: int
    deadline: float
    prompts: str
    digest: str
    state: str = StepState.OPEN.value
    round: int = 1
    opened_at: float = 0.0
    delivered_at: float | None = None
    staleness_mean: float | None = None
    staleness_max: int | None = None

    def keys(self) -> list["SampleKey"]:
        """Return the keys of all samples, group by group."""
        return [
            SampleKey(group, index)
            for group in range(self.groups)
            for index in range(self.samples_per_group)
        ]


class SampleKey(NamedTuple):
    """Name a sample within its step."""

    group: int
    index: int


class Span(NamedTuple):
    """Count consecutive tokens that one weight version generated."""

    version: int
    tokens: int


class Draft(NamedTuple):
    """Hold a generated sample that is not committed yet."""

    key: SampleKey
    request_id: str
    text: str
    spans: tuple[Span, ...]


class StepKeys(NamedTuple):
    """Build the keys of a step's rows."""

    trainer: str
    step: str

    @property
    def row(self) -> str:
        """Return the key of the step's own row."""
        return f"step/{self.trainer}/{self.step}"

    @property
    def fence(self) -> str:
        """Return the key of the fencing row."""
        return f"fence/step/{self.trainer}/{self.step}"

    @property
    def lease(self) -> str:
        """Return the key of the lease, which exists until the step is cleaned up."""
        return f"{lease_prefix(self.shard)}{self.trainer}/{self.step}"

    @property
    def shard(self) -> int:
        """Return the shard in which instances look for the step."""
        return xxhash.xxh64_intdigest(f"{self.trainer}/{self.step}".encode()) % SHARDS

    @property
    def samples(self) -> str:
        """Return the prefix of the rows of all samples."""
        return f"sample/{self.trainer}/{self.step}/"

    def sample(self, key: SampleKey) -> str:
        """Return the key of a sample's row."""
        return f"{self.samples}{key.group:06d}/{key.index:06d}"


def lease_prefix(shard: int) -> str:
    """Return the prefix of the leases of all steps in a shard."""
    return f"lease/step/{shard:02d}/"


def sample_key(row_key: str) -> SampleKey:
    """Return the sample that a row's key names."""
    group, index = row_key.rsplit("/", 2)[-2:]
    return SampleKey(int(group), int(index))


class Labels(ABC):
    """Label a stream's parts with weight versions."""

    @abstractmethod
    def spans(
        self, parts: Iterable[CompletionChunk], assumed: int
    ) -> tuple[Span, ...] | None:
        """Return the spans, or None if a part's version is unknown."""


class ReportedLabels(Labels):
    """Label each part with the version that the engine reported with it."""

    def spans(
        self, parts: Iterable[CompletionChunk], assumed: int
    ) -> tuple[Span, ...] | None:
        """Return the spans, or None if a part's version is unknown."""
        spans: list[Span] = []
        for part in parts:
            if not part.tokens and not part.text:
                continue
            if part.version is None:
                return None
            if spans and spans[-1].version == part.version:
                spans[-1] = Span(part.version, spans[-1].tokens + part.tokens)
            else:
                spans.append(Span(part.version, part.tokens))
        return tuple(spans) or None


class NaiveLabels(Labels):
    """Label the whole stream with the version at its start; the naive version."""

    def spans(
        self, parts: Iterable[CompletionChunk], assumed: int
    ) -> tuple[Span, ...] | None:
        """Return one span."""
        parts = list(parts)
        version = parts[0].version if parts else None
        tokens = sum(part.tokens for part in parts)
        return (Span(assumed if version is None else version, tokens),)


def oldest_version(spans: Iterable[Sequence[int]]) -> int:
    """Return the oldest version in the spans."""
    return min(version for version, _ in spans)


class VersionBound:
    """Check samples against the version bound of their step."""

    def __init__(self, record: StepRecord):
        self._record = record

    def staleness(self, oldest_version: int, newest: int) -> int:
        """Return by how many versions a sample lags."""
        newest = max(newest, self._record.policy_version)
        return max(0, newest - oldest_version)

    def allows(self, oldest_version: int, newest: int) -> bool:
        """Return whether a version lags no more than the bound allows."""
        return self.staleness(oldest_version, newest) <= self._record.version_bound


class NaiveVersionBound(VersionBound):
    """Allow every version; the naive version for tests."""

    def allows(self, oldest_version: int, newest: int) -> bool:
        """Return True."""
        return True


class StepWrites:
    """Build the mutations of a step, with the checks that guard them.

    Each write of the owner checks the fencing row and the step's row. The latter
    changes with the step's state, so that a write that was delayed on its way
    cannot take effect after sealing.
    """

    def __init__(self, keys: StepKeys):
        self.keys = keys

    def insert(
        self, key: SampleKey, value: dict[str, Any], row_version: int, guard: "Guard"
    ) -> Mutation:
        """Insert a sample, or replace the version of it that was over the bound."""
        row_key = self.keys.sample(key)
        checks = (*guard.checks(self.keys), Check(row_key, row_version))
        return Mutation(
            f"{row_key}/{guard.fence_version}", checks, _one(row_key, value)
        )

    def seal(self, record: StepRecord, guard: "Guard", release: Mutation) -> Mutation:
        """Seal a complete step and release its lease."""
        return self._finish(record, StepState.SEALED, guard, release)

    def expire(self, record: StepRecord, guard: "Guard", release: Mutation) -> Mutation:
        """Give up a step whose deadline has passed, and release its lease."""
        return self._finish(record, StepState.EXPIRED, guard, release)

    def deliver(self, record: StepRecord, step_version: int, head: Row) -> Mutation:
        """Fix the delivered list; refused if newer weights were published."""
        checks = (Check(self.keys.row, step_version), Check(head.key, head.version))
        return self._state(record, StepState.DELIVERED, checks)

    def reopen(
        self, record: StepRecord, step_version: int, deadline: float, lease: Row
    ) -> Mutation:
        """Return a sealed step to its owner to regenerate samples over the bound."""
        value = dict(lease.value, released=True, data={"phase": StepState.OPEN.value})
        checks = (Check(self.keys.row, step_version), Check(lease.key, lease.version))
        record = record._replace(round=record.round + 1, deadline=deadline)
        extra = (Write(lease.key, value),)
        return self._state(record, StepState.OPEN, checks, extra)

    def ack(self, record: StepRecord, step_version: int, lease: Row) -> Mutation:
        """End a delivered step; its lease is then taken for the clean-up."""
        value = dict(lease.value, released=True, data={"phase": StepState.ACKED.value})
        checks = (Check(self.keys.row, step_version), Check(lease.key, lease.version))
        extra = (Write(lease.key, value),)
        return self._state(record, StepState.ACKED, checks, extra)

    def _finish(self, record, state: StepState, guard: "Guard", release: Mutation):
        checks = (*guard.checks(self.keys), *release.checks)
        return self._state(record, state, checks, release.writes)

    def _state(self, record: StepRecord, state: StepState, checks, extra=()):
        value = record._replace(state=state.value)._asdict()
        name = f"{self.keys.row}/{state.value}/{record.round}"
        return Mutation(name, tuple(checks), (*_one(self.keys.row, value), *extra))


class NaiveStepWrites(StepWrites):
    """Build the same mutations without checks; the naive version for tests."""

    def insert(self, key, value, row_version, guard) -> Mutation:
        """Write a sample."""
        return super().insert(key, value, row_version, guard)._replace(checks=())

    def deliver(self, record, step_version, head) -> Mutation:
        """Deliver without a check of the weight head."""
        return super().deliver(record, step_version, head)._replace(checks=())

    def _finish(self, record, state, guard, release) -> Mutation:
        return super()._finish(record, state, guard, release)._replace(checks=())


class Guard(NamedTuple):
    """Hold the versions of rows that an owner's writes check."""

    fence_version: int
    step_version: int

    def checks(self, keys: StepKeys) -> tuple[Check, ...]:
        """Return the checks."""
        return (
            Check(keys.fence, self.fence_version),
            Check(keys.row, self.step_version),
        )


class Committed(NamedTuple):
    """Hold what the owner knows of a committed sample."""

    row_version: int
    oldest_version: int


class StepProgress:
    """Track the samples of one step at its owner; times are monotonic seconds."""

    def __init__(self, record: StepRecord, bound: VersionBound, newest: int = 0):
        self.record = record
        self.bound = bound
        self.newest = newest
        self.keys = record.keys()
        self._committed: dict[SampleKey, Committed] = {}
        self._drafts: dict[SampleKey, Draft] = {}
        self._running: dict[SampleKey, set[str]] = {}
        self._running_total = 0
        self._failures: dict[SampleKey, int] = {}
        self._retry_at: dict[SampleKey, float] = {}
        self._missing = set(self.keys)

    def restore(self, rows: Iterable[Row]) -> None:
        """Take over the committed samples that an earlier owner left."""
        for row in rows:
            key = sample_key(row.key)
            self.committed(key, row.version, oldest_version(row.value["spans"]))

    def update_newest(self, version: int) -> None:
        """Note a new weight version; samples now over the bound count as missing."""
        if version <= self.newest:
            return
        self.newest = version
        for key, draft in list(self._drafts.items()):
            if not self._allowed(oldest_version(draft.spans)):
                del self._drafts[key]
                self._missing.add(key)
        for key, committed in self._committed.items():
            if not self._allowed(committed.oldest_version) and key not in self._drafts:
                self._missing.add(key)

    def to_generate(self, now: float, running_max: int) -> list[SampleKey]:
        """Return the samples to start now, so that at most `running_max` run.

        A group is started whole where possible, so that its samples share the
        prompt's cached prefix.
        """
        free = running_max - self.running_count()
        if free <= 0:
            return []
        ready = (
            key
            for key in self._missing
            if key not in self._running and now >= self._retry_at.get(key, now)
        )
        return heapq.nsmallest(free, ready)

    def started(self, key: SampleKey, request_id: str) -> None:
        """Count an attempt at a sample."""
        self._running.setdefault(key, set()).add(request_id)
        self._running_total += 1

    def failed(self, key: SampleKey, request_id: str, now: float) -> None:
        """Note that an attempt ended without a usable sample."""
        self._ended(key, request_id)
        failures = self._failures.get(key, 0) + 1
        self._failures[key] = failures
        doublings = min(failures - 1, RETRY_DOUBLINGS_MAX)
        self._retry_at[key] = now + min(RETRY_MAX_S, RETRY_BASE_S * 2**doublings)

    def finished(self, draft: Draft, now: float) -> bool:
        """Take a draft; return whether it is of use."""
        self._ended(draft.key, draft.request_id)
        if draft.key not in self._missing:
            return False
        if not self._allowed(oldest_version(draft.spans)):
            self._retry_at[draft.key] = now
            return False
        self._missing.discard(draft.key)
        self._drafts[draft.key] = draft
        return True

    def exceeds_bound(self, version: int | None) -> bool:
        """Return whether a part of this version makes its sample unusable."""
        return version is not None and not self._allowed(version)

    def drafts(self, limit: int) -> list[Draft]:
        """Return drafts to be committed, the first finished first."""
        return list(itertools.islice(self._drafts.values(), limit))

    def is_draft(self, draft: Draft) -> bool:
        """Return whether a draft is still to be committed."""
        return self._drafts.get(draft.key) is draft

    def row_version(self, key: SampleKey) -> int:
        """Return the version of a sample's row, 0 without one."""
        committed = self._committed.get(key)
        return committed.row_version if committed else 0

    def committed(self, key: SampleKey, row_version: int, oldest_version: int) -> None:
        """Note a committed sample."""
        self._committed[key] = Committed(row_version, oldest_version)
        self._drafts.pop(key, None)
        if self._allowed(oldest_version):
            self._missing.discard(key)
        else:
            self._missing.add(key)

    def complete(self) -> bool:
        """Return whether every sample is committed and within the bound."""
        return not self._missing and not self._drafts

    def running_count(self) -> int:
        """Return the number of running attempts."""
        return self._running_total

    def committed_count(self) -> int:
        """Return the number of committed samples within the bound."""
        return len(self.keys) - len(self._missing) - len(self._drafts)

    def _ended(self, key: SampleKey, request_id: str) -> None:
        attempts = self._running.get(key, set())
        if request_id not in attempts:
            return
        attempts.discard(request_id)
        self._running_total -= 1
        if not attempts:
            del self._running[key]

    def _allowed(self, version: int) -> bool:
        return self.bound.allows(version, self.newest)


class NaiveStepProgress(StepProgress):
    """Ignore what an earlier owner committed; the naive version for tests."""

    def restore(self, rows: Iterable[Row]) -> None:
        """Ignore the rows."""


def _one(key: str, value: dict[str, Any]) -> tuple[Write, ...]:
    return (Write(key, value),)
