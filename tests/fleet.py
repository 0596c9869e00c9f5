"""Fleet of kernels in one process, with a fake clock and an unreliable network."""

import asyncio
import heapq
import random
import uuid
from contextlib import asynccontextmanager
from unittest import mock

import anyio
from result import Err, Ok

from plantainstack.clock import Clock, FakeClock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
    MutationOutcome,
    Row,
    TableService,
)
from plantainstack.kernel import Kernel
from plantainstack.plugins import Plugin
from plantainstack.services.configuration import Configuration
from plantainstack.services.membership import MembershipPlugin
from plantainstack.settings.instance import InstanceOptions
from plantainstack.settings.options import Address

DATA_CENTRES = ("tunis-a", "tunis-b", "tunis-c", "tunis-d")


class SimulationClock(FakeClock):
    """Fake clock that advances without real waits between events."""

    async def advance(self, seconds):
        end = self.now() + seconds
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            event.set()
            await self._settle()
        self._now = end
        await self._settle()

    @staticmethod
    async def _settle():
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0)
        while loop._ready:
            await asyncio.sleep(0)


class NodeClock(Clock):
    """Clock of one instance, on the fleet's time.

    While the instance is frozen, its sleeps do not return.
    """

    def __init__(self, clock):
        self._clock = clock
        self._thawed = anyio.Event()
        self._thawed.set()

    def now(self):
        return self._clock.now()

    def wall(self):
        return self._clock.wall()

    async def sleep_until(self, deadline):
        await self._clock.sleep_until(deadline)
        await self.wait_until_thawed()

    async def wait_until_thawed(self):
        while not self._thawed.is_set():
            await self._thawed.wait()

    def freeze(self):
        self._thawed = anyio.Event()

    def thaw(self):
        self._thawed.set()


class MemoryTable(TableService):
    """Table service in memory with simulated faults.

    While `down` is set, it refuses every request. `lose_answers` is the number of
    commits that still lose their answer after taking effect. With
    `fail_after_commit`, the first commit sets `down`.
    """

    def __init__(self):
        self.rows = {}
        self.down = False
        self.lose_answers = 0
        self.fail_after_commit = False
        self.commits = 0

    def _row(self, key):
        return self.rows.get(key, Row(key, 0, None))

    async def read(self, keys):
        if self.down:
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "down"))
        return Ok({key: self._row(key) for key in keys})

    async def scan(self, prefix, after="", limit=1000):
        raise NotImplementedError

    async def commit(self, mutations):
        if self.down:
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "down"))
        outcomes = [self._apply(mutation) for mutation in mutations]
        self.commits += 1
        self.down = self.down or self.fail_after_commit
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, "answer lost"))
        return Ok(outcomes)

    def _apply(self, mutation):
        conflicts = tuple(
            self._row(check.key)
            for check in mutation.checks
            if self._row(check.key).version != check.version
        )
        if conflicts:
            return MutationOutcome(False, conflicts)
        for key, value in mutation.writes:
            self.rows[key] = Row(key, self._row(key).version + 1, value)
        return MutationOutcome(True)


class NodeTable(TableService):
    """Client of the table for one instance, over the simulated network."""

    def __init__(self, node):
        self._node = node

    async def read(self, keys):
        return await self._call("read", keys)

    async def scan(self, prefix, after="", limit=1000):
        return await self._call("scan", prefix, after, limit)

    async def commit(self, mutations):
        return await self._call("commit", mutations)

    async def _call(self, name, *args):
        network, node = self._node.network, self._node
        if node.cut_from_table:
            await anyio.sleep_forever()
        await network.delay(node)
        outcome = await getattr(network.table, name)(*args)
        await network.delay(node)
        await network.clock.sleep_until(network.clock.now() + node.table_lag)
        await node.clock.wait_until_thawed()
        return outcome


class Platform(Plugin):
    """Plug-in `platform` that gives the daemon access to the table."""

    @property
    def table(self):
        return NodeTable(self.kernel.node)


class MemoryPeers(Plugin):
    """Plug-in `peers` on the simulated network."""

    # Heartbeat intervals without a message after which a peer is not connected.
    SILENT_INTERVALS = 3

    def __init__(self, kernel):
        super().__init__(kernel)
        self._handlers = {}
        self._heartbeat = None
        self._targets = {}
        self._last_received = {}

    def register(self, kind, handler):
        self._handlers[kind] = handler

    def set_heartbeat(self, provider):
        self._heartbeat = provider

    def set_targets(self, targets):
        self._targets = dict(targets)

    def connected_peers(self):
        limit = self.kernel.clock.now() - self.SILENT_INTERVALS * self._interval()
        return {peer_id for peer_id, at in self._last_received.items() if at > limit}

    def send(self, peer_id, message):
        node = self.kernel.node
        node.tasks.start_soon(self._deliver, peer_id, message)
        return True

    async def request(self, peer_id, message, deadline):
        replies = []

        async def exchange():
            reply = await self._deliver(peer_id, message)
            await self.kernel.node.network.transmit(peer_id, self.kernel.node.id)
            replies.append(reply)
            tasks.cancel_scope.cancel()

        async def expire():
            await self.kernel.clock.sleep_until(deadline)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange)
            tasks.start_soon(expire)
        if not replies:
            return Err(Failure.of(ErrorKind.PEER_UNAVAILABLE, "no reply"))
        return Ok(replies[0] or {})

    async def start(self, tasks):
        tasks.start_soon(self._run)

    async def _run(self):
        clock = self.kernel.clock
        while True:
            for peer_id in self._targets:
                self.send(peer_id, {"type": "ping", **self._heartbeat(peer_id)})
            await clock.sleep_until(clock.now() + self._interval())

    async def _deliver(self, peer_id, message):
        node = self.kernel.node
        target = await node.network.transmit(node.id, peer_id)
        return await target.kernel.plugin("peers").receive(node.id, message)

    async def receive(self, peer_id, message):
        self._last_received[peer_id] = self.kernel.clock.now()
        handler = self._handlers.get(message["type"])
        reply = await handler(peer_id, message) if handler else None
        if message["type"] == "ping":
            self.send(peer_id, {"type": "pong", **reply})
        return reply

    def _interval(self):
        return self.kernel.config.defaults().heartbeat_interval


