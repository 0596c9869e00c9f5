"""HTTP client of the scorer."""

from collections.abc import Sequence
from typing import Any, TypedDict

import msgspec
from result import Err, Ok, Result

from plantainstack.adapters.service_client import ServiceClient, decode, unavailable
from plantainstack.errors import Failure, Outcome
from plantainstack.interfaces import Scorer


class _ScoresBody(TypedDict):
    scores: list[float]


class HttpScorer(Scorer):
    """HTTP client of the scorer; each call is limited by the request timeout."""

    def __init__(self, client: ServiceClient):
        self._client = client

    async def score(
        self, samples: Sequence[dict[str, Any]], deadline: float
    ) -> Result[list[float], Failure]:
        """Return one score for each sample, in order."""
        body = msgspec.json.encode({"samples": list(samples)})
        outcome = await self._client.call("POST", "/score", body, deadline)
        decoded = outcome.and_then(lambda answer: decode(answer, _ScoresBody))
        if decoded.is_err():
            return decoded
        scores = decoded.unwrap()["scores"]
        if len(scores) != len(samples):
            message = (
                f"the scorer returned {len(scores)} scores for {len(samples)} samples"
            )
            return Err(unavailable(message, Outcome.MAY_HAVE_RUN))
        return Ok(scores)
