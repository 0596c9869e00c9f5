"""Tests of the settings of one instance."""

import pytest

from plantainstack.errors import ConfigurationError
from plantainstack.settings.instance import parse_instance

VALID = """\
[instance]
id = entry-1
data_centre = bergen-a
listen = 127.0.0.1:8001
operator_listen = 127.0.0.1:8002
peer_listen = 127.0.0.1:8003
[platform]
table = 127.0.0.1:9001
objects = 127.0.0.1:9002
instances = 127.0.0.1:9003
weights = 127.0.0.1:9004
scorer = 127.0.0.1:9005
[credentials]
tokens = {tokens}
peer_key = {tokens}
"""


@pytest.fixture
def valid(tmp_path):
    tokens = tmp_path / "tokens.ini"
    tokens.write_text("[callers]\nmember = abc\n[operators]\nnight = def\n")
    return VALID.format(tokens=tokens)


def test_valid_settings_are_converted(valid):
    settings = parse_instance(valid, "entry.ini")
    assert settings.instance.listen.port == 8001
    assert settings.tokens().callers == {"abc": "member"}
    assert settings.tokens().trainers == {}


def test_all_problems_are_reported_at_once_with_their_lines(valid):
    """Guards against a validation that stops at the first problem."""
    text = valid.replace("127.0.0.1:8001", "127.0.0.1")
    text = text.replace("id = entry-1", "name = entry-1")
    text = text.replace("table = 127.0.0.1:9001", "table = 127.0.0.1:9001\ntable = x")
    text += "[extra]\n"
    with pytest.raises(ConfigurationError) as caught:
        parse_instance(text, "entry.ini")
    locations = {(p.line, p.option) for p in caught.value.problems}
    assert {
        (2, "[instance] name"),
        (1, "[instance] id"),
        (4, "[instance] listen"),
        (9, "[platform] table"),
        (17, "[extra]"),
    } <= locations
