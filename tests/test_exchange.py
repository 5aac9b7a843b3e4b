from exchange_world import DEADLINE_MS, PAUSE_MS, World
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
NAMES = st.sampled_from("abc")
PLACES = st.sampled_from(["a", "b", "c", "ab", "ba", "bc", "cab"])
PROOFS = st.sampled_from([None, None, Stage.CONNECT_REFUSED, Stage.CONNECT_TIMEOUT])
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


def has(*names):
    return precondition(lambda self: all(getattr(self.world, n) for n in names))


def at(items, index):
    return index % len(items)


class ExchangeMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.world = World()

    @rule(
        name=NAMES,
        places=PLACES,
        idempotent=st.sampled_from([False, False, True]),
        key_name=st.sampled_from(["k1", "k1", "k2"]),
        token_lease_ms=st.sampled_from([60, 5000, 5000]),
        steps=STEPS,
    )
    def admit(self, name, places, idempotent, key_name, token_lease_ms, steps):
        self.world.admit(
            self.world.nodes[name],
            tuple(places),
            idempotent=idempotent,
            key_name=key_name,
            token_lease_ms=token_lease_ms,
        )
        self.go_on(steps)

    @has("messages")
    @rule(index=INDEX, fate=st.sampled_from(["arrives", "arrives", "lost", "failed"]))
    def message(self, index, fate):
        index = at(self.world.messages, index)
        if fate == "failed":
            self.world.send_failed(index)
            return
        message = self.world.messages.pop(index)
        if fate == "arrives":
            self.world.deliver(message)

    @rule(steps=STEPS)
    def go_on(self, steps):
        """Let everything go well for some steps."""
        for step in steps:
            getattr(self.world, step)()

    @has("hand_overs")
    @rule(index=INDEX)
    def repeat_hand_over(self, index):
        hand_overs = self.world.hand_overs
        self.world.deliver(hand_overs[at(hand_overs, index)])

    @has("writes")
    @rule(index=INDEX, proof=PROOFS)
    def write(self, index, proof):
        self.world.write(at(self.world.writes, index), proof)

    @has("sent")
    @rule(index=INDEX, stage=STAGES)
    def target(self, index, stage):
        """Run a request, or end its exchange, or both."""
        sent = self.world.sent[at(self.world.sent, index)]
        if stage is None:
            self.world.run(sent)
        else:
            self.world.end(sent, stage)

    @has("reserves")
    @rule(index=INDEX, is_granted=st.sampled_from([True, True, False]))
    def reserve(self, index, is_granted):
        self.world.reserve(at(self.world.reserves, index), is_granted)

    @has("admitted")
    @rule(index=INDEX)
    def caller_gone(self, index):
        world = self.world
        number = 1 + at(world.admitted, index)
        node = world.admitted[number].node
        if world.nodes[node.name] is node:
            effects = node.entry.caller_gone(number, world.time(node))
            world.apply(node, effects)

    @rule(duration_ms=st.sampled_from([1, 50, 50, 120, 350, DEADLINE_MS, 4000]))
    def advance(self, duration_ms):
        self.world.advance(duration_ms)

    @rule(
        name=NAMES,
        other=NAMES,
        fault=st.sampled_from(
            [
                "kill",
                "pause",
                "peer_lost",
                "peer_up",
                "relink",
                "sender_gone",
                "tick",
                "withdraw",
            ]
        ),
    )
    def disturb(self, name, other, fault):
        world = self.world
        node = world.nodes[name]
        if fault == "kill":
            world.kill(name)
        elif fault == "pause":
            world.pause(node)
            world.advance(2 * PAUSE_MS)
        elif fault == "tick":
            world.tick(node)
        elif fault == "withdraw":
            world.withdraw(node, "k2")
        else:
            world.link(node, other, fault)

    @invariant()
    def promises_hold(self):
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()
            self.world.check_rest()


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=200, stateful_step_count=50)
