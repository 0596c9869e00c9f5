"""Tests that the reference page matches the code."""

from tools.reference import PAGE, render


def test_the_committed_page_is_current():
    """Guards against settings and error kinds that the docs do not list."""
    assert PAGE.read_text() == render(), "run make reference"
