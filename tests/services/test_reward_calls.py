"""Tests of items that are scored by a reward call once their text is complete."""

import zlib

import anyio
import msgspec
import pytest

from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy import batch_scheduling
from plantainstack.policy import reward_calls as policy
from plantainstack.policy.item_runs import PartialText
from plantainstack.services import batch_store
from plantainstack.services import batches as batches_module
from plantainstack.serving import (
    EndpointLoadReport,
    ItemState,
    RequestKind,
    WeightedService,
)
from tests.policy.serving_samples import batch, endpoint, route, scored_item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    REWARD_ROUTE,
    FakePlatform,
    all_results,
    running,
    until,
)

pytestmark = pytest.mark.anyio

BROKEN = Failure.of(ErrorKind.ANSWER_TRUNCATED, "scripted")
CROSSED = Failure.of(ErrorKind.ANSWER_CROSSED, "scripted")


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 0.1)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 0.5)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_MIN_AGE_S", 0.0)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_INTERVAL_S", 0.0)
    monkeypatch.setattr(batches_module, "RELEASE_MARGIN_S", 60.0)
    monkeypatch.setattr(policy, "RETRY_MIN_S", 0.01)
    monkeypatch.setattr(policy, "RETRY_MAX_S", 0.02)


def new_platform(app_slots=6):
    platform = FakePlatform()
    for id in ("a1", "a2"):
        platform.endpoints[id] = endpoint(
            id, service="app", slots=app_slots, versions={}
        )
    return platform


def scored_batch(count=1):
    return batch(*(scored_item(f"i{n}", f"g{n // 2}") for n in range(count)))


def reward_calls(platform):
    return [end for id, end in platform.client.calls if id.startswith("reward-")]


def stored_complete(platform, item_id):
    """Return whether the store has the complete text of an item."""
    names = platform.rows.range(
        batch_store.PARTIAL_TABLE, "b1", f"{item_id}/", f"{item_id}0"
    )
    pieces = [msgspec.msgpack.decode(row.value, type=PartialText) for _, row in names]
    return any(piece.complete for piece in pieces)


async def test_result_has_the_receipt_of_its_own_reward_call():
    """Guards against results without a score, or with that of another item."""
    platform = new_platform()
    async with running(platform, "a", "b") as kernels:
        owner, reader = (kernel.plugin("batches") for kernel in kernels)
        assert (await owner.submit(scored_batch(4), BATCH_ROUTE)).is_ok()
        found = await all_results(reader, "b1", 4)
        assert {result.item_id: result.score for result in found} == {
            f"i{n}": f"receipt of reward-i{n}" for n in range(4)
        }
        assert len(reward_calls(platform)) == 4
        sent = next(
            c for c in platform.client.sent_calls if c.request_id == "reward-i0"
        )
        assert (sent.method, sent.target, sent.host, sent.headers, sent.body) == (
            "POST",
            "/reward/i0",
            "desk.example",
            (),
            b"score",
        )


async def test_call_is_sent_only_after_the_last_event():
    """Guards against a score for a text that is not complete."""
    platform = new_platform()
    gate = platform.client.blocked_events[("i0", 3)] = anyio.Event()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: platform.client.opened_streams)
        await anyio.sleep(0.2)
        assert reward_calls(platform) == []
        gate.set()
        await all_results(batches, "b1", 1)
        assert len(reward_calls(platform)) == 1


async def test_interrupted_text_is_scored_after_it_was_resumed():
    """Guards against a call for a text that broke off after some events."""
    platform = new_platform()
    platform.client.failing_events.append(("i0", 3))
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 1)
        assert found[0].text == "text 1\ntext 2\ntext 3"
        assert len(reward_calls(platform)) == 1


async def test_item_that_waits_for_its_score_holds_no_model_slot():
    """Guards against model slots that are idle while texts are scored."""
    platform = new_platform()
    gate = anyio.Event()
    platform.client.scripts["reward-i0"] = [gate]
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: reward_calls(platform))
        balancer = kernels[0].plugin("discovery").balancer
        models = [e for e in platform.endpoints.values() if e.service == "models"]
        assert [balancer.load(e, 0.0) for e in models] == [0.0, 0.0]
        gate.set()
        await all_results(batches, "b1", 1)


