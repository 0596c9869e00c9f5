"""The plug-in `platform`: clients of the platform's services."""

from plantainstack.adapters.http import HttpClient
from plantainstack.adapters.instances import HttpInstances
from plantainstack.adapters.objects import HttpObjects
from plantainstack.adapters.scorer import HttpScorer
from plantainstack.adapters.service_client import ServiceClient
from plantainstack.adapters.table import HttpTable
from plantainstack.adapters.weights import HttpWeights
from plantainstack.kernel import Kernel
from plantainstack.plugins import Plugin
from plantainstack.services.batching import BatchingTable
from plantainstack.settings.options import Address
from plantainstack.tasks import TaskRunner


class PlatformPlugin(Plugin):
    """Provides one client for each platform service named in the settings."""

    name = "platform"

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        addresses = kernel.settings.platform
        self._clients: list[HttpClient] = []
        self.table = BatchingTable(
            HttpTable(self._http_client(addresses.table)), kernel.clock
        )
        self.objects = HttpObjects(self._service_client(addresses.objects))
        self.instances = HttpInstances(self._service_client(addresses.instances))
        self.weights = HttpWeights(self._service_client(addresses.weights))
        # Scores carry no id by which a late second answer could be told.
        scorer = self._http_client(addresses.scorer, reuse=False)
        self.scorer = HttpScorer(ServiceClient(scorer))

    async def start(self, tasks: TaskRunner) -> None:
        """Start the background tasks of the table's group commit."""
        self.table.start(tasks.required)

    async def stop(self) -> None:
        """Close all idle connections."""
        for client in self._clients:
            await client.aclose()

    def _http_client(self, address: Address, reuse: bool = True) -> HttpClient:
        client = HttpClient(address, self.kernel.clock, reuse=reuse)
        self._clients.append(client)
        return client

    def _service_client(self, address: Address) -> ServiceClient:
        return ServiceClient(self._http_client(address))
