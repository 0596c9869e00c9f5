"""Tests with servers that stutter: no caller gets an answer that is not its own.

The option --stutter-seeds sets the number of seeds.
"""

import contextlib
from contextvars import ContextVar

import anyio
import httpcore
import pytest

from plantainstack.clock import SystemClock
from plantainstack.links import answers, connections
from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.serving import EndpointAnswer, EndpointCall, RequestKind
from standins.stuttering import (
    EVENTS,
    TROUBLES,
    Copy,
    CopyAtOnce,
    PlatformDialect,
    Server,
    Slow,
)
from tests.platform.test_broken_streams import read_answer
from tests.platform.test_ingress import connected, gateway
from tests.policy.serving_samples import endpoint, route
from tests.services.store_fleet import CONFIG, FakePlatform, until
from tests.stuttering import (
    NOT_RUN_STATUSES,
    Told,
    all_faults,
    body_of,
    faults,
    from_failure,
    from_outcome,
    listening,
    repeated,
    run_too_often,
    side_by_side,
)

pytestmark = pytest.mark.anyio

CALLERS = 8
CALLS = 100
STREAMS = 40
FRONT_CALLS = 20
REPEATS = 3
# Longer than the answer to a repeated request is on its way.
REPEAT_GAP_S = 0.02
ENDPOINTS_MAX = 2
DEADLINE_S = 5.0
KINDS = {
    "/s/": RequestKind.SAFE,
    "/u/": RequestKind.UNSAFE,
    "/t/": RequestKind.STREAM,
}
current = ContextVar("current", default="")


class RecordingClient(PlatformEndpointClient):
    """Record the outcome of each call, and which request an announcement came with."""

    def __init__(self, clock):
        super().__init__(clock)
        self.outcomes = []
        self.left = []
        self.notify_leaving(lambda end: self.left.append((end.id, current.get())))

    async def call(self, endpoint, call):
        current.set(call.target)
        outcome = await super().call(endpoint, call)
        self.outcomes.append((endpoint.id, call.target, outcome))
        return outcome

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        current.set(call.target)
        async with super().stream(endpoint, call) as opened:
            yield opened


class Play:
    """Servers, a client of them, and what the callers were told."""

    def __init__(self, seed, client, found, servers):
        self.seed = seed
        self.client = client
        self.endpoints = found
        self.servers = servers
        self.told = []

    def call(self, target):
        """Return a request whose id and target are its own."""
        return EndpointCall(
            target.rsplit("/", 1)[1],
            "POST",
            target,
            "desk.example",
            (),
            body_of(self.seed, target),
            SystemClock().now() + DEADLINE_S,
        )

    def answers_to(self, name, target):
        """Return what a server did with the requests for a target."""
        (server,) = [each for each in self.servers if each.name == name]
        return server.answers_to(target)

    def faults(self):
        """Return all that callers were told wrongly, and what servers got twice."""
        found = all_faults(self.told)
        for name, target, outcome in self.client.outcomes:
            answers = self.answers_to(name, target)
            found += faults(from_outcome(target, outcome), answers)
        for name, target in self.client.left:
            answers = self.answers_to(name, target)
            if not any(each.leaving and each.status != 421 for each in answers):
                found.append(f"{target}: believed that {name} leaves")
        return found + repeated(self.servers)


@contextlib.asynccontextmanager
async def playing(seed, **options):
    servers = [Server(f"e{n}", seed, PlatformDialect(), **options) for n in range(3)]
    async with listening(*servers) as addresses:
        client = RecordingClient(SystemClock())
        found = [
            endpoint(server.name, address=address)
            for server, address in zip(servers, addresses, strict=True)
        ]
        yield Play(seed, client, found, servers)
        await client.aclose()


async def play_calls(seed, calls=CALLS):
    """Send each request to one server; return what is wrong."""
    async with playing(seed) as play:

        async def ask(caller, count):
            target = f"/a/c{caller}-{count}"
            end = play.endpoints[(caller + count) % 3]
            await play.client.call(end, play.call(target))

        await side_by_side(CALLERS, calls, ask)
    assert some_of_each(play)
    return play.faults()


async def play_few_calls(seed):
    return await play_calls(seed, calls=25)


def some_of_each(play):
    """Return whether there were successes, failures and refusals to look at."""
    told = [each for each, _ in play.told]
    told += [from_outcome(target, each) for _, target, each in play.client.outcomes]
    return (
        any(each.status == 200 for each in told)
        and any(each.status is None for each in told)
        and any(each.not_run for each in told)
    )


