"""Step definitions of the scenarios in features/callers.feature."""

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from plantainstack.kernel import PAUSE_LIMIT_S
from tests.fakes import REFUSED, TIMED_OUT
from tests.front.harness import running

scenarios("features/callers.feature")


class Session:
    """Collects the steps of a scenario and runs them at its first assertion."""

    def __init__(self, directory):
        self._directory = directory
        self.faults = []
        self.requests = []
        self.replies = []
        self.runs = 0

    def perform(self):
        if not self.replies:
            anyio.run(self._perform)
        return self

    async def _perform(self):
        async with running(self._directory) as client:
            for fault in self.faults:
                fault(client.kernel)
            for body, headers in self.requests:
                path = "/services/booking-app/book"
                reply = await client.send("POST", path, body, **headers)
                self.replies.append(reply)
            self.runs = len(client.kernel.plugin("links").fake_plain.runs)


@pytest.fixture
def session(tmp_path):
    return Session(tmp_path)


@given("the endpoint's next response is lost")
def lose_response(session):
    session.faults.append(lambda kernel: script(kernel, [TIMED_OUT]))


@given(parsers.parse("the endpoints refuse the next {count:d} attempts"))
def refuse(session, count):
    session.faults.append(lambda kernel: script(kernel, [REFUSED] * count))


@given("the table service is down")
def table_down(session):
    session.faults.append(
        lambda kernel: setattr(kernel.plugin("platform").table, "default_fault", "down")
    )


@given("the instance was frozen")
def frozen(session):
    def freeze(kernel):
        kernel.pause._last_tick -= PAUSE_LIMIT_S + 1

    session.faults.append(freeze)


def script(kernel, steps):
    kernel.plugin("links").fake_plain.script = steps


@when(parsers.parse('a booking is sent with key "{key}"'))
def send_keyed(session, key):
    session.requests.append((b"booking", {"Idempotency_Key": key}))


@when(parsers.parse('another booking is sent with key "{key}"'))
def send_other(session, key):
    session.requests.append((b"another", {"Idempotency_Key": key}))


@when("a booking is sent without a key")
def send(session):
    session.requests.append((b"booking", {}))


@then(parsers.parse("response {number:d} has status {status:d}"))
def has_status(session, number, status):
    assert session.perform().replies[number - 1].status == status


@then(
    parsers.parse(
        'response {number:d} is the error "{kind}" with outcome "{outcome}" '
        'and retry "{retry}"'
    )
)
def is_error(session, number, kind, outcome, retry):
    error = session.perform().replies[number - 1].error()
    assert (error["kind"], error["outcome"], error["retry"]) == (kind, outcome, retry)


@then(parsers.re(r"(?P<count>\d+) bookings? ran"), converters={"count": int})
def ran(session, count):
    assert session.perform().runs == count
