import random

from sequoiahook.decisions.membership.leaders import LeaderEligibility, leader_order
from sequoiahook.decisions.membership.peers import Peer, PeerTable
from sequoiahook.messages.membership import LIVE, Heartbeat
from sequoiahook.world.instance import Address, Instance
from sequoiahook.world.view import DataCentreView

TAKEOVER_MS = 4500
NAMES = ("a0", "a1", "a2")
KEY = "rate-one"
FIRST, SECOND, THIRD = leader_order(KEY, NAMES)


def none_absent(name):
    return False


def settled_eligibility():
    eligibility = LeaderEligibility(FIRST, TAKEOVER_MS, 10, 0)
    eligibility.change_view(DataCentreView("a", 1, NAMES), ())
    for name in (SECOND, THIRD):
        eligibility.record_confirmation(name, 1, 11, 0)
    assert not eligibility.may_act(KEY, none_absent, TAKEOVER_MS - 1)
    assert eligibility.may_act(KEY, none_absent, TAKEOVER_MS)
    return eligibility


def test_no_view_settles_while_a_higher_one_is_known():
    eligibility = LeaderEligibility(FIRST, TAKEOVER_MS, 10, 0)
    eligibility.change_view(DataCentreView("a", 1, NAMES), ())
    for name in (SECOND, THIRD):
        eligibility.record_confirmation(name, 2, 11, 0)
    assert not eligibility.may_act(KEY, none_absent, 10 * TAKEOVER_MS)


def test_an_echo_from_before_the_term_confirms_nothing():
    eligibility = settled_eligibility()
    eligibility.start_term(50, 10_000)
    for name in (SECOND, THIRD):
        eligibility.record_confirmation(name, 1, 50, 10_000)
    assert not eligibility.may_act(KEY, none_absent, 10_000 + 2 * TAKEOVER_MS)


def test_a_leader_of_both_views_acts_without_a_wait():
    eligibility = settled_eligibility()
    view = DataCentreView("a", 2, (FIRST, SECOND))
    eligibility.change_view(view, ())
    assert eligibility.may_act(KEY, none_absent, TAKEOVER_MS + 1)


def test_a_leader_replaced_in_between_has_to_wait():
    eligibility = settled_eligibility()
    eligibility.change_view(DataCentreView("a", 2, (SECOND, THIRD)), ())
    eligibility.change_view(DataCentreView("a", 3, NAMES), ())
    assert not eligibility.may_act(KEY, none_absent, TAKEOVER_MS + 1)


def test_views_in_quick_succession_do_not_prolong_the_wait():
    eligibility = LeaderEligibility(FIRST, TAKEOVER_MS, 10, 0)
    now = 0
    for number in range(1, 40):
        names = NAMES if number % 2 else (FIRST, SECOND)
        eligibility.change_view(DataCentreView("a", number, names), ())
        for name in (SECOND, THIRD):
            eligibility.record_confirmation(name, number, 11 + number, now)
        now += 1000
        expected = now > TAKEOVER_MS + 1000
        assert eligibility.may_act(KEY, none_absent, now) or not expected


def test_a_handover_ends_the_wait_for_a_member():
    eligibility = LeaderEligibility(FIRST, TAKEOVER_MS, 10, 0)
    eligibility.change_view(DataCentreView("a", 1, NAMES), ())
    eligibility.record_confirmation(THIRD, 1, 11, 0)
    assert not eligibility.may_act(KEY, none_absent, TAKEOVER_MS)
    eligibility.record_handover(SECOND, TAKEOVER_MS)
    assert eligibility.may_act(KEY, none_absent, TAKEOVER_MS)


def test_a_removed_member_still_has_to_confirm():
    eligibility = LeaderEligibility(FIRST, TAKEOVER_MS, 10, 0)
    eligibility.change_view(DataCentreView("a", 1, NAMES), ())
    eligibility.change_view(DataCentreView("a", 2, (FIRST, SECOND)), ())
    eligibility.record_confirmation(SECOND, 2, 11, 0)
    assert not eligibility.may_act(KEY, none_absent, TAKEOVER_MS)
    eligibility.record_confirmation(THIRD, 2, 11, TAKEOVER_MS)
    assert eligibility.may_act(KEY, none_absent, 2 * TAKEOVER_MS)


def test_an_echo_of_an_earlier_incarnation_is_ignored():
    address = Address("10.0.0.1", 1)
    peer = Peer(Instance("a1", 5, "a", address, address), 0)
    earlier = PeerTable(3000, random.Random(1))
    later = PeerTable(3000, random.Random(2))
    for now in range(20):
        earlier.start_round(now)
        later.start_round(now)
    heartbeat = Heartbeat(1, earlier.probe - 10, 0, LIVE, 1)
    assert later.receive(peer, 5, heartbeat, 0)
    assert peer.echo == 0
