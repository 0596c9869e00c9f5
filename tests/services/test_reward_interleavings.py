"""Random interleavings of texts, scores, losses, takeovers, ends and route changes.

Endpoints number everything that they do. A completed result must have the receipt of
a reward call that arrived after the last event of its text was made, whatever happened
to the instances, the connections and the configuration in between.
"""

import contextlib
import itertools
import random

import anyio
import pytest
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import PlainAnswer
from plantainstack.policy import batch_scheduling
from plantainstack.policy import reward_calls as policy
from plantainstack.services import batch_runs, batch_store
from plantainstack.services import reward_calls as service
from plantainstack.serving import EndpointAnswer, ItemState, OpenStream, StreamHead
from tests.policy.serving_samples import batch, endpoint, event, scored_item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    FakePlatform,
    ScriptedEndpoints,
    all_results,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend  # noqa: F401

pytestmark = pytest.mark.anyio

SEEDS = range(48)
ITEMS = 4
EVENTS = 3
LOST = Err(Failure.of(ErrorKind.ANSWER_TRUNCATED, "scripted"))
CROSSED = Err(Failure.of(ErrorKind.ANSWER_CROSSED, "scripted"))


class NumberedEndpoints(ScriptedEndpoints):
    """Number events and reward calls in the order in which they happen."""

    def __init__(self, platform, rng):
        super().__init__(platform)
        self.rng = rng
        self.numbers = itertools.count(1)
        self.calls_at = {}
        self.errors = {}

    async def call(self, endpoint, call):
        number = next(self.numbers)
        self.calls_at.setdefault(call.request_id, []).append(number)
        await anyio.sleep(self.rng.uniform(0.0, 0.05))
        fate = self.rng.choice(["ok", "ok", "lost", "crossed", "error", "full", "slow"])
        if fate == "slow":
            await anyio.sleep(1.0)
        if fate == "lost":
            return LOST
        if fate == "crossed":
            return CROSSED
        if fate == "error":
            self.errors[call.request_id] = self.errors.get(call.request_id, 0) + 1
        status = {"error": 500, "full": 503}.get(fate, 200)
        receipt = f"{call.request_id}:{number}" if status == 200 else None
        answer = PlainAnswer(status, [], b"")
        return Ok(EndpointAnswer(answer, status == 503, None, receipt))

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        await anyio.lowlevel.checkpoint()
        yield Ok(_NumberedStream(self, call))


class _NumberedStream(OpenStream):
    def __init__(self, endpoints, call):
        self.head = StreamHead(200, [], 1, None)
        self._endpoints = endpoints
        self._id = call.request_id
        self._first = (call.resume_after or 0) + 1

    async def events(self):
        rng = self._endpoints.rng
        for number in range(self._first, EVENTS + 1):
            await anyio.sleep(rng.uniform(0.0, 0.05))
            if rng.random() < 0.1:
                yield LOST
                return
            made = next(self._endpoints.numbers)
            yield Ok(event(number, f"{self._id}:{number}:{made}"))


async def play(seed):
    """Play one random scenario and check its results."""
    rng = random.Random(seed)
    platform = FakePlatform(LoopClock())
    platform.endpoints |= {
        id: endpoint(id, service="app", slots=6, versions={}) for id in ("a1", "a2")
    }
    platform.client = NumberedEndpoints(platform, rng)
    items = [scored_item(f"i{n}", f"g{n // 2}") for n in range(ITEMS)]
    async with running(platform, "b") as (staying,):
        async with running(platform, "a") as (owner,):
            submitted = batch(*items, id="b1")
            batches = owner.plugin("batches")
            assert (await batches.submit(submitted, BATCH_ROUTE)).is_ok()
            if rng.random() < 0.5:
                store = owner.plugin("store").metadata_store
                store.faults = rng.choices(["lost", "dropped", "down"], k=3)
            await anyio.sleep(rng.uniform(0.0, 0.3))
            if rng.random() < 0.5:
                await drop_reward_route(platform, rng.uniform(0.0, 0.3))
        reader = staying.plugin("batches")
        if rng.random() < 0.5:
            await end_and_carry_over(platform, reader, items)
        else:
            check(platform, await all_results(reader, "b1", ITEMS))


