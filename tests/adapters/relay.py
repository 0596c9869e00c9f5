"""TCP relay that can stop forwarding on open connections but not on new ones."""

from contextlib import asynccontextmanager

import anyio

from plantainstack.settings.options import Address


class Relay:
    """Forwards TCP connections to one address."""

    def __init__(self, target: Address):
        self._target = target
        self._silenced: set[int] = set()
        self.opened = 0

    def silence_open_connections(self) -> None:
        """Discard all further bytes on the connections opened so far."""
        self._silenced = set(range(self.opened))

    async def handle(self, client) -> None:
        """Forward one connection in both directions."""
        number, self.opened = self.opened, self.opened + 1
        async with client, await anyio.connect_tcp(*self._target) as server:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, number, client, server)
                await self._copy(number, server, client)
                tasks.cancel_scope.cancel()

    async def _copy(self, number: int, source, target) -> None:
        try:
            async for data in source:
                if number not in self._silenced:
                    await target.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


@asynccontextmanager
async def relaying(target: Address):
    """Run a relay on a free loopback port; yield it and its address."""
    relay = Relay(target)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, relay.handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield relay, Address("127.0.0.1", port)
        tasks.cancel_scope.cancel()
