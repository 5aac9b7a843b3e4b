"""Callers that leave while a target runs their request."""

import pytest
from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.requests import Attempt
from sequoiahook.decisions.direct.target_state import TargetSettings
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from tests.direct_parts import a_request
from tests.test_direct_attempts import a_core

GRACE_MS = TargetSettings().suspension.grace_ms
SUSPENSION_MAX_MS = TargetSettings().suspension.maximum_ms
ABANDONED_STAGES = (
    Stage.CONNECT_TIMEOUT,
    Stage.NOTHING_WRITTEN,
    Stage.PARTLY_WRITTEN,
)
"""Stages of an exchange that was cancelled; see `TargetExchange.stage`."""

stages = st.sampled_from(ABANDONED_STAGES)


class Callers:
    """Callers of an instance with a few targets.

    Attributes:
        now: The time in milliseconds.
    """

    def __init__(self, targets=4):
        self.now = 0
        self._core = a_core(targets=targets)
        self._states = self._core.targets.states_by_id.values()

    def wait(self, duration_ms):
        self.now += duration_ms
        self._core.freshness.confirm(self.now)

    def send(self):
        request = self._core.admission.admit(a_request(), self.now)
        attempt = self._core.attempts.next_step(request, self.now)
        assert isinstance(attempt, Attempt)
        return attempt

    def leave(self, attempt, stage):
        result = TargetResult(stage)
        self._core.attempts.on_abandoned(attempt, result, self.now)

    def refuse(self, attempt):
        result = TargetResult(Stage.CONNECT_REFUSED)
        self._core.attempts.on_ended(attempt, result, self.now)

    def usable_ids(self):
        return [state.record.id for state in self._states if state.may_send(self.now)]


@given(
    visits=st.lists(
        st.tuples(st.integers(0, 400), st.integers(0, GRACE_MS - 1), stages),
        max_size=40,
    )
)
def test_callers_that_leave_early_suspend_no_target(visits):
    """A crowd that left within 40 ms had all targets suspended for all callers."""
    callers = Callers()
    for pause_ms, stay_ms, stage in visits:
        callers.wait(pause_ms)
        attempt = callers.send()
        callers.wait(stay_ms)
        callers.leave(attempt, stage)
    assert len(callers.usable_ids()) == 4


@pytest.mark.parametrize("stage", ABANDONED_STAGES)
def test_abandoned_trial_leaves_the_next_caller_a_trial(stage):
    """Each abandoned trial had the target suspended for longer."""
    callers = Callers(targets=1)
    callers.refuse(callers.send())
    assert not callers.usable_ids()
    callers.wait(SUSPENSION_MAX_MS)
    for _ in range(5):
        trial = callers.send()
        assert not callers.usable_ids()
        callers.wait(GRACE_MS - 1)
        callers.leave(trial, stage)
        assert callers.usable_ids()


def test_target_that_answers_nobody_is_suspended():
    """Callers that have waited long enough show that a target does not answer."""
    callers = Callers(targets=1)
    for _ in range(2):
        attempt = callers.send()
        expected_ms = attempt.request.records[-1].expected_ms
        callers.wait(expected_ms + GRACE_MS)
        callers.leave(attempt, Stage.PARTLY_WRITTEN)
    assert not callers.usable_ids()
