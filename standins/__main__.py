"""Command line: `python -m standins KIND` serves one stand-in."""

from pathlib import Path

import click

from plantainstack.settings.options import Address, AddressOption
from standins.base import Standin
from standins.batch import EngineOptions
from standins.engine import EngineStandin
from standins.instances import InstancesStandin
from standins.objects import ObjectsStandin
from standins.plain import PlainStandin
from standins.scorer import ScorerStandin
from standins.server import run
from standins.table import TableStandin
from standins.trainer import TrainerOptions, TrainerStandin
from standins.weights import WeightsStandin


class AddressType(click.ParamType):
    """Parse an option of the form IP:PORT."""

    name = "IP:PORT"

    def convert(self, value, param, ctx):
        """Return the address, or fail with the reason it is invalid."""
        if isinstance(value, Address):
            return value
        outcome = AddressOption().parse(value)
        if outcome.is_err():
            self.fail(outcome.unwrap_err(), param, ctx)
        return outcome.unwrap()


ADDRESS = AddressType()


@click.group()
def main() -> None:
    """Serve a stand-in for one platform service."""


def _kind(name: str):
    """Register a command; the decorated function builds the stand-in to serve."""

    def declare(build):
        def command(listen: Address, **options) -> None:
            standin: Standin = build(**options)
            run(standin, listen)

        command.__doc__ = build.__doc__
        command.__click_params__ = getattr(build, "__click_params__", [])
        listen = click.option("--listen", type=ADDRESS, required=True)
        return main.command(name)(listen(command))

    return declare


@_kind("table")
@click.option(
    "--journal",
    type=click.Path(path_type=Path),
    help="File that keeps the rows across restarts.",
)
def table(journal: Path | None) -> Standin:
    """Serve a stand-in for the table service."""
    return TableStandin(journal=journal)


@_kind("objects")
def objects() -> Standin:
    """Serve a stand-in for the object store."""
    return ObjectsStandin()


@_kind("instances")
@click.option("--lag", default=0.0, help="Age of the reported list in seconds.")
def instances(lag: float) -> Standin:
    """Serve a stand-in for the instance list."""
    return InstancesStandin(lag)


@_kind("weights")
@click.option("--permits", default=10.0, help="Refill rate in permits per second.")
@click.option("--burst", default=4, help="Capacity of the token bucket in permits.")
def weights(permits: float, burst: int) -> Standin:
    """Serve a stand-in for the weight store."""
    return WeightsStandin(permits, burst)


@_kind("scorer")
@click.option("--delay", default=0.0, help="Delay of each answer in seconds.")
def scorer(delay: float) -> Standin:
    """Serve a stand-in for the scorer."""
    return ScorerStandin(delay)


@_kind("plain")
@click.option("--name", default="plain", help="Name of the endpoint in its answers.")
@click.option("--delay", default=0.0, help="Delay of each answer in seconds.")
def plain(name: str, delay: float) -> Standin:
    """Serve a stand-in for an endpoint of a plain service."""
    return PlainStandin(name, delay)


@_kind("engine")
@click.option("--model", required=True)
@click.option("--version", default=1)
@click.option(
    "--token-rate", default=2000.0, help="Tokens per second over all streams."
)
@click.option(
    "--stream-rate", default=200.0, help="Maximum tokens per second of one stream."
)
@click.option("--running-max", default=32, help="Maximum number of concurrent streams.")
@click.option(
    "--cache-size", default=64, help="Capacity of the cache in prompt prefixes."
)
@click.option("--swap-s", default=1.0, help="Time to load a weight version in seconds.")
@click.option("--load-lag-s", default=0.2, help="Age of the load report in seconds.")
@click.option("--checks-fence/--ignores-fence", default=False)
def engine(**options) -> Standin:
    """Serve a stand-in for a model engine."""
    return EngineStandin(EngineOptions(**options))


@_kind("trainer")
@click.option("--name", required=True)
@click.option("--token", required=True, help="Token of the trainer.")
@click.option("--model", required=True)
@click.option("--entry", "entries", type=ADDRESS, multiple=True, required=True)
@click.option("--weights", type=ADDRESS, required=True)
@click.option("--groups", default=4)
@click.option("--samples", default=4, help="Samples in each group.")
@click.option("--max-tokens", default=48)
@click.option("--version-bound", default=1)
@click.option("--step-timeout-s", default=60.0)
@click.option("--train-s", default=0.5, help="Time to train on a step in seconds.")
def trainer(entries: tuple[Address, ...], **options) -> Standin:
    """Serve a stand-in for a trainer."""
    return TrainerStandin(TrainerOptions(entries=list(entries), **options))


if __name__ == "__main__":
    main()
