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


def wrong(text: str) -> list[str]:
    """Return the keys whose figure is not that of the measurements, as rounded."""
    known = figures(json.loads(MEASURED.read_text()))
    known |= control_figures(json.loads(CONTROL.read_text()))
    found = []
    for shown, key in FIGURE.findall(text):
        decimals = len(shown.partition(".")[2])
        if key not in known or f"{known[key]:,.{decimals}f}" != shown:
            found.append(f"{key}: {shown}, measured {known.get(key)}")
    return found


def test_every_figure_of_the_page_is_found_in_the_measurements():
    """Guards against a page whose figures no longer stem from the committed run."""
    text = PAGE.read_text()
    assert len(FIGURE.findall(text)) == text.count("{")
    assert wrong(text) == []


def test_measured_and_calculated_tables_hold_no_figure_without_key():
    """Guards against a figure that the comparison above would pass over."""
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
def test_an_altered_figure_is_found(place):
    """Guards against a comparison that accepts anything."""
    text = PAGE.read_text()
    match = list(FIGURE.finditer(text))[place]
    digit = str((int(match[1][-1]) + 1) % 10)
    end = match.start() + len(match[1])
    assert len(wrong(text[: end - 1] + digit + text[end:])) == 1
