"""Selects the target of a request, or a retry-after time if none should run it.

A target that has recently handled an object handles it about three times as fast, so
rendezvous hashing assigns each object one owner: a target of the callers' own region
for the share of objects that the region has capacity for, otherwise a target of another
region. A request goes to the target with the lowest expected response time, which
includes the network round trip, the queue and whether the target has recently handled
the object. Other targets than the owner that have not handled it are used only while
they have free slots, and no target is used beyond its limit: refusing a request at once
with a retry-after time serves more callers than queueing it beyond its latency goal or
spending three times its work on a loaded target.

This covers overload, and owners that are slow, full or removed. Under overload, less
urgent requests are refused so that the others are answered in time.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.estimates import (
    Estimates,
    EstimateSettings,
    qualified_key,
)
from sequoiahook.decisions.direct.lost_capacity import (
    LostCapacity,
    LostCapacitySettings,
    TargetSlots,
)
from sequoiahook.decisions.direct.placements import Placement, TargetQuery
from sequoiahook.decisions.direct.region_owners import (
    RegionOwners,
    RegionOwnerSettings,
)
from sequoiahook.decisions.direct.region_summary import PlacedBy, RegionSummary
from sequoiahook.decisions.direct.requests import Cause
from sequoiahook.decisions.direct.shift_limit import ShiftLimit, ShiftSettings
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.rendezvous import order

__all__ = ["TargetSelectionSettings", "TargetSelector"]

RANKINGS_MAX = 20_000
PERCENT = 100


class TargetSelectionSettings(NamedTuple):
    """Settings of target selection.

    Attributes:
        limit_percent: Most requests at a target, as a percentage of its slots.
        max_wait_percent: Longest expected response time, as a percentage of the
            route's latency goal, at which requests of the lowest priority queue at a
            target without free slots.
        max_wait_step_percent: Addition to it for each step of priority.
        single_region_percent: Addition to it for requests that may run in one region
            only, since other requests can run elsewhere.
        priority_count: Number of priorities that are distinguished.
        failure_ratio_max: Ratio of failed results above which a target is penalised.
        estimates: Settings of the response time estimates.
        owners: Settings of the regions that own objects.
        shift: Limit on requests that run outside the region of their object's owner.
        lost_capacity: Settings of the lost capacity, which extends that limit.
        check_interval_ms: Time between two checks of which targets are usable.
    """

    limit_percent: int = 300
    max_wait_percent: int = 90
    max_wait_step_percent: int = 25
    single_region_percent: int = 100
    priority_count: int = 3
    failure_ratio_max: float = 0.2
    estimates: EstimateSettings = EstimateSettings()
    owners: RegionOwnerSettings = RegionOwnerSettings()
    shift: ShiftSettings = ShiftSettings()
    lost_capacity: LostCapacitySettings = LostCapacitySettings()
    check_interval_ms: int = 400


class TargetSelector:
    """Selects the targets of requests.

    Attributes:
        region_instance_count: Instances in the region of this one, itself included.
        region_instance_rank: Number of those whose names come first.
        summary: Counts of requests by region, for logs.
        owners: The regions that own objects.
        home_shares: Shares of the own region by service.
        shift_limit: Limit on requests that run outside their owner's region.
        lost_capacity: Capacity that the regions lost recently.

    Args:
        settings: Settings of target selection.
        region: Region of this instance.
        regions: All regions.
        targets: Registry of targets.
        now: The time in milliseconds.
    """

    def __init__(
        self,
        settings: TargetSelectionSettings,
        region: str,
        regions: Sequence[str],
        targets: TargetRegistry,
        now: int = 0,
    ):
        self.region_instance_count = 1
        self.region_instance_rank = 0
        self.summary = RegionSummary()
        self.estimates = Estimates(settings.estimates, region)
        self._settings = settings
        self._region = region
        self._targets = targets
        self.owners = RegionOwners(
            settings.owners,
            region,
            regions,
            targets,
            lambda service: self.states_pace(service),
        )
        self.home_shares = self.owners.home_shares
        self.shift_limit = ShiftLimit(settings.shift)
        self.lost_capacity = LostCapacity(settings.lost_capacity)
        self._checked_at = now - settings.check_interval_ms
        self._rankings_by_key: dict[tuple[str, str, str], list[TargetState]] = {}
        self._rankings_version = -1

    def choose(self, query: TargetQuery, now: int) -> Placement:
        """Return the target of a request, or the cause of a refusal."""
        placement = self._choose(query, now)
        if placement.state is None:
            self.summary.record_refused(placement.cause)
        return placement

    def _choose(self, query: TargetQuery, now: int) -> Placement:
        candidates = self._candidates(query, now)
        if not candidates:
            return self._no_target(query, now)
        fitting = [
            placement for placement in candidates if self._has_room(placement, query)
        ]
        if not fitting:
            fastest = min(candidates, key=lambda placement: placement.expected_ms)
            room_after_ms = self._time_to_room_ms(fastest, query, now)
            return Placement(
                None, retry_after_ms=room_after_ms, cause=Cause.TARGETS_FULL
            )
        best = self._fastest_allowed(candidates, fitting, query, now)
        if best is None:
            room_after_ms = self._time_to_room_ms(candidates[0], query, now)
            return Placement(
                None, retry_after_ms=room_after_ms, cause=Cause.SHIFT_LIMIT
            )
        if best.expected_ms > query.remaining_ms:
            retry_after_ms = self._retry_ms(query)
            return Placement(None, retry_after_ms=retry_after_ms, cause=Cause.TOO_LATE)
        return best

    def record_sent(self, placement: Placement, now: int) -> None:
        """Record a request that is sent to its selected target."""
        record = placement.state.record
        if self.states_pace(record.service) and placement.owner_region:
            self.shift_limit.record_exchange(now, placement.owner_region, record.region)
        else:
            self.shift_limit.record_request(now, is_moved=placement.is_moved)
        self.summary.record_sent(record.region, placement.placed_by)

    def states_pace(self, service: str) -> bool:
        """Return whether a service is known to state the pace of its targets."""
        return False

    def tick(self, now: int) -> None:
        """Check which targets are usable, several times within the shortest failure."""
        if now - self._checked_at < self._settings.check_interval_ms:
            return
        self._checked_at = now
        usable_by_id = {
            state.record.id: TargetSlots(state.record.region, state.record.slots)
            for state in self._targets.accepting()
            if state.may_send(now)
        }
        leaving_ids = self._targets.leaving_ids()
        self.lost_capacity.update(usable_by_id, leaving_ids, now)
        self.shift_limit.extend(self.lost_capacity.ratio(now), now)

    def _fastest_allowed(
        self,
        candidates: list[Placement],
        fitting: list[Placement],
        query: TargetQuery,
        now: int,
    ) -> Placement | None:
        """Return the fastest candidate that the shift limit allows.

        Args:
            candidates: All candidates.
            fitting: Candidates that have room for the request.
            query: Properties of the request.
            now: The time in milliseconds.
        """
        best = _fastest(fitting)
        # Without a usable target in the owner's region, all candidates are moved.
        is_unlimited = candidates[0].is_moved and not self._is_limited_at_owner(
            query, now
        )
        if not best.is_moved or is_unlimited:
            return best
        return _fastest([p for p in fitting if self._is_allowed(p, now)])

    def _is_allowed(self, placement: Placement, now: int) -> bool:
        """Return whether the limit on change of region allows a candidate."""
        if not placement.is_moved:
            return True
        record = placement.state.record
        if not self.states_pace(record.service):
            return self.shift_limit.may_move(now)
        return self.shift_limit.may_exchange(now, placement.owner_region, record.region)

    def _is_limited_at_owner(self, query: TargetQuery, now: int) -> bool:
        """Return whether targets of the owner's region are unused as they asked for."""
        region = self.region_order(query, now)[0]
        group = self._targets.group(query.service.name, region)
        return any(
            state.limit_per_s is not None or state.is_resting(now) for state in group
        )

    def _no_target(self, query: TargetQuery, now: int) -> Placement:
        """Return the refusal of a request for which no target can be used."""
        states = [
            state
            for region in self.region_order(query, now)
            for state in self._targets.group(query.service.name, region)
        ]
        retry_ms = self._retry_ms(query)
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
        wait_ms, cause = min(waits, default=(retry_ms, Cause.NO_TARGET))
        return Placement(None, retry_after_ms=wait_ms, cause=cause)

    def region_order(self, query: TargetQuery, now: int) -> list[str]:
        """Return the regions in which a request may run, by preference."""
        return list(query.region_order) or self.owners.order(
            query.route, query.service.name, query.object_key, query.regions, now
        )

    def _candidates(self, query: TargetQuery, now: int) -> list[Placement]:
        """Return the candidate targets of a request, the object's owner first."""
        candidates: list[Placement] = []
        regions = self.region_order(query, now)
        for index, region in enumerate(regions):
            usable = self._usable(query, region, now)
            for state in usable[: 1 if candidates else 2]:
                placement = self._evaluate(
                    state, query, is_owner=not candidates, now=now
                )
                if placement is not None:
                    placed_by = self._placed_by(region, query, index)
                    candidates.append(
                        placement._replace(placed_by=placed_by, owner_region=regions[0])
                    )
        return candidates

    def _placed_by(self, region: str, query: TargetQuery, index: int) -> str:
        if index > 0:
            return PlacedBy.OVERFLOW
        if region == self._region:
            return PlacedBy.HOME
        if query.regions and self._region not in query.regions:
            return PlacedBy.REQUIRED_REGIONS
        return PlacedBy.SHARE

    def _usable(self, query: TargetQuery, region: str, now: int) -> list[TargetState]:
        """Return up to two usable targets, by preference.

        Cold targets are returned only if there are no others, since they respond
        slowly.
        """
        warm: list[TargetState] = []
        cold: list[TargetState] = []
        for state in self._ranked(query, region):
            if state.record.id in query.tried_ids or not state.may_send(now):
                continue
            if state.is_blocked(now) or state.is_resting(now):
                continue
            if not state.is_cold(now):
                warm.append(state)
            elif self._accepts_cold(state, query, region, now):
                cold.append(state)
            if len(warm) == 2:
                break
        return (warm or cold)[:2]

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

    def _ranked(self, query: TargetQuery, region: str) -> list[TargetState]:
        group = self._targets.group(query.service.name, region)
        if not query.route.is_sticky or not query.object_key:
            return sorted(group, key=lambda state: state.open_count)
        if self._rankings_version != self._targets.version:
            self._rankings_by_key.clear()
            self._rankings_version = self._targets.version
        key = (
            query.service.name,
            region,
            qualified_key(query.route, query.object_key),
        )
        states = self._rankings_by_key.get(key)
        if states is None:
            if len(self._rankings_by_key) >= RANKINGS_MAX:
                self._rankings_by_key.clear()
            by_id = {state.record.id: state for state in group}
            states = [by_id[name] for name in order(key[-1], by_id)]
            self._rankings_by_key[key] = states
        return states

    def _evaluate(
        self, state: TargetState, query: TargetQuery, *, is_owner: bool, now: int
    ) -> Placement | None:
        """Return a candidate with its expected response time; None if unsuitable."""
        in_flight = state.in_flight(now)
        estimates = self.estimates
        work_ms = estimates.work_ms(query.route, state, now)
        is_known = estimates.is_known(query.route, query.object_key, state, now)
        if query.object_key and not is_owner and not is_known:
            if in_flight >= state.record.slots and not _is_single_region(query):
                return None
            work_ms = estimates.unknown_object_work_ms(work_ms)
        expected_ms = estimates.answer_ms(work_ms, state, in_flight)
        failure_ratio = state.failure_ratio(now)
        if failure_ratio > self._settings.failure_ratio_max:
            expected_ms += failure_ratio * 2 * query.route.latency_goal_ms
        return Placement(state, int(expected_ms), in_flight)

    def _max_wait_ms(self, query: TargetQuery) -> float:
        """Return the longest expected response time at which a request may queue."""
        settings = self._settings
        steps = max(0, settings.priority_count - 1 - query.priority)
        percent = settings.max_wait_percent + steps * settings.max_wait_step_percent
        if _is_single_region(query):
            percent += settings.single_region_percent
        return query.route.latency_goal_ms * percent / PERCENT

    def _has_room(self, placement: Placement, query: TargetQuery) -> bool:
        slots = placement.state.record.slots
        if placement.in_flight < slots:
            return True
        if placement.in_flight >= slots * self._settings.limit_percent // PERCENT:
            return False
        return placement.expected_ms <= self._max_wait_ms(query)

    def _time_to_room_ms(
        self, placement: Placement, query: TargetQuery, now: int
    ) -> int:
        """Return the expected time until the target has room for the request."""
        state = placement.state
        over_ms = int(placement.expected_ms - self._max_wait_ms(query))
        work_ms = self.estimates.work_ms(query.route, state, now)
        return max(int(work_ms / max(1, state.record.slots)), over_ms)

    def _retry_ms(self, query: TargetQuery) -> int:
        return max(1, int(self.estimates.typical_work_ms(query.route)))


def _fastest(candidates: Sequence[Placement]) -> Placement | None:
    return min(candidates, key=lambda placement: placement.expected_ms, default=None)


def _is_single_region(query: TargetQuery) -> bool:
    """Return whether a request may run in one region only."""
    return len(query.regions) == 1
