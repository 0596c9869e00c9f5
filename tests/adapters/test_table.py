"""Contract tests of the table adapter against the stand-in, over loopback."""

import socket

import anyio
import pytest

from plantainstack.adapters import table
from plantainstack.adapters.http import HttpClient
from plantainstack.adapters.table import HttpTable
from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.interfaces import Check, Mutation, Row, Write
from plantainstack.settings.options import Address
from standins.faults import Action, Fault
from standins.server import serving
from standins.table import TableStandin
from tests.adapters.relay import relaying
from tests.adapters.timeouts import timeout_for

pytestmark = pytest.mark.anyio

INSERT = Mutation("m1", (Check("a", 0),), (Write("a", {"n": 1}),))

UNAVAILABLE = ErrorKind.TABLE_UNAVAILABLE
UNKNOWN = ErrorKind.TABLE_OUTCOME_UNKNOWN

# Fault, expected kind of failure, whether the commit eventually takes effect.
FAULTS = [
    (Fault("/commit", Action.REFUSE, 1), UNAVAILABLE, False),
    (Fault("/commit", Action.REFUSE, 1, status=500), UNKNOWN, False),
    (Fault("/commit", Action.DROP_AFTER_EFFECT, 1), UNKNOWN, True),
    (Fault("/commit", Action.CUT, 1), UNKNOWN, True),
    (Fault("/commit", Action.SILENT, 1), UNKNOWN, False),
    (Fault("/commit", Action.LATE, 1, seconds=1.0), UNKNOWN, True),
    (Fault("/commit", Action.DELAY, 1, seconds=1.0), UNKNOWN, True),
]
FAULT_IDS = [f"{fault.action}-{fault.status}" for fault, _, _ in FAULTS]


def connect(address: Address) -> HttpTable:
    return HttpTable(HttpClient(address, SystemClock()))


def free_address() -> Address:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(*sock.getsockname())


async def wait_until_applied(adapter: HttpTable) -> bool:
    for _ in range(100):
        if (await adapter.read(["a"])).unwrap()["a"].version:
            return True
        await anyio.sleep(0.05)
    return False


async def check_commit(fault: Fault, takes_effect: bool) -> ErrorKind:
    """Commit under a fault; check that a commit reported as `not_run` has no effect."""
    standin = TableStandin()
    async with serving(standin) as address:
        standin.faults.replace([fault])
        adapter = connect(address)
        with timeout_for(fault.action):
            failure = (await adapter.commit([INSERT])).unwrap_err()
        applied = takes_effect and await wait_until_applied(adapter)
        assert applied == takes_effect
        assert not (applied and failure.outcome is Outcome.NOT_RUN)
        await adapter.aclose()
        return failure.kind


@pytest.mark.parametrize(("fault", "kind", "takes_effect"), FAULTS, ids=FAULT_IDS)
async def test_outcome_of_commit_under_fault(fault, kind, takes_effect):
    """Guards against reporting a commit with a lost answer as `not_run`."""
    fault = Fault(fault.match, fault.action, fault.count, fault.seconds, fault.status)
    assert await check_commit(fault, takes_effect) is kind


@pytest.mark.parametrize(
    "action", [Action.DROP_AFTER_EFFECT, Action.CUT, Action.LATE, Action.DELAY]
)
async def test_naive_mapping_of_lost_answer_fails(monkeypatch, action):
    """Shows that the mapping of incomplete exchanges is what the test checks."""
    monkeypatch.setattr(
        table, "_interrupted", lambda stop: table.not_applied(stop.message)
    )
    with pytest.raises(AssertionError):
        await check_commit(Fault("/commit", action, 1, seconds=1.0), True)


async def test_refused_connection_is_not_run():
    adapter = connect(free_address())
    failure = (await adapter.commit([INSERT])).unwrap_err()
    assert (failure.kind, failure.outcome) == (UNAVAILABLE, Outcome.NOT_RUN)


async def test_commit_returns_conflicting_rows_and_read_returns_versions():
    async with serving(TableStandin()) as address:
        adapter = connect(address)
        first, second = (await adapter.commit([INSERT, INSERT])).unwrap()
        assert first.applied and first.conflicts == ()
        assert not second.applied and second.conflicts == (Row("a", 1, {"n": 1}),)
        rows = (await adapter.read(["a", "b"])).unwrap()
        assert rows == {"a": Row("a", 1, {"n": 1}), "b": Row("b", 0, None)}


async def test_mutation_with_a_failed_check_writes_nothing():
    """Guards against a partially applied mutation."""
    mixed = Mutation("m", (Check("a", 0), Check("b", 7)), (Write("a", {}),))
    async with serving(TableStandin()) as address:
        adapter = connect(address)
        assert not (await adapter.commit([mixed])).unwrap()[0].applied
        assert (await adapter.read(["a"])).unwrap()["a"].version == 0


async def test_versions_of_deleted_keys_are_not_reused():
    """Guards against a compare-and-set that accepts a recreated row as the old one."""
    async with serving(TableStandin()) as address:
        adapter = connect(address)
        delete = Mutation("d", (), (Write("a", None),))
        await adapter.commit([INSERT, delete, INSERT])
        assert (await adapter.read(["a"])).unwrap()["a"].version == 3


async def test_scan_returns_pages_in_order():
    writes = tuple(Write(key, {}) for key in ("p/2", "p/1", "q/1", "p/3"))
    async with serving(TableStandin()) as address:
        adapter = connect(address)
        await adapter.commit([Mutation("m", (), writes)])
        page = (await adapter.scan("p/", limit=2)).unwrap()
        rest = (await adapter.scan("p/", after=page[-1].key)).unwrap()
        assert [row.key for row in (*page, *rest)] == ["p/1", "p/2", "p/3"]


class KeepingClient(HttpClient):
    """Client that keeps its idle connections after a failure."""

    async def aclose(self):
        pass


async def read_after_silence(kind: type[HttpClient]) -> bool:
    """Silence all open connections; return whether the second read after it works."""
    async with serving(TableStandin()) as target, relaying(target) as (relay, address):
        client = kind(address, SystemClock())
        adapter = HttpTable(client)
        async with anyio.create_task_group() as tasks:
            for key in "abc":
                tasks.start_soon(adapter.read, [key])
        relay.silence_open_connections()
        with timeout_for(Action.SILENT):
            assert (await adapter.read(["a"])).unwrap_err().kind is UNKNOWN
            answer = await adapter.read(["a"])
        await HttpClient.aclose(client)
        return answer.is_ok()


async def test_call_after_silence_opens_a_new_connection():
    """Guards against repeated time-outs on silent connections."""
    assert await read_after_silence(HttpClient)


async def test_keeping_idle_connections_after_a_failure_fails():
    """Shows that closing idle connections after a failure is what the test checks."""
    assert not await read_after_silence(KeepingClient)
