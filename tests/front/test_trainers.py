"""Tests of the trainers' HTTP API."""

from types import SimpleNamespace

import msgspec
import pytest
from starlette.applications import Starlette

from plantainstack.front.middleware import RequestMiddleware, TokenRegistry
from plantainstack.front.trainers import routes
from plantainstack.policy.answer_memory import BodyMemory
from plantainstack.settings.fleet import FleetConfig
from plantainstack.settings.instance import Tokens
from tests.services.fleet import MODEL, TRAINER, Fleet

pytestmark = pytest.mark.anyio

BODY = {
    "step": "step-1",
    "model": MODEL,
    "policy_version": 7,
    "groups": [{"prompt": "text"}, {"prompt": [{"role": "user", "content": "text"}]}],
    "samples_per_group": 2,
}


@pytest.fixture
def app():
    fleet = Fleet()
    steps = SimpleNamespace(step_service=fleet.instance("a").step_service)
    settings = SimpleNamespace(
        tokens=lambda: Tokens({"c": "caller"}, {"t": TRAINER, "u": "other"}, {}),
        instance=SimpleNamespace(id="entry-1"),
    )
    kernel = SimpleNamespace(
        body_memory=BodyMemory(),
        settings=settings,
        config=FleetConfig.builtin(),
        clock=fleet.clock,
        plugin=lambda name: steps,
    )
    app = Starlette(routes=routes(kernel))
    return RequestMiddleware(app, kernel, TokenRegistry(settings.tokens()))


async def send(app, method, path, body=None, token="t"):
    """Send one request to the application; return status, headers and content."""
    headers = [(b"authorization", f"Bearer {token}".encode())]
    path = f"/v1/trainers/{TRAINER}/steps{path}"
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": headers,
    }
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    sent = []

    async def receive():
        return {"type": "http.request", "body": data, "more_body": False}

    async def respond(message):
        sent.append(message)

    await app(scope, receive, respond)
    answer_headers = {key.decode(): value.decode() for key, value in sent[0]["headers"]}
    return sent[0]["status"], answer_headers, msgspec.json.decode(sent[1]["body"])


async def test_step_is_opened_and_returned(app):
    """Guards against responses that differ from the documented API."""
    status, headers, opened = await send(app, "POST", "", BODY)
    assert status == 200 and opened["samples"] == 4
    assert headers["x-instance"] == "entry-1" and headers["x-request-id"]
    assert (await send(app, "GET", "/step-1"))[2] == opened
    status, headers, content = await send(app, "GET", "/step-1/samples")
    assert status == 409 and headers["retry-after"]
    assert content["error"]["kind"] == "step_not_sealed"
    assert content["error"]["outcome"] == "not_run"
    assert (await send(app, "GET", "/step-2"))[0] == 404
    assert (await send(app, "POST", "/step-1/ack"))[0] == 409


async def test_trainer_cannot_raise_the_configured_version_bound(app):
    """Guards against samples of weights older than the configured bound."""
    loose = {**BODY, "version_bound": 9}
    assert (await send(app, "POST", "", loose))[2]["version_bound"] == 1
    strict = {**BODY, "step": "step-2", "version_bound": 0}
    assert (await send(app, "POST", "", strict))[2]["version_bound"] == 0


@pytest.mark.parametrize(
    ("token", "status"), [("", 401), ("c", 403), ("x", 401), ("u", 403)]
)
async def test_trainer_api_requires_the_token_of_that_trainer(app, token, status):
    """Guards against access to a trainer's samples by other trainers or callers."""
    for method, path in (("POST", ""), ("GET", "/s"), ("GET", "/s/samples")):
        assert (await send(app, method, path, BODY, token))[0] == status


@pytest.mark.parametrize(
    "change",
    [
        {"step": "a/b"},
        {"step": 5},
        {"groups": []},
        {"groups": [{"text": "x"}]},
        {"samples_per_group": 0},
        {"samples_per_group": 10**6},
        {"max_tokens": 0},
        {"version_bound": -1},
        {"unknown": 1},
    ],
)
async def test_malformed_requests_are_rejected(app, change):
    """Guards against malformed requests that reach the table service."""
    status, _, content = await send(app, "POST", "", {**BODY, **change})
    assert status == 400
    assert content["error"]["kind"] == "bad_request"


async def test_deeply_nested_request_is_rejected(app):
    """Guards against a body that ends in an exception."""
    status, _, content = await send(app, "POST", "", b'{"more": ' + b"[" * 100_000)
    assert (status, content["error"]["kind"]) == (400, "bad_request")
