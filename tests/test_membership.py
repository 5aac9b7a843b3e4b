import json

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sequoiahook.decisions.membership import (
    Paused,
    PeerDown,
    read_membership_settings,
)
from sequoiahook.errors import CheckError
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import LEAVING, LEFT, LIVE, Heartbeat, Leaving
from sequoiahook.options import Section
from tests.membership_network import STEP_MS, Network

SIZES = {"a": 3, "b": 2, "c": 2}
KEYS = ("rate-one", "rate-two", "slots-three", "shift-four", "link-five")
HEAL_MS = 40_000
STABLE_MS = 10_000
LEASE_MS = 3000


class MembershipMachine(RuleBasedStateMachine):
    """Instances under faults, checked through their public interface."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.network = Network(SIZES, seed)
        self.started = 0
        self.last_acted: dict = {}
        self.views: dict = {}
        self.run(8000)

    def run(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.network.step()
            self.check_all()

    def names(self):
        return sorted(self.network.nodes_by_name)

    def pick(self, number):
        names = self.names()
        return names[number % len(names)]

    @rule(duration_ms=st.integers(500, 3000))
    def advance(self, duration_ms):
        self.run(duration_ms)

    @precondition(lambda self: len(self.network.nodes_by_name) > 3)
    @rule(number=st.integers(0, 99))
    def crash(self, number):
        self.network.crash(self.pick(number))

    @rule(number=st.integers(0, 99))
    def restart(self, number):
        name = self.pick(number)
        data_centre = self.network.nodes_by_name[name].instance.data_centre
        self.network.crash(name)
        self.network.start(name, data_centre)

    @precondition(lambda self: len(self.network.nodes_by_name) < 9)
    @rule(data_centre=st.sampled_from(sorted(SIZES)))
    def add(self, data_centre):
        self.started += 1
        self.network.start(f"{data_centre}-new{self.started}", data_centre)

    @rule(number=st.integers(0, 99), duration_ms=st.integers(500, 12_000))
    def pause(self, number, duration_ms):
        self.network.pause(self.pick(number), duration_ms)

    @rule(number=st.integers(0, 99))
    def leave(self, number):
        name = self.pick(number)
        if self.network.nodes_by_name[name] in self.network.running():
            self.network.leave(name)

    @rule(number=st.integers(0, 99))
    def finish_leaving(self, number):
        name = self.pick(number)
        node = self.network.nodes_by_name[name]
        if node in self.network.running() and node.state == LEAVING:
            self.network.leave_views(name)
            for acted in self.last_acted.values():
                acted.pop((name, node.instance.incarnation), None)

    @rule(is_up=st.booleans(), is_stale=st.booleans(), lost=st.integers(0, 2))
    def change_platform(self, is_up, is_stale, lost):
        self.network.is_platform_up = is_up
        self.network.is_platform_stale = is_stale
        self.network.lost_answers = lost

    @rule(pair=st.sampled_from(["ab", "ac", "bc"]), is_cut=st.booleans())
    def partition(self, pair, is_cut):
        if is_cut:
            self.network.partitions.add(frozenset(pair))
        else:
            self.network.partitions.discard(frozenset(pair))

    def heal(self):
        network = self.network
        network.partitions.clear()
        network.is_platform_up = True
        network.is_platform_stale = False
        network.is_lossy = False
        for node in network.nodes_by_name.values():
            node.paused_until = min(node.paused_until, network.now)
        self.run(HEAL_MS - STABLE_MS)
        writes = {name: len(history) for name, history in network.objects.items()}
        self.run(STABLE_MS)
        for name, history in network.objects.items():
            assert len(history) == writes.get(name), "view changed without a cause"
        network.is_lossy = True

    @rule()
    def heal_and_compare(self):
        self.heal()
        for node in self.network.nodes_by_name.values():
            self.check_healed(node)
        for pair in ("ab", "ac", "bc"):
            self.check_connected(*pair)

    def check_healed(self, node):
        for data_centre in SIZES:
            expected = {
                other.instance.name: other.instance
                for other in self.network.in_data_centre(data_centre)
                if other.state == LIVE
            }
            if self.network.in_data_centre(data_centre):
                listed = node.membership.live(data_centre)
                assert listed == expected, (node.instance.name, set(expected))
        peers = self.network.in_data_centre(node.instance.data_centre)
        live = {peer.instance.name for peer in peers if peer.state == LIVE}
        staying = {peer.instance.name for peer in peers if peer.state != LEFT}
        if live:
            members = set(node.membership.view.instances)
            assert live <= members <= staying, (node.instance.name, members)
            for key in KEYS:
                acting = [n for n in peers if self.network.may_act(n, key)]
                assert len(acting) == 1, (key, members)

    def check_connected(self, first, second):
        first_nodes = self.network.in_data_centre(first)
        second_nodes = self.network.in_data_centre(second)
        if not first_nodes or not second_nodes:
            return
        assert any(
            self.network.has_link(near.instance.name, far.instance.name)
            for near in first_nodes
            for far in second_nodes
        ), (first, second)
        for node in first_nodes:
            assert node.membership.is_reachable(second)

    @invariant()
    def check_all(self):
        if not hasattr(self, "network"):
            return
        for node in self.network.nodes_by_name.values():
            self.check_view(node)
            self.check_live_lists(node)
        for data_centre in SIZES:
            for key in KEYS:
                self.check_leader(data_centre, key)

    def check_view(self, node):
        view = node.membership.view
        assert view.number >= node.highest_view_number
        node.highest_view_number = view.number
        known = self.views.setdefault((view.data_centre, view.number), view.instances)
        assert known == view.instances
        if view.number:
            written = self.network.objects[f"view-{view.data_centre}"]
            assert list(view.instances) in [json.loads(v)["instances"] for v in written]

    def check_live_lists(self, node):
        """Check the live lists that are read on LiveChanged, as look-up reads them."""
        for data_centre in SIZES:
            live = node.live_by_data_centre.get(data_centre, {})
            assert live == node.membership.live(data_centre)
        for name, incarnation in node.announced_leaving:
            for data_centre in SIZES:
                live = node.live_by_data_centre.get(data_centre, {})
                listed = live.get(name)
                assert listed is None or listed.incarnation != incarnation

    def check_leader(self, data_centre, key):
        now = self.network.now
        acted = self.last_acted.setdefault((data_centre, key), {})
        acting = [
            (node.instance.name, node.instance.incarnation)
            for node in self.network.in_data_centre(data_centre)
            if self.network.may_act(node, key)
        ]
        assert len(acting) <= 1, (key, acting)
        for leader in acting:
            for other, acted_at in acted.items():
                assert other == leader or now - acted_at >= LEASE_MS, (
                    key,
                    leader,
                    other,
                    now - acted_at,
                )
            acted[leader] = now


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=20, stateful_step_count=25)


def settled_network():
    network = Network({"a": 3, "b": 2}, seed=1)
    network.is_lossy = False
    for _ in range(60):
        network.step()
    return network


def test_a_resumed_instance_reports_no_peer_down():
    network = settled_network()
    for node in network.nodes_by_name.values():
        effects = node.membership.tick(network.now + node.clock_offset_ms + 30_000)
        assert isinstance(effects[0], Paused)
        assert not any(isinstance(effect, PeerDown) for effect in effects)
        own = node.instance.data_centre
        assert len(node.membership.live(own)) == len(network.in_data_centre(own))


def test_every_message_arrives_within_three_hops():
    network = settled_network()
    names = sorted(network.nodes_by_name)
    for source in names:
        for destination in names:
            assert hops(network, source, destination) <= 3


def hops(network, source, destination):
    current, arrived_from, count = source, None, 0
    while current != destination and count < 10:
        membership = network.nodes_by_name[current].membership
        current, arrived_from = membership.next_hop(destination, arrived_from), current
        assert network.has_link(arrived_from, current)
        count += 1
    return count


def test_links_are_replaced_when_all_link_holders_crash_at_once():
    network = Network({"a": 4, "b": 4}, seed=2)
    network.is_lossy = False
    for _ in range(60):
        network.step()
    names_in_a = [n.instance.name for n in network.in_data_centre("a")]
    names_in_b = [n.instance.name for n in network.in_data_centre("b")]
    links = [(x, y) for x in names_in_a for y in names_in_b if network.has_link(x, y)]
    assert links
    for name in {name for link in links for name in link}:
        network.crash(name)
    assert network.in_data_centre("a")
    assert network.in_data_centre("b")
    for _ in range(120):
        network.step()
    for node in network.nodes_by_name.values():
        for data_centre in "ab":
            expected = {n.instance.name for n in network.in_data_centre(data_centre)}
            assert set(node.membership.live(data_centre)) == expected


def test_no_takeover_before_leases_of_an_earlier_incarnation_lapse():
    network = settled_network()
    key = next(key for key in KEYS if network.may_act(network.nodes_by_name["a1"], key))
    crashed_at = network.now
    network.crash("a1")
    network.start("a1", "a")
    for _ in range(6):
        network.step()
    network.leave("a1")
    network.leave_views("a1")
    while not any(network.may_act(n, key) for n in network.in_data_centre("a")):
        network.step()
        assert network.now - crashed_at < 20_000
    assert network.now - crashed_at >= LEASE_MS


def test_a_message_of_a_replaced_incarnation_is_dropped():
    network = settled_network()
    node = network.nodes_by_name["a0"]
    now = network.now + node.clock_offset_ms
    old = network.nodes_by_name["a1"].instance
    network.crash("a1")
    network.start("a1", "a")
    for _ in range(40):
        network.step()
    now = network.now + node.clock_offset_ms
    new = network.nodes_by_name["a1"].instance
    late = Heartbeat(2**40, 0, 99, LEAVING, 0)
    node.membership.receive(Envelope("a1", old.incarnation, 1, "a0", late), now)
    node.membership.receive(
        Envelope("a1", old.incarnation, 2, "a0", Leaving(LEAVING)), now
    )
    assert node.membership.live("a")["a1"] == new
    assert node.membership.view.number < 99


def test_heartbeat_age_is_at_least_the_time_since_its_arrival():
    network = settled_network()
    for node in network.nodes_by_name.values():
        now = network.now + node.clock_offset_ms
        for name in network.nodes_by_name:
            age_ms = node.membership.age_ms(name, now)
            since_heartbeat_ms = node.membership.since_heartbeat_ms(name, now)
            if name != node.instance.name and since_heartbeat_ms is not None:
                assert since_heartbeat_ms <= age_ms <= 2 * 1000 + 4 * (300 + STEP_MS)


def test_settings_report_every_invalid_field():
    section = Section({"heartbeat_ms": 5000, "margin_ms": 100, "links_per_pair": 0})
    read_membership_settings(section)
    with pytest.raises(CheckError) as error:
        section.finish()
    paths = {finding.place for finding in error.value.findings}
    assert paths == {"$.links_per_pair", "$.margin_ms"}
