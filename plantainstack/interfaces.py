"""Interfaces to the platform, as abstract base classes."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from result import Result

from plantainstack.errors import Failure
from plantainstack.settings.options import Address

RowValue = dict[str, Any]


class Row(NamedTuple):
    """Hold a row of the table service; version 0 means that it is absent."""

    key: str
    version: int
    value: RowValue | None


class Check(NamedTuple):
    """Require that a row has a version."""

    key: str
    version: int


class Write(NamedTuple):
    """Set a row, or delete it with a value of None."""

    key: str
    value: RowValue | None


class Mutation(NamedTuple):
    """Hold writes that are applied together if all checks hold."""

    id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class MutationOutcome(NamedTuple):
    """Tell whether a mutation was applied, or which rows conflicted."""

    applied: bool
    conflicts: tuple[Row, ...] = ()


class TableService(ABC):
    """Keep rows durably, with atomic mutations.

    Failures are of kind `table_unavailable` when the request was surely not
    applied, else `table_outcome_unknown`.
    """

    @abstractmethod
    async def read(self, keys: Sequence[str]) -> Result[dict[str, Row], Failure]:
        """Return a row for each key."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Failure]:
        """Return existing rows in order of key, from behind the key `after`."""

    @abstractmethod
    async def commit(
        self, mutations: Sequence[Mutation]
    ) -> Result[list[MutationOutcome], Failure]:
        """Apply mutations in one durable transaction, each whole or not at all."""


class ObjectStore(ABC):
    """Keep objects durably; a name is written once."""

    @abstractmethod
    async def put(self, name: str, data: bytes) -> Result[None, Failure]:
        """Store an object."""

    @abstractmethod
    async def get(self, name: str) -> Result[bytes, Failure]:
        """Return an object."""


class InstanceKind(StrEnum):
    """Name what an instance of the list runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    PLAIN = "plain"


class InstanceState(StrEnum):
    """Name the state of an instance in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(NamedTuple):
    """Describe an instance; for an entry instance, the address is its peer address."""

    id: str
    service: str
    kind: InstanceKind
    data_centre: str
    address: Address
    state: InstanceState


class InstanceList(ABC):
    """List the platform's instances, with a lag."""

    @abstractmethod
    async def list(self) -> Result[list[InstanceRecord], Failure]:
        """Return all instances."""


class WeightStore(ABC):
    """Keep published weights and limit the rate at which they are loaded."""

    @abstractmethod
    async def latest(self, model: str) -> Result[int, Failure]:
        """Return the newest published version of a model, 0 without one."""

    @abstractmethod
    async def publish(self, model: str, version: int) -> Result[None, Failure]:
        """Publish a version of a model."""

    @abstractmethod
    async def acquire(self, model: str, version: int) -> Result[None, Failure]:
        """Take a permit for one load, or fail with kind `overloaded`."""


class Priority(StrEnum):
    """Name the priorities that engines honour."""

    CALLER = "caller"
    ROLLOUT = "rollout"


class GenerateRequest(NamedTuple):
    """Ask an engine for a completion; `prefix` is text to resume from.

    `sampling` holds the caller's further options, such as the temperature.
    """

    attempt_id: str
    model: str
    messages: list[dict[str, str]]
    max_tokens: int
    priority: Priority
    seed: int = 0
    prefix: str = ""
    sampling: dict[str, Any] | None = None


class CompletionChunk(NamedTuple):
    """Hold a part of a stream, with the weight version that produced it."""

    text: str
    tokens: int
    version: int | None


class Order(NamedTuple):
    """Order an engine to serve a target version of a model."""

    model: str
    version: int
    fence: int


class EngineStatus(NamedTuple):
    """Report what an engine serves and how busy it is."""

    model: str
    version: int
    loading: int | None
    running: int
    queued: int
    leaving: bool
    fence: int


class CacheEvent(NamedTuple):
    """Report that a prompt prefix was stored in or evicted from a cache."""

    number: int
    prefix_hash: str
    stored: bool


class Engine(ABC):
    """Generate completions and take orders."""

    @abstractmethod
    def generate(
        self, req: GenerateRequest, deadline: float
    ) -> AsyncIterator[Result[CompletionChunk, Failure]]:
        """Yield parts until the end marker; a failure ends the stream."""

    @abstractmethod
    async def status(self) -> Result[EngineStatus, Failure]:
        """Return the engine's report, which may lag."""

    @abstractmethod
    async def order(self, order: Order) -> Result[EngineStatus, Failure]:
        """Start to load a version; a refused fencing number is `lease_lost`."""

    @abstractmethod
    async def cancel(self, attempt_id: str) -> Result[None, Failure]:
        """Stop a running completion."""

    @abstractmethod
    async def cache_events(self, after: int) -> Result[list[CacheEvent], Failure]:
        """Return cache events behind a number; there may be gaps."""

    @abstractmethod
    async def export_kv(self, attempt_id: str) -> Result[bytes, Failure]:
        """Return the KV cache of a running completion."""

    @abstractmethod
    async def import_kv(self, attempt_id: str, data: bytes) -> Result[None, Failure]:
        """Load the KV cache of a completion that is to be resumed."""


class PlainRequest(NamedTuple):
    """Hold a call to a plain service."""

    attempt_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class PlainAnswer(NamedTuple):
    """Hold the whole answer of a plain service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PlainService(ABC):
    """Answer calls at one endpoint."""

    @abstractmethod
    async def call(
        self, req: PlainRequest, deadline: float
    ) -> Result[PlainAnswer, Failure]:
        """Return the whole answer."""


class Trainer(ABC):
    """Tell a trainer that a step is sealed; the trainer fetches it itself."""

    @abstractmethod
    async def notify(self, trainer: str, step: str) -> Result[None, Failure]:
        """Notify the trainer."""


class Scorer(ABC):
    """Score samples."""

    @abstractmethod
    async def score(
        self, samples: Sequence[dict[str, Any]], deadline: float
    ) -> Result[list[float], Failure]:
        """Return a score for each sample."""
