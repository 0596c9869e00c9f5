"""TCP server that answers truly, with other bytes around or in place of its answers.

What a request meets is drawn from a seed and the request's target, not from the order
in which requests arrive. Which earlier answer is sent again does depend on that order.
"""

import contextlib
import random
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

LATE_MIN_S = 0.001
LATE_MAX_S = 0.005
SLOW_S = 0.12
EVENTS = 4
REFUSED_SHARE = 0.25
NAMELESS_SHARE = 0.2
LEAVING_SHARE = 0.1
OWN_STATUSES = (200, 200, 200, 200, 404, 500, 500)
GARBAGE = (b"gibberish\r\n\r\n", b"\r\n", b"\x00\xff", b"HTTP/1.1 200 OK\r\nX\r\n\r\n")
GONE = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Request(NamedTuple):
    """The head of a request."""

    target: str
    headers: dict[str, str]

    def id(self, dialect: "Dialect") -> str:
        """Return the id of the request, empty if it has none."""
        return self.headers.get(dialect.id_header.lower(), "")

    def size(self) -> int:
        """Return the length of the body."""
        return int(self.headers.get("content-length", 0))


class Answer(NamedTuple):
    """What a server did with a request; `serial` is different in every answer."""

    server: str
    target: str
    id: str
    serial: int
    status: int
    refused: bool
    leaving: bool
    headers: tuple[str, ...]
    body: bytes

    def encode(self, framed=True, ids: Sequence[str] = ()) -> bytes:
        """Return the bytes of the answer; `ids` are further header lines."""
        lines = [f"HTTP/1.1 {self.status} X", *self.headers, *ids]
        if framed:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class Dialect(ABC):
    """One of the interfaces that endpoints have."""

    id_header: str
    refusals: tuple[int, ...]
    may_omit_id: bool

    @abstractmethod
    def body(self, req: Request, serial: int) -> tuple[list[str], bytes]:
        """Return header lines and the body of a success."""

    @abstractmethod
    def headers(self, serial: int, refused: bool, leaving: bool) -> list[str]:
        """Return the header lines of every answer, without the id."""


class PlatformDialect(Dialect):
    """The interface of the platform's servers; targets under /t/ are streams."""

    id_header = "Plantainstack-Request-Id"
    refusals = (429, 503, 421)
    may_omit_id = True

    def body(self, req: Request, serial: int) -> tuple[list[str], bytes]:
        """Return a stream, a report, or a text with the serial number."""
        if req.target == "/api/report":
            return [], b'{"models":[],"busy":false,"seq":%d}' % serial
        if not req.target.startswith("/t/"):
            return [], f"{req.target} {serial}".encode()
        first = int(req.headers.get("last-event-id", 0)) + 1
        return (
            ["Content-Type: text/event-stream"],
            b"".join(event(req.target, number) for number in range(first, EVENTS + 1)),
        )

    def headers(self, serial: int, refused: bool, leaving: bool) -> list[str]:
        """Return the seal and the announcements."""
        lines = [
            f"Plantainstack-Server-Load: 1,0,{serial}",
            f"Server-Limit: {1_000_000 + serial}",
            "Plantainstack-Weight-Versions: 6",
        ]
        lines.append(
            "Plantainstack-Not-Executed: full"
            if refused
            else f"Plantainstack-Server-Seal: {serial}"
        )
        return [*lines, "Server-Leaving: 1"] if leaving else lines


class OwnDialect(Dialect):
    """The project's own interface of engines and plain services."""

    id_header = "X-Attempt-Id"
    refusals = (503,)
    may_omit_id = False

    def body(self, req: Request, serial: int) -> tuple[list[str], bytes]:
        """Return the chunks of a completion, or a text with the serial number."""
        if req.target != "/v1/chat/completions":
            return [], f"{req.target} {serial}".encode()
        id = req.id(self)
        texts = [
            f'data: {{"choices":[{{"delta":{{"content":"{id} {number} "}}}}]}}\n\n'
            for number in range(1, EVENTS + 1)
        ]
        return [], "".join([*texts, "data: [DONE]\n\n"]).encode()

    def headers(self, serial: int, refused: bool, leaving: bool) -> list[str]:
        """Return no header lines."""
        return []


