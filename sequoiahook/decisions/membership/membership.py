"""Membership: who is there, the view, links and keepers, behind one facade."""

import random
from collections.abc import Iterable

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.membership.effects import (
    LinksChanged,
    Paused,
    PeerDown,
    PeerUp,
    ViewChanged,
)
from sequoiahook.decisions.membership.fleet import Fleet
from sequoiahook.decisions.membership.keepers import Tenure, keeper_order
from sequoiahook.decisions.membership.linking import Linking
from sequoiahook.decisions.membership.peers import Peer, PeerTable, later_state
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.membership.views import ViewReplica, view_object
from sequoiahook.decisions.rendezvous import winner
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import (
    LEAVING,
    LEFT,
    LIVE,
    Announce,
    Heartbeat,
    Introduction,
    Leaving,
    Member,
    RosterChange,
    RosterRequest,
    RosterSnapshot,
    ViewAnswer,
    ViewRequest,
)
from sequoiahook.world.instance import Instance
from sequoiahook.world.view import DataCentreView

__all__ = ["Membership"]


class Membership:
    """Who is there, as one instance knows it.

    Args:
        settings: Settings of membership.
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
        self._state = LIVE
        self._peers = PeerTable(settings.suspect_ms, rng)
        self._fleet = Fleet(me)
        self._linking = Linking(settings, me, self._fleet)
        self._views = ViewReplica(settings, me.data_centre, rng)
        self._tenure = Tenure(me.name, settings.takeover_ms, now)
        self._tenure.start_term(self._peers.probe, now)
        self._started_at = now
        self._last_now = now
        self._round_at = now
        self._view_at = now
        self._links: frozenset[str] = frozenset()
        self._stale_data_centres: set[str] = {me.data_centre}
        self._up_by_name: dict[str, int] = {}
        self._platform_names: frozenset[str] = frozenset()
        self._handlers = {
            Announce: self._on_announce,
            Heartbeat: self._on_heartbeat,
            Introduction: self._on_introduction,
            Leaving: self._on_leaving,
            RosterChange: self._on_roster_change,
            RosterRequest: self._on_roster_request,
            RosterSnapshot: self._on_roster_snapshot,
            ViewAnswer: self._on_view_answer,
            ViewRequest: self._on_view_request,
        }
        seeds = [Member(seed, LIVE) for seed in settings.seeds]
        self._learn_all(seeds, now)

    @property
    def view(self) -> DataCentreView:
        """The view in force; number 0 until one is known."""
        return self._views.view

    @property
    def state(self) -> str:
        """This instance's state."""
        return self._state

    def receive(self, envelope: Envelope, now: int) -> list:
        """Take in a message of a peer.

        Args:
            envelope: The message with its source.
            now: The time in milliseconds.

        Returns:
            Effects.
        """
        effects = self._advance(now)
        if envelope.source == self._me.name:
            return effects
        handler = self._handlers.get(type(envelope.body))
        if handler is None or not self._is_from_followed(envelope):
            return effects
        effects += handler(envelope, now)
        return effects + self._refresh(now)

    def tick(self, now: int) -> list:
        """Do what is due; to be called at least once in each heartbeat.

        Returns:
            Effects.
        """
        effects = self._advance(now)
        for peer in self._peers.suspects(now):
            self._stale_data_centres |= self._drop_reports(peer)
        self._watch_links(now)
        effects += self._refresh(now)
        if now >= self._round_at:
            effects += self._start_round(now)
        is_proposer = self._is_proposer(now)
        return effects + self._views.tick(is_proposer, self._wanted_view(now), now)

    def next_wake(self, now: int) -> int:
        """Return when tick is to be called next."""
        return max(now, self._round_at)

    def platform_list(self, entries: Iterable[Member], now: int) -> list:
        """Take in the platform's list of instances, which lags.

        It only names candidates: whether an instance lives is heard from itself.
        """
        effects = self._advance(now)
        entries = tuple(entries)
        self._platform_names = frozenset(entry.instance.name for entry in entries)
        self._learn_all(entries, now)
        return effects + self._refresh(now)

    def leave(self, now: int) -> list:
        """Start to leave: no new callers, still a keeper."""
        return self._change_state(LEAVING, now)

    def leave_views(self, now: int) -> list:
        """Stop to be a keeper.

        To be called when all that this instance lent is handed over or has lapsed.
        """
        return self._change_state(LEFT, now)

    def handed_over(self, name: str, now: int) -> None:
        """Note that a member handed over all that falls to this instance."""
        self._tenure.handed_over(name, now)

    def object_read(
        self, name: str, version: int, value: bytes | None, now: int
    ) -> list:
        """Take in a platform object; version 0 and no value if there is none."""
        effects = self._advance(now)
        if name != view_object(self._me.data_centre):
            return effects
        before = self._before_view(now)
        wanted = self._wanted_view(now) if self._is_proposer(now) else None
        effects += self._views.object_read(version, value, wanted, now)
        return effects + self._after_view(before, now)

    def object_written(self, name: str, now: int) -> list:
        """Take in that a conditional update took effect."""
        effects = self._advance(now)
        if name == view_object(self._me.data_centre):
            self._views.object_written(now)
        return effects

    def object_conflict(self, name: str, current: int, now: int) -> list:
        """Take in that a conditional update named an old version."""
        effects = self._advance(now)
        if name == view_object(self._me.data_centre):
            self._views.object_conflict(now)
        return effects

    def object_unavailable(self, name: str, now: int) -> list:
        """Take in that a call failed, or that its answer was lost."""
        effects = self._advance(now)
        if name == view_object(self._me.data_centre):
            self._views.object_unavailable(now)
        return effects

    def data_centres(self) -> list[str]:
        """Return the names of all data centres that are known."""
        return sorted(self._fleet.members_by_data_centre)

    def live(self, data_centre: str) -> dict[str, Instance]:
        """Return the live instances of a data centre by name, without leaving ones."""
        return self._fleet.live(data_centre)

    def instance(self, name: str) -> Instance | None:
        """Return an instance that is known, live or not."""
        if name == self._me.name:
            return self._me
        data_centre = self._fleet.data_centre_of(name)
        members = self._fleet.members_by_data_centre.get(data_centre, {})
        if name in members:
            return members[name].instance
        peer = self._peers.peers_by_name.get(name)
        return None if peer is None else peer.instance

    def is_reachable(self, data_centre: str) -> bool:
        """Return whether somebody in this data centre has a link to another one."""
        return self._fleet.is_reachable(data_centre)

    def silence_ms(self, name: str, now: int) -> int | None:
        """Return for how long nothing new came from an instance itself.

        None for an instance that this one exchanges no heartbeats with.
        """
        if name == self._me.name:
            return 0
        return self._peers.silence_ms(name, now)

    def age_ms(self, name: str, now: int) -> int | None:
        """Return an upper bound of the age of an instance's last heartbeat."""
        return 0 if name == self._me.name else self._peers.age_ms(name, now)

    def links_wanted(self, now: int) -> frozenset[str]:
        """Return the names of the instances to hold a link to."""
        own = {peer.instance.name for peer in self._own_peers()}
        return self._linking.wanted | own

    def next_hop(self, destination: str, arrived_from: str | None = None) -> str | None:
        """Return whom to send a message for an instance to.

        A message takes at most three hops: to the own data centre's end of a link,
        over the link, to the destination. One that came from the own data centre
        never goes back into it, so it cannot run in a circle.

        Args:
            destination: Name of the instance that the message is for.
            arrived_from: Name of the instance that passed it on; None for own ones.

        Returns:
            The name of the next instance; None if there is no way now.
        """
        if destination in self.links_wanted(0):
            return destination
        data_centre = self._fleet.data_centre_of(destination)
        if data_centre is None or data_centre == self._me.data_centre:
            return None
        direct = self._linked_peers(data_centre)
        if direct:
            return winner(destination, direct)
        if arrived_from is not None:
            return None
        return winner(destination, self._fleet.ends(data_centre))

    def keepers(self, key: str) -> list[str]:
        """Return the members of the view in the order in which they keep a key."""
        return list(keeper_order(key, self.view.instances))

    def acting_keeper(self, key: str, now: int) -> str | None:
        """Return whom to ask about a key; None without a view or a keeper."""
        for name in keeper_order(key, self.view.instances):
            if not self._is_absent(name, now):
                return name
        return None

    def may_act(self, key: str, now: int) -> bool:
        """Return whether this instance may act as the keeper of a key right now."""
        if self._state == LEFT or self._is_paused(now):
            return False
        return self._tenure.may_act(key, lambda name: self._is_absent(name, now), now)

    def _is_paused(self, now: int) -> bool:
        return now - self._last_now >= self._settings.lease_longest_ms

    def _advance(self, now: int) -> list:
        gap_ms = now - self._last_now
        is_paused = self._is_paused(now)
        self._last_now = now
        if not is_paused:
            return []
        self._peers.restart_silences(now)
        self._view_at = now
        self._tenure.start_term(self._peers.probe, now)
        return [Paused(gap_ms)]

    def _is_absent(self, name: str, now: int) -> bool:
        if name == self._me.name:
            return self._state == LEFT
        peer = self._peers.peers_by_name.get(name)
        if peer is None:
            return now - self._view_at >= self._settings.takeover_ms
        if peer.state == LEFT:
            return True
        return now - peer.heard_at >= self._settings.takeover_ms

    def _own_peers(self) -> list[Peer]:
        own = self._me.data_centre
        return [
            peer
            for peer in self._peers.peers_by_name.values()
            if peer.instance.data_centre == own
        ]

    def _linked_peers(self, data_centre: str) -> list[str]:
        return [
            name
            for name, peer in self._peers.peers_by_name.items()
            if peer.instance.data_centre == data_centre
            and peer.heard_since is not None
            and name in self._linking.wanted
        ]

    def _is_from_followed(self, envelope: Envelope) -> bool:
        if isinstance(envelope.body, Heartbeat | Announce):
            return True
        peer = self._peers.peers_by_name.get(envelope.source)
        return peer is not None and peer.instance.incarnation == envelope.incarnation

    def _on_heartbeat(self, envelope: Envelope, now: int) -> list:
        peer = self._peers.peers_by_name.get(envelope.source)
        if peer is None:
            return [self._ask_announce(envelope.source)]
        beat = envelope.body
        before = (peer.instance, peer.heard_since is not None, peer.state)
        if not self._peers.receive(peer, envelope.incarnation, beat, now):
            return []
        effects = []
        if peer.instance != before[0]:
            effects.append(self._ask_announce(envelope.source))
        if peer.instance != before[0] or not before[1]:
            self._stale_data_centres |= self._drop_reports(peer)
            self._fleet.follow(peer.instance)
        if (peer.instance, True, peer.state) != before:
            self._stale_data_centres.add(peer.instance.data_centre)
        if beat.roster > self._fleet.held_version(envelope.source):
            held = self._fleet.held_version(envelope.source)
            effects.append(Send(envelope.source, RosterRequest(held)))
        if peer.instance.data_centre == self._me.data_centre:
            effects += self._compare_views(peer, now)
        return effects

    def _compare_views(self, peer: Peer, now: int) -> list:
        name = peer.instance.name
        self._tenure.confirm(name, peer.view, peer.echo, now)
        if peer.view > self.view.number:
            return [Send(name, ViewRequest(self.view.number))]
        return []

    def _ask_announce(self, name: str) -> Send:
        return Send(name, Announce(Member(self._me, self._state), True))

    def _on_announce(self, envelope: Envelope, now: int) -> list:
        member, wants_answer = envelope.body
        instance = member.instance
        if instance.name == self._me.name:
            return []
        is_direct = instance.name == envelope.source
        is_own = instance.data_centre == self._me.data_centre
        is_new = self._learn(instance, is_direct, now)
        effects: list = []
        if is_direct and wants_answer:
            answer = Announce(Member(self._me, self._state), False)
            effects.append(Send(instance.name, answer))
            effects.append(self._introduce(instance))
        if is_new and is_own:
            passed_on = Announce(member, False)
            effects += [
                Send(peer.instance.name, passed_on)
                for peer in self._own_peers()
                if peer.instance.name not in (instance.name, envelope.source)
            ]
        return effects

    def _introduce(self, asker: Instance) -> Send:
        members = self._fleet.members_by_data_centre.get(asker.data_centre, {})
        return Send(asker.name, Introduction(tuple(members.values())))

    def _learn(self, instance: Instance, is_direct: bool, now: int) -> bool:
        known = self._peers.peers_by_name.get(instance.name)
        before = None if known is None else known.instance
        peer = self._peers.learn(instance, now)
        if is_direct and peer.instance.incarnation == instance.incarnation:
            peer.instance = instance
        if peer.instance == before:
            return False
        self._stale_data_centres.add(instance.data_centre)
        return True

    def _on_introduction(self, envelope: Envelope, now: int) -> list:
        for member in envelope.body.members:
            instance = member.instance
            is_own = instance.data_centre == self._me.data_centre
            if is_own and instance.name != self._me.name:
                self._learn(instance, False, now)
        return []

    def _on_leaving(self, envelope: Envelope, now: int) -> list:
        peer = self._peers.peers_by_name[envelope.source]
        peer.state = later_state(peer.state, envelope.body.state)
        self._stale_data_centres.add(peer.instance.data_centre)
        return []

    def _on_roster_change(self, envelope: Envelope, now: int) -> list:
        change = envelope.body
        if self._fleet.apply_change(envelope.source, change):
            self._stale_data_centres.add(change.data_centre)
            return []
        held = self._fleet.held_version(envelope.source)
        return [Send(envelope.source, RosterRequest(held))]

    def _on_roster_request(self, envelope: Envelope, now: int) -> list:
        return [Send(envelope.source, self._reporter(envelope.source).snapshot())]

    def _on_roster_snapshot(self, envelope: Envelope, now: int) -> list:
        stale = self._fleet.apply_snapshot(envelope.source, envelope.body)
        self._stale_data_centres |= stale
        return []

    def _on_view_request(self, envelope: Envelope, now: int) -> list:
        if self.view.number <= envelope.body.held:
            return []
        return [Send(envelope.source, ViewAnswer(self.view))]

    def _on_view_answer(self, envelope: Envelope, now: int) -> list:
        before = self._before_view(now)
        self._views.adopt(envelope.body.view)
        return self._after_view(before, now)

    def _reporter(self, name: str):
        peer = self._peers.peers_by_name[name]
        is_own = peer.instance.data_centre == self._me.data_centre
        return self._fleet.for_mesh if is_own else self._fleet.for_links

    def _before_view(self, now: int) -> tuple[int, list[str]]:
        view = self.view
        absent = [name for name in view.instances if self._is_absent(name, now)]
        return view.number, absent

    def _after_view(self, before: tuple[int, list[str]], now: int) -> list:
        number, absent = before
        if self.view.number == number:
            return []
        self._view_at = now
        self._tenure.change_view(self.view, absent)
        effects: list = [ViewChanged(self.view)]
        for peer in self._own_peers():
            effects.append(Send(peer.instance.name, ViewAnswer(self.view)))
        return effects

    def _drop_reports(self, peer: Peer) -> set[str]:
        stale = self._fleet.unfollow(peer.instance.name)
        return stale | {peer.instance.data_centre}

    def _watch_links(self, now: int) -> None:
        for name in self._linking.wanted:
            peer = self._peers.peers_by_name.get(name)
            if peer is not None and now - peer.heard_at > self._settings.suspect_ms:
                self._linking.avoid(name, now)
                self._peers.forget([name])
                self._stale_data_centres |= self._drop_reports(peer)
        self._stale_data_centres |= self._linking.expire(now)
        self._forget_silent(now)

    def _forget_silent(self, now: int) -> None:
        keep = self._platform_names.union(self.view.instances, self._linking.wanted)
        keep |= {seed.name for seed in self._settings.seeds}
        gone = [
            name
            for name, peer in self._peers.peers_by_name.items()
            if name not in keep and now - peer.heard_at > self._settings.forget_after_ms
        ]
        self._peers.forget(gone)

    def _refresh(self, now: int) -> list:
        stale = self._stale_data_centres
        if not stale:
            return []
        self._stale_data_centres = set()
        effects: list = []
        own = self._me.data_centre
        if own in stale:
            change = self._fleet.refresh_own(self._state, self._own_peers())
            effects += self._broadcast(change, is_own=False)
        for data_centre in sorted(stale - {own}):
            change = self._fleet.refresh_other(data_centre)
            effects += self._broadcast(change, is_own=True)
        pairs = self.data_centres() if own in stale else sorted(stale)
        for data_centre in pairs:
            if data_centre != own:
                self._linking.refresh(data_centre, now)
                self._follow_links(data_centre, now)
        effects += self._report_peers()
        return effects + self._report_links(now)

    def _follow_links(self, data_centre: str, now: int) -> None:
        members = self._fleet.members_by_data_centre.get(data_centre, {})
        for name in self._linking.wanted_by_data_centre[data_centre]:
            self._peers.learn(members[name].instance, now)

    def _broadcast(self, change: RosterChange | None, is_own: bool) -> list:
        if change is None:
            return []
        own = self._me.data_centre
        return [
            Send(name, change)
            for name, peer in self._peers.peers_by_name.items()
            if (peer.instance.data_centre == own) == is_own
            and peer.heard_since is not None
        ]

    def _report_peers(self) -> list:
        up_by_name = {
            name: member.instance.incarnation
            for members in self._fleet.members_by_data_centre.values()
            for name, member in members.items()
            if name != self._me.name and member.state != LEFT
        }
        before = self._up_by_name
        self._up_by_name = up_by_name
        effects: list = [
            PeerDown(name, incarnation)
            for name, incarnation in before.items()
            if up_by_name.get(name) != incarnation
        ]
        effects += [
            PeerUp(name, incarnation)
            for name, incarnation in up_by_name.items()
            if before.get(name) != incarnation
        ]
        return effects

    def _report_links(self, now: int) -> list:
        links = self.links_wanted(now)
        if links == self._links:
            return []
        self._links = links
        return [LinksChanged(links)]

    def _start_round(self, now: int) -> list:
        self._round_at = now + self._settings.heartbeat_ms
        probe = self._peers.start_round(now)
        effects: list = [
            Send(name, self._beat(peer, probe))
            for name, peer in self._peers.peers_by_name.items()
        ]
        if not any(peer.heard_since is not None for peer in self._own_peers()):
            effects += [
                self._ask_announce(seed.name)
                for seed in self._settings.seeds
                if seed.name != self._me.name
            ]
        return effects

    def _beat(self, peer: Peer, probe: int) -> Heartbeat:
        reporter = self._reporter(peer.instance.name)
        return Heartbeat(
            probe, peer.probe, self.view.number, self._state, reporter.version
        )

    def _change_state(self, state: str, now: int) -> list:
        effects = self._advance(now)
        self._state = later_state(self._state, state)
        self._stale_data_centres.add(self._me.data_centre)
        effects += [
            Send(name, Leaving(self._state)) for name in self._peers.peers_by_name
        ]
        return effects + self._refresh(now)

    def _is_proposer(self, now: int) -> bool:
        if not self._has_joined(self._started_at, now):
            return False
        live = self._fleet.live(self._me.data_centre)
        key = view_object(self._me.data_centre)
        return winner(key, live) == self._me.name

    def _wanted_view(self, now: int) -> set[str]:
        settings = self._settings
        members = set(self.view.instances)
        names = {self._me.name} if self._state != LEFT else set()
        for peer in self._own_peers():
            name = peer.instance.name
            silence_ms = now - peer.heard_at
            if peer.state == LEFT:
                continue
            is_kept = name in members and silence_ms < settings.remove_after_ms
            is_new = peer.state == LIVE and self._has_joined(peer.heard_since, now)
            if is_kept or is_new:
                names.add(name)
        known = self._peers.peers_by_name
        if now - self._view_at < settings.remove_after_ms:
            names.update(members.difference(known, {self._me.name}))
        return names

    def _has_joined(self, since: int | None, now: int) -> bool:
        return since is not None and now - since >= self._settings.join_after_ms

    def _learn_all(self, entries: Iterable[Member], now: int) -> None:
        entries = [entry for entry in entries if entry.instance.name != self._me.name]
        self._stale_data_centres |= self._fleet.hint(entries)
        for entry in entries:
            if entry.instance.data_centre == self._me.data_centre:
                self._learn(entry.instance, False, now)
