"""Track the limits on their request rate that endpoints name in their answers."""

from collections.abc import Sequence

from plantainstack.serving import Endpoint


class _LimitState:
    """Hold the limit of one endpoint, in requests a second."""

    def __init__(self, limit: float, now: float):
        self.limit = limit
        self.named_at = now


class RateLimits:
    """Hold the limits of endpoints as far as this instance was told of them.

    Times are monotonic seconds. State belongs to one run of an endpoint.
    """

    def __init__(self):
        self._states: dict[tuple[str, int], _LimitState] = {}

    def limit(self, endpoint: Endpoint) -> float | None:
        """Return the limit in requests a second, or None if there is none."""
        state = self._states.get(endpoint.incarnation())
        return state.limit if state else None

    def count(self) -> int:
        """Return the number of endpoints with a limit."""
        return len(self._states)

    def record(
        self, endpoint: Endpoint, limit: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the limit in an answer; return whether it has changed.

        An answer without a limit ends it, unless its request was sent before the
        limit was last named: answers may overtake each other.
        """
        key = endpoint.incarnation()
        state = self._states.get(key)
        before = state.limit if state else None
        if limit is None:
            if state is None or sent_at < state.named_at:
                return False
            del self._states[key]
        elif state is None:
            self._states[key] = _LimitState(limit, now)
        else:
            state.limit = limit
            state.named_at = now
        return limit != before

    def forget(self, endpoints: Sequence[Endpoint]) -> None:
        """Delete the state of endpoints that have gone."""
        for endpoint in endpoints:
            self._states.pop(endpoint.incarnation(), None)
