from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sequoiahook.decisions.stopping import (
    AnnounceLeaving,
    CloseIdleConnections,
    Exit,
    HandOver,
    LeaveViews,
    ReportOverdue,
    Stage,
    Stopping,
    StoppingSettings,
)

SETTINGS = StoppingSettings(
    hand_over_ms=500,
    lookup_lifetime_ms=1000,
    lookup_margin_ms=200,
    deadline_longest_ms=2000,
    close_ms=100,
)
SERVING_MS = 1200


class StoppingMachine(RuleBasedStateMachine):
    """The oracle counts work and signals by itself."""

    def __init__(self):
        super().__init__()
        self.stopping = Stopping(SETTINGS)
        self.now = 1000
        self.running = 0
        self.signals = 0
        self.signalled_at = None
        self.has_handed_over = False
        self.seen = []

    def take(self, effects):
        for effect in effects:
            self.seen.append((self.now, effect))
            if isinstance(effect, Exit):
                assert self.running == 0
                assert effect.code == 0
            if isinstance(effect, CloseIdleConnections):
                assert self.running == 0
                waited_ms = self.now - self.signalled_at
                assert waited_ms >= SERVING_MS or self.signals > 1
            if isinstance(effect, LeaveViews):
                waited_ms = self.now - self.signalled_at
                assert self.has_handed_over or waited_ms >= SETTINGS.hand_over_ms

    @rule(duration_ms=st.integers(1, 700))
    def advance(self, duration_ms):
        self.now += duration_ms
        self.take(self.stopping.tick(self.now))

    @rule()
    def start_work(self):
        is_taken = self.stopping.start_work()
        closing = any(isinstance(e, CloseIdleConnections) for _, e in self.seen)
        assert not (is_taken and closing)
        if self.signalled_at is None or (
            self.signals == 1 and self.now - self.signalled_at < SERVING_MS
        ):
            assert is_taken
        self.running += is_taken

    @precondition(lambda self: self.running > 0)
    @rule()
    def finish_work(self):
        self.running -= 1
        self.take(self.stopping.finish_work(self.now))

    @rule()
    def signal(self):
        self.signals += 1
        if self.signalled_at is None:
            self.signalled_at = self.now
        self.take(self.stopping.signal(self.now))

    @precondition(lambda self: self.signalled_at is not None)
    @rule()
    def hand_over(self):
        self.has_handed_over = True
        self.take(self.stopping.handed_over(self.now))

    @rule()
    def close(self):
        self.take(self.stopping.connections_closed(self.now))

    @invariant()
    def work_is_counted(self):
        assert self.stopping.in_flight == self.running

    @invariant()
    def each_effect_comes_once(self):
        kinds = [type(effect) for _, effect in self.seen]
        assert len(kinds) == len(set(kinds))

    def teardown(self):
        """Whatever came before, a stop ends in time once the work has ended."""
        if self.signalled_at is None:
            self.signal()
        for _ in range(10):
            wake = self.stopping.next_wake(self.now)
            if wake is not None and self.stopping.stage != Stage.FINISHING:
                self.now = max(self.now, wake)
                self.take(self.stopping.tick(self.now))
        while self.running:
            self.finish_work()
        while self.stopping.stage != Stage.DONE:
            self.now = max(self.now, self.stopping.next_wake(self.now))
            self.take(self.stopping.tick(self.now))
        kinds = [type(effect) for _, effect in self.seen]
        assert {AnnounceLeaving, HandOver, CloseIdleConnections, Exit} <= set(kinds)
        assert kinds.index(AnnounceLeaving) < kinds.index(CloseIdleConnections)
        assert kinds[-1] is Exit


TestStopping = StoppingMachine.TestCase
TestStopping.settings = settings(max_examples=100, stateful_step_count=40)


def test_a_quiet_stop_stays_in_its_bound():
    stopping = Stopping(SETTINGS)
    assert stopping.start_work()
    now = 0
    effects = stopping.signal(now)
    while stopping.stage != Stage.FINISHING:
        now = stopping.next_wake(now)
        effects += stopping.tick(now)
    now += SETTINGS.deadline_longest_ms
    effects += stopping.finish_work(now)
    now = stopping.next_wake(now)
    effects += stopping.tick(now)
    assert effects[-1] == Exit(0)
    assert now <= SETTINGS.drain_ms


def test_overdue_work_is_reported_once_and_waited_for():
    stopping = Stopping(SETTINGS)
    stopping.start_work()
    stopping.signal(0)
    stopping.signal(1)
    assert stopping.tick(2001) == [ReportOverdue(1)]
    assert stopping.tick(90_000) == []
    assert stopping.finish_work(90_001) == [CloseIdleConnections()]
