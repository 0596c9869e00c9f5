"""Test of a planned stop under load."""

import contextlib
import itertools

import anyio
import pytest
from result import Ok

from plantainstack.interfaces import PlainAnswer
from plantainstack.kernel import State
from tests.front.harness import running
from tests.platform.test_ingress import RawConnection

pytestmark = pytest.mark.anyio

NOTICE_S = 0.5
CALL_S = 0.3
LOAD_S = 0.5
CALLERS = 8


class Callers:
    """Send calls until the instance closes, and record the answered ones."""

    def __init__(self, client):
        self.address = client.kernel.plugin("front").server.address
        self.statuses = {}

    async def ask(self, conn, id):
        """Send a call; return whether the connection may be used again."""
        status, headers, _ = await conn.request(
            "POST",
            f"/services/booking-app/{id}",
            Authorization="Bearer caller-token",
        )
        self.statuses[id] = status
        return headers.get("connection") != "close"

    @contextlib.asynccontextmanager
    async def connected(self):
        async with await anyio.connect_tcp(*self.address) as stream:
            yield RawConnection(stream)

    async def open_connections(self, caller):
        """Open a connection for each call until nobody listens."""
        for number in itertools.count():
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                try:
                    async with self.connected() as conn:
                        await self.ask(conn, f"new-{caller}-{number}")
                except OSError:
                    return
                await anyio.sleep(0.01)

    async def keep_connection(self, caller):
        """Send all calls on one connection until it is closed."""
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with self.connected() as conn:
                for number in itertools.count():
                    if not await self.ask(conn, f"kept-{caller}-{number}"):
                        return
                    await anyio.sleep(0.01)


async def test_planned_stop_under_load_cuts_off_no_call_that_was_passed_on(tmp_path):
    """Guards against calls that were just accepted and get no answer."""
    passed_on = set()

    async def call(req, deadline):
        passed_on.add(req.path.removeprefix("/"))
        await anyio.sleep(CALL_S)
        return Ok(PlainAnswer(200, [], b"booked"))

    async with running(tmp_path) as client:
        kernel = client.kernel
        kernel.plugin("front").notice_s = NOTICE_S
        kernel.plugin("links").fake_plain.call = call
        callers = Callers(client)
        async with anyio.create_task_group() as tasks:
            for caller in range(CALLERS):
                tasks.start_soon(callers.open_connections, caller)
                tasks.start_soon(callers.keep_connection, caller)
            await anyio.sleep(LOAD_S)
            kernel.request_stop()
            with anyio.fail_after(10.0):
                while kernel.state is not State.STOPPED:
                    await anyio.sleep(0.01)
    outcomes = {id: callers.statuses.get(id) for id in passed_on}
    assert len(outcomes) >= 2 * CALLERS
    assert {id: status for id, status in outcomes.items() if status != 200} == {}
    assert 503 in callers.statuses.values()
