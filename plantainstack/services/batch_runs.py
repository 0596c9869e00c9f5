"""Run the items of a batch on endpoints."""

import random
from collections.abc import Callable

import anyio

from plantainstack import log, metrics
from plantainstack.errors import Failure, Outcome
from plantainstack.interfaces import Priority
from plantainstack.policy import batch_scheduling, route_table
from plantainstack.policy.item_runs import ItemRun, PartialText, StreamCheck
from plantainstack.policy.load_balancing import EVENT_WEIGHT
from plantainstack.policy.reward_calls import GroupProgress
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
from plantainstack.services.reward_calls import RewardRequest
from plantainstack.serving import (
    Batch,
    Endpoint,
    EndpointAnswer,
    EndpointCall,
    Item,
    ItemResult,
    ItemState,
    OpenStream,
    RequestKind,
    Route,
    ServingConfig,
    rate_limit_of,
)

# Maximum wait for a free slot before the endpoints are checked again. Slots that other
# instances free are not signalled to this one.
SLOT_RETRY_S = 0.05
# Items are started in groups of START_ITEMS with a pause in between. A small machine
# needs 5 ms to open a stream; the pause lets the streams of the longest items, which
# start first, open before later items compete for the event loop.
START_ITEMS = 8
START_GAP_S = 0.005
STREAM_CHECK_INTERVAL_S = 0.1
# Interval of trial requests while no endpoint is known to have recent weights. Loading
# weights takes about 1 s, and each request sent too early costs a connection.
PROBE_INTERVAL_S = 0.4
# Delay after a refused or failed attempt. Most refusals come from endpoints that load
# weights, which takes about a second.
ITEM_RETRY_S = 0.1
# Number of requests per slot above which an endpoint queues them.
LOAD_MAX = 1.0


def batch_route(cfg: ServingConfig, batch: Batch) -> Route | None:
    """Return the current route of a batch, or None if it no longer has one."""
    found = route_table.match(cfg, batch.host, batch.path)
    if found is None or found.kind is not RequestKind.BATCH:
        return None
    return found


class _Attempt:
    """Track one attempt to run an item: its endpoint and the progress of its stream."""

    def __init__(self, run: ItemRun, endpoint: Endpoint, now: float):
        self.run = run
        self.endpoint = endpoint
        self.scope = anyio.CancelScope()
        self.started_at = now
        self.last_event_at: float | None = None

    def progress(self, tokens_per_event: float | None) -> StreamProgress:
        """Return the progress of the stream with an estimate of the events left."""
        hint = self.run.item.length_hint
        left = estimate_remaining_events(self.run.events(), hint, tokens_per_event)
        return StreamProgress(self.started_at, self.last_event_at, left)


