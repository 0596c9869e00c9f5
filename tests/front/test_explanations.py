"""Tests of explanations of placement over their ASGI application."""

import json

import anyio
import pytest

from plantainstack.front.explanations import Explanations
from plantainstack.serving import EndpointLoadReport
from tests.services.store_fleet import BATCH_ROUTE, running, until
from tests.services.test_prompt_placement import blocked, groups, platform_of
from tests.virtual_time import anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio


async def get(kernel, query, path="/explain"):
    """Return the status and the JSON body of an explanation."""
    sent = []

    async def send(message):
        sent.append(message)

    async def others(scope, receive, send):
        await send({"type": "http.response.start", "status": 299})
        await send({"type": "http.response.body", "body": b"{}"})

    scope = {"type": "http", "path": path, "query_string": query.encode()}
    await Explanations(kernel, others)(scope, None, send)
    return sent[0]["status"], json.loads(sent[1]["body"])


def state(kernel):
    """Return what a placement changes: requests, cached prompts and groups."""
    discovery = kernel.plugin("discovery")
    affinity = kernel.plugin("batches").running("b1").placement.prompts._affinity
    states = discovery.balancer._states.values()
    requests = sum(each.own_requests for each in states)
    return requests, discovery.prefix_caches.size(), dict(affinity._endpoints)


@pytest.mark.parametrize("way", ["group", "weighed"])
async def test_item_is_explained_without_changing_anything(way):
    """Guards against an explanation that reserves, sends, or decides otherwise."""
    platform = platform_of(way)
    gate = blocked(platform, "b1-0-0")
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        submitted = groups(count=1, size=1)
        assert (await batches.submit(submitted, BATCH_ROUTE)).is_ok()
        await until(lambda: platform.client.opened_streams)
        discovery = kernel.plugin("discovery")
        ends = platform.endpoints
        now = kernel.clock.now()
        discovery.balancer.record_refusal(ends["e1"], now)
        full = EndpointLoadReport(8, 0, 8, 1.5)
        discovery.balancer.record_load_report(ends["e2"], full, now)
        discovery.view.known["e3"] = ends["e3"]._replace(leaving=True)
        discovery.view.known["e4"] = ends["e4"]._replace(versions={"m0": 0})
        before = state(kernel)
        status, body = await get(kernel, "batch=b1&item=b1-0-0")
        assert status == 200
        assert body["runs_at"] == platform.client.opened_streams[0][1]
        assert body["chosen"] in ("e0", "e5")
        excluded = {each["endpoint"]: each["excluded"] for each in body["candidates"]}
        assert {id: excluded[id] for id in ("e1", "e2", "e3", "e4")} == {
            "e1": ["avoided"],
            "e2": ["full"],
            "e3": ["leaving"],
            "e4": ["old_weights"],
        }
        by_id = {each["endpoint"]: each for each in body["candidates"]}
        assert by_id["e2"]["speed"]["slowness"] > 1.0
        assert ("cost" in by_id["e5"]) == (way == "weighed")
        assert (await get(kernel, "batch=b1&item=b1-0-0"))[1]["chosen"] == body[
            "chosen"
        ]
        assert state(kernel) == before
        assert len(platform.client.opened_streams) == 1
        gate.set()


async def test_client_request_is_explained_for_each_service():
    """Guards against an explanation that names endpoints of other routes."""
    platform = platform_of("group")
    async with running(platform, "a") as (kernel,):
        status, body = await get(kernel, "host=desk.example&path=/s/x")
    assert status == 200
    assert body["chosen"] == {"models": "e0"}
    assert len(body["candidates"]) == 6
    assert platform.client.calls == []


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("", 400),
        ("batch=b1", 400),
        ("batch=b1&item=i1", 404),
        ("host=none.example&path=/", 404),
    ],
)
async def test_what_cannot_be_explained_gets_an_error(query, status):
    """Guards against an answer without a reason, or an exception."""
    platform = platform_of("group")
    async with running(platform, "a") as (kernel,):
        found, body = await get(kernel, query)
        assert found == status
        assert body["error"]["message"]
        assert (await get(kernel, "", path="/metrics"))[0] == 299
    await anyio.lowlevel.checkpoint()
