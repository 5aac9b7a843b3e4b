"""Forecast of the earliest time at which tokens can be available."""

from typing import NamedTuple

__all__ = ["MAX_FORECAST_MS", "TokenForecast"]

MAX_FORECAST_MS = 3_600_000
"""Longest forecast; also stands for tokens that no refill can provide."""


class TokenForecast(NamedTuple):
    """Tokens that can become available to one instance, as of one moment.

    Attributes:
        full_rate: Rate of the whole contract, in micro-units per millisecond.
        full_burst: Burst of the whole contract, in micro-units.
        tokens: Micro-units that are free, or lent and may be returned.
        rate: Free or lent rate, in micro-units per millisecond.
        lender_retry_ms: Time until a lender may have more, in milliseconds.
    """

    full_rate: int
    full_burst: int
    tokens: int
    rate: int
    lender_retry_ms: int

    def earliest_ms(self, needed: int) -> int:
        """Return the least time until an amount can be available."""
        bound_ms = max(0, _divide_up(needed - self.full_burst, self.full_rate))
        return max(bound_ms, min(self._refill_ms(needed), self.lender_retry_ms))

    def retry_after_ms(self, needed: int) -> int:
        """Return the retry-after time for an amount, at least 1 ms."""
        usual_ms = _divide_up(needed, self.full_rate)
        return min(MAX_FORECAST_MS, max(1, usual_ms, self.earliest_ms(needed)))

    def _refill_ms(self, needed: int) -> int:
        missing = needed - self.tokens
        if missing <= 0:
            return 0
        return _divide_up(missing, self.rate) if self.rate else MAX_FORECAST_MS


def _divide_up(amount: int, rate: int) -> int:
    return -(-amount // rate)
