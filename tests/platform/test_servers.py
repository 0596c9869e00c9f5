"""Contract tests of the endpoint client, against raw bytes over loopback."""

import contextlib

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.serving import (
    EndpointAnswer,
    EndpointCall,
    LoadMode,
    OpenStream,
    OrderAnswer,
    VersionOrder,
)
from plantainstack.settings.options import Address
from tests.policy.serving_samples import endpoint

pytestmark = pytest.mark.anyio

ID = "Plantainstack-Request-Id: r1\r\n"
SEAL = "Plantainstack-Server-Seal: s\r\n"
VERSION = "Plantainstack-Weight-Versions: 6\r\n"
EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


def answer(status="200 OK", headers=ID + SEAL, body="hello", length=None):
    size = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {size}\r\n\r\n{body}"


def unframed(body, headers=ID + SEAL + VERSION):
    return f"HTTP/1.1 200 OK\r\n{headers}\r\n{body}"


def chunked(*parts, end=True):
    head = f"HTTP/1.1 200 OK\r\n{ID}{SEAL}{VERSION}Transfer-Encoding: chunked\r\n\r\n"
    chunks = "".join(f"{len(part):x}\r\n{part}\r\n" for part in parts)
    return head + chunks + ("0\r\n\r\n" if end else "")


class Script:
    """Answer each request with the next step: a text, or None to close instead.

    The connection is closed after a text that ends with `CLOSE`.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.requests = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    request = b""
                    while b"\r\n\r\n" not in request:
                        request += await stream.receive()
                    self.requests.append(request.decode())
                    step = self.steps.pop(0) if self.steps else None
                    if step is None:
                        return
                    await stream.send(step.removesuffix("CLOSE").encode())
                    if step.endswith("CLOSE"):
                        return


@contextlib.asynccontextmanager
async def serving(script):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = listener.extra(anyio.abc.SocketAttribute.local_address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, script.serve)
        client = PlatformEndpointClient(SystemClock())
        yield client, endpoint("i-1", address=Address(*address))
        await client.aclose()
        tasks.cancel_scope.cancel()
    await listener.aclose()


def call(clock=None, **changes):
    deadline = SystemClock().now() + 5.0
    found = EndpointCall("r1", "POST", "/a/x?q=1", "desk.example", (), b"", deadline)
    return found._replace(**changes)


async def call_endpoint(*steps, calls=1):
    script = Script(*steps)
    async with serving(script) as (client, target):
        outcomes = [await client.call(target, call()) for _ in range(calls)]
        return outcomes, script


async def test_request_has_the_endpoints_id_and_the_remaining_time():
    headers = (("X-Own", "kept"), ("Connection", "close"), ("Expect", "100-continue"))
    script = Script(answer())
    async with serving(script) as (client, target):
        outcome = await client.call(target, call(headers=headers, resume_after=4))
    assert outcome.unwrap().answer.body == b"hello"
    [request] = script.requests
    lines = request.lower().split("\r\n")
    assert lines[0] == "post /a/x?q=1 http/1.1"
    assert "host: desk.example" in lines
    assert "x-own: kept" in lines
    assert "plantainstack-expect-instance: i-1" in lines
    assert "last-event-id: 4" in lines
    assert not any(line.startswith(("connection", "expect:")) for line in lines)
    [left] = [line for line in lines if line.startswith("plantainstack-deadline-ms")]
    assert 0 < int(left.split(": ")[1]) <= 5000


async def test_take_up_headers_of_a_client_are_not_passed_on():
    """Guards against an endpoint that goes on where another stream was taken up."""
    headers = (("last-event-id", "9"), ("resumes", "r0"))
    script = Script(answer())
    async with serving(script) as (client, target):
        await client.call(target, call(headers=headers))
    [request] = script.requests
    assert "last-event-id" not in request.lower()
    assert "resumes" not in request.lower()


CLIENT_HEADERS = (
    ("Authorization", "Bearer k-secret"),
    ("plantainstack-tenant", "forged"),
    ("PLANTAINSTACK-REQUEST-PRIORITY", "0"),
    ("X-Own", "kept"),
)


async def sent_lines(**changes):
    script = Script(answer())
    async with serving(script) as (client, target):
        await client.call(target, call(headers=CLIENT_HEADERS, **changes))
    return script.requests[0].lower().split("\r\n")


@pytest.mark.parametrize(
    ("tenant", "priority", "expected"),
    [
        ("acme", 3, {"tenant: acme", "request-priority: 3"}),
        ("acme", None, {"tenant: acme"}),
        ("", None, set()),
        ("", 0, {"request-priority: 0"}),
    ],
)
async def test_endpoint_gets_the_tenant_but_never_the_key(tenant, priority, expected):
    """Guards against keys at endpoints, and against tenants that clients name."""
    lines = await sent_lines(tenant=tenant, priority=priority)
    found = {line.removeprefix("plantainstack-") for line in lines}
    kept = {"x-own: kept"} | expected
    assert {
        line
        for line in found
        if line.startswith(("tenant", "request-priority", "authorization", "x-own"))
    } == kept
    assert "k-secret" not in "".join(lines)


async def test_without_tenants_all_headers_of_clients_are_forwarded():
    """Guards against endpoints with their own keys that no longer get them."""
    lines = await sent_lines()
    assert {f"{name}: {text}".lower() for name, text in CLIENT_HEADERS} <= set(lines)


@pytest.mark.parametrize(
    ("step", "kind"),
    [
        (answer(headers="Plantainstack-Request-Id: r0\r\n" + SEAL), "answer_crossed"),
        (answer(headers=SEAL), "answer_crossed"),
        (answer(headers=ID), "answer_crossed"),
        (answer(headers=ID + SEAL + "Content-Encoding: gzip\r\n"), "answer_crossed"),
        (answer(length=50) + "CLOSE", "answer_truncated"),
        ("gibberish\r\n\r\nCLOSE", "endpoint_failed"),
        (None, "endpoint_failed"),
        (chunked("hello", end=False) + "CLOSE", "answer_truncated"),
    ],
)
async def test_mismatched_or_incomplete_answer_is_a_failure(step, kind):
    """Guards against wrong or truncated answers that reach a client as a success."""
    outcomes, _ = await call_endpoint(step)
    failure = outcomes[0].unwrap_err()
    assert failure.kind == ErrorKind(kind)
    assert failure.outcome is Outcome.MAY_HAVE_RUN


async def test_surplus_answer_is_not_used_for_the_next_request():
    """Guards against a late answer that is returned for another request."""
    late = answer(headers="Plantainstack-Request-Id: r0\r\n" + SEAL, body="other")
    script = Script(answer() + late, answer(body="mine"), answer(body="mine"))
    async with serving(script) as (client, target):
        await client.call(target, call())
        await anyio.sleep(0.05)
        second = await client.call(target, call())
    assert second.is_err() or second.unwrap().answer.body == b"mine"


async def test_connection_is_closed_after_a_crossed_answer():
    """Guards against answers that are one request late from then on.

    A second copy of the first answer arrives when the second request has been sent on
    the same connection, so the second answer would be read by the third request.
    """
    steps = [answer(), answer() + answer(headers=ID.replace("r1", "r2") + SEAL)]
    script = Script(*steps, answer(headers=ID.replace("r1", "r3") + SEAL))
    async with serving(script) as (client, target):
        outcomes = [
            await client.call(target, call(request_id=id)) for id in ("r1", "r2", "r3")
        ]
    assert outcomes[1].unwrap_err().kind is ErrorKind.ANSWER_CROSSED
    assert outcomes[2].is_ok()
    assert script.connections == 2


async def test_receipt_of_an_answer_is_decoded():
    """Guards against a score that is not the receipt of the answer."""
    outcomes, _ = await call_endpoint(answer())
    assert outcomes[0].unwrap().receipt == "s"


@pytest.mark.parametrize("status", ["503 Service Unavailable", "421 Misdirected"])
async def test_refused_requests_are_reported_as_not_run(status):
    refusal = answer(status, "Plantainstack-Not-Executed: 1\r\n", "")
    outcomes, _ = await call_endpoint(refusal)
    found = outcomes[0].unwrap()
    assert found.not_run


async def test_other_errors_are_not_reported_as_not_run():
    """Guards against `not_run` for a 503 without Plantainstack-Not-Executed."""
    outcomes, _ = await call_endpoint(answer("503 Service Unavailable"))
    assert not outcomes[0].unwrap().not_run


async def test_connection_that_was_closed_while_idle_is_replaced():
    """Guards against failures that are reported for a closed idle connection."""
    script = Script(answer() + "CLOSE", answer(body="again"))
    async with serving(script) as (client, target):
        await client.call(target, call())
        await anyio.sleep(0.05)
        second = await client.call(target, call())
    assert second.unwrap().answer.body == b"again"
    assert script.connections == 2
    assert len(script.requests) == 2


async def test_request_that_must_not_run_twice_uses_a_new_connection():
    """Guards against a request that is sent again after a stale connection."""
    script = Script(answer(), answer(), answer())
    async with serving(script) as (client, target):
        await client.call(target, call())
        await client.call(target, call(reuse_connection=False))
    assert script.connections == 2


async def test_load_report_is_decoded():
    outcomes, _ = await call_endpoint(
        answer(headers=ID + SEAL + "Plantainstack-Server-Load: 3,1,8\r\n")
    )
    assert outcomes[0].unwrap().load == (3, 1, 8, None)


async def test_load_report_with_the_slowness_of_the_machine_is_decoded():
    """Guards against a load report that is dropped because it has a fourth figure."""
    outcomes, _ = await call_endpoint(
        answer(headers=ID + SEAL + "Plantainstack-Server-Load: 3,1,8,125\r\n")
    )
    assert outcomes[0].unwrap().load == (3, 1, 8, 1.25)


async def read_stream(*steps):
    script = Script(*steps)
    async with serving(script) as (client, target):
        async with client.stream(target, call()) as opened:
            if opened.is_err() or isinstance(opened.unwrap(), EndpointAnswer):
                return opened, []
            stream = opened.unwrap()
            return stream.head, [event async for event in stream.events()]


@pytest.mark.parametrize(
    "step",
    [chunked(EVENTS), chunked(EVENTS[:7], EVENTS[7:]), unframed(EVENTS) + "CLOSE"],
)
async def test_complete_streams_are_read(step):
    head, events = await read_stream(step)
    assert head.version == 6
    assert [event.unwrap().data for event in events] == ["one", "two"]
    assert [event.unwrap().id for event in events] == [1, 2]


@pytest.mark.parametrize(
    "step",
    [
        chunked(EVENTS, end=False) + "CLOSE",
        chunked(EVENTS[:-4], end=False) + "CLOSE",
        unframed(EVENTS[:-4]) + "CLOSE",
    ],
)
async def test_truncated_streams_end_with_a_failure(step):
    """Guards against partial events and truncated streams that look complete."""
    _, events = await read_stream(step)
    assert events[-1].is_err()
    assert all(event.unwrap().data in ("one", "two") for event in events[:-1])


async def test_version_change_within_a_stream_is_read():
    """Guards against events that are labelled with the stream's first version only."""
    changed = "plantainstack-weight-versions: 7\nid: 3\ndata: three\n\n"
    _, events = await read_stream(chunked(EVENTS + changed))
    assert [event.unwrap().version for event in events] == [None, None, 7]


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        ("202 Accepted", OrderAnswer.ACCEPTED),
        ("200 OK", OrderAnswer.HOLDS),
        ("409 Conflict", OrderAnswer.CONFLICT),
        ("421 Misdirected", OrderAnswer.WRONG_ENDPOINT),
        ("412 Precondition Failed", OrderAnswer.REFUSED),
    ],
)
async def test_order_statuses_are_translated(status, expected):
    script = Script(answer(status, "", ""))
    order = VersionOrder("m0", 7, LoadMode.CONTINUE, "a", 3, 2)
    async with serving(script) as (client, target):
        outcome = await client.order(target, order, SystemClock().now() + 1.0)
    assert outcome.unwrap() is expected
    assert '"expected":2' in script.requests[0]
    assert '"mode":"retain"' in script.requests[0]


