"""Plug-in `configuration`: changes and distributes the fleet's configuration."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import anyio
import msgspec
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.clock import Clock
from plantainstack.errors import ConfigurationError, ErrorKind, Failure
from plantainstack.interfaces import Mutation, MutationOutcome, Row, TableService
from plantainstack.plugins import Plugin
from plantainstack.policy.configuration import (
    HEAD_KEY,
    Change,
    ConfigPoller,
    Delta,
    HistoryItem,
    Version,
    change_key,
    commit_of,
    conflict,
    delta_of,
    earlier_outcome,
    head_version,
    history_items,
    patched,
    version_key,
)
from plantainstack.settings.fleet import FleetConfig, FleetContent, check_content
from plantainstack.tasks import TaskRunner

CHECK_INTERVAL_S = 0.25
READ_TIMEOUT_S = 1.0
COMMIT_TIMEOUT_S = 5.0
COMMIT_ATTEMPTS = 4
COMMIT_RETRY_S = 0.5
PEER_TIMEOUT_S = 1.0
HISTORY_MAX = 200


class VersionInForce(NamedTuple):
    """The version in force on this instance, and since when in Unix seconds."""

    version: int
    since: float


class _ConfigRequest(msgspec.Struct):
    have: int


class _ConfigAnnouncement(msgspec.Struct):
    version: int


class _ConfigReply(msgspec.Struct):
    version: int
    learned: bool
    content: FleetContent | None = None
    delta: Delta | None = None


class Configuration(Plugin):
    """Commit changes to the table, announce them to peers, and poll the table."""

    name = "configuration"
    requires = ("platform", "peers", "membership")

    def __init__(self, kernel):
        super().__init__(kernel)
        now = kernel.clock.now()
        self._poller = ConfigPoller(kernel.settings.instance.id, now)
        self._in_force = VersionInForce(0, kernel.clock.wall())
        self._previous = kernel.config
        self._fetching: dict[int, list[str]] = {}
        self._tasks: TaskRunner | None = None

    # Operations for operators

    async def change(
        self, change_id: str, base_version: int, content: FleetContent, author: str
    ) -> Result[int, Failure]:
        """Replace the configuration, and return the new version once it is committed.

        A repeated call with the same change id returns the outcome of the change.
        """
        problems = check_content(content)
        if problems:
            text = "; ".join(str(problem) for problem in problems)
            return Err(Failure.of(ErrorKind.BAD_REQUEST, text))
        change = Change(change_id, base_version, content, author)
        outcome = await self._submit(change)
        if outcome.is_ok():
            self._apply(outcome.unwrap(), content)
        return outcome

    async def history(self, limit: int) -> Result[list[HistoryItem], Failure]:
        """Return up to `limit` accepted versions, newest first."""
        limit = min(limit, HISTORY_MAX)
        head = await self._read([HEAD_KEY])
        if head.is_err():
            return head
        newest = head_version(head.unwrap()[HEAD_KEY])
        numbers = range(max(1, newest - limit), newest + 1)
        versions = await self._read_versions(numbers)
        return versions.map(lambda found: history_items(list(found.values()), limit))

    def in_force(self) -> VersionInForce:
        """Return the version in force on this instance."""
        return self._in_force

    def fleet_versions(self) -> dict[str, int]:
        """Return the version in force on each member, as last reported by it."""
        members = self.kernel.plugin("membership").view().members
        versions = {member.id: member.config_version for member in members.values()}
        return {**versions, self.kernel.settings.instance.id: self._in_force.version}

    # Lifecycle

    async def start(self, tasks: TaskRunner) -> None:
        """Read the configuration, and start to follow its changes."""
        self._tasks = tasks
        self._table: TableService = self.kernel.plugin("platform").table
        self._peers = self.kernel.plugin("peers")
        self._peers.register("config", self._on_announcement)
        self._peers.register("config_request", self._on_request)
        tasks.start_loop(self._run)

    def unready_reason(self) -> str | None:
        """Return why the instance may not accept work, or None."""
        if not self._control_enabled():
            return None if self._poller.learned else "configuration not read yet"
        bound = self.kernel.config.defaults().config_bound
        paused = self.kernel.pause.check()
        return self._poller.unready_reason(paused, bound, self.kernel.clock.now())

    async def _run(self) -> None:
        clock, poller = self.kernel.clock, self._poller
        while True:
            if self.kernel.pause.check():
                await self._refresh_after_pause()
            elif clock.now() >= poller.poll_at:
                await self._poll()
                interval = self.kernel.config.defaults().config_poll_interval
                poller.schedule_poll(clock.now(), interval)
            if poller.learned and not self._control_enabled():
                return
            wake_at = min(poller.poll_at, clock.now() + CHECK_INTERVAL_S)
            await clock.sleep_until(max(wake_at, clock.now() + CHECK_INTERVAL_S / 10))

    async def _refresh_after_pause(self) -> None:
        resumed_at = self.kernel.pause.resumed_at
        if not await self._poll():
            return
        # After a further pause during the refresh, another refresh is needed.
        if self.kernel.pause.check() and self.kernel.pause.resumed_at == resumed_at:
            self.kernel.pause.clear()

    # Receiving versions

    async def _poll(self) -> bool:
        """Refresh from the table, or else from peers; return whether it succeeded."""
        started = self.kernel.clock.now()
        current = await self._poll_table() or await self._poll_peers()
        if current:
            self._poller.record_contact(started)
            self._poller.learned = True
        return current

    async def _poll_table(self) -> bool:
        try:
            return await self._refresh_from_table()
        except msgspec.ValidationError as exc:
            log.event("config.invalid_row", reason=str(exc))
            return False

    async def _refresh_from_table(self) -> bool:
        rows = await self._read([HEAD_KEY])
        if rows.is_err():
            return False
        newest = head_version(rows.unwrap()[HEAD_KEY])
        if not self._poller.accepts(newest, self._in_force.version):
            return True
        found = await self._read_versions([newest])
        if found.is_err() or newest not in found.unwrap():
            return False
        return self._apply(newest, found.unwrap()[newest].content)

    async def _poll_peers(self) -> bool:
        """Query all connected peers, because a single one may have an old version."""
        peers = self._linked_by_version()
        answers: list[bool] = []

        async def fetch(peer_id: str) -> None:
            answers.append(await self._fetch(peer_id))

        async with anyio.create_task_group() as tasks:
            for peer_id in peers:
                tasks.start_soon(fetch, peer_id)
        return any(answers)

    def _linked_by_version(self) -> list[str]:
        versions = self.fleet_versions()
        linked = {
            peer_id: versions.get(peer_id, 0)
            for peer_id in self._peers.connected_peers()
        }
        return self._poller.order_peers(linked)

    async def _fetch(self, peer_id: str) -> bool:
        """Apply a peer's configuration; return whether the peer is up to date."""
        request = {"type": "config_request", "have": self._in_force.version}
        deadline = self.kernel.clock.now() + PEER_TIMEOUT_S
        reply = await self._peers.request(peer_id, request, deadline)
        if reply.is_err():
            return False
        try:
            answer = msgspec.convert(reply.unwrap(), _ConfigReply)
        except msgspec.ValidationError as exc:
            log.event("config.invalid_answer", peer=peer_id, reason=str(exc))
            return False
        content = answer.content
        if answer.delta is not None and answer.delta.base == self._in_force.version:
            content = patched(self.kernel.config.content, answer.delta)
        if content is not None:
            self._apply(answer.version, content, source=peer_id)
        return answer.learned

    async def _on_request(self, peer_id: str, message: dict) -> dict[str, Any]:
        have = msgspec.convert(message, _ConfigRequest).have
        answer = {
            "version": self._in_force.version,
            "learned": self.unready_reason() is None,
        }
        if self._in_force.version > have:
            answer.update(self._content_for(have))
        return answer

    def _content_for(self, have: int) -> dict[str, Any]:
        """Return the content, or only a delta if the peer has the previous version."""
        content, previous = self.kernel.config.content, self._previous
        if have == previous.version:
            delta = delta_of(have, previous.content, content)
            if delta is not None:
                return {"delta": msgspec.to_builtins(delta)}
        return {"content": content}

    async def _on_announcement(self, peer_id: str, message: dict) -> None:
        version = msgspec.convert(message, _ConfigAnnouncement).version
        if version <= self._in_force.version:
            return
        announcers = self._fetching.setdefault(version, [])
        announcers.append(peer_id)
        if len(announcers) == 1:
            self._tasks.start_soon(self._fetch_announced, version)

    async def _fetch_announced(self, version: int) -> None:
        """Fetch the content from the announcing peers in turn, until one sends it."""
        announcers = self._fetching[version]
        while announcers and self._in_force.version < version:
            await self._fetch(announcers[0])
            announcers.pop(0)
        del self._fetching[version]

    def _apply(
        self, version: int, content: FleetContent, source: str | None = None
    ) -> bool:
        """Apply a version and announce it; return False if it is invalid."""
        if not self._poller.accepts(version, self._in_force.version):
            return True
        try:
            cfg = FleetConfig(version, content)
        except ConfigurationError as exc:
            log.event("config.invalid", version=version, reason=str(exc))
            return False
        self._in_force = VersionInForce(version, self.kernel.clock.wall())
        metrics.CONFIG_VERSION.set(version)
        self._previous = self.kernel.config
        self.kernel.apply_config(cfg)
        self._push(version, except_for=source)
        return True

    def _push(self, version: int, except_for: str | None) -> None:
        """Announce a version to the peers, which fetch it and announce it in turn."""
        for peer_id in sorted(self._peers.connected_peers()):
            if peer_id != except_for:
                self._peers.send(peer_id, {"type": "config", "version": version})

    # Committing changes

    async def _submit(self, change: Change) -> Result[int, Failure]:
        rows = await self._read([HEAD_KEY, change_key(change.id)])
        if rows.is_err():
            message = "the table service cannot be reached; nothing was changed"
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, message))
        settled = await self._decided_outcome(change, rows.unwrap())
        if settled is not None:
            return settled
        return await self._commit(change, rows.unwrap()[HEAD_KEY])

    async def _decided_outcome(
        self, change: Change, rows: dict[str, Row]
    ) -> Result[int, Failure] | None:
        """Return the outcome of a change if the rows determine it, else None."""
        outcome = earlier_outcome(change, rows[change_key(change.id)])
        newest = head_version(rows[HEAD_KEY])
        if outcome is None and newest != change.base_version:
            return Err(await self._conflict(change, newest))
        return outcome

    async def _commit(self, change: Change, head: Row) -> Result[int, Failure]:
        mutation = self._mutation(change, head)
        unknown = False
        for attempt in range(COMMIT_ATTEMPTS):
            if attempt:
                await self._wait(COMMIT_RETRY_S * attempt)
            outcome = await self._commit_once(mutation)
            if outcome.is_ok() and outcome.unwrap().applied:
                return Ok(change.base_version + 1)
            if outcome.is_ok():
                # The conflict may be due to an earlier attempt whose answer was lost.
                return await self._resolve_conflict(change)
            failure = outcome.unwrap_err()
            if failure.kind is ErrorKind.TABLE_UNAVAILABLE and not unknown:
                return Err(failure)
            unknown = True
        return _outcome_unknown(change)

    def _mutation(self, change: Change, head: Row) -> Mutation:
        return commit_of(change, head, self.kernel.clock.wall())

    async def _resolve_conflict(self, change: Change) -> Result[int, Failure]:
        rows = await self._read([HEAD_KEY, change_key(change.id)])
        if rows.is_err():
            return _outcome_unknown(change)
        return await self._decided_outcome(change, rows.unwrap()) or _outcome_unknown(
            change
        )

    async def _conflict(self, change: Change, newest: int) -> Failure:
        found = await self._read_versions([change.base_version, newest])
        versions = found.unwrap_or({})
        if newest not in versions:
            message = f"the newest version is {newest}, not {change.base_version}"
            return Failure.of(ErrorKind.CONFLICT, message)
        base = versions.get(change.base_version)
        empty = FleetContent(defaults={}, exceptions=[])
        content = empty if base is None else base.content
        return conflict(change.base_version, versions[newest], content)

    # Table access

    async def _read(self, keys: Sequence[str]) -> Result[dict[str, Row], Failure]:
        rows = await _with_timeout(
            self.kernel.clock, READ_TIMEOUT_S, self._table.read, keys
        )
        if rows is None:
            message = "the table service did not answer in time"
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, message))
        return rows

    async def _read_versions(
        self, numbers: Sequence[int]
    ) -> Result[dict[int, Version], Failure]:
        rows = await self._read([version_key(number) for number in numbers])
        return rows.map(
            lambda found: {
                number: msgspec.convert(found[version_key(number)].value, Version)
                for number in numbers
                if found[version_key(number)].value is not None
            }
        )

    async def _commit_once(
        self, mutation: Mutation
    ) -> Result[MutationOutcome, Failure]:
        outcomes = await _with_timeout(
            self.kernel.clock, COMMIT_TIMEOUT_S, self._table.commit, [mutation]
        )
        if outcomes is None:
            message = "the table service did not answer in time"
            return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))
        return outcomes.map(lambda found: found[0])

    async def _wait(self, seconds: float) -> None:
        await self.kernel.clock.sleep_until(self.kernel.clock.now() + seconds)

    def _control_enabled(self) -> bool:
        return self.kernel.settings.instance.control


def _outcome_unknown(change: Change) -> Err[Failure]:
    message = (
        f"it is not known whether change {change.id!r} was accepted; "
        "send it again with the same id to get its outcome"
    )
    return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))


async def _with_timeout(
    clock: Clock, seconds: float, call: Callable[..., Awaitable], *args
) -> Any:
    """Await a call; return None after `seconds`."""
    answer = None
    deadline = clock.now() + seconds
    async with anyio.create_task_group() as tasks:

        async def expire() -> None:
            await clock.sleep_until(deadline)
            tasks.cancel_scope.cancel()

        tasks.start_soon(expire)
        answer = await call(*args)
        tasks.cancel_scope.cancel()
    return answer
