"""Contract tests of the adapters to all platform services but the table service."""

import msgspec
import pytest

from plantainstack.adapters import service_client
from plantainstack.adapters.http import HttpClient
from plantainstack.adapters.instances import HttpInstances
from plantainstack.adapters.objects import HttpObjects
from plantainstack.adapters.scorer import HttpScorer
from plantainstack.adapters.service_client import ServiceClient
from plantainstack.adapters.trainer import HttpTrainer
from plantainstack.adapters.weights import HttpWeights
from plantainstack.clock import FakeClock, SystemClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.interfaces import InstanceKind, InstanceState
from plantainstack.settings.options import Address
from standins.faults import Action, Fault
from standins.instances import InstancesStandin
from standins.objects import ObjectsStandin
from standins.scorer import ScorerStandin
from standins.server import serving
from standins.trainer import TrainerOptions, TrainerStandin
from standins.weights import WeightsStandin
from tests.adapters.timeouts import timeout_for

pytestmark = pytest.mark.anyio

NOWHERE = Address("127.0.0.1", 1)
RECORD = {"service": "s", "kind": "engine", "data_centre": "forde"}


def trainer_standin():
    return TrainerStandin(TrainerOptions("t", "token", "m", [NOWHERE], NOWHERE))


def far_deadline():
    return SystemClock().now() + 60


# By name: stand-in, adapter, path, call, and a check that the call took effect.
CALLS = {
    "put": (
        ObjectsStandin,
        HttpObjects,
        "/objects",
        lambda adapter: adapter.put("a/b c", b"data"),
        lambda state: state["objects"] == 1,
    ),
    "publish": (
        WeightsStandin,
        HttpWeights,
        "/models",
        lambda adapter: adapter.publish("m/1", 3),
        lambda state: state["versions"] == {"m/1": [3]},
    ),
    "score": (
        ScorerStandin,
        HttpScorer,
        "/score",
        lambda adapter: adapter.score([{"text": "a"}], far_deadline()),
        lambda state: state["scored"] == 1,
    ),
    "notify": (
        trainer_standin,
        HttpTrainer,
        "/notify",
        lambda adapter: adapter.notify("t", "step-1"),
        lambda state: state["notified"] == 1,
    ),
    "list": (
        InstancesStandin,
        HttpInstances,
        "/instances",
        lambda adapter: adapter.list(),
        lambda state: True,
    ),
}

# Fault action, whether the call takes effect, expected outcome of the failure.
FAULTS = [
    (Action.REFUSE, False, Outcome.NOT_RUN),
    (Action.DROP_AFTER_EFFECT, True, Outcome.MAY_HAVE_RUN),
    (Action.CUT, True, Outcome.MAY_HAVE_RUN),
    (Action.SILENT, False, Outcome.MAY_HAVE_RUN),
]


def connect(kind, address):
    return kind(ServiceClient(HttpClient(address, SystemClock())))


async def check_call(call: str, action: Action, takes_effect: bool) -> Outcome:
    """Call under a fault and check that a call reported as `not_run` did not run."""
    build, kind, path, run, has_effect = CALLS[call]
    standin = build()
    async with serving(standin) as address:
        adapter = connect(kind, address)
        standin.faults.replace([Fault(path, action, 1)])
        with timeout_for(action):
            failure = (await run(adapter)).unwrap_err()
        assert failure.kind is ErrorKind.STORE_UNAVAILABLE
        if call != "list":
            assert has_effect(standin.state()) == takes_effect
        assert not (takes_effect and failure.outcome is Outcome.NOT_RUN)
        assert (await run(adapter)).is_ok()
        return failure.outcome


@pytest.mark.parametrize(("action", "takes_effect", "outcome"), FAULTS)
@pytest.mark.parametrize("call", CALLS)
async def test_outcome_of_call_under_fault(call, action, takes_effect, outcome):
    """Guards against reporting a call with a lost answer as `not_run`."""
    assert await check_call(call, action, takes_effect) is outcome