async def test_report_is_decoded():
    body = '{"models":[{"name":"m0","version":4}],"busy":true,"seq":9}'
    script = Script(answer("200 OK", "", body))
    async with serving(script) as (client, target):
        found = (await client.report(target, SystemClock().now() + 1.0)).unwrap()
    assert (found.versions, found.busy, found.orders_seen) == ({"m0": 4}, True, 9)


async def test_refused_connection_is_reported_as_not_run():
    async with serving(Script()) as (client, target):
        pass
    failure = (await client.call(target, call())).unwrap_err()
    assert failure.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("text", "limit"),
    [("1.5", 1.5), ("0", 0.0), ("4", 4.0), ("many", None), ("-1", None), ("nan", None)],
)
async def test_limit_of_an_endpoint_is_read_from_its_answer(text, limit):
    """Guards against a limit that is lost, and an unreadable one that does harm."""
    headers = f"{ID}{SEAL}Server-Limit: {text}\r\n"
    [outcome], _ = await call_endpoint(answer(headers=headers))
    assert outcome.unwrap().rate_limit == limit
    [outcome], _ = await call_endpoint(answer("503 Full", headers + NOT_EXECUTED))
    assert outcome.unwrap().rate_limit == limit


NOT_EXECUTED = "Plantainstack-Not-Executed: full\r\n"


