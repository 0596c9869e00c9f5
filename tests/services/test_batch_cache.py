"""Tests of the cache of batches and results."""

import tracemalloc

import pytest

from plantainstack.policy.memory_budget import MemoryBudget
from plantainstack.services import batch_cache
from plantainstack.services.batch_cache import BatchCache, BatchEntry
from plantainstack.services.batch_encoding import encode_result
from plantainstack.services.batch_store import BatchState, StateRow
from plantainstack.serving import ItemResult, ItemState


@pytest.fixture(autouse=True)
def small_cache(monkeypatch):
    monkeypatch.setattr(batch_cache, "CACHE_SHARE", 1 / 2)
    monkeypatch.setattr(batch_cache, "RESULT_OVERHEAD_BYTES", 0)


def result_of(size):
    """Return a result of this size when encoded."""
    empty = ItemResult("i", ItemState.COMPLETED, "", ())
    result = empty._replace(text="x" * (size - len(encode_result(empty))))
    assert len(encode_result(result)) == size
    return result


def add(cache, batch_id, size):
    state = BatchState("a", 1, 4, 1, False, "r", "n")
    entry = cache.entries[batch_id] = BatchEntry(StateRow(state, 1), 0.0)
    cache.add_results(entry, 0, [result_of(size)])
    return entry


def test_results_of_the_earliest_batches_are_evicted_first():
    """Guards against a cache that fills the memory of an instance."""
    cache = BatchCache(MemoryBudget(200))
    first, second, third = (add(cache, id, 40) for id in ("b1", "b2", "b3"))
    assert (first.results, second.results) == ({}, {})
    assert third.results


def test_removed_batches_no_longer_count():
    """Guards against a cache that evicts more and more as batches come and go."""
    cache = BatchCache(MemoryBudget(200))
    for number in range(20):
        add(cache, f"old{number}", 40)
        cache.remove(f"old{number}")
    first, second = add(cache, "b1", 40), add(cache, "b2", 40)
    assert first.results
    assert second.results


@pytest.mark.parametrize("character", ["", "\u00e9", "\u2019", "\u8bad", "\U0001f6b2"])
def test_cached_results_keep_to_their_limit_whatever_their_text(monkeypatch, character):
    """Guards against texts with several bytes a character that are counted as one."""
    monkeypatch.setattr(batch_cache, "RESULT_OVERHEAD_BYTES", 400)
    cache = BatchCache(MemoryBudget(4_000_000))
    state = BatchState("a", 1, 1000, 1000, False, "r", "n")
    entry = cache.entries["b1"] = BatchEntry(StateRow(state, 1), 0.0)
    sizes = []
    tracemalloc.start()
    for position in range(1000):
        text = f"{position:06599}{character}"
        result = ItemResult(f"i{position}", ItemState.COMPLETED, text, (3,))
        cache.add_results(entry, position, [result])
        del result, text
        sizes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    assert 1_000_000 < max(sizes) <= 2_000_000


def test_cached_result_is_read_as_it_was_added():
    """Guards against results that a reader gets in another form than listed."""
    cache = BatchCache(MemoryBudget(200))
    entry = add(cache, "b1", 40)
    result = ItemResult("i", ItemState.ABANDONED, "\u2019\U0001f6b2", (3, 4), "0.5")
    cache.add_results(entry, 1, [result])
    assert (entry.result(1), entry.result(2)) == (result, None)


def test_cache_gives_way_to_other_parts():
    """Guards against a cache that fills a memory that requests need."""
    memory = MemoryBudget(200)
    answers = 0
    memory.add_part("answers", lambda: answers)
    cache = BatchCache(memory)
    first, second = add(cache, "b1", 40), add(cache, "b2", 40)
    answers = 150
    memory.reclaim()
    assert (len(first.results), len(second.results)) == (0, 0)
    answers = 160
    third = add(cache, "b3", 30)
    assert third.results
    assert (memory.left_for("answers"), memory.left_for("cache")) == (200, 40)
