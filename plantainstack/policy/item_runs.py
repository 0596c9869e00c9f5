"""Decide which stream events belong to an item, and when the item has ended."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from plantainstack.policy.reward_calls import RewardAttempts
from plantainstack.policy.software_versions import SoftwareVersion
from plantainstack.serving import Batch, Item, ItemResult, ItemState, StreamEvent

# Status 422 means that the item can never be completed.
UNPROCESSABLE_STATUS = 422
FAILED_STATUS = 500
# A result is stored in one row of at most 64 KiB, with its id, versions and score.
TEXT_BYTES_MAX = 64_000
# Memory that the text of an event takes besides its UTF-8 bytes.
EVENT_OVERHEAD_BYTES = 64


class StreamCheck(StrEnum):
    """Result of the check of a stream or an event; all but KEEP drop the stream."""

    KEEP = "keep"
    STALE = "stale"
    UNLABELLED = "unlabelled"
    OUT_OF_ORDER = "out_of_order"
    OTHER_SOFTWARE = "other_software"
    TOO_LONG = "too_long"


class PartialText(NamedTuple):
    """Hold a piece of the text of an unfinished item.

    `first` is the number of events before the piece. A text that was restarted has a
    higher `generation`. `versions` are the weight versions of the text up to the end
    of this piece. `complete` is set if the text ends with this piece, so that only its
    score is missing, and `reward_errors` counts the error answers to its reward call.
    `software` wrote the text; it is None, and unknown, if an older build stored the
    text or if the endpoints name no software version.
    """

    generation: int
    first: int
    texts: tuple[str, ...]
    versions: tuple[int, ...]
    last_event: int
    failures: int
    complete: bool = False
    reward_errors: int = 0
    software: SoftwareVersion | None = None

    def progress(self) -> "ItemProgress":
        """Return the progress of the item at the end of this piece."""
        events = self.first + len(self.texts)
        return ItemProgress(self.generation, events, self.complete, self.reward_errors)


class ItemProgress(NamedTuple):
    """Count an item's events and the error answers to its reward call.

    The events are those of the given generation of the text.
    """

    generation: int = 0
    events: int = 0
    text_complete: bool = False
    reward_errors: int = 0


NOTHING_STORED = ItemProgress()


class _TextMark(NamedTuple):
    """Hold the end of a text before an attempt added to it."""

    generation: int
    events: int
    versions: tuple[int, ...]
    last_event: int | None
    software: SoftwareVersion | None


def join_pieces(pieces: Iterable[PartialText]) -> PartialText | None:
    """Join the pieces of the newest generation up to the first gap.

    The text also ends before a piece of other or unknown software, which an owner of
    an older build may have added. Returns None if the first piece is missing.
    """
    ordered = sorted(pieces, key=lambda piece: (piece.generation, piece.first))
    joined: PartialText | None = None
    for piece in ordered:
        if joined is None or piece.generation > joined.generation:
            joined = piece if piece.first == 0 else None
        elif piece.first == len(joined.texts) and (
            joined.software in (None, piece.software)
        ):
            joined = piece._replace(first=0, texts=joined.texts + piece.texts)
    return joined


class ItemRun:
    """Collect the text of one item from one or more streams."""

    def __init__(self, item: Item, batch: Batch, single_version: bool):
        self.item = item
        self._min_version = batch.min_version
        self._single_version = single_version
        self.failures = 0
        self.generation = 0
        self._was_too_long = False
        self._clear()

    def discard_text(self) -> None:
        """Begin the text anew."""
        self.generation += 1
        self._clear()

    def discard_attempt(self) -> None:
        """Remove what the last attempt added, as a new generation of the text."""
        mark = self._attempt_start
        if mark.generation != self.generation or not mark.events:
            self.discard_text()
            return
        self.generation += 1
        del self._texts[mark.events :]
        self._text_bytes = _joined_bytes(self._texts)
        self._versions = list(mark.versions)
        self.last_event = mark.last_event
        self.software = mark.software
        self.text_complete = False

    def attempt_events(self) -> int:
        """Return the number of events that the last attempt added."""
        mark = self._attempt_start
        before = mark.events if mark.generation == self.generation else 0
        return self.events() - before

    def _clear(self) -> None:
        self.software: SoftwareVersion | None = None
        self._stream_software: SoftwareVersion | None = None
        # The texts of events in UTF-8: a `str` may take four bytes for each character.
        self._texts: list[bytes] = []
        self._text_bytes = 0
        self._versions: list[int] = []
        self._stream_version: int | None = None
        self.last_event: int | None = None
        self.text_complete = False
        self.reward_attempts = RewardAttempts()
        self.attempts_without_event = 0
        self._mark_end()

    def begin_attempt(self) -> None:
        """Remember the end of the text, for `discard_attempt`."""
        self.attempts_without_event += 1
        self._mark_end()

    def _mark_end(self) -> None:
        self._attempt_start = _TextMark(
            self.generation,
            len(self._texts),
            tuple(self._versions),
            self.last_event,
            self.software,
        )

    def progress(self) -> ItemProgress:
        """Return how far the item has come."""
        errors = self.reward_attempts.errors
        return ItemProgress(self.generation, self.events(), self.text_complete, errors)

    def partial(self, stored: ItemProgress = NOTHING_STORED) -> PartialText | None:
        """Return what has been added since `stored`, or None if that is nothing.

        Once a text was too long, nothing is stored: each answer without end would add
        pieces, all of which the next owner reads.
        """
        if self.progress() == stored or not self._texts or self._was_too_long:
            return None
        first = stored.events if stored.generation == self.generation else 0
        return PartialText(
            self.generation,
            first,
            tuple(text.decode() for text in self._texts[first:]),
            tuple(self._versions),
            self.last_event,
            self.failures,
            self.text_complete,
            self.reward_attempts.errors,
            self.software if self.software and self.software.version else None,
        )

    def restore(self, found: PartialText) -> None:
        """Continue from stored text if it fits and its versions are recent."""
        self.failures = found.failures
        self.generation = found.generation + 1
        texts = [text.encode() for text in found.texts]
        size = _joined_bytes(texts)
        is_recent = found.versions and min(found.versions) >= self._min_version
        if is_recent and size <= TEXT_BYTES_MAX:
            self.generation = found.generation
            self._texts = texts
            self._text_bytes = size
            self._versions = list(found.versions)
            self._stream_version = found.versions[-1]
            self.software = found.software
            self.last_event = found.last_event
            self.text_complete = found.complete
            self.reward_attempts = RewardAttempts(found.reward_errors)
            self._mark_end()

    def begin_stream(
        self, version: int | None, software: SoftwareVersion | None = None
    ) -> StreamCheck:
        """Check a new stream by the weight version of its first event and its software.

        Where a single version is required, a stream of another version than the text
        so far discards that text, and the caller requests the item from its start.
        """
        if version is None:
            return StreamCheck.UNLABELLED
        if version < self._min_version:
            return StreamCheck.STALE
        if self._texts and software != self.software:
            return StreamCheck.OTHER_SOFTWARE
        if self._single_version and self._versions and version != self._versions[-1]:
            self.discard_text()
            return StreamCheck.STALE
        self._stream_version = version
        self._stream_software = software
        return StreamCheck.KEEP

    def append_event(self, event: StreamEvent) -> StreamCheck:
        """Append an event if it directly follows the text so far.

        A change of version is checked as in `begin_stream`. The caller discards a text
        that is too long to be stored: a faulty endpoint may send events without end.
        """
        version = self._stream_version if event.version is None else event.version
        if event.id is None or not self._follows(event.id):
            return StreamCheck.OUT_OF_ORDER
        if version < self._min_version:
            return StreamCheck.STALE
        if self._single_version and self._versions and version != self._versions[-1]:
            self.discard_text()
            return StreamCheck.STALE
        text = event.data.encode()
        size = self._text_bytes + _joined_bytes((text,))
        if size > TEXT_BYTES_MAX:
            self._was_too_long = True
            return StreamCheck.TOO_LONG
        self._text_bytes = size
        self._stream_version = version
        self.software = self._stream_software
        self.last_event = event.id
        self.attempts_without_event = 0
        self._texts.append(text)
        if version not in self._versions:
            self._versions.append(version)
        return StreamCheck.KEEP

    def end_stream(self) -> bool:
        """Record that a stream has ended; return whether the text is complete."""
        self.text_complete = bool(self._texts)
        return self.text_complete

    def completed(self, score: str | None = None) -> ItemResult:
        """Return the result of a complete text with the score that it got."""
        return self._result(ItemState.COMPLETED)._replace(score=score)

    def record_error_status(self, status: int, failures_max: int) -> ItemResult | None:
        """Record an error status; return the result if it ends the item.

        An item ends with status 422 or after `failures_max` answers with status 500.
        """
        if status == FAILED_STATUS:
            self.failures += 1
        if status == UNPROCESSABLE_STATUS or self.failures >= failures_max:
            return self.abandoned()
        return None

    def abandoned(self) -> ItemResult:
        """Return the result of an item that is not attempted again."""
        return self._result(ItemState.ABANDONED)

    def events(self) -> int:
        """Return the number of events collected."""
        return len(self._texts)

    def memory_bytes(self) -> int:
        """Return about how much memory the text takes."""
        return self._text_bytes + EVENT_OVERHEAD_BYTES * len(self._texts)

    def _follows(self, event_id: int) -> bool:
        if self.last_event is None:
            return event_id in (0, 1)
        return event_id == self.last_event + 1

    def _result(self, state: ItemState) -> ItemResult:
        text = b"\n".join(self._texts).decode()
        return ItemResult(self.item.id, state, text, tuple(sorted(self._versions)))


def _joined_bytes(texts: Iterable[bytes]) -> int:
    """Return the size of a text with a line feed after each of its events."""
    return sum(len(text) + 1 for text in texts)
