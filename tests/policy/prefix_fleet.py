"""Simulation of endpoints with prefix caches that several instances send items to."""

import heapq
import itertools
import random
from collections import OrderedDict
from statistics import fmean
from typing import NamedTuple

from plantainstack.policy.batch_scheduling import item_order
from plantainstack.policy.group_starts import GroupStarts
from plantainstack.policy.load_balancing import EVENT_WEIGHT, LoadBalancer
from plantainstack.policy.prefix_cache import PrefixCaches
from plantainstack.policy.prefix_placement import AFFINITIES, ItemRequest
from plantainstack.serving import EndpointLoadReport, Prompt
from tests.policy.serving_samples import batch, endpoint, item

EVENT_S = 0.05
PREFILL_RATE = 500_000.0
CACHE_TOKENS = 64_000
SLOTS = 8
RETRY_S = 0.05
GROUPS = 10


class Figures(NamedTuple):
    """Hold prefilled tokens, those prefilled again, and mean and worst seconds.

    They count from the submission of a batch until the first event of an item and until
    the end of the batch.
    """

    prefilled: int
    again: int
    first_s: float
    first_worst_s: float
    step_s: float
    step_worst_s: float


class SimulatedEndpoint:
    """Run items in slots; prefill what is not cached and cache it afterwards."""

    def __init__(self, fleet, id, slowness):
        self.endpoint = endpoint(id, slots=SLOTS)
        self.slowness = slowness
        self.running = 0
        self.queue = []
        self._fleet = fleet
        self._cache = OrderedDict()

    def send(self, job):
        self.queue.append(job)
        self._start_next()

    def _start_next(self):
        while self.queue and self.running < SLOTS:
            job = self.queue.pop(0)
            self.running += 1
            missing = job.prompt.tokens()
            for part in job.prompt.parts:
                if part not in self._cache:
                    break
                self._cache.move_to_end(part)
                missing -= part[1]
            self._fleet.count(job.prompt, missing)
            seconds = missing / PREFILL_RATE * self.slowness
            self._fleet.after(seconds, lambda job=job: self._prefilled(job))

    def _prefilled(self, job):
        for part in job.prompt.parts:
            self._cache[part] = None
            self._cache.move_to_end(part)
        while sum(tokens for _, tokens in self._cache) > CACHE_TOKENS:
            self._cache.popitem(last=False)
        event_s = EVENT_S * self.slowness
        self._fleet.after(event_s, lambda: job.first_event(self))
        self._fleet.after(event_s * job.events, lambda: self._end(job))

    def _end(self, job):
        self.running -= 1
        job.end(self)
        self._start_next()


class Job:
    """Track one item of a batch at an endpoint."""

    def __init__(self, run, found, prompt):
        self.prompt = prompt
        self.events = max(1, round(found.length_hint / 5))
        self._run = run
        self._item = found
        self._sent_at = run.fleet.now

    def first_event(self, at):
        fleet, instance = self._run.fleet, self._run.instance
        fleet.first_s.append(fleet.now - self._run.begun_at)
        report = EndpointLoadReport(at.running, len(at.queue), SLOTS, at.slowness)
        instance.balancer.record_load_report(at.endpoint, report, fleet.now)
        pace = EVENT_S * at.slowness
        instance.balancer.record_latency(at.endpoint, pace, fleet.now, EVENT_WEIGHT)
        instance.caches.record_prefilled(at.endpoint, self.prompt, fleet.now)
        self._run.starts.record_first_event(self._item)

    def end(self, at):
        fleet = self._run.fleet
        self._run.instance.balancer.request_ended(at.endpoint)
        fleet.step_s[self._run] = fleet.now - self._run.begun_at


class Instance:
    """Hold what one instance knows of the endpoints."""

    def __init__(self):
        self.balancer = LoadBalancer("dc-a")
        self.caches = PrefixCaches(CACHE_TOKENS, PREFILL_RATE)


