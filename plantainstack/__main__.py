"""Command-line client for operators, installed as `plantainstack`."""

from pathlib import Path

import click

from plantainstack import __version__
from plantainstack.commands import config, drain, explain, report, status, steps, trace
from plantainstack.commands.client import (
    EXIT_CODES_HELP,
    OperatorClient,
    read_token,
)

DEFAULT_SERVER = "127.0.0.1:8002"


class LazyClient:
    """Settings from which the client is created on first use.

    Commands that only read files never create it and so need no token.
    """

    def __init__(self, server: str, token_file: Path | None, as_json: bool):
        self.server = server
        self.token_file = token_file
        self.as_json = as_json

    def connect(self) -> OperatorClient:
        """Read the token and return a client for the operator API."""
        return OperatorClient(self.server, read_token(self.token_file), self.as_json)


@click.group(epilog=EXIT_CODES_HELP)
@click.option(
    "--server",
    envvar="PLANTAINSTACK_SERVER",
    default=DEFAULT_SERVER,
    show_default=True,
    help="Operators' address of any instance.",
)
@click.option(
    "--token-file",
    envvar="PLANTAINSTACK_TOKEN_FILE",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="File that holds the operator's token.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
@click.version_option(__version__)
@click.pass_context
def main(ctx: click.Context, server: str, token_file: Path | None, as_json: bool):
    """Inspect and change a plantainstack fleet."""
    ctx.obj = LazyClient(server, token_file, as_json)


for command in (
    config.config,
    status.status,
    steps.steps,
    drain.drain,
    report.report,
    explain.explain,
    trace.trace,
):
    main.add_command(command)


if __name__ == "__main__":
    main()
