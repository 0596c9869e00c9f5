"""Decide how much of a process its clients may take, and which connection is closed.

Designed for up to 10,000 connections of clients that send anything, at machines of
160 MB and 1,638 descriptors and above.
"""

import math
from abc import ABC, abstractmethod
from enum import IntEnum
from typing import NamedTuple

from plantainstack.policy.answer_memory import BASE_BYTES, SMALLEST_LIMIT_BYTES

# Descriptors that are not for connections: files, and what starts a process.
FILE_DESCRIPTORS = 200
# Share of the other descriptors that clients may take; the rest is for the store,
# endpoints, peers and probes.
CLIENT_SHARE = 2 / 3
# Memory of a connection with a request that is being received, without the bytes
# read: 30 to 50 KB with the default buffers.
CONNECTION_BYTES = 64_000
CONNECTIONS_MIN = 32
READ_BYTES_MIN = 2 * 10**6
# Bytes read at once from one connection, and once the bytes read exceed their limit.
READ_SIZE = 64 * 1024
READ_SIZE_MIN = 2 * 1024
# Bytes whose memory weighs as much as a second of the parser.
PARSER_BYTES_PER_S = 8 * 10**6


class ClientSizes(NamedTuple):
    """The connections of clients, and the bytes read from them and not yet used.

    `memory` is what connections, bodies and answers take together.
    """

    connections: int
    read_bytes: int
    memory: int = 0


def divide(limit: int, descriptors: int) -> ClientSizes:
    """Return the sizes for a limit of memory in bytes, and of descriptors.

    A limit of 0 is not known. The buffers of connections get the half of the memory
    that `answer_memory.divide` leaves for them.
    """
    memory = (limit or SMALLEST_LIMIT_BYTES) - BASE_BYTES
    buffers = memory // 2
    by_descriptors = int((descriptors - FILE_DESCRIPTORS) * CLIENT_SHARE)
    connections = min(by_descriptors, buffers // CONNECTION_BYTES)
    return ClientSizes(
        max(CONNECTIONS_MIN, connections), max(READ_BYTES_MIN, buffers // 8), memory
    )


class Stage(IntEnum):
    """What a connection does, in the order in which connections are closed."""

    IDLE = 0
    RECEIVING = 1
    UNREAD = 2
    RUNNING = 3


class Cost(NamedTuple):
    """What a connection takes, and what it has delivered.

    `held` counts bytes that are read and not used or not yet read by the client, and
    `parser_s` seconds of the parser since the last complete request, of which
    `delivered` counts all. `used_at` is the time of its last bytes.
    """

    stage: Stage
    held: int
    parser_s: float
    delivered: int
    used_at: float

    def weight(self) -> float:
        """Return the cost against what was delivered."""
        taken = CONNECTION_BYTES + self.held + self.parser_s * PARSER_BYTES_PER_S
        return taken / (1 + self.delivered)


class Client(ABC):
    """A connection of a client."""

    @abstractmethod
    def cost(self) -> Cost:
        """Return what the connection takes now."""

    @abstractmethod
    def close_for(self, cause: str) -> None:
        """Close the connection at once."""


class ClientBudget:
    """Bounds the connections of all clients and the bytes read from them."""

    def __init__(self, sizes: ClientSizes):
        self.sizes = sizes
        self.clients: set[Client] = set()
        # Bytes read in this turn of the event loop, and those not yet parsed.
        self.read_in_turn = 0
        self.unparsed = 0

    def add(self, client: Client) -> None:
        """Count a new connection; close one connection if there are too many."""
        self.clients.add(client)
        if len(self.clients) > self.sizes.connections:
            found = self.choose(client)
            self.remove(found)
            found.close_for("connections")

    def remove(self, client: Client) -> None:
        """Forget a connection that is closed."""
        self.clients.discard(client)

    def choose(self, newest: Client) -> Client:
        """Return the connection to close in favour of the newest one.

        Idle connections come first, the longest unused one before others, then of the
        other stages those that cost the most. Requests that may run are not given up.
        """
        costs = {each: each.cost() for each in self.clients if each is not newest}
        first = min((cost.stage for cost in costs.values()), default=Stage.RUNNING)
        found = [each for each in costs if costs[each].stage is first]
        if first is Stage.RUNNING:
            return newest
        if first is Stage.IDLE:
            return min(found, key=lambda each: costs[each].used_at)
        return max(found, key=lambda each: costs[each].weight())

    def body_bytes_max(self) -> float:
        """Return the largest body that is taken while there is no other.

        Beside few connections, all are taken that the limits of clients allow.
        """
        if len(self.clients) <= CONNECTIONS_MIN:
            return math.inf
        return self.sizes.memory - len(self.clients) * CONNECTION_BYTES

    def end_turn(self) -> None:
        """Forget the bytes read, at the end of a turn of the event loop."""
        self.read_in_turn = 0

    def read_size(self) -> int:
        """Return the number of bytes to read at once from one connection."""
        free = self.sizes.read_bytes - self.read_in_turn - self.unparsed
        return max(READ_SIZE_MIN, min(READ_SIZE, free // 4))
