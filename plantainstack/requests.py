"""What is known of a request while it is served."""

import uuid
from typing import NamedTuple

from plantainstack.clock import Clock
from plantainstack.interfaces import Priority


class RequestContext(NamedTuple):
    """Describe a request; the deadline is a monotonic time in seconds."""

    request_id: str
    caller: str
    service: str
    priority: Priority
    arrived_at: float
    deadline: float
    key: str | None = None
    group: str | None = None


class Deadline:
    """Check a deadline by the clock, which counts the time of a suspension.

    The time of day may be corrected by seconds and decides nothing.
    """

    def __init__(self, clock: Clock, deadline: float):
        self._clock = clock
        self._deadline = deadline

    def expired(self) -> bool:
        """Return whether the deadline has passed."""
        return self.remaining() <= 0

    def remaining(self) -> float:
        """Return the seconds until the deadline."""
        return self._deadline - self._clock.now()


def new_id() -> str:
    """Return a new id for a request or an attempt."""
    return uuid.uuid4().hex
