"""Decide when a request is tried again, hedged or given up.

Answers plain requests beside slow, crashed and silent endpoints: a second endpoint
is asked before the caller's objective has passed.
"""

from typing import NamedTuple

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.serving import EndpointAnswer, Route

# A quarter of the objective is several times the median answer; what takes longer
# is at a slow endpoint as a rule.
HEDGE_SHARE = 0.4
# Endpoints that refuse are asked in turn, up to this many for one request.
ASKED_MAX = 6
# About the time in which a full endpoint finishes a request.
RETRY_AFTER_S = 0.25


class AttemptCounts(NamedTuple):
    """Count the attempts of one request; `ran` includes those still running."""

    asked: int
    ran: int
    running: int


def may_start_attempt(route: Route, tries: AttemptCounts) -> bool:
    """Return whether one more endpoint may get the request."""
    if tries.asked >= ASKED_MAX or tries.ran >= max(1, route.endpoints_max):
        return False
    return tries.ran == 0 or route.repeatable()


def hedge_delay(route: Route) -> float | None:
    """Return the seconds after which a second endpoint is asked, or None."""
    if not route.repeatable() or route.endpoints_max < 2:
        return None
    return max(0.05, route.objective_s * HEDGE_SHARE)


def is_final(answer: EndpointAnswer, route: Route) -> bool:
    """Return whether an answer is final at once.

    An endpoint's own failure is kept while another endpoint may do better.
    """
    return answer.answer.status < 500 or not route.repeatable()


def final_failure(failures: list[Failure], ran: int) -> Failure:
    """Return the failure to answer with when no endpoint gave an answer."""
    if ran == 0:
        message = failures[-1].message if failures else "no endpoint can take it"
        return Failure(ErrorKind.NO_ENDPOINT, message, Outcome.NOT_RUN)
    last = [each for each in failures if each.outcome is not Outcome.NOT_RUN]
    if last:
        return last[-1]
    return Failure.of(ErrorKind.ENDPOINT_FAILED, "no endpoint gave a whole answer")


def timed_out(ran: int) -> Failure:
    """Return the failure of a request whose time is up."""
    outcome = Outcome.MAY_HAVE_RUN if ran else Outcome.NOT_RUN
    return Failure(ErrorKind.ANSWER_TIMEOUT, "no answer before the deadline", outcome)
