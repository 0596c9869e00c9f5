"""HTTP API for operators, served on a separate address."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainstack.decoding import UNDECODABLE, parse_decimal
from plantainstack.errors import ConfigurationError, ErrorKind, Failure
from plantainstack.front.answers import error_response
from plantainstack.kernel import Kernel
from plantainstack.settings.fleet import (
    OPTIONS,
    FleetConfig,
    FleetContent,
    Scope,
    check_content,
)
from plantainstack.slo import Counts, burn_report, merge_totals

FLEET_QUERY_TIMEOUT_S = 2.0
FLEET_QUERY_CONCURRENCY = 16
BODY_MAX_BYTES = 4 * 1024**2
HISTORY_ITEMS_MAX = 1_000_000

Handler = Callable[[Kernel, Request, str], Awaitable[Response]]


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a configuration change."""

    change_id: str
    base_version: int
    defaults: dict[str, str]
    exceptions: list[dict[str, Any]]


def routes(kernel: Kernel) -> list[Route]:
    """Return the routes of the operators' API."""
    table: list[tuple[str, str, Handler]] = [
        ("/operator/config", "GET", show_config),
        ("/operator/config", "PUT", change_config),
        ("/operator/history", "GET", show_history),
        ("/operator/status", "GET", show_status),
        ("/operator/steps", "GET", show_steps),
        ("/operator/burn", "GET", show_burn),
        ("/operator/trace/{id}", "GET", show_trace),
    ]
    return [
        Route(path, _route_handler(kernel, handler), methods=[method])
        for path, method, handler in table
    ]


def register_queries(kernel: Kernel) -> None:
    """Register handlers for the queries that other instances send for operators."""
    peers = kernel.plugin("peers")

    async def answer_trace(peer_id: str, message: dict) -> dict:
        return {"events": _local_events(kernel, message["id"])}

    async def answer_burn(peer_id: str, message: dict) -> dict:
        return {"totals": kernel.burn.totals(kernel.clock.wall())}

    peers.register("trace_query", answer_trace)
    peers.register("burn_query", answer_burn)


async def show_config(kernel: Kernel, request: Request, operator: str) -> Response:
    """Return the configuration in force on this instance."""
    cfg = kernel.config
    values = {name: option.default for name, option in OPTIONS.items()}
    values.update(cfg.content["defaults"])
    return JSONResponse({"version": cfg.version, "values": values, **cfg.content})


async def change_config(kernel: Kernel, request: Request, operator: str) -> Response:
    """Apply a configuration change, or reject it with a list of all errors."""
    body = await request.body()
    if len(body) > BODY_MAX_BYTES:
        return error_response(
            Failure.of(
                ErrorKind.BODY_TOO_LARGE, "the configuration change is too large"
            )
        )
    try:
        change = msgspec.json.decode(body, type=ChangeRequest)
        exceptions = msgspec.convert(
            change.exceptions, type=FleetContent.__annotations__["exceptions"]
        )
    except UNDECODABLE as exc:
        return error_response(Failure.of(ErrorKind.BAD_REQUEST, str(exc)))
    content = FleetContent(defaults=change.defaults, exceptions=exceptions)
    problems = check_content(content)
    if problems:
        return error_response(
            Failure.of(ErrorKind.BAD_REQUEST, str(ConfigurationError(problems)))
        )
    outcome = await kernel.plugin("configuration").change(
        change.change_id, change.base_version, content, operator
    )
    if outcome.is_err():
        return error_response(outcome.unwrap_err())
    return JSONResponse({"version": outcome.unwrap()})


async def show_history(kernel: Kernel, request: Request, operator: str) -> Response:
    """Return the latest configuration changes."""
    limit = parse_decimal(request.query_params.get("limit", "20"), HISTORY_ITEMS_MAX)
    if limit is None:
        return error_response(
            Failure.of(ErrorKind.BAD_REQUEST, "limit is not a whole number")
        )
    outcome = await kernel.plugin("configuration").history(limit)
    if outcome.is_err():
        return error_response(outcome.unwrap_err())
    return JSONResponse({"history": [item._asdict() for item in outcome.unwrap()]})