async def test_item_is_abandoned_after_the_allowed_number_of_errors():
    """Guards against an item whose call always fails and delays its group."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [500] * 20
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(2), BATCH_ROUTE)).is_ok()
        found = {r.item_id: r for r in await all_results(batches, "b1", 2)}
        assert found["i0"].state is ItemState.ABANDONED
        assert found["i0"].score is None
        assert found["i1"].state is ItemState.COMPLETED
        calls = [id for id, _ in platform.client.calls if id == "reward-i0"]
        assert len(calls) == BATCH_ROUTE.endpoints_max


@pytest.mark.parametrize("fault", [503, 404, 422, 429, BROKEN, CROSSED])
async def test_other_failures_are_retried(fault):
    """Guards against an item that is abandoned because of a temporary fault."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [fault] * 6
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 1)
        assert found[0].score == "receipt of reward-i0"


async def test_silent_endpoint_is_given_up_for_another():
    """Guards against a step that waits for an endpoint that never answers."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [anyio.Event()]
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 1)
        assert found[0].state is ItemState.COMPLETED
        assert len(set(reward_calls(platform))) == 2


async def test_endpoint_of_one_slow_call_is_not_avoided(monkeypatch):
    """Guards against live callers that avoid an endpoint since one call was long.

    The endpoint answers another call while the slow one waits.
    """
    platform = new_platform()
    del platform.endpoints["a2"]
    platform.client.scripts["reward-i0"] = [anyio.Event()]
    platform.client.load = EndpointLoadReport(1, 0, 6)
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(2), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 2)
        balancer = kernels[0].plugin("discovery").balancer
        now = platform.clock.now()
        assert not balancer.is_avoided(platform.endpoints["a1"], now)


async def test_stored_text_is_scored_after_a_takeover_and_not_generated_again():
    """Guards against texts that are generated twice since their owner crashed."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [anyio.Event()]
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(scored_batch(), BATCH_ROUTE)).is_ok()
            await until(lambda: stored_complete(platform, "i0"))
        found = await all_results(kernels[0].plugin("batches"), "b1", 1)
        assert found[0].score == "receipt of reward-i0"
        assert len(platform.client.opened_streams) == 1


async def test_released_text_is_scored_elsewhere():
    """Guards against a planned stop that loses complete texts."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [anyio.Event()]
    async with running(platform, "a", "b") as (leaving, staying):
        owner = leaving.plugin("batches")
        assert (await owner.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: reward_calls(platform))
        owner.on_drain()
        await owner.drain(0.0)
        found = await all_results(staying.plugin("batches"), "b1", 1)
        assert found[0].score == "receipt of reward-i0"
        assert len(platform.client.opened_streams) == 1


async def test_errors_before_a_takeover_count():
    """Guards against more errors than allowed, a few with each owner."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [500, 500, anyio.Event(), 500, 500]
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(scored_batch(), BATCH_ROUTE)).is_ok()
            await until(lambda: len(reward_calls(platform)) == 3)
            await anyio.sleep(0.3)
        found = await all_results(kernels[0].plugin("batches"), "b1", 1)
        assert found[0].state is ItemState.ABANDONED
        assert len(reward_calls(platform)) == 4


