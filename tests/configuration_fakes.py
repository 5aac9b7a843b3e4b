"""A fake platform and network in virtual time, and the oracle that they feed."""

import heapq
import itertools
import json
import random
from collections import Counter, defaultdict
from typing import Any, NamedTuple

from sequoiahook.decisions.configuration import (
    Accepted,
    Apply,
    ConfigurationReplica,
    Invalid,
    OutcomeUnknown,
    Patch,
    PatchSettings,
    PatchWriter,
    Reject,
    Report,
    RolloutSettings,
    Stale,
)
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.platform_calls import (
    CallAnswerLost,
    CallUnavailable,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    ReadObject,
    Watch,
    WriteConflict,
    WriteObject,
)

ROOT = "configuration"
IN_FORCE_MS = 5000
PLATFORM_MS = 5
ANY_COUNT = 10**9
FAULTS = (
    "lose_answers",
    "lose_writes",
    "delay_writes",
    "stale_reads",
    "corrupt_reads",
    "silent_watches",
)


ENVIRONMENTS = (
    *({fault: 40} for fault in FAULTS),
    {"lose_answers": 40, "stale_reads": 40},
    {"lose_writes": 30, "delay_writes": 30},
    {"delay_writes": 30, "stale_reads": 40, "lose_answers": 20},
    dict.fromkeys(FAULTS, 15),
    {},
)


class Change(NamedTuple):
    """What an operator does to the document; ``value`` None deletes."""

    section: str
    name: str
    value: Any

    def patch(self, patch_id, against):
        return Patch(patch_id, against, {self.section: {self.name: self.value}})

    def apply(self, document):
        copy = json.loads(json.dumps(document))
        entries = copy.setdefault(self.section, {})
        if self.value is None:
            entries.pop(self.name, None)
        else:
            entries[self.name] = self.value
        return copy


class Oracle:
    """The accepted patches, in order, and the document that each made."""

    def __init__(self):
        self.patch_ids = []
        self.documents = [{}]

    @property
    def number(self):
        return len(self.patch_ids)

    def has_applied(self, patch):
        return self.patch_ids[patch.against : patch.against + 1] == [patch.id]

    def accept(self, patch_id, against, change):
        assert against == self.number, "a patch against a stale number was applied"
        assert patch_id not in self.patch_ids, "a patch was applied twice"
        self.patch_ids.append(patch_id)
        self.documents.append(change.apply(self.documents[-1]))


