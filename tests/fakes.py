"""In-memory fakes of the platform's interfaces, shared by several tests."""

from types import SimpleNamespace

import anyio
import httpcore
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import (
    CompletionChunk,
    Engine,
    InstanceKind,
    InstanceRecord,
    InstanceState,
    MutationOutcome,
    ObjectStore,
    PlainAnswer,
    PlainService,
    Row,
    TableService,
)
from plantainstack.kernel import Kernel, State
from plantainstack.links.endpoint import EndpointLinks
from plantainstack.plugins import Plugin
from plantainstack.policy.limits import OpenAdmission
from plantainstack.policy.retries import FixedRetries
from plantainstack.policy.routing import RoundRobinRouter
from plantainstack.services.dispatch import Dispatch
from plantainstack.settings.options import Address


def record(name, service="booking-app", kind=InstanceKind.PLAIN):
    """Return the record of a live endpoint."""
    address = Address("127.0.0.1", 1)
    return InstanceRecord(name, service, kind, "dc", address, InstanceState.LIVE)


def failure(kind, outcome=None):
    """Return a failed result for use in a script."""
    return Err(Failure.of(kind, "scripted", outcome))


REFUSED = failure(ErrorKind.ENDPOINT_REFUSED)
TIMED_OUT = failure(ErrorKind.ANSWER_TIMEOUT)
CROSSED = failure(ErrorKind.ANSWER_CROSSED)
TRUNCATED = failure(ErrorKind.ANSWER_TRUNCATED)
ENDPOINT_FAILED = failure(ErrorKind.ENDPOINT_FAILED)


class FakePlain(PlainService):
    """Plain service that answers from a script; `runs` lists the requests that ran.

    A step of the script is a result, or an async function that returns one. A
    request without a step gets its body back with status 200.
    """

    def __init__(self):
        self.script = []
        self.calls = []
        self.runs = []

    async def call(self, req, deadline):
        self.calls.append(req)
        step = self.script.pop(0) if self.script else None
        if callable(step):
            step = await step(req)
        if step is not None and step.is_err():
            if step.err_value.outcome is not Outcome.NOT_RUN:
                self.runs.append(req)
            return step
        self.runs.append(req)
        return step or Ok(PlainAnswer(200, [("Content-Type", "text/plain")], req.body))


class FakeEngine(Engine):
    """Engine that streams scripted lists of texts, one list per request.

    A failure in a list ends the stream. If `gate` is set, each step waits for it.
    `cancelled` counts the streams that were closed before their end.
    """

    def __init__(self):
        self.script = []
        self.requests = []
        self.gate = None
        self.cancelled = 0

    async def generate(self, req, deadline):
        self.requests.append(req)
        steps = self.script.pop(0) if self.script else ["one ", "two"]
        done = False
        try:
            for step in steps:
                if self.gate is not None:
                    await self.gate.wait()
                yield (
                    step
                    if not isinstance(step, str)
                    else Ok(CompletionChunk(step, 1, 7))
                )
            done = True
        finally:
            self.cancelled += not done

    async def cancel(self, attempt_id):
        return Ok(None)

    async def _unused(self, *args):
        raise NotImplementedError

    status = order = cache_events = export_kv = import_kv = _unused


UNAVAILABLE = failure(ErrorKind.TABLE_UNAVAILABLE)
UNKNOWN = failure(ErrorKind.TABLE_OUTCOME_UNKNOWN)


class FakeTable(TableService):
    """Table service in memory; `faults` lists the faults of the next requests.

    A fault is `down` (refused), `lost` (takes effect, but the response is lost)
    or `dropped` (never arrives, which the sender cannot distinguish from `lost`).
    Once the list is empty, `default_fault` applies to every request.
    """

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.default_fault = None

    async def read(self, keys):
        fault = await self._enter()
        if fault:
            return UNAVAILABLE
        return Ok({key: self._row(key) for key in keys})

    async def scan(self, prefix, after="", limit=1000):
        if await self._enter():
            return UNAVAILABLE
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return Ok([self.rows[key] for key in keys[:limit]])

    async def commit(self, mutations):
        fault = await self._enter()
        if fault == "down":
            return UNAVAILABLE
        if fault == "dropped":
            return UNKNOWN
        outcomes = [self.apply(mutation) for mutation in mutations]
        return UNKNOWN if fault == "lost" else Ok(outcomes)

    async def _enter(self):
        await anyio.sleep(0)
        return self.faults.pop(0) if self.faults else self.default_fault

    def apply(self, mutation):
        """Apply a mutation, or return the rows whose versions conflict with it."""
        rows = [self._row(check.key) for check in mutation.checks]
        pairs = zip(rows, mutation.checks, strict=True)
        conflicts = tuple(row for row, check in pairs if row.version != check.version)
        if conflicts:
            return MutationOutcome(False, conflicts)
        for write in mutation.writes:
            row = Row(write.key, self._row(write.key).version + 1, write.value)
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = row
        return MutationOutcome(True)

    def _row(self, key):
        return self.rows.get(key, Row(key, 0, None))


