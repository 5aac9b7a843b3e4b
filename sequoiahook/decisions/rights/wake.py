"""When an account next needs to be looked at."""

from sequoiahook.decisions.rights.account import Account
from sequoiahook.world.contract import MICRO

__all__ = ["account_wake"]

FAR_MS = 3_600_000


def account_wake(account: Account, now: int) -> int:
    """Return when something of the account is due, in milliseconds."""
    borrowing = account.borrowing
    wakes = [now + FAR_MS]
    if account.base.part is not None and account.base.full_ms > now:
        wakes.append(account.base.full_ms)
    wakes += [lent.expires_ms for lent in account.lending.lent_by_id.values()]
    wakes += [wait.deadline_ms for wait in account.waits]
    wakes += [r.expires_ms for r in account.reservations_by_id.values()]
    for loan in borrowing.loans_by_id.values():
        if loan.part.is_usable(now) and not loan.is_empty:
            wakes += [loan.part.expires_ms, max(loan.renew_ms, now + 1)]
            wakes.append(loan.part.used_ms + account.settings.idle_ms)
        if loan.returned != loan.reported:
            wakes.append(now + account.settings.return_delay_ms)
    if account.waits:
        wakes += _token_wakes(account, now)
        wakes += [dry for dry in borrowing.dry_until_by_lender.values() if dry > now]
    return min(wake for wake in wakes if wake > now)


def _token_wakes(account: Account, now: int) -> list[int]:
    parts = account.parts(now)
    wakes = []
    for part in parts:
        ready_ms = part.ready_in_ms(MICRO)
        if ready_ms is not None:
            wakes.append(now + max(1, ready_ms))
    missing = MICRO - sum(part.tokens for part in parts)
    rate = sum(part.rate for part in parts)
    if rate and missing > 0:
        wakes.append(now + max(1, -(-missing // rate)))
    for lender, ask in account.borrowing.asks_by_lender.items():
        is_local = lender in account.local_names
        settings = account.settings
        retry_ms = settings.local_retry_ms if is_local else settings.remote_retry_ms
        wakes.append(ask.sent_ms + retry_ms)
    return wakes
