"""Hold a duty under a lease in the metadata store."""

import random

import anyio

from plantainstack import metrics
from plantainstack.duties import CALL_TIMEOUT_S, DutyGrant, DutyLease
from plantainstack.policy.order_lease import LeaseTerms, StoreClock
from plantainstack.services.store_leases.lease import LEASE_KEY, LeaseSpec, StoreLease
from plantainstack.serving import RowName

LEASE_TABLE = "duty_leases"
# Time left for sending in a window that was just opened, with a store that answers in
# 0.2 s, is 0.4 s. Longer windows delay the first call of the next holder.
TERMS = LeaseTerms(lease_s=3.0, window_s=CALL_TIMEOUT_S + 0.7)
# Half of the lease is left for a renewal through a slow store.
RENEW_AFTER_S = 1.4
# A call is only granted if this much time is left for sending it.
SEND_MARGIN_S = 0.1
HELD_INTERVAL_S = 0.75
# 90 instances that each look this often notice a free lease within about 0.1 s.
CHECK_MIN_S = 2.0
CHECK_MAX_S = 3.0


def check_delay_s(held: bool) -> float:
    """Return the seconds until `acquire` is to be called again."""
    return HELD_INTERVAL_S if held else random.uniform(CHECK_MIN_S, CHECK_MAX_S)


class StoreDutyLease(DutyLease):
    """Hold one duty for this process.

    The holder's name in the lease contains the incarnation of the process: a process
    that is restarted under the same id waits for the calls of its predecessor as any
    other instance does.
    """

    def __init__(self, kernel, duty: str):
        self._clock = kernel.clock
        self._duty = duty
        options = kernel.settings.instance
        self._instance_id = options.id
        self.lease = StoreLease(
            kernel,
            LeaseSpec(
                RowName(LEASE_TABLE, duty, LEASE_KEY),
                f"{options.id}@{options.listen}/{kernel.incarnation}",
                kernel.settings.bounds.order_gap,
                "duty",
                {"duty": duty},
                TERMS,
            ),
        )
        self._released = False
        # Writes of the lease follow one another, also from several tasks.
        self._lock = anyio.Lock()

    @property
    def store_clock(self) -> StoreClock:
        """Return the store's clock as of the last answer about the lease."""
        return self.lease.store_clock

    async def acquire(self) -> bool:
        """Try to become or stay the holder; return False while another instance is."""
        async with self._lock:
            if self._released:
                return False
            if self.lease.is_own():
                if self.lease.renewed_within(RENEW_AFTER_S):
                    return True
                if await self.lease.renew():
                    return not self._released
            if not await self.lease.read() or self._released:
                return False
            if not await self.lease.acquire():
                return False
            metrics.DUTY_LEASES.labels(self._duty).inc()
            return not self._released

    async def grant(self, subject: str) -> DutyGrant | None:
        """Return the permission to make one call now, None if the duty was lost."""
        async with self._lock:
            if not self.lease.is_own() or self.lease.is_barred(subject):
                return None
            send_before = self._send_before(subject)
            if send_before is None:
                if self._released or not await self.lease.renew([subject]):
                    return None
                send_before = self._send_before(subject)
            if self._released or send_before is None:
                return None
            return DutyGrant(self._instance_id, self.lease.fence, send_before)

    async def release(self) -> None:
        """Give the duty up to other instances; no call is granted afterwards.

        Calls that were granted before may still be sent in their windows, which the
        next holder awaits.
        """
        self._released = True
        async with self._lock:
            await self.lease.release(self.lease.subjects())

    def _send_before(self, subject: str) -> float | None:
        """Return until when a call may be sent, None if its window is too short."""
        end = self.lease.deadline(subject)
        if end is None or end - CALL_TIMEOUT_S - SEND_MARGIN_S < self._clock.now():
            return None
        return end - CALL_TIMEOUT_S
