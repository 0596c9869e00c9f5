"""Simulated trainer, which trains on a step while the next one is generated."""

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
TABLE_POLL_INTERVAL_S = 2.0


class Trainer:
    """Open steps at one entry instance, and publish a weight version after each.

    `scale` is the size of the steps relative to GROUPS. `_samples` holds the weight
    version and the request of each sample, `_deferred` the requests that wait for the
    next version.
    """

    def __init__(self, simulation, entry, name: str, scale: float):
        self.name = name
        self.version = 0
        self._simulation = simulation
        self._loop = simulation.loop
        self._entry = entry
        self._groups = max(1, int(GROUPS * scale))
        self._step = 0
        self._pending: dict[str, Request] = {}
        self._samples: list[tuple[int, Request]] = []
        self._sealed = False
        self._training = False
        self._deferred: list[Request] = []
        self._waiting_since: float | None = 0.0
        self._loop.call_at(0.0, self._open)

    def finish(self) -> None:
        """Count the idle time up to the end of the run."""
        self._count_idle()

    def publish(self) -> None:
        """Publish the next weight version and load it on the engines."""
        self.version += 1
        self._simulation.swap_weights(self.name, self.version)

    def _open(self) -> None:
        self._step += 1
        self._sealed = False
        self._samples = []
        rng = random.Random(f"{self._simulation.seed} {self.name} {self._step}")
        requests = []
        share = self._simulation.fresh_share if self._training else 0.0
        for group in range(self._groups):
            prefix = rng.getrandbits(48)
            for _ in range(GROUP_SIZE):
                length = ANSWER_MEDIAN_TOKENS * rng.lognormvariate(0, ANSWER_SIGMA)
                tokens = min(ANSWER_MAX_TOKENS, int(length) + 1)
                request = self._request((tokens, PROMPT_TOKENS, prefix))
                waits = waits_for_next(group, self._groups, share)
                (self._deferred if waits else requests).append(request)
        for request in (*requests, *self._deferred):
            self._pending[request.id] = request
        for request in requests:
            self._entry.submit(request)

    def _submit_deferred(self) -> None:
        """Submit the deferred samples, one load time after a version was published."""
        deferred, self._deferred = self._deferred, []
        for request in deferred:
            self._entry.submit(request)

    def _request(self, size: tuple[int, int, int]) -> Request:
        simulation = self._simulation
        return Request(
            simulation.next_number(),
            "rollout",
            simulation.user.service,
            self.name,
            self._loop.now,
            self._loop.now + STEP_LIMIT_S,
            (*size, PROMPT_TOKENS),
            self._sample_ended,
        )

    def _sample_ended(self, request: Request, end: str, attempt) -> None:
        self._pending.pop(request.id, None)
        if end != "ok":
            self._resubmit(request)
            return
        if self.version - attempt.version > self._bound():
            self._discard_and_resubmit(request)
            return
        self._samples.append((attempt.version, request))
        if len(self._pending) <= STRAGGLER_SHARE * self._groups * GROUP_SIZE:
            for other in self._pending.values():
                self._entry.hedge_straggler(other)
        if not self._pending:
            self._seal()

    def _resubmit(self, request: Request) -> None:
        size = (request.tokens, request.prompt_tokens, request.prefix)
        retry = self._request(size)
        self._pending[retry.id] = retry
        self._loop.call_later(1.0, self._entry.submit, retry)

    def _discard_and_resubmit(self, request: Request) -> None:
        self._simulation.report.over_bound += 1
        self._simulation.report.wasted_tokens += request.tokens
        self._resubmit(request)

    def _bound(self) -> int:
        return int(self._simulation.cfg.defaults().version_bound)

    def _seal(self) -> None:
        if self._pending:
            return
        if self._simulation.table_down:
            self._loop.call_later(TABLE_POLL_INTERVAL_S, self._seal)
            return
        self._sealed = True
        self._try_training()

    def _discard_stale(self) -> None:
        """Check the version bound again at the first delivery, as the service does."""
        kept = []
        for version, request in self._samples:
            if self.version - version > self._bound():
                self._discard_and_resubmit(request)
            else:
                kept.append((version, request))
        self._samples = kept

    def _try_training(self) -> None:
        if not self._sealed or self._waiting_since is None:
            return
        self._discard_stale()
        if self._pending:
            self._sealed = False
            return
        self._count_idle()
        self._waiting_since = None
        report = self._simulation.report
        report.steps += 1
        ages = [self.version - version for version, _ in self._samples]
        report.staleness += ages
        report.delivered_over_bound += sum(1 for age in ages if age > self._bound())
        self._training = True
        self._loop.call_later(TRAIN_S, self._finish_training)
        self._open()

    def _finish_training(self) -> None:
        self._waiting_since = self._loop.now
        self._training = False
        self.publish()
        self._loop.call_later(
            self._simulation.user.engine.swap_s, self._submit_deferred
        )
        self._try_training()

    def _count_idle(self) -> None:
        if self._waiting_since is not None:
            self._simulation.report.idle_s += self._loop.now - self._waiting_since
            self._waiting_since = self._loop.now
