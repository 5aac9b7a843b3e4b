"""Dispatch of the messages of peers."""

from sequoiahook.decisions.membership.agreement import ViewAgreement
from sequoiahook.decisions.membership.presence import Presence
from sequoiahook.decisions.membership.tracker import FleetTracker
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import (
    Announce,
    Heartbeat,
    Introduction,
    Leaving,
    RosterChange,
    RosterRequest,
    RosterSnapshot,
    ViewAnswer,
    ViewRequest,
)

__all__ = ["MessageDispatcher"]


class MessageDispatcher:
    """Dispatches each message to its handler.

    Args:
        presence: Peers of this instance.
        tracker: Members of all data centres, and links.
        agreement: View in force and its leaders.
    """

    def __init__(
        self, presence: Presence, tracker: FleetTracker, agreement: ViewAgreement
    ):
        self._presence = presence
        self._tracker = tracker
        self._agreement = agreement
        self._handlers = {
            Announce: self._on_announce,
            Heartbeat: self._on_heartbeat,
            Introduction: self._on_introduction,
            Leaving: self._on_leaving,
            RosterChange: tracker.on_roster_change,
            RosterRequest: tracker.on_roster_request,
            RosterSnapshot: tracker.on_roster_snapshot,
            ViewAnswer: agreement.on_view_answer,
            ViewRequest: agreement.on_view_request,
        }

    def receive(self, envelope: Envelope, now: int) -> list:
        """Process a message; one that is not about membership has no effect.

        Args:
            envelope: The message with its source.
            now: The time in milliseconds.

        Returns:
            Effects.
        """
        handler = self._handlers.get(type(envelope.body))
        if handler is None or not self._presence.accepts(envelope):
            return []
        return handler(envelope, now)

    def _on_heartbeat(self, envelope: Envelope, now: int) -> list:
        peer = self._presence.peer(envelope.source)
        if peer is None:
            return [self._presence.announce_request(envelope.source)]
        heartbeat = envelope.body
        instance, since, state = peer.instance, peer.heard_since, peer.state
        if not self._presence.peer_table.receive(
            peer, envelope.incarnation, heartbeat, now
        ):
            return []
        effects: list = []
        is_replaced = peer.instance != instance
        if not peer.is_announced:
            effects.append(self._presence.announce_request(envelope.source))
        if is_replaced or since is None or peer.state != state:
            self._tracker.on_peer_change(peer, is_replaced or since is None)
        effects += self._tracker.request_newer_rosters(
            envelope.source, heartbeat.roster
        )
        if self._presence.is_local(peer):
            effects += self._agreement.on_peer_heartbeat(peer, now)
        return effects

    def _on_announce(self, envelope: Envelope, now: int) -> list:
        data_centre = envelope.body.member.instance.data_centre
        known = self._tracker.fleet.members_by_data_centre.get(data_centre, {})
        effects = self._presence.on_announce(envelope, known.values(), now)
        self._tracker.mark_stale(self._presence.pop_changed())
        return effects

    def _on_introduction(self, envelope: Envelope, now: int) -> list:
        self._presence.on_introduction(envelope.body.members, now)
        self._tracker.mark_stale(self._presence.pop_changed())
        return []

    def _on_leaving(self, envelope: Envelope, now: int) -> list:
        name, incarnation = envelope.source, envelope.incarnation
        state = envelope.body.state
        self._tracker.fleet.record_state(name, incarnation, state)
        peer = self._presence.peer(name)
        if peer is not None and peer.instance.incarnation == incarnation:
            peer.advance_state(state)
            self._tracker.on_peer_change(peer, False)
        data_centre = self._tracker.fleet.data_centre_of(name)
        if data_centre is not None:
            self._tracker.mark_urgent(data_centre)
        return []
