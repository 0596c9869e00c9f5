"""Tests of the bounds on parsing in one turn of the event loop."""

import anyio
import h11
import pytest

from plantainstack.front.parsing import BoundedConnection, ParserTurns

pytestmark = pytest.mark.anyio


class EndlessConnection:
    """Has more to parse after each of its turns."""

    def __init__(self, turns):
        self.turns = turns
        self.taken = 0
        turns.add(self)

    def take_turn(self):
        self.taken += 1
        self.turns.add(self)


async def test_other_tasks_and_connections_run_while_one_parses():
    """Guards against a probe that waits until all of a client's chunks are parsed."""
    turns = ParserTurns()
    conns = [EndlessConnection(turns) for _ in range(3)]
    for _ in range(3):
        await anyio.sleep(0)
    assert all(conn.taken for conn in conns)
    turns.add = lambda conn: None


async def test_a_connection_parses_no_more_events_than_allowed():
    conn = BoundedConnection(h11.SERVER)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    conn.receive_data(head + b"1\r\na\r\n" * 5 + b"0\r\n\r\n")
    conn.allowance = 3
    kinds = [type(conn.next_event()) for _ in range(3)]
    assert kinds == [h11.Request, h11.Data, h11.Data]
    assert conn.next_event() is h11.NEED_DATA and conn.is_starved
    conn.allowance = 4
    assert [type(conn.next_event()) for _ in range(4)][-1] is h11.EndOfMessage
