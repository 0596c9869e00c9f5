"""Cut time into windows and decide which of them are fixed and reported when.

Designed for 340 instances, windows of 5 s and hundreds of tenants. Times are seconds
on the store's clock unless they are called true times, which are Unix times. All
instances add the same offset to the store's clock, so they cut windows alike whatever
their wall clocks show.
"""

import math
import statistics
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from plantainstack.settings.node import DutyOptions

# Shares of the time within which a window has to be reported. Instances store their
# counts at two random times after the end of a window, the second only for requests
# that became known since. With 10 s the counts are read 3.4 s after the end, which
# leaves 6.6 s for a next holder if the present one is killed: the calls of the killed
# one are waited for 6 s after its last grant.
STORE_SHARES = ((0.02, 0.25), (0.26, 0.30))
READ_SHARE = 0.34
# Partitions of a window's counts. One of them takes 200 writes a second, and all of 340
# instances may store late counts within 0.4 s.
COUNT_SHARDS = 4
# Time from the first instance's start until the offsets are merged. Slow instances take
# seconds to start; the counts of the first window are read 8.4 s after the first start
# at the earliest.
SETTLE_S = 6.0
# Windows that are fixed before the fixed ones are sent, after a long outage.
DUE_MAX = 20


class ClockMeasurement(NamedTuple):
    """Hold one instance's view: the store's time at its start, and true time less it.

    The instance's wall clock may be off by seconds.
    """

    started_at: float
    offset: float


class UsageProgress(NamedTuple):
    """Hold the shared offset to true time, and the last window that was fixed."""

    offset: float
    fixed: int


def window_of(true_at: float, options: DutyOptions) -> int:
    """Return the window that a true time lies in."""
    return math.floor(true_at / options.usage_window)


def end_of(window: int, options: DutyOptions) -> float:
    """Return the true time at which a window ends."""
    return (window + 1) * options.usage_window


def read_at(window: int, options: DutyOptions) -> float:
    """Return the true time at which the counts of a window are read and fixed."""
    return end_of(window, options) + READ_SHARE * options.usage_due


def count_parts(window: int) -> list[str]:
    """Return the partitions that hold the counts of a window."""
    return [f"{window}/{shard}" for shard in range(COUNT_SHARDS)]


def window_of_part(part: str) -> int:
    """Return the window whose counts lie in a partition."""
    return int(part.partition("/")[0])


def begin(
    measured: Iterable[ClockMeasurement], store_now: float, options: DutyOptions
) -> UsageProgress | None:
    """Return the progress of a new service, None while instances are still starting.

    The offset is the median, since up to a third of the wall clocks may be wrong. The
    first window to report is the first one that begins after the first start.
    """
    measured = list(measured)
    if not measured:
        return None
    started_at = min(each.started_at for each in measured)
    if store_now < started_at + SETTLE_S:
        return None
    offset = statistics.median(each.offset for each in measured)
    return UsageProgress(offset, window_of(started_at + offset, options))


def due_windows(
    progress: UsageProgress, true_now: float, options: DutyOptions
) -> range:
    """Return the windows whose counts may be fixed now, oldest first."""
    first = progress.fixed + 1
    last = window_of(true_now - READ_SHARE * options.usage_due, options)
    return range(first, min(max(first, last), first + DUE_MAX))


def merge_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Return the sums by tenant, in the order of the names."""
    total: Counter[str] = Counter()
    for each in counts:
        total.update(each)
    return dict(sorted(total.items()))


class WindowCounts:
    """Count requests by window and tenant until they are stored."""

    def __init__(self):
        self._counts: dict[int, Counter[str]] = {}

    def add(self, window: int, tenant: str) -> None:
        """Count one request."""
        self._counts.setdefault(window, Counter())[tenant] += 1

    def windows(self, last: int) -> list[int]:
        """Return the windows with counts up to `last`, oldest first."""
        return sorted(window for window in self._counts if window <= last)

    def take(self, window: int) -> dict[str, int]:
        """Remove and return the counts of a window."""
        return dict(self._counts.pop(window, {}))
