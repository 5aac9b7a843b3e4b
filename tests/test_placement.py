"""Choice of data centres; false summaries must not overload a remote region."""

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
from sequoiahook.decisions.pool import Refuse, Start, TargetReport
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings
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


def summary(
    data_centre, wait_ms, free_slots, sequence=1, age_ms=0, owner=None, capacity=20
):
    owner = owner or f"{data_centre}-i"
    return PoolSummary(
        "s",
        data_centre,
        owner,
        1,
        sequence,
        age_ms,
        free_slots,
        capacity,
        wait_ms,
        5,
        50,
    )


class FullHolder(CreditHolder):
    def count(self, pool, now):
        return 1


def placement(document=DOCUMENT, links=None):
    subject = Placement(SETTINGS, "a1", random.Random(3), links)
    subject.configure(read_configuration(1, document))
    return subject


def names(candidates):
    return [candidate.data_centre for candidate in candidates]


def test_service_without_local_targets_or_owner_goes_elsewhere():
    holder = FullHolder(SETTINGS, "i", 1)
    without_targets = placement({**DOCUMENT, "targets_by_name": {}})
    without_targets.apply_summary(summary("a2", 0, 9), 0)
    assert names(without_targets.choose("s", 5_000, holder, 0)) == ["a2", "a1"]
    without_owner = placement()
    without_owner.apply_summary(summary("a2", 0, 9), 0)
    candidates = without_owner.choose("s", 5_000, holder, 0, is_local_pool_open=False)
    assert names(candidates) == ["a2", "a1"]