@pytest.mark.parametrize(
    "step",
    [
        f"HTTP/1.1 200 OK\r\n{ID}{SEAL}Content-Length: {'9' * 5000}\r\n\r\nx",
        f"HTTP/1.1 200 OK\r\n{ID}{SEAL}Content-Length: -1\r\n\r\nx",
        f"HTTP/1.1 200 OK\r\n{ID}{SEAL}Content-Length: ²\r\n\r\nx",
        f"HTTP/1.1 200 OK\r\n{ID}{SEAL}Transfer-Encoding: chunked\r\n\r\n"
        + "f" * 5000
        + "\r\nx",
        f"HTTP/1.1 200 OK\r\n{ID}{SEAL}Transfer-Encoding: chunked\r\n\r\n²\r\nx",
        f"HTTP/1.1 99999 OK\r\n{ID}{SEAL}\r\nx",
        f"HTTP/1.1 ² OK\r\n{ID}{SEAL}\r\nx",
        f"HTTP/{'9' * 5000}.1 200 OK\r\n{ID}{SEAL}\r\nx",
    ],
)
async def test_odd_numbers_in_the_head_of_an_answer_are_a_failure(step):
    """Guards against an exception in place of a failure, which ends the process."""
    outcomes, _ = await call_endpoint(step + "CLOSE")
    assert outcomes[0].unwrap_err().outcome is Outcome.MAY_HAVE_RUN


