"""What the results of attempts show about targets and the paths to them."""

from sequoiahook.decisions.direct.admission import Admission
from sequoiahook.decisions.direct.fleet import Fleet
from sequoiahook.decisions.direct.placements import target_query
from sequoiahook.decisions.direct.requests import Attempt
from sequoiahook.decisions.direct.target_selection import TargetSelector
from sequoiahook.decisions.direct.target_state import (
    CONNECT_FAILED_STAGES,
    REACHED_STAGES,
    TargetState,
)
from sequoiahook.decisions.exchange.target_result import (
    Stage,
    StreamEnd,
    TargetResult,
)
from sequoiahook.world.target import StatedRest

__all__ = ["FAILURE_STATUS_MIN", "AttemptResults"]

FAILURE_STATUS_MIN = 500


class AttemptResults:
    """Records the results of attempts.

    Args:
        admission: Holds the services of the configuration in force.
        selector: Holds the estimates of response times.
        fleet: Holds what instances tell each other about targets.
    """

    def __init__(self, admission: Admission, selector: TargetSelector, fleet: Fleet):
        self._admission = admission
        self._selector = selector
        self._permits = fleet.permits
        self._suspects = fleet.suspects
        self._connectivity = fleet.connectivity
        self._leaves = fleet.leaves

    def record(self, attempt: Attempt, result: TargetResult, now: int) -> None:
        """Record what a result shows about the target."""
        state = attempt.state
        self._selector.record_ended(attempt)
        self._record_connection(state, result, now)
        if self._connectivity.is_lost and result.stage not in REACHED_STAGES:
            # The network path failed, whatever the target did.
            state.on_ended(Stage.NOTHING_WRITTEN, now)
            return
        has_recovered = state.on_ended(result.stage, now)
        if has_recovered:
            state.mark_cold(
                self._admission.service(attempt.request.service).cold_ms, now
            )
        self._record_statements(attempt, result, now)
        if result.stage is Stage.NOTHING_WRITTEN:
            return
        is_answer = result.stage is Stage.ANSWERED
        is_failure = not is_answer or result.status >= FAILURE_STATUS_MIN
        state.record_outcome(is_failure, now)
        if is_answer and not is_failure and not state.is_cold(now):
            request = attempt.request
            service = self._admission.service(request.service)
            query = target_query(request, service, request.deadline_at - now)
            self._selector.record_answer(attempt, query, result.duration_ms, now)
            self._selector.answer_sizes.record(request.route, result.body_bytes)

    def record_stream_end(self, attempt: Attempt, end: StreamEnd, now: int) -> None:
        """Record the end of a body that was passed on while it was received.

        The target's work ended with the first byte of the answer; a caller that reads
        slowly takes no slot from others.
        """
        if end in (StreamEnd.BROKEN, StreamEnd.TIMED_OUT):
            attempt.state.record_outcome(True, now)

    def _record_statements(
        self, attempt: Attempt, result: TargetResult, now: int
    ) -> None:
        """Record what the answer states about the target."""
        state = attempt.state
        if result.is_leaving:
            self._leaves.record_answer(state.record.id, state.record.started_at)
        if result.load is not None:
            self._selector.record_load(state, result.load, now)
        if result.stated_limit is not None:
            state.stated_limit = result.stated_limit
            sent_at = attempt.request.last_sent_at
            self._permits.limits.record_answer(state, result, sent_at, now)
        if result.stated_rest != _NO_REST:
            state.record_rest(result.stated_rest, now)

    def _record_connection(
        self, state: TargetState, result: TargetResult, now: int
    ) -> None:
        if result.connect_ms is not None:
            self._connectivity.record_connected(state, now)
            self._selector.estimates.record_connect(
                state.record.region, result.connect_ms
            )
        elif result.stage in REACHED_STAGES:
            self._connectivity.record_answered()
        elif result.stage in CONNECT_FAILED_STAGES:
            self._connectivity.record_failed(state, now)

    def record_evidence(self, attempt: Attempt, result: TargetResult, now: int) -> None:
        """Record whether the target ended or survived the request."""
        request = attempt.request
        if result.is_lost and not self._connectivity.is_lost:
            request.lost_count += 1
            self._suspects.record_lost(attempt, now)
        elif result.stage in (Stage.ANSWERED, Stage.ANSWER_TRUNCATED):
            attempt.state.answered_request_sent_at = request.last_sent_at
            self._suspects.record_answered(request, now)


_NO_REST = StatedRest()
