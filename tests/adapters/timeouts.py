"""A shorter request timeout, for calls that never get their answer in time."""

from contextlib import contextmanager

import pytest

from plantainstack.adapters import http
from standins.faults import Action

SHORT_TIMEOUT_S = 0.5
_WITHOUT_ANSWER = (Action.SILENT, Action.LATE, Action.DELAY)


@contextmanager
def timeout_for(action: Action):
    """Shorten the timeout if the fault withholds the answer until it passes."""
    with pytest.MonkeyPatch.context() as patch:
        if action in _WITHOUT_ANSWER:
            patch.setattr(http, "REQUEST_TIMEOUT_S", SHORT_TIMEOUT_S)
        yield
