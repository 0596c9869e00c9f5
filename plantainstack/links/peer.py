"""Links between entry instances: websockets that carry CBOR messages.

A message with a number `ask` is a request; its reply repeats the number as `re`.
"""

import itertools
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

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
from plantainstack.tasks import TaskRunner, record_exception

Message = dict[str, Any]
Handler = Callable[[str, Message], Awaitable[Message | None]]
Heartbeat = Callable[[str], Message]

FRAME_BYTES_MAX = 1024 * 1024
QUEUED_FRAMES_MAX = 256
CONCURRENT_REQUESTS_MAX = 64
ON_DEMAND_LINKS_MAX = 32
IDLE_LIMIT_S = 30.0
HANDSHAKE_TIMEOUT_S = 3.0
# Heartbeat intervals without a message after which the opener of a link drops it; the
# acceptor waits twice as long.
SILENT_INTERVALS = 3
# Runs of the maintenance loop in one heartbeat interval.
TICKS_PER_INTERVAL = 4
REOPEN_DELAY_MAX_S = 5.0
# A longer gap between runs of the maintenance loop, in heartbeat intervals, shows that
# this process was paused.
PAUSE_INTERVALS = 2

# Largest payload and header size of short, medium and long websocket frames, and the
# size of the mask that the opening side adds (RFC 6455, section 5.2).
_HEADER_BYTES = ((125, 2), (65535, 4), (FRAME_BYTES_MAX, 10))
_MASK_BYTES = 4

_LINK_ERRORS = (OSError, WebSocketException, PeerError, TimeoutError)


class _WireFailure(msgspec.Struct):
    kind: ErrorKind
    message: str
    outcome: Outcome


class Link:
    """An open connection to a peer, with its send queue and pending requests."""

    def __init__(self, conn, peer_id: str, is_opener: bool, now: float):
        self.peer_id = peer_id
        self.is_opener = is_opener
        self.last_received_at = now
        self.last_used_at = now
        self.next_ping_at = now
        self.pending: dict[int, tuple[anyio.Event, list[Message]]] = {}
        self.running_requests = 0
        self.closed = False
        self._conn = conn
        self._numbers = itertools.count(1)
        self._queue, self._outgoing = anyio.create_memory_object_stream[bytes](
            QUEUED_FRAMES_MAX
        )

    def enqueue(self, message: Message) -> bool:
        """Queue a message to send; return whether it was queued.

        A full queue shows that the peer no longer reads, so the link is closed.
        """
        if self.closed:
            return False
        try:
            self._queue.send_nowait(encode(message))
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.close()
            return False
        return True

    def new_request(self) -> tuple[int, anyio.Event, list[Message]]:
        """Register a request; return its number, its event and its list of replies."""
        number = next(self._numbers)
        event, replies = anyio.Event(), []
        self.pending[number] = (event, replies)
        return number, event, replies

    async def read(self):
        """Yield decoded messages until the connection ends."""
        async for frame in self._conn:
            _count_bytes("received", frame, masked=not self.is_opener)
            yield decode(frame)

    async def write(self) -> None:
        """Send queued messages until the link closes."""
        try:
            with self._outgoing:
                async for frame in self._outgoing:
                    await self._conn.send(frame)
                    _count_bytes("sent", frame, masked=self.is_opener)
        except _LINK_ERRORS:
            self.close()

    def close(self) -> None:
        """Abort the connection; pending requests end without a reply."""
        if self.closed:
            return
        self.closed = True
        self._queue.close()
        if self._conn.transport is not None:
            self._conn.transport.abort()
        for event, _ in self.pending.values():
            event.set()


