"""What each message of a peer leads to."""

from sequoiahook.decisions.membership.agreement import Agreement
from sequoiahook.decisions.membership.presence import Presence
from sequoiahook.decisions.membership.tracker import Tracker
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

__all__ = ["Inbox"]


class Inbox:
    """Hands messages to the part that they concern.

    Args:
        presence: The peers.
        tracker: The picture of the fleet.
        agreement: The view and its keepers.
    """

    def __init__(self, presence: Presence, tracker: Tracker, agreement: Agreement):
        self._presence = presence
        self._tracker = tracker
        self._agreement = agreement
        self._handlers = {
            Announce: self._on_announce,
            Heartbeat: self._on_heartbeat,
            Introduction: self._on_introduction,
            Leaving: self._on_leaving,
            RosterChange: tracker.changed,
            RosterRequest: tracker.requested,
            RosterSnapshot: tracker.received,
            ViewAnswer: agreement.answered,
            ViewRequest: agreement.requested,
        }

    def receive(self, envelope: Envelope, now: int) -> list:
        """Take in a message; one that is not about membership has no effect.

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
            return [self._presence.ask_announce(envelope.source)]
        beat = envelope.body
        instance, since, state = peer.instance, peer.heard_since, peer.state
        if not self._presence.peers.receive(peer, envelope.incarnation, beat, now):
            return []
        effects: list = []
        is_other = peer.instance != instance
        if not peer.is_announced:
            effects.append(self._presence.ask_announce(envelope.source))
        if is_other or since is None or peer.state != state:
            self._tracker.heard(peer, is_other or since is None)
        effects += self._tracker.compare(envelope.source, beat.roster)
        if self._presence.is_own(peer):
            effects += self._agreement.compare(peer, now)
        return effects

    def _on_announce(self, envelope: Envelope, now: int) -> list:
        data_centre = envelope.body.member.instance.data_centre
        known = self._tracker.fleet.members_by_data_centre.get(data_centre, {})
        effects = self._presence.announced(envelope, known.values(), now)
        self._tracker.mark(self._presence.take_changed())
        return effects

    def _on_introduction(self, envelope: Envelope, now: int) -> list:
        self._presence.introduced(envelope.body.members, now)
        self._tracker.mark(self._presence.take_changed())
        return []

    def _on_leaving(self, envelope: Envelope, now: int) -> list:
        name, incarnation = envelope.source, envelope.incarnation
        state = envelope.body.state
        self._tracker.fleet.note_state(name, incarnation, state)
        peer = self._presence.peer(name)
        if peer is not None and peer.instance.incarnation == incarnation:
            peer.note_state(state)
            self._tracker.heard(peer, False)
        data_centre = self._tracker.fleet.data_centre_of(name)
        if data_centre is not None:
            self._tracker.mark_urgent(data_centre)
        return []
