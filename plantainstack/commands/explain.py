"""The command `plantainstack explain`."""

from typing import Any
from urllib.parse import urlencode

import click

from plantainstack.commands.client import OperatorClient, table

_HEADINGS = ("endpoint", "load", "latency", "speed", "cached", "cost", "excluded")


@click.command()
@click.argument("address")
@click.option("--batch", help="Id of a batch that the instance runs.")
@click.option("--item", help="Id of an item of this batch.")
@click.option("--host", help="Host of a client's request.")
@click.option("--path", help="Path of a client's request.")
@click.pass_obj
def explain(obj, address: str, **query: str | None) -> None:
    """Show where a request or an item would be placed now, and why.

    ADDRESS is the metrics address of an instance with a metadata store. Nothing is sent
    to an endpoint or reserved.
    """
    given = {name: value for name, value in query.items() if value}
    if set(given) not in ({"batch", "item"}, {"host", "path"}):
        raise click.UsageError("name --batch and --item, or --host and --path")
    client = OperatorClient(address, "", obj.as_json)
    body = client.request("GET", f"/explain?{urlencode(given)}").body
    client.show(body, _text(body))


def _text(body: dict[str, Any]) -> str:
    lines = [f"route {body['route']}, chosen: {_chosen(body['chosen'])}"]
    if body.get("runs_at"):
        lines.append(f"runs at {body['runs_at']}")
    if body.get("way"):
        lines.append(f"placed by {body['way']}: {body['request']}")
    rows = [_row(each) for each in body["candidates"]]
    return "\n".join([*lines, "", table(_HEADINGS, rows)])


def _chosen(chosen: dict[str, str | None] | str | None) -> str:
    if isinstance(chosen, dict):
        return ", ".join(f"{id or 'none'} of {name}" for name, id in chosen.items())
    return chosen or "none"


def _row(each: dict[str, Any]) -> tuple:
    speed = each["speed"]
    shown = (
        f"{speed['slowness']:.2f}±{speed['deviation']:.2f} ({speed['age_s']:.1f} s)"
        if speed
        else ""
    )
    latency, cost = each["latency_s"], each.get("cost")
    return (
        each["endpoint"],
        f"{each['load']:.2f}",
        "" if latency is None else f"{latency * 1000:.0f} ms",
        shown,
        round(each["cached_tokens"]) if "cached_tokens" in each else "",
        f"{sum(cost.values()) * 1000:.1f} ms" if cost else "",
        ", ".join(each["excluded"]),
    )
