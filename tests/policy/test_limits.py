"""Tests of admission and of concurrency limits."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainstack.errors import ErrorKind, Outcome
from plantainstack.interfaces import EngineStatus, Priority
from plantainstack.policy.concurrency import AdaptiveLimit
from plantainstack.policy.limits import OpenAdmission, PriorityAdmission
from plantainstack.policy.routing import AttemptEnd, RoundRobinRouter, RouteRequest
from plantainstack.settings.fleet import FleetConfig

CAPACITY = 8
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["caller", "rollout", "finish", "withdraw", "expire"]),
        st.integers(0, 2),
        st.floats(0.1, 30.0),
    ),
    max_size=120,
)


class FixedCapacity(RoundRobinRouter):
    """Report a capacity that does not change."""

    def capacity(self, service, now):
        return CAPACITY


def make_admission():
    return PriorityAdmission(FleetConfig.builtin(), FixedCapacity())


def make_request(priority=Priority.CALLER, tenant="t0", deadline=1e9):
    return RouteRequest("llm", priority, tenant, deadline)


class Driver:
    """Apply events to an admission and track the state of each request."""

    def __init__(self, admission):
        self.admission = admission
        self.now = 0.0
        self.requests = {}
        self.running, self.queued, self.gone = [], set(), set()
        self.peaks = Counter()

    def offer(self, req):
        name = str(len(self.requests))
        self.requests[name] = req
        answer = self.admission.offer(name, req, self.now)
        if answer.is_err():
            self.gone.add(name)
        elif answer.unwrap():
            self.running.append(name)
        else:
            self.queued.add(name)

    def step(self, action, number, seconds):
        """Apply one event, then start the admitted requests."""
        self.now += 0.05
        if action in ("caller", "rollout"):
            deadline = self.now + seconds
            self.offer(make_request(Priority(action), f"t{number}", deadline))
        elif action == "finish" and self.running:
            name = self.running.pop(0)
            req = self.requests[name]
            self.admission.finished(req, AttemptEnd.OK, self.now - 1, self.now)
        elif action == "withdraw" and self.queued:
            name = min(self.queued)
            self.admission.withdraw(name)
            self.remove([name])
        else:
            self.remove(self.admission.expired(self.now))
        self.start_waiting()

    def start_waiting(self):
        started = self.admission.next_admitted(self.now)
        self.queued -= set(started)
        self.running += started
        kinds = Counter(self.requests[name].priority for name in self.running)
        self.peaks[Priority.CALLER] = max(
            self.peaks[Priority.CALLER], kinds[Priority.CALLER]
        )
        if started and kinds[Priority.ROLLOUT] > 1:
            last = self.requests[started[-1]].priority
            if last is Priority.ROLLOUT:
                self.peaks["all"] = max(self.peaks["all"], kinds.total())

    def remove(self, names):
        self.queued -= set(names)
        self.gone |= set(names)


def limit_holds(admission, events):
    """Return whether neither callers nor rollouts exceed the capacity."""
    driver = Driver(admission)
    for event in events:
        driver.step(*event)
    return max(driver.peaks[Priority.CALLER], driver.peaks["all"]) <= CAPACITY


@settings(derandomize=True, max_examples=200)
@given(EVENTS)
def test_limit_is_never_exceeded(events):
    """Guards against more running attempts than the capacity of the endpoints."""
    assert limit_holds(make_admission(), events)


def test_open_admission_exceeds_the_limit():
    """Shows that `limit_holds` detects an admission without a limit."""
    assert not limit_holds(OpenAdmission(), [("caller", 0, 30.0)] * 20)


@settings(derandomize=True, max_examples=200)
@given(EVENTS)
def test_no_request_is_lost_in_the_queue(events):
    """Guards against a queued request that is neither started nor refused."""
    driver = Driver(make_admission())
    for event in events:
        driver.step(*event)
    assert driver.admission.queue_length() == len(driver.queued)
    for _ in range(2 * len(driver.requests)):
        driver.step("finish", 0, 0.0)
    driver.now = 1e9
    driver.remove(driver.admission.expired(driver.now))
    assert not driver.queued
    assert driver.admission.queue_length() == 0


def callers_go_first(admission):
    """Return whether a caller starts although rollouts could use all capacity."""
    driver = Driver(admission)
    for _ in range(40):
        driver.offer(make_request(Priority.ROLLOUT))
    driver.offer(make_request())
    rollouts = [
        name
        for name in driver.running
        if driver.requests[name].priority is Priority.ROLLOUT
    ]
    return "40" in driver.running and len(rollouts) <= CAPACITY


def test_callers_start_before_rollouts():
    """Guards against callers that wait for the rollouts of a step."""
    assert callers_go_first(make_admission())
    assert not callers_go_first(OpenAdmission())


def shares_are_fair(admission):
    """Return whether a small step gets its share beside an earlier large step."""
    driver = Driver(admission)
    for tenant, count in (("large", 50), ("small", 10)):
        for _ in range(count):
            driver.offer(make_request(Priority.ROLLOUT, tenant))
    for _ in range(12):
        driver.step("finish", 0, 0.0)
    held = Counter(driver.requests[name].tenant for name in driver.running)
    return abs(held["large"] - held["small"]) <= 1


def test_trainers_get_fair_shares():
    """Guards against a trainer that waits for the whole step of another one."""
    assert shares_are_fair(make_admission())
    assert not shares_are_fair(OpenAdmission())


def test_request_that_cannot_start_in_time_is_refused_at_once():
    """Guards against callers that wait for an answer that cannot arrive in time."""
    driver = Driver(make_admission())
    for _ in range(CAPACITY):
        driver.offer(make_request())
    driver.now = 10.0
    name = driver.running.pop()
    driver.admission.finished(driver.requests[name], AttemptEnd.OK, 0.0, 10.0)
    driver.offer(make_request())
    failure = driver.admission.offer("late", make_request(deadline=11.0), 10.0)
    assert failure.unwrap_err().kind is ErrorKind.OVERLOADED
    assert failure.unwrap_err().outcome is Outcome.NOT_RUN


def test_adaptive_limit_follows_the_queue_within_its_bounds():
    """Guards against a limit that grows while requests queue at the engine."""
    limit = AdaptiveLimit(2, 16)
    free = EngineStatus("llm", 1, None, 8, 0, False, 0)
    for now in range(60):
        limit.reported(free, int(limit.value), float(now))
    assert limit.value == 16
    queued = EngineStatus("llm", 1, None, 16, 30, False, 0)
    for now in range(60, 120):
        limit.reported(queued, int(limit.value), float(now))
    assert limit.value == 2
    limit.reported(free, 0, 120.0)
    assert limit.value == 2


def test_limit_of_an_endpoint_without_reports_follows_its_duration():
    """Guards against a plain endpoint that is overloaded while it slows down."""
    limit = AdaptiveLimit(2, 16)
    for now in range(200):
        limit.succeeded(int(limit.value), 1.0, float(now))
    assert limit.value == 16
    for now in range(200, 220):
        limit.succeeded(int(limit.value), 20.0, float(now))
    assert limit.value < 8
