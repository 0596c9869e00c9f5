"""Tests of the migration of streams away from slow and stalled endpoints."""

import pytest

from plantainstack.policy.stream_migration import (
    FIRST_EVENT_S,
    LEAVE_MARGIN_S,
    MIGRATION_INTERVAL_S,
    MIN_MIGRATION_GAIN_S,
    STALL_TIMEOUT_S,
    LoopLag,
    MigrationCandidate,
    StreamProgress,
    estimate_remaining_events,
    expected_events,
    is_stalled,
    migration_gain,
    must_leave,
    select_migrations,
)

LATENCY_S = 0.04


@pytest.mark.parametrize(
    ("silent", "due"),
    [(0.1, False), (STALL_TIMEOUT_S - 0.01, False), (STALL_TIMEOUT_S + 0.01, True)],
)
def test_a_stalled_stream_is_detected(silent, due):
    """Guards against an item that waits for a crashed or loading endpoint."""
    assert is_stalled(StreamProgress(0.0, 10.0 - silent), LATENCY_S, 10.0) is due


def test_a_stream_without_a_first_event_stalls_later():
    """Guards against an endpoint that accepts requests but never starts to send."""
    progress = StreamProgress(10.0, None)
    assert not is_stalled(progress, LATENCY_S, 10.0 + FIRST_EVENT_S - 0.01)
    assert is_stalled(progress, LATENCY_S, 10.0 + FIRST_EVENT_S + 0.01)


def test_event_loop_lag_does_not_count_as_a_stall():
    """Guards against an overloaded process that restarts all of its streams repeatedly.

    Simulates 80 streams on half a core, with event loop iterations of 0.15 s.
    """
    lag = LoopLag()
    streams = [StreamProgress(0.0, None) for _ in range(80)]
    for turn in range(1, 7):
        now = 0.15 * turn
        lag.record(now - 0.15, now)
        assert not any(
            is_stalled(each, LATENCY_S, now, lag.seconds) for each in streams
        )


def test_event_loop_lag_decays():
    """Guards against a stall that goes undetected long after the event loop lagged."""
    lag = LoopLag()
    lag.record(0.0, 0.5)
    for _ in range(15):
        lag.record(1.0, 1.0)
    assert is_stalled(StreamProgress(0.0, 9.5), LATENCY_S, 10.0, lag.seconds)


@pytest.mark.parametrize(
    ("ratio", "due"), [(1.0, False), (1.1, False), (1.3, True), (3.5, True)]
)
def test_a_stream_leaves_a_slow_endpoint(ratio, due):
    """Guards against a step that waits for a single slow endpoint."""
    progress = StreamProgress(0.0, 9.99)
    assert (migration_gain(progress, ratio * LATENCY_S, LATENCY_S, 10.0) > 0.0) is due


def test_a_stream_migrates_only_to_a_faster_endpoint():
    """Guards against migration between equally slow endpoints."""
    progress = StreamProgress(0.0, 9.99)
    slow = 1.5 * LATENCY_S
    assert not migration_gain(progress, slow, slow, 10.0)
    assert not migration_gain(progress, slow, None, 10.0)


def test_a_nearly_finished_stream_is_not_migrated():
    """Guards against migrations that take longer than the rest of the stream."""
    gap = 0.3 * LATENCY_S
    few, many = 0.9 * MIN_MIGRATION_GAIN_S / gap, 1.1 * MIN_MIGRATION_GAIN_S / gap
    slow = LATENCY_S + gap
    assert not migration_gain(StreamProgress(0.0, 9.99, few), slow, LATENCY_S, 10.0)
    assert migration_gain(StreamProgress(0.0, 9.99, many), slow, LATENCY_S, 10.0)


@pytest.mark.parametrize(("lost", "due"), [(0, True), (50, True), (100, False)])
def test_events_that_are_lost_count_against_a_migration(lost, due):
    """Guards against a text that is written again for a small gain of speed."""
    progress = StreamProgress(0.0, 9.99, 100.0)
    slow = 1.8 * LATENCY_S
    assert bool(migration_gain(progress, slow, LATENCY_S, 10.0, lost)) is due


def test_a_recently_started_stream_is_not_migrated():
    """Guards against streams that migrate back and forth."""
    progress = StreamProgress(10.0 - MIGRATION_INTERVAL_S / 2, 9.99)
    assert not migration_gain(progress, 5 * LATENCY_S, LATENCY_S, 10.0)


def test_streams_stay_while_latencies_are_unknown():
    """Guards against migration decisions about endpoints without a latency."""
    progress = StreamProgress(0.0, 9.99)
    assert not is_stalled(progress, None, 10.0)
    assert not migration_gain(progress, None, None, 10.0)


def test_a_slow_model_does_not_count_as_a_stall():
    """Guards against migrations where every event takes longer than the time-out."""
    progress = StreamProgress(0.0, 9.4)
    assert not is_stalled(progress, 0.5, 10.0)
    assert not migration_gain(progress, 0.5, 0.5, 10.0)


@pytest.mark.parametrize(
    ("events", "hint", "tokens", "left"),
    [(10, 4000, 80.0, 40.0), (60, 4000, 80.0, 30.0), (20, 4000, None, 10.0)],
)
def test_remaining_events_follow_the_hint_until_it_is_exceeded(
    events, hint, tokens, left
):
    """Guards against long items that are expected to end at once."""
    assert estimate_remaining_events(events, hint, tokens) == left


def test_streams_do_not_all_migrate_to_the_fastest_endpoint_at_once():
    """Guards against ten streams that overload each target they migrate to."""
    slow = [MigrationCandidate(f"i{number}", 1.0 + number, 1.3) for number in range(10)]
    assert select_migrations(slow) == ["i9"]


def test_streams_leave_a_degraded_endpoint_quickly():
    """Guards against a step that waits for an endpoint that is 3.5 times slower."""
    degraded = [
        MigrationCandidate(f"i{number}", 5.0 - number, 3.5) for number in range(5)
    ]
    slow = [MigrationCandidate("other", 9.0, 1.3)]
    assert select_migrations(slow + degraded) == ["i0", "i1", "i2", "i3"]
    assert select_migrations([]) == []


@pytest.mark.parametrize(
    ("events_left", "left_s", "moved"),
    [(10, 2.0, False), (50, 2.0, True), (10, LEAVE_MARGIN_S, True)],
)
def test_stream_leaves_an_endpoint_before_which_it_does_not_end(
    events_left, left_s, moved
):
    """Guards against items cut by a reclaim, and against moving those that end."""
    progress = StreamProgress(0.0, 9.9, events_left)
    assert must_leave(progress, LATENCY_S, 10.0 + left_s, 10.0) is moved


@pytest.mark.parametrize(
    ("events", "tokens_per_event", "left"),
    [(90, 1.0, 10), (100, 1.0, 50), (8, None, 4)],
)
def test_item_is_expected_to_end_at_its_hint(events, tokens_per_event, left):
    """Guards against moving an item that is nearly complete."""
    assert expected_events(events, 100, tokens_per_event) == left


def test_stream_of_unknown_pace_stays_until_its_endpoint_is_about_to_go():
    """Guards against moving all streams at the first notice."""
    progress = StreamProgress(9.9, None)
    assert not must_leave(progress, LATENCY_S, 12.0, 10.0)
    assert not must_leave(StreamProgress(9.0, 9.9), None, 12.0, 10.0)
    assert must_leave(progress, None, 12.0, 12.0 - LEAVE_MARGIN_S)
