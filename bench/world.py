"""One run: a user's deployment, its load and its faults in simulated time."""

import random
from types import SimpleNamespace

from bench.engine import Engine
from bench.entry import Entry, Request
from bench.loop import Loop
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
PACE_S = 0.5
PROMPTS = 40
PROMPT_TOKENS, PREFIX_TOKENS = 700, 600
ANSWER_MEDIAN_TOKENS = 100
ANSWER_SIGMA = 0.6
ANSWER_MAX_TOKENS = 400
BOOKING_TOKENS_MAX = 4


class World:
    """Hold everything that one run consists of."""

    def __init__(self, user: User, scenario, seed: int, variant: Variant):
        self.user = user
        self.seed = seed
        self.cfg = user.config()
        self._paced = variant.pacing
        self.fresh_share = 0.0
        if variant.freshness:
            scope = Scope(service=user.service)
            self.fresh_share = self.cfg.scoped(scope).fresh_share
        self.loop = Loop()
        self.report = Report()
        self.table_down = False
        self._scenario = scenario
        self._number = 0
        self._cut: set[str] = set()
        self._away: set[str] = set()
        self._random = random.Random(f"{seed} load")
        self._records = self._all_records()
        self._history = [(0.0, self._records)]
        self.endpoints = {
            record.id: Engine(self.loop, record, self._speed(record), self.report)
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
            self.loop.at(time, getattr(self, fault), *args)
        self.loop.run(self._scenario.duration)
        for trainer in self.trainers:
            trainer.finish()
        return self.report.measures()

    def next_number(self) -> int:
        """Return the number of a new request."""
        self._number += 1
        return self._number

    def reachable(self, one: str, other: str) -> bool:
        """Return whether the network connects two data centres."""
        return one == other or not {one, other} & self._cut

    def delay(self, one: str, other: str) -> float:
        """Return the time one way, in seconds."""
        return LOCAL_DELAY_S if one == other else self.user.one_way_s

    def listing(self) -> tuple[InstanceRecord, ...]:
        """Return the instance list of a while ago."""
        while len(self._history) > 1:
            if self._history[1][0] > self.loop.now - LIST_LAG_S:
                break
            self._history.pop(0)
        return self._history[0][1]

    def swap(self, tenant: str, version: int) -> None:
        """Load a new version: on all engines at once, or in paced waves."""
        wanted = [engine.record.id for engine in self.engines]
        if not self._paced:
            for name in wanted:
                self.endpoints[name].order(tenant, version)
            return
        self._swap_next(wanted, tenant, version)

    def slow(self, number: int, factor: float) -> None:
        """Make an engine slower."""
        self.engines[number].slowness = factor

    def crash(self, number: int, seconds: float) -> None:
        """Crash an engine, which restarts by itself."""
        engine = self.engines[number]
        if engine.down:
            return
        engine.crash()
        restart_at = self.loop.now + seconds
        self.loop.after(REMOVAL_LAG_S, self._list_without, engine, restart_at)
        self.loop.at(restart_at, self._restarted, engine)

    def cut(self, number: int) -> None:
        """Cut a data centre off from the others."""
        self._cut.add(self.user.data_centres[number])
        for entry in self.entries:
            entry.cut()

    def join(self, number: int) -> None:
        """Connect a data centre again."""
        self._cut.discard(self.user.data_centres[number])

    def table(self, down: bool) -> None:
        """Stop or start the table service."""
        self.table_down = down

    def publish(self, number: int) -> None:
        """Publish a version from outside the trainer's own steps."""
        if number < len(self.trainers):
            self.trainers[number].publish()

    def restart_all(self, seconds: float) -> None:
        """Restart all engines: at once, or paced and after a drain."""
        if not self._paced:
            for number in range(len(self.engines)):
                self.crash(number, seconds)
            return
        self._restart_next([engine.record.id for engine in self.engines], seconds)

    def _restart_next(self, wanted: list[str], seconds: float) -> None:
        for name in self._may_go(wanted):
            wanted.remove(name)
            self._away.add(name)
            self.endpoints[name].leaving = True
            limit = self.loop.now + DRAIN_LIMIT_S
            self._drain(self.endpoints[name], limit, seconds)
        if wanted:
            self.loop.after(PACE_S, self._restart_next, wanted, seconds)

    def _drain(self, engine: Engine, limit: float, seconds: float) -> None:
        if not engine.idle() and self.loop.now < limit:
            self.loop.after(PACE_S, self._drain, engine, limit, seconds)
            return
        self.crash(self.engines.index(engine), seconds)
        self.loop.after(seconds, self._away.discard, engine.record.id)

    def _swap_next(self, wanted: list[str], tenant: str, version: int) -> None:
        for name in self._may_go(wanted):
            wanted.remove(name)
            self._away.add(name)
            self.endpoints[name].order(tenant, version)
            self.loop.after(self.user.engine.swap_s, self._away.discard, name)
        if wanted:
            self.loop.after(PACE_S, self._swap_next, wanted, tenant, version)

    def _may_go(self, wanted: list[str]) -> list[str]:
        share = self.cfg.defaults().away_share_max
        return allowed_disruptions(wanted, self._away, len(self.engines), share)

    def _list_without(self, engine: Engine, restart_at: float) -> None:
        if engine.down and self.loop.now < restart_at:
            self._records = tuple(
                record for record in self._records if record.id != engine.record.id
            )
            self._history.append((self.loop.now, self._records))

    def _restarted(self, engine: Engine) -> None:
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
                self.loop.at(time, self._arrive, kind, self._size(kind, rng))

    def _size(self, kind: str, rng: random.Random) -> tuple[int, int, int, int]:
        if kind == "booking":
            return rng.randint(1, BOOKING_TOKENS_MAX), 0, 0, 0
        drawn = ANSWER_MEDIAN_TOKENS * rng.lognormvariate(0, ANSWER_SIGMA)
        tokens = min(ANSWER_MAX_TOKENS, int(drawn) + 1)
        prefix = int(PROMPTS * rng.random() ** 2)
        return tokens, PROMPT_TOKENS, prefix, PREFIX_TOKENS

    def _arrive(self, kind: str, size: tuple[int, int, int, int]) -> None:
        """Give a request to an entry instance, as the load balancer does."""
        entries = [e for e in self.entries if e.data_centre not in self._cut]
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
            *self._some_records("entry", InstanceKind.ENTRY, "entry", user.instances),
            *self._some_records(
                "engine", InstanceKind.ENGINE, user.service, user.engines
            ),
            *self._some_records("app", InstanceKind.PLAIN, user.app, user.apps),
        )

    def _some_records(self, prefix: str, kind: InstanceKind, service: str, count: int):
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

    def _speed(self, record: InstanceRecord):
        engine = record.kind is InstanceKind.ENGINE
        return self.user.engine if engine else self.user.plain

    @staticmethod
    def _settings(record: InstanceRecord):
        instance = SimpleNamespace(id=record.id, data_centre=record.data_centre)
        return SimpleNamespace(instance=instance)


def _ignore(request: Request, end: str, attempt) -> None:
    """Ignore the end; the report has counted it."""
