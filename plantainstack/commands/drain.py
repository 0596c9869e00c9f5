"""The command `plantainstack drain`."""

import click

from plantainstack.commands.config import build_exception, change, replace_exception


@click.command()
@click.argument("instance")
@click.option("--reason", help="Reason for the drain.")
@click.option("--undo", is_flag=True, help="End the drain.")
@click.pass_obj
def drain(obj, instance: str, reason: str | None, undo: bool) -> None:
    """Stop sending new requests to an endpoint or an entry instance.

    This adds an exception to the fleet's configuration, which stays in force
    until the drain is ended.
    """
    name = f"drain {instance}"
    entry = None
    if not undo:
        if not (reason and reason.strip()):
            raise click.UsageError("--reason is needed")
        entry = build_exception(name, "drain", "yes", {"endpoint": instance}, reason)
    change(obj.connect(), replace_exception(name, entry), None)
