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


def new_entry(stamps="ab", **changes):
    entry = EntryExchanges(EntrySettings(**changes), "a", 1, Random(1))
    for name in stamps:
        entry.received(name, StampGrant(STAMP), 0)
    return entry


def sent_handover(effects):
    (send,) = [e for e in effects if isinstance(e, Send)]
    assert isinstance(send.body, HandOver)
    return send


def outcome(send, ran, reason="", retry_after_ms=0):
    message_id = send.body.id
    return Outcome(message_id, ran, 0, (), b"", reason, retry_after_ms, STAMP)


def test_request_not_run_goes_to_the_next_candidate_with_the_same_right():
    entry = new_entry()
    first = sent_handover(entry.admit(request(1), ("a", "b"), 0))
    effects = entry.received("a", outcome(first, "not run", "full"), 5)
    second = sent_handover(effects[1:])
    assert (first.destination, second.destination) == ("a", "b")
    assert first.body.id != second.body.id
    effects = entry.received("b", outcome(second, "not run", "full", 100), 6)
    assert effects[1] == Release(1)
    assert (effects[2].ran, effects[2].cause) == ("not run", "full")
    assert 100 <= effects[2].retry_after_ms <= 120


def test_withdrawn_key_is_not_tried_elsewhere():
    entry = new_entry()
    send = sent_handover(entry.admit(request(1), ("a", "b"), 0))
    withdrawn = outcome(send, "not run", Reason.KEY_WITHDRAWN)
    _, released, refusal = entry.received("a", withdrawn, 5)
    assert released == Release(1)
    assert refusal.status == 401


def test_idempotent_request_runs_again_only_with_another_right():
    entry = new_entry()
    send = sent_handover(entry.admit(request(1, idempotent=True), ("a", "b"), 0))
    effects = entry.received("a", outcome(send, "unknown", "no answer"), 5)
    assert effects[1:] == [Commit(1), Reserve(1, "o")]
    again = sent_handover(entry.reserved(1, 77, 500, 6))
    assert again.destination == "b"
    assert entry.reserved(1, 78, 500, 6) == [Release(78)]


@pytest.mark.parametrize("status", [0, 99, 101, 600, 999])
@pytest.mark.parametrize("idempotent", [False, True])
def test_invalid_status_from_an_older_executor_is_no_answer(status, idempotent):
    entry = new_entry()
    handover = request(1, idempotent=idempotent)
    send = sent_handover(entry.admit(handover, ("a",), 0))
    effects = entry.received("a", outcome(send, "ran")._replace(status=status), 5)
    assert effects[1] == Commit(1)
    if idempotent:
        assert effects[2] == Reserve(1, "o")
        effects = [*effects[:2], *entry.not_reserved(1, 0, 6)]
    refusal = effects[2]
    assert (refusal.status, refusal.ran) == (502, "unknown")
    assert refusal.cause == Reason.INVALID_ANSWER


def test_request_without_another_right_is_refused_with_its_first_failure():
    entry = new_entry()
    send = sent_handover(entry.admit(request(1, idempotent=True), ("a",), 0))
    entry.received("a", outcome(send, "unknown", "no answer"), 5)
    (refusal,) = entry.not_reserved(1, 0, 6)
    assert (refusal.ran, refusal.cause) == ("unknown", "no answer")


def test_retries_stay_within_the_budget():
    entry = new_entry(budget=RetryBudgetSettings(10, 0, 100))
    retried_count = 0
    for number in range(200):
        send = sent_handover(entry.admit(request(number), ("a", "b"), 0))
        effects = entry.received("a", outcome(send, "not run", "full"), 1)
        retried_count += not any(isinstance(e, Refusal) for e in effects)
    assert retried_count == 20


def test_unsent_second_copy_does_not_prove_that_a_request_never_ran():
    entry = new_entry()
    send = sent_handover(entry.admit(request(1), ("a", "b"), 0))
    entry.peer_lost("a", 1)
    resent, stamp_request = entry.peer_up("a", 2)
    assert resent.body.id == send.body.id
    assert stamp_request == Send("a", StampRequest())
    assert entry.send_failed(send.body.id, 3) == []
    only = sent_handover(entry.admit(request(2), ("b",), 3))
    released, refusal = entry.send_failed(only.body.id, 3)
    assert released == Release(2)
    assert refusal.ran == "not run"


def test_candidate_that_gives_no_stamp_is_skipped():
    entry = new_entry(stamps="b")
    assert entry.admit(request(1), ("a", "b"), 0) == [Send("a", StampRequest())]
    effects = []
    for now in range(0, 500, 10):
        effects += entry.tick(now)
    assert effects[0] == Send("a", StampRequest())
    assert effects[-1].destination == "b"


@pytest.mark.parametrize(
    ("changes", "candidates", "cause"),
    [
        ({"requests_max": 0}, ("a",), Reason.OVERLOADED),
        ({"body_bytes_max": 9}, ("a",), Reason.OVERLOADED),
        ({}, (), Reason.NO_CANDIDATE),
    ],
)
def test_request_that_cannot_be_handed_over_is_refused_at_once(
    changes, candidates, cause
):
    entry = new_entry(**changes)
    released, refusal = entry.admit(request(1, body=b"0123456789"), candidates, 0)
    assert released == Release(1)
    assert (refusal.ran, refusal.cause) == ("not run", cause)
    assert entry.open_count == 0


def test_body_bytes_of_closed_requests_are_released():
    entry = new_entry(body_bytes_max=10)
    for number in range(3):
        send = sent_handover(entry.admit(request(number, body=b"12345678"), ("a",), 0))
        effects = entry.received("a", outcome(send, "not run", "full"), 1)
        assert effects[1] == Release(number)