class FakeObjects(ObjectStore):
    """Object store in memory that refuses every request while `down` is set."""

    def __init__(self):
        self.data = {}
        self.down = False

    async def put(self, name, data):
        if self.down:
            return failure(ErrorKind.STORE_UNAVAILABLE)
        self.data[name] = data
        return Ok(None)

    async def get(self, name):
        if self.down:
            return failure(ErrorKind.STORE_UNAVAILABLE)
        if name not in self.data:
            return failure(ErrorKind.NOT_FOUND)
        return Ok(self.data[name])


class FakePlatformPlugin(Plugin, register=False):
    """Plug-in `platform` with a fake table service and object store."""

    name = "platform"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.table = FakeTable()
        self.objects = FakeObjects()


class FakePeers(Plugin, register=False):
    """Plug-in `peers` that calls the handlers of the fakes in `network` directly.

    `network` maps instance ids to the other instances' fakes.
    """

    name = "peers"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.handlers = {}
        self.network = {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def request(self, peer_id, message, deadline):
        peer = self.network.get(peer_id)
        if peer is None:
            return failure(ErrorKind.ENDPOINT_REFUSED)
        own_id = self.kernel.settings.instance.id
        return Ok(await peer.handlers[message["type"]](own_id, message))


class FakeMembership(Plugin, register=False):
    """Plug-in `membership` whose members are set by the test."""

    name = "membership"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.members = {}

    def view(self):
        return SimpleNamespace(members=self.members)


class FakeLinks(EndpointLinks):
    """Links that return the same fake engine or plain service for every record."""

    def __init__(self, kernel):
        super().__init__(kernel)
        self.fake_engine = FakeEngine()
        self.fake_plain = FakePlain()

    def engine(self, record):
        return self.fake_engine

    def plain(self, record, fresh=False):
        return self.fake_plain


class FakeEndpoints(Plugin, register=False):
    """Plug-in `endpoints` with naive policies, which a test may replace."""

    name = "endpoints"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.router = RoundRobinRouter()
        self.admission = OpenAdmission()
        self.retries = FixedRetries()

    def on_endpoints(self, records):
        self.router.update_endpoints(records, self.kernel.clock.now())


PLATFORM_FAKES = (
    FakeLinks,
    FakeEndpoints,
    FakePlatformPlugin,
    FakePeers,
    FakeMembership,
)


def endpoints():
    """Return the records of two endpoints of each service."""
    plain = [record(name) for name in ("p1", "p2")]
    engines = [
        record(name, "raadgiver-llm", InstanceKind.ENGINE) for name in ("e1", "e2")
    ]
    return plain + engines


def serving_kernel(clock, settings=None, plugins=(FakeLinks, FakeEndpoints, Dispatch)):
    """Return a kernel in the state SERVING with endpoints, but no started tasks."""
    kernel = Kernel(settings, plugins, clock)
    kernel.emit("endpoints", endpoints())
    kernel.state = State.SERVING
    return kernel


class ScriptedStream(httpcore.AsyncNetworkStream):
    """Network stream whose reads return scripted bytes or raise scripted errors.

    A step may also be a function of the bytes sent, or an event to wait for.
    """

    def __init__(self, steps):
        self.steps = list(steps)
        self.sent = b""
        self.closed = False

    async def read(self, max_bytes, timeout=None):
        step = self.steps.pop(0) if self.steps else b""
        if isinstance(step, anyio.Event):
            await step.wait()
        if callable(step):
            step = step(self.sent)
        if isinstance(step, Exception):
            raise step
        return step

    async def write(self, buffer, timeout=None):
        self.sent += buffer

    async def aclose(self):
        self.closed = True

    def get_extra_info(self, info):
        return None


class ScriptedBackend(httpcore.AsyncNetworkBackend):
    """Network backend with scripted streams.

    `on_connect` runs while a connection is opened.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.streams = []
        self.on_connect = lambda: None

    async def connect_tcp(self, host, port, timeout=None, **options):
        self.on_connect()
        script = self.scripts.pop(0)
        if isinstance(script, Exception):
            raise script
        self.streams.append(ScriptedStream(script))
        return self.streams[-1]
