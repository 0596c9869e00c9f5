"""Run the items of a batch on endpoints."""

from collections.abc import Callable

import anyio

from plantainstack import log, metrics
from plantainstack.errors import Failure, Outcome
from plantainstack.policy import batch_scheduling, tenant_admission
from plantainstack.policy.item_runs import ItemRun, PartialText, StreamCheck
from plantainstack.policy.load_balancing import EVENT_WEIGHT
from plantainstack.policy.reward_calls import GroupProgress
from plantainstack.policy.software_versions import software_of
from plantainstack.services.batch_results import ResultWriter
from plantainstack.services.batch_store import BatchStore, StateRow
from plantainstack.services.item_memory import ItemMemory
from plantainstack.services.item_migration import Attempt, ItemMigration
from plantainstack.services.item_placement import ItemPlacement
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
    Route,
    rate_limit_of,
)
from plantainstack.tasks import contained, record_exception, restart_delay_s

# Items are started in groups of START_ITEMS with a pause in between. A small machine
# needs 5 ms to open a stream; the pause lets the streams of the longest items, which
# start first, open before later items compete for the event loop.
START_ITEMS = 8
START_GAP_S = 0.005
# Delay after a refused or failed attempt. Most refusals come from endpoints that load
# weights, which takes about a second.
ITEM_RETRY_S = 0.1


