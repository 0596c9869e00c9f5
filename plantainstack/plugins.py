"""Base class and registry of plug-ins, which handle the kernel's events."""

import importlib
from abc import ABC
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from plantainstack.kernel import Kernel
    from plantainstack.settings.fleet import FleetConfig
    from plantainstack.tasks import TaskRunner

REGISTRY: dict[str, type["Plugin"]] = {}

BUILTIN_MODULES = (
    "plantainstack.adapters.plugin",
    "plantainstack.links.endpoint",
    "plantainstack.links.peer",
    "plantainstack.services.membership",
    "plantainstack.services.endpoints",
    "plantainstack.services.leases",
    "plantainstack.services.configuration",
    "plantainstack.services.dispatch",
    "plantainstack.services.bookings",
    "plantainstack.services.steps",
    "plantainstack.services.weights",
    "plantainstack.front.plugin",
)

# Plug-in modules of a deployment that keeps its state in a metadata store.
STORE_MODULES = (
    "plantainstack.platform.plugin",
    "plantainstack.services.duties.plugin",
    "plantainstack.services.usage.plugin",
    "plantainstack.services.discovery",
    "plantainstack.services.rate_permits",
    "plantainstack.services.tenant_rates",
    "plantainstack.services.fair_waits",
    "plantainstack.services.request_losses",
    "plantainstack.services.stream_versions",
    "plantainstack.services.forwarding",
    "plantainstack.services.reward_calls",
    "plantainstack.services.batches",
    "plantainstack.services.scaling.plugin",
    "plantainstack.services.version_orders",
    "plantainstack.front.gateway",
)


class Plugin(ABC):
    """Base class of the daemon's plug-ins.

    A subclass that sets `name` is registered, unless it is declared with
    `register=False`, as test doubles are. The kernel starts a plug-in after those
    that it requires, and stops plug-ins in the reverse order.
    """

    name: ClassVar[str]
    requires: ClassVar[tuple[str, ...]] = ()

    def __init_subclass__(cls, register: bool = True, **kwargs):
        super().__init_subclass__(**kwargs)
        if register and "name" in cls.__dict__:
            REGISTRY[cls.name] = cls

    def __init__(self, kernel: "Kernel"):
        self.kernel = kernel

    async def start(self, tasks: "TaskRunner") -> None:
        """Start the plug-in and its background tasks."""

    async def drain(self, deadline: float) -> None:
        """Finish running work until the deadline, a monotonic time in seconds."""

    async def stop(self) -> None:
        """Release the resources of the plug-in."""

    def unready_reason(self) -> str | None:
        """Return why the instance is not ready to serve, or None if it is."""
        return None

    def on_config(self, cfg: "FleetConfig") -> None:
        """Handle a new fleet configuration that is now in force."""

    def on_membership(self, view) -> None:
        """Handle a new membership view of the entry instances."""

    def on_endpoints(self, records) -> None:
        """Handle a new list of endpoints."""

    def on_drain(self) -> None:
        """Handle the start of a graceful shutdown."""


def load_builtin(
    modules: tuple[str, ...] = BUILTIN_MODULES,
) -> dict[str, type[Plugin]]:
    """Import modules of built-in plug-ins; return the plug-in classes by name."""
    for module in modules:
        importlib.import_module(module)
    return {name: kind for name, kind in REGISTRY.items() if kind.__module__ in modules}
