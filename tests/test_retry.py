import pytest

from sequoiahook.decisions.exchange.retry import (
    RetryBudget,
    RetryBudgetSettings,
    SuspensionSettings,
    TargetMode,
    TargetSuspension,
    is_safe_to_retry,
)
from sequoiahook.decisions.exchange.target_result import Stage

SAFE = {"connect refused", "connect timeout", "nothing written", "shed by the target"}


@pytest.mark.parametrize("stage", Stage)
def test_only_stages_that_prove_not_run_are_safe_to_retry(stage):
    assert is_safe_to_retry(stage) == (stage.value in SAFE)


def test_budget_is_a_share_of_first_attempts_plus_a_minimum_rate():
    budget = RetryBudget(RetryBudgetSettings(10, 1, 20), now=0)
    assert budget.try_spend(0)
    assert not budget.try_spend(999)
    for _ in range(100):
        budget.record_first_attempt()
    assert sum(budget.try_spend(999) for _ in range(50)) == 10
    assert sum(budget.try_spend(100_000) for _ in range(50)) == 20


def test_refused_connections_suspend_for_growing_durations():
    suspension = TargetSuspension(SuspensionSettings(100, 200, 350, 500))
    now = 0
    for duration_ms in (100, 200, 350, 350):
        suspension.record_sent(now)
        suspension.record_result(Stage.CONNECT_REFUSED, now)
        assert not suspension.may_send(now + duration_ms - 1)
        now += duration_ms
        assert suspension.mode(now) is TargetMode.ON_TRIAL
    suspension.record_sent(now)
    assert not suspension.may_send(now)
    suspension.record_result(Stage.ANSWERED, now)
    suspension.record_result(Stage.CONNECT_REFUSED, now)
    assert suspension.may_send(now + 100)


def test_transient_failures_suspend_only_after_the_grace_period():
    suspension = TargetSuspension(SuspensionSettings(100, 200, 350, 500))
    suspension.record_result(Stage.WRITTEN_NO_ANSWER, 0)
    suspension.record_result(Stage.WRITTEN_NO_ANSWER, 499)
    assert suspension.mode(499) is TargetMode.FAILING
    suspension.record_result(Stage.ANSWERED, 499)
    suspension.record_result(Stage.WRITTEN_NO_ANSWER, 500)
    assert suspension.may_send(500)
    suspension.record_result(Stage.WRITTEN_NO_ANSWER, 1000)
    assert not suspension.may_send(1000)


def test_shed_trial_leaves_the_target_on_trial():
    suspension = TargetSuspension(SuspensionSettings(100, 200, 350, 500))
    suspension.record_result(Stage.CONNECT_REFUSED, 0)
    suspension.record_sent(100)
    suspension.record_result(Stage.SHED, 110)
    assert suspension.mode(110) is TargetMode.ON_TRIAL
