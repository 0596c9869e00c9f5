"""Dependencies and policies shared by the owner of a step and the step service."""

from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import msgspec
import xxhash
from result import Ok, Result

from plantainstack.clock import Clock
from plantainstack.errors import Failure
from plantainstack.interfaces import (
    CompletionChunk,
    GenerateRequest,
    ObjectStore,
    Row,
    Scorer,
    TableService,
)
from plantainstack.policy.samples import (
    Labels,
    ReportedLabels,
    StepKeys,
    StepProgress,
    StepRecord,
    StepWrites,
    VersionBound,
)
from plantainstack.policy.stragglers import Stragglers
from plantainstack.requests import RequestContext
from plantainstack.services.leases import LeaseClient
from plantainstack.services.weights import WeightHeads
from plantainstack.settings.fleet import FleetOptions
from plantainstack.trace import TraceBuffer

SCAN_LIMIT = 1000


Generate = Callable[
    [RequestContext, GenerateRequest], AsyncIterator[Result[CompletionChunk, Failure]]
]


class StepDependencies(NamedTuple):
    """Services that a step's owner and the step service use."""

    table: TableService
    objects: ObjectStore
    scorer: Scorer
    generate: Generate
    heads: WeightHeads
    leases: LeaseClient
    clock: Clock
    trace: TraceBuffer
    options: Callable[[StepRecord], FleetOptions]
    may_hedge: Callable[[StepRecord], bool] = lambda record: True


class StepPolicies(NamedTuple):
    """Policies that enforce the guarantees; tests replace them by naive versions."""

    labels: Labels = ReportedLabels()
    bound: Callable[[StepRecord], VersionBound] = VersionBound
    writes: Callable[[StepKeys], StepWrites] = StepWrites
    progress: type[StepProgress] = StepProgress
    stragglers: type[Stragglers] = Stragglers


class OpenRequest(NamedTuple):
    """A trainer's request to open a step; the deadline is in Unix seconds."""

    step: str
    model: str
    policy_version: int
    version_bound: int
    prompts: list[list[dict[str, str]]]
    samples_per_group: int
    max_tokens: int
    deadline: float

    def digest(self) -> str:
        """Hash the request without its deadline, which a repetition may change."""
        content = msgspec.json.encode(self._replace(deadline=0.0))
        return xxhash.xxh3_128_hexdigest(content)


async def scan_all(table: TableService, prefix: str) -> Result[list[Row], Failure]:
    """Return all rows with a prefix, read in pages."""
    rows: list[Row] = []
    while True:
        page = await table.scan(prefix, rows[-1].key if rows else "", SCAN_LIMIT)
        if page.is_err():
            return page
        rows += page.unwrap()
        if len(page.unwrap()) < SCAN_LIMIT:
            return Ok(rows)
