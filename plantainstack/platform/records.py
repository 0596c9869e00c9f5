"""Decoding and encoding of the platform's JSON bodies."""

import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from plantainstack.clock import Clock
from plantainstack.decoding import decode, parse_decimal
from plantainstack.duties import ScaleLimits
from plantainstack.platform.names import (
    LENGTH_HINT,
    header,
    without_tenant_headers,
)
from plantainstack.policy.tenants import Tenant, TenantDirectory
from plantainstack.serving import (
    Batch,
    ClientLimits,
    Endpoint,
    EndpointReport,
    Item,
    ItemResult,
    RequestKind,
    RewardCall,
    Route,
    ServiceConfig,
    ServingConfig,
    WeightedService,
)
from plantainstack.settings.options import Address

_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "stream": RequestKind.STREAM,
    "rollout": RequestKind.BATCH,
}
# Bounds on what other programs write, far beyond any value in use. The largest integers
# are exact in JSON, and can be stored.
INTEGER_MAX = 2**53
SLOTS_MAX = 100_000
DURATION_MAX_S = 30 * 24 * 3600.0
LENGTH_HINT_MAX = 10**9
TEXT_CHARACTERS_MAX = 200
PORT_MAX = 65535

_Text = Annotated[str, Meta(min_length=1, max_length=TEXT_CHARACTERS_MAX)]
# Sent to endpoints as a header.
_HeaderText = Annotated[
    str, Meta(min_length=1, max_length=TEXT_CHARACTERS_MAX, pattern="^[!-~]+$")
]
_Count = Annotated[int, Meta(ge=0, le=INTEGER_MAX)]
_Slots = Annotated[int, Meta(ge=1, le=SLOTS_MAX)]
_Number = Annotated[float, Meta(ge=0.0, le=float(INTEGER_MAX))]
_Seconds = Annotated[float, Meta(ge=0.0, le=DURATION_MAX_S)]
_Millis = Annotated[float, Meta(ge=0.0, le=DURATION_MAX_S * 1000)]

# A name or an IPv4 address; a colon occurs in IPv6 addresses only.
_HOST = re.compile(
    r"[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*|(?=.*:)[0-9A-Fa-f:.]{2,45}"
)
DECODING_BYTES_PER_QUOTE = 64
_HEADER_NAME = re.compile(r"[0-9A-Za-z!#$%&'*+.^_`|~-]+")
# Visible characters of ASCII, without spaces: an id, or the target of a request.
_VISIBLE = re.compile(r"[!-~]+")
# The characters of Latin-1 that HTTP allows, without spaces at the ends.
_HEADER_VALUE = re.compile(r"([!-~\x80-\xff]([ \t!-~\x80-\xff]*[!-~\x80-\xff])?)?")


class _Split(msgspec.Struct):
    backend: str
    weight: _Number = 1.0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    route_type: str
    timeout_ms: _Millis
    slo_ms: _Millis = 0.0
    priority: _Count = 0
    # A route has either one service or several weighted ones.
    backend: str | None = None
    split: list[_Split] = []
    max_attempts: _Count = 1
    max_queue_s: _Seconds = 0.0
    result_target_ms: _Millis = 0.0
    single_version: bool = False
    resumable: bool = False
    public: bool = False


class _Model(msgspec.Struct):
    name: str
    version: _Count = 0


class _Engine(msgspec.Struct):
    models: list[_Model] = []


class _Scale(msgspec.Struct):
    min: _Count = 0
    max: _Count = 0
    boot_s: _Seconds = 0.0
    spot_price: _Number = 1.0
    zone_prices: dict[str, _Number] = {}


class _Service(msgspec.Struct):
    name: str
    max_conns: _Count = 0
    engine: _Engine | None = None
    scale: _Scale | None = None


class _Tenant(msgspec.Struct):
    name: _HeaderText
    api_keys: list[str] = []
    priority: _Count | None = None
    rate_per_s: _Number | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = 16 * 1024
    max_body_bytes: _Count = 32 * 1024 * 1024
    header_timeout_ms: _Millis = 3000.0
    idle_timeout_ms: _Millis = 15000.0


