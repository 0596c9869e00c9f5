"""Tests of the decision for which tenant a request runs, and whether it may."""

from types import SimpleNamespace

import pytest

from plantainstack.errors import ERROR_TABLE, Outcome
from plantainstack.policy.tenant_admission import (
    CONFIRMED_MAX_S,
    RefusalReason,
    admit,
    endpoint_identity,
    presented_key,
)
from plantainstack.policy.tenants import Tenant, TenantDirectory
from plantainstack.serving import ClientLimits, ServiceConfig, ServingConfig
from tests.policy.serving_samples import route

ACME = Tenant("acme")
BOLT = Tenant("bolt", priority=2)
DIRECTORY = TenantDirectory([(ACME, ["k-acme", "k-acme-2"]), (BOLT, ["k-bolt"])])
SERVICES = {
    "models": ServiceConfig("models", 10, ("m0",)),
    "app": ServiceConfig("app", 10, ()),
}
CFG = ServingConfig(1, (), SERVICES, ClientLimits(), DIRECTORY)
PRIVATE, PUBLIC = route(priority=4), route(public=True)
LAX = SimpleNamespace(strict_revocation=False, revocation=5.0)
STRICT = SimpleNamespace(strict_revocation=True, revocation=5.0)
KNOWN, UNKNOWN = ["Bearer k-acme"], ["Bearer k-none"]


def decide(authorization, age_s=0.5, options=LAX, on=PRIVATE, cfg=CFG):
    """Return the tenant, or the status and the reason of the refusal."""
    outcome = admit(cfg, on, authorization, age_s, options)
    if outcome.is_ok():
        return outcome.unwrap()
    reason, failure = outcome.unwrap_err()
    assert failure.outcome is Outcome.NOT_RUN
    return ERROR_TABLE[failure.kind].status, reason


@pytest.mark.parametrize("text", ["Bearer k", "bearer k", "BEARER  k "])
def test_key_is_read_with_any_case_of_the_scheme(text):
    assert presented_key([text]) == "k"


@pytest.mark.parametrize(
    "values",
    [[], [""], ["Bearer"], ["Bearer "], ["Basic k"], ["k"], ["Bearer k", "Bearer k"]],
)
def test_anything_but_one_bearer_key_counts_as_no_key(values):
    """Guards against two headers of which an endpoint or a proxy reads another one."""
    assert presented_key(values) is None
    assert decide(values) == (401, RefusalReason.MISSING_KEY)


def test_each_key_of_a_tenant_is_accepted():
    assert decide(["Bearer k-acme"]) == decide(["bearer k-acme-2"]) == ACME
    assert decide(["Bearer k-bolt"], on=None) == BOLT


def test_without_tenants_no_key_is_read():
    """Guards against refusals where clients send `Authorization` to endpoints."""
    cfg = CFG._replace(tenants=None)
    for options in (LAX, STRICT):
        assert decide(UNKNOWN, None, options, cfg=cfg) is None


def test_public_routes_need_no_key_but_recognise_one():
    for age_s, options in ((0.5, LAX), (None, STRICT)):
        assert decide([], age_s, options, PUBLIC) is None
        assert decide(UNKNOWN, age_s, options, PUBLIC) is None
        assert decide(KNOWN, age_s, options, PUBLIC) == ACME


def test_without_a_configuration_nothing_is_denied():
    """Guards against a 401 for a good key at an instance that has just started."""
    assert decide(KNOWN, None, cfg=None) == (503, RefusalReason.NO_CONFIGURATION)


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        (1.3, (401, RefusalReason.UNKNOWN_KEY)),
        (CONFIRMED_MAX_S, (503, RefusalReason.NOT_CONFIRMED)),
        (None, (503, RefusalReason.NOT_CONFIRMED)),
    ],
)
def test_unknown_key_is_denied_only_by_a_recent_configuration(age_s, expected):
    """Guards against a 401 for a key that was added while the store was away."""
    assert decide(UNKNOWN, age_s) == expected
    assert decide(KNOWN, age_s) == ACME


@pytest.mark.parametrize(
    ("age_s", "admitted"), [(4.49, True), (4.5, False), (None, False)]
)
def test_strict_revocation_admits_keys_only_below_its_limit(age_s, admitted):
    """Guards against a removed key that is accepted by a cut off or paused instance."""
    expected = ACME if admitted else (503, RefusalReason.REVOCATION)
    assert decide(KNOWN, age_s, STRICT) == expected
    assert decide(KNOWN, age_s, LAX) == ACME
    assert decide([], age_s, STRICT) == (401, RefusalReason.MISSING_KEY)


def test_failures_do_not_name_the_key():
    """Guards against keys in logs and answers."""
    for age_s in (0.5, None):
        assert "k-none" not in repr(admit(CFG, PRIVATE, UNKNOWN, age_s, LAX))
    assert "k-acme" not in repr(CFG)


@pytest.mark.parametrize(
    ("tenant", "service", "rank", "expected"),
    [
        ("bolt", "models", 4, ("bolt", 2)),
        ("acme", "models", 4, ("acme", 4)),
        ("acme", "models", 12, ("acme", 9)),
        ("", "models", 4, ("", 4)),
        ("removed", "models", 4, ("removed", 4)),
        ("bolt", "app", 4, ("bolt", None)),
    ],
)
def test_priority_is_that_of_the_tenant_or_of_the_route(
    tenant, service, rank, expected
):
    assert endpoint_identity(CFG, route(priority=rank), service, tenant) == expected


def test_without_tenants_endpoints_get_no_priority():
    """Guards against new headers in deployments without tenants."""
    cfg = CFG._replace(tenants=None)
    assert endpoint_identity(cfg, PRIVATE, "models", "") == (None, None)
    assert endpoint_identity(cfg, PRIVATE, "models", "acme") == ("acme", None)