def test_local_data_centre_first_then_the_region_then_others():
    subject = placement()
    holder = FullHolder(SETTINGS, "i", 1)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a1"]
    for message in (summary("a1", 0, 0), summary("a2", 0, 9), summary("b1", 0, 9)):
        subject.apply_summary(message, 0)
    candidates = subject.choose("s", 5_000, holder, 0)
    assert names(candidates) == ["a1", "a2", "b1", "a1"]
    assert [candidate.wait_limit_ms for candidate in candidates] == [
        7,
        None,
        None,
        None,
    ]
    subject.apply_summary(summary("a1", 500, 0, 2), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a2", "b1", "a1"]
    subject.apply_summary(summary("a2", 1_000, 0, 2), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["b1", "a2", "a1"]
    assert names(subject.choose("s", 100, holder, 0)) == ["a1"], (
        "the deadline is too near for other data centres"
    )


def test_without_credit_only_the_local_data_centre_is_chosen():
    subject = placement()
    holder = CreditHolder(SETTINGS, "i", 1)
    subject.apply_summary(summary("a1", 500, 0), 0)
    subject.apply_summary(summary("a2", 0, 9), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a1"]
    (request,) = holder.tick(subject.owner_by_pool(0), 0)
    assert (request.destination, request.body.data_centre) == ("a2-i", "a2")


def test_stale_outdated_and_closed_summaries_are_not_used():
    subject = placement()
    holder = FullHolder(SETTINGS, "i", 1)
    subject.apply_summary(summary("a1", 500, 0, sequence=5), 0)
    subject.apply_summary(summary("a1", 0, 20, sequence=4), 0)
    subject.apply_summary(summary("a1", 0, 20, owner="other", age_ms=9), 0)
    subject.apply_summary(summary("a2", -1, 0), 0)
    subject.apply_summary(summary("b1", 0, 20, age_ms=SETTINGS.summary_stale_ms), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["a1"]
    subject.apply_summary(summary("b1", 0, 20, sequence=2), 0)
    assert names(subject.choose("s", 5_000, holder, 0)) == ["b1", "a1"]


def test_link_without_capacity_is_not_chosen():
    class ExhaustedLinks:
        def has_room(self, destination, now):
            return destination != "b1"

    subject = placement(links=ExhaustedLinks())
    subject.apply_summary(summary("a1", 500, 0), 0)
    subject.apply_summary(summary("a2", 50, 9), 0)
    subject.apply_summary(summary("b1", 0, 9), 0)
    candidates = subject.choose("s", 5_000, FullHolder(SETTINGS, "i", 1), 0)
    assert names(candidates) == ["a2", "a1"]


def test_shift_moves_its_share_and_names_the_shift():
    shift = {**{k: v for k, v in SHIFT.items() if k != "rate_per_s"}}
    shift["cap"] = {"rate_per_s": 10, "burst": 1}
    subject = placement({**DOCUMENT, "shifts_by_name": {"move": shift}})
    holder = FullHolder(SETTINGS, "i", 1)
    moved = 0
    for _ in range(1_000):
        candidates = subject.choose("s", 5_000, holder, 0)
        assert names(candidates)[-1] == "a1", (
            "the local data centre is always the last candidate"
        )
        moved += candidates[0] == ("b1", "move", True, None)
    assert moved == 300


class OverloadMachine(RuleBasedStateMachine):
    """Two instances in each other data centre send requests after false summaries."""

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
            sender_placement = Placement(SETTINGS, home, random.Random(2))
            sender_placement.configure(read_configuration(1, DOCUMENT))
            self.senders[name] = (sender_placement, CreditHolder(SETTINGS, name, 1))
        self.messages = []
        self.requests = []
        self.running = {}
        self.queued_remote = set()

    def apply(self, effects):
        for effect in effects:
            self.queued_remote.discard(effect.request_id)
            if isinstance(effect, Refuse):
                continue
            assert isinstance(effect, Start)
            self.running[effect.request_id] = effect.target_name
            load = [*self.running.values()].count(effect.target_name)
            assert load <= 3, "a target has more requests than slots"

    def submit(self, request_id):
        self.apply(self.pool.submit(request_id, "o", self.now + 9_000, self.now))

    @rule(name=st.sampled_from("xyzw"), free_slots=st.integers(0, 10**6))
    def report_false_summary(self, name, free_slots):
        sender_placement = self.senders[name][0]
        home = sender_placement._data_centre
        sender_placement.apply_summary(summary(home, 4_000, 0, self.now + 1), self.now)
        false_summary = summary(
            "b1", 0, free_slots, self.now + 1, owner="b1-i", capacity=10**6
        )
        sender_placement.apply_summary(false_summary, self.now)

    @rule(name=st.sampled_from("xyzw"), count=st.integers(1, 20))
    def send(self, name, count):
        sender_placement, holder = self.senders[name]
        for _ in range(count):
            candidates = sender_placement.choose("s", 9_000, holder, self.now)
            if candidates[0].data_centre != "b1":
                continue
            credit = holder.spend(PoolKey("s", "b1"), self.now)
            assert credit is not None, "a candidate was chosen without credit"
            self.requests.append(credit)
        effects = holder.tick(sender_placement.owner_by_pool(self.now), self.now)
        self.messages += [e for e in effects if e.body.data_centre == "b1"]

    @rule(data=st.data(), is_repeated=st.booleans())
    def deliver(self, data, is_repeated):
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        effect = self.messages[index] if is_repeated else self.messages.pop(index)
        if isinstance(effect.body, CreditAsk):
            free_slots = self.pool.free_slots(self.now)
            capacity = self.pool.capacity(self.now)
            service_ms = int(self.pool.service_time_ms())
            self.messages += self.lender.answer_request(
                effect.body, free_slots, capacity, self.now, service_ms
            )
        else:
            self.senders[effect.destination][1].apply_grant(effect.body, self.now)

    @rule(data=st.data(), is_repeated=st.booleans())
    def arrive(self, data, is_repeated):
        if not self.requests:
            return
        index = data.draw(st.integers(0, len(self.requests) - 1))
        credit = self.requests[index] if is_repeated else self.requests.pop(index)
        if self.lender.redeem(credit, self.now):
            self.count += 1
            self.queued_remote.add(self.count)
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
            self.apply(self.pool.finish(key, report, self.now))

    @rule(duration_ms=st.sampled_from((1, 50, 200, 400)))
    def wait(self, duration_ms):
        self.now += duration_ms
        self.apply(self.pool.tick(self.now))

    @invariant()
    def remote_requests_fit_beside_local_demand(self):
        waiting = len(self.queued_remote) + self.lender.outstanding_units(self.now)
        # All requests take 50 ms, so three more requests follow each slot in 150 ms.
        assert SETTINGS.credit_wait_max_ms == 150
        assert waiting <= 4 * self.CAPACITY - 1


TestOverloadMachine = OverloadMachine.TestCase
TestOverloadMachine.settings = settings(
    max_examples=60, stateful_step_count=40, report_multiple_bugs=False
)
