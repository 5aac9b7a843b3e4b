"""Credit over an unreliable network, between instances with unequal clocks."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiahook.decisions.placement import (
    CreditHolder,
    CreditLender,
    PlacementSettings,
)
from sequoiahook.decisions.placement.holder import PoolKey
from sequoiahook.messages.pools import CreditAsk, CreditGrant

SETTINGS = PlacementSettings(
    credit_lease_ms=300,
    credit_margin_ms=150,
    credit_request_timeout_ms=120,
    credit_wait_max_ms=100,
)
POOL = PoolKey("register", "b1")
CAPACITY = 20
RESERVE = 2
SERVICE_MS = 50
# Two are in one data centre and do not know of each other.
BORROWERS = ("a1", "a2", "c1")
DRIFT_PERCENT = {"a1": 104, "a2": 100, "c1": 96}
OFFSET_MS = {"a1": 0, "a2": 1_000_000, "c1": 77}


class CreditMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0
        self.messages = []
        self.requests = []
        self.lender_incarnation = 0
        self.incarnations = dict.fromkeys(BORROWERS, 1)
        self.holders = {name: CreditHolder(SETTINGS, name, 1) for name in BORROWERS}
        self.granted = {}
        self.spent = set()
        self.redeemed = set()
        self.answered_at_by_request = {}
        self.restart_lender()

    def clock(self, name):
        return OFFSET_MS[name] + self.now * DRIFT_PERCENT[name] // 100

    @rule()
    def restart_lender(self):
        self.lender_incarnation += 1
        self.lender = CreditLender(SETTINGS, *POOL, "b", self.lender_incarnation)
        self.granted = {}
        self.answered_at_by_request = {}

    @rule(name=st.sampled_from(BORROWERS))
    def restart_borrower(self, name):
        self.incarnations[name] += 1
        self.holders[name] = CreditHolder(SETTINGS, name, self.incarnations[name])

    @rule(name=st.sampled_from(BORROWERS), count=st.integers(1, 30))
    def request_credit(self, name, count):
        holder = self.holders[name]
        holder.add_demand(POOL, count)
        for effect in holder.tick({POOL: "b"}, self.clock(name)):
            self.messages.append(effect)

    @rule(
        data=st.data(), free_slots=st.integers(-5, CAPACITY), is_repeated=st.booleans()
    )
    def deliver(self, data, free_slots, is_repeated):
        """Any message in flight may be delivered next, and may be repeated."""
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[index] if is_repeated else self.messages.pop(index)
        if isinstance(message.body, CreditAsk):
            self.answer(message.body, free_slots)
            return
        holder = self.holders[message.destination]
        holder.apply_grant(message.body, self.clock(message.destination))

    def answer(self, request, free_slots):
        effects = self.lender.answer_request(
            request, free_slots, CAPACITY, self.now, SERVICE_MS
        )
        for effect in effects:
            self.messages.append(effect)
            grant = effect.body
            assert isinstance(grant, CreditGrant)
            key = grant.grant_id
            request_key = (request.borrower, request.incarnation, request.ask_id)
            if key in self.granted:
                assert self.granted[key][::2] == (grant.count, request_key)
                continue
            answered_at = self.answered_at_by_request.get(request_key, -(10**6))
            assert self.now - answered_at > SETTINGS.credit_lease_ms, (
                "a repeated request was granted again"
            )
            self.answered_at_by_request[request_key] = self.now
            before = self.outstanding()
            self.granted[key] = (grant.count, self.now, request_key)
            if grant.count:
                # Two more requests can follow each free slot within the longest wait.
                assert before + grant.count <= 3 * free_slots - RESERVE
            assert grant.count <= request.wanted

    def outstanding(self):
        """Return the units granted within the lease that have not been redeemed."""
        total = 0
        for key, (count, granted_at, _) in self.granted.items():
            if self.now - granted_at <= SETTINGS.credit_lease_ms:
                redeemed_units = [unit for unit in self.redeemed if unit[1] == key]
                own_units = [
                    unit
                    for unit in redeemed_units
                    if unit[0] == self.lender_incarnation
                ]
                total += count - len(own_units)
        return total

    @rule(name=st.sampled_from(BORROWERS))
    def spend(self, name):
        credit = self.holders[name].spend(POOL, self.clock(name))
        if credit is None:
            return
        unit = (credit.lender_incarnation, credit.grant_id, credit.unit)
        assert unit not in self.spent, "a unit is spent twice"
        self.spent.add(unit)
        self.requests.append(credit)
        if credit.lender_incarnation == self.lender_incarnation:
            count, granted_at, _ = self.granted[credit.grant_id]
            assert credit.unit < count
            assert self.now - granted_at <= SETTINGS.credit_lease_ms * 1.05

    @rule(name=st.sampled_from(BORROWERS), free_slots=st.integers(1, CAPACITY))
    def borrow(self, name, free_slots):
        """A request and its grant are delivered at once; both may be repeated later."""
        before = len(self.messages)
        self.request_credit(name, 9)
        for effect in self.messages[before:]:
            self.answer(effect.body, free_slots)
        for effect in self.messages[before:]:
            if isinstance(effect.body, CreditGrant):
                self.holders[name].apply_grant(effect.body, self.clock(name))
        self.spend(name)

    @rule(data=st.data(), is_repeated=st.booleans())
    def arrive(self, data, is_repeated):
        if not self.requests:
            return
        index = data.draw(st.integers(0, len(self.requests) - 1))
        credit = self.requests[index] if is_repeated else self.requests.pop(index)
        unit = (credit.lender_incarnation, credit.grant_id, credit.unit)
        is_accepted = self.lender.redeem(credit, self.now)
        if is_accepted:
            assert unit not in self.redeemed, "a unit is redeemed twice"
            assert credit.lender_incarnation == self.lender_incarnation
            self.redeemed.add(unit)

    @rule(duration_ms=st.sampled_from((1, 10, 60, 200, 500)))
    def wait(self, duration_ms):
        self.now += duration_ms

    @invariant()
    def spendable_units_are_counted(self):
        spendable = 0
        for name, holder in self.holders.items():
            count = holder.count(POOL, self.clock(name))
            assert count <= CAPACITY * 3
            spendable += sum(
                unit.lender_incarnation == self.lender_incarnation
                for grant in holder._grants_by_pool.get(POOL, ())
                for unit in grant.units
                if grant.expires_at > self.clock(name)
            )
        assert spendable <= self.lender.outstanding_units(self.now)


TestCreditMachine = CreditMachine.TestCase
TestCreditMachine.settings = settings(
    max_examples=80, stateful_step_count=40, report_multiple_bugs=False
)


def test_granted_units_can_be_spent_once():
    lender = CreditLender(SETTINGS, *POOL, "b", 1)
    holder = CreditHolder(SETTINGS._replace(credit_prefetch_units=0), "a1", 1)
    holder.add_demand(POOL, 5)
    (request,) = holder.tick({POOL: "b"}, 0)
    (grant,) = lender.answer_request(request.body, CAPACITY, CAPACITY, 7)
    assert holder.apply_grant(grant.body, 20)
    assert not holder.apply_grant(grant.body, 21), "a repeated grant counts once"
    assert [holder.spend(POOL, 30) is not None for _ in range(6)] == [True] * 5 + [
        False
    ]
    assert lender.outstanding_units(30) == 5


def test_expired_credit_cannot_be_spent():
    lender = CreditLender(SETTINGS, *POOL, "b", 1)
    holder = CreditHolder(SETTINGS, "a1", 1)
    holder.add_demand(POOL, 5)
    (request,) = holder.tick({POOL: "b"}, 0)
    (grant,) = lender.answer_request(request.body, CAPACITY, CAPACITY, 7)
    holder.apply_grant(grant.body, 20)
    assert holder.spend(POOL, 299) is not None
    assert holder.spend(POOL, 300) is None
    assert lender.outstanding_units(457) == 0


def test_restarted_lender_rejects_earlier_credit():
    before = CreditLender(SETTINGS, *POOL, "b", 1)
    after = CreditLender(SETTINGS, *POOL, "b", 2)
    holder = CreditHolder(SETTINGS, "a1", 1)
    holder.add_demand(POOL, 2)
    (request,) = holder.tick({POOL: "b"}, 0)
    (grant,) = before.answer_request(request.body, CAPACITY, CAPACITY, 1)
    after.answer_request(request.body, CAPACITY, CAPACITY, 2)
    holder.apply_grant(grant.body, 3)
    credit = holder.spend(POOL, 4)
    assert not after.redeem(credit, 5)
    assert before.redeem(credit, 5)
