"""The two user deployments: sizes from section 1.2 of the design, and settings.

The design gives no request rates. The scenarios set them so that callers use about
a third of the engines' capacity at peak while two trainers use the rest.
"""

from typing import NamedTuple

from bench.engine import ENGINE, PLAIN, PerformanceProfile
from plantainstack.settings.fleet import FleetConfig, parse_fleet


class User(NamedTuple):
    """Deployment of one user; `one_way_s` is the delay between data centres."""

    name: str
    data_centres: tuple[str, ...]
    service: str
    engines: int
    app: str
    apps: int
    instances: int
    one_way_s: float
    settings: str
    engine: PerformanceProfile = ENGINE
    plain: PerformanceProfile = PLAIN

    def config(self) -> FleetConfig:
        """Parse the settings into version 1 of the fleet configuration."""
        return FleetConfig(1, parse_fleet(self.settings, self.name))


VANNPOST = User(
    name="vannpost",
    data_centres=("bergen-a", "bergen-b", "forde"),
    service="raadgiver-llm",
    engines=5,
    app="tillatelse-app",
    apps=3,
    instances=10,
    one_way_s=0.004,
    settings="""\
[defaults]
""",
)
VELOCADRE = User(
    name="velocadre",
    data_centres=("tunis-a", "tunis-b", "tunis-c", "tunis-d"),
    service="fit-models",
    engines=5,
    app="booking-app",
    apps=4,
    instances=9,
    one_way_s=0.003,
    settings="""\
[exception fresh drafts]
service = fit-models
option = fresh_share
value = 0.65
reason = Drafts older than the previous version mislead fitters; waiting costs less.
""",
)
USERS = {user.name: user for user in (VANNPOST, VELOCADRE)}
