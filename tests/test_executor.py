from random import Random

import pytest
from exchange_world import OnePool

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


def executor(**changes):
    part = Executor(ExecutorSettings(**changes), "b", 9, Random(1))
    part.set_pool("s", OnePool(1))
    return part


def hand_over(sequence, *, number=1, body=b"", attempt=1):
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


def run_whole(part, message, now):
    (write,) = part.received("a", message, now)
    assert isinstance(write, Write)
    assert part.may_write(message.id, now)
    (send,) = part.target_result(message.id, ANSWERED, now)
    return send.body


def test_outcome_is_sent_again_until_it_is_acknowledged():
    part = executor()
    outcome = run_whole(part, hand_over(1), 1)
    sent = []
    for now in range(1, 800):
        sent += [effect.body for effect in part.tick(now)]
    assert len(sent) == 2
    assert {(body.id, body.body) for body in sent} == {(outcome.id, b"whole")}
    part.received("a", OutcomeReceived(outcome.id), 800)
    assert part.open_count == 0
    assert part.tick(999) == []
    assert part.noted_count == 1
    part.tick(1501)
    assert part.noted_count == 0


def test_repeat_gets_the_same_outcome_and_does_not_run():
    part = executor()
    outcome = run_whole(part, hand_over(1), 1)
    (again,) = part.received("a", hand_over(1), 2)
    assert again.body._replace(stamp=outcome.stamp) == outcome


@pytest.mark.parametrize(
    ("sender_number", "own_number", "is_refused"),
    [(1, 2, True), (2, 2, True), (3, 2, False)],
)
def test_newer_configuration_decides_on_a_key(sender_number, own_number, is_refused):
    part = executor()
    part.configured(keys(own_number, is_withdrawn=True), 0)
    (effect,) = part.received("a", hand_over(1, number=sender_number), 1)
    assert isinstance(effect, Write) != is_refused
    if is_refused:
        assert (effect.body.ran, effect.body.reason) == ("not run", "key withdrawn")


def test_configuration_that_withdraws_a_key_empties_the_queue():
    part = executor()
    part.configured(keys(1, is_withdrawn=False), 0)
    part.received("a", hand_over(1), 1)
    assert part.received("a", hand_over(2), 1) == []
    (refused,) = part.configured(keys(2, is_withdrawn=True), 2)
    assert refused.body.id == hand_over(2).id
    assert refused.body.reason == Reason.KEY_WITHDRAWN
    assert part.configured(keys(1, is_withdrawn=False), 3) == []
    assert not part.may_write(hand_over(1).id, 3)


def test_bytes_of_open_hand_overs_are_bounded_and_returned():
    part = executor(body_bytes_max=10)
    part.received("a", hand_over(1, body=b"12345678"), 1)
    (refused,) = part.received("a", hand_over(2, body=b"123"), 1)
    assert (refused.body.ran, refused.body.reason) == ("not run", Reason.OVERLOADED)
    part.may_write(hand_over(1).id, 1)
    part.target_result(hand_over(1).id, ANSWERED, 1)
    part.received("a", hand_over(3, body=b"12345678"), 2)
    assert part.state(hand_over(3).id) is ExecutorState.CONNECTING


def test_pool_that_is_dropped_finishes_what_is_queued():
    part = executor()
    part.received("a", hand_over(1), 1)
    part.received("a", hand_over(2), 1)
    part.drop_pool("s")
    (refused,) = part.received("a", hand_over(3), 1)
    assert refused.body.reason == Reason.NO_POOL
    part.may_write(hand_over(1).id, 1)
    effects = part.target_result(hand_over(1).id, ANSWERED, 1)
    assert effects[-1].request_id == hand_over(2).id
