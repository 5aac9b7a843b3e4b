from exchange_simulation import DEADLINE_MS, PAUSE_MS, Simulation
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sequoiahook.decisions.exchange.target_result import Stage

INDEX = st.integers(0, 30)
INSTANCE_NAMES = st.sampled_from("abc")
CANDIDATES = st.sampled_from(["a", "b", "c", "ab", "ba", "bc", "cab"])
CONNECT_FAILURES = st.sampled_from(
    [None, None, Stage.CONNECT_REFUSED, Stage.CONNECT_TIMEOUT]
)
DELIVERED = ("deliver_all",)
WRITTEN = ("deliver_all", "write_all")
ANSWERED = ("deliver_all", "write_all", "answer_all", "deliver_all")
STEPS = st.sampled_from(
    [
        (),
        DELIVERED,
        WRITTEN,
        ANSWERED,
        ("deliver_newest_first",),
        ("write_all",),
        ("answer_all",),
    ]
)
STAGES = st.sampled_from(
    [
        None,
        Stage.ANSWERED,
        Stage.SHED,
        Stage.WRITTEN_NO_ANSWER,
        Stage.PARTLY_WRITTEN,
        Stage.ANSWER_TRUNCATED,
    ]
)


def requires(*names):
    return precondition(lambda self: all(getattr(self.simulation, n) for n in names))


def wrap(items, index):
    return index % len(items)


class ExchangeMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.simulation = Simulation()

    @rule(
        name=INSTANCE_NAMES,
        candidates=CANDIDATES,
        idempotent=st.sampled_from([False, False, True]),
        key_name=st.sampled_from(["k1", "k1", "k2"]),
        token_lease_ms=st.sampled_from([60, 5000, 5000]),
        steps=STEPS,
    )
    def admit(self, name, candidates, idempotent, key_name, token_lease_ms, steps):
        self.simulation.admit(
            self.simulation.instances[name],
            tuple(candidates),
            idempotent=idempotent,
            key_name=key_name,
            token_lease_ms=token_lease_ms,
        )
        self.run_steps(steps)

    @requires("messages")
    @rule(
        index=INDEX, delivery=st.sampled_from(["arrives", "arrives", "lost", "failed"])
    )
    def deliver_or_lose_message(self, index, delivery):
        index = wrap(self.simulation.messages, index)
        if delivery == "failed":
            self.simulation.send_failed(index)
            return
        message = self.simulation.messages.pop(index)
        if delivery == "arrives":
            self.simulation.deliver(message)

    @rule(steps=STEPS)
    def run_steps(self, steps):
        """Run some steps without faults."""
        for step in steps:
            getattr(self.simulation, step)()

    @requires("handovers")
    @rule(index=INDEX)
    def repeat_handover(self, index):
        handovers = self.simulation.handovers
        self.simulation.deliver(handovers[wrap(handovers, index)])

    @requires("writes")
    @rule(index=INDEX, connect_failure=CONNECT_FAILURES)
    def write(self, index, connect_failure):
        self.simulation.write(wrap(self.simulation.writes, index), connect_failure)

    @requires("sent")
    @rule(index=INDEX, stage=STAGES)
    def advance_target(self, index, stage):
        """Run a request, or end its exchange, or both."""
        sent = self.simulation.sent[wrap(self.simulation.sent, index)]
        if stage is None:
            self.simulation.run(sent)
        else:
            self.simulation.end_exchange(sent, stage)

    @requires("reserves")
    @rule(index=INDEX, is_granted=st.sampled_from([True, True, False]))
    def reserve(self, index, is_granted):
        self.simulation.reserve(wrap(self.simulation.reserves, index), is_granted)

    @requires("records_by_number")
    @rule(index=INDEX)
    def caller_gone(self, index):
        simulation = self.simulation
        number = 1 + wrap(simulation.records_by_number, index)
        instance = simulation.records_by_number[number].instance
        if simulation.instances[instance.name] is instance:
            effects = instance.entry.caller_gone(
                number, simulation.read_clock(instance)
            )
            simulation.apply(instance, effects)

    @rule(duration_ms=st.sampled_from([1, 50, 50, 120, 350, DEADLINE_MS, 4000]))
    def advance(self, duration_ms):
        self.simulation.advance(duration_ms)

    @rule(
        name=INSTANCE_NAMES,
        other=INSTANCE_NAMES,
        fault=st.sampled_from(
            [
                "kill",
                "pause",
                "peer_lost",
                "peer_up",
                "reconnect_all",
                "sender_gone",
                "tick",
                "withdraw",
            ]
        ),
    )
    def inject_fault(self, name, other, fault):
        simulation = self.simulation
        instance = simulation.instances[name]
        if fault == "kill":
            simulation.kill(name)
        elif fault == "pause":
            simulation.pause(instance)
            simulation.advance(2 * PAUSE_MS)
        elif fault == "tick":
            simulation.tick(instance)
        elif fault == "withdraw":
            simulation.withdraw(instance, "k2")
        else:
            simulation.change_link(instance, other, fault)

    @invariant()
    def invariants_hold(self):
        if hasattr(self, "simulation"):
            self.simulation.check()

    def teardown(self):
        if hasattr(self, "simulation"):
            self.simulation.settle()
            self.simulation.check_at_rest()


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=200, stateful_step_count=50)
