"""Tests of the client for duties against a stand-in of the platform's interface."""

import contextlib
import errno
import socket
import threading

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.duties import CapacityOrder, DutyAnswer, DutyGrant, UsageReport
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.platform import duties
from plantainstack.platform.duties import PlatformDutyClient
from plantainstack.policy import call_pace
from plantainstack.settings.node import DutyOptions
from plantainstack.settings.options import Address
from standins.duties import DutiesStandin
from standins.server import serving

pytestmark = pytest.mark.anyio

REPORT = UsageReport(353445120, {"hule930": 412})
ORDER = CapacityOrder("models", "dc-a", 3, True)


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(duties, "CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(call_pace, "BACKOFF_MIN_S", 0.02)


def grant(seconds=10.0):
    return DutyGrant("a", 3, SystemClock().now() + seconds)


def client_of(address):
    options = DutyOptions(
        address=address,
        kinds=("usage_report", "scaling"),
        calls_per_s=50.0,
        usage_window=5.0,
        usage_due=10.0,
    )
    return PlatformDutyClient(options, SystemClock())


@contextlib.asynccontextmanager
async def client_and_standin():
    standin = DutiesStandin()
    async with serving(standin) as address:
        yield client_of(address), standin


async def test_calls_have_the_platforms_format():
    """Guards against calls that the platform does not understand."""
    async with client_and_standin() as (client, standin):
        assert (await client.report_usage(REPORT, grant())).unwrap() == "accepted"
        assert (await client.order_capacity(ORDER, grant())).unwrap() == "accepted"
    usage, scale = standin.ledger.calls
    assert (usage.path, usage.holder, usage.fence) == ("/usage", "a", 3)
    assert usage.content == {"window": 353445120, "counts": {"hule930": 412}}
    assert scale.path == "/scale"
    assert scale.content == {
        "backend": "models",
        "zone": "dc-a",
        "group_count": 3,
        "spot": True,
    }


async def test_answers_are_told_apart():
    """Guards against an order that counts as placed although none are available."""
    async with client_and_standin() as (client, standin):
        standin.ledger.sold_out = {"dc-a"}
        found = await client.order_capacity(ORDER, grant())
        assert found.unwrap() is DutyAnswer.NONE_AVAILABLE
        standin.ledger.busy = True
        found = await client.order_capacity(ORDER, grant())
        assert found.unwrap_err().outcome is Outcome.NOT_RUN
        standin.ledger.busy, standin.silent = False, True
        found = await client.order_capacity(ORDER, grant())
        assert found.unwrap_err().kind is ErrorKind.ANSWER_TIMEOUT
        standin.silent, standin.loses_answers = False, True
        found = await client.order_capacity(ORDER, grant())
        assert found.unwrap_err().outcome is Outcome.MAY_HAVE_RUN


async def test_no_byte_is_sent_after_the_grant():
    """Guards against a call of a former holder, sent after a pause."""
    async with client_and_standin() as (client, standin):
        found = await client.report_usage(REPORT, grant(-0.01))
        assert found.unwrap_err().outcome is Outcome.NOT_RUN
        assert standin.ledger.calls == []


async def test_call_that_is_given_up_resets_its_connection():
    """Guards against a call that is held up on its way and delivered much later."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = client_of(Address(*server.getsockname()))
        found = await client.report_usage(REPORT, grant())
        assert found.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
        conn, _ = server.accept()
        with conn, pytest.raises(ConnectionResetError):
            while conn.recv(65536):
                pass


async def test_calls_wait_for_the_back_off_or_end_with_their_grant():
    """Guards against a platform that is kept busy by rejected calls."""
    async with client_and_standin() as (client, standin):
        standin.ledger.busy = True
        for _ in range(4):
            await client.report_usage(REPORT, grant())
        found = await client.report_usage(REPORT, grant(0.01))
        assert found.unwrap_err().outcome is Outcome.NOT_RUN
        assert found.unwrap_err().retry_after_s > 0.0
        assert len(standin.ledger.calls) == 4


async def test_unreachable_platform_is_a_failure():
    """Guards against an exception where nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = Address(*server.getsockname())
    found = await client_of(address).report_usage(REPORT, grant())
    assert found.unwrap_err().outcome is Outcome.NOT_RUN


async def test_name_of_the_platform_is_looked_up_beside_the_event_loop(monkeypatch):
    """Guards against a process that stands still while a name server is silent."""
    look_up = socket.getaddrinfo
    threads = []

    def getaddrinfo(host, *args, **kwargs):
        if host in ("platform.test", b"platform.test"):
            threads.append(threading.get_ident())
            host = "127.0.0.1"
        return look_up(host, *args, **kwargs)

    monkeypatch.setattr(socket, "getaddrinfo", getaddrinfo)
    standin = DutiesStandin()
    async with serving(standin) as address:
        client = client_of(Address("platform.test", address.port))
        assert (await client.report_usage(REPORT, grant())).is_ok()
    assert threads
    assert threading.get_ident() not in threads


async def test_process_without_free_descriptors_reports_a_failed_call(monkeypatch):
    """Guards against an exception that ends the loop of a duty."""
    client = client_of(Address("127.0.0.1", 1))

    def refuse(*args, **kwargs):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(duties.socket, "socket", refuse)
    failure = (await client.report_usage(REPORT, grant())).unwrap_err()
    assert failure.kind is ErrorKind.ENDPOINT_FAILED
    assert failure.outcome is Outcome.NOT_RUN


async def test_call_that_its_caller_gives_up_counts_as_a_failure(monkeypatch):
    """Guards against a slow platform that gets calls without a back-off."""
    monkeypatch.setattr(call_pace, "BACKOFF_MIN_S", 1.0)
    async with client_and_standin() as (client, standin):
        standin.silent = True
        with anyio.move_on_after(0.1) as scope:
            await client.order_capacity(ORDER, grant())
        assert scope.cancelled_caught
        found = await client.order_capacity(ORDER, grant(0.3))
        assert found.unwrap_err().kind is ErrorKind.OVERLOADED
        assert found.unwrap_err().retry_after_s > 0.0
