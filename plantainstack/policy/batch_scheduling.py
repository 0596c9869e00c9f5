"""Order the items of a batch, and decide when a batch has lost its owner.

Answers steps that end with their longest items: the likely long ones are begun
first, at the fastest endpoints, and the others group by group.
"""

from math import ceil
from typing import NamedTuple

from plantainstack.serving import Batch, Item

# The tail of the lengths is about a twelfth of the items (the users' site files);
# hints are off by a factor of 1.6 as a rule, which a quarter allows for.
LONG_SHARE = 0.25
# An owner writes at least this often while its batch is open.
OWNER_RENEWAL_INTERVAL_S = 0.45
# Three renewals and the pause of a feed; a takeover from an owner that lives costs
# little, since the text of its items is stored.
OWNER_TIMEOUT_S = 1.6
# Readers may come back to a batch for 120 s after it was submitted.
RETENTION_S = 150.0
# Most items end within 1.5 s; the text of those that do not is stored as it grows.
CHECKPOINT_MIN_AGE_S = 1.2
CHECKPOINT_INTERVAL_S = 1.0
# Instances that own no batch of a service learn its endpoints' paces this often.
LATENCY_SHARE_INTERVAL_S = 1.0


class ItemOrder(NamedTuple):
    """Hold the items that are likely long, then the others, in their order."""

    long: list[Item]
    others: list[Item]


def item_order(batch: Batch) -> ItemOrder:
    """Return the likely long items, longest first, and the others by group."""
    ranked = sorted(batch.items, key=lambda item: item.length_hint, reverse=True)
    long = ranked[: ceil(LONG_SHARE * len(ranked))]
    taken = {item.id for item in long}
    groups: dict[str, list[Item]] = {}
    for item in batch.items:
        groups.setdefault(item.group or item.id, []).append(item)
    by_length = sorted(groups.values(), key=_longest, reverse=True)
    others = [item for group in by_length for item in group if item.id not in taken]
    return ItemOrder(long, others)


def owner_lost(
    owner: str, seen_at: float, feed_healthy_since: float, now: float
) -> bool:
    """Return whether another instance is to take a batch over.

    Only the time in which this process could have seen a renewal counts.
    """
    if not owner:
        return True
    return now - max(seen_at, feed_healthy_since) > OWNER_TIMEOUT_S


def removal_due(owner: str, instance: str, age_s: float) -> bool:
    """Return whether an instance is to remove a batch.

    The last owner does so; others only if it is not there to do it, or all of them
    would remove the same rows at the same time.
    """
    return age_s > (RETENTION_S if owner == instance else 2 * RETENTION_S)


def _longest(group: list[Item]) -> int:
    return max(item.length_hint for item in group)
