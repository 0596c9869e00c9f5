"""Order the starts of a batch's items so that groups can share a cached prompt.

An endpoint reuses the beginning of a prompt only once it has prefilled it. The first
item of a group is therefore started alone; the others follow once its first event has
come, or after a short time. The same holds for the first item that is placed at another
endpoint, which happens when the first one has no room. Meanwhile items of other groups
are started, so that no slot stays empty for longer than that time. Each start takes
logarithmic time.
"""

import heapq
from collections import deque
from collections.abc import Callable, Sequence

from plantainstack.serving import Item

# Longest time for which the other items of a group wait for one; the results of a step
# are due seconds later.
FOLLOW_MAX_S = 0.03
# Number of times that a group waits. Each wait delays the last items of the group.
WAITS_MAX = 3


class _Group:
    """Hold the items of a group that have not been started, in order."""

    def __init__(self):
        self.items: deque[tuple[int, Item]] = deque()
        self.waits = 0
        self.is_held = False


class GroupStarts:
    """Return the items of a batch in the order in which they may start.

    `group_of` returns what an item shares its prompt under, None for an item that waits
    for no other. Each item is returned once; `record_started` follows before the next
    one. Times are monotonic seconds.
    """

    def __init__(self, items: Sequence[Item], group_of: Callable[[Item], str | None]):
        self._groups: dict[str, _Group] = {}
        # The index of the next item of each group that may start, with its key; items
        # without a group stand here by themselves. A batch may have 100,000 of them.
        self._ready: list[tuple[int, str | Item]] = []
        # Times at which groups end to wait.
        self._held: list[tuple[float, str]] = []
        self._waited: set[str] = set()
        for number, item in enumerate(items):
            key = group_of(item)
            if key is None:
                self._ready.append((number, item))
                continue
            if key not in self._groups:
                self._groups[key] = _Group()
            self._groups[key].items.append((number, item))
        heapq.heapify(self._ready)
        for key in self._groups:
            self._push(key)
        # The group of the last item, None if it has none.
        self._current: str | None = None

    def next(self, now: float) -> Item | None:
        """Return the next item to start, None if all that are left wait."""
        while self._held and self._held[0][0] <= now:
            self._release(heapq.heappop(self._held)[1])
        if not self._ready:
            return None
        _, found = heapq.heappop(self._ready)
        if isinstance(found, Item):
            self._current = None
            return found
        self._current = found
        return self._groups[found].items.popleft()[1]

    def next_at(self) -> float:
        """Return the time at which the next item may start in any case."""
        return self._held[0][0] if self._held else 0.0

    def record_started(self, hit: bool, wait_s: float, now: float) -> None:
        """Record that the last item was sent; `hit` if its prompt is cached there.

        Without it, the group waits for the item, for `wait_s` at most.
        """
        group = self._groups.get(self._current)
        if group is None or not group.items:
            return
        if hit or group.waits >= WAITS_MAX or wait_s <= 0.0:
            self._push(self._current)
            return
        group.waits += 1
        group.is_held = True
        self._waited.update(item.id for _, item in group.items)
        until = now + min(wait_s, FOLLOW_MAX_S)
        heapq.heappush(self._held, (until, self._current))

    def record_first_event(self, item: Item) -> None:
        """Record that an item's prompt has been prefilled."""
        if item.group in self._groups:
            self._release(item.group)

    def has_waited(self, item: Item) -> bool:
        """Return whether an item waited for another one of its group."""
        return item.id in self._waited

    def _push(self, key: str) -> None:
        heapq.heappush(self._ready, (self._groups[key].items[0][0], key))

    def _release(self, key: str) -> None:
        group = self._groups[key]
        if group.is_held:
            group.is_held = False
            self._held = [entry for entry in self._held if entry[1] != key]
            heapq.heapify(self._held)
            self._push(key)
