"""Report answers that are given up in the log and the metrics."""

from plantainstack import log, metrics
from plantainstack.policy.answer_memory import GivenUp


def answer_given_up(answer: GivenUp) -> None:
    """Log and count an answer that was given up."""
    metrics.ANSWERS_GIVEN_UP.labels(answer.cause).inc()
    log.event(
        "answer.given_up",
        endpoint=answer.endpoint,
        bytes=answer.size,
        cause=answer.cause,
        reason=answer.message,
    )
