import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.configuration import Accepted, OutcomeUnknown, Patch, Stale
from sequoiahook.decisions.platform_calls import WriteObject
from tests.configuration_fakes import ENVIRONMENTS, FAULTS, Change, World

DEADLINE_MS = 8000
desk_index = st.integers(0, 2)


class Desk:
    """An instance that only takes patches."""

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
    """Operators at three instances; each desk may know old pieces or none."""

    @initialize(
        seed=st.integers(0, 1000),
        first=st.sampled_from((0, 30, 61)),
        environment=st.sampled_from(ENVIRONMENTS),
    )
    def start(self, seed, first, environment):
        self.environment = environment
        self.world = World({}, seed)
        self.desks = [Desk("a"), Desk("b"), Desk("c")]
        self.submitted = []
        self.many(0, first)
        self.world.platform.begin(environment)

    def submit(self, desk, change, against):
        patch = change.patch(f"p{len(self.submitted)}", against)
        self.submitted.append((patch, change))
        return self.world.submit(self.desks[desk], patch, change)

    def many(self, desk, count):
        for serial in range(count):
            operator = self.submit(desk, rate(serial % 9, serial + 1), serial)
            self.world.advance(60)
            assert repr(operator.outcome) == repr(Accepted(serial + 1))

    @rule(desk=desk_index, serial=st.integers(0, 30), offset=st.integers(-2, 2))
    def patch(self, desk, serial, offset):
        against = max(0, self.world.oracle.number + (offset if offset != 2 else 0))
        self.submit(desk, rate(serial, 1 + serial), against)

    @rule(desk=desk_index)
    def patch_invalid(self, desk):
        change = Change("organisations_by_name", "wrong", {"rate_per_s": 0})
        self.submit(desk, change, self.world.oracle.number)

    @rule(
        desk=desk_index,
        back=st.integers(0, 70),
        kind=st.sampled_from(("same", "same", "query", "rebase")),
    )
    def repeat(self, desk, back, kind):
        if not self.submitted:
            return
        patch, change = self.submitted[-1 - back % len(self.submitted)]
        if kind == "query":
            patch = Patch(patch.id, 0, None)
        elif kind == "rebase":
            patch = patch._replace(against=self.world.oracle.number)
        self.world.submit(self.desks[desk], patch, change)

    @rule(seed=st.integers(0, 2**32 - 1), environment=st.sampled_from(ENVIRONMENTS))
    def burst(self, seed, environment):
        """Many steps at once: a rule alone seldom meets faults often enough."""
        rng = random.Random(seed)
        self.world.platform.begin(environment)
        for _ in range(12):
            desk = rng.randrange(3)
            kind = rng.randrange(5)
            if kind < 3:
                self.patch(desk, rng.randrange(30), rng.choice((-1, 0, 0, 0, 1)))
            elif kind == 3:
                self.repeat(
                    desk, rng.randrange(9), rng.choice(("same", "query", "rebase"))
                )
            self.world.advance(rng.choice((0, 3, 20, 100, 400, 3000)))
        self.world.heal()
        self.world.platform.begin(self.environment)

    @rule(ms=st.sampled_from((1, 5, 11, 40, 400, 2000)))
    def advance(self, ms):
        self.world.advance(ms)

    @rule(fault=st.sampled_from(FAULTS), percent=st.sampled_from((20, 50, 100)))
    def fault(self, fault, percent):
        self.world.platform.percent_by_fault[fault] = percent

    @rule(outage=st.booleans(), slow_ms=st.sampled_from((0, 0, 50, 300)))
    def state(self, outage, slow_ms):
        self.world.platform.outage = outage
        self.world.platform.slow_ms = slow_ms

    @rule(desk=desk_index)
    def quiet_patch_is_accepted(self, desk):
        self.world.heal()
        self.world.advance(DEADLINE_MS + 2000)
        number = self.world.oracle.number
        operator = self.submit(desk, rate(1, 5), number)
        self.world.advance(500)
        assert repr(operator.outcome) == repr(Accepted(number + 1))
        self.world.platform.begin(self.environment)

    @invariant()
    def each_outcome_comes_in_time(self):
        if hasattr(self, "world"):
            for operator in self.world.operators:
                age_ms = self.world.now - operator.started
                assert operator.is_done or age_ms <= DEADLINE_MS

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.heal()
        self.world.advance(DEADLINE_MS + 2000)
        self.world.check_refused()
        self.check_answers_when_quiet()
        self.check_all_is_stored()

    def check_answers_when_quiet(self):
        """Each id gets the one true answer now, whatever was told before."""
        world = self.world
        for patch, change in self.submitted:
            again = world.submit(self.desks[0], patch, change)
            world.advance(200)
            query = world.submit(self.desks[1], Patch(patch.id, 0, None), change)
            world.advance(200)
            if world.oracle.has_applied(patch):
                expected = repr(Accepted(patch.against + 1))
                assert repr(again.outcome) == repr(query.outcome) == expected
            elif patch.against < world.oracle.number:
                assert repr(again.outcome) == repr(Stale(world.oracle.number))
                assert isinstance(query.outcome, Stale | OutcomeUnknown | Accepted)

    def check_all_is_stored(self):
        """An operator whose instance knows no piece can go on from the platform."""
        self.desks[0].pieces_by_digest = {}
        number = self.world.oracle.number
        operator = self.submit(0, rate(1, 7), number)
        self.world.advance(500)
        assert repr(operator.outcome) == repr(Accepted(number + 1))


def rate(serial, value):
    change = {"rate_per_s": value, "burst": 1, "keys_by_name": {}}
    return Change("organisations_by_name", f"org{serial}", change)


def test_a_change_of_a_large_document_writes_few_objects():
    world = World({}, 1)
    desk = Desk("a")
    entries = {f"org{serial}": rate(serial, 1).value for serial in range(300)}
    first = Patch("first", 0, {"organisations_by_name": entries})
    world.submit(desk, first, AllOf(entries))
    world.advance(2000)
    before = world.platform.calls_by_kind[WriteObject]
    assert before > 100
    operator = world.submit(desk, rate(7, 2).patch("p", 1), rate(7, 2))
    world.advance(500)
    assert repr(operator.outcome) == repr(Accepted(2))
    assert world.platform.calls_by_kind[WriteObject] - before <= 6


class AllOf:
    """A change that the oracle takes as a whole."""

    name = "all"

    def __init__(self, entries):
        self.entries = entries

    def apply(self, document):
        return document | {"organisations_by_name": self.entries}


def test_late_reads_do_not_make_a_writer_hurry():
    world = World({}, 1)
    desk = Desk("a")
    for number in range(5):
        world.submit(desk, rate(number, 1).patch(f"p{number}", number), rate(number, 1))
        world.advance(100)
    world.platform.percent_by_fault["stale_reads"] = 100
    before = sum(world.platform.calls_by_kind.values())
    operator = world.submit(desk, rate(9, 1).patch("late", 2), rate(9, 1))
    other = world.submit(desk, rate(9, 1).patch("other", 5), rate(9, 1))
    world.advance(DEADLINE_MS)
    assert operator.is_done
    assert other.is_done
    assert sum(world.platform.calls_by_kind.values()) - before < 150


PatchingMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestPatching = PatchingMachine.TestCase
