"""Decide which samples of a step wait for the next weight version."""

from typing import NamedTuple


def waits_for_next(group: int, groups: int, fresh_share: float) -> bool:
    """Return whether a group waits; groups are numbered from 0.

    Groups stay whole, since their samples share one cached prompt.
    """
    return group >= round(groups * (1 - fresh_share))


class FreshnessWait(NamedTuple):
    """Hold back a share of a step's groups, until Unix seconds `until` at most."""

    groups: int
    share: float
    policy_version: int
    until: float

    def holds(self, group: int, newest: int, wall: float) -> bool:
        """Return whether a group still waits for a version after the policy's."""
        if newest > self.policy_version or wall >= self.until:
            return False
        return waits_for_next(group, self.groups, self.share)
