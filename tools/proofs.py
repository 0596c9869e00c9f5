"""Write docs/proofs.md, the table of tests that prove each guarantee.

A test states what it proves with the marker `proof(guarantee, failure)`; the
arguments are keys of GUARANTEES and FAILURES. Cells without a test are open.
"""

import sys
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import click
import pytest

GUARANTEES = {
    "labels": "Each sample names the weight versions that truly produced it",
    "bound": "No sample is older than the allowed version bound",
    "exactly-once": "Each sample reaches its trainer exactly once",
    "whole-answer": "A caller gets the whole answer to its own request",
    "not-run": "When a caller is told not_run, the request did not run",
    "at-most-once": "A non-idempotent booking runs at most once",
    "leaving": "A leaving endpoint receives no new work after 5 s",
    "shutdown": "A graceful shutdown cuts off no request",
    "one-software": "No item's text is joined from two software versions",
    "configuration": "An accepted configuration is in force within 7 s, for good",
}
FAILURES = {
    "crash": "engine or endpoint crash",
    "killed": "process killed",
    "frozen": "process frozen and waking with a lapsed lease",
    "swap": "swap failing partway",
    "store-down": "table service or object store down or slow",
    "answer-lost": "answer lost after the write took effect",
    "race": "operators or instances racing",
    "list-lag": "instance list lagging",
    "cache-events": "cache events late or missing",
    "load-lag": "load reports lagging",
    "silent": "connections gone silent",
    "packet-loss": "packets lost between data centres",
    "no-fencing": "endpoints that ignore fencing tokens",
}
PAGE = Path(__file__).parent.parent / "docs" / "proofs.md"
REASONS = Path(__file__).parent.parent / "docs" / "proofs-open.txt"
PREFACE = """# Proofs

Written by `make proofs` from the markers of the tests. A row is a guarantee and
a column group is a failure; a cell names its tests, or is open with the reason.
"""


class Cell(NamedTuple):
    """A cell of the table: keys of a guarantee and a failure."""

    guarantee: str
    failure: str


class ProofCollector:
    """Pytest plug-in that collects the proof markers."""

    def __init__(self):
        self.tests: dict[Cell, list[str]] = {}
        self.unknown: list[str] = []

    def pytest_collection_finish(self, session):
        """Read the markers of every collected test."""
        for item in session.items:
            for marker in item.iter_markers("proof"):
                self._add(Cell(*marker.args), item.nodeid)

    def _add(self, cell: Cell, test: str) -> None:
        if cell.guarantee not in GUARANTEES or cell.failure not in FAILURES:
            self.unknown.append(f"{test}: {cell}")
            return
        tests = self.tests.setdefault(cell, [])
        if test not in tests:
            tests.append(test)


def collect() -> ProofCollector:
    """Collect all tests without running them."""
    collector = ProofCollector()
    pytest.main(
        ["--collect-only", "-p", "no:terminal", "-o", "addopts="], plugins=[collector]
    )
    return collector


def open_reasons() -> dict[Cell, str]:
    """Read the reasons of open cells; `*` is the default for a guarantee."""
    reasons = {}
    for line in REASONS.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            guarantee, failure, reason = line.split(maxsplit=2)
            reasons[Cell(guarantee, failure)] = reason
    return reasons


def render(collector: ProofCollector) -> str:
    """Return the page as Markdown."""
    reasons = open_reasons()
    parts = [PREFACE]
    proved = 0
    for guarantee, text in GUARANTEES.items():
        parts.append(f"\n## {text} (`{guarantee}`)\n")
        parts.append("| failure | proof |")
        parts.append("|---|---|")
        for failure, label in FAILURES.items():
            tests = collector.tests.get(Cell(guarantee, failure))
            proved += bool(tests)
            default = reasons.get(Cell(guarantee, "*"), "not proved yet")
            reason = reasons.get(Cell(guarantee, failure), default)
            names = "<br>".join(f"`{test}`" for test in _merge_parameters(tests or []))
            parts.append(f"| {label} | {names or 'open: ' + reason} |")
    total = len(GUARANTEES) * len(FAILURES)
    parts.append(f"\n{proved} of {total} cells proved, {total - proved} open.")
    return "\n".join(parts) + "\n"


def _merge_parameters(tests: list[str]) -> list[str]:
    """Merge several parameter sets of a test into its bare name."""
    bases = Counter(test.split("[")[0] for test in tests)
    names = (base if bases[base := test.split("[")[0]] > 1 else test for test in tests)
    return list(dict.fromkeys(names))


@click.command()
@click.option("--check", is_flag=True, help="Fail if docs/proofs.md is not up to date.")
def main(check: bool) -> None:
    """Write docs/proofs.md, or check that it is up to date."""
    collector = collect()
    if collector.unknown:
        sys.exit(
            "\n".join(
                [
                    "proof markers with an unknown guarantee or failure:",
                    *collector.unknown,
                ]
            )
        )
    page = render(collector)
    if check and page != PAGE.read_text():
        sys.exit("docs/proofs.md differs from the tests: run make proofs")
    PAGE.write_text(page)
    click.echo(page)


if __name__ == "__main__":
    main()
