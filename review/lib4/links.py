"""Links of machines to the store: proxies whose open connections can fall silent."""

import asyncio
import time


class Link:
    """Forward the connections of one machine to a port."""

    def __init__(self, target: int):
        self._target = target
        self._silent_since = 0.0
        # Keeps the tasks of silent connections, which wait for ever.
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int) -> asyncio.Server:
        """Listen on a loopback port."""
        return await asyncio.start_server(self._serve, "127.0.0.1", port)

    def silence(self) -> None:
        """Drop what open connections carry from now on; new ones work."""
        self._silent_since = time.monotonic()

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.close()
            return
        opened_at = time.monotonic()
        await asyncio.gather(
            self._pump(reader, back, opened_at), self._pump(there, writer, opened_at)
        )

    async def _pump(self, reader, writer, opened_at: float) -> None:
        """Pass bytes and the end on in one direction, nothing once it is silent."""
        try:
            while data := await reader.read(65536):
                if opened_at >= self._silent_since:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if opened_at >= self._silent_since:
            writer.close()
