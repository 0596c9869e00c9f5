"""Tests of the operators' command-line client."""

import socket
import threading

import pytest
from click.testing import CliRunner

from plantainstack.__main__ import main
from plantainstack.commands import client as client_module
from plantainstack.commands.client import Answer, ExitCode

FAULTY = """\
[instance]
id = entry-1
listen = here
operator_listen = 127.0.0.1:8002
operator_listen = 127.0.0.1:8003
peer_listen = 127.0.0.1:8004
colour = red
[platform]
table = 127.0.0.1:9001
objects = 127.0.0.1:9002
instances = 127.0.0.1:9003
weights = 127.0.0.1:9004
scorer = 127.0.0.1:9005
[credentials]
tokens = missing.ini
peer_key = {key}
"""


@pytest.fixture
def run(tmp_path):
    token = tmp_path / "token"
    token.write_text("secret\n")

    def invoke(*args):
        return CliRunner().invoke(main, ["--token-file", str(token), *args])

    return invoke


@pytest.fixture
def instance(monkeypatch):
    """Answer requests from a dict and record them."""
    answers = {
        ("GET", "/operator/config"): Answer(
            200, {"version": 4, "values": {}, "defaults": {}, "exceptions": []}
        ),
        ("PUT", "/operator/config"): Answer(200, {"version": 5}),
    }
    sent = []

    def request_any(self, method, path, body=None):
        sent.append((method, path, body))
        return answers[method, path]

    monkeypatch.setattr(client_module.OperatorClient, "request_any", request_any)
    return answers, sent


@pytest.mark.parametrize(
    "args", [(), ("config",), ("status",), ("steps",), ("drain",), ("report",)]
)
def test_every_command_has_help(run, args):
    result = run(*args, "--help")
    assert result.exit_code == ExitCode.OK
    assert "Usage:" in result.output


def test_check_lists_every_mistake(run, tmp_path):
    key = tmp_path / "key"
    key.write_text("k")
    path = tmp_path / "entry.ini"
    path.write_text(FAULTY.format(key=key))
    result = run("config", "check", str(path))
    assert result.exit_code == ExitCode.USAGE
    for option in ("listen", "operator_listen", "colour", "data_centre", "tokens"):
        assert f"[instance] {option}" in result.output or (
            f"[credentials] {option}" in result.output
        )
    assert "5 mistakes" in result.output


def test_set_sends_the_whole_content_and_its_base_version(run, instance):
    result = run("config", "set", "retry_ratio", "0.2")
    assert "version 5 accepted" in result.output
    body = instance[1][-1][2]
    assert body["base_version"] == 4
    assert body["defaults"] == {"retry_ratio": "0.2"}


def test_exception_without_a_reason_is_rejected(run, instance):
    """Guards against configuration exceptions without a recorded reason."""
    args = ("config", "except", "x", "--option", "drain", "--value", "yes")
    result = run(*args, "--endpoint", "engine-1", "--reason", " ")
    assert result.exit_code == ExitCode.USAGE
    assert instance[1] == []


def test_drain_adds_an_exception(run, instance):
    run("drain", "engine-1", "--reason", "disk is replaced")
    (entry,) = instance[1][-1][2]["exceptions"]
    assert entry["option"] == "drain"
    assert entry["scope"] == {"endpoint": "engine-1"}


def test_conflict_has_its_own_exit_code(run, instance):
    answers, _ = instance
    error = {"error": {"kind": "conflict", "message": "version 5 by night"}}
    answers["PUT", "/operator/config"] = Answer(409, error)
    result = run("config", "set", "retry_ratio", "0.2")
    assert result.exit_code == ExitCode.CONFLICT
    assert "version 5 by night" in result.output


@pytest.mark.parametrize("status", ["000", "099", "199", "302", "600", "999", "20"])
def test_answer_with_an_invalid_status_is_an_error_message(run, status):
    """Guards against status 000 as an answer, and against a traceback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=answer_once, args=(listener, status))
        thread.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        result = run("--server", address, "status")
        thread.join()
    assert result.exit_code == ExitCode.UNREACHABLE
    assert address in result.output
    assert isinstance(result.exception, SystemExit)


def answer_once(listener, status):
    conn, _ = listener.accept()
    with conn:
        conn.recv(65536)
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n\r\n"
        conn.sendall(head.encode() + b"{}")


def test_check_parses_the_settings_of_a_store_deployment(run, tmp_path):
    """Guards against settings that are checked as another kind of file."""
    path = tmp_path / "node.ini"
    path.write_text("[instance]\nid = a\n[store]\naddress = here\n")
    result = run("config", "check", str(path))
    assert result.exit_code == ExitCode.USAGE
    assert "[store] address" in result.output
