"""Tests that the figures of docs/CAPACITY.md match the committed measurements."""

import json
import re
from pathlib import Path

import pytest

from tools.roles_target import control_figures, figures

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
MEASURED = ROOT / "docs" / "measurements" / "roles.json"
CONTROL = ROOT / "docs" / "measurements" / "slopes.json"
FIGURE = re.compile(r"(-?[\d,]+(?:\.\d+)?)[^\d{}|\n]*\{([a-z0-9_.]+)\}")


def mismatches(text: str) -> list[str]:
    """Return the figures that differ from the measurements, rounded as shown."""
    measured = figures(json.loads(MEASURED.read_text()))
    measured |= control_figures(json.loads(CONTROL.read_text()))
    found = []
    for shown, key in FIGURE.findall(text):
        decimals = len(shown.partition(".")[2])
        if key not in measured or f"{measured[key]:,.{decimals}f}" != shown:
            found.append(f"{key}: {shown}, measured {measured.get(key)}")
    return found


def test_every_figure_matches_the_measurements():
    """Guards against figures that do not come from the committed measurements."""
    text = PAGE.read_text()
    assert len(FIGURE.findall(text)) == text.count("{")
    assert mismatches(text) == []


def test_table_figures_have_keys():
    """Guards against figures without a key, which the comparison would skip."""
    tables = [
        line.split("|")[2:-1]
        for line in PAGE.read_text().splitlines()
        if line.startswith("|") and "{" in line
    ]
    assert len(tables) > 20
    for cells in tables:
        rest = FIGURE.sub("", cells[0])
        assert not re.search(r"\d", rest), cells


@pytest.mark.parametrize("place", range(0, 40, 5))
def test_altered_figure_is_reported(place):
    """Guards against a comparison that accepts wrong figures."""
    text = PAGE.read_text()
    match = list(FIGURE.finditer(text))[place]
    digit = str((int(match[1][-1]) + 1) % 10)
    end = match.start() + len(match[1])
    assert len(mismatches(text[: end - 1] + digit + text[end:])) == 1
