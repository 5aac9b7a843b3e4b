"""What a keeper lends: its answers to asks and the order of waiting requests."""

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.effects import Reserved
from sequoiahook.decisions.rights.lending import Lent
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.waits import AskWait, LocalWait
from sequoiahook.messages.rights import Amount, RightsAsk, RightsGrant, RightsRefusal
from sequoiahook.world.contract import MICRO

__all__ = ["on_ask", "serve"]

NOTHING = Amount()
PERCENT = 100
NOT_KEEPER_RETRY_MS = 50


def on_ask(account: Account, source: str, ask: RightsAsk, now: int) -> list:
    """Credit what an ask returns, renew its loans and queue what it wants.

    Returns:
        The effects; tokens follow from :func:`serve`.
    """
    account.lending.expire(now)
    if not account.lending.absorb(source, ask, now):
        return []
    is_remote = source not in account.local_names
    ended = account.base.part if account.base.is_over else None
    lents = account.lending.renew(source, ask, ended, now)
    tokens = ask.wanted.tokens - account.lending.unseen_tokens(source, ask)
    if not _may_lend(account, is_remote):
        account.waits = [w for w in account.waits if not _is_from(w, source)]
        return _answer_as_stranger(account, source, ask, lents)
    lent = _lend_rate(account, source, ask, is_remote, now)
    if lent is not None and lent not in lents:
        lents.append(lent)
    _queue(account, source, ask, tokens, is_remote, now)
    if not lents and tokens <= 0 and ask.wanted != NOTHING:
        return [Send(source, RightsRefusal(account.name, ask.sequence, 0))]
    return _grants(account, lents, ask, tokens <= 0, is_remote, now)


def serve(account: Account, now: int) -> list:
    """Give tokens to what waits, in order of arrival, and return the effects."""
    effects = []
    waits = []
    is_dry = False
    for wait in account.waits:
        served = [] if is_dry else _serve_one(account, wait, now)
        if served:
            effects += served
            continue
        waits.append(wait)
        is_dry = is_dry or isinstance(wait, LocalWait) or not wait.is_remote
    account.waits = waits
    return effects


def _may_lend(account: Account, is_remote: bool) -> bool:
    if is_remote:
        return account.base.part is not None
    return account.is_keeper or account.base.part is not None


def _is_from(wait: LocalWait | AskWait, source: str) -> bool:
    return isinstance(wait, AskWait) and wait.borrower == source


def _answer_as_stranger(
    account: Account, source: str, ask: RightsAsk, lents: list[Lent]
) -> list:
    effects = []
    if lents:
        loans = tuple(lent.stated(lent.outstanding.rate) for lent in lents)
        body = RightsGrant(account.name, ask.sequence, loans, 0, False)
        effects.append(Send(source, body))
    if ask.wanted != NOTHING:
        body = RightsRefusal(account.name, ask.sequence, NOT_KEEPER_RETRY_MS)
        effects.append(Send(source, body))
    return effects


def _queue(
    account: Account,
    source: str,
    ask: RightsAsk,
    tokens: int,
    is_remote: bool,
    now: int,
) -> None:
    wait = AskWait(source, ask, tokens, now + ask.wait_ms, is_remote)
    for index, other in enumerate(account.waits):
        if _is_from(other, source):
            account.waits[index] = wait
            break
    else:
        account.waits.append(wait)
    if tokens <= 0:
        account.waits.remove(wait)


def _serve_one(account: Account, wait: LocalWait | AskWait, now: int) -> list:
    if isinstance(wait, LocalWait):
        if account.take_tokens(wait.request_id, wait.tokens, now):
            return [Reserved(wait.request_id)]
        return []
    return _lend_tokens(account, wait, now)


def _lend_tokens(account: Account, wait: AskWait, now: int) -> list:
    offers = []
    for part in _lendable_parts(account, wait.is_remote, now):
        free = _free(account, part, wait.is_remote, now)
        tokens = min(free.tokens, _lendable_capacity(account, part))
        if tokens > 0 and account.lending.may_lend(part, now):
            offers.append((part, tokens))
    total = sum(tokens for _, tokens in offers)
    missing = min(wait.tokens, total) // MICRO * MICRO
    lents = []
    for part, offered in offers:
        tokens = min(missing, offered)
        if tokens == 0:
            break
        missing -= tokens
        amount = Amount(0, tokens, tokens)
        lents.append(_lend(account, wait.borrower, wait.ask, part, amount, now))
    return _grants(account, lents, wait.ask, True, wait.is_remote, now)


