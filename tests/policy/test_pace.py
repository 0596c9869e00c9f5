"""Tests of moving streams off endpoints in trouble."""

import pytest

from plantainstack.policy.pace import MOVE_GAP_S, STALL_S, Progress, move_due

USUAL_S = 0.04


@pytest.mark.parametrize(
    ("silent", "due"), [(0.1, False), (STALL_S - 0.01, False), (STALL_S + 0.01, True)]
)
def test_a_silent_stream_moves(silent, due):
    """Guards against an item that waits for a dead or loading endpoint."""
    progress = Progress(0.0, 10.0 - silent)
    assert move_due(progress, USUAL_S, USUAL_S, 10.0) is due


@pytest.mark.parametrize(
    ("ratio", "due"), [(1.0, False), (1.1, False), (1.3, True), (3.5, True)]
)
def test_a_stream_at_a_slow_endpoint_moves(ratio, due):
    """Guards against a step that waits for one slow endpoint."""
    progress = Progress(0.0, 9.99)
    assert move_due(progress, ratio * USUAL_S, USUAL_S, 10.0) is due


def test_a_stream_that_has_just_moved_stays():
    """Guards against streams that only move to and fro."""
    progress = Progress(10.0 - MOVE_GAP_S / 2, 9.99)
    assert not move_due(progress, 5 * USUAL_S, USUAL_S, 10.0)


def test_nothing_is_known_of_new_endpoints():
    assert not move_due(Progress(0.0, 9.99), None, None, 10.0)


def test_slow_models_are_no_stall():
    """Guards against moves where every event takes longer than the usual stall."""
    assert not move_due(Progress(0.0, 9.4), 0.5, 0.5, 10.0)
