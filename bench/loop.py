"""Run scheduled calls in simulated time."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Keep simulated seconds and the calls that are due."""

    def __init__(self):
        self.now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable, tuple]] = []

    def at(self, time: float, call: Callable, *args) -> None:
        """Schedule a call, now at the earliest."""
        entry = (max(time, self.now), next(self._order), call, args)
        heapq.heappush(self._due, entry)

    def after(self, seconds: float, call: Callable, *args) -> None:
        """Schedule a call after a time in seconds."""
        self.at(self.now + seconds, call, *args)

    def run(self, until: float) -> None:
        """Run all calls up to a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = until
