"""The target registry: removed, expired, restarted and evacuated targets."""

from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.target_registry import (
    TargetRegistry,
    TargetRegistrySettings,
)
from sequoiahook.decisions.direct.target_state import TargetSettings, TargetState
from sequoiahook.decisions.exchange.target_result import Stage
from tests.direct_parts import a_target

REMOVAL_GRACE_MS = TargetRegistrySettings().removal_grace_ms


def usable(registry):
    return {state.record.id for state in registry.group("s", "north")}


def a_registry(*records, now=0):
    registry = TargetRegistry(TargetRegistrySettings())
    registry.replace({record.id: record for record in records}, now)
    return registry


def test_draining_target_gets_no_requests_at_once():
    registry = a_registry(a_target("t1"), a_target("t2"))
    registry.put(a_target("t1", is_draining=True), 5)
    assert usable(registry) == {"t2"}
    assert not registry.is_usable("t1")


def test_target_removed_from_list_is_removed_at_once():
    registry = a_registry(a_target("t1"), a_target("t2"))
    registry.remove("t1", 5)
    assert usable(registry) == {"t2"}


def test_entries_expired_during_outage_are_kept_for_grace_period():
    registry = a_registry(a_target("t1"), a_target("t2"))
    registry.on_platform_recovered(1_000)
    registry.replace({}, 1_000)
    assert usable(registry) == {"t1", "t2"}
    registry.put(a_target("t1"), 1_500)
    assert registry.tick(1_000 + REMOVAL_GRACE_MS) == ["t2"]
    assert usable(registry) == {"t1"}


def test_removal_after_grace_period_takes_effect_at_once():
    registry = a_registry(a_target("t1"))
    registry.on_platform_recovered(1_000)
    registry.remove("t1", 1_000 + REMOVAL_GRACE_MS)
    assert usable(registry) == set()


def test_restarted_target_gets_new_state():
    registry = a_registry(a_target("t1"))
    registry.states_by_id["t1"].record_slowness(20, 0)
    registry.put(a_target("t1", started_at=2), 10)
    assert registry.states_by_id["t1"].slowness(10) == 1.0


def test_evacuated_data_centre_gets_no_requests_and_returns_cold():
    registry = a_registry(a_target("t1"), a_target("t2", data_centre="north-b"))
    registry.set_evacuated({"north-a"}, {"s": 3_000}, 0)
    assert usable(registry) == {"t2"}
    registry.set_evacuated((), {"s": 3_000}, 5_000)
    assert usable(registry) == {"t1", "t2"}
    assert registry.states_by_id["t1"].is_cold(7_999)
    assert not registry.states_by_id["t1"].is_cold(8_000)
    assert not registry.states_by_id["t2"].is_cold(5_000)


def test_unreachable_target_is_suspended():
    registry = a_registry(a_target("t1"))
    state = registry.states_by_id["t1"]
    state.on_sent(0)
    assert not state.on_ended(Stage.CONNECT_REFUSED, 0)
    assert not state.may_send(10)
    assert state.may_send(400)
    state.on_sent(400)
    assert state.on_ended(Stage.ANSWERED, 500)


def test_count_of_unresponsive_peer_expires():
    registry = a_registry(a_target("t1"))
    state = registry.states_by_id["t1"]
    state.record_peer_count("p", 5, 0)
    assert state.in_flight(500) == 5
    assert state.in_flight(5_000) == 0


@given(
    st.lists(
        st.tuples(
            st.integers(0, 700),
            st.sampled_from("abcd"),
            st.integers(0, 3),
            st.booleans(),
        )
    )
)
def test_open_requests_of_peers_are_those_of_their_recent_reports(reports):
    """The sum is kept up to date and not computed again for each request."""
    settings = TargetSettings()
    state = TargetState(a_target("t1"), settings, 0)
    now, last = 0, {}
    for gap_ms, peer, count, is_read in reports:
        now += gap_ms
        state.record_peer_count(peer, count, now)
        last[peer] = (count, now)
        if is_read:
            oldest = now - settings.peer_count_valid_ms
            expected = sum(count for count, at in last.values() if at >= oldest)
            assert state.in_flight(now) == expected
