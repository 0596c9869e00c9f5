"""Decide which configuration is in force, and how a change is accepted."""

import random
from datetime import UTC, datetime
from typing import NamedTuple

import msgspec
import xxhash
from result import Err, Ok, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import Check, Mutation, Row, Write
from plantainstack.settings.fleet import ConfigException, FleetContent

HEAD_KEY = "config/head"
POLL_JITTER = 0.2


class Head(msgspec.Struct, frozen=True):
    """Hold the value of the head row."""

    version: int


class Version(msgspec.Struct, frozen=True):
    """Hold the value of a version row; `accepted_at` is in Unix seconds."""

    version: int
    change_id: str
    author: str
    accepted_at: float
    content: FleetContent


class ChangeRow(msgspec.Struct, frozen=True):
    """Hold the value of a change row, whose key contains the id of the change."""

    version: int
    digest: str


class Delta(msgspec.Struct, frozen=True):
    """Hold the difference between two versions; None removes an item.

    `base` is the version that the delta applies to.
    """

    base: int
    defaults: dict[str, str | None]
    exceptions: dict[str, ConfigException | None]


class Change(NamedTuple):
    """Describe a change that an operator requests."""

    id: str
    base_version: int
    content: FleetContent
    author: str


class HistoryItem(NamedTuple):
    """Describe an accepted version in the history shown to operators."""

    version: int
    change_id: str
    author: str
    accepted_at: float
    differences: list[str]


def version_key(version: int) -> str:
    """Return the key of the row that holds a version."""
    return f"config/version/{version}"


def change_key(change_id: str) -> str:
    """Return the key of the row that holds the outcome of a change."""
    return f"config/change/{change_id}"


def head_version(row: Row) -> int:
    """Return the version in a head row, 0 for an absent row."""
    return 0 if row.value is None else msgspec.convert(row.value, Head).version


def commit_of(change: Change, head: Row, wall: float) -> Mutation:
    """Build the mutation that accepts a change; it is applied as a whole or not at all.

    It is applied only if the head has not changed since it was read, and only once for
    each change id, so it can be repeated after a lost response.
    """
    number = change.base_version + 1
    version = Version(number, change.id, change.author, wall, change.content)
    row = ChangeRow(number, digest_of(change.content))
    keys = (HEAD_KEY, version_key(number), change_key(change.id))
    values = (Head(number), version, row)
    return Mutation(
        id=change.id,
        checks=tuple(map(Check, keys, (head.version, 0, 0))),
        writes=tuple(map(Write, keys, map(msgspec.to_builtins, values))),
    )


def earlier_outcome(change: Change, row: Row) -> Result[int, Failure] | None:
    """Return the outcome of a change id that is in the table, else None.

    Fails with `key_reused` if the id was used for another change.
    """
    if row.value is None:
        return None
    known = msgspec.convert(row.value, ChangeRow)
    if known.digest == digest_of(change.content):
        return Ok(known.version)
    message = f"change id {change.id!r} was already used for another change"
    return Err(Failure.of(ErrorKind.KEY_REUSED, message))


def conflict(base_version: int, newest: Version, base: FleetContent) -> Failure:
    """Return the failure of a change that conflicts with one accepted earlier."""
    accepted = datetime.fromtimestamp(newest.accepted_at, UTC)
    lines = differences(base, newest.content) or ["no difference in content"]
    message = (
        f"the change is based on version {base_version}, but version "
        f"{newest.version} by {newest.author} was accepted at "
        f"{accepted:%Y-%m-%d %H:%M:%S} UTC; it differs in: {'; '.join(lines)}"
    )
    return Failure.of(ErrorKind.CONFLICT, message)


def differences(old: FleetContent, new: FleetContent) -> list[str]:
    """Return a line of text for each default and exception that differs."""
    lines = _compare("default", old["defaults"], new["defaults"])
    return lines + _compare("exception", _exceptions(old), _exceptions(new))


