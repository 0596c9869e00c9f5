"""Health, readiness and metrics, for load balancers and metrics collectors."""

from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainstack import metrics


def routes(kernel) -> list[Route]:
    """Return the routes that need no authentication."""

    async def healthz(request: Request) -> Response:
        return JSONResponse({"alive": True, "incarnation": kernel.incarnation})

    async def readyz(request: Request) -> Response:
        reason = kernel.unready_reason()
        content = {
            "ready": reason is None,
            "reason": reason,
            "config_version": kernel.config.version,
        }
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        return JSONResponse(content, status_code=status)

    async def expose(request: Request) -> Response:
        content = generate_latest(metrics.REGISTRY)
        return Response(content, media_type=CONTENT_TYPE_LATEST)

    return [
        Route("/healthz", healthz),
        Route("/readyz", readyz),
        Route("/metrics", expose),
    ]