async def drop_reward_route(platform, seconds):
    routes = tuple(r for r in CONFIG.routes if r.name != "r-reward")
    platform.config = CONFIG._replace(version=2, routes=routes)
    await anyio.sleep(seconds)
    platform.config = CONFIG._replace(version=3)


async def end_and_carry_over(platform, reader, items):
    """End the batch, and submit its items again with a later one."""
    await until(lambda: "b1" in reader._entries)
    assert (await reader.end("b1")).is_ok()
    state = reader._entries["b1"].row.state
    check(platform, await all_results(reader, "b1", state.listed))
    # The store keeps the texts of b1, but not those of b2, which starts over.
    assert (await reader.submit(batch(*items, id="b2"), BATCH_ROUTE)).is_ok()
    check(platform, await all_results(reader, "b2", ITEMS))


def check(platform, results):
    """Check that each result is an item's whole text with the score of that text."""
    client = platform.client
    assert len({result.item_id for result in results}) == len(results)
    for result in results:
        call_id = f"reward-{result.item_id}"
        if result.state is ItemState.ABANDONED:
            assert client.errors.get(call_id, 0) >= BATCH_ROUTE.endpoints_max
            continue
        parts = [line.split(":") for line in result.text.split("\n")]
        assert [part[0] for part in parts] == [result.item_id] * EVENTS
        assert [int(part[1]) for part in parts] == list(range(1, EVENTS + 1))
        scored, _, number = result.score.partition(":")
        assert scored == call_id
        assert int(number) in client.calls_at[call_id]
        assert int(number) > max(int(part[2]) for part in parts)


async def play_all(seeds=SEEDS):
    async with anyio.create_task_group() as tasks:
        for seed in seeds:
            tasks.start_soon(play, seed)


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 0.1)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 0.6)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_MIN_AGE_S", 0.0)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_INTERVAL_S", 0.0)
    monkeypatch.setattr(batch_store, "RETRY_S", 0.01)
    monkeypatch.setattr(policy, "RETRY_MIN_S", 0.01)
    monkeypatch.setattr(policy, "RETRY_MAX_S", 0.05)


async def test_scores_belong_to_the_whole_text_of_their_item():
    """Guards against scores of another item, of an earlier text or of a part."""
    await play_all()


async def test_a_call_that_begins_one_event_early_is_caught(monkeypatch):
    """Checks the check: a wrong version scores texts that lack their last event."""

    scores = {}
    score = batch_runs.BatchRun._score

    async def read(self, run, attempt, stream):
        run.begin_stream(1)
        async for outcome in stream.events():
            if outcome.is_err():
                return None
            run.append_event(outcome.unwrap())
            if run.events() == EVENTS - 1:
                scores[run] = (await score(self, run)).score
        return run.completed() if run.end_stream() else None

    async def known_score(self, run):
        early = scores.get(run)
        return run.completed(early) if early else await score(self, run)

    monkeypatch.setattr(batch_runs.BatchRun, "_read", read)
    monkeypatch.setattr(batch_runs.BatchRun, "_score", known_score)
    with pytest.raises(ExceptionGroup) as caught:
        await play_all()
    assert caught.group_contains(AssertionError)


async def test_a_score_that_is_kept_after_a_restart_is_caught(monkeypatch):
    """Checks the check: a wrong version keeps scores by the id of their call."""
    kept = {}
    score = service.RewardCalls.score

    async def keep(self, request):
        key = (self._endpoints.shared, request.call.id)
        if key not in kept:
            kept[key] = await score(self, request)
        return kept[key]

    monkeypatch.setattr(service.RewardCalls, "score", keep)
    with pytest.raises(ExceptionGroup) as caught:
        await play_all()
    assert caught.group_contains(AssertionError)