def event(target: str, number: int) -> bytes:
    """Return an event of the stream at a target."""
    return f"id: {number}\ndata: {target} {number}\n\n".encode()


class Connection:
    """A connection of a client; `held` is sent before the next answer."""

    def __init__(self, stream: SocketStream, tasks: TaskGroup, rng: random.Random):
        self.rng = rng
        self.held = b""
        self.closing = False
        self._stream = stream
        self._tasks = tasks
        self._buffer = b""
        self._sending = anyio.Lock()

    async def send(self, data: bytes) -> None:
        """Send what was held, and then `data`."""
        data, self.held = self.held + data, b""
        async with self._sending:
            await self._stream.send(data)

    def send_late(self, data: bytes) -> None:
        """Send bytes a little later, beside what happens until then."""
        self._tasks.start_soon(
            self._send_after, self.rng.uniform(LATE_MIN_S, LATE_MAX_S), data
        )

    async def _send_after(self, seconds: float, data: bytes) -> None:
        await anyio.sleep(seconds)
        with contextlib.suppress(*GONE):
            async with self._sending:
                await self._stream.send(data)

    async def read_head(self) -> Request:
        """Read the head of the next request."""
        while b"\r\n\r\n" not in self._buffer:
            self._buffer += await self._stream.receive()
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.split(": ", 1) for line in lines)
        return Request(first.split()[1], {key.lower(): text for key, text in pairs})

    async def read_body(self, req: Request) -> None:
        """Read the body of a request."""
        while len(self._buffer) < req.size():
            self._buffer += await self._stream.receive()
        self._buffer = self._buffer[req.size() :]


class Trouble(ABC):
    """A way to send an answer."""

    before_body = False

    @abstractmethod
    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send an answer."""


class NoTrouble(Trouble):
    """Send the answer and nothing else."""

    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send an answer."""
        await conn.send(answer.encode())


class Slow(NoTrouble):
    """Send the answer after a hedge has begun."""

    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send an answer."""
        await anyio.sleep(SLOW_S)
        await super().send(conn, answer, server)


class Early(NoTrouble):
    """Answer before the body of the request was read; maybe don't read it at all."""

    before_body = True

    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send an answer."""
        await super().send(conn, answer, server)
        conn.closing = conn.rng.random() < 0.3


class Unframed(Trouble):
    """Answer without a length; the end of the connection ends the answer."""

    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send an answer."""
        await conn.send(answer.encode(framed=False))
        conn.closing = True


class Cut(Trouble):
    """Close the connection at once, in the head or in the body."""

    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send a part of an answer."""
        raw = answer.encode()
        head = raw.index(b"\r\n\r\n")
        spans = [(0, 0), (1, head), (head, len(raw) - 1)]
        cut = conn.rng.randint(*conn.rng.choice(spans))
        if cut:
            await conn.send(raw[:cut])
        conn.closing = True


class Stray(Trouble):
    """Send bytes that do not belong there before, behind or in place of the answer."""

    # Whether a client can see where the bytes end, so that it does not wait for more.
    whole = True
    places: tuple[str, ...] = ("before", "behind", "late", "next", "instead")

    @abstractmethod
    def stray(self, conn: Connection, answer: Answer, server: "Server") -> bytes:
        """Return the bytes that do not belong there."""

    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send an answer."""
        own, stray = answer.encode(), self.stray(conn, answer, server)
        place = conn.rng.choice(self.places)
        if place == "before":
            await conn.send(stray + own)
        elif place == "behind":
            await conn.send(own + stray)
        elif place == "instead":
            await conn.send(stray)
            conn.closing = not (self.whole and stray)
        else:
            await conn.send(own)
            if place == "late":
                conn.send_late(stray)
            else:
                conn.held += stray


class Copy(Stray):
    """Send the answer twice."""

    places = ("behind", "late", "next")

    def stray(self, conn: Connection, answer: Answer, server: "Server") -> bytes:
        """Return the answer."""
        return answer.encode()


class CopyAtOnce(Copy):
    """Send the answer twice in one write."""

    places = ("behind",)


class NamelessSuccess(Stray):
    """Send a success without an id."""

    def stray(self, conn: Connection, answer: Answer, server: "Server") -> bytes:
        """Return the success."""
        lines = server.dialect.headers(0, refused=False, leaving=True)
        nameless = answer._replace(status=200, headers=tuple(lines), body=b"stray")
        return nameless.encode()


