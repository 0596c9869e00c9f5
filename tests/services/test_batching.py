"""Tests of group commit."""

import anyio
import pytest
from result import Err, Ok

from plantainstack.adapters.http import REQUEST_TIMEOUT_S, HttpClient
from plantainstack.adapters.table import HttpTable, not_applied, unknown
from plantainstack.clock import FakeClock, SystemClock
from plantainstack.errors import ErrorKind
from plantainstack.interfaces import (
    Check,
    Mutation,
    MutationOutcome,
    Row,
    TableService,
    Write,
)
from plantainstack.services import batching
from plantainstack.services.batching import BatchingTable, _Batcher, _Call
from standins.server import serving
from standins.table import TableStandin

pytestmark = pytest.mark.anyio


class GatedTable(TableService):
    """Table service that records calls, and answers them once the gate is open."""

    def __init__(self):
        self.batches: list[list[str]] = []
        self.gate = anyio.Event()
        self.failure: Exception | Err | None = None

    async def read(self, keys):
        self.batches.append(list(keys))
        await self.gate.wait()
        return Ok({key: Row(key, 0, None) for key in keys})

    async def scan(self, prefix, after="", limit=1000):
        return Ok([])

    async def commit(self, mutations):
        self.batches.append([mutation.id for mutation in mutations])
        await self.gate.wait()
        if isinstance(self.failure, Exception):
            raise self.failure
        if self.failure is not None:
            return self.failure
        # The id in the conflict shows whose outcome this is.
        return Ok([MutationOutcome(True, (Row(m.id, 1, None),)) for m in mutations])


class Callers:
    """Call `commit` in a task per caller, and collect the outcomes."""

    def __init__(self, table, tasks):
        self._table = table
        self._tasks = tasks
        self.outcomes = {}
        self.scopes = {}

    async def commit(self, *ids):
        self._tasks.start_soon(self._commit, ids)
        await anyio.wait_all_tasks_blocked()

    async def _commit(self, ids):
        with anyio.CancelScope() as self.scopes[ids[0]]:
            mutations = [Mutation(each, (), ()) for each in ids]
            self.outcomes[ids[0]] = await self._table.commit(mutations)

    def answered(self, first):
        outcomes = self.outcomes[first].unwrap()
        return [outcome.conflicts[0].key for outcome in outcomes]


async def test_concurrent_commits_share_a_request_and_get_their_own_outcomes():
    table = GatedTable()
    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, SystemClock())
        batched.start(tasks)
        callers = Callers(batched, tasks)
        await callers.commit("a")
        await callers.commit("b", "c")
        await callers.commit("d")
        assert table.batches == [["a"]]
        table.gate.set()
        await anyio.wait_all_tasks_blocked()
        assert table.batches == [["a"], ["b", "c", "d"]]
        assert callers.answered("a") == ["a"]
        assert callers.answered("b") == ["b", "c"]
        assert callers.answered("d") == ["d"]
        tasks.cancel_scope.cancel()


async def test_batches_are_bounded_and_calls_are_not_split(monkeypatch):
    monkeypatch.setattr(batching, "BATCH_MUTATIONS_MAX", 3)
    table = GatedTable()
    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, SystemClock())
        batched.start(tasks)
        callers = Callers(batched, tasks)
        for ids in (["a"], ["b", "c"], ["d", "e"], ["f", "g", "h", "i"]):
            await callers.commit(*ids)
        table.gate.set()
        await anyio.wait_all_tasks_blocked()
        expected = [["a"], ["b", "c"], ["d", "e"], ["f", "g", "h", "i"]]
        assert table.batches == expected
        tasks.cancel_scope.cancel()


async def test_batches_are_bounded_in_bytes(monkeypatch):
    """Guards against a request that grows without limit with the stored answers."""
    monkeypatch.setattr(batching, "BATCH_BYTES_MAX", 10)
    table = GatedTable()
    table.gate.set()
    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, SystemClock())
        for name, length in (("a", 5), ("b", 5), ("c", 1), ("d", 50)):
            write = Write(name, {"answer": "x" * length, "state": 1})
            tasks.start_soon(batched.commit, [Mutation(name, (), (write,))])
        await anyio.wait_all_tasks_blocked()
        batched.start(tasks)
        await anyio.wait_all_tasks_blocked()
        assert table.batches == [["a", "b"], ["c"], ["d"]]
        tasks.cancel_scope.cancel()