@pytest.mark.parametrize("action", [Action.DROP_AFTER_EFFECT, Action.CUT])
async def test_naive_outcome_of_lost_answer_fails(monkeypatch, action):
    """Shows that `may_have_run` after bytes were sent is what the test checks."""
    monkeypatch.setattr(
        service_client,
        "unavailable",
        lambda message, outcome: service_client.Failure.of(
            ErrorKind.STORE_UNAVAILABLE, message, Outcome.NOT_RUN
        ),
    )
    with pytest.raises(AssertionError):
        await check_call("put", action, True)


@pytest.mark.parametrize("call", CALLS)
async def test_refused_connection_is_not_run(call):
    _, kind, _, run, _ = CALLS[call]
    failure = (await run(connect(kind, NOWHERE))).unwrap_err()
    assert failure.kind is ErrorKind.STORE_UNAVAILABLE
    assert failure.outcome is Outcome.NOT_RUN


async def test_object_content_is_never_replaced():
    async with serving(ObjectsStandin()) as address:
        objects = connect(HttpObjects, address)
        assert (await objects.get("a")).unwrap_err().kind is ErrorKind.NOT_FOUND
        assert (await objects.put("a", b"1")).is_ok()
        assert (await objects.put("a", b"1")).is_ok()
        assert (await objects.put("a", b"2")).unwrap_err().kind is ErrorKind.CONFLICT
        assert (await objects.get("a")).unwrap() == b"1"


async def test_weight_permits_are_rate_limited():
    clock = FakeClock()
    async with serving(WeightsStandin(1.0, 2, clock)) as address:
        weights = connect(HttpWeights, address)
        assert (await weights.latest("m")).unwrap() == 0
        assert (await weights.acquire("m", 1)).unwrap_err().kind is ErrorKind.NOT_FOUND
        await weights.publish("m", 2)
        await weights.publish("m", 1)
        assert (await weights.latest("m")).unwrap() == 2
        permits = [await weights.acquire("m", 2) for _ in range(3)]
        assert [permit.is_ok() for permit in permits] == [True, True, False]
        assert permits[2].unwrap_err().kind is ErrorKind.OVERLOADED
        clock.jump(1.0)
        assert (await weights.acquire("m", 2)).is_ok()


async def test_instance_list_lags():
    clock = FakeClock()
    standin = InstancesStandin(5.0, clock)
    async with serving(standin) as address:
        client = HttpClient(address, SystemClock())
        instances = HttpInstances(ServiceClient(client))
        clock.jump(10.0)
        for state in ("live", "leaving"):
            record = {**RECORD, "host": "127.0.0.1", "port": 80, "state": state}
            data = msgspec.json.encode(record)
            assert (await client.exchange("PUT", "/instances/e1", data)).is_ok()
            clock.jump(4.0)
        (record,) = (await instances.list()).unwrap()
        assert record.id == "e1" and record.kind is InstanceKind.ENGINE
        assert record.address == Address("127.0.0.1", 80)
        assert record.state is InstanceState.LIVE
        standin.faults.replace([Fault("/instances", Action.LAG, seconds=0.0)])
        (record,) = (await instances.list()).unwrap()
        assert record.state is InstanceState.LEAVING


async def test_unchanged_instance_list_is_not_sent_again():
    """Guards against sending the whole list, whose size grows, every second."""
    standin = InstancesStandin()
    async with serving(standin) as address:
        client = HttpClient(address, SystemClock())
        instances = HttpInstances(ServiceClient(client))
        statuses = []
        exchange = client.exchange

        async def recording(*args, **kwargs):
            answer = await exchange(*args, **kwargs)
            statuses.append(answer.unwrap().status)
            return answer

        client.exchange = recording
        for name in ("e1", "e1", "e2"):
            data = msgspec.json.encode({**RECORD, "host": "127.0.0.1", "port": 80})
            await exchange("PUT", f"/instances/{name}", data)
            found = (await instances.list()).unwrap()
        assert statuses == [200, 304, 200]
        assert [record.id for record in found] == ["e1", "e2"]
