"""Tests of the errors for bad requests, while other requests run."""

import json
import time

import anyio
import pytest

from plantainstack.errors import ERROR_TABLE, ErrorKind
from plantainstack.settings.fleet import FleetConfig, FleetContent
from tests.front.harness import running
from tests.front.test_callers import BODY, PATH, events_of

pytestmark = pytest.mark.anyio

PLAIN = "/services/booking-app/book"
PAST = str(int(time.time() * 1000) - 1000)


def completion(**changes):
    return {"path": PATH, "body": BODY | changes}


async def chunks(count):
    for _ in range(count):
        yield b"x" * 65536


CASES = {
    "malformed JSON": ({"path": PATH, "body": b'{"model": '}, "bad_request"),
    "not an object": ({"path": PATH, "body": b"[]"}, "bad_request"),
    "not UTF-8": ({"path": PATH, "body": b'{"model": "\xff"}'}, "bad_request"),
    "nested deeply": (
        {"path": PATH, "body": b'{"more": ' + b"[" * 100_000},
        "bad_request",
    ),
    "unknown field": (completion(best_of=2), "bad_request"),
    "wrong type": (completion(stream="yes"), "bad_request"),
    "unknown role": (
        completion(messages=[{"role": "x", "content": ""}]),
        "bad_request",
    ),
    "no messages": (completion(messages=[]), "bad_request"),
    "no tokens": (completion(max_tokens=0), "bad_request"),
    "several answers": (completion(n=2), "bad_request"),
    "unknown model": (completion(model="x"), "unknown_service"),
    "large body": ({"path": PLAIN, "body": b"x" * (1024**2 + 1)}, "body_too_large"),
    "large headers": ({"path": PLAIN, "X_Pad": "x" * 40_000}, "headers_too_large"),
    "past deadline": (
        {"path": PLAIN, "X_Request_Deadline": PAST},
        "deadline_passed",
    ),
    "no deadline": ({"path": PLAIN, "X_Request_Deadline": "soon"}, "bad_request"),
    "request id": ({"path": PLAIN, "X_Request_Id": "a b"}, "bad_request"),
    "long key": ({"path": PLAIN, "Idempotency_Key": "k" * 256}, "bad_request"),
    "unknown service": ({"path": "/services/x/book"}, "unknown_service"),
    "quoted service": ({"path": "/services/booking-app%2Fx/book"}, "not_found"),
    "unknown path": ({"path": "/v2/chat"}, "not_found"),
    "no token": ({"path": PATH, "token": None}, "unauthenticated"),
    "unknown token": ({"path": PATH, "token": "x"}, "unauthenticated"),
    "trainer's token": ({"path": PATH, "token": "trainer-token"}, "forbidden"),
    "operator's token": ({"path": PATH, "token": "operator-token"}, "forbidden"),
    "caller as trainer": ({"path": "/v1/trainers/permits/steps"}, "forbidden"),
    "another trainer": (
        {"path": "/v1/trainers/other/steps", "token": "trainer-token"},
        "forbidden",
    ),
    "caller as operator": (
        {"path": "/operator/config", "operator": True},
        "forbidden",
    ),
    "trainer as operator": (
        {"path": "/operator/config", "operator": True, "token": "trainer-token"},
        "forbidden",
    ),
}


async def test_bad_requests_get_the_listed_errors_and_harm_no_stream(tmp_path):
    """Guards against unlisted errors and against the loss of a running stream."""
    async with running(tmp_path) as client:
        engine = client.kernel.plugin("links").fake_engine
        engine.gate = anyio.Event()
        others = []

        async def read():
            others.append(await client.send("POST", PATH, BODY | {"stream": True}))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            while not engine.requests:
                await anyio.sleep(0)
            replies = {
                name: await client.send("POST", **request)
                for name, (request, _) in CASES.items()
            }
            engine.gate.set()
        after = await client.send("POST", PATH, BODY)
        calls = client.kernel.plugin("links").fake_plain.calls
    for name, (_, kind) in CASES.items():
        answer = ERROR_TABLE[ErrorKind(kind)]
        seen = (replies[name].error()["kind"], replies[name].status)
        assert seen == (kind, answer.status), name
        assert replies[name].error()["outcome"] == "not_run", name
        assert {"x-request-id", "x-instance", "x-attempts"} <= set(
            replies[name].headers
        )
    assert events_of(others[0])[-1] == "[DONE]"
    assert after.status == 200
    assert (calls, len(engine.requests)) == ([], 2)


@pytest.mark.parametrize(
    ("sent", "kind"),
    [
        (b"nonsense\r\n\r\n", "bad_request"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 70_000, "headers_too_large"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", "bad_request"),
    ],
)
async def test_invalid_http_gets_an_error_and_closes_the_connection(
    tmp_path, sent, kind
):
    async with running(tmp_path) as client:
        address = client.kernel.plugin("front").server.address
        async with await anyio.connect_tcp(*address) as conn:
            await conn.send(sent)
            received = b"".join([part async for part in conn])
    assert json.loads(received.split(b"\r\n\r\n", 1)[1])["error"]["kind"] == kind


async def test_chunked_body_is_limited(tmp_path):
    async with running(tmp_path) as client:
        headers = [("Authorization", "Bearer caller-token")]
        url = client.url(PLAIN)
        reply = await client.pool.request(
            "POST", url, headers=headers, content=chunks(17)
        )
    assert reply.status == 413


@pytest.mark.parametrize("path", [PLAIN, PATH])
async def test_body_that_does_not_fit_beside_others_is_refused(tmp_path, path):
    """Guards against a burst of bodies that takes the memory of an instance."""
    async with running(tmp_path) as client:
        memory = client.kernel.body_memory
        calls = client.kernel.plugin("links").fake_plain.calls
        with memory.reserve() as held:
            held.grow_to(memory.total - 5000)
            whole = await client.send("POST", path, b"x" * 5001)
            headers = [("Authorization", "Bearer caller-token")]
            part = await client.pool.request(
                "POST", client.url(path), headers=headers, content=chunks(1)
            )
        after = await client.send("POST", path, BODY)
    for status, text in ((whole.status, whole.body), (part.status, part.content)):
        error = json.loads(text)["error"]
        assert (status, error["kind"]) == (503, "overloaded")
        assert error["outcome"] == "not_run"
    assert whole.headers["retry-after"]
    assert (after.status, len(calls)) == (200, 1 if path == PLAIN else 0)
    assert memory.held == 0


async def test_service_can_require_an_idempotency_key(tmp_path):
    async with running(tmp_path) as client:
        content = FleetContent(defaults={"require_key": "yes"}, exceptions=[])
        client.kernel.apply_config(FleetConfig(1, content))
        reply = await client.send("POST", PLAIN)
    assert (reply.status, reply.error()["kind"]) == (400, "key_required")
