import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.configuration import Accepted, Patch
from tests.configuration_simulation import (
    FAULT_MIXES,
    FAULTS,
    IN_FORCE_MAX_MS,
    Change,
    Simulation,
)

DATA_CENTRES = ("east", "north", "west")
SIZES = {"east": 3, "north": 3, "west": 2}
REGION = Change("regions_by_name", "r", {"data_centres": list(DATA_CENTRES)})
positions = st.integers(0, 7)
data_centre_names = st.sampled_from(DATA_CENTRES)
view_lags = st.sampled_from((0, 700, None))


def organisation(serial, rate):
    name = f"org{serial}"
    value = {"rate_per_s": rate, "burst": 1, "keys_by_name": {}}
    return Change("organisations_by_name", name, value)


class RolloutMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000), fault_mix=st.sampled_from(FAULT_MIXES))
    def start(self, seed, fault_mix):
        self.fault_mix = fault_mix
        self.simulation = Simulation(SIZES, seed)
        self.count = 0
        self.submitted = []
        self.submit(self.simulation.live_nodes()[0], REGION, 0)
        self.simulation.advance(1500)
        self.simulation.check_all_hold(1)
        self.simulation.platform.start_faults(fault_mix)

    def submit(self, node, change, against):
        self.count += 1
        patch = change.patch(f"p{self.count}", against)
        self.submitted.append((patch, change))
        return self.simulation.submit(node, patch, change)

    def node(self, position):
        live_nodes = self.simulation.live_nodes()
        return live_nodes[position % len(live_nodes)]

    @rule(position=positions, serial=st.integers(0, 9), rate=st.integers(1, 99))
    def patch_newest(self, position, serial, rate):
        change = organisation(serial, rate)
        self.submit(self.node(position), change, self.simulation.oracle.number)

    @rule(
        pair=st.tuples(positions, positions),
        serial=st.integers(0, 9),
        ms=st.integers(0, 9),
    )
    def race(self, pair, serial, ms):
        for position in pair:
            change = organisation(serial, 1 + position)
            self.submit(self.node(position), change, self.simulation.oracle.number)
            self.simulation.advance(ms)

    @rule(position=positions, serial=st.integers(0, 9))
    def delete(self, position, serial):
        change = Change("organisations_by_name", f"org{serial}", None)
        node = self.node(position)
        self.submit(node, change, node.highest_number)

    @rule(position=positions, offset=st.sampled_from((-2, -1, 1, 5)))
    def patch_other_number(self, position, offset):
        against = max(0, self.simulation.oracle.number + offset)
        self.submit(self.node(position), organisation(1, 7), against)

    @rule(position=positions)
    def patch_invalid(self, position):
        change = Change("organisations_by_name", "wrong", {"rate_per_s": 0})
        self.submit(self.node(position), change, self.simulation.oracle.number)

    @rule(
        position=positions,
        steps_back=positions,
        kind=st.sampled_from(("same", "query", "rebase")),
    )
    def repeat(self, position, steps_back, kind):
        patch, change = self.submitted[-1 - steps_back % len(self.submitted)]
        if kind == "query":
            patch = Patch(patch.id, 0, None)
        elif kind == "rebase":
            patch = patch._replace(against=self.simulation.oracle.number)
        self.simulation.submit(self.node(position), patch, change)

    @rule(ms=st.sampled_from((1, 7, 20, 200, 1000, 3000)))
    def advance(self, ms):
        self.simulation.advance(ms)

    @rule(
        fault=st.sampled_from(FAULTS),
        percent=st.sampled_from((30, 60, 100)),
        position=positions,
        serial=st.integers(0, 9),
        ms=st.sampled_from((0, 30, 400)),
    )
    def patch_under_fault(self, fault, percent, position, serial, ms):
        self.simulation.platform.percent_by_fault[fault] = percent
        self.patch_newest(position, serial, 1 + percent)
        self.simulation.advance(ms)

    @rule(is_unanswered=st.booleans())
    def end_watches(self, is_unanswered):
        self.simulation.platform.end_watches(is_unanswered)

    @rule(is_unavailable=st.booleans(), slow_ms=st.sampled_from((0, 0, 200, 900)))
    def platform_state(self, is_unavailable, slow_ms):
        self.simulation.platform.is_unavailable = is_unavailable
        self.simulation.platform.slow_ms = slow_ms

    @rule(data_centres=st.sets(data_centre_names))
    def disconnect(self, data_centres):
        self.simulation.disconnected = data_centres

    @rule(pairs=st.sets(st.frozensets(data_centre_names, min_size=2, max_size=2)))
    def partition(self, pairs):
        self.simulation.partitions = pairs

    @rule(drop=st.sampled_from((0, 20, 70)), repeat=st.sampled_from((0, 50)))
    def message_faults(self, drop, repeat):
        self.simulation.drop_percent = drop
        self.simulation.repeat_percent = repeat

    @rule(position=positions, lag_ms=view_lags)
    def replace(self, position, lag_ms):
        self.simulation.replace(self.node(position), lag_ms)

    @rule(data_centre=data_centre_names, lag_ms=view_lags)
    def replace_watchers(self, data_centre, lag_ms):
        for node in self.simulation.live_nodes(data_centre):
            if node.replica.is_watcher(self.simulation.now):
                self.simulation.replace(node, lag_ms)

    @rule(seed=st.integers(0, 2**32 - 1), fault_mix=st.sampled_from(FAULT_MIXES))
    def burst(self, seed, fault_mix):
        """Run many steps under faults, since single rules rarely combine them."""
        rng = random.Random(seed)
        self.simulation.platform.start_faults(fault_mix)
        for _ in range(6):
            kind = rng.randrange(8)
            if kind < 4:
                self.patch_newest(rng.randrange(8), rng.randrange(9), 1 + kind)
            elif kind == 4:
                self.repeat(rng.randrange(8), 0, rng.choice(("same", "rebase")))
            elif kind == 5:
                self.replace(rng.randrange(8), rng.choice((0, 700, None)))
            elif kind == 6:
                self.message_faults(rng.choice((0, 30)), rng.choice((0, 50)))
            else:
                self.disconnect(set(rng.sample(DATA_CENTRES, rng.randrange(3))))
            self.simulation.advance(rng.choice((0, 10, 50, 400, 1500)))

    @rule()
    def settle(self):
        self.simulation.settle()
        self.simulation.platform.start_faults(self.fault_mix)

    @rule(
        position=positions,
        data_centre=data_centre_names,
        failures=st.sets(
            st.sampled_from(("watchers", "watches", "messages", "peers", "speed"))
        ),
    )
    def accepted_patch_is_in_force_in_time(self, position, data_centre, failures):
        simulation = self.simulation
        simulation.settle()
        connected_nodes = [
            node
            for node in simulation.live_nodes()
            if node.data_centre not in simulation.disconnected
        ]
        node = connected_nodes[position % len(connected_nodes)]
        submission = self.submit(node, organisation(1, 5), simulation.oracle.number)
        if "watches" in failures:
            simulation.platform.end_watches(is_unanswered=True)
        while submission.outcome is None:
            simulation.advance(1)
        assert repr(submission.outcome) == repr(Accepted(simulation.oracle.number))
        if "speed" in failures:
            simulation.platform.slow_ms = 700
        if "messages" in failures:
            simulation.drop_percent = 40
            simulation.consecutive_losses_max = 1
        if "peers" in failures and not simulation.disconnected:
            others = set(DATA_CENTRES) - {data_centre}
            simulation.partitions = {
                frozenset((data_centre, other)) for other in others
            }
        if "watchers" in failures:
            self.replace_watchers(data_centre, None)
        simulation.advance(
            simulation.accepted_at_by_number[simulation.oracle.number]
            + IN_FORCE_MAX_MS
            - simulation.now
        )
        simulation.check_all_hold(simulation.oracle.number)
        self.simulation.platform.start_faults(self.fault_mix)

    @invariant()
    def each_holds_an_accepted_document(self):
        if hasattr(self, "simulation"):
            for node in self.simulation.live_nodes():
                node.check()

    def teardown(self):
        if hasattr(self, "simulation"):
            self.simulation.settle()
            self.simulation.check_stale_not_applied()


RolloutMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
TestRollout = RolloutMachine.TestCase
