"""Credit over a network that loses, repeats, delays and reorders, with other clocks."""

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
    credit_ask_timeout_ms=120,
    credit_wait_ms=100,
)
POOL = PoolKey("register", "b1")
CAPACITY = 20
RESERVE = 2
SERVICE_MS = 50
# Two of them stand in one data centre, and each believes that it is alone.
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
        self.asked = {}
        self.restart_lender()

    def clock(self, name):
        return OFFSET_MS[name] + self.now * DRIFT_PERCENT[name] // 100

    @rule()
    def restart_lender(self):
        self.lender_incarnation += 1
        self.lender = CreditLender(SETTINGS, *POOL, "b", self.lender_incarnation)
        self.granted = {}
        self.asked = {}

    @rule(name=st.sampled_from(BORROWERS))
    def restart_borrower(self, name):
        self.incarnations[name] += 1
        self.holders[name] = CreditHolder(SETTINGS, name, self.incarnations[name])

    @rule(name=st.sampled_from(BORROWERS), count=st.integers(1, 30))
    def want(self, name, count):
        holder = self.holders[name]
        holder.want(POOL, count)
        for effect in holder.tick({POOL: "b"}, self.clock(name)):
            self.messages.append(effect)

    @rule(data=st.data(), free_slots=st.integers(-5, CAPACITY), keep=st.booleans())
    def deliver(self, data, free_slots, keep):
        """Any message in flight may come next, and may come again."""
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[index] if keep else self.messages.pop(index)
        if isinstance(message.body, CreditAsk):
            self.answer(message.body, free_slots)
            return
        holder = self.holders[message.destination]
        holder.granted(message.body, self.clock(message.destination))

    def answer(self, ask, free_slots):
        effects = self.lender.ask(ask, free_slots, CAPACITY, self.now, SERVICE_MS)
        for effect in effects:
            self.messages.append(effect)
            grant = effect.body
            assert isinstance(grant, CreditGrant)
            key = grant.grant_id
            ask_key = (ask.borrower, ask.incarnation, ask.ask_id)
            if key in self.granted:
                assert self.granted[key][::2] == (grant.count, ask_key)
                continue
            known_at = self.asked.get(ask_key, -(10**6))
            assert self.now - known_at > SETTINGS.credit_lease_ms, "lends again"
            self.asked[ask_key] = self.now
            before = self.outstanding()
            self.granted[key] = (grant.count, self.now, ask_key)
            if grant.count:
                # Two more can follow each free slot within the wait that is allowed.
                assert before + grant.count <= 3 * free_slots - RESERVE
            assert grant.count <= ask.wanted

    def outstanding(self):
        """Units that may still arrive: granted, within the lease, not redeemed."""
        total = 0
        for key, (count, granted_at, _) in self.granted.items():
            if self.now - granted_at <= SETTINGS.credit_lease_ms:
                used = [unit for unit in self.redeemed if unit[1] == key]
                mine = [unit for unit in used if unit[0] == self.lender_incarnation]
                total += count - len(mine)
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
        """An ask and its grant pass at once; the ask and the grant may come again."""
        before = len(self.messages)
        self.want(name, 9)
        for effect in self.messages[before:]:
            self.answer(effect.body, free_slots)
        for effect in self.messages[before:]:
            if isinstance(effect.body, CreditGrant):
                self.holders[name].granted(effect.body, self.clock(name))
        self.spend(name)

    @rule(data=st.data(), keep=st.booleans())
    def arrive(self, data, keep):
        if not self.requests:
            return
        index = data.draw(st.integers(0, len(self.requests) - 1))
        credit = self.requests[index] if keep else self.requests.pop(index)
        unit = (credit.lender_incarnation, credit.grant_id, credit.unit)
        is_taken = self.lender.redeem(credit, self.now)
        if is_taken:
            assert unit not in self.redeemed, "a unit is redeemed twice"
            assert credit.lender_incarnation == self.lender_incarnation
            self.redeemed.add(unit)

    @rule(duration_ms=st.sampled_from((1, 10, 60, 200, 500)))
    def wait(self, duration_ms):
        self.now += duration_ms

    @invariant()
    def what_may_arrive_is_counted(self):
        spendable = 0
        for name, holder in self.holders.items():
            count = holder.count(POOL, self.clock(name))
            assert count <= CAPACITY * 3
            spendable += sum(
                unit.lender_incarnation == self.lender_incarnation
                for held in holder._held_by_pool.get(POOL, ())
                for unit in held.units
                if held.until > self.clock(name)
            )
        assert spendable <= self.lender.lent(self.now)


TestCreditMachine = CreditMachine.TestCase
TestCreditMachine.settings = settings(
    max_examples=80, stateful_step_count=40, report_multiple_bugs=False
)


def test_credit_flows_when_nothing_is_lost():
    lender = CreditLender(SETTINGS, *POOL, "b", 1)
    holder = CreditHolder(SETTINGS._replace(credit_ahead=0), "a1", 1)
    holder.want(POOL, 5)
    (ask,) = holder.tick({POOL: "b"}, 0)
    (grant,) = lender.ask(ask.body, CAPACITY, CAPACITY, 7)
    assert holder.granted(grant.body, 20)
    assert not holder.granted(grant.body, 21), "a repeat counts once"
    assert [holder.spend(POOL, 30) is not None for _ in range(6)] == [True] * 5 + [
        False
    ]
    assert lender.lent(30) == 5


def test_lapsed_credit_sends_nothing():
    lender = CreditLender(SETTINGS, *POOL, "b", 1)
    holder = CreditHolder(SETTINGS, "a1", 1)
    holder.want(POOL, 5)
    (ask,) = holder.tick({POOL: "b"}, 0)
    (grant,) = lender.ask(ask.body, CAPACITY, CAPACITY, 7)
    holder.granted(grant.body, 20)
    assert holder.spend(POOL, 299) is not None
    assert holder.spend(POOL, 300) is None
    assert lender.lent(457) == 0


def test_credit_of_a_lender_that_restarted_is_worth_nothing():
    before = CreditLender(SETTINGS, *POOL, "b", 1)
    after = CreditLender(SETTINGS, *POOL, "b", 2)
    holder = CreditHolder(SETTINGS, "a1", 1)
    holder.want(POOL, 2)
    (ask,) = holder.tick({POOL: "b"}, 0)
    (grant,) = before.ask(ask.body, CAPACITY, CAPACITY, 1)
    after.ask(ask.body, CAPACITY, CAPACITY, 2)
    holder.granted(grant.body, 3)
    credit = holder.spend(POOL, 4)
    assert not after.redeem(credit, 5)
    assert before.redeem(credit, 5)
