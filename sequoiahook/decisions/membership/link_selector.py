"""Selection of the instances of other data centres that this one links to."""

from sequoiahook.decisions.membership.fleet import Fleet
from sequoiahook.decisions.membership.links import far_ends, near_ends, pair_key
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.world.instance import Instance

__all__ = ["LinkSelector"]


class LinkSelector:
    """Selects links to other data centres from their live instances.

    Args:
        settings: Membership settings.
        me: This instance.
        fleet: Members of all data centres.

    Attributes:
        desired_peers_by_data_centre: Instances to hold a link to, by their data centre.
        desired_peers: The same instances of all data centres.
    """

    def __init__(self, settings: MembershipSettings, me: Instance, fleet: Fleet):
        self.desired_peers_by_data_centre: dict[str, frozenset[str]] = {}
        self.desired_peers: frozenset[str] = frozenset()
        self._settings = settings
        self._me = me
        self._fleet = fleet
        self._retry_at_by_name: dict[str, int] = {}

    def avoid(self, name: str, now: int) -> None:
        """Skip an instance that is unresponsive on its link for link_retry_ms."""
        self._retry_at_by_name[name] = now + self._settings.link_retry_ms

    def expire(self, now: int) -> set[str]:
        """Return data centres with an instance that may now be tried again."""
        due = [name for name, at in self._retry_at_by_name.items() if at <= now]
        for name in due:
            del self._retry_at_by_name[name]
        data_centres = {self._fleet.data_centre_of(name) for name in due}
        return {data_centre for data_centre in data_centres if data_centre is not None}

    def refresh(self, data_centre: str, now: int) -> None:
        """Select again the instances of one data centre to link to."""
        key = pair_key(self._me.data_centre, data_centre)
        local_names = self._fleet.link_candidates(self._me.data_centre)
        ends = near_ends(key, local_names, self._settings.links_per_pair)
        slots = [slot for slot, name in enumerate(ends) if name == self._me.name]
        names: set[str] = set()
        if slots:
            candidates = self._fleet.link_candidates(data_centre)
            names = far_ends(key, candidates, slots, self._retry_at, now)
        if self.desired_peers_by_data_centre.get(data_centre) != names:
            self.desired_peers_by_data_centre[data_centre] = frozenset(names)
            self.desired_peers = frozenset().union(
                *self.desired_peers_by_data_centre.values()
            )

    def _retry_at(self, name: str) -> int:
        return self._retry_at_by_name.get(name, 0)
