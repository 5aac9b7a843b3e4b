"""Rights under faults, checked by an oracle that counts commits in every window."""

import random
from typing import NamedTuple

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights import Committed, Reserved, Rights, RightsSettings
from sequoiahook.world.contract import Contract
from sequoiahook.world.view import DataCentreView

SETTINGS = RightsSettings()
DATA_CENTRES = ("a", "b", "c")
MICRO = 1_000_000
PROPAGATION_MS = SETTINGS.view_propagation_ms - 100
LAPSE_MS = SETTINGS.remote_lease_ms + SETTINGS.margin_ms
HEARTBEAT_MS = 200
CHECK_MS = 10
CHANGES = (
    {"big": Contract(4, 40), "small": Contract(2, 1)},
    {"big": Contract(40, 2), "small": Contract(1, 1)},
    {"big": Contract(15, 30), "small": Contract(2, 2)},
    {"big": Contract(4, 1), "small": Contract(1, 8)},
)


class ConfigurationVersion(NamedTuple):
    number: int
    contracts: dict
    data_centres: tuple


class Node:
    def __init__(self, name, data_centre, rights, offset_ms, now):
        self.name = name
        self.data_centre = data_centre
        self.rights = rights
        self.offset_ms = offset_ms
        self.version = None
        self.is_paused = False
        self.resumed_at = now
        self.active_at = now
        self.wake_at = now
        self.stops_at = None
        self.reserved_at_by_request = {}


class Oracle:
    """Counts commits of one contract in every window that ends now."""

    def __init__(self):
        self.commit_times = []
        self.limits = []

    def set_limit(self, now, contract):
        """Record the rate and burst in force from now on."""
        if not self.limits or self.limits[-1][1] != contract:
            self.limits.append((now, contract))

    def check(self, now):
        """Check each window from an earlier commit to the latest."""
        if not self.commit_times:
            return
        end_at = self.commit_times[-1]
        allowed = 0
        burst = 0
        start_at = end_at
        limits = list(self.limits)
        for count, committed_at in enumerate(reversed(self.commit_times), 1):
            while start_at > committed_at or burst == 0:
                since_at, contract = limits[-1]
                burst = max(burst, contract.burst)
                from_at = max(since_at, committed_at)
                if from_at < start_at:
                    allowed += contract.rate_per_s * 1000 * (start_at - from_at)
                    start_at = from_at
                if since_at >= committed_at and len(limits) > 1:
                    limits.pop()
                elif start_at <= committed_at:
                    break
            window_ms = end_at - committed_at
            assert count * MICRO <= burst * MICRO + allowed, (
                f"{count} commits in {window_ms} ms, allowed {burst} + {allowed} u"
            )


