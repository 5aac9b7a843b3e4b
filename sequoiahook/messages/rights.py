"""Messages by which instances lend, return and hand over parts of a contract.

Rates are in micro-units a millisecond, capacities and tokens in micro-units. Amounts
that a loan moves are totals since the loan began, so the receiver takes the highest
total that it has seen: a repeat or a reordered message changes nothing, and the next
message heals a lost one.
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
        capacity: Micro-units that may be kept.
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
    """What a borrower says about one loan.

    Attributes:
        loan_id: The loan.
        seen: Total of what the borrower has been granted, as far as it knows.
        returned: Total of what it has returned; already debited.
        wants_renewal: Whether it asks for more time.
    """

    loan_id: int
    seen: Amount
    returned: Amount
    wants_renewal: bool


@message
class RightsAsk(NamedTuple):
    """A borrower returns parts, renews its loans and asks for more.

    Lost or delayed: the borrower asks again with a new sequence. Repeated or
    reordered: returns count once; a sequence that is not the highest renews nothing.

    Attributes:
        contract: Name of the contract.
        run: Random number of the borrower's run.
        sequence: Grows with each ask of the run; starts at a random number.
        wanted: What it wants on top of everything granted so far.
        demand: Its use, in micro-units a millisecond.
        wait_ms: How long the ask may wait at the lender for tokens.
        loans: The loans that it holds from this lender.
    """

    contract: str
    run: int
    sequence: int
    wanted: Amount
    demand: int
    wait_ms: int
    loans: tuple[HeldLoan, ...]


class GrantedLoan(NamedTuple):
    """What a lender says about one loan.

    Attributes:
        loan_id: The loan, a random number of the lender.
        duration_ms: How long the loan lasts, from when the borrower asked.
        granted: Total of what the loan has moved to the borrower.
        rate_limit: Rate above which the borrower is asked to return the excess.
    """

    loan_id: int
    duration_ms: int
    granted: Amount
    rate_limit: int


@message
class RightsGrant(NamedTuple):
    """A lender grants or renews loans; it has debited the amounts already.

    Lost: the loans stay unused until they lapse, or the next grant of them arrives.
    Repeated or reordered: the totals count once. Delayed: ignored once the duration
    since the ask has passed at the borrower.

    Attributes:
        contract: Name of the contract.
        sequence: Sequence of the ask that it answers; durations count from there.
        loans: The loans.
        spare: Tokens that the lender could lend further.
        is_last: Whether the ask is answered in full; more may follow otherwise.
    """

    contract: str
    sequence: int
    loans: tuple[GrantedLoan, ...]
    spare: int
    is_last: bool


@message
class RightsRefusal(NamedTuple):
    """A lender has nothing (more) for an ask.

    Lost: the borrower's own deadlines apply. Repeated, reordered or delayed: ignored
    unless it answers the latest ask to that lender.

    Attributes:
        contract: Name of the contract.
        sequence: Sequence of the ask that it answers.
        retry_after_ms: When to ask again, in milliseconds.
    """

    contract: str
    sequence: int
    retry_after_ms: int


@message
class RightsClaim(NamedTuple):
    """An instance tells its data centre that it is there, and asks who keeps what.

    Lost: sent again until each peer that is heard from has answered. Repeated or
    delayed: the receiver gives up what the sender would own, which costs time only.

    Attributes:
        claim_id: Random number of this claim.
        view_number: Number of the view that the claim is made for.
        instances: The instances of that view.
    """

    claim_id: int
    view_number: int
    instances: tuple[str, ...]


class HandedPart(NamedTuple):
    """A part that an instance gives up to the new keeper.

    Attributes:
        contract: Name of the contract.
        amount: The free part; already debited.
        lapse_ms: After this time since the message, nothing of the rest is in use.
    """

    contract: str
    amount: Amount
    lapse_ms: int


class SettledNumber(NamedTuple):
    """Up to which configuration number a contract's shares are settled.

    Attributes:
        contract: Name of the contract.
        number: The configuration number.
    """

    contract: str
    number: int


@message
class RightsYield(NamedTuple):
    """The answer to a claim: the sender keeps nothing that the claimant owns.

    Lost: the claimant asks again and gets an answer without parts. Repeated, reordered
    or delayed: only the first answer of a peer to the latest claim counts.

    Attributes:
        claim_id: The claim that it answers.
        is_leaving: Whether the sender is stopping.
        number: Configuration number of the sender.
        lapse_ms: When the last loan of parts given up earlier has lapsed.
        parts: Parts that move to the claimant.
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
    """An instance that stops asks its data centre to claim its parts.

    Lost: its parts are free after they have lapsed. Repeated, reordered or delayed: the
    claim that follows finds out.

    Attributes:
        view_number: Number of the sender's view.
    """

    view_number: int


@message
class RightsSettledQuery(NamedTuple):
    """A keeper asks the keeper of another data centre for its number of a contract.

    Lost: sent again. Repeated, reordered or delayed: answered afresh.

    Attributes:
        contract: Name of the contract.
        number: Number that the sender wants to raise its share to.
    """

    contract: str
    number: int


@message
class RightsSettled(NamedTuple):
    """The sender's data centre uses no more than its share at a number.

    Lost: asked for again. Repeated, reordered or delayed: the highest number counts.

    Attributes:
        contract: Name of the contract.
        data_centre: Data centre of the sender.
        number: The configuration number.
        is_everywhere: Whether the sender knows this of all data centres; sent within
            a data centre only.
    """

    contract: str
    data_centre: str
    number: int
    is_everywhere: bool
