"""Fit the cost of each role to its amount of work, and plot the fits."""

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import numpy as np


class Fit(NamedTuple):
    """A line through points of (amount, cost); errors are standard errors."""

    unit: str
    slope: float
    slope_error: float
    intercept: float
    points: list[tuple[float, float]]


class Coefficient(NamedTuple):
    """Cost of one unit of a factor (slope) and its standard error."""

    unit: str
    slope: float
    slope_error: float


def fit_line(unit: str, points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line by least squares through four or more points."""
    amounts, costs = np.array(points, dtype=float).T
    (slope, intercept), covariance = np.polyfit(amounts, costs, 1, cov=True)
    error = float(np.sqrt(max(0.0, covariance[0, 0])))
    return Fit(unit, float(slope), error, float(intercept), list(points))


def fit_coefficients(
    units: Sequence[str], rows: Sequence[Sequence[float]], costs: Sequence[float]
) -> list[Coefficient]:
    """Fit the cost of one unit of each factor by least squares, without intercept.

    Each row holds the amounts of all factors for the cost at the same index.
    """
    factors, values = np.array(rows, dtype=float), np.array(costs, dtype=float)
    slopes, _, _, _ = np.linalg.lstsq(factors, values, rcond=None)
    residuals = values - factors @ slopes
    variance = residuals @ residuals / (len(values) - len(units))
    errors = np.sqrt(np.diag(np.linalg.inv(factors.T @ factors)) * variance)
    return [
        Coefficient(unit, float(slope), float(error))
        for unit, slope, error in zip(units, slopes, errors, strict=True)
    ]


def plot(fits: dict[str, Fit], path: Path) -> None:
    """Write a PNG with one panel per fit."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = 4
    rows = -(-len(fits) // columns)
    figure, panels = pyplot.subplots(
        rows, columns, figsize=(4 * columns, 3 * rows), squeeze=False
    )
    for panel, (name, fit) in zip(panels.flat, fits.items(), strict=False):
        amounts, costs = np.array(fit.points).T
        line = np.array([0, max(amounts)])
        panel.plot(amounts, costs, "o")
        panel.plot(line, fit.intercept + fit.slope * line, "-")
        panel.set_title(f"{name}: {fit.slope:.3g} {fit.unit}", fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
