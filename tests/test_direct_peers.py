"""Selection of the addresses given to callers, and expiry of peers."""

import pytest
from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.peers import Peers, PeerSettings
from sequoiahook.messages.reports import (
    Datagram,
    MemberReport,
    PeerState,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from sequoiahook.world.instance import Address
from tests.direct_parts import an_instance

STATE = PeerState(is_leaving=False, is_serving=True, configuration_age_ms=0)
SETTINGS = PeerSettings()


def some_peers(*names, region="north"):
    peers = Peers(SETTINGS, an_instance("me"), 0)
    peers.set_instances({n: an_instance(n, region=region) for n in names}, 0)
    return peers


def receive(peers, name, sequence=1, now=0, incarnation=1, **changes):
    report = MemberReport(STATE._replace(**changes), name, False, {}, {})
    if peers.accept(Datagram(name, incarnation, sequence, report), now):
        peers.record_state(name, report.state, now)
        return True
    return False


def hosts(peers, region="north", now=0, is_leaving=False, is_serving=True):
    found = peers.addresses(region, is_leaving, is_serving, now)
    return {address.host for address in found}


def test_only_responsive_instances_that_stay_are_given_to_callers():
    peers = some_peers("a", "b", "c")
    receive(peers, "a")
    receive(peers, "b", is_leaving=True)
    assert hosts(peers) == {"me", "a"}


def test_an_unresponsive_instance_is_not_given_to_callers():
    peers = some_peers("a")
    receive(peers, "a")
    assert hosts(peers, now=SETTINGS.unresponsive_after_ms + 1) == {"me"}


def test_a_leaving_instance_does_not_give_its_own_address():
    peers = some_peers("a")
    receive(peers, "a")
    assert hosts(peers, is_leaving=True) == {"a"}


def test_instances_that_cannot_serve_are_given_only_if_none_can():
    peers = some_peers("a")
    receive(peers, "a", is_serving=False)
    assert hosts(peers) == {"me"}
    assert hosts(peers, is_serving=False) == {"me", "a"}


def test_callers_of_a_region_with_one_instance_get_those_of_others():
    peers = Peers(SETTINGS, an_instance("me"), 0)
    far = an_instance("far", region="south", caller_address=Address("far", 80))
    peers.set_instances({"far": far, "near": an_instance("near")}, 0)
    receive(peers, "far")
    assert hosts(peers) == {"me", "far"}
    receive(peers, "near")
    assert hosts(peers) == {"me", "near"}


@pytest.mark.parametrize(
    "body",
    [TokenRequest("o", 1, 100), TokenGrant("o", 1), TokenDenial("o", 100)],
    ids=lambda body: type(body).__name__,
)
def test_late_token_messages_are_accepted_once(body):
    """One that a later datagram overtook would otherwise lead to a refusal."""
    peers = some_peers("a")

    def accepts(sequence, incarnation=1):
        return peers.accept(Datagram("a", incarnation, sequence, body), 0)

    assert accepts(1_000)
    assert not accepts(999)
    assert accepts(1_010)
    assert receive(peers, "a", 1_011)
    assert not receive(peers, "a", 1_006)
    assert [accepts(n) for n in (1_005, 1_005, 1_010, 1_000, 998)] == [
        True,
        *[False] * 4,
    ]
    assert accepts(5_000)
    assert [accepts(n) for n in (1_004, 4_999, 4_999)] == [False, True, False]
    assert accepts(7, incarnation=2)
    assert not accepts(5_001)
    assert not accepts(6, incarnation=2)


@given(st.lists(st.integers(1, 600), max_size=200))
def test_no_token_message_is_accepted_twice(sequences):
    peers = some_peers("a")
    accepted = [
        number
        for number in sequences
        if peers.accept(Datagram("a", 1, number, TokenGrant("o", 1)), 0)
    ]
    assert len(accepted) == len(set(accepted))


def test_repeated_late_and_past_run_datagrams_are_not_accepted():
    peers = some_peers("a")
    assert receive(peers, "a", sequence=5)
    assert not receive(peers, "a", sequence=5)
    assert not receive(peers, "a", sequence=4)
    assert receive(peers, "a", sequence=1, incarnation=2)
    assert not receive(peers, "a", sequence=9, incarnation=1)


def test_a_peer_without_reports_expires():
    peers = some_peers("a", "b")
    receive(peers, "a", now=SETTINGS.expire_after_ms)
    assert peers.expired(SETTINGS.expire_after_ms + 1) == ["b"]
