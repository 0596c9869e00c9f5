"""The commands `plantainstack config ...`."""

import sys
import uuid
from pathlib import Path

import click

from plantainstack.commands.client import ExitCode, OperatorClient, table
from plantainstack.errors import ConfigurationError
from plantainstack.settings.fleet import SCOPE_FIELDS, parse_fleet
from plantainstack.settings.instance import parse_instance
from plantainstack.settings.node import parse_node


@click.group()
def config() -> None:
    """Check, show and change the configuration."""


@config.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.pass_obj
def check(obj, file: Path) -> None:
    """Check an instance's settings or a fleet configuration; list all mistakes."""
    text = file.read_text()
    parse = _parser(text)
    try:
        parse(text, str(file))
    except ConfigurationError as exc:
        for problem in exc.problems:
            click.echo(problem, err=True)
        click.echo(f"{len(exc.problems)} mistakes", err=True)
        sys.exit(ExitCode.USAGE)
    click.echo(f"{file}: no mistakes")


@config.command()
@click.pass_obj
def show(obj) -> None:
    """Show the defaults and the exceptions in force."""
    client = obj.connect()
    body = client.request("GET", "/operator/config").body
    lines = [f"version {body['version']}", "", "[defaults]"]
    lines += [f"{name} = {text}" for name, text in sorted(body["values"].items())]
    for item in body["exceptions"]:
        lines += ["", f"[exception {item['name']}]"]
        lines += [f"{field} = {value}" for field, value in item["scope"].items()]
        lines += [f"{field} = {item[field]}" for field in ("option", "value", "reason")]
    client.show(body, "\n".join(lines))


@config.command("set")
@click.argument("option")
@click.argument("value")
@click.option("--base", type=int, help="Version that the change is based on.")
@click.pass_obj
def set_default(obj, option: str, value: str, base: int | None) -> None:
    """Change a default of the whole fleet."""

    def edit(content: dict) -> None:
        content["defaults"][option] = value

    change(obj.connect(), edit, base)


@config.command("except")
@click.argument("name")
@click.option("--option", help="Option that the exception changes.")
@click.option("--value", help="Its value within the scope.")
@click.option("--reason", help="Why the exception is needed.")
@click.option("--service", default="")
@click.option("--data-centre", default="")
@click.option("--endpoint", default="")
@click.option("--trainer", default="")
@click.option("--remove", is_flag=True, help="Remove the exception.")
@click.option("--base", type=int, help="Version that the change is based on.")
@click.pass_obj
def add_exception(obj, name, remove, base, option, value, reason, **scope) -> None:
    """Add, replace or remove the exception NAME."""
    if not remove and not (option and value and reason and reason.strip()):
        raise click.UsageError("--option, --value and --reason are needed")
    entry = None
    if not remove:
        chosen = {field: scope[field] for field in SCOPE_FIELDS if scope[field]}
        entry = build_exception(name, option, value, chosen, reason)
    change(obj.connect(), replace_exception(name, entry), base)


@config.command()
@click.option("--limit", default=20, show_default=True)
@click.pass_obj
def history(obj, limit: int) -> None:
    """List the last changes, newest first."""
    client = obj.connect()
    body = client.request("GET", f"/operator/history?limit={limit}").body
    rows = [
        (item["version"], item["author"], item["change_id"]) for item in body["history"]
    ]
    client.show(body, table(("version", "author", "change"), rows))


@config.command()
@click.pass_obj
def status(obj) -> None:
    """Show which version is in force on each instance."""
    client = obj.connect()
    body = client.request("GET", "/operator/status").body
    rows = sorted(body["config_versions"].items())
    client.show(body["config_versions"], table(("instance", "version"), rows))


def _parser(text: str):
    """Return the parser for the kind of file, which its section names determine."""
    if "[instance]" not in text:
        return parse_fleet
    return parse_node if "[store]" in text else parse_instance


def build_exception(name, option, value, scope, reason) -> dict:
    """Return the JSON object of a configuration exception."""
    return {
        "name": name,
        "option": option,
        "value": value,
        "scope": scope,
        "reason": reason,
    }


def replace_exception(name: str, entry: dict | None):
    """Return an edit that replaces an exception, or removes it if `entry` is None."""

    def edit(content: dict) -> None:
        kept = [item for item in content["exceptions"] if item["name"] != name]
        content["exceptions"] = kept if entry is None else [*kept, entry]

    return edit


def change(client: OperatorClient, edit, base: int | None) -> None:
    """Read the configuration, apply an edit and send the result as one change."""
    body = client.request("GET", "/operator/config").body
    content = {name: body[name] for name in ("defaults", "exceptions")}
    edit(content)
    req = {
        "change_id": uuid.uuid4().hex,
        "base_version": body["version"] if base is None else base,
        **content,
    }
    answer = client.request("PUT", "/operator/config", req)
    client.show(answer.body, f"version {answer.body['version']} accepted")
