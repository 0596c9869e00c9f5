"""The command `plantainstack status`."""

import click

from plantainstack.commands.client import table

_SECTIONS = {
    "members": ("id", "state", "data_centre", "config_version"),
    "endpoints": ("id", "service", "kind", "data_centre", "state", "version", "load"),
    "leases": ("name", "holder", "fence"),
}


@click.command()
@click.pass_obj
def status(obj) -> None:
    """Show the state and load of instances and endpoints, and the leases."""
    client = obj.connect()
    body = client.request("GET", "/operator/status").body
    ready = body["unready_reason"] or "ready"
    lines = [f"{body['instance']}: {body['state']}, {ready}"]
    for section, columns in _SECTIONS.items():
        rows = [tuple(item.get(name, "") for name in columns) for item in body[section]]
        lines += ["", section, table(columns, rows)]
    client.show(body, "\n".join(lines))
