"""Decide whether and when an attempt is repeated."""

from abc import ABC, abstractmethod

from plantainstack.settings.fleet import FleetConfig


class RetryPolicy(ABC):
    """Decide on retries; times are monotonic seconds."""

    @abstractmethod
    def request_started(self, service: str, now: float) -> None:
        """Count a request, which earns a part of a retry."""

    @abstractmethod
    def retry_at(
        self, service: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        """Return when the next attempt may start, or None for no retry."""

    def configure(self, cfg: FleetConfig) -> None:
        """Take over a new configuration."""


class FixedRetries(RetryPolicy):
    """Retry at once up to a fixed number of attempts; the baseline."""

    def __init__(self, max_attempts: int = 3):
        self._max_attempts = max_attempts

    def request_started(self, service: str, now: float) -> None:
        """Ignore the request."""

    def retry_at(
        self, service: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        """Return the present time until the attempts are used up."""
        if attempts >= self._max_attempts or now >= deadline:
            return None
        return now
