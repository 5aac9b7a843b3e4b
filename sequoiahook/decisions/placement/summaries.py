"""The youngest summary of each pool, with its age on the own clock."""

from typing import NamedTuple

from sequoiahook.decisions.placement.holder import PoolKey
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.messages.pools import PoolSummary

__all__ = ["Summaries"]


class _Entry(NamedTuple):
    summary: PoolSummary
    made_at: int


class Summaries:
    """Summaries by pool.

    Args:
        settings: Says when a summary is stale.
    """

    def __init__(self, settings: PlacementSettings):
        self._settings = settings
        self._entries_by_pool: dict[PoolKey, _Entry] = {}

    def add(self, summary: PoolSummary, now: int) -> None:
        """Take a summary unless a younger one is known."""
        pool = PoolKey(summary.service, summary.data_centre)
        entry = _Entry(summary, now - max(0, summary.age_ms))
        known = self._entries_by_pool.get(pool)
        if known is None or _is_younger(entry, known):
            self._entries_by_pool[pool] = entry

    def wait_ms(self, pool: PoolKey, now: int) -> float | None:
        """Return the wait in a pool; infinite if it is closed, None if not known."""
        summary = self._fresh(pool, now)
        if summary is None:
            return None
        return float("inf") if summary.wait_ms < 0 else summary.wait_ms

    def is_scarce(self, pool: PoolKey, percent: int, now: int) -> bool:
        """Return whether less than a part of a pool's slots is free."""
        summary = self._fresh(pool, now)
        if summary is None:
            return False
        return summary.free_slots * 100 < summary.capacity * percent

    def service_time_ms(self, pool: PoolKey, now: int) -> int:
        """Return how long requests run in a pool; 0 if it is not known."""
        summary = self._fresh(pool, now)
        return summary.service_time_ms if summary is not None else 0

    def owner_by_pool(self, now: int) -> dict[PoolKey, str]:
        """Return the owners that fresh summaries name."""
        return {
            pool: entry.summary.owner
            for pool, entry in self._entries_by_pool.items()
            if self._fresh(pool, now) is not None
        }

    def _fresh(self, pool: PoolKey, now: int) -> PoolSummary | None:
        entry = self._entries_by_pool.get(pool)
        if entry is None or now - entry.made_at >= self._settings.summary_stale_ms:
            return None
        return entry.summary


def _is_younger(entry: _Entry, known: _Entry) -> bool:
    one, other = entry.summary, known.summary
    if (one.owner, one.incarnation) == (other.owner, other.incarnation):
        return one.sequence > other.sequence
    return entry.made_at > known.made_at
