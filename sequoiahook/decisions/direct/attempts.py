"""The next step of an open request: another attempt, an answer or a refusal."""

from sequoiahook.decisions.direct.admission import Admission
from sequoiahook.decisions.direct.attempt_results import (
    FAILURE_STATUS_MIN,
    AttemptResults,
)
from sequoiahook.decisions.direct.attempts_settings import AttemptsSettings
from sequoiahook.decisions.direct.capacity_control import CapacityControl
from sequoiahook.decisions.direct.connectivity import Connectivity
from sequoiahook.decisions.direct.exit_limit import ExitLimit
from sequoiahook.decisions.direct.permits import Permits
from sequoiahook.decisions.direct.placements import Placement, TargetQuery, target_query
from sequoiahook.decisions.direct.region_summary import PlacedBy
from sequoiahook.decisions.direct.requests import (
    CAUSES,
    Attempt,
    AttemptRecord,
    Cause,
    Deliver,
    ForwardToPeer,
    HandoverOutcome,
    Hold,
    HoldPermit,
    HoldRoom,
    HoldTrial,
    OpenRequest,
    Refuse,
    Status,
)
from sequoiahook.decisions.direct.suspects import Suspects
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_selection import TargetSelector
from sequoiahook.decisions.direct.target_state import (
    CONNECT_FAILED_STAGES,
    TargetState,
)
from sequoiahook.decisions.exchange.retry import RetryBudget, RetryBudgetSettings
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.decisions.exchange.target_result import (
    Stage,
    StreamEnd,
    TargetResult,
)
from sequoiahook.messages.requests import NOT_RUN, RAN

__all__ = ["Attempts", "AttemptsSettings"]

FORWARDS_MAX = 2
"""Most times that one request is handed over; each time to several candidates."""

Wait = Hold | HoldPermit | HoldRoom | HoldTrial
Step = Attempt | Deliver | ForwardToPeer | Wait | Refuse


