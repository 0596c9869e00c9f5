"""Tests of streams while endpoints of several software versions are in service."""

import contextlib

import anyio
import pytest

from plantainstack.errors import ErrorKind, Outcome
from plantainstack.policy.stream_versions import BASE_HANDOVER_S, BASE_TRUST_S, Origin
from plantainstack.services import stream_records
from plantainstack.services.forwarding import ClientCall
from plantainstack.services.stream_bases import BASE_TABLE
from plantainstack.services.stream_records import RECORD_TABLE, SWEEP_INTERVAL_S
from plantainstack.serving import RequestKind, TakeUp, WeightedService
from tests.policy.serving_samples import endpoint, route
from tests.services.store_fleet import CONFIG, FakePlatform, running
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

STREAM_ROUTE = route(RequestKind.STREAM, name="r-stream", prefix="/t/", endpoints_max=3)
STREAM_CONFIG = CONFIG._replace(routes=(*CONFIG.routes, STREAM_ROUTE))
SETTLED_S = 2.0


def platform_with(**versions):
    """Return a platform whose endpoints have these software versions."""
    platform = FakePlatform(LoopClock())
    platform.config = STREAM_CONFIG
    platform.endpoints = {}
    platform.software = {}
    set_versions(platform, **versions)
    return platform


def set_versions(platform, **versions):
    """Let these endpoints be in service, and no others."""
    platform.endpoints = dict.fromkeys(platform.endpoints)
    for id, software in versions.items():
        platform.endpoints[id] = endpoint(id, software=software)
        platform.software[id] = software


def call(kernel, id="r1", take_up=None, seconds=5.0):
    deadline = kernel.clock.now() + seconds
    # A client that takes a stream up sends the same request again.
    target = f"/t/{take_up.stream_id if take_up else id}"
    return ClientCall(id, "POST", target, "desk.example", (), b"", deadline, take_up)


async def read(kernel, sent, found_route=STREAM_ROUTE):
    """Return the parts of a stream."""
    found = kernel.plugin("forwarding").stream(sent, found_route)
    return [part async for part in found]


def opened(platform):
    """Return version and start of the streams that endpoints were asked for."""
    return [
        (id, platform.software[end], after)
        for id, end, after in platform.client.opened_streams
    ]


@contextlib.asynccontextmanager
async def settled(platform, *names):
    """Run instances that know the base of their routes."""
    async with running(platform, *names) as kernels:
        await anyio.sleep(SETTLED_S)
        platform.client.opened_streams.clear()
        yield kernels


async def begin_at(platform, kernel, software, id):
    """Begin a stream at a version; it breaks off after its second event."""
    every = {id: platform.software[id] for id, end in platform.endpoints.items() if end}
    only = next(id for id, found in every.items() if found == software)
    set_versions(platform, **{only: software})
    await anyio.sleep(SETTLED_S)
    platform.client.failing_events += [(id, 3)]
    parts = await read(kernel, call(kernel, id))
    set_versions(platform, **every)
    await anyio.sleep(SETTLED_S)
    platform.client.opened_streams.clear()
    assert parts[-1].is_err()
    assert len(parts) > 1


async def resume(kernel, id, stream_id, after=2):
    return await read(kernel, call(kernel, id, TakeUp(after, stream_id)))


async def test_broken_stream_is_not_resumed_at_another_software_version():
    """Guards against one answer that joins events of two versions."""
    platform = platform_with(e1="V", e2="W")
    platform.client.failing_events = [("r1", 2)]
    async with settled(platform, "a") as (kernel,):
        parts = await read(kernel, call(kernel))
    assert parts[-1].is_err()
    assert len(platform.client.opened_streams) == 1


async def test_broken_stream_is_resumed_at_its_software_version():
    """Guards against a stream that ends although its version is in service."""
    platform = platform_with(e1="V", e2="W", e3="V", e4="W")
    platform.client.failing_events = [("r1", 2)]
    async with settled(platform, "a") as (kernel,):
        parts = await read(kernel, call(kernel))
    assert parts[-1].is_ok()
    (_, first, _), (_, second, after) = opened(platform)
    assert (first, after) == (second, 1)


async def test_stream_that_broke_before_its_first_event_goes_to_any_version():
    """Guards against refusing a stream of which the client has received nothing."""
    platform = platform_with(e1="V", e2="W")
    platform.client.failing_events = [("r1", 1)]
    async with settled(platform, "a") as (kernel,):
        parts = await read(kernel, call(kernel))
    assert parts[-1].is_ok()
    assert [after for _, _, after in platform.client.opened_streams] == [None, None]


