"""Decode the headers that describe the prompt of a request."""

from collections.abc import Sequence

from plantainstack.decoding import parse_decimal
from plantainstack.platform.names import MODEL, PROMPT_PREFIX, header
from plantainstack.serving import Prompt

# Bounds of a description that is used: longer ones would take memory for each item.
PARTS_MAX = 32
ID_LENGTH_MAX = 128
TOKENS_MAX = 10**7


def decode_prompt(headers: Sequence[tuple[str, str]]) -> Prompt | None:
    """Return the prompt of a request, None if it is not described or not readable."""
    model = header(headers, MODEL)
    text = header(headers, PROMPT_PREFIX)
    if not model or not text:
        return None
    parts = []
    for part in text.split(",", PARTS_MAX):
        id, _, digits = part.strip().rpartition(":")
        tokens = parse_decimal(digits, TOKENS_MAX)
        if not id or len(id) > ID_LENGTH_MAX or tokens is None:
            return None
        parts.append((id, tokens))
    if len(parts) > PARTS_MAX:
        return None
    return Prompt(model, tuple(parts))
