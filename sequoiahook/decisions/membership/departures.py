"""Incarnations that are known to leave, so that a stale report cannot revive them."""

from sequoiahook.decisions.membership.peers import later_state
from sequoiahook.messages.membership import LIVE, Member

__all__ = ["Departures"]

DEPARTURES_MAX = 4096


class Departures:
    """The latest state of each incarnation that leaves; the oldest are forgotten."""

    def __init__(self) -> None:
        self._state_by_run: dict[tuple[str, int], str] = {}

    def correct(self, member: Member) -> Member:
        """Return a member in the latest state that is known, and remember it."""
        instance = member.instance
        state = self.note(instance.name, instance.incarnation, member.state)
        return member if state == member.state else member._replace(state=state)

    def note(self, name: str, incarnation: int, state: str) -> str:
        """Remember a state of an incarnation; return its latest one."""
        run = (name, incarnation)
        known = self._state_by_run.get(run, LIVE)
        latest = later_state(known, state)
        if latest != known:
            self._remember(run, latest)
        return latest

    def _remember(self, run: tuple[str, int], state: str) -> None:
        self._state_by_run.pop(run, None)
        self._state_by_run[run] = state
        if len(self._state_by_run) > DEPARTURES_MAX:
            del self._state_by_run[next(iter(self._state_by_run))]