async def test_concurrent_reads_ask_for_each_key_once():
    table = GatedTable()
    table.gate.set()
    found = []

    async def read(keys):
        found.append((await batched.read(keys)).unwrap())

    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, SystemClock())
        for keys in (["a", "b"], ["b", "c"]):
            tasks.start_soon(read, keys)
        await anyio.wait_all_tasks_blocked()
        batched.start(tasks)
        await anyio.wait_all_tasks_blocked()
        assert table.batches == [["a", "b", "c"]]
        assert [set(rows) for rows in found] == [{"a", "b"}, {"b", "c"}]
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("failure", "kind"),
    [
        (Err(not_applied("down")), ErrorKind.TABLE_UNAVAILABLE),
        (Err(unknown("lost")), ErrorKind.TABLE_OUTCOME_UNKNOWN),
        (ValueError("a fault of the adapter"), ErrorKind.TABLE_OUTCOME_UNKNOWN),
        (Ok([]), ErrorKind.TABLE_OUTCOME_UNKNOWN),
    ],
)
@pytest.mark.task_failures
async def test_failed_batch_fails_each_call_and_later_calls_work(failure, kind):
    """Guards against callers that wait indefinitely after a batch has failed."""
    table = GatedTable()
    table.failure = failure
    table.gate.set()
    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, SystemClock())
        callers = Callers(batched, tasks)
        await callers.commit("a")
        await callers.commit("b")
        batched.start(tasks)
        await anyio.wait_all_tasks_blocked()
        kinds = {
            name: each.unwrap_err().kind for name, each in callers.outcomes.items()
        }
        assert kinds == {"a": kind, "b": kind}
        table.failure = None
        await callers.commit("c")
        assert callers.answered("c") == ["c"]
        tasks.cancel_scope.cancel()


async def test_stopping_worker_fails_the_calls_that_wait():
    """Guards against callers that get no outcome at a shutdown."""
    table = GatedTable()
    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, SystemClock())
        callers = Callers(batched, tasks)
        async with anyio.create_task_group() as workers:
            batched.start(workers)
            await callers.commit("sent")
            await callers.commit("queued")
            workers.cancel_scope.cancel()
        await callers.commit("late")
    kinds = {name: each.unwrap_err().kind for name, each in callers.outcomes.items()}
    assert kinds == {
        "sent": ErrorKind.TABLE_OUTCOME_UNKNOWN,
        "queued": ErrorKind.TABLE_UNAVAILABLE,
        "late": ErrorKind.TABLE_UNAVAILABLE,
    }


async def test_call_whose_deadline_passed_in_the_queue_is_never_sent():
    """Guards against a call that takes effect although it was reported as not run."""
    table, clock = GatedTable(), FakeClock()
    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, clock)
        batched.start(tasks)
        callers = Callers(batched, tasks)
        await callers.commit("a")
        await callers.commit("b")
        clock.jump(REQUEST_TIMEOUT_S)
        table.gate.set()
        await anyio.wait_all_tasks_blocked()
        assert table.batches == [["a"]]
        failure = callers.outcomes["b"].unwrap_err()
        assert failure.kind is ErrorKind.TABLE_UNAVAILABLE
        tasks.cancel_scope.cancel()


async def commit_with_cancelled_callers() -> tuple[list, dict]:
    """Cancel one caller in flight and one in the queue, then open the gate."""
    table = GatedTable()
    async with anyio.create_task_group() as tasks:
        batched = BatchingTable(table, SystemClock())
        callers = Callers(batched, tasks)
        for name in ("a", "b"):
            await callers.commit(name)
        batched.start(tasks)
        await anyio.wait_all_tasks_blocked()
        for name in ("c", "d"):
            await callers.commit(name)
        for name in ("a", "c"):
            callers.scopes[name].cancel()
        await anyio.wait_all_tasks_blocked()
        table.gate.set()
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    return table.batches, {each: callers.answered(each) for each in callers.outcomes}


async def test_cancelled_caller_does_not_affect_the_others():
    """Guards against outcomes that are lost when another caller is cancelled."""
    batches, answered = await commit_with_cancelled_callers()
    assert batches == [["a", "b"], ["d"]]
    assert answered == {"b": ["b"], "d": ["d"]}


class LeaderBatcher(_Batcher):
    """Naive version that sends each batch from the task of its first caller."""

    async def submit(self, items):
        call = _Call(items, 0, self._clock.now() + REQUEST_TIMEOUT_S)
        self._waiting.append(call)
        if len(self._waiting) == 1:
            await anyio.lowlevel.checkpoint()
            batch = list(self._waiting)
            found = await self._send([item for each in batch for item in each.items])
            self._waiting.clear()
            batching._distribute(batch, found)
        await call.done.wait()
        return call.outcome

    async def run(self):
        """Do nothing."""


async def test_batch_owned_by_its_first_caller_fails(monkeypatch):
    """Shows that the test above depends on the worker that sends the request."""
    monkeypatch.setattr(batching, "_Batcher", LeaderBatcher)
    _, answered = await commit_with_cancelled_callers()
    assert answered != {"b": ["b"], "d": ["d"]}


async def test_one_of_many_concurrent_inserts_wins():
    """Guards against outcomes that differ from those of separate commits."""
    standin = TableStandin()
    applied = []

    async def insert(number):
        check, write = Check("k", 0), Write("k", {"owner": number})
        outcome = await batched.commit([Mutation(str(number), (check,), (write,))])
        if outcome.unwrap()[0].applied:
            applied.append(number)

    async with serving(standin) as address, anyio.create_task_group() as tasks:
        client = HttpClient(address, SystemClock())
        batched = BatchingTable(HttpTable(client), SystemClock())
        batched.start(tasks)
        async with anyio.create_task_group() as callers:
            for number in range(100):
                callers.start_soon(insert, number)
        rows = (await batched.read(["k"])).unwrap()
        assert applied == [rows["k"].value["owner"]]
        assert standin.state()["commits"] < standin.state()["mutations"] == 100
        tasks.cancel_scope.cancel()
        await client.aclose()
