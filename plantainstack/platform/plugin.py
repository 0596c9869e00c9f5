"""The plug-in that holds the clients of the users' platform."""

from plantainstack.platform.servers import PlatformServers
from plantainstack.platform.store import PlatformStore
from plantainstack.plugins import Plugin


class StorePlugin(Plugin):
    """Hold the client of the store and that of the servers."""

    name = "store"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.rows = PlatformStore(kernel.settings.store.address, kernel.clock)
        self.registry = self.rows
        self.endpoints = PlatformServers(kernel.clock)

    async def stop(self) -> None:
        """Close all connections."""
        await self.endpoints.aclose()
        await self.rows.aclose()
