from exchange_world import DEADLINE_MS, World
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sequoiahook.decisions.exchange.target_result import Stage

NAMES = st.sampled_from("abc")
INDEX = st.integers(0, 30)
PROOFS = st.sampled_from([Stage.CONNECT_REFUSED, Stage.CONNECT_TIMEOUT])
STAGES = st.sampled_from(
    [
        Stage.ANSWERED,
        Stage.ANSWERED,
        Stage.SHED,
        Stage.WRITTEN_NO_ANSWER,
        Stage.PARTLY_WRITTEN,
        Stage.ANSWER_TRUNCATED,
    ]
)


class ExchangeMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.world = World()

    def has(*names):
        return precondition(lambda self: all(getattr(self.world, n) for n in names))

    def at(self, items, index):
        return index % len(items)

    @rule(
        name=NAMES,
        places=st.lists(NAMES, unique=True, max_size=3),
        idempotent=st.booleans(),
        key_name=st.sampled_from(["k1", "k2"]),
        token_lease_ms=st.sampled_from([60, 400, 5000]),
    )
    def admit(self, name, places, idempotent, key_name, token_lease_ms):
        self.world.admit(
            self.world.nodes[name],
            tuple(places),
            idempotent=idempotent,
            key_name=key_name,
            token_lease_ms=token_lease_ms,
        )

    @has("messages")
    @rule(index=INDEX, keeps_copy=st.sampled_from([False, False, True]))
    def deliver(self, index, keeps_copy):
        messages = self.world.messages
        index = self.at(messages, index)
        message = messages[index] if keeps_copy else messages.pop(index)
        self.world.deliver(message)

    @has("messages")
    @rule()
    def deliver_all(self):
        for _ in range(20):
            if self.world.messages:
                self.world.deliver(self.world.messages.pop(0))

    @has("messages")
    @rule(index=INDEX)
    def lose(self, index):
        del self.world.messages[self.at(self.world.messages, index)]

    @has("messages")
    @rule(index=INDEX)
    def send_failed(self, index):
        self.world.send_failed(self.at(self.world.messages, index))

    @has("writes")
    @rule(index=INDEX, proof=st.one_of(st.none(), st.none(), PROOFS))
    def write(self, index, proof):
        self.world.write(self.at(self.world.writes, index), proof)

    @has("sent")
    @rule(index=INDEX)
    def run_at_target(self, index):
        self.world.run(self.world.sent[self.at(self.world.sent, index)])

    @has("sent")
    @rule(index=INDEX, stage=STAGES)
    def end(self, index, stage):
        self.world.end(self.world.sent[self.at(self.world.sent, index)], stage)

    @has("reserves")
    @rule(index=INDEX, is_granted=st.booleans())
    def reserve(self, index, is_granted):
        self.world.reserve(self.at(self.world.reserves, index), is_granted)

    @has("admitted")
    @rule(index=INDEX)
    def caller_gone(self, index):
        world = self.world
        number = 1 + self.at(world.admitted, index)
        node = world.admitted[number].node
        if world.nodes[node.name] is node:
            effects = node.entry.caller_gone(number, world.time(node))
            world.apply(node, effects)

    @rule(name=NAMES, key_name=st.sampled_from(["k1", "k2"]))
    def withdraw(self, name, key_name):
        self.world.withdraw(self.world.nodes[name], key_name)

    @rule(name=NAMES)
    def kill(self, name):
        self.world.kill(name)

    @rule(name=NAMES, other=NAMES, is_up=st.booleans())
    def link(self, name, other, is_up):
        node = self.world.nodes[name]
        change = node.entry.peer_up if is_up else node.entry.peer_lost
        self.world.apply(node, change(other, self.world.time(node)))

    @rule(name=NAMES, other=NAMES)
    def sender_gone(self, name, other):
        node = self.world.nodes[name]
        now = self.world.time(node)
        incarnation = self.world.nodes[other].incarnation
        effects = node.executor.sender_gone(other, incarnation - 3, now)
        self.world.apply(node, effects)

    @rule(duration_ms=st.sampled_from([1, 50, 120, 350, DEADLINE_MS, 4000]))
    def advance(self, duration_ms):
        self.world.advance(duration_ms)

    @rule(name=NAMES, is_paused=st.booleans(), ticks=st.booleans())
    def pause(self, name, is_paused, ticks):
        node = self.world.nodes[name]
        if is_paused:
            self.world.pause(node)
        elif ticks:
            self.world.tick(node)

    @invariant()
    def promises_hold(self):
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()
            self.world.check_rest()


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=100, stateful_step_count=50)
