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
        run = member.instance[:2]
        known = self._state_by_run.get(run, LIVE)
        state = later_state(known, member.state)
        if state != known:
            self._remember(run, state)
        return member if state == member.state else member._replace(state=state)

    def _remember(self, run: tuple[str, int], state: str) -> None:
        self._state_by_run.pop(run, None)
        self._state_by_run[run] = state
        if len(self._state_by_run) > DEPARTURES_MAX:
            del self._state_by_run[next(iter(self._state_by_run))]
