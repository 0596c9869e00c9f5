"""HTTP interface for the platform's clients and trainers."""

from contextlib import aclosing
from http import HTTPStatus
from urllib.parse import parse_qs

import anyio
import msgspec

from plantainstack import log, metrics
from plantainstack.decoding import parse_decimal
from plantainstack.errors import ErrorKind, Failure
from plantainstack.links.answers import AnswerGivenUp, giving_up
from plantainstack.platform import names, records
from plantainstack.platform.bodies import read_body
from plantainstack.platform.responses import (
    Response,
    ResponseSender,
    StreamAborted,
    failure_response,
    json_response,
)
from plantainstack.policy import batch_scheduling, draining, tenant_admission
from plantainstack.policy.answer_memory import BodyReservation
from plantainstack.policy.draining import StopTimes
from plantainstack.policy.tenants import Tenant
from plantainstack.services.batch_reads import STATE_READ_TIMEOUT_S
from plantainstack.services.batch_store import (
    OBJECT_BYTES_MAX,
    UNKNOWN_WRITE_TIMEOUT_S,
)
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import ItemResult, RequestKind, Route, TakeUp
from plantainstack.tasks import record_exception

# Longest time for which a request for results may wait; the platform specifies 1 s.
WAIT_MAX_S = 1.5
# Bytes of the results in one answer; the platform allows 1 MB.
RESULTS_MAX_BYTES = 900_000
# Time after the deadline of a stream for which its last bytes may still be sent.
SEND_GRACE_S = 0.25
# Keys of the rows of results have eight digits.
POSITION_MAX = 99_999_999


class Ingress:
    """ASGI application that serves clients and trainers."""

    def __init__(self, kernel):
        self._kernel = kernel
        self._forwarding = kernel.plugin("forwarding")
        self._batches = kernel.plugin("batches")
        self._discovery = kernel.plugin("discovery")
        self.open_requests = 0
        self.stop_times: StopTimes | None = None

    async def __call__(self, scope, receive, send) -> None:
        """Handle one request, and cancel it when the client disconnects."""
        self.open_requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.open_requests -= 1

    async def _serve(self, scope, receive, send) -> None:
        arrived_at = self._kernel.clock.now()
        with self._kernel.body_memory.reserve() as held:
            limits = self._discovery.limits()
            body = await read_body(scope, receive, limits, held)
            if body is not None:
                handler = _RequestHandler(self, scope, body, held, arrived_at, send)
                # The handler drops a body that it no longer needs.
                del body
                await self._handle(handler, receive)

    async def _handle(self, handler: "_RequestHandler", receive) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                await handler.handle()
            except StreamAborted:
                raise
            except Exception as exc:
                record_exception("Ingress._serve", exc)
                raise
            tasks.cancel_scope.cancel()


