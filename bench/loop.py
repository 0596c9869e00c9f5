"""Event loop of the discrete-event simulation."""

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Run scheduled calls in order of time; `now` is in simulated seconds."""

    def __init__(self):
        self.now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable, tuple]] = []

    def call_at(self, time: float, call: Callable, *args) -> None:
        """Schedule a call at a time; a past time means now."""
        entry = (max(time, self.now), next(self._order), call, args)
        heapq.heappush(self._due, entry)

    def call_later(self, seconds: float, call: Callable, *args) -> None:
        """Schedule a call after a delay in seconds."""
        self.call_at(self.now + seconds, call, *args)

    def run_until(self, end: float) -> None:
        """Run all calls due up to a time, and advance to it."""
        while self._due and self._due[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = end
