"""Tests of group commits."""

import anyio
import pytest

from plantainstack.errors import ErrorKind
from plantainstack.platform.base import Check, Mutation, Write
from plantainstack.services.commits import BATCH_MAX, GroupCommit
from tests.fakes import FakeTable

pytestmark = pytest.mark.anyio


class CountingTable(FakeTable):
    """Record the size of each commit; `broken` ones fail in the adapter."""

    def __init__(self):
        super().__init__()
        self.sizes = []
        self.broken = 0

    async def commit(self, mutations):
        self.sizes.append(len(mutations))
        if self.broken:
            self.broken -= 1
            raise ValueError
        return await super().commit(mutations)


def insertion(number):
    key = f"k{number}"
    return Mutation(key, (Check(key, 0),), (Write(key, {}),))


@pytest.mark.parametrize("broken", [0, 1])
async def test_waiting_mutations_share_commits_and_get_their_own_results(broken):
    """Guards against a write each, and against waiters that a fault strands."""
    table = CountingTable()
    table.broken = broken
    group = GroupCommit(table)
    results = {}

    async def commit(number):
        results[number] = await group.commit(insertion(number % (BATCH_MAX + 50)))

    async with anyio.create_task_group() as tasks:
        for number in range(BATCH_MAX + 100):
            tasks.start_soon(commit, number)
    assert sum(table.sizes) == BATCH_MAX + 100
    assert len(table.sizes) == 3 + broken
    failed = [result.err_value.kind for result in results.values() if result.is_err()]
    assert failed == [ErrorKind.TABLE_OUTCOME_UNKNOWN] * broken
    applied = sum(
        result.is_ok() and result.ok_value.applied for result in results.values()
    )
    assert applied == len(table.rows) == BATCH_MAX + 50
