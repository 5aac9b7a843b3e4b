"""The lender's side of loans of one contract."""

import random
from collections.abc import Iterable

from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import Amount, GrantedLoan, HeldLoan, RightsAsk

__all__ = ["Lending", "Lent"]

LOAN_ID_BITS = 62
NOTHING = Amount()


class Lent:
    """A loan as its lender counts it.

    Attributes:
        loan_id: Random number.
        borrower: Name of the borrowing instance.
        part: The part that it was taken from.
        granted: Total that went to the borrower.
        returned: Total that came back.
        lease_ms: Duration that each renewal aims at.
        expires_ms: When the lender counts everything as back.
        duration_ms: Duration that the borrower was told last.
    """

    def __init__(self, loan_id: int, borrower: str, part: Part, lease_ms: int):
        self.loan_id = loan_id
        self.borrower = borrower
        self.part = part
        self.lease_ms = lease_ms
        self.granted = NOTHING
        self.returned = NOTHING
        self.expires_ms = 0
        self.duration_ms = 0

    def stated(self, rate_limit: int) -> GrantedLoan:
        """Return the loan as it is told to the borrower."""
        return GrantedLoan(self.loan_id, self.duration_ms, self.granted, rate_limit)

    @property
    def outstanding(self) -> Amount:
        """What the borrower may still hold."""
        return self.granted.minus(self.returned)


class Lending:
    """Loans that one instance has made of one contract.

    Args:
        settings: The durations.
        rng: Source of loan ids.
    """

    def __init__(self, settings: RightsSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self.lent_by_id: dict[int, Lent] = {}
        self._sequence_by_run: dict[tuple[str, int], int] = {}
        self._demand_by_borrower: dict[str, tuple[int, int]] = {}

    def lapses_ms(self, now: int) -> int:
        """Return when the last loan has lapsed; now if there is none."""
        return max([now, *(lent.expires_ms for lent in self.lent_by_id.values())])

    def outstanding(self, part: Part) -> Amount:
        """Return what is lent of a part."""
        total = NOTHING
        for lent in self.lent_by_id.values():
            if lent.part is part:
                total = total.plus(lent.outstanding)
        return total

    def demand(self, names: Iterable[str], now: int) -> int:
        """Return the use that some borrowers stated of late, added up."""
        oldest_ms = now - self._settings.remote_lease_ms
        return sum(
            demand
            for demand, stated_ms in map(self._stated, names)
            if stated_ms >= oldest_ms
        )

    def expire(self, now: int) -> None:
        """Take back loans that have lapsed; their tokens are gone."""
        for lent in [
            lent for lent in self.lent_by_id.values() if lent.expires_ms <= now
        ]:
            del self.lent_by_id[lent.loan_id]
            if lent.part.is_usable(now):
                lent.part.give(lent.outstanding._replace(tokens=0), now)
        if not self.lent_by_id:
            self._sequence_by_run.clear()

    def forget(self) -> None:
        """Drop every record without taking anything back."""
        self.lent_by_id.clear()
        self._sequence_by_run.clear()

    def absorb(self, borrower: str, ask: RightsAsk, now: int) -> bool:
        """Credit what an ask returns.

        Returns:
            Whether the ask is the latest of its run, so that it may be answered.
        """
        for held in ask.loans:
            self._absorb_loan(borrower, held, now)
        key = (borrower, ask.run)
        if ask.sequence <= self._sequence_by_run.get(key, -1):
            return False
        self._sequence_by_run[key] = ask.sequence
        self._demand_by_borrower[borrower] = (ask.demand, now)
        return True

    def unseen_tokens(self, borrower: str, ask: RightsAsk) -> int:
        """Return tokens granted to the borrower that the ask did not know of."""
        seen_by_id = {held.loan_id: held.seen.tokens for held in ask.loans}
        total = 0
        for lent in self.lent_by_id.values():
            if lent.borrower != borrower:
                continue
            if lent.loan_id in seen_by_id:
                total += lent.granted.tokens - seen_by_id[lent.loan_id]
            else:
                total += min(lent.granted.tokens, lent.outstanding.capacity)
        return total

    def may_lend(self, part: Part, now: int) -> bool:
        """Return whether a part lasts long enough for a loan from it."""
        margin_ms = self._settings.margin_ms
        return part.expires_ms is None or part.expires_ms - now >= 2 * margin_ms

    def renew(
        self, borrower: str, ask: RightsAsk, ended: Part | None, now: int
    ) -> list[Lent]:
        """Extend the loans that an ask wants renewed and return them.

        Args:
            borrower: Name of the borrowing instance.
            ask: The ask.
            ended: A part whose loans are left to lapse; None if there is none.
            now: The time in milliseconds.
        """
        renewed = []
        for held in ask.loans:
            lent = self.lent_by_id.get(held.loan_id)
            if lent is None or lent.borrower != borrower or not held.wants_renewal:
                continue
            if lent.part is ended or lent.outstanding == NOTHING:
                continue
            if self.may_lend(lent.part, now):
                self._extend(lent, now)
                renewed.append(lent)
        return renewed

    def lend(
        self,
        borrower: str,
        ask: RightsAsk,
        part: Part,
        amount: Amount,
        lease_ms: int,
        now: int,
    ) -> Lent:
        """Debit a part that may be lent from and add to the borrower's loan of it.

        Only a loan that the ask names is added to, as the borrower may have stopped
        counting any other one, and none that may lapse before the answer arrives.
        """
        lent = self._named_loan(ask, borrower, part, now)
        if lent is None:
            loan_id = self._rng.getrandbits(LOAN_ID_BITS)
            lent = Lent(loan_id, borrower, part, lease_ms)
        self._extend(lent, now)
        self.lent_by_id[lent.loan_id] = lent
        lent.granted = lent.granted.plus(part.take(amount, now))
        return lent

    def _absorb_loan(self, borrower: str, held: HeldLoan, now: int) -> None:
        lent = self.lent_by_id.get(held.loan_id)
        if lent is None or lent.borrower != borrower:
            return
        returned = lent.returned.highest(held.returned).lowest(lent.granted)
        if lent.part.is_usable(now):
            lent.part.give(returned.minus(lent.returned), now)
        lent.returned = returned

    def _named_loan(
        self, ask: RightsAsk, borrower: str, part: Part, now: int
    ) -> Lent | None:
        for held in ask.loans:
            lent = self.lent_by_id.get(held.loan_id)
            if lent is None or lent.borrower != borrower or lent.part is not part:
                continue
            if lent.expires_ms - now >= lent.lease_ms // 2:
                return lent
        return None

    def _extend(self, lent: Lent, now: int) -> None:
        margin_ms = self._settings.margin_ms
        duration_ms = lent.lease_ms
        if lent.part.expires_ms is not None:
            duration_ms = min(duration_ms, lent.part.expires_ms - margin_ms - now)
        lent.duration_ms = duration_ms
        lent.expires_ms = max(lent.expires_ms, now + duration_ms + margin_ms)

    def _stated(self, borrower: str) -> tuple[int, int]:
        return self._demand_by_borrower.get(borrower, (0, 0))
