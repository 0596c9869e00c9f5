"""Tests of the decision where the text of an item may go on."""

import pytest

from plantainstack.policy.software_versions import (
    SoftwareVersion,
    begins_anew,
    only_version,
    software_of,
)
from tests.policy.serving_samples import endpoint


def test_equal_version_names_of_two_services_differ():
    """Guards against a text joined from two services after a change of the route."""
    here = endpoint("e1", software="1.0")
    there = endpoint("e2", service="others", software="1.0")
    assert software_of(here) != software_of(there)


def test_only_version_is_unknown_during_a_release_and_without_endpoints():
    """Guards against unlabelled text that goes on at whichever version is left."""
    old, new = endpoint("e1", software="1.0"), endpoint("e2", software="1.1")
    assert only_version([old, old]) == SoftwareVersion("models", "1.0")
    assert only_version([old, new]) is None
    assert only_version([]) is None


@pytest.mark.parametrize("waited_s", [0.0, 1.9, 2.0, 60.0])
def test_text_begins_anew_at_once_after_its_version_has_gone(waited_s):
    """Guards against an item that waits for endpoints that will not return."""
    assert begins_anew(40, 0.05, waited_s, serving=False)


def test_wait_costs_no_more_than_writing_the_events_again():
    """Guards against short texts that wait, and long ones that are given up early."""
    assert not begins_anew(40, 0.05, 1.9, serving=True)
    assert begins_anew(40, 0.05, 2.0, serving=True)
    assert begins_anew(2, 0.05, 0.1, serving=True)
    assert not begins_anew(2, None, 0.05, serving=True)


@pytest.mark.parametrize("back_s", [0.2, 1.0, 1.5, 2.5, 8.0])
@pytest.mark.parametrize("events", [1, 10, 40, 200])
def test_crash_costs_at_most_twice_the_better_choice(events, back_s):
    """Guards against a rule that is good for one length or one outage only."""
    again_s = events * 0.05
    best_s = min(again_s, back_s)
    waited_s = 0.0
    while waited_s < back_s and not begins_anew(events, 0.05, waited_s, serving=True):
        waited_s += 0.01
    cost_s = waited_s if waited_s >= back_s else waited_s + again_s
    assert cost_s <= 2 * best_s + 0.02
