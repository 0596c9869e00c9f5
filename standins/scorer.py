"""Stand-in for the service that scores samples."""

from typing import Any

import msgspec
import xxhash
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Standin, decode_body, json_response

_SCORE_STEPS = 1000


class _Sample(msgspec.Struct):
    text: str


class _ScoreBody(msgspec.Struct):
    samples: list[_Sample]


def score(text: str) -> float:
    """Return a deterministic score of a text, at least 0 and below 1."""
    return (xxhash.xxh64_intdigest(text.encode()) % _SCORE_STEPS) / _SCORE_STEPS


class ScorerStandin(Standin):
    """Score texts after a delay in seconds; equal texts have equal scores."""

    def __init__(self, delay: float = 0.0, clock=None):
        super().__init__(clock)
        self._delay = delay
        self._scored = 0

    def routes(self) -> list[BaseRoute]:
        """Return the route of the scorer."""
        return [Route("/score", self._score, methods=["POST"])]

    def state(self) -> dict[str, Any]:
        """Return the number of scored samples."""
        return {"scored": self._scored}

    async def _score(self, request: Request) -> Response:
        samples = (await decode_body(request, _ScoreBody)).samples
        await self.clock.sleep_until(self.clock.now() + self._delay)
        self._scored += len(samples)
        return json_response({"scores": [score(sample.text) for sample in samples]})
