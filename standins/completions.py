"""Deterministic completions of the stand-in engines, computed from the request."""

import xxhash

VOCABULARY_SIZE = 1000


def prefix_hashes(messages: list[dict[str, str]]) -> list[str]:
    """Return the hash of each prefix of the messages, the shortest first."""
    digest = xxhash.xxh64()
    hashes = []
    for message in messages:
        digest.update(f"{message['role']}\n{message['content']}\n".encode())
        hashes.append(digest.hexdigest())
    return hashes


def completion_words(
    messages: list[dict[str, str]], seed: int, max_tokens: int
) -> list[str]:
    """Return the words of the complete answer; each word is one token.

    The words do not depend on the weight version, so that an answer resumed at
    another engine can be compared with the expected text.
    """
    key = f"{prefix_hashes(messages)[-1]}/{seed}/{max_tokens}"
    count = max_tokens // 2 + _digest(key) % (max_tokens // 2 + 1)
    return [_word(key, index) for index in range(max(1, count))]


def completion_text(messages: list[dict[str, str]], seed: int, max_tokens: int) -> str:
    """Return the text of the complete answer."""
    return join_words(completion_words(messages, seed, max_tokens), 0)


def join_words(words: list[str], start: int) -> str:
    """Join words into text; a `start` above 0 adds the space that precedes them."""
    text = " ".join(words)
    return f" {text}" if start > 0 and words else text


def _word(key: str, index: int) -> str:
    return f"w{_digest(f'{key}/{index}') % VOCABULARY_SIZE:03d}"


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