class _RequestHandler:
    """Handle one request whose body has been read."""

    def __init__(
        self, ingress: Ingress, scope, body, held: BodyReservation, arrived_at, send
    ):
        self._ingress = ingress
        self._kernel = ingress._kernel
        self._forwarding = ingress._forwarding
        self._batches = ingress._batches
        self._rates = ingress._kernel.plugin("tenant_rates")
        self._scope = scope
        self._body = body
        self._held = held
        self._arrived_at = arrived_at
        self._headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
        raw_path = scope["raw_path"].partition(b"?")[0].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        self._path = raw_path
        self._query = query
        self._target = f"{raw_path}?{query}" if query else raw_path
        self._host = names.header(self._headers, "host") or ""
        self._request_id = names.header(self._headers, names.REQUEST_ID) or ""
        self._sender = ResponseSender(self._kernel, self._request_id, send)
        self._has_tenants = False
        self._tenant: Tenant | None = None

    async def handle(self) -> None:
        """Route the request and send the response."""
        if isinstance(self._body, Failure):
            self._log_refusal(self._body)
            await self._sender.respond(failure_response(self._body))
            return
        method = self._scope["method"]
        if self._path.startswith(names.LOTS_PATH) and method in ("GET", "DELETE"):
            await self._sender.respond(
                self._refusal_by_key(None)
                or self._refusal_by_stop(self._resource_deadline(method))
                or await self._batch_resource(method)
            )
            return
        if self._path.startswith(names.ITEMS_PATH) and method == "GET":
            await self._sender.respond(
                self._refusal_by_key(None)
                or self._refusal_by_stop(self._resource_deadline(method))
                or await self._item_body()
            )
            return
        found = self._forwarding.route(self._host, self._path)
        if found.is_err():
            self._log_refusal(found.unwrap_err())
            await self._sender.respond(failure_response(found.unwrap_err()))
            return
        await self._forward(found.unwrap())

    def _refusal_by_key(self, route: Route | None) -> Response | None:
        """Find out the tenant of the request; refuse one without a valid key."""
        discovery = self._ingress._discovery
        cfg = discovery.serving
        admitted = tenant_admission.admit(
            cfg,
            route,
            names.headers(self._headers, names.AUTHORIZATION),
            discovery.config_age_s(),
            self._kernel.settings.tenants,
        )
        if admitted.is_ok():
            self._has_tenants = cfg.tenants is not None
            self._tenant = admitted.unwrap()
            return None
        reason, failure = admitted.unwrap_err()
        metrics.KEY_REFUSALS.labels(reason.value).inc()
        return self._refused(failure)

    def _tenant_name(self) -> str | None:
        """Return the name of the tenant, empty if unknown and None without tenants."""
        if not self._has_tenants:
            return None
        return self._tenant.name if self._tenant else ""

    def _refusal_by_stop(self, answer_by: float) -> Response | None:
        """Refuse a request that may still run when the instance has to end."""
        times = self._ingress.stop_times
        now = self._kernel.clock.now()
        if times is None or draining.may_take(times, answer_by, now):
            return None
        message = "the instance is stopping and may not answer in time"
        return self._refused(Failure.of(ErrorKind.DRAINING, message))

    async def _refusal_by_rate(self, route: Route) -> Response | None:
        """Refuse a request above the rate of its tenant."""
        deadline = self._route_deadline(route)
        failure = await self._rates.refusal(self._tenant, route, deadline)
        return None if failure is None else self._refused(failure)

    def _resource_deadline(self, method: str) -> float:
        """Return the time by which a request for a batch is answered."""
        longest_s = self._wait_s() + STATE_READ_TIMEOUT_S
        if method == "DELETE":
            longest_s = UNKNOWN_WRITE_TIMEOUT_S
        return self._kernel.clock.now() + longest_s

    def _route_deadline(self, route: Route) -> float:
        """Return the time by which a request on a route is answered."""
        if route.kind is RequestKind.BATCH:
            return self._kernel.clock.now() + UNKNOWN_WRITE_TIMEOUT_S
        return self._deadline(route)

    async def _forward(self, route: Route) -> None:
        refusal = (
            self._refusal_by_key(route)
            or self._refusal_by_stop(self._route_deadline(route))
            or await self._refusal_by_rate(route)
        )
        if refusal is not None:
            await self._sender.respond(refusal)
        elif route.kind is RequestKind.BATCH:
            await self._sender.respond(await self._submit(route))
        elif route.kind is RequestKind.STREAM:
            await self._stream(route)
        else:
            await self._plain(route)

    async def _plain(self, route: Route) -> None:
        outcome = await self._forwarding.plain(self._client_call(route), route)
        if outcome.is_err():
            await self._sender.respond(failure_response(outcome.unwrap_err()))
            return
        answer = outcome.unwrap().answer
        response = Response(answer.status, answer.headers, answer.body)
        if answer.held is None:
            await self._sender.respond(response)
            return
        try:
            with giving_up(answer.held):
                await self._sender.respond(response)
        except AnswerGivenUp as exc:
            raise StreamAborted(str(exc)) from None

    async def _stream(self, route: Route) -> None:
        call = self._client_call(route)
        remaining = max(0.0, call.deadline - self._kernel.clock.now())
        parts = self._forwarding.stream(call, route)
        async with aclosing(parts):
            # Forwarding keeps to the deadline, but a client may stop reading.
            with anyio.move_on_after(remaining + SEND_GRACE_S) as scope:
                await self._send_parts(parts)
        if scope.cancelled_caught:
            raise StreamAborted("the deadline passed while the client did not read")

    async def _send_parts(self, parts) -> None:
        started = False
        async for outcome in parts:
            if outcome.is_err():
                if started:
                    raise StreamAborted(outcome.unwrap_err().message)
                await self._sender.respond(failure_response(outcome.unwrap_err()))
                return
            part = outcome.unwrap()
            if isinstance(part, bytes):
                await self._sender.send_body(part, more=True)
            else:
                started = True
                await self._sender.send_headers(part.status, part.headers)
        await self._sender.send_body(b"", more=False)

    def _reserve(self, size: int) -> Failure | None:
        """Reserve memory for a batch; return its refusal if that is not to be had.

        Its size is legal, and an instance with more memory may take it.
        """
        if size > self._kernel.memory_budget.total:
            text = f"the batch takes about {size} bytes"
            return Failure.of(ErrorKind.OVERLOADED, text)
        if not self._held.grow_to(size):
            return self._held.refusal()
        self._kernel.memory_budget.reclaim()
        return None

    async def _submit(self, route: Route) -> Response:
        decoding = len(self._body) + records.decoding_bytes(self._body)
        refusal = self._reserve(decoding)
        if refusal is not None:
            return self._refused(refusal)
        decoded = records.decode_batch(
            self._request_id, self._host, self._path, self._body
        )
        self._body = b""
        if not self._request_id or decoded.is_err():
            reason = decoded.err() or "the request has no id"
            return self._refused(Failure.of(ErrorKind.BAD_REQUEST, reason))
        batch = decoded.unwrap()
        size = batch_scheduling.batch_size(batch)
        if not self._batches.may_run(size):
            message = f"the instance has no memory to run {len(batch.items)} items"
            return self._refused(Failure.of(ErrorKind.OVERLOADED, message))
        storing = batch_scheduling.storing_bytes(size, OBJECT_BYTES_MAX)
        refusal = self._reserve(storing)
        if refusal is not None:
            return self._refused(refusal)
        if self._has_tenants:
            batch = records.of_tenant(batch, self._tenant_name())
        outcome = await self._batches.submit(batch, route)
        if outcome.is_err():
            return failure_response(outcome.unwrap_err())
        return Response(HTTPStatus.ACCEPTED, [])

    async def _batch_resource(self, method: str) -> Response:
        batch_id = self._path.removeprefix(names.LOTS_PATH)
        if method == "DELETE":
            ended = await self._batches.end(batch_id, self._tenant_name())
            return (
                failure_response(ended.unwrap_err())
                if ended.is_err()
                else json_response({})
            )
        after = self._query_number("after")
        if after is None:
            message = "the position is not a number"
            return failure_response(Failure.of(ErrorKind.BAD_REQUEST, message))
        found = await self._batches.results(
            batch_id, after, self._wait_s(), self._tenant_name()
        )
        if found.is_err():
            return failure_response(found.unwrap_err())
        page = found.unwrap()
        results = _encode_results(page.results)
        return json_response(
            {"total": page.total, "next": after + len(results), "results": results}
        )

    async def _item_body(self) -> Response:
        batch_id = self._path.removeprefix(names.ITEMS_PATH)
        item_id = parse_qs(self._query).get("id", [""])[0]
        found = await self._batches.item_body(batch_id, item_id, self._tenant_name())
        if found.is_err():
            return failure_response(found.unwrap_err())
        headers = [("Content-Type", "application/octet-stream")]
        return Response(HTTPStatus.OK, headers, found.unwrap())

    def _wait_s(self) -> float:
        wait_ms = names.header(self._headers, names.WAIT_MS)
        return min(
            WAIT_MAX_S, (parse_decimal(wait_ms, records.INTEGER_MAX) or 0) / 1000
        )

    def _query_number(self, name: str) -> int | None:
        text = parse_qs(self._query).get(name, ["0"])[0]
        return parse_decimal(text, POSITION_MAX)

    def _deadline(self, route: Route) -> float:
        text = names.header(self._headers, names.DEADLINE_MS)
        deadline_ms = parse_decimal(text, records.INTEGER_MAX)
        seconds = route.timeout_s
        if deadline_ms is not None:
            seconds = min(seconds, deadline_ms / 1000)
        return self._arrived_at + seconds

    def _client_call(self, route: Route) -> ClientCall:
        kept = tuple(
            (name, value)
            for name, value in self._headers
            if name not in names.HOP_BY_HOP_HEADERS
        )
        if self._has_tenants:
            kept = names.without_tenant_headers(kept)
        return ClientCall(
            self._request_id,
            self._scope["method"],
            self._target,
            self._host,
            kept,
            self._body,
            self._deadline(route),
            self._take_up(),
            self._tenant,
        )

    def _take_up(self) -> TakeUp | None:
        text = names.header(self._headers, names.LAST_EVENT_ID)
        if text is None:
            return None
        after = parse_decimal(text, records.INTEGER_MAX)
        stream_id = names.header(self._headers, names.RESUMES) or ""
        return TakeUp(after, stream_id)

    def _refused(self, failure: Failure) -> Response:
        self._log_refusal(failure)
        return failure_response(failure)

    def _log_refusal(self, failure: Failure) -> None:
        log.event(
            "request.refused",
            self._request_id,
            host=self._host,
            path=self._path,
            kind=failure.kind.value,
            reason=failure.message,
        )


def _encode_results(results: list[ItemResult]) -> list[msgspec.Raw]:
    """Encode results as JSON, the first one and those that fit beside it."""
    encoded: list[msgspec.Raw] = []
    size = 0
    for result in results:
        data = msgspec.json.encode(records.encode_result(result))
        size += len(data)
        if encoded and size > RESULTS_MAX_BYTES:
            break
        encoded.append(msgspec.Raw(data))
    return encoded


async def _cancel_on_disconnect(receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
