"""Peers of a configuration replica, and the schedule of its comparisons."""

import random
from collections.abc import Mapping, Sequence

from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.topology import contacts

__all__ = ["Peers"]


class Peers:
    """The other instances with which this one exchanges configurations.

    Attributes:
        peers: The other instances of the data centre, sorted.
        contacts: Instances of other data centres to compare numbers with, sorted.
        watchers: Peers that last reported that they watch the platform.
        next_comparison_at: Time of the next comparison of numbers.
        boot_ends_at: Time at which the wait for first answers ends; None if there
            is no such wait.
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
        self._unanswered: set[str] = set()
        self._comparison_count = 0
        self.peers: tuple[str, ...] = ()
        self.contacts: tuple[str, ...] = ()
        self.watchers: set[str] = set()
        self.next_comparison_at = 0
        self.boot_ends_at: int | None = None

    def configure(
        self, instances_by_data_centre: Mapping[str, Sequence[str]]
    ) -> list[str]:
        """Set the instances by data centre; return the names of new ones."""
        previous = {*self.peers, *self.contacts}
        local_names = {*instances_by_data_centre.get(self._data_centre, ()), self._name}
        self.peers = tuple(sorted(local_names - {self._name}))
        self.contacts = tuple(
            contacts(
                self._name,
                self._data_centre,
                {**instances_by_data_centre, self._data_centre: tuple(local_names)},
                self._settings.links_per_pair,
            )
        )
        current = {*self.peers, *self.contacts}
        self.watchers &= current
        self._unanswered &= current
        return sorted(current - previous)

    def begin_boot(self, names: list[str], now: int) -> None:
        """Begin the wait for the numbers that were requested from instances."""
        self._unanswered.update(names)
        if self.boot_ends_at is None:
            self.boot_ends_at = now + self._settings.boot_wait_ms

    def is_booting(self, now: int) -> bool:
        """Return whether to wait for more numbers; end the wait if it is over."""
        if self.boot_ends_at is None:
            return False
        if self._unanswered and now < self.boot_ends_at:
            return True
        self.boot_ends_at = None
        return False

    def record_answer(self, source: str) -> None:
        """Record that an instance has answered."""
        self._unanswered.discard(source)

    def record_watcher(self, source: str, is_watcher: bool) -> None:
        """Record whether a peer watches the platform."""
        if is_watcher:
            self.watchers.add(source)
        else:
            self.watchers.discard(source)

    def schedule_comparison(self, now: int) -> bool:
        """Set the time of the next comparison; return whether to request replies."""
        interval_ms = self._settings.compare_interval_ms
        self.next_comparison_at = now + self._rng.randint(
            interval_ms * 3 // 4, interval_ms
        )
        self._comparison_count += 1
        return self._comparison_count % self._settings.reply_every == 0

    def names_to_compare(self, all_peers: bool) -> list[str]:
        """Return the contacts, and all peers or a random one.

        Args:
            all_peers: Whether to include all peers, as a watcher and an instance
                without a configuration do.
        """
        names = set(self.contacts)
        if all_peers:
            names.update(self.peers)
        elif self.peers:
            names.add(self._rng.choice(self.peers))
        return sorted(names)
