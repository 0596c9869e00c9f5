"""Tests of streams while real processes are stopped, killed or unreachable."""

import signal

import anyio
import pytest

from tests.processes.harness import ENGINES, expected_text

pytestmark = pytest.mark.anyio

STREAMS = 8
TOKENS = 90


async def stream_all(client, name, results, started=None):
    async def collect(seed):
        def on_chunk():
            if started is not None:
                started.set()

        results[seed] = await client.stream(name, seed, TOKENS, on_chunk)

    async with anyio.create_task_group() as tasks:
        for seed in range(STREAMS):
            tasks.start_soon(collect, seed)


def check_texts(results):
    """Check that streams with an end marker are complete, and others a prefix."""
    for seed, (text, ended) in results.items():
        if ended:
            assert text == expected_text(seed, TOKENS)
        else:
            assert expected_text(seed, TOKENS).startswith(text)


async def test_streams_end_whole_after_sigterm(client):
    """Guards against a shutdown that interrupts running streams."""
    results, started = {}, anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_all, client, "entry-2", results, started)
        await started.wait()
        client.fleet.processes.signal("entry-2", signal.SIGTERM)
    assert [ended for _, ended in results.values()] == [True] * STREAMS
    check_texts(results)

    async def has_ended():
        return "entry-2" in client.fleet.processes.ended()

    await client.until(has_ended)


@pytest.mark.proof("whole-answer", "crash")
async def test_streams_of_a_killed_engine_are_whole_or_errors(client):
    """Guards against a truncated answer that appears complete."""
    results, replies, started = {}, {}, anyio.Event()

    async def complete(seed):
        replies[seed] = await client.complete("entry-3", seed, TOKENS)

    async def busy():
        return (await client.fleet.state("fit-1"))["running"]

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_all, client, "entry-1", results, started)
        for seed in range(STREAMS):
            tasks.start_soon(complete, seed)
        await started.wait()
        await client.until(busy)
        client.fleet.processes.kill("fit-1")
    check_texts(results)
    for seed, reply in replies.items():
        assert reply.status
        assert not reply.ok or reply.content == expected_text(seed, TOKENS)


@pytest.mark.parametrize(
    "action",
    [
        pytest.param("silent", marks=pytest.mark.proof("whole-answer", "silent")),
        "cut",
        "crossed",
    ],
)
async def test_streams_whose_connection_fails_are_whole_or_errors(client, action):
    """Guards against accepting a truncated answer, or that of another request."""
    fault = {"match": "/v1/chat", "action": action, "count": 3}
    for engine in ENGINES:
        await client.fleet.set_faults(engine, fault)
    results = {}
    await stream_all(client, "entry-1", results)
    check_texts(results)
