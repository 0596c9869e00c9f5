"""The plug-in `bookings`: keyed calls, which run at most once."""

from collections import OrderedDict
from typing import NamedTuple

import anyio
import msgspec
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.interfaces import (
    Check,
    Mutation,
    PlainAnswer,
    PlainRequest,
    Row,
    Write,
)
from plantainstack.plugins import Plugin
from plantainstack.policy.claims import (
    CLAIM_PREFIX,
    AttemptStage,
    Claim,
    ClaimAction,
    ClaimQuery,
    ClaimRules,
    ClaimState,
    claim_key,
    claim_of,
    decode_answer,
    digest_of,
    encode_answer,
    unknown,
)
from plantainstack.requests import Deadline, RequestContext, new_id
from plantainstack.services.dispatch import AttemptLog, CallResult
from plantainstack.settings.fleet import Scope

# Larger answers go to the object store, so that rows stay small.
INLINE_ANSWER_BYTES = 32 * 1024
UNSTORED_BYTES_MAX = 4 * 1024 * 1024
# Longest time an answer waits for its own storage before it is returned.
STORE_WAIT_S = 0.5
STORE_RETRY_S = 1.0
DRAIN_STORE_S = 30.0
SETTLE_READS = 3
SETTLE_PAUSE_S = 0.05
CLAIM_ROUNDS = 8
ASK_PAUSE_S = 0.1
ASK_TIMEOUT_S = 1.0
SWEEP_INTERVAL_S = 1.0
SWEEP_PAGE = 500
# Covers differences between the wall clocks of instances.
EXPIRY_MARGIN_S = 60.0
CLAIM_QUERY = "claim_query"
CLAIM_REPLY = "claim_reply"


class Held(NamedTuple):
    """Hold a claim that this process owns, with its row's version."""

    key: str
    version: int
    claim: Claim


class _Call(NamedTuple):
    ctx: RequestContext
    req: PlainRequest
    log: AttemptLog


class _Flight:
    """Hold one keyed call of this process, which other requests may join."""

    def __init__(self, call: "_Call", claim: Claim, guard: Deadline):
        self.ctx, self.req, self.log = call
        self.key = claim_key(self.ctx.caller, self.ctx.service, self.ctx.key)
        self.claim = claim
        self.guard = guard
        self.withdrawn = False
        self.met_other = False
        self.decided = anyio.Event()
        self.result: Result[CallResult, Failure] | None = None

    def decide(self, result: Result[CallResult, Failure]) -> None:
        if self.result is None:
            self.result = result
            self.decided.set()


class _Unstored(NamedTuple):
    held: Held
    answer: PlainAnswer | None
    size: int


class UnstoredOutcomes:
    """Keep ends of claims that are still to be stored, up to a number of bytes."""

    def __init__(self, limit: int = UNSTORED_BYTES_MAX):
        self._limit = limit
        self._size = 0
        self._ends: OrderedDict[str, _Unstored] = OrderedDict()

    def __len__(self):
        return len(self._ends)

    def put(self, held: Held, answer: PlainAnswer | None) -> None:
        """Keep an answer, or None for a claim to be voided; drop the oldest."""
        size = len(held.key) + (len(answer.body) if answer else 0) + 512
        self._remove(held.key)
        self._ends[held.key] = _Unstored(held, answer, size)
        self._size += size
        while self._size > self._limit:
            oldest = next(iter(self._ends))
            self._remove(oldest)
            log.event("bookings.end_dropped", claim=oldest)

    def remove(self, held: Held) -> None:
        """Forget the end of a claim, but not that of a later one on its row."""
        found = self._ends.get(held.key)
        if found is not None and found.held.claim.attempt == held.claim.attempt:
            self._remove(held.key)

    def _remove(self, key: str) -> None:
        found = self._ends.pop(key, None)
        if found is not None:
            self._size -= found.size

    def get(self, key: str) -> _Unstored | None:
        """Return the end of a claim."""
        return self._ends.get(key)

    def all(self) -> list[_Unstored]:
        """Return all ends, oldest first."""
        return list(self._ends.values())


