"""Migrate the streams of a batch's items between endpoints."""

from collections.abc import Callable

import anyio

from plantainstack import log
from plantainstack.interfaces import Priority
from plantainstack.policy import software_versions
from plantainstack.policy.event_pace import EventPace
from plantainstack.policy.item_runs import ItemRun
from plantainstack.policy.software_versions import SoftwareVersion, software_of
from plantainstack.policy.stream_migration import (
    LEAVING_MIGRATIONS_MAX,
    LoopLag,
    MigrationCandidate,
    StreamProgress,
    estimate_remaining_events,
    expected_events,
    is_stalled,
    migration_gain,
    must_leave,
    select_migrations,
)
from plantainstack.services.item_placement import LOAD_MAX, ItemPlacement
from plantainstack.serving import Endpoint
from plantainstack.tasks import contained

STREAM_CHECK_INTERVAL_S = 0.1


class Attempt:
    """Track one attempt to run an item: its endpoint and the progress of its stream.

    `begins_anew` is set if the text cannot go on where the stream is migrated to.
    """

    def __init__(self, run: ItemRun, endpoint: Endpoint, now: float):
        self.run = run
        self.endpoint = endpoint
        self.scope = anyio.CancelScope()
        self.started_at = now
        self.last_event_at: float | None = None
        self.pace = EventPace()
        self.begins_anew = False

    def silent_s(self, now: float) -> float:
        """Return the seconds since the last event, or since the start."""
        return now - (self.last_event_at or self.started_at)

    def progress(self, tokens_per_event: float | None) -> StreamProgress:
        """Return the progress of the stream with an estimate of the events left."""
        hint = self.run.item.length_hint
        left = estimate_remaining_events(self.run.events(), hint, tokens_per_event)
        return StreamProgress(self.started_at, self.last_event_at, left)

    def expected_progress(self, tokens_per_event: float | None) -> StreamProgress:
        """Return the progress of the stream with the events that are expected."""
        hint = self.run.item.length_hint
        left = expected_events(self.run.events(), hint, tokens_per_event)
        return StreamProgress(self.started_at, self.last_event_at, left)


