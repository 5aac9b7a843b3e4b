"""Exchange of demands and ratios of organisations between the instances of the fleet.

While a service is short of capacity, members report their demand to the leader of their
group, leaders report the sum to each other, and each leader computes the ratios and
sends them to its members. Leaders that know the same demands compute the same ratios;
those on the two sides of a partition divide the capacity that each side sees. None of
this uses the store.
"""

from typing import NamedTuple

from sequoiahook.decisions.direct.group_views import GroupViews
from sequoiahook.decisions.direct.groups import Groups
from sequoiahook.decisions.direct.organisation_shares import (
    OrganisationShares,
    combined,
    ratios,
)
from sequoiahook.decisions.direct.outgoing import OutgoingBody
from sequoiahook.messages.shares import ShareBody, ShareDemand, ShareRatios

__all__ = ["ShareExchange"]

SERVICES_MAX = 100
"""Services for which demands of one sender are kept, which bounds the memory."""


class _Received(NamedTuple):
    demand: ShareDemand
    at: int


class ShareExchange:
    """Sends, collects and applies demands and ratios.

    Args:
        me: Name of this instance.
        shares: Counts of this instance, and the ratios in force.
        groups: The groups of the fleet.
        views: The leaders of the other groups.
    """

    def __init__(
        self,
        me: str,
        shares: OrganisationShares,
        groups: Groups,
        views: GroupViews,
    ):
        self._me = me
        self._shares = shares
        self._groups = groups
        self._views = views
        self._by_member: dict[str, dict[str, _Received]] = {}
        self._by_group: dict[str, dict[str, _Received]] = {}

    def reports(self, now: int, *, includes_far: bool) -> list[OutgoingBody]:
        """Decide the ratios if this instance leads; return the messages to send."""
        self._shares.expire(now)
        for by_sender in (self._by_member, self._by_group):
            self._expire(by_sender, now)
        services = self._shares.short_services(now)
        if not self._groups.is_leader(now):
            leader = self._groups.vote
            if leader == self._me:
                return []  # It is about to lead.
            return [OutgoingBody(leader, self._shares.demand(s, now)) for s in services]
        received = [*self._by_member.values(), *self._by_group.values()]
        services = sorted(set(services).union(*received))
        if not services:
            return []
        return [
            body
            for service in services
            for body in self._lead(service, now, includes_far=includes_far)
        ]

    def receive(self, sender: str, body: ShareBody, now: int) -> None:
        """Apply a message of a peer."""
        groups = self._groups
        if isinstance(body, ShareRatios):
            if sender == groups.vote and not groups.is_leader(now):
                self._shares.set_ratios(
                    body.service, body.permille_by_organisation, now
                )
        elif body.group == "":
            if sender in groups.members:
                _record(self._by_member, sender, body, now)
        elif body.group in groups.names and body.group != groups.own_name:
            _record(self._by_group, body.group, body, now)

    def _lead(
        self, service: str, now: int, *, includes_far: bool
    ) -> list[OutgoingBody]:
        """Decide the ratios of a service; return the messages to send."""
        groups = self._groups
        own = [self._shares.demand(service, now), *_of(self._by_member, service)]
        total = combined(groups.own_name, own)
        demands = [total, *_of(self._by_group, service)]
        if not any(demand.is_short for demand in demands):
            return []
        weights = self._shares.weight_by_organisation
        permille_by_organisation = ratios(demands, weights)
        self._shares.set_ratios(service, permille_by_organisation, now)
        outgoing = []
        for group in sorted(groups.names - {groups.own_name}):
            leader = self._views.leader(group, now)
            if leader is not None and (includes_far or group in groups.near_names):
                outgoing.append(OutgoingBody(leader, total))
        decided = ShareRatios(service, permille_by_organisation)
        members = [name for name in groups.members if name != self._me]
        return outgoing + [OutgoingBody(name, decided) for name in members]

    def _expire(self, by_sender: dict[str, dict[str, _Received]], now: int) -> None:
        oldest = now - self._shares.settings.valid_ms
        for sender, by_service in list(by_sender.items()):
            for service, received in list(by_service.items()):
                if received.at < oldest:
                    del by_service[service]
            if not by_service:
                del by_sender[sender]


def _record(
    by_sender: dict[str, dict[str, _Received]],
    sender: str,
    demand: ShareDemand,
    now: int,
) -> None:
    by_service = by_sender.setdefault(sender, {})
    if demand.service in by_service or len(by_service) < SERVICES_MAX:
        by_service[demand.service] = _Received(demand, now)


def _of(by_sender: dict[str, dict[str, _Received]], service: str) -> list[ShareDemand]:
    return [
        by_service[service].demand
        for by_service in by_sender.values()
        if service in by_service
    ]
