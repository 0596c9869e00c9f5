"""Choose an endpoint for an item by the expected start of its answer.

The start is later by the wait for a slot and by the prefill of what is not cached.
Prefilling 1,000 tokens takes 2 to 3 ms, while a queued request waits for tens to
hundreds of ms: a cached prompt decides only between endpoints with free slots.

All ways get the endpoints that version bounds, limits and permits allow, and place only
below LOAD_MAX. Each decision takes time linear in the number of endpoints.
"""

import copy
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from plantainstack.policy.load_balancing import LOAD_SLOWDOWN, LoadBalancer
from plantainstack.policy.prefix_cache import PrefixCaches
from plantainstack.serving import Endpoint, Item, Prompt

# Number of requests per slot above which an endpoint queues them.
LOAD_MAX = 1.0
# Wait for a slot at an endpoint whose last free slots other instances have taken, times
# the share of such cases among those that the load suggests.
QUEUE_WAIT_S = 0.05
# Cost of an endpoint of another data centre, which is used once local ones fill up.
REMOTE_S = 0.02
# Seconds per event up to this factor above the lowest count as equal; the deviation of
# the estimates is about 0.1.
SPEED_TOLERANCE = 1.25
# Long items keep a step waiting by their whole length, so for them only endpoints
# within this factor of the fastest are equal.
LONG_TOLERANCE = 1.02
# Costs that differ by less are equal.
COST_STEP_S = 0.0005
# A prompt counts as cached if this share of its shared tokens is expected to be.
HIT_SHARE = 0.5
# Seconds per event while none have been measured.
USUAL_EVENT_S = 0.05


class ItemRequest(NamedTuple):
    """Hold an item to be placed; `prompt` is None if its headers describe none."""

    item: Item
    is_long: bool
    prompt: Prompt | None


class StartCost(NamedTuple):
    """Hold the parts of the expected seconds until the start at one endpoint.

    `crowding_s` is the cost to other requests, `slower_s` that of a slow endpoint.
    """

    wait_s: float
    prefill_s: float
    crowding_s: float
    slower_s: float
    remote_s: float


class ItemAffinity(ABC):
    """Choose the endpoints of one batch's items."""

    # Whether the first item of a group starts before the others.
    staggers = False

    def __init__(self, balancer: LoadBalancer, caches: PrefixCaches, rate: float):
        self._balancer = balancer
        self._caches = caches
        # Prefill rate in tokens per second.
        self._rate = rate

    @abstractmethod
    def choose(
        self,
        request: ItemRequest,
        usable: Sequence[Endpoint],
        exclude: frozenset[str],
        now: float,
    ) -> Endpoint | None:
        """Return an endpoint below LOAD_MAX, or None if there is none."""

    def is_hit(self, endpoint: Endpoint, prompt: Prompt, now: float) -> bool:
        """Return whether an endpoint has probably cached most of what is shared."""
        shared = sum(tokens for _, tokens in prompt.shared())
        return self.expected(endpoint, prompt, now) >= HIT_SHARE * shared

    def preview(self) -> "ItemAffinity":
        """Return a copy whose choices do not change the ones of this object."""
        return copy.copy(self)

    def costs(
        self, request: ItemRequest, endpoints: Sequence[Endpoint], now: float
    ) -> dict[str, StartCost]:
        """Return the costs that the choice compares, by endpoint id."""
        return {}

    def move_group(self, group: str, source: Endpoint, to: Endpoint | None) -> None:
        """Place further items of all groups elsewhere, those of `group` at `to`."""
        return

    def expected(self, endpoint: Endpoint, prompt: Prompt, now: float) -> float:
        """Return the tokens of a prompt that an endpoint has probably cached."""
        others = self._balancer.other_requests(endpoint, now)
        return self._caches.expected(endpoint, prompt, now, others)

    def _fastest(
        self, request, usable, exclude: frozenset[str], now: float
    ) -> Endpoint | None:
        """Return the fastest endpoint for a long item, None for other items."""
        if not request.is_long:
            return None
        fast = [end for end in usable if end.id not in exclude]
        selection = self._balancer.choose_fastest(fast, now, LOAD_MAX)
        return selection.endpoint if selection else None

    def _least_loaded(
        self, usable, exclude: frozenset[str], now: float
    ) -> Endpoint | None:
        selection = self._balancer.choose(usable, now, exclude, LOAD_MAX)
        return selection.endpoint if selection else None

    def _with_room(self, usable, exclude: frozenset[str], now: float) -> list[Endpoint]:
        """Return the sound endpoints that have a free slot."""
        return [
            end
            for end in usable
            if end.id not in exclude
            and not self._balancer.is_avoided(end, now)
            and self._balancer.load(end, now) < LOAD_MAX
        ]


class NoAffinity(ItemAffinity):
    """Place each item by load and speed alone."""

    def choose(self, request, usable, exclude, now):
        """Return the fastest endpoint for a long item, else the least loaded."""
        fastest = self._fastest(request, usable, exclude, now)
        return fastest or self._least_loaded(usable, exclude, now)


