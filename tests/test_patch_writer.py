import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.configuration import Accepted, OutcomeUnknown, Patch, Stale
from sequoiahook.decisions.platform_calls import WriteObject
from tests.configuration_simulation import FAULT_MIXES, FAULTS, Change, Simulation

DEADLINE_MS = 8000
node_indexes = st.integers(0, 2)


class StubNode:
    """A node without a replica, which only submits patches."""

    def __init__(self, name):
        self.name = name
        self.data_centre = "d"
        self.is_alive = True
        self.rng = random.Random(name)
        self.pieces_by_digest = {}

    @property
    def replica(self):
        return self

    def run(self, method, root, pieces):
        self.pieces_by_digest = dict(pieces)


class PatchingMachine(RuleBasedStateMachine):
    """Submissions at three instances, each of which has old pieces or none."""

    @initialize(
        seed=st.integers(0, 1000),
        first_count=st.sampled_from((0, 30, 61)),
        fault_mix=st.sampled_from(FAULT_MIXES),
    )
    def start(self, seed, first_count, fault_mix):
        self.fault_mix = fault_mix
        self.simulation = Simulation({}, seed)
        self.nodes = [StubNode("a"), StubNode("b"), StubNode("c")]
        self.submitted = []
        self.submit_many(0, first_count)
        self.simulation.platform.start_faults(fault_mix)

    def submit(self, node_index, change, against):
        patch = change.patch(f"p{len(self.submitted)}", against)
        self.submitted.append((patch, change))
        return self.simulation.submit(self.nodes[node_index], patch, change)

    def submit_many(self, node_index, count):
        for serial in range(count):
            submission = self.submit(
                node_index, rate_change(serial % 9, serial + 1), serial
            )
            self.simulation.advance(60)
            assert repr(submission.outcome) == repr(Accepted(serial + 1))

    @rule(node_index=node_indexes, serial=st.integers(0, 30), offset=st.integers(-2, 2))
    def patch(self, node_index, serial, offset):
        against = max(0, self.simulation.oracle.number + (offset if offset != 2 else 0))
        self.submit(node_index, rate_change(serial, 1 + serial), against)

    @rule(node_index=node_indexes)
    def patch_invalid(self, node_index):
        change = Change("organisations_by_name", "wrong", {"rate_per_s": 0})
        self.submit(node_index, change, self.simulation.oracle.number)

    @rule(
        node_index=node_indexes,
        steps_back=st.integers(0, 70),
        kind=st.sampled_from(("same", "same", "query", "rebase")),
    )
    def repeat(self, node_index, steps_back, kind):
        if not self.submitted:
            return
        patch, change = self.submitted[-1 - steps_back % len(self.submitted)]
        if kind == "query":
            patch = Patch(patch.id, 0, None)
        elif kind == "rebase":
            patch = patch._replace(against=self.simulation.oracle.number)
        self.simulation.submit(self.nodes[node_index], patch, change)

    @rule(seed=st.integers(0, 2**32 - 1), fault_mix=st.sampled_from(FAULT_MIXES))
    def burst(self, seed, fault_mix):
        """Run many steps under faults, since single rules rarely combine them."""
        rng = random.Random(seed)
        self.simulation.platform.start_faults(fault_mix)
        for _ in range(12):
            node_index = rng.randrange(3)
            kind = rng.randrange(5)
            if kind < 3:
                self.patch(node_index, rng.randrange(30), rng.choice((-1, 0, 0, 0, 1)))
            elif kind == 3:
                self.repeat(
                    node_index,
                    rng.randrange(9),
                    rng.choice(("same", "query", "rebase")),
                )
            self.simulation.advance(rng.choice((0, 3, 20, 100, 400, 3000)))
        self.simulation.clear_faults()
        self.simulation.platform.start_faults(self.fault_mix)

    @rule(ms=st.sampled_from((1, 5, 11, 40, 400, 2000)))
    def advance(self, ms):
        self.simulation.advance(ms)

    @rule(fault=st.sampled_from(FAULTS), percent=st.sampled_from((20, 50, 100)))
    def set_fault(self, fault, percent):
        self.simulation.platform.percent_by_fault[fault] = percent

    @rule(is_unavailable=st.booleans(), slow_ms=st.sampled_from((0, 0, 50, 300)))
    def platform_state(self, is_unavailable, slow_ms):
        self.simulation.platform.is_unavailable = is_unavailable
        self.simulation.platform.slow_ms = slow_ms

    @rule(node_index=node_indexes)
    def patch_without_faults_is_accepted(self, node_index):
        self.simulation.clear_faults()
        self.simulation.advance(DEADLINE_MS + 2000)
        number = self.simulation.oracle.number
        submission = self.submit(node_index, rate_change(1, 5), number)
        self.simulation.advance(500)
        assert repr(submission.outcome) == repr(Accepted(number + 1))
        self.simulation.platform.start_faults(self.fault_mix)

    @invariant()
    def each_outcome_is_reported_in_time(self):
        if hasattr(self, "simulation"):
            for submission in self.simulation.submissions:
                age_ms = self.simulation.now - submission.started_at
                assert submission.is_done or age_ms <= DEADLINE_MS

    def teardown(self):
        if not hasattr(self, "simulation"):
            return
        self.simulation.clear_faults()
        self.simulation.advance(DEADLINE_MS + 2000)
        self.simulation.check_stale_not_applied()
        self.check_outcomes_without_faults()
        self.check_pieces_are_stored()

    def check_outcomes_without_faults(self):
        """Check that each patch now gets its one outcome, whatever came before."""
        simulation = self.simulation
        for patch, change in self.submitted:
            repeated = simulation.submit(self.nodes[0], patch, change)
            simulation.advance(200)
            query = simulation.submit(self.nodes[1], Patch(patch.id, 0, None), change)
            simulation.advance(200)
            if simulation.oracle.has_applied(patch):
                expected = repr(Accepted(patch.against + 1))
                assert repr(repeated.outcome) == repr(query.outcome) == expected
            elif patch.against < simulation.oracle.number:
                assert repr(repeated.outcome) == repr(Stale(simulation.oracle.number))
                assert isinstance(query.outcome, Stale | OutcomeUnknown | Accepted)

    def check_pieces_are_stored(self):
        """Check that an instance without pieces can read them from the platform."""
        self.nodes[0].pieces_by_digest = {}
        number = self.simulation.oracle.number
        submission = self.submit(0, rate_change(1, 7), number)
        self.simulation.advance(500)
        assert repr(submission.outcome) == repr(Accepted(number + 1))