class Run:
    """Place the items of one batch, as the service does."""

    def __init__(self, fleet, instance, found, prompts, way):
        self.fleet = fleet
        self.instance = instance
        self.begun_at = fleet.now
        self._prompts = prompts
        self._affinity = AFFINITIES[way](
            instance.balancer, instance.caches, PREFILL_RATE
        )
        order = item_order(found)
        self._long = {each.id for each in order.long}
        staggers = self._affinity.staggers
        items = order.long + order.others
        self.starts = GroupStarts(items, lambda i: i.group if staggers else None)
        self._left = len(items)
        self._item = None
        self.place()

    def place(self):
        """Place items until one has to wait."""
        now = self.fleet.now
        ends = [each.endpoint for each in self.fleet.endpoints.values()]
        while self._left:
            self._item = self._item or self.starts.next(now)
            if self._item is None:
                self.fleet.after(0.002, self.place)
                return
            prompt = self._prompts[self._item.group]
            prompt = prompt._replace(parts=(*prompt.parts, (self._item.id, 40)))
            request = ItemRequest(self._item, self._item.id in self._long, prompt)
            end = self._affinity.choose(request, ends, frozenset(), now)
            if end is None:
                self.fleet.after(RETRY_S, self.place)
                return
            self.instance.balancer.request_started(end)
            hit = self._affinity.is_hit(end, prompt, now)
            self.instance.caches.record_sent(end, prompt, now)
            wait_s = self.instance.caches.prefill_s(prompt)
            self.starts.record_started(hit, wait_s, now)
            self.fleet.endpoints[end.id].send(Job(self, self._item, prompt))
            self._item, self._left = None, self._left - 1


class PrefixFleet:
    """Run batches of groups; `gap_s` is the mean time between two of them."""

    def __init__(self, way, seed, endpoints=12, instances=4, group_size=6):
        self.now = 0.0
        self.first_s = []
        self.step_s = {}
        self._way = way
        self._rng = random.Random(seed)
        self._size = group_size
        slowness = [1 / self._rng.uniform(0.55, 1.2) for _ in range(endpoints)]
        self.endpoints = {
            f"e{number:02}": SimulatedEndpoint(self, f"e{number:02}", slow)
            for number, slow in enumerate(slowness)
        }
        self._instances = [Instance() for _ in range(instances)]
        self._calendar = []
        self._order = itertools.count()
        self._prefilled = self._again = 0
        self._known = set()
        self._past = []

    def after(self, seconds, call):
        heapq.heappush(self._calendar, (self.now + seconds, next(self._order), call))

    def count(self, prompt, missing):
        """Count prefilled tokens; the last ones of the prompt are missing."""
        self._prefilled += missing
        skipped = prompt.tokens() - missing
        for part in prompt.parts:
            skipped -= part[1]
            if skipped < 0 and part in self._known:
                self._again += part[1]
            self._known.add(part)

    def run(self, batches, gap_s) -> Figures:
        at = 0.0
        for number in range(batches):
            submission = self._submission(number)
            heapq.heappush(self._calendar, (at, next(self._order), submission))
            at += self._rng.expovariate(1 / gap_s)
        while self._calendar:
            self.now, _, call = heapq.heappop(self._calendar)
            call()
        steps = self.step_s.values()
        return Figures(
            self._prefilled,
            self._again,
            fmean(self.first_s),
            max(self.first_s),
            fmean(steps),
            max(steps),
        )

    def _submission(self, number):
        """Return a call that submits a batch; some groups come from an earlier one."""
        prompts, items = {}, []
        for group in range(GROUPS):
            name = f"b{number}-g{group}"
            parts = (("system", 300), (name, self._rng.randint(400, 2_000)))
            prompts[name] = Prompt("m0", parts)
            if self._past and self._rng.random() < 0.3:
                prompts[name] = self._rng.choice(self._past)
            for index in range(self._size):
                hint = round(min(600.0, self._rng.lognormvariate(4.0, 0.7)))
                items.append(item(f"{name}-{index}", name, hint))
        self._past = list(prompts.values())
        found = batch(*items, id=f"b{number}")
        instance = self._rng.choice(self._instances)
        return lambda: Run(self, instance, found, prompts, self._way)


def compare(gap_s, seeds=12, ways=tuple(AFFINITIES), **options) -> dict[str, Figures]:
    """Return the mean figures of each way over the same seeds."""
    found = {}
    for way in ways:
        runs = [
            PrefixFleet(way, seed, **options).run(12, gap_s) for seed in range(seeds)
        ]
        found[way] = Figures(*(fmean(each) for each in zip(*runs, strict=True)))
    return found


if __name__ == "__main__":
    for gap_s, options in ((4.0, {}), (0.7, {}), (4.0, {"group_size": 12})):
        print(f"a batch every {gap_s} s, {options}")
        for way, figures in compare(gap_s, seeds=36, **options).items():
            shown = " ".join(
                f"{name}={value:.3f}" if value < 100 else f"{name}={value:.0f}"
                for name, value in figures._asdict().items()
            )
            print(f"  {way}: {shown}")
