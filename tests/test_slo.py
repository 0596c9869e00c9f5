"""Tests of the counts and burn rates of service-level objectives."""

import pytest

from plantainstack.slo import BurnCounter, Counts, burn_report, merge_totals

START = 1_700_000_000.0


def test_windows_count_only_recent_answers():
    counter = BurnCounter()
    counter.count("booking-app", False, START)
    counter.count("booking-app", True, START + 1000)
    totals = counter.totals(START + 1000)["booking-app"]
    assert totals["5m"] == Counts(good=1, bad=0)
    assert totals["30m"] == Counts(good=1, bad=1)


def test_counts_of_instances_are_added():
    part = {"booking-app": {"5m": [9, 1]}}
    assert merge_totals([part, part]) == {"booking-app": {"5m": Counts(18, 2)}}


@pytest.mark.parametrize(
    ("short", "long", "alerts"),
    [(Counts(9, 1), Counts(9, 1), 1), (Counts(9, 1), Counts(999, 1), 0)],
)
def test_an_alert_needs_both_windows(short, long, alerts):
    """Guards against alerts on an error burst that is short or already over."""
    report = burn_report("booking-app", {"5m": short, "1h": long}, 0.999)
    assert len(report.alerts) == alerts
    assert report.burns[0].rate == pytest.approx(100.0)
