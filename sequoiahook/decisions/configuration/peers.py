"""Whom a configuration holder talks with, and when it compares numbers."""

import random
from collections.abc import Mapping, Sequence

from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.topology import contacts

__all__ = ["Peers"]


class Peers:
    """The other instances that this one talks with about the configuration.

    Attributes:
        peers: The other instances of the data centre, sorted.
        contacts: Instances of other data centres to compare numbers with, sorted.
        watchers: Peers that watch the platform, as far as is heard.
        next_compare: When numbers are compared next.
        boot_ends: When the wait for the first answers ends; None if it does not run.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        name: str,
        data_centre: str,
        rng: random.Random,
    ):
        self._settings = settings
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._unheard: set[str] = set()
        self._compares = 0
        self.peers: tuple[str, ...] = ()
        self.contacts: tuple[str, ...] = ()
        self.watchers: set[str] = set()
        self.next_compare = 0
        self.boot_ends: int | None = None

    def configure(self, view: Mapping[str, Sequence[str]]) -> list[str]:
        """Take the instances by data centre; return those that are newly met."""
        known = {*self.peers, *self.contacts}
        own = {*view.get(self._data_centre, ()), self._name}
        self.peers = tuple(sorted(own - {self._name}))
        self.contacts = tuple(
            contacts(
                self._name,
                self._data_centre,
                {**view, self._data_centre: tuple(own)},
                self._settings.links_per_pair,
            )
        )
        met = {*self.peers, *self.contacts}
        self.watchers &= met
        self._unheard &= met
        return sorted(met - known)

    def begin_boot(self, names: list[str], now: int) -> None:
        """Wait for the answers of instances that are asked for their number."""
        self._unheard.update(names)
        if self.boot_ends is None:
            self.boot_ends = now + self._settings.boot_wait_ms

    def is_booting(self, now: int) -> bool:
        """Return whether a higher number may still come from an instance."""
        if self.boot_ends is None:
            return False
        if self._unheard and now < self.boot_ends:
            return True
        self.boot_ends = None
        return False

    def hear(self, source: str) -> None:
        """Take that an instance has answered."""
        self._unheard.discard(source)

    def note_watcher(self, source: str, is_watcher: bool) -> None:
        """Take whether a peer watches the platform."""
        if is_watcher:
            self.watchers.add(source)
        else:
            self.watchers.discard(source)

    def plan_compare(self, now: int) -> bool:
        """Set the time of the next comparison; return whether it asks for replies."""
        interval_ms = self._settings.compare_interval_ms
        self.next_compare = now + self._rng.randint(interval_ms * 3 // 4, interval_ms)
        self._compares += 1
        return self._compares % self._settings.reply_every == 0

    def names_to_compare(self, with_all: bool) -> list[str]:
        """Return all peers or one of them, and the contacts.

        Args:
            with_all: Whether to compare with all, as a watcher does, and an instance
                that holds nothing yet.
        """
        names = set(self.contacts)
        if with_all:
            names.update(self.peers)
        elif self.peers:
            names.add(self._rng.choice(self.peers))
        return sorted(names)
