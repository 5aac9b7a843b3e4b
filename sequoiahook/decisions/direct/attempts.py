"""What happens next to an open request: another attempt, an answer or a refusal."""

from typing import NamedTuple

from sequoiahook.decisions.direct.admission import Admission
from sequoiahook.decisions.direct.requests import (
    Attempt,
    AttemptRecord,
    Cause,
    Deliver,
    Hold,
    OpenRequest,
    Refuse,
    Status,
)
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_selection import TargetQuery, TargetSelector
from sequoiahook.decisions.exchange.retry import RetryBudget, RetryBudgetSettings
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.requests import NOT_RUN
from sequoiahook.world.routing import TargetService

__all__ = ["Attempts", "AttemptsSettings"]

HTTP_FAILURE_FROM = 500

Step = Attempt | Deliver | Hold | Refuse


class AttemptsSettings(NamedTuple):
    """Limits of attempts.

    Attributes:
        sendings_max: Most targets that one request is offered to.
        useful_ms: A request with less time left is not sent any more.
        failed_retry_ms: When to come back after targets could not be reached.
        retry_percent: Repeats for each hundred requests of a service; kept below the
            platform's ratio, since requests arrive at the windows unevenly.
    """

    sendings_max: int = 4
    useful_ms: int = 20
    failed_retry_ms: int = 100
    retry_percent: int = 15


