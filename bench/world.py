"""Simulation of one run: a user's deployment, its load and its faults."""

import random
from types import SimpleNamespace

from bench.engine import Engine
from bench.entry import Entry, Request
from bench.loop import EventLoop
from bench.report import Report
from bench.trainer import Trainer
from bench.users import User
from bench.variants import Variant
from plantainstack.interfaces import InstanceKind, InstanceRecord, InstanceState
from plantainstack.policy.pacing import allowed_disruptions
from plantainstack.settings.fleet import Scope
from plantainstack.settings.options import Address

LIST_LAG_S = 3.0
REMOVAL_LAG_S = 15.0
LOCAL_DELAY_S = 0.0003
DRAIN_LIMIT_S = 30.0
WAVE_INTERVAL_S = 0.5
PROMPTS = 40
PROMPT_TOKENS, PREFIX_TOKENS = 700, 600
ANSWER_MEDIAN_TOKENS = 100
ANSWER_SIGMA = 0.6
ANSWER_MAX_TOKENS = 400
BOOKING_TOKENS_MAX = 4


class Simulation:
    """State of one run: event loop, endpoints, entry instances and trainers.

    The scenario names the methods `slow`, `crash`, `cut`, `join`, `table`, `publish`
    and `restart_all` as faults.
    """

    def __init__(self, user: User, scenario, seed: int, variant: Variant):
        self.user = user
        self.seed = seed
        self.cfg = user.config()
        self._rolling = variant.pacing
        self.fresh_share = 0.0
        if variant.freshness:
            scope = Scope(service=user.service)
            self.fresh_share = self.cfg.scoped(scope).fresh_share
        self.loop = EventLoop()
        self.report = Report()
        self.table_down = False
        self._scenario = scenario
        self._number = 0
        self._isolated_centres: set[str] = set()
        self._disrupted: set[str] = set()
        self._random = random.Random(f"{seed} load")
        self._records = self._all_records()
        self._history = [(0.0, self._records)]
        self.endpoints = {
            record.id: Engine(self.loop, record, self._profile(record), self.report)
            for record in self._records
            if record.kind is not InstanceKind.ENTRY
        }
        self.engines = [
            engine
            for engine in self.endpoints.values()
            if engine.record.kind is InstanceKind.ENGINE
        ]
        self.entries = [
            Entry(self, self._settings(record), variant, seed * 1000 + number)
            for number, record in enumerate(self._records)
            if record.kind is InstanceKind.ENTRY
        ]
        centres = len(user.data_centres)
        self.trainers = [
            Trainer(
                self, self.entries[number * 2 % centres], f"trainer-{number}", scale
            )
            for number, scale in enumerate(scenario.trainers)
        ]

    def run(self) -> dict[str, float]:
        """Run the scenario and return its measures."""
        self._schedule_load()
        for time, fault, *args in self._scenario.faults:
            self.loop.call_at(time, getattr(self, fault), *args)
        self.loop.run_until(self._scenario.duration)
        for trainer in self.trainers:
            trainer.finish()
        return self.report.measures()

    def next_number(self) -> int:
        """Return the next request number."""
        self._number += 1
        return self._number

    def reachable(self, one: str, other: str) -> bool:
        """Return whether the network connects two data centres."""
        return one == other or not {one, other} & self._isolated_centres

    def one_way_delay(self, one: str, other: str) -> float:
        """Return the one-way network delay in seconds."""
        return LOCAL_DELAY_S if one == other else self.user.one_way_s

    def instance_list(self) -> tuple[InstanceRecord, ...]:
        """Return the instance list as it was LIST_LAG_S ago."""
        while len(self._history) > 1:
            if self._history[1][0] > self.loop.now - LIST_LAG_S:
                break
            self._history.pop(0)
        return self._history[0][1]

    def swap_weights(self, tenant: str, version: int) -> None:
        """Load a new version on all engines: at once, or as a rolling update."""
        remaining = [engine.record.id for engine in self.engines]
        if not self._rolling:
            for name in remaining:
                self.endpoints[name].load_version(tenant, version)
            return
        self._swap_next(remaining, tenant, version)

    def slow(self, number: int, factor: float) -> None:
        """Slow an engine down by a factor; 1 restores its speed."""
        self.engines[number].slowness = factor

    def crash(self, number: int, seconds: float) -> None:
        """Crash an engine and restart it after a time in seconds.

        The instance list drops it only if it is still down after REMOVAL_LAG_S.
        """
        engine = self.engines[number]
        if engine.down:
            return
        engine.crash()
        restart_at = self.loop.now + seconds
        self.loop.call_later(REMOVAL_LAG_S, self._remove_from_list, engine, restart_at)
        self.loop.call_at(restart_at, self._finish_restart, engine)

    def cut(self, number: int) -> None:
        """Disconnect a data centre from all others."""
        self._isolated_centres.add(self.user.data_centres[number])
        for entry in self.entries:
            entry.time_out_unreachable()

    def join(self, number: int) -> None:
        """Reconnect a data centre."""
        self._isolated_centres.discard(self.user.data_centres[number])

    def table(self, down: bool) -> None:
        """Stop or start the table service."""
        self.table_down = down

    def publish(self, number: int) -> None:
        """Publish a version of a trainer outside its own steps."""
        if number < len(self.trainers):
            self.trainers[number].publish()

    def restart_all(self, seconds: float) -> None:
        """Restart all engines: at once, or rolling and each after a drain.

        A drain takes DRAIN_LIMIT_S at most.
        """
        if not self._rolling:
            for number in range(len(self.engines)):
                self.crash(number, seconds)
            return
        self._restart_next([engine.record.id for engine in self.engines], seconds)

    def _restart_next(self, remaining: list[str], seconds: float) -> None:
        for name in self._allowed_disruptions(remaining):
            remaining.remove(name)
            self._disrupted.add(name)
            self.endpoints[name].leaving = True
            limit = self.loop.now + DRAIN_LIMIT_S
            self._drain(self.endpoints[name], limit, seconds)
        if remaining:
            self.loop.call_later(
                WAVE_INTERVAL_S, self._restart_next, remaining, seconds
            )

    def _drain(self, engine: Engine, limit: float, seconds: float) -> None:
        if not engine.idle() and self.loop.now < limit:
            self.loop.call_later(WAVE_INTERVAL_S, self._drain, engine, limit, seconds)
            return
        self.crash(self.engines.index(engine), seconds)
        self.loop.call_later(seconds, self._disrupted.discard, engine.record.id)

    def _swap_next(self, remaining: list[str], tenant: str, version: int) -> None:
        for name in self._allowed_disruptions(remaining):
            remaining.remove(name)
            self._disrupted.add(name)
            self.endpoints[name].load_version(tenant, version)
            self.loop.call_later(self.user.engine.swap_s, self._disrupted.discard, name)
        if remaining:
            self.loop.call_later(
                WAVE_INTERVAL_S, self._swap_next, remaining, tenant, version
            )

    def _allowed_disruptions(self, remaining: list[str]) -> list[str]:
        share = self.cfg.defaults().away_share_max
        return allowed_disruptions(remaining, self._disrupted, len(self.engines), share)

    def _remove_from_list(self, engine: Engine, restart_at: float) -> None:
        if engine.down and self.loop.now < restart_at:
            self._records = tuple(
                record for record in self._records if record.id != engine.record.id
            )
            self._history.append((self.loop.now, self._records))

    def _finish_restart(self, engine: Engine) -> None:
        engine.restart({trainer.name: trainer.version for trainer in self.trainers})
        if engine.record not in self._records:
            self._records = (*self._records, engine.record)
            self._history.append((self.loop.now, self._records))

    def _schedule_load(self) -> None:
        for kind, rate in (("caller", "callers"), ("booking", "bookings")):
            rng = random.Random(f"{self.seed} {kind}")
            time = 0.0
            while time < self._scenario.duration:
                time += rng.expovariate(getattr(self._scenario, rate)(time))
                self.loop.call_at(time, self._arrive, kind, self._draw_size(kind, rng))

    def _draw_size(self, kind: str, rng: random.Random) -> tuple[int, int, int, int]:
        if kind == "booking":
            return rng.randint(1, BOOKING_TOKENS_MAX), 0, 0, 0
        length = ANSWER_MEDIAN_TOKENS * rng.lognormvariate(0, ANSWER_SIGMA)
        tokens = min(ANSWER_MAX_TOKENS, int(length) + 1)
        prefix = int(PROMPTS * rng.random() ** 2)
        return tokens, PROMPT_TOKENS, prefix, PREFIX_TOKENS

    def _arrive(self, kind: str, size: tuple[int, int, int, int]) -> None:
        """Submit a request to a random reachable entry instance.

        This stands for the load balancer in front of the entry instances.
        """
        entries = [
            e for e in self.entries if e.data_centre not in self._isolated_centres
        ]
        entry = entries[self._random.randrange(len(entries))]
        now = self.loop.now
        service = self.user.service if kind == "caller" else self.user.app
        deadline = now + self.cfg.defaults().request_timeout
        number = self.next_number()
        entry.submit(
            Request(number, kind, service, "member", now, deadline, size, _ignore)
        )

    def _all_records(self) -> tuple[InstanceRecord, ...]:
        user = self.user
        return (
            *self._records_of_kind(
                "entry", InstanceKind.ENTRY, "entry", user.instances
            ),
            *self._records_of_kind(
                "engine", InstanceKind.ENGINE, user.service, user.engines
            ),
            *self._records_of_kind("app", InstanceKind.PLAIN, user.app, user.apps),
        )

    def _records_of_kind(
        self, prefix: str, kind: InstanceKind, service: str, count: int
    ):
        centres = self.user.data_centres
        for number in range(count):
            yield InstanceRecord(
                f"{prefix}-{number}",
                service,
                kind,
                centres[number % len(centres)],
                Address("127.0.0.1", 1),
                InstanceState.LIVE,
            )

    def _profile(self, record: InstanceRecord):
        engine = record.kind is InstanceKind.ENGINE
        return self.user.engine if engine else self.user.plain

    @staticmethod
    def _settings(record: InstanceRecord):
        instance = SimpleNamespace(id=record.id, data_centre=record.data_centre)
        return SimpleNamespace(instance=instance)


def _ignore(request: Request, end: str, attempt) -> None:
    """Do nothing: the report has counted the end of the request already."""
