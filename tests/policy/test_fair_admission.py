"""Tests of the turns of tenants at a full service, and of the ways weighed."""

import heapq
import random
from collections import Counter

import pytest

from plantainstack.policy.fair_admission import FairAdmission

ENDPOINTS, SLOTS, SERVICE_S, LIMIT_S, PLAYED_S = 6, 4, 0.3, 2.0, 20.0
CAPACITY = ENDPOINTS * SLOTS
TRIES = 6


class Play:
    """Play Poisson arrivals at instances without a network; this way refuses at once.

    `tenants` maps names to the rate, the priority and the instances used (None: all).
    """

    def __init__(self, tenants, instances, seed=1):
        self.tenants, self.instances = tenants, instances
        self.rng = random.Random(seed)
        self.events = []
        self.busy = [0] * ENDPOINTS
        self.offered, self.served = Counter(), Counter()
        self.in_flight = [Counter() for _ in range(instances)]
        for name, (rate, _, _) in tenants.items():
            self.after(0.0, self.rng.expovariate(rate), self.arrive, name)

    def after(self, now, seconds, run, *args):
        number = len(self.events) + self.rng.random()
        heapq.heappush(self.events, (now + seconds, number, run, args))

    def run(self):
        """Return the lowest served share relative to that of all, and the use."""
        used = last = 0.0
        while self.events[0][0] < PLAYED_S:
            now, _, run, args = heapq.heappop(self.events)
            used, last = used + sum(self.busy) * (now - last), now
            run(now, *args)
        self.total = sum(self.served.values()) / sum(self.offered.values())
        shares = [self.served[name] / self.offered[name] for name in self.tenants]
        return min(shares) / self.total, used / PLAYED_S / CAPACITY

    def arrive(self, now, name):
        rate, _, used = self.tenants[name]
        self.after(now, self.rng.expovariate(rate), self.arrive, name)
        at = self.rng.choice(used or range(self.instances))
        self.offered[name] += 1
        self.handle(now, at, name)

    def handle(self, now, at, name):
        self.attempt(now, at, name)

    def attempt(self, now, at, name):
        for end in self.rng.sample(range(ENDPOINTS), TRIES):
            if self.busy[end] < SLOTS:
                self.busy[end] += 1
                self.served[name] += 1
                self.in_flight[at][name] += 1
                seconds = self.rng.expovariate(1 / SERVICE_S)
                self.after(now, seconds, self.end, end, at, name)
                return True
        return False

    def end(self, now, end, at, name):
        self.busy[end] -= 1
        self.in_flight[at][name] -= 1


class FairPlay(Play):
    """Let requests wait for their turn at their instance."""

    def __init__(self, *args):
        super().__init__(*args)
        self.queues = [FairAdmission() for _ in range(self.instances)]

    def handle(self, now, at, name):
        queue = self.queues[at]
        ticket = queue.offer(name, self.tenants[name][1], now + LIMIT_S, now)
        if not len(queue) and self.attempt(now, at, name):
            queue.give(ticket, now)
        elif queue.wait(ticket, now):
            self.after(now, ticket.leave_at - now, self.leave, queue, ticket)
            if len(queue) == 1:
                self.after(now, queue.attempt_interval_s(now), self.retry, at)

    def leave(self, now, queue, ticket):
        queue.leave(ticket)

    def end(self, now, end, at, name):
        super().end(now, end, at, name)
        self.give_turns(now, at)

    def retry(self, now, at):
        self.give_turns(now, at)
        if len(self.queues[at]):
            self.after(now, self.queues[at].attempt_interval_s(now), self.retry, at)

    def give_turns(self, now, at):
        queue = self.queues[at]
        while (ticket := queue.first(now)) and self.attempt(now, at, ticket.tenant):
            queue.give(ticket, now)


class AgreedPlay(Play):
    """Admit the share of each tenant that all instances agree on each second."""

    def __init__(self, *args):
        super().__init__(*args)
        self.shares, self.before = {}, Counter()
        self.after(0.0, 1.0, self.agree)

    def agree(self, now):
        left = self.offered - self.before
        demand, self.before = Counter(left), Counter(self.offered)
        capacity, given = CAPACITY / SERVICE_S, {}
        while left:
            part = capacity / len(left)
            small = [name for name in left if left[name] <= part]
            for name in small or list(left):
                given[name] = min(part, left.pop(name))
                capacity -= given[name]
        self.shares = {name: given[name] / demand[name] for name in given}
        self.after(now, 1.0, self.agree)

    def handle(self, now, at, name):
        if self.rng.random() < self.shares.get(name, 1.0):
            self.attempt(now, at, name)


