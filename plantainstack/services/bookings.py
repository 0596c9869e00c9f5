"""Plug-in `bookings`: runs each call with an idempotency key at most once.

Before a call is dispatched, a claim under its key is inserted into the table
service. The claim later holds the answer, which repeated calls receive.
"""

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
from plantainstack.tasks import record_exception

# Larger answers go to the object store, which bounds the size of a row.
INLINE_ANSWER_BYTES = 32 * 1024
UNSTORED_BYTES_MAX = 4 * 1024 * 1024
# Longest delay of an answer by the write that stores it.
STORE_WAIT_S = 0.5
STORE_RETRY_S = 1.0
DRAIN_STORE_S = 30.0
READ_BACK_ATTEMPTS = 3
READ_BACK_INTERVAL_S = 0.05
CLAIM_ATTEMPTS_MAX = 8
QUERY_INTERVAL_S = 0.1
QUERY_TIMEOUT_S = 1.0
SWEEP_INTERVAL_S = 1.0
SWEEP_PAGE = 500
# Allows for differences between the wall clocks of instances.
EXPIRY_MARGIN_S = 60.0
CLAIM_QUERY = "claim_query"
CLAIM_REPLY = "claim_reply"


class OwnedClaim(NamedTuple):
    """A claim that this process owns, with the version of its row."""

    key: str
    version: int
    claim: Claim


class _KeyedCall(NamedTuple):
    ctx: RequestContext
    req: PlainRequest
    log: AttemptLog


class _PendingCall:
    """A keyed call that this process is executing; repeated calls share its result."""

    def __init__(self, call: "_KeyedCall", claim: Claim, call_deadline: Deadline):
        self.ctx, self.req, self.log = call
        self.key = claim_key(self.ctx.caller, self.ctx.service, self.ctx.key)
        self.claim = claim
        self.call_deadline = call_deadline
        self.withdrawn = False
        self.found_other_claim = False
        self.resolved = anyio.Event()
        self.result: Result[CallResult, Failure] | None = None

    def resolve(self, result: Result[CallResult, Failure]) -> None:
        if self.result is None:
            self.result = result
            self.resolved.set()


class _UnstoredOutcome(NamedTuple):
    owned: OwnedClaim
    answer: PlainAnswer | None
    size: int


class UnstoredOutcomes:
    """Outcomes of claims that are not yet written to the table, within a byte limit."""

    def __init__(self, limit: int = UNSTORED_BYTES_MAX):
        self._limit = limit
        self._size = 0
        self._outcomes: OrderedDict[str, _UnstoredOutcome] = OrderedDict()

    def __len__(self):
        return len(self._outcomes)

    def put(self, owned: OwnedClaim, answer: PlainAnswer | None) -> None:
        """Add an answer, or None to void the claim; evict the oldest over the limit."""
        size = len(owned.key) + (len(answer.body) if answer else 0) + 512
        self._remove(owned.key)
        self._outcomes[owned.key] = _UnstoredOutcome(owned, answer, size)
        self._size += size
        while self._size > self._limit:
            oldest = next(iter(self._outcomes))
            self._remove(oldest)
            log.event("bookings.end_dropped", claim=oldest)

    def remove(self, owned: OwnedClaim) -> None:
        """Remove the outcome of a claim, but not that of a later claim on its row."""
        found = self._outcomes.get(owned.key)
        if found is not None and found.owned.claim.attempt == owned.claim.attempt:
            self._remove(owned.key)

    def _remove(self, key: str) -> None:
        found = self._outcomes.pop(key, None)
        if found is not None:
            self._size -= found.size

    def get(self, key: str) -> _UnstoredOutcome | None:
        """Return the outcome for a claim's key, or None."""
        return self._outcomes.get(key)

    def all(self) -> list[_UnstoredOutcome]:
        """Return all outcomes, oldest first."""
        return list(self._outcomes.values())


