"""Answers of a lender to token requests, and the queue of pending items."""

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.effects import Reserved
from sequoiahook.decisions.rights.lending import LentLoan
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.pending import PendingReservation, PendingTokenRequest
from sequoiahook.messages.rights import Amount, RightsAsk, RightsGrant, RightsRefusal
from sequoiahook.world.contract import MICRO

__all__ = ["on_token_request", "serve_pending"]

NOTHING = Amount()
PERCENT = 100
NOT_LEADER_RETRY_MS = 50


def on_token_request(
    account: Account, source: str, token_request: RightsAsk, now: int
) -> list:
    """Credit returned amounts, renew loans and queue the tokens that are wanted.

    Returns:
        The effects; tokens are granted by :func:`serve_pending`.
    """
    account.lending.expire(now)
    if not account.lending.apply_returns(source, token_request, now):
        return []
    is_remote = source not in account.local_instances
    ending = account.leader_share.part if account.leader_share.is_over_allowed else None
    loans = account.lending.renew(source, token_request, ending, now)
    tokens = token_request.wanted.tokens - account.lending.unseen_tokens(
        source, token_request
    )
    if not _may_lend(account, is_remote):
        account.pending = [
            item for item in account.pending if not _is_from(item, source)
        ]
        return _answer_as_non_leader(account, source, token_request, loans)
    loan = _lend_rate(account, source, token_request, is_remote, now)
    if loan is not None and loan not in loans:
        loans.append(loan)
    _enqueue(account, source, token_request, tokens, is_remote, now)
    if not loans and tokens <= 0 and token_request.wanted != NOTHING:
        return [Send(source, RightsRefusal(account.name, token_request.sequence, 0))]
    return _grant_effects(account, loans, token_request, tokens <= 0, is_remote, now)


def serve_pending(account: Account, now: int) -> list:
    """Serve pending items in order of arrival and return the effects."""
    effects = []
    pending = []
    is_exhausted = False
    for item in account.pending:
        served = [] if is_exhausted else _serve_one(account, item, now)
        if served:
            effects += served
            continue
        pending.append(item)
        is_exhausted = (
            is_exhausted or isinstance(item, PendingReservation) or not item.is_remote
        )
    account.pending = pending
    return effects


def _may_lend(account: Account, is_remote: bool) -> bool:
    if is_remote:
        return account.leader_share.part is not None
    return account.is_leader or account.leader_share.part is not None


def _is_from(item: PendingReservation | PendingTokenRequest, source: str) -> bool:
    return isinstance(item, PendingTokenRequest) and item.borrower == source


def _answer_as_non_leader(
    account: Account, source: str, token_request: RightsAsk, loans: list[LentLoan]
) -> list:
    effects = []
    if loans:
        granted_loans = tuple(loan.to_granted(loan.outstanding.rate) for loan in loans)
        body = RightsGrant(
            account.name, token_request.sequence, granted_loans, 0, False
        )
        effects.append(Send(source, body))
    if token_request.wanted != NOTHING:
        body = RightsRefusal(account.name, token_request.sequence, NOT_LEADER_RETRY_MS)
        effects.append(Send(source, body))
    return effects


def _enqueue(
    account: Account,
    source: str,
    token_request: RightsAsk,
    tokens: int,
    is_remote: bool,
    now: int,
) -> None:
    item = PendingTokenRequest(
        source, token_request, tokens, now + token_request.wait_ms, is_remote
    )
    for index, other in enumerate(account.pending):
        if _is_from(other, source):
            account.pending[index] = item
            break
    else:
        account.pending.append(item)
    if tokens <= 0:
        account.pending.remove(item)


def _serve_one(
    account: Account, item: PendingReservation | PendingTokenRequest, now: int
) -> list:
    if isinstance(item, PendingReservation):
        if account.reserve_tokens(item.request_id, item.tokens, now):
            return [Reserved(item.request_id)]
        return []
    return _lend_tokens(account, item, now)


def _lend_tokens(account: Account, item: PendingTokenRequest, now: int) -> list:
    offers = []
    for part in _lendable_parts(account, item.is_remote, now):
        free = _free_amount(account, part, item.is_remote, now)
        tokens = min(free.tokens, _lendable_capacity(account, part))
        if tokens > 0 and account.lending.may_lend(part, now):
            offers.append((part, tokens))
    total = sum(tokens for _, tokens in offers)
    missing = min(item.tokens, total) // MICRO * MICRO
    loans = []
    for part, offered in offers:
        tokens = min(missing, offered)
        if tokens == 0:
            break
        missing -= tokens
        amount = Amount(0, tokens, tokens)
        loans.append(
            _lend(account, item.borrower, item.token_request, part, amount, now)
        )
    return _grant_effects(account, loans, item.token_request, True, item.is_remote, now)


