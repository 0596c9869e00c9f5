"""Contract tests of the table client against a service in a separate process."""

import signal

import anyio
import pytest

from plantainstack.adapters import table
from plantainstack.adapters.http import HttpClient
from plantainstack.adapters.table import HttpTable
from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.interfaces import Check, Mutation, Write
from plantainstack.settings.options import Address
from standins.faults import Action
from tests.adapters.timeouts import timeout_for
from tools.processes import Processes, free_addresses

pytestmark = pytest.mark.anyio

INSERT = Mutation("m1", (Check("a", 0),), (Write("a", {"n": 1}),))


@pytest.fixture
def processes(tmp_path):
    found = Processes(tmp_path)
    yield found
    found.stop_all()


async def start_table(processes: Processes, address: Address) -> HttpTable:
    processes.start("table", "standins", "table", "--listen", str(address))
    adapter = HttpTable(HttpClient(address, SystemClock()))
    for _ in range(200):
        if (await adapter.read(["a"])).is_ok():
            return adapter
        await anyio.sleep(0.05)
    raise AssertionError(processes.output("table"))


async def commit_to_suspended_service(processes: Processes) -> ErrorKind:
    """Commit while the service is suspended; it may apply the commit on resuming."""
    adapter = await start_table(processes, *free_addresses(1))
    processes.signal("table", signal.SIGSTOP)
    with timeout_for(Action.SILENT):
        failure = (await adapter.commit([INSERT])).unwrap_err()
    processes.signal("table", signal.SIGCONT)
    row = (await adapter.read(["a"])).unwrap()["a"]
    await adapter.aclose()
    assert not (row.version and failure.outcome is Outcome.NOT_RUN)
    return failure.kind


async def test_commit_to_suspended_service_has_unknown_outcome(processes):
    """Guards against `not_run` for a commit that is applied on resuming."""
    kind = await commit_to_suspended_service(processes)
    assert kind is ErrorKind.TABLE_OUTCOME_UNKNOWN


async def test_naive_mapping_for_suspended_service_fails(processes, monkeypatch):
    """Shows that the mapping of incomplete exchanges is what the test checks."""
    monkeypatch.setattr(
        table, "_interrupted", lambda stop: table.not_applied(stop.message)
    )
    with pytest.raises(AssertionError):
        await commit_to_suspended_service(processes)


async def test_calls_fail_while_service_is_killed_and_work_after_restart(processes):
    """Guards against reusing idle connections to a service that has restarted."""
    (address,) = free_addresses(1)
    adapter = await start_table(processes, address)
    processes.kill("table")
    failure = (await adapter.commit([INSERT])).unwrap_err()
    assert failure.kind is ErrorKind.TABLE_UNAVAILABLE
    await start_table(processes, address)
    assert (await adapter.commit([INSERT])).unwrap()[0].applied
    await adapter.aclose()
