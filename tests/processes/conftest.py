"""A fleet of real processes, shared by the tests of this directory."""

import signal

import anyio
import pytest

from tests.processes.harness import START_LIMIT_S, FleetClient
from tools.demo_fleet import ENTRIES, Fleet


@pytest.fixture(scope="session")
def shared_fleet(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("fleet"), START_LIMIT_S)
    try:
        anyio.run(fleet.start)
        yield fleet
    finally:
        fleet.processes.stop_all()


@pytest.fixture
def client(shared_fleet):
    """Yield a client of the fleet with all processes running and no faults set.

    After the test, resume the processes that a failed test left frozen.
    """
    anyio.run(restore_fleet, shared_fleet)
    yield FleetClient(shared_fleet)
    resume_frozen(shared_fleet)


def resume_frozen(fleet):
    for name in {*fleet.standins, *ENTRIES} - set(fleet.processes.ended()):
        fleet.processes.signal(name, signal.SIGCONT)


async def restore_fleet(fleet):
    """Restart ended processes, clear faults and wait until all instances serve.

    Stand-ins start before the instances, which connect to them.
    """
    for name in sorted(fleet.processes.ended(), key=lambda name: name in ENTRIES):
        await fleet.restart(name)
    for name in fleet.standins:
        await fleet.set_faults(name)
    client = FleetClient(fleet)
    for name in ENTRIES:
        await client.until(lambda name=name: client.serves(name))
