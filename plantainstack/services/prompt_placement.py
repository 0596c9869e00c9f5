"""Place the items of a batch with regard to the prompts that endpoints have cached."""

from collections.abc import Sequence

import anyio

from plantainstack import log, metrics
from plantainstack.policy.group_starts import GroupStarts
from plantainstack.policy.prefix_placement import (
    AFFINITIES,
    LOAD_MAX,
    ItemAffinity,
    ItemRequest,
)
from plantainstack.serving import Batch, Endpoint, Item, Prompt


class PromptPlacement:
    """Choose endpoints for the items of one batch, and count how prompts were found.

    `long_items` holds the ids of items that are likely to be long.
    """

    def __init__(self, kernel, batch: Batch):
        self.long_items: set[str] = set()
        self._batch = batch
        self._clock = kernel.clock
        self._client = kernel.plugin("store").endpoint_client
        discovery = kernel.plugin("discovery")
        self._balancer = discovery.balancer
        self._caches = discovery.prefix_caches
        options = kernel.settings.placement
        self._affinity = AFFINITIES[options.prefix_cache](
            self._balancer, self._caches, options.prefill_rate * 1000.0
        )
        self._prompts: dict[str, Prompt | None] = {}
        # The endpoints from which an item was chosen, until the request is recorded.
        self._usable: Sequence[Endpoint] = ()
        # The item that was last sent, and whether its prompt was probably cached.
        self._last_sent: tuple[str, bool] | None = None
        self._starts: GroupStarts | None = None
        self._released = anyio.Event()

    def choose(
        self, item: Item, usable: Sequence[Endpoint], exclude: frozenset[str]
    ) -> Endpoint | None:
        """Return an endpoint with a free slot for an item, or None without one."""
        self._usable = [end for end in usable if end.id not in exclude]
        request = self.request(item)
        return self._affinity.choose(request, usable, exclude, self._clock.now())

    def request(self, item: Item) -> ItemRequest:
        """Return what the choice for an item is based on."""
        return ItemRequest(item, item.id in self.long_items, self._prompt(item))

    def preview(self) -> ItemAffinity:
        """Return the way of choosing, for choices that change nothing."""
        return self._affinity.preview()

    def move_group(self, item: Item, source: Endpoint, to: Endpoint | None) -> None:
        """Place further items of all groups elsewhere, those of the item's at `to`."""
        self._affinity.move_group(item.group, source, to)

    def record_sent(self, item: Item, endpoint: Endpoint) -> None:
        """Record that a slot was reserved for an item at an endpoint."""
        prompt = self._prompt(item)
        if prompt is None:
            return
        now = self._clock.now()
        hit = self._count(item, endpoint, prompt, now)
        self._last_sent = (item.id, hit)
        self._caches.record_sent(endpoint, prompt, now)

    def record_first_event(self, item: Item, endpoint: Endpoint) -> None:
        """Record that the answer to an item has begun at an endpoint."""
        prompt = self._prompt(item)
        if prompt is not None:
            self._caches.record_prefilled(endpoint, prompt, self._clock.now())
        if self._starts is not None:
            self._starts.record_first_event(item)
            event, self._released = self._released, anyio.Event()
            event.set()

    def record_unanswered(self, item: Item, endpoint: Endpoint) -> None:
        """Record that an attempt at an item ended without an event."""
        prompt = self._prompt(item)
        if prompt is not None:
            self._caches.record_unanswered(endpoint, prompt)

    def begin_starts(self, items: Sequence[Item]) -> GroupStarts:
        """Return the order in which the items are started."""
        self._starts = GroupStarts(items, self._waiting_group)
        return self._starts

    async def next_item(self, starts: GroupStarts) -> Item:
        """Return the next item, once it may start; call for each item once."""
        while (item := starts.next(self._clock.now())) is None:
            remaining = starts.next_at() - self._clock.now()
            with anyio.move_on_after(max(0.001, remaining)):
                await self._released.wait()
        return item

    def record_started(self, item: Item) -> None:
        """Record that the last item was started, whether or not it was sent."""
        prompt = self._prompt(item)
        sent, self._last_sent = self._last_sent, None
        missed = sent == (item.id, False)
        wait_s = self._caches.prefill_s(prompt) if prompt and missed else 0.0
        self._starts.record_started(not missed, wait_s, self._clock.now())

    def _waiting_group(self, item: Item) -> str | None:
        """Return the group whose items wait for each other, None if they do not."""
        if not self._affinity.staggers or self._prompt(item) is None:
            return None
        return item.group or None

    def _prompt(self, item: Item) -> Prompt | None:
        """Return the prompt of an item if others may share its beginning."""
        if not item.headers:
            return None
        if item.id not in self._prompts:
            prompt = self._client.prompt(item.headers)
            is_shared = prompt is not None and _shared_tokens(prompt) > 0
            self._prompts[item.id] = prompt if is_shared else None
        return self._prompts[item.id]

    def _count(self, item: Item, endpoint: Endpoint, prompt: Prompt, now) -> bool:
        """Count how the prompt was found; return whether it is probably cached."""
        shared = _shared_tokens(prompt)
        cached = self._affinity.expected(endpoint, prompt, now)
        hit = self._affinity.is_hit(endpoint, prompt, now)
        result = "hit" if hit else self._miss_cause(prompt, now)
        rest = "new" if result == "new" else "repeated"
        metrics.PROMPT_PLACEMENTS.labels(result).inc()
        metrics.PROMPT_TOKENS.labels("cached").inc(cached)
        metrics.PROMPT_TOKENS.labels(rest).inc(shared - cached)
        if self._starts is None or not self._starts.has_waited(item):
            return hit
        metrics.PROMPT_WAITS.labels("hit" if hit else "lost").inc()
        if not hit:
            log.event(
                "item.prompt_missed",
                item.id,
                batch=self._batch.id,
                group=item.group,
                endpoint=endpoint.id,
                cause=result,
                tokens=shared,
                cached=round(cached),
            )
        return hit

    def _miss_cause(self, prompt: Prompt, now: float) -> str:
        causes = set()
        for end in self._usable:
            if not self._affinity.is_hit(end, prompt, now):
                continue
            if self._balancer.is_avoided(end, now):
                causes.add("avoided")
            elif self._balancer.load(end, now) >= LOAD_MAX:
                causes.add("full")
            else:
                return "outweighed"
        return min(causes) if causes else self._caches.miss_cause(prompt, now).value


def _shared_tokens(prompt: Prompt) -> int:
    return sum(tokens for _, tokens in prompt.shared())
