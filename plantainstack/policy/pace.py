"""Decide when a running stream goes on at another endpoint.

Answers slow, silent and loading endpoints during a step: a resumed stream reads its
prompt and its text again in about 10 ms, much less than the pause that it leaves.
"""

from typing import NamedTuple

# An endpoint's usual events are 40 to 60 ms apart; a load of weights stops them for
# 0.9 s and more.
STALL_S = 0.35
STALL_EVENTS = 5.0
# Endpoints of one service differ by 1.3 in speed, their load by less than 1.1.
SLOW_RATIO = 1.2
# Keeps an item from being moved to and fro while all endpoints are in trouble.
MOVE_GAP_S = 0.7


class Progress(NamedTuple):
    """Hold the progress of one stream; times are monotonic seconds."""

    since: float
    last_event_at: float


def move_due(
    progress: Progress, pace_here: float | None, pace_best: float | None, now: float
) -> bool:
    """Return whether a stream should go on elsewhere.

    The paces are seconds for each event, at the stream's endpoint and at the
    fastest one.
    """
    usual = pace_best or 0.0
    if now - progress.last_event_at > max(STALL_S, STALL_EVENTS * usual):
        return True
    if pace_here is None or pace_best is None or now - progress.since < MOVE_GAP_S:
        return False
    return pace_here > SLOW_RATIO * pace_best
