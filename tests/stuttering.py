"""Callers of stuttering servers, and checks of what the callers were told."""

import contextlib
import random
from typing import NamedTuple

import anyio

from plantainstack.errors import Outcome
from plantainstack.settings.options import Address
from standins.stuttering import EVENTS, Answer, Server, event

LONG_BODY = b"x" * 400_000
LONG_SHARE = 0.05
NOT_RUN_STATUSES = (429, 503, 408, 421)


class Told(NamedTuple):
    """What a caller was told of one request.

    A body of None is an incomplete one, of which `part` holds what was passed on.
    """

    target: str
    status: int | None
    body: bytes | None
    not_run: bool
    serials: tuple[float, ...] = ()
    part: bytes = b""


@contextlib.asynccontextmanager
async def listening(*servers: Server):
    """Run servers on loopback, and yield their addresses."""
    addresses = []
    async with contextlib.AsyncExitStack() as stack, anyio.create_task_group() as tasks:
        for server in servers:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            await stack.enter_async_context(listener)
            found = listener.extra(anyio.abc.SocketAttribute.local_address)
            addresses.append(Address(*found))
            tasks.start_soon(listener.serve, server.serve)
        yield addresses
        # A request may still be on its way to a server whose caller has given up.
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()


async def side_by_side(callers: int, calls: int, ask):
    """Call `ask` with the numbers of the caller and the call."""

    async def caller(number):
        for count in range(calls):
            await ask(number, count)

    async with anyio.create_task_group() as tasks:
        for number in range(callers):
            tasks.start_soon(caller, number)


def body_of(seed: int, target: str) -> bytes:
    """Return the body of a request, sometimes a long one."""
    rng = random.Random(f"{seed} {target}")
    return LONG_BODY if rng.random() < LONG_SHARE else b"short"


def stream_of(target: str) -> bytes:
    """Return the complete stream of a target."""
    return b"".join(event(target, number) for number in range(1, EVENTS + 1))


def from_outcome(target: str, outcome) -> Told:
    """Return what the client of the platform's servers told of a call."""
    if outcome.is_err():
        return from_failure(target, outcome.unwrap_err())
    answer = outcome.unwrap()
    serials = [answer.load[2]] if answer.load else []
    if answer.rate_limit is not None:
        serials.append(answer.rate_limit - 1_000_000)
    found = answer.answer
    return Told(target, found.status, found.body, answer.not_run, tuple(serials))


def from_failure(target: str, failure) -> Told:
    """Return what a failure tells of a call."""
    return Told(target, None, None, failure.outcome is Outcome.NOT_RUN)


def faults(told: Told, answers: list[Answer]) -> list[str]:
    """Return what is wrong with what a caller was told.

    `answers` holds what the servers did with the request.
    """
    found = []
    runs = [each for each in answers if not each.refused]
    if told.not_run and runs:
        found.append("told as not run")
    if told.not_run and told.status is not None:
        if told.status not in [each.status for each in answers if each.refused]:
            found.append("refusal of another request")
    elif told.body is not None:
        same = [each for each in runs if each.status == told.status]
        streamed = told.status == 200 and told.target.startswith("/t/")
        bodies = [stream_of(told.target) if streamed else each.body for each in same]
        if told.body not in bodies:
            found.append(f"answer {told.status} of another request")
    if not stream_of(told.target).startswith(told.part):
        found.append("events of another stream")
    if not {each.serial for each in answers}.issuperset(told.serials):
        found.append("announcement of another request")
    return [f"{told.target}: {each}" for each in found]


def all_faults(told) -> list[str]:
    """Return what is wrong in pairs of what was told and what the servers did."""
    return [each for one, answers in told for each in faults(one, answers)]


def repeated(servers) -> list[str]:
    """Return the targets that came to one server more than once."""
    return [
        f"{target}: came to {server.name} {len(server.answers_to(target))} times"
        for server in servers
        for target in {each.target for each in server.answers}
        if len(server.answers_to(target)) > 1
    ]


def run_too_often(servers, runs_max: int) -> list[str]:
    """Return the targets that more servers ran than allowed."""
    runs = {}
    for server in servers:
        for each in server.answers:
            if not each.refused:
                runs.setdefault(each.target, []).append(server.name)
    return [
        f"{target}: run by {names}"
        for target, names in runs.items()
        if len(names) > runs_max
    ]
