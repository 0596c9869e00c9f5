"""Decide which samples of a step wait for the next weight version."""


def waits_for_next(group: int, groups: int, fresh_share: float) -> bool:
    """Return whether a group waits; groups are numbered from 0.

    Groups stay whole, since their samples share one cached prompt.
    """
    return group >= round(groups * (1 - fresh_share))
