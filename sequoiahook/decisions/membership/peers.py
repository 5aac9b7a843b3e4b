"""Peers that this instance exchanges heartbeats with, and their timeouts."""

import random
from collections import deque
from collections.abc import Iterable

from sequoiahook.messages.membership import LIVE, STATES, Heartbeat
from sequoiahook.world.instance import Instance

__all__ = ["Peer", "PeerTable", "later_state"]

RETIRED_MAX = 8
PROBE_ROUNDS_MAX = 256
PROBE_START_BITS = 31


def later_state(first: str, second: str) -> str:
    """Return the later state of an incarnation; an unknown state is the earliest."""
    return max(first, second, key=_state_rank)


def _state_rank(state: str) -> int:
    return STATES.index(state) if state in STATES else -1


class Peer:
    """State of one instance according to its own messages.

    Attributes:
        instance: The instance, with the incarnation that is followed.
        state: Its latest state; it never goes back within an incarnation.
        followed_at: When this incarnation became known.
        heard_at: When its last new heartbeat arrived, or when it became known.
        heard_since: When its heartbeats started or resumed; None before the first
            one and while it is suspected.
        is_announced: Whether the addresses belong to the followed incarnation.
        probe: Highest probe number received from it.
        echo: Highest probe number of this instance that it has echoed.
        retired: Incarnations replaced last, each with the number of the last probe
            sent before.
        view: Number of the view that it holds.
    """

    __slots__ = (
        "echo",
        "followed_at",
        "heard_at",
        "heard_since",
        "instance",
        "is_announced",
        "probe",
        "retired",
        "state",
        "view",
    )

    def __init__(self, instance: Instance, now: int):
        self.instance = instance
        self.retired: deque[tuple[int, int]] = deque(maxlen=RETIRED_MAX)
        self._start(now)

    def _start(self, now: int) -> None:
        self.state = LIVE
        self.is_announced = True
        self.followed_at = now
        self.heard_at = now
        self.heard_since: int | None = None
        self.probe = 0
        self.echo = 0
        self.view = 0

    def advance_state(self, state: str) -> None:
        """Advance to a state; an earlier or unknown one has no effect."""
        if state in STATES:
            self.state = later_state(self.state, state)

    def replace(self, instance: Instance, now: int, last_probe: int) -> None:
        """Follow another incarnation, and record the old one as replaced.

        Args:
            instance: The instance with its new incarnation.
            now: The time in milliseconds.
            last_probe: Number of the last probe that this instance sent.
        """
        if self.instance.incarnation != 0:
            self.retired.append((self.instance.incarnation, last_probe))
        self.instance = instance
        self._start(now)

    def is_replaced(self, incarnation: int, echo: int) -> bool:
        """Return whether a message is a late one from a replaced incarnation.

        An incarnation that echoes a probe sent after it was replaced is still running.
        """
        for retired, last_probe in self.retired:
            if retired == incarnation:
                return echo <= last_probe
        return False


class PeerTable:
    """Peers by name, with the heartbeats sent to and received from them.

    Probe numbers start at a random value, so that an echo of an earlier incarnation's
    probe is not mistaken for an echo of this incarnation's.

    Args:
        suspect_ms: Time without heartbeats after which a peer is suspected.
        rng: Source of the first probe number.

    Attributes:
        peers_by_name: The peers.
        probe: Number of the last round of heartbeats.
    """

    def __init__(self, suspect_ms: int, rng: random.Random):
        self.peers_by_name: dict[str, Peer] = {}
        self.probe = rng.getrandbits(PROBE_START_BITS) + 1
        self._first_probe = self.probe
        self._suspect_ms = suspect_ms
        self._sent_at_by_probe: dict[int, int] = {}

    def learn(self, instance: Instance, now: int) -> Peer:
        """Add or update a peer from an indirect report.

        The report does not override an incarnation whose heartbeats arrive.

        Returns:
            The peer, whose incarnation may differ from the reported one.
        """
        peer = self.peers_by_name.get(instance.name)
        if peer is None:
            peer = self.peers_by_name[instance.name] = Peer(instance, now)
        elif self._is_superseded_by(peer, instance):
            peer.replace(instance, now, self.probe)
        return peer

    def _is_superseded_by(self, peer: Peer, instance: Instance) -> bool:
        known = peer.instance.incarnation
        if instance.incarnation in (0, known):
            return False
        if known == 0:
            return True
        is_responsive = peer.heard_since is not None
        return not is_responsive and not peer.is_replaced(instance.incarnation, 0)

    def start_round(self, now: int) -> int:
        """Start a round of heartbeats and return its number."""
        self.probe += 1
        self._sent_at_by_probe[self.probe] = now
        self._sent_at_by_probe.pop(self.probe - PROBE_ROUNDS_MAX, None)
        return self.probe

    def receive(
        self, peer: Peer, incarnation: int, heartbeat: Heartbeat, now: int
    ) -> bool:
        """Record a heartbeat.

        Returns:
            Whether it was new; a repeated, late or stale one has no effect.
        """
        echo = heartbeat.echo if self._first_probe < heartbeat.echo <= self.probe else 0
        if incarnation != peer.instance.incarnation:
            if peer.is_replaced(incarnation, echo):
                return False
            instance = peer.instance._replace(incarnation=incarnation)
            peer.replace(instance, now, self.probe)
            peer.is_announced = False
        if heartbeat.probe <= peer.probe:
            return False
        peer.probe = heartbeat.probe
        peer.echo = max(peer.echo, echo)
        peer.view = max(peer.view, heartbeat.view)
        peer.advance_state(heartbeat.state)
        peer.heard_at = now
        if peer.heard_since is None:
            peer.heard_since = now
        return True

    def since_heartbeat_ms(self, name: str, now: int) -> int | None:
        """Return the time since a peer's last new heartbeat; None if unknown."""
        peer = self.peers_by_name.get(name)
        return None if peer is None else now - peer.heard_at

    def age_ms(self, name: str, now: int) -> int | None:
        """Return an upper bound of the age of a peer's last heartbeat.

        None if it has echoed no probe of the last PROBE_ROUNDS_MAX rounds.
        """
        peer = self.peers_by_name.get(name)
        if peer is None or peer.echo not in self._sent_at_by_probe:
            return None
        return now - self._sent_at_by_probe[peer.echo]

    def mark_suspects(self, now: int) -> list[Peer]:
        """Mark newly unresponsive peers as suspected, and return them."""
        suspects = [
            peer
            for peer in self.peers_by_name.values()
            if peer.heard_since is not None and now - peer.heard_at > self._suspect_ms
        ]
        for peer in suspects:
            peer.heard_since = None
        return suspects

    def forget(self, names: Iterable[str]) -> None:
        """Remove peers from the table."""
        for name in names:
            self.peers_by_name.pop(name, None)

    def restart_timeouts(self, now: int) -> None:
        """Restart the timeout of each peer, after this process itself did not run."""
        for peer in self.peers_by_name.values():
            peer.heard_at = now
