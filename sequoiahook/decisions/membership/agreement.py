"""View in force on this instance, with its proposer and its leaders."""

import random
from collections.abc import Callable, Collection

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.membership.effects import ViewChanged
from sequoiahook.decisions.membership.leaders import LeaderEligibility, leader_order
from sequoiahook.decisions.membership.peers import Peer
from sequoiahook.decisions.membership.presence import Presence
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.membership.views import ViewReplica, view_object
from sequoiahook.decisions.rendezvous import winner
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import LEFT, LIVE, ViewAnswer, ViewRequest
from sequoiahook.world.instance import Instance
from sequoiahook.world.view import DataCentreView

__all__ = ["ViewAgreement"]


class ViewAgreement:
    """Agreement on the instances that share the keys of this data centre.

    Args:
        settings: Membership settings.
        me: This instance.
        presence: Peers of this instance.
        rng: Source of jitter.
        now: Start of the process, in milliseconds.

    Attributes:
        object_name: Name of the platform object that stores the view.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        me: Instance,
        presence: Presence,
        rng: random.Random,
        now: int,
    ):
        self.object_name = view_object(me.data_centre)
        self._settings = settings
        self._me = me
        self._presence = presence
        self._started_at = now
        self._views = ViewReplica(settings, me.data_centre, rng, now)
        probe = presence.peer_table.probe
        self._eligibility = LeaderEligibility(me.name, settings.takeover_ms, probe, now)
        self._unknown_since_by_name: dict[str, int] = {}

    @property
    def view(self) -> DataCentreView:
        """View in force; its number is 0 until one is known."""
        return self._views.view

    def start_term(self, now: int) -> None:
        """Discard earlier confirmations, because this process did not run."""
        self._unknown_since_by_name = dict.fromkeys(self._unknown_since_by_name, now)
        self._eligibility.start_term(self._presence.peer_table.probe, now)

    def on_peer_heartbeat(self, peer: Peer, now: int) -> list:
        """Record the view that a peer confirms, and request it if it is newer."""
        name = peer.instance.name
        self._eligibility.record_confirmation(name, peer.view, peer.echo, now)
        if peer.view > self.view.number:
            return [Send(name, ViewRequest(self.view.number))]
        return []

    def on_view_request(self, envelope: Envelope, now: int) -> list:
        """Return the view in force if it is newer than the requester's."""
        if self.view.number <= envelope.body.held:
            return []
        return [Send(envelope.source, ViewAnswer(self.view))]

    def on_view_answer(self, envelope: Envelope, now: int) -> list:
        """Adopt a peer's view if it is newer."""
        return self._update_view(lambda: self._views.adopt(envelope.body.view), now)

    def tick(self, live: Collection[str], now: int) -> list:
        """Return platform calls that are due.

        Args:
            live: Names of the live instances of this data centre.
            now: The time in milliseconds.
        """
        is_proposer = self._is_proposer(live, now)
        desired_members = self._desired_members(now) if is_proposer else ()
        return self._views.tick(is_proposer, desired_members, now)

    def on_object_read(
        self, version: int, value: bytes | None, live: Collection[str], now: int
    ) -> list:
        """Adopt the view stored on the platform, and update it if it is outdated.

        Args:
            version: Version of the object; 0 if it does not exist.
            value: Value of the object; None if it does not exist.
            live: Names of the live instances of this data centre.
            now: The time in milliseconds.
        """
        is_proposer = self._is_proposer(live, now)
        calls: list = []

        def read_and_propose() -> None:
            stored_view = self._views.on_object_read(value, now)
            if is_proposer:
                desired_members = self._desired_members(now)
                calls.extend(
                    self._views.propose(stored_view, version, desired_members, now)
                )

        return self._update_view(read_and_propose, now) + calls

    def on_object_written(self, now: int) -> None:
        """Process the success of a conditional update."""
        self._views.on_object_written(now)

    def on_object_conflict(self, now: int) -> None:
        """Process the rejection of a conditional update for an old version."""
        self._views.on_object_conflict(now)

    def on_object_unavailable(self, now: int) -> None:
        """Process a failed call, whose update may have taken effect."""
        self._views.on_object_unavailable(now)

    def record_handover(self, name: str, now: int) -> None:
        """Record that a member has handed over all that this instance takes over."""
        self._eligibility.record_handover(name, now)

    def acting_leader(self, key: str, now: int) -> str | None:
        """Return the first present member in a key's order; None if all are absent."""
        for name in leader_order(key, self.view.instances):
            if not self._is_absent(name, now):
                return name
        return None

    def may_act(self, key: str, now: int) -> bool:
        """Return whether this instance may act as leader of a key."""
        if self._presence.state == LEFT:
            return False
        return self._eligibility.may_act(
            key, lambda name: self._is_absent(name, now), now
        )

    def _update_view(self, update: Callable[[], object], now: int) -> list:
        before = self.view
        absent = [name for name in before.instances if self._is_absent(name, now)]
        update()
        view = self.view
        if view == before:
            return []
        self._eligibility.change_view(view, absent)
        self._track_unknown(now)
        return [
            ViewChanged(view),
            *(
                Send(peer.instance.name, ViewAnswer(view))
                for peer in self._presence.local_peers()
                if peer.view < view.number
            ),
        ]

    def _track_unknown(self, now: int) -> None:
        before = self._unknown_since_by_name
        self._unknown_since_by_name = {
            name: before.get(name, now)
            for name in self._eligibility.possible_leaders
            if self._presence.peer(name) is None
        }

    def _since_heartbeat_ms(self, name: str, now: int) -> int:
        peer = self._presence.peer(name)
        if peer is not None:
            return now - peer.heard_at
        return now - self._unknown_since_by_name.setdefault(name, now)

    def _is_absent(self, name: str, now: int) -> bool:
        if name == self._me.name:
            return self._presence.state == LEFT
        takeover_ms = self._settings.takeover_ms
        peer = self._presence.peer(name)
        if peer is not None and peer.state == LEFT:
            # It hands over nothing that an earlier incarnation lent; that must lapse.
            return now - peer.followed_at >= takeover_ms
        return self._since_heartbeat_ms(name, now) >= takeover_ms

    def _is_proposer(self, live: Collection[str], now: int) -> bool:
        if not self._is_past_join_delay(self._started_at, now):
            return False
        return winner(self.object_name, live) == self._me.name

    def _desired_members(self, now: int) -> set[str]:
        member_names = {
            name for name in self.view.instances if self._is_retained(name, now)
        }
        if self._presence.state != LEFT:
            member_names.add(self._me.name)
        member_names.update(
            peer.instance.name
            for peer in self._presence.local_peers()
            if peer.state == LIVE and self._is_past_join_delay(peer.heard_since, now)
        )
        return member_names

    def _is_retained(self, name: str, now: int) -> bool:
        if name == self._me.name:
            return self._presence.state != LEFT
        peer = self._presence.peer(name)
        if peer is not None and peer.state == LEFT:
            return False
        return self._since_heartbeat_ms(name, now) < self._settings.remove_after_ms

    def _is_past_join_delay(self, since: int | None, now: int) -> bool:
        return since is not None and now - since >= self._settings.join_after_ms
