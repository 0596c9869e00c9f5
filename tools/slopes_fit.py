"""Turn measured windows into costs, fit lines, extrapolate and plot them."""

import statistics
from pathlib import Path
from typing import NamedTuple

import numpy as np

TARGET_INSTANCES = 340
# Events come this many times faster than in the field, so that a short window
# holds enough of them; what they cost above rest is divided by the same number.
SPEED_UP = 10


class Window(NamedTuple):
    """Hold what each process used in a window; each list has one item a process.

    CPU is in cores, memory and table traffic in bytes and bytes a second.
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
        """Return the mean and the largest cost of control, by quantity."""
        return {
            "cpu": _excess_over(self.cpu, self.cpu_reference),
            "memory": _excess_over(self.resident, self.resident_reference),
            "bytes": (
                statistics.mean(self.peer_bytes) + self.table_bytes,
                max(self.peer_bytes) + self.table_bytes,
            ),
        }


class Measurement(NamedTuple):
    """Hold the windows of one fleet size."""

    instances: int
    rest: Window
    busy: Window

    def production_cost(self) -> dict[str, tuple[float, float]]:
        """Return the cost at the field's rate of changes and restarts."""
        rest, busy = self.rest.cost(), self.busy.cost()
        cpu = tuple(
            calm + (loaded - calm) / SPEED_UP
            for calm, loaded in zip(rest["cpu"], busy["cpu"], strict=True)
        )
        # Memory does not go back after a change, so it is not scaled.
        return {"cpu": cpu, "bytes": self._production_bytes(), "memory": busy["memory"]}

    def _production_bytes(self) -> tuple[float, float]:
        """Return bytes a second; all changes are accepted by one instance.

        Only that one writes to the table, so the mean gets its share of that.
        """
        rest, busy = self.rest, self.busy
        table = (busy.table_bytes - rest.table_bytes) / SPEED_UP
        calm = statistics.mean(rest.peer_bytes)
        peers = (statistics.mean(busy.peer_bytes) - calm) / SPEED_UP
        mean = calm + peers + rest.table_bytes + table / self.instances
        calm = max(rest.peer_bytes)
        peers = (max(busy.peer_bytes) - calm) / SPEED_UP
        return mean, calm + peers + rest.table_bytes + table


class Point(NamedTuple):
    """Hold the mean and the largest value of a quantity at one fleet size."""

    instances: int
    mean: float
    largest: float


class Fit(NamedTuple):
    """Hold a line through the means, and its value at the target size."""

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
    """Return a line about a fit for people."""
    verdict = "met" if fit.met else "MISSED"
    return (
        f"{name}: {fit.at_target:.4g} ± {fit.at_target_error:.2g} at "
        f"{TARGET_INSTANCES} instances, slope {fit.slope:.3g} ± "
        f"{fit.slope_error:.2g}, target {fit.target:.4g}: {verdict}"
    )


def plot(fits: dict[str, Fit], path: Path) -> None:
    """Write a PNG with one panel for each fit."""
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
