"""Decide which streams need a record of the software version that began them.

What two software versions of a service write does not fit together, and a client that
goes on in a stream names nothing but a request id. A record of each stream would cost
a write for each, so streams that begin at the base origin of their path have none:
a stream without a record began there. The base changes only after all streams that
began at it without a record have ended. A base is kept for the paths below a prefix
and not for a route: routes change while their streams go on.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Longest time from the start of a stream to the last attempt to take it up, at least,
# and as a multiple of the longest time limit of a route.
STREAM_LIFE_S = 120.0
STREAM_LIFE_TIMEOUTS = 4.0
# Time for which an instance may begin streams without a record by a base that it read.
BASE_TRUST_S = 300.0
# Time after closing a base at which no stream without a record of it is left, for
# streams of the shortest life. The margin covers clocks that run at different rates.
BASE_HANDOVER_S = STREAM_LIFE_S + BASE_TRUST_S + 30.0
# A base is closed once it has had few endpoints for this long.
BASE_MINOR_S = 10.0
# Shares of the endpoints below which a base is closed, and from which it is reopened.
CLOSE_BELOW = 0.25
REOPEN_FROM = 0.5
# Size of the longest key that the store takes.
KEY_BYTES_MAX = 200


class Origin(NamedTuple):
    """Name the service and the software version that began a stream."""

    service: str
    software: str


# Origin of a stream whose endpoint had other software than its registration said.
UNKNOWN_ORIGIN = Origin("", "")


class BaseOrigin(NamedTuple):
    """Hold the origin of the streams of some paths that have no record.

    While it is `closed`, every new stream needs a record.
    """

    origin: Origin
    closed: bool = False


class KnownBase(NamedTuple):
    """Hold a base as read; `read_at` is the monotonic time at which it was asked."""

    base: BaseOrigin
    read_at: float

    def begins_without_record(self, origin: Origin, now: float) -> bool:
        """Return whether a stream that begins at the origin needs no record."""
        if self.base.closed or now - self.read_at > BASE_TRUST_S:
            return False
        return origin == self.base.origin


def base_keys(host: str, path: str) -> list[str]:
    """Return the keys of the bases that may hold for a path, the longest prefix first.

    A prefix ends with a slash. Those too long for a key have no base of their own.
    """
    start = f"{host}{path}".encode()[:KEY_BYTES_MAX].decode(errors="ignore")
    return [
        start[: end + 1]
        for end in range(len(start) - 1, len(host) - 1, -1)
        if start[end] == "/"
    ]


def stream_life_s(timeouts_s: Iterable[float]) -> float:
    """Return the longest life of streams on routes with these time limits."""
    longest = max(timeouts_s, default=0.0)
    return max(STREAM_LIFE_S, STREAM_LIFE_TIMEOUTS * longest)


def handover_s(life_s: float) -> float:
    """Return the time for which a base stays closed before it is replaced."""
    return BASE_HANDOVER_S - STREAM_LIFE_S + life_s


def is_minor(base: BaseOrigin, counts: Mapping[Origin, int]) -> bool:
    """Return whether the base has so few of the endpoints that it may be closed."""
    total = sum(counts.values())
    return total > 0 and counts.get(base.origin, 0) < CLOSE_BELOW * total


def next_base(
    base: BaseOrigin | None,
    counts: Mapping[Origin, int],
    minor_for_s: float,
    closed_for_s: float,
    life_s: float,
) -> BaseOrigin | None:
    """Return the base to write in place of the current one, or None to keep it.

    `counts` holds the endpoints of its routes by origin. The times say for how long
    the base has been minor, and closed, as seen by this instance; `life_s` is the
    longest life of a stream.
    """
    total = sum(counts.values())
    if not total:
        return None
    most = max(sorted(counts), key=lambda origin: counts[origin])
    if base is None:
        return BaseOrigin(most)
    if not base.closed:
        return base._replace(closed=True) if minor_for_s >= BASE_MINOR_S else None
    if counts.get(base.origin, 0) >= REOPEN_FROM * total:
        return base._replace(closed=False)
    return BaseOrigin(most) if closed_for_s >= handover_s(life_s) else None
