"""Messages that lend, return and hand over parts of a contract between instances.

Rates are in micro-units a millisecond, capacities and tokens in micro-units. Amounts
of a loan are totals since the loan began, and the receiver uses the highest total
received. A repeated or reordered message therefore has no effect, and the next message
makes up for a lost one.
"""

from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = [
    "Amount",
    "GrantedLoan",
    "HandedPart",
    "HeldLoan",
    "RightsAsk",
    "RightsClaim",
    "RightsGrant",
    "RightsLeaving",
    "RightsRefusal",
    "RightsSettled",
    "RightsSettledQuery",
    "RightsYield",
    "SettledNumber",
]


class Amount(NamedTuple):
    """A rate, a burst capacity and tokens.

    Attributes:
        rate: Micro-units a millisecond.
        capacity: Micro-units that may be saved up.
        tokens: Micro-units that may be spent.
    """

    rate: int = 0
    capacity: int = 0
    tokens: int = 0

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum, field by field."""
        rate, capacity, tokens = other
        return Amount(self.rate + rate, self.capacity + capacity, self.tokens + tokens)

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference, field by field."""
        rate, capacity, tokens = other
        return Amount(self.rate - rate, self.capacity - capacity, self.tokens - tokens)

    def highest(self, other: "Amount") -> "Amount":
        """Return the higher value of each field."""
        return Amount(*map(max, self, other))

    def lowest(self, other: "Amount") -> "Amount":
        """Return the lower value of each field."""
        return Amount(*map(min, self, other))


class HeldLoan(NamedTuple):
    """State of one loan at its borrower.

    Attributes:
        loan_id: Id of the loan.
        seen: Total granted to the borrower, as far as it knows.
        returned: Total that the borrower has returned; already debited.
        wants_renewal: Whether the borrower requests a renewal.
    """

    loan_id: int
    seen: Amount
    returned: Amount
    wants_renewal: bool


@message
class RightsAsk(NamedTuple):
    """Token request of a borrower: returns parts, renews loans and requests more.

    Lost or delayed: the borrower sends another one with a new sequence. Repeated or
    reordered: returns count once; only the highest sequence renews loans.

    Attributes:
        contract: Name of the contract.
        run: Random number of the borrower's run.
        sequence: Number of the request; grows within the run from a random start.
        wanted: Amount requested in addition to everything granted so far.
        demand: Usage of the borrower, in micro-units a millisecond.
        wait_ms: Longest time that the request may wait for tokens at the lender, in
            milliseconds.
        loans: Loans that the borrower holds from this lender.
    """

    contract: str
    run: int
    sequence: int
    wanted: Amount
    demand: int
    wait_ms: int
    loans: tuple[HeldLoan, ...]


class GrantedLoan(NamedTuple):
    """State of one loan at its lender.

    Attributes:
        loan_id: Id of the loan, a random number chosen by the lender.
        duration_ms: Duration of the loan from the borrower's request, in milliseconds.
        granted: Total that the loan has moved to the borrower.
        rate_limit: Rate above which the borrower should return the excess.
    """

    loan_id: int
    duration_ms: int
    granted: Amount
    rate_limit: int


@message
class RightsGrant(NamedTuple):
    """Token grant of a lender: grants or renews loans, which it has already debited.

    Lost: the loans are unused until they lapse or are granted again. Repeated or
    reordered: the totals count once. Delayed: ignored after the duration, which the
    borrower counts from its request.

    Attributes:
        contract: Name of the contract.
        sequence: Sequence of the answered request; durations count from its sending.
        loans: The loans.
        spare: Tokens that the lender could lend in addition.
        is_last: Whether the request is answered in full; otherwise more may follow.
    """

    contract: str
    sequence: int
    loans: tuple[GrantedLoan, ...]
    spare: int
    is_last: bool


@message
class RightsRefusal(NamedTuple):
    """Refuses a token request, or the unanswered rest of it.

    Lost: the borrower's own time-outs apply. Repeated, reordered or delayed: ignored
    unless it answers the latest request to that lender.

    Attributes:
        contract: Name of the contract.
        sequence: Sequence of the answered request.
        retry_after_ms: Retry-after time, in milliseconds.
    """

    contract: str
    sequence: int
    retry_after_ms: int


@message
class RightsClaim(NamedTuple):
    """Claims the parts that a view assigns to the sender from its data centre.

    Lost: sent again until each responding peer has answered. Repeated or delayed: the
    receiver gives up the parts that the sender would own, which only costs time.

    Attributes:
        claim_id: Id of the claim, a random number.
        view_number: Number of the view that the claim is based on.
        instances: Names of the instances of that view.
    """

    claim_id: int
    view_number: int
    instances: tuple[str, ...]


class HandedPart(NamedTuple):
    """A part that an instance hands over to the new leader of the contract.

    Attributes:
        contract: Name of the contract.
        amount: The unused part; already debited.
        lapse_ms: Time from sending after which the rest is no longer in use, in
            milliseconds.
    """

    contract: str
    amount: Amount
    lapse_ms: int


class SettledNumber(NamedTuple):
    """Highest configuration number at which the shares of a contract are settled.

    Attributes:
        contract: Name of the contract.
        number: The configuration number.
    """

    contract: str
    number: int


@message
class RightsYield(NamedTuple):
    """Answers a claim; the sender gives up everything that the claimant owns.

    Lost: the claim is repeated and answered without parts. Repeated, reordered or
    delayed: only the first answer of a peer to the latest claim counts.

    Attributes:
        claim_id: Id of the answered claim.
        is_leaving: Whether the sender is stopping.
        number: Configuration number of the sender.
        lapse_ms: Time until the last loan of parts given up earlier has lapsed, in
            milliseconds.
        parts: Parts that are handed over to the claimant.
        settled: Configuration numbers that the sender knows to be settled.
    """

    claim_id: int
    is_leaving: bool
    number: int
    lapse_ms: int
    parts: tuple[HandedPart, ...]
    settled: tuple[SettledNumber, ...]


@message
class RightsLeaving(NamedTuple):
    """Announces that the sender stops, so that its data centre claims its parts.

    Lost: its parts become free when they lapse. Repeated, reordered or delayed:
    harmless, since the answers to the claim report the current state.

    Attributes:
        view_number: Number of the sender's view.
    """

    view_number: int


@message
class RightsSettledQuery(NamedTuple):
    """Requests the settled number of a contract from another data centre's leader.

    Lost: sent again. Repeated, reordered or delayed: answered again.

    Attributes:
        contract: Name of the contract.
        number: Configuration number to which the sender wants to raise its share.
    """

    contract: str
    number: int


@message
class RightsSettled(NamedTuple):
    """Reports that the sender's data centre uses at most its share at a number.

    Lost: requested again. Repeated, reordered or delayed: the highest number counts.

    Attributes:
        contract: Name of the contract.
        data_centre: Data centre of the sender.
        number: The configuration number.
        is_everywhere: Whether this is known to hold for all data centres; only sent
            within a data centre.
    """

    contract: str
    data_centre: str
    number: int
    is_everywhere: bool
