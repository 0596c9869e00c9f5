"""Bound the memory that answers and the bodies of requests take in one process."""

import math
import weakref
from collections.abc import Callable
from typing import NamedTuple

from plantainstack.errors import ErrorKind, Failure

SMALLEST_LIMIT_BYTES = 128 * 10**6
# Memory of a process without requests, and the smallest sizes that are set.
BASE_BYTES = 48 * 10**6
ANSWERS_BYTES_MIN = 24 * 10**6
ENDPOINT_BYTES_MIN = 10 * 10**6
BODIES_BYTES_MIN = 6 * 10**6
# Share of the limit of all bodies that is for bodies up to this size, so that larger
# ones which are received slowly do not keep them out.
SMALL_BODY_BYTES = 64 * 1024
SMALL_BODIES_SHARE = 1 / 8


class Sizes(NamedTuple):
    """The bytes for all answers, for those of one endpoint, and for all bodies."""

    answers: int
    endpoint: int
    bodies: int


def divide(limit: int) -> Sizes:
    """Divide the memory of an instance, in bytes; 0 if its size is not known.

    Half of what the process itself leaves is for the buffers of connections.
    """
    free = (limit or SMALLEST_LIMIT_BYTES) - BASE_BYTES
    return Sizes(
        max(ANSWERS_BYTES_MIN, free * 3 // 10),
        max(ENDPOINT_BYTES_MIN, free // 8),
        max(BODIES_BYTES_MIN, free // 5),
    )


class GivenUp(NamedTuple):
    """An answer that was given up, and why."""

    endpoint: str
    size: int
    cause: str
    message: str


class Reservation:
    """The bytes that one answer takes; released with the object at the latest.

    `give_up`, if set, frees what the answer takes. While it is not set, the answer is
    not given up for others. `reason` is set once it was given up.
    """

    def __init__(self, memory: "AnswerMemory", endpoint: str):
        self._memory = memory
        self.endpoint = endpoint
        self.size = 0
        self.give_up: Callable[[], None] | None = None
        self.reason: str | None = None

    def grow(self, size: int) -> None:
        """Add bytes; `reason` is set if the answer is given up for them."""
        self.resize(self.size + size)

    def resize(self, size: int) -> None:
        """Set the number of bytes; `reason` is set if the answer is given up."""
        if self.reason is None:
            self._memory.resize(self, size)

    def release(self) -> None:
        """Release all bytes."""
        self._memory.release(self)

    def __del__(self):
        self.release()


class AnswerMemory:
    """Divides a number of bytes between the answers of all endpoints.

    If they do not suffice, the largest answer of the endpoint that takes the most is
    given up, so that an endpoint cannot displace the small answers of others.
    """

    def __init__(
        self,
        total: int = ANSWERS_BYTES_MIN,
        share: int = ENDPOINT_BYTES_MIN,
        report: Callable[[GivenUp], None] | None = None,
    ):
        self.total = total
        self.share = min(share, total)
        self.held = 0
        self._report = report
        self._by_endpoint: dict[str, int] = {}
        self._open: dict[str, weakref.WeakSet[Reservation]] = {}

    def reserve(self, endpoint: str) -> Reservation:
        """Return an empty reservation for one answer of an endpoint."""
        return Reservation(self, endpoint)

    def held_by(self, endpoint: str) -> int:
        """Return the bytes that the answers of an endpoint take."""
        return self._by_endpoint.get(endpoint, 0)

    def resize(self, reservation: Reservation, size: int) -> None:
        """Set the bytes of an answer, and give up answers until all fit."""
        endpoint = reservation.endpoint
        extra = size - reservation.size
        while extra > 0 and reservation.reason is None:
            if self.held_by(endpoint) + extra > self.share:
                self._give_up([endpoint], reservation, size, "share")
            elif self.held + extra > self.total:
                self._give_up(self._open, reservation, size, "total")
            else:
                break
        if reservation.reason is None:
            self._add(reservation, extra)

    def release(self, reservation: Reservation) -> None:
        """Release the bytes of an answer."""
        if reservation.size:
            self._add(reservation, -reservation.size)

    def _add(self, reservation: Reservation, extra: int) -> None:
        endpoint = reservation.endpoint
        reservation.size += extra
        self.held += extra
        self._by_endpoint[endpoint] = self.held_by(endpoint) + extra
        if reservation.size:
            self._open.setdefault(endpoint, weakref.WeakSet()).add(reservation)
        elif endpoint in self._open:
            self._open[endpoint].discard(reservation)
        if not self._by_endpoint[endpoint]:
            del self._by_endpoint[endpoint]
            self._open.pop(endpoint, None)

    def _give_up(self, endpoints, growing: Reservation, size: int, cause: str) -> None:
        """Give up the largest answer of the endpoint that takes the most."""
        sizes: dict[str, int] = {growing.endpoint: size - growing.size}
        candidates = [(growing, size)]
        for endpoint in list(endpoints):
            sizes[endpoint] = sizes.get(endpoint, 0) + self.held_by(endpoint)
            candidates += [
                (each, each.size)
                for each in self._open.get(endpoint, ())
                if each is not growing and each.give_up
            ]
        found, taken = max(
            candidates, key=lambda pair: (sizes[pair[0].endpoint], pair[1])
        )
        limit = self.share if cause == "share" else self.total
        whose = (
            f"of endpoint {found.endpoint}" if cause == "share" else "of all endpoints"
        )
        found.reason = f"the answers {whose} exceed {limit} bytes"
        self.release(found)
        if found.give_up:
            found.give_up()
        if self._report:
            self._report(GivenUp(found.endpoint, taken, cause, found.reason))


class BodyMemory:
    """Limits the bytes that the bodies of all clients' requests take.

    A body that is larger than the limit is taken while there is no other large one, up
    to `single_max()` with the small ones. Small bodies have a share of their own. For a
    body that does not fit, larger ones that are still being received are given up, the
    largest first.
    """

    def __init__(self, total: int = BODIES_BYTES_MIN):
        self.total = total
        self.held = 0
        self.single_max: Callable[[], float] = lambda: math.inf
        self._open: set[BodyReservation] = set()

    def reserve(self) -> "BodyReservation":
        """Return an empty reservation for one body."""
        return BodyReservation(self)

    def fits(self, body: "BodyReservation", size: int) -> bool:
        """Return whether a body of `size` bytes fits beside all others."""
        others = self.held - body.size
        if not others and size > self.total:
            return size <= self.single_max()
        if size > SMALL_BODY_BYTES and not self._has_other_large(body):
            return others + size <= self.single_max()
        return not others or others + size <= self._limit(size)

    def fits_without_larger(self, body: "BodyReservation", size: int) -> bool:
        """Return whether a body fits once larger, incomplete ones are given up."""
        if self.fits(body, size):
            return True
        larger = sum(each.size for each in self._larger(body, size))
        others = self.held - body.size - larger
        return others + size <= self._limit(size)

    def make_room(self, body: "BodyReservation", size: int) -> bool:
        """Give up larger, incomplete bodies until a body fits; return whether it does.

        No body is given up if that does not suffice.
        """
        if not self.fits_without_larger(body, size):
            return False
        while not self.fits(body, size):
            found = max(self._larger(body, size), key=lambda each: each.size)
            found.abandon()
        return True

    def resize(self, body: "BodyReservation", size: int) -> None:
        """Set the bytes of a body."""
        self.held += size - body.size
        body.size = size
        if size:
            self._open.add(body)
        else:
            self._open.discard(body)

    def _limit(self, size: int) -> float:
        is_small = size <= SMALL_BODY_BYTES
        return self.total if is_small else self.total * (1 - SMALL_BODIES_SHARE)

    def _has_other_large(self, body: "BodyReservation") -> bool:
        return any(
            each is not body and each.size > SMALL_BODY_BYTES for each in self._open
        )

    def _larger(self, body: "BodyReservation", size: int) -> "list[BodyReservation]":
        return [
            each
            for each in self._open
            if each is not body and each.give_up and each.size > size
        ]


class BodyReservation:
    """The bytes that one body takes, until the context ends.

    `give_up` is set while the body is being received, so that its request has not run,
    and ends that.
    """

    def __init__(self, memory: BodyMemory):
        self._memory = memory
        self.size = 0
        self.give_up: Callable[[], None] | None = None
        self.is_given_up = False

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.give_up = None
        self._memory.resize(self, 0)

    def may_grow_to(self, size: int) -> bool:
        """Return whether `size` bytes are to be had now."""
        if self.is_given_up:
            return False
        return size <= self.size or self._memory.fits_without_larger(self, size)

    def grow_to(self, size: int) -> bool:
        """Reserve `size` bytes; return False if they are not to be had."""
        if self.is_given_up:
            return False
        if size > self.size:
            if not self._memory.make_room(self, size):
                return False
            self._memory.resize(self, size)
        return True

    def abandon(self) -> None:
        """Release the bytes in favour of other bodies, and end the receiving."""
        self.is_given_up = True
        self._memory.resize(self, 0)
        self.give_up()

    def refusal(self) -> Failure:
        """Return the failure of a request whose body does not fit."""
        message = (
            f"there is no memory for the body; bodies take {self._memory.held} bytes"
        )
        return Failure.of(ErrorKind.OVERLOADED, message)
