"""Shorter request timeout for calls that receive no answer in time."""

from contextlib import contextmanager

import pytest

from plantainstack.adapters import http
from standins.faults import Action

SHORT_TIMEOUT_S = 0.5
_TIMEOUT_ACTIONS = (Action.SILENT, Action.LATE, Action.DELAY)


@contextmanager
def timeout_for(action: Action):
    """Shorten the request timeout if the fault delays or withholds the answer."""
    with pytest.MonkeyPatch.context() as patch:
        if action in _TIMEOUT_ACTIONS:
            patch.setattr(http, "REQUEST_TIMEOUT_S", SHORT_TIMEOUT_S)
        yield
