"""Tests of the decoding of what other programs write."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainstack import log
from plantainstack.decoding import (
    UNREADABLE_ROWS_MAX,
    UnreadableRows,
    decode,
    parse_decimal,
)
from plantainstack.serving import RowName, StoredRow

NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    ("text", "number"),
    [("0", 0), ("12", 12), ("007", 7), ("100", 100)]
    + [
        (text, None)
        for text in (None, "", "101", "9" * 5000, "²", "٣", "-1", "+1", "1_0", " 1")
    ],
)
def test_only_decimal_digits_within_bounds_are_a_number(text, number):
    """Guards against exceptions of `int` for texts that `isdigit` accepts."""
    assert parse_decimal(text, 100) == number


@given(st.text() | st.text("0123456789²٣", max_size=30))
def test_any_text_is_a_number_in_bounds_or_none(text):
    number = parse_decimal(text, 1000)
    assert number is None or 0 <= number <= 1000


@pytest.mark.parametrize("data", [NESTED, b'{"a":' + NESTED + b"}", b"\xff", b""])
def test_undecodable_bytes_are_an_error_with_a_short_reason(data):
    """Guards against a RecursionError for bytes that are nested too deeply."""
    reason = decode(msgspec.json.Decoder(dict[str, msgspec.Raw]), data).unwrap_err()
    assert 0 < len(reason) <= 200


def row(key, version):
    return StoredRow(RowName("t", "", key), b"", version)


@pytest.fixture
def logged(monkeypatch):
    """Collect the rows that are logged."""
    found = []

    def record(event, **fields):
        found.append((event, fields["key"], fields["version"]))

    monkeypatch.setattr(log, "event", record)
    return found


def test_each_version_of_an_unreadable_row_is_logged_once(logged):
    """Guards against a log that is flooded by one row that is read again and again."""
    rows = UnreadableRows("test.row_not_readable")
    for version in (1, 1, 2, 2):
        rows.record(row("k", version), "scripted")
    assert logged == [("test.row_not_readable", "k", number) for number in (1, 2)]


def test_memory_of_unreadable_rows_is_bounded(logged):
    rows = UnreadableRows("test.row_not_readable")
    for number in range(UNREADABLE_ROWS_MAX + 5):
        rows.record(row(str(number), 1), "scripted")
    assert len(rows._versions) == UNREADABLE_ROWS_MAX
