"""The command `plantainstack trace`."""

from datetime import UTC, datetime

import click


@click.command()
@click.argument("id")
@click.pass_obj
def trace(obj, id: str) -> None:
    """Show the recorded events of one request, sample or step."""
    client = obj.connect()
    body = client.request("GET", f"/operator/trace/{id}").body
    lines = [_format_event(event) for event in body["events"]]
    lines += [f"no answer from {name}" for name in body["missing"]]
    client.show(body, "\n".join(lines) or "no events; older ones are in the logs")


def _format_event(event: dict) -> str:
    time = datetime.fromtimestamp(event["wall"], UTC).strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
    return f"{time} {event['instance']} {event['name']} {fields}"
