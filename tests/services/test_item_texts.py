"""Tests that the text of an item is written by one software version."""

import contextlib
from typing import NamedTuple

import anyio
import msgspec
import pytest
from result import Err

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy import batch_scheduling
from plantainstack.policy.item_runs import PartialText
from plantainstack.policy.software_versions import SoftwareVersion
from plantainstack.services import batch_results, batch_store
from plantainstack.services import batches as batches_module
from plantainstack.serving import ItemState, OpenStream, WeightedService
from tests.policy.serving_samples import batch, endpoint, item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    FakePlatform,
    MemoryStore,
    ScriptedEndpoints,
    all_results,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

REFUSED = Err(Failure(ErrorKind.ENDPOINT_REFUSED, "scripted", Outcome.NOT_RUN))


class PacedStream(OpenStream):
    """Delay the events of a stream by the seconds that its endpoint takes for each."""

    def __init__(self, stream, seconds):
        self.head = stream.head
        self._stream = stream
        self._seconds = seconds

    async def events(self):
        async for outcome in self._stream.events():
            await anyio.sleep(self._seconds)
            yield outcome


class CrashingEndpoints(ScriptedEndpoints):
    """Refuse connections at the endpoints in `down`.

    `paces` maps endpoint ids to their seconds per event.
    """

    def __init__(self, platform):
        super().__init__(platform)
        self.down = set()
        self.paces = {}

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        if endpoint.id in self.down:
            await anyio.sleep(0.005)
            yield REFUSED
            return
        async with super().stream(endpoint, call) as opened:
            seconds = self.paces.get(endpoint.id, 0.0)
            yield opened.map(lambda stream: PacedStream(stream, seconds))


def platform_of(**versions):
    """Return a platform with one endpoint for each software version given by id."""
    platform = FakePlatform(LoopClock())
    platform.client = CrashingEndpoints(platform)
    platform.endpoints = {
        id: endpoint(id, software=version) for id, version in versions.items()
    }
    return platform


def add_endpoint(platform, id, version, **changes):
    platform.endpoints[id] = endpoint(id, software=version, **changes)


def text_of(version, events):
    return "\n".join(f"text {n} of {version}" for n in range(1, events + 1))


def starts_of(platform, item_id="i0"):
    """Return the endpoint and the event to resume after of each stream of an item."""
    streams = platform.client.opened_streams
    return [(end, after) for id, end, after in streams if id == item_id]


@contextlib.asynccontextmanager
async def interrupted_item(platform, events, owner="a"):
    """Run an item at one endpoint until its stream breaks after `events` events.

    The block runs before the break.
    """
    client = platform.client
    client.events_per_stream = events + 2
    gate = client.blocked_events["i0", events + 1] = anyio.Event()
    client.failing_events.append(("i0", events + 1))
    async with running(platform, owner) as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(batch(item("i0")), BATCH_ROUTE)).is_ok()
        run = batches._entries["b1"].run
        await until(
            lambda: any(a.run.events() == events for a in run._attempts.values())
        )
        yield kernel
        gate.set()
        (result,) = await all_results(batches, "b1", 1)
        platform.results = [result]


async def know(kernel, *ids):
    """Wait until an instance knows exactly these endpoints as usable."""
    discovery = kernel.plugin("discovery")
    await until(lambda: {end.id for end in discovery.usable("models")} == set(ids))


async def test_broken_stream_goes_on_at_the_version_that_began_it():
    """Guards against a text joined from two versions that serve side by side."""
    platform = platform_of(e1="1.0")
    async with interrupted_item(platform, 4) as kernel:
        for number in range(2, 6):
            add_endpoint(platform, f"e{number}", "1.1")
        add_endpoint(platform, "e9", "1.0")
        await know(kernel, "e1", "e2", "e3", "e4", "e5", "e9")
    assert starts_of(platform) == [("e1", None), ("e9", 4)]
    assert platform.results[0].text == text_of("1.0", 6)


