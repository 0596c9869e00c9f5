"""Tests of the command that explains placement."""

import json

import pytest
from click.testing import CliRunner

from plantainstack.__main__ import main
from plantainstack.commands import client as client_module
from plantainstack.commands.client import Answer, ExitCode

BODY = {
    "route": "r",
    "way": "WeighedAffinity",
    "runs_at": None,
    "chosen": "e1",
    "request": {"item": "i1"},
    "candidates": [
        {
            "endpoint": "e1",
            "load": 0.25,
            "latency_s": 0.05,
            "speed": {"slowness": 1.2, "deviation": 0.1, "age_s": 0.5},
            "cached_tokens": 700.4,
            "cost": {"wait_s": 0.001, "prefill_s": 0.002},
            "excluded": [],
        },
        {
            "endpoint": "e2",
            "load": 1.0,
            "latency_s": None,
            "speed": None,
            "excluded": ["full", "old_weights"],
        },
    ],
}


@pytest.fixture
def asked(monkeypatch):
    found = []

    def request_any(self, method, path, body=None):
        found.append((self.server, self.token, method, path))
        return Answer(200, BODY)

    monkeypatch.setattr(client_module.OperatorClient, "request_any", request_any)
    return found


def test_explanation_as_text_and_json_needs_no_token(asked):
    """Guards against a command that cannot be used on an instance with a store."""
    args = ["explain", "10.0.0.1:9464", "--batch", "b1", "--item", "i1"]
    text = CliRunner().invoke(main, args).output
    assert "chosen: e1" in text
    assert "1.20±0.10 (0.5 s)" in text and "3.0 ms" in text
    assert "full, old_weights" in text
    assert json.loads(CliRunner().invoke(main, ["--json", *args]).output) == BODY
    assert set(asked) == {("10.0.0.1:9464", "", "GET", "/explain?batch=b1&item=i1")}


@pytest.mark.parametrize("args", [[], ["--batch", "b"], ["--host", "h", "--item", "i"]])
def test_incomplete_question_is_wrong_usage(asked, args):
    """Guards against a question that no instance can answer."""
    result = CliRunner().invoke(main, ["explain", "10.0.0.1:9464", *args])
    assert result.exit_code == ExitCode.USAGE
    assert not asked
