"""Tests of the fits of measured slopes."""

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


def test_an_exact_line_is_found_and_extrapolated():
    fit = fit_line(points(0.5, 10.0), target=200.0)
    assert (fit.slope, fit.intercept) == pytest.approx((0.5, 10.0))
    assert fit.at_target == pytest.approx(180.0)
    assert fit.met


def test_only_what_events_add_is_scaled_to_their_field_rate():
    """Guards against a cost at rest that is divided too, and so looks smaller."""
    rest = Window([0.03, 0.05], [0.01], [50, 60], [40], [600, 800], 100)
    busy = rest._replace(peer_bytes=[1600, 1800], resident=[60, 70], table_bytes=2100)
    costs = Measurement(2, rest, busy).production_cost()
    assert costs["cpu"] == pytest.approx((0.03, 0.04))
    writer = 2000 / SPEED_UP
    assert costs["bytes"] == pytest.approx((800 + 100 + writer / 2, 900 + 100 + writer))
    assert costs["memory"] == pytest.approx((25, 30))


def test_noise_shows_as_an_error_and_a_miss_as_a_miss(tmp_path):
    """Guards against a target that is reported as met although it is missed."""
    fit = fit_line(points(1.0, 0.0, (1, -1, 1, -1, 1)), target=100.0)
    assert fit.slope_error > 0
    assert not fit.met
    assert "MISSED" in describe("cpu", fit)
    plot({"cpu": fit}, tmp_path / "fit.png")
    assert (tmp_path / "fit.png").stat().st_size > 0