class FakePlatform:
    """Objects with all their versions, and faults that the test sets."""

    def __init__(self, world):
        self.world = world
        self.versions_by_name = {}
        self.waiting = []
        self.outage = False
        self.slow_ms = 0
        self.percent_by_fault = dict.fromkeys(FAULTS, 0)
        self.calls_by_kind = {ReadObject: 0, Watch: 0, WriteObject: 0}

    def heal(self):
        self.outage = False
        self.slow_ms = 0
        self.percent_by_fault = dict.fromkeys(FAULTS, 0)

    def begin(self, environment):
        """Begin faults that last until all are healed: percent by fault."""
        self.percent_by_fault.update(environment)

    def take(self, fault):
        return self.world.rng.randrange(100) < self.percent_by_fault[fault]

    def current(self, name):
        return self.versions_by_name.get(name, [None])[-1]

    def version(self, name):
        return len(self.versions_by_name.get(name, [None])) - 1

    def call(self, call, caller, answer):
        """Carry out a call some time later; answer is called with the result."""
        self.calls_by_kind[type(call)] += 1
        delay_ms = PLATFORM_MS + self.slow_ms
        if self.world.is_cut(caller):
            self.world.later(1, answer, CallUnavailable(call.call_id))
            return
        if isinstance(call, WriteObject) and self.take("lose_writes"):
            self.world.later(300, answer, CallAnswerLost(call.call_id))
        elif isinstance(call, WriteObject) and self.take("delay_writes"):
            self.world.later(300, answer, CallAnswerLost(call.call_id))
            self.world.later(1500, self.write, call, caller)
        else:
            self.world.later(delay_ms, self.act, call, caller, answer)

    def act(self, call, caller, answer):
        if self.outage:
            result = CallUnavailable(call.call_id)
        elif isinstance(call, WriteObject):
            result = self.write(call, caller)
            if isinstance(result, ObjectWritten) and self.take("lose_answers"):
                result = CallAnswerLost(call.call_id)
        elif isinstance(call, Watch):
            self.watch(call, answer)
            return
        else:
            result = self.read(call)
        self.world.later(PLATFORM_MS, answer, result)

    def read(self, call):
        version = self.version(call.name)
        if version and self.take("stale_reads"):
            version = self.world.rng.choice((0, version - 1, version // 2))
        if not version:
            return ObjectRead(call.call_id, 0, None)
        value = json.loads(self.versions_by_name[call.name][version])
        if call.name.startswith("piece-") and self.take("corrupt_reads"):
            value = {"entries": {"corrupt": {}}}
        return ObjectRead(call.call_id, version, value)

    def watch(self, call, answer):
        if self.take("silent_watches"):
            return
        if self.version(call.name) > call.after:
            self.world.later(PLATFORM_MS, answer, self.read(call))
            return
        self.waiting.append((call, answer))
        self.world.later(call.wait_ms, self.end_watch, call, answer)

    def end_watch(self, call, answer):
        if (call, answer) in self.waiting:
            self.waiting.remove((call, answer))
            answer(ObjectUnchanged(call.call_id))

    def end_watches(self, is_silent):
        waiting, self.waiting = self.waiting, []
        for call, answer in waiting:
            if not is_silent:
                self.world.later(1, answer, CallUnavailable(call.call_id))

    def write(self, call, caller):
        version = self.version(call.name)
        if version != call.if_version:
            return WriteConflict(call.call_id, version)
        versions = self.versions_by_name.setdefault(call.name, [None])
        versions.append(json.dumps(call.value))
        if call.name == ROOT:
            self.world.on_root_written(caller)
        self.wake_watches(call.name)
        return ObjectWritten(call.call_id, version + 1)

    def force(self, name, value):
        """Write an object past the system, as a stranger might."""
        self.versions_by_name[name].append(json.dumps(value))
        self.wake_watches(name)

    def wake_watches(self, name):
        for watch, answer in list(self.waiting):
            if watch.name == name and self.version(name) > watch.after:
                self.waiting.remove((watch, answer))
                self.world.later(PLATFORM_MS, answer, self.read(watch))


class Node:
    """One instance: a replica, and the writers of its operators."""

    def __init__(self, world, name, data_centre):
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.rng = random.Random(name)
        self.replica = ConfigurationReplica(
            world.settings, name, data_centre, random.Random(name)
        )
        self.is_alive = True
        self.highest = 0
        self.applied = []
        self.rejects = []
        self.wake_at = None

    def run(self, method, *arguments):
        if not self.is_alive:
            return
        effects = getattr(self.replica, method)(*arguments, self.world.now)
        for effect in effects:
            self.carry_out(effect)
        self.check()
        assert self.replica.next_wake(self.world.now) > self.world.now, "a busy loop"
        self.plan()

    def carry_out(self, effect):
        if isinstance(effect, Send):
            self.world.send(self, effect)
        elif isinstance(effect, Apply):
            assert effect.number > self.highest, "an instance's number fell"
            self.highest = effect.number
            self.applied.append(effect.number)
            expected = self.world.oracle.documents[effect.number]
            assert effect.document == expected
            self.world.on_apply(self)
        elif isinstance(effect, Reject):
            self.rejects.append(effect)
        else:
            self.world.platform.call(effect, self, self.on_answer)

    def on_answer(self, answer):
        self.run("receive_answer", answer)

    def check(self):
        assert self.replica.number == self.highest
        if self.highest:
            assert self.replica.document == self.world.oracle.documents[self.highest]

    def plan(self):
        wake = self.replica.next_wake(self.world.now)
        if self.wake_at is None or wake < self.wake_at:
            self.wake_at = wake
            self.world.later(max(1, wake - self.world.now), self.wake, wake)

    def wake(self, wake):
        if wake == self.wake_at:
            self.wake_at = None
            self.run("tick")
            assert not self.is_alive or self.wake_at > self.world.now


class Operator:
    """One submission of a patch at an instance."""

    def __init__(self, world, node, patch, change):
        self.world = world
        self.node = node
        self.patch = patch
        self.change = change
        self.name = node.name
        self.data_centre = node.data_centre
        self.outcome = None
        self.started = world.now
        self.number_at_start = world.oracle.number
        self.teaches = world.rng.random() < 0.5
        self.writer = PatchWriter(
            world.patch_settings, patch, node.replica.pieces_by_digest, node.rng
        )
        self.carry_out(self.writer.start(world.now))

    def on_answer(self, answer):
        if self.node.is_alive:
            self.carry_out(self.writer.receive_answer(answer, self.world.now))

    def tick(self):
        if self.node.is_alive:
            self.carry_out(self.writer.tick(self.world.now))
            wake = self.writer.next_wake(self.world.now)
            assert wake is None or wake > self.world.now, "a busy loop"

    def carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, Report):
                assert self.outcome is None, "two outcomes"
                self.outcome = effect.outcome
                self.world.on_outcome(self)
                if self.teaches:
                    writer = self.writer
                    self.node.run(
                        "add_patch_result", writer.root, writer.pieces_by_digest
                    )
            else:
                self.world.platform.call(effect, self, self.on_answer)
        wake = self.writer.next_wake(self.world.now)
        if wake is not None:
            self.world.later(max(1, wake - self.world.now), self.tick)

    @property
    def is_done(self):
        return self.outcome is not None or not self.node.is_alive


class World:
    """Instances, the network between them and the platform, in virtual time."""

    def __init__(self, sizes, seed=0, settings=None):
        self.settings = settings or RolloutSettings()
        self.patch_settings = PatchSettings(leaf_bytes_max=150)
        self.rng = random.Random(seed)
        self.now = 0
        self.events = []
        self.order = itertools.count()
        self.oracle = Oracle()
        self.platform = FakePlatform(self)
        self.nodes_by_name = {}
        self.operators = []
        self.numbers_by_id = defaultdict(set)
        self.outcomes = Counter()
        self.cut = set()
        self.partitions = set()
        self.drop_percent = 0
        self.lost_in_row_max = ANY_COUNT
        self.lost_in_row_by_link = {}
        self.repeat_percent = 0
        self.messages = 0
        self.message_bytes = 0
        self.measure = None
        self.accepted_at = {}
        self.slowest_ms = 0
        self.serial = itertools.count(1)
        for data_centre, size in sizes.items():
            for _ in range(size):
                self.add(data_centre)
        self.show_view()

    def add(self, data_centre):
        name = f"{data_centre}-{next(self.serial)}"
        self.nodes_by_name[name] = Node(self, name, data_centre)
        return self.nodes_by_name[name]

    def living(self, data_centre=None):
        return [
            node
            for node in self.nodes_by_name.values()
            if node.is_alive and data_centre in (None, node.data_centre)
        ]

    def show_view(self):
        view = {}
        for node in self.living():
            view.setdefault(node.data_centre, []).append(node.name)
        for node in self.living():
            node.run("configure_view", view)

    def replace(self, node, lag_ms=700):
        """Kill an instance and start another one; the others learn it late, if ever."""
        node.is_alive = False
        new = self.add(node.data_centre)
        if lag_ms is not None:
            self.later(lag_ms, self.show_view)
        self.show_view_to(new)

    def show_view_to(self, node):
        view = {}
        for other in self.living():
            view.setdefault(other.data_centre, []).append(other.name)
        node.run("configure_view", view)

    def later(self, delay_ms, act, *arguments):
        due = self.now + delay_ms
        heapq.heappush(self.events, (due, next(self.order), act, arguments))

    def advance(self, duration_ms):
        end = self.now + duration_ms
        while self.events and self.events[0][0] <= end:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)
        self.now = end

    def is_cut(self, caller):
        return caller.data_centre in self.cut

    def send(self, source, effect):
        target = self.nodes_by_name[effect.destination]
        self.messages += 1
        if self.measure is not None:
            self.measure(source, target, effect.body)
        places = frozenset((source.data_centre, target.data_centre))
        if places in self.partitions or self.is_dropped(source, target):
            return
        base_ms = 1 if len(places) == 1 else 35
        is_repeated = self.rng.randrange(100) < self.repeat_percent
        for _ in range(2 if is_repeated else 1):
            delay_ms = base_ms + self.rng.randint(0, base_ms)
            self.later(delay_ms, target.run, "receive", source.name, effect.body)

    def is_dropped(self, source, target):
        """Lose a share of messages, at most so many in a row between two instances."""
        link = (source.name, target.name)
        lost = self.lost_in_row_by_link.get(link, 0)
        is_dropped = (
            lost < self.lost_in_row_max and self.rng.randrange(100) < self.drop_percent
        )
        self.lost_in_row_by_link[link] = lost + 1 if is_dropped else 0
        return is_dropped

    def submit(self, node, patch, change):
        if patch.changes is not None:
            self.numbers_by_id[patch.id].add(patch.against)
        operator = Operator(self, node, patch, change)
        self.operators.append(operator)
        return operator

    def on_root_written(self, operator):
        patch = operator.patch
        assert patch.changes is not None, "a query wrote"
        assert operator.change.name != "wrong", "an invalid patch was applied"
        self.oracle.accept(patch.id, patch.against, operator.change)
        self.accepted_at[self.oracle.number] = self.now

    def on_apply(self, node):
        if node.highest in self.accepted_at:
            spread_ms = self.now - self.accepted_at[node.highest]
            self.slowest_ms = max(self.slowest_ms, spread_ms)

    def on_outcome(self, operator):
        patch, outcome = operator.patch, operator.outcome
        is_applied = self.oracle.has_applied(patch)
        self.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, Accepted):
            assert self.oracle.patch_ids[outcome.number - 1] == patch.id
            assert outcome.number == patch.against + 1 or patch.changes is None
        elif isinstance(outcome, Stale):
            assert outcome.current <= self.oracle.number
            if outcome.current < patch.against:
                assert outcome.current >= operator.number_at_start
            else:
                assert not is_applied or patch.changes is None
                assert outcome.current != patch.against
        elif isinstance(outcome, Invalid):
            is_reused = len(self.numbers_by_id[patch.id]) > 1
            assert operator.change.name == "wrong" or is_reused
            assert not is_applied
        else:
            assert isinstance(outcome, OutcomeUnknown)
            assert outcome.patch_id == patch.id

    def check_refused(self):
        """What was refused for good must not have been applied later."""
        for operator in self.operators:
            outcome = operator.outcome
            is_stale = isinstance(outcome, Stale)
            if is_stale and outcome.current > operator.patch.against:
                assert not self.oracle.has_applied(operator.patch)

    def heal(self):
        self.platform.heal()
        self.partitions.clear()
        self.drop_percent = self.repeat_percent = 0
        self.lost_in_row_max = ANY_COUNT

    def settle(self):
        """End all faults but the cuts; all instances must have the newest number."""
        self.heal()
        if len(self.cut) == len({node.data_centre for node in self.living()}):
            self.cut.clear()
        for _ in range(12):
            self.advance(1000)
            if all(operator.is_done for operator in self.operators):
                break
        assert all(operator.is_done for operator in self.operators)
        self.advance(IN_FORCE_MS)
        self.check_all_hold(self.oracle.number)

    def check_all_hold(self, number):
        numbers = {node.name: node.highest for node in self.living()}
        assert set(numbers.values()) == {number}, (number, numbers)
