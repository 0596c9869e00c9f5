"""Context, deadline and id of a request."""

import uuid
from typing import NamedTuple

from plantainstack.clock import Clock
from plantainstack.interfaces import Priority


class RequestContext(NamedTuple):
    """A request being served; its times are monotonic times in seconds."""

    request_id: str
    caller: str
    service: str
    priority: Priority
    arrived_at: float
    deadline: float
    key: str | None = None
    group: str | None = None


class Deadline:
    """A deadline on the monotonic clock, which includes time spent suspended.

    The wall clock is not used, because corrections can change it by seconds.
    """

    def __init__(self, clock: Clock, deadline: float):
        self._clock = clock
        self._deadline = deadline

    def expired(self) -> bool:
        """Return whether the deadline has passed."""
        return self.remaining() <= 0

    def remaining(self) -> float:
        """Return the seconds until the deadline, negative after it."""
        return self._deadline - self._clock.now()


def new_id() -> str:
    """Return a new unique id for a request or an attempt."""
    return uuid.uuid4().hex
