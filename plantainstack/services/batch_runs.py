"""Run the items of one batch, and list their results in the order of their ends."""

from collections.abc import Callable

import anyio

from plantainstack import log, metrics
from plantainstack.errors import Failure, Outcome
from plantainstack.policy import batch_order
from plantainstack.policy.item_runs import ItemRun, PartialText, Verdict
from plantainstack.services.batch_log import BatchLog, Lost, StateRow
from plantainstack.serving import (
    Batch,
    Endpoint,
    EndpointAnswer,
    EndpointCall,
    Item,
    ItemResult,
    OpenStream,
    Route,
)

# Results that end together are listed in one transaction.
JOIN_S = 0.03
APPEND_BYTES = 500_000
APPEND_ITEMS = 60
# A place may come free at another instance, which tells nobody.
PLACE_RETRY_S = 0.05
# After a refusal; most are from endpoints that load weights for about a second.
ITEM_RETRY_S = 0.1
# Endpoints take this many requests for each of their slots before they queue.
LOAD_MAX = 1.0


class BatchRun:
    """Own one batch: run what is not listed, list what has ended."""

    def __init__(
        self,
        kernel,
        log_of_batches: BatchLog,
        batch: Batch,
        route: Route,
        row: StateRow,
        listed: list[ItemResult],
        partials: dict[str, PartialText],
        on_state: Callable[[StateRow, list[ItemResult]], None],
    ):
        self.batch = batch
        self.row = row
        self._kernel = kernel
        self._clock = kernel.clock
        self._log = log_of_batches
        self._discovery = kernel.plugin("discovery")
        self._endpoints = kernel.plugin("store").endpoints
        self._route = route
        self._on_state = on_state
        self._done = {result.item_id for result in listed}
        self._partials = partials
        self._runs: dict[str, ItemRun] = {}
        self._ended: list[ItemResult] = []
        self._wake = anyio.Event()
        self._places_changed = anyio.Event()
        self._group_endpoints: dict[str, str] = {}
        self._give_up_at = self._clock.now() + route.queue_limit_s
        self._scope = anyio.CancelScope()
        self._writing = anyio.Lock()
        self.stopped = False

    async def run(self) -> None:
        """Run until every item is listed, or the batch is ended or lost."""
        items = [
            item
            for item in batch_order.item_order(self.batch)
            if item.id not in self._done
        ]
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write_results)
                await self._start_items(tasks, items)
        self.stopped = True

    def stop(self) -> None:
        """Stop at once; the store holds what has been listed."""
        self.stopped = True
        self._scope.cancel()

    async def release(self) -> None:
        """Stop, and leave the text so far to another instance."""
        partials = {
            id: run.partial()
            for id, run in self._runs.items()
            if run.partial() is not None
        }
        self.stop()
        async with self._writing:
            outcome = await self._log.release(self.batch.id, self.row, partials)
        log.event(
            "batch.released",
            self.batch.id,
            partial_items=len(partials),
            end="ok" if outcome.is_ok() else outcome.unwrap_err().message,
        )

    async def _start_items(self, tasks, items: list[Item]) -> None:
        for item in items:
            endpoint = await self._place(item, frozenset())
            run = ItemRun(item, self.batch, self._route.single_version)
            if item.id in self._partials:
                run.restore(self._partials[item.id])
            self._runs[item.id] = run
            tasks.start_soon(self._run_item, run, endpoint)

    async def _place(self, item: Item, exclude: frozenset[str]) -> Endpoint:
        """Wait for a place, at the endpoint of the item's group if it has one."""
        while True:
            endpoint = self._choose(item, exclude)
            if endpoint is not None:
                self._discovery.placing.begin(endpoint)
                return endpoint
            with anyio.move_on_after(PLACE_RETRY_S):
                await self._places_changed.wait()

    def _choose(self, item: Item, exclude: frozenset[str]) -> Endpoint | None:
        placing = self._discovery.placing
        now = self._clock.now()
        service = self._route.shares[0].service
        usable = [
            endpoint
            for endpoint in self._discovery.usable(service)
            if self._recent_enough(endpoint)
        ]
        preferred = self._group_endpoints.get(item.group)
        for endpoint in usable:
            if (
                endpoint.id == preferred
                and endpoint.id not in exclude
                and not placing.avoided(endpoint, now)
                and placing.load(endpoint, now) < LOAD_MAX
            ):
                return endpoint
        placed = placing.choose(usable, now, exclude, LOAD_MAX)
        if placed is None:
            return None
        self._group_endpoints[item.group] = placed.endpoint.id
        return placed.endpoint

    def _recent_enough(self, endpoint: Endpoint) -> bool:
        version = endpoint.versions.get(self.batch.model)
        return version is None or version >= self.batch.min_version

    async def _run_item(self, run: ItemRun, endpoint: Endpoint) -> None:
        started = self._clock.now()
        result = None
        while result is None:
            try:
                result = await self._attempt(run, endpoint)
            finally:
                self._discovery.placing.end(endpoint)
                self._notify_places()
            if result is None and self._clock.now() > self._give_up_at:
                result = run.abandoned()
            if result is None:
                endpoint = await self._place(run.item, frozenset())
        self._runs.pop(run.item.id, None)
        metrics.BATCH_SECONDS.labels(result.state.value).observe(
            self._clock.now() - started
        )
        self._ended.append(result)
        self._wake.set()

    async def _attempt(self, run: ItemRun, endpoint: Endpoint) -> ItemResult | None:
        item = run.item
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
                return await self._read(run, endpoint, opened.unwrap())
        await self._pause()
        return None

    async def _read(
        self, run: ItemRun, endpoint: Endpoint, stream: OpenStream
    ) -> ItemResult | None:
        placing = self._discovery.placing
        placing.reported(endpoint, stream.head.load, self._clock.now())
        verdict = run.begin(stream.head.version)
        if verdict is not Verdict.KEEP:
            self._unusable(run, endpoint, verdict)
            await self._pause()
            return None
        async for outcome in stream.events():
            if outcome.is_err():
                self._failed(run, endpoint, outcome.unwrap_err())
                return None
            verdict = run.accept(outcome.unwrap())
            if verdict is not Verdict.KEEP:
                self._unusable(run, endpoint, verdict)
                return None
        return run.completed()

    async def _refused(
        self, run: ItemRun, endpoint: Endpoint, found: EndpointAnswer
    ) -> ItemResult | None:
        now = self._clock.now()
        self._discovery.placing.reported(endpoint, found.load, now)
        self._discovery.placing.refused(endpoint, now)
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
            result = run.refused(status, self._route.endpoints_max)
        if result is None:
            await self._pause()
        return result

    def _failed(self, run: ItemRun, endpoint: Endpoint, failure: Failure) -> None:
        if failure.outcome is not Outcome.NOT_RUN or run.last_event is None:
            self._discovery.placing.failed(endpoint, self._clock.now())
        log.event(
            "item.attempt_failed",
            run.item.id,
            batch=self.batch.id,
            endpoint=endpoint.id,
            events=run.events(),
            kind=failure.kind.value,
            reason=failure.message,
        )

    def _unusable(self, run: ItemRun, endpoint: Endpoint, verdict: Verdict) -> None:
        self._discovery.placing.refused(endpoint, self._clock.now())
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

    async def _write_results(self) -> None:
        """List results as they end; renew the ownership in between."""
        while self.row.state.listed < self.row.state.total:
            with anyio.move_on_after(batch_order.RENEW_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._ended:
                await self._clock.sleep_until(self._clock.now() + JOIN_S)
            if not await self._append():
                break
        self.stop()

    async def _append(self) -> bool:
        """Write once; return whether this process still owns the batch."""
        chunk = self._next_chunk()
        async with self._writing:
            outcome = await self._log.append(self.batch.id, self.row, chunk)
            if outcome.is_err():
                failure = outcome.unwrap_err()
                log.event("batch.write_failed", self.batch.id, reason=failure.message)
                if self._ended:
                    self._wake.set()
                return True
            found = outcome.unwrap()
            if isinstance(found, Lost):
                self._note_loss(found)
                return False
            self.row = found
            del self._ended[: len(chunk)]
            if self._ended:
                self._wake.set()
            self._on_state(found, chunk)
            return True

    def _next_chunk(self) -> list[ItemResult]:
        chunk: list[ItemResult] = []
        size = 0
        for result in self._ended[:APPEND_ITEMS]:
            size += len(result.text)
            if chunk and size > APPEND_BYTES:
                break
            chunk.append(result)
        return chunk

    def _note_loss(self, found: Lost) -> None:
        current = found.current
        reason = "ended" if current and current.state.ended else "taken over"
        log.event("batch.lost", self.batch.id, reason=reason)
        if current is not None:
            self._on_state(current, [])
