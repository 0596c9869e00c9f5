"""HTTP error responses, built from failures and `ERROR_TABLE`."""

from starlette.requests import Request
from starlette.responses import JSONResponse

from plantainstack.errors import ERROR_TABLE, ErrorKind, Failure, RetryAdvice

RETRY_AFTER_S = 1
ATTEMPTS_HEADER = "X-Attempts"
# The rest of the request is not read after these errors, so the connection
# cannot be reused and is closed.
_CLOSING_KINDS = frozenset(
    {ErrorKind.BODY_TOO_LARGE, ErrorKind.HEADERS_TOO_LARGE, ErrorKind.DRAINING}
)


def error_content(failure: Failure) -> dict:
    """Return the JSON body that describes a failure."""
    error = {
        "kind": failure.kind,
        "message": failure.message,
        "outcome": failure.outcome,
        "retry": ERROR_TABLE[failure.kind].retry,
    }
    return {"error": error}


def error_headers(failure: Failure, attempts: int = 0) -> dict[str, str]:
    """Return the response headers for a failure."""
    headers = {ATTEMPTS_HEADER: str(attempts)}
    if ERROR_TABLE[failure.kind].retry is RetryAdvice.LATER:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    if failure.kind in _CLOSING_KINDS:
        headers["Connection"] = "close"
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    return headers


def error_response(failure: Failure, attempts: int = 0) -> JSONResponse:
    """Return the HTTP response for a failure."""
    return JSONResponse(
        error_content(failure),
        status_code=ERROR_TABLE[failure.kind].status,
        headers=error_headers(failure, attempts),
    )


async def no_route(request: Request, exc: Exception) -> JSONResponse:
    """Respond to a request whose path or method has no route."""
    message = f"no resource {request.method} {request.url.path}"
    return error_response(Failure.of(ErrorKind.NOT_FOUND, message))
