"""Whether the shares of this instance may have been given to others.

The other instances keep the shares of a silent one until its entry is deleted, and it
can prevent that as long as it reaches the store. Without the store and without reports
of all others it stops using its shares before they can be free.
"""

from typing import NamedTuple

__all__ = ["EntryLease", "LeaseSettings"]


class LeaseSettings(NamedTuple):
    """Settings of the lease.

    Attributes:
        lease_ms: Time without the store after which an instance that misses reports of
            others no longer uses its shares. Shorter than the time in which it would
            have to answer a doubt of its entry.
        missing_ms: Time for which the others keep the shares of an instance whose entry
            is missing, less a margin.
    """

    lease_ms: int = 12_000
    missing_ms: int = 4_000


class EntryLease:
    """The lease of one instance on its shares.

    Attributes:
        is_valid: Whether the instance may use its shares, as of the last update.
        is_lost: Whether its shares may be in use by others: they have to grant it
            shares anew. To be reset by the owner of the grants.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: LeaseSettings):
        self.is_valid = True
        self.is_lost = False
        self._settings = settings
        self._listed_at: int | None = None
        self._lapsed_at: int | None = None
        self._missing_since: int | None = None
        self._was_present = False

    def record_entry(self, is_present: bool, as_of: int, now: int) -> None:
        """Record whether the store has the entry of this instance.

        Args:
            is_present: Whether it has.
            as_of: When that was so, in milliseconds.
            now: The time in milliseconds.
        """
        if is_present:
            self._was_present = True
            self._missing_since = None
        elif self._was_present and self._missing_since is None:
            self._missing_since = now
        self._listed_at = as_of
        if self._lapsed_at is not None and as_of > self._lapsed_at:
            self._lapsed_at = None
            self.is_lost = self.is_lost or not is_present

    def update(
        self, store_age_ms: int | None, now: int, *, has_all_reports: bool
    ) -> None:
        """Update whether the instance may use its shares.

        Args:
            store_age_ms: Time since the store last confirmed the configuration; None if
                it never has.
            now: The time in milliseconds.
            has_all_reports: Whether all others report to this instance.
        """
        settings = self._settings
        if store_age_ms is not None and self._listed_at is not None:
            store_age_ms = min(store_age_ms, now - self._listed_at)
        is_out_of_touch = store_age_ms is not None and store_age_ms > settings.lease_ms
        if is_out_of_touch and not has_all_reports:
            self._lapsed_at = now
        since = self._missing_since
        is_removed = since is not None and now - since > settings.missing_ms
        self.is_lost = self.is_lost or is_removed
        self.is_valid = self._lapsed_at is None and not is_removed
