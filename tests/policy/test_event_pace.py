"""Tests of the pace that is measured from the events of a stream."""

import pytest

from plantainstack.policy.event_pace import EventPace

PACE_S = 0.1
# Time between two events that are read in a row without waiting.
READ_S = 0.00001


def samples(times):
    pace = EventPace()
    found = [pace.record(now) for now in times]
    return [sample for sample in found if sample is not None]


def burst(at, events):
    return [at + number * READ_S for number in range(events)]


def test_steady_events_give_their_pace():
    """Guards against a pace that includes the time to the first event."""
    found = samples([10.0 + PACE_S * number for number in range(6)])
    assert [sample.events for sample in found] == [1] * 4
    assert [sample.seconds for sample in found] == [pytest.approx(PACE_S)] * 4


@pytest.mark.parametrize("events", [2, 4, 300])
def test_first_events_that_are_read_together_give_no_pace(events):
    """Guards against a pace of zero after a pause before the first event."""
    assert samples(burst(10.0, events)) == []


def test_events_after_a_burst_at_the_start_give_their_pace():
    """Guards against a first sample that begins somewhere between two events."""
    found = samples([*burst(10.0, 4), 10.002, 10.102, 10.202, 10.302])
    assert [sample.seconds for sample in found] == [pytest.approx(PACE_S)] * 2


def test_events_that_are_read_together_later_share_the_time_before_them():
    """Guards against a burst that counts as many events without any duration."""
    found = samples([10.0, 10.1, *burst(14.1, 40), 14.2, 14.3])
    assert [sample.events for sample in found] == [1, 40, 1]
    assert [sample.seconds for sample in found] == [pytest.approx(PACE_S, rel=0.01)] * 3
