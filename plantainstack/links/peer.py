"""Links between entry instances: websockets that carry CBOR messages."""

import itertools
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure, Outcome, PeerError
from plantainstack.interfaces import InstanceKind, InstanceRecord
from plantainstack.links.handshake import Handshake, Role, decode, encode
from plantainstack.plugins import Plugin
from plantainstack.settings.options import Address

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

Message = dict[str, Any]
Handler = Callable[[str, Message], Awaitable[Message | None]]
Heartbeat = Callable[[str], Message]

FRAME_BYTES_MAX = 1024 * 1024
QUEUED_FRAMES_MAX = 256
ASKS_MAX = 64
ON_DEMAND_LINKS_MAX = 32
IDLE_LIMIT_S = 30.0
HANDSHAKE_TIMEOUT_S = 3.0
SILENT_INTERVALS = 3
TICKS_PER_INTERVAL = 4
REOPEN_DELAY_MAX_S = 5.0
PAUSE_INTERVALS = 2

# Sizes of a websocket frame's header: short and medium payloads, and the mask
# that the opening side adds (RFC 6455, section 5.2).
_HEADER_BYTES = ((125, 2), (65535, 4), (FRAME_BYTES_MAX, 10))
_MASK_BYTES = 4

_LINK_ERRORS = (OSError, WebSocketException, PeerError, TimeoutError)


class _WireFailure(msgspec.Struct):
    kind: ErrorKind
    message: str
    outcome: Outcome


class Link:
    """Hold one open connection to a peer."""

    def __init__(self, conn, peer_id: str, opened_here: bool, now: float):
        self.peer_id = peer_id
        self.opened_here = opened_here
        self.heard_at = now
        self.used_at = now
        self.next_ping = now
        self.asks: dict[int, tuple[anyio.Event, list[Message]]] = {}
        self.running_asks = 0
        self.closed = False
        self._conn = conn
        self._numbers = itertools.count(1)
        self._queue, self._queued = anyio.create_memory_object_stream[bytes](
            QUEUED_FRAMES_MAX
        )

    def enqueue(self, message: Message) -> bool:
        """Queue a message; a full queue means a stuck peer and closes the link."""
        if self.closed:
            return False
        try:
            self._queue.send_nowait(encode(message))
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.close()
            return False
        return True

    def new_ask(self) -> tuple[int, anyio.Event, list[Message]]:
        """Register a question and return its number and where its reply goes."""
        number = next(self._numbers)
        event, replies = anyio.Event(), []
        self.asks[number] = (event, replies)
        return number, event, replies

    async def read(self):
        """Yield the decoded messages until the connection ends."""
        async for frame in self._conn:
            _count("received", frame, masked=not self.opened_here)
            yield decode(frame)

    async def write(self) -> None:
        """Send queued messages until the link closes."""
        try:
            with self._queued:
                async for frame in self._queued:
                    await self._conn.send(frame)
                    _count("sent", frame, masked=self.opened_here)
        except _LINK_ERRORS:
            self.close()

    def close(self) -> None:
        """Drop the connection at once; open questions end without a reply."""
        if self.closed:
            return
        self.closed = True
        self._queue.close()
        if self._conn.transport is not None:
            self._conn.transport.abort()
        for event, _ in self.asks.values():
            event.set()


