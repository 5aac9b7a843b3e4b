from random import Random

import pytest

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import Commit, Refusal, Release, Reserve
from sequoiahook.decisions.exchange.entry import (
    AdmittedRequest,
    EntryExchanges,
    EntrySettings,
)
from sequoiahook.decisions.exchange.retry import RetryBudgetSettings
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.messages.requests import (
    HandOver,
    Outcome,
    ReceiverStamp,
    StampGrant,
    StampRequest,
)

STAMP = ReceiverStamp(9, 500)


def request(number, *, idempotent=False, body=b""):
    return AdmittedRequest(
        number=number,
        reservation=number,
        service="s",
        organisation="o",
        key_name="k",
        configuration_number=1,
        method="GET" if idempotent else "POST",
        target_path="/",
        headers=(),
        body=body,
        deadline_ms=1000,
        idempotent=idempotent,
        traceparent="",
        token_lease_ms=1000,
    )


def entry(stamps="ab", **changes):
    exchanges = EntryExchanges(EntrySettings(**changes), "a", 1, Random(1))
    for name in stamps:
        exchanges.received(name, StampGrant(STAMP), 0)
    return exchanges


def hand_over(effects):
    (send,) = [e for e in effects if isinstance(e, Send)]
    assert isinstance(send.body, HandOver)
    return send


def outcome(send, ran, reason="", retry_after_ms=0):
    message_id = send.body.id
    return Outcome(message_id, ran, 0, (), b"", reason, retry_after_ms, STAMP)


def test_not_run_goes_to_the_next_place_with_the_same_right():
    exchanges = entry()
    first = hand_over(exchanges.admit(request(1), ("a", "b"), 0))
    effects = exchanges.received("a", outcome(first, "not run", "full"), 5)
    second = hand_over(effects[1:])
    assert (first.destination, second.destination) == ("a", "b")
    assert first.body.id != second.body.id
    effects = exchanges.received("b", outcome(second, "not run", "full", 100), 6)
    assert effects[1] == Release(1)
    assert (effects[2].ran, effects[2].cause) == ("not run", "full")
    assert 100 <= effects[2].retry_after_ms <= 120


def test_withdrawn_key_is_not_tried_elsewhere():
    exchanges = entry()
    send = hand_over(exchanges.admit(request(1), ("a", "b"), 0))
    withdrawn = outcome(send, "not run", Reason.KEY_WITHDRAWN)
    _, released, refusal = exchanges.received("a", withdrawn, 5)
    assert released == Release(1)
    assert refusal.status == 401


def test_idempotent_request_runs_again_only_with_another_right():
    exchanges = entry()
    send = hand_over(exchanges.admit(request(1, idempotent=True), ("a", "b"), 0))
    effects = exchanges.received("a", outcome(send, "unknown", "no answer"), 5)
    assert effects[1:] == [Commit(1), Reserve(1, "o")]
    again = hand_over(exchanges.reserved(1, 77, 500, 6))
    assert again.destination == "b"
    assert exchanges.reserved(1, 78, 500, 6) == [Release(78)]


def test_request_without_another_right_says_why_it_failed_and_unknown():
    exchanges = entry()
    send = hand_over(exchanges.admit(request(1, idempotent=True), ("a",), 0))
    exchanges.received("a", outcome(send, "unknown", "no answer"), 5)
    (refusal,) = exchanges.not_reserved(1, 0, 6)
    assert (refusal.ran, refusal.cause) == ("unknown", "no answer")


def test_retries_stay_within_the_budget():
    exchanges = entry(budget=RetryBudgetSettings(10, 0, 100))
    retried = 0
    for number in range(200):
        send = hand_over(exchanges.admit(request(number), ("a", "b"), 0))
        effects = exchanges.received("a", outcome(send, "not run", "full"), 1)
        retried += not any(isinstance(e, Refusal) for e in effects)
    assert retried == 20


def test_second_copy_that_was_not_written_proves_nothing():
    exchanges = entry()
    send = hand_over(exchanges.admit(request(1), ("a", "b"), 0))
    exchanges.peer_lost("a", 1)
    resent, asked = exchanges.peer_up("a", 2)
    assert resent.body.id == send.body.id
    assert asked == Send("a", StampRequest())
    assert exchanges.send_failed(send.body.id, 3) == []
    only = hand_over(exchanges.admit(request(2), ("b",), 3))
    released, refusal = exchanges.send_failed(only.body.id, 3)
    assert released == Release(2)
    assert refusal.ran == "not run"


def test_place_that_gives_no_stamp_is_left_for_the_next():
    exchanges = entry(stamps="b")
    assert exchanges.admit(request(1), ("a", "b"), 0) == [Send("a", StampRequest())]
    effects = []
    for now in range(0, 500, 10):
        effects += exchanges.tick(now)
    assert effects[0] == Send("a", StampRequest())
    assert effects[-1].destination == "b"


@pytest.mark.parametrize(
    ("changes", "places", "cause"),
    [
        ({"requests_max": 0}, ("a",), Reason.OVERLOADED),
        ({"body_bytes_max": 9}, ("a",), Reason.OVERLOADED),
        ({}, (), Reason.NO_PLACE),
    ],
)
def test_request_that_cannot_go_is_refused_at_once(changes, places, cause):
    exchanges = entry(**changes)
    released, refusal = exchanges.admit(request(1, body=b"0123456789"), places, 0)
    assert released == Release(1)
    assert (refusal.ran, refusal.cause) == ("not run", cause)
    assert exchanges.open_count == 0


def test_bytes_of_answered_requests_are_free_again():
    exchanges = entry(body_bytes_max=10)
    for number in range(3):
        send = hand_over(exchanges.admit(request(number, body=b"12345678"), ("a",), 0))
        effects = exchanges.received("a", outcome(send, "not run", "full"), 1)
        assert effects[1] == Release(number)
