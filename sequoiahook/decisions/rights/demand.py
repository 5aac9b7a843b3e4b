"""Moving average of the tokens in demand."""

import math

__all__ = ["Demand"]


class Demand:
    """Exponentially decaying average of recorded amounts.

    Args:
        time_constant_ms: Time in which an amount decays to 1/e.
    """

    def __init__(self, time_constant_ms: int):
        self._time_constant_ms = time_constant_ms
        self._amount = 0.0
        self._updated_at = 0

    def record(self, amount: int, now: int) -> None:
        """Add an amount, in micro-units."""
        self._amount = self._decayed(now) + amount
        self._updated_at = now

    def rate(self, now: int) -> int:
        """Return the average, in micro-units per millisecond."""
        return int(self._decayed(now) / self._time_constant_ms)

    def _decayed(self, now: int) -> float:
        elapsed_ms = max(0, now - self._updated_at)
        return self._amount * math.exp(-elapsed_ms / self._time_constant_ms)
