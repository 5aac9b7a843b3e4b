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

import copy
from collections.abc import Sequence

from sequoiahook.decisions.direct.answer_sizes import AnswerSizes
from sequoiahook.decisions.direct.estimates import Estimates
from sequoiahook.decisions.direct.home_share import PERMILLE
from sequoiahook.decisions.direct.learning import Learning
from sequoiahook.decisions.direct.lost_capacity import LostCapacity, TargetSlots
from sequoiahook.decisions.direct.placements import Placement, TargetQuery, may_queue
from sequoiahook.decisions.direct.region_owners import RegionOwners
from sequoiahook.decisions.direct.region_summary import RegionSummary, placed_by
from sequoiahook.decisions.direct.requests import Attempt, Cause
from sequoiahook.decisions.direct.shift_limit import ShiftLimit
from sequoiahook.decisions.direct.target_candidates import TargetCandidates
from sequoiahook.decisions.direct.target_evaluation import Evaluation, earliest
from sequoiahook.decisions.direct.target_explanation import (
    ExplainedTarget,
    Explanation,
    Obstacle,
    explained,
)
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_selection_settings import (
    TargetSelectionSettings,
)
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.direct.work_estimates import WorkEstimates
from sequoiahook.world.target import LoadReport

__all__ = ["TargetSelectionSettings", "TargetSelector"]


