"""Order the items of a batch, and decide when a batch has lost its owner.

Answers steps that earn by whole groups: groups are begun one after the other, the
longest first, so that the last one does not end long after the others.
"""

from plantainstack.serving import Batch, Item

# An owner writes at least this often while its batch is open.
RENEW_S = 0.6
# Three renewals; a takeover from an owner that lives costs little, since the text
# of its items is stored.
OWNER_SILENCE_S = 2.0
# Readers may come back to a batch for 120 s after it was submitted.
KEEP_S = 150.0
# Most items end within 1.5 s; the text of those that do not is stored as it grows.
CHECKPOINT_AGE_S = 1.2
CHECKPOINT_GAP_S = 1.0


def item_order(batch: Batch) -> list[Item]:
    """Return the items by group.

    The groups that a trainer brings from an earlier step come first in a batch
    and stay first, since it waits for exactly these.
    """
    groups: dict[str, list[Item]] = {}
    for item in batch.items:
        groups.setdefault(item.group or item.id, []).append(item)
    ranked = sorted(groups.values(), key=_longest, reverse=True)
    return [item for group in ranked for item in group]


def owner_lost(
    owner: str, seen_at: float, feed_healthy_since: float, now: float
) -> bool:
    """Return whether another instance is to take a batch over.

    Only the time in which this process could have seen a renewal counts.
    """
    if not owner:
        return True
    return now - max(seen_at, feed_healthy_since) > OWNER_SILENCE_S


def removal_due(owner: str, instance: str, age_s: float) -> bool:
    """Return whether an instance is to remove a batch.

    The last owner does so; others only if it is not there to do it, or all of them
    would remove the same rows at the same time.
    """
    return age_s > (KEEP_S if owner == instance else 2 * KEEP_S)


def _longest(group: list[Item]) -> int:
    return max(item.length_hint for item in group)
