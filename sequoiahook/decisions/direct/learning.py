"""What answers of paced targets show about work, targets and objects."""

from sequoiahook.decisions.direct.estimates import Estimates
from sequoiahook.decisions.direct.placements import TargetQuery
from sequoiahook.decisions.direct.target_backlog import OpenWork
from sequoiahook.decisions.direct.target_selection_settings import PacedSettings
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.direct.work_estimates import WorkEstimates

__all__ = ["Learning"]

PLAUSIBLE_RATIO_MIN = 0.1
"""An answer in less of the expected time shows that the stated pace is wrong, and not
how much work its request needed."""


class Learning:
    """Updates the estimates from answers.

    Args:
        settings: Settings for services whose targets state their pace.
        estimates: Response times by route and target.
        work: Expected work of requests.
    """

    def __init__(
        self, settings: PacedSettings, estimates: Estimates, work: WorkEstimates
    ):
        self._settings = settings
        self._estimates = estimates
        self._work = work

    def record_answer(
        self,
        state: TargetState,
        work: OpenWork,
        query: TargetQuery,
        duration_ms: int,
        now: int,
    ) -> None:
        """Update the estimates from the duration of an answer.

        Args:
            state: The target.
            work: The work that the request was expected to need.
            query: Properties of the request.
            duration_ms: Time from the first byte written to the end of the answer.
            now: The time in milliseconds.
        """
        elapsed_ms = max(1, duration_ms - self._estimates.round_trip_ms(state))
        # The answer shows the pace at its end; the work took place at both.
        pace_factor = (work.pace_factor + state.pace_factor(now)) / 2
        paced_ms = work.mean_ms * pace_factor
        expected_ms = max(1.0, work.start_ms + paced_ms)
        ratio = elapsed_ms / expected_ms
        work_ms = work.mean_ms * ratio
        self._estimates.record_handled(query.route, query.object_key, state, now)
        if pace_factor > 1 and ratio < PLAUSIBLE_RATIO_MIN:
            return
        if work.is_known or not work.is_cached:
            weight = paced_ms / expected_ms
            self._work.record(query, work_ms, weight, is_cached=work.is_known)
        if work.is_known:
            state.record_slowness(min(ratio, self._settings.slowness_max), now)
            self._estimates.record_work(query.route, work_ms)
