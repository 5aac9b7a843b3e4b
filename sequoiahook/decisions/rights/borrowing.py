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

__all__ = ["Borrowed", "Borrowing", "OpenAsk"]

NOTHING = Amount()


class Borrowed:
    """A loan as its borrower counts it.

    A loan is kept for a while after it was returned or lapsed, so that a late or
    repeated grant of it is not credited again.

    Attributes:
        lender: Name of the lending instance.
        part: The bucket; lapses with the loan.
        granted: Highest total that the lender stated.
        returned: Total that was returned.
        reported: What was returned as of the last ask.
        renew_ms: When to ask for its renewal.
        rate_limit: Rate that the lender asks to stay within.
    """

    def __init__(self, lender: str, part: Part, now: int):
        self.lender = lender
        self.part = part
        self.granted = NOTHING
        self.returned = NOTHING
        self.reported = NOTHING
        self.renew_ms = now
        self.rate_limit = 0

    @property
    def is_empty(self) -> bool:
        """Whether everything but spent tokens was returned."""
        held = self.granted.minus(self.returned)
        return held.rate == 0 and held.capacity == 0

    def give_back(self, amount: Amount, now: int) -> None:
        """Debit an amount; the next ask to the lender reports it."""
        self.returned = self.returned.plus(self.part.take(amount, now))

    def credit(self, granted: Amount, now: int) -> None:
        """Credit what a grant moved beyond the totals seen before."""
        highest = self.granted.highest(granted)
        added = highest.minus(self.granted)
        self.granted = highest
        if added != NOTHING:
            self.part.give(added, now)
            self.part.used_ms = now


class OpenAsk:
    """The latest ask to one lender.

    Attributes:
        sequence: Its sequence.
        sent_ms: When it was sent.
        tokens: Tokens that it wanted.
        is_open: Whether an answer is still awaited.
    """

    def __init__(self, sequence: int, sent_ms: int, tokens: int, is_open: bool):
        self.sequence = sequence
        self.sent_ms = sent_ms
        self.tokens = tokens
        self.is_open = is_open


class Borrowing:
    """Loans that one instance holds of one contract.

    Args:
        settings: The durations.
    """

    def __init__(self, settings: RightsSettings):
        self._settings = settings
        self.loans_by_id: dict[int, Borrowed] = {}
        self.asks_by_lender: dict[str, OpenAsk] = {}
        self.dry_until_by_lender: dict[str, int] = {}
        self.spare_by_lender: dict[str, int] = {}
        self._asked_ms_by_sequence: dict[int, int] = {}

    def usable_parts(self, now: int) -> list[Part]:
        """Return the parts of loans that have not lapsed."""
        return [
            loan.part for loan in self.loans_by_id.values() if loan.part.is_usable(now)
        ]

    def expire(self, now: int) -> None:
        """Drop loans that lapsed and asks that are too old to be answered."""
        oldest_ms = now - self._settings.remote_lease_ms
        for loan_id, loan in list(self.loans_by_id.items()):
            if loan.part.expires_ms < oldest_ms:
                del self.loans_by_id[loan_id]
        for sequence, asked_ms in list(self._asked_ms_by_sequence.items()):
            if asked_ms > oldest_ms:
                break
            del self._asked_ms_by_sequence[sequence]

    def forget(self, now: int) -> None:
        """Stop using every loan and ignore every answer under way."""
        for loan in self.loans_by_id.values():
            loan.part.expires_ms = now
        self.loans_by_id.clear()
        self.asks_by_lender.clear()
        self.dry_until_by_lender.clear()
        self._asked_ms_by_sequence.clear()

    def note_ask(
        self, lender: str, sequence: int, tokens: int, is_open: bool, now: int
    ) -> None:
        """Remember when an ask left."""
        self._asked_ms_by_sequence[sequence] = now
        self.asks_by_lender[lender] = OpenAsk(sequence, now, tokens, is_open)

    def held_loans(self, lender: str, now: int) -> tuple[HeldLoan, ...]:
        """Return the loans of a lender for an ask, and count them as reported."""
        held = []
        for loan_id, loan in self.loans_by_id.items():
            if loan.lender == lender and loan.part.is_usable(now):
                is_due = now >= loan.renew_ms and not loan.is_empty
                held.append(HeldLoan(loan_id, loan.granted, loan.returned, is_due))
                loan.reported = loan.returned
        return tuple(held)

    def on_grant(self, source: str, grant: RightsGrant, now: int) -> None:
        """Credit a grant, unless it comes too late to count."""
        asked_ms = self._asked_ms_by_sequence.get(grant.sequence)
        if asked_ms is None:
            return
        for granted in grant.loans:
            self._credit(source, granted, asked_ms, now)
        self.spare_by_lender[source] = grant.spare
        ask = self.asks_by_lender.get(source)
        if ask is not None and ask.sequence == grant.sequence and grant.is_last:
            ask.is_open = False
            self.dry_until_by_lender.pop(source, None)

    def on_refusal(self, source: str, refusal: RightsRefusal, now: int) -> None:
        """Remember until when a lender has nothing."""
        ask = self.asks_by_lender.get(source)
        if ask is None or ask.sequence != refusal.sequence:
            return
        ask.is_open = False
        if ask.tokens == 0:
            return
        self.spare_by_lender[source] = 0
        self.dry_until_by_lender[source] = now + refusal.retry_after_ms

    def _credit(
        self, source: str, granted: GrantedLoan, asked_ms: int, now: int
    ) -> None:
        duration_ms = min(granted.duration_ms, self._settings.remote_lease_ms)
        expires_ms = asked_ms + duration_ms
        loan = self.loans_by_id.get(granted.loan_id)
        if expires_ms <= now or (loan and not loan.part.is_usable(now)):
            return
        if loan is None:
            loan = Borrowed(source, Part(granted.loan_id, now, expires_ms), now)
            self.loans_by_id[granted.loan_id] = loan
        loan.part.expires_ms = max(loan.part.expires_ms, expires_ms)
        loan.renew_ms = max(loan.renew_ms, asked_ms + duration_ms // 2)
        loan.credit(granted.granted, now)
        loan.rate_limit = granted.rate_limit
