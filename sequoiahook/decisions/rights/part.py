"""Parts of a contract: token buckets that can be divided and joined."""

from sequoiahook.messages.rights import Amount

__all__ = ["Part"]


class Part:
    """A token bucket in whole micro-units.

    Args:
        part_id: Identifies the part at its holder; a loan's id, or 0 for the base.
        now: The time, in milliseconds.
        expires_ms: When it stops being usable; None if it does not lapse by itself.
    """

    def __init__(self, part_id: int, now: int, expires_ms: int | None = None):
        self.part_id = part_id
        self.expires_ms = expires_ms
        self.rate = 0
        self.capacity = 0
        self.tokens = 0
        self.used_ms = now
        self._refilled_ms = now

    @property
    def amount(self) -> Amount:
        """The rate, capacity and tokens as of the last refill."""
        return Amount(self.rate, self.capacity, self.tokens)

    def is_usable(self, now: int) -> bool:
        """Return whether the holder may spend and lend from the part."""
        return self.expires_ms is None or now < self.expires_ms

    def refill(self, now: int) -> None:
        """Add the tokens that have come since the last refill."""
        elapsed_ms = max(0, now - self._refilled_ms)
        self._refilled_ms = max(now, self._refilled_ms)
        self.tokens = min(self.capacity, self.tokens + self.rate * elapsed_ms)

    def take(self, amount: Amount, now: int) -> Amount:
        """Debit up to an amount and return what was debited."""
        self.refill(now)
        taken = amount.lowest(self.amount)
        self._set(self.amount.minus(taken))
        return taken

    def ready_in_ms(self, tokens: int) -> int | None:
        """Return after how long it has some tokens; None if it never has."""
        missing = tokens - self.tokens
        if missing <= 0:
            return 0
        if self.rate == 0 or self.capacity < tokens:
            return None
        return -(-missing // self.rate)

    def give(self, amount: Amount, now: int) -> None:
        """Credit an amount."""
        self.refill(now)
        self._set(self.amount.plus(amount))

    def _set(self, amount: Amount) -> None:
        self.rate, self.capacity, tokens = amount
        self.tokens = min(tokens, self.capacity)
