"""Members of every data centre, merged from heartbeats and rosters."""

from collections.abc import Iterable

from sequoiahook.decisions.membership.departures import Departures
from sequoiahook.decisions.membership.peers import Peer
from sequoiahook.decisions.membership.rosters import (
    Members,
    RosterFollower,
    RosterReporter,
    merge,
)
from sequoiahook.messages.membership import (
    LIVE,
    Member,
    Roster,
    RosterChange,
    RosterSnapshot,
)
from sequoiahook.world.instance import Instance

__all__ = ["Fleet"]


class Fleet:
    """Members of all data centres.

    Peers in this data centre report on other data centres, and peers in another data
    centre report on that one. A data centre without reports keeps its last known
    members and is not reachable.

    Args:
        me: This instance.

    Attributes:
        members_by_data_centre: Known members by name, by data centre.
        remote_peer_reporter: Roster of this data centre, for peers in others.
        local_peer_reporter: Rosters of other data centres, for peers in this one.
    """

    def __init__(self, me: Instance):
        self.members_by_data_centre: dict[str, dict[str, Member]] = {}
        self.remote_peer_reporter = RosterReporter()
        self.local_peer_reporter = RosterReporter()
        self._me = me
        self._followers_by_name: dict[str, RosterFollower] = {}
        self._data_centre_by_name: dict[str, str] = {}
        self._hints_by_data_centre: dict[str, dict[str, Member]] = {}
        self._reported_data_centres: set[str] = set()
        self._departures = Departures()

    def live(self, data_centre: str) -> dict[str, Instance]:
        """Return the live instances of a data centre by name, except leaving ones."""
        members = self.members_by_data_centre.get(data_centre, {})
        return {
            name: member.instance
            for name, member in members.items()
            if member.state == LIVE
        }

    def link_candidates(self, data_centre: str) -> list[str]:
        """Return the names of live instances, or of other members if none is live."""
        names = list(self.live(data_centre))
        return names or list(self.members_by_data_centre.get(data_centre, {}))

    def data_centre_of(self, name: str) -> str | None:
        """Return the data centre of an instance; None if it is unknown."""
        return self._data_centre_by_name.get(name)

    def instance(self, name: str) -> Instance | None:
        """Return an instance; None if it is unknown."""
        members = self.members_by_data_centre.get(self.data_centre_of(name), {})
        return members[name].instance if name in members else None

    def is_reachable(self, data_centre: str) -> bool:
        """Return whether a data centre is this one or linked to an instance of it."""
        return data_centre == self._me.data_centre or bool(self._reports(data_centre))

    def link_holders(self, data_centre: str) -> list[str]:
        """Return the peers in this data centre that hold a link to another one."""
        return sorted(
            name
            for name, follower in self._followers_by_name.items()
            if self._is_local(name) and data_centre in follower.members_by_data_centre
        )

    def set_hints(self, members: Iterable[Member]) -> set[str]:
        """Store members from seeds or the platform's list, used until reports arrive.

        Returns:
            The data centres whose members may have changed.
        """
        hints: dict[str, dict[str, Member]] = {}
        for member in members:
            by_name = hints.setdefault(member.instance.data_centre, {})
            by_name[member.instance.name] = member
        hints.pop(self._me.data_centre, None)
        self._hints_by_data_centre.update(hints)
        return set(hints)

    def follow(self, instance: Instance) -> None:
        """Start following the rosters of a peer, without any earlier version."""
        self._followers_by_name[instance.name] = RosterFollower()
        self._data_centre_by_name[instance.name] = instance.data_centre

    def unfollow(self, name: str) -> set[str]:
        """Discard the rosters of a peer.

        Returns:
            The data centres whose members may have changed.
        """
        follower = self._followers_by_name.pop(name, None)
        return set() if follower is None else set(follower.members_by_data_centre)

    def held_version(self, name: str) -> int:
        """Return the held version of a peer's rosters; 0 for none."""
        follower = self._followers_by_name.get(name)
        return 0 if follower is None else follower.version

    def apply_change(self, name: str, change: RosterChange) -> bool:
        """Apply a change of a peer's rosters; return False if it cannot be applied."""
        follower = self._followers_by_name.get(name)
        if follower is None:
            return False
        changed = self._interned(change.data_centre, change.changed)
        return follower.apply_change(change._replace(changed=changed))

    def apply_snapshot(self, name: str, snapshot: RosterSnapshot) -> set[str]:
        """Apply a snapshot of a peer's rosters.

        Returns:
            The data centres whose members may have changed.
        """
        follower = self._followers_by_name.get(name)
        if follower is None:
            return set()
        rosters = tuple(
            Roster(data_centre, self._interned(data_centre, members))
            for data_centre, members in snapshot.rosters
        )
        return set(follower.apply_snapshot(snapshot._replace(rosters=rosters)))

    def record_state(self, name: str, incarnation: int, state: str) -> None:
        """Record the state that an instance itself reported."""
        self._departures.record_state(name, incarnation, state)

    def refresh_local(self, state: str, peers: Iterable[Peer]) -> RosterChange | None:
        """Recompute the members of this data centre from their heartbeats.

        Args:
            state: State of this instance.
            peers: Peers in this data centre.

        Returns:
            The change to send to peers in other data centres; None for no change.
        """
        members = {self._me.name: Member(self._me, state)}
        for peer in peers:
            if peer.heard_since is not None:
                members[peer.instance.name] = Member(peer.instance, peer.state)
        members = self._with_latest_states(members)
        self._set_members(self._me.data_centre, members)
        return self.remote_peer_reporter.update(self._me.data_centre, members)

    def refresh_remote(self, data_centre: str) -> RosterChange | None:
        """Recompute the members of another data centre from reports.

        Returns:
            The change to send to peers in this data centre; None for no change.
        """
        reports = self._reports(data_centre)
        if reports:
            self._reported_data_centres.add(data_centre)
            self._set_members(data_centre, self._with_latest_states(merge(reports)))
        elif data_centre not in self._reported_data_centres:
            self._set_members(
                data_centre, self._hints_by_data_centre.get(data_centre, {})
            )
        else:
            members = self.members_by_data_centre[data_centre]
            self._set_members(data_centre, self._with_latest_states(members))
        direct = [
            follower.members_by_data_centre[data_centre]
            for name, follower in sorted(self._followers_by_name.items())
            if not self._is_local(name)
            and data_centre in follower.members_by_data_centre
        ]
        return self.local_peer_reporter.update(
            data_centre, merge(direct) if direct else None
        )

    def _set_members(self, data_centre: str, members: dict[str, Member]) -> None:
        before = self.members_by_data_centre.get(data_centre, {})
        for name in before:
            if name not in members and name not in self._followers_by_name:
                self._data_centre_by_name.pop(name, None)
        self.members_by_data_centre[data_centre] = members
        for name in members:
            self._data_centre_by_name[name] = data_centre

    def _interned(
        self, data_centre: str, members: Iterable[Member]
    ) -> tuple[Member, ...]:
        """Replace members by equal ones already held, to share them in memory."""
        held = self.members_by_data_centre.get(data_centre, {})
        return tuple(
            held[member.instance.name]
            if held.get(member.instance.name) == member
            else member
            for member in members
        )

    def _with_latest_states(self, members: Members) -> dict[str, Member]:
        return {
            name: self._departures.correct(member) for name, member in members.items()
        }

    def _is_local(self, name: str) -> bool:
        return self._data_centre_by_name[name] == self._me.data_centre

    def _reports(self, data_centre: str) -> list[Members]:
        return [
            follower.members_by_data_centre[data_centre]
            for _, follower in sorted(self._followers_by_name.items())
            if data_centre in follower.members_by_data_centre
        ]
