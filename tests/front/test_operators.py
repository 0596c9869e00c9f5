"""Tests of the operators' HTTP API."""

import json

import pytest
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure
from plantainstack.plugins import Plugin
from plantainstack.policy.configuration import HistoryItem
from tests.front.harness import PLUGINS, running

pytestmark = pytest.mark.anyio

OPERATOR = {"token": "operator-token", "operator": True}
CHANGE = {"change_id": "c1", "base_version": 0, "defaults": {}, "exceptions": []}
EXCEPTION = {
    "name": "x",
    "option": "drain",
    "value": "yes",
    "scope": {"endpoint": "engine-1"},
    "reason": "",
}


class FakeConfiguration(Plugin, register=False):
    """Accept changes that are based on version 0."""

    name = "configuration"

    async def change(self, change_id, base_version, content, author):
        if base_version:
            return Err(Failure.of(ErrorKind.CONFLICT, "version 1 by day"))
        return Ok(1)

    async def history(self, limit):
        return Ok([HistoryItem(1, "c1", "day", 0.0, ["retry_ratio"])][:limit])


@pytest.fixture
async def client(tmp_path):
    async with running(tmp_path, (*PLUGINS, FakeConfiguration)) as client:
        kernel = client.kernel
        kernel.trace.record("r1", "request.answered", attempts=1)
        kernel.plugin("membership").members = {"entry-1": None, "entry-2": None}
        kernel.burn.count("booking-app", True, kernel.clock.wall())
        yield client


@pytest.mark.parametrize(
    ("token", "status"),
    [(None, 401), ("unknown", 401), ("caller-token", 403), ("trainer-token", 403)],
)
@pytest.mark.parametrize("path", ["/operator/config", "/operator/burn"])
async def test_operator_api_requires_an_operators_token(client, token, status, path):
    """Guards against operator access with a caller's or trainer's token."""
    answer = await client.send("GET", path, token=token, operator=True)
    assert answer.status == status
    assert answer.error()["outcome"] == "not_run"


@pytest.mark.parametrize(
    ("change", "status", "message"),
    [
        (CHANGE, 200, None),
        (CHANGE | {"base_version": 9}, 409, "version 1 by day"),
        (CHANGE | {"defaults": {"nothing": "1"}}, 400, "unknown option"),
        (CHANGE | {"exceptions": [EXCEPTION]}, 400, "written reason"),
        (CHANGE | {"extra": 1}, 400, "extra"),
        ([], 400, "object"),
        (b"{", 400, "truncated"),
        (b'{"exceptions": ' + b"[" * 100_000, 400, None),
    ],
)
async def test_configuration_changes_are_validated(client, change, status, message):
    answer = await client.send("PUT", "/operator/config", change, **OPERATOR)
    assert answer.status == status
    assert message is None or message in answer.error()["message"]


async def test_instance_without_an_answer_is_listed_as_missing(client):
    """Guards against reports that omit an instance without saying so."""
    answer = await client.send("GET", "/operator/trace/r1", **OPERATOR)
    trace = json.loads(answer.body)
    assert [event["name"] for event in trace["events"]] == ["request.answered"]
    assert trace["missing"] == ["entry-2"]
    burn = (await client.send("GET", "/operator/burn", **OPERATOR)).json()
    assert burn["services"][0]["burns"][0]["good"] == 1
    assert burn["missing"] == ["entry-2"]


async def test_history_items_are_objects(client):
    """Guards against history items that are encoded as lists."""
    answer = await client.send("GET", "/operator/history?limit=5", **OPERATOR)
    assert answer.json()["history"][0]["author"] == "day"


@pytest.mark.parametrize("limit", ["x", "-1", "%C2%B2", "9" * 5000])
async def test_limit_of_the_history_that_is_no_number_is_a_bad_request(client, limit):
    """Guards against an exception for digits that are no number."""
    path = f"/operator/history?limit={limit}"
    assert (await client.send("GET", path, **OPERATOR)).status == 400