def _lend_rate(
    account: Account, source: str, token_request: RightsAsk, is_remote: bool, now: int
) -> LentLoan | None:
    if token_request.wanted.rate <= 0:
        return None
    parts = _lendable_parts(account, is_remote, now)
    free_parts = [
        (_free_amount(account, part, is_remote, now), part)
        for part in parts
        if account.lending.may_lend(part, now)
    ]
    if not free_parts:
        return None
    free, part = max(free_parts, key=lambda pair: pair[0].rate)
    refill_ms = account.settings.lent_burst_ms
    capacity = max(token_request.wanted.capacity, token_request.wanted.rate * refill_ms)
    capacity = min(capacity, free.capacity // 2)
    rate = min(free.rate, token_request.wanted.rate, capacity // refill_ms)
    if rate <= 0:
        return None
    overflow = max(0, free.tokens - (free.capacity - capacity))
    return _lend(
        account, source, token_request, part, Amount(rate, capacity, overflow), now
    )


def _lend(
    account: Account,
    borrower: str,
    token_request: RightsAsk,
    part: Part,
    amount: Amount,
    now: int,
) -> LentLoan:
    settings = account.settings
    is_remote = borrower not in account.local_instances
    lease_ms = settings.remote_lease_ms if is_remote else settings.local_lease_ms
    part.used_at = now
    return account.lending.lend(borrower, token_request, part, amount, lease_ms, now)


def _lendable_parts(account: Account, is_remote: bool, now: int) -> list[Part]:
    if is_remote:
        return [account.leader_share.part] if account.leader_share.part else []
    return account.parts(now)


def _lendable_capacity(account: Account, part: Part) -> int:
    """Return the capacity that can be lent while the part can still refill."""
    total = part.capacity
    if part is account.leader_share.part:
        total = account.leader_share.total.capacity
    refill_ms = account.settings.lent_burst_ms
    retained = min(part.rate * refill_ms, max(0, total - MICRO))
    return part.capacity - retained


def _free_amount(account: Account, part: Part, is_remote: bool, now: int) -> Amount:
    part.refill(now)
    if not is_remote:
        return part.amount
    percent = account.settings.local_only_percent
    retained_rate = account.leader_share.total.rate * percent // PERCENT
    retained_capacity = (
        account.leader_share.total.capacity * percent // PERCENT // MICRO * MICRO
    )
    retained_rate = max(retained_rate, part.rate + _local_rate_missing(account, now))
    retained = Amount(retained_rate, retained_capacity, retained_capacity)
    return part.amount.minus(retained).highest(NOTHING)


def _grant_effects(
    account: Account,
    loans: list[LentLoan],
    token_request: RightsAsk,
    is_last: bool,
    is_remote: bool,
    now: int,
) -> list:
    if not loans:
        return []
    spare = sum(
        _free_amount(account, part, is_remote, now).tokens
        for part in _lendable_parts(account, is_remote, now)
    )
    granted_loans = tuple(
        loan.to_granted(_rate_limit(account, loan, is_remote, now)) for loan in loans
    )
    spare = spare // MICRO * MICRO
    body = RightsGrant(
        account.name, token_request.sequence, granted_loans, spare, is_last
    )
    return [Send(loans[0].borrower, body)]


def _rate_limit(account: Account, loan: LentLoan, is_remote: bool, now: int) -> int:
    rate = loan.outstanding.rate
    if is_remote:
        return max(0, rate - max(0, _local_rate_missing(account, now)))
    held = account.held(now).rate
    total = account.local_demand(now)
    if total <= held:
        return rate
    demand = account.lending.demand([loan.borrower], now)
    return held * demand // total


def _local_rate_missing(account: Account, now: int) -> int:
    """Return by how much the rate kept for this data centre is below its demand."""
    lent_away = sum(
        loan.outstanding.rate
        for loan in account.lending.loans_by_id.values()
        if loan.borrower not in account.local_instances
    )
    return account.local_demand(now) - (account.held(now).rate - lent_away)
