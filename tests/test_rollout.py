import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.configuration import Accepted, Patch
from tests.configuration_fakes import ENVIRONMENTS, FAULTS, IN_FORCE_MS, Change, World

DATA_CENTRES = ("east", "north", "west")
SIZES = {"east": 3, "north": 3, "west": 2}
REGION = Change("regions_by_name", "r", {"data_centres": list(DATA_CENTRES)})
index = st.integers(0, 7)
place = st.sampled_from(DATA_CENTRES)
view_lag = st.sampled_from((0, 700, None))


def organisation(serial, rate):
    name = f"org{serial}"
    value = {"rate_per_s": rate, "burst": 1, "keys_by_name": {}}
    return Change("organisations_by_name", name, value)


class RolloutMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000), environment=st.sampled_from(ENVIRONMENTS))
    def start(self, seed, environment):
        self.environment = environment
        self.world = World(SIZES, seed)
        self.count = 0
        self.submitted = []
        self.submit(self.world.living()[0], REGION, 0)
        self.world.advance(1500)
        self.world.check_all_hold(1)
        self.world.platform.begin(environment)

    def submit(self, node, change, against):
        self.count += 1
        patch = change.patch(f"p{self.count}", against)
        self.submitted.append((patch, change))
        return self.world.submit(node, patch, change)

    def node(self, which):
        living = self.world.living()
        return living[which % len(living)]

    @rule(which=index, serial=st.integers(0, 9), rate=st.integers(1, 99))
    def patch_newest(self, which, serial, rate):
        change = organisation(serial, rate)
        self.submit(self.node(which), change, self.world.oracle.number)

    @rule(pair=st.tuples(index, index), serial=st.integers(0, 9), ms=st.integers(0, 9))
    def race(self, pair, serial, ms):
        for which in pair:
            change = organisation(serial, 1 + which)
            self.submit(self.node(which), change, self.world.oracle.number)
            self.world.advance(ms)

    @rule(which=index, serial=st.integers(0, 9))
    def delete(self, which, serial):
        change = Change("organisations_by_name", f"org{serial}", None)
        node = self.node(which)
        self.submit(node, change, node.highest)

    @rule(which=index, offset=st.sampled_from((-2, -1, 1, 5)))
    def patch_other_number(self, which, offset):
        against = max(0, self.world.oracle.number + offset)
        self.submit(self.node(which), organisation(1, 7), against)

    @rule(which=index)
    def patch_invalid(self, which):
        change = Change("organisations_by_name", "wrong", {"rate_per_s": 0})
        self.submit(self.node(which), change, self.world.oracle.number)

    @rule(which=index, back=index, kind=st.sampled_from(("same", "query", "rebase")))
    def repeat(self, which, back, kind):
        patch, change = self.submitted[-1 - back % len(self.submitted)]
        if kind == "query":
            patch = Patch(patch.id, 0, None)
        elif kind == "rebase":
            patch = patch._replace(against=self.world.oracle.number)
        self.world.submit(self.node(which), patch, change)

    @rule(ms=st.sampled_from((1, 7, 20, 200, 1000, 3000)))
    def advance(self, ms):
        self.world.advance(ms)

    @rule(
        fault=st.sampled_from(FAULTS),
        percent=st.sampled_from((30, 60, 100)),
        which=index,
        serial=st.integers(0, 9),
        ms=st.sampled_from((0, 30, 400)),
    )
    def patch_under_fault(self, fault, percent, which, serial, ms):
        self.world.platform.percent_by_fault[fault] = percent
        self.patch_newest(which, serial, 1 + percent)
        self.world.advance(ms)

    @rule(is_silent=st.booleans())
    def end_watches(self, is_silent):
        self.world.platform.end_watches(is_silent)

    @rule(outage=st.booleans(), slow_ms=st.sampled_from((0, 0, 200, 900)))
    def platform_state(self, outage, slow_ms):
        self.world.platform.outage = outage
        self.world.platform.slow_ms = slow_ms

    @rule(cut=st.sets(place))
    def cut_off(self, cut):
        self.world.cut = cut

    @rule(pairs=st.sets(st.frozensets(place, min_size=2, max_size=2)))
    def partition(self, pairs):
        self.world.partitions = pairs

    @rule(drop=st.sampled_from((0, 20, 70)), repeat=st.sampled_from((0, 50)))
    def message_faults(self, drop, repeat):
        self.world.drop_percent = drop
        self.world.repeat_percent = repeat

    @rule(which=index, lag_ms=view_lag)
    def replace(self, which, lag_ms):
        self.world.replace(self.node(which), lag_ms)

    @rule(data_centre=place, lag_ms=view_lag)
    def replace_watchers(self, data_centre, lag_ms):
        for node in self.world.living(data_centre):
            if node.replica.is_watcher(self.world.now):
                self.world.replace(node, lag_ms)

    @rule(seed=st.integers(0, 2**32 - 1), environment=st.sampled_from(ENVIRONMENTS))
    def burst(self, seed, environment):
        """Many steps at once: a rule alone seldom meets faults often enough."""
        rng = random.Random(seed)
        self.world.platform.begin(environment)
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
                self.cut_off(set(rng.sample(DATA_CENTRES, rng.randrange(3))))
            self.world.advance(rng.choice((0, 10, 50, 400, 1500)))

    @rule()
    def settle(self):
        self.world.settle()
        self.world.platform.begin(self.environment)

    @rule(
        which=index,
        data_centre=place,
        loses=st.sets(
            st.sampled_from(("watchers", "watches", "messages", "peers", "speed"))
        ),
    )
    def accepted_is_in_force_in_time(self, which, data_centre, loses):
        world = self.world
        world.settle()
        near = [node for node in world.living() if node.data_centre not in world.cut]
        node = near[which % len(near)]
        operator = self.submit(node, organisation(1, 5), world.oracle.number)
        if "watches" in loses:
            world.platform.end_watches(is_silent=True)
        while operator.outcome is None:
            world.advance(1)
        assert repr(operator.outcome) == repr(Accepted(world.oracle.number))
        if "speed" in loses:
            world.platform.slow_ms = 700
        if "messages" in loses:
            world.drop_percent = 40
            world.lost_in_row_max = 1
        if "peers" in loses and not world.cut:
            others = set(DATA_CENTRES) - {data_centre}
            world.partitions = {frozenset((data_centre, other)) for other in others}
        if "watchers" in loses:
            self.replace_watchers(data_centre, None)
        world.advance(world.accepted_at[world.oracle.number] + IN_FORCE_MS - world.now)
        world.check_all_hold(world.oracle.number)
        self.world.platform.begin(self.environment)

    @invariant()
    def each_holds_an_accepted_document(self):
        if hasattr(self, "world"):
            for node in self.world.living():
                node.check()

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()
            self.world.check_refused()


RolloutMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
TestRollout = RolloutMachine.TestCase