class _Config(msgspec.Struct):
    version: _Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Registration(msgspec.Struct):
    # The service that the server belongs to.
    backend: _Text
    address: _Text
    zone: Annotated[str, Meta(max_length=TEXT_CHARACTERS_MAX)]
    slots: _Slots
    state: Literal["ready", "draining"]
    # Sequence number of the server's writes of this entry; it orders nothing else.
    seq: _Count
    # Version of the server's software, not of its weights.
    version: Annotated[str, Meta(max_length=TEXT_CHARACTERS_MAX)] = ""
    # Unix time of the server's start in milliseconds.
    born: _Count = 0
    cold_ms: _Millis = 0.0
    models: list[_Model] = []
    spot: bool = False
    leaves_ms: _Millis | None = None


class _Report(msgspec.Struct):
    models: list[_Model] = []
    busy: bool = False
    # Number of orders accepted since the server's start; not related to
    # `_Registration.seq`.
    seq: _Count = 0


class _NamedVersion(msgspec.Struct):
    model: _Text
    version: _Count


class _Scorer(msgspec.Struct):
    """Request that scores an item's text, despite the name not a service."""

    id: str
    hostname: str
    path: str
    body: bytes


class _BatchItemBody(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    group: str = ""
    scorer: _Scorer | None = None


class _BatchBody(msgspec.Struct):
    requests: list[_BatchItemBody]
    step: _Count = 0
    model: str = ""
    min_version: _Count = 0
    group_count: _Count = 0


_CONFIG = msgspec.json.Decoder(_Config)
_REGISTRATION = msgspec.json.Decoder(_Registration)
_REPORT = msgspec.json.Decoder(_Report)
_VERSION = msgspec.json.Decoder(_NamedVersion)
_BATCH = msgspec.json.Decoder(_BatchBody)


def decode_config(data: bytes) -> Result[ServingConfig, str]:
    """Decode the operator's configuration, or return why it is invalid."""
    return decode(_CONFIG, data).and_then(_serving_config)


def _serving_config(found: _Config) -> Result[ServingConfig, str]:
    try:
        routes = tuple(_route(route) for route in found.routes)
    except ValueError as exc:
        return Err(str(exc))
    services = {
        service.name: ServiceConfig(
            service.name,
            service.max_conns,
            tuple(m.name for m in service.engine.models) if service.engine else (),
            _scale_limits(service.scale) if service.scale else None,
        )
        for service in found.services
    }
    limits = ClientLimits(
        found.limits.max_header_bytes,
        found.limits.max_body_bytes,
        found.limits.header_timeout_ms / 1000,
        found.limits.idle_timeout_ms / 1000,
    )
    tenants = None if found.tenants is None else _directory(found.tenants)
    return Ok(ServingConfig(found.version, routes, services, limits, tenants))


def _scale_limits(scale: _Scale) -> ScaleLimits:
    return ScaleLimits(
        scale.min, scale.max, scale.boot_s, scale.spot_price, scale.zone_prices
    )


def _directory(tenants: list[_Tenant]) -> TenantDirectory:
    return TenantDirectory(
        (Tenant(each.name, each.priority, each.rate_per_s), each.api_keys)
        for each in tenants
    )


def _route(route: _Route) -> Route:
    kind = _KINDS.get(route.route_type)
    if kind is None:
        raise ValueError(
            f"route {route.name!r} has the unknown route_type {route.route_type!r}"
        )
    weighted_services = tuple(
        WeightedService(part.backend, part.weight) for part in route.split
    )
    if not weighted_services and route.backend is not None:
        weighted_services = (WeightedService(route.backend, 1.0),)
    if not sum(part.weight for part in weighted_services) > 0.0:
        raise ValueError(f"route {route.name!r} has no service with a weight")
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.prefix,
        kind=kind,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.slo_ms / 1000,
        priority=route.priority,
        weighted_services=weighted_services,
        endpoints_max=route.max_attempts,
        queue_limit_s=route.max_queue_s,
        result_target_s=route.result_target_ms / 1000,
        single_version=route.single_version,
        resumable=route.resumable,
        public=route.public,
    )