async def play_repeats(seed, troubles=(Copy,)):
    """Send each request to the same server several times; return what is wrong."""
    async with playing(seed, trouble_share=0.8, troubles=troubles) as play:

        async def ask(caller, count):
            target = f"/a/c{caller}-{count // REPEATS}"
            index = caller % 3
            answers = play.servers[index].answers_to(target)
            before = len(answers)
            outcome = await play.client.call(play.endpoints[index], play.call(target))
            await anyio.sleep(REPEAT_GAP_S)
            play.told.append((from_outcome(target, outcome), answers[before:]))

        await side_by_side(CALLERS, 30, ask)
    return all_faults(play.told)


async def play_streams(seed):
    """Read streams from one server each; return what is wrong."""
    async with playing(seed) as play:

        async def ask(caller, count):
            target = f"/t/c{caller}-{count}"
            index = (caller + count) % 3
            async with play.client.stream(
                play.endpoints[index], play.call(target)
            ) as opened:
                told = await read_stream(target, opened)
            play.told.append((told, play.servers[index].answers_to(target)))

        await side_by_side(CALLERS, STREAMS, ask)
    assert some_of_each(play)
    return play.faults()


async def read_stream(target, opened):
    if opened.is_err() or isinstance(opened.unwrap(), EndpointAnswer):
        return from_outcome(target, opened)
    stream = opened.unwrap()
    head = stream.head
    serials = (head.load[2], head.rate_limit - 1_000_000)
    body = b""
    async for outcome in stream.events():
        if outcome.is_err():
            failed = from_failure(target, outcome.unwrap_err())
            return failed._replace(serials=serials, part=body)
        assert outcome.unwrap().id <= EVENTS
        body += outcome.unwrap().raw
    return Told(target, head.status, body, False, serials)


async def play_reports(seed):
    """Ask for reports between calls on the same connections; return what is wrong."""
    found = []
    async with playing(seed) as play:

        async def ask(caller, count):
            target = f"/a/c{caller}-{count}"
            index = (caller + count) % 3
            end, server = play.endpoints[index], play.servers[index]
            await play.client.call(end, play.call(target))
            outcome = await play.client.report(end, SystemClock().now() + DEADLINE_S)
            if outcome.is_ok():
                seen = outcome.unwrap().orders_seen
                own = server.answers_to("/api/report")
                if not any(each.serial == seen and each.status == 200 for each in own):
                    found.append(f"report {seen} of {server.name}")

        await side_by_side(CALLERS, 30, ask)
    return found


@contextlib.asynccontextmanager
async def front(seed, **options):
    """Run an instance in front of three servers; yields it and the play."""
    async with playing(seed, leaving_share=0.0, **options) as play:
        platform = FakePlatform()
        platform.client = play.client
        platform.endpoints = {each.id: each for each in play.endpoints}
        routes = tuple(
            route(kind, name=f"r-{kind}", prefix=prefix, endpoints_max=ENDPOINTS_MAX)
            for prefix, kind in KINDS.items()
        )
        platform.config = CONFIG._replace(routes=routes)
        async with gateway(platform) as kernel:
            await until(lambda: len(kernel.plugin("discovery").view.known) == 3)
            yield kernel, play


