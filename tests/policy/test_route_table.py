"""Tests of the selection of routes and services."""

import random

import pytest

from plantainstack.policy import route_table
from plantainstack.serving import (
    ClientLimits,
    RequestKind,
    ServingConfig,
    WeightedService,
)
from tests.policy.serving_samples import batch, route

ROUTES = (
    route(name="short", prefix="/a/"),
    route(name="long", prefix="/a/b/"),
    route(name="other", host="shop.example", prefix="/a/"),
)
CFG = ServingConfig(1, ROUTES, {}, ClientLimits())


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("desk.example", "/a/x", "short"),
        ("desk.example", "/a/b/x", "long"),
        ("desk.example", "/a/bx", "short"),
        ("Desk.Example:8080", "/a/b/", "long"),
        ("shop.example", "/a/b/x", "other"),
        ("desk.example", "/b/x", None),
        ("unknown.example", "/a/x", None),
    ],
)
def test_longest_prefix_of_the_host_matches(host, path, name):
    """Guards against a request that takes a less specific route."""
    found = route_table.match(CFG, host, path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize(
    ("kinds", "name"),
    [
        ({}, "long"),
        ({"long": RequestKind.SAFE}, "short"),
        ({"long": RequestKind.STREAM}, "short"),
        ({"short": RequestKind.SAFE, "long": RequestKind.SAFE}, None),
        ({"short": RequestKind.SAFE}, "long"),
    ],
)
def test_accepted_batch_keeps_to_routes_of_its_kind(kinds, name):
    """Guards against a route of another kind that ends the batches of a route."""
    routes = tuple(
        each._replace(kind=kinds.get(each.name, RequestKind.BATCH)) for each in ROUTES
    )
    found = route_table.match_batch(
        CFG._replace(routes=routes), batch()._replace(path="/a/b/b1")
    )
    assert (found.name if found else None) == name


def test_services_are_selected_by_weight():
    """Guards against a canary service that gets the wrong share of requests."""
    weighted_route = route(
        weighted_services=(WeightedService("x", 90), WeightedService("y", 10))
    )
    rng = random.Random(7)
    selected = [route_table.pick_service(weighted_route, rng) for _ in range(1000)]
    assert 50 < selected.count("y") < 150
