"""Tests of the budget that the parts of a process share."""

import math

from plantainstack.policy.memory_budget import MemoryBudget


def budget_of(total, **held):
    budget = MemoryBudget(total)
    for part in held:
        budget.add_part(part, lambda part=part: held[part])
    return budget


def test_parts_leave_to_each_other_what_they_do_not_hold():
    """Guards against parts that keep to limits of their own and together exceed all."""
    budget = budget_of(100, answers=30, bodies=20)
    assert (budget.left_for("answers"), budget.left_for("bodies")) == (80, 70)
    assert budget.left_for("batches") == 50
    assert budget_of(100, answers=130).left_for("bodies") == 0


def test_what_can_be_reclaimed_does_not_keep_out_others():
    """Guards against requests that are refused for cached results."""
    budget = budget_of(100, answers=30)
    cached = 60

    def reclaim():
        nonlocal cached
        cached = min(cached, budget.left_for("cache"))

    budget.add_part("cache", lambda: cached, reclaim)
    assert (budget.left_for("bodies"), budget.left_for("cache")) == (70, 70)
    budget.add_part("bodies", lambda: 50)
    budget.reclaim()
    assert cached == 20


def test_single_large_request_is_served_while_there_are_no_batches():
    """Guards against a legal request that a small instance never takes."""
    budget = budget_of(100, answers=30)
    assert budget.left_beside_batches("bodies") == math.inf
    budget.add_part("batches", lambda: 10)
    assert budget.left_beside_batches("bodies") == 60
