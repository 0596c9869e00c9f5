"""Plug-in that provides the leases of duties and the client for their calls."""

from plantainstack.duties import DutyClient, DutyLease
from plantainstack.platform.duties import PlatformDutyClient
from plantainstack.plugins import Plugin
from plantainstack.services.duties.holder import StoreDutyLease


class Duties(Plugin):
    """Provide what plug-ins need to perform a duty; makes no call by itself."""

    name = "duties"
    requires = ("store",)
    client: DutyClient

    def __init__(self, kernel):
        super().__init__(kernel)
        self._options = kernel.settings.duties
        self._holders: dict[str, DutyLease] = {}
        self.client = PlatformDutyClient(self._options, kernel.clock)

    def enabled(self, kind: str) -> bool:
        """Return whether the settings name this duty and an address."""
        return self._options.address is not None and kind in self._options.kinds

    def holder(self, duty: str) -> DutyLease:
        """Return the lease of a duty; there is one for each duty in a process."""
        if duty not in self._holders:
            self._holders[duty] = StoreDutyLease(self.kernel, duty)
        return self._holders[duty]
