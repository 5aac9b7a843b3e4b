"""When tokens can come at the earliest."""

from typing import NamedTuple

__all__ = ["FOREVER_MS", "Outlook"]

FOREVER_MS = 3_600_000
"""Stands for a wait that no refill ends."""


class Outlook(NamedTuple):
    """What can come, seen from one instance at one moment.

    Attributes:
        full_rate: Rate of the whole contract, in micro-units a millisecond.
        full_burst: Burst of the whole contract, in micro-units.
        tokens: Micro-units at hand, or lent and possibly returned.
        rate: Rate at hand or lent, in micro-units a millisecond.
        dry_ms: After how long a lender may have more, in milliseconds.
    """

    full_rate: int
    full_burst: int
    tokens: int
    rate: int
    dry_ms: int

    def earliest_ms(self, needed: int) -> int:
        """Return after how long an amount can have come at the earliest."""
        bound_ms = max(0, _rounded_up(needed - self.full_burst, self.full_rate))
        return max(bound_ms, min(self._refill_ms(needed), self.dry_ms))

    def retry_after_ms(self, needed: int) -> int:
        """Return when to try again, at least 1 ms."""
        usual_ms = _rounded_up(needed, self.full_rate)
        return min(FOREVER_MS, max(1, usual_ms, self.earliest_ms(needed)))

    def _refill_ms(self, needed: int) -> int:
        missing = needed - self.tokens
        if missing <= 0:
            return 0
        return _rounded_up(missing, self.rate) if self.rate else FOREVER_MS


def _rounded_up(amount: int, rate: int) -> int:
    return -(-amount // rate)
