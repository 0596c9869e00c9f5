"""Tests of the order of items, and of the loss of owners."""

import pytest

from plantainstack.policy.batch_scheduling import (
    OWNER_RENEWAL_INTERVAL_S,
    OWNER_TIMEOUT_S,
    RETENTION_S,
    item_order,
    owner_lost,
    removal_due,
)
from tests.policy.serving_samples import batch, item


def test_likely_long_items_come_first_and_groups_stay_together():
    """Guards against a step whose longest items start last."""
    items = (
        item("a1", "a", 10),
        item("b1", "b", 10),
        item("c1", "c", 15),
        item("a2", "a", 20),
        item("b2", "b", 90),
        item("c2", "c", 50),
        item("c3", "c", 30),
        item("a3", "a", 10),
    )
    order = item_order(batch(*items))
    assert [each.id for each in order.long] == ["b2", "c2"]
    assert [each.id for each in order.others] == ["b1", "c1", "c3", "a1", "a2", "a3"]


def test_a_single_item_is_ordered():
    """Guards against an item that is left out of a batch of one."""
    order = item_order(batch(item("a1")))
    assert [each.id for each in order.long + order.others] == ["a1"]


@pytest.mark.parametrize(
    ("owner", "seen_at", "healthy_since", "lost"),
    [
        ("", 100.0, 0.0, True),
        ("x", 100.0, 0.0, False),
        ("x", 100.0 - OWNER_TIMEOUT_S - 0.1, 0.0, True),
        # This process could not see renewals while its feed was interrupted.
        ("x", 50.0, 99.0, False),
    ],
)
def test_an_owner_is_lost_after_missing_renewals_on_a_healthy_feed(
    owner, seen_at, healthy_since, lost
):
    """Guards against needless takeovers after an outage of the store."""
    assert owner_lost(owner, seen_at, healthy_since, 100.0) is lost


def test_one_missed_renewal_does_not_lose_the_owner():
    """Guards against takeovers after a single slow write."""
    assert 2 * OWNER_RENEWAL_INTERVAL_S < OWNER_TIMEOUT_S


@pytest.mark.parametrize(
    ("owner", "age_s", "due"),
    [
        ("me", RETENTION_S - 1, False),
        ("me", RETENTION_S + 1, True),
        ("other", RETENTION_S + 1, False),
        ("other", 2 * RETENTION_S + 1, True),
        ("", 2 * RETENTION_S + 1, True),
    ],
)
def test_old_batches_are_removed_by_their_last_owner(owner, age_s, due):
    """Guards against rows that all instances remove, or that none removes."""
    assert removal_due(owner, "me", age_s, is_final=True) is due
    assert not removal_due(owner, "me", age_s, is_final=False)


def test_batches_are_kept_while_readers_may_return():
    """Guards against results that are removed before a reader resumes."""
    assert RETENTION_S > 120
