"""Simulated instances, network and platform in virtual time, and their oracle."""

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
IN_FORCE_MAX_MS = 5000
PLATFORM_DELAY_MS = 5
UNLIMITED_COUNT = 10**9
FAULTS = (
    "lose_answers",
    "lose_writes",
    "delay_writes",
    "stale_reads",
    "corrupt_reads",
    "unanswered_watches",
)


FAULT_MIXES = (
    *({fault: 40} for fault in FAULTS),
    {"lose_answers": 40, "stale_reads": 40},
    {"lose_writes": 30, "delay_writes": 30},
    {"delay_writes": 30, "stale_reads": 40, "lose_answers": 20},
    dict.fromkeys(FAULTS, 15),
    {},
)


class Change(NamedTuple):
    """A change of one entry of the document; a ``value`` of None deletes it."""

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
    """Reference model: the accepted patches in order, and the resulting documents."""

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
    """In-memory platform that keeps all versions and injects faults."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.versions_by_name = {}
        self.open_watches = []
        self.is_unavailable = False
        self.slow_ms = 0
        self.percent_by_fault = dict.fromkeys(FAULTS, 0)
        self.calls_by_kind = {ReadObject: 0, Watch: 0, WriteObject: 0}

    def clear_faults(self):
        self.is_unavailable = False
        self.slow_ms = 0
        self.percent_by_fault = dict.fromkeys(FAULTS, 0)

    def start_faults(self, fault_mix):
        """Set the percentage of each fault, until :meth:`clear_faults`."""
        self.percent_by_fault.update(fault_mix)

    def is_triggered(self, fault):
        return self.simulation.rng.randrange(100) < self.percent_by_fault[fault]

    def current_value(self, name):
        return self.versions_by_name.get(name, [None])[-1]

    def version(self, name):
        return len(self.versions_by_name.get(name, [None])) - 1

    def call(self, call, caller, answer):
        """Execute a call after a delay, and pass the result to ``answer``."""
        self.calls_by_kind[type(call)] += 1
        delay_ms = PLATFORM_DELAY_MS + self.slow_ms
        if self.simulation.is_disconnected(caller):
            self.simulation.schedule(1, answer, CallUnavailable(call.call_id))
            return
        if isinstance(call, WriteObject) and self.is_triggered("lose_writes"):
            self.simulation.schedule(300, answer, CallAnswerLost(call.call_id))
        elif isinstance(call, WriteObject) and self.is_triggered("delay_writes"):
            self.simulation.schedule(300, answer, CallAnswerLost(call.call_id))
            self.simulation.schedule(1500, self.write, call, caller)
        else:
            self.simulation.schedule(delay_ms, self.execute, call, caller, answer)

    def execute(self, call, caller, answer):
        if self.is_unavailable:
            result = CallUnavailable(call.call_id)
        elif isinstance(call, WriteObject):
            result = self.write(call, caller)
            if isinstance(result, ObjectWritten) and self.is_triggered("lose_answers"):
                result = CallAnswerLost(call.call_id)
        elif isinstance(call, Watch):
            self.watch(call, answer)
            return
        else:
            result = self.read(call)
        self.simulation.schedule(PLATFORM_DELAY_MS, answer, result)

    def read(self, call):
        version = self.version(call.name)
        if version and self.is_triggered("stale_reads"):
            version = self.simulation.rng.choice((0, version - 1, version // 2))
        if not version:
            return ObjectRead(call.call_id, 0, None)
        value = json.loads(self.versions_by_name[call.name][version])
        if call.name.startswith("piece-") and self.is_triggered("corrupt_reads"):
            value = {"entries": {"corrupt": {}}}
        return ObjectRead(call.call_id, version, value)

    def watch(self, call, answer):
        if self.is_triggered("unanswered_watches"):
            return
        if self.version(call.name) > call.after:
            self.simulation.schedule(PLATFORM_DELAY_MS, answer, self.read(call))
            return
        self.open_watches.append((call, answer))
        self.simulation.schedule(call.wait_ms, self.end_watch, call, answer)

    def end_watch(self, call, answer):
        if (call, answer) in self.open_watches:
            self.open_watches.remove((call, answer))
            answer(ObjectUnchanged(call.call_id))

    def end_watches(self, is_unanswered):
        watches, self.open_watches = self.open_watches, []
        for call, answer in watches:
            if not is_unanswered:
                self.simulation.schedule(1, answer, CallUnavailable(call.call_id))

    def write(self, call, caller):
        version = self.version(call.name)
        if version != call.if_version:
            return WriteConflict(call.call_id, version)
        versions = self.versions_by_name.setdefault(call.name, [None])
        versions.append(json.dumps(call.value))
        if call.name == ROOT:
            self.simulation.on_root_written(caller)
        self.notify_watches(call.name)
        return ObjectWritten(call.call_id, version + 1)

    def overwrite(self, name, value):
        """Write an object directly, as a program other than sequoiahook could."""
        self.versions_by_name[name].append(json.dumps(value))
        self.notify_watches(name)

    def notify_watches(self, name):
        for watch, answer in list(self.open_watches):
            if watch.name == name and self.version(name) > watch.after:
                self.open_watches.remove((watch, answer))
                self.simulation.schedule(PLATFORM_DELAY_MS, answer, self.read(watch))


class Node:
    """One simulated instance with its configuration replica."""

    def __init__(self, simulation, name, data_centre):
        self.simulation = simulation
        self.name = name
        self.data_centre = data_centre
        self.rng = random.Random(name)
        self.replica = ConfigurationReplica(
            simulation.settings, name, data_centre, random.Random(name)
        )
        self.is_alive = True
        self.highest_number = 0
        self.applied = []
        self.rejects = []
        self.wake_at = None

    def run(self, method, *arguments):
        if not self.is_alive:
            return
        effects = getattr(self.replica, method)(*arguments, self.simulation.now)
        for effect in effects:
            self.carry_out(effect)
        self.check()
        assert self.replica.next_wake(self.simulation.now) > self.simulation.now, (
            "busy loop: the next wake is not in the future"
        )
        self.schedule_wake()

    def carry_out(self, effect):
        if isinstance(effect, Send):
            self.simulation.send(self, effect)
        elif isinstance(effect, Apply):
            assert effect.number > self.highest_number, "the number of an instance fell"
            self.highest_number = effect.number
            self.applied.append(effect.number)
            expected = self.simulation.oracle.documents[effect.number]
            assert effect.document == expected
            self.simulation.on_apply(self)
        elif isinstance(effect, Reject):
            self.rejects.append(effect)
        else:
            self.simulation.platform.call(effect, self, self.on_answer)

    def on_answer(self, answer):
        self.run("receive_answer", answer)

    def check(self):
        assert self.replica.number == self.highest_number
        if self.highest_number:
            assert (
                self.replica.document
                == self.simulation.oracle.documents[self.highest_number]
            )

    def schedule_wake(self):
        wake = self.replica.next_wake(self.simulation.now)
        if self.wake_at is None or wake < self.wake_at:
            self.wake_at = wake
            self.simulation.schedule(
                max(1, wake - self.simulation.now), self.wake, wake
            )

    def wake(self, wake):
        if wake == self.wake_at:
            self.wake_at = None
            self.run("tick")
            assert not self.is_alive or self.wake_at > self.simulation.now


class Submission:
    """One submission of a patch at an instance."""

    def __init__(self, simulation, node, patch, change):
        self.simulation = simulation
        self.node = node
        self.patch = patch
        self.change = change
        self.name = node.name
        self.data_centre = node.data_centre
        self.outcome = None
        self.started_at = simulation.now
        self.number_at_start = simulation.oracle.number
        self.shares_result = simulation.rng.random() < 0.5
        self.writer = PatchWriter(
            simulation.patch_settings, patch, node.replica.pieces_by_digest, node.rng
        )
        self.carry_out(self.writer.start(simulation.now))

    def on_answer(self, answer):
        if self.node.is_alive:
            self.carry_out(self.writer.receive_answer(answer, self.simulation.now))

    def tick(self):
        if self.node.is_alive:
            self.carry_out(self.writer.tick(self.simulation.now))
            wake = self.writer.next_wake(self.simulation.now)
            assert wake is None or wake > self.simulation.now, (
                "busy loop: the next wake is not in the future"
            )

    def carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, Report):
                assert self.outcome is None, "a writer reported two outcomes"
                self.outcome = effect.outcome
                self.simulation.on_outcome(self)
                if self.shares_result:
                    writer = self.writer
                    self.node.run(
                        "add_patch_result", writer.root, writer.pieces_by_digest
                    )
            else:
                self.simulation.platform.call(effect, self, self.on_answer)
        wake = self.writer.next_wake(self.simulation.now)
        if wake is not None:
            self.simulation.schedule(max(1, wake - self.simulation.now), self.tick)

    @property
    def is_done(self):
        return self.outcome is not None or not self.node.is_alive


class Simulation:
    """Instances, the network between them and the platform, in virtual time."""

    def __init__(self, sizes, seed=0, settings=None):
        self.settings = settings or RolloutSettings()
        self.patch_settings = PatchSettings(leaf_bytes_max=150)
        self.rng = random.Random(seed)
        self.now = 0
        self.events = []
        self.event_order = itertools.count()
        self.oracle = Oracle()
        self.platform = FakePlatform(self)
        self.nodes_by_name = {}
        self.submissions = []
        self.numbers_by_patch_id = defaultdict(set)
        self.outcomes = Counter()
        self.disconnected = set()
        self.partitions = set()
        self.drop_percent = 0
        self.consecutive_losses_max = UNLIMITED_COUNT
        self.consecutive_losses_by_link = {}
        self.repeat_percent = 0
        self.message_count = 0
        self.message_bytes = 0
        self.message_meter = None
        self.accepted_at_by_number = {}
        self.slowest_rollout_ms = 0
        self.serials = itertools.count(1)
        for data_centre, size in sizes.items():
            for _ in range(size):
                self.add(data_centre)
        self.send_view()

    def add(self, data_centre):
        name = f"{data_centre}-{next(self.serials)}"
        self.nodes_by_name[name] = Node(self, name, data_centre)
        return self.nodes_by_name[name]

    def live_nodes(self, data_centre=None):
        return [
            node
            for node in self.nodes_by_name.values()
            if node.is_alive and data_centre in (None, node.data_centre)
        ]

    def send_view(self):
        view = {}
        for node in self.live_nodes():
            view.setdefault(node.data_centre, []).append(node.name)
        for node in self.live_nodes():
            node.run("configure_view", view)

    def replace(self, node, lag_ms=700):
        """Kill an instance and start another; the others get the view late or never."""
        node.is_alive = False
        new = self.add(node.data_centre)
        if lag_ms is not None:
            self.schedule(lag_ms, self.send_view)
        self.send_view_to(new)

    def send_view_to(self, node):
        view = {}
        for other in self.live_nodes():
            view.setdefault(other.data_centre, []).append(other.name)
        node.run("configure_view", view)

    def schedule(self, delay_ms, callback, *arguments):
        due_at = self.now + delay_ms
        heapq.heappush(
            self.events, (due_at, next(self.event_order), callback, arguments)
        )

    def advance(self, duration_ms):
        end_at = self.now + duration_ms
        while self.events and self.events[0][0] <= end_at:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        self.now = end_at

    def is_disconnected(self, caller):
        return caller.data_centre in self.disconnected

    def send(self, source, effect):
        target = self.nodes_by_name[effect.destination]
        self.message_count += 1
        if self.message_meter is not None:
            self.message_meter(source, target, effect.body)
        data_centres = frozenset((source.data_centre, target.data_centre))
        if data_centres in self.partitions or self.is_dropped(source, target):
            return
        base_ms = 1 if len(data_centres) == 1 else 35
        is_repeated = self.rng.randrange(100) < self.repeat_percent
        for _ in range(2 if is_repeated else 1):
            delay_ms = base_ms + self.rng.randint(0, base_ms)
            self.schedule(delay_ms, target.run, "receive", source.name, effect.body)

    def is_dropped(self, source, target):
        """Drop a percentage of messages, with a limit on consecutive losses."""
        link = (source.name, target.name)
        loss_count = self.consecutive_losses_by_link.get(link, 0)
        is_dropped = (
            loss_count < self.consecutive_losses_max
            and self.rng.randrange(100) < self.drop_percent
        )
        self.consecutive_losses_by_link[link] = loss_count + 1 if is_dropped else 0
        return is_dropped

    def submit(self, node, patch, change):
        if patch.changes is not None:
            self.numbers_by_patch_id[patch.id].add(patch.against)
        submission = Submission(self, node, patch, change)
        self.submissions.append(submission)
        return submission

    def on_root_written(self, submission):
        patch = submission.patch
        assert patch.changes is not None, "a query wrote the root"
        assert submission.change.name != "wrong", "an invalid patch was applied"
        self.oracle.accept(patch.id, patch.against, submission.change)
        self.accepted_at_by_number[self.oracle.number] = self.now

    def on_apply(self, node):
        if node.highest_number in self.accepted_at_by_number:
            rollout_ms = self.now - self.accepted_at_by_number[node.highest_number]
            self.slowest_rollout_ms = max(self.slowest_rollout_ms, rollout_ms)

    def on_outcome(self, submission):
        patch, outcome = submission.patch, submission.outcome
        is_applied = self.oracle.has_applied(patch)
        self.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, Accepted):
            assert self.oracle.patch_ids[outcome.number - 1] == patch.id
            assert outcome.number == patch.against + 1 or patch.changes is None
        elif isinstance(outcome, Stale):
            assert outcome.current <= self.oracle.number
            if outcome.current < patch.against:
                assert outcome.current >= submission.number_at_start
            else:
                assert not is_applied or patch.changes is None
                assert outcome.current != patch.against
        elif isinstance(outcome, Invalid):
            is_reused = len(self.numbers_by_patch_id[patch.id]) > 1
            assert submission.change.name == "wrong" or is_reused
            assert not is_applied
        else:
            assert isinstance(outcome, OutcomeUnknown)
            assert outcome.patch_id == patch.id

    def check_stale_not_applied(self):
        """Check that no patch was applied after a higher number made it stale."""
        for submission in self.submissions:
            outcome = submission.outcome
            is_stale = isinstance(outcome, Stale)
            if is_stale and outcome.current > submission.patch.against:
                assert not self.oracle.has_applied(submission.patch)

    def clear_faults(self):
        self.platform.clear_faults()
        self.partitions.clear()
        self.drop_percent = self.repeat_percent = 0
        self.consecutive_losses_max = UNLIMITED_COUNT

    def settle(self):
        """Clear faults, keep disconnected data centres, and check the newest number."""
        self.clear_faults()
        if len(self.disconnected) == len(
            {node.data_centre for node in self.live_nodes()}
        ):
            self.disconnected.clear()
        for _ in range(12):
            self.advance(1000)
            if all(submission.is_done for submission in self.submissions):
                break
        assert all(submission.is_done for submission in self.submissions)
        self.advance(IN_FORCE_MAX_MS)
        self.check_all_hold(self.oracle.number)

    def check_all_hold(self, number):
        numbers = {node.name: node.highest_number for node in self.live_nodes()}
        assert set(numbers.values()) == {number}, (number, numbers)