@pytest.mark.proof("whole-answer", "killed")
@pytest.mark.parametrize("software", ["V", "W"])
async def test_stream_goes_on_at_its_version_after_all_instances_were_killed(software):
    """Guards against a text joined from two versions, or begun again."""
    platform = platform_with(e1="V", e2="V", e3="V", e4="W", e5="W", e6="W")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, software, "r1")
    async with settled(platform, "b", "c") as (first, second):
        platform.client.failing_events = [("r2", 3)]
        assert (await resume(first, "r2", "r1"))[-1].is_ok()
        assert (await resume(second, "r3", "r1"))[-1].is_ok()
    assert {(software, 2)} == {(found, after) for _, found, after in opened(platform)}


async def test_stream_whose_version_has_left_is_refused_as_not_run():
    """Guards against a joined text, a 404 and a wait until the deadline."""
    platform = platform_with(e1="V", e2="V", e3="W")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "W", "r1")
    set_versions(platform, e1="V", e2="V")
    async with settled(platform, "b") as (kernel,):
        started = kernel.clock.now()
        (part,) = await resume(kernel, "r2", "r1")
        assert kernel.clock.now() - started < 0.1
    failure = part.unwrap_err()
    assert failure.kind is ErrorKind.NO_ENDPOINT
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.retry_after_s > 0.0
    assert opened(platform) == []


@pytest.mark.proof("whole-answer", "store-down")
async def test_take_up_is_refused_while_the_store_cannot_tell_its_version():
    """Guards against guessing the version of a stream while the store is away."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "V", "r1")
    async with settled(platform, "b") as (kernel,):
        store = kernel.plugin("store").metadata_store
        store.unavailable = True
        (part,) = await resume(kernel, "r2", "r1")
        assert part.unwrap_err().outcome is Outcome.NOT_RUN
        assert opened(platform) == []
        store.unavailable = False
        assert (await resume(kernel, "r3", "r1"))[-1].is_ok()


async def test_own_stream_goes_on_while_the_store_is_away():
    """Guards against refusing what the instance itself has passed on."""
    platform = platform_with(e1="V", e2="V", e3="W")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "W", "r1")
        kernel.plugin("store").metadata_store.unavailable = True
        assert (await resume(kernel, "r2", "r1"))[-1].is_ok()
    assert opened(platform) == [("r2", "W", 2)]


async def test_streams_begin_at_the_base_version_while_the_store_is_away():
    """Guards against streams of which nobody could tell the version later."""
    platform = platform_with(e1="V", e2="W", e3="V", e4="W")
    async with settled(platform, "a") as (kernel,):
        kernel.plugin("store").metadata_store.unavailable = True
        failed = 0
        for number in range(12):
            parts = await read(kernel, call(kernel, f"r{number}"))
            failed += parts[-1].is_err()
        assert failed == 0
        kernel.plugin("store").metadata_store.unavailable = False
    async with settled(platform, "b") as (kernel,):
        for number in range(12):
            await resume(kernel, f"s{number}", f"r{number}")
        assert {software for _, software, _ in opened(platform)} == {"V"}


async def test_streams_begin_at_the_base_service_while_the_store_is_away():
    """Guards against refusing streams that drew a service without the base version."""
    both = (WeightedService("models", 0.5), WeightedService("app", 0.5))
    shared = STREAM_ROUTE._replace(weighted_services=both)
    platform = platform_with(e1="V", e2="V")
    platform.endpoints["a1"] = endpoint("a1", service="app", software="V")
    platform.software["a1"] = "other"
    platform.config = CONFIG._replace(routes=(*CONFIG.routes, shared))
    async with settled(platform, "a") as (kernel,):
        kernel.plugin("store").metadata_store.unavailable = True
        ends = [
            (await read(kernel, call(kernel, f"r{number}"), shared))[-1].is_ok()
            for number in range(20)
        ]
        failed = ends.index(False)
        assert all(ends[failed + 1 : failed + 6])


async def test_stream_is_refused_as_not_run_without_store_and_base_version():
    """Guards against a stream whose version could not be told later."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        set_versions(platform, e3="W")
        await anyio.sleep(SETTLED_S)
        kernel.plugin("store").metadata_store.unavailable = True
        assert (await read(kernel, call(kernel, "r1")))[-1].is_err()
        platform.client.opened_streams.clear()
        (part,) = await read(kernel, call(kernel, "r2"))
    assert part.unwrap_err().outcome is Outcome.NOT_RUN
    assert platform.client.opened_streams == []


