"""Decide where a text may go on while several software versions serve.

What two software versions of a service write cannot be joined, and endpoints do not
check this. During a release, a text therefore has fewer endpoints than a new request.
"""

from collections.abc import Iterable
from typing import NamedTuple

from plantainstack.serving import Endpoint

# Endpoints take 40 to 60 ms for an event; used while no latency is known.
USUAL_EVENT_S = 0.05
# A text that its version continues in none of so many attempts counts as without a
# free endpoint, although they take connections.
RESUME_ATTEMPTS_MAX = 3


class SoftwareVersion(NamedTuple):
    """Identify the software that writes a text.

    Services number their versions independently. The version is empty for endpoints
    that name none.
    """

    service: str
    version: str


def software_of(endpoint: Endpoint) -> SoftwareVersion:
    """Return the software version of an endpoint."""
    return SoftwareVersion(endpoint.service, endpoint.software)


def only_version(endpoints: Iterable[Endpoint]) -> SoftwareVersion | None:
    """Return the version that all endpoints share, or None if there are several."""
    found = {software_of(endpoint) for endpoint in endpoints}
    return found.pop() if len(found) == 1 else None


def begins_anew(
    events: int, latency_s: float | None, waited_s: float, serving: bool
) -> bool:
    """Return whether a text without a free endpoint of its version is given up.

    `serving` is set while an endpoint of the version is registered and not leaving.
    The wait lasts at most as long as it takes to write the events again, so that
    both together cost at most twice as much as the better choice.
    """
    return not serving or waited_s >= events * (latency_s or USUAL_EVENT_S)
