"""What a keeper lends: its answers to asks and the order of waiting requests."""

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.effects import Reserved
from sequoiahook.decisions.rights.lending import Lent
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.waits import AskWait, LocalWait
from sequoiahook.messages.rights import Amount, RightsAsk, RightsRefusal
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
    lents = account.lending.renew(source, ask, now)
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
    effects = [
        account.lending.grant(lent, ask, lent.outstanding.rate, 0, False)
        for lent in lents
    ]
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
        if account.take_token(wait.request_id, now):
            return [Reserved(wait.request_id)]
        return []
    return _lend_tokens(account, wait, now)


def _lend_tokens(account: Account, wait: AskWait, now: int) -> list:
    lents = []
    missing = wait.tokens
    for part in _lendable_parts(account, wait.is_remote, now):
        free = _free(account, part, wait.is_remote, now)
        tokens = min(missing, free.tokens) // MICRO * MICRO
        if tokens <= 0:
            continue
        amount = Amount(0, tokens, tokens)
        lent = _lend(account, wait.borrower, wait.ask, part, amount, now)
        if lent is not None:
            lents.append(lent)
            missing -= tokens
    return _grants(account, lents, wait.ask, True, wait.is_remote, now)


def _lend_rate(
    account: Account, source: str, ask: RightsAsk, is_remote: bool, now: int
) -> Lent | None:
    if ask.wanted.rate <= 0:
        return None
    parts = _lendable_parts(account, is_remote, now)
    frees = [(_free(account, part, is_remote, now), part) for part in parts]
    if not frees:
        return None
    free, part = max(frees, key=lambda pair: pair[0].rate)
    rate = min(free.rate, ask.wanted.rate)
    capacity = min(ask.wanted.capacity, free.capacity // 2) // MICRO * MICRO
    if rate <= 0 or (capacity == 0 and ask.wanted.capacity > 0):
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
) -> Lent | None:
    settings = account.settings
    is_remote = borrower not in account.local_names
    lease_ms = settings.remote_lease_ms if is_remote else settings.local_lease_ms
    part.used_ms = now
    return account.lending.lend(borrower, ask, part, amount, lease_ms, now)


def _lendable_parts(account: Account, is_remote: bool, now: int) -> list[Part]:
    if is_remote:
        return [account.base.part] if account.base.part else []
    return account.parts(now)


def _free(account: Account, part: Part, is_remote: bool, now: int) -> Amount:
    part.refill(now)
    if not is_remote:
        return part.amount
    percent = account.settings.kept_percent
    kept_rate = account.base.total.rate * percent // PERCENT
    kept_capacity = account.base.total.capacity * percent // PERCENT // MICRO * MICRO
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
    spare = sum(
        _free(account, part, is_remote, now).tokens
        for part in _lendable_parts(account, is_remote, now)
    )
    effects = []
    for index, lent in enumerate(lents):
        limit = _rate_limit(account, lent, is_remote, now)
        is_final = is_last and index == len(lents) - 1
        effects.append(account.lending.grant(lent, ask, limit, spare, is_final))
    return effects


def _rate_limit(account: Account, lent: Lent, is_remote: bool, now: int) -> int:
    rate = lent.outstanding.rate
    own = account.demand.rate(now)
    total = own + account.lending.demand(account.local_names, now)
    if is_remote:
        is_short = any(not getattr(w, "is_remote", False) for w in account.waits)
        return rate // 2 if is_short else rate
    held = account.base.total.rate + sum(
        part.rate for part in account.borrowing.usable_parts(now)
    )
    if total <= held:
        return rate
    demand = account.lending.demand([lent.borrower], now)
    return held * demand // total