def decode_endpoint(key: str, data: bytes, clock: Clock) -> Result[Endpoint, str]:
    """Decode a server's registration, or return why the entry is not a valid one."""
    decoded = decode(_REGISTRATION, data)
    if decoded.is_err():
        return decoded
    found = decoded.unwrap()
    host, _, digits = found.address.rpartition(":")
    port = parse_decimal(digits, PORT_MAX)
    if not _HOST.fullmatch(host) or not port:
        return Err(f"invalid address {found.address!r}")
    # The id is sent to the endpoint as a header.
    if not _VISIBLE.fullmatch(key):
        return Err(f"invalid id {key!r}")
    return Ok(
        Endpoint(
            id=key,
            service=found.backend,
            address=Address(host, port),
            data_centre=found.zone,
            slots=found.slots,
            leaving=found.state == "draining",
            started_ms=found.born,
            software=found.version,
            versions={model.name: model.version for model in found.models},
            warm_at=clock.now() + found.cold_ms / 1000 if found.cold_ms else 0.0,
            reclaimable=found.spot,
            leaves_at=None
            if found.leaves_ms is None
            else clock.now() + found.leaves_ms / 1000,
        )
    )


def decode_report(data: bytes) -> Result[EndpointReport, str]:
    """Decode a server's report of its own state."""
    return decode(_REPORT, data).map(
        lambda found: EndpointReport(
            {model.name: model.version for model in found.models},
            found.busy,
            found.seq,
        )
    )


def decode_named_version(data: bytes) -> Result[tuple[str, int], str]:
    """Decode the weight version that the operator or a trainer set for a model."""
    return decode(_VERSION, data).map(lambda found: (found.model, found.version))


def decoding_bytes(data: bytes) -> int:
    """Return about how many bytes decoding a batch takes beside its body.

    That is at most the body once more, and 43 bytes for each quotation mark in batches
    of many small items.
    """
    return len(data) + DECODING_BYTES_PER_QUOTE * data.count(b'"')


def decode_batch(
    batch_id: str, host: str, path: str, data: bytes
) -> Result[Batch, str]:
    """Decode a submitted batch; one invalid item makes the whole batch invalid."""
    decoded = decode(_BATCH, data)
    if decoded.is_err():
        return decoded
    found = decoded.unwrap()
    try:
        items = tuple(_item(item) for item in found.requests)
    except ValueError as exc:
        return Err(str(exc))
    if not items:
        return Err("the batch has no items")
    if len({item.id for item in items}) < len(items):
        return Err("two items have the same id")
    if any(not _is_target(item.path) for item in items):
        return Err("an item has no absolute path")
    return Ok(
        Batch(
            batch_id,
            host,
            path,
            found.model,
            found.min_version,
            found.group_count,
            items,
        )
    )


def of_tenant(batch: Batch, tenant: str) -> Batch:
    """Return the batch as that of a tenant, without keys in the headers of its items.

    The name is empty if no tenant is known.
    """
    items = tuple(
        item._replace(headers=without_tenant_headers(item.headers))
        for item in batch.items
    )
    return batch._replace(items=items, tenant=tenant)


def _item(item: _BatchItemBody) -> Item:
    headers = tuple(item.headers.items())
    if not _VISIBLE.fullmatch(item.id):
        raise ValueError(f"an item has the invalid id {item.id!r}")
    if not all(_HEADER_NAME.fullmatch(name) for name, _ in headers):
        raise ValueError(f"item {item.id!r} has a header with an invalid name")
    if not all(_HEADER_VALUE.fullmatch(value) for _, value in headers):
        raise ValueError(f"item {item.id!r} has a header with an invalid value")
    return Item(
        item.id,
        item.group,
        item.path,
        headers,
        item.body,
        parse_decimal(header(headers, LENGTH_HINT), LENGTH_HINT_MAX) or 0,
        _reward_call(item.id, item.scorer) if item.scorer else None,
    )


def _reward_call(item_id: str, scorer: _Scorer) -> RewardCall:
    if not _VISIBLE.fullmatch(scorer.id) or not _is_target(scorer.path):
        raise ValueError(f"the scorer of item {item_id!r} has no id or absolute path")
    if not _VISIBLE.fullmatch(scorer.hostname):
        raise ValueError(f"the scorer of item {item_id!r} has an invalid host")
    return RewardCall(scorer.id, scorer.hostname, scorer.path, scorer.body)


def _is_target(path: str) -> bool:
    return path.startswith("/") and _VISIBLE.fullmatch(path) is not None


def encode_result(found: ItemResult) -> dict[str, Any]:
    """Return the JSON fields of an item's result."""
    fields = {
        "id": found.item_id,
        "state": found.state.value,
        "output": found.text,
        "versions": list(found.versions),
    }
    return fields if found.score is None else fields | {"score": found.score}