LEAVING = "Server-Leaving: 1\r\n"
OTHER_ID = "Plantainstack-Request-Id: r0\r\n"


async def leaving_endpoints(step, send):
    """Return the ids of the endpoints of whose leaving an answer told."""
    found = []
    async with serving(Script(step)) as (client, target):
        client.notify_leaving(lambda endpoint: found.append(endpoint.id))
        await send(client, target)
    return found


async def send_call(client, target):
    await client.call(target, call())


async def send_stream(client, target):
    async with client.stream(target, call()) as opened:
        if isinstance(opened.ok(), OpenStream):
            _ = [event async for event in opened.unwrap().events()]


async def send_order(client, target):
    order = VersionOrder("m0", 2, LoadMode.CONTINUE, "a", 1, 0)
    await client.order(target, order, SystemClock().now() + 5.0)


async def send_report(client, target):
    await client.report(target, SystemClock().now() + 5.0)


@pytest.mark.parametrize(
    ("step", "send"),
    [
        (answer(headers=ID + SEAL + LEAVING), send_call),
        (answer("500 Failed", ID + LEAVING), send_call),
        (answer("503 Full", ID + NOT_EXECUTED + LEAVING), send_call),
        (answer("503 Full", NOT_EXECUTED + LEAVING), send_call),
        (unframed(EVENTS, ID + SEAL + VERSION + LEAVING), send_stream),
        (answer("422 Never", ID + LEAVING), send_stream),
        (answer("202 Accepted", LEAVING, ""), send_order),
        (answer(headers=LEAVING, body="{}"), send_report),
        (answer(headers=ID + SEAL + LEAVING, length=9) + "CLOSE", send_call),
    ],
)
async def test_leaving_is_read_from_each_kind_of_answer(step, send):
    """Guards against missing that an endpoint leaves because of the request's kind."""
    assert await leaving_endpoints(step, send) == ["i-1"]


@pytest.mark.parametrize(
    "headers",
    [
        ID + SEAL,
        OTHER_ID + SEAL + LEAVING,
        ID + SEAL + "Server-Leaving: 0\r\n",
        ID + SEAL + "Server-Leaving:\r\n",
        ID + SEAL + "Server-Leaving: yes\r\n",
        ID + SEAL + "Server-Leaving: 11\r\n",
    ],
)
async def test_odd_or_crossed_leaving_header_takes_no_endpoint_away(headers):
    """Guards against avoiding an endpoint that has not said that it leaves."""
    assert await leaving_endpoints(answer(headers=headers), send_call) == []


async def test_leaving_in_the_answer_of_another_endpoint_takes_none_away():
    """Guards against a leaving endpoint at an address that is in use again."""
    step = answer("421 Misdirected", ID + NOT_EXECUTED + LEAVING)
    assert await leaving_endpoints(step, send_call) == []
