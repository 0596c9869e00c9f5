"""The plug-in that listens for the clients of a deployment on a metadata store."""

from plantainstack.front.server import FrontServer
from plantainstack.platform.ingress import Ingress, Probes
from plantainstack.plugins import Plugin

# The platform asks for readiness once a second and needs two refusals; new
# connections may come until then.
DRAIN_NOTICE_S = 2.6
# Kept back from the time between SIGTERM and SIGKILL.
KILL_MARGIN_S = 1.0


class Gateway(Plugin):
    """Listen on the instance's addresses and leave without a broken request."""

    name = "gateway"
    requires = ("forwarding", "batches", "version_orders")

    async def start(self, tasks) -> None:
        """Listen on all addresses."""
        options = self.kernel.settings.instance
        self.ingress = Ingress(self.kernel)
        probes = Probes(self.kernel)
        discovery = self.kernel.plugin("discovery")
        self._servers = [
            FrontServer(self.ingress, options.listen, discovery.limits),
            FrontServer(probes, options.probe_listen),
            FrontServer(probes, options.metrics_listen),
        ]
        for server in self._servers:
            tasks.start_soon(server.run_until_closed)

    async def drain(self, deadline: float) -> None:
        """Wait until the platform sends nothing new and all requests have ended."""
        clock = self.kernel.clock
        now = clock.now()
        end = min(deadline, now + self.kernel.settings.bounds.grace - KILL_MARGIN_S)
        await clock.sleep_until(min(end, now + DRAIN_NOTICE_S))
        while self.ingress.open_requests and clock.now() < end:
            await clock.sleep_until(clock.now() + 0.05)

    async def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            await server.close()