@pytest.mark.proof("whole-answer", "answer-lost")
@pytest.mark.parametrize("fault", ["lost", "dropped", "down"])
async def test_first_event_waits_until_the_version_is_stored(fault):
    """Guards against an event that a client has and whose version nobody knows."""
    platform = platform_with(e1="V", e2="V", e3="V", e4="V")
    async with settled(platform, "a") as (kernel,):
        set_versions(platform, e5="W")
        await anyio.sleep(SETTLED_S)
        kernel.plugin("store").metadata_store.faults = [fault, fault]
        parts = []
        async for part in kernel.plugin("forwarding").stream(
            call(kernel), STREAM_ROUTE
        ):
            parts.append(part)
            if len(parts) == 2:
                assert platform.rows.parts(RECORD_TABLE)
        assert parts[-1].is_ok()


@pytest.mark.proof("not-run", "store-down")
async def test_stream_whose_version_was_not_stored_claims_no_not_run():
    """Guards against a promise that an endpoint did not run the request."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        set_versions(platform, e3="W")
        await anyio.sleep(SETTLED_S)
        kernel.plugin("store").metadata_store.faults = ["dropped"] * 100
        parts = await read(kernel, call(kernel))
    assert parts[-1].unwrap_err().outcome is not Outcome.NOT_RUN
    assert b"" not in [part.ok() for part in parts]


async def test_record_names_the_version_that_brought_the_first_event():
    """Guards against a record of an attempt that broke before its first event."""
    platform = platform_with(e1="V", e2="V", e3="V", e4="V", e5="W")
    platform.client.failing_events = []
    async with settled(platform, "a") as (kernel,):
        for number in range(10):
            id = f"r{number}"
            platform.client.failing_events = [(id, 1)]
            await read(kernel, call(kernel, id))
    first = {id: software for id, software, after in opened(platform) if not after}
    platform.client.opened_streams.clear()
    async with settled(platform, "b") as (kernel,):
        for id, software in first.items():
            await resume(kernel, f"again-{id}", id)
            assert opened(platform)[-1] == (f"again-{id}", software, 2)


async def test_late_write_of_an_earlier_attempt_changes_nothing():
    """Guards against a record that a delayed write of the first attempt replaces."""
    platform = platform_with(e1="V", e2="V")
    origins = [Origin("models", software) for software in "WV"]
    async with settled(platform, "a") as (kernel,):
        records = kernel.plugin("stream_versions").records
        first = stream_records.StreamRecord(
            stream_records._digest("r1"), origins[0], 0.0, None
        )
        second = records.write("r1", origins[1], first)
        assert await records.is_stored(second, kernel.clock.now() + 5.0)
        late = records.write("r1", origins[0], None)
        assert late.row_name() == first.row_name()
        assert await records.is_stored(late, kernel.clock.now() + 5.0)
        assert (await records.read("r1")).unwrap() == origins[1]


async def test_record_of_an_earlier_attempt_is_not_written_after_its_time():
    """Guards against a record of an attempt from which the client got nothing."""
    platform = platform_with(e1="V", e2="V")
    old, new = (Origin("models", software) for software in "VW")
    async with settled(platform, "a") as (kernel,):
        versions = kernel.plugin("stream_versions")
        kernel.plugin("store").metadata_store.faults = ["down"]
        first = versions.begin(STREAM_ROUTE, "/t/r1", "r1", new, None)
        await anyio.sleep(0.01)
        assert versions.begin(STREAM_ROUTE, "/t/r1", "r1", old, first) is None
        await anyio.sleep(SETTLED_S)
        assert (await versions.records.read("r1")).unwrap() is None


@pytest.mark.proof("whole-answer", "list-lag")
async def test_instance_that_has_not_heard_of_a_release_joins_no_text():
    """Guards against a take-up at the only version that an instance knows."""
    platform = platform_with(e1="V", e2="V", e3="W")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "W", "r1")
    set_versions(platform, e1="V", e2="V")
    async with settled(platform, "b") as (kernel,):
        platform.endpoints_released = anyio.Event()
        await anyio.sleep(SETTLED_S)
        set_versions(platform, e1="V", e2="V", e3="W")
        (part,) = await resume(kernel, "r2", "r1")
        assert part.unwrap_err().outcome is Outcome.NOT_RUN
        platform.endpoints_released.set()
        await anyio.sleep(SETTLED_S)
        assert (await resume(kernel, "r3", "r1"))[-1].is_ok()
    assert opened(platform) == [("r3", "W", 2)]


async def test_base_version_follows_a_release_after_old_streams_have_ended():
    """Guards against writes for every stream long after a release."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a", "b") as kernels:
        await begin_at(platform, kernels[0], "V", "r1")
        set_versions(platform, e3="W", e4="W")
        await anyio.sleep(60.0)
        (part,) = await resume(kernels[1], "r2", "r1")
        assert part.unwrap_err().kind is ErrorKind.NO_ENDPOINT
        assert platform.rows.parts(RECORD_TABLE) == []
        await anyio.sleep(BASE_HANDOVER_S + 60.0)
        await read(kernels[0], call(kernels[0], "r3"))
        assert platform.rows.parts(RECORD_TABLE) == []
        assert (await resume(kernels[1], "r4", "r3"))[-1].is_ok()


