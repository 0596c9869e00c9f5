"""The goals of design 1.8 that the benchmark can judge."""

from typing import NamedTuple

ATTEMPTS_MAX = 1.2
ON_TIME_MIN = 0.999
RATIO_MAX = 0.5
RATIO_MEASURE = {"vannpost": "trainer_idle_s", "velocadre": "staleness_mean"}


class Goal(NamedTuple):
    """Hold a goal and whether one run met it."""

    text: str
    value: float
    met: bool


def judge(user: str, scenario: str, ours: dict, naive: dict | None) -> list[Goal]:
    """Return the goals that apply to a scenario."""
    over = ours["over_bound_delivered"]
    attempts = ours["attempts_per_request"]
    goals = [
        Goal("samples delivered over the version bound: 0", over, over == 0),
        Goal("at most 1.2 attempts per request", attempts, attempts <= ATTEMPTS_MAX),
    ]
    if scenario != "peak":
        return goals
    on_time = ours["callers_on_time"]
    goals.append(Goal("99.9% of callers on time", on_time, on_time >= ON_TIME_MIN))
    if naive:
        name = RATIO_MEASURE[user]
        ratio = ours[name] / naive[name] if naive[name] else float("inf")
        goals.append(Goal(f"{name} at most half", ratio, ratio <= RATIO_MAX))
    return goals
