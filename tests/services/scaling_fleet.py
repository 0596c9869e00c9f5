"""Test instances with a duty of scaling that share a platform taking orders."""

import contextlib
from collections import Counter

import anyio
from result import Ok

from plantainstack.duties import (
    DutyAnswer,
    DutyClient,
    DutyGrant,
    DutyLease,
    ScaleLimits,
)
from plantainstack.plugins import Plugin
from plantainstack.policy import scaling
from plantainstack.services.scaling.plugin import Scaling
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    FakePlatform,
    new_kernel,
    until,
)
from tests.virtual_time import LoopClock

LIMITS = ScaleLimits(0, 40, 4.0, 0.18, {"dc-a": 1.0, "dc-b": 0.8})


class Cloud(DutyClient):
    """Hold the duty's holder, and record orders; `outcomes` scripts their answers.

    An outcome is a result, or an event that must be set before a success.
    """

    def __init__(self):
        self.holder = None
        self.fence = 0
        self.enabled = True
        self.outcomes = []
        self.sent = []
        self.in_force = {}
        # Holders of calls in progress; no other holder is permitted one meanwhile.
        self.calling = []

    async def report_usage(self, report, grant):
        raise NotImplementedError

    async def order_capacity(self, order, grant):
        await anyio.lowlevel.checkpoint()
        self.sent.append((grant.holder, order))
        outcome = self.outcomes.pop(0) if self.outcomes else Ok(DutyAnswer.ACCEPTED)
        if isinstance(outcome, anyio.Event):
            await outcome.wait()
            outcome = Ok(DutyAnswer.ACCEPTED)
        if outcome == Ok(DutyAnswer.ACCEPTED):
            self.in_force[order.data_centre, order.reclaimable] = order.count
        return outcome


class Lease(DutyLease):
    """Hold the duty while nobody else does."""

    def __init__(self, cloud, name):
        self.cloud, self.name, self.attempts = cloud, name, 0

    async def acquire(self):
        await anyio.lowlevel.checkpoint()
        self.attempts += 1
        if self.cloud.holder is None:
            self.cloud.holder = self.name
            self.cloud.fence += 1
        return self.cloud.holder == self.name

    async def grant(self, subject):
        await anyio.lowlevel.checkpoint()
        if self.cloud.holder != self.name or set(self.cloud.calling) - {self.name}:
            return None
        return DutyGrant(self.name, self.cloud.fence, float("inf"))

    async def release(self):
        if self.cloud.holder == self.name:
            self.cloud.holder = None


class FakeDuties(Plugin, register=False):
    """Give an instance the shared cloud and a lease of its own."""

    name = "duties"
    cloud: Cloud

    def __init__(self, kernel):
        super().__init__(kernel)
        self.client = self.cloud
        self.lease = Lease(self.cloud, kernel.settings.instance.id)

    def enabled(self, kind):
        return kind == "scaling" and self.cloud.enabled

    def holder(self, duty):
        return self.lease


@contextlib.asynccontextmanager
async def scaled(*names, demand=100, limits=LIMITS, cloud=None, platform=None):
    """Run instances that see so many open items; yield the cloud and the kernels."""
    cloud = cloud or Cloud()
    platform = platform or FakePlatform(LoopClock())
    services = dict(CONFIG.services)
    services["models"] = services["models"]._replace(scale=limits)
    platform.config = CONFIG._replace(services=services)
    duties = type("Duties", (FakeDuties,), {"cloud": cloud}, register=False)
    kernels = [new_kernel(platform, name, (duties, Scaling)) for name in names]
    async with anyio.create_task_group() as tasks:
        for kernel in kernels:
            share = scaling.concurrent_items(1.0, BATCH_ROUTE.result_target_s)
            items = Counter({"r-batch": demand / share})
            kernel.plugin("batches").open_items = lambda items=items: items
            tasks.start_soon(kernel.run, False)
        for kernel in kernels:
            await until(lambda kernel=kernel: kernel.unready_reason() is None)
        yield cloud, kernels
        tasks.cancel_scope.cancel()
