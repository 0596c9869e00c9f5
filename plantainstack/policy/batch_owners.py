"""Choose the instance that runs a new batch.

Answers the load of trainers that submit a step every few seconds, each time at another
instance. A step opens a stream for each of its items. The instance that ran the
trainer's previous step still has these connections open and knows how fast each
endpoint is, so it runs the next step too, unless it also runs those of another trainer.
"""

from collections.abc import Iterable
from typing import NamedTuple

# The previous owner closes connections that were idle for 8 s.
PREVIOUS_STEP_MAX_AGE_S = 8.0
# An owner that has not taken over a batch by then is lost, leaving or cut off from the
# store; the instance that accepted the batch runs it.
HANDOVER_TIMEOUT_S = 0.4


class StepOwner(NamedTuple):
    """Hold the owner of a batch, and when the batch was first and last written.

    `route` identifies the trainer; times are monotonic seconds at this instance.
    """

    route: str
    owner: str
    known_since: float
    seen_at: float


def choose_owner(
    instance: str, route: str, steps: Iterable[StepOwner], now: float
) -> str:
    """Return the instance that runs a batch that `instance` has accepted."""
    latest: dict[str, StepOwner] = {}
    for step in steps:
        known = latest.get(step.route)
        if known is None or step.known_since > known.known_since:
            latest[step.route] = step
    previous = latest.pop(route, None)
    if previous is None or not previous.owner:
        return instance
    if now - previous.seen_at > PREVIOUS_STEP_MAX_AGE_S:
        return instance
    if any(step.owner == previous.owner for step in latest.values()):
        return instance
    return previous.owner
