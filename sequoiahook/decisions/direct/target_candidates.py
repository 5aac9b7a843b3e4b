"""The targets that may run a request, by preference."""

from collections.abc import Iterator, Sequence

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.estimates import qualified_key
from sequoiahook.decisions.direct.placements import TargetQuery
from sequoiahook.decisions.direct.requests import Cause
from sequoiahook.decisions.direct.target_explanation import Obstacle
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.rendezvous import order

__all__ = ["TargetCandidates"]

RANKINGS_MAX = 20_000
RANKED_PER_RANKING = 64
"""Mean number of targets in a ranking beyond which fewer rankings are kept."""


class TargetCandidates:
    """Ranks the targets of each object, and finds those that can be used.

    Attributes:
        region_instance_count: Instances in the region of this one, itself included.
        region_instance_rank: Number of those whose names come first.

    Args:
        region: Region of this instance.
        data_centre: Data centre of this instance; empty to prefer none.
        targets: Registry of targets.
        rankings_max: Most rankings that are kept.
    """

    def __init__(
        self,
        region: str,
        data_centre: str,
        targets: TargetRegistry,
        rankings_max: int = RANKINGS_MAX,
    ):
        self.region_instance_count = 1
        self.region_instance_rank = 0
        self._region = region
        self._data_centre = data_centre
        self._targets = targets
        self._rankings_by_key: dict[tuple[str, str, str, bool], list[TargetState]] = {}
        self._rankings_version = -1
        self._rankings_max = rankings_max
        self._ranked_count = 0

    def usable(
        self, query: TargetQuery, region: str, count: int, now: int, *, is_near: bool
    ) -> list[TargetState]:
        """Return up to `count` usable targets, by preference.

        Cold targets are returned only if there are no others, since they respond
        slowly.

        Args:
            query: Properties of the request.
            region: Region of the targets.
            count: Most targets to return.
            now: The time in milliseconds.
            is_near: Whether a target of the own data centre comes first.
        """
        warm: list[TargetState] = []
        cold: list[TargetState] = []
        for state in self.ranked(query, region, is_near=is_near):
            if self.obstacle(state, query, now):
                continue
            if not state.is_cold(now):
                warm.append(state)
            elif self._accepts_cold(state, query, region, now):
                cold.append(state)
            if len(warm) == count:
                break
        return (warm or cold)[:count]

    def unusable(
        self,
        query: TargetQuery,
        region: str,
        usable: Sequence[TargetState],
        now: int,
        *,
        is_near: bool,
    ) -> Iterator[tuple[TargetState, str]]:
        """Yield the targets that were passed over for those that `usable` returned."""
        last = usable[-1] if usable else None
        for state in self.ranked(query, region, is_near=is_near):
            if state not in usable:
                yield state, self.obstacle(state, query, now) or Obstacle.COLD
            if state is last:
                return

    def wait(
        self, query: TargetQuery, regions: Sequence[str], retry_ms: int, now: int
    ) -> tuple[int, str]:
        """Return when a target may be usable, if none is, and the cause until then.

        Args:
            query: Properties of the request.
            regions: Regions that it may run in.
            retry_ms: Shortest wait unless a target has a limit.
            now: The time in milliseconds.
        """
        states = [
            state
            for region in regions
            for state in self._targets.group(query.service.name, region)
        ]
        waits = [
            (state.blocked_until - now, Cause.TARGETS_LIMITED)
            for state in states
            if state.is_blocked(now)
        ]
        waits += [
            (max(retry_ms, state.rest_until - now), Cause.TARGETS_RESTING)
            for state in states
            if state.is_resting(now)
        ]
        return min(waits, default=(retry_ms, Cause.NO_TARGET))

    def obstacle(self, state: TargetState, query: TargetQuery, now: int) -> str:
        """Return why a target cannot be used whatever its load; empty if it can."""
        if state.record.id in query.tried_ids:
            return Obstacle.TRIED
        if not state.may_send(now):
            return Obstacle.SUSPENDED
        if state.is_blocked(now):
            return Obstacle.LIMITED
        return Obstacle.RESTING if state.is_resting(now) else ""

    def ranked(
        self, query: TargetQuery, region: str, *, is_near: bool
    ) -> list[TargetState]:
        """Return the targets of a region by preference for the request's object."""
        group = self._targets.group(query.service.name, region)
        if not query.route.is_sticky or not query.object_key:
            if is_near:
                return sorted(
                    group, key=lambda state: (state.open_count, self._is_far(state))
                )
            return sorted(group, key=lambda state: state.open_count)
        if self._rankings_version != self._targets.version:
            self._clear_rankings()
            self._rankings_version = self._targets.version
        object_key = qualified_key(query.route, query.object_key)
        key = (query.service.name, region, object_key, is_near)
        states = self._rankings_by_key.get(key)
        if states is None:
            is_full = len(self._rankings_by_key) >= self._rankings_max
            if is_full or self._ranked_count >= self._ranked_max:
                self._clear_rankings()
            by_id = {state.record.id: state for state in group}
            states = [by_id[name] for name in order(object_key, by_id)]
            if is_near:
                # Otherwise the order is that of the other data centre: the targets'
                # caches do not hold each object for both.
                near = [state for state in states if not self._is_far(state)][:1]
                states = near + [state for state in states if state not in near]
            self._rankings_by_key[key] = states
            self._ranked_count += len(states)
        return states

    def trial_copy(self) -> "TargetCandidates":
        """Return a copy whose use leaves the rankings of this one as they are."""
        copied = TargetCandidates(
            self._region, self._data_centre, self._targets, self._rankings_max
        )
        copied.region_instance_count = self.region_instance_count
        copied.region_instance_rank = self.region_instance_rank
        return copied

    @property
    def _ranked_max(self) -> int:
        """Largest total of the targets in all rankings."""
        return self._rankings_max * RANKED_PER_RANKING

    def _clear_rankings(self) -> None:
        self._rankings_by_key.clear()
        self._ranked_count = 0

    def _is_far(self, state: TargetState) -> bool:
        """Return whether a target is in another data centre of the region."""
        return bool(self._data_centre) and (
            state.record.data_centre != self._data_centre
        )

    def _accepts_cold(
        self, state: TargetState, query: TargetQuery, region: str, now: int
    ) -> bool:
        """Return whether a cold target accepts another request of this instance.

        Only the instances of its own region use it, each for an equal part of its rate,
        and one after the other: all parts at once would be too much for it.
        """
        if region != self._region or query.service.cold_per_s <= 0:
            return False
        turn_ms = MS_PER_S / query.service.cold_per_s
        if now < state.cold_since + self.region_instance_rank * turn_ms:
            return False
        if state.sent_cold_at is None:
            return True
        return now - state.sent_cold_at >= turn_ms * max(1, self.region_instance_count)
