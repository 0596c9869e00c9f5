"""Factories of endpoints, routes and batches for tests of policies."""

from plantainstack.serving import (
    Batch,
    Endpoint,
    Item,
    RequestKind,
    RewardCall,
    Route,
    StreamEvent,
    WeightedService,
)
from plantainstack.settings.options import Address


def endpoint(id="e1", service="models", **changes) -> Endpoint:
    """Return a usable endpoint with 4 slots."""
    found = Endpoint(
        id=id,
        service=service,
        address=Address("127.0.0.1", 1),
        data_centre="dc-a",
        slots=4,
        leaving=False,
        started_ms=1,
        versions={"m0": 1},
        warm_at=0.0,
    )
    return found._replace(**changes)


def route(kind=RequestKind.SAFE, **changes) -> Route:
    """Return a route to the service `models`."""
    found = Route(
        name="r",
        host="desk.example",
        prefix="/a/",
        kind=kind,
        timeout_s=2.0,
        objective_s=0.2,
        priority=0,
        weighted_services=(WeightedService("models", 1.0),),
        endpoints_max=2,
        queue_limit_s=40.0,
        result_target_s=7.5,
        single_version=False,
        resumable=True,
    )
    return found._replace(**changes)


def item(id="i1", group="g1", hint=100) -> Item:
    """Return a batch item with a length hint in tokens."""
    return Item(id, group, f"/a/{id}", (), b"body", hint)


def scored_item(id="i1", group="g1") -> Item:
    """Return a batch item whose text is scored by a reward call of its own."""
    call = RewardCall(f"reward-{id}", "desk.example", f"/reward/{id}", b"score")
    return item(id, group)._replace(reward_call=call)


def batch(*items: Item, min_version=1, id="b1") -> Batch:
    """Return a batch of items."""
    found = items or (item(),)
    return Batch(id, "desk.example", "/a/", "m0", min_version, 1, tuple(found))


def event(number: int, data=None, version=None) -> StreamEvent:
    """Return a stream event; its id is also its default text."""
    text = data or f"text {number}"
    return StreamEvent(number, text, version, b"")
