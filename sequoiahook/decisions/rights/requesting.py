"""Token requests of a borrower, which also renew and return loans."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.borrowing import BorrowedLoan
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.pending import PendingReservation
from sequoiahook.messages.rights import Amount, RightsAsk
from sequoiahook.world.contract import MICRO

__all__ = ["TokenRequestIds", "request_tokens"]

NOTHING = Amount()
SMALL_BURST_UNITS = 8
"""Loans of a contract with at most this burst are returned without delay."""
REPEAT_DIVISOR = 5
"""Divides the retry time if more tokens are wanted than the pending request has."""


class TokenRequestIds(NamedTuple):
    """Identifies the token requests of one run of an instance.

    Attributes:
        run: Random number of the run.
        sequences: Increasing sequence numbers.
    """

    run: int
    sequences: Iterator[int]


def request_tokens(account: Account, ids: TokenRequestIds, now: int) -> list[Send]:
    """Give back idle amounts and return the token requests that are due."""
    _return_idle(account, now)
    wanted = _wanted(account, now)
    effects = []
    names = [loan.lender for loan in account.borrowing.loans_by_id.values()]
    lenders = dict.fromkeys([*_lenders_by_spare(account), *names])
    for lender in lenders:
        requested = NOTHING
        if lender in account.lenders and _may_request(account, lender, wanted, now):
            requested = wanted
            spare = account.borrowing.spare_by_lender.get(lender, wanted.tokens)
            remaining = max(0, wanted.tokens - max(spare, MICRO))
            wanted = Amount(0, 0, remaining)
        if requested != NOTHING or _is_request_due(account, lender, now):
            effects.append(_token_request(account, lender, requested, ids, now))
    return effects


def _lenders_by_spare(account: Account) -> list[str]:
    spare = account.borrowing.spare_by_lender
    return sorted(account.lenders, key=lambda lender: -spare.get(lender, 0))


def _wanted(account: Account, now: int) -> Amount:
    settings = account.settings
    parts = account.parts(now)
    free = sum(part.tokens for part in parts)
    demand = account.local_demand(now)
    prefetch_ms = (
        settings.remote_prefetch_ms if account.is_leader else settings.local_prefetch_ms
    )
    prefetch = demand * prefetch_ms
    tokens = _pending_tokens(account)
    if prefetch >= MICRO and free < prefetch // 2:
        tokens += prefetch - free
    tokens = -(-tokens // MICRO) * MICRO
    rate, capacity = _wanted_rate(account, demand, now)
    if not account.lenders:
        return NOTHING
    return Amount(rate, capacity, tokens)


def _wanted_rate(account: Account, demand: int, now: int) -> tuple[int, int]:
    desired_rate, desired_capacity = _desired(account, demand)
    held = account.held(now)
    missing = desired_rate - held.rate
    if desired_rate == 0 or missing * 10 < demand:
        return 0, 0
    return missing, max(0, desired_capacity - held.capacity)


def _desired(account: Account, demand: int) -> tuple[int, int]:
    settings = account.settings
    deviation = math.isqrt(demand * MS_PER_S * MICRO) // MS_PER_S
    rate = demand - settings.rate_margin_deviations * deviation
    if rate <= 0:
        return 0, 0
    return rate, MICRO + demand * settings.lent_burst_ms


def _pending_tokens(account: Account) -> int:
    return sum(
        item.tokens
        for item in account.pending
        if isinstance(item, PendingReservation) or not item.is_remote
    )


def _retry_ms(account: Account, lender: str) -> int:
    settings = account.settings
    is_local = lender in account.local_instances
    return settings.local_retry_ms if is_local else settings.remote_retry_ms


def _may_request(account: Account, lender: str, wanted: Amount, now: int) -> bool:
    if wanted == NOTHING:
        return False
    borrowing = account.borrowing
    if borrowing.retry_at_by_lender.get(lender, now) > now:
        return False
    latest = borrowing.latest_request_by_lender.get(lender)
    if latest is None:
        return True
    retry_ms = _retry_ms(account, lender)
    if wanted.tokens == 0 or (not latest.is_pending and latest.tokens == 0):
        is_new_demand = not latest.is_pending and wanted.tokens > 0
        return is_new_demand or now >= latest.sent_at + retry_ms
    if latest.is_pending and wanted.tokens > latest.tokens:
        return now >= latest.sent_at + retry_ms // REPEAT_DIVISOR
    return not latest.is_pending or now >= latest.sent_at + retry_ms


def _is_request_due(account: Account, lender: str, now: int) -> bool:
    borrowing = account.borrowing
    latest = borrowing.latest_request_by_lender.get(lender)
    since_ms = now - latest.sent_at if latest else _retry_ms(account, lender)
    loans = [
        loan
        for loan in borrowing.loans_by_id.values()
        if loan.lender == lender and loan.part.is_usable(now)
    ]
    if any(loan.returned != loan.reported for loan in loans):
        delay_ms = account.settings.return_delay_ms
        if account.contract.burst <= SMALL_BURST_UNITS or since_ms >= delay_ms:
            return True
    is_renewal_due = any(now >= loan.renew_at and not loan.is_empty for loan in loans)
    return is_renewal_due and since_ms >= _retry_ms(account, lender)


def _token_request(
    account: Account, lender: str, wanted: Amount, ids: TokenRequestIds, now: int
) -> Send:
    sequence = next(ids.sequences)
    wait_ms = 0
    if wanted.tokens:
        deadlines = [item.deadline_at for item in account.pending]
        wait_ms = max(0, max(deadlines, default=now) - now)
        wait_ms = min(wait_ms, account.settings.local_lease_ms // 2)
    body = RightsAsk(
        account.name,
        ids.run,
        sequence,
        wanted,
        account.local_demand(now),
        wait_ms,
        account.borrowing.held_loans(lender, now),
    )
    is_pending = wanted != NOTHING
    account.borrowing.record_request(lender, sequence, wanted.tokens, is_pending, now)
    return Send(lender, body)


def _return_idle(account: Account, now: int) -> None:
    reserved_ids = list(map(id, account.reserved_parts()))
    desired_rate, desired_capacity = _desired(account, account.local_demand(now))
    for loan in account.borrowing.loans_by_id.values():
        if not loan.part.is_usable(now):
            continue
        loan.part.refill(now)
        _return_unused_capacity(account, loan, now)
        is_reserved = id(loan.part) in reserved_ids
        is_idle = now - loan.part.used_at >= account.settings.idle_ms
        if is_idle and not is_reserved and desired_rate == 0:
            _return_amount(loan, loan.part.amount, now)
        elif now >= loan.renew_at:
            _return_excess(account, loan, desired_rate, desired_capacity, now)


def _return_unused_capacity(account: Account, loan: BorrowedLoan, now: int) -> None:
    """Return the capacity of spent tokens, which the lender can refill."""
    part = loan.part
    retained = part.rate * account.settings.lent_burst_ms
    if part.rate:
        retained += max(0, MICRO - _capacity_elsewhere(account, part, now))
    unused = part.capacity - max(part.tokens, retained)
    if unused > 0:
        _return_amount(loan, Amount(0, unused, 0), now)


def _capacity_elsewhere(account: Account, part: Part, now: int) -> int:
    return sum(
        other.capacity
        for other in account.parts(now)
        if other is not part and other.rate
    )


def _return_excess(
    account: Account,
    loan: BorrowedLoan,
    desired_rate: int,
    desired_capacity: int,
    now: int,
) -> None:
    part = loan.part
    held = account.held(now)
    excess = max(part.rate - loan.rate_limit, held.rate - desired_rate * 9 // 8)
    rate = max(0, min(part.rate, excess))
    spare = (
        held.capacity - account.leader_share.total.capacity - desired_capacity - MICRO
    )
    needed = (part.rate - rate) * account.settings.lent_burst_ms
    capacity = max(0, min(part.capacity - needed, spare))
    overflow = max(0, part.tokens - (part.capacity - capacity))
    _return_amount(loan, Amount(rate, capacity, overflow), now)


def _return_amount(loan: BorrowedLoan, amount: Amount, now: int) -> None:
    if amount != NOTHING:
        loan.return_amount(amount, now)
