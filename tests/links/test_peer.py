"""Tests of peer links with real websockets over loopback."""

from contextlib import asynccontextmanager

import anyio
import cbor2
import pytest
from websockets.asyncio.client import connect

from plantainstack import metrics
from plantainstack.errors import ErrorKind, Outcome, PeerError
from plantainstack.interfaces import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from plantainstack.kernel import Kernel
from plantainstack.links.handshake import Handshake, decode, encode
from plantainstack.links.peer import ON_DEMAND_LINKS_MAX, Peers
from plantainstack.settings.fleet import FleetConfig, FleetContent
from plantainstack.settings.instance import InstanceOptions
from plantainstack.settings.options import Address
from plantainstack.tasks import TaskRunner

pytestmark = pytest.mark.anyio

LIMIT_S = 20


class Settings:
    """The settings that peer links read."""

    def __init__(self, instance_id, key=b"shared"):
        self.instance = InstanceOptions(
            id=instance_id,
            data_centre="tunis-a",
            peer_listen=Address("127.0.0.1", 0),
            control=True,
        )
        self.peer_key = lambda: key


class Node:
    """A kernel whose only plug-in is the one for peer links."""

    def __init__(self, name, key=b"shared"):
        self.kernel = Kernel(Settings(name, key), [Peers])
        content = FleetContent(defaults={"heartbeat_interval": "40 ms"}, exceptions=[])
        self.kernel.apply_config(FleetConfig(1, content))
        self.peers = self.kernel.plugin("peers")


@asynccontextmanager
async def running(*nodes):
    async with anyio.create_task_group() as tasks:
        for node in nodes:
            await node.peers.start(TaskRunner(tasks, node.kernel.clock))
        for node in nodes:
            node.peers.on_endpoints([record_of(other) for other in nodes])
        with anyio.fail_after(LIMIT_S):
            yield
        for node in nodes:
            await node.peers.stop()
        tasks.cancel_scope.cancel()


def record_of(node):
    return InstanceRecord(
        node.kernel.settings.instance.id,
        "entry",
        InstanceKind.ENTRY,
        "tunis-a",
        node.peers.address(),
        InstanceState.LIVE,
    )


async def until(condition):
    while not condition():
        await anyio.sleep(0.005)


async def echo(peer_id, message):
    return {"from": peer_id, "text": message["text"]}


def echo_request(text="hello"):
    return {"type": "echo", "text": text}


def deadline_for(node):
    return node.kernel.clock.now() + LIMIT_S


async def test_request_opens_a_link_and_gets_its_own_reply():
    a, b = Node("a"), Node("b")
    b.peers.register("echo", echo)
    before = metrics.REGISTRY.get_sample_value(
        "plantainstack_peer_bytes_total", {"direction": "sent"}
    )
    async with running(a, b):
        replies = [
            await a.peers.request("b", echo_request(str(n)), deadline_for(a))
            for n in range(3)
        ]
    assert [reply.unwrap()["text"] for reply in replies] == ["0", "1", "2"]
    assert replies[0].unwrap()["from"] == "a"
    after = metrics.REGISTRY.get_sample_value(
        "plantainstack_peer_bytes_total", {"direction": "sent"}
    )
    assert after > (before or 0)


@pytest.mark.task_failures
async def test_request_failures_state_whether_the_request_may_have_run():
    """Guards against reporting a request with a lost reply as never sent."""
    a, b = Node("a"), Node("b")

    async def never(peer_id, message):
        await anyio.sleep_forever()

    async def fault(peer_id, message):
        raise RuntimeError("fault")

    b.peers.register("never", never)
    b.peers.register("fault", fault)
    async with running(a, b):
        unknown = await a.peers.request("x", echo_request(), deadline_for(a))
        late = await a.peers.request("b", {"type": "never"}, a.kernel.clock.now() + 0.3)
        fault = await a.peers.request("b", {"type": "fault"}, deadline_for(a))
        missing = await a.peers.request("b", {"type": "missing"}, deadline_for(a))
    assert unknown.unwrap_err().kind is ErrorKind.PEER_UNAVAILABLE
    assert unknown.unwrap_err().outcome is Outcome.NOT_RUN
    assert late.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
    assert fault.unwrap_err().kind is ErrorKind.INTERNAL
    assert missing.unwrap_err().kind is ErrorKind.NOT_FOUND


