"""Rights under faults, against an oracle that counts commits in every window."""

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
SPREAD_MS = SETTINGS.view_propagation_ms - 100
DRAIN_MS = SETTINGS.remote_lease_ms + SETTINGS.margin_ms
HEARTBEAT_MS = 200
CHECK_MS = 10
CHANGES = (
    {"big": Contract(4, 40), "small": Contract(2, 1)},
    {"big": Contract(40, 2), "small": Contract(1, 1)},
    {"big": Contract(15, 30), "small": Contract(2, 2)},
    {"big": Contract(4, 1), "small": Contract(1, 8)},
)


class Era(NamedTuple):
    number: int
    contracts: dict
    data_centres: tuple


class Node:
    def __init__(self, name, data_centre, rights, offset_ms, now):
        self.name = name
        self.data_centre = data_centre
        self.rights = rights
        self.offset_ms = offset_ms
        self.era = None
        self.is_frozen = False
        self.resumed_ms = now
        self.active_ms = now
        self.wake_ms = now
        self.stops_ms = None
        self.held_since_by_request = {}


class Oracle:
    """Counts commits of one contract in every window that ends now."""

    def __init__(self):
        self.commits_ms = []
        self.limits = []

    def limit(self, now, contract):
        """Note the rate and burst in force from now on."""
        if not self.limits or self.limits[-1][1] != contract:
            self.limits.append((now, contract))

    def check(self, now):
        """Check each window from an earlier commit to the latest."""
        if not self.commits_ms:
            return
        end_ms = self.commits_ms[-1]
        allowed = 0
        burst = 0
        start_ms = end_ms
        limits = list(self.limits)
        for count, commit_ms in enumerate(reversed(self.commits_ms), 1):
            while start_ms > commit_ms or burst == 0:
                since_ms, contract = limits[-1]
                burst = max(burst, contract.burst)
                from_ms = max(since_ms, commit_ms)
                if from_ms < start_ms:
                    allowed += contract.rate_per_s * 1000 * (start_ms - from_ms)
                    start_ms = from_ms
                if since_ms >= commit_ms and len(limits) > 1:
                    limits.pop()
                elif start_ms <= commit_ms:
                    break
            window_ms = end_ms - commit_ms
            assert count * MICRO <= burst * MICRO + allowed, (
                f"{count} commits in {window_ms} ms, allowed {burst} + {allowed} u"
            )


