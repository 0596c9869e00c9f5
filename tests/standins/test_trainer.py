"""Contract tests of the stand-in trainer, against a minimal fake of the step API."""

import json

import anyio
import pytest
from starlette.routing import Route

from plantainstack.adapters.http import HttpClient
from plantainstack.clock import SystemClock
from standins.base import Standin, json_response
from standins.faults import Action, Fault
from standins.server import serving
from standins.trainer import TrainerOptions, TrainerStandin
from standins.weights import WeightsStandin

pytestmark = pytest.mark.anyio

BASE = "/v1/trainers/t/steps"
SAMPLES = [
    {"group": 0, "index": 0, "spans": [{"version": 1, "tokens": 3}]},
    {
        "group": 0,
        "index": 1,
        "spans": [{"version": 1, "tokens": 3}, {"version": 2, "tokens": 4}],
    },
]


class StepsStandin(Standin):
    """Serve steps that report the state `sealed` from the second status request on."""

    def __init__(self):
        super().__init__()
        self.opened = []
        self.status_requests = 0
        self.acknowledged = []

    def routes(self):
        return [
            Route(BASE, self._open, methods=["POST"]),
            Route(f"{BASE}/{{step}}", self._status, methods=["GET"]),
            Route(f"{BASE}/{{step}}/samples", self._samples, methods=["GET"]),
            Route(f"{BASE}/{{step}}/ack", self._ack, methods=["POST"]),
        ]

    def state(self):
        return {}

    async def _open(self, request):
        assert request.headers["authorization"] == "Bearer token"
        self.opened.append(json.loads(await request.body()))
        return json_response({"state": "open"})

    async def _status(self, request):
        self.status_requests += 1
        return json_response(
            {"state": "open" if self.status_requests < 2 else "sealed"}
        )

    async def _samples(self, request):
        return json_response({"samples": SAMPLES})

    async def _ack(self, request):
        self.acknowledged.append(request.path_params["step"])
        return json_response({"state": "acked"})


async def run_step(faults: list[Fault]):
    """Run one step against two entry instances; the faults are set on the first."""
    first, second, weights = StepsStandin(), StepsStandin(), WeightsStandin()
    first.faults.replace(faults)
    async with serving(first) as one, serving(second) as two:
        async with serving(weights) as store:
            publisher = HttpClient(store, SystemClock())
            await publisher.exchange("POST", "/models/m/versions/2")
            options = TrainerOptions(
                "t", "token", "m", [one, two], store, groups=1, samples=2
            )
            trainer = TrainerStandin(options)
            async with serving(trainer) as address:
                client = HttpClient(address, SystemClock())
                await client.exchange("POST", "/_steps", b'{"steps": 1}')
                for _ in range(200):
                    if trainer.state()["steps"]:
                        break
                    await anyio.sleep(0.05)
                await client.aclose()
            await publisher.aclose()
    return first, second, trainer.state()


async def test_step_is_recorded_with_its_versions_and_staleness():
    first, _, state = await run_step([])
    (step,) = state["steps"]
    assert [sample["versions"] for sample in step["samples"]] == [[1], [1, 2]]
    assert [sample["staleness"] for sample in step["samples"]] == [1, 1]
    assert step["policy_version"] == 2 and step["same_when_fetched_again"]
    assert state["idle_s"] == step["idle_s"] > 0
    assert first.acknowledged == ["step-0001"]
    (request,) = first.opened
    assert len(request["groups"]) == 1 and request["samples_per_group"] == 2


@pytest.mark.parametrize("action", [Action.DROP_AFTER_EFFECT, Action.REFUSE])
async def test_step_is_reopened_at_the_next_instance_after_a_failure(action):
    """A fault must not make the trainer stop or open a different step."""
    first, second, state = await run_step([Fault(BASE, action)])
    assert [step["step"] for step in state["steps"]] == ["step-0001"]
    assert {request["step"] for request in first.opened + second.opened} == {
        "step-0001"
    }
    assert second.acknowledged == ["step-0001"]
    assert state["refusals"].total() >= 1
