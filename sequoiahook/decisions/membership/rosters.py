"""Rosters: reports of instances on the members of data centres.

A reporter numbers the versions of its rosters. A follower applies changes in order
and requests a snapshot when it misses one.
"""

from collections.abc import Iterable, Mapping

from sequoiahook.decisions.membership.peers import later_state
from sequoiahook.messages.membership import (
    Member,
    Roster,
    RosterChange,
    RosterSnapshot,
)

__all__ = ["Members", "RosterFollower", "RosterReporter", "merge"]

Members = Mapping[str, Member]
"""Members of one data centre by name."""


def merge(reports: Iterable[Members]) -> dict[str, Member]:
    """Merge several reports on one data centre.

    A member of any report is in the result, in the latest state that is reported for
    its incarnation. If reports differ on the instance, the first one counts.
    """
    distinct_reports: list[Members] = []
    for report in reports:
        if report not in distinct_reports:
            distinct_reports.append(report)
    result: dict[str, Member] = {}
    for report in distinct_reports:
        for name, member in report.items():
            known = result.setdefault(name, member)
            if known.instance == member.instance:
                state = later_state(known.state, member.state)
                result[name] = Member(known.instance, state)
    return result


class RosterReporter:
    """Rosters that this instance reports to some of its peers.

    Attributes:
        version: Version of the rosters; grows by one with each change.
    """

    def __init__(self) -> None:
        self.version = 1
        self._members_by_data_centre: dict[str, dict[str, Member]] = {}

    def update(self, data_centre: str, members: Members | None) -> RosterChange | None:
        """Set the roster of a data centre.

        Args:
            data_centre: Name of the data centre.
            members: Its members; None to remove the roster.

        Returns:
            The change to send to the followers; None if nothing changed.
        """
        before = self._members_by_data_centre.get(data_centre)
        if members is None:
            if before is None:
                return None
            del self._members_by_data_centre[data_centre]
            self.version += 1
            return RosterChange(self.version, data_centre, False, (), ())
        if before == members:
            return None
        self._members_by_data_centre[data_centre] = dict(members)
        self.version += 1
        return _difference(self.version, data_centre, before or {}, members)

    def snapshot(self) -> RosterSnapshot:
        """Return all rosters, for a follower that missed a change."""
        rosters = tuple(
            Roster(data_centre, tuple(members.values()))
            for data_centre, members in self._members_by_data_centre.items()
        )
        return RosterSnapshot(self.version, rosters)


def _difference(
    version: int, data_centre: str, before: Members, after: Members
) -> RosterChange:
    changed = [member for name, member in after.items() if before.get(name) != member]
    removed = [name for name in before if name not in after]
    return RosterChange(version, data_centre, True, tuple(changed), tuple(removed))


class RosterFollower:
    """Copy of the rosters of one reporter.

    Attributes:
        version: Version held; 0 for none.
        members_by_data_centre: Members by name, by data centre.
    """

    def __init__(self) -> None:
        self.version = 0
        self.members_by_data_centre: dict[str, dict[str, Member]] = {}

    def apply_change(self, change: RosterChange) -> bool:
        """Apply a change; return False if an earlier one is missing."""
        if change.version <= self.version:
            return True
        if self.version == 0 or change.version != self.version + 1:
            return False
        self.version = change.version
        if not change.is_known:
            self.members_by_data_centre.pop(change.data_centre, None)
            return True
        members = self.members_by_data_centre.setdefault(change.data_centre, {})
        for name in change.removed:
            members.pop(name, None)
        for member in change.changed:
            members[member.instance.name] = member
        return True

    def apply_snapshot(self, snapshot: RosterSnapshot) -> frozenset[str]:
        """Replace all rosters by a newer snapshot.

        Returns:
            The data centres whose rosters may have changed.
        """
        if snapshot.version <= self.version:
            return frozenset()
        before = self.members_by_data_centre
        self.version = snapshot.version
        self.members_by_data_centre = {
            roster.data_centre: {
                member.instance.name: member for member in roster.members
            }
            for roster in snapshot.rosters
        }
        return frozenset(before) | frozenset(self.members_by_data_centre)
