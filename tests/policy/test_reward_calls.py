"""Tests of when and where reward calls are sent, and of how often."""

import random

import pytest

from plantainstack.policy import reward_calls
from plantainstack.policy.load_balancing import LoadBalancer
from plantainstack.policy.reward_calls import RewardAttempts, RewardRank
from plantainstack.serving import EndpointLoadReport
from tests.policy.serving_samples import endpoint, route

REWARD_ROUTE = route(objective_s=0.8, timeout_s=3.0)


@pytest.mark.parametrize(
    ("slots", "usable"), [(1, 1), (2, 1), (3, 2), (6, 4), (16, 11)]
)
def test_some_slots_are_left_to_live_callers(slots, usable):
    """Guards against reward calls that take all slots of an endpoint."""
    assert reward_calls.slots_for_reward_calls(slots) == usable


def test_calls_wait_while_every_endpoint_is_filled_up_to_the_callers_slots():
    """Guards against reward calls that make live callers queue."""
    balancer = LoadBalancer("dc-a")
    ends = [endpoint("e1", slots=6), endpoint("e2", slots=6)]
    for _ in range(8):
        found = reward_calls.choose_endpoint(balancer, ends, RewardAttempts(), 1.0)
        balancer.request_started(found.endpoint)
    assert reward_calls.choose_endpoint(balancer, ends, RewardAttempts(), 1.0) is None
    assert [balancer.load(end, 1.0) * 6 for end in ends] == [4, 4]


def test_reported_load_of_other_instances_counts():
    """Guards against slots that several instances believe to be free."""
    balancer = LoadBalancer("dc-a")
    end = endpoint("e1", slots=6)
    balancer.record_load_report(end, EndpointLoadReport(4, 0, 6), 1.0)
    assert reward_calls.choose_endpoint(balancer, [end], RewardAttempts(), 1.1) is None


def test_an_avoided_endpoint_is_used_only_if_there_is_no_other():
    """Guards against calls to a lost endpoint while the others are merely full."""
    balancer = LoadBalancer("dc-a")
    ends = [endpoint("e1", slots=1), endpoint("e2", slots=1)]
    balancer.record_failure(ends[0], 1.0)
    balancer.request_started(ends[1])
    attempts = RewardAttempts()
    assert reward_calls.choose_endpoint(balancer, ends, attempts, 1.0) is None
    found = reward_calls.choose_endpoint(balancer, ends[:1], attempts, 1.0)
    assert found.endpoint.id == "e1"


def test_calls_are_ordered_by_the_step_that_needs_them():
    """Guards against a late step that waits for the calls of a later one."""
    ranks = [
        RewardRank(9.0, 1, 1.0),
        RewardRank(7.5, 3, 0.0),
        RewardRank(7.5, 1, 2.0),
        RewardRank(7.5, 1, 1.0),
    ]
    assert sorted(ranks) == [ranks[3], ranks[2], ranks[1], ranks[0]]


def test_only_errors_abandon_an_item():
    """Guards against items that are abandoned because of a temporary fault."""
    attempts = RewardAttempts()
    for _ in range(50):
        attempts.record_refusal()
        attempts.record_failure("e1", unanswered=True)
    assert not attempts.exhausted(1)
    attempts.record_error("e1")
    assert attempts.exhausted(1)


def test_the_higher_limit_of_both_routes_applies():
    """Guards against an item that is abandoned before its route allows it."""
    items, rewards = route(endpoints_max=3), route(endpoints_max=4)
    assert reward_calls.errors_max(items, rewards) == 4
    assert reward_calls.errors_max(rewards, items) == 4


def test_errors_of_an_earlier_owner_count():
    """Guards against a call that fails again and again after each takeover."""
    attempts = RewardAttempts(3)
    attempts.record_error("e1")
    assert attempts.exhausted(4)


def test_an_error_is_retried_at_another_endpoint_at_once():
    """Guards against one broken endpoint that uses up all attempts of a call."""
    balancer = LoadBalancer("dc-a")
    ends = [endpoint("e1"), endpoint("e2", data_centre="dc-b")]
    attempts = RewardAttempts()
    attempts.record_error("e1")
    assert attempts.retry_delay_s() == 0.0
    found = reward_calls.choose_endpoint(balancer, ends, attempts, 1.0)
    assert found.endpoint.id == "e2"


