"""The commands `plantainstack report ...`."""

import sys
from pathlib import Path

import click

from plantainstack.commands.client import ExitCode, table


@click.group()
def report() -> None:
    """Report on the service."""


@report.command()
@click.option(
    "--png", type=click.Path(path_type=Path), help="Write a plot to this file."
)
@click.pass_obj
def burn(obj, png: Path | None) -> None:
    """Show how fast each service uses up its error budget, over several windows.

    Exits with 1 while an alert is active.
    """
    client = obj.connect()
    body = client.request("GET", "/operator/burn").body
    rows = [
        (item["service"], item["target"], b["window"], b["good"], b["bad"], b["rate"])
        for item in body["services"]
        for b in item["burns"]
    ]
    alerts = [
        f"{item['service']}: {alert}"
        for item in body["services"]
        for alert in item["alerts"]
    ]
    headings = ("service", "target", "window", "good", "bad", "burn rate")
    lines = [table(headings, rows), *alerts]
    lines += [f"no answer from {name}" for name in body["missing"]]
    client.show(body, "\n".join(lines))
    if png is not None:
        plot_burn(body["services"], png)
    if alerts:
        sys.exit(ExitCode.FAILED)


def plot_burn(services: list[dict], path: Path) -> None:
    """Draw the burn rates of each service and write them as PNG."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise click.UsageError("--png needs the package matplotlib") from None
    figure = Figure(figsize=(8, 4.5))
    axes = figure.subplots()
    for item in services:
        windows = [burn["window"] for burn in item["burns"]]
        rates = [burn["rate"] for burn in item["burns"]]
        axes.plot(windows, rates, marker="o", label=item["service"])
    axes.axhline(
        1.0,
        color="grey",
        linestyle="--",
        label="budget used up at the end of the period",
    )
    axes.set_xlabel("window")
    axes.set_ylabel("burn rate (1 = exactly the budget)")
    axes.set_title("Service-level burn")
    axes.legend()
    figure.savefig(path, format="png")