Platform.name = "platform"
MemoryPeers.name = "peers"


class Network:
    """Simulated network with latency, packet loss and partitions."""

    def __init__(self, clock, seed, loss=0.0):
        self.clock = clock
        self.random = random.Random(seed)
        self.loss = loss
        self.table = MemoryTable()
        self.nodes = {}
        self.blocked_links = set()

    async def delay(self, node):
        await self.clock.sleep_until(self.clock.now() + self._latency())
        await node.clock.wait_until_thawed()

    async def transmit(self, source, target):
        """Wait until a message arrives and return the target; a lost one never does."""
        lost = self.random.random() < self.loss
        await self.clock.sleep_until(self.clock.now() + self._latency())
        node = self.nodes.get(target)
        if lost or node is None or (source, target) in self.blocked_links:
            await anyio.sleep_forever()
        await node.clock.wait_until_thawed()
        return node

    def partition(self, group, other):
        self.blocked_links |= {(a, b) for a in group for b in other}
        self.blocked_links |= {(b, a) for a in group for b in other}

    def _latency(self):
        # Some messages need a retransmission, as on lossy links.
        retransmission = 0.3 if self.random.random() < self.loss else 0.0
        return self.random.uniform(0.002, 0.02) + retransmission


class Settings:
    """Instance settings that the control plug-ins read."""

    def __init__(self, instance_id, data_centre, port):
        self.instance = InstanceOptions(
            id=instance_id,
            data_centre=data_centre,
            peer_listen=Address("10.0.0.1", port),
            control=True,
        )


class Node:
    """One instance of the fleet."""

    def __init__(self, network, number, plugins):
        self.network = network
        self.id = f"entry-{number}"
        self.cut_from_table = False
        self.table_lag = 0.0
        self.clock = NodeClock(network.clock)
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        settings = Settings(self.id, data_centre, 7000 + number)
        kernel_type = plugins.get("kernel", Kernel)
        kinds = (
            Platform,
            MemoryPeers,
            plugins.get("membership", MembershipPlugin),
            plugins.get("configuration", Configuration),
        )
        self.kernel = kernel_type(settings, kinds, self.clock)
        self.kernel.node = self
        self.config = self.kernel.plugin("configuration")
        self.membership = self.kernel.plugin("membership")

    async def run(self):
        async with anyio.create_task_group() as self.tasks:
            await self.kernel.run(False)
            self.stop()

    def stop(self):
        """Stop the instance at once, without notice to its peers."""
        self.network.nodes.pop(self.id, None)
        self.tasks.cancel_scope.cancel()

    def version(self):
        return self.kernel.config.version

    def ready(self):
        return self.kernel.unready_reason() is None


class Fleet:
    """Instances on one simulated network and table."""

    def __init__(self, clock, seed, loss, plugins):
        self.clock = clock
        self.network = Network(clock, seed, loss)
        self.table = self.network.table
        self._plugins = plugins
        self.tasks = None

    @property
    def nodes(self):
        return list(self.network.nodes.values())

    def start(self, number):
        node = Node(self.network, number, self._plugins)
        self.network.nodes[node.id] = node
        self.tasks.start_soon(node.run)
        self.announce_endpoints()
        return node

    def announce_endpoints(self):
        """Emit the list of instances to each one, as the endpoints plug-in does."""
        records = [_record(node) for node in self.nodes]
        for node in self.nodes:
            node.kernel.emit("endpoints", records)

    async def advance(self, seconds):
        await self.clock.advance(seconds)

    def versions(self):
        return [node.version() for node in self.nodes]


def _record(node):
    instance = node.kernel.settings.instance
    return InstanceRecord(
        node.id,
        "entry",
        InstanceKind.ENTRY,
        instance.data_centre,
        instance.peer_listen,
        InstanceState.LIVE,
    )


@asynccontextmanager
async def running_fleet(size, seed=0, loss=0.0, settle_s=15.0, **plugins):
    """Run a fleet, and yield it after `settle_s`, when its membership is stable.

    UUIDs are drawn from the seed, so that a run can be repeated.
    """
    clock = SimulationClock()
    fleet = Fleet(clock, seed, loss, plugins)
    ids = random.Random(seed)
    with mock.patch.object(uuid, "uuid4", lambda: uuid.UUID(int=ids.getrandbits(128))):
        async with anyio.create_task_group() as fleet.tasks:
            for number in range(size):
                fleet.start(number)
            await clock.advance(settle_s)
            yield fleet
            fleet.tasks.cancel_scope.cancel()