class TargetSelector:
    """Selects the targets of requests.

    Attributes:
        summary: Counts of requests by region, for logs.
        owners: The regions that own objects.
        home_shares: Shares of the own region by service.
        shift_limit: Limit on requests that run outside their owner's region.
        lost_capacity: Capacity that the regions lost recently.
        answer_sizes: Mean sizes of the answers of routes.
        estimates: Response times by route and target.
        work: Expected work of requests.

    Args:
        settings: Settings of target selection.
        region: Region of this instance.
        regions: All regions.
        targets: Registry of targets.
        now: The time in milliseconds.
        data_centre: Data centre of this instance; empty if unknown.
    """

    def __init__(
        self,
        settings: TargetSelectionSettings,
        region: str,
        regions: Sequence[str],
        targets: TargetRegistry,
        now: int = 0,
        data_centre: str = "",
    ):
        self._candidates = TargetCandidates(
            region, data_centre, targets, settings.estimates.objects_max
        )
        self.summary = RegionSummary()
        self.estimates = Estimates(settings.estimates, region)
        self.work = WorkEstimates(settings.paced.work)
        self._learning = Learning(settings.paced, self.estimates, self.work)
        self._evaluation = Evaluation(settings, self.estimates, self.work)
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
        self._paced_services: set[str] = set()
        self.answer_sizes = AnswerSizes(settings.nearby)

    @property
    def region_instance_count(self) -> int:
        """Instances in the region of this one, itself included."""
        return self._candidates.region_instance_count

    @region_instance_count.setter
    def region_instance_count(self, count: int) -> None:
        self._candidates.region_instance_count = count

    @property
    def region_instance_rank(self) -> int:
        """Number of those whose names come first."""
        return self._candidates.region_instance_rank

    @region_instance_rank.setter
    def region_instance_rank(self, rank: int) -> None:
        self._candidates.region_instance_rank = rank

    def states_pace(self, service: str) -> bool:
        """Return whether the targets of a service are known to state their pace."""
        return service in self._paced_services

    def record_load(self, state: TargetState, report: LoadReport, now: int) -> None:
        """Record the load that a target reports."""
        state.record_load(report, now)
        service = state.record.service
        if report.pace is not None and service not in self._paced_services:
            self._update_paced(service)

    def _update_paced(self, service: str) -> None:
        """Find out whether at least half of a service's targets state their pace.

        Targets that have reported no load yet do not count.
        """
        reporting = [
            state
            for region in self.owners.regions
            for state in self._targets.group(service, region)
            if state.has_reported
        ]
        if 2 * sum(state.states_pace for state in reporting) >= len(reporting) > 0:
            self._paced_services.add(service)
        elif reporting:
            self._paced_services.discard(service)

    def choose(self, query: TargetQuery, now: int) -> Placement:
        """Return the target of a request, or the cause of a refusal."""
        placement = self._choose(query, now)
        if placement.state is None:
            self.summary.record_refused(placement.cause)
        return placement

    def _choose(self, query: TargetQuery, now: int) -> Placement:
        owner = self._ready_owner(query, now)
        if owner is not None:
            return owner
        candidates = self._evaluated(query, now)
        if not candidates:
            return self._no_target(query, now)
        evaluation = self._evaluation
        fitting = [
            placement
            for placement in evaluation.fitting(candidates, query)
            if may_queue(placement, query, now)
        ]
        if not fitting:
            fastest = earliest(candidates)
            room_after_ms = evaluation.time_to_room_ms(fastest, query, now)
            return Placement(
                None, retry_after_ms=room_after_ms, cause=Cause.TARGETS_FULL
            )
        best = self._fastest_allowed(candidates, fitting, query, now)
        if best is None:
            room_after_ms = evaluation.time_to_room_ms(candidates[0], query, now)
            return Placement(
                None, retry_after_ms=room_after_ms, cause=Cause.SHIFT_LIMIT
            )
        if best.expected_ms > query.remaining_ms:
            retry_after_ms = self._retry_ms(query)
            return Placement(None, retry_after_ms=retry_after_ms, cause=Cause.TOO_LATE)
        return best

    def explain(self, query: TargetQuery, now: int) -> Explanation:
        """Return where a request would go now, and why; this changes nothing."""
        trial = copy.copy(self)
        trial._candidates = self._candidates.trial_copy()
        trial.summary = RegionSummary()
        trial.owners = self.owners.trial_copy()
        trial.home_shares = trial.owners.home_shares
        trial.shift_limit = copy.deepcopy(self.shift_limit)
        return trial._explain(query, now)

    def _explain(self, query: TargetQuery, now: int) -> Explanation:
        """Return where a request would go; called on a copy, since it moves shares."""
        order = self.region_order(query, now)
        decision = self._choose(query, now)
        candidates = self._evaluated(query, now)
        by_id = {placement.state.record.id: placement for placement in candidates}
        targets: list[ExplainedTarget] = []
        for region in order:
            count, is_near = self._search(query, region)
            usable = self._candidates.usable(query, region, count, now, is_near=is_near)
            obstacles = dict(
                self._candidates.unusable(query, region, usable, now, is_near=is_near)
            )
            for state in self._candidates.ranked(query, region, is_near=is_near):
                if state not in usable and state not in obstacles:
                    continue
                placement = by_id.get(state.record.id)
                obstacle = obstacles.get(state) or self._obstacle(
                    placement, candidates, decision, query, now
                )
                round_trip_ms = self.estimates.round_trip_ms(state)
                targets.append(
                    explained(state, placement, obstacle, round_trip_ms, now)
                )
        is_paced = self.states_pace(query.service.name)
        return Explanation(is_paced, tuple(order), tuple(targets), decision)

    def _obstacle(
        self,
        placement: Placement | None,
        candidates: list[Placement],
        decision: Placement,
        query: TargetQuery,
        now: int,
    ) -> str:
        """Return what ruled a usable target out; empty if it would be used."""
        if placement is None:
            return Obstacle.LATER
        if placement not in self._evaluation.fitting(candidates, query):
            return Obstacle.FULL
        if placement.is_moved and not self._may_move(candidates, query, now):
            return Obstacle.SHIFT_LIMIT
        if placement.expected_ms > query.remaining_ms:
            return Obstacle.TOO_LATE
        return "" if placement.state is decision.state else Obstacle.LATER

    def record_sent(self, placement: Placement, now: int) -> None:
        """Record a request that is sent to its selected target."""
        if placement.open_work is not None:
            placement.state.backlog.add(placement.open_work)
        self.shift_limit.record_request(now, is_moved=placement.is_moved)
        self.summary.record_sent(placement.state.record.region, placement.placed_by)

    def record_ended(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended, however it did, from the backlog."""
        if attempt.open_work is not None:
            attempt.state.backlog.remove(attempt.open_work)

    def record_answer(
        self, attempt: Attempt, query: TargetQuery, duration_ms: int, now: int
    ) -> None:
        """Update the estimates from the duration of an answer.

        Args:
            attempt: The attempt that was answered.
            query: Properties of its request.
            duration_ms: Time from the first byte written to the end of the answer.
            now: The time in milliseconds.
        """
        state, work = attempt.state, attempt.open_work
        if work is None:
            self.estimates.record_answer(
                query.route,
                query.object_key,
                state,
                attempt.in_flight,
                duration_ms,
                now,
            )
            return
        self._learning.record_answer(state, work, query, duration_ms, now)

    def tick(self, now: int) -> None:
        """Check which targets are usable, several times within the shortest failure."""
        if now - self._checked_at < self._settings.check_interval_ms:
            return
        self._checked_at = now
        for service in tuple(self._paced_services):
            self._update_paced(service)
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
        best = self._evaluation.best(fitting, query.remaining_ms)
        if not best.is_moved or self._may_move(candidates, query, now):
            return best
        return self._evaluation.best(
            [placement for placement in fitting if not placement.is_moved],
            query.remaining_ms,
        )

    def _may_move(
        self, candidates: list[Placement], query: TargetQuery, now: int
    ) -> bool:
        """Return whether a request may run in another region than its owner's."""
        # Without a usable target in the owner's region, all candidates are moved.
        is_unlimited = candidates[0].is_moved and not self._is_limited_at_owner(
            query, now
        )
        return is_unlimited or self.shift_limit.may_move(now)

    def _is_limited_at_owner(self, query: TargetQuery, now: int) -> bool:
        """Return whether targets of the owner's region are unused as they asked for."""
        region = self.region_order(query, now)[0]
        group = self._targets.group(query.service.name, region)
        return any(
            state.limit_per_s is not None or state.is_resting(now) for state in group
        )

    def _no_target(self, query: TargetQuery, now: int) -> Placement:
        """Return the refusal of a request for which no target can be used."""
        wait_ms, cause = self._candidates.wait(
            query, self.region_order(query, now), self._retry_ms(query), now
        )
        return Placement(None, retry_after_ms=wait_ms, cause=cause)

    def region_order(self, query: TargetQuery, now: int) -> list[str]:
        """Return the regions in which a request may run, by preference."""
        return list(query.region_order) or self.owners.order(
            query.route, query.service.name, query.object_key, query.regions, now
        )

    def _evaluated(self, query: TargetQuery, now: int) -> list[Placement]:
        """Return the candidate targets of a request, the object's owner first."""
        if self.states_pace(query.service.name):
            return self._paced_candidates(query, now)
        candidates: list[Placement] = []
        for index, region in enumerate(self.region_order(query, now)):
            count = 1 if candidates else 2
            most, is_near = self._search(query, region)
            usable = self._candidates.usable(query, region, most, now, is_near=is_near)
            for state in usable[:count]:
                placement = self._evaluation.evaluate(
                    state, query, is_owner=not candidates, now=now
                )
                if placement is not None:
                    reason = placed_by(self._region, region, query.regions, index)
                    candidates.append(placement._replace(placed_by=reason))
        return candidates

    def _paced_candidates(self, query: TargetQuery, now: int) -> list[Placement]:
        """Return the candidates among targets of a service that states its pace."""
        work = self.work.expect(query)
        candidates: list[Placement] = []
        for index, region in enumerate(self.region_order(query, now)):
            count, is_near = self._search(query, region)
            reason = placed_by(self._region, region, query.regions, index)
            for state in self._candidates.usable(
                query, region, count, now, is_near=is_near
            ):
                placement = self._evaluation.evaluate_paced(
                    state, query, work, is_owner=not candidates, now=now
                )
                candidates.append(placement._replace(placed_by=reason))
        return candidates

    def _ready_owner(self, query: TargetQuery, now: int) -> Placement | None:
        """Return the object's owner if it is about as fast as a target can be.

        This saves most requests the evaluation of the other candidates.
        """
        if not self.states_pace(query.service.name):
            return None
        region = self.region_order(query, now)[:1]
        if not region:
            return None
        _, is_near = self._search(query, region[0])
        usable = self._candidates.usable(query, region[0], 1, now, is_near=is_near)
        if not usable or not self._evaluation.is_ready(usable[0], query, now):
            return None
        work = self.work.expect(query)
        placement = self._evaluation.evaluate_paced(
            usable[0], query, work, is_owner=True, now=now
        )
        if placement.expected_ms > query.remaining_ms:
            return None
        reason = placed_by(self._region, region[0], query.regions, 0)
        return placement._replace(placed_by=reason)

    def _search(self, query: TargetQuery, region: str) -> tuple[int, bool]:
        """Return the number of candidates in a region, and whether near ones lead."""
        is_near = region == self._region and self._is_near(query)
        if not self.states_pace(query.service.name):
            return 2, is_near
        if region != self._region:
            return self._settings.paced.other_region_count, False
        return self._settings.paced.own_region_count, is_near

    def _is_near(self, query: TargetQuery) -> bool:
        """Return whether a request prefers the own data centre."""
        if not self.answer_sizes.are_large(query.route):
            return False
        share = self.home_shares.permille_by_service.get(query.service.name, PERMILLE)
        return share >= self._settings.nearby.share_permille_min

    def _retry_ms(self, query: TargetQuery) -> int:
        return max(1, int(self.estimates.typical_work_ms(query.route)))
