"""The plug-in `gateway`: HTTP listeners of a deployment on a metadata store."""

from plantainstack.front.explanations import Explanations
from plantainstack.front.server import FrontServer
from plantainstack.platform.ingress import Ingress
from plantainstack.platform.probes import Probes
from plantainstack.plugins import Plugin
from plantainstack.policy.draining import StopTimes

# The platform polls readiness once a second and stops sending connections after
# two failures; new connections may arrive until then.
DRAIN_NOTICE_S = 2.6
# Reserved at the end of the time between SIGTERM and SIGKILL.
KILL_MARGIN_S = 1.0


class Gateway(Plugin):
    """Listen on the instance's addresses and shut the listeners down gracefully."""

    name = "gateway"
    requires = ("forwarding", "batches", "tenant_rates", "version_orders")

    async def start(self, tasks) -> None:
        """Start the listeners for clients, probes and metrics."""
        options = self.kernel.settings.instance
        self.ingress = Ingress(self.kernel)
        probes = Probes(self.kernel)
        discovery = self.kernel.plugin("discovery")
        self._servers = [
            FrontServer(
                self.ingress,
                options.listen,
                discovery.limits,
                self.kernel.client_budget,
            ),
            FrontServer(probes, options.probe_listen),
            FrontServer(Explanations(self.kernel, probes), options.metrics_listen),
        ]
        for server in self._servers:
            tasks.required.start_soon(server.run_until_closed)

    def on_drain(self) -> None:
        """Take only requests that can be answered before SIGKILL."""
        now = self.kernel.clock.now()
        grace = self.kernel.settings.bounds.grace
        self.ingress.stop_times = StopTimes(
            now + DRAIN_NOTICE_S, now + grace - KILL_MARGIN_S
        )

    async def drain(self, deadline: float) -> None:
        """Wait until the platform sends no new requests and all requests have finished.

        The wait ends KILL_MARGIN_S before SIGKILL, even if requests are still running.
        """
        clock = self.kernel.clock
        times = self.ingress.stop_times
        end = min(deadline, times.answers_until)
        await clock.sleep_until(min(end, times.noticed_at))
        # Batches may go on for seconds. Clients of idle connections go elsewhere, in
        # place of requests that would be refused here.
        self._servers[0].close_idle_connections()
        while self.ingress.open_requests and clock.now() < end:
            await clock.sleep_until(clock.now() + 0.05)

    async def stop(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            await server.close()
