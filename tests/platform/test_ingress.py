"""Tests of the HTTP interface for the platform's clients, over loopback."""

import asyncio
import base64
import contextlib
import itertools
import socket
import tracemalloc

import anyio
import msgspec
import pytest
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.front import gateway as gateway_module
from plantainstack.front.gateway import Gateway
from plantainstack.interfaces import PlainAnswer
from plantainstack.platform import names, responses
from plantainstack.services.batch_reads import ReadSource, ResultPage
from plantainstack.serving import (
    ClientLimits,
    EndpointAnswer,
    ItemResult,
    ItemState,
    RequestKind,
)
from plantainstack.settings.options import Address
from tests.platform.samples import lot
from tests.policy.serving_samples import route
from tests.services.store_fleet import CONFIG, FakePlatform, new_kernel, until

pytestmark = pytest.mark.anyio

ANY_PORT = Address("127.0.0.1", 0)
BROKEN = Failure.of(ErrorKind.ANSWER_TRUNCATED, "scripted")
LIMITS = ClientLimits(2000, 10_000, 0.2, 0.5)


@contextlib.asynccontextmanager
async def gateway(platform):
    async with anyio.create_task_group() as tasks:
        kernel = new_kernel(platform, "a", (Gateway,))
        options = kernel.settings.instance
        options.listen = options.probe_listen = options.metrics_listen = ANY_PORT
        tasks.start_soon(kernel.run, False)
        await until(lambda: kernel.unready_reason() is None)
        yield kernel
        tasks.cancel_scope.cancel()


