"""Tests of tenants and their keys at the HTTP interface, over loopback."""

import anyio
import msgspec
import pytest

from plantainstack import log, metrics
from plantainstack.platform import names
from plantainstack.policy.tenants import Tenant, TenantDirectory
from plantainstack.services import discovery as discovery_module
from plantainstack.serving import RequestKind
from tests.platform.samples import lot
from tests.platform.test_ingress import connected, gateway
from tests.policy.serving_samples import route
from tests.services.store_fleet import CONFIG, FakePlatform, load_batch, until

pytestmark = pytest.mark.anyio

ACME, BOLT, NOBODY = "Bearer k-acme", "Bearer k-bolt", "Bearer k-none"
DIRECTORY = TenantDirectory(
    [(Tenant("acme", 3), ["k-acme", "k-acme-2"]), (Tenant("bolt"), ["k-bolt"])]
)
STREAM = route(RequestKind.STREAM, name="r-stream", prefix="/t/", priority=4)
PUBLIC = route(RequestKind.SAFE, name="r-public", prefix="/p/", public=True)
OPEN = CONFIG._replace(routes=(*CONFIG.routes, STREAM, PUBLIC))
KEYED = OPEN._replace(tenants=DIRECTORY)
# What a client may not tell an endpoint.
FORGED = {"Plantainstack_Tenant": "bolt", "Plantainstack_Request_Priority": "0"}
HIDDEN = ("authorization", "plantainstack-tenant", "plantainstack-request-priority")
LOT = f"{names.LOTS_PATH}b1"
ITEM = f"{names.ITEMS_PATH}b1?id=item-1"


def keyed_platform(cfg=KEYED):
    platform = FakePlatform()
    platform.config = cfg
    return platform


def hidden_headers(call):
    return [text for name, text in call.headers if name.lower() in HIDDEN]


def submission():
    """Return a batch whose items carry a key and a tenant of their own."""
    content = lot(items=4, min_version=1)
    for request in content["requests"]:
        request["headers"] |= {
            "authorization": "Bearer k-item",
            "Plantainstack-Tenant": "bolt",
        }
    return msgspec.json.encode(content)


async def submit(conn, key, body=None):
    headers = {"Authorization": key} if key else {}
    body = submission() if body is None else body
    found = await conn.request(
        "POST", "/a/x", body, Plantainstack_Request_Id="b1", **headers
    )
    return found[0]


async def status_of(conn, method, path, key=None, **headers):
    if key:
        headers["Authorization"] = key
    return (await conn.request(method, path, **headers))[0]


async def test_each_request_on_a_connection_needs_a_key_of_its_own():
    """Guards against a connection that stays open to whoever used it last."""
    platform = keyed_platform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        assert await status_of(conn, "GET", "/s/x", ACME) == 200
        assert await status_of(conn, "GET", "/s/x") == 401
        assert await status_of(conn, "GET", "/s/x", NOBODY) == 401
        assert await status_of(conn, "POST", "/t/x", NOBODY) == 401
        assert await submit(conn, None) == 401
        for method, path in (("GET", LOT), ("DELETE", LOT), ("GET", ITEM)):
            assert await status_of(conn, method, path) == 401
        assert await status_of(conn, "GET", "/s/x", BOLT) == 200
        platform.config = KEYED._replace(version=2, tenants=TenantDirectory([]))
        await until(lambda: kernel.plugin("discovery").serving.version == 2)
        status, headers, _ = await conn.request("GET", "/s/x", Authorization=ACME)
        assert (status, headers["www-authenticate"]) == (401, "bearer")
    assert len(platform.client.calls) == 2


@pytest.mark.parametrize(
    ("path", "identity"), [("/s/x", ("acme", 3)), ("/t/x", ("acme", 3))]
)
async def test_endpoint_gets_the_tenant_of_the_key(path, identity):
    """Guards against a key or a forged tenant that reaches an endpoint."""
    platform = keyed_platform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await conn.request("POST", path, Authorization=ACME, X_Own="kept", **FORGED)
        await until(lambda: platform.client.sent_calls)
    [call] = platform.client.sent_calls
    assert (call.tenant, call.priority) == identity
    assert hidden_headers(call) == []
    assert ("x-own", "kept") in call.headers


@pytest.mark.parametrize(
    ("key", "identity"), [(None, ("", 0)), (NOBODY, ("", 0)), (ACME, ("acme", 3))]
)
async def test_public_route_is_open_to_all(key, identity):
    platform = keyed_platform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        kernel.settings.tenants.strict_revocation = True
        assert await status_of(conn, "GET", "/p/x", key, **FORGED) == 200
    [call] = platform.client.sent_calls
    assert (call.tenant, call.priority) == identity
    assert hidden_headers(call) == []


async def test_without_tenants_headers_are_forwarded_and_stored_as_they_come():
    """Guards against changes for deployments that have no tenants."""
    platform = keyed_platform(OPEN)
    async with gateway(platform) as kernel, connected(kernel) as conn:
        assert await status_of(conn, "GET", "/s/x", NOBODY, **FORGED) == 200
        [call] = platform.client.sent_calls
        assert (call.tenant, call.priority) == (None, None)
        assert hidden_headers(call) == ["bolt", "0", NOBODY]
        assert await submit(conn, None) == 202
        await until(lambda: len(platform.client.sent_calls) == 5)
        items = platform.client.sent_calls[1:]
        assert {call.tenant for call in items} == {None}
        assert all(hidden_headers(call) == ["Bearer k-item", "bolt"] for call in items)


