"""Stand-in for a trainer, which runs steps through the service under test."""

import itertools
from collections import Counter
from http import HTTPStatus
from typing import Any

import anyio
import msgspec
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from plantainstack.adapters.http import Answer, HttpClient
from plantainstack.adapters.service_client import ServiceClient
from plantainstack.adapters.weights import HttpWeights
from plantainstack.settings.options import Address
from standins.base import Standin, decode_body, json_response

POLL_INTERVAL_S = 0.2
STEP_TIMEOUT_S = 24 * 60.0


class TrainerOptions(msgspec.Struct):
    """Identity of a stand-in trainer and parameters of its steps."""

    name: str
    token: str
    model: str
    entries: list[Address]
    weights: Address
    groups: int = 4
    samples: int = 4
    max_tokens: int = 48
    version_bound: int = 1
    step_timeout_s: float = 60.0
    train_s: float = 0.5


class _StepsBody(msgspec.Struct):
    steps: int


class _NotifyBody(msgspec.Struct):
    trainer: str
    step: str


class TrainerStandin(Standin):
    """Open steps, fetch their samples and acknowledge them.

    POST /_steps requests a number of additional steps.
    """

    def __init__(self, options: TrainerOptions, clock=None):
        super().__init__(clock)
        self._options = options
        self._clients = [HttpClient(each, self.clock) for each in options.entries]
        self._client_cycle = itertools.cycle(self._clients)
        self._client = next(self._client_cycle)
        self._weights = HttpWeights(
            ServiceClient(HttpClient(options.weights, self.clock))
        )
        self._requested_steps = 0
        self._wake = anyio.Event()
        self._notified = 0
        self._refusals: Counter[str] = Counter()
        self._steps: list[dict[str, Any]] = []

    def routes(self) -> list[BaseRoute]:
        """Return the routes of a trainer."""
        return [
            Route("/notify", self._notify, methods=["POST"]),
            Route("/_steps", self._request_steps, methods=["POST"]),
        ]

    def state(self) -> dict[str, Any]:
        """Return the counts and a record of each step; idle time is in seconds."""
        return {
            "wanted": self._requested_steps,
            "notified": self._notified,
            "refusals": self._refusals,
            "steps": self._steps,
            "idle_s": sum(step["idle_s"] for step in self._steps),
        }

    async def run(self) -> None:
        """Run the requested steps one at a time; a step that times out is recorded."""
        for number in itertools.count(1):
            while number > self._requested_steps:
                self._wake = anyio.Event()
                await self._wake.wait()
            step = f"step-{number:04d}"
            try:
                await self._run_step(step)
            except TimeoutError as exc:
                self._steps.append({"step": step, "idle_s": 0.0, "failed": str(exc)})

    async def _run_step(self, step: str) -> None:
        opened_at = self.clock.now()
        deadline = opened_at + STEP_TIMEOUT_S
        policy_version = await self._newest_version()
        request = self._step_request(step, policy_version)
        await self._call_until(deadline, "POST", "steps", request)
        await self._call_until(deadline, "GET", f"steps/{step}", accept=_is_sealed)
        # Read before the samples are fetched: the newest version at their delivery
        # can be higher than this one, but not lower.
        newest = await self._newest_version()
        fetched = await self._call_until(deadline, "GET", f"steps/{step}/samples")
        idle_s = self.clock.now() - opened_at
        second_fetch = await self._call_until(deadline, "GET", f"steps/{step}/samples")
        await self._call_until(deadline, "POST", f"steps/{step}/ack", {})
        samples = fetched["samples"]
        self._steps.append(
            {
                "step": step,
                "policy_version": policy_version,
                "newest_version": newest,
                "idle_s": idle_s,
                "expected": self._options.groups * self._options.samples,
                "samples": [summarize(sample, newest) for sample in samples],
                "same_when_fetched_again": second_fetch["samples"] == samples,
            }
        )
        await self.clock.sleep_until(self.clock.now() + self._options.train_s)

    def _step_request(self, step: str, policy_version: int) -> dict[str, Any]:
        options = self._options
        deadline = self.clock.wall() + options.step_timeout_s
        return {
            "step": step,
            "model": options.model,
            "policy_version": policy_version,
            "version_bound": options.version_bound,
            "groups": [
                {"prompt": _messages(step, number)} for number in range(options.groups)
            ],
            "samples_per_group": options.samples,
            "max_tokens": options.max_tokens,
            "deadline": int(deadline * 1000),
        }

    async def _newest_version(self) -> int:
        while True:
            found = await self._weights.latest(self._options.model)
            if found.is_ok():
                return found.unwrap()
            await self._wait_poll_interval()

    async def _call_until(
        self, deadline: float, method: str, path: str, content=None, accept=bool
    ) -> dict[str, Any]:
        """Repeat a call until `accept` returns true for its answer.

        After each failure the next entry instance is used. Raises TimeoutError at
        the deadline.
        """
        target = f"/v1/trainers/{self._options.name}/{path}"
        data = b"" if content is None else msgspec.json.encode(content)
        while self.clock.now() < deadline:
            outcome = await self._call(method, target, data)
            if outcome.is_ok() and accept(outcome.unwrap()):
                return outcome.unwrap()
            if outcome.is_err():
                self._refusals[f"{method} {outcome.unwrap_err()}"] += 1
                self._client = next(self._client_cycle)
            await self._wait_poll_interval()
        raise TimeoutError(f"{method} {target}: no accepted answer before the deadline")

    async def _call(self, method: str, target: str, data: bytes) -> Result[dict, str]:
        headers = [
            ("authorization", f"Bearer {self._options.token}"),
            ("content-type", "application/json"),
        ]
        outcome = await self._client.exchange(method, target, data, headers=headers)
        if outcome.is_err():
            return Err("no answer")
        return _decode(outcome.unwrap())

    async def _wait_poll_interval(self) -> None:
        await self.clock.sleep_until(self.clock.now() + POLL_INTERVAL_S)

    async def _notify(self, request: Request) -> Response:
        await decode_body(request, _NotifyBody)
        self._notified += 1
        return json_response({})

    async def _request_steps(self, request: Request) -> Response:
        self._requested_steps += (await decode_body(request, _StepsBody)).steps
        self._wake.set()
        return json_response({})


def summarize(sample: dict[str, Any], newest: int) -> dict[str, Any]:
    """Return the position, weight versions and staleness of a sample.

    Staleness is the distance of its oldest version from the newest one.
    """
    versions = sorted({_version(span) for span in sample["spans"]})
    return {
        "group": sample["group"],
        "index": sample["index"],
        "versions": versions,
        "staleness": newest - versions[0] if versions else None,
    }


def _version(span: dict[str, Any] | list[int]) -> int:
    return span["version"] if isinstance(span, dict) else span[0]


def _messages(step: str, number: int) -> list[dict[str, str]]:
    return [
        {"role": "system", "content": "You advise on permits and bike fit."},
        {"role": "user", "content": f"Task {number} of {step}: give advice."},
    ]


def _is_sealed(answer: dict[str, Any]) -> bool:
    return answer.get("state") in ("sealed", "delivered", "acked")


def _decode(answer: Answer) -> Result[dict, str]:
    if answer.status >= HTTPStatus.BAD_REQUEST:
        return Err(str(answer.status))
    # Not an empty object, which the default `accept=bool` of `_call_until` rejects.
    return Ok(msgspec.json.decode(answer.body) if answer.body else {"empty": True})
