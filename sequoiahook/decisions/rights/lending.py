"""The lender's side of loans of one contract."""

import random
from collections.abc import Iterable

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import Amount, HeldLoan, RightsAsk, RightsGrant
from sequoiahook.world.contract import MICRO

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

    def renew(self, borrower: str, ask: RightsAsk, now: int) -> list[Lent]:
        """Extend the loans that an ask names and return them."""
        renewed = []
        for held in ask.loans:
            lent = self.lent_by_id.get(held.loan_id)
            if lent is None or lent.borrower != borrower:
                continue
            if lent.outstanding != NOTHING and self._extend(lent, now):
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
    ) -> Lent | None:
        """Debit a part and add to the borrower's loan from it.

        Only a loan that the ask names is added to: the borrower may have stopped
        counting any other one.

        Returns:
            The loan; None if the part lapses too soon to lend from.
        """
        lent = self._named_loan(ask, borrower, part)
        if lent is None:
            loan_id = self._rng.getrandbits(LOAN_ID_BITS)
            lent = Lent(loan_id, borrower, part, lease_ms)
        if not self._extend(lent, now):
            return None
        self.lent_by_id[lent.loan_id] = lent
        lent.granted = lent.granted.plus(part.take(amount, now))
        return lent

    def grant(
        self, lent: Lent, ask: RightsAsk, rate_limit: int, spare: int, is_last: bool
    ) -> Send:
        """Return the message that tells a borrower of its loan."""
        body = RightsGrant(
            ask.contract,
            lent.loan_id,
            ask.sequence,
            lent.duration_ms,
            lent.granted,
            rate_limit,
            max(0, spare) // MICRO * MICRO,
            is_last,
        )
        return Send(lent.borrower, body)

    def _absorb_loan(self, borrower: str, held: HeldLoan, now: int) -> None:
        lent = self.lent_by_id.get(held.loan_id)
        if lent is None or lent.borrower != borrower:
            return
        returned = lent.returned.highest(held.returned).lowest(lent.granted)
        if lent.part.is_usable(now):
            lent.part.give(returned.minus(lent.returned), now)
        lent.returned = returned

    def _named_loan(self, ask: RightsAsk, borrower: str, part: Part) -> Lent | None:
        for held in ask.loans:
            lent = self.lent_by_id.get(held.loan_id)
            if lent and lent.borrower == borrower and lent.part is part:
                return lent
        return None

    def _extend(self, lent: Lent, now: int) -> bool:
        margin_ms = self._settings.margin_ms
        duration_ms = lent.lease_ms
        if lent.part.expires_ms is not None:
            duration_ms = min(duration_ms, lent.part.expires_ms - margin_ms - now)
        if duration_ms < margin_ms:
            return False
        lent.duration_ms = duration_ms
        lent.expires_ms = max(lent.expires_ms, now + duration_ms + margin_ms)
        return True

    def _stated(self, borrower: str) -> tuple[int, int]:
        return self._demand_by_borrower.get(borrower, (0, 0))
