"""Tests of fitting and extrapolating the control plane cost."""

import pytest

from tools.slopes_fit import (
    SPEED_UP,
    Measurement,
    Point,
    Window,
    describe,
    fit_line,
    plot,
)

SIZES = (4, 8, 16, 32, 64)


def points(slope, intercept, noise=(0, 0, 0, 0, 0)):
    return [
        Point(size, slope * size + intercept + extra, slope * size + intercept)
        for size, extra in zip(SIZES, noise, strict=True)
    ]


def test_exact_line_is_fitted_and_extrapolated():
    fit = fit_line(points(0.5, 10.0), target=200.0)
    assert (fit.slope, fit.intercept) == pytest.approx((0.5, 10.0))
    assert fit.at_target == pytest.approx(180.0)
    assert fit.met


def test_only_cost_above_idle_is_scaled_to_production_rate():
    """Guards against dividing the idle cost by SPEED_UP, which understates it."""
    rest = Window([0.03, 0.05], [0.01], [50, 60], [40], [600, 800], 100)
    busy = rest._replace(peer_bytes=[1600, 1800], resident=[60, 70], table_bytes=2100)
    costs = Measurement(2, rest, busy).production_cost()
    assert costs["cpu"] == pytest.approx((0.03, 0.04))
    writer_bytes = 2000 / SPEED_UP
    assert costs["bytes"] == pytest.approx(
        (800 + 100 + writer_bytes / 2, 900 + 100 + writer_bytes)
    )
    assert costs["memory"] == pytest.approx((25, 30))


def test_noisy_fit_has_an_error_and_missed_target_is_reported(tmp_path):
    """Guards against reporting a missed target as met."""
    fit = fit_line(points(1.0, 0.0, (1, -1, 1, -1, 1)), target=100.0)
    assert fit.slope_error > 0
    assert not fit.met
    assert "MISSED" in describe("cpu", fit)
    plot({"cpu": fit}, tmp_path / "fit.png")
    assert (tmp_path / "fit.png").stat().st_size > 0
