"""Keeping the picture of the fleet and the links up to date."""

from collections.abc import Iterable

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.membership.effects import (
    LinksChanged,
    LiveChanged,
    PeerDown,
    PeerUp,
)
from sequoiahook.decisions.membership.fleet import Fleet
from sequoiahook.decisions.membership.linking import Linking
from sequoiahook.decisions.membership.peers import Peer
from sequoiahook.decisions.membership.presence import Presence
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.rendezvous import winner
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import (
    LEFT,
    LIVE,
    RosterChange,
    RosterRequest,
)
from sequoiahook.world.instance import Instance

__all__ = ["Tracker"]

REFRESH_MS = 200
"""Shortest time between two refreshes that are not urgent, in milliseconds."""


class Tracker:
    """What follows from presence and rosters: live lists, links and routes.

    Args:
        settings: Settings of membership.
        me: This instance.
        presence: The peers.

    Attributes:
        fleet: Who is there in every data centre.
        linking: Links to other data centres.
    """

    def __init__(self, settings: MembershipSettings, me: Instance, presence: Presence):
        self.fleet = Fleet(me)
        self.linking = Linking(settings, me, self.fleet)
        self._settings = settings
        self._me = me
        self._presence = presence
        self._stale: set[str] = {me.data_centre}
        self._is_urgent = True
        self._refresh_at = 0
        self._links: frozenset[str] = frozenset()
        self._up_by_data_centre: dict[str, dict[str, int]] = {}
        self._live_by_data_centre: dict[str, dict[str, Instance]] = {}

    def mark(self, data_centres: Iterable[str]) -> None:
        """Note that the members of data centres may have changed."""
        self._stale.update(data_centres)

    def heard(self, peer: Peer, is_restarted: bool) -> None:
        """Note that a peer's state changed.

        Args:
            peer: The peer.
            is_restarted: Whether it is heard anew or is another incarnation.
        """
        if is_restarted:
            self.drop(peer)
            self.fleet.follow(peer.instance)
        instance = peer.instance
        self.fleet.note_state(instance.name, instance.incarnation, peer.state)
        self.mark([peer.instance.data_centre])
        self._is_urgent |= peer.state != LIVE

    def drop(self, peer: Peer) -> None:
        """Stop to use what a peer reported."""
        self.mark(self.fleet.unfollow(peer.instance.name))
        self.mark([peer.instance.data_centre])

    def version_for(self, peer: Peer) -> int:
        """Return the version of the rosters that are kept for a peer."""
        return self._reporter(peer).version

    def compare(self, name: str, version: int) -> list:
        """Return a request if a peer has newer rosters than those held."""
        held = self.fleet.held_version(name)
        return [Send(name, RosterRequest(held))] if version > held else []

    def changed(self, envelope: Envelope, now: int) -> list:
        """Take in a change of a peer's rosters.

        If one before it is missing, the next heartbeat leads to a request.
        """
        change = envelope.body
        if self.fleet.apply_change(envelope.source, change):
            self.mark([change.data_centre])
            self._is_urgent |= any(state != LIVE for _, state in change.changed)
        return []

    def requested(self, envelope: Envelope, now: int) -> list:
        """Answer a request for rosters."""
        peer = self._presence.peer(envelope.source)
        return [Send(envelope.source, self._reporter(peer).snapshot())]

    def received(self, envelope: Envelope, now: int) -> list:
        """Take in all rosters of a peer."""
        self.mark(self.fleet.apply_snapshot(envelope.source, envelope.body))
        return []

    def watch(self, now: int) -> None:
        """Turn away from peers that have become silent."""
        for peer in self._presence.peers.suspects(now):
            self.drop(peer)
        for name in sorted(self.linking.wanted):
            peer = self._presence.peer(name)
            if peer is not None and now - peer.heard_at > self._settings.suspect_ms:
                self.linking.avoid(name, now)
                self._presence.peers.forget([name])
                self.drop(peer)
        self.mark(self.linking.expire(now))

    def mark_urgent(self, data_centre: str) -> None:
        """Note that the members of a data centre must be worked out at once."""
        self.mark([data_centre])
        self._is_urgent = True

    def next_refresh(self) -> int | None:
        """Return when a refresh is due; None if nothing may have changed."""
        return self._refresh_at if self._stale else None

    def refresh(self, now: int) -> list:
        """Work out again what may have changed, if it is urgent or due.

        Returns:
            Changes for the peers, and effects for the embedder.
        """
        if not self._stale or not (self._is_urgent or now >= self._refresh_at):
            return []
        stale, self._stale = self._stale, set()
        self._is_urgent = False
        self._refresh_at = now + REFRESH_MS
        own = self._me.data_centre
        effects: list = []
        if own in stale:
            peers = self._presence.own_peers()
            change = self.fleet.refresh_own(self._presence.state, peers)
            effects += self._broadcast(change, is_own=False)
        for data_centre in sorted(stale - {own}):
            change = self.fleet.refresh_other(data_centre)
            effects += self._broadcast(change, is_own=True)
        others = self.fleet.members_by_data_centre if own in stale else stale
        self._link(set(others) - {own}, now)
        for data_centre in sorted(stale):
            effects += self._report_live(data_centre)
            effects += self._report_peers(data_centre)
        return effects + self._report_links()

    def links_wanted(self) -> frozenset[str]:
        """Return the names of all instances to hold a link to."""
        own = {peer.instance.name for peer in self._presence.own_peers()}
        return self.linking.wanted | own | self._seeds_wanted()

    def next_hop(self, destination: str, arrived_from: str | None) -> str | None:
        """Return whom to send a message for an instance to; None for no way."""
        data_centre = self.fleet.data_centre_of(destination)
        wanted = self.links_wanted()
        if destination in wanted:
            return destination
        if data_centre is None or data_centre == self._me.data_centre:
            return None
        linked = self._presence.linked_peers(data_centre)
        direct = [name for name in linked if name in wanted]
        if direct:
            return winner(destination, direct)
        if arrived_from is not None:
            return None
        return winner(destination, self.fleet.ends(data_centre))

    def _seeds_wanted(self) -> frozenset[str]:
        if not self._presence.is_alone():
            return frozenset()
        names = frozenset(seed.name for seed in self._settings.seeds)
        return names - {self._me.name}

    def _reporter(self, peer: Peer):
        is_own = self._presence.is_own(peer)
        return self.fleet.for_mesh if is_own else self.fleet.for_links

    def _link(self, data_centres: Iterable[str], now: int) -> None:
        for data_centre in sorted(data_centres):
            self.linking.refresh(data_centre, now)
            members = self.fleet.members_by_data_centre.get(data_centre, {})
            for name in sorted(self.linking.wanted_by_data_centre[data_centre]):
                self._presence.learn(members[name].instance, False, now)

    def _broadcast(self, change: RosterChange | None, is_own: bool) -> list:
        if change is None:
            return []
        return [
            Send(name, change)
            for name, peer in self._presence.peers.peers_by_name.items()
            if self._presence.is_own(peer) == is_own and peer.heard_since is not None
        ]

    def _report_live(self, data_centre: str) -> list:
        live = self.fleet.live(data_centre)
        if live == self._live_by_data_centre.get(data_centre, {}):
            return []
        self._live_by_data_centre[data_centre] = live
        return [LiveChanged(data_centre)]

    def _report_peers(self, data_centre: str) -> list:
        members = self.fleet.members_by_data_centre.get(data_centre, {})
        up_by_name = {
            name: member.instance.incarnation
            for name, member in members.items()
            if name != self._me.name and member.state != LEFT
        }
        before = self._up_by_data_centre.get(data_centre, {})
        self._up_by_data_centre[data_centre] = up_by_name
        down = set(before.items()) - set(up_by_name.items())
        up = set(up_by_name.items()) - set(before.items())
        effects: list = [PeerDown(*item) for item in sorted(down)]
        return effects + [PeerUp(*item) for item in sorted(up)]

    def _report_links(self) -> list:
        links = self.links_wanted()
        if links == self._links:
            return []
        self._links = links
        return [LinksChanged(links)]