async def play_front(seed, prefix):
    """Send requests through an instance; return what is wrong."""
    answered = 0
    async with front(seed, troubles=(*TROUBLES, Slow)) as (kernel, play):

        async def ask(caller, count):
            nonlocal answered
            target = f"{prefix}c{caller}-{count}"
            async with connected(kernel) as conn:
                body = body_of(seed, target)
                await conn.stream.send(
                    f"POST {target} HTTP/1.1\r\nHost: desk.example\r\n"
                    f"Plantainstack-Request-Id: c{caller}-{count}\r\n"
                    "Connection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                answer = await read_answer(conn)
            answered += answer.status == 200
            told = from_answer(target, answer)
            play.told.append((told, target))

        await side_by_side(CALLERS, FRONT_CALLS, ask)
    play.told = [
        (told, [a for server in play.servers for a in server.answers_to(target)])
        for told, target in play.told
    ]
    limit = 1 if prefix == "/u/" else ENDPOINTS_MAX
    found = play.faults() + run_too_often(play.servers, limit)
    assert found or answered > CALLERS * FRONT_CALLS / 4
    return found


async def play_safe(seed):
    return await play_front(seed, "/s/")


def from_answer(target, answer):
    """Return what an instance told its client."""
    not_run = answer.status in NOT_RUN_STATUSES
    body = answer.body.encode()
    if answer.status not in (200, 404, 500) or not answer.complete:
        part = body if answer.status == 200 else b""
        return Told(target, None, None, not_run, part=part)
    return Told(target, answer.status, body, not_run)


async def test_call_gets_no_answer_of_another_request(stutter_seed):
    """Guards against answers, refusals and announcements of other requests."""
    assert await play_calls(stutter_seed) == []


async def test_repeated_call_gets_the_answer_of_its_latest_run(stutter_seed):
    """Guards against a late copy of the answer to an earlier run."""
    assert await play_repeats(stutter_seed) == []


async def test_stream_has_its_own_events_in_order(stutter_seed):
    """Guards against events of another stream, and events that are missing."""
    assert await play_streams(stutter_seed) == []


async def test_report_is_no_answer_to_a_request(stutter_seed):
    """Guards against a report that is read from another answer."""
    assert await play_reports(stutter_seed) == []


@pytest.mark.parametrize("prefix", KINDS)
async def test_client_of_an_instance_gets_its_own_answer(stutter_seed, prefix):
    """Guards against wrong answers, and requests that run where they may not."""
    assert await play_front(stutter_seed, prefix) == []


async def lost_to_copies(seed):
    """Return the calls that fail though each was answered, and copied in one write."""
    failed = []
    async with playing(seed, trouble_share=0.8, troubles=(CopyAtOnce,)) as play:
        (end, *_), (server, *_) = play.endpoints, play.servers

        async def ask(caller, count):
            target = f"/a/c{caller}-{count}"
            outcome = await play.client.call(end, play.call(target))
            if outcome.is_err():
                failed.append(target)

        await side_by_side(CALLERS, 30, ask)
    # A refusal without an id can't be told from that of another request.
    return [
        target
        for target in failed
        if all(server.names(answer) for answer in server.answers_to(target))
    ]


async def test_no_call_is_lost_to_the_copy_of_an_earlier_answer(stutter_seed):
    """Guards against requests that run in vain."""
    assert await lost_to_copies(stutter_seed) == []


def believe_refusals(monkeypatch):
    mismatch = answers.AnswerCheck.mismatch

    def wrong(self, response, alone):
        return None if self.is_refusal(response) else mismatch(self, response, alone)

    monkeypatch.setattr(answers.AnswerCheck, "mismatch", wrong)


def send_again(monkeypatch):
    send = connections.ConnectionPool.exchange

    @contextlib.asynccontextmanager
    async def wrong(self, request, exchange, timeouts, fresh=False):
        async with contextlib.AsyncExitStack() as stack:
            try:
                opened = send(self, request, exchange, timeouts, fresh)
                response = await stack.enter_async_context(opened)
            except httpcore.RemoteProtocolError:
                if not exchange.reused:
                    raise
                opened = send(self, request, exchange, timeouts, True)
                response = await stack.enter_async_context(opened)
            yield response

    monkeypatch.setattr(connections.ConnectionPool, "exchange", wrong)


def overlook_surplus(monkeypatch):
    monkeypatch.setattr(connections, "surplus_bytes", lambda http: 0)


def forget_ids(monkeypatch):
    acquire = connections.ConnectionPool._acquire_idle

    async def wrong(self, id, exchange):
        return await acquire(self, "", exchange)

    monkeypatch.setattr(connections.ConnectionPool, "_acquire_idle", wrong)


@pytest.mark.parametrize(
    ("break_client", "play", "word"),
    [
        (believe_refusals, play_few_calls, "refusal of another request"),
        (believe_refusals, play_few_calls, "told as not run"),
        (believe_refusals, play_safe, "told as not run"),
        (send_again, play_few_calls, "came to"),
        (send_again, play_safe, "came to"),
        (overlook_surplus, lost_to_copies, ""),
        (forget_ids, play_repeats, "of another request"),
    ],
)
async def test_wrong_client_is_found(monkeypatch, break_client, play, word):
    """Guards against checks that see nothing."""
    break_client(monkeypatch)
    for seed in (1, 2, 3):
        if any(word in each for each in await play(seed)):
            return
    pytest.fail("no seed shows the fault")
