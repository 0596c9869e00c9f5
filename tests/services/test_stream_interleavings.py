"""Random interleavings of releases, kills and outages under streams of clients.

Software versions of a service come and go, and are taken back; endpoints crash; all
instances are killed at once; the store goes away, loses answers and carries out writes
late; instances hear of a release late. Clients take broken streams up elsewhere.
"""

import contextlib
import random

import anyio
import pytest
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy import route_table
from plantainstack.policy import stream_versions as policy
from plantainstack.services import (
    stream_bases,
    stream_records,
    stream_runs,
    stream_versions,
)
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import (
    EndpointChanges,
    OpenStream,
    OperatorChanges,
    RowsRead,
    StreamEvent,
    StreamHead,
    TakeUp,
)
from tests.policy.serving_samples import endpoint
from tests.services import store_fleet
from tests.services.random_days import play_all
from tests.services.store_fleet import FakePlatform, ScriptedEndpoints, running
from tests.services.test_stream_versions import STREAM_CONFIG, STREAM_ROUTE
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

SEEDS = (*range(24), 164, 179, 248)
DAY_S = 50.0
# A client gives up after this time, and its last attempt ends within the stream's life.
CLIENT_S = 6.0
# Time within which instances know that an endpoint or the store is back.
KNOWN_S = 2.5
# Time for which an endpoint that has left the list goes on with its streams.
LEAVING_S = 1.0


@pytest.fixture(autouse=True)
def short_bounds(monkeypatch):
    """Let bases change several times a day."""
    monkeypatch.setattr(policy, "STREAM_LIFE_S", 8.0)
    monkeypatch.setattr(policy, "BASE_TRUST_S", 3.0)
    monkeypatch.setattr(policy, "BASE_HANDOVER_S", 12.0)
    monkeypatch.setattr(policy, "BASE_MINOR_S", 1.0)
    monkeypatch.setattr(stream_versions, "REFRESH_S", 1.0)
    monkeypatch.setattr(stream_records, "EXPIRY_INTERVAL_S", 2.0)
    monkeypatch.setattr(stream_records, "SWEEP_INTERVAL_S", 20.0)


class FaultyStore(store_fleet.MemoryStore):
    """Lose answers, carry out writes late, and answer slowly, as the day draws."""

    faulty = False
    rng = random.Random(0)
    tasks = None

    async def transact(self, transaction):
        fault = self.rng.random() if FaultyStore.faulty else 1.0
        if fault < 0.15:
            FaultyStore.tasks.start_soon(self._apply_late, transaction)
            await anyio.sleep(self.rng.uniform(0.1, 1.0))
            return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, "scripted"))
        if fault < 0.5:
            self.faults = [self.rng.choice(["lost", "dropped", "down"])]
        await anyio.sleep(self.rng.uniform(0.0, 0.05))
        return await super().transact(transaction)

    async def _apply_late(self, transaction):
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        await super().transact(transaction)

    async def read(self, *args, **kwargs):
        await anyio.sleep(self.rng.uniform(0.0, 0.05))
        return await super().read(*args, **kwargs)

    async def table_rows(self, table):
        rows = []
        for part in self.rows.parts(table):
            found = await self.read(table, part)
            if found.is_err():
                return found
            rows += found.unwrap().rows
        return Ok(RowsRead(tuple(rows), self.rows.version, self.clock.now()))


class LaggingRegistry(store_fleet.FakeRegistry):
    """Return the endpoints as they were while the instance is cut off."""

    def __init__(self, platform):
        super().__init__(platform)
        self.cut_off = False
        self.seen = {}
        self.config = platform.config

    async def operator_changes(self, cursor, wait_s):
        await anyio.sleep(0.01)
        if not self.cut_off:
            self.config = self._platform.config
        return Ok(OperatorChanges(self.config, {}, 1))

    async def endpoint_changes(self, cursor, wait_s):
        await anyio.sleep(0.05)
        if not self.cut_off:
            self.seen = dict(self._platform.endpoints)
        return Ok(EndpointChanges(dict(self.seen), 1))

    async def endpoint(self, endpoint_id):
        if self.cut_off:
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "scripted"))
        return await super().endpoint(endpoint_id)


class Server:
    """A process of an endpoint, of one software version."""

    def __init__(self, id, software, now):
        self.id = id
        self.software = software
        self.listed_at = now
        self.is_listed = True
        self.ended = anyio.Event()


