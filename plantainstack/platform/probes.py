"""Readiness probes and metrics over HTTP."""

from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from plantainstack import metrics
from plantainstack.platform import names


class Probes:
    """ASGI application for the platform's readiness probes and for metrics."""

    def __init__(self, kernel):
        self._kernel = kernel

    async def __call__(self, scope, receive, send) -> None:
        """Handle one request."""
        status, body, content_type = HTTPStatus.NOT_FOUND, b"", "text/plain"
        if scope["path"] == names.READY_PATH:
            reason = self._kernel.unready_reason()
            status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
            body = (reason or "ready").encode()
        elif scope["path"] == "/metrics":
            status, body = HTTPStatus.OK, generate_latest(metrics.REGISTRY)
            content_type = CONTENT_TYPE_LATEST
        headers = [
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})
