"""Limits the requests that run in another region than their object's owner.

If an owner is full or slow, single requests go to a target of another region. Without a
limit, a rise of the load moves a large part of the requests within seconds, and a fall
moves them back at once. The limit keeps these requests to a small part at any time;
larger moves are left to the shares of regions, which change in steps.

Lost capacity extends the limit at once, in proportion. Afterwards the extension ends
gradually, so that the requests that used it do not all return together.

This covers traffic that rises or falls faster than the shares of regions. It accepts
some refusals, and slower answers of owners, so that traffic moves gradually.
"""

from collections import deque
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S

__all__ = ["ShiftLimit", "ShiftSettings"]


class ShiftSettings(NamedTuple):
    """Settings of the limit.

    Attributes:
        window_ms: Period over which requests are counted; the platform compares
            windows of two seconds.
        slice_ms: Step by which the window moves.
        moved_ratio_max: Highest ratio of requests that run in another region.
        end_ratio_per_s: Rate at which an extension of that ratio ends.
        lost_slots_factor: Ratio by which the limit is extended for the loss of all
            slots of a region. It exceeds 1, since objects of lost targets are not
            cached at the targets that take them over and cost three times the work.
        lost_ratio_ignored: Lost ratio of a region's slots that does not extend the
            limit, since the other targets have room for its requests.
    """

    window_ms: int = 2_000
    slice_ms: int = 100
    moved_ratio_max: float = 0.06
    end_ratio_per_s: float = 0.02
    lost_slots_factor: float = 4.0
    lost_ratio_ignored: float = 0.05


class _Slice:
    def __init__(self, begins_at: int):
        self.begins_at = begins_at
        self.moved = 0
        self.total = 0


class ShiftLimit:
    """Counts the requests of this instance in a sliding window.

    Args:
        settings: Settings of the limit.
    """

    def __init__(self, settings: ShiftSettings):
        self._settings = settings
        self._slices: deque[_Slice] = deque()
        self._moved = 0
        self._total = 0
        self._extension = 0.0
        self._extended_at = 0

    def record_request(self, now: int, *, is_moved: bool) -> None:
        """Count a sent request."""
        self._expire(now)
        begins_at = now - now % self._settings.slice_ms
        if not self._slices or self._slices[-1].begins_at < begins_at:
            self._slices.append(_Slice(begins_at))
        self._slices[-1].total += 1
        self._slices[-1].moved += is_moved
        self._total += 1
        self._moved += is_moved

    def may_move(self, now: int) -> bool:
        """Return whether one more request may run in another region.

        One such request in the window is always allowed.
        """
        self._expire(now)
        allowed = self.moved_ratio_max * (self._total + 1)
        return self._moved + 1 <= max(1.0, allowed)

    @property
    def moved_ratio_max(self) -> float:
        """Highest ratio of requests that may run in another region at present."""
        return min(1.0, self._settings.moved_ratio_max + self._extension)

    def moved_ratio(self, now: int) -> float:
        """Return the ratio of requests in the window that ran in another region."""
        self._expire(now)
        return self._moved / max(1, self._total)

    def extend(self, lost_ratio: float, now: int) -> None:
        """Extend the limit for lost capacity; call this regularly.

        Args:
            lost_ratio: Ratio of its slots that a region lost recently.
            now: The time in milliseconds.
        """
        settings = self._settings
        due = (lost_ratio - settings.lost_ratio_ignored) * settings.lost_slots_factor
        ended = settings.end_ratio_per_s * (now - self._extended_at) / MS_PER_S
        # What was not used need not end gradually.
        ending = min(self._extension, self.moved_ratio(now)) - ended
        self._extension = max(due, ending, 0.0)
        self._extended_at = now

    def _expire(self, now: int) -> None:
        expired_until = now - self._settings.window_ms
        while self._slices and self._slices[0].begins_at <= expired_until:
            expired = self._slices.popleft()
            self._total -= expired.total
            self._moved -= expired.moved
