"""Updates of the members of all data centres, the links and the routes."""

from collections.abc import Iterable

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.membership.effects import (
    LinksChanged,
    LiveChanged,
    PeerDown,
    PeerUp,
)
from sequoiahook.decisions.membership.fleet import Fleet
from sequoiahook.decisions.membership.link_selector import LinkSelector
from sequoiahook.decisions.membership.peers import Peer
from sequoiahook.decisions.membership.presence import Presence
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.rendezvous import winner
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import (
    LIVE,
    RosterChange,
    RosterRequest,
)
from sequoiahook.world.instance import Instance

__all__ = ["FleetTracker"]

REFRESH_MS = 200
"""Shortest time between two refreshes that are not urgent, in milliseconds."""


class FleetTracker:
    """Live lists, links and routes, derived from peers and rosters.

    Args:
        settings: Membership settings.
        me: This instance.
        presence: Peers of this instance.

    Attributes:
        fleet: Members of all data centres.
        link_selector: Selection of the links to other data centres.
    """

    def __init__(self, settings: MembershipSettings, me: Instance, presence: Presence):
        self.fleet = Fleet(me)
        self.link_selector = LinkSelector(settings, me, self.fleet)
        self._settings = settings
        self._me = me
        self._presence = presence
        self._stale_data_centres: set[str] = {me.data_centre}
        self._is_urgent = True
        self._refresh_at = 0
        self._reported_links: frozenset[str] = frozenset()
        self._incarnations_by_data_centre: dict[str, dict[str, int]] = {}
        self._live_by_data_centre: dict[str, dict[str, Instance]] = {}

    def mark_stale(self, data_centres: Iterable[str]) -> None:
        """Schedule a refresh of data centres whose members may have changed."""
        self._stale_data_centres.update(data_centres)

    def on_peer_change(self, peer: Peer, is_restarted: bool) -> None:
        """Update the fleet after a change of a peer.

        Args:
            peer: The peer.
            is_restarted: Whether its heartbeats have just started or resumed, or come
                from another incarnation.
        """
        if is_restarted:
            self.drop_reports(peer)
            self.fleet.follow(peer.instance)
        instance = peer.instance
        self.fleet.record_state(instance.name, instance.incarnation, peer.state)
        self.mark_stale([peer.instance.data_centre])
        self._is_urgent |= peer.state != LIVE

    def drop_reports(self, peer: Peer) -> None:
        """Discard the rosters of a peer."""
        self.mark_stale(self.fleet.unfollow(peer.instance.name))
        self.mark_stale([peer.instance.data_centre])

    def roster_version_for(self, peer: Peer) -> int:
        """Return the version of the rosters reported to a peer."""
        return self._reporter(peer).version

    def request_newer_rosters(self, name: str, version: int) -> list:
        """Return a request if a peer's rosters are newer than those held of it.

        Args:
            name: Name of the peer.
            version: Version of its rosters.
        """
        held = self.fleet.held_version(name)
        return [Send(name, RosterRequest(held))] if version > held else []

    def on_roster_change(self, envelope: Envelope, now: int) -> list:
        """Apply a change of a peer's rosters.

        If an earlier change is missing, the next heartbeat leads to a request.
        """
        change = envelope.body
        if self.fleet.apply_change(envelope.source, change):
            self.mark_stale([change.data_centre])
            self._is_urgent |= any(state != LIVE for _, state in change.changed)
        return []

    def on_roster_request(self, envelope: Envelope, now: int) -> list:
        """Return all rosters for the peer that requested them."""
        peer = self._presence.peer(envelope.source)
        return [Send(envelope.source, self._reporter(peer).snapshot())]

    def on_roster_snapshot(self, envelope: Envelope, now: int) -> list:
        """Apply a snapshot of a peer's rosters."""
        self.mark_stale(self.fleet.apply_snapshot(envelope.source, envelope.body))
        return []

    def drop_unresponsive(self, now: int) -> None:
        """Discard the rosters of unresponsive peers, and replace their links."""
        for peer in self._presence.peer_table.mark_suspects(now):
            self.drop_reports(peer)
        for name in sorted(self.link_selector.desired_peers):
            peer = self._presence.peer(name)
            if peer is not None and now - peer.heard_at > self._settings.suspect_ms:
                self.link_selector.avoid(name, now)
                self._presence.peer_table.forget([name])
                self.drop_reports(peer)
        self.mark_stale(self.link_selector.expire(now))

    def mark_urgent(self, data_centre: str) -> None:
        """Schedule an immediate refresh of a data centre."""
        self.mark_stale([data_centre])
        self._is_urgent = True

    def next_refresh(self) -> int | None:
        """Return the time of the next refresh; None if nothing has changed."""
        return self._refresh_at if self._stale_data_centres else None

    def refresh(self, now: int) -> list:
        """Recompute stale data centres and links if that is urgent or due.

        Returns:
            Roster changes to send to peers, and effects for the caller.
        """
        if not self._stale_data_centres or not (
            self._is_urgent or now >= self._refresh_at
        ):
            return []
        stale, self._stale_data_centres = self._stale_data_centres, set()
        self._is_urgent = False
        self._refresh_at = now + REFRESH_MS
        local = self._me.data_centre
        effects: list = []
        if local in stale:
            peers = self._presence.local_peers()
            change = self.fleet.refresh_local(self._presence.state, peers)
            effects += self._broadcast(change, is_local=False)
        for data_centre in sorted(stale - {local}):
            change = self.fleet.refresh_remote(data_centre)
            effects += self._broadcast(change, is_local=True)
        others = self.fleet.members_by_data_centre if local in stale else stale
        self._refresh_links(set(others) - {local}, now)
        for data_centre in sorted(stale):
            effects += self._report_live(data_centre)
            effects += self._report_peers(data_centre)
        return effects + self._report_links()

    def desired_links(self) -> frozenset[str]:
        """Return the names of all instances that this one should hold a link to."""
        local_names = {peer.instance.name for peer in self._presence.local_peers()}
        return self.link_selector.desired_peers | local_names | self._seeds_to_link()

    def next_hop(self, destination: str, arrived_from: str | None) -> str | None:
        """Return the next hop of a message to an instance; None without a route."""
        data_centre = self.fleet.data_centre_of(destination)
        desired = self.desired_links()
        if destination in desired:
            return destination
        if data_centre is None or data_centre == self._me.data_centre:
            return None
        linked = self._presence.linked_peers(data_centre)
        direct = [name for name in linked if name in desired]
        if direct:
            return winner(destination, direct)
        if arrived_from is not None:
            return None
        return winner(destination, self.fleet.link_holders(data_centre))

    def _seeds_to_link(self) -> frozenset[str]:
        if not self._presence.is_isolated():
            return frozenset()
        names = frozenset(seed.name for seed in self._settings.seeds)
        return names - {self._me.name}

    def _reporter(self, peer: Peer):
        is_local = self._presence.is_local(peer)
        return (
            self.fleet.local_peer_reporter
            if is_local
            else self.fleet.remote_peer_reporter
        )

    def _refresh_links(self, data_centres: Iterable[str], now: int) -> None:
        for data_centre in sorted(data_centres):
            self.link_selector.refresh(data_centre, now)
            members = self.fleet.members_by_data_centre.get(data_centre, {})
            for name in sorted(
                self.link_selector.desired_peers_by_data_centre[data_centre]
            ):
                self._presence.learn(members[name].instance, False, now)

    def _broadcast(self, change: RosterChange | None, is_local: bool) -> list:
        if change is None:
            return []
        return [
            Send(name, change)
            for name, peer in self._presence.peer_table.peers_by_name.items()
            if self._presence.is_local(peer) == is_local
            and peer.heard_since is not None
        ]

    def _report_live(self, data_centre: str) -> list:
        live = self.fleet.live(data_centre)
        if live == self._live_by_data_centre.get(data_centre, {}):
            return []
        self._live_by_data_centre[data_centre] = live
        return [LiveChanged(data_centre)]

    def _report_peers(self, data_centre: str) -> list:
        members = self.fleet.members_by_data_centre.get(data_centre, {})
        incarnations_by_name = {
            name: member.instance.incarnation
            for name, member in members.items()
            if name != self._me.name
        }
        before = self._incarnations_by_data_centre.get(data_centre, {})
        self._incarnations_by_data_centre[data_centre] = incarnations_by_name
        down = set(before.items()) - set(incarnations_by_name.items())
        up = set(incarnations_by_name.items()) - set(before.items())
        effects: list = [PeerDown(*item) for item in sorted(down)]
        return effects + [PeerUp(*item) for item in sorted(up)]

    def _report_links(self) -> list:
        links = self.desired_links()
        if links == self._reported_links:
            return []
        self._reported_links = links
        return [LinksChanged(links)]
