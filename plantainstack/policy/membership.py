"""Gossip-based membership of entry instances, similar to SWIM.

The traffic of an instance does not depend on the size of the fleet. Each instance
opens links to a fixed number of peers, monitors them and forwards updates about all
members. A message contains a bounded number of items: first the updates that were
not yet sent to the peer, then a part of a round over all members, which repairs
updates that were lost.

Updates about an incarnation are ordered by its heartbeat counter, which only the
incarnation itself raises. A suspicion contains the highest heartbeat known to its
author, so any later heartbeat refutes it, whichever instance forwards it. A death is
never forwarded: each instance infers it from a suspicion that was not refuted in
time.

An update is sent once on each link, so that it costs a bounded number of messages.
The number of links and the rounds compensate for links that break.
"""

import functools
import random
from collections.abc import Iterable
from enum import IntEnum, StrEnum
from typing import Any, NamedTuple

import msgspec
import xxhash

from plantainstack.settings.options import Address

Message = dict[str, Any]

# Times are in heartbeat intervals.
SUSPECT_AFTER = 5
SUSPICION_PERIOD = 6
PROBE_EVERY = 5
TOMBSTONE = 600
REQUEST_AGAIN = 2
REQUESTED_MAX = 1000
EPOCH_RAISE_EVERY = 5
BACKOFF_STEPS_MAX = 4

# A longer gap between ticks means that this process itself was paused.
PAUSE_S = 2.0

# Limit on urgent items per peer and heartbeat interval. With 4 outgoing and 4 incoming
# links, 10 items keep an instance near 3 KB/s even while half of the fleet changes its
# state.
URGENT_ITEMS_MAX = 10
ROUND_ITEMS = 4
ENTRIES_MAX = 8
HASHES_MAX = 4096


class MemberState(StrEnum):
    """State of a member; dead instances are not members."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"


class Member(NamedTuple):
    """Describe an entry instance in the view of its peers."""

    id: str
    incarnation: str
    state: MemberState
    data_centre: str
    address: Address
    config_version: int
    load: int


class MembershipView(NamedTuple):
    """Hold the members by id, including this instance."""

    own_id: str
    members: dict[str, Member]


class Candidate(NamedTuple):
    """Describe an entry instance in the platform's list."""

    id: str
    address: Address


class Identity(NamedTuple):
    """Identify one incarnation; a later one of the same id has a higher epoch."""

    id: str
    incarnation: str
    epoch: int
    data_centre: str
    address: Address

    def key(self) -> int:
        """Return the hash that identifies the incarnation in updates."""
        text = f"{self.id} {self.incarnation} {self.epoch}"
        return xxhash.xxh32_intdigest(text.encode())


