"""Error kinds, the response to each of them, and the package's exceptions."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple


class Outcome(StrEnum):
    """State whether an endpoint executed the request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RetryAdvice(StrEnum):
    """Advise a caller whether and how to retry a request."""

    NEVER = "never"
    AFTER_CHANGE = "after_change"
    LATER = "later"
    WITH_SAME_KEY = "with_same_key"


class ErrorKind(StrEnum):
    """Enumerate the errors that callers and other instances can receive."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    CONFLICT = "conflict"
    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    RATE_EXCEEDED = "rate_exceeded"
    NO_ENDPOINT = "no_endpoint"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_TRUNCATED = "answer_truncated"
    ANSWER_CROSSED = "answer_crossed"
    ANSWER_TIMEOUT = "answer_timeout"
    ANSWER_UNAVAILABLE = "answer_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TABLE_UNAVAILABLE = "table_unavailable"
    TABLE_OUTCOME_UNKNOWN = "table_outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    STEP_NOT_SEALED = "step_not_sealed"
    STEP_EXPIRED = "step_expired"
    PEER_REJECTED = "peer_rejected"
    PEER_UNAVAILABLE = "peer_unavailable"
    LEASE_LOST = "lease_lost"
    INTERNAL = "internal"


class ErrorAnswer(NamedTuple):
    """Define the status, retry advice and default outcome of an error kind."""

    status: HTTPStatus
    retry: RetryAdvice
    outcome: Outcome


_NEVER = RetryAdvice.NEVER
_CHANGE = RetryAdvice.AFTER_CHANGE
_LATER = RetryAdvice.LATER
_KEY = RetryAdvice.WITH_SAME_KEY
_NOT_RUN = Outcome.NOT_RUN
_MAYBE = Outcome.MAY_HAVE_RUN

ERROR_TABLE: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(HTTPStatus.BAD_REQUEST, _CHANGE, _NOT_RUN),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(HTTPStatus.UNAUTHORIZED, _CHANGE, _NOT_RUN),
    ErrorKind.FORBIDDEN: ErrorAnswer(HTTPStatus.FORBIDDEN, _NEVER, _NOT_RUN),
    ErrorKind.NOT_FOUND: ErrorAnswer(HTTPStatus.NOT_FOUND, _CHANGE, _NOT_RUN),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(HTTPStatus.NOT_FOUND, _CHANGE, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, _CHANGE, _NOT_RUN
    ),
    ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, _CHANGE, _NOT_RUN
    ),
    ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(
        HTTPStatus.REQUEST_TIMEOUT, _CHANGE, _NOT_RUN
    ),
    ErrorKind.KEY_REQUIRED: ErrorAnswer(HTTPStatus.BAD_REQUEST, _CHANGE, _NOT_RUN),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        HTTPStatus.UNPROCESSABLE_ENTITY, _CHANGE, _NOT_RUN
    ),
    ErrorKind.CONFLICT: ErrorAnswer(HTTPStatus.CONFLICT, _CHANGE, _NOT_RUN),
    ErrorKind.DEADLINE_PASSED: ErrorAnswer(
        HTTPStatus.GATEWAY_TIMEOUT, _CHANGE, _NOT_RUN
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN),
    ErrorKind.RATE_EXCEEDED: ErrorAnswer(
        HTTPStatus.TOO_MANY_REQUESTS, _LATER, _NOT_RUN
    ),
    ErrorKind.NO_ENDPOINT: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN
    ),
    ErrorKind.QUARANTINED: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN
    ),
    ErrorKind.DRAINING: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN),
    ErrorKind.NOT_READY: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN),
    ErrorKind.ENDPOINT_REFUSED: ErrorAnswer(HTTPStatus.BAD_GATEWAY, _LATER, _NOT_RUN),
    ErrorKind.ENDPOINT_FAILED: ErrorAnswer(HTTPStatus.BAD_GATEWAY, _KEY, _MAYBE),
    ErrorKind.ANSWER_TRUNCATED: ErrorAnswer(HTTPStatus.BAD_GATEWAY, _KEY, _MAYBE),
    ErrorKind.ANSWER_CROSSED: ErrorAnswer(HTTPStatus.BAD_GATEWAY, _KEY, _MAYBE),
    ErrorKind.ANSWER_TIMEOUT: ErrorAnswer(HTTPStatus.GATEWAY_TIMEOUT, _KEY, _MAYBE),
    ErrorKind.ANSWER_UNAVAILABLE: ErrorAnswer(
        HTTPStatus.BAD_GATEWAY, _NEVER, Outcome.RAN
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(HTTPStatus.CONFLICT, _KEY, _MAYBE),
    ErrorKind.TABLE_UNAVAILABLE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN
    ),
    ErrorKind.TABLE_OUTCOME_UNKNOWN: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _KEY, _MAYBE
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN
    ),
    ErrorKind.STEP_NOT_SEALED: ErrorAnswer(HTTPStatus.CONFLICT, _LATER, _NOT_RUN),
    ErrorKind.STEP_EXPIRED: ErrorAnswer(HTTPStatus.GONE, _NEVER, _NOT_RUN),
    ErrorKind.PEER_REJECTED: ErrorAnswer(HTTPStatus.FORBIDDEN, _NEVER, _NOT_RUN),
    ErrorKind.PEER_UNAVAILABLE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, _NOT_RUN
    ),
    ErrorKind.LEASE_LOST: ErrorAnswer(HTTPStatus.CONFLICT, _LATER, _NOT_RUN),
    ErrorKind.INTERNAL: ErrorAnswer(HTTPStatus.INTERNAL_SERVER_ERROR, _KEY, _MAYBE),
}


class Failure(NamedTuple):
    """Describe an expected failure, as the error value of a `Result`.

    `retry_after_s` is the time after which a retry makes sense, None for the default.
    """

    kind: ErrorKind
    message: str
    outcome: Outcome
    retry_after_s: float | None = None

    @classmethod
    def of(
        cls, kind: ErrorKind, message: str, outcome: Outcome | None = None
    ) -> "Failure":
        """Build a failure; the outcome defaults to the one in `ERROR_TABLE`."""
        return cls(kind, message, outcome or ERROR_TABLE[kind].outcome)


class PlantainstackError(Exception):
    """Base class of the package's exceptions."""


class ConfigurationError(PlantainstackError):
    """Report every problem found in a settings file or a configuration."""

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class KernelError(PlantainstackError):
    """Report a plug-in that is missing or part of a dependency cycle."""


class PeerError(PlantainstackError):
    """Report a frame or handshake error that closes a peer link."""