async def test_batch_belongs_to_the_tenant_that_submitted_it():
    """Guards against tenants that read, end or take the batches of others."""
    platform = keyed_platform()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        assert await submit(conn, ACME) == 202
        assert await submit(conn, "Bearer k-acme-2") == 202
        assert await submit(conn, BOLT) == 409
        for method, path in (("GET", LOT), ("GET", ITEM), ("DELETE", LOT)):
            assert await status_of(conn, method, path, BOLT) == 404
            assert await status_of(conn, method, path, "Bearer k-acme-2") == 200
        assert await status_of(conn, "DELETE", LOT, BOLT) == 404
    items = platform.client.sent_calls
    assert {(call.tenant, call.priority) for call in items} == {("acme", 3)}
    assert not any(hidden_headers(call) for call in items)


async def test_batch_from_before_the_tenants_is_open_to_each_key():
    """Guards against trainers that lose a running batch when tenants are introduced."""
    platform = keyed_platform(OPEN)
    platform.client.blocked_events[("item-0", 2)] = anyio.Event()
    async with gateway(platform) as kernel, connected(kernel) as conn:
        assert await submit(conn, None) == 202
        await until(lambda: len(platform.client.sent_calls) == 4)
        platform.config = KEYED._replace(version=2)
        await until(lambda: kernel.plugin("discovery").serving.version == 2)
        assert await status_of(conn, "GET", LOT) == 401
        for key in (ACME, BOLT):
            assert await status_of(conn, "GET", LOT, key) == 200
            assert await submit(conn, key) == 202
        assert await status_of(conn, "DELETE", LOT, BOLT) == 200


async def test_key_is_neither_logged_nor_stored(monkeypatch):
    """Guards against keys that outlive their request."""
    logged = []
    monkeypatch.setattr(log, "event", lambda *args, **fields: logged.append(fields))
    platform = keyed_platform()
    platform.client.statuses = {"e1": 500, "e2": 500}
    async with gateway(platform) as kernel, connected(kernel) as conn:
        await status_of(conn, "GET", "/s/x", ACME, Plantainstack_Request_Id="r1")
        await status_of(conn, "GET", "/s/x", NOBODY)
        assert await submit(conn, ACME) == 202
        await until(lambda: len(platform.client.sent_calls) >= 6)
        stored = [await load_batch(kernel.plugin("batches")._batch_store, "b1", "acme")]
        assert logged
        tables = ("batches", "batch_items", "stream_bases", "losses")
        stored += [
            platform.rows.range(table, part, "", "")
            for table in tables
            for part in platform.rows.parts(table)
        ]
    for found in (repr(logged), repr(stored)):
        assert not any(key in found for key in ("k-acme", "k-none", "k-item"))


async def test_unconfirmed_configuration_refuses_and_counts_keys(monkeypatch):
    """Guards against clients that are told nothing about when to come back."""
    monkeypatch.setattr(discovery_module, "CONFIG_READ_MIN_S", 60.0)
    monkeypatch.setattr(discovery_module, "CONFIG_READ_MAX_S", 60.0)
    platform = keyed_platform()
    count = metrics.KEY_REFUSALS.labels("revocation")._value
    async with gateway(platform) as kernel, connected(kernel) as conn:
        before = count.get()
        kernel.settings.tenants.strict_revocation = True
        kernel.plugin("discovery")._config_read_at = kernel.clock.now() - 60.0
        status, headers, _ = await conn.request("GET", "/s/x", Authorization=ACME)
        assert (status, headers["retry-after"]) == (503, "1.0")
        assert kernel.unready_reason() == "the configuration is not confirmed"
        assert count.get() == before + 1
    assert platform.client.calls == []


async def test_request_above_the_rate_gets_429_and_is_not_forwarded():
    """Guards against a refusal that does not tell the truth or when to return."""
    limited = TenantDirectory(
        [(Tenant("acme", None, 0.01), ["k-acme"]), (Tenant("bolt"), ["k-bolt"])]
    )
    platform = keyed_platform(KEYED._replace(tenants=limited))
    async with gateway(platform) as kernel, connected(kernel) as conn:
        # Two requests may come at once; a batch and a stream count as one each.
        assert await submit(conn, ACME) == 202
        async with connected(kernel) as other:
            assert await status_of(other, "POST", "/t/x", ACME) == 200
        sent = len(platform.client.calls)
        for method, path in (("GET", "/s/x"), ("POST", "/t/x")):
            status, headers, body = await conn.request(method, path, Authorization=ACME)
            assert status == 429 and float(headers["retry-after"]) >= 0.25
            assert b"rate_exceeded" in body
        assert await submit(conn, ACME, msgspec.json.encode(lot(items=1))) == 429
        assert (
            len([call for call, _ in platform.client.calls[sent:] if call == "r1"]) == 0
        )
        # Public routes, reads of batches and other tenants are not limited.
        assert await status_of(conn, "GET", "/p/x", ACME) == 200
        assert await status_of(conn, "GET", LOT, ACME) == 200
        assert await status_of(conn, "GET", "/s/x", BOLT) == 200