class _Stream(OpenStream):
    def __init__(self, server, rng, first, last):
        self.head = StreamHead(200, [], 1, None, None)
        self._server = server
        self._rng = rng
        self._numbers = range(first, last + 1)

    async def events(self):
        broken = Err(Failure.of(ErrorKind.ANSWER_TRUNCATED, "scripted"))
        for number in self._numbers:
            with anyio.move_on_after(self._rng.uniform(0.02, 0.3)):
                await self._server.ended.wait()
            if self._server.ended.is_set() or self._rng.random() < 0.04:
                yield broken
                return
            raw = f"{self._server.software} {number}".encode()
            yield Ok(StreamEvent(number, "", None, raw))


class Servers(ScriptedEndpoints):
    """Write streams whose events name their software version and their number."""

    def __init__(self, platform, rng):
        super().__init__(platform)
        self.rng = rng
        self.servers = {}

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        await anyio.sleep(self.rng.uniform(0.0, 0.1))
        server = self.servers[endpoint.id]
        if server.ended.is_set():
            yield Err(Failure.of(ErrorKind.ENDPOINT_REFUSED, "scripted"))
            return
        first = (call.resume_after or 0) + 1
        last = 5 + len(call.target) % 7
        yield Ok(_Stream(server, self.rng, first, last))


class Client:
    """Send one stream and take it up until it is complete; keep what was received."""

    def __init__(self, day, number):
        self.day = day
        self.number = number
        self.events = []
        self.first_id = None
        self.take_ups = 0
        self.done = False

    async def run(self):
        clock = self.day.platform.clock
        give_up_at = clock.now() + CLIENT_S
        for attempt in range(8):
            if clock.now() > give_up_at or self.done or not self.day.kernels:
                return
            kernel = self.day.rng.choice(self.day.kernels)
            id = f"c{self.number}-{attempt}"
            wait_s = await self._attempt(kernel, id, give_up_at + 1.0)
            await anyio.sleep(wait_s)

    async def _attempt(self, kernel, id, deadline):
        """Return the seconds to wait before the next attempt."""
        take_up = None
        if self.events:
            take_up = TakeUp(len(self.events), self.first_id)
            self.take_ups += 1
        sent = ClientCall(
            id, "POST", self.target(), "desk.example", (), b"", deadline, take_up
        )
        failure = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._break_off, kernel, tasks.cancel_scope)
            found = kernel.plugin("forwarding").stream(sent, self.route(kernel))
            async with contextlib.aclosing(found) as parts:
                async for part in parts:
                    if part.is_err():
                        failure = part.unwrap_err()
                    elif isinstance(part.unwrap(), bytes):
                        self.first_id = self.first_id or id
                        self.events.append(part.unwrap().decode().split())
            self.done = failure is None
            tasks.cancel_scope.cancel()
        if failure is not None and failure.outcome is Outcome.NOT_RUN:
            if take_up is not None:
                self.day.check_refusal(kernel, self.events[0][0], failure)
            return failure.retry_after_s or 0.25
        return self.day.rng.uniform(0.01, 0.5)

    async def _break_off(self, kernel, scope):
        await self.day.killed[kernel.settings.instance.id].wait()
        scope.cancel()

    def target(self):
        return f"/t/{self.number}" + "x" * (self.number % 7)

    def route(self, kernel):
        return STREAM_ROUTE

    def is_joined(self):
        return len({software for software, _ in self.events}) > 1

    def is_sound(self):
        numbers = [int(number) for _, number in self.events]
        whole = not self.done or len(numbers) == 5 + len(self.target()) % 7
        return whole and numbers == list(range(1, len(numbers) + 1))