class Fleet:
    """Instances with their own clocks, and links that lose, repeat and delay."""

    def __init__(self, seed, sizes):
        self.rng = random.Random(seed)
        self.now = 0
        self.in_flight = []
        self.nodes_by_name = {}
        self.killed_by_name = {}
        self.views_by_data_centre = {d: DataCentreView(d, 0, ()) for d in sizes}
        self.updates = []
        self.isolated = set()
        self.loss_probability = 0.0
        self.repeat_probability = 0.0
        self.extra_delay_ms = 0
        self.versions = [ConfigurationVersion(1, CHANGES[0], tuple(sizes))]
        self.retired_at_by_number = {}
        self.oracles = {name: Oracle() for name in CHANGES[0]}
        self.actions = []
        self.serial = 0
        self.next_heartbeat_at = 0
        self.next_check_at = 0
        self.update_limits()
        for data_centre, size in sizes.items():
            for _ in range(size):
                self.start_instance(data_centre)

    def start_instance(self, data_centre):
        self.serial += 1
        name = f"{data_centre}{self.serial}"
        rng = random.Random(self.rng.random())
        rights = Rights(SETTINGS, name, data_centre, rng)
        offset_ms = self.rng.randrange(10**6)
        node = Node(name, data_centre, rights, offset_ms, self.now)
        known_numbers = [
            n.version.number
            for n in self.nodes_by_name.values()
            if n.data_centre == data_centre
        ]
        version = self.versions[-1]
        if data_centre in self.isolated and known_numbers:
            version = next(v for v in self.versions if v.number == max(known_numbers))
        self.nodes_by_name[name] = node
        for view in self.views_by_data_centre.values():
            self.call(node, "set_view", view)
        self.configure(node, version)
        self.set_members(data_centre, added=name)

    def set_members(self, data_centre, added=None, removed=None):
        view = self.views_by_data_centre[data_centre]
        names = {*view.instances, added} - {removed, None}
        view = DataCentreView(data_centre, view.number + 1, tuple(sorted(names)))
        self.views_by_data_centre[data_centre] = view
        for node in self.nodes_by_name.values():
            self.send_update(node, "set_view", view)

    def send_update(self, node, method, value):
        delay_ms = self.rng.choice([0, 1, 50, PROPAGATION_MS])
        self.updates.append((self.now + delay_ms, node.name, method, value))

    def configure(self, node, version):
        if node.version is not None and node.version.number >= version.number:
            return
        node.version = version
        self.update_limits()
        self.call(
            node, "configure", version.number, version.contracts, version.data_centres
        )

    def update_limits(self):
        used = {n.version.number for n in self.nodes_by_name.values() if n.version}
        oldest = min(used, default=1)
        for version in self.versions[:-1]:
            if version.number < oldest:
                self.retired_at_by_number.setdefault(version.number, self.now)
        in_force = []
        for version in self.versions:
            retired_at = self.retired_at_by_number.get(version.number, self.now)
            if self.now - retired_at <= LAPSE_MS + 500:
                in_force.append(version)
        for name, oracle in self.oracles.items():
            contracts = [version.contracts[name] for version in in_force]
            rate = max(contract.rate_per_s for contract in contracts)
            burst = max(contract.burst for contract in contracts)
            oracle.set_limit(self.now, Contract(rate, burst))

    def call(self, node, method, *arguments):
        now = self.now + node.offset_ms
        effects = getattr(node.rights, method)(*arguments, now)
        node.active_at = self.now
        self.carry_out(node, effects)
        node.wake_at = node.rights.next_wake(now) - node.offset_ms

    def carry_out(self, node, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.send(node, effect)
            elif isinstance(effect, Reserved):
                node.reserved_at_by_request[effect.request_id] = self.now
                delay_ms = self.rng.choice([0, 0, 3, 120, 450])
                action = self.rng.choice(["commit"] * 7 + ["release"])
                due_at = self.now + delay_ms
                self.actions.append((due_at, node.name, action, effect.request_id))
            elif isinstance(effect, Committed):
                oracle = self.oracles[effect.request_id.split("/")[0]]
                oracle.commit_times.append(self.now)
                oracle.check(self.now)

    def send(self, node, effect):
        copies = 2 if self.rng.random() < self.repeat_probability else 1
        is_local = (
            effect.destination in self.views_by_data_centre[node.data_centre].instances
        )
        for _ in range(copies):
            if not is_local and self.rng.random() < self.loss_probability:
                continue
            if is_local and self.rng.random() < self.loss_probability / 2:
                continue
            delay_ms = self.rng.choice([1, 1, 2] if is_local else [35, 35, 60])
            delay_ms += self.rng.choice([0, 0, 0, self.extra_delay_ms])
            self.in_flight.append((self.now + delay_ms, node.name, effect))

    def is_connected(self, one, other):
        if one.data_centre == other.data_centre:
            return True
        return not {one.data_centre, other.data_centre} & self.isolated

    def run(self, duration_ms, load):
        end_at = self.now + duration_ms
        while self.now < end_at:
            self.now = min(end_at, self.next_event_at(load))
            self.step(load)
            if self.now >= self.next_check_at:
                self.next_check_at = self.now + CHECK_MS
                self.check_amounts()

    def next_event_at(self, load):
        times = [entry[0] for entry in [*self.in_flight, *self.actions, *self.updates]]
        times += [n.wake_at for n in self.nodes_by_name.values() if not n.is_paused]
        times.append(self.next_heartbeat_at)
        if load:
            times.append(self.now + 15)
        return max(self.now + 1, min(times))

    def step(self, load):
        self.update_limits()
        if self.now >= self.next_heartbeat_at:
            self.next_heartbeat_at = self.now + HEARTBEAT_MS
            self.heartbeat()
        for name in [n.name for n in self.nodes_by_name.values()]:
            node = self.nodes_by_name[name]
            if node.stops_at is not None and self.now >= node.stops_at:
                self.kill(node)
                self.set_members(node.data_centre, removed=name)
        self.apply_due_updates()
        self.deliver_due_messages()
        self.run_due_actions()
        for node in list(self.nodes_by_name.values()):
            if not node.is_paused and node.wake_at <= self.now:
                self.call(node, "tick")
        for _ in range(load):
            self.request()

    def take_due(self, entries):
        due = [entry for entry in entries if entry[0] <= self.now]
        entries[:] = [entry for entry in entries if entry[0] > self.now]
        self.rng.shuffle(due)
        return due

    def apply_due_updates(self):
        for _, name, method, value in self.take_due(self.updates):
            node = self.nodes_by_name.get(name)
            if node is None:
                continue
            if node.is_paused or (
                method == "configure" and node.data_centre in self.isolated
            ):
                self.updates.append((self.now + 50, name, method, value))
            elif method == "configure":
                self.configure(node, value)
            else:
                self.call(node, method, value)

    def deliver_due_messages(self):
        for _, source, (destination, body) in self.take_due(self.in_flight):
            node = self.nodes_by_name.get(destination)
            sender = self.nodes_by_name.get(source) or self.killed_by_name.get(source)
            if node is None or not self.is_connected(sender, node):
                continue
            if node.is_paused:
                self.in_flight.append((self.now + 20, source, Send(destination, body)))
            else:
                self.call(node, "handle", source, body)

    def run_due_actions(self):
        for _, name, action, request_id in self.take_due(self.actions):
            node = self.nodes_by_name.get(name)
            if node is None:
                continue
            if node.is_paused:
                self.actions.append((self.now + 10, name, action, request_id))
                continue
            node.reserved_at_by_request.pop(request_id, None)
            self.call(node, action, request_id)

    def heartbeat(self):
        nodes = [*self.nodes_by_name.values(), *self.killed_by_name.values()]
        for node in list(self.nodes_by_name.values()):
            if node.is_paused:
                continue
            report_age_ms_by_name = {}
            for other in nodes:
                if other is node:
                    continue
                since_at = max(other.active_at, node.resumed_at)
                is_reachable = other.name in self.nodes_by_name and not other.is_paused
                if not is_reachable or not self.is_connected(node, other):
                    report_age_ms_by_name[other.name] = self.now - since_at
            self.call(node, "record_report_ages", report_age_ms_by_name)

    def request(self):
        nodes = [n for n in self.nodes_by_name.values() if not n.is_paused]
        if not nodes:
            return
        self.request_at(self.rng.choice(nodes))

    def request_at(self, node):
        contract = self.rng.choice(["big", "big", "small"])
        self.serial += 1
        wait_ms = self.rng.choice([0, 20, 200, 600])
        self.call(node, "reserve", f"{contract}/{self.serial}", contract, wait_ms)

    def kill(self, node):
        del self.nodes_by_name[node.name]
        self.killed_by_name[node.name] = node
        self.update_limits()

    def check_amounts(self):
        for name, oracle in self.oracles.items():
            rate = capacity = 0
            for node in self.nodes_by_name.values():
                if self.now - node.active_at > SETTINGS.local_lease_ms:
                    continue
                holdings = node.rights.holdings(name, self.now + node.offset_ms)
                rate += holdings.own.rate + holdings.borrowed.rate
                capacity += holdings.own.capacity + holdings.borrowed.capacity
                capacity += holdings.reserved
            limit = oracle.limits[-1][1]
            assert rate <= limit.rate_per_s * 1000, f"{name}: rate {rate} in force"
            assert capacity <= limit.burst * MICRO, f"{name}: capacity {capacity}"

    def check_full_amounts(self):
        for name in self.oracles:
            contract = self.versions[-1].contracts[name]
            own_holdings = [
                node.rights.holdings(name, self.now + node.offset_ms).own
                for node in self.nodes_by_name.values()
            ]
            assert sum(own.rate for own in own_holdings) == contract.rate_per_s * 1000
            assert sum(own.capacity for own in own_holdings) == contract.burst * MICRO


INDEX = st.integers(0, 9)
PAUSE_MS = st.sampled_from([0, 0, 600, 980, 1020, 5000])


RECOVERY_MS = 2 * SETTINGS.takeover_ms + 5000


class RightsMachine(RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 2**32),
        sizes=st.sampled_from([{"a": 3}, {"a": 2, "b": 2}, {"a": 2, "b": 2, "c": 1}]),
    )
    def start(self, seed, sizes):
        self.load = 2
        self.fleet = Fleet(seed, sizes)
        self.fleet.run(SETTINGS.takeover_ms + 1000, 0)

    def nodes(self):
        return sorted(self.fleet.nodes_by_name.values(), key=lambda n: n.name)

    @rule(duration_ms=st.sampled_from([50, 300, 1200, 4000]), load=st.integers(0, 3))
    def run_for(self, duration_ms, load):
        self.load = load
        self.fleet.run(duration_ms, load)

    def run_briefly(self):
        self.fleet.run(self.fleet.rng.choice([0, 20, 150, 600]), self.load)

    def select_node(self, index, is_leader):
        """Select an instance; a leader of the larger contract if `is_leader` is set."""
        nodes = self.nodes()
        leaders = [node for node in nodes if node.rights.is_leader("big")]
        nodes = leaders if is_leader and leaders else nodes
        return nodes[index % len(nodes)] if nodes else None

    @rule(index=INDEX, is_leader=st.booleans(), duration_ms=PAUSE_MS)
    def pause(self, index, is_leader, duration_ms):
        node = self.select_node(index, is_leader)
        if node is None or node.is_paused:
            return
        node.is_paused = True
        if duration_ms:
            self.fleet.run(duration_ms, self.load)
            self.resume_node(node)
        self.run_briefly()

    @rule()
    def resume(self):
        for node in self.nodes():
            if node.is_paused:
                self.resume_node(node)
        self.run_briefly()

    def resume_node(self, node):
        node.is_paused = False
        node.resumed_at = self.fleet.now
        if node.name in self.fleet.nodes_by_name and self.load:
            self.fleet.request_at(node)

    @rule(
        index=INDEX,
        is_leader=st.booleans(),
        is_removed=st.booleans(),
        is_replaced=st.booleans(),
    )
    def kill(self, index, is_leader, is_removed, is_replaced):
        node = self.select_node(index, is_leader)
        if node is None:
            return
        self.fleet.kill(node)
        if is_removed:
            self.fleet.set_members(node.data_centre, removed=node.name)
        if is_replaced:
            self.fleet.start_instance(node.data_centre)
        self.run_briefly()

    @rule(index=INDEX, is_leader=st.booleans(), is_added=st.booleans())
    def change_members(self, index, is_leader, is_added):
        node = self.select_node(index, is_leader)
        if node is None:
            return
        if is_added and len(self.nodes()) < 8:
            self.fleet.start_instance(node.data_centre)
        elif not is_added:
            self.fleet.set_members(node.data_centre, removed=node.name)
        self.run_briefly()

    @rule(index=INDEX, is_leader=st.booleans(), stops_in_ms=st.sampled_from([0, 5, 99]))
    def stop(self, index, is_leader, stops_in_ms):
        node = self.select_node(index, is_leader)
        if node is not None and not node.is_paused and node.stops_at is None:
            self.fleet.call(node, "hand_over")
            node.stops_at = self.fleet.now + stops_in_ms
        self.run_briefly()

    @rule(data_centre=st.sampled_from(DATA_CENTRES))
    def toggle_isolation(self, data_centre):
        self.fleet.isolated ^= {data_centre}
        self.run_briefly()

    @rule(
        loss_probability=st.sampled_from([0, 0, 0.1, 0.5]),
        repeat_probability=st.sampled_from([0, 0.3]),
        extra_delay_ms=st.sampled_from([0, 5, 400, 1400, 1900]),
    )
    def disturb(self, loss_probability, repeat_probability, extra_delay_ms):
        self.fleet.loss_probability = loss_probability
        self.fleet.repeat_probability = repeat_probability
        self.fleet.extra_delay_ms = extra_delay_ms
        self.run_briefly()

    @rule(index=st.integers(0, len(CHANGES) - 1), is_reduced=st.booleans())
    def change_contracts(self, index, is_reduced):
        fleet = self.fleet
        data_centres = tuple(fleet.views_by_data_centre)
        if is_reduced:
            data_centres = data_centres[:-1] or data_centres
        version = ConfigurationVersion(
            fleet.versions[-1].number + 1, CHANGES[index], data_centres
        )
        fleet.versions.append(version)
        fleet.update_limits()
        for node in self.nodes():
            fleet.send_update(node, "configure", version)
        self.run_briefly()

    def teardown(self):
        if hasattr(self, "fleet"):
            self.restore()
            self.fleet.run(RECOVERY_MS, 0)
            self.fleet.check_full_amounts()

    def restore(self):
        fleet = self.fleet
        fleet.isolated.clear()
        fleet.loss_probability = fleet.repeat_probability = fleet.extra_delay_ms = 0
        for node in self.nodes():
            node.is_paused = False
            node.resumed_at = fleet.now
            if node.stops_at is not None:
                fleet.kill(node)
                fleet.set_members(node.data_centre, removed=node.name)
        for data_centre in fleet.views_by_data_centre:
            fleet.start_instance(data_centre)

    @invariant()
    def amounts_are_conserved(self):
        if hasattr(self, "fleet"):
            self.fleet.check_amounts()


RightsMachine.TestCase.settings = settings(max_examples=10, stateful_step_count=30)
TestRights = RightsMachine.TestCase