class EarlierAnswer(Stray):
    """Send the answer to an earlier request with another id."""

    def stray(self, conn: Connection, answer: Answer, server: "Server") -> bytes:
        """Return the answer."""
        # A refusal without an id can't be told from the own one on a new connection.
        others = [
            each
            for each in server.answers[-20:]
            if each.id not in ("", answer.id) and server.names(each)
        ]
        return conn.rng.choice(others).encode() if others else b""


class Garbage(Stray):
    """Send bytes that are no answer."""

    whole = False

    def stray(self, conn: Connection, answer: Answer, server: "Server") -> bytes:
        """Return the bytes."""
        return conn.rng.choice(GARBAGE)


class TwoIds(Trouble):
    """Answer with the id of another request beside the own one."""

    async def send(self, conn: Connection, answer: Answer, server: "Server") -> None:
        """Send an answer."""
        await conn.send(answer.encode(ids=[f"{server.dialect.id_header}: another"]))


TROUBLES = (Copy, NamelessSuccess, EarlierAnswer, Garbage, TwoIds, Early, Unframed, Cut)


class Server:
    """Answer requests, some of them with a trouble, and keep a record of them."""

    def __init__(
        self,
        name: str,
        seed: int,
        dialect: Dialect,
        trouble_share: float = 0.5,
        troubles: Sequence[Callable[[], Trouble]] = TROUBLES,
        leaving_share: float = LEAVING_SHARE,
    ):
        self.name = name
        self.dialect = dialect
        self.answers: list[Answer] = []
        self._by_target: defaultdict[str, list[Answer]] = defaultdict(list)
        self._seed = seed
        self._share = trouble_share
        self._leaving_share = leaving_share
        self._troubles = [each() for each in troubles]
        self._asked: Counter[str] = Counter()

    def answers_to(self, target: str) -> list[Answer]:
        """Return what the server did with the requests for a target."""
        return self._by_target[target]

    def names(self, answer: Answer) -> bool:
        """Return whether an answer has the id of its request."""
        return f"{self.dialect.id_header}: {answer.id}" in answer.headers

    async def serve(self, stream: SocketStream) -> None:
        """Answer the requests on one connection."""
        async with stream, anyio.create_task_group() as tasks:
            conn = Connection(stream, tasks, random.Random(self._seed))
            with contextlib.suppress(*GONE):
                while not conn.closing:
                    await self._answer(conn, await conn.read_head())
            tasks.cancel_scope.cancel()

    async def _answer(self, conn: Connection, req: Request) -> None:
        key = f"{req.target} {req.id(self.dialect)}"
        self._asked[key] += 1
        rng = random.Random(f"{self._seed} {self.name} {key} {self._asked[key]}")
        conn.rng = rng
        trouble: Trouble = NoTrouble()
        if rng.random() < self._share:
            trouble = rng.choice(self._troubles)
        if not trouble.before_body:
            await conn.read_body(req)
        answer = self._run(req, rng)
        await trouble.send(conn, answer, self)
        if trouble.before_body and not conn.closing:
            await conn.read_body(req)

    def _run(self, req: Request, rng: random.Random) -> Answer:
        serial = len(self.answers) + 1
        id = req.id(self.dialect)
        refused = rng.random() < REFUSED_SHARE
        leaving = rng.random() < self._leaving_share
        status = rng.choice(self.dialect.refusals if refused else OWN_STATUSES)
        if req.headers.get("plantainstack-expect-instance", self.name) != self.name:
            refused, status = True, 421
        lines = self.dialect.headers(serial, refused, leaving)
        more, body = [], f"{status} of {req.target} {serial}".encode()
        if status == 200:
            more, body = self.dialect.body(req, serial)
        nameless = refused and self.dialect.may_omit_id
        if id and not (nameless and rng.random() < NAMELESS_SHARE):
            lines.append(f"{self.dialect.id_header}: {id}")
        headers = (*lines, *more)
        found = Answer(
            self.name, req.target, id, serial, status, refused, leaving, headers, body
        )
        self.answers.append(found)
        self._by_target[req.target].append(found)
        return found
