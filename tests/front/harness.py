"""Run the HTTP servers on loopback, with fake services behind them."""

import contextlib
import json
from pathlib import Path
from typing import NamedTuple

import anyio
import httpcore

from plantainstack.front.plugin import Front
from plantainstack.kernel import Kernel, State
from plantainstack.services.bookings import Bookings
from plantainstack.services.dispatch import Dispatch
from plantainstack.settings.instance import parse_instance
from tests.fakes import PLATFORM_FAKES, endpoints

TOKENS = """\
[callers]
member = caller-token
[trainers]
permits = trainer-token
[operators]
night = operator-token
"""
SETTINGS = """\
[instance]
id = entry-1
data_centre = bergen-a
listen = 127.0.0.1:0
operator_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
[platform]
table = 127.0.0.1:1
objects = 127.0.0.1:1
instances = 127.0.0.1:1
weights = 127.0.0.1:1
scorer = 127.0.0.1:1
[credentials]
tokens = {tokens}
peer_key = {tokens}
"""
PLUGINS = (*PLATFORM_FAKES, Dispatch, Bookings, Front)


class Response(NamedTuple):
    """An HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        return json.loads(self.body)

    def error(self):
        return self.json()["error"]


class Client:
    """Send requests to a running instance."""

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.pool = httpcore.AsyncConnectionPool()

    def url(self, path, operator=False):
        front = self.kernel.plugin("front")
        server = front.operator_server if operator else front.server
        return f"http://{server.address}{path}"

    async def send(
        self, method, path, body=b"", token="caller-token", operator=False, **headers
    ):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        if token:
            named["Authorization"] = f"Bearer {token}"
        url = self.url(path, operator)
        response = await self.pool.request(
            method, url, headers=_encoded(named), content=content
        )
        found = {
            name.decode().lower(): value.decode() for name, value in response.headers
        }
        return Response(response.status, found, response.content)


def _encoded(headers):
    return [(name.encode(), text.encode("latin-1")) for name, text in headers.items()]


def settings_for(directory: Path):
    """Return instance settings, with the tokens written to a directory."""
    tokens = directory / "tokens.ini"
    tokens.write_text(TOKENS)
    return parse_instance(SETTINGS.format(tokens=tokens), "entry.ini")


@contextlib.asynccontextmanager
async def running(directory: Path, plugins=PLUGINS, clock=None):
    """Run a kernel with the plug-in `front` on loopback and yield a client for it."""
    kernel = Kernel(settings_for(directory), plugins, clock)
    kernel.plugin("front").notice_s = 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(kernel.run, False)
        while kernel.state is not State.SERVING:
            await anyio.sleep(0)
        kernel.emit("endpoints", endpoints())
        client = Client(kernel)
        try:
            yield client
        finally:
            kernel.request_stop()
            await client.pool.aclose()