async def test_ended_batch_sends_no_more_calls():
    """Guards against calls for a step that is over."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [503] * 10000
    async with running(platform, "a", "b") as (first, second):
        owner = first.plugin("batches")
        assert (await owner.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: reward_calls(platform))
        assert (await second.plugin("batches").end("b1")).is_ok()
        await until(lambda: owner._entries["b1"].run is None)
        sent = len(reward_calls(platform))
        await anyio.sleep(0.3)
        assert len(reward_calls(platform)) == sent
        balancer = first.plugin("discovery").balancer
        assert balancer.load(platform.endpoints["a1"], 0.0) == 0.0
        assert balancer.load(platform.endpoints["a2"], 0.0) == 0.0


async def test_calls_follow_their_route():
    """Guards against calls under an outdated configuration.

    The route of the reward call is dropped while the item is generated, and later
    comes back with another service.
    """
    platform = new_platform()
    platform.endpoints["o1"] = endpoint("o1", service="others", versions={})
    gate = platform.client.blocked_events[("i0", 2)] = anyio.Event()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        discovery = kernels[0].plugin("discovery")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: platform.client.opened_streams)
        routes = tuple(r for r in CONFIG.routes if r.name != "r-reward")
        platform.config = CONFIG._replace(version=2, routes=routes)
        await until(lambda: discovery.serving.version == 2)
        gate.set()
        await anyio.sleep(0.2)
        assert reward_calls(platform) == []
        moved = route(
            RequestKind.SAFE,
            name="r-reward",
            prefix="/reward/",
            weighted_services=(WeightedService("others", 1.0),),
        )
        platform.config = CONFIG._replace(version=3, routes=(*routes, moved))
        await all_results(batches, "b1", 1)
        assert reward_calls(platform) == ["o1"]


async def test_item_in_scoring_is_abandoned_with_its_route():
    """Guards against calls for items whose own route was removed."""
    platform = new_platform()
    platform.client.scripts["reward-i0"] = [anyio.Event()]
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: reward_calls(platform))
        routes = tuple(r for r in CONFIG.routes if r.name != "r-batch")
        platform.config = CONFIG._replace(version=2, routes=routes)
        found = await all_results(batches, "b1", 1)
        assert found[0].state is ItemState.ABANDONED
        assert len(reward_calls(platform)) == 1


async def test_slots_of_live_callers_stay_free():
    """Guards against reward calls that fill the endpoints of live callers."""
    platform = new_platform(app_slots=3)
    gate = anyio.Event()
    for number in range(8):
        platform.client.scripts[f"reward-i{number}"] = [gate, gate]
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(8), BATCH_ROUTE)).is_ok()
        await until(lambda: len(reward_calls(platform)) == 4)
        await anyio.sleep(0.2)
        assert sorted(reward_calls(platform)) == ["a1", "a1", "a2", "a2"]
        gate.set()
        await all_results(batches, "b1", 8)


async def test_records_without_reward_calls_stay_readable_for_older_builds():
    """Guards against a rolling restart in which old instances cannot read results."""
    platform = FakePlatform()
    plain = batch(scored_item("i0")._replace(reward_call=None))
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(plain, BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 1)
    [(_, row)] = platform.rows.range(batch_store.RESULT_TABLE, "b1", "", "")
    assert len(msgspec.msgpack.decode(row.value)) == 4
    [(_, row)] = platform.rows.range(batch_store.ITEM_TABLE, "b1", "", "")
    stored = msgspec.msgpack.decode(zlib.decompress(row.value))
    assert len(stored[-1][0]) == 6


async def test_call_that_waits_for_another_endpoint_does_not_hold_up_others():
    """Guards against free slots that no call uses while a failed one waits.

    The first call failed at a1 and waits for a2, which is busy with the second one.
    """
    platform = new_platform(app_slots=1)
    patient = REWARD_ROUTE._replace(objective_s=30.0, timeout_s=30.0)
    platform.config = CONFIG._replace(routes=(BATCH_ROUTE, patient))
    gate = anyio.Event()
    platform.client.scripts |= {"reward-i0": [500], "reward-i1": [gate]}
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        # The failed call goes before those of the larger group.
        groups = {"i0": "g0", "i1": "g1"} | {f"i{n}": "g2" for n in range(2, 6)}
        items = batch(*(scored_item(id, group) for id, group in groups.items()))
        assert (await batches.submit(items, BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 4)
        assert {result.item_id for result in found} == {"i2", "i3", "i4", "i5"}
        gate.set()
        await all_results(batches, "b1", 6)


async def test_waiting_calls_are_not_sent_to_an_endpoint_that_just_failed():
    """Guards against a lost endpoint that delays all calls, a few at a time."""
    platform = new_platform(app_slots=3)

    async def silent():
        await anyio.sleep_forever()

    async def busy():
        await anyio.sleep(0.2)

    platform.client.statuses |= {"a1": silent, "a2": busy}
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(10), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 10)
        assert reward_calls(platform).count("a1") == 2


async def test_answered_call_does_not_count_as_load_of_others():
    """Guards against slots that stay unused after each answer.

    An endpoint reports its load with an answer while it still counts that request.
    """
    platform = new_platform()
    del platform.endpoints["a2"]
    platform.client.load = EndpointLoadReport(1, 0, 6)
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(scored_batch(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 1)
        balancer = kernels[0].plugin("discovery").balancer
        assert balancer.load(platform.endpoints["a1"], platform.clock.now()) == 0.0
