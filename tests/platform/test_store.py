"""Contract tests of the metadata store's client, against the stand-in."""

import anyio
import pytest

from plantainstack.adapters import http
from plantainstack.clock import SystemClock
from plantainstack.errors import Outcome
from plantainstack.platform import store as store_module
from plantainstack.platform.store import PlatformStore
from plantainstack.services.request_losses import FEED_WAIT_S
from plantainstack.serving import HistoryLost, RowName, Transaction
from standins.faults import Action, Fault
from standins.metadata_store import MetadataStoreStandin
from standins.server import serving
from tests.platform.samples import CONFIG, ENTRY

pytestmark = pytest.mark.anyio

NAME = RowName("t", "p", "k")
INSERT = Transaction(expected=((NAME, 0),), puts=((NAME, b"\x00one"),))


async def test_transaction_is_atomic():
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        first = (await store.transact(INSERT)).unwrap()
        again = (await store.transact(INSERT)).unwrap()
        assert first.applied
        assert not again.applied
        assert again.conflicts[0].value == b"\x00one"
        assert again.conflicts[0].version == first.version
        found = (await store.read("t", "p")).unwrap()
        assert [(row.name, row.value) for row in found.rows] == [(NAME, b"\x00one")]
        await store.aclose()


async def test_absent_row_in_a_conflict_has_no_value():
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        change = Transaction(expected=((NAME, 5),), puts=((NAME, b"x"),))
        found = (await store.transact(change)).unwrap()
        assert not found.applied
        assert found.conflicts[0].value is None
        await store.aclose()


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        (Fault("/api/rows-tx", Action.REFUSE, 1), Outcome.NOT_RUN),
        (Fault("/api/rows-tx", Action.REFUSE, 1, status=429), Outcome.NOT_RUN),
        (Fault("/api/rows-tx", Action.REFUSE, 1, status=500), Outcome.MAY_HAVE_RUN),
        (Fault("/api/rows-tx", Action.DROP_AFTER_EFFECT, 1), Outcome.MAY_HAVE_RUN),
        (Fault("/api/rows-tx", Action.SILENT, 1), Outcome.MAY_HAVE_RUN),
    ],
)
async def test_failures_state_whether_the_transaction_may_have_run(
    fault, outcome, monkeypatch
):
    """Guards against `not_run` for a transaction that the store may still apply."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.2)
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        standin.faults.replace([fault])
        assert (await store.transact(INSERT)).unwrap_err().outcome is outcome
        await store.aclose()


async def test_unreachable_store_is_reported_as_not_run():
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        pass
    store = PlatformStore(address, SystemClock())
    failure = (await store.transact(INSERT)).unwrap_err()
    assert failure.outcome is Outcome.NOT_RUN


async def test_feed_continues_from_a_snapshot_and_reports_removed_rows():
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        await store.transact(INSERT)
        start = (await store.table_rows("t")).unwrap()
        assert [row.name for row in start.rows] == [NAME]
        await store.transact(Transaction(removed=(NAME,)))
        found = (await store.rows_changed("t", start.cursor, 0.5)).unwrap()
        assert [row.value for row in found.rows] == [None]
        assert found.cursor > start.cursor
        await store.aclose()


async def test_feed_reports_lost_history():
    """Guards against changes that are missed without notice."""
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        await store.transact(INSERT)
        standin.rows.compact()
        found = (await store.rows_changed("t", 0, 0.1)).unwrap()
        assert isinstance(found, HistoryLost)
        await store.aclose()


async def test_quiet_feed_is_answered_at_the_end_of_its_wait():
    """Guards against long polls that are cut before the store can answer them."""
    async with serving(MetadataStoreStandin()) as address:
        store = PlatformStore(address, SystemClock())
        found = (await store.rows_changed("t", 0, FEED_WAIT_S)).unwrap()
        assert found.rows == ()
        await store.aclose()


async def test_silent_feed_times_out(monkeypatch):
    """Guards against a feed that waits forever on a lost connection."""
    monkeypatch.setattr(store_module, "FEED_MARGIN_S", 0.1)
    monkeypatch.setattr(http, "REQUEST_TIMEOUT_S", 5.0)
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        standin.faults.replace([Fault("/api/rows-feed", Action.SILENT, 1)])
        assert (await store.rows_changed("t", 0, 0.1)).is_err()
        assert (await store.rows_changed("t", 0, 0.1)).is_ok()
        await store.aclose()


async def test_operator_and_endpoint_changes_are_read():
    standin = MetadataStoreStandin()
    standin.write("op", "config", CONFIG)
    standin.write("op", "version/m0", {"model": "m0", "version": 5})
    standin.write("servers", "i-1", ENTRY)
    standin.write("servers", "i-2", b"{")
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        operator = (await store.operator_changes(None, 0.1)).unwrap()
        assert operator.config.version == 7
        assert operator.versions == {"m0": 5}
        endpoints = (await store.endpoint_changes(None, 0.1)).unwrap()
        assert endpoints.changed["i-1"].service == "models"
        assert endpoints.changed["i-2"] is None
        standin.remove("servers", "i-1")
        later = (await store.endpoint_changes(endpoints.cursor, 0.5)).unwrap()
        assert later.changed == {"i-1": None}
        await store.aclose()


async def test_objects_are_written_once():
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        assert (await store.put_object("o", b"one")).is_ok()
        assert (await store.put_object("o", b"two")).is_ok()
        assert (await store.get_object("o")).unwrap() == b"one"
        assert (await store.drop_object("o")).is_ok()
        assert (await store.get_object("o")).unwrap() is None
        await store.aclose()


async def test_many_calls_share_a_few_connections():
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())

        async def insert(number):
            name = RowName("t", "p", str(number))
            await store.transact(
                Transaction(expected=((name, 0),), puts=((name, b"x"),))
            )

        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(insert, number)
        assert len((await store.read("t", "p")).unwrap().rows) == 40
        await store.aclose()


async def test_read_from_before_a_known_version_fails(monkeypatch):
    """Guards against a stale answer that is taken for the present state."""
    events = []
    monkeypatch.setattr(
        store_module.log, "event", lambda name, *_, **fields: events.append(name)
    )
    standin = MetadataStoreStandin()
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        (await store.transact(INSERT)).unwrap()
        assert (await store.read("t", "p")).is_ok()
        assert "store.stale_answer" not in events
        standin.rows.hold_reads()
        other = RowName("t", "p", "two")
        (await store.transact(Transaction(puts=((other, b"two"),)))).unwrap()
        failure = (await store.read("t", "p")).unwrap_err()
        assert failure.outcome is Outcome.NOT_RUN
        assert "store.stale_answer" in events
        await store.aclose()
