"""Choice of the instances of a data centre that watch the platform."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiahook.decisions.rendezvous import order

__all__ = ["WatcherElection", "WatcherElectionSettings"]


class WatcherElectionSettings(NamedTuple):
    """Settings of the election of watchers.

    Attributes:
        watchers: Number of instances of a data centre that watch.
        watcher_timeout_ms: Time without a report after which a watcher is replaced.
        step_ms: Extra wait of each further instance in order, so that they do not
            all start to watch at once.
    """

    watchers: int = 2
    watcher_timeout_ms: int = 2000
    step_ms: int = 250


class WatcherElection:
    """Decides whether this instance watches the platform.

    Rendezvous hashing orders the instances of a data centre. An instance watches if
    fewer than the configured number of instances before it report that they watch:
    the first ones always do, later ones replace those that time out. Instances that
    disagree for a while only cause additional platform calls.
    """

    def __init__(self, settings: WatcherElectionSettings, name: str, data_centre: str):
        self._settings = settings
        self._name = name
        self._rendezvous_key = f"watch {data_centre}"
        self._watched_at_by_name: dict[str, int] = {}

    def configure(self, names: Iterable[str], now: int) -> None:
        """Set the instances of the data centre; new ones count as watching at first."""
        ordered = order(self._rendezvous_key, {*names, self._name})
        ahead = ordered[: ordered.index(self._name)]
        self._watched_at_by_name = {
            name: self._watched_at_by_name.get(name, now) for name in ahead
        }

    def record_report(self, name: str, is_watcher: bool, now: int) -> None:
        """Record the report of an instance on whether it watches."""
        if is_watcher and name in self._watched_at_by_name:
            self._watched_at_by_name[name] = now

    def is_watcher(self, now: int) -> bool:
        """Return whether this instance watches."""
        return self._watchers_ahead(now) < self._settings.watchers

    def is_first(self, now: int) -> bool:
        """Return whether no instance before this one in order watches."""
        return not self._watchers_ahead(now)

    def next_change(self, now: int) -> int | None:
        """Return when the next watcher before this one times out; None if none does."""
        timeout_ms = self._timeout_ms()
        expiries = [
            watched_at + timeout_ms for watched_at in self._watched_at_by_name.values()
        ]
        return min(
            (expires_at for expires_at in expiries if expires_at > now), default=None
        )

    def _watchers_ahead(self, now: int) -> int:
        timeout_ms = self._timeout_ms()
        return sum(
            now < watched_at + timeout_ms
            for watched_at in self._watched_at_by_name.values()
        )

    def _timeout_ms(self) -> int:
        ahead = len(self._watched_at_by_name)
        steps = max(0, ahead - self._settings.watchers)
        return self._settings.watcher_timeout_ms + steps * self._settings.step_ms