@pytest.mark.parametrize("left", [None, "leaving"])
async def test_text_begins_anew_after_its_version_has_gone(left):
    """Guards against a text joined from the old and the new version of a release."""
    platform = platform_of(e1="1.0")
    async with interrupted_item(platform, 4) as kernel:
        add_endpoint(platform, "e2", "1.1")
        found = platform.endpoints["e1"]
        platform.endpoints["e1"] = left and found._replace(leaving=True)
        await know(kernel, "e2")
        broken_at = platform.clock.now()
    assert starts_of(platform) == [("e1", None), ("e2", None)]
    assert platform.results[0].text == text_of("1.1", 6)
    assert platform.clock.now() - broken_at < 0.5


async def test_stream_at_a_leaving_endpoint_is_left_alone():
    """Guards against texts that are discarded although their endpoint still serves."""
    platform = platform_of(e1="1.0")
    async with interrupted_item(platform, 4) as kernel:
        platform.client.failing_events.clear()
        add_endpoint(platform, "e2", "1.1")
        platform.endpoints["e1"] = platform.endpoints["e1"]._replace(leaving=True)
        await know(kernel, "e2")
    assert starts_of(platform) == [("e1", None)]
    assert platform.results[0].text == text_of("1.0", 6)


async def test_long_text_waits_for_an_endpoint_that_restarts():
    """Guards against long texts that are written again after each crash."""
    platform = platform_of(e1="1.0")
    async with interrupted_item(platform, 40) as kernel:
        add_endpoint(platform, "e2", "1.1")
        await know(kernel, "e1", "e2")
        platform.client.down.add("e1")

        async def restart():
            await anyio.sleep(1.0)
            add_endpoint(platform, "e3", "1.0")

        kernel.plugin("batches")._tasks.start_soon(restart)
    assert starts_of(platform) == [("e1", None), ("e3", 40)]
    assert platform.results[0].text == text_of("1.0", 42)


@pytest.mark.parametrize("events", [2, 20])
async def test_text_is_given_up_if_its_only_endpoint_does_not_return(events):
    """Guards against an item that waits for as long as a dead endpoint is listed."""
    platform = platform_of(e1="1.0")
    async with interrupted_item(platform, events) as kernel:
        add_endpoint(platform, "e2", "1.1")
        await know(kernel, "e1", "e2")
        platform.client.down.add("e1")
        broken_at = platform.clock.now()
    assert starts_of(platform) == [("e1", None), ("e2", None)]
    assert platform.results[0].text == text_of("1.1", events + 2)
    assert platform.clock.now() - broken_at < 2 * events * 0.05 + 0.5


async def test_item_with_text_waits_beside_the_items_without():
    """Guards against a batch that waits for the version of one stored text."""
    platform = platform_of(e1="1.0")
    platform.client.events_per_stream = 42
    async with stored_text(platform, 40, "killed"):
        add_endpoint(platform, "e2", "1.1")
        platform.client.down.add("e1")
        async with running(platform, "b") as (kernel,):
            found = await all_results(kernel.plugin("batches"), "b1", 4)
    assert [result.item_id for result in found][-1] == "i0"
    assert found[0].text == text_of("1.1", 42)


@contextlib.asynccontextmanager
async def stored_text(platform, events, how):
    """Run a batch until its owner has gone and left the text of one item.

    `how` is `killed` or `drained`.
    """
    platform.client.events_per_stream = events + 2
    gate = platform.client.blocked_events["i0", events + 1] = anyio.Event()
    for number in range(1, 4):
        platform.client.blocked_events[f"i{number}", 1] = gate
    async with running(platform, "a") as (kernel,):
        owner = kernel.plugin("batches")
        items = batch(*(item(f"i{n}", f"g{n}") for n in range(4)))
        assert (await owner.submit(items, BATCH_ROUTE)).is_ok()
        if how == "killed":
            await until(lambda: stored_events(platform) == events)
        else:
            run = owner._entries["b1"].run
            await until(
                lambda: any(a.run.events() == events for a in run._attempts.values())
            )
            owner.on_drain()
            await owner.drain(0.0)
    gate.set()
    yield


def stored_rows(platform):
    return platform.rows.range(batch_store.PARTIAL_TABLE, "b1", "i0/", "i00")


def stored_events(platform):
    pieces = [
        msgspec.msgpack.decode(row.value, type=PartialText)
        for _, row in stored_rows(platform)
    ]
    return sum(len(piece.texts) for piece in pieces)


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batches_module, "RELEASE_MARGIN_S", 60.0)
    monkeypatch.setattr(batch_results.batch_scheduling, "CHECKPOINT_MIN_AGE_S", 0.0)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_INTERVAL_S", 0.0)


