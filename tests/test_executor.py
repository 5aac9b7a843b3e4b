from random import Random

import pytest
from exchange_simulation import FakePool

from sequoiahook.decisions.exchange.effects import Write
from sequoiahook.decisions.exchange.executor import Executor, ExecutorSettings
from sequoiahook.decisions.exchange.states import ExecutorState, Reason
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.keys import KeyTable
from sequoiahook.messages.requests import (
    HandOver,
    MessageId,
    OutcomeReceived,
    ReceiverStamp,
)
from sequoiahook.world.configuration import read_configuration
from sequoiahook.world.organisation import key_digest

ANSWERED = TargetResult(Stage.ANSWERED, 200, (), b"whole")


def new_executor(**changes):
    executor = Executor(ExecutorSettings(**changes), "b", 9, Random(1))
    executor.set_pool("s", FakePool(1))
    return executor


def handover(sequence, *, number=1, body=b"", attempt=1):
    return HandOver(
        id=MessageId("a", 1, sequence),
        service="s",
        organisation="o",
        key_name="k",
        configuration_number=number,
        method="POST",
        target_path="/",
        headers=(),
        body=body,
        remaining_ms=1000,
        idempotent=False,
        traceparent="",
        attempt=attempt,
        token_lease_ms=1000,
        stamp=ReceiverStamp(9, 0),
        stamp_age_ms=0,
    )


def keys(number, is_withdrawn):
    key = {"digest": key_digest("secret-1"), "withdrawn": is_withdrawn}
    organisation = {"rate_per_s": 1, "burst": 1, "keys_by_name": {"k": key}}
    document = {"organisations_by_name": {"o": organisation}}
    return KeyTable(read_configuration(number, document))


def run_to_answer(executor, message, now):
    (write,) = executor.received("a", message, now)
    assert isinstance(write, Write)
    assert executor.may_write(message.id, now)
    (send,) = executor.target_result(message.id, ANSWERED, now)
    return send.body


def test_outcome_is_sent_again_until_it_is_acknowledged():
    executor = new_executor()
    outcome = run_to_answer(executor, handover(1), 1)
    sent = []
    for now in range(1, 800):
        sent += [effect.body for effect in executor.tick(now)]
    assert len(sent) == 2
    assert {(body.id, body.body) for body in sent} == {(outcome.id, b"whole")}
    executor.received("a", OutcomeReceived(outcome.id), 800)
    assert executor.open_count == 0
    assert executor.tick(999) == []
    assert executor.known_id_count == 1
    executor.tick(1501)
    assert executor.known_id_count == 0


def test_repeated_handover_gets_the_same_outcome_and_does_not_run():
    executor = new_executor()
    outcome = run_to_answer(executor, handover(1), 1)
    (repeated,) = executor.received("a", handover(1), 2)
    assert repeated.body._replace(stamp=outcome.stamp) == outcome


@pytest.mark.parametrize(
    ("sender_number", "own_number", "is_refused"),
    [(1, 2, True), (2, 2, True), (3, 2, False)],
)
def test_key_is_checked_unless_the_sender_has_a_newer_configuration(
    sender_number, own_number, is_refused
):
    executor = new_executor()
    executor.apply_keys(keys(own_number, is_withdrawn=True), 0)
    (effect,) = executor.received("a", handover(1, number=sender_number), 1)
    assert isinstance(effect, Write) != is_refused
    if is_refused:
        assert (effect.body.ran, effect.body.reason) == ("not run", "key withdrawn")


def test_configuration_that_withdraws_a_key_refuses_queued_handovers():
    executor = new_executor()
    executor.apply_keys(keys(1, is_withdrawn=False), 0)
    executor.received("a", handover(1), 1)
    assert executor.received("a", handover(2), 1) == []
    (refused,) = executor.apply_keys(keys(2, is_withdrawn=True), 2)
    assert refused.body.id == handover(2).id
    assert refused.body.reason == Reason.KEY_WITHDRAWN
    assert executor.apply_keys(keys(1, is_withdrawn=False), 3) == []
    assert not executor.may_write(handover(1).id, 3)


def test_body_bytes_of_open_handovers_are_limited_and_released():
    executor = new_executor(body_bytes_max=10)
    executor.received("a", handover(1, body=b"12345678"), 1)
    (refused,) = executor.received("a", handover(2, body=b"123"), 1)
    assert (refused.body.ran, refused.body.reason) == ("not run", Reason.OVERLOADED)
    executor.may_write(handover(1).id, 1)
    executor.target_result(handover(1).id, ANSWERED, 1)
    executor.received("a", handover(3, body=b"12345678"), 2)
    assert executor.state(handover(3).id) is ExecutorState.CONNECTING


def test_dropped_pool_still_runs_its_queued_handovers():
    executor = new_executor()
    executor.received("a", handover(1), 1)
    executor.received("a", handover(2), 1)
    executor.drop_pool("s")
    (refused,) = executor.received("a", handover(3), 1)
    assert refused.body.reason == Reason.NO_POOL
    executor.may_write(handover(1).id, 1)
    effects = executor.target_result(handover(1).id, ANSWERED, 1)
    assert effects[-1].request_id == handover(2).id
