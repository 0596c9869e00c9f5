"""Plug-in that counts the requests of tenants and reports them to the platform."""

from plantainstack.plugins import Plugin
from plantainstack.services.usage.counts import UsageCounts
from plantainstack.services.usage.reports import UsageReporter
from plantainstack.settings.node import USAGE_REPORTS


class Usage(Plugin):
    """Report usage where the settings name this duty; do nothing otherwise."""

    name = "usage"
    requires = ("duties", "store")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._counts: UsageCounts | None = None
        self._reporter: UsageReporter | None = None

    async def start(self, tasks) -> None:
        """Start to count requests and to report the counts."""
        duties = self.kernel.plugin("duties")
        if not duties.enabled(USAGE_REPORTS):
            return
        lease = duties.holder(USAGE_REPORTS)
        self._tasks = tasks
        self._counts = UsageCounts(self.kernel, lease.store_clock)
        self._reporter = UsageReporter(self.kernel, lease, duties.client, self._counts)
        tasks.start_loop(self._counts.run)
        tasks.start_loop(self._reporter.run)

    def record_begin(self, tenant: str, began_at: float) -> None:
        """Count a request that began to run at an endpoint.

        `began_at` is the time on the process's clock at which it was sent there, or
        that of its first event if it is a stream.
        """
        if self._counts is not None:
            self._counts.record(tenant, began_at)

    def on_drain(self) -> None:
        """Give the duty up to another instance; requests are still counted."""
        if self._reporter is not None:
            self._tasks.start_soon(self._reporter.release)

    async def stop(self) -> None:
        """Store the counts of the requests that ended while the process drained."""
        if self._counts is not None:
            await self._counts.store_last()
