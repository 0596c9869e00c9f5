"""Instances that share a store and the platform's interface for duties, in memory."""

import random
from types import SimpleNamespace

import anyio
from result import Err, Ok

from plantainstack.duties import CALL_TIMEOUT_S, DutyAnswer, DutyClient
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.services.usage.counts import PROGRESS_KEY
from plantainstack.settings.options import Address
from standins.duties import Ledger
from standins.metadata_store import Rows
from tests.services.store_fleet import MemoryStore
from tests.virtual_time import LoopClock

GAP_S = 3.0


class PausingStore(MemoryStore):
    """Store of one instance that may be paused before and after each write.

    The points of a pause are `write` and `written`, and `fix` before the counts of a
    window are fixed.
    """

    def __init__(self, rows, clock):
        super().__init__(rows, clock)
        self.pause = None

    async def transact(self, transaction):
        if self.pause:
            fixes = any(name.key == PROGRESS_KEY for name, _ in transaction.puts)
            await self.pause("fix" if fixes else "write")
        found = await super().transact(transaction)
        if self.pause:
            await self.pause("written")
        return found


class LedgerClient(DutyClient):
    """Deliver calls to a ledger as the client does: not after the grant has ended.

    `fault` is `lost` (the call arrives, its answer does not), `late` (it arrives at
    the end of its time, without an answer), `away` (it never arrives) or None.
    """

    def __init__(self, ledger, clock):
        self.ledger = ledger
        self.clock = clock
        self.fault = None
        self.pause = None
        self.begun = 0

    async def _call(self, path, content, grant):
        self.begun += 1
        if self.pause:
            await self.pause("send")
        if self.clock.now() >= grant.send_before:
            message = "the window of the call has ended"
            return Err(Failure(ErrorKind.LEASE_LOST, message, Outcome.NOT_RUN))
        fault = self.fault
        if fault == "late":
            await anyio.sleep(CALL_TIMEOUT_S)
        if fault != "away":
            status = self.ledger.receive(
                self.clock.now(), path, grant.holder, grant.fence, content
            )
        if fault is not None:
            return Err(Failure.of(ErrorKind.ANSWER_TIMEOUT, "scripted"))
        if status == 429:
            return Err(Failure.of(ErrorKind.OVERLOADED, "scripted"))
        return Ok(DutyAnswer.ACCEPTED)

    async def report_usage(self, report, grant):
        content = {"window": report.window, "counts": report.counts}
        return await self._call("/usage", content, grant)

    async def order_capacity(self, order, grant):
        content = {"backend": order.service, "zone": order.data_centre}
        return await self._call("/scale", content, grant)


class SkewedClock(LoopClock):
    """Clock whose wall time is off by `skew_s`."""

    skew_s = 0.0

    def wall(self):
        return super().wall() + self.skew_s


class DutyPlatform:
    """What the instances share."""

    def __init__(self):
        self.rows = Rows()
        self.ledger = Ledger()
        self.rng = random.Random(1)

    def kernel(self, name, number=1):
        """Return the kernel of a process; `number` counts the starts of its id."""
        clock = SkewedClock()
        store = PausingStore(self.rows, clock)
        duties = SimpleNamespace(
            address=Address("127.0.0.1", 1),
            kinds=("usage_report",),
            calls_per_s=50.0,
            usage_window=5.0,
            usage_due=10.0,
        )
        plugins = {"store": SimpleNamespace(metadata_store=store)}
        return SimpleNamespace(
            clock=clock,
            incarnation=f"{name}-{number}",
            settings=SimpleNamespace(
                instance=SimpleNamespace(id=name, listen="127.0.0.1:1"),
                bounds=SimpleNamespace(order_gap=GAP_S),
                duties=duties,
            ),
            plugins=plugins,
            plugin=plugins.__getitem__,
            store=store,
            client=LedgerClient(self.ledger, clock),
        )
