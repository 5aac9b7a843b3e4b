"""Rates shared by all instances hold under delay, loss, partitions and restarts."""

import random
import statistics

import pytest
from hypothesis import given, settings, strategies as st

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.bucket import Demand
from sequoiahook.decisions.direct.quota import (
    DEFAULT_SHARE_TOTAL,
    Quota,
    QuotaSettings,
)
from sequoiahook.messages.reports import QuotaTable, TokenRequest
from sequoiahook.world.contract import Contract

STEP_MS = 20
REPORT_MS = 200
WINDOW_MS = 5_000
WAIT_MS = 130
EXCESS = 0.1
SLACK = 20


class Fleet:
    """Quotas that exchange tables over a network with delay, loss and partitions.

    The oracle only counts the requests sent, in every window that ends at one of them.
    """

    def __init__(self, count, contract, rng, loss=0.0):
        self.contract = contract
        self.rng = rng
        self.loss = loss
        self.now = 0
        self.names = [f"n{index}" for index in range(count)]
        self.quotas = {}
        self.partitioned = set()
        self.in_transit = []
        self.sent_at = []
        self.arrived = 0
        for name in self.names:
            self.start(name)

    def start(self, name):
        quota = Quota(QuotaSettings(), name, self.now)
        quota.configure({"o": self.contract})
        near = [peer for peer in self.names if self.region(peer) == self.region(name)]
        quota.set_members(self.names, self.now, near)
        self.quotas[name] = quota

    def post(self, source, destination, deliver):
        is_partitioned = (source in self.partitioned) != (
            destination in self.partitioned
        )
        if not is_partitioned and self.rng.random() >= self.loss:
            is_near = self.region(source) == self.region(destination)
            delay_ms = 1 if is_near else self.rng.choice((35, 55))
            self.in_transit.append((self.now + delay_ms, deliver))

    def region(self, name):
        return self.names.index(name) * 3 // len(self.names)

    def step(self, rate_by_name):
        self.now += STEP_MS
        due = [deliver for at, deliver in self.in_transit if at <= self.now]
        self.in_transit = [
            (at, deliver) for at, deliver in self.in_transit if at > self.now
        ]
        for deliver in due:
            deliver()
        for index, name in enumerate(self.names):
            if (self.now // STEP_MS + index) % (REPORT_MS // STEP_MS) == 0:
                self.report(name)
            self.generate_requests(name, rate_by_name.get(name, 0.0))

    def report(self, name):
        quota = self.quotas[name]
        quota.update(self.now)
        for peer in self.names:
            if peer != name:
                table = quota.table_for(peer)
                self.post(
                    name,
                    peer,
                    lambda peer=peer, table=table: self.quotas[peer].receive_table(
                        name, table, self.now
                    ),
                )

    def generate_requests(self, name, rate):
        expected = rate * STEP_MS / MS_PER_S
        arrivals = int(expected) + (self.rng.random() < expected % 1)
        quota = self.quotas[name]
        for _ in range(arrivals):
            quota.count_demand("o")
            self.arrived += 1
            if not self.take(quota) and quota.can_borrow("o", self.now):
                self.in_transit.append((self.now + WAIT_MS, lambda: self.take(quota)))
            for peer, request in quota.pop_token_requests():
                self.post(name, peer, lambda p=peer, r=request: self.lend(p, name, r))

    def take(self, quota):
        is_taken = quota.take("o", self.now) == 0
        if is_taken:
            self.sent_at.append(self.now)
        return is_taken

    def lend(self, lender, borrower, request):
        grant = self.quotas[lender].lend(request, self.now)
        if grant is not None:
            self.post(
                lender,
                borrower,
                lambda: self.quotas[borrower].receive_loan(grant, self.now),
            )

    def most_in_a_window(self):
        most, start = 0, 0
        for end, at in enumerate(self.sent_at):
            while self.sent_at[start] <= at - WINDOW_MS:
                start += 1
            most = max(most, end - start + 1)
        return most

    def bound(self):
        allowed = self.contract.rate_per_s * WINDOW_MS / MS_PER_S + self.contract.burst
        return allowed * (1 + EXCESS) + SLACK


@settings(deadline=None, max_examples=15)
@given(
    seed=st.integers(0, 1 << 32),
    rate=st.integers(5, 200),
    count=st.integers(2, 12),
    loss=st.sampled_from((0.0, 0.1)),
    data=st.data(),
)
def test_no_window_exceeds_the_rate(seed, rate, count, loss, data):
    rng = random.Random(seed)
    fleet = Fleet(count, Contract(rate, rate), rng, loss)
    for _ in range(data.draw(st.integers(3, 6))):
        fault = data.draw(
            st.sampled_from(("shift", "cut", "heal", "restart", "restart-all"))
        )
        if fault == "cut":
            fleet.partitioned = set(rng.sample(fleet.names, rng.randint(1, count - 1)))
        elif fault == "heal":
            fleet.partitioned = set()
        elif fault == "restart":
            fleet.start(rng.choice(fleet.names))
        elif fault == "restart-all":
            for name in fleet.names:
                fleet.start(name)
        demand = {name: rng.choice((0.0, 0.5, 3.0)) * rate for name in fleet.names}
        for _ in range(3_000 // STEP_MS):
            fleet.step(demand)
    assert fleet.most_in_a_window() <= fleet.bound()


def test_a_small_rate_is_refused_less_than_half_as_often_as_with_fixed_shares():
    fleet = Fleet(11, Contract(25, 25), random.Random(5))
    alone = [Fleet(1, Contract(25, 25), random.Random(i)) for i in range(11)]
    for instance in alone:
        instance.quotas["n0"].configure({"o": Contract(25 // 11, 25 // 11)})
    for _ in range(3_000 // STEP_MS):
        fleet.step({})
        for instance in alone:
            instance.step({})
    for _ in range(20_000 // STEP_MS):
        fleet.step({name: 16 / 11 for name in fleet.names})
        for instance in alone:
            instance.step({"n0": 16 / 11})
    assert fleet.arrived > 250
    refused = 1 - len(fleet.sent_at) / fleet.arrived
    arrived_alone = sum(instance.arrived for instance in alone)
    refused_alone = 1 - sum(len(i.sent_at) for i in alone) / arrived_alone
    assert refused < refused_alone / 2


def test_an_instance_may_use_most_of_a_rate_without_demand_elsewhere():
    fleet = Fleet(11, Contract(100, 100), random.Random(5))
    for _ in range(5_000 // STEP_MS):
        fleet.step({"n0": 100.0})
    before = len(fleet.sent_at)
    for _ in range(5_000 // STEP_MS):
        fleet.step({"n0": 100.0})
    assert len(fleet.sent_at) - before >= 0.7 * 100 * 5


def test_a_share_does_not_grow_while_a_member_is_partitioned():
    fleet = Fleet(2, Contract(100, 10), random.Random(5))
    for _ in range(3_000 // STEP_MS):
        fleet.step({"n0": 30.0, "n1": 30.0})
    share = fleet.quotas["n0"].share("o")
    fleet.partitioned = {"n1"}
    for _ in range(3_000 // STEP_MS):
        fleet.step({"n0": 300.0, "n1": 300.0})
    assert fleet.quotas["n0"].share("o") <= share * 1.1
    assert fleet.quotas["n1"].share("o") <= (1 - share) * 1.1


def test_a_table_for_other_organisations_is_ignored():
    quota = Quota(QuotaSettings(), "me", 0)
    quota.configure({"o": Contract(10, 10)})
    quota.set_members(["peer"], 0)
    quota.receive_table("peer", QuotaTable(1, (1,), (1_000,), (5,)), 0)
    quota.update(1_000)
    assert quota.share("o") <= 0.25


def test_lent_tokens_are_taken_from_the_lender():
    quota = Quota(QuotaSettings(), "me", 0)
    quota.configure({"o": Contract(10, 10)})
    quota.update(0)
    quota.update(1_000)
    quota.update(2_000)
    grant = quota.lend(TokenRequest("o", 3), 2_000)
    assert grant.tokens == 3
    taken = 0
    while quota.take("o", 2_000) == 0:
        taken += 1
    assert taken == 7


def test_a_new_member_does_not_block_the_others():
    quota = Quota(QuotaSettings(), "me", 0)
    quota.configure({"o": Contract(100, 100)})
    quota.update(0)
    quota.update(5_000)
    quota.set_members(["new"], 5_000)
    quota.update(5_200)
    assert quota.share("o") >= 0.5
    assert quota.take("o", 5_200) == 0


def test_a_quota_is_not_settled_before_all_members_have_reported():
    quota = Quota(QuotaSettings(), "me", 0)
    quota.configure({"o": Contract(100, 100)})
    quota.update(0)
    assert not quota.is_settled
    quota.set_members([], 50)
    assert quota.is_settled
    quota.set_members(["other"], 100)
    assert not quota.is_settled
    assert quota.share("o") == DEFAULT_SHARE_TOTAL / 2


@pytest.mark.parametrize("rate", [8, 60])
def test_requests_are_served_at_once_after_a_restart_of_all_members(rate):
    """Before, no member used any share until all others had reported."""
    fleet = Fleet(9, Contract(rate, rate), random.Random(1))
    demand = dict.fromkeys(fleet.names, rate / 2 / len(fleet.names))
    for _ in range(10_000 // STEP_MS):
        fleet.step(demand)
    for name in fleet.names:
        fleet.start(name)
    restarted_at = fleet.now
    for _ in range(MS_PER_S // STEP_MS):
        fleet.step(demand)
    served = sum(at > restarted_at for at in fleet.sent_at)
    assert served >= rate / 2 * 0.5


@pytest.mark.parametrize("restart_count", [1, 2, 5, 9])
def test_the_rate_holds_if_members_restart_twice_in_a_window(restart_count):
    contract = Contract(50, 50)
    for seed in range(20):
        rng = random.Random(seed)
        fleet = Fleet(9, contract, rng)
        demand = dict.fromkeys(fleet.names, rng.choice((10, 20, 40)))
        for round_number in range(3):
            for _ in range((8_000 if round_number == 0 else 1_500) // STEP_MS):
                fleet.step(demand)
            for name in rng.sample(fleet.names, restart_count):
                fleet.start(name)
        for _ in range(6_000 // STEP_MS):
            fleet.step(demand)
        assert fleet.most_in_a_window() <= fleet.bound()


def test_callers_over_the_rate_get_increasing_retry_after_times():
    quota = Quota(QuotaSettings(), "me", 0)
    quota.configure({"o": Contract(10, 10)})
    quota.update(0)
    quota.update(5_000)
    while quota.take("o", 5_000) == 0:
        pass
    retry_after_ms = [quota.retry_after_ms("o", 5_000) for _ in range(20)]
    assert retry_after_ms == sorted(retry_after_ms)
    assert retry_after_ms[0] <= 100
    assert retry_after_ms[-1] - retry_after_ms[0] == 19 * 100
    assert quota.retry_after_ms("o", 60_000) <= 100


def estimates_of(arrival_counts, arrivals_min):
    """Return the estimates after each interval of 300 ms."""
    demand = Demand(arrivals_min)
    demand.update(4_000, 0)
    estimates = []
    for index, count in enumerate(arrival_counts):
        for _ in range(count):
            demand.add()
        demand.update(4_000, (index + 1) * 300)
        estimates.append(demand.per_s)
    return estimates


def test_chance_moves_the_estimate_of_a_small_demand_little():
    """Shares that follow chance refuse requests of organisations within their rate."""
    rng = random.Random(4)
    counts = [sum(rng.random() < 0.042 for _ in range(10)) for _ in range(4_000)]
    settled = estimates_of(counts, QuotaSettings().demand_arrivals_min)[100:]
    assert statistics.stdev(settled) < 0.22 * statistics.mean(settled)
    assert statistics.mean(settled) == pytest.approx(1.4, rel=0.1)


def test_the_estimate_follows_a_demand_that_grows_at_once():
    estimates = estimates_of([15] * 20, QuotaSettings().demand_arrivals_min)
    assert estimates[13] >= 0.6 * 50
