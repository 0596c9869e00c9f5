"""Clocks: the system's for the daemon, a fake one for tests and the benchmark."""

import heapq
import itertools
import time
from abc import ABC, abstractmethod

import anyio


class Clock(ABC):
    """Tell the time and wait; every deadline is a time of this clock."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    @abstractmethod
    async def sleep_until(self, deadline: float) -> None:
        """Wait until the monotonic deadline, in seconds."""

    def deadline_from_wall(self, wall: float) -> float:
        """Convert a Unix time in seconds to a monotonic deadline."""
        return self.now() + (wall - self.wall())

    def wall_from_deadline(self, deadline: float) -> float:
        """Convert a monotonic deadline to a Unix time in seconds."""
        return self.wall() + (deadline - self.now())


# Unlike CLOCK_MONOTONIC, counts the time for which a machine is suspended, so that
# leases and deadlines end while it sleeps.
_SUSPEND_AWARE_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.clock_gettime(_SUSPEND_AWARE_CLOCK)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep_until(self, deadline: float) -> None:
        """Wait until the monotonic deadline, in seconds."""
        await anyio.sleep(max(0.0, deadline - self.now()))


class FakeClock(Clock):
    """Keep a time that moves only when a test advances it."""

    def __init__(self, now: float = 1000.0, wall: float = 1_700_000_000.0):
        self._now = now
        self._wall_offset = wall - now
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, anyio.Event]] = []

    def now(self) -> float:
        """Return the fake monotonic seconds."""
        return self._now

    def wall(self) -> float:
        """Return the fake Unix time in seconds."""
        return self._now + self._wall_offset

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a test advances the clock to the deadline."""
        if deadline <= self._now:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        heapq.heappush(self._sleepers, (deadline, next(self._order), event))
        await event.wait()

    async def advance(self, seconds: float) -> None:
        """Move time on, waking each sleeper at its own deadline."""
        end = self._now + seconds
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            event.set()
            await anyio.wait_all_tasks_blocked()
        self._now = end
        await anyio.wait_all_tasks_blocked()

    def step_wall(self, seconds: float) -> None:
        """Move the time of day alone, as a correction does."""
        self._wall_offset += seconds

    def jump(self, seconds: float) -> None:
        """Move time on without waking anything, as a frozen process sees it."""
        self._now += seconds