class Fleet:
    """Instances with their own clocks, and links that lose, repeat and delay."""

    def __init__(self, seed, sizes):
        self.rng = random.Random(seed)
        self.now = 0
        self.pool = []
        self.nodes_by_name = {}
        self.gone = {}
        self.views_by_data_centre = {d: DataCentreView(d, 0, ()) for d in sizes}
        self.spreads = []
        self.cut = set()
        self.loss = 0.0
        self.repeats = 0.0
        self.slow_ms = 0
        self.eras = [Era(1, CHANGES[0], tuple(sizes))]
        self.retired_ms_by_number = {}
        self.oracles = {name: Oracle() for name in CHANGES[0]}
        self.deeds = []
        self.serial = 0
        self.next_heartbeat_ms = 0
        self.next_check_ms = 0
        self.note_limits()
        for data_centre, size in sizes.items():
            for _ in range(size):
                self.boot(data_centre)

    def boot(self, data_centre):
        self.serial += 1
        name = f"{data_centre}{self.serial}"
        rng = random.Random(self.rng.random())
        rights = Rights(SETTINGS, name, data_centre, rng)
        offset_ms = self.rng.randrange(10**6)
        node = Node(name, data_centre, rights, offset_ms, self.now)
        known = [
            n.era.number
            for n in self.nodes_by_name.values()
            if n.data_centre == data_centre
        ]
        era = self.eras[-1]
        if data_centre in self.cut and known:
            era = next(e for e in self.eras if e.number == max(known))
        self.nodes_by_name[name] = node
        for view in self.views_by_data_centre.values():
            self.call(node, "set_view", view)
        self.configure(node, era)
        self.set_members(data_centre, added=name)

    def set_members(self, data_centre, added=None, removed=None):
        view = self.views_by_data_centre[data_centre]
        names = {*view.instances, added} - {removed, None}
        view = DataCentreView(data_centre, view.number + 1, tuple(sorted(names)))
        self.views_by_data_centre[data_centre] = view
        for node in self.nodes_by_name.values():
            self.spread(node, "set_view", view)

    def spread(self, node, method, value):
        delay_ms = self.rng.choice([0, 1, 50, SPREAD_MS])
        self.spreads.append((self.now + delay_ms, node.name, method, value))

    def configure(self, node, era):
        if node.era is not None and node.era.number >= era.number:
            return
        node.era = era
        self.note_limits()
        self.call(node, "configure", era.number, era.contracts, era.data_centres)

    def note_limits(self):
        used = {n.era.number for n in self.nodes_by_name.values() if n.era}
        oldest = min(used, default=1)
        for era in self.eras[:-1]:
            if era.number < oldest:
                self.retired_ms_by_number.setdefault(era.number, self.now)
        alive = []
        for era in self.eras:
            retired_ms = self.retired_ms_by_number.get(era.number, self.now)
            if self.now - retired_ms <= DRAIN_MS + 500:
                alive.append(era)
        for name, oracle in self.oracles.items():
            contracts = [era.contracts[name] for era in alive]
            rate = max(contract.rate_per_s for contract in contracts)
            burst = max(contract.burst for contract in contracts)
            oracle.limit(self.now, Contract(rate, burst))

    def call(self, node, method, *arguments):
        now = self.now + node.offset_ms
        effects = getattr(node.rights, method)(*arguments, now)
        node.active_ms = self.now
        self.carry_out(node, effects)
        node.wake_ms = node.rights.next_wake(now) - node.offset_ms

    def carry_out(self, node, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.send(node, effect)
            elif isinstance(effect, Reserved):
                node.held_since_by_request[effect.request_id] = self.now
                delay_ms = self.rng.choice([0, 0, 3, 120, 450])
                deed = self.rng.choice(["commit"] * 7 + ["release"])
                at_ms = self.now + delay_ms
                self.deeds.append((at_ms, node.name, deed, effect.request_id))
            elif isinstance(effect, Committed):
                oracle = self.oracles[effect.request_id.split("/")[0]]
                oracle.commits_ms.append(self.now)
                oracle.check(self.now)

    def send(self, node, effect):
        copies = 2 if self.rng.random() < self.repeats else 1
        is_near = (
            effect.destination in self.views_by_data_centre[node.data_centre].instances
        )
        for _ in range(copies):
            if not is_near and self.rng.random() < self.loss:
                continue
            if is_near and self.rng.random() < self.loss / 2:
                continue
            delay_ms = self.rng.choice([1, 1, 2] if is_near else [35, 35, 60])
            delay_ms += self.rng.choice([0, 0, 0, self.slow_ms])
            self.pool.append((self.now + delay_ms, node.name, effect))

    def is_joined(self, one, other):
        if one.data_centre == other.data_centre:
            return True
        return not {one.data_centre, other.data_centre} & self.cut

    def run(self, duration_ms, load):
        end_ms = self.now + duration_ms
        while self.now < end_ms:
            self.now = min(end_ms, self.next_ms(load))
            self.step(load)
            if self.now >= self.next_check_ms:
                self.next_check_ms = self.now + CHECK_MS
                self.check_amounts()

    def next_ms(self, load):
        times = [entry[0] for entry in [*self.pool, *self.deeds, *self.spreads]]
        times += [n.wake_ms for n in self.nodes_by_name.values() if not n.is_frozen]
        times.append(self.next_heartbeat_ms)
        if load:
            times.append(self.now + 15)
        return max(self.now + 1, min(times))

    def step(self, load):
        self.note_limits()
        if self.now >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = self.now + HEARTBEAT_MS
            self.heartbeat()
        for name in [n.name for n in self.nodes_by_name.values()]:
            node = self.nodes_by_name[name]
            if node.stops_ms is not None and self.now >= node.stops_ms:
                self.kill(node)
                self.set_members(node.data_centre, removed=name)
        self.run_due_spreads()
        self.run_due_messages()
        self.run_due_deeds()
        for node in list(self.nodes_by_name.values()):
            if not node.is_frozen and node.wake_ms <= self.now:
                self.call(node, "tick")
        for _ in range(load):
            self.request()

    def take_due(self, entries):
        due = [entry for entry in entries if entry[0] <= self.now]
        entries[:] = [entry for entry in entries if entry[0] > self.now]
        self.rng.shuffle(due)
        return due

    def run_due_spreads(self):
        for _, name, method, value in self.take_due(self.spreads):
            node = self.nodes_by_name.get(name)
            if node is None:
                continue
            if node.is_frozen or (
                method == "configure" and node.data_centre in self.cut
            ):
                self.spreads.append((self.now + 50, name, method, value))
            elif method == "configure":
                self.configure(node, value)
            else:
                self.call(node, method, value)

    def run_due_messages(self):
        for _, source, (destination, body) in self.take_due(self.pool):
            node = self.nodes_by_name.get(destination)
            sender = self.nodes_by_name.get(source) or self.gone.get(source)
            if node is None or not self.is_joined(sender, node):
                continue
            if node.is_frozen:
                self.pool.append((self.now + 20, source, Send(destination, body)))
            else:
                self.call(node, "handle", source, body)

    def run_due_deeds(self):
        for _, name, deed, request_id in self.take_due(self.deeds):
            node = self.nodes_by_name.get(name)
            if node is None:
                continue
            if node.is_frozen:
                self.deeds.append((self.now + 10, name, deed, request_id))
                continue
            node.held_since_by_request.pop(request_id, None)
            self.call(node, deed, request_id)

    def heartbeat(self):
        nodes = [*self.nodes_by_name.values(), *self.gone.values()]
        for node in list(self.nodes_by_name.values()):
            if node.is_frozen:
                continue
            silent_ms_by_name = {}
            for other in nodes:
                if other is node:
                    continue
                since_ms = max(other.active_ms, node.resumed_ms)
                is_heard = other.name in self.nodes_by_name and not other.is_frozen
                if not is_heard or not self.is_joined(node, other):
                    silent_ms_by_name[other.name] = self.now - since_ms
            self.call(node, "set_unresponsive", silent_ms_by_name)

    def request(self):
        nodes = [n for n in self.nodes_by_name.values() if not n.is_frozen]
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
        self.gone[node.name] = node
        self.note_limits()

    def check_amounts(self):
        for name, oracle in self.oracles.items():
            rate = capacity = 0
            for node in self.nodes_by_name.values():
                if self.now - node.active_ms > SETTINGS.local_lease_ms:
                    continue
                holdings = node.rights.holdings(name, self.now + node.offset_ms)
                rate += holdings.own.rate + holdings.borrowed.rate
                capacity += holdings.own.capacity + holdings.borrowed.capacity
                capacity += holdings.reserved
            limit = oracle.limits[-1][1]
            assert rate <= limit.rate_per_s * 1000, f"{name}: rate {rate} in force"
            assert capacity <= limit.burst * MICRO, f"{name}: capacity {capacity}"

    def check_nothing_is_lost(self):
        for name in self.oracles:
            contract = self.eras[-1].contracts[name]
            held = [
                node.rights.holdings(name, self.now + node.offset_ms).own
                for node in self.nodes_by_name.values()
            ]
            assert sum(own.rate for own in held) == contract.rate_per_s * 1000
            assert sum(own.capacity for own in held) == contract.burst * MICRO


INDEX = st.integers(0, 9)
FREEZE_MS = st.sampled_from([0, 0, 600, 980, 1020, 5000])


HEALED_MS = 2 * SETTINGS.takeover_ms + 5000


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

    def run_on(self):
        self.fleet.run(self.fleet.rng.choice([0, 20, 150, 600]), self.load)

    def pick_for(self, index, is_leader):
        """Pick an instance; one that keeps the larger contract if asked to."""
        nodes = self.nodes()
        leaders = [node for node in nodes if node.rights.is_leader("big")]
        nodes = leaders if is_leader and leaders else nodes
        return nodes[index % len(nodes)] if nodes else None

    @rule(index=INDEX, is_leader=st.booleans(), duration_ms=FREEZE_MS)
    def freeze(self, index, is_leader, duration_ms):
        node = self.pick_for(index, is_leader)
        if node is None or node.is_frozen:
            return
        node.is_frozen = True
        if duration_ms:
            self.fleet.run(duration_ms, self.load)
            self.thaw(node)
        self.run_on()

    @rule()
    def resume(self):
        for node in self.nodes():
            if node.is_frozen:
                self.thaw(node)
        self.run_on()

    def thaw(self, node):
        node.is_frozen = False
        node.resumed_ms = self.fleet.now
        if node.name in self.fleet.nodes_by_name and self.load:
            self.fleet.request_at(node)

    @rule(
        index=INDEX,
        is_leader=st.booleans(),
        is_removed=st.booleans(),
        is_replaced=st.booleans(),
    )
    def kill(self, index, is_leader, is_removed, is_replaced):
        node = self.pick_for(index, is_leader)
        if node is None:
            return
        self.fleet.kill(node)
        if is_removed:
            self.fleet.set_members(node.data_centre, removed=node.name)
        if is_replaced:
            self.fleet.boot(node.data_centre)
        self.run_on()

    @rule(index=INDEX, is_leader=st.booleans(), is_added=st.booleans())
    def change_members(self, index, is_leader, is_added):
        node = self.pick_for(index, is_leader)
        if node is None:
            return
        if is_added and len(self.nodes()) < 8:
            self.fleet.boot(node.data_centre)
        elif not is_added:
            self.fleet.set_members(node.data_centre, removed=node.name)
        self.run_on()

    @rule(index=INDEX, is_leader=st.booleans(), stops_in_ms=st.sampled_from([0, 5, 99]))
    def stop(self, index, is_leader, stops_in_ms):
        node = self.pick_for(index, is_leader)
        if node is not None and not node.is_frozen and node.stops_ms is None:
            self.fleet.call(node, "hand_over")
            node.stops_ms = self.fleet.now + stops_in_ms
        self.run_on()

    @rule(data_centre=st.sampled_from(DATA_CENTRES))
    def cut(self, data_centre):
        self.fleet.cut ^= {data_centre}
        self.run_on()

    @rule(
        loss=st.sampled_from([0, 0, 0.1, 0.5]),
        repeats=st.sampled_from([0, 0.3]),
        slow_ms=st.sampled_from([0, 5, 400, 1400, 1900]),
    )
    def disturb(self, loss, repeats, slow_ms):
        self.fleet.loss = loss
        self.fleet.repeats = repeats
        self.fleet.slow_ms = slow_ms
        self.run_on()

    @rule(index=st.integers(0, len(CHANGES) - 1), is_narrow=st.booleans())
    def change_contracts(self, index, is_narrow):
        fleet = self.fleet
        data_centres = tuple(fleet.views_by_data_centre)
        if is_narrow:
            data_centres = data_centres[:-1] or data_centres
        era = Era(fleet.eras[-1].number + 1, CHANGES[index], data_centres)
        fleet.eras.append(era)
        fleet.note_limits()
        for node in self.nodes():
            fleet.spread(node, "configure", era)
        self.run_on()

    def teardown(self):
        if hasattr(self, "fleet"):
            self.heal()
            self.fleet.run(HEALED_MS, 0)
            self.fleet.check_nothing_is_lost()

    def heal(self):
        fleet = self.fleet
        fleet.cut.clear()
        fleet.loss = fleet.repeats = fleet.slow_ms = 0
        for node in self.nodes():
            node.is_frozen = False
            node.resumed_ms = fleet.now
            if node.stops_ms is not None:
                fleet.kill(node)
                fleet.set_members(node.data_centre, removed=node.name)
        for data_centre in fleet.views_by_data_centre:
            fleet.boot(data_centre)

    @invariant()
    def amounts_are_conserved(self):
        if hasattr(self, "fleet"):
            self.fleet.check_amounts()


RightsMachine.TestCase.settings = settings(max_examples=10, stateful_step_count=30)
TestRights = RightsMachine.TestCase
