"""The combinations of policies that a run can use."""

from typing import NamedTuple


class Variant(NamedTuple):
    """Say which policies are used instead of their naive versions."""

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
