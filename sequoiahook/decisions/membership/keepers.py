"""Which member of a view keeps a key, and when it may act as the keeper.

The keeper of a key is the first member in its order that is not silent for the
longest lease and a margin. Who becomes it may act only when nobody else can still
act, and nothing that somebody else lent is still in force: each other member has
confirmed the view and the sender's term that long ago, or is silent for that long.
"""

from collections.abc import Callable, Collection, Iterable
from functools import lru_cache

from sequoiahook.decisions.rendezvous import order
from sequoiahook.world.view import DataCentreView

__all__ = ["Tenure", "keeper_order"]

ORDERS_CACHED = 4096
STAGES_MAX = 32


@lru_cache(maxsize=ORDERS_CACHED)
def keeper_order(key: str, instances: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances in the order in which they keep the key."""
    return tuple(order(key, instances))


class _Stage:
    """A view that this instance has held, and who has confirmed it.

    Attributes:
        view: The view.
        names: All others that may have acted before it or may act under it.
        absent: Who did not count as a keeper when the next view came.
        cleared_at_by_name: From when each of them is known not to act any more
            because of an earlier view.
        is_settled: Whether that holds for all of them.
    """

    def __init__(self, view: DataCentreView, names: Iterable[str]):
        self.view = view
        self.names = frozenset(names)
        self.absent: frozenset[str] = frozenset()
        self.cleared_at_by_name: dict[str, int] = {}
        self.is_settled = False

    def is_clear(self, absent: Callable[[str], bool], now: int) -> bool:
        """Return whether nobody can act any more because of an earlier view."""
        return all(absent(name) or self._is_cleared(name, now) for name in self.names)

    def _is_cleared(self, name: str, now: int) -> bool:
        cleared_at = self.cleared_at_by_name.get(name)
        return cleared_at is not None and cleared_at <= now


class Tenure:
    """Whether this instance may act for the keys that the view gives it.

    A term starts when the process starts and after each pause. In a term nothing is
    held from before. The views of a term are kept from the last settled one on, so
    that views that follow each other fast do not start the wait again.

    Args:
        me: Name of this instance.
        takeover_ms: Longest lease and margin.
        probe: Probe number of the last round before the term.
        now: Start of the process.
    """

    def __init__(self, me: str, takeover_ms: int, probe: int, now: int):
        self._me = me
        self._takeover_ms = takeover_ms
        self._highest_view = 0
        self._stages = [_Stage(DataCentreView("", 0, ()), ())]
        self.start_term(probe, now)

    @property
    def names(self) -> frozenset[str]:
        """All others whose acting matters to this instance."""
        return self._stages[-1].names

    def start_term(self, probe: int, now: int) -> None:
        """Hold nothing from here on.

        Args:
            probe: Probe number of the last round before the term.
            now: The time in milliseconds.
        """
        self._term_probe = probe
        self._term_at = now
        current = self._stages[-1]
        self._stages = [_Stage(current.view, current.names)]

    def change_view(self, view: DataCentreView, absent: Collection[str]) -> None:
        """Go on under another view.

        Args:
            view: The new view.
            absent: Names that did not count as keepers just before.
        """
        current = self._stages[-1]
        current.absent = frozenset(absent)
        before = current.view.instances if current.is_settled else current.names
        names = {*before, *current.view.instances, *view.instances}
        self._stages.append(_Stage(view, names - {self._me}))
        if len(self._stages) > STAGES_MAX:
            del self._stages[0]

    def confirm(self, name: str, view: int, echo: int, now: int) -> None:
        """Take in what a member's heartbeat shows that it knows.

        Args:
            name: Name of the member.
            view: Number of the view that it holds.
            echo: Highest probe number of this instance that it has received.
            now: The time in milliseconds.
        """
        self._highest_view = max(self._highest_view, view)
        if echo <= self._term_probe:
            return
        for stage in self._stages:
            if view >= stage.view.number:
                stage.cleared_at_by_name.setdefault(name, now + self._takeover_ms)

    def handed_over(self, name: str, now: int) -> None:
        """Note that a member has handed over all that this instance takes on."""
        self._stages[-1].cleared_at_by_name[name] = now

    def may_act(self, key: str, absent: Callable[[str], bool], now: int) -> bool:
        """Return whether this instance may act for a key.

        Args:
            key: The key.
            absent: Whether a member does not count as a keeper.
            now: The time in milliseconds.
        """
        current = self._stages[-1]
        if self._first(key, current.view, absent) != self._me:
            return False
        self._settle(absent, now)
        return self._stages[0].is_settled and self._came_first(key)

    def _settle(self, absent: Callable[[str], bool], now: int) -> None:
        if self._stages[-1].is_settled or now - self._term_at < self._takeover_ms:
            return
        if self._highest_view > self._stages[-1].view.number:
            return
        for index in reversed(range(len(self._stages))):
            stage = self._stages[index]
            if stage.is_settled or stage.is_clear(absent, now):
                stage.is_settled = True
                del self._stages[:index]
                return

    def _came_first(self, key: str) -> bool:
        return all(
            self._first(key, stage.view, stage.absent.__contains__) == self._me
            for stage in self._stages[:-1]
        )

    def _first(
        self, key: str, view: DataCentreView, absent: Callable[[str], bool]
    ) -> str | None:
        for name in keeper_order(key, view.instances):
            if name == self._me or not absent(name):
                return name
        return None