class RawConnection:
    """Send requests as raw bytes and parse the responses."""

    def __init__(self, stream):
        self.stream = stream
        self.buffer = b""

    async def request(self, method, path, body=b"", **headers):
        await self.send(method, path, body, **headers)
        return await self.answer()

    async def send(self, method, path, body=b"", **headers):
        lines = [f"{method} {path} HTTP/1.1", "Host: desk.example"]
        lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        await self.stream.send("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    async def answer(self):
        with anyio.fail_after(10):
            while b"\r\n\r\n" not in self.buffer:
                self.buffer += await self.stream.receive()
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            pairs = dict(line.lower().split(": ", 1) for line in lines[1:])
            size = int(pairs.get("content-length", 0))
            while len(self.buffer) < size:
                self.buffer += await self.stream.receive()
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return int(lines[0].split()[1]), pairs, body


def test_refusal_says_when_to_come_back():
    """Guards against clients that return while their request is still refused."""
    failure = Failure.of(ErrorKind.OVERLOADED, "scripted")
    headers = responses.failure_response(failure._replace(retry_after_s=4.2)).headers
    assert ("Retry-After", "4.2") in headers


@contextlib.asynccontextmanager
async def connected(kernel, server=0):
    address = kernel.plugin("gateway")._servers[server].address
    async with await anyio.connect_tcp(*address) as stream:
        yield RawConnection(stream)


async def test_requests_on_one_connection_are_forwarded():
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        for number in range(3):
            status, headers, body = await conn.request(
                "POST", "/s/x?q=1", b"hello", Plantainstack_Request_Id=f"r{number}"
            )
            assert status == 200
            assert headers["plantainstack-request-id"] == f"r{number}"
            assert body in (b"e1", b"e2")


async def test_unknown_route_gets_404_and_unready_instance_503():
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        assert (await conn.request("GET", "/nowhere/x"))[0] == 404
        kernel.plugin("discovery").serving = None
        status, headers, _ = await conn.request("GET", "/s/x")
        assert status == 503
        assert float(headers["retry-after"]) > 0


async def test_request_that_may_have_run_is_not_reported_as_not_run():
    """Guards against a status that wrongly states that a request did not run."""
    platform = FakePlatform()
    platform.client.statuses = {"e1": BROKEN, "e2": BROKEN}
    async with gateway(platform) as kernel, connected(kernel) as conn:
        assert (await conn.request("GET", "/s/x"))[0] in (502, 504)
        platform.client.statuses = {"e1": 503, "e2": 503}
        assert (await conn.request("GET", "/s/x"))[0] == 503


async def test_batches_are_submitted_read_and_ended():
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        body = msgspec.json.encode(lot(items=4, min_version=1))
        request_id = {"Plantainstack_Request_Id": "b1"}
        assert (await conn.request("POST", "/a/x", body, **request_id))[0] == 202
        assert (await conn.request("POST", "/a/x", body, **request_id))[0] == 202
        found = []
        with anyio.fail_after(10):
            while len(found) < 4:
                status, _, content = await conn.request(
                    "GET",
                    f"{names.LOTS_PATH}b1?after={len(found)}",
                    Plantainstack_Wait_Ms=500,
                )
                assert status == 200
                page = msgspec.json.decode(content)
                assert page["next"] == len(found) + len(page["results"])
                found += page["results"]
        assert page["total"] == 4
        assert {each["state"] for each in found} == {"completed"}
        status, _, body = await conn.request("GET", f"{names.ITEMS_PATH}b1?id=item-1")
        assert (status, body) == (200, b"\xab\xcd")
        for _ in range(2):
            assert (await conn.request("DELETE", f"{names.LOTS_PATH}b1"))[0] == 200
        assert (await conn.request("GET", f"{names.ITEMS_PATH}b1?id=item-1"))[0] == 404
        assert (await conn.request("GET", f"{names.LOTS_PATH}b1?after=2"))[0] == 200
        assert (await conn.request("GET", f"{names.LOTS_PATH}b9"))[0] == 404


@pytest.mark.parametrize("character", ["x", "\n", "\u8bad", "\U0001f6b2"])
async def test_page_of_results_keeps_to_its_limit_whatever_the_texts(character):
    """Guards against pages above 1 MB, with several bytes a character or escapes."""
    text = character * (60_000 // len(character.encode()))
    listed = [ItemResult(f"i{n}", ItemState.COMPLETED, text, (1,)) for n in range(40)]

    async def results(batch_id, after, wait_s, tenant):
        return Ok(ResultPage(len(listed), listed[after:], ReadSource.MEMORY))

    async with gateway(FakePlatform()) as kernel, connected(kernel) as conn:
        kernel.plugin("batches").results = results
        found = []
        while len(found) < len(listed):
            path = f"{names.LOTS_PATH}b1?after={len(found)}"
            status, _, content = await conn.request("GET", path)
            assert (status, len(content) <= 1_000_000) == (200, True)
            page = msgspec.json.decode(content)
            found += page["results"]
            assert page["next"] == len(found)
        assert {each["output"] for each in found} == {text}


async def test_invalid_batch_is_a_bad_request():
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        request_id = {"Plantainstack_Request_Id": "b1"}
        assert (await conn.request("POST", "/a/x", b"{}", **request_id))[0] == 400
        assert platform.rows.parts("batches") == []


NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "body", [NESTED, b'{"requests": ' + NESTED + b"}", b'{"group_count": 1e999}']
)
async def test_batch_that_cannot_be_decoded_is_a_bad_request(body):
    """Guards against a body that ends in an exception, so that it is sent again."""
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        request_id = {"Plantainstack_Request_Id": "b1"}
        assert (await conn.request("POST", "/a/x", body, **request_id))[0] == 400
        assert platform.rows.parts("batches") == []


@pytest.mark.parametrize("number", ["\xb2", "9" * 1900, "-1", "x"])
async def test_unreadable_numbers_of_a_request_count_as_missing(number):
    """Guards against requests that end without an answer because of a header."""
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        more = {"Plantainstack_Deadline_Ms": number, "Plantainstack_Wait_Ms": number}
        assert (await conn.request("GET", "/s/x", **more))[0] == 200
        body = msgspec.json.encode(lot(items=2, min_version=1))
        request_id = {"Plantainstack_Request_Id": "b1"}
        assert (await conn.request("POST", "/a/x", body, **request_id))[0] == 202
        path = f"{names.LOTS_PATH}b1?after=0"
        assert (await conn.request("GET", path, **more))[0] == 200


@pytest.mark.parametrize("after", ["%C2%B2", "9" * 5000, "-1", "x"])
async def test_unreadable_position_is_a_bad_request(after):
    """Guards against results that are returned for another position."""
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        path = f"{names.LOTS_PATH}b1?after={after}"
        assert (await conn.request("GET", path))[0] == 400


async def test_batch_reads_get_503_while_the_store_is_unavailable():
    """Guards against `not found` for a batch that another instance accepted."""
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        kernel.plugin("store").metadata_store.unavailable = True
        assert (await conn.request("GET", f"{names.LOTS_PATH}b9"))[0] == 503


async def test_oversized_bodies_and_headers_are_rejected():
    """Guards against memory exhaustion by one client."""
    platform = FakePlatform()
    platform.config = CONFIG._replace(limits=LIMITS)
    async with gateway(platform) as kernel:
        async with connected(kernel) as conn:
            assert (await conn.request("POST", "/s/x", b"x" * 20_000))[0] == 413
        async with connected(kernel) as conn:
            assert (await conn.request("GET", "/s/x", X_Long="y" * 3000))[0] == 431


async def test_burst_of_long_bodies_is_refused_as_not_run_beyond_its_memory():
    """Guards against bodies, each within its limit, that take all memory together."""
    platform = FakePlatform()
    body = b"x" * 1000
    async with gateway(platform) as kernel, anyio.create_task_group() as tasks:
        memory = kernel.body_memory
        memory.total = 5500
        platform.client.statuses = dict.fromkeys(("e1", "e2"), anyio.Event())
        answers = []

        async def one():
            async with connected(kernel) as conn:
                answers.append(await conn.request("POST", "/s/x", body))
                answers.append(await conn.request("GET", "/s/x"))

        for _ in range(12):
            tasks.start_soon(one)
        await until(lambda: len(answers) == 7)
        assert memory.held == 5000
        assert [status for status, _, _ in answers] == [503] * 7
        assert all("retry-after" in headers for _, headers, _ in answers)
        await until(lambda: len(platform.client.sent_calls) >= 12)
        assert sum(call.body == body for call in platform.client.sent_calls) == 5
        for event in platform.client.statuses.values():
            event.set()
    assert [status for status, _, _ in answers[7:]] == [200] * 17
    assert memory.held == 0


@contextlib.asynccontextmanager
async def slow_reader(kernel):
    """Yield a connection of which the kernel keeps only little that is not read."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, kernel.plugin("gateway")._servers[0].address)
        await loop.sock_sendall(
            sock, b"GET /s/x HTTP/1.1\r\nHost: desk.example\r\n\r\n"
        )
        yield lambda: loop.sock_recv(sock, 65536)


async def test_large_answers_that_clients_do_not_read_keep_to_their_memory():
    """Guards against complete answers that pile up in the buffers of connections."""
    platform = FakePlatform()
    size = 4_000_000
    clients = 24

    async def call(endpoint, call):
        held = kernel.answer_memory.reserve(endpoint.id)
        held.grow(size)
        if held.reason:
            return Err(Failure(ErrorKind.ENDPOINT_FAILED, "", Outcome.MAY_HAVE_RUN))
        return Ok(EndpointAnswer(PlainAnswer(200, [], bytes(size), held), False, None))

    platform.client.call = call
    async with gateway(platform) as kernel, contextlib.AsyncExitStack() as stack:
        memory = kernel.answer_memory
        memory.total = memory.share = 10_000_000
        tracemalloc.start()
        readers = []
        for _ in range(clients):
            readers.append(await stack.enter_async_context(slow_reader(kernel)))
            await anyio.sleep(0.03)
        now, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert now < memory.total + clients * 150_000
        assert peak < memory.total + clients * 150_000 + size
        assert memory.held == 2 * size
        complete = 0
        for read in readers:
            received = 0
            with anyio.fail_after(20.0), contextlib.suppress(ConnectionError):
                while received < size and (data := await read()):
                    received += len(data)
            complete += received >= size
        assert complete == 2
        await until(lambda: memory.held == 0)


async def test_large_answer_to_a_client_that_stops_reading_is_ended():
    """Guards against clients that keep answers in memory for as long as they like."""
    platform = FakePlatform()
    platform.config = CONFIG._replace(limits=LIMITS)

    async def call(endpoint, call):
        answer = PlainAnswer(200, [], bytes(20_000_000))
        return Ok(EndpointAnswer(answer, False, None))

    platform.client.call = call
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await conn.send("GET", "/s/x")
        await conn.stream.receive()
        await until(lambda: kernel.plugin("gateway").ingress.open_requests == 1)
        await until(lambda: kernel.plugin("gateway").ingress.open_requests == 0, 5.0)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await conn.answer()


async def test_answer_whose_last_part_is_not_read_is_ended():
    """Guards against an answer kept for ever by a client that leaves out its end."""
    platform = FakePlatform()
    platform.config = CONFIG._replace(limits=LIMITS)
    size = 3 * responses.PIECE_BYTES

    async def call(endpoint, call):
        return Ok(EndpointAnswer(PlainAnswer(200, [], bytes(size)), False, None))

    parts = []

    async def send(message):
        if message.get("more_body") is False:
            await anyio.sleep_forever()
        parts.append(message.get("body", b""))

    async def receive():
        return messages.pop() if messages else await anyio.sleep_forever()

    messages = [{"type": "http.request", "body": b"", "more_body": False}]
    scope = {
        "method": "GET",
        "raw_path": b"/s/x",
        "query_string": b"",
        "headers": [(b"host", b"desk.example")],
    }
    platform.client.call = call
    async with gateway(platform) as kernel:
        with anyio.fail_after(5.0), pytest.raises(BaseExceptionGroup) as raised:
            await kernel.plugin("gateway").ingress(scope, receive, send)
        assert raised.group_contains(responses.StreamAborted)
    assert sum(map(len, parts)) == size


async def test_declared_body_without_memory_is_refused_before_it_is_sent():
    """Guards against a long body that is received only to be refused."""
    async with gateway(FakePlatform()) as kernel, connected(kernel) as conn:
        kernel.body_memory.total = 5000
        with kernel.body_memory.reserve() as held:
            held.grow_to(4000)
            head = (
                "POST /s/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1001\r\n"
            )
            await conn.stream.send(f"{head}\r\n".encode())
            status, headers, _ = await conn.answer()
    assert (status, "retry-after" in headers) == (503, True)


async def test_larger_incomplete_body_is_given_up_with_a_truthful_refusal():
    """Guards against bodies that stop short of their end and keep others out."""
    async with gateway(FakePlatform()) as kernel, connected(kernel) as conn:
        kernel.body_memory.total = 5000
        head = "POST /s/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4000\r\n"
        await conn.stream.send(f"{head}\r\n".encode() + bytes(3900))
        await until(lambda: kernel.body_memory.held == 3900)
        async with connected(kernel) as other:
            assert (await other.request("POST", "/s/x", bytes(1500)))[0] == 200
        assert (await conn.answer())[0] == 503


async def test_batch_whose_records_never_fit_here_is_refused_as_not_run():
    """Guards against many small items, whose records take ten times their size."""
    async with gateway(FakePlatform()) as kernel, connected(kernel) as conn:
        kernel.memory_budget.total = 3000
        body = msgspec.json.encode(lot(items=20))
        headers = {"Plantainstack_Request_Id": "b-1"}
        status, _, _ = await conn.request("POST", "/a/", body, **headers)
    assert status == 503


async def test_batch_that_cannot_be_stored_in_memory_is_refused_as_not_run():
    """Guards against copies for the store that end a process of little memory."""
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        content = lot(items=1, min_version=1)
        content["requests"][0]["body"] = base64.b64encode(bytes(300_000)).decode()
        body = msgspec.json.encode(content)
        headers = {"Plantainstack_Request_Id": "b-1"}
        for total, status in ((1_000_000, 503), (1_300_000, 202)):
            kernel.memory_budget.total = total
            assert (await conn.request("POST", "/a/", body, **headers))[0] == status
            assert bool(platform.rows.parts("batches")) == (status == 202)
        assert kernel.body_memory.held == 0


@pytest.mark.parametrize(
    ("sent", "status"),
    [(b"GET /s/x HT", 408), (b"POST /s/x HTTP/1.1\r\nHost: a\r\n", 408)],
)
async def test_slow_request_heads_close_the_connection(sent, status):
    """Guards against connections that clients occupy without sending a request."""
    platform = FakePlatform()
    platform.config = CONFIG._replace(limits=LIMITS)
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await conn.stream.send(sent)
        assert (await conn.answer())[0] == status
        with pytest.raises(anyio.EndOfStream):
            await conn.stream.receive()


async def test_idle_connections_and_stalled_bodies_are_closed():
    """Guards against connections that stay open forever."""
    platform = FakePlatform()
    platform.config = CONFIG._replace(limits=LIMITS)
    async with gateway(platform) as kernel:
        async with connected(kernel) as conn:
            with anyio.fail_after(10), pytest.raises(anyio.EndOfStream):
                await conn.stream.receive()
        async with connected(kernel) as conn:
            head = b"POST /s/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"
            await conn.stream.send(head)
            assert (await conn.answer())[0] == 408


@pytest.mark.parametrize(
    "smuggled",
    [
        b"POST /s/x HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"POST /s/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n",
        b"GET /s/x HTTP/1.1\r\nHost : a\r\n\r\n",
        b"GET /s/x HTTP/1.1\r\n bad: a\r\n\r\n",
    ],
)
async def test_ambiguous_requests_reach_no_endpoint(smuggled):
    """Guards against request smuggling: a second request hidden in the first."""
    platform = FakePlatform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await conn.stream.send(smuggled)
        assert (await conn.answer())[0] in (400, 501)
        assert platform.client.calls == []


async def test_disconnect_cancels_the_request():
    """Guards against endpoints that work on requests of disconnected clients."""
    platform = FakePlatform()
    begun = anyio.Event()
    ended = anyio.Event()

    async def silent():
        begun.set()
        try:
            await anyio.sleep_forever()
        finally:
            ended.set()

    platform.client.statuses = {"e1": silent, "e2": silent}
    async with gateway(platform) as kernel:
        async with connected(kernel) as conn:
            await conn.send("GET", "/s/x")
            with anyio.fail_after(10):
                await begun.wait()
        with anyio.fail_after(10):
            await ended.wait()


async def test_readiness_and_metrics_are_served():
    platform = FakePlatform()
    async with gateway(platform) as kernel:
        async with connected(kernel, 1) as conn:
            assert (await conn.request("GET", names.READY_PATH))[0] == 200
        async with connected(kernel, 2) as conn:
            status, _, body = await conn.request("GET", "/metrics")
            assert status == 200
            assert b"plantainstack_requests_total" in body


async def test_draining_instance_finishes_running_requests():
    """Guards against requests that are cut off by a planned shutdown."""
    platform = FakePlatform()
    released = anyio.Event()

    async def held():
        await released.wait()
        return 200

    platform.client.statuses = {"e1": held, "e2": held}
    async with gateway(platform) as kernel:
        async with connected(kernel) as conn, connected(kernel, 1) as probe:
            await conn.send("GET", "/s/x")
            await until(lambda: platform.client.calls)
            kernel.request_stop()
            await until(lambda: kernel.unready_reason() == "draining")
            assert (await probe.request("GET", names.READY_PATH))[0] == 503
            released.set()
            status, headers, _ = await conn.answer()
            assert (status, headers["connection"]) == (200, "close")


class Callers:
    """Send requests until the instance closes, and record the answered ones."""

    def __init__(self, kernel):
        self.kernel = kernel
        self.statuses = {}

    async def ask(self, conn, id):
        """Send a request; return whether the connection may be used again."""
        status, headers, _ = await conn.request(
            "GET", "/s/x", Plantainstack_Request_Id=id
        )
        self.statuses[id] = status
        return headers.get("connection") != "close"

    async def open_connections(self, caller):
        """Open a connection for each request until nobody listens."""
        for number in itertools.count():
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                try:
                    async with connected(self.kernel) as conn:
                        await self.ask(conn, f"new-{caller}-{number}")
                except OSError:
                    return

    async def keep_connection(self, caller):
        """Send all requests on one connection until it is closed."""
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with connected(self.kernel) as conn:
                for number in itertools.count():
                    if not await self.ask(conn, f"kept-{caller}-{number}"):
                        return
                    await anyio.sleep(0.01)


async def test_planned_stop_under_load_cuts_off_no_request_that_was_passed_on(
    monkeypatch,
):
    """Guards against requests that were just accepted and get no answer.

    A request that crosses the close may go unanswered only if no endpoint has got it.
    """
    monkeypatch.setattr(gateway_module, "DRAIN_NOTICE_S", 0.5)
    platform = FakePlatform()

    async def slow():
        await anyio.sleep(0.4)

    platform.client.statuses |= {"e1": slow, "e2": slow}
    async with gateway(platform) as kernel, anyio.create_task_group() as tasks:
        callers = Callers(kernel)
        for caller in range(10):
            tasks.start_soon(callers.open_connections, caller)
            tasks.start_soon(callers.keep_connection, caller)
        await anyio.sleep(0.3)
        kernel.request_stop()
        await until(lambda: kernel.state == "stopped")
    passed_on = {id for id, _ in platform.client.calls}
    outcomes = {id: callers.statuses.get(id) for id in passed_on}
    assert len(outcomes) >= 20
    assert {id: status for id, status in outcomes.items() if status != 200} == {}


def stream_platform(**options):
    platform = FakePlatform()
    found = route(RequestKind.STREAM, name="r-stream", prefix="/t/", **options)
    platform.config = CONFIG._replace(routes=(*CONFIG.routes, found))
    return platform


async def test_client_that_takes_up_a_stream_gets_no_event_again():
    """Guards against a take-up that begins at the first event."""
    platform = stream_platform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await conn.request(
            "POST",
            "/t/x",
            Plantainstack_Request_Id="r2",
            Last_Event_Id="2",
            Resumes="r1",
        )
    resumed = [after for _, _, after in platform.client.opened_streams]
    assert resumed == [2]


async def test_refused_take_up_says_that_it_did_not_run_and_when_to_come_back():
    """Guards against a 404, or a text that begins again, when a version has left."""
    platform = stream_platform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await until(lambda: platform.rows.parts("stream_bases"))
        platform.endpoints = {
            id: found._replace(software="W") for id, found in platform.endpoints.items()
        }
        view = kernel.plugin("discovery").view
        await until(lambda: view.known == platform.endpoints)
        status, headers, _ = await conn.request(
            "POST", "/t/x", Last_Event_Id="2", Resumes="r1"
        )
    assert status == 503
    assert float(headers["retry-after"]) > 0.0
    assert platform.client.opened_streams == []


@pytest.mark.parametrize("text", ["x", "-1", "\u00b2", "9" * 5000])
async def test_take_up_after_an_unreadable_event_gets_400(text):
    """Guards against a stream that begins again, and against an exception."""
    platform = stream_platform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        status, _, _ = await conn.request(
            "POST", "/t/x", Last_Event_Id=text, Resumes="r1"
        )
    assert status == 400
    assert platform.client.opened_streams == []


async def test_take_up_on_a_route_without_resumption_is_a_new_stream():
    """Guards against event ids that are skipped where streams cannot be resumed."""
    platform = stream_platform(resumable=False)
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await conn.request("POST", "/t/x", Last_Event_Id="2", Resumes="r1")
    assert [after for _, _, after in platform.client.opened_streams] == [None]