class Day:
    """Play one random day and check what clients received."""

    client_type = Client

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = FakePlatform(LoopClock())
        self.platform.config = STREAM_CONFIG
        self.platform.endpoints = {}
        self.kernels = []
        self.killed = {}
        self.trouble_at = {}
        self.clients = []
        self.refused = []
        self.generation = 0

    async def play(self):
        self.servers = Servers(self.platform, self.rng)
        self.platform.client = self.servers
        FaultyStore.rng = self.rng
        FaultyStore.faulty = False
        for _ in range(self.rng.randint(2, 4)):
            self._start("V")
        async with anyio.create_task_group() as day:
            FaultyStore.tasks = day
            day.start_soon(self._run_instances)
            await anyio.sleep(3.0)
            for work in self.works():
                day.start_soon(work)
            await anyio.sleep(DAY_S)
            day.cancel_scope.cancel()
        assert not [each.number for each in self.clients if each.is_joined()], "joined"
        assert all(each.is_sound() for each in self.clients), "missing or twice"
        assert self.refused == [], "refused although it could go on"

    def works(self):
        return (
            self._send_streams,
            self._release,
            self._crash,
            self._disturb_store,
            self._cut_off,
        )

    def check_refusal(self, kernel, software, failure):
        now = self.platform.clock.now()
        if failure.kind is ErrorKind.QUARANTINED:
            return
        if now - self.trouble_at.get(kernel.settings.instance.id, -10.0) < KNOWN_S:
            return
        ready = [
            server.id
            for server in self.servers.servers.values()
            if server.software == software
            and server.is_listed
            and not server.ended.is_set()
            and now - server.listed_at > KNOWN_S
        ]
        if len(ready) > 1:
            self.refused.append((now, software, failure))

    async def _run_instances(self):
        """Run instances, and kill all of them now and then."""
        while True:
            self.generation += 1
            ids = [f"{name}{self.generation}" for name in "abc"]
            self.killed.update({id: anyio.Event() for id in ids})
            async with running(self.platform, *ids) as kernels:
                self.kernels = list(kernels)
                await anyio.sleep(self.rng.uniform(4.0, 20.0))
                self.kernels = []
                for id in ids:
                    self.killed[id].set()
            await anyio.sleep(self.rng.uniform(0.2, 1.5))

    async def _send_streams(self):
        async with anyio.create_task_group() as tasks:
            for number in range(10_000):
                client = self.client_type(self, number)
                self.clients.append(client)
                tasks.start_soon(client.run)
                await anyio.sleep(self.rng.uniform(0.02, 0.4))

    def _start(self, software):
        id = f"e{len(self.servers.servers)}"
        server = Server(id, software, self.platform.clock.now())
        self.servers.servers[id] = server
        self.platform.endpoints[id] = endpoint(id, software=software)

    async def _stop(self, server):
        server.is_listed = False
        self.platform.endpoints[server.id] = None
        await anyio.sleep(LEAVING_S)
        server.ended.set()

    async def _release(self):
        async with anyio.create_task_group() as tasks:
            for software in self.rng.sample(["W", "X", "V", "W", "X"], 4):
                await anyio.sleep(self.rng.uniform(1.0, 10.0))
                old = [each for each in self.servers.servers.values() if each.is_listed]
                stopped = self.rng.sample(old, self.rng.randint(1, len(old)))
                for server in stopped:
                    self._start(software)
                    if self.rng.random() < 0.9:
                        tasks.start_soon(self._stop, server)
                    await anyio.sleep(self.rng.choice([0.0, 0.0, 0.4, 1.5]))

    async def _crash(self):
        while True:
            await anyio.sleep(self.rng.uniform(0.5, 4.0))
            alive = [each for each in self.servers.servers.values() if each.is_listed]
            if len(alive) < 2:
                continue
            server = self.rng.choice(alive)
            server.ended.set()
            server.is_listed = False
            self.platform.endpoints[server.id] = None
            await anyio.sleep(self.rng.uniform(0.2, 1.0))
            self._start(server.software)

    async def _disturb_store(self):
        while True:
            await anyio.sleep(self.rng.uniform(1.0, 8.0))
            FaultyStore.faulty = self.rng.random() < 0.5
            kernels = list(self.kernels)
            for kernel in kernels:
                kernel.plugin("store").metadata_store.unavailable = True
            await self._trouble(kernels, self.rng.uniform(0.3, 5.0))
            for kernel in kernels:
                kernel.plugin("store").metadata_store.unavailable = False

    async def _cut_off(self):
        while True:
            await anyio.sleep(self.rng.uniform(1.0, 6.0))
            if not self.kernels:
                continue
            kernel = self.rng.choice(self.kernels)
            kernel.plugin("store").registry.cut_off = True
            await self._trouble([kernel], self.rng.uniform(0.5, 4.0))
            kernel.plugin("store").registry.cut_off = False

    async def _trouble(self, kernels, seconds):
        end = self.platform.clock.now() + seconds
        for kernel in kernels:
            id = kernel.settings.instance.id
            self.trouble_at[id] = max(end, self.trouble_at.get(id, 0.0))
        await anyio.sleep(seconds)


class RoutedClient(Client):
    """Send a stream below one of several prefixes."""

    def target(self):
        return f"/t/{'abc'[self.number % 3]}/{self.number}" + "x" * (self.number % 7)

    def route(self, kernel):
        return kernel.plugin("forwarding").route("desk.example", self.target()).unwrap()


