"""Run the items of one batch at endpoints."""

import random
from collections.abc import Callable

import anyio

from plantainstack import log, metrics
from plantainstack.errors import Failure, Outcome
from plantainstack.policy import batch_scheduling, route_table
from plantainstack.policy.item_runs import ItemRun, PartialText, StreamCheck
from plantainstack.policy.load_balancing import EVENT_WEIGHT
from plantainstack.policy.stream_migration import (
    LoopLag,
    MigrationCandidate,
    StreamProgress,
    estimate_remaining_events,
    is_stalled,
    migration_gain,
    select_migrations,
)
from plantainstack.services.batch_results import ResultWriter
from plantainstack.services.batch_store import BatchStore, StateRow
from plantainstack.serving import (
    Batch,
    Endpoint,
    EndpointAnswer,
    EndpointCall,
    Item,
    ItemResult,
    OpenStream,
    RequestKind,
    Route,
    ServingConfig,
)

# A place may come free at another instance, which tells nobody.
PLACE_RETRY_S = 0.05
# A small machine needs 5 ms to open a stream. Those that are to end last are opened
# before the others take a turn of the loop.
START_ITEMS = 8
START_GAP_S = 0.005
WATCH_S = 0.1
# A load takes about 1 s; each probe that comes too early costs a connection.
PROBE_S = 0.4
# After a refusal; most are from endpoints that load weights for about a second.
ITEM_RETRY_S = 0.1
# Endpoints take this many requests for each of their slots before they queue.
LOAD_MAX = 1.0


def batch_route(cfg: ServingConfig, batch: Batch) -> Route | None:
    """Return the route that a batch came by, as it is in force now."""
    found = route_table.match(cfg, batch.host, batch.path)
    if found is None or found.kind is not RequestKind.BATCH:
        return None
    return found


class _Attempt:
    """Hold the stream of one item that is being read."""

    def __init__(self, run: ItemRun, endpoint: Endpoint, now: float):
        self.run = run
        self.endpoint = endpoint
        self.scope = anyio.CancelScope()
        self.since = now
        self.last_event_at: float | None = None

    def progress(self, tokens_per_event: float | None) -> StreamProgress:
        """Return how far the stream has come."""
        hint = self.run.item.length_hint
        left = estimate_remaining_events(self.run.events(), hint, tokens_per_event)
        return StreamProgress(self.since, self.last_event_at, left)


