"""Tests of the text that is collected for an item."""

import pytest

from plantainstack.policy.item_runs import ItemRun, StreamCheck, join_pieces
from plantainstack.serving import ItemState
from tests.policy.serving_samples import batch, event, item


def run(min_version=3, single_version=False):
    return ItemRun(item(), batch(min_version=min_version), single_version)


def test_text_of_two_streams_is_joined_once():
    """Guards against events that are missing or stand twice after a resume."""
    found = run()
    assert found.begin_stream(3) is StreamCheck.KEEP
    assert found.append_event(event(1)) is StreamCheck.KEEP
    assert found.append_event(event(2)) is StreamCheck.KEEP
    assert found.last_event == 2
    assert found.begin_stream(4) is StreamCheck.KEEP
    assert found.append_event(event(3)) is StreamCheck.KEEP
    result = found.completed()
    assert result.text == "text 1\ntext 2\ntext 3"
    assert result.versions == (3, 4)


@pytest.mark.parametrize("number", [1, 2, 4, None])
def test_an_event_that_does_not_follow_is_dropped(number):
    """Guards against pieces of two runs in one text."""
    found = run()
    found.begin_stream(3)
    found.append_event(event(1))
    found.append_event(event(2))
    assert found.append_event(event(number)) is StreamCheck.OUT_OF_ORDER
    assert found.events() == 2


def test_a_stream_must_begin_at_the_first_event():
    """Guards against a text whose beginning is missing."""
    found = run()
    found.begin_stream(3)
    assert found.append_event(event(5)) is StreamCheck.OUT_OF_ORDER


def test_labels_follow_a_change_of_weights_within_a_stream():
    """Guards against text that is labelled with the version at its start only."""
    found = run()
    found.begin_stream(3)
    found.append_event(event(1))
    found.append_event(event(2, version=4))
    found.append_event(event(3))
    assert found.completed().versions == (3, 4)


def test_versions_without_text_are_no_labels():
    """Guards against a label of a stream that broke before its first event."""
    found = run()
    found.begin_stream(3)
    found.begin_stream(4)
    found.append_event(event(1))
    assert found.completed().versions == (4,)


def test_streams_of_old_or_unknown_versions_are_not_used():
    """Guards against samples older than the trainer allows."""
    found = run(min_version=3)
    assert found.begin_stream(2) is StreamCheck.STALE
    assert found.begin_stream(None) is StreamCheck.UNLABELLED
    assert found.completed() is None


def test_single_version_starts_anew_under_other_weights():
    """Guards against two versions where the route allows one."""
    found = run(single_version=True)
    found.begin_stream(3)
    found.append_event(event(1))
    assert found.begin_stream(4) is StreamCheck.STALE
    assert found.last_event is None
    found.begin_stream(4)
    found.append_event(event(1))
    assert found.append_event(event(2, version=5)) is StreamCheck.STALE
    assert found.last_event is None


def test_failures_end_an_item_after_the_routes_limit():
    found = run()
    assert found.record_error_status(500, 3) is None
    assert found.record_error_status(500, 3) is None
    assert found.record_error_status(500, 3).state is ItemState.ABANDONED


def test_impossible_items_end_at_once():
    assert run().record_error_status(422, 3).state is ItemState.ABANDONED


def test_other_statuses_do_not_end_an_item():
    """Guards against items given up for a fault that passes."""
    found = run()
    assert all(found.record_error_status(502, 3) is None for _ in range(9))


def test_partial_text_is_taken_up_by_another_instance():
    before = run()
    before.begin_stream(3)
    before.append_event(event(1))
    after = run()
    after.restore(before.partial())
    assert after.last_event == 1
    after.begin_stream(4)
    after.append_event(event(2))
    assert after.completed().versions == (3, 4)


def test_partial_text_of_old_versions_is_not_used():
    """Guards against stored text that a later batch does not allow."""
    before = run(min_version=1)
    before.begin_stream(2)
    before.append_event(event(1))
    after = run(min_version=3)
    after.restore(before.partial())
    assert after.last_event is None


def test_pieces_are_joined_in_order():
    """Guards against stored text with a gap or with parts of two runs."""
    before = run(single_version=True)
    before.begin_stream(3)
    before.append_event(event(1))
    first = before.partial()
    before.append_event(event(2))
    second = before.partial(1)
    whole = join_pieces([second, first])
    assert whole.texts == ("text 1", "text 2")
    assert (whole.last_event, whole.versions) == (2, (3,))
    assert join_pieces([second]) is None
    before.begin_stream(4)
    before.begin_stream(4)
    before.append_event(event(1, "anew"))
    assert join_pieces([first, second, before.partial()]).texts == ("anew",)
