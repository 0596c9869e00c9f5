"""Track registered endpoints and decide which ones may be used."""

from plantainstack.serving import Endpoint

# Registrations that expired during an outage of the store are renewed within about 2 s
# of its recovery; endpoints that are still missing then have ended.
RENEWAL_GRACE_S = 2.2
# A list of registrations that is this old, at most, can still contain an endpoint that
# has left.
LEAVING_KEPT_S = 60.0


class EndpointView:
    """Hold the registered endpoints; times are monotonic seconds."""

    def __init__(self):
        self.known: dict[str, Endpoint] = {}
        self._grace_until = 0.0
        self._expired: set[str] = set()
        # Incarnations whose answers said that they leave, with the time at which that
        # is forgotten: infinity while they are registered.
        self._leaving: dict[tuple[str, int], float] = {}

    def record_leaving(self, endpoint: Endpoint, now: float) -> bool:
        """Record that an answer says that its endpoint leaves; return if that is new.

        Registrations of the same incarnation do not make it usable again.
        """
        key = endpoint.incarnation()
        if key in self._leaving:
            return False
        self._leaving[key] = float("inf")
        self._forget_left(now)
        return True

    def store_recovered(self, now: float) -> None:
        """Start the grace period in which expired registrations may be renewed.

        It also holds back the removal of endpoints that have left. It is for outages of
        the store only: without one, the removals are true.
        """
        self._grace_until = now + RENEWAL_GRACE_S

    def replace(self, entries: dict[str, Endpoint | None], now: float) -> None:
        """Apply a complete list; endpoints that it does not contain are removed."""
        missing = {id: None for id in self.known if id not in entries}
        self.update({**missing, **entries}, now)

    def update(self, changed: dict[str, Endpoint | None], now: float) -> None:
        """Apply changed registrations; None removes one, after the grace period."""
        for id, endpoint in changed.items():
            if endpoint is not None:
                self.known[id] = _with_earliest_end(self.known.get(id), endpoint)
                self._expired.discard(id)
            elif id in self.known and now < self._grace_until:
                self._expired.add(id)
            else:
                self.known.pop(id, None)
        self.expire(now)
        self._forget_left(now)

    def expire(self, now: float) -> None:
        """Remove expired registrations at the end of the grace period."""
        if self._expired and now >= self._grace_until:
            for id in self._expired:
                self.known.pop(id, None)
            self._expired.clear()
        self._forget_left(now)

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new requests."""
        return [
            endpoint
            for endpoint in self.known.values()
            if endpoint.service == service and self._accepts_requests(endpoint)
        ]

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint chosen earlier may still get new requests."""
        known = self.known.get(endpoint.id)
        same = known is not None and known.incarnation() == endpoint.incarnation()
        return same and self._accepts_requests(known)

    def leaves_at(self, endpoint: Endpoint) -> float | None:
        """Return when an endpoint that leaves has gone, or None if that is unknown."""
        known = self.known.get(endpoint.id)
        same = known is not None and known.incarnation() == endpoint.incarnation()
        return known.leaves_at if same and known.leaving else None

    def has_reclaimable(self) -> bool:
        """Return whether an endpoint is registered that may go at short notice."""
        return any(endpoint.reclaimable for endpoint in self.known.values())

    def _accepts_requests(self, endpoint: Endpoint) -> bool:
        return not endpoint.leaving and endpoint.incarnation() not in self._leaving

    def _forget_left(self, now: float) -> None:
        """Forget the endpoints that left a while ago.

        Where registrations do not state the start of an endpoint, the next run under
        the same id cannot be told apart, so the end of the registration counts.
        """
        if not self._leaving:
            return
        registered = {each.incarnation() for each in self.known.values()}
        for key, forget_at in list(self._leaving.items()):
            if key in registered:
                self._leaving[key] = float("inf")
            elif not key[1] or now >= forget_at:
                del self._leaving[key]
            elif forget_at == float("inf"):
                self._leaving[key] = now + LEAVING_KEPT_S


def _with_earliest_end(before: Endpoint | None, endpoint: Endpoint) -> Endpoint:
    """Return a registration with the earliest time at which it said to be gone.

    The time left is as of the write, so that a later read makes it look longer.
    """
    if before is None or before.incarnation() != endpoint.incarnation():
        return endpoint
    if before.leaves_at is None or endpoint.leaves_at is None:
        return endpoint
    return endpoint._replace(leaves_at=min(before.leaves_at, endpoint.leaves_at))
