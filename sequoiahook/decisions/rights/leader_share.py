"""The share of a data centre in a contract, as held by its leader."""

from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import Amount

__all__ = ["LeaderShare"]

NOTHING = Amount()


class LeaderShare:
    """The share that an instance holds for its data centre while it is the leader.

    Attributes:
        part: The free part of the share; None if the instance is not the leader.
        total: Rate and capacity of the share, whether free, reserved or lent.
        allowed: Rate and capacity that the share may have.
        full_at: When the share is free of loans and reservations of earlier leaders.
    """

    def __init__(self, settings: RightsSettings):
        self._settings = settings
        self.part: Part | None = None
        self.total = NOTHING
        self.allowed = NOTHING
        self.full_at: int | None = None
        self._lapses_at = 0

    @property
    def is_over_allowed(self) -> bool:
        """Whether the total exceeds the allowed amount."""
        return self.total.highest(self.allowed) != self.allowed

    def is_full(self, now: int) -> bool:
        """Return whether all loans and reservations of earlier leaders have ended."""
        return (
            self.part is not None and self.full_at is not None and self.full_at <= now
        )

    def lapse_ms(self, now: int) -> int:
        """Return the time until everything given up earlier has lapsed."""
        return max(0, self._lapses_at - now)

    def start(self, handed_over: Amount, full_at: int, now: int) -> None:
        """Start as leader with a handed-over amount; the rest is added later, empty."""
        self.part = Part(0, now)
        self.part.credit(handed_over, now)
        self.total = handed_over._replace(tokens=0)
        self.full_at = max(full_at, self._lapses_at)
        self.adjust(now)

    def adjust(self, now: int) -> None:
        """Reduce the share to the allowed amount, or raise it without adding tokens."""
        if self.part is None:
            return
        excess = self.total.minus(self.allowed).highest(NOTHING)
        self.total = self.total.minus(self.part.debit(excess._replace(tokens=0), now))
        self.total = self.total._replace(tokens=0)
        if self.is_full(now):
            missing = self.allowed.minus(self.total).highest(NOTHING)
            missing = missing._replace(tokens=0)
            self.part.credit(missing, now)
            self.total = self.total.plus(missing)

    def drop(self, lapses_at: int, now: int) -> None:
        """Drop the share at once; its reservations and loans end."""
        if self.part is not None:
            self.part.expires_at = now
            self.part = None
            self._lapses_at = max(self._lapses_at, lapses_at, self.full_at or 0)
        self.total = NOTHING

    def give_up(self, lapses_at: int, now: int) -> tuple[Amount, int]:
        """Give up the share in favour of another leader.

        Returns:
            The free amount, already debited, and the milliseconds until the rest has
            lapsed.
        """
        part = self.part
        if part is None:
            return NOTHING, self.lapse_ms(now)
        part.refill(now)
        handed_over = part.debit(part.amount, now)
        lease_ms = self._settings.local_lease_ms + self._settings.margin_ms
        self.drop(max(lapses_at, now + lease_ms), now)
        part.expires_at = now + self._settings.local_lease_ms
        return handed_over, self.lapse_ms(now)
