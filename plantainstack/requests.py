"""What is known of a request while it is served."""

import uuid
from typing import NamedTuple

from plantainstack.platform.base import Priority


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


def new_id() -> str:
    """Return a new id for a request or an attempt."""
    return uuid.uuid4().hex
