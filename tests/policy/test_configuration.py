"""Tests of the configuration policy without I/O."""

import heapq
import itertools
import random

import pytest

from plantainstack.errors import ErrorKind
from plantainstack.interfaces import Row
from plantainstack.policy.configuration import (
    HEAD_KEY,
    Change,
    ConfigPoller,
    Version,
    change_key,
    commit_of,
    conflict,
    delta_of,
    differences,
    earlier_outcome,
    history_items,
    patched,
)
from plantainstack.policy.membership import choose_peers
from plantainstack.settings.fleet import FleetContent

EXCEPTION = {
    "name": "shops",
    "option": "max_attempts",
    "value": "1",
    "scope": {"service": "booking-app"},
    "reason": "Duplicates block a fitter.",
}


def content(exceptions=(), **defaults):
    return FleetContent(defaults=defaults, exceptions=list(exceptions))


@pytest.mark.parametrize(
    ("old", "new", "lines"),
    [
        (content(), content(), []),
        (content(), content(a="1"), ["default a set to 1"]),
        (content(a="1"), content(a="2"), ["default a changed from 1 to 2"]),
        (content(a="1"), content(), ["default a removed (was 1)"]),
        (
            content(),
            content([EXCEPTION]),
            [
                "exception shops set to max_attempts = 1 for service booking-app "
                "(Duplicates block a fitter.)"
            ],
        ),
    ],
)
def test_differences_list_each_default_and_exception(old, new, lines):
    """Guards against changes that are missing from the history."""
    assert differences(old, new) == lines


OTHER = {**EXCEPTION, "name": "riders", "value": "2"}


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (content(), content([EXCEPTION], a="1")),
        (content([EXCEPTION], a="1", b="2"), content([EXCEPTION], a="3")),
        (content([EXCEPTION, OTHER]), content([{**EXCEPTION, "value": "9"}, OTHER])),
        (content([EXCEPTION, OTHER], a="1"), content([OTHER])),
        (content(), content()),
    ],
)
def test_a_delta_produces_the_new_content(old, new):
    """Guards against instances whose content differs after a delta."""
    assert patched(old, delta_of(1, old, new)) == new


def test_a_new_order_of_exceptions_is_not_sent_as_a_delta():
    """Guards against an instance on which another exception takes precedence."""
    old, new = content([EXCEPTION, OTHER]), content([OTHER, EXCEPTION])
    assert delta_of(1, old, new) is None


def test_a_commit_writes_head_content_and_history_together():
    """Guards against a head that refers to a version without content."""
    change = Change("c", 4, content(a="1"), "nora")
    mutation = commit_of(change, Row(HEAD_KEY, 9, {"version": 4}), 100.0)
    assert [check.version for check in mutation.checks] == [9, 0, 0]
    keys = {write.key for write in mutation.writes}
    assert keys == {HEAD_KEY, "config/version/5", change_key("c")}
    rows = {write.key: Row(write.key, 1, write.value) for write in mutation.writes}
    assert earlier_outcome(change, rows[change_key("c")]).unwrap() == 5


def test_a_change_id_identifies_one_change():
    """Guards against reporting the outcome of another change with the same id."""
    change = Change("c", 0, content(a="1"), "nora")
    writes = commit_of(change, Row(HEAD_KEY, 0, None), 0.0).writes
    row = next(Row(w.key, 1, w.value) for w in writes if w.key == change_key("c"))
    other = change._replace(content=content(a="2"))
    assert earlier_outcome(other, row).unwrap_err().kind is ErrorKind.KEY_REUSED
    assert earlier_outcome(change, Row("x", 0, None)) is None


def test_history_compares_each_version_with_its_predecessor():
    """Guards against a history with the wrong differences."""
    versions = [
        Version(n, f"c{n}", "nora", float(n), content(a=str(n))) for n in (1, 2, 3)
    ]
    items = history_items(versions, limit=2)
    assert [item.version for item in items] == [3, 2]
    assert items[1].differences == ["default a changed from 1 to 2"]


def test_a_conflict_describes_the_accepted_change():
    """Guards against a conflict that does not explain what changed."""
    newest = Version(3, "c3", "omar", 0.0, content(a="2"))
    failure = conflict(2, newest, content(a="1"))
    assert failure.kind is ErrorKind.CONFLICT
    for text in ("version 3", "omar", "default a changed from 1 to 2"):
        assert text in failure.message


