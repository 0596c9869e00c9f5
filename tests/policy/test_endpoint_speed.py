"""Tests of the speed estimates of endpoints, and of placement by them."""

import random
from statistics import fmean

import pytest

from plantainstack.policy.endpoint_speed import USUAL_DEVIATION, EndpointSpeeds
from plantainstack.policy.load_balancing import EVENT_WEIGHT, LoadBalancer
from plantainstack.serving import EndpointLoadReport
from tests.policy.serving_samples import endpoint

A, B = endpoint("a"), endpoint("b")
ENDS = [endpoint(f"e{number:02}", slots=8) for number in range(12)]
EVENT_S = 0.05
INSTANCES = 6


def test_reports_that_fluctuate_are_smoothed():
    """Guards against a placement that follows a figure of a single moment."""
    speeds, rng = EndpointSpeeds(), random.Random(1)
    for number in range(60):
        speeds.record_report(A, 1.5 * rng.lognormvariate(0.0, 0.2), number * 0.05)
    found = speeds.estimate(A, 3.0)
    assert found.slowness == pytest.approx(1.5, rel=0.15)
    assert found.deviation < 0.12


def test_estimate_returns_to_the_long_term_speed_with_age():
    """Guards against an endpoint that is avoided long after a slow moment."""
    speeds = EndpointSpeeds()
    for number in range(300):
        speeds.record_report(A, 1.2, number * 0.1)
    for number in range(10):
        speeds.record_report(A, 3.0, 30.0 + number * 0.1)
    soon, late = speeds.estimate(A, 31.0), speeds.estimate(A, 90.0)
    assert soon.slowness > 2.2
    assert late.slowness == pytest.approx(1.2, rel=0.1)
    assert soon.deviation < late.deviation <= USUAL_DEVIATION
    assert late.age_s > 50.0


def test_repeated_reports_of_one_moment_count_once():
    """Guards against a burst of answers that makes one figure certain."""
    once, burst = EndpointSpeeds(), EndpointSpeeds()
    once.record_report(A, 2.0, 1.0)
    for _ in range(20):
        burst.record_report(A, 2.0, 1.0)
    assert burst.estimate(A, 1.0).deviation > 0.8 * once.estimate(A, 1.0).deviation


def test_measured_and_published_times_count_beside_reports():
    """Guards against reports that hide what answers and other instances show."""
    speeds = EndpointSpeeds()
    for end in (A, B):
        speeds.record_report(end, 1.0, 0.0)
    for number in range(40):
        speeds.record_events(A, EVENT_S, 1, number * 0.05)
        speeds.record_remote(B, 2 * EVENT_S, number * 0.05)
    assert speeds.estimate(A, 2.0).seconds == pytest.approx(EVENT_S, rel=0.05)
    assert speeds.estimate(B, 2.0).slowness > 1.7


def test_estimate_is_forgotten_at_a_restart():
    """Guards against a new process that is judged by the previous one."""
    speeds = EndpointSpeeds()
    speeds.record_report(A, 3.0, 0.0)
    assert speeds.estimate(A._replace(started_ms=2), 0.1) is None
    speeds.forget([A])
    assert speeds.estimate(A, 0.1) is None


@pytest.mark.parametrize("slowness", [0.0, -1.0, float("nan"), float("inf"), 1e9])
def test_reports_out_of_bounds_are_not_taken(slowness):
    """Guards against an estimate that nothing can be divided by."""
    speeds = EndpointSpeeds()
    speeds.record_report(A, slowness, 0.0)
    assert speeds.estimate(A, 0.0) is None


def test_endpoints_without_reported_slowness_have_only_their_latency():
    """Guards against a changed placement where no endpoint reports its slowness."""
    balancer = LoadBalancer("dc-a")
    for number in range(50):
        balancer.record_load_report(A, EndpointLoadReport(1, 0, 4), number * 0.1)
        balancer.record_latency(A, 0.05 + number * 0.001, number * 0.1, EVENT_WEIGHT)
        balancer.record_remote_latency(B, 0.07, number * 0.1)
        assert balancer.speed(A, number * 0.1) is None
        for end in (A, B):
            found = balancer.expected_latency(end, number * 0.1)
            assert found == balancer.latency(end, number * 0.1)


