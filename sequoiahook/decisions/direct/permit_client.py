"""Permits of this instance to send requests to targets that state a limit.

A permit is requested from the limiter of the target's region when a request needs one;
several are requested at a time where requests are frequent. Unused permits expire.
"""

from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.bucket import Demand
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.messages.limits import PermitDenial, PermitGrant

__all__ = ["PermitClient", "PermitClientSettings"]


class PermitClientSettings(NamedTuple):
    """Settings of the permit client.

    Attributes:
        stored_ms: Time for which unused permits are stored.
        answer_timeout_ms: Time within which a permit request is answered; the longest
            round trip takes 110 ms.
        unanswered_block_ms: Time for which the target is not used after a permit
            request was not answered.
        demand_window_ms: Time over which demand is averaged.
        batch_ms: Time whose demand is requested at once.
        batch_max: Most permits requested at once.
    """

    stored_ms: int = 500
    answer_timeout_ms: int = 130
    unanswered_block_ms: int = 500
    demand_window_ms: int = 1_000
    batch_ms: int = 100
    batch_max: int = 20


class _Account:
    """Permits for one target, and the permit requests that are not answered yet."""

    def __init__(self):
        self.demand = Demand()
        self.permits = 0
        self.stored_at = 0
        self.requested = 0
        self.requested_at = 0
        self.waiting = 0


class PermitClient:
    """Stores permits, and counts those to request.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: PermitClientSettings):
        self._settings = settings
        self._accounts_by_id: dict[str, _Account] = {}
        self._wanted_by_id: dict[str, int] = {}

    @property
    def answer_timeout_ms(self) -> int:
        """Time within which a permit request is answered."""
        return self._settings.answer_timeout_ms

    @property
    def target_ids(self) -> set[str]:
        """Ids of the targets for which permits were requested."""
        return set(self._accounts_by_id)

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget all other targets."""
        for target_id in self.target_ids - target_ids:
            del self._accounts_by_id[target_id]

    def take(self, state: TargetState, now: int) -> bool:
        """Take a stored permit, or request one; return whether there was one."""
        account = self._account(state.record.id)
        account.demand.add()
        if now - account.stored_at > self._settings.stored_ms:
            account.permits = 0
        if account.permits:
            account.permits -= 1
            return True
        if self._is_unanswered(account, now):
            self._forget_requests(account)
            state.blocked_until = now + self._settings.unanswered_block_ms
            return False
        account.waiting += 1
        if account.waiting > account.requested:
            self._request(state.record.id, account, now)
        return False

    def put_back(self, state: TargetState, now: int) -> None:
        """Store the permit of a request that was not sent."""
        account = self._account(state.record.id)
        account.permits += 1
        account.stored_at = now

    def pop_wanted(self) -> dict[str, int]:
        """Return the permits to request, by target id."""
        wanted, self._wanted_by_id = self._wanted_by_id, {}
        return wanted

    def receive_grant(self, grant: PermitGrant, now: int) -> None:
        """Store granted permits."""
        account = self._account(grant.target)
        if now - account.stored_at > self._settings.stored_ms:
            account.permits = 0
        account.permits += grant.count
        account.stored_at = now
        self._forget_requests(account)

    def receive_denial(
        self, denial: PermitDenial, state: TargetState, now: int
    ) -> None:
        """Stop using the target until a permit may be available."""
        self._forget_requests(self._account(denial.target))
        state.blocked_until = now + denial.retry_after_ms

    def _request(self, target_id: str, account: _Account, now: int) -> None:
        settings = self._settings
        account.demand.update(settings.demand_window_ms, now)
        ahead = int(account.demand.per_s * settings.batch_ms / MS_PER_S)
        count = min(settings.batch_max, 1 + ahead)
        if not account.requested:
            account.requested_at = now
        account.requested += count
        self._wanted_by_id[target_id] = self._wanted_by_id.get(target_id, 0) + count

    def _is_unanswered(self, account: _Account, now: int) -> bool:
        age_ms = now - account.requested_at
        return bool(account.requested) and age_ms >= self._settings.answer_timeout_ms

    def _forget_requests(self, account: _Account) -> None:
        account.requested = account.waiting = 0

    def _account(self, target_id: str) -> _Account:
        return self._accounts_by_id.setdefault(target_id, _Account())