class Peers(Plugin):
    """Opens links to peers, exchanges messages and replaces silent connections."""

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
        self._tasks: TaskRunner | None = None
        self._key = b""

    # Interface

    def register(self, kind: str, handler: Handler) -> None:
        """Register the handler of a message type; it returns the reply, if any."""
        self._handlers[kind] = handler

    def set_heartbeat(self, provider: Heartbeat) -> None:
        """Set the function that returns the fields of each ping to a peer."""
        self._heartbeat = provider

    def set_targets(self, targets: Mapping[str, Address]) -> None:
        """Set the peers to which links stay open; other links close when idle."""
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
        """Queue a message without reply; return False if no link accepts it."""
        links = self._links.get(peer_id)
        return bool(links) and links[-1].enqueue(message)

    async def request(
        self, peer_id: str, message: Message, deadline: float
    ) -> Result[Message, Failure]:
        """Send a request, opening a link if needed, and return the reply.

        The deadline is a monotonic time in seconds. A failure after the request was
        sent has the outcome `may_have_run`.
        """
        link = None
        with anyio.move_on_after(max(0.0, deadline - self.kernel.clock.now())):
            link = await self._link_to(peer_id)
        if link is None:
            return _unavailable(f"no link to peer {peer_id!r} could be opened")
        return await self._request_on(link, message, deadline)

    # Lifecycle

    async def start(self, tasks: TaskRunner) -> None:
        """Listen for peers and start the maintenance of links."""
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
        tasks.start_loop(self._maintain)

    async def stop(self) -> None:
        """Close all links."""
        for link in self._all_links():
            link.close()
        if self._server is not None:
            self._server.close()

    def on_endpoints(self, records) -> None:
        """Store the peer addresses of listed entry instances."""
        self._listed = {
            record.id: record.address for record in records if _is_entry(record)
        }

    def on_membership(self, view) -> None:
        """Store the peer addresses of members."""
        self._members = {member.id: member.address for member in view.members.values()}

    # Opening of links

    async def _link_to(self, peer_id: str) -> Link | None:
        links = self._links.get(peer_id)
        if links:
            return links[-1]
        if peer_id in self._opening:
            await self._opening[peer_id].wait()
        elif self._tasks is not None and self._address_of(peer_id):
            self._evict_idle()
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
        finally:
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
            actual_id = await self._authenticate(conn, "opener")
            if actual_id != peer_id:
                raise PeerError(f"{address} is {actual_id!r}, not {peer_id!r}")
        except BaseException:
            conn.transport.abort()
            raise
        self._reopen_at.pop(peer_id, None)
        return self._new_link(conn, peer_id, True)

    def _new_link(self, conn, peer_id: str, is_opener: bool) -> Link:
        link = Link(conn, peer_id, is_opener, self.kernel.clock.now())
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
                peer_id = await self._authenticate(conn, "acceptor")
        except _LINK_ERRORS as exc:
            log.event("peer.rejected", reason=str(exc) or repr(exc))
            conn.transport.abort()
            return
        await self._run_link(self._new_link(conn, peer_id, False))

    async def _authenticate(self, conn, role: Role) -> str:
        handshake = Handshake(self._key, self._own.id, role)
        await _send_counted(conn, handshake.hello(), role)
        peer_id = handshake.accept_hello(await _recv_counted(conn, role))
        await _send_counted(conn, handshake.proof(), role)
        handshake.accept_proof(await _recv_counted(conn, role))
        return peer_id

    # Receiving messages

    async def _run_link(self, link: Link) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.write)
            try:
                async for message in link.read():
                    link.last_received_at = self.kernel.clock.now()
                    await self._receive(link, message)
            except _LINK_ERRORS as exc:
                if not link.closed:
                    log.event("peer.closed", peer=link.peer_id, reason=str(exc))
            finally:
                self._drop(link)
                tasks.cancel_scope.cancel()

    def _drop(self, link: Link) -> None:
        link.close()
        links = self._links.get(link.peer_id, [])
        if link in links:
            links.remove(link)
        if not links:
            self._links.pop(link.peer_id, None)

    async def _receive(self, link: Link, message: Message) -> None:
        if "re" in message:
            self._deliver_reply(link, message)
            return
        if "ask" in message:
            link.last_used_at = self.kernel.clock.now()
            self._tasks.start_soon(self._answer, link, message)
            return
        handler = self._handlers.get(message["type"])
        try:
            reply = await handler(link.peer_id, message) if handler else None
        except msgspec.ValidationError as exc:
            raise PeerError(f"invalid {message['type']}: {exc}") from exc
        except Exception as exc:
            # An exception in one handler must not end the process.
            record_exception("Peers._receive", exc, type=message["type"])
            raise PeerError(f"handler of {message['type']} failed: {exc!r}") from exc
        if message["type"] == "ping":
            link.enqueue({"type": "pong", **(reply or {})})

    def _deliver_reply(self, link: Link, message: Message) -> None:
        event, replies = link.pending.get(message["re"], (None, None))
        if event is not None:
            replies.append(message)
            event.set()

    async def _answer(self, link: Link, message: Message) -> None:
        if link.running_requests >= CONCURRENT_REQUESTS_MAX:
            failure = Failure.of(
                ErrorKind.OVERLOADED, "too many concurrent requests on this link"
            )
            link.enqueue(_failure_reply(message["ask"], failure))
            return
        link.running_requests += 1
        try:
            reply = await self._handle_request(link.peer_id, message)
        finally:
            link.running_requests -= 1
        link.enqueue(reply)

    async def _handle_request(self, peer_id: str, message: Message) -> Message:
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
            # An exception in one handler must not end the process.
            record_exception("Peers._handle_request", exc, type=message["type"])
            log.event("peer.handler_failed", type=message["type"], reason=repr(exc))
            failure = Failure.of(ErrorKind.INTERNAL, "the handler of the peer failed")
            return _failure_reply(number, failure)
        return {"type": "reply", "re": number, "body": reply or {}}

    async def _request_on(
        self, link: Link, message: Message, deadline: float
    ) -> Result[Message, Failure]:
        link.last_used_at = self.kernel.clock.now()
        number, event, replies = link.new_request()
        try:
            if not link.enqueue({**message, "ask": number}):
                return _unavailable(f"the link to peer {link.peer_id!r} is closed")
            with anyio.move_on_after(max(0.0, deadline - self.kernel.clock.now())):
                await event.wait()
        finally:
            link.pending.pop(number, None)
        if replies:
            return _reply_result(replies[0])
        text = f"peer {link.peer_id!r} did not reply"
        return _unavailable(text, Outcome.MAY_HAVE_RUN)

    # Heartbeats and maintenance of links

    async def _maintain(self) -> None:
        clock, last = self.kernel.clock, self.kernel.clock.now()
        while True:
            await clock.sleep_until(clock.now() + self._interval() / TICKS_PER_INTERVAL)
            now, interval = clock.now(), self._interval()
            if now - last > PAUSE_INTERVALS * interval:
                self._reset_silence(now)
            last = now
            self._close_silent(now, interval)
            self._close_idle(now)
            self._ping(now, interval)
            self._open_target_links(now)

    def _reset_silence(self, now: float) -> None:
        """Restart the silence timeout of all links after this process was paused."""
        for link in self._all_links():
            link.last_received_at = now

    def _close_silent(self, now: float, interval: float) -> None:
        for link in self._all_links():
            # The opener times out first, so that only one side replaces the link.
            factor = 1 if link.is_opener else 2
            if now - link.last_received_at > SILENT_INTERVALS * interval * factor:
                log.event("peer.silent", peer=link.peer_id)
                self._drop(link)

    def _close_idle(self, now: float) -> None:
        for link in self._on_demand_links():
            if now - link.last_used_at > IDLE_LIMIT_S and not link.pending:
                self._drop(link)

    def _evict_idle(self) -> None:
        links = [link for link in self._on_demand_links() if not link.pending]
        if len(links) >= ON_DEMAND_LINKS_MAX:
            self._drop(min(links, key=lambda link: link.last_used_at))

    def _on_demand_links(self) -> list[Link]:
        return [
            link
            for link in self._all_links()
            if link.is_opener and link.peer_id not in self._targets
        ]

    def _ping(self, now: float, interval: float) -> None:
        for link in self._all_links():
            if link.is_opener and now >= link.next_ping_at:
                link.next_ping_at = now + interval * self._random.uniform(0.9, 1.1)
                link.enqueue({"type": "ping", **self._heartbeat(link.peer_id)})

    def _open_target_links(self, now: float) -> None:
        for peer_id, address in self._targets.items():
            opened = any(link.is_opener for link in self._links.get(peer_id, ()))
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


def _reply_result(reply: Message) -> Result[Message, Failure]:
    try:
        if "failure" in reply:
            wire = msgspec.convert(reply["failure"], _WireFailure)
            return Err(Failure(wire.kind, wire.message, wire.outcome))
        return Ok(msgspec.convert(reply.get("body"), dict[str, Any]))
    except msgspec.ValidationError as exc:
        return _unavailable(f"invalid reply: {exc}", Outcome.MAY_HAVE_RUN)


async def _send_counted(conn, frame: bytes, role: Role) -> None:
    await conn.send(frame)
    _count_bytes("sent", frame, masked=role == "opener")


async def _recv_counted(conn, role: Role) -> bytes:
    frame = await conn.recv()
    _count_bytes("received", frame, masked=role == "acceptor")
    return frame


def _count_bytes(direction: str, frame: bytes | str, masked: bool) -> None:
    size = len(frame)
    header = next(header for limit, header in _HEADER_BYTES if size <= limit)
    mask = _MASK_BYTES if masked else 0
    metrics.PEER_BYTES.labels(direction).inc(size + header + mask)
