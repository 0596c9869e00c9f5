"""Generate the calls of the demo and record their outcomes."""

import itertools
import random
import time
from collections import Counter
from typing import NamedTuple

import anyio

from plantainstack.settings.options import Address
from standins.completions import completion_text
from tools.demo_api import CallerHttpClient, Reply
from tools.demo_fleet import ENDPOINTS, Fleet

SEED = 7
DEADLINE_S = 8.0
BOOKING_DEADLINE_S = 12.0
RETRY_PAUSE_S = 0.3
MAX_TOKENS = 24
PERMIT_PREFIX = (
    "You answer questions about water permits in Vestland. Name the rule, the "
    "place and the opening hours of the standpipe, and say what a member pays."
)
FIT_PREFIX = "You draft saddle, reach and cleat suggestions from a rider's measures."
PLACES = ("Bergen", "Voss", "Odda", "Forde", "Stord")
BOOKED = "booked"
NOT_RUN = "not_run"
UNKNOWN = "unknown"


class CallKind(NamedTuple):
    """One kind of call and the mean interval between two calls in seconds."""

    name: str
    interval_s: float


CALL_KINDS = (
    CallKind("permit question", 0.2),
    CallKind("fit draft", 0.4),
    CallKind("look-up", 0.1),
    CallKind("booking", 0.15),
)


class Traffic:
    """Send calls until stopped and record their outcomes."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._callers = CallerHttpClient(fleet.caller_token)
        self._random = random.Random(SEED)
        self._round_robin = itertools.count()
        self._stopped = False
        self.sent: Counter[str] = Counter()
        self.on_time: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()
        self.wrong_answers: list[str] = []
        self.booking_outcomes: dict[str, str] = {}
        self.booking_retries = 0

    def stop(self) -> None:
        """Start no more calls; open ones continue until their deadline."""
        self._stopped = True

    async def run(self) -> None:
        """Send all kinds of calls until stopped, then wait for open calls."""
        handlers = {
            "permit question": self._ask_permit,
            "fit draft": self._draft_fit,
            "look-up": self._look_up,
            "booking": self._book,
        }
        async with anyio.create_task_group() as tasks:
            for kind in CALL_KINDS:
                tasks.start_soon(
                    self._send_periodically, kind, handlers[kind.name], tasks
                )

    async def _send_periodically(self, kind: CallKind, handler, tasks) -> None:
        for number in itertools.count(1):
            if self._stopped:
                return
            self.sent[kind.name] += 1
            tasks.start_soon(handler, number)
            await anyio.sleep(kind.interval_s * self._random.uniform(0.5, 1.5))

    def _next_entry(self) -> Address:
        """Return the next live entry instance in turn, as a load balancer does."""
        names = self._fleet.live_entries()
        return self._fleet.entries[names[next(self._round_robin) % len(names)]]

    async def _ask_permit(self, number: int) -> None:
        question = f"Question {number}: when may I open the standpipe in "
        place = PLACES[number % len(PLACES)]
        messages = _messages(PERMIT_PREFIX, f"{question}{place}?")
        await self._complete("permit question", "raadgiver-llm", messages, number)

    async def _draft_fit(self, number: int) -> None:
        rider = f"Rider {number}: inseam {70 + number % 25} cm, reach is short."
        messages = _messages(FIT_PREFIX, rider)
        await self._complete("fit draft", "fit-models", messages, number)

    async def _complete(self, name: str, model: str, messages, seed: int) -> None:
        async def attempt(remaining_s: float) -> Reply:
            return await self._callers.complete(
                self._next_entry(), model, messages, seed, MAX_TOKENS, remaining_s
            )

        expected = completion_text(messages, seed, MAX_TOKENS)
        reply = await self._call_until_deadline(name, attempt)
        if reply.ok and reply.content != expected:
            self.wrong_answers.append(f"{name} {seed}")

    async def _look_up(self, number: int) -> None:
        service = ("tillatelse-app", "booking-app")[number % 2]
        path = f"records/{number}"

        async def attempt(remaining_s: float) -> Reply:
            return await self._callers.look_up(
                self._next_entry(), service, path, remaining_s
            )

        reply = await self._call_until_deadline("look-up", attempt)
        if reply.ok and reply.content.get("path") != f"/{path}":
            self.wrong_answers.append(f"look-up {number}")

    async def _call_until_deadline(self, name: str, attempt) -> Reply:
        """Retry an idempotent call until it succeeds or its deadline passes."""
        deadline = time.monotonic() + DEADLINE_S
        while True:
            reply = await attempt(max(0.1, deadline - time.monotonic()))
            if reply.ok:
                self.on_time[name] += time.monotonic() <= deadline
                return reply
            self.errors[f"{name}: {reply.error_kind()}"] += 1
            if time.monotonic() + RETRY_PAUSE_S > deadline:
                return reply
            await anyio.sleep(RETRY_PAUSE_S)

    async def _book(self, number: int) -> None:
        service = ("tillatelse-app", "booking-app")[number % 2]
        reference = f"{service}-{number}"
        started = time.monotonic()
        deadline = started + BOOKING_DEADLINE_S
        # not_run covers only its own attempt. If the outcome of an earlier attempt
        # is unknown, that attempt may still run, so the booking remains unknown.
        may_run = False
        while True:
            remaining = max(0.1, deadline - time.monotonic())
            reply = await self._callers.book(
                self._next_entry(), service, reference, remaining
            )
            if reply.ok:
                break
            self.errors[f"booking: {reply.error_kind()}"] += 1
            may_run = may_run or reply.outcome() != NOT_RUN
            if time.monotonic() + RETRY_PAUSE_S > deadline:
                break
            self.booking_retries += 1
            await anyio.sleep(RETRY_PAUSE_S)
        if reply.ok:
            self.booking_outcomes[reference] = BOOKED
            self.on_time["booking"] += time.monotonic() - started <= DEADLINE_S
            if reply.content.get("reference") != reference:
                self.wrong_answers.append(f"booking {reference}")
        else:
            self.booking_outcomes[reference] = UNKNOWN if may_run else NOT_RUN

    async def runs(self) -> Counter[str]:
        """Return the number of runs of each booking, summed over all endpoints."""
        total: Counter[str] = Counter()
        for each in ENDPOINTS:
            if each.kind == "plain":
                total.update((await self._fleet.state(each.name)).get("runs", {}))
        return total


def _messages(prefix: str, question: str) -> list[dict[str, str]]:
    return [
        {"role": "system", "content": prefix},
        {"role": "user", "content": question},
    ]
