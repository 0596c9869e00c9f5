"""Types and interfaces for deployments that keep their state in a metadata store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from result import Result

from plantainstack.duties import ScaleLimits
from plantainstack.errors import Failure
from plantainstack.interfaces import PlainAnswer
from plantainstack.policy.tenants import TenantDirectory
from plantainstack.settings.options import Address

# A version of the store. Changes after it can be read only while the store still
# keeps its history back to that version.
Cursor = int


class RequestKind(StrEnum):
    """Classify a route's requests by how they may be retried and answered.

    Safe requests may run more than once, unsafe ones at most once.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(NamedTuple):
    """Hold the weight of a service in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe how requests for a host and path prefix are routed; times in seconds.

    `endpoints_max` is the maximum number of endpoints that may run one request.
    `queue_limit_s` and `result_target_s` apply to batches only. Requests on a `public`
    route need no key.
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
    public: bool = False

    def repeatable(self) -> bool:
        """Return whether a request may run more than once.

        Streams qualify if they can be resumed after their last event.
        """
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAM and self.resumable
        )


class ServiceConfig(NamedTuple):
    """Configure a service: its connection limit and the models it hosts.

    `scale` is set if the number of its endpoints can be ordered.
    """

    name: str
    connections_max: int
    models: tuple[str, ...]
    scale: ScaleLimits | None = None


class ClientLimits(NamedTuple):
    """Limit the size and the timing of client requests (bytes and seconds)."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServingConfig(NamedTuple):
    """Hold one version of the configuration: routes, services and client limits.

    Requests need no key if `tenants` is None.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    limits: ClientLimits
    tenants: TenantDirectory | None = None


class Endpoint(NamedTuple):
    """Describe a registered endpoint.

    `started_ms` is its start time and identifies the incarnation. `software` is the
    version of its software: texts of different ones cannot be joined. `versions` maps
    each hosted model to the version of its weights. `warm_at` is the time on this
    process's clock at which the endpoint's cold start ends. A `reclaimable` endpoint
    may be taken away at short notice; `leaves_at` is the time at which an endpoint that
    leaves has gone, if it is known.
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
    software: str = ""
    reclaimable: bool = False
    leaves_at: float | None = None

    def incarnation(self) -> tuple[str, int]:
        """Return a key that is unique to this run of the endpoint process."""
        return (self.id, self.started_ms)


class OperatorChanges(NamedTuple):
    """Hold the configuration and model versions that changed after a cursor.

    `config` is None if the configuration has not changed. `config_unreadable` is set if
    its newest row cannot be decoded or was removed.
    """

    config: ServingConfig | None
    versions: dict[str, int]
    cursor: Cursor
    config_unreadable: bool = False

    def split(self) -> "list[OperatorChanges]":
        """Return each change alone."""
        versions = [
            OperatorChanges(None, {model: version}, self.cursor)
            for model, version in self.versions.items()
        ]
        return [self._replace(versions={}), *versions]


class EndpointChanges(NamedTuple):
    """Map endpoint ids to registrations, or to None for removed ones."""

    changed: dict[str, Endpoint | None]
    cursor: Cursor

    def split(self) -> "list[EndpointChanges]":
        """Return each change alone."""
        return [self._replace(changed={id: end}) for id, end in self.changed.items()]


class HistoryLost(NamedTuple):
    """Report that the store no longer has the history after the given cursor."""


class ServiceRegistry(ABC):
    """Read the configuration and endpoint registrations as feeds of changes.

    With the cursor None, a call returns the complete current state.
    """

    @abstractmethod
    async def operator_changes(
        self, cursor: Cursor | None, wait_s: float
    ) -> Result[OperatorChanges | HistoryLost, Failure]:
        """Return configuration and model versions written after the cursor.

        Waits up to `wait_s` for a change.
        """

    @abstractmethod
    async def endpoint_changes(
        self, cursor: Cursor | None, wait_s: float
    ) -> Result[EndpointChanges | HistoryLost, Failure]:
        """Return endpoint registrations that changed after the cursor.

        Waits up to `wait_s` for a change.
        """

    @abstractmethod
    async def endpoint(self, endpoint_id: str) -> Result[Endpoint | None, Failure]:
        """Return the present registration of an endpoint, None if it has no valid one.

        The registration is as of after the call began.
        """


class RowName(NamedTuple):
    """Identify a row by table, partition and key.

    Rows that change in one transaction share a partition (`part`).
    """

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """Hold a row and its version; the value is None if the row was removed."""

    name: RowName
    value: bytes | None
    version: int


