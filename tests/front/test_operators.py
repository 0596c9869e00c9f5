"""Tests of the operators' HTTP."""

from types import SimpleNamespace
from typing import NamedTuple

import pytest
from result import Err, Ok
from starlette.applications import Starlette
from starlette.testclient import TestClient

from plantainstack.clock import FakeClock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.front.operators import routes
from plantainstack.kernel import Kernel
from plantainstack.plugins import Plugin
from plantainstack.settings.instance import Tokens

HEADERS = {"Authorization": "Bearer op-token"}
CHANGE = {"change_id": "c1", "base_version": 0, "defaults": {}, "exceptions": []}
EXCEPTION = {
    "name": "x",
    "option": "drain",
    "value": "yes",
    "scope": {"endpoint": "engine-1"},
    "reason": "",
}


class FakeSettings(NamedTuple):
    """Hold just what the operators' HTTP needs."""

    instance: SimpleNamespace

    def tokens(self):
        return Tokens({"caller-token": "member"}, {}, {"op-token": "night"})


class FakeMembership(Plugin):
    """Know one other member."""

    name = "membership"

    def view(self):
        return SimpleNamespace(members={"entry-1": None, "entry-2": None})


class FakePeers(Plugin):
    """Answer every query as a silent instance would."""

    name = "peers"

    async def ask(self, peer_id, message, deadline):
        return Err(Failure.of(ErrorKind.ANSWER_TIMEOUT, "silent"))


class FakeConfiguration(Plugin):
    """Accept changes that are based on version 0."""

    name = "configuration"

    async def change(self, change_id, base_version, content, author):
        if base_version:
            return Err(Failure.of(ErrorKind.CONFLICT, "version 1 by day"))
        return Ok(1)


@pytest.fixture
def client():
    plugins = [FakeMembership, FakePeers, FakeConfiguration]
    settings = FakeSettings(SimpleNamespace(id="entry-1"))
    kernel = Kernel(settings, plugins, FakeClock())
    kernel.trace.record("r1", "request.answered", attempts=1)
    kernel.burn.count("booking-app", True, kernel.clock.wall())
    return TestClient(Starlette(routes=routes(kernel)))


@pytest.mark.parametrize(
    "headers", [{}, {"Authorization": "Bearer caller-token"}, {"Authorization": "x"}]
)
@pytest.mark.parametrize("path", ["/operator/config", "/operator/burn"])
def test_only_operators_get_in(client, headers, path):
    """Guards against a caller's credential that opens the operators' paths."""
    answer = client.get(path, headers=headers)
    assert answer.status_code == 401
    assert answer.json()["error"]["outcome"] == "not_run"


@pytest.mark.parametrize(
    ("change", "status", "message"),
    [
        (CHANGE, 200, None),
        (CHANGE | {"base_version": 9}, 409, "version 1 by day"),
        (CHANGE | {"defaults": {"nothing": "1"}}, 400, "unknown option"),
        (CHANGE | {"exceptions": [EXCEPTION]}, 400, "written reason"),
        (CHANGE | {"extra": 1}, 400, "extra"),
        ([], 400, "object"),
    ],
)
def test_changes(client, change, status, message):
    answer = client.put("/operator/config", json=change, headers=HEADERS)
    assert answer.status_code == status
    assert message is None or message in answer.json()["error"]["message"]


def test_a_silent_instance_is_named_and_does_not_hide_the_rest(client):
    """Guards against a report that looks complete without an instance."""
    trace = client.get("/operator/trace/r1", headers=HEADERS).json()
    assert [event["name"] for event in trace["events"]] == ["request.answered"]
    assert trace["missing"] == ["entry-2"]
    burn = client.get("/operator/burn", headers=HEADERS).json()
    assert burn["services"][0]["burns"][0]["good"] == 1
    assert burn["missing"] == ["entry-2"]
