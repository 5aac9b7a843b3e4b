"""Division of the fleet into groups of instances, and election of the group leaders.

The number of reports between all instances grows with the square of the fleet size, and
a small rate divided over many instances leaves each of them less than one token. Larger
fleets are therefore divided into groups, one for each data centre. The leader of a
group exchanges reports with the leaders of the others, and holds the group's share of
the rates. In a small fleet each instance is a group of its own and its own leader. An
instance that starts in a fleet that has shrunk since it was divided learns of the
division from the messages of the others.

Each member votes for a responsive leader, or for the first responsive member if there
is no leader. A member leads while it and a majority of the group have voted for it
recently, and only after the votes for its predecessor have expired, or if all members
vote for it. A silent member counts until it fails to answer a doubt of its entry in the
platform's store: it may run, and be cut off. With two members there is no majority
without the other: one of them leads alone while leaders of other groups report to it,
which accept one leader of a group at a time. A member that was suspended until another
one may lead starts anew.

Designed for fleets of tens to hundreds of instances: the cost of reports and the
accuracy of rates do not depend on the number of instances, but some requests are
refused after the loss of a leader.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.decisions.rendezvous import order
from sequoiahook.messages.reports import GroupDigest, GroupReport, MemberReport
from sequoiahook.world.instance import LiveInstance

__all__ = ["GroupSettings", "Groups", "by_link_capacity", "is_of_divided_fleet"]

LEADER_KEY = "keeper"
"""Rendezvous key of the voting order; fixed, since all instances must agree on it."""

PAIR_SIZE = 2
"""Number of present members with which one may lead without a majority."""


class GroupSettings(NamedTuple):
    """Settings of the division into groups and of the election.

    Attributes:
        divided_size_min: Number of instances from which the fleet is divided into one
            group for each data centre.
        unresponsive_after_ms: Time without a report after which a member is no longer
            voted for; several reporting intervals long.
        vote_lifetime_ms: Time for which a vote counts.
        absent_after_ms: Time without a report after which a member no longer counts
            towards the majority, if it has not answered a doubt of its entry either.
    """

    divided_size_min: int = 24
    unresponsive_after_ms: int = 1_200
    vote_lifetime_ms: int = 1_000
    absent_after_ms: int = 10_000


class Groups:
    """The groups of the fleet, and the election in the group of this instance.

    Attributes:
        is_divided: Whether there is one group for each data centre.
        vote: Name of the member that this instance votes for.
        unanswered: Instances that have not answered a doubt of their entries.

    Args:
        settings: The settings.
        me: This instance.
    """

    def __init__(self, settings: GroupSettings, me: LiveInstance):
        self.is_divided = False
        self.vote = me.name
        self.unanswered: frozenset[str] = frozenset()
        self._settings = settings
        self._me = me
        self._instances_by_name: dict[str, LiveInstance] = {}
        self._members: tuple[str, ...] = (me.name,)
        self._names = frozenset({me.name})
        self._near_names: frozenset[str] = frozenset()
        self._seen_at_by_name: dict[str, int] = {}
        self._reported_at_by_name: dict[str, int] = {}
        self._voted_at_by_name: dict[str, int] = {}
        self._leaders: set[str] = set()
        self._elected_at: int | None = None
        self._ticked_at: int | None = None
        self._contact_at: int | None = None

    @property
    def own_name(self) -> str:
        """Name of the group of this instance."""
        return self.group_of(self._me)

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the group's members in voting order, this instance included."""
        return self._members

    def group_of(self, instance: LiveInstance) -> str:
        """Return the name of an instance's group."""
        return instance.data_centre if self.is_divided else instance.name

    @property
    def names(self) -> frozenset[str]:
        """Names of all groups."""
        return self._names

    @property
    def near_names(self) -> frozenset[str]:
        """Names of the other groups in the region of this instance."""
        return self._near_names

    def members_of(self, group: str) -> list[str]:
        """Return the names of another group's members in voting order."""
        found = [
            instance
            for instance in self._instances_by_name.values()
            if self.group_of(instance) == group
        ]
        return by_link_capacity(LEADER_KEY, found)

    def set_instances(
        self, instances_by_name: Mapping[str, LiveInstance], now: int
    ) -> bool:
        """Replace the other instances.

        Once divided, the fleet stays divided, since groups cannot change while they
        hold shares of the rates.

        Returns:
            Whether this call divided the fleet.
        """
        self._instances_by_name = dict(instances_by_name)
        is_large = len(instances_by_name) + 1 >= self._settings.divided_size_min
        is_new = is_large and not self.is_divided
        self.is_divided = self.is_divided or is_large
        self._form_groups(now)
        return is_new

    def divide(self, now: int) -> None:
        """Divide the fleet, whatever its size, as other instances have."""
        self.is_divided = True
        self._form_groups(now)

    def _form_groups(self, now: int) -> None:
        instances_by_name = self._instances_by_name
        own = self.own_name
        others = instances_by_name.values()
        near = [i for i in others if i.region == self._me.region]
        self._names = frozenset(map(self.group_of, others)) | {own}
        self._near_names = frozenset(map(self.group_of, near)) - {own}
        members = [i for i in others if self.group_of(i) == own]
        self._members = tuple(by_link_capacity(LEADER_KEY, [self._me, *members]))
        for name in self._members:
            self._seen_at_by_name.setdefault(name, now)
        self.tick(now)

    def record_vote(self, member: str, vote: str, now: int, *, is_leader: bool) -> None:
        """Record a report of a member of the group.

        Args:
            member: Name of the member.
            vote: Name of the member that it votes for.
            now: The time in milliseconds.
            is_leader: Whether it reports to be the leader.
        """
        self._reported_at_by_name[member] = now
        if is_leader:
            self._leaders.add(member)
        else:
            self._leaders.discard(member)
        self._seen_at_by_name[member] = now
        if vote == self._me.name:
            self._voted_at_by_name[member] = now
        else:
            self._voted_at_by_name.pop(member, None)

    def record_contact(self, now: int) -> None:
        """Record that the leader of another group reported to this instance."""
        self._contact_at = now

    def was_suspended(self, now: int) -> bool:
        """Return whether the last tick is so long ago that another one may lead."""
        settings = self._settings
        succeeded_after_ms = settings.unresponsive_after_ms + settings.vote_lifetime_ms
        is_first = self._ticked_at is None
        return not is_first and now - self._ticked_at > succeeded_after_ms

    def is_responsive(self, member: str, now: int) -> bool:
        """Return whether a member has reported recently; this instance always has."""
        if member == self._me.name:
            return True
        reported_at = self._reported_at_by_name.get(member)
        return (
            reported_at is not None
            and now - reported_at <= self._settings.unresponsive_after_ms
        )

    def tick(self, now: int) -> None:
        """Update the vote of this instance and the outcome of the election."""
        if self.was_suspended(now):
            self._elected_at = None
        self._ticked_at = now
        if not self.is_divided:
            self.vote = self._me.name
            return
        self.vote = self._choose_vote(now)
        is_candidate = self._has_majority(now) or self._is_pair(now)
        if self.vote == self._me.name and is_candidate:
            if self._elected_at is None:
                self._elected_at = now
        else:
            self._elected_at = None

    def is_leader(self, now: int) -> bool:
        """Return whether this instance is the leader of its group."""
        if not self.is_divided:
            return True
        if self._elected_at is None or self.was_suspended(now):
            return False
        if not self._has_majority(now) and not self._may_lead_alone(now):
            return False
        has_predecessor_ended = (
            now - self._elected_at >= self._settings.vote_lifetime_ms
        )
        return has_predecessor_ended or self._is_unanimous(now)

    def _choose_vote(self, now: int) -> str:
        """Return the member to vote for.

        This instance if it is elected, else a responsive leader, preferably the present
        choice, else the first responsive member. One that leads alone gives way to a
        leader that ranks before it.
        """
        responsive = [name for name in self._members if self.is_responsive(name, now)]
        leaders = [name for name in responsive if name in self._leaders]
        if self.vote == self._me.name and self._elected_at is not None:
            rank = self._members.index
            is_first = all(rank(self._me.name) < rank(name) for name in leaders)
            if self._has_majority(now) or (is_first and self.is_leader(now)):
                return self.vote
        if self.vote in leaders:
            return self.vote
        return (leaders or responsive)[0]

    def _is_unanimous(self, now: int) -> bool:
        """Return whether all members vote for this instance.

        Then there is no predecessor: a leader votes for itself, and so does a member
        that is about to lead. After a restart of the whole group this is known as soon
        as all have reported.
        """
        oldest = now - self._settings.vote_lifetime_ms
        return all(
            self._voted_at_by_name.get(name, oldest - 1) >= oldest
            for name in self._members
            if name != self._me.name
        )

    def _has_majority(self, now: int) -> bool:
        votes = int(self.vote == self._me.name)
        for name in self._members:
            voted_at = self._voted_at_by_name.get(name)
            if (
                voted_at is not None
                and now - voted_at <= self._settings.vote_lifetime_ms
            ):
                votes += 1
        return votes * 2 > self._present_count(now)

    def _is_pair(self, now: int) -> bool:
        return self._present_count(now) == PAIR_SIZE

    def _may_lead_alone(self, now: int) -> bool:
        """Return whether this instance may lead a pair without the other's vote."""
        if not self._is_pair(now):
            return False
        if self._names == {self.own_name}:
            return True
        contact_at, lifetime_ms = self._contact_at, self._settings.unresponsive_after_ms
        return contact_at is not None and now - contact_at <= lifetime_ms

    def lacks_majority(self, now: int) -> bool:
        """Return whether this instance is the first of too few members for a leader."""
        if not self.is_divided or self.vote != self._me.name:
            return False
        responsive = sum(self.is_responsive(name, now) for name in self._members)
        return responsive * 2 <= self._present_count(now)

    def _present_count(self, now: int) -> int:
        """Return the number of members that may be running.

        A member that is only cut off from this one answers a doubt of its entry.
        """
        oldest = now - self._settings.absent_after_ms
        seen = self._seen_at_by_name
        return sum(
            name == self._me.name
            or seen.get(name, now) >= oldest
            or name not in self.unanswered
            for name in self._members
        )


def is_of_divided_fleet(sender: str, body: tuple) -> bool:
    """Return whether a message shows that its sender's fleet is divided."""
    if isinstance(body, GroupReport):
        return body.group != sender
    return isinstance(body, MemberReport | GroupDigest)


def by_link_capacity(key: str, instances: Iterable[LiveInstance]) -> list[str]:
    """Return names in the order in which instances should do work for others.

    Instances with faster links come first; equal ones are in the rendezvous order of
    the key.
    """
    link_mbps_by_name = {i.name: i.link_mbps for i in instances}
    names = order(key, link_mbps_by_name)
    return sorted(names, key=link_mbps_by_name.__getitem__, reverse=True)
