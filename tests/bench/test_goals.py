"""Tests of the evaluation of the goals."""

import pytest

from bench.goals import evaluate
from bench.report import MEASURES

GOOD = dict.fromkeys(MEASURES, 0.0) | {
    "attempts_per_request": 1.2,
    "callers_on_time": 0.999,
    "trainer_idle_s": 5.0,
    "staleness_mean": 0.5,
}
NAIVE = {**GOOD, "trainer_idle_s": 10.0, "staleness_mean": 1.0}
BAD = [
    ("over_bound_delivered", 1.0),
    ("attempts_per_request", 1.21),
    ("callers_on_time", 0.998),
    ("trainer_idle_s", 5.1),
]


def test_goals_are_met_at_their_limits():
    for user in ("vannpost", "velocadre"):
        goals = evaluate(user, "peak", GOOD, NAIVE)
        assert len(goals) == 4
        assert all(goal.met for goal in goals)


@pytest.mark.parametrize(("measure", "value"), BAD)
def test_each_goal_can_be_missed(measure, value):
    """Guards against a goal that is reported as met for any value."""
    goals = evaluate("vannpost", "peak", {**GOOD, measure: value}, NAIVE)
    assert [goal.met for goal in goals].count(False) == 1