SIZE = 340
DATA_CENTRES = 4
BOUND_S = 7.0
POLL_S = 2.0
REQUEST_S = 1.0
LATENCY_S = {"near": 0.004, "far": 0.045}


class PollOnce(ConfigPoller):
    """Read the head once; replaces polling with jitter."""

    def schedule_poll(self, now, interval):
        self.poll_at = float("inf")


class Propagation:
    """Simulate the propagation of one version over a fleet, event by event."""

    def __init__(self, seed, loss, table_down, forward, poller):
        self.random = random.Random(seed)
        self.loss = loss
        self.table_down = table_down
        self.forward = forward
        ids = [f"entry-{number}" for number in range(SIZE)]
        self.place = {node_id: n % DATA_CENTRES for n, node_id in enumerate(ids)}
        self.links = {node_id: set() for node_id in ids}
        for node_id in ids:
            for peer_id in choose_peers(node_id, ids, 4):
                self.links[node_id].add(peer_id)
                self.links[peer_id].add(node_id)
        self.pollers = {node_id: poller(node_id, 0.0) for node_id in ids}
        self.versions = dict.fromkeys(ids, 0)
        self.in_force_at = {}
        self._order = itertools.count()
        self._events = []

    def run(self, origin, seconds):
        for node_id, poller in self.pollers.items():
            poller.schedule_poll(-self.random.uniform(0, POLL_S), POLL_S)
            self._at(max(0.0, poller.poll_at), self._poll, node_id)
        self._take(0.0, origin, None)
        while self._events and self._events[0][0] <= seconds:
            now, _, event, args = heapq.heappop(self._events)
            event(now, *args)

    def _at(self, at, event, *args):
        heapq.heappush(self._events, (at, next(self._order), event, args))

    def _message(self, now, source, target, event, *args):
        if self.random.random() < self.loss:
            return
        far = self.place[source] // 2 != self.place[target] // 2
        latency = LATENCY_S["far" if far else "near"] * self.random.uniform(1, 3)
        self._at(now + latency, event, target, source, *args)

    def _take(self, now, node_id, source):
        if not self.pollers[node_id].accepts(1, self.versions[node_id]):
            return
        self.versions[node_id] = 1
        self.in_force_at[node_id] = now
        if source is not None and not self.forward:
            return
        for peer_id in sorted(self.links[node_id] - {source}):
            self._message(now, node_id, peer_id, self._announced)

    def _announced(self, now, node_id, source):
        if not self.versions[node_id]:
            self._message(now, node_id, source, self._requested)

    def _requested(self, now, node_id, source):
        if not self.versions[node_id]:
            return
        self._message(now, node_id, source, self._take)

    def _poll(self, now, node_id):
        poller = self.pollers[node_id]
        poller.schedule_poll(now, POLL_S)
        self._at(poller.poll_at, self._poll, node_id)
        if self.table_down or self.random.random() < 2 * self.loss:
            for peer_id in sorted(self.links[node_id]):
                self._message(now + REQUEST_S, node_id, peer_id, self._requested)
            return
        self._at(now + 2 * LATENCY_S["far"], self._take, node_id, "table")


def count_late(seed, table_down=False, forward=True, poller=ConfigPoller):
    """Return how many of 340 instances miss the bound, with 10% message loss."""
    propagation = Propagation(seed, 0.1, table_down, forward, poller)
    propagation.run(f"entry-{seed}", 2 * BOUND_S)
    in_time = [at for at in propagation.in_force_at.values() if at <= BOUND_S]
    return SIZE - len(in_time)


@pytest.mark.parametrize("seed", range(5))
def test_a_change_reaches_340_instances_in_time(seed):
    """Guards against a propagation that only works in a small fleet.

    Polling alone or forwarding alone must reach all instances. Without both, only
    the neighbours of the accepting instance receive the change.
    """
    assert count_late(seed) == 0
    assert count_late(seed, forward=False) == 0
    assert count_late(seed, table_down=True) == 0
    assert count_late(seed, forward=False, poller=PollOnce) > 0