class BatchRun:
    """Run the items of a batch that this instance owns and store their results.

    Items in `listed` have a stored result and are skipped. `partials` holds the text
    of unfinished items, from which they continue. `on_state` is called with each new
    state of the batch and the results added by it.
    """

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
        self._reward_calls = kernel.plugin("reward_calls")
        self._permits = kernel.plugin("rate_permits")
        self._route = route
        self._writer = ResultWriter(
            kernel.clock, batch_store, batch.id, row, self._latencies, on_state
        )
        self._listed_items = {result.item_id for result in listed}
        self._partials = partials
        self._long_items: set[str] = set()
        self._next_probe_at = 0.0
        self._rng = random.Random(batch.id)
        self._attempts: dict[str, _Attempt] = {}
        # Sums over the ended items: hinted tokens and received events.
        self._ended_tokens = 0
        self._ended_events = 0
        self._slot_freed = anyio.Event()
        self._group_endpoints: dict[str, str] = {}
        self._group_progress: dict[str, GroupProgress] = {}
        # Scopes of the items that are being scored.
        self._scoring: dict[str, anyio.CancelScope] = {}
        self._started_at = self._clock.now()
        self._deadline = self._started_at + route.queue_limit_s
        self._scope = anyio.CancelScope()
        self.stopped = False

    async def run(self) -> None:
        """Run until all results are stored, the batch ends or it has a new owner."""
        order = batch_scheduling.item_order(self.batch)
        self._long_items = {item.id for item in order.long}
        items = [
            item
            for item in order.long + order.others
            if item.id not in self._listed_items
        ]
        self._discovery.need_recent_endpoints()
        for item in items:
            self._progress_of_group(item).unfinished += 1
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write_results)
                tasks.start_soon(self._migrate_streams)
                await self._start_items(tasks, items)
        self.stopped = True

    async def _write_results(self) -> None:
        await self._writer.run()
        self.stop()

    def stop(self) -> None:
        """Cancel all streams and the writing of results at once."""
        self.stopped = True
        self._scope.cancel()

    async def release(self) -> None:
        """Stop and store the partial texts, so that another instance can continue."""
        await self._writer.release(self.stop)

    async def _start_items(self, tasks, items: list[Item]) -> None:
        for number, item in enumerate(items, 1):
            if number % START_ITEMS == 0:
                await self._clock.sleep_until(self._clock.now() + START_GAP_S)
            run = ItemRun(item, self.batch, self._route.single_version)
            if item.id in self._partials:
                run.restore(self._partials[item.id])
            endpoint = None
            if not run.text_complete:
                endpoint = await self._reserve_slot(item, frozenset())
            self._writer.begin(run)
            tasks.start_soon(self._run_item, run, endpoint)

    async def _reserve_slot(
        self, item: Item, exclude: frozenset[str]
    ) -> Endpoint | None:
        """Reserve a slot, at the endpoint of the item's group if that has one free.

        `exclude` applies to the first choice only. Returns None if no slot was found
        within the route's queue limit.
        """
        while self._clock.now() <= self._deadline:
            endpoint = self._choose(item, exclude)
            exclude = frozenset()
            if endpoint is not None:
                self._permits.take(endpoint, Priority.ROLLOUT)
                self._discovery.balancer.request_started(endpoint)
                return endpoint
            with anyio.move_on_after(SLOT_RETRY_S):
                await self._slot_freed.wait()
        return None

    def _choose(self, item: Item, exclude: frozenset[str]) -> Endpoint | None:
        balancer = self._discovery.balancer
        now = self._clock.now()
        self._apply_current_route()
        usable = self._permits.open_endpoints(self._candidates(), Priority.ROLLOUT)
        if item.id in self._long_items:
            fast = [end for end in usable if end.id not in exclude]
            selection = balancer.choose_fastest(fast, now, LOAD_MAX)
            if selection is not None:
                return selection.endpoint
        preferred = self._group_endpoints.get(item.group)
        for endpoint in usable:
            if (
                endpoint.id == preferred
                and endpoint.id not in exclude
                and not balancer.is_avoided(endpoint, now)
                and balancer.load(endpoint, now) < LOAD_MAX
            ):
                return endpoint
        selection = balancer.choose(usable, now, exclude, LOAD_MAX)
        if selection is None:
            return None
        self._group_endpoints[item.group] = selection.endpoint.id
        return selection.endpoint

    def _endpoints_with_recent_weights(self) -> list[Endpoint]:
        """Return the endpoints whose weights are recent enough for the batch."""
        return [
            end for end in self._usable_endpoints() if self._has_recent_weights(end)
        ]

    def _candidates(self) -> list[Endpoint]:
        """Return the endpoints that an item may be sent to.

        Registrations show new weights up to 2 s late. If none is recent enough, one
        item per PROBE_INTERVAL_S is sent anyway: the response states the version that
        the endpoint really has.
        """
        recent = self._endpoints_with_recent_weights()
        now = self._clock.now()
        if recent or now < self._next_probe_at:
            return recent
        self._next_probe_at = now + PROBE_INTERVAL_S
        return self._usable_endpoints()

    def _usable_endpoints(self) -> list[Endpoint]:
        service = route_table.pick_service(self._route, self._rng)
        return self._discovery.usable(service)

    def _apply_current_route(self) -> None:
        """Apply the current route; without one, abandon the unfinished items."""
        found = batch_route(self._discovery.serving, self.batch)
        if found is not None:
            self._route = found
            return
        log.event("batch.route_gone", self.batch.id, route=self._route.name)
        self._deadline = 0.0
        for attempt in self._attempts.values():
            attempt.scope.cancel()
        for scope in self._scoring.values():
            scope.cancel()

    def _has_recent_weights(self, endpoint: Endpoint) -> bool:
        version = endpoint.versions.get(self.batch.model, 0)
        reported = self._discovery.reported_version(endpoint, self.batch.model)
        return max(version, reported) >= self.batch.min_version

    async def _run_item(self, run: ItemRun, endpoint: Endpoint | None) -> None:
        started = self._clock.now()
        tried: list[str] = []
        result = await self._generate(run, endpoint, tried)
        generated_at = self._clock.now()
        if result.state is ItemState.COMPLETED and run.item.reward_call is not None:
            result = await self._score(run)
        now = self._clock.now()
        metrics.BATCH_SECONDS.labels(result.state.value).observe(now - started)
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
            seconds=round(now - started, 3),
            score_s=round(now - generated_at, 3),
        )
        self._progress_of_group(run.item).unfinished -= 1
        self._writer.end(result)

    async def _generate(
        self, run: ItemRun, endpoint: Endpoint | None, tried: list[str]
    ) -> ItemResult:
        """Generate the text of an item; `tried` collects the endpoints used."""
        if run.text_complete:
            return run.completed()
        result = None
        while result is None:
            if endpoint is None:
                return run.abandoned()
            tried.append(endpoint.id)
            attempt = _Attempt(run, endpoint, self._clock.now())
            self._attempts[run.item.id] = attempt
            try:
                with attempt.scope:
                    result = await self._attempt(run, attempt)
            finally:
                self._attempts.pop(run.item.id, None)
                self._discovery.balancer.request_ended(endpoint)
                self._notify_slot_freed()
            if result is None:
                endpoint = await self._reserve_slot(run.item, frozenset((endpoint.id,)))
        self._ended_tokens += run.item.length_hint
        self._ended_events += run.events()
        return result

    async def _score(self, run: ItemRun) -> ItemResult:
        """Score a complete text; the item is abandoned if that is not possible."""
        request = RewardRequest(
            run.item.reward_call,
            run.item.id,
            self.batch.id,
            self._route,
            self._deadline,
            self._started_at + self._route.result_target_s,
            self._progress_of_group(run.item),
            run.reward_attempts,
        )
        score = None
        scope = self._scoring[run.item.id] = anyio.CancelScope()
        try:
            with scope:
                score = await self._reward_calls.score(request)
        finally:
            del self._scoring[run.item.id]
        return run.abandoned() if score is None else run.completed(score)

    def _progress_of_group(self, item: Item) -> GroupProgress:
        key = item.group or item.id
        return self._group_progress.setdefault(key, GroupProgress())

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
            self._deadline,
            run.last_event,
        )
        self._permits.record_request(endpoint, item.id)
        async with self._endpoints.stream(endpoint, call) as opened:
            if opened.is_ok():
                limit = rate_limit_of(opened.unwrap())
                self._permits.record_answer(endpoint, limit, attempt.started_at)
            if opened.is_err():
                self._handle_failure(run, endpoint, opened.unwrap_err())
            elif isinstance(opened.unwrap(), EndpointAnswer):
                return await self._handle_refusal(run, endpoint, opened.unwrap())
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
        check = run.begin_stream(stream.head.version)
        if stream.head.version is not None:
            self._discovery.record_version(
                endpoint, self.batch.model, stream.head.version
            )
        if check is not StreamCheck.KEEP:
            self._drop_stream(run, endpoint, check)
            await self._pause()
            return None
        async for outcome in stream.events():
            if outcome.is_err():
                self._handle_failure(run, endpoint, outcome.unwrap_err())
                return None
            check = run.append_event(outcome.unwrap())
            if check is not StreamCheck.KEEP:
                self._drop_stream(run, endpoint, check)
                return None
            self._record_event(attempt)
        return run.completed() if run.end_stream() else None

    def _record_event(self, attempt: _Attempt) -> None:
        now = self._clock.now()
        if attempt.last_event_at is not None:
            # The time to the first event is left out: it includes queueing and prefill.
            gap = now - attempt.last_event_at
            balancer = self._discovery.balancer
            balancer.record_latency(attempt.endpoint, gap, now, EVENT_WEIGHT)
        attempt.last_event_at = now

    async def _migrate_streams(self) -> None:
        """Periodically migrate stalled and slow streams to other endpoints."""
        lag = LoopLag()
        while True:
            planned = self._clock.now() + STREAM_CHECK_INTERVAL_S
            await self._clock.sleep_until(planned)
            now = self._clock.now()
            lag.record(planned, now)
            self._discovery.need_recent_endpoints()
            self._apply_current_route()
            recent = self._endpoints_with_recent_weights()
            best_latency = self._discovery.balancer.best_latency(recent, now)
            usable = self._open_endpoints(recent, now)
            for item_id, attempt in list(self._attempts.items()):
                progress = attempt.progress(self._tokens_per_event())
                if is_stalled(progress, best_latency, now, lag.seconds):
                    self._migrate_stalled(item_id, attempt, usable, now)
            self._migrate_slow(usable, now)

    def _open_endpoints(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints to which a stream may be moved without a new permit."""
        limits = self._discovery.rate_limits
        return [end for end in endpoints if limits.may_send(end, Priority.ROLLOUT, now)]

    def _migrate_stalled(self, item_id: str, attempt: _Attempt, usable, now) -> None:
        balancer = self._discovery.balancer
        exclude = frozenset((attempt.endpoint.id,))
        selection = balancer.choose(usable, now, exclude, LOAD_MAX)
        if selection is None or balancer.is_avoided(selection.endpoint, now):
            return
        balancer.record_refusal(attempt.endpoint, now)
        self._migrate(item_id, attempt, None, now)

    def _migrate_slow(self, usable: list[Endpoint], now: float) -> None:
        balancer = self._discovery.balancer
        faster = balancer.fastest_available(usable, now, LOAD_MAX)
        if faster is None:
            return
        target_latency = balancer.latency(faster, now)
        slow: list[MigrationCandidate] = []
        for item_id, attempt in self._attempts.items():
            current_latency = balancer.latency(attempt.endpoint, now)
            progress = attempt.progress(self._tokens_per_event())
            gain = migration_gain(progress, current_latency, target_latency, now)
            if gain > 0.0 and not attempt.scope.cancel_called:
                slow.append(
                    MigrationCandidate(item_id, gain, current_latency / target_latency)
                )
        for item_id in select_migrations(slow):
            self._migrate(item_id, self._attempts[item_id], faster, now)

    def _migrate(
        self, item_id: str, attempt: _Attempt, to: Endpoint | None, now
    ) -> None:
        balancer = self._discovery.balancer
        last_activity_at = attempt.last_event_at or attempt.started_at
        log.event(
            "item.moved",
            item_id,
            batch=self.batch.id,
            endpoint=attempt.endpoint.id,
            events=attempt.run.events(),
            silent_s=round(now - last_activity_at, 3),
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

    def _latencies(self) -> dict[str, float]:
        """Return the latencies in seconds per event of the endpoints in use."""
        now = self._clock.now()
        balancer = self._discovery.balancer
        used = {each.endpoint.id: each.endpoint for each in self._attempts.values()}
        latencies = {id: balancer.latency(end, now) for id, end in used.items()}
        return {
            id: round(latency, 4)
            for id, latency in latencies.items()
            if latency is not None
        }

    def _tokens_per_event(self) -> float | None:
        """Estimate the tokens per event from the ended items, None without any."""
        return self._ended_tokens / self._ended_events if self._ended_events else None

    async def _handle_refusal(
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

    def _handle_failure(
        self, run: ItemRun, endpoint: Endpoint, failure: Failure
    ) -> None:
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

    def _drop_stream(
        self, run: ItemRun, endpoint: Endpoint, check: StreamCheck
    ) -> None:
        self._discovery.balancer.record_refusal(endpoint, self._clock.now())
        log.event(
            "item.stream_dropped",
            run.item.id,
            batch=self.batch.id,
            endpoint=endpoint.id,
            events=run.events(),
            min_version=self.batch.min_version,
            reason=check.value,
        )

    async def _pause(self) -> None:
        await self._clock.sleep_until(self._clock.now() + ITEM_RETRY_S)

    def _notify_slot_freed(self) -> None:
        event, self._slot_freed = self._slot_freed, anyio.Event()
        event.set()
