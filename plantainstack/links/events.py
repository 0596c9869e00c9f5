"""Incremental decoder for server-sent events.

The decoder of the package httpx-sse cannot be used, because it requires responses
of httpx.
"""

from collections.abc import Iterator
from typing import NamedTuple

# Limit on the bytes of one event, and of bytes that belong to no event.
EVENT_BYTES_MAX = 1024 * 1024
# Memory that a line of an incomplete event takes besides its text.
LINE_OVERHEAD_BYTES = 64


class EventTooLarge(Exception):
    """An event exceeds EVENT_BYTES_MAX, or does not end."""


class SseEvent(NamedTuple):
    """One complete event: its fields in order, and its raw bytes."""

    fields: tuple[tuple[str, str], ...]
    raw: bytes

    def data(self) -> str | None:
        """Return the data lines joined by newlines, or None if there are none."""
        lines = [value for name, value in self.fields if name == "data"]
        return "\n".join(lines) if lines else None

    def value(self, field: str) -> str | None:
        """Return the last value of a field, or None if the field is absent."""
        found = [value for name, value in self.fields if name == field]
        return found[-1] if found else None


class SseDecoder:
    """Splits a byte stream, given in chunks, into server-sent events."""

    def __init__(self):
        # Chunks of a line that has not ended, and the complete lines of an event.
        self._unended: list[bytes] = []
        self._lines: list[bytes] = []
        self._size = 0

    def held_bytes(self) -> int:
        """Return about how much memory the incomplete event takes."""
        return self._size + LINE_OVERHEAD_BYTES * len(self._lines)

    def clear(self) -> None:
        """Forget the incomplete event."""
        self._unended.clear()
        self._lines.clear()
        self._size = 0

    def feed(self, chunk: bytes) -> Iterator[SseEvent]:
        """Decode the next bytes and yield each event that they complete.

        Raises EventTooLarge if an event does not end within its limit.
        """
        self._unended.append(chunk)
        if b"\n" in chunk:
            *lines, rest = b"".join(self._unended).split(b"\n")
            self._unended = [rest]
            yield from self._complete(lines)
        self._size += len(chunk)
        if self._size > EVENT_BYTES_MAX:
            raise EventTooLarge(f"an event exceeds {EVENT_BYTES_MAX} bytes")

    def has_incomplete_event(self) -> bool:
        """Return whether the bytes so far end within an event."""
        return bool(b"".join(self._unended).strip() or self._lines)

    def _complete(self, lines: list[bytes]) -> Iterator[SseEvent]:
        for raw in lines:
            self._lines.append(raw)
            if raw in (b"", b"\r"):
                event = _event(self._lines)
                self._lines = []
                self._size = 0
                if event.fields:
                    yield event


def _event(lines: list[bytes]) -> SseEvent:
    fields = []
    for line in lines:
        name, colon, value = line.rstrip(b"\r").partition(b":")
        if name and colon:
            text = value.removeprefix(b" ").decode("utf-8", "replace")
            fields.append((name.decode("latin-1"), text))
    return SseEvent(tuple(fields), b"\n".join(lines) + b"\n")
