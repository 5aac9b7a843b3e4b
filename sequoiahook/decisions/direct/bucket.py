"""Token buckets for shares of a contract, and averages of the demand."""

from sequoiahook.clock import MS_PER_S
from sequoiahook.world.contract import Contract

__all__ = ["Bucket", "Demand"]

RETRY_RATE_MIN_PER_S = 1.0
"""Lowest refill rate that retry-after times assume, since shares change."""

RETRY_AFTER_MS_MAX = 30_000
"""Longest retry-after time; no caller waits for longer."""


WINDOW_FACTOR_MAX = 3
"""Largest factor by which the window of a small demand is longer."""


class Demand:
    """Arrival rate, averaged exponentially.

    Attributes:
        per_s: Arrivals per second.

    Args:
        arrivals_min: Arrivals over which to average at least, where the window has
            fewer.
    """

    def __init__(self, arrivals_min: int = 0):
        self.per_s = 0.0
        self._arrivals_min = arrivals_min
        self._recent_per_s = 0.0
        self._arrival_count = 0
        self._updated_at: int | None = None

    def add(self) -> None:
        """Count an arrival."""
        self._arrival_count += 1

    def update(self, window_ms: int, now: int) -> None:
        """Update the average with the arrivals since the last call."""
        if self._updated_at is None:
            self._updated_at = now
            return
        elapsed_ms = now - self._updated_at
        if elapsed_ms <= 0:
            return
        per_s = self._arrival_count * MS_PER_S / elapsed_ms
        weight = min(1.0, elapsed_ms / window_ms)
        self._recent_per_s += weight * (per_s - self._recent_per_s)
        expected = max(1.0, self._recent_per_s * window_ms / MS_PER_S)
        factor = min(WINDOW_FACTOR_MAX, max(1.0, self._arrivals_min / expected))
        self.per_s += weight / factor * (per_s - self.per_s)
        self._arrival_count = 0
        self._updated_at = now


class Bucket:
    """Tokens of one organisation on one instance; it starts empty.

    Attributes:
        share: Share of the contract's rate and burst, from 0 to 1.
        tokens: Requests that may be sent now; may be fractional.
    """

    def __init__(self):
        self.share = 0.0
        self.tokens = 0.0
        self._refilled_at: int | None = None
        self._retry_at = 0.0

    def refill(self, contract: Contract, now: int) -> None:
        """Add the tokens that have accrued since the last call."""
        if self._refilled_at is not None and now > self._refilled_at:
            elapsed_ms = now - self._refilled_at
            accrued = self.share * contract.rate_per_s * elapsed_ms / MS_PER_S
            self.tokens = min(self._capacity(contract), self.tokens + accrued)
        self._refilled_at = now

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def put(self, tokens: float, contract: Contract, wanted: int = 0) -> None:
        """Add tokens, up to the capacity and what waiting requests spend at once."""
        capacity = max(self.tokens, self._capacity(contract) + wanted)
        self.tokens = min(capacity, self.tokens + tokens)

    def next_token_ms(self, contract: Contract) -> int:
        """Return the time in milliseconds until the rate yields a whole token."""
        rate = self._rate(contract)
        return max(1, int((1.0 - self.tokens) / rate * MS_PER_S))

    def retry_after_ms(self, contract: Contract, now: int) -> int:
        """Return the retry-after time in milliseconds of a refused request.

        Each refused request gets the time of a token of its own, later than those of
        earlier ones. Where demand exceeds the rate, these times soon lie beyond what
        callers wait, so that callers do not retry only to be refused again.
        """
        soonest_at = now + self.next_token_ms(contract)
        token_interval_ms = MS_PER_S / self._rate(contract)
        self._retry_at = max(float(soonest_at), self._retry_at + token_interval_ms)
        return min(RETRY_AFTER_MS_MAX, int(self._retry_at - now))

    def _rate(self, contract: Contract) -> float:
        return max(self.share * contract.rate_per_s, RETRY_RATE_MIN_PER_S)

    def _capacity(self, contract: Contract) -> float:
        # A capacity under one token would refuse every request of a small share.
        return max(1.0, self.share * contract.burst)
