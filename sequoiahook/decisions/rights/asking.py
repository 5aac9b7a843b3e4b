"""What a borrower asks for, renews and returns."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.borrowing import Borrowed
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.waits import LocalWait
from sequoiahook.messages.rights import Amount, RightsAsk
from sequoiahook.world.contract import MICRO

__all__ = ["AskIds", "ask_lenders"]

NOTHING = Amount()
SMALL_BURST = 8
"""Bursts up to this many units are returned without delay."""
REPEAT_PART = 5
"""A grown want is asked for again after this part of the usual time for a repeat."""


class AskIds(NamedTuple):
    """Identifies the asks of an instance's run.

    Attributes:
        run: Random number of the run.
        sequences: Growing sequences.
    """

    run: int
    sequences: Iterator[int]


def ask_lenders(account: Account, ids: AskIds, now: int) -> list[Send]:
    """Return the asks that are due."""
    _give_back_idle(account, now)
    wanted = _wanted(account, now)
    effects = []
    names = [loan.lender for loan in account.borrowing.loans_by_id.values()]
    lenders = dict.fromkeys([*_by_spare(account), *names])
    for lender in lenders:
        want = NOTHING
        if lender in account.lenders and _may_want(account, lender, wanted, now):
            want = wanted
            spare = account.borrowing.spare_by_lender.get(lender, wanted.tokens)
            left = max(0, wanted.tokens - max(spare, MICRO))
            wanted = Amount(0, 0, left)
        if want != NOTHING or _is_due(account, lender, now):
            effects.append(_ask(account, lender, want, ids, now))
    return effects


def _by_spare(account: Account) -> list[str]:
    spare = account.borrowing.spare_by_lender
    return sorted(account.lenders, key=lambda lender: -spare.get(lender, 0))


def _wanted(account: Account, now: int) -> Amount:
    settings = account.settings
    parts = account.parts(now)
    free = sum(part.tokens for part in parts)
    demand = account.local_demand(now)
    ahead_ms = (
        settings.remote_ahead_ms if account.is_keeper else settings.local_ahead_ms
    )
    ahead = demand * ahead_ms
    tokens = _waiting_tokens(account)
    if ahead >= MICRO and free < ahead // 2:
        tokens += ahead - free
    tokens = -(-tokens // MICRO) * MICRO
    rate, capacity = _wanted_rate(account, demand, now)
    if not account.lenders:
        return NOTHING
    return Amount(rate, capacity, tokens)


def _wanted_rate(account: Account, demand: int, now: int) -> tuple[int, int]:
    aim, capacity_aim = _aims(account, demand)
    held = account.held(now)
    missing = aim - held.rate
    if aim == 0 or missing * 10 < demand:
        return 0, 0
    return missing, max(0, capacity_aim - held.capacity)


def _aims(account: Account, demand: int) -> tuple[int, int]:
    settings = account.settings
    deviation = math.isqrt(demand * MS_PER_S * MICRO) // MS_PER_S
    rate = demand - settings.certain_deviations * deviation
    if rate <= 0:
        return 0, 0
    return rate, MICRO + demand * settings.lent_burst_ms


def _waiting_tokens(account: Account) -> int:
    return sum(
        wait.tokens
        for wait in account.waits
        if isinstance(wait, LocalWait) or not wait.is_remote
    )


def _retry_ms(account: Account, lender: str) -> int:
    settings = account.settings
    is_local = lender in account.local_names
    return settings.local_retry_ms if is_local else settings.remote_retry_ms


def _may_want(account: Account, lender: str, wanted: Amount, now: int) -> bool:
    if wanted == NOTHING:
        return False
    borrowing = account.borrowing
    if borrowing.dry_until_by_lender.get(lender, now) > now:
        return False
    ask = borrowing.asks_by_lender.get(lender)
    if ask is None:
        return True
    retry_ms = _retry_ms(account, lender)
    if wanted.tokens == 0 or (not ask.is_open and ask.tokens == 0):
        is_grown = not ask.is_open and wanted.tokens > 0
        return is_grown or now >= ask.sent_ms + retry_ms
    if ask.is_open and wanted.tokens > ask.tokens:
        return now >= ask.sent_ms + retry_ms // REPEAT_PART
    return not ask.is_open or now >= ask.sent_ms + retry_ms


def _is_due(account: Account, lender: str, now: int) -> bool:
    borrowing = account.borrowing
    ask = borrowing.asks_by_lender.get(lender)
    since_ms = now - ask.sent_ms if ask else _retry_ms(account, lender)
    loans = [
        loan
        for loan in borrowing.loans_by_id.values()
        if loan.lender == lender and loan.part.is_usable(now)
    ]
    if any(loan.returned != loan.reported for loan in loans):
        delay_ms = account.settings.return_delay_ms
        if account.contract.burst <= SMALL_BURST or since_ms >= delay_ms:
            return True
    is_late = any(now >= loan.renew_ms and not loan.is_empty for loan in loans)
    return is_late and since_ms >= _retry_ms(account, lender)


def _ask(account: Account, lender: str, wanted: Amount, ids: AskIds, now: int) -> Send:
    sequence = next(ids.sequences)
    wait_ms = 0
    if wanted.tokens:
        deadlines = [wait.deadline_ms for wait in account.waits]
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
    is_open = wanted != NOTHING
    account.borrowing.note_ask(lender, sequence, wanted.tokens, is_open, now)
    return Send(lender, body)


def _give_back_idle(account: Account, now: int) -> None:
    reserved = list(map(id, account.in_use()))
    aim, capacity_aim = _aims(account, account.local_demand(now))
    for loan in account.borrowing.loans_by_id.values():
        if not loan.part.is_usable(now):
            continue
        loan.part.refill(now)
        _give_back_room(account, loan, now)
        is_held = id(loan.part) in reserved
        is_idle = now - loan.part.used_ms >= account.settings.idle_ms
        if is_idle and not is_held and aim == 0:
            _give_back(loan, loan.part.amount, now)
        elif now >= loan.renew_ms:
            _give_back_excess(account, loan, aim, capacity_aim, now)


def _give_back_room(account: Account, loan: Borrowed, now: int) -> None:
    """Return the capacity of tokens that were spent, which the lender can refill."""
    part = loan.part
    kept = part.rate * account.settings.lent_burst_ms
    if part.rate:
        kept += max(0, MICRO - _capacity_elsewhere(account, part, now))
    room = part.capacity - max(part.tokens, kept)
    if room > 0:
        _give_back(loan, Amount(0, room, 0), now)


def _capacity_elsewhere(account: Account, part: Part, now: int) -> int:
    return sum(
        other.capacity
        for other in account.parts(now)
        if other is not part and other.rate
    )


def _give_back_excess(
    account: Account, loan: Borrowed, aim: int, capacity_aim: int, now: int
) -> None:
    part = loan.part
    held = account.held(now)
    excess = max(part.rate - loan.rate_limit, held.rate - aim * 9 // 8)
    rate = max(0, min(part.rate, excess))
    spare = held.capacity - account.base.total.capacity - capacity_aim - MICRO
    needed = (part.rate - rate) * account.settings.lent_burst_ms
    capacity = max(0, min(part.capacity - needed, spare))
    overflow = max(0, part.tokens - (part.capacity - capacity))
    _give_back(loan, Amount(rate, capacity, overflow), now)


def _give_back(loan: Borrowed, amount: Amount, now: int) -> None:
    if amount != NOTHING:
        loan.give_back(amount, now)
