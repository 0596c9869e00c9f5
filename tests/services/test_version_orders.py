"""Tests of version orders: one lease holder, fencing, and confirmation by reports."""

import itertools

import anyio
import msgspec
import pytest
from result import Err

from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy import order_lease, version_plan
from plantainstack.services import version_orders
from tests.policy.serving_samples import endpoint
from tests.services.store_fleet import FakePlatform, running, until

pytestmark = pytest.mark.anyio

# Minimum time between orders of two holders, the `order_gap` of the test instances.
QUIET_S = 0.3


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(order_lease, "LEASE_S", 0.4)
    monkeypatch.setattr(order_lease, "RENEW_AFTER_S", 0.1)
    monkeypatch.setattr(order_lease, "ORDER_TRANSIT_S", 0.1)
    monkeypatch.setattr(order_lease, "SEND_MARGIN_S", 0.05)
    monkeypatch.setattr(version_plan, "STEP_WAIT_S", 0.0)
    monkeypatch.setattr(version_orders, "ACQUIRE_DELAY_MIN_S", 0.01)
    monkeypatch.setattr(version_orders, "ACQUIRE_DELAY_MAX_S", 0.1)
    monkeypatch.setattr(version_orders, "IDLE_CHECK_S", 0.05)
    monkeypatch.setattr(version_orders, "FIRST_REPORT_DELAY_S", 0.02)
    monkeypatch.setattr(version_orders, "REPORT_INTERVAL_S", 0.02)
    monkeypatch.setattr(version_orders, "PLAN_INTERVAL_S", 0.02)


def loaded(platform, version):
    return all(end.versions["m0"] == version for end in platform.endpoints.values())


async def test_each_endpoint_gets_one_order_from_one_instance():
    """Guards against several instances ordering the same load."""
    platform = FakePlatform()
    async with running(platform, "a", "b", "c"):
        platform.versions = {"m0": 2}
        await until(lambda: loaded(platform, 2))
        await anyio.sleep(0.5)
        assert sorted(end for end, _, _ in platform.client.orders) == ["e1", "e2"]
        assert len({order.holder for _, order, _ in platform.client.orders}) == 1


async def test_fencing_tokens_rise_and_orders_of_two_holders_keep_a_gap():
    """Guards against orders from two machines in too quick succession."""
    platform = FakePlatform()
    async with running(platform, "a", "b"):
        for version in (2, 3):
            platform.versions = {"m0": version}
            await until(lambda version=version: loaded(platform, version))
    async with running(platform, "c"):
        platform.versions = {"m0": 4}
        await until(lambda: loaded(platform, 4))
    check_order_gaps(platform)


def check_order_gaps(platform):
    """Check fencing tokens and the gap between orders of two holders to an endpoint."""
    fences = [order.fence for _, order, _ in platform.client.orders]
    assert fences == sorted(fences)
    for id in platform.endpoints:
        orders = [(order, at) for end, order, at in platform.client.orders if end == id]
        for (before, sent), (after, later) in itertools.pairwise(orders):
            if before.holder != after.holder:
                assert after.fence > before.fence
                assert later - sent >= QUIET_S


async def test_new_holder_orders_other_endpoints_at_once():
    """Guards against steps that wait for weights while a holder is replaced.

    Only endpoints that the former holder may have ordered must wait for the gap.
    """
    platform = FakePlatform()
    platform.endpoints = {"e1": endpoint("e1")}
    async with running(platform, "a"):
        platform.versions = {"m0": 2}
        await until(lambda: loaded(platform, 2))
    platform.endpoints["e2"] = endpoint("e2")
    async with running(platform, "b"):
        platform.versions = {"m0": 3}
        await until(lambda: loaded(platform, 3))
    sent = {
        (id, order.version): at
        for id, order, at in platform.client.orders
        if order.version == 3
    }
    assert sent["e2", 3] < sent["e1", 3]
    check_order_gaps(platform)


async def test_draining_holder_releases_the_lease(monkeypatch):
    """Guards against a planned restart that blocks orders until the lease expires."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        monkeypatch.setattr(order_lease, "LEASE_S", 60.0)
        platform.versions = {"m0": 2}
        await until(lambda: loaded(platform, 2))
        kernels[0].plugin("version_orders").on_drain()
        await until(lambda: stored_lease(platform).until <= platform.clock.now())
        kept = stored_lease(platform).until
        await anyio.sleep(0.2)
        assert stored_lease(platform).until == kept


def stored_lease(platform):
    rows = platform.rows.range(version_orders.LEASE_TABLE, "models", "", "")
    [(_, row)] = rows
    return msgspec.msgpack.decode(row.value, type=order_lease.OrderLease)


async def test_delayed_order_is_rejected():
    """Guards against a version that is rolled back by a delayed order."""
    platform = FakePlatform()
    platform.endpoints = {"e1": endpoint("e1")}
    async with running(platform, "a"):
        platform.client.order_faults = ["late"]
        platform.versions = {"m0": 2}
        await until(lambda: loaded(platform, 2))
        platform.versions = {"m0": 3}
        await until(lambda: loaded(platform, 3))
        [(late_endpoint, order)] = platform.client.delayed_orders
        platform.client.execute_order(late_endpoint, order)
        assert loaded(platform, 3)


async def test_restarted_endpoint_with_old_weights_is_ordered_again():
    """Guards against an endpoint that keeps old weights after its restart."""
    platform = FakePlatform()
    async with running(platform, "a"):
        platform.versions = {"m0": 2}
        await until(lambda: loaded(platform, 2))
        platform.client.state("e1").orders_seen = 0
        platform.endpoints["e1"] = endpoint("e1", started_ms=2, versions={"m0": 1})
        await until(lambda: loaded(platform, 2))


async def test_no_order_is_sent_during_a_store_outage():
    """Guards against orders from a holder that cannot verify its lease."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        kernels[0].plugin("store").metadata_store.unavailable = True
        platform.versions = {"m0": 2}
        await until(lambda: "m0" in kernels[0].plugin("discovery").versions)
        await anyio.sleep(0.3)
        assert platform.client.orders == []
        kernels[0].plugin("store").metadata_store.unavailable = False
        await until(lambda: loaded(platform, 2))


async def test_replacement_machine_with_the_same_id_keeps_the_gap():
    """Guards against orders of a replaced machine and its replacement without a gap."""
    platform = FakePlatform()
    async with running(platform, "a", address="127.0.0.1:1"):
        platform.versions = {"m0": 2}
        await until(lambda: loaded(platform, 2))
    async with running(platform, "a", address="127.0.0.2:1"):
        platform.versions = {"m0": 3}
        await until(lambda: loaded(platform, 3))
    assert len({order.holder for _, order, _ in platform.client.orders}) == 2
    check_order_gaps(platform)


async def test_endpoint_that_gives_no_report_holds_up_no_other():
    """Guards against one endpoint in trouble that keeps its service at old weights."""
    platform = FakePlatform()
    report = platform.client.report

    async def no_report(endpoint, deadline):
        if endpoint.id != "e1":
            return await report(endpoint, deadline)
        await anyio.sleep(0.1)
        return Err(Failure.of(ErrorKind.ANSWER_TIMEOUT, "scripted"))

    platform.client.report = no_report
    async with running(platform, "a"):
        platform.versions = {"m0": 3}
        await until(lambda: platform.endpoints["e2"].versions["m0"] == 3)
        platform.client.report = report
        await until(lambda: platform.endpoints["e1"].versions["m0"] == 3)