async def test_base_version_outlives_a_release_that_is_taken_back():
    """Guards against streams of the old version that are taken for the new one's."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "V", "r1")
        set_versions(platform, e3="W", e4="W")
        await anyio.sleep(60.0)
        set_versions(platform, e1="V", e2="V")
        await anyio.sleep(10.0)
        await read(kernel, call(kernel, "r3"))
        assert platform.rows.parts(RECORD_TABLE) == []
    async with settled(platform, "b") as (kernel,):
        assert (await resume(kernel, "r2", "r1"))[-1].is_ok()


async def test_instance_cut_off_for_long_begins_no_stream_without_a_record():
    """Guards against streams begun by a base version that has changed meanwhile."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        assert (await read(kernel, call(kernel, "r1")))[-1].is_ok()
        kernel.plugin("store").metadata_store.unavailable = True
        await anyio.sleep(BASE_TRUST_S / 2)
        assert (await read(kernel, call(kernel, "r2")))[-1].is_ok()
        await anyio.sleep(BASE_TRUST_S / 2)
        assert (await read(kernel, call(kernel, "r3")))[-1].is_err()


async def test_instance_without_streams_for_long_begins_some_without_the_store():
    """Guards against refusing all streams in an outage after a quiet time."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        await anyio.sleep(BASE_TRUST_S + 60.0)
        kernel.plugin("store").metadata_store.unavailable = True
        await anyio.sleep(SETTLED_S)
        assert (await read(kernel, call(kernel, "r1")))[-1].is_ok()


async def test_take_ups_at_one_time_share_their_reads_of_the_base():
    """Guards against two reads of the store for each stream after a restart of all."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "V", "r0")
    async with settled(platform, "b") as (kernel,):
        reads = kernel.plugin("store").metadata_store.reads
        async with anyio.create_task_group() as tasks:
            for number in range(50):
                tasks.start_soon(resume, kernel, f"s{number}", f"r{number}")
        reads = kernel.plugin("store").metadata_store.reads - reads
    assert len(platform.client.opened_streams) == 50
    assert reads <= 60