class ItemMigration:
    """Migrate streams of one batch from stalled, slow and leaving endpoints.

    `attempts` holds the running attempts by item id. `tokens_per_event` returns the
    estimate of the ended items, None without any.
    """

    def __init__(
        self,
        kernel,
        placement: ItemPlacement,
        attempts: dict[str, Attempt],
        tokens_per_event: Callable[[], float | None],
    ):
        self._clock = kernel.clock
        self._discovery = kernel.plugin("discovery")
        self._placement = placement
        self._attempts = attempts
        self._tokens_per_event = tokens_per_event

    async def run(self) -> None:
        """Check the streams periodically until cancelled."""
        lag = LoopLag()
        while True:
            planned = self._clock.now() + STREAM_CHECK_INTERVAL_S
            await self._clock.sleep_until(planned)
            now = self._clock.now()
            lag.record(planned, now)
            with contained("ItemMigration._check", batch=self._placement.batch.id):
                self._check(lag, now)

    def _check(self, lag: LoopLag, now: float) -> None:
        self._discovery.need_recent_endpoints()
        self._placement.apply_current_route()
        recent = self._placement.recent_endpoints()
        best_latency = self._discovery.balancer.best_latency(recent, now)
        usable = self._open_endpoints(recent, now)
        for attempt in list(self._attempts.values()):
            progress = attempt.progress(self._tokens_per_event())
            if is_stalled(progress, best_latency, now, lag.seconds):
                self._migrate_stalled(attempt, usable, now)
        self._migrate_leaving(usable, now)
        self._migrate_slow(usable, now)

    def _open_endpoints(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints to which a stream may be moved without a new permit."""
        limits = self._discovery.rate_limits
        return [end for end in endpoints if limits.may_send(end, Priority.ROLLOUT, now)]

    def _migrate_stalled(self, attempt: Attempt, usable, now) -> None:
        balancer = self._discovery.balancer
        run = attempt.run
        to = self._free_endpoint(_joinable(usable, run.software), attempt, now)
        if to is None and run.software is not None:
            latency_s = balancer.latency(attempt.endpoint, now)
            silent_s = attempt.silent_s(now)
            if software_versions.begins_anew(run.events(), latency_s, silent_s, True):
                to = self._free_endpoint(usable, attempt, now)
        if to is None:
            return
        attempt.begins_anew = not _joinable([to], run.software)
        balancer.record_refusal(attempt.endpoint, now)
        self._migrate(attempt, None, now)

    def _free_endpoint(
        self, endpoints: list[Endpoint], attempt: Attempt, now: float
    ) -> Endpoint | None:
        """Return another endpoint that is sound and has a free slot, or None."""
        balancer = self._discovery.balancer
        exclude = frozenset((attempt.endpoint.id,))
        selection = balancer.choose(endpoints, now, exclude, LOAD_MAX)
        if selection is None or balancer.is_avoided(selection.endpoint, now):
            return None
        return selection.endpoint

    def _migrate_leaving(self, usable: list[Endpoint], now: float) -> None:
        """Migrate streams that will not end before their endpoint goes.

        Without a free slot, a stream stays until its connection breaks.
        """
        moved = 0
        rooms: dict[str, float] | None = None
        for attempt in list(self._attempts.values()):
            leaves_at = self._discovery.view.leaves_at(attempt.endpoint)
            if leaves_at is None or attempt.scope.cancel_called:
                continue
            if moved >= LEAVING_MIGRATIONS_MAX:
                return
            latency_s = self._discovery.balancer.latency(attempt.endpoint, now)
            progress = attempt.expected_progress(self._tokens_per_event())
            if not must_leave(progress, latency_s, leaves_at, now):
                continue
            if rooms is None:
                rooms = self._rooms(usable, now)
            to = next(
                (
                    end
                    for end in _joinable(usable, attempt.run.software)
                    if rooms.get(end.id, 0.0) > 0.0 and end.id != attempt.endpoint.id
                ),
                None,
            )
            if to is not None:
                rooms[to.id] -= 1.0
                self._migrate(attempt, None, now)
                moved += 1

    def _rooms(self, endpoints: list[Endpoint], now: float) -> dict[str, float]:
        """Return the free slots of the sound endpoints, by endpoint id."""
        balancer = self._discovery.balancer
        return {
            end.id: (LOAD_MAX - balancer.load(end, now)) * end.slots
            for end in endpoints
            if not balancer.is_avoided(end, now)
        }

    def _migrate_slow(self, usable: list[Endpoint], now: float) -> None:
        balancer = self._discovery.balancer
        fastest: dict[SoftwareVersion | None, Endpoint | None] = {}
        slow: list[MigrationCandidate] = []
        targets: dict[str, Endpoint] = {}
        for item_id, attempt in self._attempts.items():
            software = attempt.run.software
            if software is not None and not self._serves_elsewhere(attempt):
                software = None
            if software not in fastest:
                joinable = _joinable(usable, software)
                fastest[software] = balancer.fastest_available(joinable, now, LOAD_MAX)
            faster = fastest[software]
            if faster is None or attempt.scope.cancel_called:
                continue
            joins = bool(_joinable([faster], attempt.run.software))
            current_latency = balancer.latency(attempt.endpoint, now)
            target_latency = balancer.latency(faster, now)
            progress = attempt.progress(self._tokens_per_event())
            lost = 0 if joins else attempt.run.events()
            gain = migration_gain(progress, current_latency, target_latency, now, lost)
            if gain > 0.0:
                targets[item_id] = faster
                slow.append(
                    MigrationCandidate(item_id, gain, current_latency / target_latency)
                )
        for item_id in select_migrations(slow):
            attempt = self._attempts[item_id]
            to = targets[item_id]
            attempt.begins_anew = not _joinable([to], attempt.run.software)
            self._migrate(attempt, to, now)

    def _serves_elsewhere(self, attempt: Attempt) -> bool:
        """Return whether another endpoint could continue the text of a stream."""
        serving = self._placement.serving_endpoints(attempt.run.software)
        return any(end.id != attempt.endpoint.id for end in serving)

    def _migrate(self, attempt: Attempt, to: Endpoint | None, now) -> None:
        balancer = self._discovery.balancer
        log.event(
            "item.moved",
            attempt.run.item.id,
            batch=self._placement.batch.id,
            endpoint=attempt.endpoint.id,
            software=attempt.endpoint.software,
            events=attempt.run.events(),
            begins_anew=attempt.begins_anew,
            silent_s=round(attempt.silent_s(now), 3),
            pace_s=balancer.latency(attempt.endpoint, now),
            to=to.id if to else None,
            pace_there_s=balancer.latency(to, now) if to else None,
        )
        self._placement.prompts.move_group(attempt.run.item, attempt.endpoint, to)
        attempt.scope.cancel()


def _joinable(
    endpoints: list[Endpoint], software: SoftwareVersion | None
) -> list[Endpoint]:
    """Return the endpoints at which a text of this software can go on.

    None stands for an item without text, which can run anywhere.
    """
    return [end for end in endpoints if software in (None, software_of(end))]
