"""A keeper's own part of a contract: the share of its data centre."""

from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import Amount

__all__ = ["Base"]

NOTHING = Amount()


class Base:
    """The share that an instance keeps for its data centre, or its absence.

    Attributes:
        part: What of the share is at hand; None if the instance is not the keeper.
        total: Rate and capacity of the share, at hand, reserved or lent.
        allowed: Rate and capacity that the share may have.
    """

    def __init__(self, settings: RightsSettings):
        self._settings = settings
        self.part: Part | None = None
        self.total = NOTHING
        self.allowed = NOTHING
        self.full_ms: int | None = None
        self._lapses_ms = 0

    @property
    def is_over(self) -> bool:
        """Whether more is lent or reserved than the share allows."""
        return self.total.highest(self.allowed) != self.allowed

    def is_full(self, now: int) -> bool:
        """Return whether nothing of an earlier keeper is in use any more."""
        return (
            self.part is not None and self.full_ms is not None and self.full_ms <= now
        )

    def lapse_ms(self, now: int) -> int:
        """Return after how long what was given up earlier has lapsed."""
        return max(0, self._lapses_ms - now)

    def start(self, handed: Amount, full_ms: int, now: int) -> None:
        """Begin to keep: with a part handed over, and the rest later, empty."""
        self.part = Part(0, now)
        self.part.give(handed, now)
        self.total = handed._replace(tokens=0)
        self.full_ms = max(full_ms, self._lapses_ms)
        self.adjust(now)

    def adjust(self, now: int) -> None:
        """Cut the share to what is allowed, or raise it with an empty bucket."""
        if self.part is None:
            return
        excess = self.total.minus(self.allowed).highest(NOTHING)
        self.total = self.total.minus(self.part.take(excess._replace(tokens=0), now))
        self.total = self.total._replace(tokens=0)
        if self.is_full(now):
            missing = self.allowed.minus(self.total).highest(NOTHING)
            missing = missing._replace(tokens=0)
            self.part.give(missing, now)
            self.total = self.total.plus(missing)

    def drop(self, lapses_ms: int, now: int) -> None:
        """Stop keeping at once; reservations and loans of the share end."""
        if self.part is not None:
            self.part.expires_ms = now
            self.part = None
            self._lapses_ms = max(self._lapses_ms, lapses_ms, self.full_ms or 0)
        self.total = NOTHING

    def give_up(self, lapses_ms: int, now: int) -> tuple[Amount, int]:
        """Stop keeping in favour of another instance.

        Returns:
            The free part, debited, and after how long the rest has lapsed.
        """
        part = self.part
        if part is None:
            return NOTHING, self.lapse_ms(now)
        part.refill(now)
        handed = part.take(part.amount, now)
        lease_ms = self._settings.local_lease_ms + self._settings.margin_ms
        self.drop(max(lapses_ms, now + lease_ms), now)
        part.expires_ms = now + self._settings.local_lease_ms
        return handed, self.lapse_ms(now)
