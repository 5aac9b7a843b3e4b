"""Heartbeats, announcements and departures of peers."""

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
    """Presence of this instance and of those that it exchanges heartbeats with.

    Args:
        settings: Membership settings.
        me: This instance.
        rng: Source of the first probe number.

    Attributes:
        state: State of this instance, one of STATES.
        peer_table: Peers with their heartbeats.
    """

    def __init__(self, settings: MembershipSettings, me: Instance, rng: random.Random):
        self.state = LIVE
        self.peer_table = PeerTable(settings.suspect_ms, rng)
        self._settings = settings
        self._me = me
        self._changed_data_centres: set[str] = set()

    def pop_changed(self) -> set[str]:
        """Return data centres with peers added or forgotten since the last call."""
        changed, self._changed_data_centres = self._changed_data_centres, set()
        return changed

    def peer(self, name: str) -> Peer | None:
        """Return a peer; None if it is unknown."""
        return self.peer_table.peers_by_name.get(name)

    def local_peers(self) -> list[Peer]:
        """Return the peers in this data centre."""
        return [
            peer
            for peer in self.peer_table.peers_by_name.values()
            if self.is_local(peer)
        ]

    def linked_peers(self, data_centre: str) -> list[str]:
        """Return the names of responsive peers in another data centre."""
        return [
            name
            for name, peer in self.peer_table.peers_by_name.items()
            if peer.instance.data_centre == data_centre and peer.heard_since is not None
        ]

    def is_local(self, peer: Peer) -> bool:
        """Return whether a peer is in this data centre."""
        return peer.instance.data_centre == self._me.data_centre

    def is_isolated(self) -> bool:
        """Return whether no peer in this data centre is responsive."""
        return not any(peer.heard_since is not None for peer in self.local_peers())

    def learn(self, instance: Instance, is_direct: bool, now: int) -> bool:
        """Add or update the peer of an instance.

        Args:
            instance: The instance.
            is_direct: Whether the instance itself is the source.
            now: The time in milliseconds.

        Returns:
            Whether the peer's instance has changed.
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
        """Return whether a message is to be processed.

        Only a Heartbeat, Announce or Leaving may come from another incarnation than the
        one that is followed.
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
        """Add the announced instance, and forward the announcement if it is new.

        Args:
            envelope: The announcement.
            known: Known members of the announced instance's data centre.
            now: The time in milliseconds.

        Returns:
            The answer, if one is wanted, and the forwarded announcements.
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
        """Add the introduced instances of this data centre as possible peers."""
        for instance, _ in members:
            is_local = instance.data_centre == self._me.data_centre
            if is_local and instance.name != self._me.name:
                self.learn(instance, False, now)

    def start_round(
        self, view_number: int, roster_version_for: Callable[[Peer], int], now: int
    ) -> list:
        """Return a heartbeat for each peer.

        Args:
            view_number: Number of the view that this instance holds.
            roster_version_for: Returns the version of the rosters reported to a peer.
            now: The time in milliseconds.
        """
        probe = self.peer_table.start_round(now)
        return [
            Send(
                name,
                Heartbeat(
                    probe, peer.probe, view_number, self.state, roster_version_for(peer)
                ),
            )
            for name, peer in self.peer_table.peers_by_name.items()
        ]

    def change_state(self, state: str) -> list:
        """Advance to a later state, and return its announcements to the peers."""
        self.state = later_state(self.state, state)
        return [
            Send(name, Leaving(self.state)) for name in self.peer_table.peers_by_name
        ]

    def forget_unresponsive(
        self,
        retained_local: Collection[str],
        retained_remote: Collection[str],
        now: int,
    ) -> None:
        """Forget unresponsive peers unless they are to be retained.

        Args:
            retained_local: Names of peers in this data centre to retain.
            retained_remote: Names of peers in other data centres to retain.
            now: The time in milliseconds.
        """
        settings = self._settings
        forgotten = []
        for name, peer in self.peer_table.peers_by_name.items():
            is_local = self.is_local(peer)
            wait_ms = settings.forget_after_ms if is_local else settings.suspect_ms
            is_retained = name in (retained_local if is_local else retained_remote)
            if not is_retained and now - peer.heard_at > wait_ms:
                forgotten.append(name)
                self._changed_data_centres.add(peer.instance.data_centre)
        self.peer_table.forget(forgotten)
