"""Convert measured windows to costs, fit lines over the fleet size and plot them."""

import statistics
from pathlib import Path
from typing import NamedTuple

import numpy as np

TARGET_INSTANCES = 340
# Events occur this many times more often than in production ("field"), so that a
# short window holds enough of them. Their cost above the idle cost is divided by it.
SPEED_UP = 10


class Window(NamedTuple):
    """Resource usage in a measured window; lists have one item per process.

    CPU is in cores, resident memory in bytes, peer and table traffic in bytes per
    second. The `_reference` lists are of instances without the control plane.
    """

    cpu: list[float]
    cpu_reference: list[float]
    resident: list[int]
    resident_reference: list[int]
    peer_bytes: list[float]
    table_bytes: float
    changes: int = 0
    restarts: int = 0

    def cost(self) -> dict[str, tuple[float, float]]:
        """Return the mean and the largest cost of the control plane, by resource."""
        return {
            "cpu": _excess_over(self.cpu, self.cpu_reference),
            "memory": _excess_over(self.resident, self.resident_reference),
            "bytes": (
                statistics.mean(self.peer_bytes) + self.table_bytes,
                max(self.peer_bytes) + self.table_bytes,
            ),
        }


class Measurement(NamedTuple):
    """The windows of one fleet size, idle and busy."""

    instances: int
    rest: Window
    busy: Window

    def production_cost(self) -> dict[str, tuple[float, float]]:
        """Return the cost at production rates of changes and restarts."""
        rest, busy = self.rest.cost(), self.busy.cost()
        cpu = tuple(
            idle + (loaded - idle) / SPEED_UP
            for idle, loaded in zip(rest["cpu"], busy["cpu"], strict=True)
        )
        # Memory is not released after a change, so it is not scaled.
        return {"cpu": cpu, "bytes": self._production_bytes(), "memory": busy["memory"]}

    def _production_bytes(self) -> tuple[float, float]:
        """Return the mean and the largest traffic of an instance in bytes per second.

        One instance accepts all changes and writes them to the table, so the mean
        includes the change traffic divided by the number of instances.
        """
        rest, busy = self.rest, self.busy
        table = (busy.table_bytes - rest.table_bytes) / SPEED_UP
        idle = statistics.mean(rest.peer_bytes)
        peers = (statistics.mean(busy.peer_bytes) - idle) / SPEED_UP
        mean = idle + peers + rest.table_bytes + table / self.instances
        idle = max(rest.peer_bytes)
        peers = (max(busy.peer_bytes) - idle) / SPEED_UP
        return mean, idle + peers + rest.table_bytes + table


class Point(NamedTuple):
    """The mean and the largest value of a quantity at one fleet size."""

    instances: int
    mean: float
    largest: float


class Fit(NamedTuple):
    """A line through the means, extrapolated to TARGET_INSTANCES."""

    points: list[Point]
    slope: float
    slope_error: float
    intercept: float
    at_target: float
    at_target_error: float
    target: float
    met: bool


def fit_line(points: list[Point], target: float) -> Fit:
    """Fit a line by least squares; the errors are standard errors."""
    sizes = np.array([point.instances for point in points], dtype=float)
    means = np.array([point.mean for point in points])
    (slope, intercept), covariance = np.polyfit(sizes, means, 1, cov=True)
    place = np.array([TARGET_INSTANCES, 1.0])
    at_target = float(place @ (slope, intercept))
    return Fit(
        points=points,
        slope=float(slope),
        slope_error=float(np.sqrt(covariance[0, 0])),
        intercept=float(intercept),
        at_target=at_target,
        at_target_error=float(np.sqrt(place @ covariance @ place)),
        target=target,
        met=bool(at_target <= target),
    )


def describe(name: str, fit: Fit) -> str:
    """Return a one-line summary of a fit."""
    status = "met" if fit.met else "MISSED"
    return (
        f"{name}: {fit.at_target:.4g} ± {fit.at_target_error:.2g} at "
        f"{TARGET_INSTANCES} instances, slope {fit.slope:.3g} ± "
        f"{fit.slope_error:.2g}, target {fit.target:.4g}: {status}"
    )


def plot(fits: dict[str, Fit], path: Path) -> None:
    """Write a PNG with one panel per fit."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(
        1, len(fits), figsize=(4 * len(fits), 3.5), squeeze=False
    )
    for panel, (name, fit) in zip(panels[0], fits.items(), strict=True):
        sizes = [point.instances for point in fit.points]
        line = np.array([0, TARGET_INSTANCES])
        panel.plot(sizes, [point.mean for point in fit.points], "o", label="mean")
        panel.plot(sizes, [point.largest for point in fit.points], "x", label="largest")
        panel.plot(line, fit.intercept + fit.slope * line, "-", label="fit")
        panel.axhline(fit.target, linestyle="--", color="black", label="target")
        panel.set_title(name, fontsize=8)
        panel.set_xlabel("instances")
        panel.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _excess_over(values: list, references: list) -> tuple[float, float]:
    base = statistics.mean(references)
    return statistics.mean(values) - base, max(values) - base
