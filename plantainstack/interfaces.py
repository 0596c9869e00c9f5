"""Abstract interfaces to the platform's services, and the types they exchange."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from result import Result

from plantainstack.errors import Failure
from plantainstack.policy.answer_memory import Reservation
from plantainstack.settings.options import Address

RowValue = dict[str, Any]


class Row(NamedTuple):
    """A row of the table service; version 0 means that the row does not exist."""

    key: str
    version: int
    value: RowValue | None


class Check(NamedTuple):
    """Precondition that a row has a given version."""

    key: str
    version: int


class Write(NamedTuple):
    """New value of a row; None deletes the row."""

    key: str
    value: RowValue | None


class Mutation(NamedTuple):
    """Writes that are applied atomically if all checks hold."""

    id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class MutationOutcome(NamedTuple):
    """Result of a mutation: applied, or the current rows whose checks failed."""

    applied: bool
    conflicts: tuple[Row, ...] = ()


class TableService(ABC):
    """Durable key-value table with conditional, atomic mutations.

    Failures are of kind `table_unavailable` if the request was certainly not
    applied, and of kind `table_outcome_unknown` otherwise.
    """

    @abstractmethod
    async def read(self, keys: Sequence[str]) -> Result[dict[str, Row], Failure]:
        """Return one row for each key, with version 0 for keys that do not exist."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Failure]:
        """Return up to `limit` existing rows in key order, after the key `after`."""

    @abstractmethod
    async def commit(
        self, mutations: Sequence[Mutation]
    ) -> Result[list[MutationOutcome], Failure]:
        """Apply mutations in one durable transaction, each completely or not at all."""


class ObjectStore(ABC):
    """Durable object store; the object of a name never changes."""

    @abstractmethod
    async def put(self, name: str, data: bytes) -> Result[None, Failure]:
        """Store an object."""

    @abstractmethod
    async def get(self, name: str) -> Result[bytes, Failure]:
        """Return an object."""


class InstanceKind(StrEnum):
    """What an instance in the instance list runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    PLAIN = "plain"


class InstanceState(StrEnum):
    """State of an instance in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(NamedTuple):
    """An instance in the list; of an entry instance, `address` is the peer address."""

    id: str
    service: str
    kind: InstanceKind
    data_centre: str
    address: Address
    state: InstanceState


class InstanceList(ABC):
    """The platform's list of instances, which may be out of date."""

    @abstractmethod
    async def list(self) -> Result[list[InstanceRecord], Failure]:
        """Return all instances."""


class WeightStore(ABC):
    """Registry of published weight versions, which limits the rate of loads."""

    @abstractmethod
    async def latest(self, model: str) -> Result[int, Failure]:
        """Return the newest published version of a model, or 0 if there is none."""

    @abstractmethod
    async def publish(self, model: str, version: int) -> Result[None, Failure]:
        """Publish a version of a model."""

    @abstractmethod
    async def acquire(self, model: str, version: int) -> Result[None, Failure]:
        """Acquire a permit for one load; fail with `overloaded` if none is free."""


class Priority(StrEnum):
    """Scheduling priority of a request at an engine."""

    CALLER = "caller"
    ROLLOUT = "rollout"


class GenerateRequest(NamedTuple):
    """A request for a completion; `prefix` is generated text to resume from.

    `sampling` holds further sampling options of the caller, such as `temperature`.
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
    """A chunk of a completion stream, with the weight version that generated it."""

    text: str
    tokens: int
    version: int | None


class Order(NamedTuple):
    """An order to an engine to load a version of a model, with a fencing token."""

    model: str
    version: int
    fence: int


class EngineStatus(NamedTuple):
    """An engine's report on its version and its load."""

    model: str
    version: int
    loading: int | None
    running: int
    queued: int
    leaving: bool
    fence: int


class CacheEvent(NamedTuple):
    """A report that a prompt prefix was stored in or evicted from an engine's cache."""

    number: int
    prefix_hash: str
    stored: bool


class Engine(ABC):
    """A model engine, which generates completions and loads weight versions."""

    @abstractmethod
    def generate(
        self, req: GenerateRequest, deadline: float
    ) -> AsyncIterator[Result[CompletionChunk, Failure]]:
        """Yield chunks until the end marker; a failure ends the stream."""

    @abstractmethod
    async def status(self) -> Result[EngineStatus, Failure]:
        """Return the engine's report, which may be out of date."""

    @abstractmethod
    async def order(self, order: Order) -> Result[EngineStatus, Failure]:
        """Start loading a version; a stale fencing token fails with `lease_lost`."""

    @abstractmethod
    async def cancel(self, attempt_id: str) -> Result[None, Failure]:
        """Cancel a running completion."""

    @abstractmethod
    async def cache_events(self, after: int) -> Result[list[CacheEvent], Failure]:
        """Return cache events with numbers above `after`; there may be gaps."""

    @abstractmethod
    async def export_kv(self, attempt_id: str) -> Result[bytes, Failure]:
        """Return the KV cache of a running completion."""

    @abstractmethod
    async def import_kv(self, attempt_id: str, data: bytes) -> Result[None, Failure]:
        """Import the KV cache of a completion that is to be resumed."""


class PlainRequest(NamedTuple):
    """A call to a plain service."""

    attempt_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class PlainAnswer(NamedTuple):
    """The complete answer of a plain service.

    `held` keeps the memory of the body reserved.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    held: Reservation | None = None


class PlainService(ABC):
    """One endpoint of a plain service."""

    @abstractmethod
    async def call(
        self, req: PlainRequest, deadline: float
    ) -> Result[PlainAnswer, Failure]:
        """Return the complete answer; the deadline is a monotonic time in seconds."""


class Trainer(ABC):
    """Notifies trainers of sealed steps, which they then fetch themselves."""

    @abstractmethod
    async def notify(self, trainer: str, step: str) -> Result[None, Failure]:
        """Notify the trainer that the step is sealed."""


class Scorer(ABC):
    """Service that scores samples."""

    @abstractmethod
    async def score(
        self, samples: Sequence[dict[str, Any]], deadline: float
    ) -> Result[list[float], Failure]:
        """Return one score for each sample, in order."""
