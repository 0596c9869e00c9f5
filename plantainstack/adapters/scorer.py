"""The scorer over HTTP."""

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
    """Call the scorer; each call ends within the request timeout."""

    def __init__(self, store: ServiceClient):
        self._store = store

    async def score(
        self, samples: Sequence[dict[str, Any]], deadline: float
    ) -> Result[list[float], Failure]:
        """Return a score for each sample."""
        body = msgspec.json.encode({"samples": list(samples)})
        outcome = await self._store.call("POST", "/score", body, deadline)
        found = outcome.and_then(lambda answer: decode(answer, _ScoresBody))
        if found.is_err():
            return found
        scores = found.unwrap()["scores"]
        if len(scores) != len(samples):
            message = f"{len(scores)} scores for {len(samples)} samples"
            return Err(unavailable(message, Outcome.MAY_HAVE_RUN))
        return Ok(scores)
