"""Tests of the operators' command-line client against real processes."""

import json

import anyio
import pytest
from click.testing import CliRunner

from plantainstack.__main__ import main
from plantainstack.commands.client import ExitCode

pytestmark = pytest.mark.anyio

ENTRY = "entry-1"
DRAINED = "shops-1"


@pytest.fixture
def run(client, tmp_path):
    token = tmp_path / "token"
    token.write_text(client.fleet.operator_token)
    server = str(client.fleet.operators.addresses[ENTRY])

    async def invoke(*args, codes=(ExitCode.OK,)):
        command = ["--server", server, "--token-file", str(token), "--json", *args]
        result = await anyio.to_thread.run_sync(CliRunner().invoke, main, command)
        assert result.exit_code in codes, result.output
        return json.loads(result.output)

    return invoke


async def test_an_instance_accepts_every_command(client, run):
    """Guards against a client and a daemon with different message formats."""
    reply = await client.look_up(ENTRY)
    assert reply.ok
    status = await run("status")
    assert {item["id"] for item in status["members"]} >= {ENTRY}
    assert {item["id"] for item in status["endpoints"]} >= {DRAINED}
    assert "steps" in await run("steps")
    accepted = await run("config", "set", "slo_target", "0.998")
    shown = await run("config", "show")
    assert shown["values"]["slo_target"] == "0.998"
    assert (await run("config", "status"))[ENTRY] == accepted["version"]
    history = (await run("config", "history"))["history"]
    assert history[0]["version"] == accepted["version"]
    assert history[0]["author"] == "operator"
    # Other tests on this fleet make requests fail, so an alert is a valid result.
    burn = await run("report", "burn", codes=(ExitCode.OK, ExitCode.FAILED))
    services = {item["service"]: item for item in burn["services"]}
    assert services["booking-app"]["target"] == 0.998
    assert "events" in await run("trace", "unknown")


async def test_a_drained_endpoint_gets_no_work_until_the_drain_is_undone(client, run):
    """Guards against a drain that is accepted and has no effect."""

    async def state():
        endpoints = (await run("status"))["endpoints"]
        return {item["id"]: item["state"] for item in endpoints}[DRAINED]

    async def is_leaving():
        return await state() == "leaving"

    async def is_live():
        return await state() == "live"

    await run("drain", DRAINED, "--reason", "test")
    await client.until(is_leaving)
    references = [f"drained-{number}" for number in range(8)]
    before = (await client.fleet.state(DRAINED))["runs"]
    await client.book_all(ENTRY, references, {})
    assert (await client.fleet.state(DRAINED))["runs"] == before
    await run("drain", DRAINED, "--undo")
    await client.until(is_live)
