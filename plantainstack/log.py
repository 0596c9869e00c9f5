"""Structured logs: eliot messages written as JSON lines.

Fields never hold prompt text, answer text or credentials.
"""

import os
import sys
import time
from pathlib import Path

import eliot

from plantainstack import metrics

# Twice the lines that one instance writes at its share of the target's load, so
# that only a fault can exceed it.
LINES_PER_S = 300
BURST_LINES = 1000
# What is kept while the reader of the log does not read.
PENDING_MAX_BYTES = 256 * 1024


class BoundedWriter:
    """Write lines without waiting; drop and count what is too much."""

    def __init__(self, descriptor: int, now=time.monotonic):
        self._descriptor = descriptor
        self._now = now
        self._credit = float(BURST_LINES)
        self._credited_at = now()
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or count it as dropped."""
        if not self._take_credit():
            self._dropped += 1
            metrics.LINES_DROPPED.inc()
            return
        if self._dropped:
            note = b'{"message_type": "log.dropped", "lines": %d}\n' % self._dropped
            self._dropped = 0
            line = note + line
        if len(self._pending) + len(line) > PENDING_MAX_BYTES:
            self._dropped += 1
            metrics.LINES_DROPPED.inc()
        else:
            self._pending += line
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            pass
        except OSError:
            # Nobody reads the log any more; the process serves on without it.
            self._pending = b""

    def _take_credit(self) -> bool:
        now = self._now()
        earned = (now - self._credited_at) * LINES_PER_S
        self._credit = min(float(BURST_LINES), self._credit + earned)
        self._credited_at = now
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def configure(path: Path | None) -> None:
    """Write JSON lines to a file, or to standard output without one."""
    if path:
        eliot.to_file(path.open("a", buffering=1))
    else:
        eliot.to_file(BoundedWriter(sys.stdout.fileno()))


def event(name: str, request_id: str | None = None, **fields) -> None:
    """Log one event, with the request id where the event is about a request."""
    if request_id is not None:
        fields["request_id"] = request_id
    eliot.log_message(message_type=name, **fields)


def bind(**fields) -> None:
    """Add fields, such as the instance's id, to every later message."""
    eliot.add_global_fields(**fields)
