"""Tests of sound endpoints that are silent for longer than usual."""

import anyio
import pytest

from plantainstack.platform import servers
from plantainstack.policy.forwarding import AttemptCounts, awaits_silent
from plantainstack.serving import RequestKind
from tests.platform.test_answer_deadlines import front
from tests.platform.test_broken_streams import EVENT_STREAM, event, read_answer
from tests.platform.test_ingress import connected
from tests.platform.test_servers import ID, SEAL, VERSION
from tests.policy.serving_samples import route

pytestmark = pytest.mark.anyio

SILENCE_S = 0.2
PAUSE_S = 0.6
TIMEOUT_S = 5.0
HEAD = f"HTTP/1.1 200 OK\r\n{ID}{SEAL}{VERSION}{EVENT_STREAM}"
EVENTS = event(1) + event(2)


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(servers, "SILENCE_TIMEOUT_S", SILENCE_S)


class PausingEndpoint:
    """Pause before the answer, or between the first event and the second one."""

    def __init__(self, in_stream):
        self.in_stream = in_stream

    async def serve(self, stream):
        async with stream:
            await stream.receive()
            head = f"{HEAD}Content-Length: {len(EVENTS)}\r\n\r\n"
            first = head + event(1) if self.in_stream else ""
            await stream.send(first.encode())
            await anyio.sleep(PAUSE_S)
            await stream.send((head + EVENTS).removeprefix(first).encode())


@pytest.mark.parametrize("in_stream", [False, True])
@pytest.mark.parametrize(
    "kind", [RequestKind.STREAM, RequestKind.UNSAFE, RequestKind.SAFE]
)
async def test_silent_endpoint_is_waited_for_where_no_other_can_answer(kind, in_stream):
    """Guards against a sound answer that is cut since its endpoint pauses."""
    source = PausingEndpoint(in_stream)
    async with front(kind, TIMEOUT_S, source.serve) as kernel:
        async with connected(kernel) as conn:
            await conn.stream.send(
                f"POST /t/x HTTP/1.1\r\nHost: desk.example\r\n{ID}"
                "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
            )
            answer = await read_answer(conn, TIMEOUT_S)
    assert answer.status == 200
    assert answer.body == EVENTS
    assert answer.complete


@pytest.mark.parametrize(
    ("kind", "changes", "counts", "has_alternative", "awaited"),
    [
        (RequestKind.UNSAFE, {}, (1, 1, 1), True, True),
        (RequestKind.STREAM, {"resumable": False}, (1, 1, 1), True, True),
        (RequestKind.STREAM, {}, (1, 1, 1), True, False),
        (RequestKind.STREAM, {}, (1, 1, 1), False, True),
        (RequestKind.STREAM, {}, (2, 2, 1), True, True),
        (RequestKind.SAFE, {}, (1, 1, 1), True, False),
        (RequestKind.SAFE, {}, (1, 1, 1), False, True),
    ],
)
def test_silent_attempt_is_given_up_only_if_the_request_can_go_on_elsewhere(
    kind, changes, counts, has_alternative, awaited
):
    """Guards against an answer that is given up with nothing to gain."""
    found = route(kind, endpoints_max=2, **changes)
    assert awaits_silent(found, AttemptCounts(*counts), has_alternative) is awaited
