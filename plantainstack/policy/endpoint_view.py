"""Track registered endpoints and decide which ones may be used."""

from plantainstack.serving import Endpoint

# Registrations that expired during an outage of the store are renewed within about 2 s
# of its recovery; endpoints that are still missing then have ended.
RENEWAL_GRACE_S = 2.2


class EndpointView:
    """Hold the registered endpoints; times are monotonic seconds."""

    def __init__(self):
        self.known: dict[str, Endpoint] = {}
        self._grace_until = 0.0
        self._expired: set[str] = set()

    def store_recovered(self, now: float) -> None:
        """Start the grace period in which expired registrations may be renewed."""
        self._grace_until = now + RENEWAL_GRACE_S

    def replace(self, entries: dict[str, Endpoint | None], now: float) -> None:
        """Apply a complete list; endpoints that it does not contain are removed."""
        missing = {id: None for id in self.known if id not in entries}
        self.update({**missing, **entries}, now)

    def update(self, changed: dict[str, Endpoint | None], now: float) -> None:
        """Apply changed registrations; None removes one, after the grace period."""
        for id, endpoint in changed.items():
            if endpoint is not None:
                self.known[id] = endpoint
                self._expired.discard(id)
            elif id in self.known and now < self._grace_until:
                self._expired.add(id)
            else:
                self.known.pop(id, None)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove expired registrations at the end of the grace period."""
        if self._expired and now >= self._grace_until:
            for id in self._expired:
                self.known.pop(id, None)
            self._expired.clear()

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new requests."""
        return [
            endpoint
            for endpoint in self.known.values()
            if endpoint.service == service and not endpoint.leaving
        ]
