"""The system clock, and a fake clock for tests and the benchmark."""

import heapq
import itertools
import time
from abc import ABC, abstractmethod

import anyio


class Clock(ABC):
    """Source of time; every deadline is a monotonic time of this clock, in seconds."""

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


# Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes time during which the machine is
# suspended, so leases and deadlines also expire during a suspension.
_SUSPEND_AWARE_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock(Clock):
    """Clock of the operating system."""

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
    """Clock whose time changes only when a test advances it."""

    def __init__(self, now: float = 1000.0, wall: float = 1_700_000_000.0):
        self._now = now
        self._wall_offset = wall - now
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, anyio.Event]] = []

    def now(self) -> float:
        """Return the simulated monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the simulated Unix time in seconds."""
        return self._now + self._wall_offset

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a test advances the clock to the monotonic deadline."""
        if deadline <= self._now:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        heapq.heappush(self._sleepers, (deadline, next(self._order), event))
        await event.wait()

    async def advance(self, seconds: float) -> None:
        """Advance the time, waking each sleeper at its own deadline."""
        end = self._now + seconds
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            event.set()
            await anyio.wait_all_tasks_blocked()
        self._now = end
        await anyio.wait_all_tasks_blocked()

    def step_wall(self, seconds: float) -> None:
        """Step only the wall clock, as a time correction does."""
        self._wall_offset += seconds

    def jump(self, seconds: float) -> None:
        """Advance the time without waking sleepers, as when the process is frozen."""
        self._now += seconds