class Bookings(Plugin):
    """Run keyed calls at most once, and return stored answers to repeated calls."""

    name = "bookings"
    requires = ("dispatch", "platform", "peers", "membership")

    def __init__(self, kernel):
        super().__init__(kernel)
        owner = kernel.settings.instance.id
        self.rules = ClaimRules(owner, kernel.incarnation)
        self.unstored = UnstoredOutcomes()
        self._pending: dict[str, _PendingCall] = {}
        self._idle = anyio.Event()
        self._tasks = None
        self._sweep_after = CLAIM_PREFIX

    async def start(self, tasks) -> None:
        """Accept queries from peers, and start to store outcomes and delete claims."""
        self._tasks = tasks
        platform = self.kernel.plugin("platform")
        self._table = platform.table
        self._objects = platform.objects
        self.kernel.plugin("peers").register(CLAIM_QUERY, self._on_query)
        tasks.start_loop(self._run_periodically, STORE_RETRY_S, self.store_outcomes)
        tasks.start_loop(self._run_periodically, SWEEP_INTERVAL_S, self.sweep)

    async def drain(self, deadline: float) -> None:
        """Wait for running calls, then up to 30 s for the storage of their outcomes."""
        clock = self.kernel.clock
        while self._pending:
            self._idle = anyio.Event()
            if not await _wait_for_event(clock, self._idle, deadline):
                return
        limit = min(deadline, clock.now() + DRAIN_STORE_S)
        while self.unstored and clock.now() < limit:
            await self.store_outcomes()
            if self.unstored:
                await clock.sleep_until(clock.now() + STORE_RETRY_S)

    async def call(
        self, ctx: RequestContext, req: PlainRequest, attempts: AttemptLog
    ) -> Result[CallResult, Failure]:
        """Run a keyed call, or return the result of an earlier call with its key."""
        call_deadline = Deadline(self.kernel.clock, ctx.deadline)
        pending = _PendingCall(
            _KeyedCall(ctx, req, attempts), self._new_claim(ctx, req), call_deadline
        )
        known = self._find_local(pending)
        if known is None:
            self._pending[pending.key] = pending
            self.rules.set_stage(pending.claim.attempt, AttemptStage.CLAIMING)
            self._tasks.start_soon(self._run_pending, pending)
            return await self._own_result(pending)
        if isinstance(known, _PendingCall):
            self._record(pending, "claim.joined", first=known.ctx.request_id)
            return await self._join(known, ctx.deadline)
        self._record(pending, "claim.answered", from_memory=True)
        return known

    def _record(self, pending: _PendingCall, event: str, **fields) -> None:
        self.kernel.trace.record(
            pending.ctx.request_id, event, attempt=pending.claim.attempt, **fields
        )

    def _find_local(
        self, pending: _PendingCall
    ) -> _PendingCall | Result[CallResult, Failure] | None:
        """Return the running call with the same key, or an answer not yet stored."""
        running = self._pending.get(pending.key)
        entry = self.unstored.get(pending.key)
        if running is None and (entry is None or entry.answer is None):
            return None
        claim = running.claim if running else entry.owned.claim
        decision = self.rules.decide(Row(pending.key, 0, claim.value()), pending.claim)
        if decision.failure and decision.failure.kind is ErrorKind.KEY_REUSED:
            return Err(decision.failure)
        return running or Ok(CallResult(entry.answer, 0))

    async def _own_result(self, pending: _PendingCall) -> Result[CallResult, Failure]:
        clock = self.kernel.clock
        if await _wait_for_event(clock, pending.resolved, pending.ctx.deadline):
            return pending.result
        if self.rules.stage(pending.claim.attempt) is AttemptStage.CLAIMING:
            pending.withdrawn = True
            if pending.found_other_claim:
                return Err(unknown().failure)
            message = "the deadline passed before the call was claimed"
            return Err(Failure.of(ErrorKind.DEADLINE_PASSED, message))
        await pending.resolved.wait()
        return pending.result

    async def _join(
        self, pending: _PendingCall, deadline: float
    ) -> Result[CallResult, Failure]:
        if await _wait_for_event(self.kernel.clock, pending.resolved, deadline):
            return pending.result
        return Err(unknown().failure)

    async def _run_pending(self, pending: _PendingCall) -> None:
        attempt = pending.claim.attempt
        try:
            pending.resolve(await self._claim_and_dispatch(pending))
        except Exception as exc:
            record_exception("Bookings._run_pending", exc)
            log.event("bookings.failed", pending.ctx.request_id, error=repr(exc))
            message = "an internal error occurred"
            pending.resolve(Err(Failure.of(ErrorKind.INTERNAL, message)))
        finally:
            if self.rules.stage(attempt) is AttemptStage.CLAIMING:
                self.rules.set_stage(attempt, AttemptStage.NOT_RUN)
            elif self.rules.stage(attempt) is AttemptStage.DISPATCHED:
                self.rules.set_stage(attempt, AttemptStage.ENDED)
            del self._pending[pending.key]
            if not self._pending:
                self._idle.set()

    async def _claim_and_dispatch(
        self, pending: _PendingCall
    ) -> Result[CallResult, Failure]:
        row = Row(pending.key, 0, None)
        for _ in range(CLAIM_ATTEMPTS_MAX):
            decision = self.rules.decide(row, pending.claim)
            if decision.action is ClaimAction.REFUSE:
                return Err(decision.failure)
            if decision.action is ClaimAction.DISPATCH:
                self._record(pending, "claim.taken", version=row.version)
                owned = OwnedClaim(row.key, row.version, pending.claim)
                return await self._dispatch(pending, owned)
            if decision.action is ClaimAction.ANSWER:
                first = claim_of(row).attempt
                self._record(pending, "claim.answered", first=first)
                return await self._stored_answer(claim_of(row))
            if decision.action is ClaimAction.ASK:
                pending.found_other_claim = True
                self._record(pending, "claim.met", owner=claim_of(row).owner)
                queried = await self._query_owner(pending, row)
                if queried.is_err() or isinstance(queried.ok_value, CallResult):
                    return queried
                row = queried.ok_value
                continue
            if decision.action is ClaimAction.JOIN:
                return Err(unknown().failure)
            claimed = await self._claim(pending, row.version)
            if claimed.is_err():
                return claimed
            row = claimed.ok_value
        message = "other requests with this key keep changing its claim"
        return Err(Failure.of(ErrorKind.OVERLOADED, message))

    async def _claim(self, pending: _PendingCall, version: int) -> Result[Row, Failure]:
        """Try to write the claim, and return the row that the table then holds."""
        value = pending.claim.value()
        written = await self._write(pending.key, version, value)
        if written.is_ok():
            outcome = written.ok_value
            if outcome.applied:
                return Ok(Row(pending.key, version + 1, value))
            return Ok(outcome.conflicts[0])
        failure = written.err_value
        if failure.kind is not ErrorKind.TABLE_OUTCOME_UNKNOWN:
            return Err(_table_unavailable())
        return await self._read_back(pending.key)

    async def _read_back(self, key: str) -> Result[Row, Failure]:
        """Read a row whose state is unknown, because a response was lost."""
        for attempt in range(READ_BACK_ATTEMPTS):
            if attempt:
                now = self.kernel.clock.now()
                await self.kernel.clock.sleep_until(now + READ_BACK_INTERVAL_S)
            found = await self._table.read([key])
            if found.is_ok():
                return Ok(found.ok_value[key])
        return Err(_table_unavailable())

    async def _dispatch(
        self, pending: _PendingCall, owned: OwnedClaim
    ) -> Result[CallResult, Failure]:
        failure = self._dispatch_refusal(pending)
        if failure is None:
            self.rules.set_stage(owned.claim.attempt, AttemptStage.DISPATCHED)
            result = await self.kernel.plugin("dispatch").call_plain(
                pending.ctx, pending.req, False, pending.log
            )
            if result.is_ok():
                await self._store_answer(pending, owned, result.ok_value)
                return result
            failure = result.err_value
        if failure.outcome is Outcome.NOT_RUN:
            self.rules.set_stage(owned.claim.attempt, AttemptStage.NOT_RUN)
            pending.resolve(Err(failure))
            await self._store_outcome(owned, None)
        return Err(failure)

    def _dispatch_refusal(self, pending: _PendingCall) -> Failure | None:
        if self.kernel.pause.check():
            message = "the instance was paused and is refreshing its state"
            return Failure.of(ErrorKind.NOT_READY, message)
        if pending.withdrawn or pending.call_deadline.expired():
            message = "the deadline passed before the call was sent"
            return Failure.of(ErrorKind.DEADLINE_PASSED, message)
        return None

    async def _store_answer(
        self, pending: _PendingCall, owned: OwnedClaim, result: CallResult
    ) -> None:
        """Start to store an answer, and wait at most `STORE_WAIT_S` for it."""
        self.rules.set_stage(owned.claim.attempt, AttemptStage.ENDED)
        self.unstored.put(owned, result.answer)
        clock = self.kernel.clock
        limit = min(pending.ctx.deadline, clock.now() + STORE_WAIT_S)
        stored = anyio.Event()
        self._tasks.start_soon(self._store_and_notify, owned, result.answer, stored)
        await _wait_for_event(clock, stored, limit)

    async def _store_and_notify(
        self, owned: OwnedClaim, answer: PlainAnswer, stored
    ) -> None:
        try:
            await self._store_outcome(owned, answer)
        except Exception as exc:
            record_exception("Bookings._store_and_notify", exc)
            log.event("bookings.task_failed", error=repr(exc))
        finally:
            stored.set()

    async def store_outcomes(self) -> None:
        """Retry the writes of outcomes that could not be stored before."""
        async with anyio.create_task_group() as tasks:
            for entry in self.unstored.all():
                tasks.start_soon(self._store_outcome, entry.owned, entry.answer)

    async def _store_outcome(
        self, owned: OwnedClaim, answer: PlainAnswer | None
    ) -> bool:
        """Store an answer, or void a claim; a failed write is retried later."""
        if answer is None and not self.rules.may_void(owned.claim):
            return True
        if self._expires_soon(owned.claim):
            self.unstored.remove(owned)
            return True
        self.unstored.put(owned, answer)
        final = await self._final_claim(owned.claim, answer)
        if final.is_err():
            return False
        written = await self._write(owned.key, owned.version, final.ok_value.value())
        if written.is_err():
            return False
        # A conflict means that an earlier write of this outcome was applied.
        self.unstored.remove(owned)
        return True

    def _expires_soon(self, claim: Claim) -> bool:
        """Return whether the row may soon belong to another claim.

        Row versions restart after a deletion, so a version check cannot tell an
        expired claim from a later one under the same key.
        """
        return self.kernel.clock.wall() + EXPIRY_MARGIN_S >= claim.expires_ms / 1000

    async def _final_claim(
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

    async def _query_owner(
        self, pending: _PendingCall, row: Row
    ) -> Result[CallResult | Row, Failure]:
        """Query a claim's owner until the call has ended, or return the new row."""
        claim = claim_of(row)
        clock = self.kernel.clock
        while clock.now() < pending.ctx.deadline and not pending.withdrawn:
            reply = await self._query_once(claim, row.key, pending.ctx.deadline)
            if reply.get("answer") is not None:
                return Ok(CallResult(decode_answer(reply["answer"]), 0))
            if reply.get("state") == AttemptStage.NOT_RUN:
                return Err(_table_unavailable())
            if reply.get("state") != "running":
                return await self._changed_row(row)
            await clock.sleep_until(clock.now() + QUERY_INTERVAL_S)
        return Err(unknown().failure)

    async def _query_once(self, claim: Claim, key: str, deadline: float) -> dict:
        members = self.kernel.plugin("membership").view().members
        if claim.owner not in members or claim.owner == self._own_id():
            return {}
        query = {
            "type": CLAIM_QUERY,
            "key": key,
            "attempt": claim.attempt,
            "incarnation": claim.incarnation,
        }
        limit = min(deadline, self.kernel.clock.now() + QUERY_TIMEOUT_S)
        queried = await self.kernel.plugin("peers").request(claim.owner, query, limit)
        return queried.unwrap_or({})

    async def _changed_row(self, row: Row) -> Result[Row, Failure]:
        found = await self._read_back(row.key)
        if found.is_err():
            return Err(unknown().failure)
        changed = found.ok_value
        if changed.version == row.version:
            return Err(unknown().failure)
        return Ok(changed)

    async def _on_query(self, peer_id: str, message: dict) -> dict:
        """Return to a peer the state of a claim of this process."""
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
        pending = self._pending.get(key)
        if pending is not None and pending.claim.attempt == attempt:
            return "running", None
        entry = self.unstored.get(key)
        if entry is not None and entry.owned.claim.attempt == attempt and entry.answer:
            small = len(entry.answer.body) <= INLINE_ANSWER_BYTES
            return AttemptStage.ENDED, entry.answer if small else None
        if self.rules.stage(attempt) is not AttemptStage.NOT_RUN:
            return self.rules.stage(attempt), None
        voided = await self._void(key, attempt)
        return ("void" if voided else AttemptStage.NOT_RUN), None

    async def _void(self, key: str, attempt: str) -> bool:
        """Void a claim of this process whose call never ran."""
        found = await self._read_back(key)
        if found.is_err():
            return False
        row = found.ok_value
        claim = claim_of(row)
        if claim is None or claim.attempt != attempt:
            return True
        if claim.state is not ClaimState.CLAIMED:
            return True
        return await self._store_outcome(OwnedClaim(key, row.version, claim), None)

    async def sweep(self) -> None:
        """Delete a page of expired claims, on the instance with the lowest id."""
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

    async def _run_periodically(self, seconds: float, work) -> None:
        while True:
            await self.kernel.clock.sleep_until(self.kernel.clock.now() + seconds)
            try:
                await work()
            except Exception as exc:
                record_exception("Bookings._run_periodically", exc)
                log.event("bookings.task_failed", error=repr(exc))


def _deletion(row: Row) -> Mutation:
    return Mutation(new_id(), (Check(row.key, row.version),), (Write(row.key, None),))


def _table_unavailable() -> Failure:
    message = "calls with a key need the table service, which is unavailable"
    return Failure.of(ErrorKind.TABLE_UNAVAILABLE, message)


async def _wait_for_event(clock: Clock, event: anyio.Event, deadline: float) -> bool:
    """Wait for an event; return False if the deadline passes first."""

    async def expire() -> None:
        await clock.sleep_until(deadline)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(expire)
        await event.wait()
        tasks.cancel_scope.cancel()
    return event.is_set()
