"""Tests of the collection of an item's text from streams."""

import tracemalloc

import msgspec
import pytest

from plantainstack.policy.item_runs import (
    TEXT_BYTES_MAX,
    ItemProgress,
    ItemRun,
    PartialText,
    StreamCheck,
    join_pieces,
)
from plantainstack.policy.software_versions import SoftwareVersion
from plantainstack.serving import ItemState
from tests.policy.serving_samples import batch, event, item

OLD = SoftwareVersion("models", "1.0")
NEW = SoftwareVersion("models", "1.1")


def make_run(min_version=3, single_version=False):
    return ItemRun(item(), batch(min_version=min_version), single_version)


def test_text_of_a_resumed_stream_is_joined():
    """Guards against events that are missing or repeated after a resume."""
    run = make_run()
    assert run.begin_stream(3) is StreamCheck.KEEP
    assert run.append_event(event(1)) is StreamCheck.KEEP
    assert run.append_event(event(2)) is StreamCheck.KEEP
    assert run.last_event == 2
    assert run.begin_stream(4) is StreamCheck.KEEP
    assert run.append_event(event(3)) is StreamCheck.KEEP
    result = run.completed()
    assert result.text == "text 1\ntext 2\ntext 3"
    assert result.versions == (3, 4)


@pytest.mark.parametrize("number", [1, 2, 4, None])
def test_an_event_out_of_order_is_dropped(number):
    """Guards against a text that mixes two runs."""
    run = make_run()
    run.begin_stream(3)
    run.append_event(event(1))
    run.append_event(event(2))
    assert run.append_event(event(number)) is StreamCheck.OUT_OF_ORDER
    assert run.events() == 2


def test_a_stream_must_begin_at_the_first_event():
    """Guards against a text without its beginning."""
    run = make_run()
    run.begin_stream(3)
    assert run.append_event(event(5)) is StreamCheck.OUT_OF_ORDER


def test_versions_include_a_change_of_weights_within_a_stream():
    """Guards against text that is labelled only with its first version."""
    run = make_run()
    run.begin_stream(3)
    run.append_event(event(1))
    run.append_event(event(2, version=4))
    run.append_event(event(3))
    assert run.completed().versions == (3, 4)


def test_versions_without_text_are_not_listed():
    """Guards against the version of a stream that broke before its first event."""
    run = make_run()
    run.begin_stream(3)
    run.begin_stream(4)
    run.append_event(event(1))
    assert run.completed().versions == (4,)


def test_streams_of_old_or_unknown_versions_are_not_used():
    """Guards against samples that are older than the trainer allows."""
    run = make_run(min_version=3)
    assert run.begin_stream(2) is StreamCheck.STALE
    assert run.begin_stream(None) is StreamCheck.UNLABELLED
    assert not run.end_stream()


def test_single_version_restarts_the_text_under_other_weights():
    """Guards against a text of two versions where the route allows one."""
    run = make_run(single_version=True)
    run.begin_stream(3)
    run.append_event(event(1))
    assert run.begin_stream(4) is StreamCheck.STALE
    assert run.last_event is None
    run.begin_stream(4)
    run.append_event(event(1))
    assert run.append_event(event(2, version=5)) is StreamCheck.STALE
    assert run.last_event is None


def test_an_item_is_abandoned_after_repeated_failures():
    """Guards against an item that fails at one endpoint after another."""
    run = make_run()
    assert run.record_error_status(500, 3) is None
    assert run.record_error_status(500, 3) is None
    assert run.record_error_status(500, 3).state is ItemState.ABANDONED


def test_an_unprocessable_item_is_abandoned_at_once():
    """Guards against retries of an item that can never be completed."""
    assert make_run().record_error_status(422, 3).state is ItemState.ABANDONED


def test_other_statuses_do_not_end_an_item():
    """Guards against items that are abandoned because of a temporary fault."""
    run = make_run()
    assert all(run.record_error_status(502, 3) is None for _ in range(9))


def test_another_instance_continues_from_stored_text():
    """Guards against text that is generated again after a takeover."""
    before = make_run()
    before.begin_stream(3)
    before.append_event(event(1))
    after = make_run()
    after.restore(before.partial())
    assert after.last_event == 1
    after.begin_stream(4)
    after.append_event(event(2))
    assert after.completed().versions == (3, 4)


def test_partial_text_of_old_versions_is_not_used():
    """Guards against stored text that is older than the trainer allows."""
    before = make_run(min_version=1)
    before.begin_stream(2)
    before.append_event(event(1))
    after = make_run(min_version=3)
    after.restore(before.partial())
    assert after.last_event is None


def test_pieces_are_joined_in_order():
    """Guards against stored text that has a gap or mixes two runs."""
    before = make_run(single_version=True)
    before.begin_stream(3)
    before.append_event(event(1))
    first = before.partial()
    before.append_event(event(2))
    second = before.partial(ItemProgress(events=1))
    text = join_pieces([second, first])
    assert text.texts == ("text 1", "text 2")
    assert (text.last_event, text.versions) == (2, (3,))
    assert join_pieces([second]) is None
    before.begin_stream(4)
    before.begin_stream(4)
    before.append_event(event(1, "anew"))
    assert join_pieces([first, second, before.partial()]).texts == ("anew",)