class Peers(Plugin):
    """Keep links to peers, carry messages, and detect silent connections."""

    name = "peers"
    requires: tuple[str, ...] = ()

    def __init__(self, kernel):
        super().__init__(kernel)
        self._own = kernel.settings.instance
        self._handlers: dict[str, Handler] = {}
        self._heartbeat: Heartbeat = lambda peer_id: {}
        self._links: dict[str, list[Link]] = {}
        self._listed: dict[str, Address] = {}
        self._members: dict[str, Address] = {}
        self._targets: dict[str, Address] = {}
        self._opening: dict[str, anyio.Event] = {}
        self._reopen_at: dict[str, tuple[float, float]] = {}
        self._random = random.Random(self._own.id)
        self._server: Server | None = None
        self._tasks: TaskGroup | None = None
        self._key = b""

    # Interface

    def register(self, kind: str, handler: Handler) -> None:
        """Handle messages of a type; what the handler returns is the reply."""
        self._handlers[kind] = handler

    def set_heartbeat(self, provider: Heartbeat) -> None:
        """Take over the fields of each ping from a function of the peer's id."""
        self._heartbeat = provider

    def set_targets(self, targets: Mapping[str, Address]) -> None:
        """Keep links to these peers open; others are closed when idle."""
        self._targets = dict(targets)
        for peer_id in set(self._reopen_at) - set(targets):
            del self._reopen_at[peer_id]

    def address(self) -> Address:
        """Return the address on which this process listens for peers."""
        return Address(*self._server.sockets[0].getsockname()[:2])

    def connected_peers(self) -> set[str]:
        """Return the ids of the peers with an open link."""
        return set(self._links)

    def send(self, peer_id: str, message: Message) -> bool:
        """Queue a message on an open link; return whether there was one."""
        links = self._links.get(peer_id)
        return bool(links) and links[-1].enqueue(message)

    async def request(
        self, peer_id: str, message: Message, deadline: float
    ) -> Result[Message, Failure]:
        """Send a question, opening a link if needed, and return the reply.

        The deadline is a monotonic time in seconds. A failure after sending has
        the outcome `may_have_run`.
        """
        link = None
        with anyio.move_on_after(max(0.0, deadline - self.kernel.clock.now())):
            link = await self._link_to(peer_id)
        if link is None:
            return _unavailable(f"peer {peer_id!r} cannot be reached")
        return await self._ask_on(link, message, deadline)

    # Life

    async def start(self, tasks: "TaskGroup") -> None:
        """Listen, and keep links open."""
        if not self._own.control:
            return
        self._tasks = tasks
        self._key = self.kernel.settings.peer_key()
        self._server = await serve(
            self._accept,
            *self._own.peer_listen,
            compression=None,
            ping_interval=None,
            max_size=FRAME_BYTES_MAX,
            server_header=None,
        )
        tasks.start_soon(self._maintain)

    async def stop(self) -> None:
        """Close all links."""
        for link in self._all_links():
            link.close()
        if self._server is not None:
            self._server.close()

    def on_endpoints(self, records) -> None:
        """Learn the peer addresses of listed entry instances."""
        self._listed = {
            record.id: record.address for record in records if _is_entry(record)
        }

    def on_membership(self, view) -> None:
        """Learn the peer addresses of members."""
        self._members = {member.id: member.address for member in view.members.values()}

    # Opening

    async def _link_to(self, peer_id: str) -> Link | None:
        links = self._links.get(peer_id)
        if links:
            return links[-1]
        if peer_id in self._opening:
            await self._opening[peer_id].wait()
        elif self._tasks is not None and self._address_of(peer_id):
            self._make_room()
            opened = self._opening[peer_id] = anyio.Event()
            self._tasks.start_soon(self._open, peer_id, self._address_of(peer_id))
            await opened.wait()
        links = self._links.get(peer_id)
        return links[-1] if links else None

    def _address_of(self, peer_id: str) -> Address | None:
        sources = (self._targets, self._members, self._listed)
        return next((each[peer_id] for each in sources if peer_id in each), None)

    async def _open(self, peer_id: str, address: Address) -> None:
        link = None
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                link = await self._connect(peer_id, address)
        except _LINK_ERRORS as exc:
            self._open_failed(peer_id, exc)
        self._opening.pop(peer_id).set()
        if link is not None:
            await self._run_link(link)

    async def _connect(self, peer_id: str, address: Address) -> Link:
        conn = await connect(
            f"ws://{address}",
            compression=None,
            ping_interval=None,
            max_size=FRAME_BYTES_MAX,
            user_agent_header=None,
            proxy=None,
        )
        try:
            found = await self._shake_hands(conn, "opener")
            if found != peer_id:
                raise PeerError(f"{address} is {found!r}, not {peer_id!r}")
        except BaseException:
            conn.transport.abort()
            raise
        self._reopen_at.pop(peer_id, None)
        return self._new_link(conn, peer_id, True)

    def _new_link(self, conn, peer_id: str, opened_here: bool) -> Link:
        link = Link(conn, peer_id, opened_here, self.kernel.clock.now())
        self._links.setdefault(peer_id, []).append(link)
        return link

    def _open_failed(self, peer_id: str, exc: Exception) -> None:
        log.event("peer.open_failed", peer=peer_id, reason=str(exc) or repr(exc))
        _, delay = self._reopen_at.get(peer_id, (0.0, self._interval() / 2))
        delay = min(2 * delay, REOPEN_DELAY_MAX_S)
        wait = delay * self._random.uniform(0.5, 1.0)
        self._reopen_at[peer_id] = (self.kernel.clock.now() + wait, delay)

    async def _accept(self, conn) -> None:
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer_id = await self._shake_hands(conn, "acceptor")
        except _LINK_ERRORS as exc:
            log.event("peer.rejected", reason=str(exc) or repr(exc))
            conn.transport.abort()
            return
        await self._run_link(self._new_link(conn, peer_id, False))

    async def _shake_hands(self, conn, role: Role) -> str:
        handshake = Handshake(self._key, self._own.id, role)
        await _send_counted(conn, handshake.hello(), role)
        peer_id = handshake.accept_hello(await _recv_counted(conn, role))
        await _send_counted(conn, handshake.proof(), role)
        handshake.accept_proof(await _recv_counted(conn, role))
        return peer_id

    # Reading

    async def _run_link(self, link: Link) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.write)
            try:
                async for message in link.read():
                    link.heard_at = self.kernel.clock.now()
                    await self._receive(link, message)
            except _LINK_ERRORS as exc:
                if not link.closed:
                    log.event("peer.closed", peer=link.peer_id, reason=str(exc))
            finally:
                self._forget(link)
                tasks.cancel_scope.cancel()

    def _forget(self, link: Link) -> None:
        link.close()
        links = self._links.get(link.peer_id, [])
        if link in links:
            links.remove(link)
        if not links:
            self._links.pop(link.peer_id, None)

    async def _receive(self, link: Link, message: Message) -> None:
        if "re" in message:
            self._take_reply(link, message)
            return
        if "ask" in message:
            link.used_at = self.kernel.clock.now()
            self._tasks.start_soon(self._answer, link, message)
            return
        handler = self._handlers.get(message["type"])
        try:
            reply = await handler(link.peer_id, message) if handler else None
        except msgspec.ValidationError as exc:
            raise PeerError(f"invalid {message['type']}: {exc}") from exc
        except Exception as exc:
            # A fault in one handler must not end the process.
            raise PeerError(f"handler of {message['type']} failed: {exc!r}") from exc
        if message["type"] == "ping":
            link.enqueue({"type": "pong", **(reply or {})})

    def _take_reply(self, link: Link, message: Message) -> None:
        event, replies = link.asks.get(message["re"], (None, None))
        if event is not None:
            replies.append(message)
            event.set()

    async def _answer(self, link: Link, message: Message) -> None:
        if link.running_asks >= ASKS_MAX:
            failure = Failure.of(ErrorKind.OVERLOADED, "too many questions at once")
            link.enqueue(_failure_reply(message["ask"], failure))
            return
        link.running_asks += 1
        try:
            reply = await self._handle_ask(link.peer_id, message)
        finally:
            link.running_asks -= 1
        link.enqueue(reply)

    async def _handle_ask(self, peer_id: str, message: Message) -> Message:
        number, handler = message["ask"], self._handlers.get(message["type"])
        if handler is None:
            text = f"no handler for messages of type {message['type']!r}"
            return _failure_reply(number, Failure.of(ErrorKind.NOT_FOUND, text))
        try:
            reply = await handler(peer_id, message)
        except msgspec.ValidationError as exc:
            failure = Failure.of(ErrorKind.BAD_REQUEST, str(exc))
            return _failure_reply(number, failure)
        except Exception as exc:
            # A fault in one handler must not end the process.
            log.event("peer.handler_failed", type=message["type"], reason=repr(exc))
            failure = Failure.of(ErrorKind.INTERNAL, "the peer failed to answer")
            return _failure_reply(number, failure)
        return {"type": "reply", "re": number, "body": reply or {}}

    async def _ask_on(
        self, link: Link, message: Message, deadline: float
    ) -> Result[Message, Failure]:
        link.used_at = self.kernel.clock.now()
        number, event, replies = link.new_ask()
        try:
            if not link.enqueue({**message, "ask": number}):
                return _unavailable(f"link to peer {link.peer_id!r} is closed")
            with anyio.move_on_after(max(0.0, deadline - self.kernel.clock.now())):
                await event.wait()
        finally:
            link.asks.pop(number, None)
        if replies:
            return _result_of(replies[0])
        text = f"peer {link.peer_id!r} did not reply"
        return _unavailable(text, Outcome.MAY_HAVE_RUN)

    # Heartbeats and replacement

    async def _maintain(self) -> None:
        clock, last = self.kernel.clock, self.kernel.clock.now()
        while True:
            await clock.sleep_until(clock.now() + self._interval() / TICKS_PER_INTERVAL)
            now, interval = clock.now(), self._interval()
            if now - last > PAUSE_INTERVALS * interval:
                self._excuse_silence(now)
            last = now
            self._close_silent(now, interval)
            self._close_idle(now)
            self._ping(now, interval)
            self._open_targets(now)

    def _excuse_silence(self, now: float) -> None:
        """Restart the silence of all links, because this process was paused."""
        for link in self._all_links():
            link.heard_at = now

    def _close_silent(self, now: float, interval: float) -> None:
        for link in self._all_links():
            # The opener decides first, so that both sides do not replace a link.
            patience = 1 if link.opened_here else 2
            if now - link.heard_at > SILENT_INTERVALS * interval * patience:
                log.event("peer.silent", peer=link.peer_id)
                self._forget(link)

    def _close_idle(self, now: float) -> None:
        for link in self._on_demand():
            if now - link.used_at > IDLE_LIMIT_S and not link.asks:
                self._forget(link)

    def _make_room(self) -> None:
        links = [link for link in self._on_demand() if not link.asks]
        if len(links) >= ON_DEMAND_LINKS_MAX:
            self._forget(min(links, key=lambda link: link.used_at))

    def _on_demand(self) -> list[Link]:
        return [
            link
            for link in self._all_links()
            if link.opened_here and link.peer_id not in self._targets
        ]

    def _ping(self, now: float, interval: float) -> None:
        for link in self._all_links():
            if link.opened_here and now >= link.next_ping:
                link.next_ping = now + interval * self._random.uniform(0.9, 1.1)
                link.enqueue({"type": "ping", **self._heartbeat(link.peer_id)})

    def _open_targets(self, now: float) -> None:
        for peer_id, address in self._targets.items():
            opened = any(link.opened_here for link in self._links.get(peer_id, ()))
            due = now >= self._reopen_at.get(peer_id, (0.0, 0.0))[0]
            if due and not opened and peer_id not in self._opening:
                self._opening[peer_id] = anyio.Event()
                self._tasks.start_soon(self._open, peer_id, address)

    def _all_links(self) -> list[Link]:
        return [link for links in self._links.values() for link in links]

    def _interval(self) -> float:
        return self.kernel.config.defaults().heartbeat_interval