def _lend_rate(
    account: Account, source: str, ask: RightsAsk, is_remote: bool, now: int
) -> Lent | None:
    if ask.wanted.rate <= 0:
        return None
    parts = _lendable_parts(account, is_remote, now)
    frees = [
        (_free(account, part, is_remote, now), part)
        for part in parts
        if account.lending.may_lend(part, now)
    ]
    if not frees:
        return None
    free, part = max(frees, key=lambda pair: pair[0].rate)
    refill_ms = account.settings.lent_burst_ms
    capacity = max(ask.wanted.capacity, ask.wanted.rate * refill_ms)
    capacity = min(capacity, free.capacity // 2)
    rate = min(free.rate, ask.wanted.rate, capacity // refill_ms)
    if rate <= 0:
        return None
    overflow = max(0, free.tokens - (free.capacity - capacity))
    return _lend(account, source, ask, part, Amount(rate, capacity, overflow), now)


def _lend(
    account: Account,
    borrower: str,
    ask: RightsAsk,
    part: Part,
    amount: Amount,
    now: int,
) -> Lent:
    settings = account.settings
    is_remote = borrower not in account.local_names
    lease_ms = settings.remote_lease_ms if is_remote else settings.local_lease_ms
    part.used_ms = now
    return account.lending.lend(borrower, ask, part, amount, lease_ms, now)


def _lendable_parts(account: Account, is_remote: bool, now: int) -> list[Part]:
    if is_remote:
        return [account.base.part] if account.base.part else []
    return account.parts(now)


def _lendable_capacity(account: Account, part: Part) -> int:
    """Return the capacity that can go without stopping the part's refill."""
    total = part.capacity
    if part is account.base.part:
        total = account.base.total.capacity
    refill_ms = account.settings.lent_burst_ms
    kept = min(part.rate * refill_ms, max(0, total - MICRO))
    return part.capacity - kept


def _free(account: Account, part: Part, is_remote: bool, now: int) -> Amount:
    part.refill(now)
    if not is_remote:
        return part.amount
    percent = account.settings.kept_percent
    kept_rate = account.base.total.rate * percent // PERCENT
    kept_capacity = account.base.total.capacity * percent // PERCENT // MICRO * MICRO
    kept_rate = max(kept_rate, part.rate + _local_rate_missing(account, now))
    kept = Amount(kept_rate, kept_capacity, kept_capacity)
    return part.amount.minus(kept).highest(NOTHING)


def _grants(
    account: Account,
    lents: list[Lent],
    ask: RightsAsk,
    is_last: bool,
    is_remote: bool,
    now: int,
) -> list:
    if not lents:
        return []
    spare = sum(
        _free(account, part, is_remote, now).tokens
        for part in _lendable_parts(account, is_remote, now)
    )
    loans = tuple(
        lent.stated(_rate_limit(account, lent, is_remote, now)) for lent in lents
    )
    spare = spare // MICRO * MICRO
    body = RightsGrant(account.name, ask.sequence, loans, spare, is_last)
    return [Send(lents[0].borrower, body)]


def _rate_limit(account: Account, lent: Lent, is_remote: bool, now: int) -> int:
    rate = lent.outstanding.rate
    if is_remote:
        return max(0, rate - max(0, _local_rate_missing(account, now)))
    held = account.held(now).rate
    total = account.local_demand(now)
    if total <= held:
        return rate
    demand = account.lending.demand([lent.borrower], now)
    return held * demand // total


def _local_rate_missing(account: Account, now: int) -> int:
    """Return by how much the rate kept for the own data centre is too low."""
    lent_away = sum(
        lent.outstanding.rate
        for lent in account.lending.lent_by_id.values()
        if lent.borrower not in account.local_names
    )
    return account.local_demand(now) - (account.held(now).rate - lent_away)
