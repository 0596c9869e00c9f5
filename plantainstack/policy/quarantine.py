"""Decide whether a request under which endpoints were lost may be sent again.

Answers a request that crashes each endpoint that begins to run it, and that its client
repeats at any instance. A request that was only in flight when an endpoint crashed
looks the same at first, so the first loss costs it its hedge only. After the second
one it may not take the last sound endpoint from all other callers, and after the third
one it is refused for a time, which doubles with each further loss. A frequent request
is in flight at every crash; it is recognized by its earlier answers.
"""

import math
import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.serving import Endpoint

# Number of lost endpoints after which a request is refused, and before that, after
# which at least SOUND_ENDPOINTS_MIN sound ones must be left, for CAUTION_S.
LOSSES_MAX = 3
LOSSES_CAUTION = 2
SOUND_ENDPOINTS_MIN = 2
CAUTION_S = 30.0
# A trial follows, since a popular request can be in flight at several crashes that it
# did not cause.
QUARANTINE_MIN_S = 30.0
QUARANTINE_MAX_S = 600.0
QUARANTINE_DOUBLINGS_MAX = 10
# An endpoint that crashed is mostly back after this time.
RESTART_S = 3.0
# Bound on the memory for requests with losses.
RECORDS_MAX = 10_000
# A request that was answered this recently is in flight at crashes because it is
# frequent. Bound on the memory for such requests.
ANSWERED_S = 30.0
ANSWERS_MAX = 2_000

# The connection broke while the request may have been running. An endpoint that is
# only slow or silent is not counted as lost.
_LOSS_KINDS = (ErrorKind.ENDPOINT_FAILED, ErrorKind.ANSWER_TRUNCATED)


def is_loss(failure: Failure) -> bool:
    """Return whether an attempt failed as it does when its endpoint crashes."""
    return failure.kind in _LOSS_KINDS and failure.outcome is not Outcome.NOT_RUN


def endpoint_key(endpoint: Endpoint) -> str:
    """Return a key of one run of an endpoint."""
    return f"{endpoint.id}@{endpoint.started_ms}"


class LossRecord(NamedTuple):
    """Hold the endpoints lost under a request, and the time of the latest loss.

    The request is refused until `refused_until`; a trial may follow.
    """

    lost: frozenset[str] = frozenset()
    lost_at: float = 0.0
    refused_until: float = 0.0


class LossRecords:
    """Hold the losses by the digest of the request; times are monotonic seconds.

    Each instance refuses a request for a different time, so that one of them makes the
    trial and the others learn of its result first.
    """

    def __init__(self, rng: random.Random):
        self._random = rng
        self._records: dict[str, LossRecord] = {}
        self._answered_at: dict[str, float] = {}

    def get(self, digest: str) -> LossRecord:
        """Return the record of a request, an empty one if it had no losses."""
        return self._records.get(digest, _NO_LOSSES)

    def count(self) -> int:
        """Return the number of requests with losses."""
        return len(self._records)

    def record_answer(self, digest: str, now: float) -> None:
        """Record that an endpoint ran a request to its end."""
        self._answered_at.pop(digest, None)
        if len(self._answered_at) >= ANSWERS_MAX:
            del self._answered_at[next(iter(self._answered_at))]
        self._answered_at[digest] = now

    def was_answered(self, digest: str, now: float) -> bool:
        """Return whether a request was answered lately: losses then prove nothing."""
        return now - self._answered_at.get(digest, -math.inf) < ANSWERED_S

    def add(self, digest: str, lost: str, now: float) -> bool:
        """Add a lost endpoint; return whether it is a new one for this request."""
        if self.was_answered(digest, now):
            return False
        before = self._records.pop(digest, _NO_LOSSES)
        if lost in before.lost:
            self._records[digest] = before
            return False
        if len(self._records) >= RECORDS_MAX:
            del self._records[next(iter(self._records))]
        found = before.lost | {lost}
        refused_s = quarantine_s(len(found)) * self._random.uniform(1.0, 2.0)
        self._records[digest] = LossRecord(found, now, now + refused_s)
        return True

    def discard(self, digest: str, lost: Iterable[str]) -> None:
        """Remove lost endpoints from a record."""
        before = self._records.get(digest)
        if before is None:
            return
        left = before.lost.difference(lost)
        if left:
            self._records[digest] = before._replace(lost=left)
        else:
            del self._records[digest]

    def expired(self, now: float) -> list[str]:
        """Return the digests whose latest loss is longer ago than any quarantine."""
        return [
            digest
            for digest, record in self._records.items()
            if now - record.lost_at > QUARANTINE_MAX_S
        ]


_NO_LOSSES = LossRecord()


def quarantine_s(losses: int) -> float:
    """Return for how many seconds a request is refused, at least."""
    if losses < LOSSES_MAX:
        return 0.0
    doublings = min(losses - LOSSES_MAX, QUARANTINE_DOUBLINGS_MAX)
    return min(QUARANTINE_MAX_S, QUARANTINE_MIN_S * 2**doublings)


def allowed_endpoints(
    usable: Sequence[Endpoint],
    tried: Collection[str],
    record: LossRecord,
    avoided: Collection[Endpoint],
    now: float,
) -> list[Endpoint]:
    """Return the untried endpoints of a service that a request may be sent to.

    `tried` holds the ids of endpoints that it was sent to or that cannot go on with
    it, and `avoided` those that failed other requests.
    """
    untried = [end for end in usable if end.id not in tried]
    if now < record.refused_until:
        return []
    others = [end for end in untried if endpoint_key(end) not in record.lost]
    recent = now < record.lost_at + CAUTION_S
    if len(record.lost) >= LOSSES_CAUTION and recent:
        sound = [
            end
            for end in usable
            if endpoint_key(end) not in record.lost and end not in avoided
        ]
        enough = len(sound) >= min(SOUND_ENDPOINTS_MIN, len(usable))
        return others if enough else []
    return others or untried


def refusal(record: LossRecord, now: float) -> Failure:
    """Return the failure of a request that is not sent because of its losses."""
    wait_s = record.refused_until - now
    return Failure(
        ErrorKind.QUARANTINED,
        f"{len(record.lost)} endpoints were lost under this request",
        Outcome.NOT_RUN,
        wait_s if wait_s > 0.0 else RESTART_S,
    )
