"""The command `plantainstackd`, which runs one entry instance."""

import sys
from pathlib import Path

import anyio
import click

from plantainstack import log
from plantainstack.errors import ConfigurationError
from plantainstack.kernel import Kernel
from plantainstack.plugins import load_builtin
from plantainstack.settings.instance import load_instance

EXIT_BAD_SETTINGS = 2


@click.command()
@click.argument("settings_file", type=click.Path(exists=True, path_type=Path))
def main(settings_file: Path) -> None:
    """Run one entry instance with the settings in SETTINGS_FILE."""
    try:
        settings = load_instance(settings_file)
    except ConfigurationError as exc:
        click.echo(exc, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    log.configure(settings.log_path())
    log.bind(instance=settings.instance.id)
    kernel = Kernel(settings, load_builtin().values())
    anyio.run(kernel.run)


if __name__ == "__main__":
    main()