def test_a_failed_call_waits_for_an_endpoint_that_did_not_fail_it():
    """Guards against errors of one broken endpoint that abandon an item.

    The broken endpoint is the only one with a free slot.
    """
    balancer = LoadBalancer("dc-a")
    ends = [endpoint("e1", slots=1), endpoint("e2", slots=1)]
    balancer.request_started(ends[1])
    attempts = RewardAttempts()
    attempts.record_error("e1")
    assert reward_calls.choose_endpoint(balancer, ends, attempts, 1.0) is None
    balancer.request_ended(ends[1])
    found = reward_calls.choose_endpoint(balancer, ends, attempts, 1.0)
    assert found.endpoint.id == "e2"


def test_delay_grows_up_to_its_limit():
    """Guards against calls that load full or lost endpoints even more."""
    attempts = RewardAttempts()
    delays = []
    for _ in range(20):
        attempts.record_refusal()
        delays.append(attempts.retry_delay_s())
    assert delays == sorted(delays)
    assert (delays[0], delays[-1]) == (
        reward_calls.RETRY_MIN_S,
        reward_calls.RETRY_MAX_S,
    )


def test_wait_for_an_answer_grows_with_unanswered_attempts():
    """Guards against calls that never succeed while all endpoints are slow."""
    attempts = RewardAttempts()
    limits = []
    for _ in range(4):
        limits.append(attempts.begin(REWARD_ROUTE, 1.0, 60.0) - 1.0)
        attempts.record_failure("e1", unanswered=True)
    assert limits == pytest.approx([0.8, 1.6, 3.0, 3.0])
    assert attempts.begin(REWARD_ROUTE, 59.5, 60.0) == 60.0


class ScoringLoad:
    """Simulate a step's reward calls beside live callers, on 3 endpoints of 6 slots.

    Calls take 0.2 s on average and callers 0.025 s. An endpoint that has more requests
    than slots serves them in the order of arrival.
    """

    TICK_S = 0.005
    CALLS = 56
    CALLERS_PER_S = 40

    def __init__(self, choose, seed):
        self._choose = choose
        self._rng = random.Random(seed)
        self._balancer = LoadBalancer("dc-a")
        self._ends = [endpoint(f"e{n}", slots=6) for n in range(3)]
        self._queues = {end.id: [] for end in self._ends}
        self.caller_seconds = []
        self.scored_at = 0.0

    def run(self):
        waiting = self.CALLS
        for tick in range(800):
            now = tick * self.TICK_S
            if self._rng.random() < self.CALLERS_PER_S * self.TICK_S:
                found = self._balancer.choose(self._ends, now)
                self._send(found.endpoint, now, 0.025, self.caller_seconds)
            while waiting:
                found = self._choose(self._balancer, self._ends, now)
                if found is None:
                    break
                waiting -= 1
                self._send(found.endpoint, now, self._rng.uniform(0.1, 0.3), None)
            self._serve(now)
        return self

    def _send(self, end, now, work_s, record):
        self._balancer.request_started(end)
        self._queues[end.id].append([now, work_s, record])

    def _serve(self, now):
        for end in self._ends:
            running = self._queues[end.id][: end.slots]
            for entry in running:
                entry[1] -= self.TICK_S
                if entry[1] > 0.0:
                    continue
                self._queues[end.id].remove(entry)
                self._balancer.request_ended(end)
                if entry[2] is None:
                    self.scored_at = now
                else:
                    entry[2].append(now + self.TICK_S - entry[0])


def test_callers_are_served_on_time_while_a_step_is_scored():
    """Plays the end of a step, against the baseline that sends all calls at once.

    Guards against reward calls that make live callers miss their objective, and
    against a limit that delays the scores by more than half a second.
    """

    def limited(balancer, ends, now):
        return reward_calls.choose_endpoint(balancer, ends, RewardAttempts(), now)

    def unlimited(balancer, ends, now):
        return balancer.choose(ends, now)

    for seed in range(10):
        ours, baseline = (
            ScoringLoad(choose, seed).run() for choose in (limited, unlimited)
        )
        assert max(ours.caller_seconds) <= 0.05
        assert max(baseline.caller_seconds) > 0.15
        assert ours.scored_at < baseline.scored_at + 0.5


def test_delay_of_a_call_that_was_refused_for_long_is_a_number():
    """Guards against an exception that ends the process after 1024 refusals."""
    attempts = RewardAttempts()
    for _ in range(2000):
        attempts.record_refusal()
    assert attempts.retry_delay_s() == reward_calls.RETRY_MAX_S


def test_wait_is_bounded_however_many_calls_were_unanswered():
    """Guards against a power that does not fit into a float."""
    attempts = RewardAttempts()
    for number in range(1100):
        attempts.record_failure(f"e{number}", unanswered=True)
    unlimited = REWARD_ROUTE._replace(timeout_s=0.0)
    assert attempts.begin(unlimited, 10.0, 5000.0) == 5000.0