class BatchRun:
    """Own one batch: run what is not listed, list what has ended."""

    def __init__(
        self,
        kernel,
        batch_store: BatchStore,
        batch: Batch,
        route: Route,
        row: StateRow,
        listed: list[ItemResult],
        partials: dict[str, PartialText],
        on_state: Callable[[StateRow, list[ItemResult]], None],
    ):
        self.batch = batch
        self._clock = kernel.clock
        self._discovery = kernel.plugin("discovery")
        self._endpoints = kernel.plugin("store").endpoint_client
        self._route = route
        self._writer = ResultWriter(
            kernel.clock, batch_store, batch.id, row, self._paces, on_state
        )
        self._done = {result.item_id for result in listed}
        self._partials = partials
        self._long: set[str] = set()
        self._probe_at = 0.0
        self._rng = random.Random(batch.id)
        self._attempts: dict[str, _Attempt] = {}
        # Hinted tokens and events of the items that ended.
        self._ended_tokens = 0
        self._ended_events = 0
        self._places_changed = anyio.Event()
        self._group_endpoints: dict[str, str] = {}
        self._started_at = self._clock.now()
        self._give_up_at = self._started_at + route.queue_limit_s
        self._scope = anyio.CancelScope()
        self.stopped = False

    async def run(self) -> None:
        """Run until every item is listed, or the batch is ended or lost."""
        order = batch_scheduling.item_order(self.batch)
        self._long = {item.id for item in order.long}
        items = [
            item for item in order.long + order.others if item.id not in self._done
        ]
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                tasks.start_soon(self._move_slow)
                await self._start_items(tasks, items)
        self.stopped = True

    async def _write(self) -> None:
        await self._writer.run()
        self.stop()

    def stop(self) -> None:
        """Stop at once; the store holds what has been listed."""
        self.stopped = True
        self._scope.cancel()

    async def release(self) -> None:
        """Stop, and leave the text so far to another instance."""
        await self._writer.release(self.stop)

    async def _start_items(self, tasks, items: list[Item]) -> None:
        for number, item in enumerate(items, 1):
            if number % START_ITEMS == 0:
                await self._clock.sleep_until(self._clock.now() + START_GAP_S)
            run = ItemRun(item, self.batch, self._route.single_version)
            endpoint = await self._place(item, frozenset())
            if item.id in self._partials:
                run.restore(self._partials[item.id])
            self._writer.begin(run)
            tasks.start_soon(self._run_item, run, endpoint)

    async def _place(self, item: Item, exclude: frozenset[str]) -> Endpoint | None:
        """Wait for a place, at the endpoint of the item's group if it has one.

        Endpoints to exclude are left out of the first choice only. None tells that
        the item's time is up.
        """
        while self._clock.now() <= self._give_up_at:
            endpoint = self._choose(item, exclude)
            exclude = frozenset()
            if endpoint is not None:
                self._discovery.balancer.request_started(endpoint)
                return endpoint
            with anyio.move_on_after(PLACE_RETRY_S):
                await self._places_changed.wait()
        return None

    def _choose(self, item: Item, exclude: frozenset[str]) -> Endpoint | None:
        balancer = self._discovery.balancer
        now = self._clock.now()
        self._follow_route()
        usable = self._to_ask()
        if item.id in self._long:
            fast = [end for end in usable if end.id not in exclude]
            placed = balancer.choose_fastest(fast, now, LOAD_MAX)
            if placed is not None:
                return placed.endpoint
        preferred = self._group_endpoints.get(item.group)
        for endpoint in usable:
            if (
                endpoint.id == preferred
                and endpoint.id not in exclude
                and not balancer.is_avoided(endpoint, now)
                and balancer.load(endpoint, now) < LOAD_MAX
            ):
                return endpoint
        placed = balancer.choose(usable, now, exclude, LOAD_MAX)
        if placed is None:
            return None
        self._group_endpoints[item.group] = placed.endpoint.id
        return placed.endpoint

    def _recent(self) -> list[Endpoint]:
        """Return the endpoints with weights that the batch allows."""
        return [end for end in self._known() if self._recent_enough(end)]

    def _to_ask(self) -> list[Endpoint]:
        """Return the endpoints that an item may be sent to.

        Registrations follow a load by up to 2 s; where none is recent enough, one
        item after the other is sent all the same, and the answer names the version.
        """
        recent = self._recent()
        now = self._clock.now()
        if recent or now < self._probe_at:
            return recent
        self._probe_at = now + PROBE_S
        return self._known()

    def _known(self) -> list[Endpoint]:
        service = route_table.pick_service(self._route, self._rng)
        return self._discovery.usable(service)

    def _follow_route(self) -> None:
        """Take over a changed route; without one, what is left is given up."""
        found = batch_route(self._discovery.serving, self.batch)
        if found is not None:
            self._route = found
            return
        log.event("batch.route_gone", self.batch.id, route=self._route.name)
        self._give_up_at = 0.0
        for attempt in self._attempts.values():
            attempt.scope.cancel()

    def _recent_enough(self, endpoint: Endpoint) -> bool:
        version = endpoint.versions.get(self.batch.model, 0)
        seen = self._discovery.seen_version(endpoint, self.batch.model)
        return max(version, seen) >= self.batch.min_version

    async def _run_item(self, run: ItemRun, endpoint: Endpoint | None) -> None:
        started = self._clock.now()
        tried: list[str] = []
        result = None
        while result is None:
            if endpoint is None:
                result = run.abandoned()
                break
            tried.append(endpoint.id)
            attempt = _Attempt(run, endpoint, self._clock.now())
            self._attempts[run.item.id] = attempt
            try:
                with attempt.scope:
                    result = await self._attempt(run, attempt)
            finally:
                self._attempts.pop(run.item.id, None)
                self._discovery.balancer.request_ended(endpoint)
                self._notify_places()
            if result is None:
                endpoint = await self._place(run.item, frozenset((endpoint.id,)))
        seconds = self._clock.now() - started
        metrics.BATCH_SECONDS.labels(result.state.value).observe(seconds)
        log.event(
            "item.ended",
            run.item.id,
            batch=self.batch.id,
            group=run.item.group,
            state=result.state.value,
            events=run.events(),
            versions=result.versions,
            length_hint=run.item.length_hint,
            endpoints=tried,
            waited_s=round(started - self._started_at, 3),
            seconds=round(seconds, 3),
        )
        self._ended_tokens += run.item.length_hint
        self._ended_events += run.events()
        self._writer.end(result)

    async def _attempt(self, run: ItemRun, attempt: _Attempt) -> ItemResult | None:
        item = run.item
        endpoint = attempt.endpoint
        call = EndpointCall(
            item.id,
            "POST",
            item.path,
            self.batch.host,
            item.headers,
            item.body,
            self._give_up_at,
            run.last_event,
        )
        async with self._endpoints.stream(endpoint, call) as opened:
            if opened.is_err():
                self._failed(run, endpoint, opened.unwrap_err())
            elif isinstance(opened.unwrap(), EndpointAnswer):
                return await self._refused(run, endpoint, opened.unwrap())
            else:
                return await self._read(run, attempt, opened.unwrap())
        await self._pause()
        return None

    async def _read(
        self, run: ItemRun, attempt: _Attempt, stream: OpenStream
    ) -> ItemResult | None:
        endpoint = attempt.endpoint
        balancer = self._discovery.balancer
        balancer.record_load_report(endpoint, stream.head.load, self._clock.now())
        verdict = run.begin_stream(stream.head.version)
        if stream.head.version is not None:
            self._discovery.note_version(
                endpoint, self.batch.model, stream.head.version
            )
        if verdict is not StreamCheck.KEEP:
            self._unusable(run, endpoint, verdict)
            await self._pause()
            return None
        async for outcome in stream.events():
            if outcome.is_err():
                self._failed(run, endpoint, outcome.unwrap_err())
                return None
            verdict = run.append_event(outcome.unwrap())
            if verdict is not StreamCheck.KEEP:
                self._unusable(run, endpoint, verdict)
                return None
            self._note_event(attempt)
        return run.completed()

    def _note_event(self, attempt: _Attempt) -> None:
        now = self._clock.now()
        if attempt.last_event_at is not None:
            # The time to the first event includes waiting and reading the prompt.
            gap = now - attempt.last_event_at
            balancer = self._discovery.balancer
            balancer.record_latency(attempt.endpoint, gap, now, EVENT_WEIGHT)
        attempt.last_event_at = now

    async def _move_slow(self) -> None:
        """Let streams go on elsewhere that are slow or stand still."""
        lag = LoopLag()
        while True:
            planned = self._clock.now() + WATCH_S
            await self._clock.sleep_until(planned)
            now = self._clock.now()
            lag.record(planned, now)
            self._follow_route()
            usable = self._recent()
            best = self._discovery.balancer.best_latency(usable, now)
            for item_id, attempt in list(self._attempts.items()):
                progress = attempt.progress(self._tokens_per_event())
                if is_stalled(progress, best, now, lag.seconds):
                    self._leave_silent(item_id, attempt, usable, now)
            self._leave_slow(usable, now)

    def _leave_silent(self, item_id: str, attempt: _Attempt, usable, now) -> None:
        balancer = self._discovery.balancer
        exclude = frozenset((attempt.endpoint.id,))
        placed = balancer.choose(usable, now, exclude, LOAD_MAX)
        if placed is None or balancer.is_avoided(placed.endpoint, now):
            return
        balancer.record_refusal(attempt.endpoint, now)
        self._move(item_id, attempt, None, now)

    def _leave_slow(self, usable: list[Endpoint], now: float) -> None:
        balancer = self._discovery.balancer
        faster = balancer.fastest_available(usable, now, LOAD_MAX)
        if faster is None:
            return
        there = balancer.latency(faster, now)
        slow: list[MigrationCandidate] = []
        for item_id, attempt in self._attempts.items():
            here = balancer.latency(attempt.endpoint, now)
            progress = attempt.progress(self._tokens_per_event())
            gain = migration_gain(progress, here, there, now)
            if gain > 0.0 and not attempt.scope.cancel_called:
                slow.append(MigrationCandidate(item_id, gain, here / there))
        for item_id in select_migrations(slow):
            self._move(item_id, self._attempts[item_id], faster, now)

    def _move(self, item_id: str, attempt: _Attempt, to: Endpoint | None, now) -> None:
        balancer = self._discovery.balancer
        heard_at = attempt.last_event_at or attempt.since
        log.event(
            "item.moved",
            item_id,
            batch=self.batch.id,
            endpoint=attempt.endpoint.id,
            events=attempt.run.events(),
            silent_s=round(now - heard_at, 3),
            pace_s=balancer.latency(attempt.endpoint, now),
            to=to.id if to else None,
            pace_there_s=balancer.latency(to, now) if to else None,
        )
        self._group_endpoints = {
            group: id
            for group, id in self._group_endpoints.items()
            if id != attempt.endpoint.id
        }
        if to is not None:
            self._group_endpoints[attempt.run.item.group] = to.id
        attempt.scope.cancel()

    def _paces(self) -> dict[str, float]:
        """Return the paces of the endpoints that run items of the batch."""
        now = self._clock.now()
        balancer = self._discovery.balancer
        used = {each.endpoint.id: each.endpoint for each in self._attempts.values()}
        paces = {id: balancer.latency(end, now) for id, end in used.items()}
        return {id: round(pace, 4) for id, pace in paces.items() if pace is not None}

    def _tokens_per_event(self) -> float | None:
        """Return the tokens that an event holds, as the ended items showed."""
        return self._ended_tokens / self._ended_events if self._ended_events else None

    async def _refused(
        self, run: ItemRun, endpoint: Endpoint, found: EndpointAnswer
    ) -> ItemResult | None:
        now = self._clock.now()
        self._discovery.balancer.record_load_report(endpoint, found.load, now)
        self._discovery.balancer.record_refusal(endpoint, now)
        status = found.answer.status
        log.event(
            "item.refused",
            run.item.id,
            batch=self.batch.id,
            endpoint=endpoint.id,
            status=status,
            not_run=found.not_run,
        )
        result = None
        if not found.not_run:
            result = run.record_error_status(status, self._route.endpoints_max)
        if result is None:
            await self._pause()
        return result

    def _failed(self, run: ItemRun, endpoint: Endpoint, failure: Failure) -> None:
        if failure.outcome is not Outcome.NOT_RUN or run.last_event is None:
            self._discovery.balancer.record_failure(endpoint, self._clock.now())
        log.event(
            "item.attempt_failed",
            run.item.id,
            batch=self.batch.id,
            endpoint=endpoint.id,
            events=run.events(),
            kind=failure.kind.value,
            reason=failure.message,
        )

    def _unusable(self, run: ItemRun, endpoint: Endpoint, verdict: StreamCheck) -> None:
        self._discovery.balancer.record_refusal(endpoint, self._clock.now())
        log.event(
            "item.stream_dropped",
            run.item.id,
            batch=self.batch.id,
            endpoint=endpoint.id,
            events=run.events(),
            min_version=self.batch.min_version,
            reason=verdict.value,
        )

    async def _pause(self) -> None:
        await self._clock.sleep_until(self._clock.now() + ITEM_RETRY_S)

    def _notify_places(self) -> None:
        event, self._places_changed = self._places_changed, anyio.Event()
        event.set()
