"""Decide which registered endpoints may be used."""

from plantainstack.serving import Endpoint

# Registrations that lapsed during an outage of the store are back within about 2 s
# of its return; what is missing after that has ended.
LAPSE_GRACE_S = 2.2


class EndpointView:
    """Hold the registered endpoints; times are monotonic seconds."""

    def __init__(self):
        self.known: dict[str, Endpoint] = {}
        self._grace_until = 0.0
        self._lapsed: set[str] = set()

    def store_recovered(self, now: float) -> None:
        """Start the time in which lapsed registrations may come back."""
        self._grace_until = now + LAPSE_GRACE_S

    def replace(self, entries: dict[str, Endpoint | None], now: float) -> None:
        """Take over a whole list."""
        missing = {id: None for id in self.known if id not in entries}
        self.update({**missing, **entries}, now)

    def update(self, changed: dict[str, Endpoint | None], now: float) -> None:
        """Take over changed registrations; None removes one."""
        for id, endpoint in changed.items():
            if endpoint is not None:
                self.known[id] = endpoint
                self._lapsed.discard(id)
            elif id in self.known and now < self._grace_until:
                self._lapsed.add(id)
            else:
                self.known.pop(id, None)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop lapsed registrations that did not come back in time."""
        if self._lapsed and now >= self._grace_until:
            for id in self._lapsed:
                self.known.pop(id, None)
            self._lapsed.clear()

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work."""
        return [
            endpoint
            for endpoint in self.known.values()
            if endpoint.service == service and not endpoint.leaving
        ]
