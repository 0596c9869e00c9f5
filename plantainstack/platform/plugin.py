"""The plug-in that holds the clients of the users' platform."""

from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.platform.store import PlatformStore
from plantainstack.plugins import Plugin


class StorePlugin(Plugin):
    """Hold the client of the store and that of the servers."""

    name = "store"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.metadata_store = PlatformStore(kernel.settings.store.address, kernel.clock)
        self.registry = self.metadata_store
        self.endpoint_client = PlatformEndpointClient(kernel.clock)

    async def stop(self) -> None:
        """Close all connections."""
        await self.endpoint_client.aclose()
        await self.metadata_store.aclose()
