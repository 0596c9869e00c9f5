"""Incremental decoder for server-sent events.

The decoder of the package httpx-sse cannot be used, because it requires responses
of httpx.
"""

from collections.abc import Iterator
from typing import NamedTuple


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
        self._buffer = b""
        self._lines: list[bytes] = []

    def feed(self, chunk: bytes) -> Iterator[SseEvent]:
        """Decode the next bytes and yield each event that they complete."""
        *lines, self._buffer = (self._buffer + chunk).split(b"\n")
        for raw in lines:
            self._lines.append(raw)
            if raw in (b"", b"\r"):
                event = _event(self._lines)
                self._lines = []
                if event.fields:
                    yield event

    def has_incomplete_event(self) -> bool:
        """Return whether the bytes so far end within an event."""
        return bool(self._buffer.strip() or self._lines)


def _event(lines: list[bytes]) -> SseEvent:
    fields = []
    for line in lines:
        name, colon, value = line.rstrip(b"\r").partition(b":")
        if name and colon:
            text = value.removeprefix(b" ").decode("utf-8", "replace")
            fields.append((name.decode("latin-1"), text))
    return SseEvent(tuple(fields), b"\n".join(lines) + b"\n")
