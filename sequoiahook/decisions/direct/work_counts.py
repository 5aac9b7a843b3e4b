"""Counts of the work of one service in a sliding window, by organisation."""

from collections import Counter, deque
from typing import NamedTuple

__all__ = ["WorkCounts", "WorkTotals"]


class WorkTotals(NamedTuple):
    """Counts over the whole window.

    Attributes:
        offered_ms_by_organisation: Work of all requests that arrived.
        started_ms_by_organisation: Work of the requests that were sent to targets.
        starts_by_organisation: Number of those requests.
    """

    offered_ms_by_organisation: Counter[str]
    started_ms_by_organisation: Counter[str]
    starts_by_organisation: Counter[str]


class _Slice:
    def __init__(self, begins_at: int):
        self.begins_at = begins_at
        self.totals = WorkTotals(Counter(), Counter(), Counter())
        self.request_count = 0
        self.refused_count = 0


class WorkCounts:
    """Counts the requests of a service at this instance.

    Args:
        window_ms: Length of the window.
        slice_ms: Step by which the window moves.
    """

    def __init__(self, window_ms: int, slice_ms: int):
        self._window_ms = window_ms
        self._slice_ms = slice_ms
        self._slices: deque[_Slice] = deque()
        self._request_count = 0
        self._refused_count = 0

    def record_offered(self, organisation: str, work_ms: float, now: int) -> None:
        """Count a request that arrived."""
        current = self._current(now)
        current.totals.offered_ms_by_organisation[organisation] += work_ms
        current.request_count += 1
        self._request_count += 1

    def record_started(self, organisation: str, work_ms: float, now: int) -> None:
        """Count a request that is sent to a target."""
        totals = self._current(now).totals
        totals.started_ms_by_organisation[organisation] += work_ms
        totals.starts_by_organisation[organisation] += 1

    def record_refused(self, now: int) -> None:
        """Count a request that found no capacity."""
        self._current(now).refused_count += 1
        self._refused_count += 1

    def refused_percent(self, now: int) -> float:
        """Return the percentage of requests that found no capacity."""
        self._expire(now)
        return 100 * self._refused_count / max(1, self._request_count)

    def is_empty(self, now: int) -> bool:
        """Return whether nothing was counted within the window."""
        self._expire(now)
        return not self._slices

    def totals(self, now: int) -> WorkTotals:
        """Return the counts over the window."""
        self._expire(now)
        totals = WorkTotals(Counter(), Counter(), Counter())
        for part in self._slices:
            for total, counts in zip(totals, part.totals, strict=True):
                total.update(counts)
        return totals

    def _current(self, now: int) -> _Slice:
        slices = self._slices
        if slices and now < slices[-1].begins_at + self._slice_ms:
            return slices[-1]
        self._expire(now)
        slices.append(_Slice(now - now % self._slice_ms))
        return slices[-1]

    def _expire(self, now: int) -> None:
        oldest = now - self._window_ms
        while self._slices and self._slices[0].begins_at <= oldest:
            expired = self._slices.popleft()
            self._request_count -= expired.request_count
            self._refused_count -= expired.refused_count
