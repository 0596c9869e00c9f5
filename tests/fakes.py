"""In-memory fakes of the platform's interfaces, shared by several tests."""

from types import SimpleNamespace

import httpcore
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.kernel import Kernel, State
from plantainstack.links.endpoint import EndpointLinks
from plantainstack.platform.base import (
    Engine,
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Part,
    PlainAnswer,
    PlainService,
)
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
    """Return a failure for a script."""
    return Err(Failure.of(kind, "scripted", outcome))


REFUSED = failure(ErrorKind.ENDPOINT_REFUSED)
LATE = failure(ErrorKind.ANSWER_TIMEOUT)
CROSSED = failure(ErrorKind.ANSWER_CROSSED)
TRUNCATED = failure(ErrorKind.ANSWER_TRUNCATED)
BROKEN = failure(ErrorKind.ENDPOINT_FAILED)


class FakePlain(PlainService):
    """Answer from a script, and count what ran."""

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
    """Stream scripted lists of texts; a failure in a list ends the stream."""

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
                yield step if not isinstance(step, str) else Ok(Part(step, 1, 7))
            done = True
        finally:
            self.cancelled += not done

    async def _unused(self, *args):
        raise NotImplementedError

    status = order = cancel = cache_events = export_kv = import_kv = _unused


class FakeLinks(EndpointLinks):
    """Reach one fake engine and one fake plain service by any record."""

    def __init__(self, kernel):
        super().__init__(kernel)
        self.fake_engine = FakeEngine()
        self.fake_plain = FakePlain()

    def engine(self, record):
        return self.fake_engine

    def plain(self, record, fresh=False):
        return self.fake_plain


class FakeEndpoints(Plugin):
    """Hold naive policies, unless a test sets others."""

    name = "endpoints"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.router = RoundRobinRouter()
        self.admission = OpenAdmission()
        self.retries = FixedRetries()

    def on_endpoints(self, records):
        self.router.update_endpoints(records, self.kernel.clock.now())


class FakePeers(Plugin):
    """Be alone, without peers."""

    name = "peers"

    def register(self, type, handler):
        pass

    async def ask(self, peer_id, message, deadline):
        return Err(Failure.of(ErrorKind.ANSWER_TIMEOUT, "silent"))


class FakeMembership(Plugin):
    """Know one other member, which does not answer."""

    name = "membership"

    def view(self):
        return SimpleNamespace(members={"entry-1": None, "entry-2": None})


def endpoints():
    """Return two endpoints of each service."""
    plain = [record(name) for name in ("p1", "p2")]
    engines = [
        record(name, "raadgiver-llm", InstanceKind.ENGINE) for name in ("e1", "e2")
    ]
    return plain + engines


def serving_kernel(clock, settings=None, plugins=(FakeLinks, FakeEndpoints, Dispatch)):
    """Return a kernel that counts as serving, with endpoints, without tasks."""
    kernel = Kernel(settings, plugins, clock)
    kernel.emit("endpoints", endpoints())
    kernel.state = State.SERVING
    return kernel


class ScriptedStream(httpcore.AsyncNetworkStream):
    """Read scripted bytes or errors; a step may be a function of the bytes sent."""

    def __init__(self, steps):
        self.steps = list(steps)
        self.sent = b""
        self.closed = False

    async def read(self, max_bytes, timeout=None):
        step = self.steps.pop(0) if self.steps else b""
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
    """Open scripted streams; `on_connect` runs while a connection is opened."""

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
