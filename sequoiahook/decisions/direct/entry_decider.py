"""Which instance decides on the entry of a silent one."""

from collections.abc import Iterable

from sequoiahook.decisions.direct.entry_expiry import (
    EntryExpiry,
    EntryStep,
    ExpirySettings,
)
from sequoiahook.decisions.direct.group_views import GroupViews
from sequoiahook.decisions.direct.groups import Groups
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.world.instance import LiveInstance

__all__ = ["EntryDecider"]


class EntryDecider:
    """Decides on entries of silent instances, as far as this instance may.

    The leader of a region decides on the entries of its instances, and the first of all
    groups on those of a region of which no instance reports. The first member of a
    group without a majority may doubt the other members.

    Args:
        settings: Settings of the expiry of entries.
        me: This instance.
        peers: The listed peers, and when they last reported.
        groups: The groups of the fleet.
        views: What is known of the other groups.
    """

    def __init__(
        self,
        settings: ExpirySettings,
        me: LiveInstance,
        peers: Peers,
        groups: Groups,
        views: GroupViews,
    ):
        self._expiry = EntryExpiry(settings)
        self._me = me
        self._peers = peers
        self._groups = groups
        self._views = views

    def set_entries(self, instances: Iterable[LiveInstance], now: int) -> None:
        """Apply the platform's list of instances, without this instance."""
        self._expiry.set_entries(instances, now)

    def unanswered(self, now: int) -> frozenset[str]:
        """Return the instances that have not answered a doubt for some time."""
        return self._expiry.unanswered(now)

    def steps(self, now: int) -> list[EntryStep]:
        """Return the entries of silent instances to doubt or to delete."""
        if not self._groups.is_leader(now):
            return self._member_doubts(now)
        instances = self._peers.instances_by_name.values()
        regions = {instance.region for instance in instances}
        decided = {region for region in regions if self._decides_on(region, now)}
        silent_ms_by_instance = {
            instance: self._peers.silent_ms(instance.name, now)
            for instance in instances
            if instance.region in decided
        }
        return self._expiry.steps(silent_ms_by_instance, now)

    def is_region_leader(self, now: int) -> bool:
        """Return whether this instance makes the decisions for its region."""
        if not self._groups.is_leader(now):
            return False
        return self._is_first_of(self._views.current_of(self._groups.near_names, now))

    def _decides_on(self, region: str, now: int) -> bool:
        if region == self._me.region:
            return self.is_region_leader(now)
        if not self._is_first_of(self._views.current(now)):
            return False
        return not any(
            self._peers.is_responsive(name, now)
            for name, instance in self._peers.instances_by_name.items()
            if instance.region == region
        )

    def _is_first_of(self, groups: Iterable[str]) -> bool:
        own_name = self._groups.own_name
        return own_name == min([own_name, *groups])

    def _member_doubts(self, now: int) -> list[EntryStep]:
        """Return the doubts of members without which the group has no majority."""
        if not self._groups.lacks_majority(now):
            return []
        instances_by_name = self._peers.instances_by_name
        silent_ms_by_member = {
            instances_by_name[name]: self._peers.silent_ms(name, now)
            for name in self._groups.members
            if name != self._me.name
        }
        return self._expiry.member_doubts(silent_ms_by_member, now)
