"""Tests of the headers that describe a prompt."""

import pytest

from plantainstack.platform.prompts import decode_prompt
from plantainstack.serving import Prompt


def headers(prefix, model="m0"):
    return (("plantainstack-prompt-prefix", prefix), ("Plantainstack-Model", model))


def test_prompt_is_decoded_in_order():
    """Guards against a prompt whose parts are mixed up or lost."""
    found = decode_prompt(headers("sys:300, a:b:1200,own:40"))
    assert found == Prompt("m0", (("sys", 300), ("a:b", 1200), ("own", 40)))
    assert found.shared() == found.parts[:2]
    assert found.tokens() == 1540


@pytest.mark.parametrize(
    "prefix", ["", "a", "a:", ":5", "a:-1", "a:1.5", "a:1,,b:2", f"a:{10**9}", "a:²"]
)
def test_unreadable_description_counts_as_none(prefix):
    """Guards against an item that fails, or is placed, by a header of no meaning."""
    assert decode_prompt(headers(prefix)) is None


def test_prompt_without_model_or_with_too_many_parts_is_not_used():
    """Guards against cached prompts of one model that count for another."""
    assert decode_prompt((("Plantainstack-Prompt-Prefix", "a:1,b:2"),)) is None
    assert decode_prompt(headers(",".join(f"p{n}:1" for n in range(33)))) is None
