"""Requests that are refused together return one after the other."""

from itertools import pairwise

import pytest
from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.requests import Attempt, Cause
from sequoiahook.decisions.direct.turns import TurnRequest, Turns, TurnSettings
from tests.direct_parts import a_request
from tests.test_direct_attempts import a_core

SETTINGS = TurnSettings()


def turns_with_spacing(spacing_ms):
    turns = Turns(SETTINGS)
    for at in range(0, 100 * spacing_ms, spacing_ms):
        turns.record_start("s", at)
    return turns, 100 * spacing_ms


def test_turns_are_spaced_as_starts_and_begin_when_capacity_is_expected():
    """Guards against callers that return together."""
    turns, now = turns_with_spacing(20)
    wanted = TurnRequest("s", 30, 3_000)
    waits = [turns.retry_after_ms(wanted, now) for _ in range(20)]
    assert waits[0] == 30
    assert all(19 <= b - a <= 21 for a, b in pairwise(waits))


def test_turns_that_have_passed_are_not_waited_for():
    turns, now = turns_with_spacing(20)
    wanted = TurnRequest("s", 30, 3_000)
    for _ in range(10):
        turns.retry_after_ms(wanted, now)
    assert turns.retry_after_ms(wanted, now + 1_000) == 30


def test_late_turns_are_spread_over_the_second_half_of_a_third():
    turns, now = turns_with_spacing(100)
    wanted = TurnRequest("s", 30, 3_000)
    waits = [turns.retry_after_ms(wanted, now) for _ in range(210)]
    late = sorted(waits[10:])
    assert late[0] >= 500 and late[-1] <= 1_000
    assert max(b - a for a, b in pairwise(late)) <= 10


@given(
    st.lists(
        st.tuples(st.integers(0, 5_000), st.integers(0, 5_000), st.integers(0, 50))
    )
)
def test_no_turn_is_later_than_a_third_of_the_time_left(calls):
    turns, now = Turns(SETTINGS), 0
    for capacity_after_ms, left_ms, elapsed_ms in calls:
        now += elapsed_ms
        wait_ms = turns.retry_after_ms(
            TurnRequest("s", capacity_after_ms, left_ms), now
        )
        assert 1 <= wait_ms <= max(1, left_ms // 3)


def test_lines_are_bounded():
    turns = Turns(TurnSettings(lines_max=10))
    for line in range(100):
        turns.record_start(line, 0)
        turns.retry_after_ms(TurnRequest(line, 500, 9_000), 0)
    assert len(turns._last_by_line) <= 10
    assert len(turns._starts_by_line) <= 10


def a_step(core):
    return core.attempts.next_step(core.admission.admit(a_request(), 0), 0)


@pytest.mark.parametrize("is_short", [False, True])
def test_turns_are_given_only_while_a_service_is_short_of_capacity(is_short):
    """Refusals of a service that is not short keep the estimated time, as before."""
    core = a_core(targets=1)
    while isinstance(step := a_step(core), Attempt):
        pass
    if is_short:
        core.fleet.shares.set_ratios("s", {}, 0)
    else:
        for _ in range(1_000):
            core.fleet.shares.record_offered("s", "one", 1, 0)
    steps = [step, *(a_step(core) for _ in range(8))]
    assert {step.cause for step in steps} == {Cause.TARGETS_FULL}
    waits = [step.retry_after_ms for step in steps[1:]]
    assert (len(set(waits)) > 1) == is_short
