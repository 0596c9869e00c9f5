"""Settings of an instance that keeps its state in a metadata store."""

from pathlib import Path
from typing import NamedTuple

from plantainstack.settings.ini import parse_sections
from plantainstack.settings.memory import MemoryOptions
from plantainstack.settings.options import (
    AddressOption,
    Boolean,
    Choice,
    Duration,
    Number,
    OptionalAddress,
    Options,
    Text,
    Words,
)

USAGE_REPORTS = "usage_report"
SCALING = "scaling"


class NodeOptions(Options):
    """Options of the section `instance`."""

    id = Text(help="Unique id of this instance.")
    data_centre = Text(help="Data centre of this instance.")
    listen = AddressOption(help="Address for clients and trainers.")
    probe_listen = AddressOption(help="Address for readiness probes.")
    metrics_listen = AddressOption(help="Address at which metrics are exposed.")


class StoreOptions(Options):
    """Options of the section `store`."""

    address = AddressOption(help="Metadata store.")


class BoundOptions(Options):
    """Options of the section `bounds`: time limits agreed with the platform."""

    grace = Duration("8 s", help="Time between SIGTERM and SIGKILL.")
    endpoint_notice = Duration(
        "2 s", help="Time after which an endpoint that leaves may get no more requests."
    )
    order_gap = Duration(
        "3 s", help="Minimum time between orders of two instances to one endpoint."
    )


class TenantOptions(Options):
    """Options of the section `tenants`: how keys and rates of tenants are enforced."""

    strict_revocation = Boolean(
        "no", help="Whether a removed key stops working also without the store."
    )
    revocation = Duration(
        "5 s", help="Time after which a removed key must not be accepted any more."
    )
    quota_excess = Number(
        "0.1", help="Share by which a tenant's rate may be exceeded.", maximum=1.0
    )


class DutyOptions(Options):
    """Options of the section `duties`: calls that one instance at a time makes."""

    address = OptionalAddress("", help="Platform interface that takes the calls.")
    kinds = Words((USAGE_REPORTS, SCALING), help="Duties of this deployment.")
    calls_per_s = Number(
        "50",
        help="Calls a second that the platform takes from all instances.",
        minimum=0.1,
    )
    usage_window = Duration(
        "5 s", help="Length of a window of usage reports.", minimum=0.1
    )
    usage_due = Duration("10 s", help="Time after its end for reporting a window.")


class PlacementOptions(Options):
    """Options of the section `placement`: how items find their endpoints."""

    prefix_cache = Choice(
        ("off", "group", "most", "weighed"),
        "group",
        help="How cached prompts count: not at all; a group of a batch stays at one"
        " endpoint; always where most is cached; weighed against the wait.",
    )
    cache_tokens = Number(
        "64000", help="Tokens of prompts that an endpoint keeps cached.", minimum=1.0
    )
    prefill_rate = Number(
        "500", help="Prompt tokens that an endpoint prefills in 1 ms.", minimum=1.0
    )


class NodeSettings(NamedTuple):
    """The validated settings of one instance."""

    instance: NodeOptions
    store: StoreOptions
    bounds: BoundOptions
    memory: MemoryOptions
    tenants: TenantOptions
    duties: DutyOptions
    placement: PlacementOptions

    def log_path(self) -> Path | None:
        """Return None, since the log goes to standard output."""
        return None


SECTIONS: dict[str, type[Options]] = {
    "instance": NodeOptions,
    "store": StoreOptions,
    "bounds": BoundOptions,
    "memory": MemoryOptions,
    "tenants": TenantOptions,
    "duties": DutyOptions,
    "placement": PlacementOptions,
}


def parse_node(text: str, source: str) -> NodeSettings:
    """Parse and validate the INI text of an instance's settings.

    Raises ConfigurationError with all problems at once.
    """
    return NodeSettings(**parse_sections(text, source, SECTIONS))


def load_node(path: Path) -> NodeSettings:
    """Read and validate an instance's INI file; raise ConfigurationError."""
    return parse_node(path.read_text(), str(path))
