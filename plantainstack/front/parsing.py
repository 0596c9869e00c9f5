"""Bound the time that parsing requests takes in one turn of the event loop."""

import asyncio
import select
import time
from collections import deque

import h11
from uvicorn.protocols.http.flow_control import FlowControl

from plantainstack.tasks import contained

# Events parsed at once when data arrives; an ordinary request has three.
EVENTS_AT_ONCE = 16
# Events of one connection in its turn, and time of all connections in one turn of
# the loop. A chunk of one byte takes about 20 microseconds.
EVENTS_PER_TURN = 64
TURN_S = 0.004


class BoundedConnection(h11.Connection):
    """Parses at most `allowance` events, then reports that it needs data."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.allowance = EVENTS_AT_ONCE
        self.is_starved = False

    def next_event(self):
        """Return the next event, or NEED_DATA also if there are events left."""
        if self.allowance <= 0:
            self.is_starved = True
            return h11.NEED_DATA
        self.allowance -= 1
        return super().next_event()


class ParserTurns:
    """Gives the connections whose data is not yet parsed their turns."""

    def __init__(self):
        self._waiting = deque()
        self._is_scheduled = False

    def add(self, conn) -> None:
        """Let a connection, which is not waiting, parse in a later turn."""
        self._waiting.append(conn)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        end = time.perf_counter() + TURN_S
        while self._waiting and time.perf_counter() < end:
            with contained("ParserTurns._run"):
                self._waiting.popleft().take_turn()
        self._schedule()


class HeldFlow(FlowControl):
    """Pauses reading also while the data that was read is not yet parsed."""

    def __init__(self, transport):
        super().__init__(transport)
        self._is_held = False

    def hold(self, held: bool) -> None:
        """Pause reading, or resume it unless the application has paused it."""
        if held:
            # The server resumes the transport itself after the body of a refusal.
            self._transport.pause_reading()
        elif self._is_held and not self.read_paused:
            self._transport.resume_reading()
        self._is_held = held

    def pause_reading(self) -> None:
        """Pause reading for the application."""
        if not self.read_paused:
            self.read_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading for the application."""
        if self.read_paused:
            self.read_paused = False
            if not self._is_held:
                self._transport.resume_reading()


def is_closed_by_peer(sock) -> bool:
    """Return whether the peer will send nothing more, also if data is unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
