"""A step while its owner is killed and while the table service is away."""

import signal

import pytest

from plantainstack.policy.samples import StepState
from tests.processes.harness import endpoints_of
from tools.demo_fleet import TRAINER, TRAINER_MODEL

pytestmark = pytest.mark.anyio

SAMPLES = 32


async def begin_step(world):
    """Start a step, and return it with the samples committed by mid-step."""
    number = (await world.fleet.state("trainer"))["wanted"] + 1
    step = f"step-{number:04d}"
    await world.fleet.request_steps(1)

    async def committed():
        return await world.rows(f"sample/{TRAINER}/{step}/")

    return step, await world.until(committed)


async def end_step(world, step):
    async def found():
        steps = (await world.fleet.state("trainer"))["steps"]
        return [each for each in steps if each["step"] == step]

    (record,) = await world.until(found)
    return record


async def check_step(world, record):
    """Check the labels, the places and the second delivery."""
    assert "failed" not in record, record
    served = set()
    for each in endpoints_of(TRAINER_MODEL):
        state = await world.fleet.state(each.name)
        ordered = {order["version"] for order in state["orders"]}
        served |= {each.version, state["version"], *ordered}
    samples = record["samples"]
    places = {(each["group"], each["index"]) for each in samples}
    assert len(places) == len(samples) == SAMPLES
    assert record["same_when_fetched_again"]
    for each in samples:
        assert each["versions"] and set(each["versions"]) <= served


async def owner_of(world, step):
    fences = await world.rows(f"fence/step/{TRAINER}/{step}")
    (fence,) = fences.values()
    return fence["holder"].partition("/")[0]


async def keeps_samples(world, step, before):
    """Return whether the step is over, and check that its samples stay."""
    rows = await world.rows(f"sample/{TRAINER}/{step}/")
    (row,) = (await world.rows(f"step/{TRAINER}/{step}")).values()
    # The rows of a step may be removed once its trainer has acknowledged it.
    if row["state"] in (StepState.OPEN, StepState.SEALED):
        assert before.items() <= rows.items()
    return row["state"] != StepState.OPEN


@pytest.mark.proof("exactly-once", "killed")
async def test_successor_completes_the_step_of_a_killed_owner(world):
    """Guards against samples lost or replaced when the owner dies."""
    step, before = await begin_step(world)
    world.fleet.kill_entry(await owner_of(world, step))
    await world.until(lambda: keeps_samples(world, step, before))
    record = await end_step(world, step)
    await check_step(world, record)


@pytest.mark.proof("exactly-once", "store-down")
@pytest.mark.parametrize("outage", ["killed", "frozen"])
async def test_step_outlives_an_outage_of_the_table(world, outage):
    """Guards against samples lost or delivered twice after an outage."""
    step, _ = await begin_step(world)
    if outage == "killed":
        world.fleet.processes.kill("table")
        await world.fleet.restart("table")
    else:
        world.fleet.processes.signal("table", signal.SIGSTOP)
        # No condition shows how long a frozen table has been missed.
        await world.until(lambda: refuses_bookings(world))
        world.fleet.processes.signal("table", signal.SIGCONT)
    await check_step(world, await end_step(world, step))


async def refuses_bookings(world):
    return not (await world.book("entry-1", "while-frozen", 2.0)).ok