class WireState(IntEnum):
    """State in an update; at the same heartbeat, the higher value takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2


class Update(NamedTuple):
    """Hold the variable state of an incarnation.

    `beat` is the heartbeat counter: seconds since the start, which never decrease.
    """

    key: int
    beat: int
    state: WireState
    config_version: int
    load: int


class Entry(NamedTuple):
    """Describe an incarnation to a peer that has no record of its key."""

    id: str
    incarnation: str
    epoch: int
    data_centre: str
    host: str
    port: int
    news: Update


class Gossip(msgspec.Struct):
    """Validate the fields that this module adds to messages.

    `want` lists keys whose entries are requested, and `all` requests all entries.
    """

    news: list[Update] = []
    entries: list[Entry] = []
    want: list[int] = []
    all: bool = False


class Record:
    """Hold the local record of an incarnation; times are monotonic seconds."""

    def __init__(self, identity: Identity, news: Update):
        self.identity = identity
        self.news = news
        self.leaving = news.state is WireState.LEAVING
        self.suspect_at: float | None = None
        self.dead_at: float | None = None

    def state(self) -> MemberState:
        """Return the member's state in views.

        A leaving member stays so under suspicion; otherwise it would be selected as an
        owner of leases again.
        """
        if self.leaving:
            return MemberState.LEAVING
        return MemberState[self.news.state.name]

    def entry(self) -> Entry:
        """Return the record in the form that is sent to peers."""
        identity = self.identity
        return Entry(
            identity.id,
            identity.incarnation,
            identity.epoch,
            identity.data_centre,
            identity.address.host,
            identity.address.port,
            self.news,
        )


class _PeerQueue:
    """Hold the items to be sent to one linked peer."""

    def __init__(self):
        self.urgent: dict[int, None] = {}
        self.entries: dict[int, None] = {}
        self.want: dict[int, None] = {}
        self.allowance = URGENT_ITEMS_MAX


class Membership:
    """Decide what to send to peers, which peers to monitor and who is a member."""

    def __init__(self, own: Identity, interval: float, links: int, now: float):
        self.interval = interval
        self.links = links
        self._started = now
        self._last_tick = now
        self._epoch_raised_at = float("-inf")
        self._random = random.Random(f"{own.id} {own.epoch}")
        self._own = Record(own, Update(own.key(), 0, WireState.ALIVE, 0, 0))
        self._records: dict[str, Record] = {own.id: self._own}
        self._by_key: dict[int, Record] = {own.key(): self._own}
        self._candidates: dict[str, Candidate] = {}
        self._unreachable: dict[str, float] = {}
        self._queues: dict[str, _PeerQueue] = {}
        self._last_heard_at: dict[str, float] = {}
        self._targets: dict[str, float] = {}
        self._probe: tuple[str, float] | None = None
        self._backoff: dict[str, int] = {}
        self._requested_at: dict[int, float] = {}
        self._round: list[int] = []
        self._requested_all = False
        self._linked: set[str] = set()
        self._choice: tuple[tuple, list[str]] = ((), [])
        self._suspects: dict[str, Record] = {}
        self._ring_cache: frozenset[str] | None = None
        self.changes = 0

    # State of this instance, its links and the platform's list

    def update_own(self, config_version: int, load: int, now: float) -> None:
        """Update this instance's configuration version, load and heartbeat."""
        beat = max(self._own.news.beat, int(now - self._started))
        self._own.news = self._own.news._replace(
            beat=beat, config_version=config_version, load=load
        )

    def leave(self) -> None:
        """Announce that this instance accepts no more work."""
        self._own.news = self._own.news._replace(state=WireState.LEAVING)
        self._own.leaving = True
        self._changed()
        self._announce(self._own)

    def update_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the platform's list of live entry instances."""
        own_id = self._own.identity.id
        self._candidates = {item.id: item for item in candidates if item.id != own_id}
        listed = self._candidates.keys()
        self._unreachable = {
            i: at for i, at in self._unreachable.items() if i in listed
        }
        self._ring_cache = None

    def set_links(self, linked: set[str]) -> None:
        """Replace the set of open links; this instance's entry is sent on new ones."""
        for peer_id in sorted(linked - self._linked):
            queue = self._queues.setdefault(peer_id, _PeerQueue())
            queue.entries[self._own.news.key] = None
        for peer_id in set(self._queues) - linked:
            del self._queues[peer_id]
        self._linked = set(linked)

    # Messages

    def has_urgent(self, peer_id: str) -> bool:
        """Return whether a peer has items that should not wait for a heartbeat."""
        queue = self._queues.get(peer_id)
        if queue is None:
            return False
        return bool((queue.urgent and queue.allowance) or queue.entries or queue.want)

    def message(self, peer_id: str, walk: bool = True) -> Message:
        """Return the fields of a message to a peer; its size is bounded.

        A message with a part of the round (`walk`) is sent once per heartbeat interval.
        """
        queue = self._queues.setdefault(peer_id, _PeerQueue())
        if walk:
            queue.allowance = URGENT_ITEMS_MAX
        news = [self._own.news, *self._pop_urgent(queue)]
        if walk:
            news += self._next_of_round(ROUND_ITEMS + 1 - len(news))
        entries = _pop_items(queue.entries, ENTRIES_MAX)
        want = _pop_items(queue.want, ENTRIES_MAX)
        fields: Message = {"news": _distinct(news)}
        if entries:
            fields["entries"] = self._entries(entries)
        if want:
            fields["want"] = want
        if not self._requested_all:
            self._requested_all = fields["all"] = True
        return fields

    def receive(self, peer_id: str, message: Message, now: float) -> None:
        """Apply a message from a peer.

        Raises msgspec.ValidationError if its fields are invalid.
        """
        gossip = msgspec.convert(message, Gossip)
        self._last_heard_at[peer_id] = now
        if self._unreachable.pop(peer_id, None) is not None:
            self._ring_cache = None
        self._backoff.pop(peer_id, None)
        queue = self._queues.setdefault(peer_id, _PeerQueue())
        for entry in gossip.entries:
            self._apply_entry(peer_id, entry, now)
        for news in gossip.news:
            self._apply_update(peer_id, news, now)
        keys = list(self._by_key) if gossip.all else gossip.want
        queue.entries.update((key, None) for key in keys if key in self._by_key)

    # Decisions

    def targets(self, now: float) -> dict[str, Address]:
        """Return the peers to link to: a fixed number in hash order, and a probe."""
        chosen = self._choose()
        self._targets = {peer_id: self._targets.get(peer_id, now) for peer_id in chosen}
        targets = {peer_id: self._address(peer_id) for peer_id in chosen}
        probe = self._choose_probe(now)
        if probe is not None:
            targets[probe] = self._address(probe)
        return targets

    def tick(self, now: float) -> None:
        """Suspect peers that do not respond, and declare old suspects dead."""
        if now - self._last_tick > PAUSE_S:
            self._restart_timers(now)
        self._last_tick = now
        for peer_id, since in self._targets.items():
            self._check_target(
                peer_id, max(since, self._last_heard_at.get(peer_id, since))
            )
        for record in list(self._suspects.values()):
            self._advance_suspicion(record, now)

    def view(self) -> MembershipView:
        """Return the members that are not dead."""
        members = {
            record.identity.id: _member(record)
            for record in self._records.values()
            if record.dead_at is None
        }
        return MembershipView(self._own.identity.id, members)

    # Applying updates

    def _apply_entry(self, peer_id: str, entry: Entry, now: float) -> None:
        identity = Identity(*entry[:4], Address(entry.host, entry.port))
        if identity.id == self._own.identity.id:
            self._apply_own_entry(identity, now)
            return
        known = self._records.get(identity.id)
        if known is not None and known.identity == identity:
            self._apply_update(peer_id, entry.news._replace(key=identity.key()), now)
        elif known is None or self._is_later(identity, known.identity):
            self._add(peer_id, identity, entry.news)
        elif known.dead_at is None:
            self._queues[peer_id].entries[known.news.key] = None

    def _add(self, peer_id: str, identity: Identity, news: Update) -> None:
        if news.state is WireState.SUSPECT:
            return
        known = self._records.get(identity.id)
        if known is not None:
            del self._by_key[known.news.key]
        record = Record(identity, news._replace(key=identity.key()))
        self._records[identity.id] = self._by_key[record.news.key] = record
        self._unreachable.pop(identity.id, None)
        self._suspects.pop(identity.id, None)
        self._changed()
        self._announce(record, except_for=peer_id)

    def _apply_own_entry(self, identity: Identity, now: float) -> None:
        own = self._own.identity
        if identity.incarnation == own.incarnation or identity.epoch < own.epoch:
            return
        if now - self._epoch_raised_at < EPOCH_RAISE_EVERY * self.interval:
            return
        self._epoch_raised_at = now
        del self._by_key[self._own.news.key]
        own = own._replace(epoch=identity.epoch + 1)
        self._own.identity = own
        self._own.news = self._own.news._replace(key=own.key())
        self._by_key[own.key()] = self._own
        for queue in self._queues.values():
            queue.entries[own.key()] = None

    def _apply_update(self, peer_id: str, news: Update, now: float) -> None:
        record = self._by_key.get(news.key)
        if record is None:
            self._request_entry(peer_id, news, now)
        elif record is self._own:
            self._refute_own_suspicion(news)
        elif self._is_newer(news, record.news):
            self._apply(record, news, peer_id, now)
        elif news[:3] == record.news[:3]:
            self._queues[peer_id].urgent.pop(news.key, None)
        elif news.state is WireState.SUSPECT and record.dead_at is None:
            self._queues[peer_id].urgent[news.key] = None

    def _apply(self, record: Record, news: Update, peer_id: str, now: float) -> None:
        changed = news.state is not record.news.state or record.dead_at is not None
        record.news = news
        record.leaving |= news.state is WireState.LEAVING
        if news.state is WireState.SUSPECT:
            self._suspect(record, now)
        else:
            self._refute_suspicion(record, peer_id)
        if changed:
            self._changed()
            self._announce(record, except_for=peer_id)
        else:
            self._queues[peer_id].urgent.pop(news.key, None)

    def _refute_suspicion(self, record: Record, peer_id: str) -> None:
        member_id = record.identity.id
        if record.suspect_at is not None and member_id != peer_id:
            # Other instances still receive from the member, although this one does not.
            self._backoff[member_id] = self._backoff.get(member_id, 0) + 1
        record.suspect_at = record.dead_at = None
        self._suspects.pop(member_id, None)

    def _refute_own_suspicion(self, news: Update) -> None:
        if news.state is WireState.SUSPECT and news.beat >= self._own.news.beat:
            self._own.news = self._own.news._replace(beat=news.beat + 1)
        if news.state is WireState.SUSPECT:
            self._announce(self._own)

    def _request_entry(self, peer_id: str, news: Update, now: float) -> None:
        asked = self._requested_at.get(news.key, float("-inf"))
        if now - asked < REQUEST_AGAIN * self.interval:
            return
        if news.state is not WireState.SUSPECT:
            if len(self._requested_at) >= REQUESTED_MAX:
                self._requested_at.clear()
            self._requested_at[news.key] = now
            self._queues[peer_id].want[news.key] = None

    @staticmethod
    def _is_later(identity: Identity, known: Identity) -> bool:
        return identity[1:3][::-1] > known[1:3][::-1]

    @staticmethod
    def _is_newer(news: Update, known: Update) -> bool:
        return (news.beat, news.state) > (known.beat, known.state)

    # Sending updates

    def _announce(self, record: Record, except_for: str | None = None) -> None:
        for peer_id, queue in self._queues.items():
            if peer_id != except_for:
                queue.urgent[record.news.key] = None
            else:
                queue.urgent.pop(record.news.key, None)

    def _pop_urgent(self, queue: _PeerQueue) -> list[Update]:
        # Refutations are sent first, so that a false suspicion ends in time.
        keys = sorted(queue.urgent, key=self._is_suspect)[: queue.allowance]
        queue.allowance -= len(keys)
        for key in keys:
            del queue.urgent[key]
        return self._live_updates(keys)

    def _is_suspect(self, key: int) -> bool:
        record = self._by_key.get(key)
        return record is None or record.suspect_at is not None

    def _next_of_round(self, count: int) -> list[Update]:
        if count <= 0:
            return []
        if len(self._round) < count:
            self._round = [key for key in self._by_key if key != self._own.news.key]
            self._random.shuffle(self._round)
        keys, self._round = self._round[:count], self._round[count:]
        return self._live_updates(keys)

    def _live_updates(self, keys: Iterable[int]) -> list[Update]:
        records = (self._by_key.get(key) for key in keys)
        return [record.news for record in records if record and record.dead_at is None]

    def _entries(self, keys: Iterable[int]) -> list[Entry]:
        records = (self._by_key.get(key) for key in keys)
        return [
            record.entry() for record in records if record and record.dead_at is None
        ]

    # Monitoring

    def _check_target(self, peer_id: str, heard_at: float) -> None:
        steps = min(self._backoff.get(peer_id, 0), BACKOFF_STEPS_MAX)
        limit = SUSPECT_AFTER * self.interval * 2**steps
        if self._last_tick - heard_at <= limit:
            return
        record = self._records.get(peer_id)
        if record is None:
            self._unreachable[peer_id] = self._last_tick
            self._ring_cache = None
        elif record.suspect_at is None:
            self._suspect(record, self._last_tick)
            record.news = record.news._replace(state=WireState.SUSPECT)
            self._changed()
            self._announce(record)

    def _suspect(self, record: Record, now: float) -> None:
        if record.suspect_at is None:
            record.suspect_at = now
        self._suspects[record.identity.id] = record

    def _advance_suspicion(self, record: Record, now: float) -> None:
        if record.dead_at is not None:
            if now - record.dead_at > TOMBSTONE * self.interval:
                self._remove(record)
        elif now - record.suspect_at > SUSPICION_PERIOD * self.interval:
            record.dead_at = now
            self._changed()

    def _remove(self, record: Record) -> None:
        del self._records[record.identity.id]
        del self._suspects[record.identity.id]
        self._ring_cache = None
        del self._by_key[record.news.key]
        self._last_heard_at.pop(record.identity.id, None)
        self._backoff.pop(record.identity.id, None)

    def _restart_timers(self, now: float) -> None:
        """Restart all timers, since this process itself was paused."""
        self._last_heard_at = dict.fromkeys(self._last_heard_at, now)
        self._targets = dict.fromkeys(self._targets, now)
        for record in self._suspects.values():
            record.suspect_at = now

    def _changed(self) -> None:
        self.changes += 1
        self._ring_cache = None

    # Choosing links

    def _choose(self) -> list[str]:
        if self._ring_cache is None:
            self._ring_cache = frozenset(self._ring_members())
        key = (self._ring_cache, self.links)
        if key != self._choice[0]:
            self._choice = (key, choose_peers(self._own.identity.id, *key))
        return self._choice[1]

    def _ring_members(self) -> set[str]:
        unknown = set(self._candidates) - set(self._records) - set(self._unreachable)
        dead = {i for i, record in self._suspects.items() if record.dead_at is not None}
        return (unknown | set(self._records)) - dead

    def _choose_probe(self, now: float) -> str | None:
        """Return a listed instance that is considered dead, to try a link to it.

        This rejoins the sides of a partition that lasted longer than the tombstones.
        """
        if self._probe is not None and self._probe[0] not in self._candidates:
            self._probe = None
        if self._probe is None or now >= self._probe[1]:
            excluded = sorted(set(self._candidates) - self._ring_cache)
            if not excluded:
                self._probe = None
                return None
            wait = PROBE_EVERY * self.interval * self._random.uniform(0.5, 1.5)
            self._probe = (self._random.choice(excluded), now + wait)
        return self._probe[0]

    def _address(self, peer_id: str) -> Address:
        record = self._records.get(peer_id)
        listed = self._candidates.get(peer_id)
        if record is None or (record.dead_at is not None and listed):
            return listed.address
        return record.identity.address


def choose_peers(own_id: str, ids: Iterable[str], links: int) -> list[str]:
    """Return the peers to link to: the successors on several hash rings.

    Each ring connects all instances and gives each of them a single incoming link.
    Several rings shorten the paths.
    """
    others = [peer_id for peer_id in ids if peer_id != own_id]
    chosen: list[str] = []
    for ring in range(min(links, len(others))):
        place = _hash(f"{ring} {own_id}")
        distance = {
            peer_id: (_hash(f"{ring} {peer_id}") - place) % 2**64 for peer_id in others
        }
        chosen.append(min(others, key=distance.__getitem__))
        others.remove(chosen[-1])
    return chosen


def _member(record: Record) -> Member:
    identity, news = record.identity, record.news
    return Member(
        identity.id,
        identity.incarnation,
        record.state(),
        identity.data_centre,
        identity.address,
        news.config_version,
        news.load,
    )


def _pop_items(queue: dict[int, None], limit: int) -> list[int]:
    keys = list(queue)[:limit]
    for key in keys:
        del queue[key]
    return keys


def _distinct(news: Iterable[Update]) -> list[Update]:
    return list({item.key: item for item in news}.values())


@functools.lru_cache(maxsize=HASHES_MAX)
def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
