"""Choice of places, and a region that senders with false pictures cannot overload."""

import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiahook.decisions.placement import (
    CreditHolder,
    CreditLender,
    Placement,
    PlacementSettings,
)
from sequoiahook.decisions.placement.holder import PoolKey
from sequoiahook.decisions.pool import Pool, PoolSettings, Refuse, Start, TargetReport
from sequoiahook.messages.pools import CreditAsk, PoolSummary
from sequoiahook.world.configuration import read_configuration
from sequoiahook.world.target import Target

SETTINGS = PlacementSettings()
DOCUMENT = {
    "regions_by_name": {
        "ra": {"data_centres": ["a1", "a2"]},
        "rb": {"data_centres": ["b1"]},
    },
    "links_by_name": {
        "ab": {"regions": ["ra", "rb"], "bits_per_second": 10**9, "one_way_ms": 35}
    },
    "services_by_name": {"s": {"path_prefix": "/"}},
    "targets_by_name": {
        "t": {
            "service": "s",
            "data_centre": "a1",
            "host": "127.0.0.1",
            "port": 1,
            "slots": 4,
        }
    },
}
SHIFT = {
    "service": "s",
    "source": "a1",
    "destination": "b1",
    "share_percent": 30,
    "rate_per_s": 10,
}


def summary(data_centre, wait_ms, free, sequence=1, age_ms=0, owner=None, capacity=20):
    owner = owner or f"{data_centre}-i"
    return PoolSummary(
        "s", data_centre, owner, 1, sequence, age_ms, free, capacity, wait_ms, 5, 50
    )


class FullHolder(CreditHolder):
    def count(self, pool, now):
        return 1


def placement(document=DOCUMENT, links=None):
    subject = Placement(SETTINGS, "a1", random.Random(3), links)
    subject.configure(read_configuration(1, document))
    return subject


def names(places):
    return [place.data_centre for place in places]


def test_a_service_without_targets_or_owner_here_goes_elsewhere():
    holder = FullHolder(SETTINGS, "i", 1)
    without_targets = placement({**DOCUMENT, "targets_by_name": {}})
    without_targets.summarised(summary("a2", 0, 9), 0)
    assert names(without_targets.choose("s", 5_000, holder, 0)) == ["a2", "a1"]
    without_owner = placement()
    without_owner.summarised(summary("a2", 0, 9), 0)
    places = without_owner.choose("s", 5_000, holder, 0, is_own_open=False)
    assert names(places) == ["a2", "a1"]


