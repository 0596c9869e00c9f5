"""Tests of the settings of an instance that uses a metadata store."""

import re
from pathlib import Path

import pytest

from plantainstack.errors import ConfigurationError
from plantainstack.settings.node import parse_node

TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "node.ini"
VALUES = {
    "node": "front-1",
    "zone": "dc-a",
    "ip": "10.0.0.1",
    "listen.front": "10.0.0.1:8000",
    "listen.ready": "10.0.0.1:8001",
    "provider.address": "10.0.0.9:8002",
    "bounds.grace_s": "8",
    "bounds.lease_ms": "3000",
    "bounds.drain_ms": "4000",
    "limits.memory_mb": "380",
    "limits.max_fds": "1638",
}
PLACEHOLDER = re.compile(r"{{[a-z_.]+}}")
SECTION = re.compile(r"{{#([a-z_.]+)}}(.*?){{/\1}}")


def filled_template(values=VALUES):
    def filled(match):
        value = values.get(match[1])
        return match[2].replace("{{.}}", value) if value else ""

    text = SECTION.sub(filled, TEMPLATE.read_text())
    for name, value in values.items():
        text = text.replace("{{" + name + "}}", value)
    # The platform leaves out what a deployment has no value for.
    return PLACEHOLDER.sub("", text)


def test_deployment_template_gives_valid_settings():
    """Guards against a deployment template that the daemon refuses."""
    settings = parse_node(filled_template(), "node.ini")
    assert settings.instance.id == "front-1"
    assert str(settings.store.address) == "10.0.0.9:8002"
    assert (settings.bounds.grace, settings.bounds.order_gap) == (8.0, 3.0)
    assert settings.bounds.endpoint_notice == 4.0
    assert settings.memory.limit == 380_000_000
    assert settings.memory.descriptors == 1638


def test_memory_limit_may_be_missing_in_the_deployment():
    """Guards against a deployment without this limit that cannot start."""
    values = {name: text for name, text in VALUES.items() if "limits" not in name}
    settings = parse_node(filled_template(values), "node.ini")
    assert settings.memory.limit == 128_000_000
    assert settings.memory.descriptors == 0


def test_deployment_without_tenants_and_duties_gets_defaults():
    """Guards against earlier deployments that cannot start or get new duties."""
    settings = parse_node(filled_template(), "node.ini")
    assert not settings.tenants.strict_revocation
    assert settings.duties.address is None
    assert settings.duties.kinds == ()


def test_settings_of_tenants_and_duties_are_read():
    """Guards against a deployment with duties that performs none."""
    values = {
        **VALUES,
        "bounds.strict_revoke": "true",
        "bounds.revoke_ms": "4000",
        "cloud.address": "10.0.0.8:8003",
        "cloud.duties": "usage_report,scaling,other",
        "cloud.duty_per_s": "40.0",
        "bounds.report_window_s": "5",
        "bounds.usage_late_s": "10",
    }
    settings = parse_node(filled_template(values), "node.ini")
    assert settings.tenants.strict_revocation
    assert settings.tenants.revocation == 4.0
    assert str(settings.duties.address) == "10.0.0.8:8003"
    assert settings.duties.kinds == ("usage_report", "scaling")
    assert settings.duties.calls_per_s == 40.0
    assert (settings.duties.usage_window, settings.duties.usage_due) == (5.0, 10.0)


@pytest.mark.parametrize("name", ["cloud.duty_per_s", "bounds.report_window_s"])
def test_rate_and_window_of_duties_are_not_zero(name):
    """Guards against a process that ends in a division by zero."""
    with pytest.raises(ConfigurationError):
        parse_node(filled_template({**VALUES, name: "0"}), "node.ini")


def test_all_problems_are_reported_at_once():
    text = filled_template().replace("8 s", "8").replace("10.0.0.9:8002", "store")
    with pytest.raises(ConfigurationError) as caught:
        parse_node(text + "[colours]\nred = 1\n", "node.ini")
    problems = " ".join(str(problem) for problem in caught.value.problems)
    assert all(name in problems for name in ("grace", "address", "colours"))