class Attempts:
    """Decides each step of open requests.

    Attributes:
        retry_burst: Maximum number of accumulated retries of a service.

    Args:
        settings: Limits of attempts.
        admission: Checks keys and rates.
        selector: Selects targets.
        targets: Registry of targets.
        permits: Permits for targets that state a limit.
        suspects: Requests under which targets ended.
        connectivity: Whether connectivity to targets is lost.
        exit_limit: Limit on requests while this instance is stopping.
        results: Records what the results of attempts show.
        capacity: Divides the capacity of services that are short of it.
    """

    def __init__(
        self,
        settings: AttemptsSettings,
        admission: Admission,
        selector: TargetSelector,
        targets: TargetRegistry,
        permits: Permits,
        suspects: Suspects,
        connectivity: Connectivity,
        exit_limit: ExitLimit,
        results: AttemptResults,
        capacity: CapacityControl,
    ):
        self.retry_burst = 1
        self._connectivity = connectivity
        self._exit_limit = exit_limit
        self._results = results
        self._capacity = capacity
        self._settings = settings
        self._admission = admission
        self._selector = selector
        self._targets = targets
        self._permits = permits
        self._suspects = suspects
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def next_step(self, request: OpenRequest, now: int) -> Step:
        """Return the next attempt, a wait, or the final answer."""
        step = self._check(request, now) or self._forward(request, now)
        if step is not None:
            return step
        remaining_ms = request.deadline_at - now
        self._capacity.offer(request, now)
        placement = self._select(request, remaining_ms, now)
        if isinstance(placement, HoldPermit):
            return placement
        if placement.state is None:
            step = self._forward(request, now, has_target=False)
            step = step or self._capacity.hold(request, placement, now)
            if step is not None:
                return step
            placement = self._capacity.refused(request, placement, now)
            return self._end(request, placement.cause, now, placement.retry_after_ms)
        refusal = self._charge(request, now)
        if refusal is not None:
            if placement.state.limit_per_s is not None:
                self._permits.put_back(placement.state, now)
            return refusal
        return self._send(request, placement, remaining_ms, now)

    def _check(self, request: OpenRequest, now: int) -> Step | None:
        """Return the step of a request that must not be sent now; None if it may."""
        if request.deadline_at - now < self._settings.remaining_min_ms:
            return self._end(request, Cause.DEADLINE, now)
        if not self._exit_limit.allows(request.deadline_at):
            refusal = self._exit_limit.refusal()
            return self._end(request, refusal.cause, now, refusal.retry_after_ms)
        refusal = self._admission.recheck_key(request, now)
        if refusal is not None:
            return self._refuse(request, refusal, now)
        if request.run_count >= request.route.attempts_max:
            return self._end(request, Cause.FAILED, now)
        if len(request.records) >= self._settings.targets_max:
            step = self._forward(request, now, has_target=False)
            return step or self._end(request, Cause.FAILED, now)
        suspected = self._suspects.check(request, now)
        if isinstance(suspected, Refuse) and request.may_have_run:
            return self._end(request, Cause.FAILED, now)
        return suspected

    def _forward(
        self, request: OpenRequest, now: int, *, has_target: bool = True
    ) -> Step | None:
        """Return the step that hands a request over; None if it is tried here.

        Args:
            request: The request.
            now: The time in milliseconds.
            has_target: Whether there may be a target that this instance can try.
        """
        connectivity = self._connectivity
        if request.origin is not None:
            has_target = has_target or connectivity.is_available(now)
            if has_target and not connectivity.is_lost:
                return None
            return self._end(request, Reason.UNREACHABLE, now)
        if not connectivity.is_lost:
            has_failed = not has_target or _has_failed_to_connect(request)
            if not has_failed or not connectivity.is_suspected(now):
                return None
        candidates = ()
        if request.forward_count < FORWARDS_MAX:
            candidates = connectivity.reach.candidates(request.regions, now)
        if candidates:
            return self._forward_to(request, candidates, now)
        if connectivity.is_lost:
            return self._end(request, Cause.UNREACHABLE, now)
        return None

    def _forward_to(
        self, request: OpenRequest, candidates: tuple[str, ...], now: int
    ) -> Step:
        refusal = self._charge(request, now, is_forwarded=True)
        if refusal is not None:
            return refusal
        remaining_ms = request.deadline_at - now
        query = self._target_query(request, remaining_ms)
        region_order = tuple(self._selector.region_order(query, now))
        request.forward_count += 1
        at_ms = now - request.arrived_at
        record = AttemptRecord(candidates[0], "", at_ms, 0, 0, PlacedBy.HANDED_OVER)
        request.records.append(record)
        return ForwardToPeer(request, candidates, region_order, remaining_ms)

    def on_forwarded(
        self, step: ForwardToPeer, outcome: HandoverOutcome, now: int
    ) -> Step:
        """Record the outcome of a handover and return the next step."""
        request = step.request
        record = request.records[-1]
        request.records[-1] = record._replace(
            target=outcome.peer or record.target,
            stage=outcome.cause or Stage.ANSWERED.value,
            status=outcome.status,
            duration_ms=now - request.last_sent_at,
        )
        if outcome.ran == RAN:
            answer = (outcome.status, outcome.headers, outcome.body)
            return Deliver(TargetResult(Stage.ANSWERED, *answer))
        if outcome.ran != NOT_RUN:
            request.run_count += 1
            return self._end(request, outcome.cause, now)
        if outcome.cause in CAUSES:
            return self._refuse(request, outcome.refusal(), now)
        return self.next_step(request, now)

    def spend_retry(self, request: OpenRequest, now: int) -> bool:
        """Take a retry of a request that may have run; return whether there was one."""
        return self._budget(request.service, now).try_spend(now)

    def return_token(self, request: OpenRequest, now: int) -> None:
        """Return the token of a request whose caller left and that no target ran."""
        self._admission.return_token(request, now)

    def may_write(self, attempt: Attempt, now: int) -> bool:
        """Return whether a request may still be sent, just before its first byte."""
        state = attempt.state
        current = self._targets.states_by_id.get(state.record.id)
        if current is not state or not self._targets.is_usable(state.record.id):
            return False
        if now >= attempt.request.deadline_at or now < state.rest_until:
            return False
        if not self._exit_limit.allows(attempt.request.deadline_at):
            return False
        return self._admission.recheck_key(attempt.request, now) is None

    def on_ended(self, attempt: Attempt, result: TargetResult, now: int) -> Step:
        """Record the result of an attempt and return the next step."""
        request = attempt.request
        self._results.record(attempt, result, now)
        request.records[-1] = request.records[-1]._replace(
            stage=result.stage.value,
            status=result.status,
            duration_ms=result.duration_ms,
        )
        if result.stage not in _NOT_DELIVERED_STAGES:
            request.arrival_count += 1
        if result.stage.ran != NOT_RUN:
            request.run_count += 1
        self._results.record_evidence(attempt, result, now)
        if result.stage is Stage.ANSWERED:
            return self._answered(request, result, now)
        if result.stage.ran != NOT_RUN and not request.route.is_idempotent:
            return self._end(request, Cause.FAILED, now)
        return self.next_step(request, now)

    def on_stream_ended(self, attempt: Attempt, end: StreamEnd, now: int) -> None:
        """Record the end of a body that was passed on while it was received."""
        request = attempt.request
        self._results.record_stream_end(attempt, end, now)
        request.records[-1] = request.records[-1]._replace(
            duration_ms=now - request.last_sent_at
        )

    def on_abandoned(self, attempt: Attempt, result: TargetResult, now: int) -> None:
        """Record the result of an attempt whose caller has disconnected."""
        stage = result.stage
        record = attempt.request.records[-1]
        attempt.request.records[-1] = record._replace(stage=stage.value)
        self._selector.record_ended(attempt)
        late_ms = now - attempt.request.last_sent_at - record.expected_ms
        attempt.state.on_abandoned(stage, late_ms, now)
        if result.stage.ran == NOT_RUN and not attempt.request.may_have_run:
            self._admission.return_token(attempt.request, now)

    def _answered(self, request: OpenRequest, result: TargetResult, now: int) -> Step:
        is_failure = result.status >= FAILURE_STATUS_MIN
        is_passed_on = result.stream is not None
        if not is_failure or is_passed_on or not request.route.is_idempotent:
            return Deliver(result)
        request.last_failure = result
        return self.next_step(request, now)

    def _select(
        self, request: OpenRequest, remaining_ms: int, now: int
    ) -> Placement | HoldPermit:
        """Return the selected target, for which a permit is taken if it needs one."""
        while True:
            query = self._target_query(request, remaining_ms)
            query = self._capacity.limited(request, query)
            placement = self._selector.choose(query, now)
            state = placement.state
            if state is None or state.limit_per_s is None:
                return placement
            if self._permits.take(state, now):
                return placement
            wait_ms = self._permit_wait_ms(request, state, now)
            if wait_ms > 0:
                return HoldPermit(state.record.id, wait_ms)
            request.passed_over_ids.add(state.record.id)

    def _permit_wait_ms(
        self, request: OpenRequest, state: TargetState, now: int
    ) -> int:
        """Return how long a request waits for a permit that has been requested."""
        if state.is_blocked(now):
            return 0
        if request.permit_until is None:
            goal_ms = request.route.latency_goal_ms
            longest_ms = goal_ms // self._settings.permit_wait_divisor
            left_ms = max(0, request.deadline_at - now) // 2
            wait_ms = min(self._permits.answer_timeout_ms, longest_ms, left_ms)
            request.permit_until = now + wait_ms
        return request.permit_until - now

    def _charge(
        self, request: OpenRequest, now: int, *, is_forwarded: bool = False
    ) -> Deliver | Hold | Refuse | None:
        """Take the token or the retry that an attempt costs; if none, return a step.

        The instance that the caller is connected to takes the token and counts the
        load; the one that sends the request to targets counts the first attempt.
        """
        budget = self._budget(request.service, now)
        if request.records:
            if request.arrival_count and not budget.try_spend(now):
                return self._end(request, Cause.BUDGET, now)
            return None
        if request.origin is None:
            refusal = self._admission.take_token(request, now)
            if refusal is not None:
                return refusal
            self._selector.home_shares.record_request(
                request.service,
                self._selector.estimates.typical_work_ms(request.route),
            )
        is_first = request.origin is None or request.origin.is_first
        if is_first and not is_forwarded:
            budget.record_first_attempt()
        return None

    def _send(self, request, placement, remaining_ms: int, now: int) -> Attempt:
        state = placement.state
        state.on_sent(now)
        self._capacity.record_sent(request, now)
        self._connectivity.record_sent(now)
        self._suspects.record_sent(request, now)
        self._selector.record_sent(placement, now)
        request.tried_ids.add(state.record.id)
        request.records.append(
            AttemptRecord(
                state.record.id,
                state.record.region,
                now - request.arrived_at,
                placement.expected_ms,
                placement.in_flight,
                placement.placed_by,
                start_ms=placement.start_ms,
                work_ms=placement.work_ms,
                report_age_ms=state.report_age_ms(now),
            )
        )
        return Attempt(
            request, state, placement.in_flight, remaining_ms, placement.open_work
        )

    def _end(
        self, request: OpenRequest, cause: str, now: int, retry_after_ms: int = 0
    ) -> Deliver | Refuse:
        """Return a final answer whose status shows whether a target may have run it."""
        if request.last_failure is not None:
            return Deliver(request.last_failure)
        if not request.may_have_run:
            wait_ms = retry_after_ms or self._settings.failed_retry_after_ms
            refusal = Refuse(Status.UNAVAILABLE, cause, wait_ms)
            return self._refuse(request, refusal, now)
        is_late = now >= request.deadline_at - self._settings.remaining_min_ms
        status = Status.GATEWAY_TIMEOUT if is_late else Status.BAD_GATEWAY
        return self._refuse(request, Refuse(status, cause), now)

    def _refuse(self, request: OpenRequest, refusal: Refuse, now: int) -> Refuse:
        if not request.may_have_run:
            if request.records:
                self._admission.return_token(request, now)
            return refusal
        if refusal.status in (Status.BAD_GATEWAY, Status.GATEWAY_TIMEOUT):
            return refusal
        return Refuse(Status.BAD_GATEWAY, refusal.cause)

    def _target_query(self, request: OpenRequest, remaining_ms: int) -> TargetQuery:
        service = self._admission.service(request.service)
        return target_query(request, service, remaining_ms)

    def _budget(self, service: str, now: int) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            settings = RetryBudgetSettings(
                self._settings.retry_percent, 0, self.retry_burst
            )
            budget = self._budgets_by_service[service] = RetryBudget(settings, now)
        return budget


def _has_failed_to_connect(request: OpenRequest) -> bool:
    return any(record.stage in _CONNECT_FAILED_NAMES for record in request.records)


_NOT_DELIVERED_STAGES = CONNECT_FAILED_STAGES | {Stage.NOTHING_WRITTEN}
_CONNECT_FAILED_NAMES = frozenset(stage.value for stage in CONNECT_FAILED_STAGES)
