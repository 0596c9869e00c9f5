"""Tasks of the process: an exception that nobody expected costs only what raised it."""

import contextlib
import traceback
from collections.abc import Awaitable, Callable, Iterator

from anyio.abc import TaskGroup

from plantainstack import log, metrics
from plantainstack.clock import Clock

# Delay before a loop is run again after an exception, doubled with each one in a row.
RESTART_MIN_S = 0.1
RESTART_MAX_S = 5.0
RESTART_DOUBLINGS_MAX = 10
# A loop that has run for this long begins again with the shortest delay.
RECOVERED_S = 30.0

Task = Callable[..., Awaitable[None]]


def record_exception(task: str, exc: Exception, **fields) -> None:
    """Log an exception that nobody expected, with its traceback, and count it."""
    metrics.TASK_FAILURES.labels(task).inc()
    text = "".join(traceback.format_exception(exc))
    log.event("task.failed", task=task, error=repr(exc), traceback=text, **fields)


@contextlib.contextmanager
def contained(task: str, **fields) -> Iterator[None]:
    """Go on after the block if it raises an exception, which is recorded."""
    try:
        yield
    except Exception as exc:
        record_exception(task, exc, **fields)


def restart_delay_s(failures: int) -> float:
    """Return the delay in seconds after a number of exceptions in a row."""
    doublings = min(failures - 1, RESTART_DOUBLINGS_MAX)
    return min(RESTART_MAX_S, RESTART_MIN_S * 2**doublings)


class TaskRunner:
    """Start the tasks of plug-ins in the task group of the process.

    `required` is that group itself, for tasks without which the process cannot serve:
    an exception in one of them ends it.
    """

    def __init__(self, required: TaskGroup, clock: Clock):
        self.required = required
        self._clock = clock

    def start_soon(self, task: Task, *args) -> None:
        """Start a task; an exception ends the task only."""
        self.required.start_soon(self._run, task, args)

    def start_loop(self, task: Task, *args) -> None:
        """Start a task that is run again after an exception, until it returns."""
        self.required.start_soon(self._repeat, task, args)

    async def _run(self, task: Task, args) -> None:
        with contained(_name(task)):
            await task(*args)

    async def _repeat(self, task: Task, args) -> None:
        failures = 0
        while True:
            begun_at = self._clock.now()
            try:
                return await task(*args)
            except Exception as exc:
                record_exception(_name(task), exc)
            now = self._clock.now()
            failures = 1 if now - begun_at > RECOVERED_S else failures + 1
            await self._clock.sleep_until(now + restart_delay_s(failures))


def _name(task: Task) -> str:
    return getattr(task, "__qualname__", type(task).__qualname__)
