"""Decide when, where and how often the reward calls of items are sent.

Answers the load at the end of a step: the texts of hundreds of items are complete
within a second or two, and each needs a reward call of some 200 ms. The endpoints that
score also answer live callers, who expect their answers sooner than that and arrive at
any time. Reward calls therefore leave some slots of every endpoint free and wait for
the others in the order in which trainers need them.
"""

from collections.abc import Sequence
from typing import NamedTuple

from plantainstack.policy.load_balancing import LoadBalancer, Selection
from plantainstack.serving import Endpoint, Route

# Share of an endpoint's slots that reward calls leave free for live callers.
CALLER_SLOTS_SHARE = 1 / 3
# Only this status counts towards the abandonment of an item.
ERROR_STATUS = 500
# Delays after attempts that failed in another way. A full endpoint has a free slot
# again after about the first one; the last one limits the load during an outage.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.8
# 2 to the power of 1024 is too large for a float.
RETRY_DOUBLINGS_MAX = 10
WAIT_DOUBLINGS_MAX = 20


class GroupProgress:
    """Count the unfinished items of a group."""

    def __init__(self):
        self.unfinished = 0


class RewardRank(NamedTuple):
    """Order waiting reward calls; the lowest rank is sent first.

    The batch that is due first comes first. Within it, the group with the fewest
    unfinished items does, because a trainer can use only complete groups.
    """

    due_at: float
    unfinished: int
    waiting_since: float


class RewardAttempts:
    """Track the attempts to send one reward call; times are monotonic seconds."""

    def __init__(self, errors: int = 0):
        self.count = 0
        self.begun_at = 0.0
        self.errors = errors
        self._unanswered = 0
        self._failures = 0
        self._failed_endpoints: set[str] = set()

    def begin(self, route: Route, now: float, deadline: float) -> float:
        """Count an attempt and return the time until which to wait for its answer.

        An endpoint that does not answer within the route's objective is slow or lost.
        The wait doubles with each such attempt, in case all endpoints are slow.
        """
        self.count += 1
        self.begun_at = now
        doublings = min(self._unanswered, WAIT_DOUBLINGS_MAX)
        wait_s = max(route.objective_s, RETRY_MIN_S) * 2**doublings
        if route.timeout_s > 0.0:
            wait_s = min(wait_s, route.timeout_s)
        return min(deadline, now + wait_s)

    def record_error(self, endpoint_id: str) -> None:
        """Record an answer with status 500."""
        self.errors += 1
        self._failed_endpoints.add(endpoint_id)

    def record_failure(self, endpoint_id: str, unanswered: bool) -> None:
        """Record an attempt that ended in another way without a score."""
        self._failures += 1
        self._unanswered += unanswered
        self._failed_endpoints.add(endpoint_id)

    def record_refusal(self) -> None:
        """Record that an endpoint refused the call because it was full."""
        self._failures += 1

    def failed(self) -> bool:
        """Return whether an endpoint has failed this call."""
        return bool(self._failed_endpoints)

    def exhausted(self, errors_max: int) -> bool:
        """Return whether the call has failed often enough to abandon its item."""
        return self.errors >= errors_max

    def retry_delay_s(self) -> float:
        """Return the delay before the next attempt in seconds."""
        if not self._failures:
            return 0.0
        doublings = min(self._failures - 1, RETRY_DOUBLINGS_MAX)
        return min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)

    def preferred(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that have not failed this call, or all of them."""
        others = [end for end in endpoints if end.id not in self._failed_endpoints]
        return others or endpoints


def errors_max(batch_route: Route, reward_route: Route) -> int:
    """Return the number of error answers after which an item is abandoned.

    The higher limit applies, so that no item is abandoned too early.
    """
    return max(1, batch_route.endpoints_max, reward_route.endpoints_max)


def slots_for_reward_calls(slots: int) -> int:
    """Return how many of an endpoint's slots may be in use when a call is sent."""
    return max(1, slots - max(1, round(slots * CALLER_SLOTS_SHARE)))


def choose_endpoint(
    balancer: LoadBalancer,
    endpoints: Sequence[Endpoint],
    attempts: RewardAttempts,
    now: float,
) -> Selection | None:
    """Return the endpoint for a reward call, or None if it has to wait."""
    healthy = [end for end in endpoints if not balancer.is_avoided(end, now)]
    with_room = [
        end
        for end in attempts.preferred(healthy or endpoints)
        if balancer.load(end, now) * end.slots < slots_for_reward_calls(end.slots)
    ]
    return balancer.choose(with_room, now)
