"""Limits that targets state: their header, the log, and the requests sent to them."""

import logbook
import pytest

from sequoiahook.daemons.direct.decision_log import DecisionLog
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import Attempt
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.platform.dialect import PlatformTargetDialect
from sequoiahook.world.target import StatedLimit
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_route,
    a_target,
    an_instance,
)
from tests.test_direct_attempts import SETTINGS

FIELD = b"server-limit"


def stated(*values, status=200):
    return PlatformTargetDialect().stated_limit(status, [(FIELD, v) for v in values])


def an_answer(limit):
    return TargetResult(Stage.ANSWERED, status=200, stated_limit=limit)


def a_core(count=1):
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    core.configure(a_configuration(1, (a_route(is_open=True),)), 0)
    core.targets.replace({f"t{i}": a_target(f"t{i}") for i in range(count)}, 0)
    return core


def exchange(core, now, limit, key="17"):
    request = core.admission.admit(a_request(object_key=key), now)
    attempt = core.attempts.next_step(request, now)
    if isinstance(attempt, Attempt):
        core.attempts.on_ended(attempt, an_answer(limit), now)


def limit_lines(decision_log, now):
    with logbook.TestHandler() as handler:
        decision_log.write(now)
    return [(r.message, r.extra) for r in handler.records if "limit" in r.message]


@pytest.mark.parametrize(
    ("value", "per_s"), [(b"5.6", 5.6), (b" 300 ", 300.0), (b"0.3", 0.3), (b"0", 0.0)]
)
def test_a_decimal_number_is_a_limit(value, per_s):
    assert stated(value) == StatedLimit(per_s)


@pytest.mark.parametrize(
    "value",
    [b"-1", b"", b"x", b"1e3", b"inf", b"nan", b"1.", b".5", b"+5", b"5 6", b"9999999"],
)
def test_an_invalid_field_is_no_limit(value):
    limit = stated(value)
    assert limit.per_s is None
    assert limit.invalid


def test_a_repeated_field_is_no_limit():
    assert stated(b"5", b"5") == StatedLimit(None, "5, 5")


def test_an_answer_of_another_target_states_nothing():
    assert stated(b"5", status=421) is None
    assert stated() == StatedLimit(None)


def test_limit_and_requests_sent_are_logged_once_a_second():
    core = a_core()
    decision_log = DecisionLog(core)
    for now in range(5_000, 9_000, 200):
        core.reports(now, includes_far=True)
        exchange(core, now, StatedLimit(5.6))
    sent = core.targets.states_by_id["t0"].sent_count
    assert 10 <= sent < 20
    [(message, fields)] = limit_lines(decision_log, 9_000)
    assert message == "limit of target"
    assert fields == {
        "target": "t0",
        "per_s": 5.6,
        "sent": sent,
        "age_ms": 200,
        "limiter": "me",
        "granted_share": 1.0,
    }
    assert limit_lines(decision_log, 9_100) == []
    exchange(core, 9_900, StatedLimit(None))
    [(message, fields)] = limit_lines(decision_log, 10_100)
    assert fields["per_s"] is None


def test_an_invalid_limit_is_logged_with_its_text():
    core = a_core()
    decision_log = DecisionLog(core)
    exchange(core, 5_000, StatedLimit(None, "-3"))
    [(message, fields)] = limit_lines(decision_log, 6_000)
    assert message == "limit of target invalid"
    assert fields["value"] == "-3"
    assert fields["age_ms"] is None


def test_lines_on_limits_are_bounded():
    core = a_core(count=60)
    decision_log = DecisionLog(core)
    for number in range(600):
        exchange(core, 5_000, StatedLimit(None, "x"), key=str(number))
    lines = limit_lines(decision_log, 6_000)
    assert len(lines) == 21
    assert lines[-1][0] == "limits of targets left out"
