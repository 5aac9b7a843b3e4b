"""One instance: inputs of its daemon in, effects for its daemon out.

The parts never call each other; the core gives the effects of one part to the part
that they concern, until only effects for the daemon are left.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from sequoiahook.decisions.configuration.rollout import ConfigurationReplica
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import (
    Answer,
    Commit,
    Refusal,
    Release,
    Relocate,
    Reserve,
    Write,
)
from sequoiahook.decisions.exchange.entry import EntryExchanges
from sequoiahook.decisions.exchange.executor import Executor
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.decisions.exchange.target_result import TargetResult
from sequoiahook.decisions.instance.effects import (
    Arrival,
    CloseConnection,
    Dial,
    Note,
    OperatorReply,
    Transmit,
)
from sequoiahook.decisions.instance.operators import Operators
from sequoiahook.decisions.instance.pacing import LinkPacer
from sequoiahook.decisions.instance.platform_tickets import (
    PlatformTickets,
    view_answer,
    view_call,
)
from sequoiahook.decisions.instance.pools import PoolOwner, spread_targets
from sequoiahook.decisions.instance.settings import CoreSettings
from sequoiahook.decisions.instance.steering import (
    Cause,
    Steering,
    SteeringParts,
    organisation_contract,
    shift_contract,
)
from sequoiahook.decisions.instance.tracing import Tracing
from sequoiahook.decisions.keys import Callers, KeyTable
from sequoiahook.decisions.links import LinkBudgets
from sequoiahook.decisions.lookup.lookup import Lookup, LookupAnswer
from sequoiahook.decisions.membership import effects as membership_effects
from sequoiahook.decisions.membership.membership import Membership
from sequoiahook.decisions.placement.holder import CreditHolder
from sequoiahook.decisions.placement.placement import Placement
from sequoiahook.decisions.platform_calls import (
    CallAnswer,
    ReadObject,
    Watch,
    WriteObject,
)
from sequoiahook.decisions.rights.effects import Committed, Lapsed, Refused, Reserved
from sequoiahook.decisions.rights.rights import Rights
from sequoiahook.decisions.stopping import (
    AnnounceLeaving,
    HandOver as HandOverRights,
    LeaveViews,
    Stopping,
)
from sequoiahook.measures import Measures
from sequoiahook.messages import (
    configuration as configuration_messages,
    membership as membership_messages,
    ownership as ownership_messages,
    pools as pool_messages,
    requests as request_messages,
    rights as rights_messages,
)
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import Member
from sequoiahook.messages.requests import NOT_RUN, MessageId
from sequoiahook.world.configuration import Configuration
from sequoiahook.world.instance import Instance
from sequoiahook.world.view import DataCentreView

__all__ = ["InstanceCore"]

TICK_MS = 250
VIEW_REFRESH_MS = 500
HTTP_UNAVAILABLE = 503


class InstanceCore:
    """All decisions of one instance.

    Every input takes ``now``, the process's monotonic time in milliseconds, and returns
    the effects that the daemon has to carry out, in order.

    Args:
        settings: Settings of all parts.
        me: This instance.
        rng: Source of all randomness.
        now: Start of the process.
    """

    def __init__(self, settings: CoreSettings, me: Instance, rng: Random, now: int):
        self.me = me
        self.measures = Measures()
        self._settings = settings
        self._sequence = 0
        self._tickets = PlatformTickets()
        self._membership = Membership(settings.membership, me, rng, now)
        self._rollout = ConfigurationReplica(
            settings.rollout, me.name, me.data_centre, rng
        )
        self._operators = Operators(
            settings.patching, self._rollout, self._tickets, rng
        )
        self._rights = Rights(settings.rights, me.name, me.data_centre, rng)
        self._entry = EntryExchanges(settings.entry, me.name, me.incarnation, rng)
        self._executor = Executor(settings.executor, me.name, me.incarnation, rng)
        self._owner = PoolOwner(
            settings.pool, settings.placement, me, self._executor, rng
        )
        self._holder = CreditHolder(settings.placement, me.name, me.incarnation)
        self._budgets = LinkBudgets(settings.links, me.data_centre, me.name)
        self._pacer = LinkPacer(self._budgets)
        self._placement = Placement(
            settings.placement, me.data_centre, rng, self._budgets
        )
        self._callers = Callers()
        self._tracing = Tracing(me.name, rng)
        self._steering = Steering(
            settings.steering,
            me.data_centre,
            SteeringParts(
                self._membership,
                self._owner,
                self._rights,
                self._entry,
                self._placement,
                self._holder,
                self._callers,
                self._tracing,
            ),
        )
        self._lookup = Lookup(settings.lookup, rng)
        self._stopping = Stopping(settings.stopping)
        self._view_numbers: dict[str, DataCentreView] = {}
        self._refresh_at = now
        self._arrived_at_by_number: dict[int, int] = {}
        self._traceparents_by_id: dict[MessageId, str] = {}
        self._inner_handlers = self._handlers()
        self._departures = {
            Answer: self._on_answer,
            Refusal: self._on_refusal,
            Write: self._on_write,
        }
        self._message_handlers = self._receivers()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return self._rollout.configuration

    @property
    def configuration_document(self) -> dict[str, Any]:
        """The number and the document in force."""
        return {
            "number": self._rollout.number,
            "document": self._rollout.document or {},
        }

    def arrive(self, arrival: Arrival, now: int) -> list:
        """Take a caller's request; exactly one Answer or Refusal follows."""
        self.measures.count("requests")
        self._arrived_at_by_number[arrival.number] = now
        if not self._stopping.start_work():
            del self._arrived_at_by_number[arrival.number]
            retry_after_ms = self._settings.steering.retry_after_ms
            return [
                Refusal(
                    arrival.number,
                    HTTP_UNAVAILABLE,
                    Cause.STOPPING,
                    NOT_RUN,
                    retry_after_ms,
                )
            ]
        return self._carry(self._steering.arrive(arrival, now), now)

    def caller_gone(self, number: int, now: int) -> list:
        """Note that the caller of a request disconnected."""
        effects = self._carry(self._steering.caller_gone(number, now), now)
        return effects + self._finish(number, "caller gone", now)

    def connection_closed(self, connection_id: int) -> None:
        """Note that a caller's connection is closed."""
        self._callers.closed(connection_id)

    def look_up(self, client_host: str, organisation: str, service: str, now: int):
        """Return which instances a caller is to use, as a LookupAnswer.

        Raises:
            ValueError: If the host is not an IP number.
        """
        self.measures.count("look-ups")
        answer: LookupAnswer = self._lookup.answer(
            client_host, organisation, service, now
        )
        return answer

    def receive(self, peer: str, envelope: Envelope, now: int) -> list:
        """Take an envelope that came over the link to a peer."""
        if envelope.destination != self.me.name:
            return self._forward(peer, envelope)
        return self._carry(self._take(envelope, now), now)

    def peer_up(self, name: str, now: int) -> list:
        """Note that the link to a peer stands."""
        return self._carry(self._entry.peer_up(name, now), now)

    def peer_down(self, name: str, now: int) -> list:
        """Note that the link to a peer is lost."""
        return self._carry(self._entry.peer_lost(name, now), now)

    def send_failed(self, envelope: Envelope, now: int) -> list:
        """Note that an envelope was certainly not written to any link."""
        return self._carry(self._not_sent(envelope, now), now)

    def may_write(self, request_id: MessageId, now: int) -> bool:
        """Decide right before the first byte whether a request goes to a target."""
        return self._executor.may_write(request_id, now)

    def target_result(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list:
        """Take the end of an exchange with a target."""
        self.measures.record_ms("target", result.duration_ms)
        self.measures.count(f"target: {result.stage.value}")
        spans = self._tracing.end(
            ("target", request_id),
            now,
            stage=result.stage.value,
            status=str(result.status),
        )
        effects = self._executor.target_result(request_id, result, now)
        effects += self._owner.follow_up(now)
        return self._carry([*spans, *effects], now)

    def platform_answer(self, ticket: int, answer: CallAnswer, now: int) -> list:
        """Take the answer to a call of the platform."""
        return self._carry(self._tickets.answer(ticket, answer, now), now)

    def wants_platform_list(self, now: int) -> bool:
        """Return whether to ask the platform for its list of instances.

        Only the instances that watch the platform do, and one that knows no peer yet.
        """
        return self._rollout.is_watcher(now) or not self._membership.view.number

    def platform_list(self, members: list[Member], now: int) -> list:
        """Take the platform's lagging list of instances."""
        return self._carry(self._membership.on_platform_list(members, now), now)

    def operator_patch(self, ticket: int, document: Any, now: int) -> list:
        """Take an operator's patch; one OperatorReply follows."""
        return self._carry(self._operators.patch(ticket, document, now), now)

    def operator_outcome(self, ticket: int, patch_id: str, now: int) -> list:
        """Tell an operator what became of a patch; one OperatorReply follows."""
        return self._carry(self._operators.outcome(ticket, patch_id, now), now)

    def operator_status(self, ticket: int, now: int) -> list:
        """Tell an operator who has which number; one OperatorReply follows."""
        configuration = self.configuration
        if configuration is None:
            document = {"number_by_instance": self._rollout.number_by_instance}
            return [OperatorReply(ticket, document)]
        names = list(configuration.data_centres_by_name)
        return self._carry(self._operators.status(ticket, names), now)

    def stop(self, now: int) -> list:
        """Take a request to stop gracefully; a second one shortens the waits."""
        return self._carry(self._stopping.signal(now), now)

    def connections_closed(self, now: int) -> list:
        """Note that no caller is connected any more, while stopping."""
        return self._carry(self._stopping.connections_closed(now), now)

    def tick(self, now: int) -> list:
        """Do what is due."""
        effects = self._membership.tick(now)
        if now >= self._refresh_at:
            effects += self._refresh(now)
        effects += self._rollout.tick(now)
        effects += self._operators.tick(now)
        effects += self._rights.tick(now)
        effects += self._steering.tick(now)
        effects += self._entry.tick(now)
        effects += self._executor.tick(now)
        effects += self._owner.follow_up(now)
        effects += self._holder.tick(self._placement.owner_by_pool(now), now)
        for summary in self._owner.summaries(now):
            effects += self._spread(summary, self.me.name, now)
        for envelope in self._pacer.tick(now):
            effects += self._transmit(envelope, now)
        effects += self._stopping.tick(now)
        return self._carry(effects, now)

    def next_wake(self, now: int) -> int:
        """Return when to call ``tick`` next."""
        wakes = [
            now + TICK_MS,
            self._refresh_at,
            self._membership.next_wake(now),
            self._rollout.next_wake(now),
            self._operators.next_wake(now),
            self._rights.next_wake(now),
            self._steering.next_wake(),
            self._entry.next_wake(now),
            self._executor.next_wake(now),
            self._owner.next_wake(),
            self._pacer.next_wake(now),
            self._stopping.next_wake(now),
        ]
        return max(now, min(wake for wake in wakes if wake is not None))

    def _handlers(self) -> dict[type, Callable]:
        return {
            Apply: self._on_apply,
            Commit: lambda e, now: self._steering.commit(e.reservation, now),
            Committed: lambda e, now: [],
            HandOverRights: lambda e, now: self._rights.hand_over(now),
            AnnounceLeaving: self._on_leaving,
            Lapsed: lambda e, now: self._count("rights lapsed"),
            LeaveViews: lambda e, now: self._membership.leave_views(now),
            ReadObject: self._on_rollout_call,
            Refused: lambda e, now: self._steering.not_reserved(
                int(e.request_id), e.retry_after_ms, now
            ),
            Reject: self._on_reject,
            Release: lambda e, now: self._steering.release(e.reservation, now),
            Relocate: lambda e, now: self._steering.relocate(e.number, now),
            Reserve: lambda e, now: self._steering.reserve(e.number, now),
            Reserved: lambda e, now: self._steering.reserved(int(e.request_id), now),
            Send: self._on_send,
            Watch: self._on_rollout_call,
            WriteObject: self._on_rollout_call,
            membership_effects.LinksChanged: self._on_links_changed,
            membership_effects.LiveChanged: self._on_live_changed,
            membership_effects.Paused: self._on_paused,
            membership_effects.PeerDown: self._on_member_down,
            membership_effects.PeerUp: self._on_member_up,
            membership_effects.ReadObject: self._on_view_call,
            membership_effects.ViewChanged: self._on_view_changed,
            membership_effects.WriteObject: self._on_view_call,
        }

    def _receivers(self) -> dict[str, Callable]:
        return {
            configuration_messages.__name__: self._to_rollout,
            membership_messages.__name__: self._membership.receive,
            ownership_messages.__name__: lambda e, now: self._owner.received(
                e.source, e.body, self._membership, now
            ),
            pool_messages.__name__: self._to_pools,
            request_messages.__name__: self._to_exchanges,
            rights_messages.__name__: lambda e, now: self._rights.handle(
                e.source, e.body, now
            ),
        }

    def _carry(self, effects: list, now: int) -> list:
        """Give effects to the parts that they concern; returns the daemon's."""
        outer: list = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            handler = self._inner_handlers.get(type(effect))
            if handler is not None:
                pending.extendleft(reversed(handler(effect, now)))
                continue
            departure = self._departures.get(type(effect))
            if departure is not None:
                effect, following = departure(effect, now)
                pending.extendleft(reversed(following))
            outer.append(effect)
        return outer

    def _take(self, envelope: Envelope, now: int) -> list:
        handler = self._message_handlers.get(type(envelope.body).__module__)
        return [] if handler is None else handler(envelope, now)

    def _to_rollout(self, envelope: Envelope, now: int) -> list:
        return self._rollout.receive(envelope.source, envelope.body, now)

    def _to_exchanges(self, envelope: Envelope, now: int) -> list:
        body = envelope.body
        if isinstance(body, request_messages.HandOver):
            if not self._is_creditable(envelope, now):
                return self._executor.refuse(
                    envelope.source, body.id, Reason.NO_CREDIT, now
                )
            self._traceparents_by_id[body.id] = self._tracing.start(
                ("execute", body.id), "execute", body.traceparent, now
            )
        if isinstance(body, request_messages.Outcome | request_messages.StampGrant):
            return self._entry.received(envelope.source, body, now)
        return self._executor.received(envelope.source, body, now)

    def _is_creditable(self, envelope: Envelope, now: int) -> bool:
        """Return whether a hand-over may be taken in; a repeat always may."""
        body = envelope.body
        if self._executor.has_received(body.id):
            return True
        source = self._membership.instance(envelope.source)
        if source is not None and source.data_centre == self.me.data_centre:
            return True
        return self._owner.redeem(body, now)

    def _to_pools(self, envelope: Envelope, now: int) -> list:
        body = envelope.body
        if isinstance(body, pool_messages.PoolSummary):
            return self._spread(body, envelope.source, now)
        if isinstance(body, pool_messages.CreditAsk):
            return self._owner.asked(body, now)
        if isinstance(body, pool_messages.PoolHandover):
            self._owner.followed_up(body, now)
            return self._executor.tick(now)
        if self._holder.apply_grant(body, now):
            return self._steering.credit_changed(now)
        return []

    def _spread(
        self, summary: pool_messages.PoolSummary, source: str, now: int
    ) -> list:
        self._placement.apply_summary(summary, now)
        peers = [
            self._membership.instance(name)
            for name in self._membership.desired_links(now)
        ]
        known = [peer for peer in peers if peer is not None]
        names = spread_targets(summary, source, self.me, known)
        return [Send(name, summary) for name in names]

    def _on_send(self, effect: Send, now: int) -> list:
        self._sequence += 1
        envelope = Envelope(
            self.me.name,
            self.me.incarnation,
            self._sequence,
            effect.destination,
            effect.body,
        )
        spans: list = []
        if isinstance(effect.body, request_messages.HandOver):
            prepared = self._steering.prepare(effect.body, now)
            if prepared is None:
                request_id = effect.body.id
                return self._entry.send_rejected(request_id, Reason.NO_CREDIT, now)
            envelope = envelope._replace(body=prepared)
        if isinstance(effect.body, request_messages.Outcome):
            outcome = effect.body
            self._traceparents_by_id.pop(outcome.id, None)
            spans = self._tracing.end(("execute", outcome.id), now, ran=outcome.ran)
        if effect.destination == self.me.name:
            return [*spans, *self._take(envelope, now)]
        return [*spans, *self._route(envelope, now)]

    def _route(self, envelope: Envelope, now: int) -> list:
        """Send an envelope of this instance towards its destination, at its pace."""
        destination = self._membership.instance(envelope.destination)
        if destination is None:
            return self._transmit(envelope, now)
        data_centre = destination.data_centre
        is_request = isinstance(envelope.body, request_messages.HandOver)
        if is_request and self._pacer.is_full(data_centre):
            request_id = envelope.body.id
            return self._entry.send_rejected(request_id, Reason.LINK_FULL, now)
        effects: list = []
        for ready in self._pacer.submit(envelope, data_centre, now):
            effects += self._transmit(ready, now)
        return effects

    def _transmit(self, envelope: Envelope, now: int) -> list:
        hop = self._membership.next_hop(envelope.destination)
        if hop is None:
            return self._not_sent(envelope, now)
        return [Transmit(hop, envelope)]

    def _not_sent(self, envelope: Envelope, now: int) -> list:
        is_own = envelope.source == self.me.name
        if not is_own or not isinstance(envelope.body, request_messages.HandOver):
            return []
        return self._entry.send_failed(envelope.body.id, now)

    def _forward(self, peer: str, envelope: Envelope) -> list:
        hop = self._membership.next_hop(envelope.destination, peer)
        return [] if hop is None else [Transmit(hop, envelope)]

    def _on_rollout_call(self, call: Any, now: int) -> list:
        return [self._tickets.call(call, self._rollout.receive_answer)]

    def _on_view_call(self, effect: Any, now: int) -> list:
        name = effect.name
        return [
            self._tickets.call(
                view_call(effect),
                lambda answer, at: view_answer(self._membership, name, answer, at),
            )
        ]

    def _on_apply(self, effect: Apply, now: int) -> list:
        configuration = effect.configuration
        keys = KeyTable(configuration)
        before = self._steering.keys
        effects: list = [Note("configuration in force", {"number": effect.number})]
        effects += self._steering.configure(configuration, keys, now)
        effects += self._executor.apply_keys(keys, now)
        self._placement.configure(configuration)
        self._owner.configure(configuration, now)
        effects += self._owner.refresh(self._membership, now)
        effects += self._configure_rights(configuration, now)
        self._lookup.set_services(_data_centres_by_service(configuration))
        self._lookup.set_data_centres(self._placement.reachable_data_centres())
        for name in keys.withdrawn_since(before) if before is not None else ():
            effects += [
                CloseConnection(connection_id)
                for connection_id in sorted(self._callers.connections(name))
            ]
        return effects

    def _configure_rights(self, configuration: Configuration, now: int) -> list:
        contracts_by_name = {
            organisation_contract(organisation.name): organisation.contract
            for organisation in configuration.organisations_by_name.values()
        }
        homes_by_name = {}
        for shift in configuration.shifts_by_name.values():
            contracts_by_name[shift_contract(shift.name)] = shift.cap
            homes_by_name[shift_contract(shift.name)] = (shift.source,)
        data_centres = list(configuration.data_centres_by_name)
        return self._rights.configure(
            configuration.number, contracts_by_name, data_centres, now, homes_by_name
        )

    def _on_reject(self, effect: Reject, now: int) -> list:
        findings = [str(finding) for finding in effect.findings]
        fields = {"number": effect.number, "findings": findings}
        return [Note("configuration rejected", fields)]

    def _on_write(self, effect: Write, now: int) -> tuple[Write, list]:
        key = ("target", effect.request_id)
        cause = self._traceparents_by_id.get(effect.request_id, effect.traceparent)
        traceparent = self._tracing.start(key, "target", cause, now)
        return effect._replace(traceparent=traceparent), []

    def _on_answer(self, effect: Answer, now: int) -> tuple[Answer, list]:
        return effect, self._finish(effect.number, "answered", now)

    def _on_refusal(self, effect: Refusal, now: int) -> tuple[Refusal, list]:
        self.measures.count(f"refused: {effect.cause}")
        organisation = self._steering.organisation(effect.number)
        if organisation:
            self.measures.count(f"refused of {organisation}: {effect.cause}")
        return effect, self._finish(effect.number, effect.cause, now)

    def _finish(self, number: int, end: str, now: int) -> list:
        """Close the books of a request; harmless for one that is closed."""
        arrived_at = self._arrived_at_by_number.pop(number, None)
        if arrived_at is None:
            return []
        organisation = self._steering.organisation(number)
        self._steering.answered(number)
        self.measures.record_ms("request", now - arrived_at)
        if organisation:
            self.measures.record_ms(f"request of {organisation}", now - arrived_at)
        spans = self._tracing.end(("entry", number), now, end=end)
        return [*spans, *self._stopping.finish_work(now)]

    def _on_links_changed(self, effect: Any, now: int) -> list:
        address_by_peer = {}
        for name in effect.names:
            instance = self._membership.instance(name)
            if instance is not None and instance.link_address.port:
                address_by_peer[name] = instance.link_address
        return [Dial(address_by_peer)]

    def _on_live_changed(self, effect: Any, now: int) -> list:
        data_centre = effect.data_centre
        self._lookup.set_live(data_centre, self._membership.live(data_centre))
        self._refresh_at = now
        return []

    def _on_member_up(self, effect: Any, now: int) -> list:
        note = Note("peer up", effect._asdict())
        return [note, *self._entry.peer_up(effect.name, now)]

    def _on_member_down(self, effect: Any, now: int) -> list:
        gone = self._executor.sender_gone(effect.name, effect.incarnation, now)
        lost = self._entry.peer_lost(effect.name, now)
        return [Note("peer down", effect._asdict()), *gone, *lost]

    def _on_leaving(self, effect: Any, now: int) -> list:
        return [*self._membership.leave(now), *self._refresh(now)]

    def _on_paused(self, effect: Any, now: int) -> list:
        return [Note("paused", effect._asdict()), *self._owner.paused(now)]

    def _on_view_changed(self, effect: Any, now: int) -> list:
        self._refresh_at = now
        fields = {"number": effect.view.number, "members": effect.view.instances}
        return [Note("view", fields), *self._rights.set_view(effect.view, now)]

    def _refresh(self, now: int) -> list:
        """Tell the parts which instances are there."""
        self._refresh_at = now + VIEW_REFRESH_MS
        membership = self._membership
        live_by_data_centre = {
            data_centre: membership.live(data_centre)
            for data_centre in membership.data_centres()
        }
        effects: list = []
        for data_centre, instances_by_name in live_by_data_centre.items():
            if data_centre != self.me.data_centre:
                names = tuple(sorted(instances_by_name))
                effects += self._set_foreign_view(data_centre, names, now)
        names_by_data_centre = {
            name: tuple(live) for name, live in live_by_data_centre.items()
        }
        effects += self._rollout.configure_view(names_by_data_centre, now)
        silent_ms_by_name = {
            name: silence_ms
            for name in membership.view.instances
            if (silence_ms := membership.since_heartbeat_ms(name, now)) is not None
        }
        effects += self._rights.set_unresponsive(silent_ms_by_name, now)
        if self.configuration is not None:
            instances = membership.view.instances
            self._budgets.configure(self.configuration, instances, now)
            effects += self._owner.refresh(membership, now)
        return effects

    def _set_foreign_view(
        self, data_centre: str, names: tuple[str, ...], now: int
    ) -> list:
        """Tell the rights who keeps theirs elsewhere, numbered by this instance."""
        known = self._view_numbers.get(data_centre)
        if known is not None and known.instances == names:
            return []
        number = 1 if known is None else known.number + 1
        view = DataCentreView(data_centre, number, names)
        self._view_numbers[data_centre] = view
        return self._rights.set_view(view, now)

    def _count(self, name: str) -> list:
        self.measures.count(name)
        return []


def _data_centres_by_service(configuration: Configuration) -> dict[str, set[str]]:
    result: dict[str, set[str]] = {}
    for target in configuration.targets_by_name.values():
        result.setdefault(target.service, set()).add(target.data_centre)
    return result
