"""Decode what other programs wrote; unreadable input is a result, not an exception."""

from collections import OrderedDict
from typing import Any, Protocol

import msgspec
from result import Err, Ok, Result

from plantainstack import log

REASON_CHARACTERS_MAX = 200
# `int` refuses texts of more than 4300 digits, which are far beyond any number in use.
DIGITS_MAX = 18
UNREADABLE_ROWS_MAX = 1000
# What the decoders of msgspec raise, also for input that nests too deeply.
UNDECODABLE = (msgspec.MsgspecError, ValueError, RecursionError)


class Decoder(Protocol):
    """Decode bytes into a type, like the decoders of msgspec."""

    def decode(self, data: bytes, /) -> Any:
        """Return the decoded value, or raise an exception."""


def decode(decoder: Decoder, data: bytes) -> Result[Any, str]:
    """Decode bytes, or return why they are not valid."""
    try:
        return Ok(decoder.decode(data))
    except UNDECODABLE as exc:
        return Err(f"{type(exc).__name__}: {exc}"[:REASON_CHARACTERS_MAX])


def parse_decimal(text: str | None, maximum: int) -> int | None:
    """Return the number written in decimal digits, or None if it is not in bounds.

    `str.isdigit` also accepts characters that `int` refuses, such as superscripts.
    """
    if text is None or not text.isascii() or not text.isdigit():
        return None
    if len(text) > DIGITS_MAX or int(text) > maximum:
        return None
    return int(text)


class UnreadableRows:
    """Log each version of a row that cannot be read once, however often it is read."""

    def __init__(self, event: str):
        self._event = event
        self._versions: OrderedDict[tuple[str, str, str], int] = OrderedDict()

    def record(self, row, reason: str) -> None:
        """Log a row, given with its name and version, unless this was done before."""
        key = tuple(row.name)
        if self._versions.get(key) == row.version:
            return
        self._versions[key] = row.version
        self._versions.move_to_end(key)
        if len(self._versions) > UNREADABLE_ROWS_MAX:
            self._versions.popitem(last=False)
        log.event(
            self._event,
            table=row.name.table,
            part=row.name.part,
            key=row.name.key,
            version=row.version,
            reason=reason[:REASON_CHARACTERS_MAX],
        )
