"""In-memory buffer of recent events of requests, samples and steps."""

from collections import deque
from typing import Any, NamedTuple

from plantainstack import log
from plantainstack.clock import Clock

TRACE_EVENTS_MAX = 20_000


class TraceEvent(NamedTuple):
    """One recorded event; the time is in Unix seconds."""

    id: str
    wall: float
    name: str
    fields: dict[str, Any]


class TraceBuffer:
    """Ring buffer of the most recent events; older events are only in the logs."""

    def __init__(self, clock: Clock, capacity: int = TRACE_EVENTS_MAX):
        self._clock = clock
        self._events: deque[TraceEvent] = deque(maxlen=capacity)

    def record(self, trace_id: str, name: str, **fields: Any) -> None:
        """Log an event of a request, sample or step, and add it to the buffer."""
        log.event(name, request_id=trace_id, **fields)
        self._events.append(TraceEvent(trace_id, self._clock.wall(), name, fields))

    def find(self, trace_id: str) -> list[TraceEvent]:
        """Return the buffered events with this id, oldest first."""
        return [event for event in self._events if event.id == trace_id]
