"""Tests of the own interface with servers that stutter.

The option --stutter-seeds sets the number of seeds.
"""

import contextlib

import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind
from plantainstack.interfaces import GenerateRequest, PlainRequest, Priority
from plantainstack.kernel import Kernel
from plantainstack.links import answers
from plantainstack.links.endpoint import EndpointLinks
from standins.stuttering import (
    EVENTS,
    TROUBLES,
    Copy,
    NamelessSuccess,
    OwnDialect,
    Server,
)
from tests.fakes import record
from tests.stuttering import (
    Told,
    all_faults,
    body_of,
    from_failure,
    listening,
    repeated,
    side_by_side,
)

pytestmark = pytest.mark.anyio

CALLERS = 8
CALLS = 60
DEADLINE_S = 5.0
COMPLETIONS = "/v1/chat/completions"


@contextlib.asynccontextmanager
async def playing(seed, **options):
    """Run two servers; yields the links, their records and the servers."""
    servers = [Server(f"e{n}", seed, OwnDialect(), **options) for n in range(2)]
    kernel = Kernel(None, [], SystemClock())
    links = EndpointLinks(kernel)
    async with listening(*servers) as addresses:
        records = [
            record(server.name)._replace(address=address)
            for server, address in zip(servers, addresses, strict=True)
        ]
        yield links, records, servers
        await links.stop()


def from_plain(target, outcome):
    """Return what the client of a plain service told of a call."""
    if outcome.is_err():
        return from_failure(target, outcome.unwrap_err())
    answer = outcome.unwrap()
    return Told(target, answer.status, answer.body, answer.status == 503)


async def play_calls(seed, **options):
    """Mix calls with control calls; return what is wrong with each of the two."""
    told, controlled = [], []
    async with playing(seed, **options) as (links, records, servers):

        async def ask(caller, count):
            index = (caller + count) % 2
            id = f"c{caller}-{count}"
            target = f"/a/{id}"
            service = links.plain(records[index])
            req = PlainRequest(id, "POST", target, [], body_of(seed, target))
            outcome = await service.call(req, SystemClock().now() + DEADLINE_S)
            told.append(
                (from_plain(target, outcome), servers[index].answers_to(target))
            )
            target = f"/kv/{id}"
            outcome = await links.engine(records[index]).export_kv(id)
            controlled.append(
                (from_control(target, outcome), servers[index].answers_to(target))
            )

        await side_by_side(CALLERS, CALLS, ask)
    return all_faults(told) + repeated(servers), all_faults(controlled)


def from_control(target, outcome):
    """Return what the client of an engine told of a control call."""
    if outcome.is_ok():
        return Told(target, 200, outcome.unwrap(), False)
    failure = outcome.unwrap_err()
    statuses = {ErrorKind.ENDPOINT_REFUSED: 503, ErrorKind.NOT_FOUND: 404}
    status = statuses.get(failure.kind)
    return Told(target, status, None, status == 503)


async def play_completions(seed):
    """Read completions; return what is wrong."""
    found = []
    async with playing(seed) as (links, records, servers):

        async def ask(caller, count):
            index = (caller + count) % 2
            id = f"c{caller}-{count}"
            req = GenerateRequest(id, "m", [], 8, Priority.CALLER)
            deadline = SystemClock().now() + DEADLINE_S
            chunks = links.engine(records[index]).generate(req, deadline)
            outcomes = [each async for each in chunks]
            text = "".join(each.unwrap().text for each in outcomes if each.is_ok())
            complete = not any(each.is_err() for each in outcomes)
            found.append((id, servers[index], text, complete, outcomes))

        await side_by_side(CALLERS, CALLS, ask)
    return [
        problem
        for id, server, text, complete, outcomes in found
        if (problem := completion_fault(id, server, text, complete, outcomes))
    ]


def completion_fault(id, server, text, complete, outcomes):
    """Return what is wrong with a completion, or None."""
    own = [each for each in server.answers_to(COMPLETIONS) if each.id == id]
    whole = "".join(f"{id} {number} " for number in range(1, EVENTS + 1))
    if len(own) > 1:
        return f"{id}: came {len(own)} times"
    if not whole.startswith(text) or (complete and text != whole):
        return f"{id}: text {text!r}"
    if text and not any(each.status == 200 for each in own):
        return f"{id}: text without a run"
    kinds = [each.unwrap_err().kind for each in outcomes if each.is_err()]
    if ErrorKind.ENDPOINT_REFUSED in kinds and any(not each.refused for each in own):
        return f"{id}: told as not run"
    return None


async def test_call_gets_no_answer_of_another_request(stutter_seed):
    """Guards against answers and refusals of other calls, or of control calls."""
    found, _ = await play_calls(stutter_seed)
    assert found == []


async def test_control_call_gets_no_answer_of_another_request(stutter_seed):
    """Guards against a report or a KV cache that belongs to another call."""
    troubles = [each for each in TROUBLES if each is not NamelessSuccess]
    _, found = await play_calls(stutter_seed, troubles=troubles)
    assert found == []


async def test_control_call_gets_no_answer_without_an_id():
    """Guards against bytes of an endpoint that returns ids, but none with these."""
    _, found = await play_calls(1, troubles=(NamelessSuccess,))
    assert found == []


async def test_completion_has_its_own_text(stutter_seed):
    """Guards against the text of another completion."""
    assert await play_completions(stutter_seed) == []


async def test_refusals_that_are_believed_unseen_are_found(monkeypatch):
    """Guards against checks that see nothing."""
    mismatch = answers.AnswerCheck.mismatch

    def wrong(self, response, alone):
        return None if self.is_refusal(response) else mismatch(self, response, alone)

    monkeypatch.setattr(answers.AnswerCheck, "mismatch", wrong)
    found, _ = await play_calls(1, trouble_share=0.8, troubles=(Copy,))
    assert any("refusal of another request" in each for each in found)
