"""The daemon `plantainstackd`, which runs one entry instance."""

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import anyio
import click

from plantainstack import log
from plantainstack.errors import ConfigurationError
from plantainstack.kernel import Kernel
from plantainstack.plugins import BUILTIN_MODULES, STORE_MODULES, load_builtin
from plantainstack.process_memory import return_large_blocks
from plantainstack.settings.instance import InstanceSettings, load_instance
from plantainstack.settings.node import NodeSettings, load_node

EXIT_BAD_SETTINGS = 2


class Deployment(NamedTuple):
    """The settings loader and the plug-in modules of one kind of deployment."""

    load: Callable[[Path], InstanceSettings | NodeSettings]
    modules: tuple[str, ...]


DEPLOYMENTS = {
    "services": Deployment(load_instance, BUILTIN_MODULES),
    "store": Deployment(load_node, STORE_MODULES),
}


@click.command()
@click.argument("settings_file", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--deployment",
    type=click.Choice(list(DEPLOYMENTS)),
    default="services",
    help="Platform with separate services, or with a single metadata store.",
)
def main(settings_file: Path, deployment: str) -> None:
    """Run one entry instance with the settings in SETTINGS_FILE."""
    # Ignore SIGHUP during startup: its default action would end the process, and the
    # settings are about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    kind = DEPLOYMENTS[deployment]
    try:
        settings = kind.load(settings_file)
    except ConfigurationError as exc:
        click.echo(exc, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    log.configure(settings.log_path())
    log.bind(instance=settings.instance.id)
    return_large_blocks()
    kernel = Kernel(
        settings,
        load_builtin(kind.modules).values(),
        load_settings=lambda: kind.load(settings_file),
    )
    anyio.run(kernel.run)


if __name__ == "__main__":
    main()
