"""A target that states in an answer that it leaves gets no further requests."""

import pytest

from sequoiahook.decisions.direct.requests import Attempt
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.leaves import LeaveNotice
from sequoiahook.messages.reports import Datagram
from sequoiahook.platform.dialect import PlatformTargetDialect
from tests.direct_parts import a_target, an_instance
from tests.test_direct_attempts import a_core
from tests.test_target_rests import ANSWER, NOW, send, sent_to

LEAVING = TargetResult(Stage.ANSWERED, status=200, is_leaving=True)


def leave(core, result=LEAVING, now=NOW):
    """Let the owner of an object state that it leaves, and return its id."""
    attempt = send(core, now)
    step = core.attempts.on_ended(attempt, result, now)
    if isinstance(step, Attempt):
        core.attempts.on_ended(step, ANSWER, now)
    return attempt.state.record.id


@pytest.mark.parametrize(
    "result",
    [
        LEAVING,
        LEAVING._replace(status=500),
        LEAVING._replace(stage=Stage.SHED, status=503),
        LEAVING._replace(stage=Stage.ANSWER_TRUNCATED, status=0),
    ],
    ids=lambda result: f"{result.stage.value} {result.status}",
)
def test_no_request_is_sent_after_any_answer_that_states_it(result):
    core = a_core(targets=3)
    target_id = leave(core, result)
    assert target_id not in sent_to(core, NOW + 1)


def test_request_that_waits_for_a_connection_is_sent_elsewhere():
    core = a_core(targets=3)
    waiting = send(core, NOW)
    leave(core, now=NOW + 1)
    assert not core.attempts.may_write(waiting, NOW + 2)
    step = core.attempts.on_ended(waiting, TargetResult(Stage.NOTHING_WRITTEN), NOW + 2)
    assert step.state is not waiting.state


def test_leaving_outlasts_entries_that_list_the_target_as_ready():
    core = a_core(targets=3)
    target_id = leave(core)
    core.targets.put(a_target(target_id, slots=5), NOW + 10)
    core.targets.replace({f"t{i}": a_target(f"t{i}") for i in range(3)}, NOW + 20)
    assert target_id not in sent_to(core, NOW + 30)


def test_new_run_of_the_target_is_used():
    core = a_core(targets=3)
    target_id = leave(core)
    core.targets.put(a_target(target_id, started_at=2), NOW + 10)
    assert target_id in sent_to(core, NOW + 20)


def test_leaving_target_is_no_lost_capacity():
    core = a_core(targets=3)
    core.tick(NOW - 1_000)
    target_id = leave(core)
    core.tick(NOW + 1_000)
    core.targets.remove(target_id, NOW + 1_500)
    core.tick(NOW + 2_000)
    assert core.selector.lost_capacity.ratio(NOW + 2_000) == 0


def test_work_in_flight_at_a_leaving_target_is_delivered():
    core = a_core(targets=3)
    running = send(core, NOW)
    leave(core, now=NOW + 1)
    core.attempts.on_ended(running, ANSWER, NOW + 100)
    assert running.state.open_count == 0


def notices(core, now):
    return [
        message
        for message in core.token_requests(now)
        if isinstance(message.datagram.body, LeaveNotice)
    ]


def test_peers_are_told_once_and_act_on_it():
    core = a_core(targets=3)
    core.set_instances({name: an_instance(name) for name in ("me", "b", "c")}, NOW)
    target_id = leave(core)
    messages = notices(core, NOW + 1)
    assert {message.instance for message in messages} == {"b", "c"}
    assert notices(core, NOW + 2) == []
    peer = a_core(targets=3)
    datagram = Datagram("other", 5, 1, messages[0].datagram.body)
    peer.receive(datagram, NOW + 2)
    assert target_id not in sent_to(peer, NOW + 3)
    assert notices(peer, NOW + 4) == []


def test_notice_on_another_run_or_an_unknown_target_changes_nothing():
    peer = a_core(targets=1)
    for number, runs in enumerate(((("t0", 9),), (("unknown", 1),)), 1):
        peer.receive(Datagram("other", 5, number, LeaveNotice(runs)), NOW)
    assert "t0" in sent_to(peer, NOW + 1)


@pytest.mark.parametrize(
    ("status", "values", "is_leaving"),
    [
        (200, [b"1"], True),
        (503, [b" 1 "], True),
        (200, [], False),
        (200, [b"0"], False),
        (200, [b"yes"], False),
        (421, [b"1"], False),
    ],
)
def test_field_is_read_strictly_and_not_from_another_target(status, values, is_leaving):
    headers = [(b"server-leaving", value) for value in values]
    assert PlatformTargetDialect().is_leaving(status, headers) is is_leaving
