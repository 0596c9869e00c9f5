"""Serve explanations of placement beside the metrics, for operators."""

from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
from result import Err, Result

from plantainstack.errors import ERROR_TABLE, ErrorKind, Failure
from plantainstack.services.explanation import Explainer

EXPLAIN_PATH = "/explain"


class Explanations:
    """ASGI application for explanations; other paths are passed to `others`."""

    def __init__(self, kernel, others):
        self._explainer = Explainer(kernel)
        self._others = others

    async def __call__(self, scope, receive, send) -> None:
        """Handle one request."""
        if scope["type"] != "http" or scope["path"] != EXPLAIN_PATH:
            await self._others(scope, receive, send)
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        outcome = self._explain({name: values[0] for name, values in query.items()})
        status: int = HTTPStatus.OK
        if outcome.is_ok():
            content = outcome.unwrap()
        else:
            failure = outcome.unwrap_err()
            status = ERROR_TABLE[failure.kind].status
            content = {
                "error": {"kind": failure.kind.value, "message": failure.message}
            }
        body = msgspec.json.encode(content)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    def _explain(self, query: dict[str, str]) -> Result[dict, Failure]:
        if "batch" in query and "item" in query:
            return self._explainer.item(query["batch"], query["item"])
        if "host" in query and "path" in query:
            return self._explainer.request(query["host"], query["path"])
        message = "name a batch and an item, or a host and a path"
        return Err(Failure.of(ErrorKind.BAD_REQUEST, message))