class Bookings(Plugin):
    """Claim, dispatch, store and repeat the answers of keyed calls."""

    name = "bookings"
    requires = ("dispatch", "platform", "peers", "membership")

    def __init__(self, kernel):
        super().__init__(kernel)
        owner = kernel.settings.instance.id
        self.rules = ClaimRules(owner, kernel.incarnation)
        self.unstored = UnstoredOutcomes()
        self._flights: dict[str, _Flight] = {}
        self._idle = anyio.Event()
        self._tasks = None
        self._sweep_after = CLAIM_PREFIX

    async def start(self, tasks) -> None:
        """Take queries of peers and start the tasks that store and sweep."""
        self._tasks = tasks
        platform = self.kernel.plugin("platform")
        self._table = platform.table
        self._objects = platform.objects
        self.kernel.plugin("peers").register(CLAIM_QUERY, self._on_query)
        tasks.start_soon(self._every, STORE_RETRY_S, self.store_ends)
        tasks.start_soon(self._every, SWEEP_INTERVAL_S, self.sweep)

    async def drain(self, deadline: float) -> None:
        """Finish running calls, then try for a while to store their ends."""
        clock = self.kernel.clock
        while self._flights:
            self._idle = anyio.Event()
            if not await _wait_until(clock, self._idle, deadline):
                return
        limit = min(deadline, clock.now() + DRAIN_STORE_S)
        while self.unstored and clock.now() < limit:
            await self.store_ends()
            if self.unstored:
                await clock.sleep_until(clock.now() + STORE_RETRY_S)

    async def call(
        self, ctx: RequestContext, req: PlainRequest, attempts: AttemptLog
    ) -> Result[CallResult, Failure]:
        """Run a keyed call at most once, or return the answer of its first run."""
        guard = Deadline(self.kernel.clock, ctx.deadline)
        flight = _Flight(_Call(ctx, req, attempts), self._new_claim(ctx, req), guard)
        known = self._known(flight)
        if known is None:
            self._flights[flight.key] = flight
            self.rules.set_stage(flight.claim.attempt, AttemptStage.CLAIMING)
            self._tasks.start_soon(self._fly, flight)
            return await self._own_result(flight)
        if isinstance(known, _Flight):
            self._record(flight, "claim.joined", first=known.ctx.request_id)
            return await self._join(known, ctx.deadline)
        self._record(flight, "claim.answered", from_memory=True)
        return known

    def _record(self, flight: _Flight, event: str, **fields) -> None:
        self.kernel.trace.record(
            flight.ctx.request_id, event, attempt=flight.claim.attempt, **fields
        )

    def _known(self, flight: _Flight) -> _Flight | Result[CallResult, Failure] | None:
        """Return the running call with the same key, or its unstored answer."""
        running = self._flights.get(flight.key)
        end = self.unstored.get(flight.key)
        if running is None and (end is None or end.answer is None):
            return None
        claim = running.claim if running else end.held.claim
        verdict = self.rules.decide(Row(flight.key, 0, claim.value()), flight.claim)
        if verdict.failure and verdict.failure.kind is ErrorKind.KEY_REUSED:
            return Err(verdict.failure)
        return running or Ok(CallResult(end.answer, 0))

    async def _own_result(self, flight: _Flight) -> Result[CallResult, Failure]:
        clock = self.kernel.clock
        if await _wait_until(clock, flight.decided, flight.ctx.deadline):
            return flight.result
        if self.rules.stage(flight.claim.attempt) is AttemptStage.CLAIMING:
            flight.withdrawn = True
            if flight.met_other:
                return Err(unknown().failure)
            message = "the deadline passed before the call was claimed"
            return Err(Failure.of(ErrorKind.DEADLINE_PASSED, message))
        await flight.decided.wait()
        return flight.result

    async def _join(
        self, flight: _Flight, deadline: float
    ) -> Result[CallResult, Failure]:
        if await _wait_until(self.kernel.clock, flight.decided, deadline):
            return flight.result
        return Err(unknown().failure)

    async def _fly(self, flight: _Flight) -> None:
        attempt = flight.claim.attempt
        try:
            flight.decide(await self._run(flight))
        except Exception as exc:
            log.event("bookings.failed", flight.ctx.request_id, error=repr(exc))
            message = "an internal error occurred"
            flight.decide(Err(Failure.of(ErrorKind.INTERNAL, message)))
        finally:
            if self.rules.stage(attempt) is AttemptStage.CLAIMING:
                self.rules.set_stage(attempt, AttemptStage.NOT_RUN)
            elif self.rules.stage(attempt) is AttemptStage.DISPATCHED:
                self.rules.set_stage(attempt, AttemptStage.ENDED)
            del self._flights[flight.key]
            if not self._flights:
                self._idle.set()

    async def _run(self, flight: _Flight) -> Result[CallResult, Failure]:
        row = Row(flight.key, 0, None)
        for _ in range(CLAIM_ROUNDS):
            verdict = self.rules.decide(row, flight.claim)
            if verdict.action is ClaimAction.REFUSE:
                return Err(verdict.failure)
            if verdict.action is ClaimAction.DISPATCH:
                self._record(flight, "claim.taken", version=row.version)
                held = Held(row.key, row.version, flight.claim)
                return await self._dispatch(flight, held)
            if verdict.action is ClaimAction.ANSWER:
                first = claim_of(row).attempt
                self._record(flight, "claim.answered", first=first)
                return await self._stored_answer(claim_of(row))
            if verdict.action is ClaimAction.ASK:
                flight.met_other = True
                self._record(flight, "claim.met", owner=claim_of(row).owner)
                asked = await self._ask_owner(flight, row)
                if asked.is_err() or isinstance(asked.ok_value, CallResult):
                    return asked
                row = asked.ok_value
                continue
            if verdict.action is ClaimAction.JOIN:
                return Err(unknown().failure)
            claimed = await self._claim(flight, row.version)
            if claimed.is_err():
                return claimed
            row = claimed.ok_value
        message = "other requests with this key change its claim all the time"
        return Err(Failure.of(ErrorKind.OVERLOADED, message))

    async def _claim(self, flight: _Flight, version: int) -> Result[Row, Failure]:
        """Try to take the claim, and return the row as it is then."""
        value = flight.claim.value()
        written = await self._write(flight.key, version, value)
        if written.is_ok():
            outcome = written.ok_value
            if outcome.applied:
                return Ok(Row(flight.key, version + 1, value))
            return Ok(outcome.conflicts[0])
        failure = written.err_value
        if failure.kind is not ErrorKind.TABLE_OUTCOME_UNKNOWN:
            return Err(_table_down())
        return await self._settle(flight.key)

    async def _settle(self, key: str) -> Result[Row, Failure]:
        """Read a row after the response to a write to it was lost."""
        for attempt in range(SETTLE_READS):
            if attempt:
                now = self.kernel.clock.now()
                await self.kernel.clock.sleep_until(now + SETTLE_PAUSE_S)
            found = await self._table.read([key])
            if found.is_ok():
                return Ok(found.ok_value[key])
        return Err(_table_down())

    async def _dispatch(
        self, flight: _Flight, held: Held
    ) -> Result[CallResult, Failure]:
        failure = self._dispatch_refusal(flight)
        if failure is None:
            self.rules.set_stage(held.claim.attempt, AttemptStage.DISPATCHED)
            result = await self.kernel.plugin("dispatch").call_plain(
                flight.ctx, flight.req, False, flight.log
            )
            if result.is_ok():
                await self._keep_answer(flight, held, result.ok_value)
                return result
            failure = result.err_value
        if failure.outcome is Outcome.NOT_RUN:
            self.rules.set_stage(held.claim.attempt, AttemptStage.NOT_RUN)
            flight.decide(Err(failure))
            await self._store_end(held, None)
        return Err(failure)

    def _dispatch_refusal(self, flight: _Flight) -> Failure | None:
        if self.kernel.pause.check():
            message = "the instance was paused and refreshes its state"
            return Failure.of(ErrorKind.NOT_READY, message)
        if flight.withdrawn or flight.guard.expired():
            message = "the deadline passed before the call was sent"
            return Failure.of(ErrorKind.DEADLINE_PASSED, message)
        return None

    async def _keep_answer(
        self, flight: _Flight, held: Held, answered: CallResult
    ) -> None:
        """Store an answer; a caller does not wait long for that."""
        self.rules.set_stage(held.claim.attempt, AttemptStage.ENDED)
        self.unstored.put(held, answered.answer)
        clock = self.kernel.clock
        limit = min(flight.ctx.deadline, clock.now() + STORE_WAIT_S)
        stored = anyio.Event()
        self._tasks.start_soon(self._store_now, held, answered.answer, stored)
        await _wait_until(clock, stored, limit)

    async def _store_now(self, held: Held, answer: PlainAnswer, stored) -> None:
        try:
            await self._store_end(held, answer)
        except Exception as exc:
            log.event("bookings.task_failed", error=repr(exc))
        finally:
            stored.set()

    async def store_ends(self) -> None:
        """Store the ends of claims that could not be stored before."""
        async with anyio.create_task_group() as tasks:
            for end in self.unstored.all():
                tasks.start_soon(self._store_end, end.held, end.answer)

    async def _store_end(self, held: Held, answer: PlainAnswer | None) -> bool:
        """Store an answer, or void a claim; what fails is tried again later."""
        if answer is None and not self.rules.may_void(held.claim):
            return True
        if self._expires_soon(held.claim):
            self.unstored.remove(held)
            return True
        self.unstored.put(held, answer)
        ended = await self._ended_claim(held.claim, answer)
        if ended.is_err():
            return False
        written = await self._write(held.key, held.version, ended.ok_value.value())
        if written.is_err():
            return False
        # A conflict means that an earlier write of this end took effect.
        self.unstored.remove(held)
        return True

    def _expires_soon(self, claim: Claim) -> bool:
        """Return whether the row may soon belong to another claim.

        The versions of a deleted row start anew, so that a check of the version
        does not tell its claim from a later one under the same key.
        """
        return self.kernel.clock.wall() + EXPIRY_MARGIN_S >= claim.expires_ms / 1000

    async def _ended_claim(
        self, claim: Claim, answer: PlainAnswer | None
    ) -> Result[Claim, Failure]:
        if answer is None:
            return Ok(claim.void())
        if len(answer.body) <= INLINE_ANSWER_BYTES:
            return Ok(claim.done(encode_answer(answer), None))
        name = f"answers/{claim.attempt}"
        data = msgspec.json.encode(encode_answer(answer))
        put = await self._objects.put(name, data)
        return put.map(lambda _: claim.done(None, name))

    async def _stored_answer(self, claim: Claim) -> Result[CallResult, Failure]:
        if claim.answer is not None:
            return Ok(CallResult(decode_answer(claim.answer), 0))
        found = await self._objects.get(claim.object)
        if found.is_ok():
            value = msgspec.json.decode(found.ok_value)
            return Ok(CallResult(decode_answer(value), 0))
        message = "the call ran, but its stored answer cannot be read"
        kind = found.err_value.kind
        if kind is not ErrorKind.STORE_UNAVAILABLE:
            kind = ErrorKind.ANSWER_UNAVAILABLE
        return Err(Failure(kind, message, Outcome.RAN))

    async def _ask_owner(
        self, flight: _Flight, row: Row
    ) -> Result[CallResult | Row, Failure]:
        """Ask the owner of a claim until it has ended, or return the changed row."""
        claim = claim_of(row)
        clock = self.kernel.clock
        while clock.now() < flight.ctx.deadline and not flight.withdrawn:
            reply = await self._ask_once(claim, row.key, flight.ctx.deadline)
            if reply.get("answer") is not None:
                return Ok(CallResult(decode_answer(reply["answer"]), 0))
            if reply.get("state") == AttemptStage.NOT_RUN:
                return Err(_table_down())
            if reply.get("state") != "running":
                return await self._changed_row(row)
            await clock.sleep_until(clock.now() + ASK_PAUSE_S)
        return Err(unknown().failure)

    async def _ask_once(self, claim: Claim, key: str, deadline: float) -> dict:
        members = self.kernel.plugin("membership").view().members
        if claim.owner not in members or claim.owner == self._own_id():
            return {}
        query = {
            "type": CLAIM_QUERY,
            "key": key,
            "attempt": claim.attempt,
            "incarnation": claim.incarnation,
        }
        limit = min(deadline, self.kernel.clock.now() + ASK_TIMEOUT_S)
        asked = await self.kernel.plugin("peers").request(claim.owner, query, limit)
        return asked.unwrap_or({})

    async def _changed_row(self, row: Row) -> Result[Row, Failure]:
        found = await self._settle(row.key)
        if found.is_err():
            return Err(unknown().failure)
        changed = found.ok_value
        if changed.version == row.version:
            return Err(unknown().failure)
        return Ok(changed)

    async def _on_query(self, peer_id: str, message: dict) -> dict:
        """Tell a peer what became of a claim of this process."""
        try:
            query = msgspec.convert(message, ClaimQuery)
        except msgspec.ValidationError:
            return {
                "type": CLAIM_REPLY,
                "state": AttemptStage.FORGOTTEN,
                "answer": None,
            }
        state, answer = await self._query_state(query)
        encoded = encode_answer(answer) if answer else None
        return {"type": CLAIM_REPLY, "state": state, "answer": encoded}

    async def _query_state(self, query: ClaimQuery) -> tuple[str, PlainAnswer | None]:
        key, attempt = query.key, query.attempt
        if query.incarnation != self.kernel.incarnation:
            return AttemptStage.FORGOTTEN, None
        flight = self._flights.get(key)
        if flight is not None and flight.claim.attempt == attempt:
            return "running", None
        end = self.unstored.get(key)
        if end is not None and end.held.claim.attempt == attempt and end.answer:
            small = len(end.answer.body) <= INLINE_ANSWER_BYTES
            return AttemptStage.ENDED, end.answer if small else None
        if self.rules.stage(attempt) is not AttemptStage.NOT_RUN:
            return self.rules.stage(attempt), None
        voided = await self._void(key, attempt)
        return ("void" if voided else AttemptStage.NOT_RUN), None

    async def _void(self, key: str, attempt: str) -> bool:
        """Void a claim of this process that never ran, as found in the table."""
        found = await self._settle(key)
        if found.is_err():
            return False
        row = found.ok_value
        claim = claim_of(row)
        if claim is None or claim.attempt != attempt:
            return True
        if claim.state is not ClaimState.CLAIMED:
            return True
        return await self._store_end(Held(key, row.version, claim), None)

    async def sweep(self) -> None:
        """Delete a page of expired claims, on one instance of the fleet."""
        members = self.kernel.plugin("membership").view().members
        own_id = self._own_id()
        if own_id != min(members, default=own_id):
            return
        page = await self._table.scan(CLAIM_PREFIX, self._sweep_after, SWEEP_PAGE)
        if page.is_err():
            return
        rows = page.ok_value
        self._sweep_after = rows[-1].key if len(rows) == SWEEP_PAGE else CLAIM_PREFIX
        now_ms = self.kernel.clock.wall() * 1000
        expired = [row for row in rows if claim_of(row).expires_ms < now_ms]
        if expired:
            await self._table.commit([_deletion(row) for row in expired])

    def _own_id(self) -> str:
        return self.kernel.settings.instance.id

    async def _write(self, key: str, version: int, value: dict):
        check = Check(key, version)
        mutation = Mutation(new_id(), (check,), (Write(key, value),))
        committed = await self._table.commit([mutation])
        return committed.map(lambda outcomes: outcomes[0])

    def _new_claim(self, ctx: RequestContext, req: PlainRequest) -> Claim:
        options = self.kernel.config.scoped(Scope(service=ctx.service))
        deadline = self.kernel.clock.wall_from_deadline(ctx.deadline)
        return Claim(
            ClaimState.CLAIMED,
            req.attempt_id,
            self._own_id(),
            self.kernel.incarnation,
            digest_of(req),
            int(deadline * 1000),
            int((deadline + options.answer_retention) * 1000),
        )

    async def _every(self, seconds: float, work) -> None:
        while True:
            await self.kernel.clock.sleep_until(self.kernel.clock.now() + seconds)
            try:
                await work()
            except Exception as exc:
                log.event("bookings.task_failed", error=repr(exc))


def _deletion(row: Row) -> Mutation:
    return Mutation(new_id(), (Check(row.key, row.version),), (Write(row.key, None),))


def _table_down() -> Failure:
    message = "the table service is needed for calls with a key, and is not available"
    return Failure.of(ErrorKind.TABLE_UNAVAILABLE, message)


async def _wait_until(clock: Clock, event: anyio.Event, deadline: float) -> bool:
    """Return whether the event came before the deadline."""

    async def expire() -> None:
        await clock.sleep_until(deadline)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(expire)
        await event.wait()
        tasks.cancel_scope.cancel()
    return event.is_set()
