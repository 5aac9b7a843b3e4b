"""Facade over the peers, view, links and leaders that one instance knows."""

import random
from collections.abc import Iterable

from sequoiahook.decisions.membership.agreement import ViewAgreement
from sequoiahook.decisions.membership.dispatcher import MessageDispatcher
from sequoiahook.decisions.membership.effects import Paused
from sequoiahook.decisions.membership.leaders import leader_order
from sequoiahook.decisions.membership.presence import Presence
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.membership.tracker import FleetTracker
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import LEAVING, LEFT, LIVE, Member
from sequoiahook.world.instance import Instance
from sequoiahook.world.view import DataCentreView

__all__ = ["Membership"]


class Membership:
    """Members of all data centres, as known to one instance.

    Each method that takes the time and returns a list returns effects: Send,
    ReadObject, WriteObject, ViewChanged, PeerUp, PeerDown, LiveChanged, LinksChanged
    and Paused. A message can be delivered only if either end holds a link to the other.

    Args:
        settings: Membership settings.
        me: This instance.
        rng: Source of jitter and of the first probe number.
        now: Start of the process, in milliseconds.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        me: Instance,
        rng: random.Random,
        now: int = 0,
    ):
        self._settings = settings
        self._me = me
        self._presence = Presence(settings, me, rng)
        self._tracker = FleetTracker(settings, me, self._presence)
        self._agreement = ViewAgreement(settings, me, self._presence, rng, now)
        self._last_call_at = now
        self._next_round_at = now
        self._platform_names: frozenset[str] = frozenset()
        self._dispatcher = MessageDispatcher(
            self._presence, self._tracker, self._agreement
        )
        self._learn_instances([Member(seed, LIVE) for seed in settings.seeds], now)

    @property
    def view(self) -> DataCentreView:
        """View in force; its number is 0 until one is known."""
        return self._agreement.view

    @property
    def takeover_ms(self) -> int:
        """Time without heartbeats after which the next in order replaces a leader."""
        return self._settings.takeover_ms

    @property
    def lease_longest_ms(self) -> int:
        """Longest time for which an instance acts without reading its clock."""
        return self._settings.lease_longest_ms

    @property
    def state(self) -> str:
        """State of this instance, one of STATES."""
        return self._presence.state

    def receive(self, envelope: Envelope, now: int) -> list:
        """Process a message from a peer.

        Args:
            envelope: The message with its source.
            now: The time in milliseconds.

        Returns:
            Effects.
        """
        effects = self._detect_pause(now)
        if envelope.source != self._me.name:
            effects += self._dispatcher.receive(envelope, now)
        return effects + self._tracker.refresh(now)

    def tick(self, now: int) -> list:
        """Run due work; must be called at least once per heartbeat interval.

        Args:
            now: The time in milliseconds.

        Returns:
            Effects.
        """
        effects = self._detect_pause(now)
        self._tracker.drop_unresponsive(now)
        effects += self._tracker.refresh(now)
        if now >= self._next_round_at:
            effects += self._start_round(now)
        return effects

    def next_wake(self, now: int) -> int:
        """Return the time of the next tick, in milliseconds."""
        refresh_at = self._tracker.next_refresh()
        wake = (
            self._next_round_at
            if refresh_at is None
            else min(self._next_round_at, refresh_at)
        )
        return max(now, wake)

    def on_platform_list(self, entries: Iterable[Member], now: int) -> list:
        """Add the instances of the platform's list as possible peers.

        The list lags; whether an instance is live is known from its own heartbeats.
        """
        effects = self._detect_pause(now)
        entries = tuple(entries)
        self._platform_names = frozenset(entry.instance.name for entry in entries)
        self._learn_instances(entries, now)
        return effects + self._tracker.refresh(now)

    def leave(self, now: int) -> list:
        """Start leaving: accept no new callers, but remain a possible leader."""
        return self._change_state(LEAVING, now)

    def leave_views(self, now: int) -> list:
        """Stop being a possible leader.

        Call this once everything that this instance lent is handed over or has lapsed.
        """
        return self._change_state(LEFT, now)

    def record_handover(self, name: str, now: int) -> None:
        """Record that a member has handed over all that this instance takes over."""
        self._agreement.record_handover(name, now)

    def on_object_read(
        self, name: str, version: int, value: bytes | None, now: int
    ) -> list:
        """Process a platform object; version 0 and no value if it does not exist."""
        effects = self._detect_pause(now)
        if name == self._agreement.object_name:
            live = self.live(self._me.data_centre)
            effects += self._agreement.on_object_read(version, value, live, now)
        return effects

    def on_object_written(self, name: str, now: int) -> list:
        """Process the success of a conditional update."""
        effects = self._detect_pause(now)
        if name == self._agreement.object_name:
            self._agreement.on_object_written(now)
        return effects

    def on_object_conflict(self, name: str, current: int, now: int) -> list:
        """Process the rejection of a conditional update for an old version."""
        effects = self._detect_pause(now)
        if name == self._agreement.object_name:
            self._agreement.on_object_conflict(now)
        return effects

    def on_object_unavailable(self, name: str, now: int) -> list:
        """Process a failed call, whose update may have taken effect."""
        effects = self._detect_pause(now)
        if name == self._agreement.object_name:
            self._agreement.on_object_unavailable(now)
        return effects

    def data_centres(self) -> list[str]:
        """Return the names of all known data centres, sorted."""
        return sorted(self._tracker.fleet.members_by_data_centre)

    def live(self, data_centre: str) -> dict[str, Instance]:
        """Return the live instances of a data centre by name, except leaving ones."""
        return self._tracker.fleet.live(data_centre)

    def instance(self, name: str) -> Instance | None:
        """Return a known instance, live or not; None if it is unknown."""
        if name == self._me.name:
            return self._me
        peer = self._presence.peer(name)
        return self._tracker.fleet.instance(name) if peer is None else peer.instance

    def is_reachable(self, data_centre: str) -> bool:
        """Return whether a data centre is this one or linked to an instance of it."""
        return self._tracker.fleet.is_reachable(data_centre)

    def since_heartbeat_ms(self, name: str, now: int) -> int | None:
        """Return the time since an instance's last new heartbeat arrived.

        None for an instance that this one exchanges no heartbeats with.
        """
        if name == self._me.name:
            return 0
        return self._presence.peer_table.since_heartbeat_ms(name, now)

    def age_ms(self, name: str, now: int) -> int | None:
        """Return an upper bound of the age of an instance's last heartbeat.

        None if it has echoed no recent probe.
        """
        return (
            0 if name == self._me.name else self._presence.peer_table.age_ms(name, now)
        )

    def desired_links(self, now: int) -> frozenset[str]:
        """Return the names of all instances that this one should hold a link to."""
        return self._tracker.desired_links()

    def next_hop(self, destination: str, arrived_from: str | None = None) -> str | None:
        """Return the next hop of a message.

        A message takes at most three hops: to an instance of this data centre that
        holds a link, over the link, and to the destination. A forwarded message is
        never sent to another link holder of this data centre, which prevents loops.

        Args:
            destination: Name of the instance that the message is for.
            arrived_from: Name of the instance that forwarded it; None for a message
                of this instance.

        Returns:
            The name of the next instance; None if there is no route at present.
        """
        return self._tracker.next_hop(destination, arrived_from)

    def leader_candidates(self, key: str) -> list[str]:
        """Return the members of the view in order of precedence as leader of a key."""
        return list(leader_order(key, self.view.instances))

    def acting_leader(self, key: str, now: int) -> str | None:
        """Return the leader to contact about a key; None if there is none."""
        return self._agreement.acting_leader(key, now)

    def may_act(self, key: str, now: int) -> bool:
        """Return whether this instance may act as leader of a key at this time."""
        return not self._is_paused(now) and self._agreement.may_act(key, now)

    def _is_paused(self, now: int) -> bool:
        return now - self._last_call_at >= self._settings.lease_longest_ms

    def _detect_pause(self, now: int) -> list:
        gap_ms = now - self._last_call_at
        is_paused = self._is_paused(now)
        self._last_call_at = now
        if not is_paused:
            return []
        self._presence.peer_table.restart_timeouts(now)
        self._agreement.start_term(now)
        return [Paused(gap_ms)]

    def _start_round(self, now: int) -> list:
        self._next_round_at = now + self._settings.heartbeat_ms
        desired_peers = self._tracker.link_selector.desired_peers
        self._presence.forget_unresponsive(self._retained_names(), desired_peers, now)
        self._tracker.mark_stale(self._presence.pop_changed())
        effects = self._presence.start_round(
            self.view.number, self._tracker.roster_version_for, now
        )
        if self._presence.is_isolated():
            effects += [
                self._presence.announce_request(seed.name)
                for seed in self._settings.seeds
                if seed.name != self._me.name
            ]
        live = self.live(self._me.data_centre)
        return effects + self._agreement.tick(live, now)

    def _retained_names(self) -> frozenset[str]:
        seeds = (seed.name for seed in self._settings.seeds)
        return self._platform_names.union(self.view.instances, seeds)

    def _change_state(self, state: str, now: int) -> list:
        effects = self._detect_pause(now)
        effects += self._presence.change_state(state)
        self._tracker.mark_urgent(self._me.data_centre)
        return effects + self._tracker.refresh(now)

    def _learn_instances(self, entries: Iterable[Member], now: int) -> None:
        entries = [entry for entry in entries if entry.instance.name != self._me.name]
        self._tracker.mark_stale(self._tracker.fleet.set_hints(entries))
        for instance, _ in entries:
            if instance.data_centre == self._me.data_centre:
                self._presence.learn(instance, False, now)
        self._tracker.mark_stale(self._presence.pop_changed())
