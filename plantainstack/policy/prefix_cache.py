"""Estimate which endpoints have the beginning of a prompt in their prefix cache.

Based on what this instance sent and was answered only. An endpoint evicts the parts
that were least recently used; how far a part has moved towards eviction is measured in
tokens that reached the endpoint since its last use, of this instance and, by estimate,
of others. Designed for 1,100 endpoints; the total number of parts is bounded.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from enum import StrEnum

from plantainstack.serving import Endpoint, Prompt

# Parts kept for all endpoints together, at about 300 bytes each.
PARTS_MAX = 20_000
# Parts whose cause of removal is remembered.
REMOVED_MAX = 2_000
# An endpoint reuses a part only once it has prefilled it. If no event shows when that
# was, it is assumed after the time to send the request and twice that of the prefill.
SEND_S = 0.01
# Confidence in a part that was sent and of which no answer has begun.
UNCONFIRMED = 0.7
# Parts that were not used for this time are not counted on; what other instances sent
# in the meantime is not known.
AGE_MAX_S = 120.0
# Weight of a prompt in the mean size of prompts, and its initial value in tokens.
SIZE_WEIGHT = 0.05
SIZE_TOKENS = 1_000.0

PartKey = tuple[str, str]


class MissCause(StrEnum):
    """Tell why a prompt is not cached anywhere."""

    NEW = "new"
    NOT_YET = "not_yet"
    WEIGHTS = "weights"
    RESTARTED = "restarted"
    EVICTED = "evicted"
    UNAVAILABLE = "unavailable"


class _Part:
    """Hold one cached part; `position` is the endpoint's token count at its last use.

    `ready_at` is the time from which the part can be reused.
    """

    __slots__ = ("confirmed", "position", "ready_at", "used_at")

    def __init__(self, ready_at: float):
        self.confirmed = False
        self.position = 0.0
        self.ready_at = ready_at
        self.used_at = 0.0


class _Cache:
    """Hold what one run of an endpoint has probably cached."""

    def __init__(self):
        self.parts: OrderedDict[PartKey, _Part] = OrderedDict()
        self.versions: dict[str, int] = {}
        self.position = 0.0


class PrefixCaches:
    """Track the prefix caches of endpoints; times are monotonic seconds.

    `capacity` is the size of an endpoint's cache in tokens, `rate` the tokens that it
    prefills in a second. State belongs to one run of
    an endpoint and to its weight versions.
    """

    def __init__(self, capacity: float, rate: float):
        self._capacity = capacity
        self._rate = rate
        self._caches: OrderedDict[tuple[str, int], _Cache] = OrderedDict()
        self._removed: OrderedDict[PartKey, MissCause] = OrderedDict()
        self._size = 0
        self._mean_tokens = SIZE_TOKENS

    def prefill_s(self, prompt: Prompt) -> float:
        """Return the seconds after which a prompt that is sent should be cached."""
        return SEND_S + 2.0 * prompt.tokens() / self._rate

    def record_sent(self, endpoint: Endpoint, prompt: Prompt, now: float) -> None:
        """Record that a request was sent whose prompt the endpoint will prefill."""
        key = endpoint.incarnation()
        cache = self._cache(endpoint)
        self._caches.move_to_end(key)
        self._mean_tokens += SIZE_WEIGHT * (prompt.tokens() - self._mean_tokens)
        added = prompt.parts[-1][1]
        complete = True
        ready_at = now + self.prefill_s(prompt)
        for id, tokens in prompt.shared():
            part_key = (prompt.model, id)
            part = cache.parts.get(part_key)
            complete = complete and part is not None and self._kept(cache, part) > 0.0
            if part is None:
                part = self._add(cache, part_key, ready_at, now)
            elif not complete:
                part.confirmed, part.ready_at = False, ready_at
            added += 0 if complete else tokens
            part.used_at = now
            cache.parts.move_to_end(part_key)
        cache.position += added
        for id, _ in prompt.shared():
            cache.parts[prompt.model, id].position = cache.position
        self._drop_oldest()

    def record_prefilled(self, endpoint: Endpoint, prompt: Prompt, now: float) -> None:
        """Record that a request began to be answered, so that its prompt is cached."""
        cache = self._cache(endpoint)
        for id, _ in prompt.shared():
            part = cache.parts.get((prompt.model, id))
            if part is None:
                # The answer showed weights that were loaded after the request was sent.
                part = self._add(cache, (prompt.model, id), now, now)
            part.confirmed, part.ready_at = True, min(part.ready_at, now)

    def record_unanswered(self, endpoint: Endpoint, prompt: Prompt) -> None:
        """Record that a request ended before its answer began.

        It may have been refused, so that nothing was prefilled.
        """
        cache = self._caches.get(endpoint.incarnation())
        for id, _ in prompt.shared() if cache else ():
            part = cache.parts.get((prompt.model, id))
            if part is not None and not part.confirmed:
                del cache.parts[prompt.model, id]
                self._size -= 1

    def record_versions(self, endpoint: Endpoint, versions: Mapping[str, int]) -> None:
        """Record the weight versions of an endpoint; a new one clears its cache.

        Older versions are late news and change nothing.
        """
        cache = self._caches.get(endpoint.incarnation())
        if cache is None:
            return
        loaded = False
        for model, version in versions.items():
            known = cache.versions.get(model)
            if known is None or version > known:
                cache.versions[model] = version
                loaded = loaded or known is not None
        if loaded:
            self._clear(cache, MissCause.WEIGHTS)
            cache.position = 0.0

    def expected(
        self, endpoint: Endpoint, prompt: Prompt, now: float, others: float
    ) -> float:
        """Return the tokens of a prompt that are expected in an endpoint's cache.

        The expectation is lower for parts in doubt. `others` is the number of other
        instances' requests at the endpoint. A part counts after all before it.
        """
        cache = self._caches.get(endpoint.incarnation())
        return self._expected(cache, prompt, now, others) if cache else 0.0

    def _expected(
        self, cache: _Cache, prompt: Prompt, now: float, others: float
    ) -> float:
        found, confidence = 0.0, 1.0
        for id, tokens in prompt.shared():
            part = cache.parts.get((prompt.model, id))
            if part is None or now < part.ready_at:
                break
            confidence = min(confidence, self._confidence(cache, part, now, others))
            found += tokens * confidence
        return found

    def miss_cause(self, prompt: Prompt, now: float) -> MissCause:
        """Return why no usable endpoint has the longest shared beginning of a prompt.

        `UNAVAILABLE` stands for one that may not be used, or has other work to do.
        """
        key = (prompt.model, prompt.shared()[-1][0])
        found = self._removed.get(key, MissCause.NEW)
        for cache in self._caches.values():
            part = cache.parts.get(key)
            if part is None:
                continue
            if now < part.ready_at:
                return MissCause.NOT_YET
            is_kept = self._confidence(cache, part, now, 0.0) > 0.5
            found = MissCause.UNAVAILABLE if is_kept else MissCause.EVICTED
        return found

    def forget(self, endpoints: Sequence[Endpoint]) -> None:
        """Delete the state of endpoints that have gone."""
        for endpoint in endpoints:
            cache = self._caches.pop(endpoint.incarnation(), None)
            if cache is not None:
                self._clear(cache, MissCause.RESTARTED)

    def size(self) -> int:
        """Return the number of parts kept for all endpoints."""
        return self._size

    def _cache(self, endpoint: Endpoint) -> _Cache:
        key = endpoint.incarnation()
        found = self._caches.get(key)
        if found is None:
            found = self._caches[key] = _Cache()
            found.versions.update(endpoint.versions)
        return found

    def _add(self, cache: _Cache, key: PartKey, ready_at: float, now: float) -> _Part:
        part = cache.parts[key] = _Part(ready_at)
        part.position, part.used_at = cache.position, now
        self._size += 1
        return part

    def _kept(self, cache: _Cache, part: _Part, others_tokens: float = 0.0) -> float:
        """Return the confidence that a part was not evicted, by the tokens since."""
        pushed = cache.position - part.position + others_tokens
        return max(0.0, 1.0 - (pushed / self._capacity) ** 2)

    def _confidence(
        self, cache: _Cache, part: _Part, now: float, others: float
    ) -> float:
        age_s = now - part.used_at
        # A request lasts about a second, after which another one takes its place.
        others_tokens = others * age_s * self._mean_tokens
        kept = self._kept(cache, part, others_tokens)
        aged = max(0.0, 1.0 - age_s / AGE_MAX_S)
        return kept * aged * (1.0 if part.confirmed else UNCONFIRMED)

    def _clear(self, cache: _Cache, cause: MissCause) -> None:
        for key in cache.parts:
            self._note_removed(key, cause)
        self._size -= len(cache.parts)
        cache.parts.clear()

    def _drop_oldest(self) -> None:
        while self._size > PARTS_MAX:
            key, cache = next(iter(self._caches.items()))
            if cache.parts:
                part_key, _ = cache.parts.popitem(last=False)
                self._note_removed(part_key, MissCause.EVICTED)
                self._size -= 1
            if not cache.parts:
                del self._caches[key]

    def _note_removed(self, key: PartKey, cause: MissCause) -> None:
        self._removed[key] = cause
        self._removed.move_to_end(key)
        if len(self._removed) > REMOVED_MAX:
            self._removed.popitem(last=False)
