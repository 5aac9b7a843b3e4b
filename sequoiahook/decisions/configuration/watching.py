"""Which instances of a data centre watch the platform."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiahook.decisions.rendezvous import order

__all__ = ["WatchDuty", "WatchDutySettings"]


class WatchDutySettings(NamedTuple):
    """Settings of the choice.

    Attributes:
        watchers: How many instances of a data centre watch.
        silence_ms: How long a watcher may be silent before it is replaced.
        step_ms: How much longer each further instance in order waits, so that they
            do not all begin at once.
    """

    watchers: int = 2
    silence_ms: int = 2000
    step_ms: int = 250


class WatchDuty:
    """Decides whether this instance watches the platform.

    The instances of a data centre have an order by rendezvous hashing. An instance
    watches if fewer than the wanted number of instances before it are heard to
    watch. The first ones in order always watch, and the next ones step in when
    those fall silent. Two instances that disagree for a while only cost calls.
    """

    def __init__(self, settings: WatchDutySettings, name: str, data_centre: str):
        self._settings = settings
        self._name = name
        self._key = f"watch {data_centre}"
        self._heard_at_by_name: dict[str, int] = {}

    def configure(self, names: Iterable[str], now: int) -> None:
        """Take the instances of the data centre; new ones get time to be heard."""
        ordered = order(self._key, {*names, self._name})
        ahead = ordered[: ordered.index(self._name)]
        self._heard_at_by_name = {
            name: self._heard_at_by_name.get(name, now) for name in ahead
        }

    def hear(self, name: str, is_watcher: bool, now: int) -> None:
        """Take that an instance is heard, and whether it watches."""
        if is_watcher and name in self._heard_at_by_name:
            self._heard_at_by_name[name] = now

    def is_watcher(self, now: int) -> bool:
        """Return whether this instance watches."""
        return self._watchers_ahead(now) < self._settings.watchers

    def is_first(self, now: int) -> bool:
        """Return whether no instance before this one is heard to watch."""
        return not self._watchers_ahead(now)

    def next_change(self, now: int) -> int | None:
        """Return when silence may next change the choice; None if it cannot."""
        patience_ms = self._patience_ms()
        ends = [at + patience_ms for at in self._heard_at_by_name.values()]
        return min((end for end in ends if end > now), default=None)

    def _watchers_ahead(self, now: int) -> int:
        patience_ms = self._patience_ms()
        return sum(now < at + patience_ms for at in self._heard_at_by_name.values())

    def _patience_ms(self) -> int:
        ahead = len(self._heard_at_by_name)
        late = max(0, ahead - self._settings.watchers)
        return self._settings.silence_ms + late * self._settings.step_ms
