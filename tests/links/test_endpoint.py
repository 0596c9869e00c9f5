"""Tests of the HTTP clients for endpoints, with scripted connections."""

import re

import httpcore
import pytest

from plantainstack.clock import FakeClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.interfaces import (
    EngineStatus,
    GenerateRequest,
    PlainRequest,
    Priority,
)
from plantainstack.kernel import Kernel
from plantainstack.links.connections import Exchange
from plantainstack.links.endpoint import (
    EndpointLinks,
    _cache_events,
    _completion_chunk,
    _engine_status,
)
from plantainstack.links.events import SseDecoder
from plantainstack.settings.fleet import FleetConfig, FleetContent
from tests.fakes import ScriptedBackend, record

pytestmark = pytest.mark.anyio

HEADERS = [("Connection", "x"), ("X-Name", "Bj\xf8rn")]
CALL = PlainRequest("a1", "POST", "/book", HEADERS, b"{}")
GENERATE = GenerateRequest("a1", "m", [], 8, Priority.CALLER)
CHUNK = b'data: {"choices":[{"delta":{"content":"hi"}}],"tokens":1,"weight_version":3}'


def answer(body=b"ok", attempt=None, status=200, length=None):
    """Return a script step that answers with the attempt id of the request."""

    def step(sent):
        sent_id = re.findall(rb"X-Attempt-Id: (\S+)", sent)[-1].decode()
        size = len(body) if length is None else length
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt or sent_id}\r\n"
        return f"{head}Content-Length: {size}\r\n\r\n".encode() + body

    return step


def links(*scripts):
    """Return the plug-in, its scripted network back end and its fake clock."""
    clock = FakeClock()
    kernel = Kernel(None, [], clock)
    backend = ScriptedBackend(*scripts)
    return EndpointLinks(kernel, backend), backend, clock


async def call(plugin, clock, req=CALL, seconds=5.0):
    return await plugin.plain(record("p1")).call(req, clock.now() + seconds)


