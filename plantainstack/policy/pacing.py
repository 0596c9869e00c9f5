"""Limit how many endpoints of a service are unavailable at a time."""

from collections.abc import Collection, Sequence


def allowed_disruptions(
    candidates: Sequence[str],
    unavailable: Collection[str],
    total: int,
    share_max: float,
) -> list[str]:
    """Return which of the candidates may be swapped or restarted now.

    At most the share `share_max` of `total` may be unavailable. One endpoint is always
    allowed while none is unavailable, so that small services make progress.
    """
    allowed = max(1, int(share_max * total)) - len(unavailable)
    return [name for name in candidates if name not in unavailable][: max(0, allowed)]
