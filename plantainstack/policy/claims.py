"""Decide on claims, which ensure that a call with an idempotency key runs at most once.

A claim is a row of the table service and belongs to one run of one process. Only
this owner may void it, and only if no byte of the call was handed to a connection.
No decision depends on the age of another process's claim.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import quote

import msgspec
import xxhash

from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import PlainAnswer, PlainRequest, Row, RowValue

CLAIM_PREFIX = "claim/"
ATTEMPTS_REMEMBERED = 20_000


class ClaimState(StrEnum):
    """State of a claim, as stored in its row."""

    CLAIMED = "claimed"
    DONE = "done"
    VOID = "void"


class Claim(msgspec.Struct, frozen=True):
    """Hold a claim; times are Unix milliseconds.

    A `done` claim holds the answer, or the name of the object that contains it.
    """

    state: ClaimState
    attempt: str
    owner: str
    incarnation: str
    digest: str
    deadline_ms: int
    expires_ms: int
    answer: dict | None = None
    object: str | None = None

    def value(self) -> RowValue:
        """Return the claim as the value of its row."""
        return msgspec.to_builtins(self)

    def done(self, answer: dict | None, object_name: str | None) -> "Claim":
        """Return the claim after the call was answered."""
        return msgspec.structs.replace(
            self, state=ClaimState.DONE, answer=answer, object=object_name
        )

    def void(self) -> "Claim":
        """Return the claim after the call is known not to have run."""
        return msgspec.structs.replace(self, state=ClaimState.VOID)


class AttemptStage(StrEnum):
    """State of an attempt of this process, as far as it is remembered."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    ENDED = "ended"
    FORGOTTEN = "forgotten"


class ClaimAction(StrEnum):
    """What a call does after reading the row of its claim."""

    CLAIM = "claim"
    DISPATCH = "dispatch"
    ANSWER = "answer"
    JOIN = "join"
    ASK = "ask"
    REFUSE = "refuse"


class ClaimDecision(NamedTuple):
    """Hold an action, and the failure if the action is a refusal."""

    action: ClaimAction
    failure: Failure | None = None


class ClaimRules:
    """Track the attempts of this process and decide on claims."""

    def __init__(self, owner: str, incarnation: str, capacity=ATTEMPTS_REMEMBERED):
        self._owner = owner
        self._incarnation = incarnation
        self._capacity = capacity
        self._stages: OrderedDict[str, AttemptStage] = OrderedDict()

    def set_stage(self, attempt: str, stage: AttemptStage) -> None:
        """Record the stage of an attempt, and drop the oldest beyond the capacity."""
        self._stages[attempt] = stage
        self._stages.move_to_end(attempt)
        while len(self._stages) > self._capacity:
            self._stages.popitem(last=False)

    def stage(self, attempt: str) -> AttemptStage:
        """Return the stage of an attempt, FORGOTTEN if it is not recorded."""
        return self._stages.get(attempt, AttemptStage.FORGOTTEN)

    def owns(self, claim: Claim) -> bool:
        """Return whether the claim was made by this run of the process."""
        return claim.owner == self._owner and claim.incarnation == self._incarnation

    def may_void(self, claim: Claim) -> bool:
        """Return whether the claim is owned and its call certainly did not run."""
        return self.owns(claim) and self.stage(claim.attempt) is AttemptStage.NOT_RUN

    def decide(self, row: Row, mine: Claim) -> ClaimDecision:
        """Decide what a call does, given the row and the claim that it would write."""
        claim = claim_of(row)
        if claim is None or claim.state is ClaimState.VOID:
            return ClaimDecision(ClaimAction.CLAIM)
        if claim.digest != mine.digest:
            message = "the idempotency key was already used for a different request"
            return _refuse(ErrorKind.KEY_REUSED, message)
        if claim.state is ClaimState.DONE:
            return ClaimDecision(ClaimAction.ANSWER)
        if claim.attempt == mine.attempt:
            return ClaimDecision(ClaimAction.DISPATCH)
        if not self.owns(claim):
            return ClaimDecision(ClaimAction.ASK)
        return self._decide_own(claim)

    def _decide_own(self, claim: Claim) -> ClaimDecision:
        stage = self.stage(claim.attempt)
        if stage is AttemptStage.NOT_RUN:
            return ClaimDecision(ClaimAction.CLAIM)
        if stage in (AttemptStage.CLAIMING, AttemptStage.DISPATCHED):
            return ClaimDecision(ClaimAction.JOIN)
        return unknown()


def unknown() -> ClaimDecision:
    """Return the refusal of a call whose earlier attempt may have run."""
    message = "an earlier request with this idempotency key may have run"
    return _refuse(ErrorKind.OUTCOME_UNKNOWN, message)


def claim_key(caller: str, service: str, key: str) -> str:
    """Return the key of a claim's row; its parts are quoted, so none contains `/`."""
    parts = (quote(part, safe="") for part in (caller, service, key))
    return CLAIM_PREFIX + "/".join(parts)


def claim_of(row: Row) -> Claim | None:
    """Return the claim in a row, or None if the row is absent."""
    if row.value is None:
        return None
    return msgspec.convert(row.value, Claim)


def digest_of(req: PlainRequest) -> str:
    """Return a hash of the method, path, content type and body of a request."""
    kind = next((v for name, v in req.headers if name.lower() == "content-type"), "")
    head = msgspec.json.encode([req.method, req.path, kind])
    return xxhash.xxh3_128_hexdigest(head + b"\0" + req.body)


def encode_answer(answer: PlainAnswer) -> dict:
    """Encode an answer as a JSON value, with its body in base64."""
    return msgspec.to_builtins(answer._asdict())


def decode_answer(value: dict) -> PlainAnswer:
    """Decode an answer that was encoded by `encode_answer`."""
    stored = msgspec.convert(value, _StoredAnswer)
    return PlainAnswer(stored.status, stored.headers, stored.body)


class ClaimQuery(msgspec.Struct):
    """Hold the fields of a query to a claim's owner about the call's outcome."""

    key: str
    attempt: str
    incarnation: str


class _StoredAnswer(msgspec.Struct):
    status: int
    headers: list[tuple[str, str]]
    body: bytes


def _refuse(kind: ErrorKind, message: str) -> ClaimDecision:
    return ClaimDecision(ClaimAction.REFUSE, Failure.of(kind, message))
