"""Plug-in `endpoints`: polls the instance list and load reports for the router."""

import random
from collections.abc import Sequence

import anyio
import xxhash

from plantainstack import log, metrics
from plantainstack.interfaces import (
    EngineStatus,
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from plantainstack.kernel import Kernel
from plantainstack.plugins import Plugin
from plantainstack.policy.limits import PriorityAdmission
from plantainstack.policy.retries import BudgetedRetries
from plantainstack.policy.routing import LoadAwareRouter, Router
from plantainstack.settings.fleet import FleetConfig, Scope
from plantainstack.tasks import TaskRunner

POLL_JITTER = 0.2
LOAD_POLLS_MAX = 16


class Endpoints(Plugin):
    """Keep the list of endpoints, and the policies that depend on it."""

    name = "endpoints"
    requires = ("platform", "links")

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self.records: tuple[InstanceRecord, ...] = ()
        self.statuses: dict[str, EngineStatus] = {}
        self._listed: Sequence[InstanceRecord] = ()
        seed = xxhash.xxh3_64_intdigest(kernel.settings.instance.id.encode())
        self.router: Router = LoadAwareRouter(kernel.settings, kernel.config, seed)
        self.admission = PriorityAdmission(kernel.config, self.router)
        self.retries = BudgetedRetries(kernel.config, seed)
        self._random = random.Random(seed)
        self._limiter = anyio.Semaphore(LOAD_POLLS_MAX)
        self._polling: set[str] = set()

    async def start(self, tasks: TaskRunner) -> None:
        """Read the list of instances once, then poll it and the load reports."""
        await self.poll_list()
        tasks.start_loop(self._follow_list)
        tasks.start_loop(self._follow_load, tasks)

    def unready_reason(self) -> str | None:
        """Return why the instance may not serve: drained, or without endpoints."""
        own = self.kernel.settings.instance
        scope = Scope(data_centre=own.data_centre, endpoint=own.id)
        if self.kernel.config.scoped(scope).drain:
            return "drained by the configuration"
        return None if self.records else "no endpoints known"

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a configuration to the policies and the list of endpoints."""
        for policy in (self.router, self.admission, self.retries):
            policy.configure(cfg)
        self._update_records(self._listed)

    async def poll_list(self) -> None:
        """Read the list of instances; after a failure, the last list stays in use."""
        answer = await self.kernel.plugin("platform").instances.list()
        if answer.is_err():
            log.event("endpoints.list_failed", error=answer.unwrap_err().message)
            return
        self._update_records(answer.unwrap())

    def _update_records(self, listed: Sequence[InstanceRecord]) -> None:
        self._listed = listed
        records = tuple(sorted(self._apply_drain(record) for record in listed))
        if records == self.records:
            return
        self.records = records
        known = {record.id for record in records}
        self.statuses = {
            name: status for name, status in self.statuses.items() if name in known
        }
        self.router.update_endpoints(records, self.kernel.clock.now())
        log.event("endpoints.changed", endpoints=len(records))
        self.kernel.emit("endpoints", records)

    def _apply_drain(self, record: InstanceRecord) -> InstanceRecord:
        """Return the record, as leaving if the configuration drains the endpoint."""
        scope = Scope(record.service, record.data_centre, record.id)
        if self.kernel.config.scoped(scope).drain:
            return record._replace(state=InstanceState.LEAVING)
        return record

    def polled_engines(self) -> Sequence[InstanceRecord]:
        """Return the engines in this instance's subset, whose load it polls."""
        return [
            record
            for record in self.records
            if record.kind is InstanceKind.ENGINE and self.router.in_subset(record.id)
        ]

    async def poll_load(self, record: InstanceRecord) -> None:
        """Read one engine's load report, unless it is already being read."""
        if record.id in self._polling:
            return
        self._polling.add(record.id)
        try:
            async with self._limiter:
                await self._read_load(record)
        finally:
            self._polling.discard(record.id)

    async def _read_load(self, record: InstanceRecord) -> None:
        cfg = self.kernel.config.defaults()
        started_at = self.kernel.clock.now()
        with anyio.move_on_after(cfg.connect_timeout):
            answer = await self.kernel.plugin("links").engine(record).status()
            if answer.is_ok():
                now = self.kernel.clock.now()
                status = answer.unwrap()
                self.statuses[record.id] = status
                self.router.update_load(
                    record.id, status, now, round_trip=now - started_at
                )

    def export_metrics(self) -> None:
        """Update the metrics of the policies' state."""
        now = self.kernel.clock.now()
        metrics.ADMISSION_QUEUE.set(self.admission.queue_length())
        kinds = {record.service: record.kind for record in self.records}
        for service, kind in kinds.items():
            if kind is InstanceKind.ENTRY:
                continue
            share = self.router.ejected_share(service, now)
            metrics.CAPACITY.labels(service).set(self.router.capacity(service, now))
            metrics.EJECTED_SHARE.labels(service).set(share)
            used = self.retries.used_share(service, now)
            metrics.RETRY_SHARE.labels(service).set(used)

    async def _follow_list(self) -> None:
        while True:
            await self._wait(self.kernel.config.defaults().list_poll_interval)
            await self.poll_list()

    async def _follow_load(self, tasks: TaskRunner) -> None:
        while True:
            for record in self.polled_engines():
                tasks.start_soon(self.poll_load, record)
            self.export_metrics()
            await self._wait(self.kernel.config.defaults().load_poll_interval)

    async def _wait(self, interval: float) -> None:
        factor = self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
        clock = self.kernel.clock
        await clock.sleep_until(clock.now() + interval * factor)