def test_stream_of_other_software_is_not_joined():
    """Guards against a text joined from two software versions."""
    run = make_run()
    run.begin_stream(3, OLD)
    run.append_event(event(1))
    assert run.begin_stream(3, NEW) is StreamCheck.OTHER_SOFTWARE
    assert run.begin_stream(3, OLD) is StreamCheck.KEEP
    run.discard_text()
    assert run.begin_stream(3, NEW) is StreamCheck.KEEP
    run.append_event(event(1))
    assert (run.software, run.events()) == (NEW, 1)


def test_events_of_an_attempt_in_doubt_are_removed():
    """Guards against stored pieces that no longer fit the text."""
    run = make_run()
    run.begin_stream(3, OLD)
    run.append_event(event(1))
    stored = run.progress()
    run.begin_attempt()
    run.begin_stream(4, OLD)
    assert run.attempt_events() == 0
    run.append_event(event(2))
    run.end_stream()
    first, second = run.partial(), run.partial(stored)
    run.discard_attempt()
    assert (run.events(), run.last_event, run.software) == (1, 1, OLD)
    assert not run.text_complete
    again = run.partial(second.progress())
    assert join_pieces([first, second, again]).texts == ("text 1",)
    run.begin_stream(5, OLD)
    run.append_event(event(2))
    assert run.completed().versions == (3, 5)


def test_text_of_a_single_attempt_in_doubt_begins_anew():
    """Guards against a text that keeps the software of a removed attempt."""
    run = make_run()
    run.begin_attempt()
    run.begin_stream(3, OLD)
    run.append_event(event(1))
    run.discard_attempt()
    assert (run.events(), run.software, run.generation) == (0, None, 1)


def test_stream_without_events_does_not_bind_the_text():
    """Guards against an item that waits for a version that wrote nothing of it."""
    run = make_run()
    run.begin_stream(3, OLD)
    assert run.software is None
    assert run.begin_stream(3, NEW) is StreamCheck.KEEP


def test_stored_text_keeps_its_software_version():
    """Guards against an owner that continues the text of another version."""
    before = make_run()
    before.begin_stream(3, OLD)
    before.append_event(event(1))
    after = make_run()
    after.restore(before.partial())
    assert after.software == OLD
    assert after.begin_stream(3, NEW) is StreamCheck.OTHER_SOFTWARE


def test_text_of_endpoints_that_name_no_version_is_stored_without_one():
    """Guards against rows that older builds reject although nothing needs them."""
    run = make_run()
    run.begin_stream(3, SoftwareVersion("models", ""))
    run.append_event(event(1))
    assert run.partial().software is None


@pytest.mark.parametrize(
    ("labels", "joined"),
    [
        ([OLD, OLD, OLD], 3),
        ([None, None, NEW], 3),
        ([OLD, None, OLD], 1),
        ([OLD, NEW, NEW], 1),
        ([None, NEW, None], 2),
    ],
)
def test_pieces_of_other_or_unknown_software_are_not_joined(labels, joined):
    """Guards against text that an owner of an older build went on with elsewhere."""
    pieces = [
        PartialText(0, number, (f"text {number}",), (3,), number + 1, 0, software=label)
        for number, label in enumerate(labels)
    ]
    text = join_pieces(pieces)
    assert len(text.texts) == joined
    assert text.software == labels[joined - 1]


def test_text_that_cannot_be_stored_is_not_kept_and_not_restored():
    """Guards against answers without end, and stored pieces of them, in memory."""
    run = make_run()
    run.begin_stream(3)
    too_long = "é" * (TEXT_BYTES_MAX // 2)
    assert run.append_event(event(1, too_long)) is StreamCheck.TOO_LONG
    assert run.events() == 0
    assert run.append_event(event(1)) is StreamCheck.KEEP
    assert run.partial() is None
    restored = make_run()
    restored.restore(PartialText(1, 0, (too_long,), (3,), 1, 0))
    assert (restored.events(), restored.generation) == (0, 2)


def test_memory_of_a_text_follows_what_is_discarded():
    """Guards against texts that count as memory after they were discarded."""
    run = make_run()
    run.begin_stream(3)
    run.append_event(event(1))
    one = run.memory_bytes()
    run.begin_attempt()
    run.append_event(event(2))
    assert run.memory_bytes() > one
    run.discard_attempt()
    assert run.memory_bytes() == one
    run.discard_text()
    assert run.memory_bytes() == 0


@pytest.mark.parametrize("character", ["", "\u2019", "\U0001f6b2"])
def test_memory_of_a_text_is_counted_whatever_its_characters(character):
    """Guards against texts of items that take several times what is reserved."""
    run = make_run()
    run.begin_stream(3)
    tracemalloc.start()
    for number in range(1, 151):
        run.append_event(event(number, f"{number:0395}{character}"))
        # The pieces that are stored must not add to the memory of the text.
        msgspec.msgpack.encode(run.partial())
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert size <= 1.1 * run.memory_bytes()
    assert run.completed().text.endswith(f"{character}\n{150:0395}{character}")
