"""Tests of the fleet configuration."""

import pytest

from plantainstack.errors import ConfigurationError
from plantainstack.settings.fleet import FleetConfig, Scope, parse_fleet

VALID = """\
[defaults]
retry_ratio = 0.2
[exception bookings]
service = booking-app
option = max_attempts
value = 1
reason = Bookings block a fitter's afternoon when they run twice.
[exception tunis-a bookings]
service = booking-app
data_centre = tunis-a
option = max_attempts
value = 2
reason = Trial agreed with the shops.
"""


def test_most_specific_exception_wins():
    cfg = FleetConfig(1, parse_fleet(VALID, "fleet.ini"))
    assert cfg.defaults().retry_ratio == 0.2
    assert cfg.defaults().max_attempts == 3
    assert cfg.scoped(Scope(service="booking-app")).max_attempts == 1
    scope = Scope(service="booking-app", data_centre="tunis-a")
    assert cfg.scoped(scope).max_attempts == 2


@pytest.mark.parametrize(
    ("old", "new", "option"),
    [
        ("retry_ratio", "retry_rate", "[defaults] retry_rate"),
        ("0.2", "20 s", "[defaults] retry_ratio"),
        ("reason = Trial agreed with the shops.", "reason =", "reason"),
        ("value = 1", "value = 1\nvalue = 2", "duplicate"),
        ("service = booking-app\noption", "option", "scope"),
        ("[defaults]", "[default]", "[default]"),
    ],
)
def test_invalid_configuration_is_refused(old, new, option):
    """Guards against applying an invalid configuration."""
    with pytest.raises(ConfigurationError) as caught:
        parse_fleet(VALID.replace(old, new, 1), "fleet.ini")
    assert any(option in str(problem) for problem in caught.value.problems)
