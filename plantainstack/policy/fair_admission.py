"""Divide the free slots of a full service among the tenants that wait for them.

Answers which waiting request of this instance goes next, and which cannot be answered
in time. Each instance decides by itself: requests of all instances meet at the
endpoints, where the attempts of an instance win slots in proportion to their number,
so an instance makes attempts in proportion to the requests sent to it. Designed for
some hundred waiting requests and up to 50 tenants of one service at an instance.
"""

import math
from collections import deque
from typing import NamedTuple

# Time over which served and offered requests of a tenant are compared.
SHARE_WINDOW_S = 5.0
# A tenant whose requests are served less often than this share of all goes first,
# whatever its priority: a quarter is required, and the measure is late.
SHARE_MIN = 0.4
# Each waiting request stands for an attempt at an endpoint in this time.
ATTEMPT_INTERVAL_S = 0.25
ATTEMPT_INTERVAL_MIN_S = 0.005
# Requests wait for at most this share of the time that they have left, so that time
# remains for the answer.
WAIT_SHARE = 0.5
WAIT_MAX_S = 2.0
# A refused client is not told to return before.
RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_MAX_S = 5.0


class Ticket(NamedTuple):
    """Hold the place of a waiting request; times are monotonic seconds."""

    tenant: str
    priority: int
    number: int
    leave_at: float


class _Counts:
    """Count the requests of a tenant that were offered and served lately."""

    def __init__(self):
        self.offered = 0.0
        self.served = 0.0
        self._at = 0.0

    def decay(self, now: float) -> "_Counts":
        """Let earlier requests count for less."""
        factor = math.exp(-max(0.0, now - self._at) / SHARE_WINDOW_S)
        self.offered *= factor
        self.served *= factor
        self._at = now
        return self

    def share(self) -> float:
        """Return the share of the offered requests that were served."""
        return self.served / self.offered if self.offered else 1.0


class FairAdmission:
    """Order the waiting requests of one service at this instance."""

    def __init__(self):
        self._queues: dict[tuple[str, int], deque[Ticket]] = {}
        self._counts: dict[str, _Counts] = {}
        self._total = _Counts()
        # What each tenant has been given, as a position in the order of turns.
        self._turns: dict[str, float] = {}
        self._turn = 0.0
        self._next_number = 0
        self._waiting = 0

    def __len__(self):
        return self._waiting

    def offer(self, tenant: str, priority: int, deadline: float, now: float) -> Ticket:
        """Count a request that arrived, and return its place."""
        self._count(tenant, now).offered += 1.0
        self._total.decay(now).offered += 1.0
        self._next_number += 1
        wait_max_s = min(WAIT_MAX_S, WAIT_SHARE * (deadline - now))
        return Ticket(tenant, priority, self._next_number, now + wait_max_s)

    def wait(self, ticket: Ticket, now: float) -> bool:
        """Queue a request; return False if its turn would come too late."""
        key = (ticket.tenant, ticket.priority)
        # One that was refused at its turn is older than those that came since.
        place = sum(each.number < ticket.number for each in self._queues.get(key, ()))
        if now + self._wait_behind_s(ticket.tenant, place, now) >= ticket.leave_at:
            return False
        self._queues.setdefault(key, deque()).insert(place, ticket)
        self._waiting += 1
        return True

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that waits no more."""
        key = (ticket.tenant, ticket.priority)
        queue = self._queues.get(key)
        if queue is None or ticket not in queue:
            return
        queue.remove(ticket)
        self._waiting -= 1
        if not queue:
            del self._queues[key]

    def give(self, ticket: Ticket, now: float) -> None:
        """Charge its tenant for a request that is sent to endpoints."""
        self.leave(ticket)
        self._turn = max(self._turn, self._turns.get(ticket.tenant, 0.0))
        self._turns[ticket.tenant] = self._turn + 1.0
        self._count(ticket.tenant, now).served += 1.0
        self._total.decay(now).served += 1.0

    def take_back(self, ticket: Ticket, now: float) -> None:
        """Undo the charge for a request that the endpoints refused."""
        self._turns[ticket.tenant] -= 1.0
        for counts in (self._count(ticket.tenant, now), self._total.decay(now)):
            counts.served = max(0.0, counts.served - 1.0)

    def first(self, now: float) -> Ticket | None:
        """Return the request that goes next.

        Tenants that are served far less often than all together come first, then
        priorities, then the tenant that has been given least.
        """
        least = SHARE_MIN * self._total.decay(now).share()

        def rank(key):
            tenant, priority = key
            number = self._queues[key][0].number
            share = self._count(tenant, now).share()
            if share < least:
                return (0, 0, share, number)
            turn = max(self._turn, self._turns.get(tenant, 0.0))
            return (1, priority, turn, number)

        key = min(self._queues, key=rank, default=None)
        return None if key is None else self._queues[key][0]

    def attempt_interval_s(self, now: float) -> float:
        """Return the time between attempts while no slot is known to be free.

        Attempts are as frequent as offered requests, so that an instance wins slots in
        proportion to what is sent to it.
        """
        offered = self._total.decay(now).offered / SHARE_WINDOW_S
        rate = max(offered, max(1, self._waiting) / ATTEMPT_INTERVAL_S)
        return max(ATTEMPT_INTERVAL_MIN_S, 1.0 / rate)

    def expected_wait_s(self, tenant: str, priority: int, now: float) -> float:
        """Return for how long a new request would wait, 0.0 if nothing is known."""
        own = len(self._queues.get((tenant, priority), ()))
        return self._wait_behind_s(tenant, own, now)

    def _wait_behind_s(self, tenant: str, own: int, now: float) -> float:
        """Return the wait behind `own` requests of the same tenant and priority."""
        if not own:
            return 0.0
        # A tenant that sent little before gets its turns among those that wait.
        turns = self._total.decay(now).served / len(self._queues)
        served = max(self._count(tenant, now).served, turns)
        return own / max(served / SHARE_WINDOW_S, 1.0 / ATTEMPT_INTERVAL_S)

    def retry_after_s(
        self, tenant: str, priority: int, spread: float, now: float
    ) -> float:
        """Return when a refused client may return; `spread` is random, in [0, 1)."""
        wait_s = max(RETRY_AFTER_MIN_S, self.expected_wait_s(tenant, priority, now))
        return min(RETRY_AFTER_MAX_S, wait_s) * (1.0 + spread)

    def _count(self, tenant: str, now: float) -> _Counts:
        return self._counts.setdefault(tenant, _Counts()).decay(now)
