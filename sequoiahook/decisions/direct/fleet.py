"""Exchange of reports and tokens between the instances of the fleet."""

from collections import Counter
from collections.abc import Mapping

from sequoiahook.decisions.direct.entry_decider import EntryDecider
from sequoiahook.decisions.direct.entry_lease import EntryLease
from sequoiahook.decisions.direct.fleet_settings import FleetComponents, FleetSettings
from sequoiahook.decisions.direct.group_views import (
    GroupView,
    GroupViews,
    GroupViewSettings,
)
from sequoiahook.decisions.direct.groups import Groups, is_of_divided_fleet
from sequoiahook.decisions.direct.organisation_shares import OrganisationShares
from sequoiahook.decisions.direct.outgoing import (
    DatagramFactory,
    OutgoingBody,
    OutgoingDatagram,
)
from sequoiahook.decisions.direct.peer_exchanges import PeerExchanges
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.decisions.direct.share_exchange import ShareExchange
from sequoiahook.decisions.direct.token_server import TokenAnswer
from sequoiahook.messages.reports import (
    Datagram,
    GroupDigest,
    GroupReport,
    MemberReport,
    PeerState,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from sequoiahook.messages.shares import ShareBody
from sequoiahook.world.instance import LiveInstance

__all__ = ["Fleet"]

OTHER_GROUPS = "other groups"
"""Name under which a member counts the open requests of all other groups."""


class Fleet:
    """Exchanges reports in the group and, as its leader, with the other groups.

    Args:
        settings: The settings.
        me: This instance.
        components: Components that reports are built from and applied to.
        now: The time in milliseconds.
    """

    def __init__(
        self,
        settings: FleetSettings,
        me: LiveInstance,
        components: FleetComponents,
        now: int,
    ):
        self.me = me
        self.peers = Peers(settings.peers, me, now)
        self.groups = Groups(settings.groups, me)
        self._exchanges = PeerExchanges(
            settings.exchanges, me, self.peers, components.targets
        )
        self.permits = self._exchanges.permits
        self.suspects = self._exchanges.suspects
        self.connectivity = self._exchanges.connectivity
        self.leaves = self._exchanges.leaves
        self._components = components
        self._datagrams = DatagramFactory(me)
        self._report_round = 0
        self.is_listed = False
        self._reports_by_member: dict[str, MemberReport] = {}
        components.rates.renew_role = self.renew_role
        self._views = GroupViews(
            GroupViewSettings(settings.peers.unresponsive_after_ms)
        )
        self.shares = OrganisationShares(settings.shares)
        self._share_exchange = ShareExchange(
            me.name, self.shares, self.groups, self._views
        )
        self.entries = EntryDecider(
            settings.expiry, me, self.peers, self.groups, self._views
        )
        self.lease = EntryLease(settings.lease)

    def set_instances(
        self, instances_by_name: Mapping[str, LiveInstance], now: int
    ) -> None:
        """Apply the platform's list of instances."""
        self.is_listed = True
        self.peers.set_instances(instances_by_name, now)
        others = self.peers.instances_by_name
        self.entries.set_entries(others.values(), now)
        if self.groups.set_instances(others, now):
            self._views.clear()
        members = set(self.groups.members)
        for name in self._reports_by_member.keys() - members:
            del self._reports_by_member[name]
        self._views.retain(self.groups.names)
        self._update_role(now)

    def _divide(self, now: int) -> None:
        """Divide the fleet as its other instances have.

        Instances of either kind ignore the reports of the other kind.
        """
        self.groups.divide(now)
        self._views.clear()
        self._update_role(now)

    def tick(self, now: int, store_age_ms: int | None = None) -> None:
        """Update the election, the role and the lease of this instance.

        Args:
            now: The time in milliseconds.
            store_age_ms: Time since the store was last read; None if unknown.
        """
        self.groups.unanswered = self.entries.unanswered(now)
        self.groups.tick(now)
        self._update_role(now)
        others = self.groups.names - {self.groups.own_name}
        has_all = others <= self._views.current(now).keys()
        self.lease.update(store_age_ms, now, has_all_reports=has_all)
        self._components.rates.apply_lease(self.lease)

    def renew_role(self, now: int) -> None:
        """Update the role before the next tick if this instance was suspended."""
        if self.groups.was_suspended(now):
            self.tick(now)

    def reports(
        self, own: PeerState, now: int, *, includes_far: bool
    ) -> list[OutgoingDatagram]:
        """Return the reports that are due now.

        Args:
            own: State of this instance.
            now: The time in milliseconds.
            includes_far: Whether groups of other regions get reports as well.
        """
        self._report_round += 1
        outgoing: list[OutgoingDatagram] = []
        if self.groups.is_divided:
            report = self._datagrams.datagram(self._member_report(own))
            others = [n for n in self.groups.members if n != self.me.name]
            outgoing += [OutgoingDatagram(name, report) for name in others]
            if includes_far and self.groups.is_leader(now):
                digest = self._datagrams.datagram(self._digest(now))
                outgoing += [OutgoingDatagram(name, digest) for name in others]
        if self.groups.is_leader(now):
            outgoing += self._group_reports(own, now, includes_far=includes_far)
        self.permits.is_leaving = own.is_leaving
        bodies = self._exchanges.reports(now)
        bodies += self._share_exchange.reports(now, includes_far=includes_far)
        return outgoing + self._datagrams.datagrams(bodies)

    def token_requests(self, now: int) -> list[OutgoingDatagram]:
        """Return the messages that do not wait for the next report."""
        urgent = self._datagrams.datagrams(self._exchanges.urgent(now))
        return self._rate_token_requests() + urgent

    def _rate_token_requests(self) -> list[OutgoingDatagram]:
        """Return the token requests for the group's leader or those of other groups."""
        rates = self._components.rates
        if not rates.is_leader:
            requests = rates.pop_token_requests()
            leader = self.groups.vote
            return [
                OutgoingDatagram(leader, self._datagrams.datagram(request))
                for request in requests
            ]
        return [
            OutgoingDatagram(view.leader, self._datagrams.datagram(request))
            for group, request in rates.quota.pop_token_requests()
            if (view := self._views.get(group)) is not None
        ]

    def receive(self, datagram: Datagram, now: int) -> list[OutgoingDatagram]:
        """Apply a datagram of a peer; return the datagrams to send in response."""
        if not self.peers.accept(datagram, now):
            return []
        sender, body = datagram.sender, datagram.body
        self.renew_role(now)
        if not self.groups.is_divided and is_of_divided_fleet(sender, body):
            self._divide(now)
        if isinstance(body, MemberReport):
            self._apply_member_report(sender, body, now)
        elif isinstance(body, GroupReport):
            return self._apply_group_report(datagram, body, now)
        elif isinstance(body, GroupDigest):
            self._apply_digest(sender, body, now)
        elif isinstance(body, ShareBody):
            self._share_exchange.receive(sender, body, now)
        else:
            answers = self._exchanges.receive(sender, body, now)
            if answers is None:
                return self._apply_token_message(sender, body, now)
            return self._datagrams.datagrams(answers)
        return []

    def serve_waiting(self, now: int) -> list[OutgoingDatagram]:
        """Return answers to token requests of members that need not wait any longer."""
        return self._outgoing_answers(self._components.rates.serve_waiting(now))

    def is_region_leader(self, now: int) -> bool:
        """Return whether this instance makes the decisions for its region."""
        return self.entries.is_region_leader(now)

    def region_loads(self, now: int) -> Counter[str]:
        """Return the region's load by service, in thousandths of a target's slot."""
        loads = self._group_loads()
        for view in self._near_views(now).values():
            loads.update(view.report.load_by_service)
        return loads

    def near_peers(self, now: int) -> list[str]:
        """Return the names of the responsive peers in the region of this instance."""
        return self.peers.near(now)

    def _update_role(self, now: int) -> None:
        if not self.is_listed:
            return
        rates = self._components.rates
        groups = self.groups
        rates.set_role(
            is_leader=groups.is_leader(now),
            group=groups.own_name,
            groups=groups.names,
            near=groups.near_names,
            ended=self._ended_groups(),
            now=now,
        )
        report = self._reports_by_member.get(groups.vote)
        is_responsive = groups.is_responsive(groups.vote, now)
        rates.has_leader = is_responsive and report is not None and report.is_leader

    def _ended_groups(self) -> frozenset[str]:
        """Return the groups whose end is known, in a fleet that is not divided."""
        if self.groups.is_divided:
            return frozenset()
        return self.peers.announced_ends()

    def _near_views(self, now: int) -> dict[str, GroupView]:
        return self._views.current_of(self.groups.near_names, now)

    def _member_report(self, own: PeerState) -> MemberReport:
        rates = self._components.rates
        return MemberReport(
            own,
            self.groups.vote,
            rates.is_leader and rates.has_shares,
            self._own_open_counts(),
            self._components.selector.home_shares.loads(),
        )

    def _digest(self, now: int) -> GroupDigest:
        states: dict[str, PeerState] = {}
        open_counts: Counter[str] = Counter()
        for view in self._views.current(now).values():
            states.update(view.report.state_by_member)
            open_counts.update(view.report.open_by_target)
        return GroupDigest(states, dict(open_counts), self._home_permille())

    def _group_reports(
        self, own: PeerState, now: int, *, includes_far: bool
    ) -> list[OutgoingDatagram]:
        near = self.groups.near_names
        groups = self.groups.names - {self.groups.own_name}
        fields = (
            self.groups.own_name,
            {self.me.name: own} | self._state_by_member(now),
            dict(self._group_open_counts(now)),
            dict(self._group_loads()),
            self._home_permille(),
        )
        outgoing = []
        for group in sorted(groups):
            if not (includes_far or group in near):
                continue
            receiver = self._views.leader(group, now) or self._member_in_turn(group)
            if receiver is None:
                continue
            table = self._components.rates.quota.table_for(group)
            body = GroupReport(*fields, quota=table)
            outgoing.append(OutgoingDatagram(receiver, self._datagrams.datagram(body)))
        return outgoing

    def _member_in_turn(self, group: str) -> str | None:
        """Return a member of a group without a leader, a different one each round."""
        members = self.groups.members_of(group)
        silent = self._views.last_leader(group)
        members = [name for name in members if name != silent] or members
        return members[self._report_round % len(members)] if members else None

    def _state_by_member(self, now: int) -> dict[str, PeerState]:
        return {
            name: report.state
            for name, report in self._reports_by_member.items()
            if self.groups.is_responsive(name, now)
        }

    def _own_open_counts(self) -> dict[str, int]:
        if self.connectivity.is_lost:
            return {}  # Requests that hang on the way are no load of the targets.
        return {
            target_id: state.open_count
            for target_id, state in self._components.targets.states_by_id.items()
            if state.open_count
        }

    def _group_open_counts(self, now: int) -> Counter[str]:
        open_counts = Counter(self._own_open_counts())
        for name, report in self._reports_by_member.items():
            if self.groups.is_responsive(name, now):
                open_counts.update(report.open_by_target)
        return open_counts

    def _group_loads(self) -> Counter[str]:
        loads = Counter(self._components.selector.home_shares.loads())
        for report in self._reports_by_member.values():
            loads.update(report.load_by_service)
        return loads

    def _home_permille(self) -> dict[str, int]:
        return self._components.selector.home_shares.known()

    def _apply_member_report(self, sender: str, report: MemberReport, now: int) -> None:
        if sender not in self.groups.members:
            return
        self.peers.record_state(sender, report.state, now)
        self.groups.record_vote(sender, report.vote, now, is_leader=report.is_leader)
        self._reports_by_member[sender] = report
        self._components.targets.record_open_counts(sender, report.open_by_target, now)
        self._update_role(now)

    def _apply_group_report(
        self, datagram: Datagram, report: GroupReport, now: int
    ) -> list[OutgoingDatagram]:
        if report.group != self.groups.own_name:
            self.groups.record_contact(now)
        if not self.groups.is_leader(now):
            is_forwarded = self.groups.vote != self.me.name
            return (
                [OutgoingDatagram(self.groups.vote, datagram)] if is_forwarded else []
            )
        if (
            report.group == self.groups.own_name
            or report.group not in self.groups.names
        ):
            return []
        instances = self.peers.instances_by_name.keys()
        if not self._views.record(datagram.sender, report, now, instances):
            return []
        for name, state in report.state_by_member.items():
            self.peers.record_state(name, state, now)
        self._components.rates.quota.receive_table(report.group, report.quota, now)
        self._components.targets.record_open_counts(
            report.group, report.open_by_target, now
        )
        self._apply_home_shares(report, now)
        return []

    def _apply_home_shares(self, report: GroupReport, now: int) -> None:
        near = self._near_views(now)
        if report.group not in near:
            return
        shares = self._components.selector.home_shares
        if report.group == min([self.groups.own_name, *near]):
            shares.adopt(report.home_by_service, now)
        else:
            shares.adopt_unknown(report.home_by_service, now)

    def _apply_digest(self, sender: str, digest: GroupDigest, now: int) -> None:
        if sender != self.groups.vote:
            return
        own = set(self.groups.members)
        for name, state in digest.state_by_instance.items():
            if name not in own:
                self.peers.record_state(name, state, now)
        self._components.targets.record_open_counts(
            OTHER_GROUPS, digest.open_by_target, now
        )
        self._components.selector.home_shares.adopt(digest.home_by_service, now)

    def _apply_token_message(
        self, sender: str, body: TokenRequest | TokenGrant | TokenDenial, now: int
    ) -> list[OutgoingDatagram]:
        rates = self._components.rates
        is_member = self.groups.is_divided and sender in self.groups.members
        if isinstance(body, TokenGrant):
            rates.receive_grant(body, now, by_leader=is_member)
            return self.serve_waiting(now)
        if isinstance(body, TokenDenial):
            rates.receive_denial(body, now)
            return []
        if is_member:
            return self._outgoing_answers(rates.answer(sender, body, now))
        grant = rates.quota.lend(body, now) if rates.is_leader else None
        answers = [] if grant is None else [OutgoingBody(sender, grant)]
        return self._datagrams.datagrams(answers)

    def _outgoing_answers(self, answers: list[TokenAnswer]) -> list[OutgoingDatagram]:
        return self._datagrams.datagrams(OutgoingBody(*a) for a in answers)