class RoutedDay(Day):
    """Split, merge, rename and move the routes of streams, too."""

    client_type = RoutedClient

    def __init__(self, seed):
        super().__init__(seed)
        self._set_routes()

    def works(self):
        return (*super().works(), self._change_routes)

    def _set_routes(self):
        prefixes = self.rng.choice(
            [["/t/"], ["/"], ["/t/", "/t/a/"], ["/t/a/", "/t/b/", "/t/c/"]]
        )
        routes = [
            STREAM_ROUTE._replace(name=self.rng.choice("xyz") + prefix, prefix=prefix)
            for prefix in prefixes
        ]
        version = self.platform.config.version + 1
        routes = (*store_fleet.CONFIG.routes, *routes)
        self.platform.config = STREAM_CONFIG._replace(version=version, routes=routes)

    async def _change_routes(self):
        while True:
            await anyio.sleep(self.rng.uniform(0.3, 6.0))
            self._set_routes()


@pytest.fixture(autouse=True)
def faulty_platform(monkeypatch):
    """Let the instances of a day use the faulty store and the lagging list."""
    monkeypatch.setattr(store_fleet, "MemoryStore", FaultyStore)
    monkeypatch.setattr(store_fleet, "FakeRegistry", LaggingRegistry)


async def test_no_text_is_joined_from_two_versions_whatever_happens_beside():
    """Guards against joined texts, and against take-ups refused without need."""
    days = [Day(seed) for seed in SEEDS]
    for day in days:
        await day.play()
    clients = [client for day in days for client in day.clients]
    taken_up = [client for client in clients if client.take_ups]
    assert len(taken_up) > 20 * len(days)
    assert sum(client.done for client in taken_up) > len(taken_up) / 4
    assert sum(client.done for client in clients) > len(clients) / 2


async def test_no_text_is_joined_while_routes_change():
    """Guards against joined texts, and take-ups refused, after changes of routes."""
    days = [RoutedDay(seed) for seed in range(12)]
    for day in days:
        await day.play()
    clients = [client for day in days for client in day.clients]
    taken_up = [client for client in clients if client.take_ups]
    assert len(taken_up) > 20 * len(days)
    assert sum(client.done for client in taken_up) > len(taken_up) / 4


async def test_bases_of_routes_in_place_of_paths_are_caught(monkeypatch):
    """Checks the check: a wrong version keeps a base for each route."""

    def find(bases, host, path):
        found = route_table.match(bases._discovery.serving, host, path)
        return bases._rows.get(policy.base_keys(host, found.prefix)[0])

    monkeypatch.setattr(stream_bases.StreamBases, "find", find)
    with pytest.raises(AssertionError, match="joined"):
        await play_all(RoutedDay, range(12))


async def test_streams_resumed_at_any_version_are_caught(monkeypatch):
    """Checks the check: a wrong version resumes within one answer at any endpoint."""
    monkeypatch.setattr(stream_runs.StreamRun, "_fits", lambda *args: True)
    with pytest.raises(AssertionError, match="joined"):
        await play_all(Day, SEEDS)


async def test_streams_without_records_are_caught(monkeypatch):
    """Checks the check: a wrong version keeps versions in memory only."""
    monkeypatch.setattr(
        stream_versions.StreamVersions, "_needs_record", lambda *args: False
    )
    with pytest.raises(AssertionError, match="joined"):
        await play_all(Day, SEEDS)


async def test_events_passed_on_before_their_record_is_stored_are_caught(monkeypatch):
    """Checks the check: a wrong version does not wait for the record."""

    async def is_stored(*args):
        return True

    monkeypatch.setattr(stream_records.StreamRecords, "is_stored", is_stored)
    with pytest.raises(AssertionError, match="joined"):
        await play_all(Day, SEEDS)


async def test_base_versions_that_change_at_once_are_caught(monkeypatch):
    """Checks the check: a wrong version forgets streams without a record."""
    monkeypatch.setattr(policy, "BASE_HANDOVER_S", 0.0)
    with pytest.raises(AssertionError, match="joined"):
        await play_all(Day, SEEDS)


async def test_refusing_every_take_up_is_caught(monkeypatch):
    """Checks the check: a wrong version refuses whatever it has not passed on."""

    async def look_up(*args):
        return stream_records.unknown_origin("scripted")

    monkeypatch.setattr(stream_versions.StreamVersions, "_look_up", look_up)
    with pytest.raises(AssertionError, match="refused"):
        await play_all(Day, SEEDS)
