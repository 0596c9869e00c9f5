"""Structured logs: eliot messages written as JSON lines.

Fields never hold prompt text, answer text or credentials.
"""

import sys
from pathlib import Path

import eliot


def configure(path: Path | None) -> None:
    """Write JSON lines to a file, or to standard error without one."""
    stream = path.open("a", buffering=1) if path else sys.stderr
    eliot.to_file(stream)


def event(name: str, request_id: str | None = None, **fields) -> None:
    """Log one event, with the request id where the event is about a request."""
    if request_id is not None:
        fields["request_id"] = request_id
    eliot.log_message(message_type=name, **fields)


def bind(**fields) -> None:
    """Add fields, such as the instance's id, to every later message."""
    eliot.add_global_fields(**fields)
