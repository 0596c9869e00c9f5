"""Contract tests of the stand-in for a platform server, over loopback."""

import contextlib
import json

import anyio
import pytest

from plantainstack.adapters.http import HttpClient
from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind
from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.platform.store import PlatformStore
from plantainstack.serving import EndpointCall
from standins.faults import Action, Fault
from standins.metadata_store import MetadataStoreStandin
from standins.platform_endpoint import (
    ENDPOINT_TABLE,
    PlatformEndpointOptions,
    PlatformEndpointStandin,
    odd_registrations,
    text_software,
)
from standins.server import serving

pytestmark = pytest.mark.anyio

OPTIONS = PlatformEndpointOptions("i-1", events=3)


@contextlib.asynccontextmanager
async def registered(options=OPTIONS):
    """Serve an endpoint that is registered in a store."""
    standin, store = PlatformEndpointStandin(options), MetadataStoreStandin()
    async with serving(standin) as address, serving(store) as store_address:
        standin.register(store, address)
        registry = PlatformStore(store_address, SystemClock())
        yield standin, address, registry
        await registry.aclose()


async def endpoint_of(registry, key="i-1"):
    return (await registry.endpoint_changes(None, 0.0)).unwrap().changed[key]


async def exchange(address, method, path, headers=()):
    client = HttpClient(address, SystemClock())
    outcome = await client.exchange(method, path, b"", headers=headers)
    await client.aclose()
    return outcome


async def event_texts(endpoint, resume_after=None):
    client = PlatformEndpointClient(SystemClock())
    deadline = SystemClock().now() + 5.0
    call = EndpointCall("r1", "POST", "/a/", "desk.example", (), b"", deadline)
    call = call._replace(resume_after=resume_after)
    async with client.stream(endpoint, call) as opened:
        texts = [e.unwrap().data async for e in opened.unwrap().events()]
    await client.aclose()
    return texts


async def test_text_joined_from_two_software_versions_is_visible():
    async with registered() as (standin, _, registry):
        first = await event_texts(await endpoint_of(registry))
        standin.restart("v2")
        rest = await event_texts(await endpoint_of(registry), resume_after=1)
    assert first == ["v1 i-1 1", "v1 i-1 2", "v1 i-1 3"]
    assert rest == ["v2 i-1 2", "v2 i-1 3"]
    assert {text_software(text) for text in first[:1] + rest} == {"v1", "v2"}


async def test_restarted_endpoint_registers_another_run_with_its_version():
    async with registered() as (standin, _, registry):
        standin.leave()
        before = await endpoint_of(registry)
        standin.restart("v2")
        after = await endpoint_of(registry)
    assert (before.software, before.leaving) == ("v1", True)
    assert (after.software, after.leaving) == ("v2", False)
    assert after.started_ms > before.started_ms


# Method, path, headers and the fault, if any; each gives an answer of another kind.
ANSWERS = [
    ("GET", "/a/", (("plantainstack-request-id", "r1"),), None),
    ("POST", "/a/", (("plantainstack-request-id", "r1"),), None),
    ("POST", "/a/", (), None),
    ("POST", "/a/", (("plantainstack-expect-instance", "i-9"),), None),
    ("GET", "/health", (), None),
    ("GET", "/api/report", (), None),
    ("GET", "/a/", (), Fault("/a/", Action.REFUSE, 1)),
    ("GET", "/a/", (), Fault("/a/", Action.CROSSED, 1)),
]


@pytest.mark.parametrize(("method", "path", "headers", "fault"), ANSWERS)
async def test_every_answer_of_a_leaving_endpoint_says_so(method, path, headers, fault):
    async with registered() as (standin, address, _):
        standin.faults.replace([fault] if fault else [])
        before = (await exchange(address, method, path, headers)).unwrap()
        assert "server-leaving" not in before.headers
        standin.faults.replace([fault] if fault else [])
        standin.leave()
        after = (await exchange(address, method, path, headers)).unwrap()
        assert after.headers["server-leaving"] == "1"


async def test_leaving_is_announced_over_http_and_in_the_registration():
    async with registered() as (standin, address, registry):
        client = HttpClient(address, SystemClock())
        await client.exchange("PUT", "/_leaving", b'{"leaving": true}')
        await client.aclose()
        assert standin.is_leaving()
        assert (await endpoint_of(registry)).leaving
        standin.unregister()
        found = (await registry.endpoint_changes(None, 0.0)).unwrap()
        assert found.changed == {}


async def test_stream_can_be_cut_and_an_answer_crossed():
    """Guards against faults that have no effect on the platform's own request id."""
    async with registered() as (standin, _, registry):
        endpoint = await endpoint_of(registry)
        client = PlatformEndpointClient(SystemClock())
        deadline = SystemClock().now() + 5.0
        call = EndpointCall("r1", "GET", "/a/", "desk.example", (), b"", deadline)
        standin.faults.replace([Fault("/a/", Action.CROSSED, 1)])
        assert (await client.call(endpoint, call)).unwrap_err().kind == (
            ErrorKind.ANSWER_CROSSED
        )
        standin.faults.replace([Fault("/a/", Action.CUT, 1)])
        async with client.stream(endpoint, call._replace(method="POST")) as opened:
            events = [event async for event in opened.unwrap().events()]
        assert events[-1].is_err()
        await client.aclose()


async def test_odd_registrations_are_served_as_they_were_written():
    store = MetadataStoreStandin()
    async with serving(store) as address:
        for key, value in odd_registrations().items():
            store.write(ENDPOINT_TABLE, key, value)
        client = PlatformStore(address, SystemClock())
        found = (await client.read(ENDPOINT_TABLE, "")).unwrap()
        await client.aclose()
    assert {row.name.key: row.value for row in found.rows} == odd_registrations()
    # The platform's store takes rows of up to 65,536 bytes.
    assert max(len(row.value) for row in found.rows) <= 65_536


def test_odd_registrations_cannot_be_read_as_a_server():
    for key, value in odd_registrations().items():
        try:
            entry = json.loads(value)
            port = entry["address"].rpartition(":")[2]
            usable = (
                0 < int(port) <= 65535
                and 0 < entry["slots"] <= 1_000_000
                and entry["state"] in ("ready", "draining")
            )
        except (ValueError, KeyError, TypeError, RecursionError):
            usable = False
        assert not usable, key


async def test_requests_after_the_announcement_are_counted():
    async with registered() as (standin, address, _):
        standin.leave()
        await anyio.sleep(0.01)
        await exchange(address, "GET", "/a/", (("plantainstack-request-id", "r1"),))
        assert standin.state()["last_after_leaving_s"] >= 0.01