async def test_wrong_key_is_rejected_and_other_peers_are_served():
    a, b, c = Node("a", b"other"), Node("b"), Node("c")
    b.peers.register("echo", echo)
    async with running(a, b, c):
        assert (await a.peers.request("b", echo_request(), deadline_for(a))).is_err()
        assert (await c.peers.request("b", echo_request(), deadline_for(c))).is_ok()
        assert b.peers.connected_peers() == {"c"}


TRUNCATED = encode({"type": "ping", "news": []})[:-2]


@pytest.mark.parametrize(
    "frames",
    [
        [TRUNCATED],
        [encode({"type": "hello", "protocol": 2, "id": "x", "nonce": b"n" * 16})],
        [encode({"type": "hello", "protocol": 1, "id": "x", "nonce": b"n"})],
        [encode({"type": "echo", "text": "before the handshake", "ask": 1})],
        [None, TRUNCATED],
        [None, encode({"type": "reply", "re": [1]})],
        [None, cbor2.dumps([1, 2])],
        [None, "text"],
    ],
    ids=["cut", "protocol", "nonce", "early", "cut-later", "number", "list", "text"],
)
async def test_invalid_frame_closes_only_its_own_link(frames):
    """Guards against an invalid frame that closes the links of other peers.

    None stands for a complete handshake.
    """
    b, c = Node("b"), Node("c")
    b.peers.register("echo", echo)
    async with running(b, c):
        assert (await c.peers.request("b", echo_request(), deadline_for(c))).is_ok()
        conn = await connect(f"ws://{b.peers.address()}", compression=None, proxy=None)
        if frames[0] is None:
            handshake = Handshake(b"shared", "x", "opener")
            await conn.send(handshake.hello())
            handshake.accept_hello(await conn.recv())
            await conn.send(handshake.proof())
            handshake.accept_proof(await conn.recv())
            frames = frames[1:]
        for frame in frames:
            await conn.send(frame)
        await conn.wait_closed()
        await until(lambda: b.peers.connected_peers() == {"c"})
        assert (await c.peers.request("b", echo_request(), deadline_for(c))).is_ok()


def test_reflected_proof_is_rejected():
    """Guards against a peer without the key that sends back the received frames."""
    opener = Handshake(b"shared", "a", "opener")
    opener.accept_hello(opener.hello())
    with pytest.raises(PeerError):
        opener.accept_proof(opener.proof())


async def test_silent_connection_is_replaced():
    """Guards against keeping a link whose frames are lost."""
    a, b = Node("a"), Node("b")
    b.peers.register("echo", echo)
    async with running(a, b), SilentRelay() as relay:
        relay.upstream = b.peers.address()
        a.peers.set_targets({"b": relay.address})
        await until(lambda: "b" in a.peers.connected_peers())
        first = relay.count
        relay.silence()
        await until(lambda: relay.count > first and "b" in a.peers.connected_peers())
        assert (await a.peers.request("b", echo_request(), deadline_for(a))).is_ok()


class SilentRelay:
    """TCP relay that can stop forwarding on open connections but not on new ones."""

    async def __aenter__(self):
        self.count = 0
        self._silent = set()
        self._listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = Address("127.0.0.1", port)
        self._tasks = await anyio.create_task_group().__aenter__()
        self._tasks.start_soon(self._listener.serve, self._serve)
        return self

    async def __aexit__(self, *exc):
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(None, None, None)
        await self._listener.aclose()

    def silence(self):
        self._silent = set(range(self.count))

    async def _serve(self, client):
        number, self.count = self.count, self.count + 1
        async with client, await anyio.connect_tcp(*self.upstream) as server:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, number, client, server)
                tasks.start_soon(self._forward, number, server, client)

    async def _forward(self, number, source, target):
        try:
            async for data in source:
                if number not in self._silent:
                    await target.send(data)
            await target.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return


async def test_number_of_on_demand_links_is_bounded():
    """Guards against an instance that keeps a link to every peer it sends requests."""
    hub = Node("hub")
    others = [Node(f"n{number}") for number in range(ON_DEMAND_LINKS_MAX + 3)]
    for node in others:
        node.peers.register("echo", echo)
    async with running(hub, *others):
        for node in others:
            name = node.kernel.settings.instance.id
            assert (
                await hub.peers.request(name, echo_request(), deadline_for(hub))
            ).is_ok()
        assert len(hub.peers.connected_peers()) <= ON_DEMAND_LINKS_MAX


@pytest.mark.parametrize("frame", [b"", b"\xff", encode({"type": 3})])
def test_malformed_frames_are_rejected(frame):
    with pytest.raises(PeerError):
        decode(frame)
