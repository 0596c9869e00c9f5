"""HTTP client of a trainer."""

from http import HTTPStatus

import msgspec
from result import Ok, Result

from plantainstack.adapters.service_client import ServiceClient, unexpected
from plantainstack.errors import Failure
from plantainstack.interfaces import Trainer


class HttpTrainer(Trainer):
    """HTTP client of a trainer; each call is limited by the request timeout."""

    def __init__(self, client: ServiceClient):
        self._client = client

    async def notify(self, trainer: str, step: str) -> Result[None, Failure]:
        """Notify the trainer that the step is sealed."""
        body = msgspec.json.encode({"trainer": trainer, "step": step})
        outcome = await self._client.call("POST", "/notify", body)
        return outcome.and_then(
            lambda answer: (
                Ok(None) if answer.status == HTTPStatus.OK else unexpected(answer)
            )
        )
