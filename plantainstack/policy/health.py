"""Judge the health of an endpoint from how its attempts end."""

import random

FAILURES_MAX = 3
FRESH_SILENCES_MAX = 2
EJECTION_BASE_S = 5.0
EJECTION_MAX_S = 60.0
REFUSAL_HOLD_S = 1.0


class EndpointHealth:
    """Hold back an endpoint that refuses, and eject one that is sick.

    When connections go silent, all attempts that were in flight at the first
    silence may share its cause, such as lost state between the two ends. Only
    silence of attempts that started afterwards counts against the endpoint.
    """

    def __init__(self, rng: random.Random):
        self._random = rng
        self._failures = 0
        self._refusals = 0
        self._held_until = float("-inf")
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._on_trial = False
        self._silent = False
        self._in_flight_at_silence = 0
        self._fresh_silences = 0

    def succeeded(self) -> None:
        """Clear the endpoint of all suspicion."""
        self._failures = self._refusals = self._ejections = 0
        self._fresh_silences = 0
        self._silent = self._on_trial = False

    def refused(self, hold_max: float, now: float) -> None:
        """Hold the endpoint back, for longer with each refusal in a row."""
        self._refusals += 1
        hold = min(hold_max, REFUSAL_HOLD_S * 2 ** min(self._refusals - 1, 10))
        self._held_until = now + hold * self._random.uniform(0.75, 1.25)

    def failed(self) -> None:
        """Count a failed attempt."""
        self._failures += 1

    def went_silent(self, in_flight: int) -> None:
        """Count a silent attempt while `in_flight` others are still running."""
        if not self._silent:
            self._silent = True
            self._in_flight_at_silence = in_flight
        elif self._in_flight_at_silence > 0:
            self._in_flight_at_silence -= 1
        else:
            self._fresh_silences += 1

    @property
    def sick(self) -> bool:
        """Return whether the endpoint should be ejected."""
        return (
            self._failures >= FAILURES_MAX
            or self._fresh_silences >= FRESH_SILENCES_MAX
            or (self._on_trial and self._failures + self._fresh_silences > 0)
        )

    def eject(self, now: float) -> None:
        """Eject the endpoint, for longer each time; a trial follows."""
        length = min(EJECTION_MAX_S, EJECTION_BASE_S * 2 ** min(self._ejections, 10))
        self._ejected_until = now + length * self._random.uniform(0.75, 1.25)
        self._ejections += 1
        self._failures = self._fresh_silences = 0
        self._on_trial = True

    def ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected."""
        return now < self._ejected_until

    def usable(self, in_flight: int, now: float) -> bool:
        """Return whether the endpoint may get an attempt; on trial only one."""
        if now < self._held_until or self.ejected(now):
            return False
        return not self._on_trial or in_flight == 0
