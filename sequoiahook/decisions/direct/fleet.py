"""What this instance tells the others, and what it takes from what they tell."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.groups import Groups, GroupSettings
from sequoiahook.decisions.direct.peers import Peers, PeerSettings
from sequoiahook.decisions.direct.rates import Rates
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_selection import TargetSelector
from sequoiahook.decisions.direct.token_desk import Answer
from sequoiahook.messages.reports import (
    Body,
    Datagram,
    GroupDigest,
    GroupReport,
    MemberReport,
    PeerState,
    TokenAsk,
    TokenDenial,
    TokenGrant,
)
from sequoiahook.world.instance import LiveInstance

__all__ = ["Fleet", "FleetParts", "FleetSettings", "Sending"]

OTHER_GROUPS = "other groups"
"""Under this name a member counts what all other groups have open at targets."""


class FleetSettings(NamedTuple):
    """Settings of the exchange between instances.

    Attributes:
        peers: When peers count as gone.
        groups: How a fleet is divided.
    """

    peers: PeerSettings = PeerSettings()
    groups: GroupSettings = GroupSettings()


class FleetParts(NamedTuple):
    """The parts that reports are made from and that take them in.

    Attributes:
        targets: The targets, with what peers have open at them.
        placing: Holds the share of objects that the region owns.
        rates: Holds the group's part of the rates.
    """

    targets: TargetRegistry
    placing: TargetSelector
    rates: Rates


class Sending(NamedTuple):
    """A datagram for an instance."""

    instance: str
    datagram: Datagram


class _GroupView(NamedTuple):
    keeper: str
    report: GroupReport
    heard_at: int


class Fleet:
    """Exchanges reports with the group and, as its keeper, with the other groups.

    Args:
        settings: The settings.
        me: This instance.
        parts: What reports are made from.
        now: The time in milliseconds.
    """

    def __init__(
        self, settings: FleetSettings, me: LiveInstance, parts: FleetParts, now: int
    ):
        self.me = me
        self.peers = Peers(settings.peers, me, now)
        self.groups = Groups(settings.groups, me)
        self._silent_ms = settings.peers.silent_ms
        self._parts = parts
        self._sequence = 0
        self._round = 0
        self._is_listed = False
        self._reports_by_member: dict[str, MemberReport] = {}
        self._views_by_group: dict[str, _GroupView] = {}

    def set_instances(
        self, instances_by_name: Mapping[str, LiveInstance], now: int
    ) -> None:
        """Take in the platform's list of instances."""
        self._is_listed = True
        self.peers.set_instances(instances_by_name, now)
        others = self.peers.instances_by_name
        if self.groups.set_instances(others, now):
            self._views_by_group.clear()
        members = set(self.groups.members)
        for name in self._reports_by_member.keys() - members:
            del self._reports_by_member[name]
        for group in self._views_by_group.keys() - self.groups.names:
            del self._views_by_group[group]
        self._update_role(now)

    def tick(self, now: int) -> None:
        """Bring the election up to date."""
        self.groups.tick(now)
        self._update_role(now)

    def reports(self, own: PeerState, now: int, *, includes_far: bool) -> list[Sending]:
        """Return what is to be sent at this time.

        Args:
            own: State of this instance.
            now: The time in milliseconds.
            includes_far: Whether groups of other regions are told as well.
        """
        self._round += 1
        sendings: list[Sending] = []
        if self.groups.is_divided:
            report = self._datagram(self._member_report(own))
            others = [n for n in self.groups.members if n != self.me.name]
            sendings += [Sending(name, report) for name in others]
            if includes_far and self.groups.is_keeper(now):
                digest = self._datagram(self._digest(now))
                sendings += [Sending(name, digest) for name in others]
        if self.groups.is_keeper(now):
            sendings += self._group_reports(own, now, includes_far=includes_far)
        return sendings

    def asks(self, now: int) -> list[Sending]:
        """Return asks for tokens, to the own keeper or to those of other groups."""
        rates = self._parts.rates
        if not rates.is_keeper:
            asks = rates.take_asks()
            keeper = self.groups.vote
            return [Sending(keeper, self._datagram(ask)) for ask in asks]
        return [
            Sending(view.keeper, self._datagram(ask))
            for group, ask in rates.quota.take_asks()
            if (view := self._views_by_group.get(group)) is not None
        ]

    def take(self, datagram: Datagram, now: int) -> list[Sending]:
        """Take in what a peer tells; return what is to be sent in turn."""
        if not self.peers.accept(datagram, now):
            return []
        sender, body = datagram.sender, datagram.body
        if isinstance(body, MemberReport):
            self._take_member(sender, body, now)
        elif isinstance(body, GroupReport):
            return self._take_group(datagram, body, now)
        elif isinstance(body, GroupDigest):
            self._take_digest(sender, body, now)
        else:
            return self._take_tokens(sender, body, now)
        return []

    def serve_waiting(self, now: int) -> list[Sending]:
        """Return the answers to members whose asks have waited until now."""
        return self._answers(self._parts.rates.serve_waiting(now))

    def is_decider(self, now: int) -> bool:
        """Return whether this instance decides for its region."""
        if not self.groups.is_keeper(now):
            return False
        return self.groups.own == min([self.groups.own, *self._near_views(now)])

    def region_loads(self, now: int) -> Counter[str]:
        """Return the load of all instances of the region by service."""
        loads = self._own_loads()
        for view in self._near_views(now).values():
            loads.update(view.report.load_by_service)
        return loads

    def near_peers(self, now: int) -> list[str]:
        """Return the instances of the region that are heard."""
        return [
            name
            for name, instance in self.peers.instances_by_name.items()
            if instance.region == self.me.region and self.peers.is_heard(name, now)
        ]

    def _update_role(self, now: int) -> None:
        if not self._is_listed:
            return
        rates = self._parts.rates
        groups = self.groups
        rates.set_role(
            is_keeper=groups.is_keeper(now),
            group=groups.own,
            groups=groups.names,
            near=groups.near_names,
            now=now,
        )
        report = self._reports_by_member.get(groups.vote)
        is_heard = groups.is_heard(groups.vote, now)
        rates.has_keeper = is_heard and report is not None and report.is_keeper

    def _near_views(self, now: int) -> dict[str, _GroupView]:
        near = self.groups.near_names
        return {
            group: view
            for group, view in self._views_by_group.items()
            if group in near and now - view.heard_at <= self._silent_ms
        }

    def _member_report(self, own: PeerState) -> MemberReport:
        rates = self._parts.rates
        return MemberReport(
            own,
            self.groups.vote,
            rates.is_keeper and rates.is_settled,
            self._own_opens(),
            self._parts.placing.home_shares.loads(),
        )

    def _digest(self, now: int) -> GroupDigest:
        states: dict[str, PeerState] = {}
        opens: Counter[str] = Counter()
        for view in self._views_by_group.values():
            if now - view.heard_at <= self._silent_ms:
                states.update(view.report.state_by_member)
                opens.update(view.report.open_by_target)
        return GroupDigest(states, dict(opens), self._homes())

    def _group_reports(
        self, own: PeerState, now: int, *, includes_far: bool
    ) -> list[Sending]:
        near = self.groups.near_names
        groups = self.groups.names - {self.groups.own}
        fields = (
            self.groups.own,
            {self.me.name: own} | self._member_states(now),
            dict(self._all_opens(now)),
            dict(self._own_loads()),
            self._homes(),
        )
        sendings = []
        for group in sorted(groups):
            receiver = self._keeper_of(group, now)
            if receiver is None or not (includes_far or group in near):
                continue
            table = self._parts.rates.quota.table_for(group)
            body = GroupReport(*fields, quota=table)
            sendings.append(Sending(receiver, self._datagram(body)))
        return sendings

    def _keeper_of(self, group: str, now: int) -> str | None:
        """Return whom to tell: the keeper, or one member after the other."""
        view = self._views_by_group.get(group)
        if view is not None and now - view.heard_at <= self._silent_ms:
            return view.keeper
        members = self.groups.members_of(group)
        return members[self._round % len(members)] if members else None

    def _member_states(self, now: int) -> dict[str, PeerState]:
        return {
            name: report.state
            for name, report in self._reports_by_member.items()
            if self.groups.is_heard(name, now)
        }

    def _own_opens(self) -> dict[str, int]:
        return {
            target_id: state.open_count
            for target_id, state in self._parts.targets.states_by_id.items()
            if state.open_count
        }

    def _all_opens(self, now: int) -> Counter[str]:
        opens = Counter(self._own_opens())
        for name, report in self._reports_by_member.items():
            if self.groups.is_heard(name, now):
                opens.update(report.open_by_target)
        return opens

    def _own_loads(self) -> Counter[str]:
        loads = Counter(self._parts.placing.home_shares.loads())
        for report in self._reports_by_member.values():
            loads.update(report.load_by_service)
        return loads

    def _homes(self) -> dict[str, int]:
        return dict(self._parts.placing.home_shares.permille_by_service)

    def _take_member(self, sender: str, report: MemberReport, now: int) -> None:
        if sender not in self.groups.members:
            return
        self.peers.reported(sender, report.state, now)
        self.groups.heard(sender, report.vote, now, is_keeper=report.is_keeper)
        self._reports_by_member[sender] = report
        self._parts.targets.note_open_counts(sender, report.open_by_target, now)
        self._update_role(now)

    def _take_group(
        self, datagram: Datagram, report: GroupReport, now: int
    ) -> list[Sending]:
        if not self.groups.is_keeper(now):
            is_passed_on = self.groups.vote != self.me.name
            return [Sending(self.groups.vote, datagram)] if is_passed_on else []
        if report.group == self.groups.own or report.group not in self.groups.names:
            return []
        self._views_by_group[report.group] = _GroupView(datagram.sender, report, now)
        for name, state in report.state_by_member.items():
            self.peers.reported(name, state, now)
        self._parts.rates.quota.heard(report.group, report.quota, now)
        self._parts.targets.note_open_counts(report.group, report.open_by_target, now)
        near = self._near_views(now)
        if report.group in near and report.group == min([self.groups.own, *near]):
            self._parts.placing.home_shares.adopt(report.home_by_service)
        return []

    def _take_digest(self, sender: str, digest: GroupDigest, now: int) -> None:
        if sender != self.groups.vote:
            return
        own = set(self.groups.members)
        for name, state in digest.state_by_instance.items():
            if name not in own:
                self.peers.reported(name, state, now)
        self._parts.targets.note_open_counts(OTHER_GROUPS, digest.open_by_target, now)
        self._parts.placing.home_shares.adopt(digest.home_by_service)

    def _take_tokens(
        self, sender: str, body: TokenAsk | TokenGrant | TokenDenial, now: int
    ) -> list[Sending]:
        rates = self._parts.rates
        is_member = self.groups.is_divided and sender in self.groups.members
        if isinstance(body, TokenGrant):
            rates.granted(body, now, by_keeper=is_member)
            return self.serve_waiting(now)
        if isinstance(body, TokenDenial):
            rates.denied(body, now)
            return []
        if is_member:
            return self._answers(rates.answer(sender, body, now))
        grant = rates.quota.lend(body, now) if rates.is_keeper else None
        return [] if grant is None else [Sending(sender, self._datagram(grant))]

    def _answers(self, answers: list[Answer]) -> list[Sending]:
        return [Sending(a.member, self._datagram(a.body)) for a in answers]

    def _datagram(self, body: Body) -> Datagram:
        self._sequence += 1
        return Datagram(self.me.name, self.me.incarnation, self._sequence, body)
