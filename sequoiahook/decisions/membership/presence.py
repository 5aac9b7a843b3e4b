"""Presence: heartbeats, announcements and departures of peers."""

import random
from collections.abc import Callable, Collection, Iterable

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.membership.peers import Peer, PeerTable, later_state
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import (
    LIVE,
    Announce,
    Heartbeat,
    Introduction,
    Leaving,
    Member,
)
from sequoiahook.world.instance import Instance

__all__ = ["Presence"]


class Presence:
    """The instances that this one exchanges heartbeats with.

    Args:
        settings: Settings of membership.
        me: This instance.
        rng: Source of the first probe number.

    Attributes:
        state: This instance's state.
        peers: The table of peers.
    """

    def __init__(self, settings: MembershipSettings, me: Instance, rng: random.Random):
        self.state = LIVE
        self.peer_table = PeerTable(settings.suspect_ms, rng)
        self._settings = settings
        self._me = me
        self._changed_data_centres: set[str] = set()

    def pop_changed(self) -> set[str]:
        """Return data centres of which peers were learnt or forgotten since."""
        changed, self._changed_data_centres = self._changed_data_centres, set()
        return changed

    def peer(self, name: str) -> Peer | None:
        """Return a peer; None if it is not known."""
        return self.peer_table.peers_by_name.get(name)

    def local_peers(self) -> list[Peer]:
        """Return the peers of the own data centre."""
        return [
            peer
            for peer in self.peer_table.peers_by_name.values()
            if self.is_local(peer)
        ]

    def linked_peers(self, data_centre: str) -> list[str]:
        """Return the names of peers of another data centre that are heard."""
        return [
            name
            for name, peer in self.peer_table.peers_by_name.items()
            if peer.instance.data_centre == data_centre and peer.heard_since is not None
        ]

    def is_local(self, peer: Peer) -> bool:
        """Return whether a peer stands in the own data centre."""
        return peer.instance.data_centre == self._me.data_centre

    def is_isolated(self) -> bool:
        """Return whether no peer of the own data centre is heard."""
        return not any(peer.heard_since is not None for peer in self.local_peers())

    def learn(self, instance: Instance, is_direct: bool, now: int) -> bool:
        """Note an instance; return whether that changed anything.

        Args:
            instance: The instance.
            is_direct: Whether the instance itself says so.
            now: The time in milliseconds.
        """
        known = self.peer(instance.name)
        before = None if known is None else known.instance
        peer = self.peer_table.learn(instance, now)
        if is_direct and peer.instance.incarnation == instance.incarnation:
            peer.instance = instance
            peer.is_announced = True
        if peer.instance == before:
            return False
        self._changed_data_centres.add(instance.data_centre)
        return True

    def accepts(self, envelope: Envelope) -> bool:
        """Return whether a message is to be taken in.

        All but those that can tell of another incarnation must come from the one that
        is followed.
        """
        if isinstance(envelope.body, Heartbeat | Announce | Leaving):
            return True
        peer = self.peer(envelope.source)
        return peer is not None and peer.instance.incarnation == envelope.incarnation

    def announce_request(self, name: str) -> Send:
        """Return a request to an instance to announce itself."""
        return Send(name, Announce(Member(self._me, self.state), True))

    def on_announce(
        self, envelope: Envelope, known: Iterable[Member], now: int
    ) -> list:
        """Take in an announcement.

        Args:
            envelope: The announcement.
            known: Members of the announced instance's data centre.
            now: The time in milliseconds.
        """
        member, wants_answer = envelope.body
        instance = member.instance
        if instance.name == self._me.name:
            return []
        is_direct = instance.name == envelope.source
        is_new = self.learn(instance, is_direct, now)
        effects: list = []
        if is_direct and wants_answer:
            answer = Announce(Member(self._me, self.state), False)
            effects.append(Send(instance.name, answer))
            effects.append(Send(instance.name, Introduction(tuple(known))))
        if is_new and instance.data_centre == self._me.data_centre:
            effects += self._forward_announce(member, envelope.source)
        return effects

    def _forward_announce(self, member: Member, source: str) -> list:
        return [
            Send(peer.instance.name, Announce(member, False))
            for peer in self.local_peers()
            if peer.instance.name not in (member.instance.name, source)
        ]

    def on_introduction(self, members: Iterable[Member], now: int) -> None:
        """Note candidates for peers of the own data centre."""
        for instance, _ in members:
            is_local = instance.data_centre == self._me.data_centre
            if is_local and instance.name != self._me.name:
                self.learn(instance, False, now)

    def start_round(
        self, view: int, roster_version_for: Callable[[Peer], int], now: int
    ) -> list:
        """Return a heartbeat for each peer.

        Args:
            view: Number of the view that this instance holds.
            roster_version_for: Version of the rosters kept for a peer.
            now: The time in milliseconds.
        """
        probe = self.peer_table.start_round(now)
        return [
            Send(
                name,
                Heartbeat(
                    probe, peer.probe, view, self.state, roster_version_for(peer)
                ),
            )
            for name, peer in self.peer_table.peers_by_name.items()
        ]

    def change_state(self, state: str) -> list:
        """Go on to a later state and tell the peers."""
        self.state = later_state(self.state, state)
        return [
            Send(name, Leaving(self.state)) for name in self.peer_table.peers_by_name
        ]

    def forget_unresponsive(
        self, own: Collection[str], linked: Collection[str], now: int
    ) -> None:
        """Forget peers that are silent and that nothing else speaks for.

        Args:
            own: Names of the own data centre that stay however silent.
            linked: Names of other data centres that stay.
            now: The time in milliseconds.
        """
        settings = self._settings
        gone = []
        for name, peer in self.peer_table.peers_by_name.items():
            is_local = self.is_local(peer)
            wait_ms = settings.forget_after_ms if is_local else settings.suspect_ms
            is_retained = name in (own if is_local else linked)
            if not is_retained and now - peer.heard_at > wait_ms:
                gone.append(name)
                self._changed_data_centres.add(peer.instance.data_centre)
        self.peer_table.forget(gone)
