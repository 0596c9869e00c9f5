"""Count the texts of running items as memory of answers."""

from collections.abc import Callable
from functools import partial

from plantainstack.policy.answer_memory import AnswerMemory, Reservation
from plantainstack.policy.item_runs import ItemRun
from plantainstack.serving import Endpoint


class ItemMemory:
    """Reserve the memory of the texts of a batch's items that are not complete.

    A text counts towards the endpoint that was asked last. `give_up` is called with
    the item whose text is given up for other answers, and discards that text.
    """

    def __init__(self, memory: AnswerMemory, give_up: Callable[[ItemRun], None]):
        self._memory = memory
        self._give_up = give_up
        self._held: dict[str, Reservation] = {}

    def begin(self, run: ItemRun, endpoint: Endpoint) -> None:
        """Count an item's text towards an endpoint that is about to be asked."""
        self.end(run)
        held = self._held[run.item.id] = self._memory.reserve(endpoint.id)
        held.give_up = partial(self._give_up, run)
        self.update(run)

    def update(self, run: ItemRun) -> None:
        """Count what an item's text takes now; a text is given up if not all fit."""
        held = self._held.get(run.item.id)
        if held is not None:
            held.resize(run.memory_bytes())

    def end(self, run: ItemRun) -> None:
        """Release the memory of an item that has ended or is asked for elsewhere."""
        held = self._held.pop(run.item.id, None)
        if held is not None:
            held.release()

    def end_all(self) -> None:
        """Release the memory of all items of a batch that has ended."""
        for held in self._held.values():
            held.release()
        self._held.clear()
