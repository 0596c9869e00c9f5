"""Explain where a request or an item of a batch would be placed now, and why.

The decision code of placement is asked for a choice; nothing is sent, reserved or
changed. Headers and bodies of requests are not part of an explanation, and so no keys.
"""

from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import Priority
from plantainstack.policy import route_table
from plantainstack.policy.prefix_placement import LOAD_MAX, ItemRequest
from plantainstack.policy.software_versions import software_of
from plantainstack.services.batch_runs import BatchRun
from plantainstack.services.item_migration import Attempt
from plantainstack.serving import Endpoint, Route

# Reasons for which an endpoint is never chosen.
HARD_EXCLUSIONS = frozenset({"leaving", "no_permit", "old_weights", "other_software"})


class Explainer:
    """Explain decisions of one instance from what it knows now."""

    def __init__(self, kernel):
        self._kernel = kernel
        self._discovery = kernel.plugin("discovery")
        self._balancer = self._discovery.balancer

    def request(self, host: str, path: str) -> Result[dict[str, Any], Failure]:
        """Explain a client's request; each service of its route has one choice."""
        found = self._kernel.plugin("forwarding").route(host, path)
        if found.is_err():
            return found
        route = found.unwrap()
        now = self._kernel.clock.now()
        candidates = [self._candidate(end, now) for end in self._known(route)]
        chosen = {}
        for service in sorted(route_table.services(route)):
            usable = self._discovery.usable(service)
            may_send = self._discovery.rate_limits.may_send
            usable = [end for end in usable if may_send(end, Priority.CALLER, now)]
            selection = self._balancer.choose(usable, now)
            chosen[service] = selection.endpoint.id if selection else None
        return Ok({"route": route.name, "chosen": chosen, "candidates": candidates})

    def item(self, batch_id: str, item_id: str) -> Result[dict[str, Any], Failure]:
        """Explain an item of a batch that this instance runs."""
        run = self._kernel.plugin("batches").running(batch_id)
        if run is None:
            message = "the batch does not run at this instance; see batch.taken_over"
            return Err(Failure.of(ErrorKind.NOT_FOUND, message))
        found = next((each for each in run.batch.items if each.id == item_id), None)
        if found is None:
            message = "the batch has no item of this id"
            return Err(Failure.of(ErrorKind.NOT_FOUND, message))
        now = self._kernel.clock.now()
        prompts = run.placement.prompts
        request = prompts.request(found)
        affinity = prompts.preview()
        known = self._known(run.placement.route)
        attempt = run.attempt(item_id)
        excluded = {
            end.id: self._item_exclusions(run, attempt, end, now) for end in known
        }
        # The choice itself looks for free slots and recent failures.
        usable = [end for end in known if not HARD_EXCLUSIONS & set(excluded[end.id])]
        open_ends = [end for end in known if not excluded[end.id]]
        costs = affinity.costs(request, open_ends, now)
        candidates = []
        for end in known:
            entry = self._candidate(end, now)
            entry["excluded"] = excluded[end.id]
            if request.prompt is not None:
                entry["cached_tokens"] = affinity.expected(end, request.prompt, now)
            if end.id in costs:
                entry["cost"] = costs[end.id]._asdict()
            candidates.append(entry)
        chosen = affinity.choose(request, usable, frozenset(), now)
        return Ok(
            {
                "route": run.placement.route.name,
                "way": type(affinity).__name__,
                "runs_at": attempt.endpoint.id if attempt else None,
                "chosen": chosen.id if chosen else None,
                "request": _summary(request),
                "candidates": candidates,
            }
        )

    def _known(self, route: Route) -> Sequence[Endpoint]:
        services = route_table.services(route)
        known = self._discovery.view.known.values()
        found = [end for end in known if end.service in services]
        return sorted(found, key=lambda end: end.id)

    def _candidate(self, end: Endpoint, now: float) -> dict[str, Any]:
        speed = self._balancer.speed(end, now)
        return {
            "endpoint": end.id,
            "service": end.service,
            "data_centre": end.data_centre,
            "load": self._balancer.load(end, now),
            "load_age_s": self._balancer.report_age_s(end, now),
            "latency_s": self._balancer.expected_latency(end, now),
            "speed": speed._asdict() if speed else None,
            "excluded": self._exclusions(end, now, Priority.CALLER),
        }

    def _exclusions(self, end: Endpoint, now: float, priority: Priority) -> list[str]:
        """Return why an endpoint is not chosen, or only without another one."""
        may_send = self._discovery.rate_limits.may_send(end, priority, now)
        reasons = {
            "leaving": not self._discovery.is_usable(end),
            "no_permit": not may_send,
            "avoided": self._balancer.is_avoided(end, now),
        }
        return [name for name, holds in reasons.items() if holds]

    def _item_exclusions(
        self, run: BatchRun, attempt: Attempt | None, end: Endpoint, now: float
    ) -> list[str]:
        reasons = self._exclusions(end, now, Priority.ROLLOUT)
        software = attempt.run.software if attempt else None
        if software not in (None, software_of(end)):
            reasons.append("other_software")
        if not run.placement.has_recent_weights(end):
            reasons.append("old_weights")
        if self._balancer.load(end, now) >= LOAD_MAX:
            reasons.append("full")
        return reasons


def _summary(request: ItemRequest) -> dict[str, Any]:
    prompt = request.prompt
    return {
        "item": request.item.id,
        "group": request.item.group,
        "is_long": request.is_long,
        "model": prompt.model if prompt else None,
        "prompt": [list(part) for part in prompt.parts] if prompt else None,
    }
