"""The expected response time of a candidate target, and whether it has room.

For services whose targets state their pace, it is the time until a slot is free, the
expected work at the present pace and slowness of the target, and the round trip. For
other services, it is the typical work of the route times the length of the queue.
"""

from collections.abc import Sequence

from sequoiahook.decisions.direct.estimates import Estimates
from sequoiahook.decisions.direct.placements import Placement, TargetQuery
from sequoiahook.decisions.direct.target_backlog import OpenWork
from sequoiahook.decisions.direct.target_selection_settings import (
    TargetSelectionSettings,
)
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.direct.work_estimates import ExpectedWork, WorkEstimates

__all__ = ["Evaluation", "earliest", "is_single_region"]

PERCENT = 100


class Evaluation:
    """Evaluates candidates.

    Args:
        settings: Settings of target selection.
        estimates: Response times by route and target.
        work: Expected work of requests.
    """

    def __init__(
        self,
        settings: TargetSelectionSettings,
        estimates: Estimates,
        work: WorkEstimates,
    ):
        self._settings = settings
        self._estimates = estimates
        self._work = work

    def evaluate(
        self, state: TargetState, query: TargetQuery, *, is_owner: bool, now: int
    ) -> Placement | None:
        """Return a candidate with its expected response time; None if unsuitable."""
        in_flight = state.in_flight(now)
        estimates = self._estimates
        work_ms = estimates.work_ms(query.route, state, now)
        is_known = estimates.is_known(query.route, query.object_key, state, now)
        if query.object_key and not is_owner and not is_known:
            if in_flight >= state.record.slots and not is_single_region(query):
                return None
            work_ms = estimates.unknown_object_work_ms(work_ms)
        expected_ms = estimates.answer_ms(work_ms, state, in_flight)
        expected_ms += self._failure_ms(state, query, now)
        return Placement(state, int(expected_ms), in_flight)

    def evaluate_paced(
        self,
        state: TargetState,
        query: TargetQuery,
        work: ExpectedWork,
        *,
        is_owner: bool,
        now: int,
    ) -> Placement:
        """Return a candidate with its expected completion.

        Args:
            state: The target, of a service whose targets state their pace.
            query: Properties of the request.
            work: The work that it is expected to need.
            is_owner: Whether the target owns the object: it is assumed to have it
                cached, since all other instances send its requests there, too.
            now: The time in milliseconds.
        """
        in_flight = state.in_flight(now)
        is_known = not query.object_key or self._estimates.is_known(
            query.route, query.object_key, state, now
        )
        is_cached = is_known or is_owner
        pace_factor = state.pace_factor(now)
        slowness = state.slowness(now)
        factor = pace_factor * slowness
        mean_ms = work.mean_ms(is_cached=is_cached)
        start_ms = 0.0
        if in_flight >= state.record.slots:
            typical_ms = self._work.typical_ms(query.service.name, query.route)
            start_ms = state.backlog.start_ms(
                state.record.slots, in_flight, typical_ms, factor, now
            )
        round_trip_ms = self._estimates.round_trip_ms(state)
        expected_ms = start_ms + mean_ms * factor + round_trip_ms
        expected_ms += self._failure_ms(state, query, now)
        open_work = OpenWork(
            now,
            now + int(start_ms + round_trip_ms / 2),
            mean_ms,
            mean_ms * work.tail_ratio,
            start_ms / slowness,
            pace_factor,
            is_cached,
            is_known,
            0.0 if is_cached else 1 - work.cached_ms / work.uncached_ms,
        )
        return Placement(
            state,
            int(expected_ms),
            in_flight,
            start_ms=int(start_ms),
            work_ms=int(mean_ms * factor),
            open_work=open_work,
        )

    def is_ready(self, state: TargetState, query: TargetQuery, now: int) -> bool:
        """Return whether a target with the object would do the work at once."""
        if state.in_flight(now) >= state.record.slots or state.is_cold(now):
            return False
        if self._failure_ms(state, query, now):
            return False
        factor = state.pace_factor(now) * state.slowness(now)
        return factor * PERCENT <= self._settings.paced.ready_percent

    def max_wait_ms(self, query: TargetQuery) -> float:
        """Return the longest expected response time at which a request may queue."""
        settings = self._settings
        steps = max(0, settings.priority_count - 1 - query.priority)
        percent = settings.max_wait_percent + steps * settings.max_wait_step_percent
        if is_single_region(query):
            percent += settings.single_region_percent
        return query.route.latency_goal_ms * percent / PERCENT

    def fitting(
        self, candidates: Sequence[Placement], query: TargetQuery
    ) -> list[Placement]:
        """Return the candidates that have room for a request."""
        fitting = [p for p in candidates if self._has_room(p, query)]
        if not fitting or fitting[0].open_work is None or is_single_region(query):
            return fitting
        own = [p for p in candidates if not p.is_moved] or candidates
        is_busy = _mean_use(own) >= self._settings.paced.spread_use_percent
        return [
            p
            for p in fitting
            if p.open_work.is_cached or _may_spread(p, is_busy=is_busy)
        ]

    def _has_room(self, placement: Placement, query: TargetQuery) -> bool:
        """Return whether a target has room for a request."""
        slots = placement.state.record.slots
        if placement.in_flight < slots:
            return True
        if placement.in_flight >= slots * self._settings.limit_percent // PERCENT:
            return False
        return placement.expected_ms <= self.max_wait_ms(query)

    def time_to_room_ms(
        self, placement: Placement, query: TargetQuery, now: int
    ) -> int:
        """Return the expected time until the target has room for the request."""
        state = placement.state
        over_ms = int(placement.expected_ms - self.max_wait_ms(query))
        work_ms = self._estimates.work_ms(query.route, state, now)
        return max(int(work_ms / max(1, state.record.slots)), over_ms)

    def best(
        self, placements: Sequence[Placement], remaining_ms: int
    ) -> Placement | None:
        """Return the candidate with the earliest expected completion.

        For services whose targets state their pace, one with the object cached, or that
        comes first, is preferred if its time is about equal.

        Args:
            placements: The candidates.
            remaining_ms: Time until the deadline.
        """
        first = earliest(placements)
        if first is None or first.open_work is None:
            return first
        if first.expected_ms > remaining_ms:
            return first
        placements = [p for p in placements if p.expected_ms <= remaining_ms]
        costs = [
            placement.expected_ms + self._charge_ms(placement)
            for placement in placements
        ]
        least = min(costs)
        first = placements[costs.index(least)]
        highest = least + first.work_ms * self._settings.paced.equal_percent / PERCENT
        equal = [
            placement
            for placement, cost in zip(placements, costs, strict=True)
            if cost <= highest
        ]
        return next((p for p in equal if p.open_work.is_cached), equal[0])

    def _charge_ms(self, placement: Placement) -> float:
        """Return the charge for work that the target cannot do for others."""
        if placement.open_work.is_cached:
            return 0.0
        use = min(1.0, placement.in_flight / max(1, placement.state.record.slots))
        additional_ms = placement.work_ms * placement.open_work.uncached_ratio
        percent = self._settings.paced.uncached_charge_percent
        return additional_ms * use * percent / PERCENT

    def _failure_ms(self, state: TargetState, query: TargetQuery, now: int) -> float:
        """Return the expected delay by failures of the target."""
        failure_ratio = state.failure_ratio(now)
        if failure_ratio > self._settings.failure_ratio_max:
            return failure_ratio * 2 * query.route.latency_goal_ms
        return 0


def _mean_use(placements: Sequence[Placement]) -> float:
    """Return the mean use of the slots of targets, in percent."""
    uses = [min(1.0, p.in_flight / max(1, p.state.record.slots)) for p in placements]
    return PERCENT * sum(uses) / len(uses)


def _may_spread(placement: Placement, *, is_busy: bool) -> bool:
    """Return whether a target may do the work without the cached object."""
    if is_busy and not placement.is_moved:
        return placement.in_flight == 0
    return placement.in_flight < placement.state.record.slots


def earliest(placements: Sequence[Placement]) -> Placement | None:
    """Return the candidate with the shortest expected response time."""
    return min(placements, key=lambda placement: placement.expected_ms, default=None)


def is_single_region(query: TargetQuery) -> bool:
    """Return whether a request may run in one region only."""
    return len(query.regions) == 1