class Transaction(NamedTuple):
    """Describe a transaction with optimistic concurrency control.

    `expected` lists row versions that must match for it to be applied; version 0
    means that the row must not exist.
    """

    expected: tuple[tuple[RowName, int], ...] = ()
    puts: tuple[tuple[RowName, bytes], ...] = ()
    removed: tuple[RowName, ...] = ()


class TransactionResult(NamedTuple):
    """Hold the result of a transaction.

    If an expected version did not match, nothing was applied and `conflicts` holds
    the current rows. `store_now` is the store's monotonic clock in seconds.
    """

    applied: bool
    version: int
    store_now: float
    conflicts: tuple[StoredRow, ...] = ()


class RowsRead(NamedTuple):
    """Hold rows as of one version of the store; a feed continues from `cursor`."""

    rows: tuple[StoredRow, ...]
    cursor: Cursor
    store_now: float

    def split(self) -> "list[RowsRead]":
        """Return each row alone."""
        return [self._replace(rows=(row,)) for row in self.rows]


class MetadataStore(ABC):
    """Store rows and objects durably, independent of any process of the system.

    A failure with the outcome `not_run` guarantees that the call had no effect. A
    call that failed with `may_have_run` can still take effect seconds later.
    """

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionResult, Failure]:
        """Apply a transaction completely or not at all."""

    @abstractmethod
    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowsRead, Failure]:
        """Return the rows of a partition with keys in [first, end).

        An empty bound leaves that side of the range open.
        """

    @abstractmethod
    async def rows_changed(
        self, table: str, cursor: Cursor, wait_s: float
    ) -> Result[RowsRead | HistoryLost, Failure]:
        """Return the rows of a table that changed after the cursor.

        Waits up to `wait_s` for a change.
        """

    @abstractmethod
    async def table_rows(self, table: str) -> Result[RowsRead, Failure]:
        """Return all rows of a table.

        The cursor precedes the first read, so a feed that starts there misses no
        change made during the call.
        """

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> Result[None, Failure]:
        """Store an object; an existing object of the same name is not overwritten."""

    @abstractmethod
    async def get_object(self, name: str) -> Result[bytes | None, Failure]:
        """Return the content of an object, or None if it does not exist."""

    @abstractmethod
    async def drop_object(self, name: str) -> Result[None, Failure]:
        """Delete an object; deleting a missing one is not an error."""


class RewardCall(NamedTuple):
    """Hold the request that scores the complete text of an item."""

    id: str
    host: str
    path: str
    body: bytes


class Item(NamedTuple):
    """Hold one request of a batch; `length_hint` is the expected output tokens.

    An item with a reward call is complete only once that call has given its score.
    """

    id: str
    group: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    length_hint: int
    reward_call: RewardCall | None = None


class Batch(NamedTuple):
    """Hold the items of one trainer step.

    `min_version` is the oldest weight version whose output the trainer accepts.
    `groups_wanted` is the number of complete groups that the step needs. `tenant` names
    the tenant that submitted the batch; it is empty without tenants.
    """

    id: str
    host: str
    path: str
    model: str
    min_version: int
    groups_wanted: int
    items: tuple[Item, ...]
    tenant: str = ""


class Prompt(NamedTuple):
    """Describe the prompt of a request by its parts: pairs of an id and its tokens.

    The parts are in order; the last one belongs to the request alone.
    """

    model: str
    parts: tuple[tuple[str, int], ...]

    def shared(self) -> tuple[tuple[str, int], ...]:
        """Return the parts that other requests may begin with, too."""
        return self.parts[:-1]

    def tokens(self) -> int:
        """Return the tokens of all parts."""
        return sum(tokens for _, tokens in self.parts)


class ItemState(StrEnum):
    """Describe the final state of an item."""

    COMPLETED = "completed"
    ABANDONED = "abandoned"


class ItemResult(NamedTuple):
    """Hold the result of an item.

    `versions` lists the weight versions that generated the text, oldest first.
    `score` is the receipt of the answer to the item's reward call, if it has one.
    """

    item_id: str
    state: ItemState
    text: str
    versions: tuple[int, ...]
    score: str | None = None


