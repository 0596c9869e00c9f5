"""Service-level objectives: counts of good and bad answers, and burn rates."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

BUCKET_S = 10.0
WINDOWS_S = {"5m": 300.0, "30m": 1800.0, "1h": 3600.0, "6h": 21600.0}
# Short window, long window and burn rate. An alert fires when both windows exceed the
# rate: the long one shows that the loss is significant, the short one that it is
# still going on.
ALERT_PAIRS = (("5m", "1h", 14.4), ("30m", "6h", 6.0))

_BUCKETS_MAX = int(max(WINDOWS_S.values()) / BUCKET_S) + 1


class Counts(NamedTuple):
    """Numbers of good and bad answers."""

    good: int = 0
    bad: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum of both."""
        return Counts(self.good + other.good, self.bad + other.bad)


class Burn(NamedTuple):
    """Burn rate of one window.

    At a rate of 1, the error budget is used up exactly at the end of the period.
    """

    window: str
    counts: Counts
    rate: float


class BurnReport(NamedTuple):
    """Burn rates of one service in all windows, and its alerts."""

    service: str
    target: float
    burns: tuple[Burn, ...]
    alerts: tuple[str, ...]


class _Bucket:
    def __init__(self, start: float):
        self.start = start
        self.good = 0
        self.bad = 0


class BurnCounter:
    """Counts the answers of each service in time buckets.

    Times are Unix seconds, so that the counts of several instances can be added.
    """

    def __init__(self):
        self._buckets: dict[str, deque[_Bucket]] = {}

    def count(self, service: str, good: bool, wall: float) -> None:
        """Count one answer, given at the Unix time `wall`."""
        bucket = self._bucket(service, wall)
        if good:
            bucket.good += 1
        else:
            bucket.bad += 1

    def totals(self, wall: float) -> dict[str, dict[str, Counts]]:
        """Return the counts of each window that ends at `wall`, by service."""
        return {
            service: {
                window: _sum_since(buckets, wall - seconds)
                for window, seconds in WINDOWS_S.items()
            }
            for service, buckets in self._buckets.items()
        }

    def _bucket(self, service: str, wall: float) -> _Bucket:
        start = wall - wall % BUCKET_S
        buckets = self._buckets.setdefault(service, deque(maxlen=_BUCKETS_MAX))
        if not buckets or buckets[-1].start < start:
            buckets.append(_Bucket(start))
        return buckets[-1]


def merge_totals(
    parts: Iterable[Mapping[str, Mapping[str, Iterable[int]]]],
) -> dict[str, dict[str, Counts]]:
    """Add the counts of several instances, by service and window."""
    merged: dict[str, dict[str, Counts]] = {}
    for part in parts:
        for service, windows in part.items():
            sums = merged.setdefault(service, {})
            for window, counts in windows.items():
                sums[window] = sums.get(window, Counts()).plus(Counts(*counts))
    return merged


def burn_report(
    service: str, totals: Mapping[str, Counts], target: float
) -> BurnReport:
    """Compute the burn rates and alerts of one service.

    The target is the share of answers that must be good.
    """
    budget = max(1.0 - target, 1e-9)
    burns = tuple(
        Burn(window, counts, _bad_share(counts) / budget)
        for window, counts in totals.items()
    )
    rates = {burn.window: burn.rate for burn in burns}
    alerts = tuple(
        f"{short} and {long} burn faster than {limit:g}"
        for short, long, limit in ALERT_PAIRS
        if min(rates.get(short, 0.0), rates.get(long, 0.0)) > limit
    )
    return BurnReport(service, target, burns, alerts)


def _bad_share(counts: Counts) -> float:
    total = counts.good + counts.bad
    return counts.bad / total if total else 0.0


def _sum_since(buckets: Iterable[_Bucket], start: float) -> Counts:
    recent = [bucket for bucket in buckets if bucket.start >= start]
    return Counts(
        sum(bucket.good for bucket in recent), sum(bucket.bad for bucket in recent)
    )
