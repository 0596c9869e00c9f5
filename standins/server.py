"""Serve stand-ins with uvicorn, in their own process or in the event loop of a test."""

import contextlib
import socket
from collections.abc import AsyncIterator

import anyio
import uvicorn

from plantainstack.settings.options import Address
from standins.base import Standin

GRACEFUL_SHUTDOWN_S = 1
START_POLL_S = 0.002


class _LoopServer(uvicorn.Server):
    """Server that installs no signal handlers, which belong to the test process."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


def run(standin: Standin, address: Address) -> None:
    """Serve a stand-in until the process receives SIGINT or SIGTERM."""
    config = _config(standin, GRACEFUL_SHUTDOWN_S, "error")
    config.host, config.port = address
    uvicorn.Server(config).run()


@contextlib.asynccontextmanager
async def serving(standin: Standin) -> AsyncIterator[Address]:
    """Serve a stand-in on a free loopback port, in the running event loop."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    server = _LoopServer(_config(standin, 0))
    failure = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [sock])
        while not server.started:
            await anyio.sleep(START_POLL_S)
        try:
            yield Address(*sock.getsockname())
        except Exception as exc:
            # Raised outside the task group, which would wrap it in an exception group.
            failure = exc
        finally:
            server.should_exit = True
    if failure is not None:
        raise failure


def _config(standin: Standin, shutdown_s: int, log_level="critical") -> uvicorn.Config:
    return uvicorn.Config(
        standin.app(),
        log_level=log_level,
        access_log=False,
        lifespan="on",
        timeout_graceful_shutdown=shutdown_s,
    )
