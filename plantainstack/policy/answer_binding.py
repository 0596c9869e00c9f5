"""Decide whether an answer belongs to the request that awaits it.

Answers endpoints that answer twice, late, or with bytes that are no answer. The id of
a request binds an answer to it. The place of an answer on its connection binds it only
if the connection has carried no other request.
"""

from collections.abc import Sequence
from typing import NamedTuple


class AnswerRule(NamedTuple):
    """State how answers to a request are recognized.

    `id` is the id that the request carries, empty if it carries none. With
    `id_optional`, the endpoint need not return it.
    """

    id: str
    id_optional: bool = False


def mismatch(
    rule: AnswerRule, returned: Sequence[str], alone: bool, refused: bool
) -> str | None:
    """Return why an answer does not belong to the request, or None if it does.

    `returned` holds the ids in the answer. `alone` states that the connection has
    carried no other request, and `refused` that the endpoint declares not to have run
    the request, which it may do before it has read the id.
    """
    if not rule.id or not returned:
        by_place = alone and (refused or rule.id_optional or not rule.id)
        return None if by_place else "the answer has no request id"
    if any(each != rule.id for each in returned):
        return f"the answer has the request id {', '.join(returned)[:100]!r}"
    return None


def may_keep_connection(returned: Sequence[str]) -> bool:
    """Return whether the connection of an answer may carry another request.

    A late copy of an answer without id could not be told from the next answer.
    """
    return bool(returned)
