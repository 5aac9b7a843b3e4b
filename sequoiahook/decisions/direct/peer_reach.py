"""Which targets peers state that they reach, and which peers take requests."""

from typing import NamedTuple

from sequoiahook.decisions.direct.outgoing import OutgoingBody
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.decisions.direct.target_state import NEVER
from sequoiahook.decisions.rendezvous import order
from sequoiahook.messages.reach import ReachQuery, ReachReply
from sequoiahook.world.instance import Address, LiveInstance

__all__ = ["PeerReach", "PeerReachSettings"]


class PeerReachSettings(NamedTuple):
    """Settings of the evidence of peers.

    Attributes:
        query_min_ms: Time between the first two rounds of queries; it doubles.
        query_max_ms: Longest time between two rounds.
        near_max: Most peers of the own region in one round.
        far_max: Most peers of other regions in one round.
        open_max: Most queries whose replies are awaited.
        valid_ms: Time for which a reached target shows that a peer reaches targets.
        renewed_after_ms: Age from which it is reached anew for a query, so that two
            further queries arrive before it is no longer valid.
        avoid_ms: Time for which a peer that refused a request gets no others.
        near_links: Most peers of the own region to which links are kept.
        far_links: Most peers of other regions to which links are kept.
        candidates_max: Most peers that one request is handed over to, in turn.
    """

    query_min_ms: int = 100
    query_max_ms: int = 800
    near_max: int = 12
    far_max: int = 4
    open_max: int = 16
    valid_ms: int = 2_000
    renewed_after_ms: int = 400
    avoid_ms: int = 200
    near_links: int = 4
    far_links: int = 2
    candidates_max: int = 3


class PeerReach:
    """Replies of peers, and the choice of peers that take requests.

    Attributes:
        linked: Names of the peers to which a link is established.

    Args:
        settings: The settings.
        me: This instance.
        peers: The other instances.
    """

    def __init__(self, settings: PeerReachSettings, me: LiveInstance, peers: Peers):
        self.linked: set[str] = set()
        self._settings = settings
        self._me = me
        self._peers = peers
        self._number = 0
        self._sent_at_by_number: dict[int, int] = {}
        self._queried_at = NEVER
        self._interval_ms = settings.query_min_ms
        self._reached_at_by_target: dict[str, int] = {}
        self._reached_at_by_peer: dict[str, int] = {}
        self._avoided_until_by_peer: dict[str, int] = {}
        self._turn = 0

    @property
    def confirmed_at(self) -> int:
        """Latest time at which a peer is known to have reached a target."""
        return max(self._reached_at_by_peer.values(), default=NEVER)

    def queries(self, targets: tuple[str, ...], now: int) -> list[OutgoingBody]:
        """Return a round of queries on targets if it is due."""
        settings = self._settings
        idle_ms = now - self._queried_at
        if idle_ms > 2 * settings.query_max_ms:
            self._interval_ms = settings.query_min_ms
        elif idle_ms < self._interval_ms:
            return []
        else:
            self._interval_ms = min(2 * self._interval_ms, settings.query_max_ms)
        self._queried_at = now
        self._number += 1
        self._sent_at_by_number[self._number] = now
        self._sent_at_by_number.pop(self._number - settings.open_max, None)
        query = ReachQuery(self._number, targets)
        near, far = self._near_and_far(now)
        chosen = self._cycled(near, settings.near_max)
        chosen += self._cycled(far, settings.far_max)
        # Those that reach targets are asked each time, so that this stays known.
        chosen += [n for n in self.linked if n in (*near, *far) and n not in chosen]
        return [OutgoingBody(name, query) for name in chosen]

    def receive(self, sender: str, reply: ReachReply, now: int) -> None:
        """Apply a reply.

        The age of what a peer reached is counted from the time of the query, since the
        reply may have been under way for long.
        """
        sent_at = self._sent_at_by_number.get(reply.number)
        if sent_at is None:
            return
        for target_id, age_ms in reply.age_ms_by_target.items():
            self._record(self._reached_at_by_target, target_id, sent_at - age_ms)
            if reply.is_available:
                self._record(self._reached_at_by_peer, sender, sent_at - age_ms)
        if not reply.is_available:
            self._reached_at_by_peer.pop(sender, None)
        self._drop_old(now)

    def reached_since(self, since: int) -> set[str]:
        """Return the targets that peers have reached since a time."""
        return {name for name, at in self._reached_at_by_target.items() if at >= since}

    def peers_since(self, since: int) -> list[str]:
        """Return the peers that have reached targets since a time."""
        reached = self._reached_at_by_peer
        return sorted(name for name, at in reached.items() if at >= since)

    def avoid(self, peer: str, now: int) -> None:
        """Hand no requests over to a peer for a while."""
        self._avoided_until_by_peer[peer] = now + self._settings.avoid_ms

    def link_addresses(self, now: int) -> dict[str, Address]:
        """Return the peers to which links are needed, with their addresses.

        Each instance prefers others, so that those that have lost connectivity do not
        all hand over to the same ones.
        """
        near, far = self._near_and_far(now)
        ranked_near = order(self._me.name, near)[: self._settings.near_links]
        ranked_far = order(self._me.name, far)[: self._settings.far_links]
        if not ranked_near:
            links_max = self._settings.near_links + self._settings.far_links
            ranked_far = order(self._me.name, far)[:links_max]
        instances = self._peers.instances_by_name
        return {
            name: instances[name].handover_address for name in ranked_near + ranked_far
        }

    def candidates(self, regions: tuple[str, ...], now: int) -> tuple[str, ...]:
        """Return the peers to hand a request over to, best first.

        Args:
            regions: Regions in which the request may run; empty means all.
            now: The time in milliseconds.
        """
        allowed = {*regions, self._me.region} if regions else None
        near, far = (
            [
                name
                for name in names
                if name in self.linked
                and now >= self._avoided_until_by_peer.get(name, now)
                and (allowed is None or self._region(name) in allowed)
            ]
            for names in self._near_and_far(now, reaching_only=True)
        )
        self._turn += 1
        count = self._settings.candidates_max
        chosen = self._cycled(near, count - 1 if far else count)
        return tuple(chosen + self._cycled(far, count - len(chosen)))

    def _near_and_far(
        self, now: int, *, reaching_only: bool = False
    ) -> tuple[list[str], list[str]]:
        """Return the peers that accept links, of the own region and of others."""
        instances = self._peers.instances_by_name
        valid_since = now - self._settings.valid_ms
        reached = self._reached_at_by_peer
        names = [
            name
            for name in sorted(self._peers.active(now))
            if instances[name].handover_address is not None
            and (not reaching_only or reached.get(name, NEVER) >= valid_since)
        ]
        near = [name for name in names if self._region(name) == self._me.region]
        return near, [name for name in names if name not in near]

    def _region(self, name: str) -> str:
        return self._peers.instances_by_name[name].region

    def _cycled(self, names: list[str], count: int) -> list[str]:
        if not names or count <= 0:
            return []
        start = (self._turn + self._number) % len(names)
        return (names[start:] + names[:start])[:count]

    def _drop_old(self, now: int) -> None:
        valid_since = now - 2 * self._settings.valid_ms
        for table in (self._reached_at_by_target, self._reached_at_by_peer):
            for name in [name for name, at in table.items() if at < valid_since]:
                del table[name]

    @staticmethod
    def _record(table: dict[str, int], name: str, reached_at: int) -> None:
        table[name] = max(table.get(name, reached_at), reached_at)
