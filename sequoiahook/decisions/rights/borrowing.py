"""The borrower's side of loans of one contract."""

from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import (
    Amount,
    GrantedLoan,
    HeldLoan,
    RightsGrant,
    RightsRefusal,
)

__all__ = ["BorrowedLoan", "Borrowing", "LatestTokenRequest"]

NOTHING = Amount()


class BorrowedLoan:
    """A loan as recorded by its borrower.

    The record is kept for a while after the loan was returned or lapsed, so that a
    late or repeated grant is not credited again.

    Attributes:
        lender: Name of the lending instance.
        part: The token bucket; lapses with the loan.
        granted: Highest total that the lender reported.
        returned: Total that was returned.
        reported: Returned total as of the last token request.
        renew_at: When to request its renewal.
        rate_limit: Rate above which the lender wants the excess returned.
    """

    def __init__(self, lender: str, part: Part, now: int):
        self.lender = lender
        self.part = part
        self.granted = NOTHING
        self.returned = NOTHING
        self.reported = NOTHING
        self.renew_at = now
        self.rate_limit = 0

    @property
    def is_empty(self) -> bool:
        """Whether all rate and capacity were returned."""
        held = self.granted.minus(self.returned)
        return held.rate == 0 and held.capacity == 0

    def return_amount(self, amount: Amount, now: int) -> None:
        """Debit an amount; the next token request to the lender reports it."""
        self.returned = self.returned.plus(self.part.debit(amount, now))

    def credit(self, granted: Amount, now: int) -> None:
        """Credit the excess of a grant over the totals seen before."""
        highest = self.granted.highest(granted)
        added = highest.minus(self.granted)
        self.granted = highest
        if added != NOTHING:
            self.part.credit(added, now)
            self.part.used_at = now


class LatestTokenRequest:
    """The latest token request to one lender.

    Attributes:
        sequence: Sequence number of the request.
        sent_at: When it was sent.
        tokens: Tokens that it wanted, in micro-units.
        is_pending: Whether an answer is still awaited.
    """

    def __init__(self, sequence: int, sent_at: int, tokens: int, is_pending: bool):
        self.sequence = sequence
        self.sent_at = sent_at
        self.tokens = tokens
        self.is_pending = is_pending


class Borrowing:
    """Loans that one instance holds of one contract.

    Args:
        settings: Settings of the rights.
    """

    def __init__(self, settings: RightsSettings):
        self._settings = settings
        self.loans_by_id: dict[int, BorrowedLoan] = {}
        self.latest_request_by_lender: dict[str, LatestTokenRequest] = {}
        self.retry_at_by_lender: dict[str, int] = {}
        self.spare_by_lender: dict[str, int] = {}
        self._requested_at_by_sequence: dict[int, int] = {}

    def usable_parts(self, now: int) -> list[Part]:
        """Return the parts of loans that have not lapsed."""
        return [
            loan.part for loan in self.loans_by_id.values() if loan.part.is_usable(now)
        ]

    def expire(self, now: int) -> None:
        """Drop lapsed loans and token requests whose answers would be too late."""
        oldest_at = now - self._settings.remote_lease_ms
        for loan_id, loan in list(self.loans_by_id.items()):
            if loan.part.expires_at < oldest_at:
                del self.loans_by_id[loan_id]
        for sequence, requested_at in list(self._requested_at_by_sequence.items()):
            if requested_at > oldest_at:
                break
            del self._requested_at_by_sequence[sequence]

    def reset(self, now: int) -> None:
        """Drop every loan and ignore answers that are still in transit."""
        for loan in self.loans_by_id.values():
            loan.part.expires_at = now
        self.loans_by_id.clear()
        self.latest_request_by_lender.clear()
        self.retry_at_by_lender.clear()
        self._requested_at_by_sequence.clear()

    def record_request(
        self, lender: str, sequence: int, tokens: int, is_pending: bool, now: int
    ) -> None:
        """Record a token request that is being sent."""
        self._requested_at_by_sequence[sequence] = now
        self.latest_request_by_lender[lender] = LatestTokenRequest(
            sequence, now, tokens, is_pending
        )

    def held_loans(self, lender: str, now: int) -> tuple[HeldLoan, ...]:
        """Return the loans from a lender for a token request and mark them reported."""
        held = []
        for loan_id, loan in self.loans_by_id.items():
            if loan.lender == lender and loan.part.is_usable(now):
                is_due = now >= loan.renew_at and not loan.is_empty
                held.append(HeldLoan(loan_id, loan.granted, loan.returned, is_due))
                loan.reported = loan.returned
        return tuple(held)

    def on_grant(self, source: str, grant: RightsGrant, now: int) -> None:
        """Credit a grant; one that arrives too late is ignored."""
        requested_at = self._requested_at_by_sequence.get(grant.sequence)
        if requested_at is None:
            return
        for granted in grant.loans:
            self._credit(source, granted, requested_at, now)
        self.spare_by_lender[source] = grant.spare
        latest = self.latest_request_by_lender.get(source)
        if latest is not None and latest.sequence == grant.sequence and grant.is_last:
            latest.is_pending = False
            self.retry_at_by_lender.pop(source, None)

    def on_refusal(self, source: str, refusal: RightsRefusal, now: int) -> None:
        """Record the retry-after time of a lender that refused."""
        latest = self.latest_request_by_lender.get(source)
        if latest is None or latest.sequence != refusal.sequence:
            return
        latest.is_pending = False
        if latest.tokens == 0:
            return
        self.spare_by_lender[source] = 0
        self.retry_at_by_lender[source] = now + refusal.retry_after_ms

    def _credit(
        self, source: str, granted: GrantedLoan, requested_at: int, now: int
    ) -> None:
        duration_ms = min(granted.duration_ms, self._settings.remote_lease_ms)
        expires_at = requested_at + duration_ms
        loan = self.loans_by_id.get(granted.loan_id)
        if expires_at <= now or (loan and not loan.part.is_usable(now)):
            return
        if loan is None:
            loan = BorrowedLoan(source, Part(granted.loan_id, now, expires_at), now)
            self.loans_by_id[granted.loan_id] = loan
        loan.part.expires_at = max(loan.part.expires_at, expires_at)
        loan.renew_at = max(loan.renew_at, requested_at + duration_ms // 2)
        loan.credit(granted.granted, now)
        loan.rate_limit = granted.rate_limit
