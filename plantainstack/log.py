"""Structured logging: eliot messages, written as JSON lines.

Log fields must never contain prompt text, answer text or credentials.
"""

import os
import sys
import time
from pathlib import Path

import eliot

from plantainstack import metrics

# Twice the rate at which one instance logs at its share of the target load, so only
# a fault can exceed it.
LINES_PER_S = 300
BURST_LINES = 1000
# Limit on buffered lines while the reader of the log does not read.
PENDING_MAX_BYTES = 256 * 1024


class BoundedWriter:
    """Writes lines without blocking; drops and counts those above the limits.

    A token bucket limits the rate, and a byte limit the buffer for a slow reader.
    """

    def __init__(self, descriptor: int, now=time.monotonic):
        self._descriptor = descriptor
        self._now = now
        self._tokens = float(BURST_LINES)
        self._refilled_at = now()
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or drop and count it if a limit is exceeded."""
        if not self._take_token():
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
        """Write as many buffered bytes as the descriptor accepts without blocking."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            pass
        except OSError:
            # The reader of the log is gone; the process continues without logging.
            self._pending = b""

    def _take_token(self) -> bool:
        now = self._now()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def configure(path: Path | None) -> None:
    """Write the log to a file, or to standard output if the path is None."""
    if path:
        eliot.to_file(path.open("a", buffering=1))
    else:
        eliot.to_file(BoundedWriter(sys.stdout.fileno()))


def event(name: str, request_id: str | None = None, **fields) -> None:
    """Log one event, with the request id if the event concerns a request."""
    if request_id is not None:
        fields["request_id"] = request_id
    eliot.log_message(message_type=name, **fields)


def bind(**fields) -> None:
    """Add fields, such as the instance id, to every later message."""
    eliot.add_global_fields(**fields)
