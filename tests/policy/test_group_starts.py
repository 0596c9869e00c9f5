"""Tests of the order in which the items of groups start."""

from plantainstack.policy.group_starts import FOLLOW_MAX_S, WAITS_MAX, GroupStarts
from tests.policy.serving_samples import item

ITEMS = [item(f"{group}{number}", group) for group in "ab" for number in range(3)]


def started(starts, now, hit=False, wait_s=1.0):
    """Start the items that may start at a time; return their ids."""
    found = []
    while (each := starts.next(now)) is not None:
        starts.record_started(hit, wait_s, now)
        found.append(each.id)
    return found


def test_items_follow_the_first_one_of_their_group():
    """Guards against items that reach an endpoint before it can reuse their prompt."""
    starts = GroupStarts(ITEMS, lambda each: each.group)
    assert started(starts, 0.0) == ["a0", "b0"]
    starts.record_first_event(ITEMS[3])
    assert started(starts, 0.01, hit=True) == ["b1", "b2"]
    assert starts.has_waited(ITEMS[4]) and not starts.has_waited(ITEMS[3])
    assert started(starts, starts.next_at(), hit=True) == ["a1", "a2"]


def test_group_waits_again_at_another_endpoint_but_not_for_ever():
    """Guards against items that prefill side by side, and against a late group."""
    starts = GroupStarts(
        [item(f"i{n}", "a") for n in range(9)], lambda each: each.group
    )
    now, rounds = 0.0, []
    while found := started(starts, now):
        rounds.append(found)
        now = starts.next_at()
    assert [len(each) for each in rounds] == [1] * WAITS_MAX + [9 - WAITS_MAX]
    assert now <= WAITS_MAX * FOLLOW_MAX_S


def test_items_that_share_nothing_start_in_order_at_once():
    """Guards against a delay where no prompt is shared."""
    starts = GroupStarts(ITEMS, lambda each: None)
    assert started(starts, 0.0) == [each.id for each in ITEMS]
    assert starts.next(0.0) is None


def test_cached_prompt_lets_all_items_start_in_order_at_once():
    """Guards against a delay for a group that comes again."""
    starts = GroupStarts(ITEMS, lambda each: each.group)
    assert started(starts, 0.0, hit=True) == [each.id for each in ITEMS]
