"""An HTTP connection that keeps to the budget of clients."""

import asyncio
import time

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from plantainstack import log, metrics
from plantainstack.front.parsing import (
    EVENTS_AT_ONCE,
    EVENTS_PER_TURN,
    BoundedConnection,
    HeldFlow,
    ParserTurns,
    is_closed_by_peer,
)
from plantainstack.policy.client_budget import (
    READ_SIZE,
    Client,
    ClientBudget,
    Cost,
    Stage,
)

# Time for a client to read a refusal before its connection is closed. A connection
# closed with unread bytes is reset, and the refusal may be lost.
LINGER_S = 2.0
# Data is copied from here before the next connection is read.
_READ_BUFFER = memoryview(bytearray(READ_SIZE))


class BudgetProtocol(H11Protocol, asyncio.BufferedProtocol, Client):
    """Parse a bounded number of events at once, and none after a refusal."""

    def __init__(self, config, *args, **kwargs):
        super().__init__(config, *args, **kwargs)
        self.conn = BoundedConnection(h11.SERVER, config.h11_max_incomplete_event_size)
        self._budget: ClientBudget = config.client_budget
        self._turns: ParserTurns = config.parser_turns
        self._is_waiting = False
        self._discards = False
        self._unparsed = 0
        self._parser_s = 0.0
        self._delivered = 0
        self._used_at = self.loop.time()
        self._linger_timer = None

    def connection_made(self, transport) -> None:
        """Count the connection, which may close another one."""
        super().connection_made(transport)
        self.flow = HeldFlow(transport)
        self._budget.add(self)

    def connection_lost(self, exc) -> None:
        """Release what the connection takes."""
        self._budget.remove(self)
        self._discard()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _READ_BUFFER[: self._budget.read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        if self._discards:
            return
        if not self._budget.read_in_turn:
            self.loop.call_soon(self._budget.end_turn)
        self._budget.read_in_turn += nbytes
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received data, or let it wait for the connection's turn."""
        self._used_at = self.loop.time()
        self._unset_keepalive_if_required()
        self.conn.receive_data(data)
        if self._is_waiting:
            self._count_unparsed()
        else:
            self.parse(EVENTS_AT_ONCE)

    def parse(self, events: int) -> None:
        """Parse at most a number of events."""
        self.conn.allowance = events
        self.handle_events()

    def take_turn(self) -> None:
        """Parse more events of data that has been read before."""
        self._is_waiting = False
        if self._discards or self.transport.is_closing():
            return
        if is_closed_by_peer(self.transport.get_extra_info("socket")):
            self.close_for("disconnected")
        else:
            self.parse(EVENTS_PER_TURN)

    def handle_events(self) -> None:
        """Handle events; pause reading while there are more."""
        if self._discards or self.transport.is_closing():
            return
        begun_at = time.perf_counter()
        self.conn.is_starved = False
        super().handle_events()
        self._parser_s += time.perf_counter() - begun_at
        self._count_unparsed()
        is_starved = self.conn.is_starved and not self.transport.is_closing()
        self.flow.hold(is_starved)
        if is_starved and not self._is_waiting:
            self._is_waiting = True
            self._turns.add(self)

    def on_response_complete(self) -> None:
        """Prepare for the next request; discard the rest of a refused chunked body."""
        if self.conn.their_state is h11.DONE:
            self._delivered += 1
            self._parser_s = 0.0
        # Afterwards, both may be those of the next request, if it was pipelined.
        is_refused_in_chunks = self.conn.their_state is h11.SEND_BODY and any(
            name == b"transfer-encoding" for name, _ in self.headers
        )
        super().on_response_complete()
        if is_refused_in_chunks and not self.transport.is_closing():
            self._unset_keepalive_if_required()
            self._discard()
            self.flow.hold(False)
            self.transport.write_eof()
            self._linger_timer = self.loop.call_later(LINGER_S, self.transport.abort)

    def cost(self) -> Cost:
        """Return what the connection takes now."""
        unread = self.transport.get_write_buffer_size()
        unused = len(self.cycle.body) if self.cycle else 0
        return Cost(
            self._stage(unread),
            self._unparsed + unused + unread,
            self._parser_s,
            self._delivered,
            self._used_at,
        )

    def close_for(self, cause: str) -> None:
        """Close the connection at once, and record why."""
        cost = self.cost()
        metrics.CLIENTS_CLOSED.labels(cause).inc()
        log.event(
            "client.closed",
            cause=cause,
            stage=cost.stage.name.lower(),
            bytes=cost.held,
            parser_s=round(cost.parser_s, 4),
            delivered=cost.delivered,
        )
        self._discard()
        self.transport.abort()

    def has_undecided_data(self) -> bool:
        """Return whether all data was parsed and does not make a whole event."""
        return not self.conn.is_starved and self._unparsed > 0

    def _stage(self, unread: int) -> Stage:
        if self.conn.their_state is h11.IDLE:
            return Stage.RECEIVING if self._unparsed else Stage.IDLE
        if self._discards or self.conn.their_state is h11.SEND_BODY:
            return Stage.RECEIVING
        return Stage.UNREAD if unread else Stage.RUNNING

    def _discard(self) -> None:
        """Parse nothing more, and release the data that is not parsed."""
        self._discards = True
        self._budget.unparsed -= self._unparsed
        self._unparsed = 0

    def _count_unparsed(self) -> None:
        # The public `trailing_data` copies all the data.
        unparsed = len(self.conn._receive_buffer)
        self._budget.unparsed += unparsed - self._unparsed
        self._unparsed = unparsed
