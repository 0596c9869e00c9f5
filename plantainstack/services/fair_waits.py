"""Plug-in in which requests wait for their turn while all endpoints are full."""

import random

import anyio

from plantainstack import log, metrics
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.plugins import Plugin
from plantainstack.policy.fair_admission import FairAdmission, Ticket


class _Service:
    """Hold the waiting requests of one service."""

    def __init__(self):
        self.queue = FairAdmission()
        self.turns: dict[Ticket, anyio.Event] = {}
        self.slot_freed = anyio.Event()
        # Slots freed since turns were given last, while requests wait.
        self.freed = 0
        self.giving = False

    def free_slot(self) -> None:
        """Let one more waiting request try at once."""
        self.freed += 1
        self.slot_freed.set()


class FairTurn:
    """Hold the place of one request; `refusal` tells why it had no turn."""

    def __init__(self, plugin: "FairWaits", service: str, ticket: Ticket):
        self._plugin = plugin
        self._service = service
        self._ticket = ticket
        self._given = False
        self.refusal: Failure | None = None

    async def begin(self) -> bool:
        """Let the request go to endpoints; it waits behind those that wait already."""
        state = self._plugin.state(self._service)
        if len(state.queue):
            return await self.wait()
        state.queue.give(self._ticket, self._plugin.now())
        self._given = True
        return True

    async def wait(self) -> bool:
        """Wait for a turn, since all endpoints refused the request or may be full."""
        state, now = self._plugin.state(self._service), self._plugin.now()
        if self._given:
            self._given = False
            state.queue.take_back(self._ticket, now)
        if state.queue.wait(self._ticket, now):
            self._given = await self._plugin.next_turn(self._service, self._ticket)
        if not self._given:
            self.refusal = self._plugin.refuse(self._service, self._ticket)
        return self._given


class FairWaits(Plugin):
    """Give turns to the waiting requests of tenants."""

    name = "fair_waits"
    requires = ("discovery",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._services: dict[str, _Service] = {}
        self._rng = random.Random()

    async def start(self, tasks) -> None:
        """Look up the plug-ins that this one depends on."""
        self._discovery = self.kernel.plugin("discovery")
        self._tasks = tasks

    def now(self) -> float:
        """Return the time on the process's clock."""
        return self.kernel.clock.now()

    def state(self, service: str) -> _Service:
        """Return the waiting requests of a service."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Service()
        return found

    def turn(self, service: str, call, route) -> FairTurn | None:
        """Return the place of a client's request, or None without tenants."""
        cfg = self._discovery.serving
        if cfg is None or cfg.tenants is None:
            return None
        own = None if call.tenant is None else call.tenant.priority
        priority = route.priority if own is None else own
        name = "" if call.tenant is None else call.tenant.name
        queue = self.state(service).queue
        ticket = queue.offer(name, priority, call.deadline, self.now())
        return FairTurn(self, service, ticket)

    def slot_freed(self, service: str) -> None:
        """Let the first waiting request try at once, since a request has ended."""
        state = self._services.get(service)
        if state is not None:
            state.free_slot()

    async def next_turn(self, service: str, ticket: Ticket) -> bool:
        """Wait until a queued request has its turn; return False if it is too late."""
        state = self.state(service)
        given = state.turns[ticket] = anyio.Event()
        metrics.FAIR_WAITING.inc()
        if not state.giving:
            state.giving = True
            state.freed = 0
            self._tasks.start_soon(self._give_turns, state)
        try:
            with anyio.move_on_after(max(0.0, ticket.leave_at - self.now())):
                await given.wait()
        except BaseException:
            # The client has gone before its request was sent.
            if given.is_set():
                state.queue.take_back(ticket, self.now())
                state.free_slot()
            raise
        finally:
            metrics.FAIR_WAITING.dec()
            del state.turns[ticket]
            state.queue.leave(ticket)
        return given.is_set()

    async def _give_turns(self, state: _Service) -> None:
        try:
            while len(state.queue):
                state.slot_freed = anyio.Event()
                if not state.freed:
                    interval_s = state.queue.attempt_interval_s(self.now())
                    with anyio.move_on_after(interval_s):
                        await state.slot_freed.wait()
                turns, state.freed = max(1, state.freed), 0
                for _ in range(turns):
                    self._give_turn(state)
        finally:
            state.giving = False

    def _give_turn(self, state: _Service) -> None:
        now = self.now()
        ticket = state.queue.first(now)
        if ticket is not None:
            state.queue.give(ticket, now)
            state.turns[ticket].set()

    def refuse(self, service: str, ticket: Ticket) -> Failure:
        """Return the failure of a request that gets no turn in time."""
        queue = self.state(service).queue
        wait_s = queue.retry_after_s(
            ticket.tenant, ticket.priority, self._rng.random(), self.now()
        )
        metrics.FAIR_REFUSALS.labels(service, ticket.tenant).inc()
        log.event(
            "tenant.no_turn",
            service=service,
            tenant=ticket.tenant,
            priority=ticket.priority,
            waiting=len(queue),
        )
        message = f"all endpoints of {service} are full"
        return Failure(ErrorKind.OVERLOADED, message, Outcome.NOT_RUN, wait_s)