def rate_change(serial, value):
    change = {"rate_per_s": value, "burst": 1, "keys_by_name": {}}
    return Change("organisations_by_name", f"org{serial}", change)


def test_a_change_of_a_large_document_writes_few_objects():
    simulation = Simulation({}, 1)
    node = StubNode("a")
    entries = {f"org{serial}": rate_change(serial, 1).value for serial in range(300)}
    first_patch = Patch("first", 0, {"organisations_by_name": entries})
    simulation.submit(node, first_patch, SectionChange(entries))
    simulation.advance(2000)
    before = simulation.platform.calls_by_kind[WriteObject]
    assert before > 100
    submission = simulation.submit(
        node, rate_change(7, 2).patch("p", 1), rate_change(7, 2)
    )
    simulation.advance(500)
    assert repr(submission.outcome) == repr(Accepted(2))
    assert simulation.platform.calls_by_kind[WriteObject] - before <= 6


class SectionChange:
    """A change that replaces the whole section of organisations."""

    name = "all"

    def __init__(self, entries):
        self.entries = entries

    def apply(self, document):
        return document | {"organisations_by_name": self.entries}


def test_late_reads_do_not_cause_many_calls():
    simulation = Simulation({}, 1)
    node = StubNode("a")
    for number in range(5):
        simulation.submit(
            node,
            rate_change(number, 1).patch(f"p{number}", number),
            rate_change(number, 1),
        )
        simulation.advance(100)
    simulation.platform.percent_by_fault["stale_reads"] = 100
    before = sum(simulation.platform.calls_by_kind.values())
    submission = simulation.submit(
        node, rate_change(9, 1).patch("late", 2), rate_change(9, 1)
    )
    other = simulation.submit(
        node, rate_change(9, 1).patch("other", 5), rate_change(9, 1)
    )
    simulation.advance(DEADLINE_MS)
    assert submission.is_done
    assert other.is_done
    assert sum(simulation.platform.calls_by_kind.values()) - before < 150


PatchingMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestPatching = PatchingMachine.TestCase
