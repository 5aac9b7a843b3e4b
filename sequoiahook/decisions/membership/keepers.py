"""Which member of a view keeps a key, and when it may act as the keeper.

The keeper of a key is the first member in its order that is not silent for the
longest lease and a margin. Who becomes it may act only when nobody else can still
act, and nothing that somebody else lent is still in force: each other member has
confirmed the view and the sender's term that long ago, or is silent for that long.
"""

from collections.abc import Callable, Collection
from functools import lru_cache
from typing import NamedTuple

from sequoiahook.decisions.rendezvous import order
from sequoiahook.world.view import DataCentreView

__all__ = ["Tenure", "keeper_order"]

ORDERS_CACHED = 4096


@lru_cache(maxsize=ORDERS_CACHED)
def keeper_order(key: str, instances: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances in the order in which they keep the key."""
    return tuple(order(key, instances))


class _Stage(NamedTuple):
    """A view since the last settled one, and who did not count at its end."""

    view: DataCentreView
    absent: frozenset[str]


class Tenure:
    """Whether this instance may act for the keys that the view gives it.

    A term starts when the process starts and after each pause. In a term nothing is
    held from before.

    Args:
        me: Name of this instance.
        takeover_ms: Longest lease and margin.
        now: Start of the process.
    """

    def __init__(self, me: str, takeover_ms: int, now: int):
        self._me = me
        self._takeover_ms = takeover_ms
        self._stages: list[_Stage] = []
        self._view = DataCentreView("", 0, ())
        self._former_names: set[str] = set()
        self._highest_view = 0
        self._is_settled = False
        self._cleared_at_by_name: dict[str, int] = {}
        self.start_term(0, now)

    def start_term(self, probe: int, now: int) -> None:
        """Hold nothing from here on.

        Args:
            probe: Probe number of the last round before the term.
            now: The time in milliseconds.
        """
        self._term_probe = probe
        self._term_at = now
        self._stages.clear()
        self._is_settled = False
        self._cleared_at_by_name.clear()

    def change_view(self, view: DataCentreView, absent: Collection[str]) -> None:
        """Go on under another view.

        Args:
            view: The new view.
            absent: Names that did not count as keepers just before.
        """
        if self._is_settled:
            self._stages = [_Stage(self._view, frozenset(absent))]
        elif self._stages:
            self._stages.append(_Stage(self._view, frozenset(absent)))
        self._former_names.update(self._view.instances)
        self._view = view
        self._is_settled = False
        self._cleared_at_by_name.clear()

    def confirm(self, name: str, view: int, echo: int, now: int) -> None:
        """Take in what a member's heartbeat shows that it knows.

        Args:
            name: Name of the member.
            view: Number of the view that it holds.
            echo: Highest probe number of this instance that it has received.
            now: The time in milliseconds.
        """
        self._highest_view = max(self._highest_view, view)
        if view >= self._view.number and echo > self._term_probe:
            self._cleared_at_by_name.setdefault(name, now + self._takeover_ms)

    def handed_over(self, name: str, now: int) -> None:
        """Note that a member has handed over all that this instance takes on."""
        self._cleared_at_by_name[name] = now

    def may_act(self, key: str, absent: Callable[[str], bool], now: int) -> bool:
        """Return whether this instance may act for a key.

        Args:
            key: The key.
            absent: Whether a member does not count as a keeper.
            now: The time in milliseconds.
        """
        if self._first(key, self._view, absent) != self._me:
            return False
        return self._settle(absent, now) or self._has_continuity(key)

    def _settle(self, absent: Callable[[str], bool], now: int) -> bool:
        if not self._is_settled and self._is_clear(absent, now):
            self._is_settled = True
            self._stages.clear()
            self._former_names.clear()
        return self._is_settled

    def _is_clear(self, absent: Callable[[str], bool], now: int) -> bool:
        if now - self._term_at < self._takeover_ms:
            return False
        if self._highest_view > self._view.number:
            return False
        names = self._former_names.union(self._view.instances)
        names.discard(self._me)
        return all(absent(name) or self._is_cleared(name, now) for name in names)

    def _is_cleared(self, name: str, now: int) -> bool:
        cleared_at = self._cleared_at_by_name.get(name)
        return cleared_at is not None and cleared_at <= now

    def _has_continuity(self, key: str) -> bool:
        if not self._stages:
            return False
        return all(
            self._first(key, stage.view, stage.absent.__contains__) == self._me
            for stage in self._stages
        )

    def _first(
        self, key: str, view: DataCentreView, absent: Callable[[str], bool]
    ) -> str | None:
        for name in keeper_order(key, view.instances):
            if name == self._me or not absent(name):
                return name
        return None
