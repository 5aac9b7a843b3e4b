"""A pool against a world that knows what really runs at each address."""

import random
from typing import NamedTuple

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.pool import Pool, PoolSettings, Refuse, Start, TargetReport
from sequoiahook.world.target import Target

SETTINGS = PoolSettings(
    queue_length_max=8, organisation_queue_length_max=5, suspend_initial_ms=300
)
NAMES = ("t0", "t1", "t2", "t3")
STATES = ("active", "active", "active", "draining")


class Running(NamedTuple):
    name: str
    port: int
    ends_at: int
    is_known: bool


class PoolMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0
        self.count = 0
        self.targets = []
        self.listed = set()
        self.word_at = {}
        self.faulty = set()
        self.cold = set()
        self.running = {}
        self.queued = {}
        self.blocked_until = 0
        self.unblocked_until = 0
        self.inherited_until = 0
        self.view = 0
        self.sequence = 0
        self.handover = None
        self.pool = Pool(SETTINGS, "register", random.Random(7))

    def settle_world(self):
        for key, run in [*self.running.items()]:
            if run.ends_at <= self.now:
                del self.running[key]

    def running_at(self, port):
        return sum(run.port == port for run in self.running.values())

    def slots_at(self, port):
        return min(t.slots for t in self.targets if t.port == port)

    def is_open(self, name, port):
        same = [t for t in self.targets if t.port == port]
        leaving = self.listed | self.word_at.keys()
        return all(t.state == "active" and t.name not in leaving for t in same)

    def take(self, effects, at_once=None):
        self.settle_world()
        for effect in effects:
            assert effect.request_id in self.queued, "answered twice or not asked"
            deadline_at = self.queued.pop(effect.request_id)
            if isinstance(effect, Refuse):
                assert effect.retry_after_ms > 0
                assert self.now <= deadline_at or effect.request_id == at_once
                continue
            assert isinstance(effect, Start)
            assert self.now >= self.blocked_until
            (target,) = {t for t in self.targets if t.name == effect.target_name}
            assert self.is_open(target.name, target.port), "work for a leaving target"
            assert self.running_at(target.port) < self.slots_at(target.port)
            assert self.now < deadline_at - SETTINGS.refuse_margin_ms + 1
            self.running[effect.request_id] = Running(
                target.name, target.port, deadline_at + SETTINGS.overrun_ms, True
            )

    def alone(self):
        ports = [t.port for t in self.targets]
        return [t for t in self.targets if ports.count(t.port) == 1]

    @initialize(slots=st.lists(st.integers(1, 3), min_size=3, max_size=3))
    def start(self, slots):
        self.targets = [
            Target(NAMES[i], "register", "dc1", "h", i, n, "active")
            for i, n in enumerate(slots)
        ]
        self.take(self.pool.configure(self.targets, 400, self.now))

    @rule(
        name=st.sampled_from(NAMES),
        port=st.sampled_from((None, 0, 1, 2, 3)),
        slots=st.integers(1, 3),
        state=st.sampled_from(STATES),
    )
    def configure(self, name, port, slots, state):
        """One target is added, changed, moved to an address or removed."""
        targets = [t for t in self.targets if t.name != name]
        if port is not None:
            targets.append(Target(name, "register", "dc1", "h", port, slots, state))
        old_ports = {t.name: t.port for t in self.targets}
        new_ports = {t.name: t.port for t in targets}
        for name in NAMES:
            if old_ports.get(name) != new_ports.get(name):
                self.cold.add(name)
                self.word_at.pop(name, None)
        ports = [*new_ports.values()]
        self.targets = targets
        self.cold |= {t.name for t in targets if ports.count(t.port) > 1}
        self.take(self.pool.configure(targets, 400, self.now))

    @rule(organisation=st.sampled_from("xyz"), wait_ms=st.integers(0, 600))
    def submit(self, organisation, wait_ms):
        self.count += 1
        self.queued[self.count] = self.now + wait_ms
        effects = self.pool.submit(
            self.count, organisation, self.now + wait_ms, self.now
        )
        self.take(effects, at_once=self.count)

    @rule(organisation=st.sampled_from("xyz"))
    def fill(self, organisation):
        for _ in range(6):
            self.submit(organisation, 300)

    @rule(data=st.data(), kind=st.sampled_from(("ok", "ok", "fault", "late", "leaves")))
    def finish(self, data, kind):
        ids = [k for k, run in self.running.items() if run.is_known]
        if not ids:
            return
        request_id = data.draw(st.sampled_from(ids))
        run = self.running.pop(request_id)
        report = TargetReport(kind in ("ok", "leaves"), kind == "fault", 40, False)
        if kind == "leaves":
            report = report._replace(is_leaving=True)
            if (run.name, run.port) in {(t.name, t.port) for t in self.targets}:
                self.word_at[run.name] = self.now
        if kind == "fault":
            self.faulty.add(run.name)
        self.take(self.pool.finish(request_id, report, self.now))

    @rule(data=st.data())
    def repeat(self, data):
        """A request is submitted again, and one that it does not run is finished."""
        ids = [k for k, run in self.running.items() if run.is_known] + [*self.queued]
        if ids:
            request_id = data.draw(st.sampled_from(ids))
            self.take(self.pool.submit(request_id, "x", self.now + 900, self.now))
        ids = [k for k, run in self.running.items() if not run.is_known]
        request_id = data.draw(st.sampled_from([*ids, "none"]))
        report = TargetReport(True, False, 10, False)
        self.take(self.pool.finish(request_id, report, self.now))

    @rule(data=st.data())
    def cancel(self, data):
        ids = [*self.queued, *self.running]
        if not ids:
            return
        request_id = data.draw(st.sampled_from(ids))
        self.queued.pop(request_id, None)
        self.take(self.pool.cancel(request_id, self.now))

    @rule(names=st.sampled_from((set(), {"t0"}, {"t1"}, {"t0", "t3"})))
    def list_leaving(self, names):
        for name in self.listed - names:
            self.word_at.pop(name, None)
        self.listed = names
        self.take(self.pool.set_leaving(names, self.now))

    @rule(name=st.sampled_from(NAMES))
    def says_leaving(self, name):
        if any(t.name == name for t in self.targets):
            self.word_at[name] = self.now
        self.take(self.pool.target_says_leaving(name, self.now))
        self.fill("x")

    @rule(name=st.sampled_from(NAMES), percent=st.integers(-50, 500))
    def says_serving(self, name, percent):
        said_at = self.word_at.get(name)
        if said_at is not None and self.now - said_at >= SETTINGS.leaving_word_ms:
            del self.word_at[name]
        self.take(self.pool.target_says_serving(name, self.now))
        self.take(self.pool.report_load(name, percent, self.now))

    @rule(duration_ms=st.sampled_from((1, 20, 100, 500, 31_000)))
    def wait(self, duration_ms):
        until = self.now + duration_ms
        for _ in range(100):
            wake = self.pool.next_wake(self.now)
            if wake is None or wake >= until:
                break
            self.now = max(self.now, wake)
            self.take(self.pool.tick(self.now))
        else:
            raise AssertionError("the pool wakes without end")
        self.now = until
        self.take(self.pool.tick(self.now))

    @rule(is_handed=st.booleans(), are_repeats=st.booleans())
    def take_over(self, is_handed, are_repeats):
        """The next owner takes over, with or without the account of the last one."""
        until = max([self.now, *(run.ends_at for run in self.running.values())])
        self.view += 1
        self.handover = None
        if is_handed:
            self.take(self.pool.stop(self.now))
            assert not self.queued
            self.handover = self.pool
        self.queued = {}
        self.running = {
            (self.view, key): run._replace(is_known=False)
            for key, run in self.running.items()
        }
        listed, words = self.listed, self.word_at
        self.pool = Pool(SETTINGS, "register", random.Random(7))
        self.word_at = {}
        self.listed = set()
        self.cold = set()
        self.faulty = set()
        self.unblocked_until = self.blocked_until
        self.inherited_until = max(self.inherited_until, until)
        self.blocked_until = max(self.blocked_until, until)
        # The new owner is blocked before it knows its targets.
        self.take(self.pool.take_over(self.now, self.blocked_until, self.view))
        self.take(self.pool.configure(self.targets, 400, self.now))
        self.list_leaving(listed)
        for name in words:
            self.says_leaving(name)
        if is_handed:
            self.hand_over(are_repeats)

    @rule(is_repeat=st.booleans())
    def hand_over(self, is_repeat):
        """The last owner accounts for its runs, some of which may have ended since."""
        if self.handover is None:
            return
        self.sequence += 1
        message = self.handover.handover("dc1", self.view, self.sequence, self.now)
        self.blocked_until = self.unblocked_until
        self.take(self.pool.handed_over(message, self.now))
        if is_repeat:
            self.take(self.pool.handed_over(message, self.now))
            for stale in (
                message._replace(view_number=self.view - 1, sequence=10**6, runs=()),
                message._replace(sequence=self.sequence - 1, runs=(), blocked_ms=0),
            ):
                self.take(self.pool.handed_over(stale, self.now))
        self.fill("y")

    @rule(data=st.data())
    def old_run_ends(self, data):
        """A run of the last owner ends, which that owner alone learns."""
        ids = [key for key, run in self.running.items() if not run.is_known]
        if self.handover is None or not ids:
            return
        key = data.draw(st.sampled_from(ids))
        del self.running[key]
        self.handover.finish(key[1], TargetReport(True, False, 9, False), self.now)

    @invariant()
    def queue_is_bounded(self):
        self.settle_world()
        assert len(self.queued) == self.pool.queue_length()
        assert len(self.queued) <= SETTINGS.queue_length_max

    @invariant()
    def nothing_is_held_past_its_time(self):
        for deadline_at in self.queued.values():
            assert self.now < deadline_at - SETTINGS.refuse_margin_ms

    @invariant()
    def a_free_sound_slot_is_used(self):
        if not self.queued or self.now < max(self.blocked_until, self.inherited_until):
            return
        for target in self.alone():
            if target.name in self.cold | self.faulty:
                continue
            if self.is_open(target.name, target.port):
                assert self.running_at(target.port) >= target.slots

    def teardown(self):
        self.wait(120_000)
        assert not self.queued
        assert not self.running
        expected = sum(
            t.slots
            for t in self.alone()
            if self.is_open(t.name, t.port) and t.name not in self.faulty
        )
        assert self.pool.free_slots(self.now) >= expected


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = settings(
    max_examples=100, stateful_step_count=40, report_multiple_bugs=False
)
