"""Tenants and their keys."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple


class Tenant(NamedTuple):
    """Describe a tenant; without a priority, that of the route applies."""

    name: str
    priority: int | None = None
    rate_per_s: float | None = None


class TenantDirectory:
    """Find the tenant of a key.

    Only digests of the keys are kept: they cannot be logged, and the time of a look-up
    reveals nothing about a key.
    """

    def __init__(self, entries: Iterable[tuple[Tenant, Iterable[str]]]):
        entries = [(tenant, tuple(keys)) for tenant, keys in entries]
        self.tenants = {tenant.name: tenant for tenant, _ in entries}
        self._by_digest = {
            _digest(key): tenant for tenant, keys in entries for key in keys
        }

    def __eq__(self, other):
        if not isinstance(other, TenantDirectory):
            return NotImplemented
        return (self.tenants, self._by_digest) == (other.tenants, other._by_digest)

    __hash__ = None

    def find(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key, or None."""
        return self._by_digest.get(_digest(key))


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
