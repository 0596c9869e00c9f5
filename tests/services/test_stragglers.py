"""Tests of hedging, and a comparison with no hedging in simulated time.

`python -m tests.services.test_stragglers` prints the comparison.
"""

import random
import statistics

import anyio
import pytest
import xxhash
from result import Ok

from plantainstack.interfaces import CompletionChunk
from plantainstack.policy.stragglers import BUDGET_SHARE, NoHedging, Stragglers
from plantainstack.services.step_dependencies import StepPolicies
from plantainstack.settings.fleet import FleetConfig, FleetContent
from tests.services.fleet import TRAINER, Fleet, running
from tests.services.test_step_proofs import spans_of

pytestmark = pytest.mark.anyio

ENGINES = 8
SPEED = 40.0
CHUNK_TOKENS = 10


class UnevenEngines:
    """Engines chosen by the hash of a group; slow ones have a tenth of the speed."""

    def __init__(self, clock, slow):
        self.clock, self.slow = clock, slow
        self.starts = self.running = self.tokens = 0
        self.lengths = {}
        self.swap_at = clock.now() + 5.0

    async def generate(self, ctx, req):
        place = xxhash.xxh64_intdigest(ctx.group.encode()) % ENGINES
        speed = SPEED / 10 if place < self.slow else SPEED
        length = int(min(400, random.Random(req.seed).lognormvariate(4.5, 0.6)))
        done = len(req.prefix)
        self.lengths[req.seed] = length
        self.starts += 1
        self.running += 1
        try:
            while done < length:
                await self.clock.sleep_until(self.clock.now() + CHUNK_TOKENS / speed)
                count = min(CHUNK_TOKENS, length - done)
                done += count
                self.tokens += count
                version = 7 if self.clock.now() < self.swap_at else 8
                yield Ok(CompletionChunk(f"{version}" * count, count, version))
        finally:
            self.running -= 1


async def run_step(stragglers, seed, slow=1):
    """Run a step; return its duration in seconds, its engines and its samples."""
    fleet = Fleet(policies=StepPolicies(stragglers=stragglers))
    fleet.keys = fleet.keys._replace(step=f"step-{seed}")
    fleet.engines = UnevenEngines(fleet.clock, slow)
    a = fleet.instance("a")
    request = fleet.request(groups=32, samples=8, deadline=1440.0)
    await a.step_service.open(TRAINER, request._replace(max_tokens=400))
    async with running() as tasks:
        await fleet.own(tasks, a)
        started = fleet.clock.now()
        while fleet.state() == "open":
            await fleet.clock.advance(0.5)
        seconds = fleet.clock.now() - started
        samples = (await a.step_service.samples(TRAINER, fleet.keys.step)).unwrap()
    return seconds, fleet.engines, samples


@pytest.mark.parametrize("seed", range(3))
async def test_hedging_completes_a_step_no_later_and_within_budget(seed):
    """Guards against a step that is delayed by one slow engine."""
    seconds_unhedged, base, _ = await run_step(NoHedging, seed)
    seconds, engines, samples = await run_step(Stragglers, seed)
    assert seconds <= seconds_unhedged
    extra = engines.starts - 256
    assert 0 <= extra <= 256 * BUDGET_SHARE + 1
    assert engines.running == 0
    assert engines.tokens <= base.tokens * 1.1
    # Each character of a text is the version that produced it, also after a resumption.
    assert all(s["spans"] == spans_of(int(v) for v in s["text"]) for s in samples)
    assert any(len(s["spans"]) == 2 for s in samples)
    lengths = sorted(engines.lengths.values())
    assert sorted(len(sample["text"]) for sample in samples) == lengths


async def test_nothing_is_hedged_if_all_engines_are_equally_fast():
    """Guards against hedging of long samples, which would favour short answers."""
    _, engines, _ = await run_step(Stragglers, 0, slow=0)
    assert engines.starts == 256


def compare(seeds=range(10)):
    for policy in (NoHedging, Stragglers):
        outcomes = [anyio.run(run_step, policy, seed) for seed in seeds]
        seconds = [seconds for seconds, _, _ in outcomes]
        starts = sum(engines.starts for _, engines, _ in outcomes) / len(outcomes)
        tokens = sum(engines.tokens for _, engines, _ in outcomes) / len(outcomes)
        print(
            f"{policy.__name__}: step {statistics.median(seconds):.1f} s median, "
            f"{max(seconds):.1f} s worst, {starts:.1f} attempts, {tokens:.0f} tokens"
        )


if __name__ == "__main__":
    compare()


@pytest.mark.parametrize("published", [True, False])
async def test_a_share_of_the_groups_waits_for_the_next_version(published):
    """Guards against an option without effect, and against an endless wait."""
    fleet = Fleet()
    cfg = FleetConfig(1, FleetContent(defaults={"fresh_share": "0.5"}, exceptions=[]))
    owner = fleet.instance("a")
    deps = owner.deps._replace(options=lambda record: cfg.defaults())
    owner.deps = deps
    await fleet.publish(7)
    await owner.step_service.open(TRAINER, fleet.request(groups=4, samples=2))
    async with running() as tasks:
        await fleet.own(tasks, owner)
        await fleet.clock.advance(10)
        assert fleet.engines.starts == 4
        if published:
            await fleet.publish(8)
        await fleet.clock.advance(20 if published else cfg.defaults().fresh_wait)
        assert fleet.engines.starts == 8


async def test_hedges_use_the_shared_retry_budget():
    """Guards against hedges that are not counted in the shared retry budget."""
    fleet = Fleet()
    fleet.engines = UnevenEngines(fleet.clock, 1)
    owner = fleet.instance("a")
    owner.deps = owner.deps._replace(may_hedge=lambda record: False)
    await owner.step_service.open(TRAINER, fleet.request(groups=16, samples=4))
    async with running() as tasks:
        await fleet.own(tasks, owner)
        await fleet.clock.advance(200)
    assert fleet.engines.starts == 64
