"""Membership: who is there, the view, links and keepers, behind one facade."""

import random
from collections.abc import Iterable

from sequoiahook.decisions.membership.agreement import Agreement
from sequoiahook.decisions.membership.effects import Paused
from sequoiahook.decisions.membership.inbox import Inbox
from sequoiahook.decisions.membership.keepers import keeper_order
from sequoiahook.decisions.membership.presence import Presence
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.decisions.membership.tracker import Tracker
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import LEAVING, LEFT, LIVE, Member
from sequoiahook.world.instance import Instance
from sequoiahook.world.view import DataCentreView

__all__ = ["Membership"]


class Membership:
    """Who is there, as one instance knows it.

    Each method that takes the time and returns a list returns effects: Send,
    ReadObject, WriteObject, ViewChanged, PeerUp, PeerDown, LiveChanged, LinksChanged
    and Paused.
    A message reaches only instances that either end holds a link to.

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
        self._presence = Presence(settings, me, rng)
        self._tracker = Tracker(settings, me, self._presence)
        self._agreement = Agreement(settings, me, self._presence, rng, now)
        self._last_now = now
        self._round_at = now
        self._platform_names: frozenset[str] = frozenset()
        self._inbox = Inbox(self._presence, self._tracker, self._agreement)
        self._learn_all([Member(seed, LIVE) for seed in settings.seeds], now)

    @property
    def view(self) -> DataCentreView:
        """The view in force; number 0 until one is known."""
        return self._agreement.view

    @property
    def takeover_ms(self) -> int:
        """Silence after which the next in order takes over from a keeper."""
        return self._settings.takeover_ms

    @property
    def lease_longest_ms(self) -> int:
        """Longest time for which an instance acts without looking at its clock."""
        return self._settings.lease_longest_ms

    @property
    def state(self) -> str:
        """This instance's state."""
        return self._presence.state

    def receive(self, envelope: Envelope, now: int) -> list:
        """Take in a message of a peer.

        Args:
            envelope: The message with its source.
            now: The time in milliseconds.

        Returns:
            Effects.
        """
        effects = self._advance(now)
        if envelope.source != self._me.name:
            effects += self._inbox.receive(envelope, now)
        return effects + self._tracker.refresh(now)

    def tick(self, now: int) -> list:
        """Do what is due; to be called at least once in each heartbeat.

        Returns:
            Effects.
        """
        effects = self._advance(now)
        self._tracker.watch(now)
        effects += self._tracker.refresh(now)
        if now >= self._round_at:
            effects += self._start_round(now)
        return effects

    def next_wake(self, now: int) -> int:
        """Return when tick is to be called next."""
        refresh_at = self._tracker.next_refresh()
        wake = self._round_at if refresh_at is None else min(self._round_at, refresh_at)
        return max(now, wake)

    def platform_list(self, entries: Iterable[Member], now: int) -> list:
        """Take in the platform's list of instances, which lags.

        It only names candidates: whether an instance lives is heard from itself.
        """
        effects = self._advance(now)
        entries = tuple(entries)
        self._platform_names = frozenset(entry.instance.name for entry in entries)
        self._learn_all(entries, now)
        return effects + self._tracker.refresh(now)

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
        self._agreement.handed_over(name, now)

    def object_read(
        self, name: str, version: int, value: bytes | None, now: int
    ) -> list:
        """Take in a platform object; version 0 and no value if there is none."""
        effects = self._advance(now)
        if name == self._agreement.object_name:
            live = self.live(self._me.data_centre)
            effects += self._agreement.object_read(version, value, live, now)
        return effects

    def object_written(self, name: str, now: int) -> list:
        """Take in that a conditional update took effect."""
        effects = self._advance(now)
        if name == self._agreement.object_name:
            self._agreement.object_written(now)
        return effects

    def object_conflict(self, name: str, current: int, now: int) -> list:
        """Take in that a conditional update named an old version."""
        effects = self._advance(now)
        if name == self._agreement.object_name:
            self._agreement.object_conflict(now)
        return effects

    def object_unavailable(self, name: str, now: int) -> list:
        """Take in that a call failed, or that its answer was lost."""
        effects = self._advance(now)
        if name == self._agreement.object_name:
            self._agreement.object_unavailable(now)
        return effects

    def data_centres(self) -> list[str]:
        """Return the names of all data centres that are known."""
        return sorted(self._tracker.fleet.members_by_data_centre)

    def live(self, data_centre: str) -> dict[str, Instance]:
        """Return the live instances of a data centre by name, without leaving ones."""
        return self._tracker.fleet.live(data_centre)

    def instance(self, name: str) -> Instance | None:
        """Return an instance that is known, live or not."""
        if name == self._me.name:
            return self._me
        peer = self._presence.peer(name)
        return self._tracker.fleet.instance(name) if peer is None else peer.instance

    def is_reachable(self, data_centre: str) -> bool:
        """Return whether somebody in this data centre has a link to another one."""
        return self._tracker.fleet.is_reachable(data_centre)

    def silence_ms(self, name: str, now: int) -> int | None:
        """Return for how long nothing new came from an instance itself.

        None for an instance that this one exchanges no heartbeats with.
        """
        if name == self._me.name:
            return 0
        return self._presence.peers.silence_ms(name, now)

    def age_ms(self, name: str, now: int) -> int | None:
        """Return an upper bound of the age of an instance's last heartbeat."""
        return 0 if name == self._me.name else self._presence.peers.age_ms(name, now)

    def links_wanted(self, now: int) -> frozenset[str]:
        """Return the names of the instances to hold a link to."""
        return self._tracker.links_wanted()

    def next_hop(self, destination: str, arrived_from: str | None = None) -> str | None:
        """Return whom to send a message for an instance to.

        A message takes at most three hops: to the own data centre's end of a link,
        over the link, to the destination. One that was passed on is never sent to
        another end of the own data centre, so it cannot run in a circle.

        Args:
            destination: Name of the instance that the message is for.
            arrived_from: Name of the instance that passed it on; None for own ones.

        Returns:
            The name of the next instance; None if there is no way now.
        """
        return self._tracker.next_hop(destination, arrived_from)

    def keepers(self, key: str) -> list[str]:
        """Return the members of the view in the order in which they keep a key."""
        return list(keeper_order(key, self.view.instances))

    def acting_keeper(self, key: str, now: int) -> str | None:
        """Return whom to ask about a key; None without a view or a keeper."""
        return self._agreement.acting_keeper(key, now)

    def may_act(self, key: str, now: int) -> bool:
        """Return whether this instance may act as the keeper of a key right now."""
        return not self._is_paused(now) and self._agreement.may_act(key, now)

    def _is_paused(self, now: int) -> bool:
        return now - self._last_now >= self._settings.lease_longest_ms

    def _advance(self, now: int) -> list:
        gap_ms = now - self._last_now
        is_paused = self._is_paused(now)
        self._last_now = now
        if not is_paused:
            return []
        self._presence.peers.restart_silences(now)
        self._agreement.start_term(now)
        return [Paused(gap_ms)]

    def _start_round(self, now: int) -> list:
        self._round_at = now + self._settings.heartbeat_ms
        wanted = self._tracker.linking.wanted
        self._presence.forget_silent(self._own_candidates(), wanted, now)
        self._tracker.mark(self._presence.take_changed())
        effects = self._presence.start_round(
            self.view.number, self._tracker.version_for, now
        )
        if self._presence.is_alone():
            effects += [
                self._presence.ask_announce(seed.name)
                for seed in self._settings.seeds
                if seed.name != self._me.name
            ]
        live = self.live(self._me.data_centre)
        return effects + self._agreement.tick(live, now)

    def _own_candidates(self) -> frozenset[str]:
        seeds = (seed.name for seed in self._settings.seeds)
        return self._platform_names.union(self.view.instances, seeds)

    def _change_state(self, state: str, now: int) -> list:
        effects = self._advance(now)
        effects += self._presence.change_state(state)
        self._tracker.mark_urgent(self._me.data_centre)
        return effects + self._tracker.refresh(now)

    def _learn_all(self, entries: Iterable[Member], now: int) -> None:
        entries = [entry for entry in entries if entry.instance.name != self._me.name]
        self._tracker.mark(self._tracker.fleet.hint(entries))
        for instance, _ in entries:
            if instance.data_centre == self._me.data_centre:
                self._presence.learn(instance, False, now)
        self._tracker.mark(self._presence.take_changed())
