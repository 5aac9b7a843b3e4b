"""Time of the next action that is due for an account."""

from sequoiahook.decisions.rights.account import Account
from sequoiahook.world.contract import MICRO

__all__ = ["next_due_at"]

MAX_WAKE_DELAY_MS = 3_600_000


def next_due_at(account: Account, now: int) -> int:
    """Return the time of the next due action of an account, in milliseconds."""
    borrowing = account.borrowing
    times = [now + MAX_WAKE_DELAY_MS]
    if account.leader_share.part is not None and account.leader_share.full_at > now:
        times.append(account.leader_share.full_at)
    times += [
        lent_loan.expires_at for lent_loan in account.lending.loans_by_id.values()
    ]
    times += [item.deadline_at for item in account.pending]
    times += [
        reservation.expires_at for reservation in account.reservations_by_id.values()
    ]
    for loan in borrowing.loans_by_id.values():
        if loan.part.is_usable(now) and not loan.is_empty:
            times += [loan.part.expires_at, max(loan.renew_at, now + 1)]
            times.append(loan.part.used_at + account.settings.idle_ms)
        if loan.returned != loan.reported:
            times.append(now + account.settings.return_delay_ms)
    if account.pending:
        times += _token_times(account, now)
        times += [
            retry_at
            for retry_at in borrowing.retry_at_by_lender.values()
            if retry_at > now
        ]
    return min(due_at for due_at in times if due_at > now)


def _token_times(account: Account, now: int) -> list[int]:
    parts = account.parts(now)
    times = []
    for part in parts:
        ready_ms = part.ready_in_ms(MICRO)
        if ready_ms is not None:
            times.append(now + max(1, ready_ms))
    missing = MICRO - sum(part.tokens for part in parts)
    rate = sum(part.rate for part in parts)
    if rate and missing > 0:
        times.append(now + max(1, -(-missing // rate)))
    for lender, latest in account.borrowing.latest_request_by_lender.items():
        is_local = lender in account.local_instances
        settings = account.settings
        retry_ms = settings.local_retry_ms if is_local else settings.remote_retry_ms
        times.append(latest.sent_at + retry_ms)
    return times
