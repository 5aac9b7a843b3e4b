"""What targets state about rest is read strictly, and logged."""

import pytest

from sequoiahook.daemons.direct.decision_log import DecisionLog
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.platform.dialect import PlatformTargetDialect
from sequoiahook.world.target import StatedRest
from tests.test_connect_log import end_attempt
from tests.test_direct_attempts import a_core
from tests.test_direct_region_log import lines_of


def stated(*values, status=503):
    headers = [(b"retry-after", value) for value in values]
    return PlatformTargetDialect().stated_rest(status, headers)


@pytest.mark.parametrize(
    ("value", "duration_ms"),
    [(b"3", 3_000), (b"0.25", 250), (b" 1.5 ", 1_500), (b"0", 0), (b"3600", 3_600_000)],
)
def test_valid_rest_is_read_in_whole_and_fractional_seconds(value, duration_ms):
    assert stated(value) == StatedRest(duration_ms)


@pytest.mark.parametrize(
    "values",
    [
        (b"-1",),
        (b"nan",),
        (b"inf",),
        (b"1e3",),
        (b"",),
        (b"3 s",),
        (b"3601",),
        (b"99999999999",),
        (b"1", b"2"),
        (b"Wed, 21 Oct 2026 07:28:00 GMT",),
        (b"x" * 5_000,),
    ],
)
def test_malformed_rest_is_none_and_keeps_a_bounded_text(values):
    rest = stated(*values)
    assert rest.duration_ms == 0
    assert 0 < len(rest.invalid) <= 40


@pytest.mark.parametrize("status", [200, 421, 429, 500])
def test_field_of_other_answers_asks_for_no_rest(status):
    assert stated(b"3", status=status) == StatedRest()


def test_rests_are_logged_at_most_once_a_second_for_each_target():
    core = a_core(targets=1, now=4_000)
    log = DecisionLog(core, 0)
    rest = TargetResult(Stage.SHED, status=503, stated_rest=StatedRest(3_000))
    target_id = end_attempt(core, rest, 4_500)
    lines = [f for event, f in lines_of(log, 5_000) if event == "target asks for rest"]
    assert lines == [{"target": target_id, "answers": 1, "sent": 1, "rest_ms": 3_000}]
    assert not [f for event, f in lines_of(log, 6_100) if "rest" in event]
