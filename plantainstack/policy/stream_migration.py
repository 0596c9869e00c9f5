"""Decide when a running stream goes on at another endpoint.

Answers slow, silent and loading endpoints during a step: a resumed stream reads its
prompt and its text again in about 10 ms, much less than the pause that it leaves.
A process that is itself short of processor time reads every stream late; its own
delay is not taken for the silence of endpoints, or it would restart all its streams
again and again.
"""

from collections.abc import Iterable
from typing import NamedTuple

# An endpoint's usual events are 40 to 60 ms apart; a load of weights stops them for
# 0.9 s and more.
STALL_S = 0.35
STALL_EVENTS = 5.0
# A new stream connects, waits for the prompts before it and reads its own: 0.15 s at
# an endpoint that takes eight prompts at once.
FIRST_EVENT_S = 0.6
# Turns of the event loop that a new stream needs until its first event is read, and
# that an open one needs.
FIRST_EVENT_TURNS = 6
EVENT_TURNS = 2
# Endpoints of one service differ by 1.3 in speed, their load by less than 1.1.
SLOW_RATIO = 1.2
# Keeps an item from being moved to and fro while all endpoints are in trouble.
MOVE_GAP_S = 0.7
# A move opens a connection, reads the text again and loses the event under way,
# about 0.1 s; it also occupies a place at each of two endpoints.
MOVE_GAIN_S = 0.25
# An endpoint in trouble is 2.6 times slower and more (the users' site files). It is
# left within half a second, four of its sixteen streams at each check.
SICK_RATIO = 2.0
SICK_MOVES_MAX = 4
SLOW_MOVES_MAX = 1
# Lengths have a heavy tail: what has outlived its hint has much before it.
OUTLIVED_SHARE = 0.5
# The loop's delay is forgotten over about a second of checks each 0.1 s.
LAG_DECAY = 0.8


class StreamProgress(NamedTuple):
    """Hold the progress of one stream; times are monotonic seconds.

    `last_event_at` is None before the first event.
    """

    since: float
    last_event_at: float | None
    remaining_events: float = float("inf")


class LoopLag:
    """Track by how much this process's event loop is late."""

    def __init__(self):
        self.seconds = 0.0

    def record(self, planned: float, now: float) -> None:
        """Take over how late a timer fired."""
        late = max(0.0, now - planned)
        self.seconds = max(late, self.seconds * LAG_DECAY)


def estimate_remaining_events(
    events: int, length_hint: int, tokens_per_event: float | None
) -> float:
    """Estimate how many events an item still has before it."""
    hinted = length_hint / tokens_per_event - events if tokens_per_event else 0.0
    return max(hinted, events * OUTLIVED_SHARE)


def is_stalled(
    progress: StreamProgress, pace_best: float | None, now: float, lag_s: float = 0.0
) -> bool:
    """Return whether a stream stands still, beyond this process's own delay."""
    if progress.last_event_at is None:
        allowed = FIRST_EVENT_S + FIRST_EVENT_TURNS * lag_s
        return now - progress.since > allowed
    allowed = max(STALL_S, STALL_EVENTS * (pace_best or 0.0)) + EVENT_TURNS * lag_s
    return now - progress.last_event_at > allowed


def migration_gain(
    progress: StreamProgress,
    pace_here: float | None,
    pace_there: float | None,
    now: float,
) -> float:
    """Return the seconds that a stream ends sooner elsewhere, 0.0 if it should stay.

    The paces are seconds for each event.
    """
    if pace_here is None or pace_there is None or now - progress.since < MOVE_GAP_S:
        return 0.0
    gain = progress.remaining_events * (pace_here - pace_there)
    return gain if pace_here > SLOW_RATIO * pace_there and gain > MOVE_GAIN_S else 0.0


class MigrationCandidate(NamedTuple):
    """Hold a stream that would gain by a move, and how slow its endpoint is."""

    item_id: str
    gain_s: float
    ratio: float


def select_migrations(streams: Iterable[MigrationCandidate]) -> list[str]:
    """Return the items to move at one check, those that gain most first.

    The endpoint that they move to reads their text again, which slows all of its
    streams; its pace must show that before more follow, or all move to and fro.
    """
    ranked = sorted(streams, key=lambda stream: stream.gain_s, reverse=True)
    sick = [stream.item_id for stream in ranked if stream.ratio >= SICK_RATIO]
    if sick:
        return sick[:SICK_MOVES_MAX]
    return [stream.item_id for stream in ranked[:SLOW_MOVES_MAX]]