class EndpointLoadReport(NamedTuple):
    """Hold the load that an endpoint reported with a response.

    `slowness` is the time that work takes on its machine at this moment, relative to
    the usual time; None if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class EndpointAnswer(NamedTuple):
    """Hold an endpoint's complete response to a non-streaming request.

    `not_run` is set if the endpoint declared that it did not run the request.
    `receipt` is the endpoint's proof that it produced this response. `rate_limit` is
    the number of requests a second that it accepts from all instances together.
    """

    answer: PlainAnswer
    not_run: bool
    load: EndpointLoadReport | None
    receipt: str | None = None
    rate_limit: float | None = None


class StreamEvent(NamedTuple):
    """Hold one complete event of a stream.

    `version` is the weight version, given only if it differs from that of the event
    before. `raw` is the encoded event as received.
    """

    id: int | None
    data: str
    version: int | None
    raw: bytes


class StreamHead(NamedTuple):
    """Hold the response head of a stream.

    `version` is the weight version of the first event. `rate_limit` is that of an
    `EndpointAnswer`.
    """

    status: int
    headers: list[tuple[str, str]]
    version: int | None
    load: EndpointLoadReport | None
    rate_limit: float | None = None


class TakeUp(NamedTuple):
    """Say where a client wants to go on in a stream that it has read in part.

    `after` is the id of the last event that it read, None if it was unreadable.
    `stream_id` is the request id of the attempt that brought its first event, empty if
    it named none.
    """

    after: int | None
    stream_id: str


class OpenStream(ABC):
    """Read the events of a stream opened at an endpoint."""

    head: StreamHead

    @abstractmethod
    def events(self) -> AsyncIterator[Result[StreamEvent, Failure]]:
        """Yield complete events.

        A stream that was cut off yields a failure last; otherwise it is complete.
        """


def rate_limit_of(found: OpenStream | EndpointAnswer) -> float | None:
    """Return the limit that an endpoint named when a stream was requested."""
    return found.head.rate_limit if isinstance(found, OpenStream) else found.rate_limit


class EndpointCall(NamedTuple):
    """Hold a request to one endpoint; the deadline is a time on the process's clock.

    `resume_after` is the id of the last event received, for resuming a stream. An
    endpoint that falls silent is given up after a time, or at the deadline if
    `awaits_silent` is set. Answers to `control` calls have neither id nor receipt.
    `tenant` is the name of the tenant for which the request runs, empty if none is
    known, and None without tenants. Unless it is None, the endpoint gets no key and no
    tenant or priority that a client named. `priority` is the rank of the request at a
    model engine, 0 being the highest.
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
    awaits_silent: bool = False
    control: bool = False
    tenant: str | None = None
    priority: int | None = None


class OrderAnswer(StrEnum):
    """Describe how an endpoint responded to a version order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    WRONG_ENDPOINT = "wrong_endpoint"
    REFUSED = "refused"


class LoadMode(StrEnum):
    """Choose what happens to running streams when an endpoint loads weights."""

    FINISH_FIRST = "finish_first"
    RESET = "reset"
    CONTINUE = "continue"


class VersionOrder(NamedTuple):
    """Order an endpoint to load a version of a model's weights.

    `fence` is a fencing token: it increases each time the order lease is acquired.
    `orders_seen` is the number of orders that the endpoint has accepted; an order
    with another number is rejected, so a delayed order cannot undo a later one.
    """

    model: str
    version: int
    mode: LoadMode
    holder: str
    fence: int
    orders_seen: int


class EndpointReport(NamedTuple):
    """Hold the state that an endpoint reported, a few hundred ms old."""

    versions: dict[str, int]
    busy: bool
    orders_seen: int


class EndpointClient(ABC):
    """Send requests and orders to endpoints."""

    @abstractmethod
    async def call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[EndpointAnswer, Failure]:
        """Send a non-streaming request and return the complete response."""

    @abstractmethod
    def stream(self, endpoint: Endpoint, call: EndpointCall):
        """Return an async context manager that opens a stream.

        It yields `Result[OpenStream | EndpointAnswer, Failure]`.
        """

    @abstractmethod
    async def order(
        self, endpoint: Endpoint, order: VersionOrder, deadline: float
    ) -> Result[OrderAnswer, Failure]:
        """Send an order and return the endpoint's response."""

    @abstractmethod
    async def report(
        self, endpoint: Endpoint, deadline: float
    ) -> Result[EndpointReport, Failure]:
        """Fetch the endpoint's current state from the endpoint itself."""

    @abstractmethod
    def notify_leaving(self, listener: Callable[[Endpoint], None]) -> None:
        """Call `listener` for each answer whose endpoint says in it that it leaves."""

    @abstractmethod
    def drop_connections(self, endpoints: Sequence[Endpoint]) -> None:
        """Drop the connection pools of endpoints that were removed."""

    def prompt(self, headers: Sequence[tuple[str, str]]) -> Prompt | None:
        """Return the prompt that a request's headers describe, None without one."""
        return None
