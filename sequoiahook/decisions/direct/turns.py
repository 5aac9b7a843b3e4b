"""Planned times at which requests that were refused for lack of capacity return.

Callers that are refused together would return together if each were told the same time.
Each refusal therefore gets the next turn of its service at this instance. Turns are as
far apart as the requests that are started, from the time at which capacity is expected.
A turn is not a reservation: nothing is kept free for it.
"""

from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["TurnRequest", "TurnSettings", "Turns"]

GOLDEN_RATIO = 0.6180339887498949
"""Step, as a fraction of an interval, whose multiples lie evenly spread over it."""


class TurnSettings(NamedTuple):
    """Limits of the turns.

    Attributes:
        followed_divisor: Divisor of the time that a caller has left that gives the
            longest retry-after time that callers follow.
        lines_max: Number of lines of turns that are kept.
        spacing_weight: Weight of one start in the mean time between starts.
        spacing_max_ms: Longest time between turns; also before the first starts.
    """

    followed_divisor: int = 3
    lines_max: int = 2_000
    spacing_weight: float = 0.1
    spacing_max_ms: int = 1_000


class TurnRequest(NamedTuple):
    """What determines the turn of a refused request.

    Attributes:
        line: Service, or service and organisation, whose requests take turns.
        capacity_after_ms: Time after which capacity is expected.
        left_ms: Time until the caller's deadline.
    """

    line: Hashable
    capacity_after_ms: int
    left_ms: int


class _Starts(NamedTuple):
    spacing_ms: float
    last_at: int


class Turns:
    """The last turn of each line, and the mean time between starts.

    Args:
        settings: Limits of the turns.
    """

    def __init__(self, settings: TurnSettings):
        self._settings = settings
        self._last_by_line: dict[Hashable, float] = {}
        self._starts_by_line: dict[Hashable, _Starts] = {}
        self._late_count = 0

    def record_start(self, line: Hashable, now: int) -> None:
        """Count a request that is sent to a target."""
        settings = self._settings
        starts = self._starts_by_line.get(line)
        if starts is None:
            if len(self._starts_by_line) >= settings.lines_max:
                self._starts_by_line.clear()
            self._starts_by_line[line] = _Starts(settings.spacing_max_ms, now)
            return
        gap_ms = min(settings.spacing_max_ms, now - starts.last_at)
        spacing_ms = starts.spacing_ms
        spacing_ms += settings.spacing_weight * (gap_ms - spacing_ms)
        self._starts_by_line[line] = _Starts(spacing_ms, now)

    def _spacing_ms(self, line: Hashable) -> float:
        starts = self._starts_by_line.get(line)
        return self._settings.spacing_max_ms if starts is None else starts.spacing_ms

    def retry_after_ms(self, wanted: TurnRequest, now: int) -> int:
        """Return the time until the next free turn; at least 1."""
        latest_ms = max(1, wanted.left_ms // self._settings.followed_divisor)
        at = float(now + max(1, wanted.capacity_after_ms))
        last = self._last_by_line.get(wanted.line)
        if last is not None:
            at = max(at, last + self._spacing_ms(wanted.line))
        if at > now + latest_ms:
            return self._late_turn_ms(latest_ms)
        if last is None and len(self._last_by_line) >= self._settings.lines_max:
            self._forget_past(now)
        self._last_by_line[wanted.line] = at
        return max(1, round(at - now))

    def _late_turn_ms(self, latest_ms: int) -> int:
        """Return one of the times spread evenly over the second half of the longest."""
        self._late_count += 1
        position = self._late_count * GOLDEN_RATIO % 1
        return max(1, int(latest_ms * (1 + position) / 2))

    def _forget_past(self, now: int) -> None:
        """Make room; turns that have passed have no effect on later ones."""
        lines = self._last_by_line.items()
        self._last_by_line = {line: at for line, at in lines if at > now}
        if len(self._last_by_line) >= self._settings.lines_max:
            self._last_by_line.clear()
