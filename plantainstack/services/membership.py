"""Plug-in `membership`: runs the membership policy over the peer links."""

from typing import TYPE_CHECKING

from plantainstack import metrics
from plantainstack.interfaces import InstanceKind, InstanceState
from plantainstack.links.peer import Peers
from plantainstack.plugins import Plugin
from plantainstack.policy.membership import (
    Candidate,
    Identity,
    Membership,
    MembershipView,
    Message,
)
from plantainstack.tasks import TaskRunner

if TYPE_CHECKING:
    from collections.abc import Callable


INTERVAL_S = 0.25


class MembershipPlugin(Plugin):
    """Run the membership policy and emit `on_membership` when the view changes."""

    name = "membership"
    requires = ("peers",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._policy: Membership = self._new_policy()
        self._emitted_changes = -1
        self.load: Callable[[], int] = lambda: 0

    def view(self) -> MembershipView:
        """Return the members, with their configuration versions and loads."""
        return self._policy.view()

    async def start(self, tasks: TaskRunner) -> None:
        """Start to exchange messages with peers, if `control` is set."""
        if not self.kernel.settings.instance.control:
            return
        self._peers: Peers = self.kernel.plugin("peers")
        self._peers.register("ping", self._on_ping)
        self._peers.register("pong", self._on_gossip)
        self._peers.register("update", self._on_gossip)
        self._peers.set_heartbeat(self._message)
        self._emit_changes()
        tasks.start_loop(self._run)

    def on_config(self, cfg) -> None:
        """Apply the heartbeat interval and the number of links."""
        self._policy.interval = cfg.defaults().heartbeat_interval
        self._policy.links = cfg.defaults().peer_links

    def on_endpoints(self, records) -> None:
        """Use the live entry instances of the list as candidates for links."""
        self._policy.update_candidates(
            Candidate(record.id, record.address)
            for record in records
            if record.kind is InstanceKind.ENTRY and record.state is InstanceState.LIVE
        )

    def on_drain(self) -> None:
        """Mark this instance as leaving."""
        self._policy.leave()
        self._emit_changes()

    async def drain(self, deadline: float) -> None:
        """Announce that this instance is leaving, and give peers time to receive it."""
        if self.kernel.settings.instance.control:
            self._send_urgent()
            clock = self.kernel.clock
            await clock.sleep_until(min(deadline, clock.now() + INTERVAL_S))

    async def _run(self) -> None:
        clock = self.kernel.clock
        while True:
            now = clock.now()
            self._policy.set_links(self._peers.connected_peers())
            self._update_own(now)
            self._policy.tick(now)
            self._peers.set_targets(self._policy.targets(now))
            self._send_urgent()
            self._emit_changes()
            await clock.sleep_until(clock.now() + INTERVAL_S)

    def _send_urgent(self) -> None:
        for peer_id in sorted(self._peers.connected_peers()):
            if self._policy.has_urgent(peer_id):
                message = self._policy.message(peer_id, walk=False)
                self._peers.send(peer_id, {"type": "update", **message})

    def _message(self, peer_id: str) -> Message:
        self._update_own(self.kernel.clock.now())
        return self._policy.message(peer_id)

    async def _on_ping(self, peer_id: str, message: Message) -> Message:
        self._receive(peer_id, message)
        return self._message(peer_id)

    async def _on_gossip(self, peer_id: str, message: Message) -> None:
        self._receive(peer_id, message)

    def _receive(self, peer_id: str, message: Message) -> None:
        self._policy.receive(peer_id, message, self.kernel.clock.now())

    def _update_own(self, now: float) -> None:
        self._policy.update_own(self.kernel.config.version, self.load(), now)

    def _emit_changes(self) -> None:
        if self._policy.changes != self._emitted_changes:
            self._emitted_changes = self._policy.changes
            view = self._policy.view()
            metrics.MEMBERS.set(len(view.members))
            self.kernel.emit("membership", view)

    def _new_policy(self) -> Membership:
        own, clock = self.kernel.settings.instance, self.kernel.clock
        options = self.kernel.config.defaults()
        identity = Identity(
            own.id,
            self.kernel.incarnation,
            int(clock.wall()),
            own.data_centre,
            own.peer_listen,
        )
        interval, links = options.heartbeat_interval, options.peer_links
        return Membership(identity, interval, links, clock.now())
