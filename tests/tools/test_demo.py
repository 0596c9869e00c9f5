"""Tests of the demo's report: each broken guarantee must be reported."""

from collections import Counter

import pytest

from tools.demo import CALL_NAMES, Demo


class FakeProcesses:
    def ended(self):
        return ["entry-2"]


class FakeFleet:
    """Fake a fleet in which one instance was killed."""

    def __init__(self):
        self.processes = FakeProcesses()
        self.killed = {"entry-2"}
        self.caller_token = "token"

    def live_entries(self):
        return ["entry-1", "entry-3"]


def sample(index, versions=(2,), staleness=1):
    return {
        "group": 0,
        "index": index,
        "versions": list(versions),
        "staleness": staleness,
    }


def good_step(**changes):
    step = {
        "step": "step-0001",
        "samples": [sample(0), sample(1)],
        "expected": 2,
        "newest_version": 3,
        "same_when_fetched_again": True,
    }
    return {**step, **changes}


def make_demo():
    """Return a demo with the results of a run that kept every guarantee."""
    demo = Demo(FakeFleet())
    traffic = demo.traffic
    for name in CALL_NAMES:
        traffic.sent[name] = traffic.on_time[name] = 1
    traffic.booking_outcomes = {"b1": "booked", "b2": "not_run", "b3": "unknown"}
    demo.runs = Counter(b1=1, b3=1)
    demo.in_force_s = {"entry-1": 0.1, "entry-3": 0.2}
    demo.steps = [good_step()]
    return demo


def test_report_passes_when_every_guarantee_was_kept(capsys):
    assert make_demo().report()


def set_step(**changes):
    def apply(demo):
        demo.steps = [good_step(**changes)]

    return apply


BREAKS = [
    (lambda demo: demo.runs.update(b1=1), "booking b1 ran 2 times"),
    (lambda demo: demo.runs.update(b3=1), "booking b3 ran 2 times"),
    (
        lambda demo: demo.runs.update(b2=1),
        "booking b2 ran although its outcome was not_run",
    ),
    (lambda demo: demo.runs.pop("b1"), "booking b1 was confirmed but lost"),
    (
        lambda demo: demo.traffic.wrong_answers.append("look-up 1"),
        "wrong answer to look-up 1",
    ),
    (lambda demo: demo.traffic.on_time.clear(), "no look-up was answered on time"),
    (lambda demo: demo.in_force_s.pop("entry-3"), "never came into force on entry-3"),
    (lambda demo: demo.in_force_s.update({"entry-1": 7.5}), "took 7.5 s on entry-1"),
    (lambda demo: demo.record_version("entry-1", -1), "entry-1 reverted"),
    (lambda demo: demo.fleet.killed.clear(), "entry-2 exited unexpectedly"),
    (lambda demo: demo.steps.clear(), "the trainer completed no step"),
    (set_step(failed="late"), "step-0001 failed: late"),
    (set_step(expected=3), "samples are missing"),
    (set_step(samples=[sample(0), sample(0)]), "a sample was delivered twice"),
    (set_step(samples=[sample(0), sample(1, ())]), "a sample names no version"),
    (
        set_step(samples=[sample(0), sample(1, (1,), 2)]),
        "a sample exceeds the version bound",
    ),
    (
        set_step(same_when_fetched_again=False),
        "a second fetch returned different samples",
    ),
]


@pytest.mark.parametrize(("apply", "text"), BREAKS, ids=[text for _, text in BREAKS])
def test_report_fails_when_a_guarantee_was_broken(capsys, apply, text):
    """Guards against a demo that passes although a guarantee was broken."""
    demo = make_demo()
    apply(demo)
    assert not demo.report()
    assert text in capsys.readouterr().out
