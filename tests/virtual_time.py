"""An event loop whose time advances only when nothing is left to run."""

import asyncio
import random
import selectors

import pytest

from plantainstack.clock import Clock


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Skip each wait, so that timers fire in the same order in every run.

    Only for tests without sockets and threads, which would take real time.
    """

    def __init__(self):
        self._now = 0.0
        super().__init__(_SkippingSelector(self))

    def time(self) -> float:
        """Return simulated monotonic seconds."""
        return self._now

    def skip(self, seconds: float) -> None:
        """Advance the time."""
        self._now += seconds


class _SkippingSelector(selectors.DefaultSelector):
    def __init__(self, loop: VirtualTimeLoop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        if timeout is None:
            return super().select()
        found = super().select(0)
        if not found:
            self._loop.skip(timeout)
        return found


class LoopClock(Clock):
    """Clock of the running event loop."""

    def __init__(self, wall: float = 1_700_000_000.0):
        self._wall = wall

    def now(self) -> float:
        """Return the loop's monotonic seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the simulated Unix time in seconds."""
        return self._wall + self.now()

    async def sleep_until(self, deadline: float) -> None:
        """Wait until the monotonic deadline, in seconds."""
        await asyncio.sleep(max(0.0, deadline - self.now()))


@pytest.fixture
def anyio_backend():
    """Run the tests of a module that imports this on virtual time."""
    return "asyncio", {"loop_factory": VirtualTimeLoop}


@pytest.fixture(autouse=True)
def seed_instances(monkeypatch):
    """Let instances, which seed their own generators, draw the same in every run."""

    class SeededRandom(random.Random):
        def __init__(self, seed=0):
            super().__init__(seed)

    monkeypatch.setattr(random, "Random", SeededRandom)
    random.seed(0)