@pytest.mark.parametrize(
    ("script", "kind", "outcome"),
    [
        (httpcore.ConnectError(), ErrorKind.ENDPOINT_REFUSED, Outcome.NOT_RUN),
        (httpcore.ConnectTimeout(), ErrorKind.ENDPOINT_REFUSED, Outcome.NOT_RUN),
        ([b""], ErrorKind.ENDPOINT_FAILED, Outcome.MAY_HAVE_RUN),
        ([httpcore.ReadError()], ErrorKind.ENDPOINT_FAILED, Outcome.MAY_HAVE_RUN),
        ([httpcore.ReadTimeout()], ErrorKind.ANSWER_TIMEOUT, Outcome.MAY_HAVE_RUN),
        ([b"nonsense\r\n\r\n"], ErrorKind.ENDPOINT_FAILED, Outcome.MAY_HAVE_RUN),
        ([answer(length=9)], ErrorKind.ANSWER_TRUNCATED, Outcome.MAY_HAVE_RUN),
        ([answer(attempt="b2")], ErrorKind.ANSWER_CROSSED, Outcome.MAY_HAVE_RUN),
        (
            [answer(length=9), httpcore.ReadTimeout()],
            ErrorKind.ANSWER_TIMEOUT,
            Outcome.MAY_HAVE_RUN,
        ),
        (
            [b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"],
            ErrorKind.ANSWER_CROSSED,
            Outcome.MAY_HAVE_RUN,
        ),
    ],
)
async def test_failed_call_has_kind_and_outcome(script, kind, outcome):
    """Guards against `not_run` after a byte was sent, and against foreign answers."""
    plugin, backend, clock = links(script)
    result = await call(plugin, clock)
    assert (result.err_value.kind, result.err_value.outcome) == (kind, outcome)
    assert all(stream.closed for stream in backend.streams)


@pytest.mark.parametrize("status", ["000", "099", "199", "600", "999", "20", "-01"])
async def test_answer_with_an_invalid_status_is_a_failure(status):
    """Guards against status 000 as the answer of a service, an engine or a report."""
    plugin, backend, clock = links(*[[answer(CHUNK, status=status)]] * 3)
    outcomes = [
        (await call(plugin, clock)).err_value,
        (await chunks_of(plugin, clock))[-1].err_value,
        (await plugin.engine(record("e1")).status()).err_value,
    ]
    assert all(each.outcome is Outcome.MAY_HAVE_RUN for each in outcomes)
    assert len(backend.streams) == 3


async def test_connection_of_a_finished_exchange_is_reused():
    plugin, backend, clock = links([answer(b"one"), answer(b"two")])
    assert (await call(plugin, clock)).ok_value.body == b"one"
    second = await call(plugin, clock, CALL._replace(attempt_id="a2"))
    assert second.ok_value.body == b"two"
    assert len(backend.streams) == 1


@pytest.mark.parametrize(
    ("header", "idle_s", "connections"),
    [
        ("Keep-Alive: timeout=2", 1.4, 1),
        ("Keep-Alive: timeout=2", 1.6, 2),
        ("keep-alive: max=9, TIMEOUT = 2", 1.6, 2),
        ("Keep-Alive: timeout=0", 0.0, 2),
        ("Keep-Alive: timeout=soon", 1.6, 1),
        ("Keep-Alive: max=100", 1.6, 1),
        ("X-Timeout: timeout=0", 1.6, 1),
    ],
)
async def test_idle_limit_of_an_endpoint_is_kept(header, idle_s, connections):
    """Guards against requests that are lost since the endpoint closes in between."""

    def step(sent):
        head, end, body = answer()(sent).partition(b"\r\n\r\n")
        return head + b"\r\n" + header.encode() + end + body

    plugin, backend, clock = links([step, step], [step])
    assert (await call(plugin, clock)).is_ok()
    clock.jump(idle_s)
    assert (await call(plugin, clock, CALL._replace(attempt_id="a2"))).is_ok()
    assert len(backend.streams) == connections


async def test_timeout_closes_idle_connections_to_the_endpoint():
    """Guards against reusing connections whose state an intermediary has lost."""
    plugin, backend, clock = links(
        [answer()], [httpcore.ReadTimeout()], [answer(b"new")]
    )
    assert (await call(plugin, clock)).is_ok()
    service = plugin.plain(record("p1"), fresh=True)
    assert (await service.call(CALL, clock.now() + 5)).is_err()
    assert (await call(plugin, clock)).ok_value.body == b"new"
    assert [stream.closed for stream in backend.streams] == [True, True, False]


async def test_headers_are_forwarded_except_hop_by_hop_headers():
    """Guards against failing a call because of a non-ASCII header value."""
    plugin, backend, clock = links([answer()])
    await call(plugin, clock)
    assert b"Connection" not in backend.streams[0].sent
    assert b"X-Name: Bj\xf8rn\r\nX-Attempt-Id: a1\r\n" in backend.streams[0].sent


def stream(*lines, attempt=None, status=200):
    """Return a script step that answers with a body of these events."""
    body = b"".join(line + b"\n\n" for line in lines)
    return answer(body, attempt, status)


async def chunks_of(plugin, clock):
    engine = plugin.engine(record("e1"))
    return [chunk async for chunk in engine.generate(GENERATE, clock.now() + 5)]


async def test_stream_with_end_marker_is_complete():
    plugin, backend, clock = links([stream(CHUNK, CHUNK, b"data: [DONE]")])
    chunks = await chunks_of(plugin, clock)
    assert [chunk.ok_value for chunk in chunks] == [("hi", 1, 3)] * 2
    assert not backend.streams[0].closed


@pytest.mark.parametrize(
    ("script", "kind"),
    [
        ([stream(CHUNK)], ErrorKind.ANSWER_TRUNCATED),
        ([answer(CHUNK, length=999)], ErrorKind.ANSWER_TRUNCATED),
        (
            [answer(CHUNK, length=999), httpcore.ReadTimeout()],
            ErrorKind.ANSWER_TIMEOUT,
        ),
        ([stream(CHUNK, attempt="b2")], ErrorKind.ANSWER_CROSSED),
        ([stream(b"data: {")], ErrorKind.ENDPOINT_FAILED),
        ([stream(b'data: {"error": "x"}')], ErrorKind.ENDPOINT_FAILED),
        ([stream(status=503)], ErrorKind.ENDPOINT_REFUSED),
        ([stream(status=422)], ErrorKind.BAD_REQUEST),
        ([stream(status=500)], ErrorKind.ENDPOINT_FAILED),
        (httpcore.ConnectError(), ErrorKind.ENDPOINT_REFUSED),
    ],
)
async def test_incomplete_stream_ends_with_a_failure(script, kind):
    """Guards against accepting a truncated or foreign stream as complete."""
    plugin, _backend, clock = links(script)
    chunks = await chunks_of(plugin, clock)
    assert chunks[-1].err_value.kind is kind
    assert all(chunk.is_ok() for chunk in chunks[:-1])


async def test_engine_report_is_validated():
    body = (
        b'{"model":"m","version":3,"loading":null,"running":1,"queued":0,'
        b'"leaving":false,"fence":2,"more":1}'
    )
    plugin, _, _ = links([answer(body), answer(b"{}")])
    engine = plugin.engine(record("e1"))
    assert (await engine.status()).ok_value == EngineStatus(
        "m", 3, None, 1, 0, False, 2
    )
    assert (await engine.status()).err_value.kind is ErrorKind.ENDPOINT_FAILED


REPORT = (
    b'{"model":"m","version":%d,"loading":null,"running":0,"queued":0,'
    b'"leaving":false,"fence":0}'
)


async def test_late_answer_is_not_read_as_a_report():
    """Guards against a second answer to a call that is taken for the next one's."""
    late = answer(REPORT % 9, attempt="a1")

    def twice(sent):
        return answer(REPORT % 3)(sent) + late(sent)

    plugin, _, _ = links([twice, late], [answer(REPORT % 4)])
    engine = plugin.engine(record("e1"))
    assert (await engine.status()).ok_value.version == 3
    second = await engine.status()
    assert second.is_err() or second.ok_value.version == 4


async def test_late_refusal_of_another_attempt_is_not_that_of_this_one():
    """Guards against "not run" for a completion that runs."""
    refusal = answer(status=503, attempt="b2")
    plugin, _, clock = links([answer(REPORT % 3), refusal])
    await plugin.engine(record("e1")).status()
    [chunk] = await chunks_of(plugin, clock)
    assert chunk.err_value.kind is ErrorKind.ANSWER_CROSSED
    assert chunk.err_value.outcome is Outcome.MAY_HAVE_RUN


async def test_endpoint_without_ids_gets_one_request_a_connection():
    """Guards against a late answer where endpoints return no ids."""
    nameless = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
    plugin, backend, clock = links([nameless, nameless], [nameless])
    content = FleetContent(defaults={"echoes_request_id": "no"}, exceptions=[])
    plugin.kernel.apply_config(FleetConfig(1, content))
    assert (await call(plugin, clock)).is_ok()
    assert (await call(plugin, clock)).is_ok()
    assert [stream.closed for stream in backend.streams] == [True, True]


@pytest.mark.parametrize("size", [1, 3, 100])
def test_events_are_decoded_from_chunks_of_any_size(size):
    data = b": ping\n\ndata: a\ndata: b\r\n\r\ndata: \xc3\xa6\n\n"
    reader = SseDecoder()
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    events = [event.data() for piece in pieces for event in reader.feed(piece)]
    assert events == ["a\nb", "æ"]


@pytest.mark.parametrize("decode", [_engine_status, _cache_events])
@pytest.mark.parametrize("data", [b'{"more": ' + b"[" * 100_000, b"\xff", b"{}"])
def test_answer_that_cannot_be_decoded_is_a_failure(decode, data):
    """Guards against an exception in place of a failure, which ends the process."""
    assert decode(data).unwrap_err().kind is ErrorKind.ENDPOINT_FAILED


def test_chunk_that_cannot_be_decoded_is_a_failure():
    exchange = Exchange(FakeClock(), 1.0)
    outcome = _completion_chunk('{"more": ' + "[" * 100_000, exchange)
    assert outcome.unwrap_err().kind is ErrorKind.ENDPOINT_FAILED
