"""Tests of steps when the owner is killed and when the table service is down."""

import signal

import pytest

from plantainstack.policy.samples import StepState
from tests.processes.harness import endpoints_of
from tools.demo_fleet import TRAINER, TRAINER_MODEL

pytestmark = pytest.mark.anyio

SAMPLES = 32


async def start_step(client):
    """Start a step; return its name and the first samples committed for it."""
    number = (await client.fleet.state("trainer"))["wanted"] + 1
    step = f"step-{number:04d}"
    await client.fleet.request_steps(1)

    async def committed():
        return await client.rows(f"sample/{TRAINER}/{step}/")

    return step, await client.until(committed)


async def wait_for_step(client, step):
    async def fetched():
        records = (await client.fleet.state("trainer"))["steps"]
        return [record for record in records if record["step"] == step]

    (record,) = await client.until(fetched)
    return record


async def check_step(client, record):
    """Check a step's version labels, sample positions and repeated delivery."""
    assert "failed" not in record, record
    served_versions = set()
    for endpoint in endpoints_of(TRAINER_MODEL):
        state = await client.fleet.state(endpoint.name)
        ordered = {order["version"] for order in state["orders"]}
        served_versions |= {endpoint.version, state["version"], *ordered}
    samples = record["samples"]
    positions = {(sample["group"], sample["index"]) for sample in samples}
    assert len(positions) == len(samples) == SAMPLES
    assert record["same_when_fetched_again"]
    for sample in samples:
        assert sample["versions"] and set(sample["versions"]) <= served_versions


async def owner_of(client, step):
    fences = await client.rows(f"fence/step/{TRAINER}/{step}")
    (fence,) = fences.values()
    return fence["holder"].partition("/")[0]


async def step_has_ended(client, step, before):
    """Return whether a step has ended; check that its earlier samples are unchanged."""
    rows = await client.rows(f"sample/{TRAINER}/{step}/")
    (row,) = (await client.rows(f"step/{TRAINER}/{step}")).values()
    # The rows of a step may be removed once its trainer has acknowledged it.
    if row["state"] in (StepState.OPEN, StepState.SEALED):
        assert before.items() <= rows.items()
    return row["state"] != StepState.OPEN


@pytest.mark.proof("exactly-once", "killed")
async def test_successor_completes_the_step_of_a_killed_owner(client):
    """Guards against samples lost or replaced when the owner is killed."""
    step, before = await start_step(client)
    client.fleet.kill_entry(await owner_of(client, step))
    await client.until(lambda: step_has_ended(client, step, before))
    record = await wait_for_step(client, step)
    await check_step(client, record)


@pytest.mark.proof("exactly-once", "store-down")
@pytest.mark.parametrize("outage", ["killed", "frozen"])
async def test_step_outlives_an_outage_of_the_table(client, outage):
    """Guards against samples lost or delivered twice after an outage."""
    step, _ = await start_step(client)
    if outage == "killed":
        client.fleet.processes.kill("table")
        await client.fleet.restart("table")
    else:
        client.fleet.processes.signal("table", signal.SIGSTOP)
        # No status shows that instances miss the frozen table; refused bookings do.
        await client.until(lambda: refuses_bookings(client))
        client.fleet.processes.signal("table", signal.SIGCONT)
    await check_step(client, await wait_for_step(client, step))


async def refuses_bookings(client):
    return not (await client.book("entry-1", "while-frozen", 2.0)).ok
