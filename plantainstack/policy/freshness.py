"""Decide which groups of a step wait for the next weight version."""

from typing import NamedTuple


def waits_for_next(group: int, groups: int, fresh_share: float) -> bool:
    """Return whether a group waits for the next version; groups count from 0.

    The last `fresh_share` of the groups waits. Groups are not divided, since their
    samples share the cached prefix of one prompt.
    """
    return group >= round(groups * (1 - fresh_share))


class FreshnessWait(NamedTuple):
    """Delay a share of a step's groups, until Unix time `until` at the latest."""

    groups: int
    share: float
    policy_version: int
    until: float

    def holds(self, group: int, newest: int, wall: float) -> bool:
        """Return whether a group still waits for a version newer than the policy's.

        `wall` is the present Unix time.
        """
        if newest > self.policy_version or wall >= self.until:
            return False
        return waits_for_next(group, self.groups, self.share)
