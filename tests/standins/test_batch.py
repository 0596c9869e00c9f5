"""Tests of the approximated continuous batching, with explicit time stamps."""

import anyio
import pytest

from standins.batch import Batch, EngineOptions, PrefixCache, Stream
from standins.completions import completion_text, completion_words, join_words

pytestmark = pytest.mark.anyio

MESSAGES = [{"role": "user", "content": "where is the hydrant"}]
OPTIONS = EngineOptions("m", token_rate=100, stream_rate=100, swap_s=1.0)


def make_batch(**changes):
    return Batch(OPTIONS._replace(**changes), 0.0, lambda: None)


def make_stream(name="a", rollout=False, prefix="", max_tokens=40):
    return Stream(name, MESSAGES, 0, max_tokens, rollout, prefix)


def run(batch, start, end, step=0.05):
    for number in range(round((end - start) / step)):
        batch.step(start + (number + 1) * step)


def drain(stream):
    chunks = []
    while True:
        try:
            chunks.append(stream.chunks.receive_nowait())
        except (anyio.WouldBlock, anyio.EndOfStream):
            return chunks


def text_of(chunks):
    return "".join(chunk.text for chunk in chunks)


def test_streams_share_the_token_rate():
    batch = make_batch()
    streams = [make_stream(name, rollout=True, max_tokens=400) for name in "abcd"]
    for stream in streams:
        batch.submit(stream, 0.0)
    run(batch, 0.0, 2.0)
    positions = [stream.position for stream in streams]
    assert max(positions) - min(positions) <= 1
    assert sum(positions) <= 200


def test_callers_preempt_rollouts():
    batch = make_batch(running_max=2)
    rollouts = [make_stream(f"r{number}", rollout=True) for number in range(2)]
    for stream in rollouts:
        batch.submit(stream, 0.0)
    run(batch, 0.0, 0.1)
    caller = make_stream("caller")
    batch.submit(caller, 0.1)
    run(batch, 0.1, 0.2)
    assert caller in batch.running
    assert batch.queued == [rollouts[1]]


async def test_weight_version_changes_within_a_stream():
    batch = make_batch()
    stream = make_stream(max_tokens=100)
    batch.submit(stream, 0.0)
    run(batch, 0.0, 0.2)
    batch.start_swap("m", 2, 0.2, fails=False)
    run(batch, 0.2, 1.1)
    assert (batch.version, batch.loading) == (1, 2)
    run(batch, 1.1, 4.0)
    chunks = drain(stream)
    assert {chunk.version for chunk in chunks} == {1, 2}
    assert text_of(chunks) == completion_text(MESSAGES, 0, 100)
    assert sum(chunk.tokens for chunk in chunks) == len(
        completion_words(MESSAGES, 0, 100)
    )


def test_failed_swap_keeps_the_weight_version():
    batch = make_batch()
    batch.start_swap("m", 2, 0.0, fails=True)
    run(batch, 0.0, 1.5)
    assert (batch.version, batch.loading) == (1, None)
    assert batch.counts["failed_swaps"] == 1


@pytest.mark.parametrize("taken", [1, 7])
async def test_resumed_stream_continues_after_the_prefix(taken):
    words = completion_words(MESSAGES, 0, 40)
    prefix = join_words(words[:taken], 0)
    batch, stream = make_batch(), make_stream(prefix=prefix, max_tokens=40 - taken)
    batch.submit(stream, 0.0)
    run(batch, 0.0, 2.0)
    assert prefix + text_of(drain(stream)) == completion_text(MESSAGES, 0, 40)


async def test_cancelled_stream_closes_without_finishing():
    batch, stream = make_batch(), make_stream()
    batch.submit(stream, 0.0)
    run(batch, 0.0, 0.1)
    batch.cancel("a")
    drain(stream)
    with pytest.raises(anyio.EndOfStream):
        stream.chunks.receive_nowait()
    assert not stream.finished
    assert not batch.has_work()


def test_prefix_cache_reports_evictions_as_numbered_events():
    cache = PrefixCache(2)
    assert cache.store_and_count_uncached(["x", "y"], [3, 4]) == 7
    assert cache.store_and_count_uncached(["x", "z"], [3, 5]) == 5
    cache.clear()
    events = [(event["prefix_hash"], event["stored"]) for event in cache.events]
    assert events == [
        ("x", True),
        ("y", True),
        ("z", True),
        ("y", False),
        ("x", False),
        ("z", False),
    ]
    assert [event["number"] for event in cache.events] == [1, 2, 3, 4, 5, 6]


def test_cached_prompt_needs_no_prefill():
    batch = make_batch()
    for name in "ab":
        batch.submit(make_stream(name), 0.0)
    batch.step(0.0)
    assert [stream.prefill > 0 for stream in batch.running] == [True, False]
