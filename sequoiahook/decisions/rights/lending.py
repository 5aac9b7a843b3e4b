"""The lender's side of loans of one contract."""

import random
from collections.abc import Iterable

from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import Amount, GrantedLoan, HeldLoan, RightsAsk

__all__ = ["Lending", "LentLoan"]

LOAN_ID_BITS = 62
NOTHING = Amount()


class LentLoan:
    """A loan as recorded by its lender.

    Attributes:
        loan_id: Random id.
        borrower: Name of the borrowing instance.
        part: The part that was debited.
        granted: Total that was granted to the borrower.
        returned: Total that the borrower returned.
        lease_ms: Full duration of a renewal; shorter if the part expires earlier.
        expires_at: When the lender counts the loan as returned.
        duration_ms: Duration that was last granted to the borrower.
    """

    def __init__(self, loan_id: int, borrower: str, part: Part, lease_ms: int):
        self.loan_id = loan_id
        self.borrower = borrower
        self.part = part
        self.lease_ms = lease_ms
        self.granted = NOTHING
        self.returned = NOTHING
        self.expires_at = 0
        self.duration_ms = 0

    def to_granted(self, rate_limit: int) -> GrantedLoan:
        """Return the loan in the form that a grant carries."""
        return GrantedLoan(self.loan_id, self.duration_ms, self.granted, rate_limit)

    @property
    def outstanding(self) -> Amount:
        """The amount that the borrower may still hold."""
        return self.granted.minus(self.returned)


class Lending:
    """Loans that one instance has made of one contract.

    Args:
        settings: Settings of the rights.
        rng: Source of loan ids.
    """

    def __init__(self, settings: RightsSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self.loans_by_id: dict[int, LentLoan] = {}
        self._sequence_by_run: dict[tuple[str, int], int] = {}
        self._demand_by_borrower: dict[str, tuple[int, int]] = {}

    def last_lapse_at(self, now: int) -> int:
        """Return when the last loan lapses; now if there is none."""
        return max([now, *(loan.expires_at for loan in self.loans_by_id.values())])

    def outstanding(self, part: Part) -> Amount:
        """Return the amount that is lent from a part."""
        total = NOTHING
        for loan in self.loans_by_id.values():
            if loan.part is part:
                total = total.plus(loan.outstanding)
        return total

    def demand(self, names: Iterable[str], now: int) -> int:
        """Return the sum of the demand that borrowers reported recently."""
        oldest_at = now - self._settings.remote_lease_ms
        return sum(
            demand
            for demand, reported_at in map(self._reported_demand, names)
            if reported_at >= oldest_at
        )

    def expire(self, now: int) -> None:
        """Recover rate and capacity of lapsed loans; their tokens count as spent."""
        for loan in [
            loan for loan in self.loans_by_id.values() if loan.expires_at <= now
        ]:
            del self.loans_by_id[loan.loan_id]
            if loan.part.is_usable(now):
                loan.part.credit(loan.outstanding._replace(tokens=0), now)
        if not self.loans_by_id:
            self._sequence_by_run.clear()

    def reset(self) -> None:
        """Drop every record without recovering any amount."""
        self.loans_by_id.clear()
        self._sequence_by_run.clear()

    def apply_returns(self, borrower: str, token_request: RightsAsk, now: int) -> bool:
        """Credit the amounts that a token request returns.

        Returns:
            Whether the request is the latest of its run, so that it may be answered.
        """
        for held in token_request.loans:
            self._apply_return(borrower, held, now)
        key = (borrower, token_request.run)
        if token_request.sequence <= self._sequence_by_run.get(key, -1):
            return False
        self._sequence_by_run[key] = token_request.sequence
        self._demand_by_borrower[borrower] = (token_request.demand, now)
        return True

    def unseen_tokens(self, borrower: str, token_request: RightsAsk) -> int:
        """Return tokens that were granted but not yet seen by the borrower."""
        seen_by_id = {held.loan_id: held.seen.tokens for held in token_request.loans}
        total = 0
        for loan in self.loans_by_id.values():
            if loan.borrower != borrower:
                continue
            if loan.loan_id in seen_by_id:
                total += loan.granted.tokens - seen_by_id[loan.loan_id]
            else:
                total += min(loan.granted.tokens, loan.outstanding.capacity)
        return total

    def may_lend(self, part: Part, now: int) -> bool:
        """Return whether a part lasts long enough for a loan from it."""
        margin_ms = self._settings.margin_ms
        return part.expires_at is None or part.expires_at - now >= 2 * margin_ms

    def renew(
        self, borrower: str, token_request: RightsAsk, ending: Part | None, now: int
    ) -> list[LentLoan]:
        """Extend the loans that a token request wants renewed and return them.

        Args:
            borrower: Name of the borrowing instance.
            token_request: The token request.
            ending: A part whose loans are left to lapse; None if there is none.
            now: The time in milliseconds.
        """
        renewed = []
        for held in token_request.loans:
            loan = self.loans_by_id.get(held.loan_id)
            if loan is None or loan.borrower != borrower or not held.wants_renewal:
                continue
            if loan.part is ending or loan.outstanding == NOTHING:
                continue
            if self.may_lend(loan.part, now):
                self._extend(loan, now)
                renewed.append(loan)
        return renewed

    def lend(
        self,
        borrower: str,
        token_request: RightsAsk,
        part: Part,
        amount: Amount,
        lease_ms: int,
        now: int,
    ) -> LentLoan:
        """Debit a part and add the amount to the borrower's loan from it.

        Only a loan that the token request lists is extended, as the borrower may have
        dropped any other, and none that may lapse before the answer arrives.
        """
        loan = self._reported_loan(token_request, borrower, part, now)
        if loan is None:
            loan_id = self._rng.getrandbits(LOAN_ID_BITS)
            loan = LentLoan(loan_id, borrower, part, lease_ms)
        self._extend(loan, now)
        self.loans_by_id[loan.loan_id] = loan
        loan.granted = loan.granted.plus(part.debit(amount, now))
        return loan

    def _apply_return(self, borrower: str, held: HeldLoan, now: int) -> None:
        loan = self.loans_by_id.get(held.loan_id)
        if loan is None or loan.borrower != borrower:
            return
        returned = loan.returned.highest(held.returned).lowest(loan.granted)
        if loan.part.is_usable(now):
            loan.part.credit(returned.minus(loan.returned), now)
        loan.returned = returned

    def _reported_loan(
        self, token_request: RightsAsk, borrower: str, part: Part, now: int
    ) -> LentLoan | None:
        for held in token_request.loans:
            loan = self.loans_by_id.get(held.loan_id)
            if loan is None or loan.borrower != borrower or loan.part is not part:
                continue
            if loan.expires_at - now >= loan.lease_ms // 2:
                return loan
        return None

    def _extend(self, loan: LentLoan, now: int) -> None:
        margin_ms = self._settings.margin_ms
        duration_ms = loan.lease_ms
        if loan.part.expires_at is not None:
            duration_ms = min(duration_ms, loan.part.expires_at - margin_ms - now)
        loan.duration_ms = duration_ms
        loan.expires_at = max(loan.expires_at, now + duration_ms + margin_ms)

    def _reported_demand(self, borrower: str) -> tuple[int, int]:
        return self._demand_by_borrower.get(borrower, (0, 0))
