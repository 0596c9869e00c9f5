"""Stand-in for the weight store, which limits the rate of load permits."""

from http import HTTPStatus
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Standin, json_response


class WeightsStandin(Standin):
    """Store published versions, and grant permits from a token bucket."""

    def __init__(self, permits_per_s: float = 10.0, burst: int = 4, clock=None):
        super().__init__(clock)
        self._rate = permits_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = self.clock.now()
        self._versions: dict[str, set[int]] = {}
        self._counts = {"permits": 0, "refused": 0}

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the weight store."""
        version = "/models/{model:path}/versions/{version:int}"
        return [
            Route("/models/{model:path}/latest", self._latest, methods=["GET"]),
            Route(version, self._publish, methods=["POST"]),
            Route(f"{version}/permits", self._permit, methods=["POST"]),
        ]

    def state(self) -> dict[str, Any]:
        """Return the versions of each model and the granted and refused permits."""
        versions = {model: sorted(found) for model, found in self._versions.items()}
        return {"versions": versions, **self._counts}

    async def _latest(self, request: Request) -> Response:
        versions = self._versions.get(request.path_params["model"], set())
        return json_response({"version": max(versions, default=0)})

    async def _publish(self, request: Request) -> Response:
        versions = self._versions.setdefault(request.path_params["model"], set())
        versions.add(request.path_params["version"])
        return json_response({})

    async def _permit(self, request: Request) -> Response:
        model, version = request.path_params["model"], request.path_params["version"]
        if version not in self._versions.get(model, set()):
            return json_response({}, HTTPStatus.NOT_FOUND)
        self._refill()
        if self._tokens < 1:
            self._counts["refused"] += 1
            wait = (1 - self._tokens) / self._rate
            return json_response(
                {}, HTTPStatus.TOO_MANY_REQUESTS, Retry_After=f"{wait:.3f}"
            )
        self._tokens -= 1
        self._counts["permits"] += 1
        return json_response({})

    def _refill(self) -> None:
        now = self.clock.now()
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._refilled_at = now
