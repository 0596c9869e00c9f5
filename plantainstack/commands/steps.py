"""The command `plantainstack steps`."""

import click

from plantainstack.commands.client import table

_COLUMNS = (
    "trainer",
    "step",
    "state",
    "groups",
    "samples",
    "committed",
    "idle_s",
    "staleness_mean",
    "staleness_max",
)


@click.command()
@click.option("--trainer", default="", help="Show only this trainer's steps.")
@click.pass_obj
def steps(obj, trainer: str) -> None:
    """Show trainers' steps, samples, idle time and staleness."""
    client = obj.connect()
    body = client.request("GET", f"/operator/steps?trainer={trainer}").body
    rows = [tuple(item.get(name, "") for name in _COLUMNS) for item in body["steps"]]
    client.show(body, table(_COLUMNS, rows))
