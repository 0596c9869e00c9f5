"""Split byte streams into server-sent events.

The decoder of the package httpx-sse is tied to httpx's own responses.
"""

from collections.abc import Iterator
from typing import NamedTuple


class SseEvent(NamedTuple):
    """Hold one whole event: its fields in order, and its bytes."""

    fields: tuple[tuple[str, str], ...]
    raw: bytes

    def data(self) -> str | None:
        """Return the data, or None where the event has none."""
        lines = [value for name, value in self.fields if name == "data"]
        return "\n".join(lines) if lines else None

    def value(self, wanted: str) -> str | None:
        """Return the last value of a field."""
        found = [value for name, value in self.fields if name == wanted]
        return found[-1] if found else None


class SseDecoder:
    """Collect bytes until events are whole."""

    def __init__(self):
        self._rest = b""
        self._lines: list[bytes] = []

    def feed(self, chunk: bytes) -> Iterator[SseEvent]:
        """Yield each event that the chunk completes."""
        *lines, self._rest = (self._rest + chunk).split(b"\n")
        for raw in lines:
            self._lines.append(raw)
            if raw in (b"", b"\r"):
                event = _event(self._lines)
                self._lines = []
                if event.fields:
                    yield event

    def has_incomplete_event(self) -> bool:
        """Return whether bytes of an event that is not whole are left."""
        return bool(self._rest.strip() or self._lines)


def _event(lines: list[bytes]) -> SseEvent:
    fields = []
    for line in lines:
        name, colon, value = line.rstrip(b"\r").partition(b":")
        if name and colon:
            text = value.removeprefix(b" ").decode("utf-8", "replace")
            fields.append((name.decode("latin-1"), text))
    return SseEvent(tuple(fields), b"\n".join(lines) + b"\n")
