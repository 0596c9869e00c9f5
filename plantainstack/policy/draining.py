"""Decide which requests an instance still takes during a planned stop.

Answers requests on connections that clients keep: they come until the process has
gone, and one that is still running then gets no answer. Elsewhere, it can be served.
"""

from typing import NamedTuple


class StopTimes(NamedTuple):
    """Hold the times of a planned stop in monotonic seconds.

    New connections may come until `noticed_at`, since clients cannot know of the stop
    before. Each answer must have been sent by `answers_until`.
    """

    noticed_at: float
    answers_until: float


def may_take(times: StopTimes, answer_by: float, now: float) -> bool:
    """Return whether a request that is answered by `answer_by` may be taken now."""
    if now < min(times.noticed_at, times.answers_until):
        return True
    return answer_by <= times.answers_until
