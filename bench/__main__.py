"""Command line of the benchmark: `python -m bench`."""

import json
import time
from collections.abc import Iterable
from pathlib import Path

import click

from bench.plot import plot
from bench.report import MEASURES
from bench.scenarios import SCENARIOS
from bench.summary import Run, Summary, measure_all, summarize
from bench.users import USERS
from bench.variants import VARIANTS


def print_text(summaries: list[Summary], seeds: tuple[int, ...]) -> None:
    """Print a table of means, ratios and goals for each user and scenario."""
    click.echo(f"means over the seeds {', '.join(map(str, seeds))}")
    for group in dict.fromkeys(item[:2] for item in summaries):
        in_group = [item for item in summaries if item[:2] == group]
        click.echo(f"\n{group[0]}, {group[1]}")
        headings = "".join(f"{item.policy:>20}{'ratio':>8}" for item in in_group)
        click.echo(f"  {'':22}{headings}")
        for name in MEASURES:
            cells = "".join(_cell(item, name) for item in in_group)
            click.echo(f"  {name:22}{cells}")
        for item in in_group:
            if item.policy != "naive":
                _print_goals(item)


def _cell(item: Summary, name: str) -> str:
    ratio = f"{item.ratios[name]:8.2f}" if name in item.ratios else f"{'-':>8}"
    return f"{item.means[name]:20.5g}{ratio}"


def _print_goals(item: Summary) -> None:
    for goal in item.goals:
        verdict = "met" if goal.met else "MISSED"
        click.echo(f"  goal, {item.policy}: {goal.text}: {goal.value:.4g}, {verdict}")


def _choice(names: Iterable[str]) -> click.Choice:
    return click.Choice(list(names))


@click.command()
@click.option(
    "--scenario", multiple=True, type=_choice(SCENARIOS), help="Default: all."
)
@click.option("--user", multiple=True, type=_choice(USERS), help="Default: both.")
@click.option(
    "--policy",
    multiple=True,
    type=_choice(VARIANTS),
    default=("full", "naive"),
    show_default=True,
)
@click.option("--seed", multiple=True, type=int, default=(1, 2, 3), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--plot", "plot_file", type=click.Path(path_type=Path), help="PNG file to write."
)
def main(scenario, user, policy, seed, as_json, plot_file):
    """Compare the policies with the naive baseline in simulated time."""
    started = time.monotonic()
    runs = [
        Run(one_user, one_scenario, one_policy, one_seed)
        for one_scenario in scenario or SCENARIOS
        for one_user in user or USERS
        for one_policy in policy
        for one_seed in seed
    ]
    summaries = summarize(measure_all(runs))
    if as_json:
        click.echo(json.dumps([_as_dict(item) for item in summaries], indent=1))
    else:
        print_text(summaries, seed)
        click.echo(f"\n{len(runs)} runs in {time.monotonic() - started:.0f} s")
    if plot_file:
        plot(summaries, plot_file)


def _as_dict(item: Summary) -> dict:
    return {**item._asdict(), "goals": [goal._asdict() for goal in item.goals]}


if __name__ == "__main__":
    main()
