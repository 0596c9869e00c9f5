"""Tests of the text that is collected for an item."""

import pytest

from plantainstack.policy.item_runs import ItemRun, Verdict, joined
from plantainstack.serving import ItemState
from tests.policy.serving_samples import batch, event, item


def run(min_version=3, single_version=False):
    return ItemRun(item(), batch(min_version=min_version), single_version)


def test_text_of_two_streams_is_joined_once():
    """Guards against events that are missing or stand twice after a resume."""
    found = run()
    assert found.begin(3) is Verdict.KEEP
    assert found.accept(event(1)) is Verdict.KEEP
    assert found.accept(event(2)) is Verdict.KEEP
    assert found.last_event == 2
    assert found.begin(4) is Verdict.KEEP
    assert found.accept(event(3)) is Verdict.KEEP
    result = found.completed()
    assert result.text == "text 1\ntext 2\ntext 3"
    assert result.versions == (3, 4)


@pytest.mark.parametrize("number", [1, 2, 4, None])
def test_an_event_that_does_not_follow_is_dropped(number):
    """Guards against pieces of two runs in one text."""
    found = run()
    found.begin(3)
    found.accept(event(1))
    found.accept(event(2))
    assert found.accept(event(number)) is Verdict.OUT_OF_ORDER
    assert found.events() == 2


def test_a_stream_must_begin_at_the_first_event():
    """Guards against a text whose beginning is missing."""
    found = run()
    found.begin(3)
    assert found.accept(event(5)) is Verdict.OUT_OF_ORDER


def test_labels_follow_a_change_of_weights_within_a_stream():
    """Guards against text that is labelled with the version at its start only."""
    found = run()
    found.begin(3)
    found.accept(event(1))
    found.accept(event(2, version=4))
    found.accept(event(3))
    assert found.completed().versions == (3, 4)


def test_versions_without_text_are_no_labels():
    """Guards against a label of a stream that broke before its first event."""
    found = run()
    found.begin(3)
    found.begin(4)
    found.accept(event(1))
    assert found.completed().versions == (4,)


def test_streams_of_old_or_unknown_versions_are_not_used():
    """Guards against samples older than the trainer allows."""
    found = run(min_version=3)
    assert found.begin(2) is Verdict.STALE
    assert found.begin(None) is Verdict.UNLABELLED
    assert found.completed() is None


def test_single_version_starts_anew_under_other_weights():
    """Guards against two versions where the route allows one."""
    found = run(single_version=True)
    found.begin(3)
    found.accept(event(1))
    assert found.begin(4) is Verdict.STALE
    assert found.last_event is None
    found.begin(4)
    found.accept(event(1))
    assert found.accept(event(2, version=5)) is Verdict.STALE
    assert found.last_event is None


def test_failures_end_an_item_after_the_routes_limit():
    found = run()
    assert found.refused(500, 3) is None
    assert found.refused(500, 3) is None
    assert found.refused(500, 3).state is ItemState.ABANDONED


def test_impossible_items_end_at_once():
    assert run().refused(422, 3).state is ItemState.ABANDONED


def test_other_statuses_do_not_end_an_item():
    """Guards against items given up for a fault that passes."""
    found = run()
    assert all(found.refused(502, 3) is None for _ in range(9))


def test_partial_text_is_taken_up_by_another_instance():
    before = run()
    before.begin(3)
    before.accept(event(1))
    after = run()
    after.restore(before.partial())
    assert after.last_event == 1
    after.begin(4)
    after.accept(event(2))
    assert after.completed().versions == (3, 4)


def test_partial_text_of_old_versions_is_not_used():
    """Guards against stored text that a later batch does not allow."""
    before = run(min_version=1)
    before.begin(2)
    before.accept(event(1))
    after = run(min_version=3)
    after.restore(before.partial())
    assert after.last_event is None


def test_pieces_are_joined_in_order():
    """Guards against stored text with a gap or with parts of two runs."""
    before = run(single_version=True)
    before.begin(3)
    before.accept(event(1))
    first = before.partial()
    before.accept(event(2))
    second = before.partial(1)
    whole = joined([second, first])
    assert whole.texts == ("text 1", "text 2")
    assert (whole.last_event, whole.versions) == (2, (3,))
    assert joined([second]) is None
    before.begin(4)
    before.begin(4)
    before.accept(event(1, "anew"))
    assert joined([first, second, before.partial()]).texts == ("anew",)
