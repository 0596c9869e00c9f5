"""Settings of an instance whose state lives in a metadata store."""

from pathlib import Path
from typing import NamedTuple

from plantainstack.settings.ini import parse_sections
from plantainstack.settings.options import AddressOption, Duration, Options, Text


class NodeOptions(Options):
    """Declare the section `instance`."""

    id = Text(help="Name of this instance; no other machine has it.")
    data_centre = Text(help="Data centre of this instance.")
    listen = AddressOption(help="Address for clients and trainers.")
    probe_listen = AddressOption(help="Address at which readiness is asked for.")
    metrics_listen = AddressOption(help="Address of the metrics.")


class StoreOptions(Options):
    """Declare the section `store`."""

    address = AddressOption(help="Metadata store.")


class BoundOptions(Options):
    """Declare the section `bounds`: what the platform promises and expects."""

    grace = Duration("8 s", help="Time between SIGTERM and SIGKILL.")
    order_gap = Duration(
        "3 s", help="Least time between orders of two machines to one endpoint."
    )


class NodeSettings(NamedTuple):
    """Hold the settings of one instance."""

    instance: NodeOptions
    store: StoreOptions
    bounds: BoundOptions

    def log_path(self) -> Path | None:
        """Return None: lines go to standard output."""
        return None


SECTIONS: dict[str, type[Options]] = {
    "instance": NodeOptions,
    "store": StoreOptions,
    "bounds": BoundOptions,
}


def parse_node(text: str, source: str) -> NodeSettings:
    """Check an instance's INI text.

    Raises ConfigurationError with all problems at once.
    """
    return NodeSettings(**parse_sections(text, source, SECTIONS))


def load_node(path: Path) -> NodeSettings:
    """Read and check an instance's INI file."""
    return parse_node(path.read_text(), str(path))
