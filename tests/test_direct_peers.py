"""Selection of the addresses given to callers, and expiry of peers."""

import pytest
from hypothesis import given, strategies as st

from sequoiahook.daemons.direct.core_settings import core_settings
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import RELAY_HASH_KEY, DirectCore
from sequoiahook.decisions.direct.groups import by_link_capacity
from sequoiahook.decisions.direct.peers import Peers, PeerSettings
from sequoiahook.messages.reports import (
    Datagram,
    MemberReport,
    PeerState,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from sequoiahook.messages.shares import ShareDemand
from sequoiahook.world.instance import Address
from tests.direct_parts import (
    a_configuration,
    a_route,
    a_target,
    an_instance,
    an_organisation,
)

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


def hosts(
    peers,
    region="north",
    now=0,
    is_leaving=False,
    is_serving=True,
    data_centre="",
):
    found = peers.addresses(region, is_leaving, is_serving, now, data_centre)
    return {address.host for address in found}


def peers_in(count_by_data_centre, region="north"):
    """Return responsive peers of one region, by data centre, beside this instance."""
    names = {
        f"{data_centre}-{i}": data_centre
        for data_centre, count in count_by_data_centre.items()
        for i in range(count)
    }
    peers = Peers(SETTINGS, an_instance("me"), 0)
    peers.set_instances(
        {
            name: an_instance(name, data_centre=data_centre, region=region)
            for name, data_centre in names.items()
        },
        0,
    )
    for name in names:
        receive(peers, name)
    return peers


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


def test_a_report_is_superseded_by_reports_of_its_type_only():
    """Reports that other messages overtook were lost, which led to 429 within rates."""
    peers = some_peers("a")
    demand = ShareDemand("a", "s", True, 1_000, 0, {"one": 2_000})
    assert receive(peers, "a", sequence=5)
    assert peers.accept(Datagram("a", 1, 8, demand), 0)
    assert receive(peers, "a", sequence=7)
    assert not receive(peers, "a", sequence=7)
    assert not receive(peers, "a", sequence=6)
    assert peers.accept(Datagram("a", 1, 6, demand), 0)
    assert not peers.accept(Datagram("a", 1, 6, demand), 0)


def test_callers_get_the_instances_of_their_data_centre():
    peers = peers_in({"north-a": 3, "north-b": 4})
    assert hosts(peers, data_centre="north-a") == {
        "me",
        *(f"north-a-{i}" for i in range(3)),
    }
    assert hosts(peers, data_centre="north-b") == {f"north-b-{i}" for i in range(4)}
    assert len(hosts(peers)) == 8


@pytest.mark.parametrize(
    ("count", "other_count", "is_enough"),
    [(3, 3, False), (4, 12, True), (4, 13, False), (5, 15, True), (5, 16, False)],
)
def test_few_instances_of_a_data_centre_are_not_given_all_of_its_callers(
    count, other_count, is_enough
):
    """Too few of them would be overloaded while others of the region are idle."""
    peers = peers_in({"north-b": count, "north-c": other_count})
    # This instance, in a third data centre, would lower the average of the others.
    found = hosts(peers, is_leaving=True, data_centre="north-b")
    assert len(found) == (count if is_enough else count + other_count)


def test_lost_instances_of_a_data_centre_do_not_count():
    peers = peers_in({"north-b": 6, "north-c": 6})
    for name in ("north-b-0", "north-b-1"):
        receive(peers, name, sequence=2, is_leaving=True)
    assert hosts(peers, data_centre="north-b") == {f"north-b-{i}" for i in range(2, 6)}
    receive(peers, "north-b-2", sequence=3, is_serving=False)
    found = hosts(peers, data_centre="north-b")
    assert found == {
        "me",
        *(f"north-b-{i}" for i in range(3, 6)),
        *(f"north-c-{i}" for i in range(6)),
    }


def test_callers_of_a_lost_data_centre_get_the_instances_of_the_region():
    peers = peers_in({"north-b": 6, "north-c": 6})
    later = SETTINGS.unresponsive_after_ms + 1
    for i in range(6):
        receive(peers, f"north-c-{i}", sequence=2, now=later)
    found = hosts(peers, now=later, data_centre="north-b")
    assert found == {"me", *(f"north-c-{i}" for i in range(6))}


def test_a_data_centre_without_reports_of_others_gets_this_instance():
    """An instance that has just started must not answer without an address."""
    peers = Peers(SETTINGS, an_instance("me"), 0)
    peers.set_instances({f"p{i}": an_instance(f"p{i}") for i in range(9)}, 0)
    for is_leaving in (False, True):
        assert hosts(peers, is_leaving=is_leaving, data_centre="north-a") == {"me"}


@pytest.mark.parametrize("data_centre", ["", "north-x", "south-a"])
def test_callers_of_an_unknown_data_centre_get_the_instances_of_their_region(
    data_centre,
):
    peers = peers_in({"north-a": 5, "north-b": 5})
    assert hosts(peers, data_centre=data_centre) == hosts(peers)


def test_callers_of_an_unknown_region_get_instances_of_all_regions():
    peers = peers_in({"south-a": 5, "south-b": 5}, region="south")
    found = hosts(peers, region="west", data_centre="south-a")
    assert found == hosts(peers, region="west")
    assert len(found) == 11


def a_core(instance_count=10):
    address = Address("127.0.0.1", 0)
    data_centres = {f"{region}-a": region for region in ("east", "north", "south")}
    settings = DirectSettings("me", "north-a", "north", data_centres, *[address] * 5)
    core = DirectCore(core_settings(settings), an_instance("me"), 0)
    names = {f"p{i}": "north-ab"[-1 - i % 2] for i in range(instance_count)}
    core.set_instances(
        {n: an_instance(n, data_centre=f"north-{x}") for n, x in names.items()}, 0
    )
    core.targets.replace({"t": a_target("t")}, 0)
    core.configure(
        a_configuration(
            routes=(a_route(is_open=True),), organisations=(an_organisation(),)
        ),
        0,
    )
    for name in names:
        core.peers.record_state(name, STATE, 0)
    return core


def test_data_centres_are_ignored_until_a_service_states_its_pace(monkeypatch):
    """Deployments whose targets state no pace get the look-ups that they got before."""
    core = a_core()
    every_address = core.addresses("north", 0)
    assert core.addresses("north", 0, "north-b") == every_address
    monkeypatch.setattr(core.selector, "states_pace", lambda service: service == "s")
    assert len(core.addresses("north", 0, "north-b")) == 5
    assert core.addresses("north", 0) == every_address


def test_callers_of_an_evacuated_data_centre_get_the_instances_of_the_region(
    monkeypatch,
):
    core = a_core()
    monkeypatch.setattr(core.selector, "states_pace", lambda service: True)
    every_address = core.addresses("north", 0)
    core.evacuate(["north-b"], 0)
    assert core.addresses("north", 0, "north-b") == every_address
    assert len(core.addresses("north", 0, "north-a")) < len(every_address)
    core.evacuate([], 0)
    assert len(core.addresses("north", 0, "north-b")) == 5


@given(
    st.lists(st.sets(st.integers(0, 19), min_size=1), min_size=1, max_size=4),
    st.sets(st.integers(0, 19)),
)
def test_order_of_relays_does_not_depend_on_which_others_are_listed(lists, present):
    """The order is kept for all instances of the region and not computed per call."""
    instances = [
        an_instance(f"i{i}", region=("north", "south")[i % 3 == 0], link_mbps=i % 2)
        for i in range(20)
    ]
    core = a_core()
    for numbers in lists:
        core.set_instances({instances[i].name: instances[i] for i in numbers}, 0)
        near = [
            instances[i].name
            for i in numbers & present
            if instances[i].region == "north"
        ]
        others = [instance for instance in instances if instance.name in near]
        expected = by_link_capacity(RELAY_HASH_KEY, [core.me, *others])
        assert core._ranked_relays(near) == expected
