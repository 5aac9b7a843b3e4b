"""Connections to targets that failed are logged once a second, with the others."""

from sequoiahook.daemons.direct.decision_log import DecisionLog
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from tests.direct_parts import a_request
from tests.test_direct_attempts import a_core
from tests.test_direct_region_log import lines_of

MESSAGE = "connections to targets failed"


def end_attempt(core, result, now, **changes):
    request = core.admission.admit(a_request(**changes), now)
    attempt = core.attempts.next_step(request, now)
    core.attempts.on_ended(attempt, result, now)
    return attempt.state.record.id


def connect_lines(log, now):
    return [fields for message, fields in lines_of(log, now) if message == MESSAGE]


def test_line_tells_failed_connections_from_opened_ones():
    core = a_core(targets=3, now=4_000)
    log = DecisionLog(core, 0)
    failed = end_attempt(core, TargetResult(Stage.CONNECT_REFUSED), 4_700)
    answer = TargetResult(Stage.ANSWERED, status=200, connect_ms=1)
    end_attempt(core, answer, 4_800, object_key="another")
    (fields,) = connect_lines(log, 5_000)
    assert (fields["failed"], fields["names"]) == (1, [failed])
    assert (fields["connected"], fields["answered"]) == (1, 1)
    assert (fields["suspended"], fields["targets"]) == (1, 3)
    assert connect_lines(log, 6_100) == []


def test_answer_on_an_open_connection_is_no_opened_connection():
    core = a_core(targets=3, now=4_000)
    log = DecisionLog(core, 0)
    end_attempt(core, TargetResult(Stage.CONNECT_REFUSED), 4_700)
    end_attempt(core, TargetResult(Stage.ANSWERED, status=200), 4_800, object_key="b")
    (fields,) = connect_lines(log, 5_000)
    assert (fields["connected"], fields["answered"]) == (0, 1)
