"""Stand-in for the platform's interface for duties, which checks the holders' rules."""

from http import HTTPStatus
from typing import Any, NamedTuple

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Standin, json_response


class Call(NamedTuple):
    """One call that arrived, in the order of arrival."""

    at: float
    path: str
    holder: str
    fence: int
    content: dict[str, Any]
    status: int

    def subject(self) -> tuple:
        """Return what the rules of holders apply to."""
        if self.path == "/usage":
            return (self.path,)
        return (self.path, self.content["backend"], self.content["zone"])


class Ledger:
    """Record the calls of all instances, reject those above the rate, check rules."""

    def __init__(self, calls_per_s: float = 50.0):
        self.calls: list[Call] = []
        self.busy = False
        # Data centres in which no endpoints are available.
        self.sold_out: set[str] = set()
        self._calls_per_s = calls_per_s

    def receive(self, at: float, path: str, holder: str, fence: int, content) -> int:
        """Record a call and return the status of its answer."""
        recent = [call for call in self.calls if at - call.at < 1.0]
        status = HTTPStatus.OK
        if self.busy or len(recent) >= self._calls_per_s:
            status = HTTPStatus.TOO_MANY_REQUESTS
        elif path == "/scale" and content["zone"] in self.sold_out:
            status = HTTPStatus.CONFLICT
        self.calls.append(Call(at, path, holder, fence, content, status))
        return status

    def accepted_counts(self) -> dict[int, dict[str, int]]:
        """Return the counts of each window by its first accepted report."""
        found: dict[int, dict[str, int]] = {}
        for call in self.calls:
            if call.path == "/usage" and call.status == HTTPStatus.OK:
                found.setdefault(call.content["window"], call.content["counts"])
        return found

    def broken_rules(self, gap_s: float) -> list[str]:
        """Return each violation of the rules for holders and for usage counts."""
        broken = []
        by_subject: dict[tuple, list[Call]] = {}
        for call in self.calls:
            by_subject.setdefault(call.subject(), []).append(call)
        for subject, calls in by_subject.items():
            broken += [f"{subject}: {text}" for text in _broken_order(calls, gap_s)]
        accepted = self.accepted_counts()
        for call in self.calls:
            if call.path == "/usage" and call.status == HTTPStatus.OK:
                window = call.content["window"]
                if call.content["counts"] != accepted[window]:
                    broken.append(f"window {window} has two sets of counts")
        return broken


class DutiesStandin(Standin):
    """Serve the interface; `delay_s` slows it, `loses_answers` resets connections.

    With `silent`, calls are recorded and not answered.
    """

    def __init__(self, clock=None, calls_per_s: float = 50.0):
        super().__init__(clock)
        self.ledger = Ledger(calls_per_s)
        self.delay_s = 0.0
        self.silent = False
        self.loses_answers = False

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the interface."""
        return [
            Route(path, self._receive, methods=["POST"])
            for path in ("/usage", "/scale")
        ]

    def state(self) -> dict[str, Any]:
        """Return the calls that arrived."""
        return {"calls": [call._asdict() for call in self.ledger.calls]}

    async def _receive(self, request: Request) -> Response:
        content = await request.json()
        headers = request.headers
        status = self.ledger.receive(
            self.clock.now(),
            request.url.path,
            headers["plantainstack-duty-holder"],
            int(headers["plantainstack-fence-token"]),
            content,
        )
        if self.silent:
            await anyio.sleep_forever()
        await anyio.sleep(self.delay_s)
        if self.loses_answers:
            raise ConnectionResetError("scripted")
        return json_response({}, status)


def _broken_order(calls: list[Call], gap_s: float) -> list[str]:
    """Return the violations among the calls for one subject."""
    broken = []
    holders: dict[int, str] = {}
    highest = 0
    for call in calls:
        if holders.setdefault(call.fence, call.holder) != call.holder:
            broken.append(f"token {call.fence} of {call.holder} and another holder")
        if call.fence < highest:
            broken.append(f"token {call.fence} after {highest}")
        highest = max(highest, call.fence)
    for number, last in enumerate(calls):
        recent = [call for call in calls[:number] if last.at - call.at < gap_s]
        own = [index for index, call in enumerate(recent) if call.holder == last.holder]
        if own and any(call.holder != last.holder for call in recent[own[0] :]):
            broken.append(f"{last.holder} acted again after another at {last.at}")
    return broken
