"""Types and interfaces of the duties that one instance at a time performs."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from result import Result

from plantainstack.errors import Failure

# A call is given up after this time, and its connection is reset. The next holder
# waits for this time, so a longer one delays takeovers.
CALL_TIMEOUT_S = 1.8


class DutyGrant(NamedTuple):
    """Allow one call of a duty; `send_before` is a time on the process's clock.

    `fence` is a fencing token: it increases whenever the holder changes. The holder
    reserves CALL_TIMEOUT_S after `send_before` for the answer.
    """

    holder: str
    fence: int
    send_before: float


class UsageReport(NamedTuple):
    """Hold the requests of each tenant that began to run in a window."""

    window: int
    counts: dict[str, int]


class CapacityOrder(NamedTuple):
    """Set the wanted number of endpoints of one kind in a data centre."""

    service: str
    data_centre: str
    count: int
    reclaimable: bool


class ScaleLimits(NamedTuple):
    """Limit the endpoints of a service in each data centre, both kinds together.

    `prices` holds the price of an endpoint-second by data centre. A reclaimable
    endpoint costs `reclaimable_price` of it.
    """

    count_min: int
    count_max: int
    boot_s: float
    reclaimable_price: float
    prices: dict[str, float]


class DutyAnswer(StrEnum):
    """Describe how the platform answered a call of a duty."""

    ACCEPTED = "accepted"
    NONE_AVAILABLE = "none_available"
    REFUSED = "refused"


class DutyClient(ABC):
    """Send the calls of duties to the platform.

    A failure with the outcome `not_run` guarantees that the call had no effect.
    """

    @abstractmethod
    async def report_usage(
        self, report: UsageReport, grant: DutyGrant
    ) -> Result[DutyAnswer, Failure]:
        """Report the usage of one window."""

    @abstractmethod
    async def order_capacity(
        self, order: CapacityOrder, grant: DutyGrant
    ) -> Result[DutyAnswer, Failure]:
        """Order a number of endpoints."""


class DutyLease(ABC):
    """Hold one duty for this instance, under a lease in the metadata store."""

    @abstractmethod
    async def acquire(self) -> bool:
        """Try to become or stay the holder; return False while another instance is.

        The holder calls this at least once a second, which renews the lease if due.
        """

    @abstractmethod
    async def grant(self, subject: str) -> DutyGrant | None:
        """Return the permission to make one call now, None if the duty was lost.

        Renews the lease if needed. None is also returned while a call of a former
        holder for this subject may still arrive. The last call for the subject must
        have ended: a call with an earlier token may not arrive after it.
        """

    @abstractmethod
    async def release(self) -> None:
        """Give the duty up to other instances; no call is made afterwards."""
