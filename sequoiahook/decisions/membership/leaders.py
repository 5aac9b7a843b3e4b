"""Leader of each key among the members of a view, and when it may act.

The leader of a key is the first member in the key's order that has not been
unresponsive for the longest lease plus a margin. A new leader may act only when no
other member can still act and nothing that another member lent is still in force.
That holds once each other member confirmed the view and the sender's term that long
ago, or has been unresponsive for that long.
"""

from collections.abc import Callable, Collection, Iterable
from functools import lru_cache

from sequoiahook.decisions.rendezvous import order
from sequoiahook.world.view import DataCentreView

__all__ = ["LeaderEligibility", "leader_order"]

ORDERS_CACHED = 4096
HELD_VIEWS_MAX = 32


@lru_cache(maxsize=ORDERS_CACHED)
def leader_order(key: str, instances: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances in order of precedence as leader of the key."""
    return tuple(order(key, instances))


class _HeldView:
    """A view that this instance has held, with the confirmations of other members.

    Attributes:
        view: The view.
        possible_leaders: Other instances that may have acted as leader under an
            earlier view or may act under this one.
        absent: Members that did not count as leaders when the next view arrived.
        cleared_at_by_name: When each possible leader can no longer act under an
            earlier view.
        is_settled: Whether none of them can act under an earlier view any more.
    """

    def __init__(self, view: DataCentreView, possible_leaders: Iterable[str]):
        self.view = view
        self.possible_leaders = frozenset(possible_leaders)
        self.absent: frozenset[str] = frozenset()
        self.cleared_at_by_name: dict[str, int] = {}
        self.is_settled = False

    def is_clear(self, is_absent: Callable[[str], bool], now: int) -> bool:
        """Return whether no other instance can still act under an earlier view."""
        return all(
            is_absent(name) or self._is_cleared(name, now)
            for name in self.possible_leaders
        )

    def _is_cleared(self, name: str, now: int) -> bool:
        cleared_at = self.cleared_at_by_name.get(name)
        return cleared_at is not None and cleared_at <= now


class LeaderEligibility:
    """Whether this instance may act for the keys that the view assigns to it.

    A term starts when the process starts and after each pause; nothing held in an
    earlier term counts. The views of a term are kept from the last settled one on, so
    that views in quick succession do not restart the wait.

    Args:
        me: Name of this instance.
        takeover_ms: Longest lease plus the margin.
        probe: Probe number of the last heartbeat round before the term.
        now: Start of the process, in milliseconds.
    """

    def __init__(self, me: str, takeover_ms: int, probe: int, now: int):
        self._me = me
        self._takeover_ms = takeover_ms
        self._highest_view_number = 0
        self._held_views = [_HeldView(DataCentreView("", 0, ()), ())]
        self.start_term(probe, now)

    @property
    def possible_leaders(self) -> frozenset[str]:
        """Other instances that may act as leader under this view or an earlier one."""
        return self._held_views[-1].possible_leaders

    def start_term(self, probe: int, now: int) -> None:
        """Start a term in which no earlier confirmation counts.

        Args:
            probe: Probe number of the last heartbeat round before the term.
            now: The time in milliseconds.
        """
        self._term_probe = probe
        self._term_started_at = now
        current = self._held_views[-1]
        self._held_views = [_HeldView(current.view, current.possible_leaders)]

    def change_view(self, view: DataCentreView, absent: Collection[str]) -> None:
        """Continue under another view.

        Args:
            view: The new view.
            absent: Members of the previous view that did not count as leaders.
        """
        current = self._held_views[-1]
        current.absent = frozenset(absent)
        before = (
            current.view.instances if current.is_settled else current.possible_leaders
        )
        names = {*before, *current.view.instances, *view.instances}
        self._held_views.append(_HeldView(view, names - {self._me}))
        if len(self._held_views) > HELD_VIEWS_MAX:
            del self._held_views[0]

    def record_confirmation(
        self, name: str, view_number: int, echo: int, now: int
    ) -> None:
        """Record the view and the probe that a member's heartbeat confirms.

        Args:
            name: Name of the member.
            view_number: Number of the view that it holds.
            echo: Highest probe number of this instance that it has received.
            now: The time in milliseconds.
        """
        self._highest_view_number = max(self._highest_view_number, view_number)
        if echo <= self._term_probe:
            return
        for held_view in self._held_views:
            if view_number >= held_view.view.number:
                held_view.cleared_at_by_name.setdefault(name, now + self._takeover_ms)

    def record_handover(self, name: str, now: int) -> None:
        """Record that a member has handed over all that this instance takes over."""
        self._held_views[-1].cleared_at_by_name[name] = now

    def may_act(self, key: str, is_absent: Callable[[str], bool], now: int) -> bool:
        """Return whether this instance may act for a key.

        Args:
            key: The key.
            is_absent: Whether a member does not count as a leader.
            now: The time in milliseconds.
        """
        current = self._held_views[-1]
        if self._leader(key, current.view, is_absent) != self._me:
            return False
        self._settle(is_absent, now)
        return self._held_views[0].is_settled and self._led_all_views(key)

    def _settle(self, is_absent: Callable[[str], bool], now: int) -> None:
        if (
            self._held_views[-1].is_settled
            or now - self._term_started_at < self._takeover_ms
        ):
            return
        if self._highest_view_number > self._held_views[-1].view.number:
            return
        for index in reversed(range(len(self._held_views))):
            held_view = self._held_views[index]
            if held_view.is_settled or held_view.is_clear(is_absent, now):
                held_view.is_settled = True
                del self._held_views[:index]
                return

    def _led_all_views(self, key: str) -> bool:
        return all(
            self._leader(key, held_view.view, held_view.absent.__contains__) == self._me
            for held_view in self._held_views[:-1]
        )

    def _leader(
        self, key: str, view: DataCentreView, is_absent: Callable[[str], bool]
    ) -> str | None:
        for name in leader_order(key, view.instances):
            if name == self._me or not is_absent(name):
                return name
        return None
