"""Stateful test of a pool against a model of the requests running at each address."""

import random
from typing import NamedTuple

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.pool import Refuse, Start, TargetReport
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings
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
        self.request_count = 0
        self.targets = []
        self.listed_leaving = set()
        self.leaving_reported_at = {}
        self.faulty = set()
        self.warming_up = set()
        self.running = {}
        self.queued = {}
        self.blocked_until = 0
        self.unblocked_until = 0
        self.inherited_until = 0
        self.view = 0
        self.sequence = 0
        self.handover = None
        self.pool = Pool(SETTINGS, "register", random.Random(7))

    def drop_ended_runs(self):
        for key, run in [*self.running.items()]:
            if run.ends_at <= self.now:
                del self.running[key]

    def running_at(self, port):
        return sum(run.port == port for run in self.running.values())

    def slots_at(self, port):
        return min(t.slots for t in self.targets if t.port == port)

    def is_open(self, name, port):
        same_address = [t for t in self.targets if t.port == port]
        leaving = self.listed_leaving | self.leaving_reported_at.keys()
        return all(t.state == "active" and t.name not in leaving for t in same_address)

    def apply(self, effects, submitted_id=None):
        self.drop_ended_runs()
        for effect in effects:
            assert effect.request_id in self.queued, (
                "answered twice, or never submitted"
            )
            deadline_at = self.queued.pop(effect.request_id)
            if isinstance(effect, Refuse):
                assert effect.retry_after_ms > 0
                assert self.now <= deadline_at or effect.request_id == submitted_id
                continue
            assert isinstance(effect, Start)
            assert self.now >= self.blocked_until
            (target,) = {t for t in self.targets if t.name == effect.target_name}
            assert self.is_open(target.name, target.port), (
                "request started at a leaving target"
            )
            assert self.running_at(target.port) < self.slots_at(target.port)
            assert self.now < deadline_at - SETTINGS.refuse_margin_ms + 1
            self.running[effect.request_id] = Running(
                target.name, target.port, deadline_at + SETTINGS.overrun_ms, True
            )

    def targets_with_own_address(self):
        ports = [t.port for t in self.targets]
        return [t for t in self.targets if ports.count(t.port) == 1]

    @initialize(slots=st.lists(st.integers(1, 3), min_size=3, max_size=3))
    def start(self, slots):
        self.targets = [
            Target(NAMES[i], "register", "dc1", "h", i, n, "active")
            for i, n in enumerate(slots)
        ]
        self.apply(self.pool.configure(self.targets, 400, self.now))

    @rule(
        name=st.sampled_from(NAMES),
        port=st.sampled_from((None, 0, 1, 2, 3)),
        slots=st.integers(1, 3),
        state=st.sampled_from(STATES),
    )
    def configure(self, name, port, slots, state):
        """A target is added, changed, moved to another address or removed."""
        targets = [t for t in self.targets if t.name != name]
        if port is not None:
            targets.append(Target(name, "register", "dc1", "h", port, slots, state))
        old_ports = {t.name: t.port for t in self.targets}
        new_ports = {t.name: t.port for t in targets}
        for name in NAMES:
            if old_ports.get(name) != new_ports.get(name):
                self.warming_up.add(name)
                self.leaving_reported_at.pop(name, None)
        ports = [*new_ports.values()]
        self.targets = targets
        self.warming_up |= {t.name for t in targets if ports.count(t.port) > 1}
        self.apply(self.pool.configure(targets, 400, self.now))

    @rule(organisation=st.sampled_from("xyz"), wait_ms=st.integers(0, 600))
    def submit(self, organisation, wait_ms):
        self.request_count += 1
        self.queued[self.request_count] = self.now + wait_ms
        effects = self.pool.submit(
            self.request_count, organisation, self.now + wait_ms, self.now
        )
        self.apply(effects, submitted_id=self.request_count)

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
                self.leaving_reported_at[run.name] = self.now
        if kind == "fault":
            self.faulty.add(run.name)
        self.apply(self.pool.finish(request_id, report, self.now))

    @rule(data=st.data())
    def repeat(self, data):
        """A request is submitted again, and an inherited or unknown one finished."""
        ids = [k for k, run in self.running.items() if run.is_known] + [*self.queued]
        if ids:
            request_id = data.draw(st.sampled_from(ids))
            self.apply(self.pool.submit(request_id, "x", self.now + 900, self.now))
        ids = [k for k, run in self.running.items() if not run.is_known]
        request_id = data.draw(st.sampled_from([*ids, "none"]))
        report = TargetReport(True, False, 10, False)
        self.apply(self.pool.finish(request_id, report, self.now))

    @rule(data=st.data())
    def cancel(self, data):
        ids = [*self.queued, *self.running]
        if not ids:
            return
        request_id = data.draw(st.sampled_from(ids))
        self.queued.pop(request_id, None)
        self.apply(self.pool.cancel(request_id, self.now))

    @rule(names=st.sampled_from((set(), {"t0"}, {"t1"}, {"t0", "t3"})))
    def list_leaving(self, names):
        for name in self.listed_leaving - names:
            self.leaving_reported_at.pop(name, None)
        self.listed_leaving = names
        self.apply(self.pool.set_leaving(names, self.now))

    @rule(name=st.sampled_from(NAMES))
    def report_leaving(self, name):
        if any(t.name == name for t in self.targets):
            self.leaving_reported_at[name] = self.now
        self.apply(self.pool.mark_target_leaving(name, self.now))
        self.fill("x")

    @rule(name=st.sampled_from(NAMES), percent=st.integers(-50, 500))
    def report_serving(self, name, percent):
        reported_at = self.leaving_reported_at.get(name)
        if (
            reported_at is not None
            and self.now - reported_at >= SETTINGS.leaving_report_hold_ms
        ):
            del self.leaving_reported_at[name]
        self.apply(self.pool.mark_target_serving(name, self.now))
        self.apply(self.pool.report_load(name, percent, self.now))

    @rule(duration_ms=st.sampled_from((1, 20, 100, 500, 31_000)))
    def wait(self, duration_ms):
        until = self.now + duration_ms
        for _ in range(100):
            wake = self.pool.next_wake(self.now)
            if wake is None or wake >= until:
                break
            self.now = max(self.now, wake)
            self.apply(self.pool.tick(self.now))
        else:
            raise AssertionError(
                "the pool reports itself due 100 times within one wait"
            )
        self.now = until
        self.apply(self.pool.tick(self.now))

    @rule(is_handed_over=st.booleans(), are_repeats=st.booleans())
    def take_over(self, is_handed_over, are_repeats):
        """The next owner takes over, with or without a handover from the last one."""
        until = max([self.now, *(run.ends_at for run in self.running.values())])
        self.view += 1
        self.handover = None
        if is_handed_over:
            self.apply(self.pool.stop(self.now))
            assert not self.queued
            self.handover = self.pool
        self.queued = {}
        self.running = {
            (self.view, key): run._replace(is_known=False)
            for key, run in self.running.items()
        }
        listed_leaving, reported_names = self.listed_leaving, self.leaving_reported_at
        self.pool = Pool(SETTINGS, "register", random.Random(7))
        self.leaving_reported_at = {}
        self.listed_leaving = set()
        self.warming_up = set()
        self.faulty = set()
        self.unblocked_until = self.blocked_until
        self.inherited_until = max(self.inherited_until, until)
        self.blocked_until = max(self.blocked_until, until)
        # The new owner must be blocked before it receives its targets.
        self.apply(self.pool.take_over(self.now, self.blocked_until, self.view))
        self.apply(self.pool.configure(self.targets, 400, self.now))
        self.list_leaving(listed_leaving)
        for name in reported_names:
            self.report_leaving(name)
        if is_handed_over:
            self.send_handover(are_repeats)

    @rule(is_repeat=st.booleans())
    def send_handover(self, is_repeat):
        """The last owner hands over its runs, some of which may have ended since."""
        if self.handover is None:
            return
        self.sequence += 1
        message = self.handover.handover("dc1", self.view, self.sequence, self.now)
        self.blocked_until = self.unblocked_until
        self.apply(self.pool.apply_handover(message, self.now))
        if is_repeat:
            self.apply(self.pool.apply_handover(message, self.now))
            for stale in (
                message._replace(view_number=self.view - 1, sequence=10**6, runs=()),
                message._replace(sequence=self.sequence - 1, runs=(), blocked_ms=0),
            ):
                self.apply(self.pool.apply_handover(stale, self.now))
        self.fill("y")

    @rule(data=st.data())
    def inherited_run_ends(self, data):
        """A run of the last owner ends, which is reported to that owner only."""
        ids = [key for key, run in self.running.items() if not run.is_known]
        if self.handover is None or not ids:
            return
        key = data.draw(st.sampled_from(ids))
        del self.running[key]
        self.handover.finish(key[1], TargetReport(True, False, 9, False), self.now)

    @invariant()
    def queue_is_bounded(self):
        self.drop_ended_runs()
        assert len(self.queued) == self.pool.queue_length()
        assert len(self.queued) <= SETTINGS.queue_length_max

    @invariant()
    def no_request_is_queued_past_its_start_time(self):
        for deadline_at in self.queued.values():
            assert self.now < deadline_at - SETTINGS.refuse_margin_ms

    @invariant()
    def free_slots_of_healthy_targets_are_used(self):
        if not self.queued or self.now < max(self.blocked_until, self.inherited_until):
            return
        for target in self.targets_with_own_address():
            if target.name in self.warming_up | self.faulty:
                continue
            if self.is_open(target.name, target.port):
                assert self.running_at(target.port) >= target.slots

    def teardown(self):
        self.wait(120_000)
        assert not self.queued
        assert not self.running
        expected = sum(
            t.slots
            for t in self.targets_with_own_address()
            if self.is_open(t.name, t.port) and t.name not in self.faulty
        )
        assert self.pool.free_slots(self.now) >= expected


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = settings(
    max_examples=100, stateful_step_count=40, report_multiple_bugs=False
)
