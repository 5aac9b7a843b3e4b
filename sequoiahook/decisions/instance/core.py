"""The decision logic of one instance: events from its daemon in, effects out.

The core passes the effects of each component to the component that handles them, until
only effects for the daemon are left.
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
    CloseConnection,
    LogEvent,
    OperatorReply,
    ReceivedRequest,
    SetPeerLinks,
    Transmit,
)
from sequoiahook.decisions.instance.operators import OperatorRequests
from sequoiahook.decisions.instance.pacing import LinkPacer
from sequoiahook.decisions.instance.platform_tickets import (
    PlatformTickets,
    apply_membership_answer,
    membership_call,
)
from sequoiahook.decisions.instance.pools import PoolOwner, summary_recipients
from sequoiahook.decisions.instance.settings import CoreSettings
from sequoiahook.decisions.instance.steering import (
    Cause,
    Steering,
    SteeringDependencies,
    organisation_contract,
    shift_contract,
)
from sequoiahook.decisions.instance.tracing import Tracing
from sequoiahook.decisions.keys import KeyTable, KeyUsage
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
    LeaveViews,
    StartHandover,
    Stopping,
)
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
from sequoiahook.metrics import Metrics
from sequoiahook.world.configuration import Configuration
from sequoiahook.world.instance import Instance
from sequoiahook.world.view import DataCentreView

__all__ = ["InstanceCore"]

TICK_MS = 250
VIEW_REFRESH_INTERVAL_MS = 500
HTTP_SERVICE_UNAVAILABLE = 503


class InstanceCore:
    """Combines the decision components of one instance.

    Every event method takes ``now``, the process's monotonic time in milliseconds, and
    returns the effects that the daemon has to carry out, in order.

    Args:
        settings: Settings of all components.
        me: This instance.
        rng: Source of all randomness.
        now: Time at which the process started, in milliseconds.
    """

    def __init__(self, settings: CoreSettings, me: Instance, rng: Random, now: int):
        self.me = me
        self.metrics = Metrics()
        self._settings = settings
        self._last_sequence = 0
        self._tickets = PlatformTickets()
        self._membership = Membership(settings.membership, me, rng, now)
        self._rollout = ConfigurationReplica(
            settings.rollout, me.name, me.data_centre, rng
        )
        self._operator_requests = OperatorRequests(
            settings.patching, self._rollout, self._tickets, rng
        )
        self._rights = Rights(settings.rights, me.name, me.data_centre, rng)
        self._entry = EntryExchanges(settings.entry, me.name, me.incarnation, rng)
        self._executor = Executor(settings.executor, me.name, me.incarnation, rng)
        self._pool_owner = PoolOwner(
            settings.pool, settings.placement, me, self._executor, rng
        )
        self._credit_holder = CreditHolder(settings.placement, me.name, me.incarnation)
        self._link_budgets = LinkBudgets(settings.links, me.data_centre, me.name)
        self._link_pacer = LinkPacer(self._link_budgets)
        self._placement = Placement(
            settings.placement, me.data_centre, rng, self._link_budgets
        )
        self._key_usage = KeyUsage()
        self._tracing = Tracing(me.name, rng)
        self._steering = Steering(
            settings.steering,
            me.data_centre,
            SteeringDependencies(
                self._membership,
                self._pool_owner,
                self._rights,
                self._entry,
                self._placement,
                self._credit_holder,
                self._key_usage,
                self._tracing,
            ),
        )
        self._lookup = Lookup(settings.lookup, rng)
        self._stopping = Stopping(settings.stopping, lambda: self.open_execution_count)
        self._foreign_views_by_data_centre: dict[str, DataCentreView] = {}
        self._view_refresh_at = now
        self._arrived_at_by_number: dict[int, int] = {}
        self._traceparents_by_id: dict[MessageId, str] = {}
        self._effect_handlers = self._make_effect_handlers()
        self._daemon_effect_handlers = {
            Answer: self._on_answer,
            Refusal: self._on_refusal,
            Write: self._on_write,
        }
        self._message_handlers = self._make_message_handlers()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return self._rollout.configuration

    @property
    def configuration_document(self) -> dict[str, Any]:
        """The number and the document of the configuration in force."""
        return {
            "number": self._rollout.number,
            "document": self._rollout.document or {},
        }

    @property
    def open_execution_count(self) -> int:
        """Number of requests of other instances without an acknowledged outcome."""
        return self._executor.open_count

    def receive_request(self, request: ReceivedRequest, now: int) -> list:
        """Handle a caller's request; exactly one Answer or Refusal follows."""
        self.metrics.count("requests")
        self._arrived_at_by_number[request.number] = now
        if not self._stopping.start_work():
            del self._arrived_at_by_number[request.number]
            retry_after_ms = self._settings.steering.retry_after_ms
            return [
                Refusal(
                    request.number,
                    HTTP_SERVICE_UNAVAILABLE,
                    Cause.STOPPING,
                    NOT_RUN,
                    retry_after_ms,
                )
            ]
        return self._process(self._steering.receive_request(request, now), now)

    def caller_gone(self, number: int, now: int) -> list:
        """Record that the caller of a request disconnected."""
        effects = self._process(self._steering.caller_gone(number, now), now)
        return effects + self._finish_request(number, "caller gone", now)

    def connection_closed(self, connection_id: int) -> None:
        """Record that a caller's connection is closed."""
        self._key_usage.remove_connection(connection_id)

    def look_up(self, client_host: str, organisation: str, service: str, now: int):
        """Return the instances that a caller should use, as a LookupAnswer.

        Raises:
            ValueError: If the host is not an IP address.
        """
        self.metrics.count("look-ups")
        answer: LookupAnswer = self._lookup.answer(
            client_host, organisation, service, now
        )
        return answer

    def receive_envelope(self, peer: str, envelope: Envelope, now: int) -> list:
        """Handle an envelope received over the link to a peer, or forward it."""
        if envelope.destination != self.me.name:
            return self._forward(peer, envelope)
        return self._process(self._dispatch(envelope, now), now)

    def peer_up(self, name: str, now: int) -> list:
        """Record that the link to a peer is up."""
        return self._process(self._entry.peer_up(name, now), now)

    def peer_down(self, name: str, now: int) -> list:
        """Record that the link to a peer is lost."""
        return self._process(self._entry.peer_lost(name, now), now)

    def send_failed(self, envelope: Envelope, now: int) -> list:
        """Record that no part of an envelope was written to any link."""
        return self._process(self._on_send_failed(envelope, now), now)

    def may_write(self, request_id: MessageId, now: int) -> bool:
        """Return whether a request may still be written to its target.

        The daemon calls this immediately before it writes the first byte.
        """
        return self._executor.may_write(request_id, now)

    def target_result(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list:
        """Handle the end of an exchange with a target."""
        self.metrics.record_ms("target", result.duration_ms)
        self.metrics.count(f"target: {result.stage.value}")
        spans = self._tracing.end(
            ("target", request_id),
            now,
            stage=result.stage.value,
            status=str(result.status),
        )
        effects = self._executor.target_result(request_id, result, now)
        effects += self._pool_owner.report_ended_requests(now)
        return self._process([*spans, *effects], now)

    def platform_answer(self, ticket: int, answer: CallAnswer, now: int) -> list:
        """Pass on the answer to a platform call."""
        return self._process(self._tickets.answer(ticket, answer, now), now)

    def wants_platform_list(self, now: int) -> bool:
        """Return whether to fetch the platform's list of instances.

        Only instances that watch the platform and instances that know no peer need it.
        """
        return self._rollout.is_watcher(now) or not self._membership.view.number

    def platform_list(self, members: list[Member], now: int) -> list:
        """Apply the platform's list of instances, which may be out of date."""
        return self._process(self._membership.on_platform_list(members, now), now)

    def operator_patch(self, ticket: int, document: Any, now: int) -> list:
        """Apply an operator's patch; one OperatorReply follows."""
        return self._process(self._operator_requests.patch(ticket, document, now), now)

    def operator_outcome(self, ticket: int, patch_id: str, now: int) -> list:
        """Report the outcome of a patch; one OperatorReply follows."""
        return self._process(
            self._operator_requests.outcome(ticket, patch_id, now), now
        )

    def operator_status(self, ticket: int, now: int) -> list:
        """Report each instance's configuration number; one OperatorReply follows."""
        configuration = self.configuration
        if configuration is None:
            document = {"number_by_instance": self._rollout.number_by_instance}
            return [OperatorReply(ticket, document)]
        names = list(configuration.data_centres_by_name)
        return self._process(self._operator_requests.status(ticket, names), now)

    def stop(self, now: int) -> list:
        """Start a graceful stop; a second call skips its waits."""
        return self._process(self._stopping.signal(now), now)

    def connections_closed(self, now: int) -> list:
        """Record that all callers are disconnected, while stopping."""
        return self._process(self._stopping.connections_closed(now), now)

    def tick(self, now: int) -> list:
        """Perform all work that is due."""
        effects = self._membership.tick(now)
        if now >= self._view_refresh_at:
            effects += self._refresh_views(now)
        effects += self._rollout.tick(now)
        effects += self._operator_requests.tick(now)
        effects += self._rights.tick(now)
        effects += self._steering.tick(now)
        effects += self._entry.tick(now)
        effects += self._executor.tick(now)
        effects += self._pool_owner.report_ended_requests(now)
        effects += self._credit_holder.tick(self._placement.owner_by_pool(now), now)
        for summary in self._pool_owner.due_summaries(now):
            effects += self._distribute_summary(summary, self.me.name, now)
        for envelope in self._link_pacer.tick(now):
            effects += self._transmit(envelope, now)
        effects += self._stopping.tick(now)
        return self._process(effects, now)

    def next_wake(self, now: int) -> int:
        """Return the time at which ``tick`` is next due, in milliseconds."""
        wakes = [
            now + TICK_MS,
            self._view_refresh_at,
            self._membership.next_wake(now),
            self._rollout.next_wake(now),
            self._operator_requests.next_wake(now),
            self._rights.next_wake(now),
            self._steering.next_wake(),
            self._entry.next_wake(now),
            self._executor.next_wake(now),
            self._pool_owner.next_wake(),
            self._link_pacer.next_wake(now),
            self._stopping.next_wake(now),
        ]
        return max(now, min(wake for wake in wakes if wake is not None))

    def _make_effect_handlers(self) -> dict[type, Callable]:
        return {
            Apply: self._on_apply,
            Commit: lambda e, now: self._steering.commit(e.reservation, now),
            Committed: lambda e, now: [],
            StartHandover: lambda e, now: self._rights.hand_over(now),
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
            membership_effects.ReadObject: self._on_membership_call,
            membership_effects.ViewChanged: self._on_view_changed,
            membership_effects.WriteObject: self._on_membership_call,
        }

    def _make_message_handlers(self) -> dict[str, Callable]:
        return {
            configuration_messages.__name__: self._on_configuration_message,
            membership_messages.__name__: self._membership.receive,
            ownership_messages.__name__: lambda e, now: self._pool_owner.receive(
                e.source, e.body, self._membership, now
            ),
            pool_messages.__name__: self._on_pool_message,
            request_messages.__name__: self._on_request_message,
            rights_messages.__name__: lambda e, now: self._rights.handle(
                e.source, e.body, now
            ),
        }

    def _process(self, effects: list, now: int) -> list:
        """Pass effects to the components; return those for the daemon."""
        daemon_effects: list = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            handler = self._effect_handlers.get(type(effect))
            if handler is not None:
                pending.extendleft(reversed(handler(effect, now)))
                continue
            daemon_handler = self._daemon_effect_handlers.get(type(effect))
            if daemon_handler is not None:
                effect, following = daemon_handler(effect, now)
                pending.extendleft(reversed(following))
            daemon_effects.append(effect)
        return daemon_effects

    def _dispatch(self, envelope: Envelope, now: int) -> list:
        handler = self._message_handlers.get(type(envelope.body).__module__)
        return [] if handler is None else handler(envelope, now)

    def _on_configuration_message(self, envelope: Envelope, now: int) -> list:
        return self._rollout.receive(envelope.source, envelope.body, now)

    def _on_request_message(self, envelope: Envelope, now: int) -> list:
        body = envelope.body
        if isinstance(body, request_messages.HandOver):
            if not self._redeem_credit(envelope, now):
                return self._executor.refuse(
                    envelope.source, body.id, Reason.NO_CREDIT, now
                )
            self._traceparents_by_id[body.id] = self._tracing.start(
                ("execute", body.id), "execute", body.traceparent, now
            )
        if isinstance(body, request_messages.Outcome | request_messages.StampGrant):
            return self._entry.received(envelope.source, body, now)
        return self._executor.received(envelope.source, body, now)

    def _redeem_credit(self, envelope: Envelope, now: int) -> bool:
        """Redeem the credit of a handover; return whether it may be accepted.

        Repeated handovers and those from the own data centre need no credit.
        """
        body = envelope.body
        if self._executor.has_received(body.id):
            return True
        source = self._membership.instance(envelope.source)
        if source is not None and source.data_centre == self.me.data_centre:
            return True
        return self._pool_owner.redeem_credit(body, now)

    def _on_pool_message(self, envelope: Envelope, now: int) -> list:
        body = envelope.body
        if isinstance(body, pool_messages.PoolSummary):
            return self._distribute_summary(body, envelope.source, now)
        if isinstance(body, pool_messages.CreditAsk):
            return self._pool_owner.answer_credit_request(body, now)
        if isinstance(body, pool_messages.PoolHandover):
            self._pool_owner.apply_handover(body, now)
            return self._executor.tick(now)
        if self._credit_holder.apply_grant(body, now):
            return self._steering.credit_changed(now)
        return []

    def _distribute_summary(
        self, summary: pool_messages.PoolSummary, source: str, now: int
    ) -> list:
        self._placement.apply_summary(summary, now)
        peers = [
            self._membership.instance(name)
            for name in self._membership.desired_links(now)
        ]
        known_peers = [peer for peer in peers if peer is not None]
        names = summary_recipients(summary, source, self.me, known_peers)
        return [Send(name, summary) for name in names]

    def _on_send(self, effect: Send, now: int) -> list:
        self._last_sequence += 1
        envelope = Envelope(
            self.me.name,
            self.me.incarnation,
            self._last_sequence,
            effect.destination,
            effect.body,
        )
        spans: list = []
        if isinstance(effect.body, request_messages.HandOver):
            prepared = self._steering.prepare_handover(effect.body, now)
            if prepared is None:
                request_id = effect.body.id
                return self._entry.send_rejected(request_id, Reason.NO_CREDIT, now)
            envelope = envelope._replace(body=prepared)
        if isinstance(effect.body, request_messages.Outcome):
            outcome = effect.body
            self._traceparents_by_id.pop(outcome.id, None)
            spans = self._tracing.end(("execute", outcome.id), now, ran=outcome.ran)
        if effect.destination == self.me.name:
            return [*spans, *self._dispatch(envelope, now)]
        return [*spans, *self._route(envelope, now)]

    def _route(self, envelope: Envelope, now: int) -> list:
        """Send an envelope of this instance when the link budget permits."""
        destination = self._membership.instance(envelope.destination)
        if destination is None:
            return self._transmit(envelope, now)
        data_centre = destination.data_centre
        is_request = isinstance(envelope.body, request_messages.HandOver)
        if is_request and self._link_pacer.is_full(data_centre):
            request_id = envelope.body.id
            return self._entry.send_rejected(request_id, Reason.LINK_FULL, now)
        effects: list = []
        for ready in self._link_pacer.submit(envelope, data_centre, now):
            effects += self._transmit(ready, now)
        return effects

    def _transmit(self, envelope: Envelope, now: int) -> list:
        next_hop = self._membership.next_hop(envelope.destination)
        if next_hop is None:
            return self._on_send_failed(envelope, now)
        return [Transmit(next_hop, envelope)]

    def _on_send_failed(self, envelope: Envelope, now: int) -> list:
        is_own = envelope.source == self.me.name
        if not is_own or not isinstance(envelope.body, request_messages.HandOver):
            return []
        return self._entry.send_failed(envelope.body.id, now)

    def _forward(self, peer: str, envelope: Envelope) -> list:
        next_hop = self._membership.next_hop(envelope.destination, peer)
        return [] if next_hop is None else [Transmit(next_hop, envelope)]

    def _on_rollout_call(self, call: Any, now: int) -> list:
        return [self._tickets.call(call, self._rollout.receive_answer)]

    def _on_membership_call(self, effect: Any, now: int) -> list:
        name = effect.name
        return [
            self._tickets.call(
                membership_call(effect),
                lambda answer, at: apply_membership_answer(
                    self._membership, name, answer, at
                ),
            )
        ]

    def _on_apply(self, effect: Apply, now: int) -> list:
        configuration = effect.configuration
        keys = KeyTable(configuration)
        previous_keys = self._steering.keys
        effects: list = [LogEvent("configuration in force", {"number": effect.number})]
        effects += self._steering.configure(configuration, keys, now)
        effects += self._executor.apply_keys(keys, now)
        self._placement.configure(configuration)
        self._pool_owner.configure(configuration, now)
        effects += self._pool_owner.refresh(self._membership, now)
        effects += self._configure_rights(configuration, now)
        self._lookup.set_services(_data_centres_by_service(configuration))
        self._lookup.set_data_centres(self._placement.reachable_data_centres())
        for name in (
            keys.withdrawn_since(previous_keys) if previous_keys is not None else ()
        ):
            effects += [
                CloseConnection(connection_id)
                for connection_id in sorted(self._key_usage.connections(name))
            ]
        return effects

    def _configure_rights(self, configuration: Configuration, now: int) -> list:
        contracts_by_name = {
            organisation_contract(organisation.name): organisation.contract
            for organisation in configuration.organisations_by_name.values()
        }
        data_centres_by_contract = {}
        for shift in configuration.shifts_by_name.values():
            contracts_by_name[shift_contract(shift.name)] = shift.cap
            data_centres_by_contract[shift_contract(shift.name)] = (shift.source,)
        data_centres = list(configuration.data_centres_by_name)
        return self._rights.configure(
            configuration.number,
            contracts_by_name,
            data_centres,
            now,
            data_centres_by_contract,
        )

    def _on_reject(self, effect: Reject, now: int) -> list:
        findings = [str(finding) for finding in effect.findings]
        fields = {"number": effect.number, "findings": findings}
        return [LogEvent("configuration rejected", fields)]

    def _on_write(self, effect: Write, now: int) -> tuple[Write, list]:
        key = ("target", effect.request_id)
        parent = self._traceparents_by_id.get(effect.request_id, effect.traceparent)
        traceparent = self._tracing.start(key, "target", parent, now)
        return effect._replace(traceparent=traceparent), []

    def _on_answer(self, effect: Answer, now: int) -> tuple[Answer, list]:
        return effect, self._finish_request(effect.number, "answered", now)

    def _on_refusal(self, effect: Refusal, now: int) -> tuple[Refusal, list]:
        self.metrics.count(f"refused: {effect.cause}")
        organisation = self._steering.organisation_of(effect.number)
        if organisation:
            self.metrics.count(f"refused of {organisation}: {effect.cause}")
        return effect, self._finish_request(effect.number, effect.cause, now)

    def _finish_request(self, number: int, end: str, now: int) -> list:
        """Record the end of a request; has no effect if it has already ended."""
        arrived_at = self._arrived_at_by_number.pop(number, None)
        if arrived_at is None:
            return []
        organisation = self._steering.organisation_of(number)
        self._steering.remove(number)
        self.metrics.record_ms("request", now - arrived_at)
        if organisation:
            self.metrics.record_ms(f"request of {organisation}", now - arrived_at)
        spans = self._tracing.end(("entry", number), now, end=end)
        return [*spans, *self._stopping.finish_work(now)]

    def _on_links_changed(self, effect: Any, now: int) -> list:
        address_by_peer = {}
        for name in effect.names:
            instance = self._membership.instance(name)
            if instance is not None and instance.link_address.port:
                address_by_peer[name] = instance.link_address
        return [SetPeerLinks(address_by_peer)]

    def _on_live_changed(self, effect: Any, now: int) -> list:
        data_centre = effect.data_centre
        self._lookup.set_live_instances(data_centre, self._membership.live(data_centre))
        self._view_refresh_at = now
        return []

    def _on_member_up(self, effect: Any, now: int) -> list:
        log_event = LogEvent("peer up", effect._asdict())
        return [log_event, *self._entry.peer_up(effect.name, now)]

    def _on_member_down(self, effect: Any, now: int) -> list:
        executor_effects = self._executor.sender_gone(
            effect.name, effect.incarnation, now
        )
        entry_effects = self._entry.peer_lost(effect.name, now)
        return [
            LogEvent("peer down", effect._asdict()),
            *executor_effects,
            *entry_effects,
        ]

    def _on_leaving(self, effect: Any, now: int) -> list:
        return [*self._membership.leave(now), *self._refresh_views(now)]

    def _on_paused(self, effect: Any, now: int) -> list:
        return [LogEvent("paused", effect._asdict()), *self._pool_owner.paused(now)]

    def _on_view_changed(self, effect: Any, now: int) -> list:
        self._view_refresh_at = now
        fields = {"number": effect.view.number, "members": effect.view.instances}
        return [LogEvent("view", fields), *self._rights.set_view(effect.view, now)]

    def _refresh_views(self, now: int) -> list:
        """Pass the live instances of all data centres to the components."""
        self._view_refresh_at = now + VIEW_REFRESH_INTERVAL_MS
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
        since_heartbeat_ms_by_name = {
            name: since_heartbeat_ms
            for name in membership.view.instances
            if (since_heartbeat_ms := membership.since_heartbeat_ms(name, now))
            is not None
        }
        effects += self._rights.record_report_ages(since_heartbeat_ms_by_name, now)
        if self.configuration is not None:
            instances = membership.view.instances
            self._link_budgets.configure(self.configuration, instances, now)
            effects += self._pool_owner.refresh(membership, now)
        return effects

    def _set_foreign_view(
        self, data_centre: str, names: tuple[str, ...], now: int
    ) -> list:
        """Pass another data centre's view to the rights, numbered by this instance."""
        last_view = self._foreign_views_by_data_centre.get(data_centre)
        if last_view is not None and last_view.instances == names:
            return []
        number = 1 if last_view is None else last_view.number + 1
        view = DataCentreView(data_centre, number, names)
        self._foreign_views_by_data_centre[data_centre] = view
        return self._rights.set_view(view, now)

    def _count(self, name: str) -> list:
        self.metrics.count(name)
        return []


def _data_centres_by_service(configuration: Configuration) -> dict[str, set[str]]:
    result: dict[str, set[str]] = {}
    for target in configuration.targets_by_name.values():
        result.setdefault(target.service, set()).add(target.data_centre)
    return result
