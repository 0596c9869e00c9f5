"""Tests of the server that runs as a task of the kernel."""

import anyio
import pytest

from plantainstack.front.server import FrontServer
from plantainstack.policy.client_budget import READ_SIZE
from plantainstack.settings.options import Address

pytestmark = pytest.mark.anyio


class CountingServer(FrontServer):
    ticks = 0

    async def on_tick(self, counter):
        self.ticks += 1
        return await super().on_tick(counter)


async def test_idle_server_does_not_wake_up():
    """Guards against processor time of idle instances, which have three servers."""
    server = CountingServer(None, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_closed)
        await anyio.sleep(0.5)
        assert server.ticks <= 1
        with anyio.fail_after(5.0):
            await server.close()


async def test_chunked_body_after_a_pipelined_request_is_received():
    """Guards against taking a body for that of the request answered before it."""

    async def app(scope, receive, send):
        body = b""
        while (message := await receive()).get("more_body"):
            body += message["body"]
        body += message["body"]
        headers = [(b"content-length", str(len(body)).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": body})

    server = FrontServer(app, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_closed)
        with anyio.fail_after(5.0):
            async with await anyio.connect_tcp(*server.address) as conn:
                head = (
                    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                await conn.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" + head)
                answer = b""
                while not answer.endswith(b"\r\n\r\n"):
                    answer += await conn.receive()
                await conn.send(b"3\r\nabc\r\n0\r\n\r\n")
                answer = b""
                while not answer.endswith(b"abc"):
                    answer += await conn.receive()
            await server.close()


async def test_reading_stays_paused_after_the_body_of_a_refused_request():
    """Guards against a connection that is read without bound while it is parsed."""

    async def app(scope, receive, send):
        while scope["path"] == "/" and (await receive()).get("more_body"):
            pass
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 431, "headers": headers})
        await send({"type": "http.response.body"})

    # Of the 16 events parsed at once, the last one is the head of the refused request.
    short = b"GET /refused HTTP/1.1\r\nHost: a\r\n\r\n" * 5
    refused = b"POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = b"1\r\na\r\n" * 20_000
    server = FrontServer(app, Address("127.0.0.1", 0))
    budget = server.config.client_budget
    most = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_closed)
        with anyio.fail_after(20.0):
            async with await anyio.connect_tcp(*server.address) as conn:
                tasks.start_soon(conn.send, short + refused + head + chunks)
                while not most or budget.unparsed:
                    await anyio.sleep(0)
                    most = max(most, budget.unparsed)
            await server.close()
    assert most <= READ_SIZE
