"""Measure the pace of a stream from the times at which its events are read.

Answers bursts: events that have arrived while the process or its link stood still are
read together, so that the gaps between them say nothing about the endpoint.
"""

from typing import NamedTuple

# Events that are read within this time of each other had arrived before the first of
# them was read.
READ_TOGETHER_S = 0.001


class PaceSample(NamedTuple):
    """Hold the seconds per event over a number of events."""

    seconds: float
    events: int


class EventPace:
    """Measure the seconds per event of one stream; times are monotonic seconds.

    Events that are read together share the time since those before them. That time is
    not known for the first ones, which wait for the prompt to be read, nor for the ones
    after them if several came first.
    """

    def __init__(self):
        self._read_at: float | None = None
        # The events that were last read together: the time of the first of them, their
        # number, and the time of those before them if it counts.
        self._arrived_at = 0.0
        self._events = 0
        self._since: float | None = None
        self._is_first = True

    def record(self, now: float) -> PaceSample | None:
        """Record that an event was read; return a sample once it is complete.

        Only the next event that is read later shows how many came together.
        """
        before, self._read_at = self._read_at, now
        if before is None:
            self._arrived_at, self._events = now, 1
            return None
        if now - before < READ_TOGETHER_S:
            self._events += 1
            return None
        sample = None
        if self._since is not None:
            seconds = (self._arrived_at - self._since) / self._events
            sample = PaceSample(seconds, self._events)
        burst_came_first = self._is_first and self._events > 1
        self._since = None if burst_came_first else self._arrived_at
        self._is_first = False
        self._arrived_at, self._events = now, 1
        return sample