class Attempts:
    """Decides on each step of open requests.

    Args:
        settings: The limits.
        admission: Checks of keys and rates.
        selector: The choice of targets.
        targets: The targets.
    """

    def __init__(
        self,
        settings: AttemptsSettings,
        admission: Admission,
        selector: TargetSelector,
        targets: TargetRegistry,
    ):
        self.retry_burst = 1
        self._settings = settings
        self._admission = admission
        self._selector = selector
        self._targets = targets
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def next_step(self, request: OpenRequest, now: int) -> Step:
        """Return the next attempt, or the end of the request."""
        left_ms = request.deadline_at - now
        if left_ms < self._settings.useful_ms:
            return self._end(request, Cause.DEADLINE, now)
        refusal = self._admission.is_still_allowed(request, now)
        if refusal is not None:
            return self._end_with(request, refusal, now)
        is_spent = request.run_count >= request.route.attempts_max
        if is_spent or len(request.records) >= self._settings.sendings_max:
            return self._end(request, Cause.FAILED, now)
        placement = self._selector.choose(self._target_query(request, left_ms), now)
        if placement.state is None:
            return self._end(request, placement.cause, now, placement.retry_after_ms)
        refusal = self._spend(request, now)
        if refusal is not None:
            return refusal
        return self._send(request, placement, left_ms, now)

    def may_write(self, attempt: Attempt, now: int) -> bool:
        """Decide right before the first byte whether a request goes to its target."""
        state = attempt.state
        known = self._targets.states_by_id.get(state.record.id)
        if known is not state or not self._targets.is_usable(state.record.id):
            return False
        if now >= attempt.request.deadline_at:
            return False
        return self._admission.is_still_allowed(attempt.request, now) is None

    def ended(self, attempt: Attempt, result: TargetResult, now: int) -> Step:
        """Take the end of an attempt and return the next step."""
        request = attempt.request
        self._learn(attempt, result, now)
        request.records[-1] = request.records[-1]._replace(
            stage=result.stage.value,
            status=result.status,
            duration_ms=result.duration_ms,
        )
        if result.stage not in _NEVER_ARRIVED:
            request.arrival_count += 1
        if result.stage.ran != NOT_RUN:
            request.run_count += 1
        if result.stage is Stage.ANSWERED:
            return self._answered(request, result, now)
        if result.stage.ran != NOT_RUN and not request.route.is_idempotent:
            return self._end(request, Cause.FAILED, now)
        return self.next_step(request, now)

    def abandoned(self, attempt: Attempt, result: TargetResult, now: int) -> None:
        """Take the end of an attempt whose caller has gone."""
        attempt.state.ended(result.stage, now)
        if result.stage.ran == NOT_RUN and not attempt.request.may_have_run:
            self._admission.refund(attempt.request, now)

    def _answered(self, request: OpenRequest, result: TargetResult, now: int) -> Step:
        is_failure = result.status >= HTTP_FAILURE_FROM
        if not is_failure or not request.route.is_idempotent:
            return Deliver(result)
        request.last_failure = result
        return self.next_step(request, now)

    def _spend(self, request: OpenRequest, now: int) -> Deliver | Hold | Refuse | None:
        """Take what an attempt costs; return the end of the request without it."""
        budget = self._budget(request.service, now)
        if not request.records:
            refusal = self._admission.spend(request, now)
            if refusal is None:
                budget.first_attempt()
                self._selector.home_shares.note_request(
                    request.service, self._selector.estimates.usual_ms(request.route)
                )
            return refusal
        if request.arrival_count and not budget.take(now):
            return self._end(request, Cause.BUDGET, now)
        return None

    def _send(self, request, placement, left_ms: int, now: int) -> Attempt:
        state = placement.state
        state.sent(now)
        self._selector.note_sent(placement, now)
        request.tried_ids.add(state.record.id)
        request.records.append(
            AttemptRecord(
                state.record.id,
                state.record.region,
                now - request.arrived_at,
                placement.expected_ms,
                placement.in_flight,
            )
        )
        return Attempt(request, state, placement.in_flight, left_ms)

    def _learn(self, attempt: Attempt, result: TargetResult, now: int) -> None:
        state = attempt.state
        is_back = state.ended(result.stage, now)
        if is_back:
            state.chill(self._service(attempt.request.service).cold_ms, now)
        if result.connect_ms is not None:
            self._selector.estimates.note_way(state.record.region, result.connect_ms)
        if result.open_count is not None:
            state.note_load(result.open_count, now)
        if result.stage is Stage.NOTHING_WRITTEN:
            return
        is_answer = result.stage is Stage.ANSWERED
        is_failure = not is_answer or result.status >= HTTP_FAILURE_FROM
        state.note_failure(is_failure, now)
        if is_answer and not is_failure and not state.is_cold(now):
            request = attempt.request
            self._selector.estimates.note_answer(
                request.route,
                request.incoming.object_key,
                state,
                attempt.in_flight,
                result.duration_ms,
                now,
            )

    def _end(
        self, request: OpenRequest, cause: str, now: int, retry_after_ms: int = 0
    ) -> Deliver | Refuse:
        """End a request without a further attempt; say truthfully whether it ran."""
        if request.last_failure is not None:
            return Deliver(request.last_failure)
        if not request.may_have_run:
            wait_ms = retry_after_ms or self._settings.failed_retry_ms
            refusal = Refuse(Status.UNAVAILABLE, cause, wait_ms)
            return self._end_with(request, refusal, now)
        is_late = now >= request.deadline_at - self._settings.useful_ms
        status = Status.GATEWAY_TIMEOUT if is_late else Status.BAD_GATEWAY
        return self._end_with(request, Refuse(status, cause), now)

    def _end_with(self, request: OpenRequest, refusal: Refuse, now: int) -> Refuse:
        if not request.may_have_run:
            if request.records:
                self._admission.refund(request, now)
            return refusal
        if refusal.status in (Status.BAD_GATEWAY, Status.GATEWAY_TIMEOUT):
            return refusal
        return Refuse(Status.BAD_GATEWAY, refusal.cause)

    def _target_query(self, request: OpenRequest, left_ms: int) -> TargetQuery:
        return TargetQuery(
            self._service(request.service),
            request.route,
            request.incoming.object_key,
            request.priority,
            request.regions,
            left_ms,
            frozenset(request.tried_ids),
        )

    def _service(self, name: str) -> TargetService:
        return self._admission.configuration.services_by_name.get(
            name, TargetService(name, "", 0, 0, 0.0)
        )

    def _budget(self, service: str, now: int) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            settings = RetryBudgetSettings(
                self._settings.retry_percent, 0, self.retry_burst
            )
            budget = self._budgets_by_service[service] = RetryBudget(settings, now)
        return budget


_NEVER_ARRIVED = frozenset(
    {Stage.CONNECT_REFUSED, Stage.CONNECT_TIMEOUT, Stage.NOTHING_WRITTEN}
)
