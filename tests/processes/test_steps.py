"""A step while its owner is killed and while the table service is away."""

import signal

import pytest

from plantainstack.policy.samples import StepState
from tests.processes.harness import endpoints_of
from tools.demo_fleet import TRAINER, TRAINER_MODEL

pytestmark = pytest.mark.anyio

SAMPLES = 32


async def start_step(client):
    """Start a step, and return it with the samples committed by mid-step."""
    number = (await client.fleet.state("trainer"))["wanted"] + 1
    step = f"step-{number:04d}"
    await client.fleet.want_steps(1)

    async def committed():
        return await client.rows(f"sample/{TRAINER}/{step}/")

    return step, await client.until(committed)


async def wait_for_step(client, step):
    async def found():
        steps = (await client.fleet.state("trainer"))["steps"]
        return [each for each in steps if each["step"] == step]

    (record,) = await client.until(found)
    return record


async def check_step(client, record):
    """Check the labels, the places and the second delivery."""
    assert "failed" not in record, record
    served = set()
    for each in endpoints_of(TRAINER_MODEL):
        state = await client.fleet.state(each.name)
        ordered = {order["version"] for order in state["orders"]}
        served |= {each.version, state["version"], *ordered}
    samples = record["samples"]
    places = {(each["group"], each["index"]) for each in samples}
    assert len(places) == len(samples) == SAMPLES
    assert record["same_when_fetched_again"]
    for each in samples:
        assert each["versions"] and set(each["versions"]) <= served


async def owner_of(client, step):
    fences = await client.rows(f"fence/step/{TRAINER}/{step}")
    (fence,) = fences.values()
    return fence["holder"].partition("/")[0]


async def step_has_ended(client, step, before):
    """Return whether the step is over, and check that its samples stay."""
    rows = await client.rows(f"sample/{TRAINER}/{step}/")
    (row,) = (await client.rows(f"step/{TRAINER}/{step}")).values()
    # The rows of a step may be removed once its trainer has acknowledged it.
    if row["state"] in (StepState.OPEN, StepState.SEALED):
        assert before.items() <= rows.items()
    return row["state"] != StepState.OPEN


@pytest.mark.proof("exactly-once", "killed")
async def test_successor_completes_the_step_of_a_killed_owner(client):
    """Guards against samples lost or replaced when the owner dies."""
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
        # No condition shows how long a frozen table has been missed.
        await client.until(lambda: refuses_bookings(client))
        client.fleet.processes.signal("table", signal.SIGCONT)
    await check_step(client, await wait_for_step(client, step))


async def refuses_bookings(client):
    return not (await client.book("entry-1", "while-frozen", 2.0)).ok
