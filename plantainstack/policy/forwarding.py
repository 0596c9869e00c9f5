"""Decide when a forwarded request is retried, hedged or fails.

To meet the latency objective in spite of slow, crashed or unresponsive endpoints, a
plain request is hedged at a second endpoint before the objective has passed.
"""

from typing import NamedTuple

from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.serving import EndpointAnswer, Route

# Even a quarter of the objective is several times the median latency, so a request that
# takes longer than this share is usually at a slow endpoint.
HEDGE_SHARE = 0.4
# A request that an endpoint refuses is sent to the next, up to this many endpoints.
ATTEMPTS_MAX = 6
# Lowest status of an endpoint's error.
ERROR_STATUS = 500
# Statuses that tell a client that its request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A full endpoint finishes a request in about this time.
RETRY_AFTER_S = 0.25


class AttemptCounts(NamedTuple):
    """Count the attempts of one request.

    `asked` counts all attempts, `ran` those that may have run, including those in
    flight, and `running` those in flight.
    """

    asked: int
    ran: int
    running: int


def may_start_attempt(route: Route, counts: AttemptCounts) -> bool:
    """Return whether the request may be sent to one more endpoint."""
    if counts.asked >= ATTEMPTS_MAX or counts.ran >= max(1, route.endpoints_max):
        return False
    return counts.ran == 0 or route.repeatable()


def awaits_silent(route: Route, counts: AttemptCounts, has_alternative: bool) -> bool:
    """Return whether the running attempt is kept while its endpoint is silent.

    Giving it up helps only if the request may be sent once more and another endpoint
    can take it. `counts` include the running attempt.
    """
    return not has_alternative or not may_start_attempt(route, counts)


def hedge_delay(route: Route) -> float | None:
    """Return the seconds until the request is hedged, or None for no hedge."""
    if not route.repeatable() or route.endpoints_max < 2:
        return None
    return max(0.05, route.objective_s * HEDGE_SHARE)


def is_final(answer: EndpointAnswer, route: Route) -> bool:
    """Return whether to return an answer without trying another endpoint.

    An error status of a repeatable request is only a fallback, since another endpoint
    may succeed.
    """
    return answer.answer.status < ERROR_STATUS or not route.repeatable()


def denies_run(answer: EndpointAnswer, route: Route) -> bool:
    """Return whether an answer would tell a client that a request which ran has not.

    The client of a request that must not run twice would send it again.
    """
    claims_not_run = answer.answer.status in NOT_RUN_STATUSES
    return claims_not_run and not answer.not_run and not route.repeatable()


def final_failure(failures: list[Failure], ran: int) -> Failure:
    """Return the failure to report when no endpoint gave an answer.

    `ran` is the number of attempts that may have run.
    """
    if ran == 0:
        message = (
            failures[-1].message
            if failures
            else "no endpoint is available for the request"
        )
        return Failure(ErrorKind.NO_ENDPOINT, message, Outcome.NOT_RUN)
    last = [each for each in failures if each.outcome is not Outcome.NOT_RUN]
    if last:
        return last[-1]
    return Failure.of(
        ErrorKind.ENDPOINT_FAILED, "no endpoint returned a complete answer"
    )


def timed_out(ran: int) -> Failure:
    """Return the failure of a request whose deadline has passed."""
    outcome = Outcome.MAY_HAVE_RUN if ran else Outcome.NOT_RUN
    return Failure(ErrorKind.ANSWER_TIMEOUT, "no answer before the deadline", outcome)