async def test_stream_of_a_service_that_the_route_has_left_is_refused():
    """Guards against going on at a service that the configuration forbids."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "V", "r1")
        platform.endpoints["a1"] = endpoint("a1", service="app", software="V")
        await anyio.sleep(SETTLED_S)
        moved = STREAM_ROUTE._replace(weighted_services=(WeightedService("app", 1.0),))
        sent = call(kernel, "r2", TakeUp(2, "r1"))
        (part,) = await read(kernel, sent, moved)
    assert part.unwrap_err().outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("left", [(), (WeightedService("models", 0.0),)])
async def test_no_stream_begins_at_a_service_that_the_route_has_left(left):
    """Guards against the old service while the store is away after a change."""
    platform = platform_with(e1="V", e2="V")
    platform.endpoints["a1"] = endpoint("a1", service="app", software="V")
    platform.software["a1"] = "app V"
    async with settled(platform, "a") as (kernel,):
        moved = STREAM_ROUTE._replace(
            weighted_services=(*left, WeightedService("app", 1.0))
        )
        platform.config = CONFIG._replace(version=2, routes=(*CONFIG.routes, moved))
        await anyio.sleep(SETTLED_S)
        kernel.plugin("store").metadata_store.unavailable = True
        for number in range(4):
            await read(kernel, call(kernel, f"r{number}"), moved)
    assert {end for _, end, _ in platform.client.opened_streams} <= {"a1"}


async def test_base_is_no_service_without_a_share_of_the_route():
    """Guards against streams at a service that gets none, and records for the rest."""
    platform = platform_with(e1="V", e2="V")
    platform.endpoints["a1"] = endpoint("a1", service="app", software="V")
    shares = (WeightedService("models", 0.0), WeightedService("app", 1.0))
    split = STREAM_ROUTE._replace(weighted_services=shares)
    platform.config = CONFIG._replace(routes=(*CONFIG.routes, split))
    async with settled(platform, "a") as (kernel,):
        await read(kernel, call(kernel, "r1"), split)
        assert platform.rows.parts(RECORD_TABLE) == []
        kernel.plugin("store").metadata_store.unavailable = True
        assert (await read(kernel, call(kernel, "r2"), split))[-1].is_ok()
    assert {end for _, end, _ in platform.client.opened_streams} == {"a1"}


async def test_take_up_that_names_no_stream_goes_on_beside_a_single_version_only():
    """Guards against a joined text for clients that send no Resumes."""
    platform = platform_with(e1="V", e2="V", e3="W")
    async with settled(platform, "a") as (kernel,):
        assert (await resume(kernel, "r1", ""))[-1].is_ok()
        await begin_at(platform, kernel, "W", "r2")
        (part,) = await resume(kernel, "r3", "")
        assert part.unwrap_err().outcome is Outcome.NOT_RUN


async def test_take_up_with_an_unreadable_event_id_is_refused():
    """Guards against a stream that begins again at its first event."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a") as (kernel,):
        (part,) = await read(kernel, call(kernel, "r2", TakeUp(None, "r1")))
    assert part.unwrap_err().kind is ErrorKind.BAD_REQUEST


async def test_records_are_removed_once_their_streams_are_over():
    """Guards against a table of records that grows without end."""
    platform = platform_with(e1="V", e2="V", e3="W")
    async with settled(platform, "a") as (kernel,):
        await begin_at(platform, kernel, "W", "r1")
        assert platform.rows.parts(RECORD_TABLE)
        await anyio.sleep(200.0)
        assert platform.rows.parts(RECORD_TABLE) == []
        await begin_at(platform, kernel, "W", "r2")
    async with settled(platform, "b"):
        await anyio.sleep(4 * SWEEP_INTERVAL_S)
        assert platform.rows.parts(RECORD_TABLE) == []


async def test_deployment_without_resumable_streams_pays_nothing():
    """Guards against rows and calls of the store for routes that need none."""
    platform = platform_with(e1="V", e2="W")
    platform.config = CONFIG
    once = STREAM_ROUTE._replace(resumable=False)
    async with settled(platform, "a") as (kernel,):
        calls = kernel.plugin("store").metadata_store.calls
        await read(kernel, call(kernel, "r1"), once)
        await read(kernel, call(kernel, "r2", TakeUp(2, "r1")), once)
        assert kernel.plugin("store").metadata_store.calls == calls
    assert [after for _, _, after in opened(platform)] == [None, None]
    assert platform.rows.parts(BASE_TABLE) == []
    assert platform.rows.parts(RECORD_TABLE) == []


async def test_text_of_an_endpoint_that_restarted_with_other_software_is_not_joined():
    """Guards against a resumption by a registration that was read too late."""
    platform = platform_with(e1="V", e2="V", e3="W")
    ids = [f"r{number}" for number in range(12)]
    gate = anyio.Event()
    platform.client.blocked_events = {(id, 3): gate for id in ids}
    platform.client.failing_events = [(id, 3) for id in ids]

    async def take_up_all(kernel, first):
        for id, end in first.items():
            parts = await resume(kernel, f"{kernel.settings.instance.id}-{id}", id)
            assert parts[-1].is_err() == (end == "e1")

    async with settled(platform, "a") as (kernel,):
        platform.endpoints_released = anyio.Event()
        await anyio.sleep(SETTLED_S)
        restarted = endpoint("e1", software="W", started_ms=2)
        platform.endpoints["e1"] = restarted
        async with anyio.create_task_group() as tasks:
            for id in ids:
                tasks.start_soon(read, kernel, call(kernel, id, seconds=30.0))
            await anyio.sleep(SETTLED_S)
            platform.endpoints_released.set()
            await anyio.sleep(SETTLED_S)
            gate.set()
        first = {id: end for id, end, after in platform.client.opened_streams[:12]}
        platform.software["e1"] = "W"
        versions = {id: set() for id in ids}
        for id, software, _ in opened(platform):
            versions[id].add(software)
        await take_up_all(kernel, first)
    async with settled(platform, "b") as (kernel,):
        await take_up_all(kernel, first)
    assert "e1" in first.values()
    assert [id for id, found in versions.items() if len(found) > 1] == []


