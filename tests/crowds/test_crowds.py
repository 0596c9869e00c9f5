"""Tests that a crowd of clients neither ends nor hangs a process."""

import anyio
import pytest

from plantainstack.serving import ClientLimits
from tests.crowds.crowd import (
    CHUNKED,
    KIB,
    MISSING_BYTES,
    Pattern,
    patterns,
    post_in_chunks,
    send_crowd,
)
from tests.crowds.harness import MEMORY_LIMIT_MB, Daemon, Platform

pytestmark = pytest.mark.anyio

DEPLOYMENTS = ("store", "services")
# Sizes of legal bodies: 8 MB, and the default limit of a body.
BODY_BYTES = {"store": 8 * 10**6, "services": 1024 * 1024}
CLIENTS = 400
DESCRIPTORS = 1_000
# Fewer than clients; the process must leave some for itself.
FEW_DESCRIPTORS = 300
SPARE_DESCRIPTORS = 20


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    found = Platform(tmp_path_factory.mktemp("crowds"))
    try:
        anyio.run(found.start)
        yield found
    finally:
        found.processes.stop_all()


@pytest.fixture
def start(platform):
    """Yield a function that starts a daemon, which is killed after the test."""
    started = []

    async def start_daemon(deployment, descriptors=DESCRIPTORS):
        started.append(Daemon(platform, deployment, descriptors))
        await started[0].wait_until_answering()
        return started[0]

    yield start_daemon
    started[0].kill()


@pytest.mark.parametrize("name", patterns(1))
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
async def test_a_crowd_takes_bounded_memory(start, deployment, name):
    """Guards against a process that a crowd ends, or hangs after it has gone."""
    daemon = await start(deployment)
    sent = patterns(BODY_BYTES[deployment])[name]
    descriptors = []

    async def hold():
        descriptors.append(daemon.descriptors())

    await send_crowd(daemon, sent, CLIENTS, hold)
    await daemon.wait_until_answering()
    assert daemon.lives()
    assert descriptors[0] <= DESCRIPTORS - SPARE_DESCRIPTORS
    assert daemon.peak_bytes() <= MEMORY_LIMIT_MB * 10**6


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
async def test_a_crowd_leaves_descriptors_for_others(start, deployment):
    """Guards against clients that stay connected and shut out all others."""
    daemon = await start(deployment, FEW_DESCRIPTORS)
    stalled = Pattern(CHUNKED, 2, 2, True)

    async def hold():
        assert daemon.descriptors() <= FEW_DESCRIPTORS - SPARE_DESCRIPTORS
        await daemon.wait_until_answering()
        assert daemon.lives()

    await send_crowd(daemon, [stalled], CLIENTS, hold)
    assert daemon.peak_bytes() <= MEMORY_LIMIT_MB * 10**6


async def test_one_large_body_in_small_chunks_is_served(start):
    """Guards against limits that a slow but honest client reaches."""
    daemon = await start("store")
    limit = ClientLimits().body_bytes
    reply = await post_in_chunks(daemon, limit - MISSING_BYTES, KIB)
    assert reply.startswith(b"HTTP/1.1 200 ")
