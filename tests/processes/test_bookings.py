"""Tests of bookings while real processes are killed, frozen or unreachable."""

import signal
import uuid

import anyio
import pytest

from plantainstack.errors import Outcome
from tests.processes.harness import BOOKING_ENDPOINTS, BOOKING_SERVICE
from tools.demo_api import call

pytestmark = pytest.mark.anyio


def new_references(name, count=8):
    return [f"{name}-{number}" for number in range(count)]


def proves(failure):
    """Mark a test as a proof of the two guarantees that `check_runs` checks."""

    def mark(test):
        test = pytest.mark.proof("not-run", failure)(test)
        return pytest.mark.proof("at-most-once", failure)(test)

    return mark


@proves("killed")
async def test_bookings_of_a_killed_instance_run_at_most_once(client):
    """Guards against a second run when the booking is repeated at another instance."""
    references, first, last = new_references("killed"), {}, {}

    async def some_ran():
        runs = await client.runs()
        return any(runs[reference] for reference in references)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.book_all, "entry-1", references, first)
        await client.until(some_ran)
        client.fleet.kill_entry("entry-1")
    await client.book_all("entry-3", references, last)
    assert all(reply.status for reply in last.values())
    await client.check_runs(first, last)


@proves("frozen")
@pytest.mark.proof("configuration", "frozen")
async def test_instance_frozen_between_claim_and_send(client):
    """Guards against an instance that sends an expired call when it resumes.

    Also guards against one that admits a request under outdated settings.
    """
    fleet = client.fleet
    late_commit = {"match": "/commit", "action": "late", "seconds": 3.0}
    first, last = {}, {}

    async def claimed():
        rows = await client.rows("claim/")
        return any("frozen-0" in key for key in rows)

    async with anyio.create_task_group() as tasks:
        await fleet.set_faults("table", late_commit)
        tasks.start_soon(client.book_all, "entry-1", ["frozen-0"], first)
        await client.until(claimed)
        fleet.processes.signal("entry-1", signal.SIGSTOP)
        await fleet.set_faults("table")
        await client.book_all("entry-2", ["frozen-0"], last)
        version = await require_keys(client, "entry-2", "yes")
        # The request waits in the socket of the frozen process, whose settings
        # still allow a booking without a key.
        unkeyed = {}
        tasks.start_soon(book_without_key, client, "entry-1", unkeyed)
        # The answer to the commit has to arrive while the process is frozen.
        await anyio.sleep(late_commit["seconds"])
        fleet.processes.signal("entry-1", signal.SIGCONT)
    await client.until(lambda: has_version(client, "entry-1", version))
    await require_keys(client, "entry-2", "no")
    assert first["frozen-0"].status and last["frozen-0"].status
    assert (await client.runs())["unkeyed"] == 0, unkeyed
    await client.check_runs(first, last)


async def require_keys(client, name, value):
    content = {"defaults": {"require_key": value}, "exceptions": []}
    operators = client.fleet.operators
    reply = await operators.change(name, uuid.uuid4().hex, content)
    assert reply.ok, reply
    return reply.content["version"]


async def has_version(client, name, version):
    return (await client.fleet.operators.version(name) or 0) >= version


async def book_without_key(client, name, replies):
    path = f"/services/{BOOKING_SERVICE}/bookings"
    headers = [("authorization", f"Bearer {client.fleet.caller_token}")]
    entry = client.fleet.entries[name]
    content = {"reference": "unkeyed"}
    replies["unkeyed"] = await call(entry, "POST", path, content, headers, 20.0)


@proves("store-down")
@pytest.mark.parametrize("outage", ["killed", "frozen"])
async def test_bookings_during_an_outage_of_the_table(client, outage):
    """Guards against a booking that runs without a claim, and against a lost answer."""
    fleet, references = client.fleet, new_references(f"table-{outage}")
    first, during, last = {}, {}, {}

    async def some_claimed():
        rows = await client.rows("claim/")
        return any(references[0] in key for key in rows)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.book_all, "entry-1", references, first)
        await client.until(some_claimed)
        if outage == "killed":
            fleet.processes.kill("table")
        else:
            fleet.processes.signal("table", signal.SIGSTOP)
        new_bookings = new_references(f"fresh-{outage}", 3)
        await client.book_all("entry-2", new_bookings, during)
        if outage == "killed":
            await fleet.restart("table")
        else:
            fleet.processes.signal("table", signal.SIGCONT)
    assert all(reply.status for reply in (first | during).values())
    await client.check_runs(during, during)
    await client.book_all("entry-3", references, last)
    await client.check_runs(first, last)


FAULTS = [
    pytest.param("silent", marks=pytest.mark.proof("at-most-once", "silent")),
    pytest.param(
        "drop_after_effect", marks=pytest.mark.proof("not-run", "answer-lost")
    ),
    "cut",
    "crossed",
]


@pytest.mark.parametrize("action", FAULTS)
async def test_bookings_whose_connection_fails(client, action):
    """Guards against a retry, at another endpoint, of a call that may have run."""
    references, first, last = new_references(action, 4), {}, {}
    fault = {"match": "/bookings", "action": action, "count": 2}
    for endpoint in BOOKING_ENDPOINTS:
        await client.fleet.set_faults(endpoint, fault)
    await client.book_all("entry-1", references, first)
    await client.book_all("entry-2", references, last)
    await client.check_runs(first, last)
    assert any(not reply.ok for reply in first.values())
    for reply in first.values():
        assert reply.ok or reply.outcome() == Outcome.MAY_HAVE_RUN
