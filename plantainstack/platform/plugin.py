"""The plug-in `store`: clients of the platform's store and servers."""

from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.platform.store import PlatformStore
from plantainstack.plugins import Plugin


class StorePlugin(Plugin):
    """Provide the clients of the metadata store and of the endpoints."""

    name = "store"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.metadata_store = PlatformStore(kernel.settings.store.address, kernel.clock)
        self.registry = self.metadata_store
        self.endpoint_client = PlatformEndpointClient(
            kernel.clock, kernel.answer_memory
        )

    async def stop(self) -> None:
        """Close all connections."""
        await self.endpoint_client.aclose()
        await self.metadata_store.aclose()
