"""Whether this instance has lost connectivity to targets, and who still has it.

A failed connection may be the fault of the target or of the network path to it. The
instance suspects the latter when connections to several targets failed and none was
opened meanwhile; it then opens connections to targets of other data centres (probes)
and asks peers which of the targets they reach. Only both together show that
connectivity is lost. Requests are then handed over to peers that reach targets.
"""

from collections.abc import Callable
from typing import NamedTuple

from sequoiahook.decisions.direct.first_names import first_names
from sequoiahook.decisions.direct.outgoing import OutgoingBody
from sequoiahook.decisions.direct.peer_reach import PeerReach, PeerReachSettings
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.decisions.direct.probes import Probes, ProbeSettings
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.messages.reach import TARGETS_MAX, ReachBody, ReachQuery, ReachReply
from sequoiahook.world.instance import LiveInstance

__all__ = ["Connectivity", "ConnectivityEvent", "ConnectivitySettings"]


class ConnectivitySettings(NamedTuple):
    """Settings of the verdict on connectivity to targets.

    Attributes:
        suspect_targets: Targets with failed connections from which the loss of
            connectivity is suspected.
        lost_targets: Targets with failed connections that a loss requires.
        lost_data_centres: Data centres of such targets that a loss requires.
        confirmed_targets: Of the targets with failed connections, those that peers must
            have reached since.
        failure_valid_ms: Time for which a failed connection counts.
        connected_valid_ms: Time after an opened connection in which nothing is
            suspected.
        quiet_ms: Time without any sign of life of targets, while requests are open
            there, after which connections are tried.
        regained_targets: Targets to which connections must be opened for the end of a
            loss.
        verdict_valid_ms: Time for which a loss is believed without confirmation.
        reach: Settings of the evidence of peers.
        probes: Settings of the probes.
    """

    suspect_targets: int = 2
    lost_targets: int = 3
    lost_data_centres: int = 3
    confirmed_targets: int = 2
    failure_valid_ms: int = 5_000
    connected_valid_ms: int = 500
    quiet_ms: int = 300
    regained_targets: int = 2
    verdict_valid_ms: int = 3_000
    reach: PeerReachSettings = PeerReachSettings()
    probes: ProbeSettings = ProbeSettings()


class ConnectivityEvent(NamedTuple):
    """The loss of connectivity to targets, or its end, for logs.

    Attributes:
        is_lost: Whether this is a loss.
        reason: Why the state changed.
        failed: First targets whose connections failed.
        failed_count: Number of these targets.
        failing_ms: Time since the first failure.
        reached_by: First peers that reached targets meanwhile.
    """

    is_lost: bool
    reason: str
    failed: tuple[str, ...]
    failed_count: int
    failing_ms: int
    reached_by: tuple[str, ...]


