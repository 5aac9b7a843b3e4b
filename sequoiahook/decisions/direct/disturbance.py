"""Detects recent failures and departures, after which traffic may move fast.

While only the load changes, the rate at which requests change region is limited. After
a failure of targets, instances or the platform, requests go to any free capacity.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Disturbance", "DisturbanceEvent"]

NAMES_MAX = 5
"""Most names that an event holds for the log."""


class DisturbanceEvent(NamedTuple):
    """The cause of a disturbance, for logs.

    Attributes:
        kind: Kind of the names, or what happened.
        at: Time in milliseconds.
        lost: The first names that were lost.
        returned: The first names that returned.
    """

    kind: str
    at: int
    lost: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()


class Disturbance:
    """Records when targets or instances leave, fail or recover.

    Attributes:
        last: The last disturbance.

    Args:
        duration_ms: Time for which a disturbance is recent.
        now: The time in milliseconds; the start is not a disturbance.
    """

    def __init__(self, duration_ms: int, now: int):
        self._duration_ms = duration_ms
        self.last = DisturbanceEvent("start", now - duration_ms)
        self._lost: set[str] = set()
        self._present_by_kind: dict[str, frozenset[str]] = {}

    def record_event(self, kind: str, now: int) -> None:
        """Record a disturbance."""
        self.last = DisturbanceEvent(kind, now)

    def update(self, kind: str, present: Iterable[str], now: int) -> None:
        """Compare the names that are present with those of the last call.

        New names are no disturbance, since they get requests only gradually.

        Args:
            kind: Kind of the names, such as targets.
            present: Names of all that are usable.
            now: The time in milliseconds.
        """
        names = frozenset(present)
        lost = self._present_by_kind.get(kind, names) - names
        returned = self._lost & names
        if lost or returned:
            self.last = DisturbanceEvent(
                kind, now, _first_names(lost), _first_names(returned)
            )
        self._lost = (self._lost | lost) - returned
        self._present_by_kind[kind] = names

    def is_recent(self, now: int) -> bool:
        """Return whether the last disturbance is recent."""
        return now - self.last.at < self._duration_ms


def _first_names(names: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(names)[:NAMES_MAX])
