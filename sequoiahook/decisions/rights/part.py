"""Parts of a contract: token buckets that can be divided and merged."""

from sequoiahook.messages.rights import Amount

__all__ = ["Part"]


class Part:
    """A token bucket in whole micro-units.

    Args:
        part_id: Id of the loan, or 0 for the leader's share.
        now: The time in milliseconds.
        expires_at: When it stops being usable; None if it does not expire.
    """

    def __init__(self, part_id: int, now: int, expires_at: int | None = None):
        self.part_id = part_id
        self.expires_at = expires_at
        self.rate = 0
        self.capacity = 0
        self.tokens = 0
        self.used_at = now
        self._refilled_at = now

    @property
    def amount(self) -> Amount:
        """The rate, capacity and tokens as of the last refill."""
        return Amount(self.rate, self.capacity, self.tokens)

    def is_usable(self, now: int) -> bool:
        """Return whether the holder may spend and lend from the part."""
        return self.expires_at is None or now < self.expires_at

    def refill(self, now: int) -> None:
        """Add the tokens that accrued since the last refill."""
        elapsed_ms = max(0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self.tokens = min(self.capacity, self.tokens + self.rate * elapsed_ms)

    def debit(self, amount: Amount, now: int) -> Amount:
        """Debit up to an amount and return what was debited."""
        self.refill(now)
        debited = amount.lowest(self.amount)
        self._set(self.amount.minus(debited))
        return debited

    def ready_in_ms(self, tokens: int) -> int | None:
        """Return the time until it has some tokens; None if it cannot have them."""
        missing = tokens - self.tokens
        if missing <= 0:
            return 0
        if self.rate == 0 or self.capacity < tokens:
            return None
        return -(-missing // self.rate)

    def credit(self, amount: Amount, now: int) -> None:
        """Credit an amount."""
        self.refill(now)
        self._set(self.amount.plus(amount))

    def _set(self, amount: Amount) -> None:
        self.rate, self.capacity, tokens = amount
        self.tokens = min(tokens, self.capacity)