class ConcurrencyPlay(Play):
    """Limit each tenant's running requests at each instance."""

    def handle(self, now, at, name):
        running = self.in_flight[at]
        active = sum(bool(running[each] or each == name) for each in self.tenants)
        if running[name] < max(1, CAPACITY / self.instances / active):
            self.attempt(now, at, name)


SMALL = {f"s{number}": (40, 5, None) for number in range(10)}
SCENARIOS = {
    "burst": {"a": (400, 5, None), "b": (40, 5, None)},
    "burst beside one instance's": {"a": (400, 5, None), "b": (40, 5, [0])},
    "burst at one instance": {"a": (400, 5, [0]), "b": (40, 5, None)},
    "burst of high priority": {"a": (400, 0, None), "b": (40, 9, None)},
    "burst of low priority": {"a": (400, 9, None), "b": (40, 0, None)},
    "one large, ten small": {"a": (400, 5, None), **SMALL},
    "tiny": {"a": (400, 5, None), "b": (2, 5, None)},
}


@pytest.mark.parametrize("instances", [1, 4, 12])
@pytest.mark.parametrize("name", SCENARIOS)
def test_no_tenant_starves_and_no_slot_is_idle(name, instances):
    """Guards against a tenant that is served less than a quarter as often as all."""
    lowest, used = FairPlay(SCENARIOS[name], instances).run()
    assert lowest >= 0.25
    assert used >= 0.98


def test_priorities_come_first_at_a_full_service():
    """Guards against turns that disregard priorities."""
    tenants = {"a": (100, 0, None), "b": (100, 9, None)}
    play = FairPlay(tenants, 3)
    play.run()
    assert play.served["a"] > 1.5 * play.served["b"]
    at_once = Play(tenants, 3)
    at_once.run()
    assert at_once.served["a"] < 1.1 * at_once.served["b"]


def test_requests_are_not_refused_below_capacity():
    """Guards against refusals that a short wait would have avoided."""
    tenants = {"a": (50, 5, None), "b": (20, 5, None)}
    waiting, at_once = FairPlay(tenants, 4), Play(tenants, 4)
    waiting.run(), at_once.run()
    assert waiting.total > 0.97 > 0.95 > at_once.total


def test_other_ways_leave_slots_idle_or_let_a_tenant_starve():
    """Records why turns at each instance were chosen: the figures of the others."""
    large = SCENARIOS["one large, ten small"]
    lowest, used = AgreedPlay(large, 4).run()
    assert lowest < 0.3 and used < 0.9
    lowest, used = ConcurrencyPlay(SCENARIOS["burst at one instance"], 12).run()
    assert lowest < 0.25 and used < 0.6


def test_request_whose_turn_would_come_too_late_is_refused_at_once():
    """Guards against requests that wait in vain, and against a queue without bound."""
    queue = FairAdmission()
    admitted = [queue.wait(queue.offer("a", 5, 2.0, 0.0), 0.0) for _ in range(100)]
    assert 1 <= sum(admitted) < 10
    assert queue.retry_after_s("a", 5, 0.0, 0.0) >= 0.25
    # Another tenant is not held up by that queue.
    assert queue.wait(queue.offer("b", 5, 2.0, 0.0), 0.0)


def test_tenants_take_turns_and_a_refused_one_keeps_its_place():
    """Guards against turns by the order of arrival, and against a charge in vain."""
    queue = FairAdmission()
    tickets = [queue.offer(name, 5, 2.0, 0.0) for name in "aab"]
    assert all(queue.wait(ticket, 0.0) for ticket in tickets)
    queue.give(queue.first(0.0), 0.0)
    assert queue.first(0.0) == tickets[2]
    queue.give(tickets[2], 0.0)
    queue.take_back(tickets[2], 0.0)
    assert queue.wait(tickets[2], 0.0)
    assert queue.first(0.0) == tickets[2]


def test_request_refused_at_its_turn_waits_only_for_those_before_it():
    """Guards against refusing the first of a long queue after one attempt in vain."""
    queue = FairAdmission()
    tickets = [queue.offer("a", 5, 2.0, 0.0) for _ in range(4)]
    assert all(queue.wait(ticket, 0.0) for ticket in tickets)
    queue.give(tickets[0], 0.0)
    queue.take_back(tickets[0], 0.5)
    assert queue.wait(tickets[0], 0.5)
    assert queue.first(0.5) == tickets[0]
