"""What the leader of a group knows of the other groups."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from sequoiahook.messages.reports import GroupReport

__all__ = ["GroupView", "GroupViewSettings", "GroupViews"]


class GroupViewSettings(NamedTuple):
    """Time limits on missing reports of leaders.

    Attributes:
        outdated_after_ms: Time after which a report is no longer used.
        succeeded_after_ms: Time without a report of a leader after which a report of
            another member of its group is accepted. Shorter than the time after which
            a member leads in place of a silent leader.
    """

    outdated_after_ms: int = 2_500
    succeeded_after_ms: int = 2_000


class GroupView(NamedTuple):
    """The last report of a group.

    Attributes:
        leader: Name of the leader that sent it.
        report: The report.
        received_at: Time at which it was received, in milliseconds.
    """

    leader: str
    report: GroupReport
    received_at: int


class GroupViews:
    """The last report of each other group, by group.

    Only one leader of a group is accepted at a time. Shares of the rates are granted to
    that one; a second leader, which may exist after a partition, gets none.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: GroupViewSettings):
        self._settings = settings
        self._views_by_group: dict[str, GroupView] = {}

    def clear(self) -> None:
        """Forget all reports."""
        self._views_by_group.clear()

    def retain(self, groups: Iterable[str]) -> None:
        """Forget the reports of all groups but the given ones."""
        for group in self._views_by_group.keys() - set(groups):
            del self._views_by_group[group]

    def get(self, group: str) -> GroupView | None:
        """Return the last report of a group."""
        return self._views_by_group.get(group)

    def record(
        self, sender: str, report: GroupReport, now: int, instances: Collection[str]
    ) -> bool:
        """Record a report; return False if another leader is accepted.

        Args:
            sender: Name of the leader that sent it.
            report: The report.
            now: The time in milliseconds.
            instances: Names of the instances that the platform lists.
        """
        view = self._views_by_group.get(report.group)
        is_other = view is not None and view.leader != sender
        if is_other and view.leader in instances and not self._is_silent(view, now):
            return False
        self._views_by_group[report.group] = GroupView(sender, report, now)
        return True

    def current(self, now: int) -> dict[str, GroupView]:
        """Return the views that are not outdated, by group."""
        oldest = now - self._settings.outdated_after_ms
        views = self._views_by_group.items()
        return {group: view for group, view in views if view.received_at >= oldest}

    def current_of(self, groups: Collection[str], now: int) -> dict[str, GroupView]:
        """Return the views of some groups that are not outdated, by group."""
        views = self.current(now).items()
        return {group: view for group, view in views if group in groups}

    def leader(self, group: str, now: int) -> str | None:
        """Return the accepted leader of a group; None if there is none."""
        view = self._views_by_group.get(group)
        return None if view is None or self._is_silent(view, now) else view.leader

    def last_leader(self, group: str) -> str:
        """Return the last accepted leader of a group; empty if there was none."""
        view = self._views_by_group.get(group)
        return "" if view is None else view.leader

    def _is_silent(self, view: GroupView, now: int) -> bool:
        return now - view.received_at > self._settings.succeeded_after_ms
