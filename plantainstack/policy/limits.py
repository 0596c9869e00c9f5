"""Admit requests by priority and deadline, within each service's capacity."""

from abc import ABC, abstractmethod

from result import Ok, Result

from plantainstack.errors import Failure
from plantainstack.policy.routing import AttemptEnd, RouteRequest
from plantainstack.settings.fleet import FleetConfig


class Admission(ABC):
    """Decide when a request may be dispatched; times are monotonic seconds.

    A request is offered once. It is then admitted at once, refused at once, or
    queued; `next_admitted` names queued requests that may start now.
    """

    @abstractmethod
    def offer(
        self, request_id: str, req: RouteRequest, now: float
    ) -> Result[bool, Failure]:
        """Return whether the request may start now; False means queued.

        Fails with `overloaded` when it could not start before its deadline.
        """

    @abstractmethod
    def next_admitted(self, now: float) -> list[str]:
        """Return the ids of queued requests that may start now."""

    @abstractmethod
    def expired(self, now: float) -> list[str]:
        """Remove and return the ids of queued requests to be refused."""

    @abstractmethod
    def withdraw(self, request_id: str) -> None:
        """Remove a queued request whose caller has gone."""

    @abstractmethod
    def finished(
        self, req: RouteRequest, end: AttemptEnd, started_at: float, now: float
    ) -> None:
        """Release the capacity of an admitted request."""

    def configure(self, cfg: FleetConfig) -> None:
        """Take over a new configuration."""


class OpenAdmission(Admission):
    """Admit everything at once; the baseline of the benchmark."""

    def offer(
        self, request_id: str, req: RouteRequest, now: float
    ) -> Result[bool, Failure]:
        """Admit the request."""
        return Ok(True)

    def next_admitted(self, now: float) -> list[str]:
        """Return nothing, since nothing is queued."""
        return []

    def expired(self, now: float) -> list[str]:
        """Return nothing, since nothing is queued."""
        return []

    def withdraw(self, request_id: str) -> None:
        """Ignore the request."""

    def finished(
        self, req: RouteRequest, end: AttemptEnd, started_at: float, now: float
    ) -> None:
        """Ignore the request."""
