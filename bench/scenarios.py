"""Scenarios of load and faults; times are in simulated seconds."""

from collections.abc import Callable
from typing import NamedTuple

Rate = Callable[[float], float]


def steady(rate: float) -> Rate:
    """Return a constant rate of requests per second."""
    return lambda time: rate


def burst(rate: float, begin: float, end: float, factor: float) -> Rate:
    """Return a rate that is multiplied by `factor` from `begin` until `end`."""
    return lambda time: rate * factor if begin <= time < end else rate


class Scenario(NamedTuple):
    """Load and faults of a run.

    `trainers` holds the relative step size of each trainer. A fault is a tuple of a
    time, the name of a method of Simulation and its arguments.
    """

    name: str
    duration: float = 400.0
    callers: Rate = steady(8.0)
    bookings: Rate = steady(4.0)
    trainers: tuple[float, ...] = (1.0, 1.0)
    faults: tuple[tuple, ...] = ()


SLOW = ((60.0, "slow", 0, 5.0), (300.0, "slow", 0, 1.0))
CRASH = ((150.0, "crash", 1, 45.0),)
CUT = ((120.0, "cut", 1), (220.0, "join", 1))
TABLE = ((100.0, "table", True), (700.0, "table", False))
RESTART = ((150.0, "restart_all", 15.0),)
UPDATE = ((90.0, "publish", 0), (200.0, "publish", 1))

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("quiet", callers=steady(1.0), bookings=steady(0.5), trainers=(0.25,)),
        Scenario("peak", callers=steady(12.0), bookings=steady(6.0)),
        Scenario("burst", callers=burst(4.0, 150.0, 200.0, 5.0)),
        Scenario("overload", callers=burst(4.0, 150.0, 210.0, 11.0)),
        Scenario("update", faults=UPDATE),
        Scenario("slow-engine", faults=SLOW),
        Scenario("crash", faults=CRASH),
        Scenario("data-centre-cut", faults=CUT),
        Scenario("table-down", duration=800.0, faults=TABLE),
        Scenario("restart", faults=RESTART),
        Scenario(
            "all",
            duration=800.0,
            callers=burst(8.0, 250.0, 300.0, 2.0),
            faults=(*UPDATE, *SLOW, *CRASH, *CUT, *TABLE, (400.0, "restart_all", 15.0)),
        ),
    )
}
