"""Types and interfaces of a deployment whose state lives in a metadata store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from enum import StrEnum
from typing import NamedTuple

from result import Result

from plantainstack.errors import Failure
from plantainstack.interfaces import PlainAnswer
from plantainstack.settings.options import Address

# A store whose history begins after the cursor cannot say what changed.
Cursor = int


class RequestKind(StrEnum):
    """Name what a route allows to be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(NamedTuple):
    """Give a service a weight among those of one route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe where requests of one host and path prefix go; times in seconds.

    `endpoints_max` is the number of endpoints that one request may run on.
    `queue_limit_s` and `result_target_s` hold for batches only.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    endpoints_max: int
    queue_limit_s: float
    result_target_s: float
    single_version: bool
    resumable: bool

    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAM and self.resumable
        )


class ServiceConfig(NamedTuple):
    """Describe a service: its connection limit and the models it hosts."""

    name: str
    connections_max: int
    models: tuple[str, ...]


class ClientLimits(NamedTuple):
    """Hold the limits on what a client sends; sizes in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServingConfig(NamedTuple):
    """Hold one version of the operator's routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    limits: ClientLimits


class Endpoint(NamedTuple):
    """Describe a registered endpoint; `started_ms` tells incarnations apart.

    `versions` maps each hosted model to the version of its weights.
    `warm_at` is the time on this process's clock at which its cold start ends.
    """

    id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int
    versions: dict[str, int]
    warm_at: float

    def incarnation(self) -> tuple[str, int]:
        """Return the identity of this run of the endpoint."""
        return (self.id, self.started_ms)


class OperatorChanges(NamedTuple):
    """Hold what the operator has written since a cursor."""

    config: ServingConfig | None
    versions: dict[str, int]
    cursor: Cursor


class EndpointChanges(NamedTuple):
    """Map ids to endpoints, or to None where the registration was removed."""

    changed: dict[str, Endpoint | None]
    cursor: Cursor


class HistoryLost(NamedTuple):
    """Tell that changes since a cursor are no longer known."""


class ServiceRegistry(ABC):
    """Follow what the operator and the endpoints write; cursor None reads all."""

    @abstractmethod
    async def operator_changes(
        self, cursor: Cursor | None, wait_s: float
    ) -> Result[OperatorChanges | HistoryLost, Failure]:
        """Return what the operator wrote after the cursor."""

    @abstractmethod
    async def endpoint_changes(
        self, cursor: Cursor | None, wait_s: float
    ) -> Result[EndpointChanges | HistoryLost, Failure]:
        """Return the registrations that changed after the cursor."""


class RowName(NamedTuple):
    """Name a row; rows that change together share a part."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """Hold a row; the value is None where the row was removed."""

    name: RowName
    value: bytes | None
    version: int


class Transaction(NamedTuple):
    """Hold one transaction: expected versions (0 for none), writes, removals."""

    expected: tuple[tuple[RowName, int], ...] = ()
    puts: tuple[tuple[RowName, bytes], ...] = ()
    removed: tuple[RowName, ...] = ()


class TransactionResult(NamedTuple):
    """Report a transaction; `store_now` is the store's steady clock in seconds.

    Where an expected version did not hold, nothing was applied and `conflicts`
    holds the current rows.
    """

    applied: bool
    version: int
    store_now: float
    conflicts: tuple[StoredRow, ...] = ()


class RowsRead(NamedTuple):
    """Hold rows as of one version of the store, from which a feed goes on."""

    rows: tuple[StoredRow, ...]
    cursor: Cursor
    store_now: float


class MetadataStore(ABC):
    """Keep rows and objects that outlive every process of the system.

    A failure with the outcome `not_run` states that nothing was done; one with
    `may_have_run` may take effect up to seconds later.
    """

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionResult, Failure]:
        """Apply a transaction atomically."""

    @abstractmethod
    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowsRead, Failure]:
        """Return the rows of a part whose keys lie in [first, end)."""

    @abstractmethod
    async def rows_changed(
        self, table: str, cursor: Cursor, wait_s: float
    ) -> Result[RowsRead | HistoryLost, Failure]:
        """Return the rows of a table that changed after the cursor."""

    @abstractmethod
    async def table_rows(self, table: str) -> Result[RowsRead, Failure]:
        """Return all rows of a table, with a cursor from before the first read."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> Result[None, Failure]:
        """Store an object; one of that name that exists is kept."""

    @abstractmethod
    async def get_object(self, name: str) -> Result[bytes | None, Failure]:
        """Return an object, or None if there is none."""

    @abstractmethod
    async def drop_object(self, name: str) -> Result[None, Failure]:
        """Remove an object."""


