"""The kernel: creates the plug-ins, runs them on one event loop and stops them."""

import resource
import signal
import uuid
from collections.abc import Callable, Iterable
from enum import StrEnum
from graphlib import CycleError, TopologicalSorter

import anyio

from plantainstack import answer_reports, log, metrics
from plantainstack.clock import Clock, SystemClock
from plantainstack.errors import ConfigurationError, KernelError
from plantainstack.plugins import Plugin
from plantainstack.policy import answer_memory, client_budget
from plantainstack.policy.answer_memory import AnswerMemory, BodyMemory
from plantainstack.policy.client_budget import CONNECTION_BYTES, ClientBudget
from plantainstack.policy.memory_budget import MemoryBudget
from plantainstack.settings.fleet import FleetConfig
from plantainstack.settings.instance import InstanceSettings
from plantainstack.settings.memory import MemoryOptions
from plantainstack.slo import BurnCounter
from plantainstack.tasks import TaskRunner, contained
from plantainstack.trace import TraceBuffer

TICK_INTERVAL_S = 0.25
PAUSE_LIMIT_S = 2.0
DRAIN_LIMIT_S = 24 * 60.0


class State(StrEnum):
    """Lifecycle state of the process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class PauseDetector:
    """Detects from gaps between its own checks that the process was suspended."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_tick = clock.now()
        self.resumed_at: float | None = None

    def check(self) -> bool:
        """Return whether a pause was detected since the last call of `clear`."""
        now = self._clock.now()
        if now - self._last_tick > PAUSE_LIMIT_S:
            self.resumed_at = now
        self._last_tick = now
        return self.resumed_at is not None

    def clear(self) -> None:
        """Reset the detection, once all state that may be stale has been refreshed."""
        self.resumed_at = None


class Kernel:
    """Holds the clock and the configuration in force, and runs the plug-ins."""

    def __init__(
        self,
        settings: InstanceSettings,
        plugin_types: Iterable[type[Plugin]],
        clock: Clock | None = None,
        load_settings: Callable[[], InstanceSettings] | None = None,
    ):
        self.settings = settings
        self._load_settings = load_settings
        self.clock = clock or SystemClock()
        self.incarnation = f"{int(self.clock.wall() * 1000):x}-{uuid.uuid4().hex[:8]}"
        self.config = FleetConfig.builtin()
        self.state = State.STARTING
        self.pause = PauseDetector(self.clock)
        self.trace = TraceBuffer(self.clock)
        self.burn = BurnCounter()
        options = getattr(settings, "memory", None) or MemoryOptions(
            limit=0, descriptors=0
        )
        sizes = answer_memory.divide(options.limit)
        self.answer_memory = AnswerMemory(
            sizes.answers, sizes.endpoint, answer_reports.answer_given_up
        )
        self.body_memory = BodyMemory(sizes.bodies)
        descriptors = (
            options.descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        self.client_budget = ClientBudget(
            client_budget.divide(options.limit, descriptors)
        )
        metrics.ANSWER_BYTES.set_function(lambda: self.answer_memory.held)
        metrics.BODY_BYTES.set_function(lambda: self.body_memory.held)
        metrics.CLIENT_CONNECTIONS.set_function(lambda: len(self.client_budget.clients))
        self.memory_budget = MemoryBudget(
            self.client_budget.sizes.memory,
            lambda part, held: metrics.MEMORY_BYTES.labels(part).set_function(held),
        )
        self._add_memory_parts()
        self._stop_requested = anyio.Event()
        self._plugins = {kind.name: kind(self) for kind in self._sorted(plugin_types)}

    def _add_memory_parts(self) -> None:
        budget = self.memory_budget
        clients = self.client_budget.clients
        budget.add_part("connections", lambda: len(clients) * CONNECTION_BYTES)
        budget.add_part("answers", lambda: self.answer_memory.held)
        budget.add_part("bodies", lambda: self.body_memory.held)
        self.body_memory.single_max = lambda: min(
            self.client_budget.body_bytes_max(), budget.left_beside_batches("bodies")
        )

    def plugin(self, name: str) -> Plugin:
        """Return the plug-in with this name; raise KernelError if there is none."""
        try:
            return self._plugins[name]
        except KeyError:
            raise KernelError(f"no plug-in named {name!r}") from None

    def emit(self, event: str, *args) -> None:
        """Call the handler `on_<event>` of each plug-in, in start order."""
        for plugin in self._plugins.values():
            with contained(f"{plugin.name}.on_{event}"):
                getattr(plugin, f"on_{event}")(*args)

    def apply_config(self, cfg: FleetConfig) -> bool:
        """Put a configuration in force; return False if its version is not higher."""
        if cfg.version <= self.config.version:
            return False
        self.config = cfg
        log.event("config.in_force", version=cfg.version)
        self.emit("config", cfg)
        return True

    def unready_reason(self) -> str | None:
        """Return why the instance may not accept new work, or None if it may."""
        if self.state is not State.SERVING:
            return self.state.value
        reasons = (plugin.unready_reason() for plugin in self._plugins.values())
        return next((reason for reason in reasons if reason), None)

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stop_requested.set()

    async def run(self, handle_signals: bool = True) -> None:
        """Run until a signal or `request_stop`, then drain and stop."""
        async with anyio.create_task_group() as group:
            tasks = TaskRunner(group, self.clock)
            if handle_signals:
                group.start_soon(self._watch_signals)
            tasks.start_loop(self._tick)
            for plugin in self._plugins.values():
                await plugin.start(tasks)
            self.state = State.SERVING
            log.event("kernel.serving", incarnation=self.incarnation)
            await self._stop_requested.wait()
            await self._shut_down()
            group.cancel_scope.cancel()

    async def _shut_down(self) -> None:
        self.state = State.DRAINING
        log.event("kernel.draining")
        self.emit("drain")
        deadline = self.clock.now() + DRAIN_LIMIT_S
        for plugin in reversed(self._plugins.values()):
            with contained(f"{plugin.name}.drain"):
                await plugin.drain(deadline)
        for plugin in reversed(self._plugins.values()):
            with contained(f"{plugin.name}.stop"):
                await plugin.stop()
        self.state = State.STOPPED
        log.event("kernel.stopped")

    def reload(self) -> None:
        """Reload the settings; keep the current ones if the new ones are invalid.

        Addresses take effect only at startup.
        """
        if self._load_settings is None:
            return
        try:
            settings = self._load_settings()
        except (ConfigurationError, OSError) as exc:
            log.event("kernel.reload_failed", reason=str(exc))
            return
        self.settings = settings
        log.event("kernel.reloaded")

    async def _watch_signals(self) -> None:
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*watched) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    with contained("kernel.reload"):
                        self.reload()
                else:
                    self.request_stop()

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep_until(self.clock.now() + TICK_INTERVAL_S)
            self.pause.check()
            with contained("kernel.reclaim"):
                self.memory_budget.reclaim()

    @staticmethod
    def _sorted(plugin_types: Iterable[type[Plugin]]) -> list[type[Plugin]]:
        kinds = {kind.name: kind for kind in plugin_types}
        sorter = TopologicalSorter(
            {name: kind.requires for name, kind in kinds.items()}
        )
        try:
            order = list(sorter.static_order())
        except CycleError as exc:
            raise KernelError(
                f"plug-ins require each other in a cycle: {exc.args[1]}"
            ) from exc
        missing = [name for name in order if name not in kinds]
        if missing:
            raise KernelError(f"required plug-ins are missing: {', '.join(missing)}")
        return [kinds[name] for name in order]
