"""Share the outcome of a call among the tasks that ask for it."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from result import Result

from plantainstack.errors import Failure
from plantainstack.tasks import TaskRunner, contained

Call = Callable[[str], Awaitable[Result[Any, Failure]]]


class _Shared:
    def __init__(self):
        self.done = anyio.Event()
        self.outcome: Result[Any, Failure] | None = None


class SharedCalls:
    """Make one call at a time for each key, for all tasks that asked before it began.

    A call runs in a task group of its own, so a task that leaves does not cancel it
    for the others. It is given up after `timeout_s`.
    """

    def __init__(self, tasks: TaskRunner, call: Call, timeout_s: float):
        self._tasks = tasks
        self._call = call
        self._timeout_s = timeout_s
        self._queued: dict[str, _Shared] = {}
        self._running: set[str] = set()

    async def call(self, key: str) -> Result[Any, Failure] | None:
        """Return the outcome of a call that begins after this one, or None."""
        shared = self._queued.setdefault(key, _Shared())
        if key not in self._running:
            self._running.add(key)
            self._tasks.start_soon(self._run, key)
        await shared.done.wait()
        return shared.outcome

    async def _run(self, key: str) -> None:
        try:
            while (shared := self._queued.pop(key, None)) is not None:
                with contained("SharedCalls._run", call=key):
                    with anyio.move_on_after(self._timeout_s):
                        shared.outcome = await self._call(key)
                shared.done.set()
        finally:
            self._running.discard(key)