class Item(NamedTuple):
    """Hold one request of a batch; `length_hint` estimates its output tokens."""

    id: str
    group: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    length_hint: int


class Batch(NamedTuple):
    """Hold the items of one trainer step.

    `min_version` is the oldest version whose text the trainer accepts.
    `groups_wanted` is the number of whole groups that complete the step.
    """

    id: str
    host: str
    path: str
    model: str
    min_version: int
    groups_wanted: int
    items: tuple[Item, ...]


class ItemState(StrEnum):
    """Name how an item ended."""

    COMPLETED = "completed"
    ABANDONED = "abandoned"


class ItemResult(NamedTuple):
    """Hold the end of an item; `versions` produced its text, oldest first."""

    item_id: str
    state: ItemState
    text: str
    versions: tuple[int, ...]


class EndpointLoadReport(NamedTuple):
    """Hold what an endpoint said of its load with an answer."""

    running: int
    waiting: int
    slots: int


class EndpointAnswer(NamedTuple):
    """Hold an endpoint's whole answer to a plain request.

    `not_run` is its statement that it did not run the request.
    """

    answer: PlainAnswer
    not_run: bool
    load: EndpointLoadReport | None


class StreamEvent(NamedTuple):
    """Hold a whole event of a stream; `version` is set where it changes."""

    id: int | None
    data: str
    version: int | None
    raw: bytes


class StreamHead(NamedTuple):
    """Hold the start of a stream; `version` is that of the first event."""

    status: int
    headers: list[tuple[str, str]]
    version: int | None
    load: EndpointLoadReport | None


class OpenStream(ABC):
    """Read a stream that an endpoint has begun."""

    head: StreamHead

    @abstractmethod
    def events(self) -> AsyncIterator[Result[StreamEvent, Failure]]:
        """Yield whole events; the end without a failure is the stream's own end."""


class EndpointCall(NamedTuple):
    """Hold a request to one endpoint; the deadline is a time of the clock.

    `resume_after` is the last event that is already known.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    resume_after: int | None = None
    reuse_connection: bool = True


class OrderAnswer(StrEnum):
    """Name an endpoint's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    WRONG_ENDPOINT = "wrong_endpoint"
    REFUSED = "refused"


class LoadMode(StrEnum):
    """Name what becomes of running streams when weights are replaced."""

    FINISH_FIRST = "finish_first"
    RESET = "reset"
    CONTINUE = "continue"


class VersionOrder(NamedTuple):
    """Order an endpoint to load a version; `orders_seen` guards against overtaking.

    `fence` rises with each holder of the right to give orders.
    """

    model: str
    version: int
    mode: LoadMode
    holder: str
    fence: int
    orders_seen: int


class EndpointReport(NamedTuple):
    """Hold an endpoint's own state, some hundred ms old."""

    versions: dict[str, int]
    busy: bool
    orders_seen: int


class EndpointClient(ABC):
    """Send requests and orders to endpoints."""

    @abstractmethod
    async def call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[EndpointAnswer, Failure]:
        """Return the endpoint's whole answer."""

    @abstractmethod
    def stream(self, endpoint: Endpoint, call: EndpointCall):
        """Return a context that opens a stream: `Result[OpenStream, Failure]`."""

    @abstractmethod
    async def order(
        self, endpoint: Endpoint, order: VersionOrder, deadline: float
    ) -> Result[OrderAnswer, Failure]:
        """Give an order."""

    @abstractmethod
    async def report(
        self, endpoint: Endpoint, deadline: float
    ) -> Result[EndpointReport, Failure]:
        """Return the endpoint's own state."""

    @abstractmethod
    def close_idle(self, endpoints: Sequence[Endpoint]) -> None:
        """Close idle connections to endpoints that are gone."""
