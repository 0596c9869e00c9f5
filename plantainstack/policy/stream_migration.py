"""Decide when a running stream is migrated to another endpoint.

During a step, endpoints slow down, stop sending or load weights. Resuming a stream
elsewhere costs about 10 ms for reading its prompt and text again, much less than
waiting for such an endpoint.
A process that is short of processor time reads all of its streams late. The lag of
its own event loop is therefore added to the time-outs; otherwise it would restart
all of its streams again and again.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Events of an endpoint are usually 40 to 60 ms apart; loading weights interrupts
# them for at least 0.9 s.
STALL_TIMEOUT_S = 0.35
STALL_EVENTS = 5.0
# A new stream connects, waits for earlier prompts and has its own prompt read, which
# takes 0.15 s at an endpoint that processes eight prompts at a time.
FIRST_EVENT_S = 0.6
# Event loop iterations until the first event of a new stream is read, and until the
# next event of an open stream is read.
FIRST_EVENT_TURNS = 6
EVENT_TURNS = 2
# Endpoints of one service differ in speed by a factor of 1.3; load accounts for less
# than a factor of 1.1.
SLOW_RATIO = 1.2
# Minimum age of a stream before it is migrated, so that items do not move back and
# forth while all endpoints are degraded.
MIGRATION_INTERVAL_S = 0.7
# A migration opens a connection, has the text read again and loses the event in
# transit, which takes about 0.1 s; it also occupies a slot at two endpoints.
MIN_MIGRATION_GAIN_S = 0.25
# A degraded endpoint is at least 2.6 times slower, according to the users' site
# files. Four of its sixteen streams leave it at each check, all within half a second.
DEGRADED_RATIO = 2.0
DEGRADED_MIGRATIONS_MAX = 4
SLOW_MIGRATIONS_MAX = 1
# A registration is read up to 0.3 s late by an instance that runs items, and states the
# time left as of its write. What ends so shortly before the endpoint goes is moved.
LEAVE_MARGIN_S = 0.5
# At most so many items of a batch leave such endpoints at one check; with a check
# every 0.1 s, 60 leave within the 1.5 s that a notice of 2 s allows.
LEAVING_MIGRATIONS_MAX = 4
# Lengths have a heavy tail: an item that is longer than its hint is likely to
# continue for at least this share of its present length.
REMAINING_SHARE = 0.5
# The lag decays within about a second, with a check every 0.1 s.
LAG_DECAY = 0.8


class StreamProgress(NamedTuple):
    """Hold the progress of one stream; times are monotonic seconds.

    `since` is the start of the stream, and `last_event_at` is None before its first
    event.
    """

    since: float
    last_event_at: float | None
    remaining_events: float = float("inf")


class LoopLag:
    """Track the lag of this process's event loop in `seconds`."""

    def __init__(self):
        self.seconds = 0.0

    def record(self, planned: float, now: float) -> None:
        """Record a timer that was due at `planned` and fired at `now`.

        A longer delay is adopted at once; the lag decays with later calls.
        """
        delay_s = max(0.0, now - planned)
        self.seconds = max(delay_s, self.seconds * LAG_DECAY)


def estimate_remaining_events(
    events: int, length_hint: int, tokens_per_event: float | None
) -> float:
    """Estimate the number of events that an item still generates.

    Without `tokens_per_event`, the hint is ignored.
    """
    by_hint = length_hint / tokens_per_event - events if tokens_per_event else 0.0
    return max(by_hint, events * REMAINING_SHARE)


def expected_events(
    events: int, length_hint: int, tokens_per_event: float | None
) -> float:
    """Return the events that an item is expected to generate still.

    Unlike `estimate_remaining_events`, trusts a hint that has not been exceeded.
    """
    by_hint = length_hint / tokens_per_event - events if tokens_per_event else 0.0
    return by_hint if by_hint > 0.0 else events * REMAINING_SHARE


def is_stalled(
    progress: StreamProgress,
    best_latency_s: float | None,
    now: float,
    lag_s: float = 0.0,
) -> bool:
    """Return whether a stream has sent no event for too long.

    `lag_s` is the lag of this process's event loop, which extends the time-out.
    """
    if progress.last_event_at is None:
        timeout_s = FIRST_EVENT_S + FIRST_EVENT_TURNS * lag_s
        return now - progress.since > timeout_s
    timeout_s = (
        max(STALL_TIMEOUT_S, STALL_EVENTS * (best_latency_s or 0.0))
        + EVENT_TURNS * lag_s
    )
    return now - progress.last_event_at > timeout_s


def migration_gain(
    progress: StreamProgress,
    latency_here_s: float | None,
    latency_there_s: float | None,
    now: float,
    lost_events: int = 0,
) -> float:
    """Return the seconds that a migration saves, or 0.0 if the stream should stay.

    The latencies are in seconds per event. `lost_events` have to be written again.
    """
    if (
        latency_here_s is None
        or latency_there_s is None
        or now - progress.since < MIGRATION_INTERVAL_S
    ):
        return 0.0
    gain = progress.remaining_events * (latency_here_s - latency_there_s)
    gain -= lost_events * latency_there_s
    return (
        gain
        if latency_here_s > SLOW_RATIO * latency_there_s and gain > MIN_MIGRATION_GAIN_S
        else 0.0
    )


def must_leave(
    progress: StreamProgress, latency_s: float | None, leaves_at: float, now: float
) -> bool:
    """Return whether a stream must be moved from an endpoint that goes at a time.

    It stays if it is expected to end before. A stream of unknown pace stays until
    shortly before, since it may still end.
    """
    left_s = leaves_at - LEAVE_MARGIN_S - now
    if left_s <= 0.0:
        return True
    if latency_s is None or progress.last_event_at is None:
        return False
    return progress.remaining_events * latency_s > left_s


class MigrationCandidate(NamedTuple):
    """Hold a stream that a migration would speed up.

    `ratio` is the latency of its endpoint divided by that of the target.
    """

    item_id: str
    gain_s: float
    ratio: float


def select_migrations(streams: Iterable[MigrationCandidate]) -> list[str]:
    """Return the ids of the items to migrate at one check, largest gain first.

    The target endpoint reads their text again, which slows all of its streams. Few
    items are migrated at a time, so that its latency reflects this before more
    follow; otherwise all streams would move back and forth.
    """
    ranked = sorted(streams, key=lambda stream: stream.gain_s, reverse=True)
    degraded = [stream.item_id for stream in ranked if stream.ratio >= DEGRADED_RATIO]
    if degraded:
        return degraded[:DEGRADED_MIGRATIONS_MAX]
    return [stream.item_id for stream in ranked[:SLOW_MIGRATIONS_MAX]]
