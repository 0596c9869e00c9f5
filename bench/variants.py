"""Combinations of policies that a run can use: all, none, or all but one."""

from typing import NamedTuple


class Variant(NamedTuple):
    """Policies in use; those that are False are replaced by naive versions."""

    name: str
    router: bool = True
    admission: bool = True
    retries: bool = True
    priorities: bool = True
    hedging: bool = True
    cancelling: bool = True
    pacing: bool = True
    freshness: bool = True


FULL = Variant("full")
NAIVE = Variant("naive", *[False] * 8)
VARIANTS = {
    variant.name: variant
    for variant in (
        FULL,
        NAIVE,
        *(
            FULL._replace(name=f"without-{field}", **{field: False})
            for field in Variant._fields[1:]
        ),
    )
}
