"""Tests against endpoints whose bytes belong to no request, or to another one."""

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.serving import RequestKind
from tests.platform.test_answer_deadlines import front
from tests.platform.test_ingress import connected
from tests.platform.test_servers import (
    ID,
    NOT_EXECUTED,
    SEAL,
    Script,
    answer,
    call,
    serving,
)

pytestmark = pytest.mark.anyio

SECOND_ID = ID.replace("r1", "r2")
NAMELESS_SUCCESS = answer(headers=SEAL, body="ok")


async def call_twice(*steps, pause_s=0.0):
    """Return the outcome of the second of two requests, and the script."""
    script = Script(*steps)
    async with serving(script) as (client, target):
        await client.call(target, call())
        await anyio.sleep(pause_s)
        outcome = await client.call(target, call(request_id="r2"))
    return outcome, script


@pytest.mark.parametrize(
    "late",
    [
        answer("503 Full", ID + NOT_EXECUTED),
        answer("429 Many", ID + NOT_EXECUTED),
        answer("421 Misdirected", ID + NOT_EXECUTED),
        answer("421 Misdirected", ID),
        answer("503 Full", NOT_EXECUTED),
        answer("421 Misdirected", ""),
    ],
    ids=["503", "429", "421", "bare-421", "nameless-503", "nameless-421"],
)
async def test_refusal_of_another_request_is_not_that_of_this_one(late):
    """Guards against "not run" for a request that runs."""
    second = answer(headers=SECOND_ID + SEAL)
    outcome, script = await call_twice(answer(), late + second)
    assert len(script.requests) == 2
    failure = outcome.unwrap_err()
    assert failure.kind is ErrorKind.ANSWER_CROSSED
    assert failure.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "spoiled",
    [
        "HTTP/1.1 500 Failed\r\nContent-Length: many\r\n\r\n",
        "gibberish\r\n\r\n",
        "\x00\x01\r\n\r\n" + answer("500 Failed", SECOND_ID),
        "HTTP/1.1 200 OK\r\n" + SECOND_ID + "CLOSE",
        None,
    ],
    ids=["bad-length", "gibberish", "bytes-before", "cut-head", "closed"],
)
async def test_request_is_sent_once_to_an_endpoint_whose_answer_is_spoiled(spoiled):
    """Guards against a success where the endpoint had answered with a failure."""
    second = answer(headers=SECOND_ID + SEAL)
    outcome, script = await call_twice(answer(), spoiled, second)
    assert len(script.requests) == 2
    assert outcome.unwrap_err().outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "surplus",
    [answer(), NAMELESS_SUCCESS, answer("503 Full", NOT_EXECUTED), "gibberish", "\r\n"],
    ids=["copy", "nameless", "refusal", "gibberish", "empty-line"],
)
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_connection_with_surplus_bytes_is_not_used_again(surplus, pause_s):
    """Guards against requests that are lost to the bytes behind an earlier answer."""
    steps = [answer() + surplus, answer(headers=SECOND_ID + SEAL, body="mine")]
    outcome, script = await call_twice(*steps, pause_s=pause_s)
    assert outcome.unwrap().answer.body == b"mine"
    assert script.connections == 2


@pytest.mark.parametrize("ids", [SECOND_ID + ID, ID + SECOND_ID], ids=["first", "last"])
async def test_answer_with_two_ids_belongs_to_neither_request(ids):
    """Guards against an answer whose head is joined from two."""
    outcome, _ = await call_twice(answer(), answer(headers=ids + SEAL))
    assert outcome.unwrap_err().kind is ErrorKind.ANSWER_CROSSED


@pytest.mark.parametrize("status", ["200 OK", "503 Full"], ids=["200", "503"])
async def test_nothing_of_a_nameless_answer_is_believed(status):
    """Guards against the announcement in an answer to another request."""
    nameless = answer(status, SEAL + NOT_EXECUTED + "Server-Leaving: 1\r\n")
    left = []
    async with serving(Script(answer(), nameless)) as (client, target):
        client.notify_leaving(left.append)
        await client.call(target, call())
        outcome = await client.call(target, call(request_id="r2"))
    assert outcome.is_err()
    assert left == []


async def test_repeated_request_uses_a_new_connection():
    """Guards against a late copy of an earlier answer, which has the same id."""
    second = answer(headers=SECOND_ID + SEAL)
    late = answer("500 Failed", ID)
    script = Script(late, second, answer(body="mine"), late, second)
    async with serving(script) as (client, target):
        await client.call(target, call())
        await client.call(target, call(request_id="r2"))
        outcome = await client.call(target, call())
    assert outcome.unwrap().answer.body == b"mine"
    assert script.connections == 2


async def test_report_is_not_read_from_the_answer_to_a_request():
    """Guards against a late second answer that is taken for a report."""
    late = answer(body='{"models":[],"busy":false,"seq":9}')
    script = Script(answer() + late, answer("200 OK", "", '{"seq":1}'))
    async with serving(script) as (client, target):
        await client.call(target, call())
        found = await client.report(target, SystemClock().now() + 1.0)
    assert found.unwrap().orders_seen == 1
    assert script.connections == 2


@pytest.mark.parametrize("status", ["503 Full", "429 Many", "408 Late"])
@pytest.mark.parametrize("kind", [RequestKind.UNSAFE, RequestKind.STREAM])
async def test_status_that_promises_not_to_run_is_kept_from_a_request_that_ran(
    status, kind
):
    """Guards against a client that sends a request again which has run."""
    script = Script(answer(status, ID + SEAL))
    async with front(kind, 5.0, script.serve, resumable=False) as kernel:
        async with connected(kernel) as conn:
            found, headers, _ = await conn.request(
                "GET", "/t/x", Plantainstack_Request_Id="r1"
            )
    assert found == 502
    assert "plantainstack-server-seal" not in headers
    assert len(script.requests) == 1