class Connectivity:
    """Evidence on connectivity to targets, of this instance and of peers.

    Attributes:
        is_lost: Whether connectivity is lost.
        failing_since: When the first of the present failures occurred; None without.
        on_lost: Called with the time of the first failure when connectivity is lost.
        reach: What peers reach.

    Args:
        settings: The settings.
        me: This instance.
        peers: The other instances.
        targets: The targets.
    """

    def __init__(
        self,
        settings: ConnectivitySettings,
        me: LiveInstance,
        peers: Peers,
        targets: TargetRegistry,
    ):
        self.is_lost = False
        self.failing_since: int | None = None
        self.on_lost: Callable[[int], None] = lambda since: None
        self.reach = PeerReach(settings.reach, me, peers)
        self._settings = settings
        self._me = me
        self._targets = targets
        self._probes = Probes(settings.probes, me, targets)
        self._failed_at_by_id: dict[str, int] = {}
        self._failure_count = 0
        self._connected_at: int | None = None
        self._awaiting_since: int | None = None
        self._regained_ids: set[str] = set()
        self._events: list[ConnectivityEvent] = []

    def is_suspected(self, now: int) -> bool:
        """Return whether connectivity may be lost."""
        if self.is_lost or not self._failed_at_by_id:
            return False
        settings = self._settings
        self._drop_old(now)
        if self._failure_count < settings.suspect_targets:
            return False
        if len(self._failed_at_by_id) < self._at_most_known(settings.suspect_targets):
            return False
        connected_at = self._connected_at
        return connected_at is None or now - connected_at >= settings.connected_valid_ms

    def is_active(self, now: int) -> bool:
        """Return whether queries, probes or handovers are needed."""
        if self.is_lost or self._probes.is_asked:
            return True
        return self.is_suspected(now) or self._is_quiet(now)

    def is_available(self, now: int) -> bool:
        """Return whether requests of other instances can be sent to targets."""
        return not self.is_lost and not self.is_suspected(now)

    def record_sent(self, now: int) -> None:
        """Record that a request is sent to a target."""
        if self._awaiting_since is None:
            self._awaiting_since = now

    def record_answered(self) -> None:
        """Record a sign of life of any target."""
        self._awaiting_since = None

    def record_failed(self, state: TargetState, now: int) -> None:
        """Record a connection to a target that could not be opened."""
        state.connect_failed_at = now
        self._drop_old(now)
        self._failed_at_by_id[state.record.id] = now
        self._failure_count += 1
        self._regained_ids.clear()
        if self.failing_since is None:
            self.failing_since = now
        self.update(now)

    def record_connected(self, state: TargetState, now: int) -> None:
        """Record a connection to a target that was opened."""
        state.connected_at = now
        self._connected_at = now
        self._awaiting_since = None
        if not self.is_lost:
            self._forget()
            return
        self._regained_ids.add(state.record.id)
        wanted = self._at_most_known(self._settings.regained_targets)
        if len(self._regained_ids) >= wanted:
            self._end_loss("connections to targets are opened again", now)

    def record_probe(self, state: TargetState, is_connected: bool, now: int) -> None:
        """Record the result of a probe."""
        self._probes.record_ended(state.record.id)
        if is_connected:
            self.record_connected(state, now)
        else:
            self.record_failed(state, now)

    def probes(self, now: int) -> list[TargetState]:
        """Return the targets to which connections are to be opened now."""
        if self.is_lost:
            return self._probes.next_in_turn(now)
        if self.is_suspected(now) or self._is_quiet(now):
            return self._probes.uncovered(self._failed_data_centres(), now)
        return self._probes.asked(now)

    def update(self, now: int) -> None:
        """Decide whether connectivity is lost."""
        if self.is_lost:
            confirmed_at = self.reach.confirmed_at
            if now - confirmed_at > self._settings.verdict_valid_ms:
                self._end_loss("no peer has confirmed it lately", now)
        elif self._shows_loss(now):
            self.is_lost = True
            self._regained_ids.clear()
            self.on_lost(self.failing_since)
            self._record_event("peers reach these targets", now)

    def queries(self, now: int) -> list[OutgoingBody]:
        """Return the queries that are due."""
        if self.is_available(now):
            return []
        failed = self._failed_at_by_id
        latest = sorted(failed, key=failed.get, reverse=True)[:TARGETS_MAX]
        return self.reach.queries(tuple(latest), now)

    def receive(self, sender: str, body: ReachBody, now: int) -> list[OutgoingBody]:
        """Apply a message of a peer; return the messages in response."""
        if isinstance(body, ReachQuery):
            return [OutgoingBody(sender, self._reply(body, now))]
        self.reach.receive(sender, body, now)
        self.update(now)
        return []

    def pop_events(self) -> list[ConnectivityEvent]:
        """Return the losses and ends of losses since the last call."""
        events, self._events = self._events, []
        return events

    def _is_quiet(self, now: int) -> bool:
        since = self._awaiting_since
        return since is not None and now - since >= self._settings.quiet_ms

    def _reply(self, query: ReachQuery, now: int) -> ReachReply:
        """Return the reply to a query.

        Targets are probed before what is known of them lapses at the sender.
        """
        age_ms_by_target = {}
        for target_id in query.targets:
            state = self._targets.states_by_id.get(target_id)
            if state is None:
                continue
            age_ms = now - max(state.reached_at, state.connected_at)
            if age_ms <= self._settings.reach.valid_ms:
                age_ms_by_target[target_id] = age_ms
        fresh_count = sum(
            age_ms <= self._settings.reach.renewed_after_ms
            for age_ms in age_ms_by_target.values()
        )
        if fresh_count < self._settings.confirmed_targets:
            self._probes.ask(query.targets)
        return ReachReply(query.number, self.is_available(now), age_ms_by_target)

    def _shows_loss(self, now: int) -> bool:
        settings = self._settings
        if not self.is_suspected(now):
            return False
        failed = self._failed_at_by_id
        if len(failed) < self._at_most_known(settings.lost_targets):
            return False
        data_centres = self._probes.data_centres()
        covered = self._failed_data_centres() & data_centres
        if len(covered) < min(settings.lost_data_centres, len(data_centres)):
            return False
        own = self._me.data_centre
        if own in data_centres and own not in covered:
            return False
        reached = self.reach.reached_since(self.failing_since) & failed.keys()
        return len(reached) >= min(settings.confirmed_targets, len(failed))

    def _end_loss(self, reason: str, now: int) -> None:
        self.is_lost = False
        self._record_event(reason, now)
        self._forget()

    def _forget(self) -> None:
        self.failing_since = None
        self._failure_count = 0
        self._failed_at_by_id.clear()
        self._regained_ids.clear()

    def _drop_old(self, now: int) -> None:
        if self.is_lost:
            return
        valid_since = now - self._settings.failure_valid_ms
        old = [name for name, at in self._failed_at_by_id.items() if at < valid_since]
        for target_id in old:
            del self._failed_at_by_id[target_id]
        if old and not self._failed_at_by_id:
            self._forget()

    def _failed_data_centres(self) -> set[str]:
        states = self._targets.states_by_id
        return {
            states[target_id].record.data_centre
            for target_id in self._failed_at_by_id
            if target_id in states
        }

    def _at_most_known(self, count: int) -> int:
        return min(count, max(1, len(self._targets.states_by_id)))

    def _record_event(self, reason: str, now: int) -> None:
        since = now if self.failing_since is None else self.failing_since
        self._events.append(
            ConnectivityEvent(
                self.is_lost,
                reason,
                first_names(self._failed_at_by_id),
                len(self._failed_at_by_id),
                now - since,
                first_names(self.reach.peers_since(since)),
            )
        )