async def test_stream_goes_on_after_its_endpoint_was_upgraded_in_place():
    """Guards against refusing streams that began before the restart."""
    platform = platform_with(e1="V")
    gate = anyio.Event()
    platform.client.blocked_events = {("r1", 3): gate}
    platform.client.failing_events = [("r1", 3)]
    parts = []
    async with settled(platform, "a") as (kernel,):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_into, parts, kernel, call(kernel, seconds=30.0))
            await anyio.sleep(3.0)
            born_ms = int(kernel.clock.wall() * 1000)
            set_versions(platform, e1="W", e2="V")
            upgraded = endpoint("e1", software="W", started_ms=born_ms)
            platform.endpoints["e1"] = upgraded
            await anyio.sleep(SETTLED_S)
            gate.set()
        assert parts[-1].is_ok()
        assert [end for _, end, _ in platform.client.opened_streams] == ["e1", "e2"]


async def read_into(parts, kernel, sent):
    parts += await read(kernel, sent)


def restart(platform, id, software):
    """Restart an endpoint under its id; instances learn of it when released."""
    if platform.endpoints_released is None:
        platform.endpoints_released = anyio.Event()
    started_ms = int(platform.clock.wall() * 1000)
    restarted = endpoint(id, software=software, started_ms=started_ms)
    platform.endpoints[id] = restarted
    platform.software[id] = software


def passed_on(parts):
    """Return the number of events that a client has received."""
    return sum(part.is_ok() and isinstance(part.unwrap(), bytes) for part in parts)


@pytest.mark.parametrize("other", [False, True])
async def test_stream_is_not_resumed_at_an_endpoint_that_restarted_unnoticed(other):
    """Guards against an instance out of step that joins two software versions."""
    platform = platform_with(e1="V", e2="V", **({"e3": "V"} if other else {}))
    gate = anyio.Event()
    parts = []
    async with settled(platform, "a") as (kernel,):
        platform.client.blocked_events = {("r1", 3): gate}
        platform.client.failing_events = [("r1", 3)]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_into, parts, kernel, call(kernel, seconds=30.0))
            await anyio.sleep(3.0)
            assert platform.client.opened_streams == [("r1", "e1", None)]
            restart(platform, "e2", "W")
            await anyio.sleep(0.1)
            gate.set()
    assert opened(platform)[1] == ("r1", "W", 2)
    assert opened(platform)[2:] == ([("r1", "V", 2)] if other else [])
    assert parts[-1].is_ok() == other
    assert passed_on(parts) == (3 if other else 2)


async def test_stream_is_not_taken_up_at_an_endpoint_that_restarted_unnoticed():
    """Guards against an instance that stood still and takes up what others began."""
    platform = platform_with(e1="V", e2="V")
    async with settled(platform, "a", "b") as (first, second):
        await begin_at(platform, first, "V", "r1")
        restart(platform, "e1", "W")
        restart(platform, "e2", "W")
        await anyio.sleep(0.1)
        parts = await resume(second, "r2", "r1")
        assert parts[-1].is_err()
        assert passed_on(parts) == 0


async def test_stream_of_an_endpoint_that_restarted_unnoticed_is_not_resumed():
    """Guards against a stream that began at other software than its record says."""
    platform = platform_with(e1="V")
    gate = anyio.Event()
    parts = []
    async with settled(platform, "a") as (kernel,):
        platform.client.blocked_events = {("r1", 3): gate}
        platform.client.failing_events = [("r1", 3)]
        set_versions(platform, e2="V")
        await anyio.sleep(SETTLED_S)
        restart(platform, "e2", "W")
        await anyio.sleep(0.1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_into, parts, kernel, call(kernel, seconds=30.0))
            await anyio.sleep(0.1)
            assert opened(platform) == [("r1", "W", None)]
            # The instance learns of the other endpoint, not yet of the restart.
            view = kernel.plugin("discovery").view
            platform.endpoints["e1"] = endpoint("e1", software="V")
            view.known["e1"] = platform.endpoints["e1"]
            gate.set()
        assert parts[-1].is_err()
        assert passed_on(parts) == 2
        assert opened(platform) == [("r1", "W", None)]