def test_own_first_then_the_region_then_others():
    subject = placement()
    holder = FullHolder(SETTINGS, "i", 1)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a1"]
    for message in (summary("a1", 0, 0), summary("a2", 0, 9), summary("b1", 0, 9)):
        subject.summarised(message, 0)
    places = subject.choose("s", 5_000, holder, 0)
    assert names(places) == ["a1", "a2", "b1", "a1"]
    assert [place.wait_limit_ms for place in places] == [7, None, None, None]
    subject.summarised(summary("a1", 500, 0, 2), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a2", "b1", "a1"]
    subject.summarised(summary("a2", 1_000, 0, 2), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["b1", "a2", "a1"]
    assert names(subject.choose("s", 100, holder, 0)) == ["a1"], "no time for the way"


def test_without_credit_only_the_own_data_centre():
    subject = placement()
    holder = CreditHolder(SETTINGS, "i", 1)
    subject.summarised(summary("a1", 500, 0), 0)
    subject.summarised(summary("a2", 0, 9), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a1"]
    (ask,) = holder.tick(subject.owner_by_pool(0), 0)
    assert (ask.destination, ask.body.data_centre) == ("a2-i", "a2")


def test_stale_late_and_closed_summaries():
    subject = placement()
    holder = FullHolder(SETTINGS, "i", 1)
    subject.summarised(summary("a1", 500, 0, sequence=5), 0)
    subject.summarised(summary("a1", 0, 20, sequence=4), 0)
    subject.summarised(summary("a1", 0, 20, owner="other", age_ms=9), 0)
    subject.summarised(summary("a2", -1, 0), 0)
    subject.summarised(summary("b1", 0, 20, age_ms=SETTINGS.summary_stale_ms), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a1"]
    subject.summarised(summary("b1", 0, 20, sequence=2), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["b1", "a1"]


def test_link_without_room_is_not_chosen():
    class NoRoom:
        def has_room(self, destination, now):
            return destination != "b1"

    subject = placement(links=NoRoom())
    subject.summarised(summary("a1", 500, 0), 0)
    subject.summarised(summary("a2", 50, 9), 0)
    subject.summarised(summary("b1", 0, 9), 0)
    places = subject.choose("s", 5_000, FullHolder(SETTINGS, "i", 1), 0)
    assert names(places) == ["a2", "a1"]


def test_shift_moves_its_share_and_names_its_cap():
    shift = {**{k: v for k, v in SHIFT.items() if k != "rate_per_s"}}
    shift["cap"] = {"rate_per_s": 10, "burst": 1}
    subject = placement({**DOCUMENT, "shifts_by_name": {"move": shift}})
    holder = FullHolder(SETTINGS, "i", 1)
    moved = 0
    for _ in range(1_000):
        places = subject.choose("s", 5_000, holder, 0)
        assert names(places)[-1] == "a1", "the own data centre stays the last resort"
        moved += places[0] == ("b1", "move", True, None)
    assert moved == 300


class OverloadMachine(RuleBasedStateMachine):
    """Two instances in each other data centre send on the word of lying summaries."""

    CAPACITY = 6

    def __init__(self):
        super().__init__()
        self.now = 0
        self.count = 0
        self.pool = Pool(PoolSettings(), "s", random.Random(1))
        targets = [Target(f"t{i}", "s", "b1", "h", i, 3, "active") for i in (1, 2)]
        self.pool.configure(targets, 0, 0)
        self.lender = CreditLender(SETTINGS, "s", "b1", "b1-i", 1)
        self.senders = {}
        for name, home in (("x", "a1"), ("y", "a1"), ("z", "a2"), ("w", "a2")):
            place = Placement(SETTINGS, home, random.Random(2))
            place.configure(read_configuration(1, DOCUMENT))
            self.senders[name] = (place, CreditHolder(SETTINGS, name, 1))
        self.messages = []
        self.requests = []
        self.running = {}
        self.foreign_queued = set()

    def take(self, effects):
        for effect in effects:
            self.foreign_queued.discard(effect.request_id)
            if isinstance(effect, Refuse):
                continue
            assert isinstance(effect, Start)
            self.running[effect.request_id] = effect.target_name
            load = [*self.running.values()].count(effect.target_name)
            assert load <= 3, "a target above its slots"

    def submit(self, request_id):
        self.take(self.pool.submit(request_id, "o", self.now + 9_000, self.now))

    @rule(name=st.sampled_from("xyzw"), free=st.integers(0, 10**6))
    def lie(self, name, free):
        place = self.senders[name][0]
        home = place._data_centre
        place.summarised(summary(home, 4_000, 0, self.now + 1), self.now)
        lie = summary("b1", 0, free, self.now + 1, owner="b1-i", capacity=10**6)
        place.summarised(lie, self.now)

    @rule(name=st.sampled_from("xyzw"), count=st.integers(1, 20))
    def send(self, name, count):
        place, holder = self.senders[name]
        for _ in range(count):
            chosen = place.choose("s", 9_000, holder, self.now)
            if chosen[0].data_centre != "b1":
                continue
            credit = holder.spend(PoolKey("s", "b1"), self.now)
            assert credit is not None, "a place was named without credit"
            self.requests.append(credit)
        effects = holder.tick(place.owner_by_pool(self.now), self.now)
        self.messages += [e for e in effects if e.body.data_centre == "b1"]

    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        effect = self.messages[index] if keep else self.messages.pop(index)
        if isinstance(effect.body, CreditAsk):
            free = self.pool.free_slots(self.now)
            capacity = self.pool.capacity(self.now)
            service_ms = int(self.pool.service_time_ms())
            self.messages += self.lender.ask(
                effect.body, free, capacity, self.now, service_ms
            )
        else:
            self.senders[effect.destination][1].granted(effect.body, self.now)

    @rule(data=st.data(), keep=st.booleans())
    def arrive(self, data, keep):
        if not self.requests:
            return
        index = data.draw(st.integers(0, len(self.requests) - 1))
        credit = self.requests[index] if keep else self.requests.pop(index)
        if self.lender.redeem(credit, self.now):
            self.count += 1
            self.foreign_queued.add(self.count)
            self.submit(self.count)

    @rule(count=st.integers(1, 8))
    def local_demand(self, count):
        for _ in range(count):
            self.count += 1
            self.submit(self.count)

    @rule(data=st.data())
    def finish(self, data):
        if self.running:
            key = data.draw(st.sampled_from([*self.running]))
            del self.running[key]
            report = TargetReport(True, False, 50, False)
            self.take(self.pool.finish(key, report, self.now))

    @rule(duration_ms=st.sampled_from((1, 50, 200, 400)))
    def wait(self, duration_ms):
        self.now += duration_ms
        self.take(self.pool.tick(self.now))

    @invariant()
    def foreign_work_fits_beside_local_demand(self):
        waiting = len(self.foreign_queued) + self.lender.lent(self.now)
        # Reports always say 50 ms: three more follow each slot in 150 ms.
        assert SETTINGS.credit_wait_ms == 150
        assert waiting <= 4 * self.CAPACITY - 1


TestOverloadMachine = OverloadMachine.TestCase
TestOverloadMachine.settings = settings(
    max_examples=60, stateful_step_count=40, report_multiple_bugs=False
)
