"""Tests of the windows of usage reports."""

from types import SimpleNamespace

from plantainstack.policy import usage
from plantainstack.policy.usage import ClockMeasurement, UsageProgress, WindowCounts

OPTIONS = SimpleNamespace(usage_window=5.0, usage_due=10.0)
OFFSET = 1_700_000_000.0
WINDOW = 340_000_000


def test_windows_begin_at_multiples_of_their_length():
    """Guards against windows that are cut otherwise than the platform cuts them."""
    assert usage.window_of(OFFSET, OPTIONS) == WINDOW
    assert usage.window_of(OFFSET + 4.999, OPTIONS) == WINDOW
    assert usage.end_of(WINDOW, OPTIONS) == OFFSET + 5.0


def test_wrong_wall_clocks_of_a_third_do_not_move_the_windows():
    """Guards against windows that are off by the 2 s of some machines."""
    off = {1: 2.0, 4: 2.0, 7: 2.0}
    measured = [
        ClockMeasurement(3.0 + number, OFFSET + 0.001 * number + off.get(number, 0.0))
        for number in range(9)
    ]
    progress = usage.begin(measured, 100.0, OPTIONS)
    assert abs(progress.offset - OFFSET) < 0.01


def test_service_begins_with_the_first_window_after_the_first_start():
    """Guards against a window that nobody reports, or one before the service."""
    measured = [ClockMeasurement(11.0, OFFSET), ClockMeasurement(12.0, OFFSET)]
    assert usage.begin(measured, 16.9, OPTIONS) is None
    progress = usage.begin(measured, 17.0, OPTIONS)
    assert progress.fixed + 1 == WINDOW + 3
    assert usage.begin([], 17.0, OPTIONS) is None


def test_windows_are_due_in_order_and_leave_time_for_a_next_holder():
    """Guards against a window that is left out or fixed before its counts are stored.

    A next holder has to wait 6 s after the last grant of one that was killed.
    """
    progress = UsageProgress(OFFSET, WINDOW - 1)
    read_at = usage.read_at(WINDOW, OPTIONS)
    latest_write = usage.STORE_SHARES[-1][1] * OPTIONS.usage_due
    assert latest_write + 0.3 < read_at - usage.end_of(WINDOW, OPTIONS) <= 4.0 - 0.5
    assert list(usage.due_windows(progress, read_at - 0.001, OPTIONS)) == []
    assert list(usage.due_windows(progress, read_at, OPTIONS)) == [WINDOW]
    later = usage.due_windows(progress, read_at + 12.0, OPTIONS)
    assert list(later) == [WINDOW, WINDOW + 1, WINDOW + 2]
    long_after = usage.due_windows(progress, read_at + 5000.0, OPTIONS)
    assert list(long_after) == list(range(WINDOW, WINDOW + usage.DUE_MAX))
    # A store clock that was read late must not lead to a negative range.
    assert list(usage.due_windows(progress, read_at - 60.0, OPTIONS)) == []


def test_counts_are_merged_by_tenant():
    """Guards against requests of one instance that replace those of another."""
    found = usage.merge_counts([{"b": 2}, {"a": 1, "b": 3}, {}])
    assert found == {"a": 1, "b": 5}
    assert list(found) == ["a", "b"]


def test_counts_are_taken_once():
    """Guards against counts that are stored twice."""
    counts = WindowCounts()
    for window in (7, 6, 7, 9):
        counts.add(window, "a")
    assert counts.windows(8) == [6, 7]
    assert counts.take(7) == {"a": 2}
    assert counts.take(7) == {}
    assert counts.windows(9) == [6, 9]