@pytest.mark.parametrize("how", ["killed", "drained"])
@pytest.mark.parametrize("old_serves", [True, False])
async def test_next_owner_goes_on_only_at_the_version_of_the_stored_text(
    how, old_serves
):
    """Guards against a text joined from two versions by two owners."""
    platform = platform_of(e1="1.0")
    async with stored_text(platform, 4, how):
        for number in range(2, 6):
            add_endpoint(platform, f"e{number}", "1.1")
        platform.endpoints["e1"] = None
        if old_serves:
            add_endpoint(platform, "e9", "1.0")
        async with running(platform, "b") as (kernel,):
            found = await all_results(kernel.plugin("batches"), "b1", 4)
    texts = {result.item_id: result.text for result in found}
    last = starts_of(platform)[-1]
    if old_serves:
        assert last == ("e9", 4)
        assert texts["i0"] == text_of("1.0", 6)
    else:
        assert last[1] is None
        assert texts["i0"] == text_of("1.1", 6)


@pytest.mark.parametrize(("serving", "resumes"), [("1.0", 4), ("1.1", None)])
async def test_unlabelled_text_goes_on_only_if_one_version_is_known(serving, resumes):
    """Guards against text of an older build that is joined with another version."""
    platform = platform_of(e1="1.0")
    async with stored_text(platform, 4, "killed"):
        for name, row in stored_rows(platform):
            table, part, key = name
            unlabelled = (table, part, key.partition("@")[0])
            assert platform.rows.transact({}, {unlabelled: row.value}, [name])
        add_endpoint(platform, "e2", serving)
        async with running(platform, "b") as (kernel,):
            await all_results(kernel.plugin("batches"), "b1", 4)
    assert starts_of(platform)[-1][1] == resumes


async def test_stored_text_is_given_up_if_its_version_continues_it_nowhere():
    """Guards against an owner that never saw the endpoint of a text alive."""
    platform = platform_of(e1="1.0")
    async with interrupted_item(platform, 40) as kernel:
        await until(lambda: stored_events(platform) == 40)
        kernel.plugin("batches").on_drain()
        await kernel.plugin("batches").drain(0.0)
        platform.client.blocked_events.clear()
        platform.client.failing_events.clear()
        platform.client.down |= {"e1", "e3"}
        add_endpoint(platform, "e3", "1.0")
        add_endpoint(platform, "e2", "1.1")
        async with running(platform, "b") as (other,):
            taken_at = platform.clock.now()
            (result,) = await all_results(other.plugin("batches"), "b1", 1)
            seconds = platform.clock.now() - taken_at
    assert result.text == text_of("1.1", 42)
    assert seconds < 40 * 0.05 + 1.0


class OlderPartialText(NamedTuple):
    """Stored text as a build without the field `software` decodes it."""

    generation: int
    first: int
    texts: tuple[str, ...]
    versions: tuple[int, ...]
    last_event: int
    failures: int
    complete: bool = False
    reward_errors: int = 0


async def test_older_builds_read_text_that_has_a_software_version():
    """Guards against older instances that end when they take a batch over."""
    platform = platform_of(e1="1.0")
    async with stored_text(platform, 4, "killed"):
        for (_, _, key), row in stored_rows(platform):
            msgspec.msgpack.decode(row.value, type=OlderPartialText)
            assert key.rpartition("/")[0] == "i0"


@pytest.mark.parametrize(
    ("version", "known"),
    [("1.0", True), ("a/b:c@d é", True), ("", True), ("v" * 300, False)],
)
async def test_version_of_stored_text_is_read_back_whatever_its_form(version, known):
    """Guards against keys that the store rejects or that name another version."""
    platform = FakePlatform(LoopClock())
    store = batch_store.BatchStore(MemoryStore(platform.rows, platform.clock), None)
    software = SoftwareVersion("models", version)
    piece = PartialText(0, 0, ("text 1",), (1,), 1, 0, software=software)
    ((name, value),) = batch_store._partial_rows("b1", [("i0", piece)])
    assert len(name.key) <= 200
    assert platform.rows.transact({}, {tuple(name): value}, [])
    found = (await store.partials("b1", 0)).unwrap()
    assert found["i0"] == piece._replace(software=software if known else None)