class GroupAffinity(ItemAffinity):
    """Keep the items of a group at one endpoint while that has a free slot."""

    def __init__(self, balancer: LoadBalancer, caches: PrefixCaches, rate: float):
        super().__init__(balancer, caches, rate)
        self._endpoints: dict[str, str] = {}

    def choose(self, request, usable, exclude, now):
        """Return the fastest endpoint for a long item, else that of its group."""
        fastest = self._fastest(request, usable, exclude, now)
        if fastest is not None:
            return fastest
        group = request.item.group
        preferred = self._endpoints.get(group)
        bound = [end for end in usable if end.id == preferred]
        for endpoint in self._with_room(bound, exclude, now):
            return endpoint
        chosen = self._least_loaded(usable, exclude, now)
        if chosen is not None:
            self._endpoints[group] = chosen.id
        return chosen

    def preview(self):
        """Return a copy whose choices do not change the ones of this object."""
        found = copy.copy(self)
        found._endpoints = dict(self._endpoints)
        return found

    def move_group(self, group, source, to):
        """Place further items of all groups elsewhere, those of `group` at `to`."""
        self._endpoints = {
            name: id for name, id in self._endpoints.items() if id != source.id
        }
        if to is not None:
            self._endpoints[group] = to.id


class MostCached(GroupAffinity):
    """Place each item where most of its prompt is cached, whatever else differs."""

    def choose(self, request, usable, exclude, now):
        """Return the endpoint with most of the prompt, or else that of the group."""
        best: tuple[float, str] = (0.0, "")
        chosen = None
        for end in self._with_room(usable, exclude, now) if request.prompt else ():
            rank = (self.expected(end, request.prompt, now), end.id)
            if rank[0] > 0.0 and rank > best:
                best, chosen = rank, end
        return chosen or super().choose(request, usable, exclude, now)


class WeighedAffinity(GroupAffinity):
    """Place each item where its answer is expected to start first."""

    staggers = True

    def choose(self, request, usable, exclude, now):
        """Return the endpoint of the earliest start; items without prompt by group."""
        if request.prompt is None or not request.prompt.shared():
            return super().choose(request, usable, exclude, now)
        candidates = self._with_room(usable, exclude, now)
        if not candidates:
            return self._least_loaded(usable, exclude, now)
        seconds = self._event_seconds(candidates, now)
        if request.is_long:
            limit = LONG_TOLERANCE * min(seconds.values())
            candidates = [end for end in candidates if seconds[end.id] <= limit]
        return self._earliest(candidates, request.prompt, seconds, now)

    def costs(self, request, endpoints, now):
        """Return the costs that the choice compares, by endpoint id."""
        if request.prompt is None or not endpoints:
            return {}
        seconds = self._event_seconds(endpoints, now)
        best_s = min(seconds.values())
        return {
            end.id: self._cost(end, request.prompt, seconds[end.id], best_s, now)
            for end in endpoints
        }

    def _earliest(
        self, candidates, prompt: Prompt, seconds: dict[str, float], now: float
    ) -> Endpoint:
        """Return the candidate of the lowest cost."""
        best_s = min(seconds[end.id] for end in candidates)
        steps = [
            round(
                sum(self._cost(end, prompt, seconds[end.id], best_s, now)) / COST_STEP_S
            )
            for end in candidates
        ]
        lowest = min(steps)
        equal = [
            end for end, cost in zip(candidates, steps, strict=True) if cost == lowest
        ]
        # Instances that know nothing of each other place equal prompts alike.
        shared = prompt.shared()[-1][0]
        return min(equal, key=lambda end: _rank(shared, end))

    def _event_seconds(self, candidates, now: float) -> dict[str, float]:
        """Return the expected seconds per event, those of the median if not known."""
        found = {
            end.id: self._balancer.expected_latency(end, now) for end in candidates
        }
        known = sorted(seconds for seconds in found.values() if seconds is not None)
        usual = known[len(known) // 2] if known else USUAL_EVENT_S
        return {id: seconds or usual for id, seconds in found.items()}

    def _cost(
        self,
        end: Endpoint,
        prompt: Prompt,
        seconds: float,
        best_s: float,
        now: float,
    ) -> StartCost:
        """Return the expected seconds until the start, with those of other requests."""
        load = self._balancer.load(end, now)
        slowness = max(1.0, seconds / best_s)
        # Other instances may have taken the free slots; likelier the fewer there are.
        wait_s = QUEUE_WAIT_S * load**end.slots * slowness
        missing = prompt.tokens() - self.expected(end, prompt, now)
        prefill_s = missing / self._rate * slowness
        # One more request slows the others at the endpoint.
        crowding_s = LOAD_SLOWDOWN * load * seconds
        slower_s = max(0.0, seconds - SPEED_TOLERANCE * best_s)
        remote_s = REMOTE_S if self._balancer.is_remote(end) else 0.0
        return StartCost(wait_s, prefill_s, crowding_s, slower_s, remote_s)


def _rank(shared: str, endpoint: Endpoint) -> int:
    return xxhash.xxh3_64_intdigest(f"{shared} {endpoint.id}".encode())


AFFINITIES: dict[str, type[ItemAffinity]] = {
    "off": NoAffinity,
    "group": GroupAffinity,
    "most": MostCached,
    "weighed": WeighedAffinity,
}
