"""An average of use over recent time."""

import math

__all__ = ["Demand"]


class Demand:
    """Exponentially decaying average of events.

    Args:
        time_constant_ms: How fast the past is forgotten.
    """

    def __init__(self, time_constant_ms: int):
        self._time_constant_ms = time_constant_ms
        self._amount = 0.0
        self._noted_ms = 0

    def note(self, amount: int, now: int) -> None:
        """Count an amount, in micro-units."""
        self._amount = self._decayed(now) + amount
        self._noted_ms = now

    def rate(self, now: int) -> int:
        """Return the average, in micro-units a millisecond."""
        return int(self._decayed(now) / self._time_constant_ms)

    def _decayed(self, now: int) -> float:
        elapsed_ms = max(0, now - self._noted_ms)
        return self._amount * math.exp(-elapsed_ms / self._time_constant_ms)
