"""The list of targets: leaving, lapsed, restarted and evacuated ones."""

from sequoiahook.decisions.direct.target_registry import (
    TargetRegistry,
    TargetRegistrySettings,
)
from sequoiahook.decisions.exchange.target_result import Stage
from tests.direct_parts import a_target

REMOVAL_GRACE_MS = TargetRegistrySettings().removal_grace_ms


def usable(book):
    return {state.record.id for state in book.group("s", "north")}


def a_book(*records, now=0):
    book = TargetRegistry(TargetRegistrySettings())
    book.replace({record.id: record for record in records}, now)
    return book


def test_a_draining_target_gets_nothing_from_that_moment():
    book = a_book(a_target("t1"), a_target("t2"))
    book.put(a_target("t1", is_draining=True), 5)
    assert usable(book) == {"t2"}
    assert not book.is_usable("t1")


def test_a_target_that_left_the_list_is_gone_at_once():
    book = a_book(a_target("t1"), a_target("t2"))
    book.remove("t1", 5)
    assert usable(book) == {"t2"}


def test_entries_that_lapsed_with_the_platform_are_kept_until_they_can_be_back():
    book = a_book(a_target("t1"), a_target("t2"))
    book.platform_regained(1_000)
    book.replace({}, 1_000)
    assert usable(book) == {"t1", "t2"}
    book.put(a_target("t1"), 1_500)
    assert book.tick(1_000 + REMOVAL_GRACE_MS) == ["t2"]
    assert usable(book) == {"t1"}


def test_a_removal_long_after_the_return_counts_at_once():
    book = a_book(a_target("t1"))
    book.platform_regained(1_000)
    book.remove("t1", 1_000 + REMOVAL_GRACE_MS)
    assert usable(book) == set()


def test_a_target_that_starts_again_under_its_id_is_a_new_one():
    book = a_book(a_target("t1"))
    book.states_by_id["t1"].note_slowness(20, 0)
    book.put(a_target("t1", started=2), 10)
    assert book.states_by_id["t1"].slowness(10) == 1.0


def test_an_evacuated_data_centre_gets_nothing_and_returns_cold():
    book = a_book(a_target("t1"), a_target("t2", data_centre="north-b"))
    book.set_evacuated({"north-a"}, {"s": 3_000}, 0)
    assert usable(book) == {"t2"}
    book.set_evacuated((), {"s": 3_000}, 5_000)
    assert usable(book) == {"t1", "t2"}
    assert book.states_by_id["t1"].is_cold(7_999)
    assert not book.states_by_id["t1"].is_cold(8_000)
    assert not book.states_by_id["t2"].is_cold(5_000)


def test_a_target_that_cannot_be_reached_is_left_alone_for_a_while():
    book = a_book(a_target("t1"))
    state = book.states_by_id["t1"]
    state.sent(0)
    assert not state.ended(Stage.CONNECT_REFUSED, 0)
    assert not state.may_send(10)
    assert state.may_send(400)
    state.sent(400)
    assert state.ended(Stage.ANSWERED, 500)


def test_a_peer_that_fell_silent_is_not_counted_for_ever():
    book = a_book(a_target("t1"))
    state = book.states_by_id["t1"]
    state.note_peer("p", 5, 0)
    assert state.in_flight(500) == 5
    assert state.in_flight(5_000) == 0