async def show_status(kernel: Kernel, request: Request, operator: str) -> Response:
    """Return this instance's view of the fleet."""
    view = kernel.plugin("membership").view()
    return JSONResponse(
        {
            "instance": kernel.settings.instance.id,
            "incarnation": kernel.incarnation,
            "state": kernel.state,
            "unready_reason": kernel.unready_reason(),
            "config_versions": kernel.plugin("configuration").fleet_versions(),
            "members": [_member_content(member) for member in view.members.values()],
            "endpoints": _endpoint_list(kernel),
            "leases": kernel.plugin("steps").leases(),
        }
    )


async def show_steps(kernel: Kernel, request: Request, operator: str) -> Response:
    """Return the trainers' steps with their idle time and staleness."""
    trainer = request.query_params.get("trainer", "")
    outcome = await kernel.plugin("steps").overview(trainer)
    if outcome.is_err():
        return error_response(outcome.unwrap_err())
    return JSONResponse({"steps": outcome.unwrap()})


async def show_burn(kernel: Kernel, request: Request, operator: str) -> Response:
    """Return the error budget burn of every service, summed over the fleet."""
    parts = [kernel.burn.totals(kernel.clock.wall())]
    answers, missing = await query_fleet(kernel, {"type": "burn_query"})
    parts += [answer["totals"] for answer in answers.values()]
    reports = [
        _burn_content(kernel.config, service, totals)
        for service, totals in sorted(merge_totals(parts).items())
    ]
    return JSONResponse({"services": reports, "missing": missing})


async def show_trace(kernel: Kernel, request: Request, operator: str) -> Response:
    """Return the trace events of one id from all instances, ordered by time."""
    trace_id = request.path_params["id"]
    events = _local_events(kernel, trace_id)
    answers, missing = await query_fleet(
        kernel, {"type": "trace_query", "id": trace_id}
    )
    for answer in answers.values():
        events += answer["events"]
    events.sort(key=lambda event: event["wall"])
    return JSONResponse({"events": events, "missing": missing})


async def query_fleet(
    kernel: Kernel, message: dict
) -> tuple[dict[str, dict], list[str]]:
    """Query every other member; return the answers and the members without one."""
    deadline = kernel.clock.now() + FLEET_QUERY_TIMEOUT_S
    limiter = anyio.CapacityLimiter(FLEET_QUERY_CONCURRENCY)
    answers: dict[str, dict] = {}
    missing: list[str] = []

    async def query(peer_id: str) -> None:
        async with limiter:
            outcome = await kernel.plugin("peers").request(peer_id, message, deadline)
        if outcome.is_ok():
            answers[peer_id] = outcome.unwrap()
        else:
            missing.append(peer_id)

    async with anyio.create_task_group() as tasks:
        for peer_id in kernel.plugin("membership").view().members:
            if peer_id != kernel.settings.instance.id:
                tasks.start_soon(query, peer_id)
    return answers, sorted(missing)


def _route_handler(kernel: Kernel, handler: Handler):
    async def serve(request: Request) -> Response:
        return await handler(kernel, request, request.state.principal.name)

    return serve


def _local_events(kernel: Kernel, trace_id: str) -> list[dict]:
    return [
        {
            "instance": kernel.settings.instance.id,
            "wall": event.wall,
            "name": event.name,
            "fields": event.fields,
        }
        for event in kernel.trace.find(trace_id)
    ]


def _member_content(member) -> dict:
    return {
        "id": member.id,
        "incarnation": member.incarnation,
        "state": member.state,
        "data_centre": member.data_centre,
        "config_version": member.config_version,
    }


def _endpoint_list(kernel: Kernel) -> list[dict]:
    endpoints = kernel.plugin("endpoints")
    return [_endpoint_content(record, endpoints) for record in endpoints.records]


def _endpoint_content(record, endpoints) -> dict:
    status = endpoints.statuses.get(record.id)
    return {
        "id": record.id,
        "service": record.service,
        "kind": record.kind,
        "data_centre": record.data_centre,
        "state": record.state,
        "version": status.version if status else "",
        "load": f"{status.running}+{status.queued}" if status else "",
    }


def _burn_content(cfg: FleetConfig, service: str, totals: dict[str, Counts]) -> dict:
    target = cfg.scoped(Scope(service=service)).slo_target
    report = burn_report(service, totals, target)
    burns = [
        {
            "window": burn.window,
            "good": burn.counts.good,
            "bad": burn.counts.bad,
            "rate": round(burn.rate, 3),
        }
        for burn in report.burns
    ]
    return {
        "service": service,
        "target": target,
        "burns": burns,
        "alerts": list(report.alerts),
    }