def _is_entry(record: InstanceRecord) -> bool:
    return record.kind is InstanceKind.ENTRY


def _unavailable(text: str, outcome: Outcome | None = None) -> Err[Failure]:
    return Err(Failure.of(ErrorKind.PEER_UNAVAILABLE, text, outcome))


def _failure_reply(number: int, failure: Failure) -> Message:
    return {"type": "reply", "re": number, "failure": failure._asdict()}


def _result_of(reply: Message) -> Result[Message, Failure]:
    try:
        if "failure" in reply:
            wire = msgspec.convert(reply["failure"], _WireFailure)
            return Err(Failure(wire.kind, wire.message, wire.outcome))
        return Ok(msgspec.convert(reply.get("body"), dict[str, Any]))
    except msgspec.ValidationError as exc:
        return _unavailable(f"invalid reply: {exc}", Outcome.MAY_HAVE_RUN)


async def _send_counted(conn, frame: bytes, role: Role) -> None:
    await conn.send(frame)
    _count("sent", frame, masked=role == "opener")


async def _recv_counted(conn, role: Role) -> bytes:
    frame = await conn.recv()
    _count("received", frame, masked=role == "acceptor")
    return frame


def _count(direction: str, frame: bytes | str, masked: bool) -> None:
    size = len(frame)
    header = next(header for limit, header in _HEADER_BYTES if size <= limit)
    mask = _MASK_BYTES if masked else 0
    metrics.PEER_BYTES.labels(direction).inc(size + header + mask)