@pytest.mark.parametrize("left", [(), (WeightedService("models", 0.0),)])
async def test_text_of_another_service_is_not_continued(left):
    """Guards against a join by equal version names after a change of the route."""
    platform = platform_of(e1="1.0")
    services = (WeightedService("others", 1.0), *left)
    moved = BATCH_ROUTE._replace(weighted_services=services)
    async with interrupted_item(platform, 4) as kernel:
        add_endpoint(platform, "o1", "1.0", service="others")
        platform.config = CONFIG._replace(version=2, routes=(moved,))
        discovery = kernel.plugin("discovery")
        await until(lambda: discovery.serving.version == 2)
        await until(lambda: discovery.usable("others"))
    assert starts_of(platform) == [("e1", None), ("o1", None)]
    assert platform.results[0].state is ItemState.COMPLETED


@pytest.mark.parametrize("same", [True, False])
async def test_stalled_stream_migrates_to_its_version_while_one_serves(same):
    """Guards against a text joined from two versions by a migration."""
    platform = platform_of(e1="1.0")
    async with interrupted_item(platform, 12) as kernel:
        for number in range(2, 6):
            add_endpoint(platform, f"e{number}", "1.1")
        if same:
            add_endpoint(platform, "e9", "1.0")
        await know(kernel, *platform.endpoints)
        platform.client.failing_events.clear()
        platform.client.blocked_events.clear()
        await until(lambda: len(starts_of(platform)) == 2)
    after = 12 if same else None
    assert starts_of(platform)[1][1] == after
    version = "1.0" if same else "1.1"
    assert platform.results[0].text == text_of(version, 14)


@pytest.mark.parametrize(
    ("medium", "hint", "target"),
    [("1.0", 5000, "e2"), ("1.1", 5000, "e3"), ("1.1", 60, None)],
)
async def test_slow_stream_migrates_to_its_version_unless_none_serves(
    medium, hint, target
):
    """Guards against a faster endpoint that costs a joined text or all of the text."""
    platform = platform_of(e1="1.0")
    client = platform.client
    client.events_per_stream = 60
    client.paces = {"e1": 0.1, "e2": 0.06, "e3": 0.05}
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        long = batch(item("i0", hint=hint))
        assert (await batches.submit(long, BATCH_ROUTE)).is_ok()
        run = batches._entries["b1"].run
        run._ended_tokens = run._ended_events = 1
        await until(lambda: any(a.run.events() >= 40 for a in run._attempts.values()))
        add_endpoint(platform, "e2", medium)
        add_endpoint(platform, "e3", "1.1")
        await know(kernel, "e1", "e2", "e3")
        now = platform.clock.now()
        for id in ("e2", "e3"):
            found = platform.endpoints[id]
            kernel.plugin("discovery").balancer.record_latency(
                found, client.paces[id], now
            )
        (result,) = await all_results(batches, "b1", 1)
    assert [end for end, _ in starts_of(platform)] == ["e1", *([target] * bool(target))]
    assert result.text == text_of("1.1" if target == "e3" else "1.0", 60)


async def test_stream_of_an_endpoint_that_restarts_under_its_id_is_not_kept():
    """Guards against a join at an endpoint whose new version was not known yet."""
    platform = platform_of(e1="1.0")
    client = platform.client
    later = client.blocked_events["i0", 6] = anyio.Event()
    async with interrupted_item(platform, 4) as kernel:
        seen = platform.endpoints["e1"]
        restarted = seen._replace(software="1.1", started_ms=2)

        async def register():
            # The process serves before its registration is read.
            await until(lambda: len(starts_of(platform)) == 2)
            await anyio.sleep(0.2)
            discovery = kernel.plugin("discovery")
            platform.hold_registrations.set()
            await until(lambda: discovery.view.known["e1"].started_ms == 2)
            later.set()

        platform.hold_registrations = anyio.Event()
        platform.endpoints_released = platform.hold_registrations
        await anyio.sleep(0.1)
        platform.endpoints["e1"] = restarted
        kernel.plugin("batches")._tasks.start_soon(register)
    assert starts_of(platform) == [("e1", None), ("e1", 4), ("e1", None)]
    assert platform.results[0].text == text_of("1.1", 6)
