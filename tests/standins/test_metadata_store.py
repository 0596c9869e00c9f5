"""Tests of the stand-in store's feeds and reads that are out of date."""

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.platform.store import PlatformStore
from plantainstack.serving import HistoryLost, RowName, Transaction
from standins.metadata_store import MetadataStoreStandin, Rows, RowsView
from standins.server import serving

pytestmark = pytest.mark.anyio

NAME = ("t", "p", "k")


def write(rows, value, name=NAME):
    assert rows.transact({}, {name: value})


def values(found):
    return [row.value for _, row in found]


def test_held_read_gives_the_value_and_version_of_the_past():
    rows = Rows()
    view = RowsView(rows)
    write(rows, b"old")
    view.hold_reads()
    write(rows, b"new")
    assert values(view.range("t", "p", "", "")) == [b"old"]
    assert (view.read_version, view.version) == (1, 2)
    view.release()
    assert values(view.range("t", "p", "", "")) == [b"new"]
    assert view.read_version == 2


def test_held_feed_reports_no_later_change_until_it_is_released():
    rows = Rows()
    view = RowsView(rows)
    write(rows, b"one")
    view.hold_feed()
    write(rows, b"two")
    assert values(view.changed_since("t", 0)) == [b"one"]
    assert view.changed_since("t", 1) == []
    assert view.feed_version == 1
    view.release()
    assert values(view.changed_since("t", 1)) == [b"two"]


def test_held_view_of_one_instance_leaves_another_one_current():
    rows = Rows()
    behind, current = RowsView(rows), RowsView(rows)
    behind.hold_reads()
    behind.hold_feed()
    write(rows, b"new")
    assert values(behind.range("t", "p", "", "")) == []
    assert values(current.range("t", "p", "", "")) == [b"new"]
    assert values(current.changed_since("t", 0)) == [b"new"]


def test_transaction_of_a_held_view_meets_the_current_rows():
    """Guards against a held view in which a stale write would be accepted."""
    rows = Rows()
    view = RowsView(rows)
    view.hold_reads()
    write(rows, b"new")
    assert not view.transact({NAME: 0}, {NAME: b"stale"})
    assert view.row(NAME).value == b"new"


def test_history_that_was_dropped_meanwhile_is_reported_after_the_release():
    rows = Rows()
    view = RowsView(rows)
    view.hold_feed()
    write(rows, b"new")
    view.compact()
    assert view.changed_since("t", 0) == []
    view.release()
    assert view.changed_since("t", 0) is None


async def test_feed_that_waits_while_held_reports_the_change_when_released():
    standin = MetadataStoreStandin()
    async with serving(standin) as address, anyio.create_task_group() as tasks:
        store = PlatformStore(address, SystemClock())
        found = []

        async def follow():
            found.append((await store.rows_changed("t", 0, 5.0)).unwrap())

        standin.rows.hold_feed()
        tasks.start_soon(follow)
        await anyio.sleep(0.05)
        write(standin.rows, b"new")
        await anyio.sleep(0.05)
        assert found == []
        standin.rows.release()
        with anyio.fail_after(2.0):
            while not found:
                await anyio.sleep(0.01)
        await store.aclose()
    assert [row.value for row in found[0].rows] == [b"new"]
    assert found[0].cursor == 1


async def test_store_over_http_answers_from_held_rows():
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        # A client refuses reads that precede what it knows, so another one writes.
        writer, store = (PlatformStore(address, SystemClock()) for _ in range(2))
        change = Transaction(expected=(), puts=((RowName(*NAME), b"new"),))
        standin.rows.hold_reads()
        standin.rows.hold_feed()
        assert (await writer.transact(change)).unwrap().applied
        assert (await store.read("t", "p")).unwrap().rows == ()
        behind = (await store.rows_changed("t", 0, 0.05)).unwrap()
        assert (behind.rows, behind.cursor) == ((), 0)
        standin.rows.release()
        standin.rows.compact()
        assert len((await store.read("t", "p")).unwrap().rows) == 1
        assert isinstance((await store.rows_changed("t", 0, 0.0)).unwrap(), HistoryLost)
        await writer.aclose()
        await store.aclose()
