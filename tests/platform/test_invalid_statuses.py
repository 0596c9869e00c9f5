"""Tests of answers whose status is none of HTTP, such as 000, from all other systems.

A server in trouble sends them; a client must not get such an answer, or a success.
"""

import contextlib

import anyio
import pytest

from plantainstack.adapters.http import HttpClient
from plantainstack.adapters.service_client import ServiceClient, decode
from plantainstack.clock import SystemClock
from plantainstack.errors import Outcome
from plantainstack.platform.store import PlatformStore
from plantainstack.serving import (
    ItemState,
    LoadMode,
    RequestKind,
    RowName,
    Transaction,
    VersionOrder,
)
from plantainstack.settings.options import Address
from tests.platform.test_broken_streams import (
    EVENT_STREAM,
    ONE,
    chunked,
    endpoints,
    read_stream,
    sized,
)
from tests.platform.test_duties import REPORT, client_of, grant
from tests.platform.test_ingress import connected, gateway
from tests.platform.test_servers import ID, SEAL, VERSION, Script, call, serving
from tests.policy.serving_samples import batch, item, route
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    all_results,
    running,
    until,
)

pytestmark = pytest.mark.anyio

STATUSES = ["000", "001", "099", "600", "999", "0", "20", "2000", "-01"]
KNOWN_TO_CLIENTS = {502, 503, 504}
PLAIN = sized("text", "{status} Status", ID + SEAL + VERSION)
REFUSAL = sized("", "{status} Status", "Plantainstack-Not-Executed: full\r\n" + ID)
EVENTS = sized(ONE, "{status} Status", ID + SEAL + VERSION + EVENT_STREAM)
FORMS = {"plain": PLAIN, "refusal": REFUSAL, "events": EVENTS}


def with_status(form, status):
    return FORMS[form].replace("{status}", status)


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("status", STATUSES)
async def test_call_with_an_invalid_status_is_a_failure_that_may_have_run(status, form):
    """Guards against status 000 as an answer to a request or to a reward call."""
    script = Script(*[with_status(form, status)] * 3)
    async with serving(script) as (client, target):
        outcome = await client.call(target, call(reuse_connection=False))
        async with client.stream(target, call()) as opened:
            assert opened.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
    assert outcome.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
    assert len(script.requests) == 2


@pytest.mark.parametrize("status", STATUSES)
async def test_control_call_with_an_invalid_status_is_a_failure(status):
    """Guards against an order that counts as accepted, or a report, by status 000."""
    order = VersionOrder("m", 2, LoadMode.FINISH_FIRST, "a", 1, 0)
    deadline = SystemClock().now() + 5.0
    script = Script(*[with_status("plain", status)] * 2)
    async with serving(script) as (client, target):
        assert (await client.order(target, order, deadline)).is_err()
        assert (await client.report(target, deadline)).is_err()


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
@pytest.mark.parametrize("status", ["000", "001", "199", "600", "999"])
async def test_client_gets_a_failure_in_place_of_an_invalid_status(status, kind, form):
    """Guards against status 000 that reaches a client, and needless repetitions."""
    plain = route(kind, name="r-plain", prefix="/p/", endpoints_max=2)
    async with endpoints(*[with_status(form, status)] * 9) as (found, platform):
        platform.config = CONFIG._replace(routes=(*CONFIG.routes, plain))
        async with gateway(platform) as kernel, connected(kernel) as conn:
            await until(lambda: len(kernel.plugin("discovery").view.known) == 3)
            answer, headers, _ = await conn.request(
                "POST", "/p/x", b"x", Plantainstack_Request_Id="r1"
            )
    assert answer in KNOWN_TO_CLIENTS - ({503} if kind is RequestKind.UNSAFE else set())
    assert "plantainstack-server-seal" not in headers
    assert len(found.requests) <= (1 if kind is RequestKind.UNSAFE else 2)


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("status", STATUSES)
async def test_invalid_status_is_no_part_of_a_stream(status, form):
    """Guards against status 000 as the head of a stream, or as its continuation."""
    wrong = with_status(form, status)
    answer, found = await read_stream(wrong, chunked(ONE))
    assert (answer.status, answer.body, answer.complete) == (200, ONE, True)
    assert len(found.requests) == 2
    answer, _ = await read_stream(chunked(ONE, end=""), wrong, wrong)
    assert answer.body in (ONE, "")
    assert not answer.complete
    answer, _ = await read_stream(wrong, resumable=False)
    assert answer.status in KNOWN_TO_CLIENTS - {503}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("status", ["000", "199", "999"])
async def test_item_goes_on_after_a_pause_behind_an_invalid_status(status, form):
    """Guards against status 000 as the text of an item, and requests without pause."""
    sound = chunked(ONE).replace(ID, "Plantainstack-Request-Id: i1\r\n")
    wrong = with_status(form, status).replace(ID, "Plantainstack-Request-Id: i1\r\n")
    async with endpoints(*[wrong] * 4, sound, count=1) as (found, platform):
        async with running(platform, "a") as (kernel,):
            await until(lambda: kernel.plugin("discovery").usable("models"))
            started = kernel.clock.now()
            batches = kernel.plugin("batches")
            assert (await batches.submit(batch(item("i1")), BATCH_ROUTE)).is_ok()
            (result,) = await all_results(batches, "b1", 1)
            took_s = kernel.clock.now() - started
    assert (result.state, result.text) == (ItemState.COMPLETED, "text 1")
    assert len(found.requests) == 5
    assert took_s > 0.4


@contextlib.asynccontextmanager
async def listening(text):
    """Answer each request on a new connection with a text."""

    async def serve(stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
                await stream.send(text.encode())
                await stream.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield Address(*listener.extra(anyio.abc.SocketAttribute.local_address))
        tasks.cancel_scope.cancel()


ROWS = '{"rows": [], "has_more": false, "ver": 1, "now_ms": 1.0, "parts": []}'


@pytest.mark.parametrize("status", STATUSES)
async def test_store_answer_with_an_invalid_status_is_a_failure(status):
    """Guards against a write that counts as done, or a row as missing, by 000."""
    async with listening(sized(ROWS, f"{status} Status")) as address:
        store = PlatformStore(address, SystemClock())
        name = RowName("t", "", "k")
        written = await store.transact(Transaction(puts=((name, b"v"),)))
        assert written.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
        assert (await store.read("t", "")).is_err()
        assert (await store.table_rows("t")).is_err()
        assert (await store.rows_changed("t", 1, 0.0)).is_err()
        assert (await store.get_object("o")).is_err()
        assert (await store.put_object("o", b"x")).is_err()
        assert (await store.drop_object("o")).is_err()


@pytest.mark.parametrize("status", STATUSES)
async def test_service_answer_with_an_invalid_status_is_a_failure(status):
    """Guards against content of a service that is taken over with status 000."""
    async with listening(sized("{}", f"{status} Status")) as address:
        client = ServiceClient(HttpClient(address, SystemClock()))
        found = await client.call("GET", "/x")
        assert found.and_then(lambda answer: decode(answer, dict)).is_err()


@pytest.mark.parametrize("status", STATUSES)
async def test_duty_call_with_an_invalid_status_is_a_failure(status):
    """Guards against a report of use that counts as accepted, or as refused."""
    async with listening(sized("{}", f"{status} Status")) as address:
        outcome = await client_of(address).report_usage(REPORT, grant())
    assert outcome.unwrap_err().outcome is Outcome.MAY_HAVE_RUN
