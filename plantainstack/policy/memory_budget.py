"""Share the memory of a process between the parts that keep something for others."""

import math
from collections.abc import Callable

# Parts that hold batches and their results.
BATCH_PARTS = frozenset(("batches", "loading", "unwritten"))


class MemoryBudget:
    """Adds up the bytes that the parts of a process report.

    A part with `reclaim` gives up what it holds for the others, by that function.
    `on_part` is called with each part and the function that tells what it holds.
    """

    def __init__(
        self,
        total: int,
        on_part: Callable[[str, Callable[[], int]], None] = lambda part, held: None,
    ):
        self.total = total
        self._on_part = on_part
        self._held: dict[str, Callable[[], int]] = {}
        self._reclaim: dict[str, Callable[[], None]] = {}

    def add_part(
        self,
        part: str,
        held: Callable[[], int],
        reclaim: Callable[[], None] | None = None,
    ) -> None:
        """Count what a part holds."""
        self._held[part] = held
        if reclaim is not None:
            self._reclaim[part] = reclaim
        self._on_part(part, held)

    def left_for(self, part: str) -> int:
        """Return the bytes that a part may hold beside the others.

        What can be reclaimed counts for parts that can be reclaimed themselves only.
        """
        ignored = () if part in self._reclaim else self._reclaim
        others = sum(
            held()
            for name, held in self._held.items()
            if name != part and name not in ignored
        )
        return max(0, self.total - others)

    def left_beside_batches(self, part: str) -> float:
        """Return what `left_for` does, without limit while there are no batches.

        A process with little memory serves a single large request as long as it can.
        """
        batches = sum(self._held[name]() for name in BATCH_PARTS & self._held.keys())
        return self.left_for(part) if batches else math.inf

    def reclaim(self) -> None:
        """Have parts give up what does not fit beside the others."""
        for reclaim in self._reclaim.values():
            reclaim()
