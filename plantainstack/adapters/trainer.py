"""A trainer over HTTP."""

from http import HTTPStatus

import msgspec
from result import Ok, Result

from plantainstack.adapters.service_client import ServiceClient, unexpected
from plantainstack.errors import Failure
from plantainstack.interfaces import Trainer


class HttpTrainer(Trainer):
    """Notify a trainer; each call ends within the request timeout."""

    def __init__(self, store: ServiceClient):
        self._store = store

    async def notify(self, trainer: str, step: str) -> Result[None, Failure]:
        """Tell the trainer that a step is sealed."""
        body = msgspec.json.encode({"trainer": trainer, "step": step})
        outcome = await self._store.call("POST", "/notify", body)
        return outcome.and_then(
            lambda answer: (
                Ok(None) if answer.status == HTTPStatus.OK else unexpected(answer)
            )
        )
