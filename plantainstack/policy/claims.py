"""Decide on claims, which let a keyed call run at most once.

A claim is a row of the table service. Only its owner, one process between its
start and its end, may void it, and only without a byte handed to a connection.
No decision here depends on how old another process's claim is.
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
    """Name the states of a claim."""

    CLAIMED = "claimed"
    DONE = "done"
    VOID = "void"


class Claim(msgspec.Struct, frozen=True):
    """Hold a claim; times are Unix milliseconds.

    A `done` claim holds the answer, or the name of the object with it.
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
        """Return the claim as the value of a row."""
        return msgspec.to_builtins(self)

    def done(self, answer: dict | None, object_name: str | None) -> "Claim":
        """Return the claim of a call that was answered."""
        return msgspec.structs.replace(
            self, state=ClaimState.DONE, answer=answer, object=object_name
        )

    def void(self) -> "Claim":
        """Return the claim of a call that did not run."""
        return msgspec.structs.replace(self, state=ClaimState.VOID)


class AttemptStage(StrEnum):
    """Name what this process knows of one of its own attempts."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    ENDED = "ended"
    FORGOTTEN = "forgotten"


class ClaimAction(StrEnum):
    """Name what to do after a look at a claim."""

    CLAIM = "claim"
    DISPATCH = "dispatch"
    ANSWER = "answer"
    JOIN = "join"
    ASK = "ask"
    REFUSE = "refuse"


class ClaimDecision(NamedTuple):
    """Hold an action, with the failure where it is a refusal."""

    action: ClaimAction
    failure: Failure | None = None


class ClaimRules:
    """Keep what this process knows of its attempts, and judge claims."""

    def __init__(self, owner: str, incarnation: str, capacity=ATTEMPTS_REMEMBERED):
        self._owner = owner
        self._incarnation = incarnation
        self._capacity = capacity
        self._stages: OrderedDict[str, AttemptStage] = OrderedDict()

    def set_stage(self, attempt: str, stage: AttemptStage) -> None:
        """Remember the stage of an attempt; the oldest ended ones are forgotten."""
        self._stages[attempt] = stage
        self._stages.move_to_end(attempt)
        while len(self._stages) > self._capacity:
            self._stages.popitem(last=False)

    def stage(self, attempt: str) -> AttemptStage:
        """Return the stage of an attempt of this process."""
        return self._stages.get(attempt, AttemptStage.FORGOTTEN)

    def owns(self, claim: Claim) -> bool:
        """Return whether this very process made the claim."""
        return claim.owner == self._owner and claim.incarnation == self._incarnation

    def may_void(self, claim: Claim) -> bool:
        """Return whether the claim may be voided: owned and surely not run."""
        return self.owns(claim) and self.stage(claim.attempt) is AttemptStage.NOT_RUN

    def decide(self, row: Row, mine: Claim) -> ClaimDecision:
        """Decide what a call does about the row that its own claim would take."""
        claim = claim_of(row)
        if claim is None or claim.state is ClaimState.VOID:
            return ClaimDecision(ClaimAction.CLAIM)
        if claim.digest != mine.digest:
            message = "the idempotency key was used with another request"
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
    """Return the refusal of a call whose first attempt may have run."""
    message = "an earlier request with this key may have run"
    return _refuse(ErrorKind.OUTCOME_UNKNOWN, message)


def claim_key(caller: str, service: str, key: str) -> str:
    """Return the row of a claim; each part is quoted, so that none contains `/`."""
    parts = (quote(part, safe="") for part in (caller, service, key))
    return CLAIM_PREFIX + "/".join(parts)


def claim_of(row: Row) -> Claim | None:
    """Return the claim in a row, or None if the row is absent."""
    if row.value is None:
        return None
    return msgspec.convert(row.value, Claim)


def digest_of(req: PlainRequest) -> str:
    """Hash what makes two requests the same one."""
    kind = next((v for name, v in req.headers if name.lower() == "content-type"), "")
    head = msgspec.json.encode([req.method, req.path, kind])
    return xxhash.xxh3_128_hexdigest(head + b"\0" + req.body)


def encode_answer(answer: PlainAnswer) -> dict:
    """Return an answer as a JSON value, with the body in base64."""
    return msgspec.to_builtins(answer._asdict())


def decode_answer(value: dict) -> PlainAnswer:
    """Return the answer that `encode_answer` encoded."""
    stored = msgspec.convert(value, _StoredAnswer)
    return PlainAnswer(stored.status, stored.headers, stored.body)


class ClaimQuery(msgspec.Struct):
    """Ask the owner of a claim what became of it."""

    key: str
    attempt: str
    incarnation: str


class _StoredAnswer(msgspec.Struct):
    status: int
    headers: list[tuple[str, str]]
    body: bytes


def _refuse(kind: ErrorKind, message: str) -> ClaimDecision:
    return ClaimDecision(ClaimAction.REFUSE, Failure.of(kind, message))
