"""Deterministic subsetting: select an instance's endpoints by rendezvous hashing."""

from collections import Counter
from collections.abc import Mapping

import xxhash


def pair_hash(instance_id: str, endpoint_id: str) -> int:
    """Return the hash that ranks an instance for an endpoint."""
    return xxhash.xxh3_64_intdigest(f"{instance_id}\0{endpoint_id}".encode())


class Subset:
    """Determine which endpoints an instance uses.

    Each endpoint is used by the first `local` instances of its own data centre and by
    the first `remote` instances of the others, in the order of their hashes. Every
    endpoint is therefore covered by exactly this number, and a change of one instance
    only affects the endpoints for which it was among the first. An instance counts the
    instances ranked above itself, so a change costs one hash per endpoint.
    """

    def __init__(self, own_id: str, own_data_centre: str):
        self._own_id = own_id
        self._own_data_centre = own_data_centre
        self._instances: dict[str, str] = {}
        self._population: Counter[str] = Counter()
        self._endpoints: dict[str, str] = {}
        self._own_hash: dict[str, int] = {}
        self._above: dict[str, int] = {}

    def update(self, instances: Mapping[str, str], endpoints: Mapping[str, str]):
        """Replace the instances and endpoints; each maps ids to data centres."""
        for endpoint in self._endpoints.items() - endpoints.items():
            self._remove_endpoint(*endpoint)
        others = {key: dc for key, dc in instances.items() if key != self._own_id}
        for instance in self._instances.items() - others.items():
            self._count(*instance, -1)
        for instance in others.items() - self._instances.items():
            self._count(*instance, 1)
        self._instances = others
        self._population = Counter(others.values())
        for endpoint in endpoints.items() - self._endpoints.items():
            self._add_endpoint(*endpoint)

    def covers(self, endpoint_id: str, local: int, remote: int) -> bool:
        """Return whether this instance uses the endpoint.

        If there are too few instances in the endpoint's data centre, or too few outside
        it, the rest of their quota is added to that of the others.
        """
        data_centre = self._endpoints.get(endpoint_id)
        if data_centre is None:
            return False
        near = data_centre == self._own_data_centre
        there = self._population[data_centre]
        peers = 1 + (there if near else len(self._instances) - there)
        beyond = len(self._instances) + 1 - peers
        quota = local if near else remote
        return self._above[endpoint_id] < max(quota, local + remote - beyond)

    def _competes(self, instance_dc: str, endpoint_dc: str) -> bool:
        near = endpoint_dc == self._own_data_centre
        return (instance_dc == endpoint_dc) == near

    def _ranks_above(self, instance: str, data_centre: str, endpoint: str) -> bool:
        if not self._competes(data_centre, self._endpoints[endpoint]):
            return False
        return pair_hash(instance, endpoint) > self._own_hash[endpoint]

    def _count(self, instance: str, data_centre: str, change: int) -> None:
        for endpoint in self._endpoints:
            if self._ranks_above(instance, data_centre, endpoint):
                self._above[endpoint] += change

    def _add_endpoint(self, endpoint: str, data_centre: str) -> None:
        self._endpoints[endpoint] = data_centre
        self._own_hash[endpoint] = pair_hash(self._own_id, endpoint)
        self._above[endpoint] = sum(
            1
            for instance, other in self._instances.items()
            if self._ranks_above(instance, other, endpoint)
        )

    def _remove_endpoint(self, endpoint: str, data_centre: str) -> None:
        for table in (self._endpoints, self._own_hash, self._above):
            del table[endpoint]
