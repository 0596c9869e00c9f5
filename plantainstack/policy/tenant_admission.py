"""Decide for which tenant a client's request runs, and whether it is admitted.

Designed for one decision a request, some thousands a second on one instance: it costs
one hash of the key, independently of the number of tenants and keys.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy.tenants import Tenant
from plantainstack.serving import Route, ServingConfig
from plantainstack.settings.node import TenantOptions

# Share of the revocation time for which a confirmed configuration admits keys. The rest
# covers clocks that run at different rates here and at the store.
REVOCATION_SHARE = 0.9
# A working feed is read by polls of 0.6 s with a pause of 0.05 s, so its last answered
# read began up to 1.3 s ago. Without an answer for longer, a key that is not known may
# have been added.
CONFIRMED_MAX_S = 1.5
# Time after which a refused caller may expect a confirmed configuration.
RETRY_AFTER_S = 1.0
# Rank of the least urgent requests at a model engine.
PRIORITY_MAX = 9
SCHEME = "bearer"


class RefusalReason(StrEnum):
    """Say why a request was refused, as a label of metrics."""

    NO_CONFIGURATION = "no_configuration"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    NOT_CONFIRMED = "not_confirmed"
    REVOCATION = "revocation"
    OTHER_TENANT = "other_tenant"


class Refusal(NamedTuple):
    """Hold the reason of a refusal and the failure that the client gets."""

    reason: RefusalReason
    failure: Failure


class EndpointIdentity(NamedTuple):
    """Hold what an endpoint is told about a request; see `EndpointCall`."""

    tenant: str | None
    priority: int | None


def presented_key(authorization: Sequence[str]) -> str | None:
    """Return the key of the only `Authorization` header, or None without a valid one.

    The scheme is compared without regard to case.
    """
    if len(authorization) != 1:
        return None
    scheme, _, key = authorization[0].strip().partition(" ")
    return key.strip() or None if scheme.lower() == SCHEME else None


def admit(
    cfg: ServingConfig | None,
    route: Route | None,
    authorization: Sequence[str],
    confirmed_age_s: float | None,
    options: TenantOptions,
) -> Result[Tenant | None, Refusal]:
    """Return the tenant of a request, None without one, or why it is refused.

    `route` is None for paths without a route, which need a key. `confirmed_age_s` is
    the age of the last moment at which the configuration was known to be in force, None
    if there was none.
    """
    if cfg is None:
        message = "no configuration has been read yet"
        return _unavailable(RefusalReason.NO_CONFIGURATION, message)
    if cfg.tenants is None:
        return Ok(None)
    key = presented_key(authorization)
    tenant = None if key is None else cfg.tenants.find(key)
    if route is not None and route.public:
        return Ok(tenant)
    if key is None:
        return _unauthenticated(RefusalReason.MISSING_KEY, "a key is required")
    if revocation_unknown(confirmed_age_s, options):
        message = "the configuration was not confirmed for too long to admit keys"
        return _unavailable(RefusalReason.REVOCATION, message)
    if tenant is not None:
        return Ok(tenant)
    if confirmed_age_s is None or confirmed_age_s >= CONFIRMED_MAX_S:
        message = "the key is not known, but the configuration may be out of date"
        return _unavailable(RefusalReason.NOT_CONFIRMED, message)
    return _unauthenticated(RefusalReason.UNKNOWN_KEY, "the key is not known")


def revocation_unknown(confirmed_age_s: float | None, options: TenantOptions) -> bool:
    """Return whether strict revocation forbids to admit any key."""
    if not options.strict_revocation:
        return False
    limit_s = REVOCATION_SHARE * options.revocation
    return confirmed_age_s is None or confirmed_age_s >= limit_s


def endpoint_identity(
    cfg: ServingConfig, route: Route, service: str, tenant: str
) -> EndpointIdentity:
    """Return what an endpoint of a service is told; `tenant` is empty without one."""
    if cfg.tenants is None:
        return EndpointIdentity(tenant or None, None)
    hosting = cfg.services.get(service)
    if hosting is None or not hosting.models:
        return EndpointIdentity(tenant, None)
    found = cfg.tenants.tenants.get(tenant)
    own = None if found is None else found.priority
    priority = route.priority if own is None else own
    return EndpointIdentity(tenant, min(priority, PRIORITY_MAX))


def _unavailable(reason: RefusalReason, message: str) -> Err[Refusal]:
    failure = Failure.of(ErrorKind.NOT_READY, message)
    return Err(Refusal(reason, failure._replace(retry_after_s=RETRY_AFTER_S)))


def _unauthenticated(reason: RefusalReason, message: str) -> Err[Refusal]:
    return Err(Refusal(reason, Failure.of(ErrorKind.UNAUTHENTICATED, message)))
