"""Tests of the base version of streams."""

import pytest

from plantainstack.policy.stream_versions import (
    BASE_HANDOVER_S,
    BASE_MINOR_S,
    BASE_TRUST_S,
    STREAM_LIFE_S,
    STREAM_LIFE_TIMEOUTS,
    BaseOrigin,
    KnownBase,
    Origin,
    is_minor,
    next_base,
    stream_life_s,
)

V, W = Origin("models", "V"), Origin("models", "W")
LIFE = STREAM_LIFE_S
OPEN, CLOSED = BaseOrigin(V), BaseOrigin(V, closed=True)


def test_first_base_is_the_most_frequent_version():
    """Guards against a record for most streams of a new deployment."""
    assert next_base(None, {V: 1, W: 3}, 0.0, 0.0, LIFE) == BaseOrigin(W)
    assert next_base(None, {}, 0.0, 0.0, LIFE) is None


def test_base_is_closed_only_after_it_was_minor_for_long():
    """Guards against a base that changes with each restart of an endpoint."""
    assert next_base(OPEN, {W: 4}, BASE_MINOR_S - 0.1, 0.0, LIFE) is None
    assert next_base(OPEN, {W: 4}, BASE_MINOR_S, 0.0, LIFE) == CLOSED


def test_base_is_replaced_only_after_its_streams_have_ended():
    """Guards against streams without a record that are taken for the new version's."""
    assert next_base(CLOSED, {W: 4}, 100.0, BASE_HANDOVER_S - 0.1, LIFE) is None
    assert next_base(CLOSED, {W: 4}, 100.0, BASE_HANDOVER_S, LIFE) == BaseOrigin(W)
    assert BASE_HANDOVER_S > BASE_TRUST_S + STREAM_LIFE_S


def test_base_is_reopened_when_its_version_is_back():
    """Guards against records for all streams after a release was taken back."""
    assert next_base(CLOSED, {V: 2, W: 2}, 0.0, 1.0, LIFE) == OPEN
    assert next_base(CLOSED, {V: 1, W: 3}, 0.0, 1.0, LIFE) is None


@pytest.mark.parametrize("counts", [{V: 4}, {V: 2, W: 2}, {}])
def test_base_with_enough_endpoints_is_kept(counts):
    """Guards against a base that is closed while nothing is known, or too early."""
    assert not is_minor(OPEN, counts)
    assert next_base(OPEN, counts, 0.0, 0.0, LIFE) is None


def test_streams_need_no_record_only_by_a_recent_open_base_of_their_version():
    """Guards against streams without a record that began at another version."""
    assert KnownBase(OPEN, 10.0).begins_without_record(V, 10.0 + BASE_TRUST_S)
    assert not KnownBase(OPEN, 10.0).begins_without_record(W, 10.0)
    assert not KnownBase(CLOSED, 10.0).begins_without_record(V, 10.0)
    assert not KnownBase(OPEN, 10.0).begins_without_record(V, 10.1 + BASE_TRUST_S)


def test_base_is_kept_for_as_long_as_streams_of_a_slow_route_last():
    """Guards against a route whose streams outlive their records."""
    assert stream_life_s([]) == stream_life_s([1.0, 2.0]) == STREAM_LIFE_S
    life_s = stream_life_s([1.0, 600.0])
    assert life_s == 600.0 * STREAM_LIFE_TIMEOUTS
    closed_for_s = BASE_HANDOVER_S - STREAM_LIFE_S + life_s
    assert next_base(CLOSED, {W: 4}, 100.0, closed_for_s - 0.1, life_s) is None
    assert next_base(CLOSED, {W: 4}, 100.0, closed_for_s, life_s) == BaseOrigin(W)
