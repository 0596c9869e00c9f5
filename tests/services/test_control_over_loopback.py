"""Tests of peers, membership and configuration together over loopback TCP links."""

import socket
from contextlib import asynccontextmanager

import anyio
import pytest

from plantainstack.interfaces import InstanceKind, InstanceRecord, InstanceState
from plantainstack.kernel import Kernel
from plantainstack.links.peer import Peers
from plantainstack.plugins import Plugin
from plantainstack.services.configuration import Configuration
from plantainstack.services.membership import MembershipPlugin
from plantainstack.settings.fleet import FleetContent
from plantainstack.settings.instance import InstanceOptions
from plantainstack.settings.options import Address
from tests.fleet import MemoryTable

pytestmark = pytest.mark.anyio

LIMIT_S = 60
FAST = FleetContent(defaults={"heartbeat_interval": "50 ms"}, exceptions=[])


class Platform(Plugin):
    """Plug-in `platform` with one table for all kernels of the test."""

    table = None


Platform.name = "platform"


class Settings:
    def __init__(self, name, port):
        self.instance = InstanceOptions(
            id=name,
            data_centre="tunis-a",
            peer_listen=Address("127.0.0.1", port),
            control=True,
        )

    def peer_key(self):
        return b"shared"


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def record_of(kernel):
    own = kernel.settings.instance
    return InstanceRecord(
        own.id,
        "entry",
        InstanceKind.ENTRY,
        own.data_centre,
        own.peer_listen,
        InstanceState.LIVE,
    )


@asynccontextmanager
async def running_kernels(count, table):
    kinds = [Platform, Peers, MembershipPlugin, Configuration]
    kernels = [
        Kernel(Settings(f"entry-{number}", port), kinds)
        for number, port in enumerate(free_ports(count))
    ]
    records = [record_of(kernel) for kernel in kernels]
    async with anyio.create_task_group() as tasks:
        for kernel in kernels:
            kernel.plugin("platform").table = table
            kernel.emit("endpoints", records)
            tasks.start_soon(kernel.run, False)
        with anyio.fail_after(LIMIT_S):
            yield kernels
        tasks.cancel_scope.cancel()


async def until(condition):
    while not condition():
        await anyio.sleep(0.01)


def members(kernel):
    return set(kernel.plugin("membership").view().members)


async def test_a_change_spreads_without_table_and_a_stopped_instance_leaves():
    """Guards against plug-ins that work only with a simulated network."""
    table = MemoryTable()
    async with running_kernels(5, table) as kernels:
        await until(lambda: all(len(members(kernel)) == 5 for kernel in kernels))
        await until(lambda: all(not kernel.unready_reason() for kernel in kernels))
        table.fail_after_commit = True
        configuration = kernels[0].plugin("configuration")
        outcome = await configuration.change("c1", 0, FAST, "nora")
        assert outcome.unwrap() == 1
        await until(lambda: all(kernel.config.version == 1 for kernel in kernels))
        kernels[4].request_stop()
        await until(lambda: all(len(members(kernel)) == 4 for kernel in kernels[:4]))
