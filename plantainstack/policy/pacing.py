"""Limit how many endpoints of a service are away at once."""

from collections.abc import Collection, Sequence


def allowed_disruptions(
    wanted: Sequence[str], away: Collection[str], total: int, share_max: float
) -> list[str]:
    """Return which of the wanted endpoints may be swapped or restarted now.

    At least one may go while none is away, so that a small service moves on.
    """
    room = max(1, int(share_max * total)) - len(away)
    return [name for name in wanted if name not in away][: max(0, room)]
