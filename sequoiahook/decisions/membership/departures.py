"""States of leaving incarnations, so that a stale report cannot make them live."""

from sequoiahook.decisions.membership.peers import later_state
from sequoiahook.messages.membership import LIVE, Member

__all__ = ["Departures"]

DEPARTURES_MAX = 4096


class Departures:
    """Latest states of leaving incarnations; the oldest entries are evicted."""

    def __init__(self) -> None:
        self._state_by_incarnation: dict[tuple[str, int], str] = {}

    def correct(self, member: Member) -> Member:
        """Record a member's state, and return the member in its latest known state."""
        instance = member.instance
        state = self.record_state(instance.name, instance.incarnation, member.state)
        return member if state == member.state else member._replace(state=state)

    def record_state(self, name: str, incarnation: int, state: str) -> str:
        """Record a state of an incarnation, and return its latest known state."""
        key = (name, incarnation)
        known = self._state_by_incarnation.get(key, LIVE)
        latest = later_state(known, state)
        if latest != known:
            self._store(key, latest)
        return latest

    def _store(self, key: tuple[str, int], state: str) -> None:
        self._state_by_incarnation.pop(key, None)
        self._state_by_incarnation[key] = state
        if len(self._state_by_incarnation) > DEPARTURES_MAX:
            del self._state_by_incarnation[next(iter(self._state_by_incarnation))]
