"""Tests of the cache of batches and results."""

import pytest

from plantainstack.services import batch_cache
from plantainstack.services.batch_cache import BatchCache, BatchEntry
from plantainstack.services.batch_store import BatchState, StateRow
from plantainstack.serving import ItemResult, ItemState


@pytest.fixture(autouse=True)
def small_cache(monkeypatch):
    monkeypatch.setattr(batch_cache, "CACHE_BYTES", 100)
    monkeypatch.setattr(batch_cache, "RESULT_OVERHEAD_BYTES", 0)


def add(cache, batch_id, size):
    state = BatchState("a", 1, 4, 1, False, "r", "n")
    entry = cache.entries[batch_id] = BatchEntry(StateRow(state, 1), 0.0)
    cache.add_results(entry, 0, [ItemResult("i", ItemState.COMPLETED, "x" * size, ())])
    return entry


def test_results_of_the_earliest_batches_are_evicted_first():
    """Guards against a cache that fills the memory of an instance."""
    cache = BatchCache()
    first, second, third = (add(cache, id, 40) for id in ("b1", "b2", "b3"))
    assert (first.results, second.results) == ({}, {})
    assert third.results


def test_removed_batches_no_longer_count():
    """Guards against a cache that evicts more and more as batches come and go."""
    cache = BatchCache()
    for number in range(20):
        add(cache, f"old{number}", 40)
        cache.remove(f"old{number}")
    first, second = add(cache, "b1", 40), add(cache, "b2", 40)
    assert first.results
    assert second.results
