"""Goals of section 1.8 of the design that the benchmark can evaluate."""

from typing import NamedTuple

ATTEMPTS_MAX = 1.2
ON_TIME_MIN = 0.999
RATIO_MAX = 0.5
RATIO_MEASURE = {"vannpost": "trainer_idle_s", "velocadre": "staleness_mean"}


class Goal(NamedTuple):
    """A goal with the value of one run; a negative slack means that it was missed."""

    text: str
    value: float
    met: bool
    slack: float


def evaluate(user: str, scenario: str, ours: dict, naive: dict | None) -> list[Goal]:
    """Evaluate the goals that apply to a scenario, from its measures."""
    goals = [
        _at_most("samples delivered over the bound", ours["over_bound_delivered"], 0),
        _at_most("attempts per request", ours["attempts_per_request"], ATTEMPTS_MAX),
    ]
    if scenario != "peak":
        return goals
    on_time = ours["callers_on_time"]
    slack = on_time - ON_TIME_MIN
    text = f"callers on time, at least {ON_TIME_MIN}"
    goals.append(Goal(text, on_time, slack >= 0, slack))
    if naive:
        name = RATIO_MEASURE[user]
        ratio = ours[name] / naive[name] if naive[name] else float("inf")
        goals.append(_at_most(f"{name} to that of the baseline", ratio, RATIO_MAX))
    return goals


def _at_most(text: str, value: float, limit: float) -> Goal:
    slack = limit - value
    return Goal(f"{text}, at most {limit}", value, slack >= 0, slack)
