"""The newest summary of each pool, with its age on the local clock."""

from typing import NamedTuple

from sequoiahook.decisions.placement.holder import PoolKey
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.messages.pools import PoolSummary

__all__ = ["Summaries"]


class _Entry(NamedTuple):
    summary: PoolSummary
    created_at: int


class Summaries:
    """Newest summaries by pool.

    Args:
        settings: Settings of placement, with the age at which a summary is stale.
    """

    def __init__(self, settings: PlacementSettings):
        self._settings = settings
        self._entries_by_pool: dict[PoolKey, _Entry] = {}

    def add(self, summary: PoolSummary, now: int) -> None:
        """Store a summary unless a newer one is stored already."""
        pool = PoolKey(summary.service, summary.data_centre)
        entry = _Entry(summary, now - max(0, summary.age_ms))
        known_entry = self._entries_by_pool.get(pool)
        if known_entry is None or _is_newer(entry, known_entry):
            self._entries_by_pool[pool] = entry

    def wait_ms(self, pool: PoolKey, now: int) -> float | None:
        """Return the wait in a pool, in milliseconds.

        Infinite if the pool is closed; None if there is no current summary.
        """
        summary = self._current_summary(pool, now)
        if summary is None:
            return None
        return float("inf") if summary.wait_ms < 0 else summary.wait_ms

    def has_few_free_slots(self, pool: PoolKey, percent: int, now: int) -> bool:
        """Return whether less than a percentage of a pool's slots is free."""
        summary = self._current_summary(pool, now)
        if summary is None:
            return False
        return summary.free_slots * 100 < summary.capacity * percent

    def service_time_ms(self, pool: PoolKey, now: int) -> int:
        """Return the duration of requests in a pool, in milliseconds; 0 if unknown."""
        summary = self._current_summary(pool, now)
        return summary.service_time_ms if summary is not None else 0

    def owner_by_pool(self, now: int) -> dict[PoolKey, str]:
        """Return the owner of each pool that has a current summary."""
        return {
            pool: entry.summary.owner
            for pool, entry in self._entries_by_pool.items()
            if self._current_summary(pool, now) is not None
        }

    def _current_summary(self, pool: PoolKey, now: int) -> PoolSummary | None:
        entry = self._entries_by_pool.get(pool)
        if entry is None or now - entry.created_at >= self._settings.summary_stale_ms:
            return None
        return entry.summary


def _is_newer(entry: _Entry, known_entry: _Entry) -> bool:
    one, other = entry.summary, known_entry.summary
    if (one.owner, one.incarnation) == (other.owner, other.incarnation):
        return one.sequence > other.sequence
    return entry.created_at > known_entry.created_at