def delta_of(base: int, old: FleetContent, new: FleetContent) -> Delta | None:
    """Return the delta between two contents, or None if no delta can express it."""
    delta = Delta(
        base,
        _changed_items(old["defaults"], new["defaults"]),
        _changed_items(_by_name(old), _by_name(new)),
    )
    # The order of exceptions decides which of several equally specific ones applies,
    # and a delta cannot express a new order.
    return delta if patched(old, delta) == new else None


def patched(old: FleetContent, delta: Delta) -> FleetContent:
    """Apply a delta to the content of its base version."""
    defaults = {**old["defaults"], **delta.defaults}
    exceptions = {**_by_name(old), **delta.exceptions}
    return FleetContent(
        defaults={name: text for name, text in defaults.items() if text is not None},
        exceptions=[item for item in exceptions.values() if item is not None],
    )


def history_items(versions: list[Version], limit: int) -> list[HistoryItem]:
    """Return up to `limit` history items, newest first, each with its differences.

    An additional older version is only used for comparison.
    """
    versions = sorted(versions, key=lambda item: item.version, reverse=True)
    empty = FleetContent(defaults={}, exceptions=[])
    older = [version.content for version in versions[1:]] + [empty]
    return [
        HistoryItem(
            item.version,
            item.change_id,
            item.author,
            item.accepted_at,
            differences(base, item.content),
        )
        for item, base in list(zip(versions, older, strict=True))[:limit]
    ]


def digest_of(content: FleetContent) -> str:
    """Return a hash of a configuration's content."""
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(content, order="sorted"))


class ConfigPoller:
    """Decide when to poll the configuration, and whether this instance may take work.

    Times are monotonic seconds.
    """

    def __init__(self, seed: str, now: float):
        self._random = random.Random(seed)
        self._contact_at = now
        self.learned = False
        self.poll_at = now

    def schedule_poll(self, now: float, interval: float) -> None:
        """Schedule the next poll, with jitter so that instances do not synchronize."""
        factor = self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
        self.poll_at = now + interval * factor

    def record_contact(self, now: float) -> None:
        """Record an answer from the table or an up-to-date peer.

        `now` is the time at which the request was sent.
        """
        self._contact_at = max(self._contact_at, now)

    def accepts(self, version: int, in_force: int) -> bool:
        """Return whether a version may replace the one in force."""
        return version > in_force

    def unready_reason(self, paused: bool, bound: float, now: float) -> str | None:
        """Return why the instance may not take work, or None."""
        if not self.learned:
            return "no configuration has been received yet"
        if paused:
            return "the configuration is being refreshed after a pause"
        if now - self._contact_at > bound:
            return "neither the table service nor any peer can be reached"
        return None

    def order_peers(self, versions: dict[str, int]) -> list[str]:
        """Return the peers in the order to query them: highest version first."""
        peers = sorted(versions)
        self._random.shuffle(peers)
        return sorted(peers, key=lambda peer_id: -versions[peer_id])


def _by_name(content: FleetContent) -> dict[str, ConfigException]:
    return {item["name"]: item for item in content["exceptions"]}


def _changed_items(old: dict, new: dict) -> dict:
    changed = {name: new[name] for name in new if new[name] != old.get(name)}
    return {**changed, **dict.fromkeys(old.keys() - new.keys())}


def _exceptions(content: FleetContent) -> dict[str, str]:
    return {item["name"]: _exception_text(item) for item in content["exceptions"]}


def _exception_text(item) -> str:
    scope = ", ".join(f"{name} {value}" for name, value in item["scope"].items())
    return f"{item['option']} = {item['value']} for {scope} ({item['reason']})"


def _compare(kind: str, old: dict[str, str], new: dict[str, str]) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before is None:
            lines.append(f"{kind} {name} set to {after}")
        elif after is None:
            lines.append(f"{kind} {name} removed (was {before})")
        elif before != after:
            lines.append(f"{kind} {name} changed from {before} to {after}")
    return lines
