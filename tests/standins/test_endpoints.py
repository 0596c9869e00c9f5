"""Contract tests of the stand-in endpoints, over the loopback interface."""

import json

import pytest

from plantainstack.adapters.http import HttpClient
from plantainstack.clock import FakeClock, SystemClock
from standins.batch import EngineOptions
from standins.completions import completion_text, prefix_hashes
from standins.engine import EngineStandin
from standins.faults import OTHER_ATTEMPT_ID, Action, Fault
from standins.plain import PlainStandin
from standins.server import serving

pytestmark = pytest.mark.anyio

MESSAGES = [
    {"role": "system", "content": "You advise on permits."},
    {"role": "user", "content": "May I open the hydrant?"},
]
FAST = EngineOptions("m", token_rate=1e6, stream_rate=1e6, load_lag_s=0.0)
ATTEMPT = [("x-attempt-id", "attempt-1")]


async def call(address, method, path, content=None, headers=ATTEMPT):
    client = HttpClient(address, SystemClock())
    data = b"" if content is None else json.dumps(content).encode()
    outcome = await client.exchange(method, path, data, headers=headers)
    await client.aclose()
    return outcome


async def get(address, path):
    return json.loads((await call(address, "GET", path)).unwrap().body)


def completion_request(**changes):
    request = {"model": "m", "messages": MESSAGES, "max_tokens": 20, "stream": True}
    return {**request, **changes}


async def complete(address, **changes):
    return await call(
        address, "POST", "/v1/chat/completions", completion_request(**changes)
    )


def parse_events(body: bytes):
    lines = [line for line in body.decode().split("\n\n") if line]
    assert all(line.startswith("data: ") for line in lines)
    return [line.removeprefix("data: ") for line in lines]


async def test_stream_events_have_version_and_tokens_and_an_end_marker():
    async with serving(EngineStandin(FAST)) as address:
        answer = (await complete(address)).unwrap()
        *events, last = parse_events(answer.body)
        events = [json.loads(event) for event in events]
        text = "".join(event["choices"][0]["delta"]["content"] for event in events)
        assert last == "[DONE]"
        assert text == completion_text(MESSAGES, 0, 20)
        assert sum(event["tokens"] for event in events) == len(text.split())
        assert {event["weight_version"] for event in events} == {1}
        assert answer.headers["x-attempt-id"] == "attempt-1"


async def test_cut_stream_has_no_end_marker():
    """The fault `cut` must truncate, or tests of truncated answers check nothing."""
    standin = EngineStandin(FAST)
    async with serving(standin) as address:
        standin.faults.replace([Fault("/v1", Action.CUT, 1)])
        assert (await complete(address)).unwrap_err().sent
        assert (await complete(address)).is_ok()


async def test_crossed_answer_has_the_attempt_id_of_another_request():
    standin = PlainStandin()
    async with serving(standin) as address:
        standin.faults.replace([Fault("/", Action.CROSSED, 1)])
        answer = (await call(address, "GET", "/permits/1")).unwrap()
        assert answer.headers["x-attempt-id"] == OTHER_ATTEMPT_ID.decode()


# Whether the engine checks fencing tokens, whether the fault ignore_fence is set,
# and the expected status.
FENCES = [(True, False, 409), (True, True, 200), (False, False, 200)]


@pytest.mark.parametrize(("checks", "ignored", "status"), FENCES)
async def test_order_with_old_fencing_number_is_refused_only_if_checked(
    checks, ignored, status
):
    standin = EngineStandin(FAST._replace(checks_fence=checks, swap_s=60.0))
    async with serving(standin) as address:
        new = {"model": "m", "version": 2, "fence": 5}
        old = {"model": "m", "version": 3, "fence": 4}
        assert (await call(address, "POST", "/orders", new)).unwrap().status == 200
        if ignored:
            standin.faults.replace([Fault("/orders", Action.IGNORE_FENCE)])
        answer = (await call(address, "POST", "/orders", old)).unwrap()
        assert answer.status == status
        loading = 2 if status == 409 else 3
        assert (await get(address, "/load"))["loading"] == loading
        assert [order["old"] for order in standin.state()["orders"]] == [False, True]


async def test_load_report_is_out_of_date_by_the_lag():
    clock = FakeClock()
    async with serving(EngineStandin(FAST._replace(load_lag_s=3.0), clock)) as address:
        clock.jump(10.0)
        await call(address, "PUT", "/_leaving", {"leaving": True})
        await call(address, "POST", "/orders", {"model": "m", "version": 1, "fence": 1})
        assert not (await get(address, "/load"))["leaving"]
        clock.jump(3.0)
        assert (await get(address, "/load"))["leaving"]


async def test_cache_events_are_listed_after_a_number_and_can_have_gaps():
    standin = EngineStandin(FAST)
    async with serving(standin) as address:
        assert (await complete(address)).is_ok()
        events = (await get(address, "/cache/events?after=0"))["events"]
        assert [event["prefix_hash"] for event in events] == prefix_hashes(MESSAGES)
        assert (await get(address, "/cache/events?after=1"))["events"] == events[1:]
        standin.faults.replace([Fault("/cache", Action.SKIP, 1)])
        assert (await get(address, "/cache/events?after=0"))["events"] == events[1:]


async def test_state_has_the_time_of_the_last_request_after_leaving():
    clock = FakeClock()
    standin = PlainStandin(clock=clock)
    async with serving(standin) as address:
        await call(address, "PUT", "/_leaving", {"leaving": True})
        clock.jump(4.0)
        await call(address, "GET", "/permits/1")
        assert standin.state()["last_after_leaving_s"] == 4.0


async def test_executions_are_counted_by_booking_reference():
    standin = PlainStandin()
    async with serving(standin) as address:
        standin.faults.replace([Fault("/bookings", Action.DROP_AFTER_EFFECT, 1)])
        for _ in range(2):
            await call(address, "POST", "/bookings", {"reference": "r1"})
        await call(address, "GET", "/bookings/r1")
        state = await get(address, "/_state")
        assert (state["runs"], state["lookups"]) == ({"r1": 2}, 1)
