"""A trainer that trains on one step while the next one is generated."""

import random

from bench.entry import Request
from plantainstack.policy.freshness import waits_for_next

GROUPS = 16
GROUP_SIZE = 16
TRAIN_S = 45.0
STEP_LIMIT_S = 24 * 60.0
ANSWER_MEDIAN_TOKENS = 200
ANSWER_SIGMA = 0.7
ANSWER_MAX_TOKENS = 1500
PROMPT_TOKENS = 500
STRAGGLER_SHARE = 0.05
TABLE_POLL_S = 2.0


class Trainer:
    """Open steps at one entry instance, and publish a version after each."""

    def __init__(self, world, entry, name: str, scale: float):
        self.name = name
        self.version = 0
        self._world = world
        self._loop = world.loop
        self._entry = entry
        self._groups = max(1, int(GROUPS * scale))
        self._step = 0
        self._left: dict[str, Request] = {}
        self._versions: list[int] = []
        self._sealed = False
        self._training = False
        self._held: list[Request] = []
        self._waiting_since: float | None = 0.0
        self._loop.at(0.0, self._open)

    def finish(self) -> None:
        """Count the waiting time up to the end of the run."""
        self._count_idle()

    def publish(self) -> None:
        """Publish a new version."""
        self.version += 1
        self._world.swap(self.name, self.version)

    def _open(self) -> None:
        self._step += 1
        self._sealed = False
        self._versions = []
        rng = random.Random(f"{self._world.seed} {self.name} {self._step}")
        requests = []
        share = self._world.fresh_share if self._training else 0.0
        for group in range(self._groups):
            prefix = rng.getrandbits(48)
            for _ in range(GROUP_SIZE):
                drawn = ANSWER_MEDIAN_TOKENS * rng.lognormvariate(0, ANSWER_SIGMA)
                tokens = min(ANSWER_MAX_TOKENS, int(drawn) + 1)
                request = self._request((tokens, PROMPT_TOKENS, prefix))
                waits = waits_for_next(group, self._groups, share)
                (self._held if waits else requests).append(request)
        for request in (*requests, *self._held):
            self._left[request.id] = request
        for request in requests:
            self._entry.submit(request)

    def _release(self) -> None:
        """Start the samples that have waited for the new version."""
        held, self._held = self._held, []
        for request in held:
            self._entry.submit(request)

    def _request(self, size: tuple[int, int, int]) -> Request:
        world = self._world
        return Request(
            world.next_number(),
            "rollout",
            world.user.service,
            self.name,
            self._loop.now,
            self._loop.now + STEP_LIMIT_S,
            (*size, PROMPT_TOKENS),
            self._sampled,
        )

    def _sampled(self, request: Request, end: str, attempt) -> None:
        self._left.pop(request.id, None)
        if end != "ok":
            self._again(request)
            return
        if self.version - attempt.version > self._bound():
            self._drop(request)
            return
        self._versions.append((attempt.version, request))
        if len(self._left) <= STRAGGLER_SHARE * self._groups * GROUP_SIZE:
            for other in self._left.values():
                self._entry.hedge_straggler(other)
        if not self._left:
            self._seal()

    def _again(self, request: Request) -> None:
        size = (request.tokens, request.prompt_tokens, request.prefix)
        again = self._request(size)
        self._left[again.id] = again
        self._loop.after(1.0, self._entry.submit, again)

    def _drop(self, request: Request) -> None:
        self._world.report.over_bound += 1
        self._world.report.wasted += request.tokens
        self._again(request)

    def _bound(self) -> int:
        return int(self._world.cfg.defaults().version_bound)

    def _seal(self) -> None:
        if self._left:
            return
        if self._world.table_down:
            self._loop.after(TABLE_POLL_S, self._seal)
            return
        self._sealed = True
        self._try_training()

    def _drop_stale(self) -> None:
        """Check the bound again at the first delivery, as steps do."""
        kept = []
        for version, request in self._versions:
            if self.version - version > self._bound():
                self._drop(request)
            else:
                kept.append((version, request))
        self._versions = kept

    def _try_training(self) -> None:
        if not self._sealed or self._waiting_since is None:
            return
        self._drop_stale()
        if self._left:
            self._sealed = False
            return
        self._count_idle()
        self._waiting_since = None
        report = self._world.report
        report.steps += 1
        ages = [self.version - version for version, _ in self._versions]
        report.staleness += ages
        report.delivered_over_bound += sum(1 for age in ages if age > self._bound())
        self._training = True
        self._loop.after(TRAIN_S, self._trained)
        self._open()

    def _trained(self) -> None:
        self._waiting_since = self._loop.now
        self._training = False
        self.publish()
        self._loop.after(self._world.user.engine.swap_s, self._release)
        self._try_training()

    def _count_idle(self) -> None:
        if self._waiting_since is not None:
            self._world.report.idle_s += self._loop.now - self._waiting_since
            self._waiting_since = self._loop.now
