"""Tests of moving streams off endpoints in trouble."""

import pytest

from plantainstack.policy.stream_migration import (
    FIRST_EVENT_S,
    MOVE_GAIN_S,
    MOVE_GAP_S,
    STALL_S,
    LoopLag,
    MigrationCandidate,
    StreamProgress,
    estimate_remaining_events,
    is_stalled,
    migration_gain,
    select_migrations,
)

USUAL_S = 0.04


@pytest.mark.parametrize(
    ("silent", "due"), [(0.1, False), (STALL_S - 0.01, False), (STALL_S + 0.01, True)]
)
def test_a_silent_stream_moves(silent, due):
    """Guards against an item that waits for a dead or loading endpoint."""
    assert is_stalled(StreamProgress(0.0, 10.0 - silent), USUAL_S, 10.0) is due


def test_a_stream_without_a_first_event_moves_later():
    """Guards against an endpoint that accepts requests and never begins."""
    progress = StreamProgress(10.0, None)
    assert not is_stalled(progress, USUAL_S, 10.0 + FIRST_EVENT_S - 0.01)
    assert is_stalled(progress, USUAL_S, 10.0 + FIRST_EVENT_S + 0.01)


def test_the_delay_of_this_process_is_no_silence_of_endpoints():
    """Plays 80 streams that open in turns of 0.15 s on a machine of half a core.

    Guards against all items of a step being restarted at once, for ever.
    """
    lag = LoopLag()
    begun = [StreamProgress(0.0, None) for _ in range(80)]
    for turn in range(1, 7):
        now = 0.15 * turn
        lag.record(now - 0.15, now)
        assert not any(is_stalled(each, USUAL_S, now, lag.seconds) for each in begun)


def test_a_late_loop_recovers():
    """Guards against silence that goes unnoticed long after a busy moment."""
    lag = LoopLag()
    lag.record(0.0, 0.5)
    for _ in range(15):
        lag.record(1.0, 1.0)
    assert is_stalled(StreamProgress(0.0, 9.5), USUAL_S, 10.0, lag.seconds)


@pytest.mark.parametrize(
    ("ratio", "due"), [(1.0, False), (1.1, False), (1.3, True), (3.5, True)]
)
def test_a_stream_at_a_slow_endpoint_moves(ratio, due):
    """Guards against a step that waits for one slow endpoint."""
    progress = StreamProgress(0.0, 9.99)
    assert (migration_gain(progress, ratio * USUAL_S, USUAL_S, 10.0) > 0.0) is due


def test_a_stream_moves_to_a_faster_endpoint_only():
    """Guards against a move between two endpoints that are equally slow."""
    progress = StreamProgress(0.0, 9.99)
    slow = 1.5 * USUAL_S
    assert not migration_gain(progress, slow, slow, 10.0)
    assert not migration_gain(progress, slow, None, 10.0)


def test_a_stream_that_is_almost_done_stays():
    """Guards against moves that take longer than what is left."""
    gap = 0.3 * USUAL_S
    few, many = 0.9 * MOVE_GAIN_S / gap, 1.1 * MOVE_GAIN_S / gap
    slow = USUAL_S + gap
    assert not migration_gain(StreamProgress(0.0, 9.99, few), slow, USUAL_S, 10.0)
    assert migration_gain(StreamProgress(0.0, 9.99, many), slow, USUAL_S, 10.0)


def test_a_stream_that_has_just_moved_stays():
    """Guards against streams that only move to and fro."""
    progress = StreamProgress(10.0 - MOVE_GAP_S / 2, 9.99)
    assert not migration_gain(progress, 5 * USUAL_S, USUAL_S, 10.0)


def test_nothing_is_known_of_new_endpoints():
    progress = StreamProgress(0.0, 9.99)
    assert not is_stalled(progress, None, 10.0)
    assert not migration_gain(progress, None, None, 10.0)


def test_slow_models_are_no_stall():
    """Guards against moves where every event takes longer than the usual stall."""
    progress = StreamProgress(0.0, 9.4)
    assert not is_stalled(progress, 0.5, 10.0)
    assert not migration_gain(progress, 0.5, 0.5, 10.0)


@pytest.mark.parametrize(
    ("events", "hint", "tokens", "left"),
    [(10, 4000, 80.0, 40.0), (60, 4000, 80.0, 30.0), (20, 4000, None, 10.0)],
)
def test_events_left_follow_the_hint_until_it_is_outlived(events, hint, tokens, left):
    assert estimate_remaining_events(events, hint, tokens) == left


def test_streams_do_not_all_move_to_the_fastest_endpoint_at_once():
    """Guards against ten streams that slow each other wherever they go together."""
    slow = [MigrationCandidate(f"i{number}", 1.0 + number, 1.3) for number in range(10)]
    assert select_migrations(slow) == ["i9"]


def test_an_endpoint_in_trouble_is_left_quickly():
    """Guards against a step that waits for an endpoint 3.5 times slower."""
    sick = [MigrationCandidate(f"i{number}", 5.0 - number, 3.5) for number in range(5)]
    slow = [MigrationCandidate("other", 9.0, 1.3)]
    assert select_migrations(slow + sick) == ["i0", "i1", "i2", "i3"]
    assert select_migrations([]) == []