class BatchRun:
    """Run the items of a batch that this instance owns and store their results.

    `listed` holds the ids of items with a stored result, which are skipped. `partials`
    holds the text of unfinished items, from which they continue. `on_state` is called
    with each new state of the batch and the results added by it.
    """

    def __init__(
        self,
        kernel,
        batch_store: BatchStore,
        batch: Batch,
        route: Route,
        row: StateRow,
        listed: set[str],
        partials: dict[str, PartialText],
        on_state: Callable[[StateRow, list[ItemResult]], None],
    ):
        self.batch = batch
        self._clock = kernel.clock
        self._discovery = kernel.plugin("discovery")
        self._endpoints = kernel.plugin("store").endpoint_client
        self._reward_calls = kernel.plugin("reward_calls")
        self._permits = kernel.plugin("rate_permits")
        self._writer = ResultWriter(
            kernel.clock, batch_store, batch.id, row, self._latencies, on_state
        )
        self._listed_items = listed
        self._partials = partials
        self._placement = ItemPlacement(kernel, batch, route, self._cancel_attempts)
        self._attempts: dict[str, Attempt] = {}
        self._memory = ItemMemory(kernel.answer_memory, self._give_up_text)
        self._migration = ItemMigration(
            kernel, self._placement, self._attempts, self._tokens_per_event
        )
        # Sums over the ended items: hinted tokens and received events.
        self._ended_tokens = 0
        self._ended_events = 0
        self._group_progress: dict[str, GroupProgress] = {}
        # Scopes of the items that are being scored.
        self._scoring: dict[str, anyio.CancelScope] = {}
        self._started_at = self._clock.now()
        self._scope = anyio.CancelScope()
        self.stopped = False

    async def run(self) -> None:
        """Run until all results are stored, the batch ends or it has a new owner."""
        order = batch_scheduling.item_order(self.batch)
        self._placement.prompts.long_items = {item.id for item in order.long}
        items = [
            item
            for item in order.long + order.others
            if item.id not in self._listed_items
        ]
        self._discovery.need_recent_endpoints()
        for item in items:
            self._progress_of_group(item).unfinished += 1
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write_results)
                    tasks.start_soon(self._migration.run)
                    await self._start_items(tasks, items)
        finally:
            self._memory.end_all()
        self.stopped = True

    async def _write_results(self) -> None:
        await self._writer.run()
        self.stop()

    def unwritten_bytes(self) -> int:
        """Return the size of the results of ended items that are not stored yet."""
        return self._writer.waiting_bytes()

    @property
    def placement(self) -> ItemPlacement:
        """Return the placement of the batch's items."""
        return self._placement

    def attempt(self, item_id: str) -> Attempt | None:
        """Return the running attempt at an item, None if it does not run."""
        return self._attempts.get(item_id)

    def stop(self) -> None:
        """Cancel all streams and the writing of results at once."""
        self.stopped = True
        self._scope.cancel()

    async def release(self) -> None:
        """Stop and store the partial texts, so that another instance can continue."""
        await self._writer.release(self.stop)

    async def _start_items(self, tasks, items: list[Item]) -> None:
        prompts = self._placement.prompts
        starts = prompts.begin_starts(items)
        for number in range(1, len(items) + 1):
            item = await prompts.next_item(starts)
            if number % START_ITEMS == 0:
                await self._clock.sleep_until(self._clock.now() + START_GAP_S)
            run = ItemRun(item, self.batch, self._placement.route.single_version)
            if item.id in self._partials:
                run.restore(self._partials[item.id])
                self._placement.settle_software(run)
            endpoint = None
            # An item with text may wait for its software version; the others do not
            # wait behind it.
            if not run.events():
                since = self._clock.now()
                with contained("BatchRun._start_items", item=item.id):
                    endpoint = await self._placement.reserve(run, frozenset(), since)
            prompts.record_started(item)
            self._writer.begin(run)
            tasks.start_soon(self._run_item, run, endpoint)

    def _cancel_attempts(self) -> None:
        for attempt in self._attempts.values():
            attempt.scope.cancel()
        for scope in self._scoring.values():
            scope.cancel()

    async def _run_item(self, run: ItemRun, endpoint: Endpoint | None) -> None:
        started = self._clock.now()
        tried: list[str] = []
        failures = 0
        while True:
            try:
                result = await self._generate(run, endpoint, tried)
                generated_at = self._clock.now()
                if self._needs_score(run, result):
                    result = await self._score(run)
                break
            except Exception as exc:
                record_exception("BatchRun._run_item", exc, item=run.item.id)
            failures += 1
            endpoint = None
            if run.attempt_events():
                # Whether all of them are sound is not known.
                run.discard_attempt()
            delay_s = restart_delay_s(failures)
            await self._clock.sleep_until(self._clock.now() + delay_s)
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
            software=run.software.version if run.software else None,
            length_hint=run.item.length_hint,
            endpoints=tried,
            waited_s=round(started - self._started_at, 3),
            seconds=round(now - started, 3),
            score_s=round(now - generated_at, 3),
        )
        self._progress_of_group(run.item).unfinished -= 1
        self._writer.end(result)

    def _give_up_text(self, run: ItemRun) -> None:
        """Discard the text of an item for other answers, and begin it anew."""
        self._placement.discard_text(run, "memory")
        attempt = self._attempts.get(run.item.id)
        if attempt is not None:
            attempt.scope.cancel()

    @staticmethod
    def _needs_score(run: ItemRun, result: ItemResult) -> bool:
        completed = result.state is ItemState.COMPLETED
        return completed and run.item.reward_call is not None

    async def _generate(
        self, run: ItemRun, endpoint: Endpoint | None, tried: list[str]
    ) -> ItemResult:
        """Generate the text of an item; `tried` collects the endpoints used.

        Without an endpoint, one is reserved; if there is none in time, the item is
        abandoned.
        """
        if run.text_complete:
            return run.completed()
        result = None
        since = self._clock.now()
        if endpoint is None:
            endpoint = await self._placement.reserve(run, frozenset(), since)
        while result is None:
            if endpoint is None:
                return run.abandoned()
            tried.append(endpoint.id)
            attempt = Attempt(run, endpoint, self._clock.now())
            self._attempts[run.item.id] = attempt
            try:
                run.begin_attempt()
                self._memory.begin(run, endpoint)
                with attempt.scope:
                    result = await self._attempt(run, attempt)
                result = self._confirmed(run, endpoint, result)
            finally:
                self._attempts.pop(run.item.id, None)
                self._placement.release(endpoint)
                if attempt.last_event_at is None:
                    self._placement.prompts.record_unanswered(run.item, endpoint)
            if result is None:
                since = attempt.last_event_at or since
                if attempt.begins_anew and run.events():
                    self._placement.discard_text(run, "migrated")
                tried_last = frozenset((endpoint.id,))
                endpoint = await self._placement.reserve(run, tried_last, since)
        self._memory.end(run)
        self._ended_tokens += run.item.length_hint
        self._ended_events += run.events()
        return result

    def _confirmed(
        self, run: ItemRun, endpoint: Endpoint, result: ItemResult | None
    ) -> ItemResult | None:
        """Discard what an attempt added if its endpoint has other software by now.

        A restarted endpoint may keep its id, and its registration is read late: the
        stream may have been opened at the new process.
        """
        if not run.attempt_events() or not self._placement.software_changed(endpoint):
            return result
        self._placement.discard_attempt(run, endpoint)
        return result if result and result.state is ItemState.ABANDONED else None

    async def _score(self, run: ItemRun) -> ItemResult:
        """Score a complete text; the item is abandoned if that is not possible."""
        request = RewardRequest(
            run.item.reward_call,
            run.item.id,
            self.batch.id,
            self._placement.route,
            self._placement.deadline,
            self._started_at + self._placement.route.result_target_s,
            self._progress_of_group(run.item),
            run.reward_attempts,
            self.batch.tenant,
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

    async def _attempt(self, run: ItemRun, attempt: Attempt) -> ItemResult | None:
        item = run.item
        endpoint = attempt.endpoint
        identity = tenant_admission.endpoint_identity(
            self._discovery.serving,
            self._placement.route,
            endpoint.service,
            self.batch.tenant,
        )
        call = EndpointCall(
            item.id,
            "POST",
            item.path,
            self.batch.host,
            item.headers,
            item.body,
            self._placement.deadline,
            run.last_event,
            tenant=identity.tenant,
            priority=identity.priority,
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
        self, run: ItemRun, attempt: Attempt, stream: OpenStream
    ) -> ItemResult | None:
        endpoint = attempt.endpoint
        balancer = self._discovery.balancer
        balancer.record_load_report(endpoint, stream.head.load, self._clock.now())
        check = run.begin_stream(stream.head.version, software_of(endpoint))
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
            self._memory.update(run)
            self._record_event(attempt)
        if not run.end_stream():
            return None
        # A complete text must not be given up any more.
        self._memory.end(run)
        return run.completed()

    def _record_event(self, attempt: Attempt) -> None:
        now = self._clock.now()
        if attempt.last_event_at is None:
            self._placement.prompts.record_first_event(
                attempt.run.item, attempt.endpoint
            )
        attempt.last_event_at = now
        sample = attempt.pace.record(now)
        if sample is not None:
            weight = 1.0 - (1.0 - EVENT_WEIGHT) ** sample.events
            balancer = self._discovery.balancer
            balancer.record_latency(attempt.endpoint, sample.seconds, now, weight)

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
            software=endpoint.software,
            status=status,
            not_run=found.not_run,
        )
        result = None
        if not found.not_run:
            result = run.record_error_status(
                status, self._placement.route.endpoints_max
            )
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
            software=endpoint.software,
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
            software=endpoint.software,
            events=run.events(),
            min_version=self.batch.min_version,
            reason=check.value,
        )
        if check is StreamCheck.TOO_LONG:
            self._discovery.balancer.record_failure(endpoint, self._clock.now())
            self._placement.discard_text(run, check.value)

    async def _pause(self) -> None:
        await self._clock.sleep_until(self._clock.now() + ITEM_RETRY_S)