def test_endpoint_that_has_recovered_is_used_again():
    """Guards against an endpoint that is never chosen and so never shows its speed."""
    balancer, ends = LoadBalancer("dc-a"), ENDS[:4]
    for number in range(600):
        for end in ends:
            report = EndpointLoadReport(0, 0, 8, 3.0 if end is ends[0] else 1.0)
            balancer.record_load_report(end, report, number * 0.05)
    chosen, running = [], []
    for number in range(4000):
        now = 30.0 + number * 0.05
        while running and running[0][0] <= now:
            _, end = running.pop(0)
            balancer.request_ended(end)
            balancer.record_load_report(end, EndpointLoadReport(0, 0, 8, 1.0), now)
        if len(running) < 12:
            found = balancer.choose(ends, now).endpoint
            balancer.request_started(found)
            running.append((now + 1.0, found))
            chosen.append(found)
    assert chosen.count(ends[0]) > 0.1 * len(chosen)


class UnevenFleet:
    """Run items of 4 to 40 events on endpoints whose slowness changes.

    Each machine has a speed of its own, and a phase of other work every few seconds.
    Several instances place them; endpoints report load and slowness with each head.
    """

    def __init__(self, choose, seed: int, reports: bool):
        self._choose = choose
        self._reports = reports
        self._rng = random.Random(seed)
        self._balancers = [LoadBalancer("dc-a") for _ in range(INSTANCES)]
        self._balancer = self._balancers[0]
        self._speed = {e.id: self._rng.uniform(0.83, 1.8) for e in ENDS}
        self._phase = {e.id: self._rng.uniform(0.0, 8.0) for e in ENDS}
        self._running: list[list] = []

    def _slowness(self, end, now):
        busy = (now + self._phase[end.id]) % 8.0 < 2.0
        return self._speed[end.id] * (1.8 if busy else 1.0)

    def times(self, seconds: float, per_s: float) -> list[float]:
        """Return the seconds that the items took."""
        found, now, tick = [], 0.0, 0.02
        while now < seconds:
            now += tick
            for job in list(self._running):
                self._advance(job, tick, now, found)
            if self._rng.random() < per_s * tick:
                length = self._rng.randint(4, 40)
                self._balancer = self._rng.choice(self._balancers)
                end = self._choose(self, now)
                self._balancer.request_started(end)
                self._running.append([end, length, 0.0, now, now, self._balancer])
                self._report(end, now)
        return found

    def _report(self, end, now):
        shown = self._slowness(end, now) * self._rng.lognormvariate(0.0, 0.15)
        running = sum(job[0] is end for job in self._running)
        report = EndpointLoadReport(running, 0, 8, shown if self._reports else None)
        self._balancer.record_load_report(end, report, now)

    def _advance(self, job, tick, now, found):
        end = job[0]
        queue = [each for each in self._running if each[0] is end]
        if any(each is job for each in queue[8:]):
            return
        job[2] += tick / (EVENT_S * self._slowness(end, now))
        if job[2] < 1.0:
            return
        job[2] -= 1.0
        job[1] -= 1
        if job[4] > job[3]:
            job[5].record_latency(end, now - job[4], now, EVENT_WEIGHT)
        job[4] = now
        if job[1] == 0:
            self._running.remove(job)
            job[5].request_ended(end)
            found.append(now - job[3])

    def least_load(self, now):
        return min(ENDS, key=lambda e: (self._balancer.load(e, now), e.id))

    def two_choices(self, now):
        pair = self._rng.sample(ENDS, 2)
        return min(pair, key=lambda e: (self._balancer.load(e, now), e.id))

    def score(self, now):
        return self._balancer.choose(ENDS, now).endpoint


def compare(per_s: float) -> dict[str, tuple[float, float]]:
    """Return the mean and the worst time of each way, over the seeds."""
    ways = {
        "least load": (UnevenFleet.least_load, False),
        "two choices": (UnevenFleet.two_choices, False),
        "latency": (UnevenFleet.score, False),
        "speed": (UnevenFleet.score, True),
    }
    found = {}
    for name, (choose, reports) in ways.items():
        runs = [UnevenFleet(choose, s, reports).times(20.0, per_s) for s in range(12)]
        found[name] = (fmean(map(fmean, runs)), fmean(map(max, runs)))
    return found


def test_items_end_sooner_where_placement_knows_the_speeds():
    """Guards against an estimate that places worse than the ways without it.

    The worst times hardly differ: a long item that meets the other work of its machine.
    """
    found = compare(15.0)
    speed = found.pop("speed")
    assert all(speed[0] < 0.98 * mean for mean, _ in found.values())
    assert all(speed[1] < 1.03 * worst for _, worst in found.values())


if __name__ == "__main__":
    for rate in (5.0, 15.0, 35.0):
        for name, (mean, worst) in compare(rate).items():
            print(f"{rate:4} items/s, {name}: mean {mean:.3f} s, worst {worst:.3f} s")
