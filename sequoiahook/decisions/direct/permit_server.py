"""Permits that this instance grants as the limiter of a region's targets.

Each instance of the fleet has an equal part of every limit and delegates it to one
limiter at a time. A limiter grants permits at the rate of the parts delegated to it, so
that all limiters together keep the limit, also on both sides of a partition. A part
counts only once it has been delegated for as long as a delegation lasts: by then the
delegation to another limiter has expired.
"""

from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.target_state import TargetState

__all__ = ["PermitServer", "PermitServerSettings"]


class PermitServerSettings(NamedTuple):
    """Settings of the permit server.

    Attributes:
        delegation_ms: Time for which a delegation lasts. It is shorter than the time
            after which an instance counts its limiter as unresponsive.
        burst_ms: Time whose permits accumulate.
        no_share_retry_ms: Retry time of a denial while no part is delegated.
        retry_max_ms: Longest retry time of a denial.
    """

    delegation_ms: int = 1_500
    burst_ms: int = 500
    no_share_retry_ms: int = 300
    retry_max_ms: int = 2_000


class _Delegation(NamedTuple):
    since: int
    renewed_at: int


class _Bucket:
    def __init__(self, state: TargetState, now: int):
        self.state = state
        self.permits = 0.0
        self.refilled_at = now


class PermitServer:
    """Grants permits at the rate of the delegated parts.

    Attributes:
        instance_count: Listed instances of the fleet, this one included.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: PermitServerSettings):
        self.instance_count = 1
        self._settings = settings
        self._delegations_by_region: dict[str, dict[str, _Delegation]] = {}
        self._buckets_by_id: dict[str, _Bucket] = {}

    @property
    def target_ids(self) -> set[str]:
        """Ids of the targets for which permits were granted or denied."""
        return set(self._buckets_by_id)

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget all other targets."""
        for target_id in self.target_ids - target_ids:
            del self._buckets_by_id[target_id]

    def record_delegation(self, region: str, instance: str, now: int) -> None:
        """Record that an instance delegates its part of a region's limits."""
        delegations = self._delegations_by_region.setdefault(region, {})
        known = delegations.get(instance)
        is_renewed = known is not None and self._is_valid(known, now)
        delegations[instance] = _Delegation(known.since if is_renewed else now, now)

    def share(self, region: str, now: int) -> float:
        """Return the share of a region's limits that is delegated here, from 0 to 1."""
        oldest = now - self._settings.delegation_ms
        counted = sum(
            self._is_valid(delegation, now) and delegation.since <= oldest
            for delegation in self._delegations_by_region.get(region, {}).values()
        )
        return min(1.0, counted / self.instance_count)

    def grant(
        self, state: TargetState, count: int, allowed_per_s: float, now: int
    ) -> int:
        """Take permits for a target out of its bucket; return their number."""
        bucket = self._refilled(state, allowed_per_s, now)
        granted = min(count, int(bucket.permits))
        bucket.permits -= granted
        return granted

    def put_back(self, state: TargetState) -> None:
        """Return a permit that was not used."""
        bucket = self._buckets_by_id.get(state.record.id)
        if bucket is not None and bucket.state is state:
            bucket.permits += 1.0

    def retry_after_ms(self, state: TargetState, allowed_per_s: float, now: int) -> int:
        """Return the time in milliseconds until a permit is available."""
        per_s = allowed_per_s * self.share(state.record.region, now)
        if not per_s:
            return self._settings.no_share_retry_ms
        missing = 1.0 - self._refilled(state, allowed_per_s, now).permits
        wait_ms = int(missing / per_s * MS_PER_S) + 1
        return min(self._settings.retry_max_ms, max(1, wait_ms))

    def _is_valid(self, delegation: _Delegation, now: int) -> bool:
        return now - delegation.renewed_at <= self._settings.delegation_ms

    def _refilled(self, state: TargetState, allowed_per_s: float, now: int) -> _Bucket:
        bucket = self._buckets_by_id.get(state.record.id)
        if bucket is None or bucket.state is not state:
            bucket = self._buckets_by_id[state.record.id] = _Bucket(state, now)
        per_s = allowed_per_s * self.share(state.record.region, now)
        accrued = per_s * (now - bucket.refilled_at) / MS_PER_S
        capacity = max(1.0, per_s * self._settings.burst_ms / MS_PER_S)
        bucket.permits = min(capacity, bucket.permits + accrued)
        bucket.refilled_at = now
        return bucket
