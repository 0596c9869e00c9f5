"""Simulation of a fleet of membership policies that exchange messages without I/O."""

import heapq
import itertools
import random

import cbor2

from plantainstack.policy.membership import Candidate, Identity, Membership
from plantainstack.settings.options import Address

TICK_S = 0.25
INTERVAL_S = 1.0
LINK_TIMEOUT_S = 3.0


class Conditions:
    """Hold the network conditions: loss and duplicates as shares, delay in seconds."""

    def __init__(self, loss=0.0, duplicates=0.0, delay=(0.002, 0.02)):
        self.loss = loss
        self.duplicates = duplicates
        self.delay = delay
        self.cut = set()

    def partition(self, group, others):
        self.cut |= set(itertools.product(group, others))
        self.cut |= set(itertools.product(others, group))


class PolicyNode:
    """Simulate one instance: its policy and the state of its links."""

    def __init__(self, node_id, data_centre, epoch, links, now, policy):
        address = Address("10.0.0.1", 7000)
        incarnation = f"{epoch:x}-{node_id}"
        identity = Identity(node_id, incarnation, epoch, data_centre, address)
        self.id = node_id
        self.policy = policy(identity, INTERVAL_S, links, now)
        self.targets = {}
        self.last_heard_at = {}
        self.frozen = False
        self.inbox = []
        self.bytes = 0
        self.largest = 0
        self.config_version = 0

    def linked(self, now):
        return {
            peer_id
            for peer_id, at in self.last_heard_at.items()
            if now - at < LINK_TIMEOUT_S
        }

    def view(self):
        return self.policy.view().members


class PolicyFleet:
    """Advance time in ticks and deliver the messages of all instances."""

    def __init__(self, ids, seed, conditions, links=4, policy=Membership, age=0.0):
        self.random = random.Random(seed)
        self.conditions = conditions
        self.now = 1000.0
        self.nodes = {}
        self.listed = list(ids)
        self._links = links
        self._policy = policy
        self._age = age
        self._order = itertools.count()
        self._in_transit = []
        for node_id in ids:
            self.start(node_id)

    def start(self, node_id, epoch=None):
        """Start an instance, replacing an earlier one at the same address."""
        epoch = int(self.now) if epoch is None else epoch
        data_centre = node_id.rpartition("-")[0]
        node = PolicyNode(
            node_id, data_centre, epoch, self._links, self.now - self._age, self._policy
        )
        self.nodes[node_id] = node
        node.policy.update_candidates(
            Candidate(listed, Address("10.0.0.1", 7000)) for listed in self.listed
        )

    def stop(self, node_id):
        del self.nodes[node_id]

    def thaw(self, node_id):
        node = self.nodes[node_id]
        node.frozen = False
        for source, kind, data in node.inbox:
            self._receive(node, source, kind, data)
        node.inbox = []

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._deliver()
            for node in list(self.nodes.values()):
                if not node.frozen:
                    self._tick(node)

    def _tick(self, node):
        now, policy = self.now, node.policy
        policy.set_links(node.linked(now))
        policy.update_own(node.config_version, 0, now)
        policy.tick(now)
        node.targets = policy.targets(now)
        for peer_id in sorted(node.linked(now)):
            if policy.has_urgent(peer_id):
                message = policy.message(peer_id, walk=False)
                self._send(node, peer_id, "update", message)
        # Each instance pings in one tick per interval, at its own offset.
        tick = round(now / TICK_S) + sum(node.id.encode())
        if tick % round(INTERVAL_S / TICK_S) == 0:
            for peer_id in node.targets:
                self._send(node, peer_id, "ping", policy.message(peer_id))

    def _send(self, node, peer_id, kind, message):
        data = cbor2.dumps({"type": kind, **message})
        node.bytes += len(data)
        node.largest = max(node.largest, len(data))
        conditions = self.conditions
        copies = 2 if self.random.random() < conditions.duplicates else 1
        for _ in range(copies):
            if self.random.random() < conditions.loss:
                continue
            if (node.id, peer_id) in conditions.cut:
                continue
            at = self.now + self.random.uniform(*conditions.delay)
            entry = (at, next(self._order), node.id, peer_id, kind, data)
            heapq.heappush(self._in_transit, entry)

    def _deliver(self):
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, _, source, target, kind, data = heapq.heappop(self._in_transit)
            node = self.nodes.get(target)
            if node is None:
                continue
            if node.frozen:
                node.inbox.append((source, kind, data))
            else:
                self._receive(node, source, kind, data)

    def _receive(self, node, source, kind, data):
        node.bytes += len(data)
        node.last_heard_at[source] = self.now
        node.policy.receive(source, cbor2.loads(data), self.now)
        if kind == "ping":
            self._send(node, source, "pong", node.policy.message(source))

    # Observation

    def agreed(self):
        """Return whether all views hold exactly the running instances."""
        expected = {
            node_id: node.view()[node_id].incarnation
            for node_id, node in self.nodes.items()
        }
        return all(
            {m.id: m.incarnation for m in node.view().values()} == expected
            and all(m.state != "suspect" for m in node.view().values())
            for node in self.nodes.values()
        )

    def take_bytes(self):
        """Return the bytes that each instance has exchanged since the last call."""
        counts = [node.bytes for node in self.nodes.values()]
        for node in self.nodes.values():
            node.bytes = 0
        return counts
