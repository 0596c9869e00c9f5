"""Test that the reference page matches the code."""

from tools.reference import PAGE, render


def test_committed_reference_page_is_up_to_date():
    """Guards against options and error kinds missing from the documentation."""
    assert PAGE.read_text() == render(), "run make reference"
