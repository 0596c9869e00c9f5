"""Order the items of a batch, and decide when a batch has lost its owner.

A step ends with its longest item. The items that are likely to be long are therefore
started first, at the fastest endpoints, and the others follow group by group.
"""

from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from plantainstack.serving import Batch, Item

# About a twelfth of the items are in the tail of the lengths, according to the
# users' site files. Hints are usually wrong by a factor of 1.6, for which a
# quarter of the items leaves enough margin.
LONG_SHARE = 0.25
# The owner of an open batch renews its ownership at least this often.
OWNER_RENEWAL_INTERVAL_S = 0.45
# Three renewals and the pause between reads of a feed. Taking a batch over from an
# owner that is still alive costs little, since the text of its items is stored.
OWNER_TIMEOUT_S = 1.6
# Memory that an instance needs for each item of the batches that it runs, without the
# texts of the items, their bodies and headers.
ITEM_BYTES = 1200
# Share of the memory for the bodies and headers of the batches that run.
CONTENT_SHARE = 1 / 2
# Readers may return to a batch for 120 s after it was submitted.
RETENTION_S = 150.0
# Most items end within 1.5 s; the text of longer ones is stored while it grows.
CHECKPOINT_MIN_AGE_S = 1.2
CHECKPOINT_INTERVAL_S = 1.0
# An owner shares the latencies of endpoints with other instances this often.
LATENCY_SHARE_INTERVAL_S = 1.0


class ItemOrder(NamedTuple):
    """Hold the items that are likely to be long and the others, both in start order."""

    long: list[Item]
    others: list[Item]


def item_order(batch: Batch) -> ItemOrder:
    """Return the likely long items, longest first, and the others group by group.

    Groups are ordered by their longest item.
    """
    by_hint = sorted(batch.items, key=lambda item: item.length_hint, reverse=True)
    long = by_hint[: ceil(LONG_SHARE * len(by_hint))]
    long_ids = {item.id for item in long}
    groups: dict[str, list[Item]] = {}
    for item in batch.items:
        groups.setdefault(item.group or item.id, []).append(item)
    by_length = sorted(groups.values(), key=_longest, reverse=True)
    others = [item for group in by_length for item in group if item.id not in long_ids]
    return ItemOrder(long, others)


def owner_lost(
    owner: str, seen_at: float, feed_healthy_since: float, now: float
) -> bool:
    """Return whether another instance should take over a batch.

    `seen_at` is the time of the last renewal. Time before `feed_healthy_since` does not
    count, since this process could not have seen a renewal then.
    """
    if not owner:
        return True
    return now - max(seen_at, feed_healthy_since) > OWNER_TIMEOUT_S


class BatchSize(NamedTuple):
    """Count the items of batches, and the bytes of their bodies and headers."""

    items: int = 0
    content: int = 0

    def memory_bytes(self) -> int:
        """Return about how much memory the batches take while they run."""
        return self.items * ITEM_BYTES + self.content


def storing_bytes(size: BatchSize, object_bytes_max: int) -> int:
    """Return the memory that a batch takes at most while it is stored.

    These are its items, once more encoded, and twice compressed: the parts and the
    whole, or the whole and what is on its way.
    """
    compressed = min(size.content, object_bytes_max)
    return size.memory_bytes() + size.content + 2 * compressed


def batch_size(batch: Batch) -> BatchSize:
    """Return the size of a batch."""
    content = 0
    for item in batch.items:
        content += len(item.body)
        content += sum(len(name) + len(value) for name, value in item.headers)
        if item.reward_call is not None:
            content += len(item.reward_call.body)
    return BatchSize(len(batch.items), content)


def total_size(sizes: Iterable[BatchSize]) -> BatchSize:
    """Return the size of several batches together."""
    found = list(sizes)
    return BatchSize(
        sum(size.items for size in found), sum(size.content for size in found)
    )


def has_room(size: BatchSize, running: BatchSize, memory: int) -> bool:
    """Return whether a batch fits into the memory of an instance, in bytes.

    `running` is the size of the batches that the instance runs. Their content takes
    CONTENT_SHARE of the memory at most, since a batch is held several times while it
    is accepted or read. A batch that was accepted by an instance with more memory may
    fit nowhere else.
    """
    together = total_size((size, running))
    fits = together.content <= memory * CONTENT_SHARE
    return fits and together.memory_bytes() <= memory


def removal_due(owner: str, instance: str, age_s: float, *, is_final: bool) -> bool:
    """Return whether an instance should remove a batch of this age.

    A batch that can still get results is kept. The last owner removes the others.
    Other instances do so only after twice the retention period, in case the owner has
    gone; otherwise all of them would remove the same rows at the same time.
    """
    return is_final and age_s > (RETENTION_S if owner == instance else 2 * RETENTION_S)


def _longest(group: list[Item]) -> int:
    return max(item.length_hint for item in group)
