"""Links between machines: proxies that can cut off one machine, or fall silent.

What a machine sends on an open connection during a cut is held, as the kernel holds
it: it is sent again 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s after the first time, and so
arrives with the first of these that follows the end of the cut. It is lost if the
machine resets the connection, and arrives if the machine closes it. A connection that
is opened during the cut is established 1, 3 or 7 s later, as the kernel repeats its
opening packet, with the first of these that follows the end of the cut.
"""

import asyncio
import os
import time
from collections.abc import Callable

RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)
HANDSHAKES_S = (1.0, 3.0, 7.0)


class Cuts:
    """Hold when each machine is cut off; times are monotonic."""

    def __init__(self):
        self.until: dict[str, float] = {}
        self.spans: dict[str, list[tuple[float, float]]] = {}

    def begin(self, node: str, seconds: float) -> None:
        """Cut a machine off from now on."""
        now = time.monotonic()
        self.until[node] = now + seconds
        self.spans.setdefault(node, []).append((now, now + seconds))

    def since_cut(self, node: str, at: float) -> float:
        """Return the seconds since the end of a machine's last cut, 0 during one."""
        begun = [end for begin, end in self.spans.get(node, []) if begin <= at]
        return max(0.0, at - begun[-1]) if begun else float("inf")

    def is_cut(self, node: str) -> bool:
        """Return whether a machine is cut off now."""
        return time.monotonic() < self.until.get(node, 0.0)


class Link:
    """Forward the connections of machines to one port.

    `node_of` returns the machine at the other end of a connection by its port, and
    `on_bytes` is called with it and the first bytes of a connection, before they pass.
    """

    def __init__(
        self,
        target: int,
        cuts: Cuts,
        node_of: Callable[[int], str],
        on_bytes: Callable[[str, bytes], None] = lambda node, data: None,
    ):
        self._target = target
        self._cuts = cuts
        self._node_of = node_of
        self._on_bytes = on_bytes
        self._silent_since = 0.0

    def silence(self) -> None:
        """Drop what open connections carry from now on; new ones work."""
        self._silent_since = time.monotonic()

    async def start(self, port: int) -> asyncio.Server:
        """Listen on a loopback port."""
        return await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(self, reader, writer) -> None:
        port = writer.get_extra_info("peername")[1]
        node = self._node_of(port)
        data = b""
        if self._cuts.is_cut(node):
            data = await self._open_late(reader, node)
            if not data:
                writer.close()
                return
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.close()
            return
        back.write(data)
        opened_at = time.monotonic()
        await asyncio.gather(
            self._pump(reader, back, node, opened_at, True),
            self._pump(there, writer, node, opened_at, False),
        )

    async def _open_late(self, reader, node: str) -> bytes:
        """Wait until a connection is established; return what came until then."""
        opened_at = time.monotonic()
        until = self._cuts.until[node]
        delays = [each for each in HANDSHAKES_S if opened_at + each >= until]
        data = b""
        try:
            async with asyncio.timeout_at(opened_at + delays[0]):
                while part := await reader.read(65536):
                    data += part
        except TimeoutError:
            return data
        except OSError:
            pass
        # Its machine has closed it before.
        return b""

    async def _pump(
        self, reader, writer, node: str, opened_at: float, outward: bool
    ) -> None:
        """Pass bytes on in one direction."""
        first = outward
        try:
            while data := await reader.read(65536):
                if first:
                    first = False
                    self._on_bytes(node, data)
                if opened_at < self._silent_since:
                    continue
                if self._cuts.is_cut(node):
                    await self._pass_held(reader, writer, node, data)
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            if self._cuts.is_cut(node):
                await asyncio.sleep(max(0.0, self._cuts.until[node] - time.monotonic()))
            if opened_at >= self._silent_since or outward:
                writer.close()

    async def _pass_held(self, reader, writer, node: str, data: bytes) -> None:
        """Pass bytes on after the cut, unless their sender resets the connection."""
        begun_at = time.monotonic()
        due_at = next(
            begun_at + after
            for after in RETRANSMISSIONS_S
            if begun_at + after >= self._cuts.until[node]
        )
        collect = asyncio.create_task(_read_all(reader))
        await asyncio.sleep(due_at - time.monotonic())
        if collect.done():
            # Raises an exception if the connection was reset.
            data += collect.result()
            writer.write(data)
            await writer.drain()
            return
        writer.write(data)
        await writer.drain()
        rest = await collect
        writer.write(rest)


async def _read_all(reader) -> bytes:
    parts = []
    while data := await reader.read(65536):
        parts.append(data)
    return b"".join(parts)


def node_of_port(pids: dict[str, int], port: int) -> str:
    """Return the machine whose process holds the connection from a local port."""
    inode = _inode(port)
    for node, pid in pids.items():
        try:
            for number in os.listdir(f"/proc/{pid}/fd"):
                if os.readlink(f"/proc/{pid}/fd/{number}") == f"socket:[{inode}]":
                    return node
        except OSError:
            continue
    return ""


def _inode(port: int) -> str:
    wanted = f"0100007F:{port:04X}"
    with open("/proc/net/tcp") as lines:
        for line in lines:
            words = line.split()
            if words[1] == wanted:
                return words[9]
    return ""
